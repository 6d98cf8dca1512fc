"""Declaration of Heatline: 40 models, 90 adapters, an entries and draws service, 5 accounts."""

from basilgw import GIB, MIB, Declaration, example_hash

ACCOUNTS = {
    "clubs": (6000, 60_000),
    "referees": (2000, 30_000),
    "federation": (2500, 25_000),
    "rival-feed": (800, 8000),
    "archive": (300, 3000),
}


def build():
    site = Declaration()
    models = [f"seeding-{n:02}" for n in range(40)]
    for number, model in enumerate(models):
        weights = (3 + number % 5 * 3) * GIB
        site.model(model, version="1", weights=weights, floor=2 * GIB, maximum=3)
    adapters = [f"club-{n:02}" for n in range(90)]
    for number, adapter in enumerate(adapters):
        site.adapter(adapter, model=models[number % 15], version="1", weights=96 * MIB)
    site.route("entries", prefix="/entries", service="entries", idempotent=True)
    site.route("draws", prefix="/draws", service="entries", idempotent=False)
    site.route("results", prefix="/results", service="entries", idempotent=True, open=True)
    for account, (rate, burst) in ACCOUNTS.items():
        site.account(
            account,
            rate=rate,
            burst=burst,
            models=models,
            adapters=adapters,
            routes=["entries", "draws"],
        )
        site.usual_callers(account, example_hash)
    return site


if __name__ == "__main__":
    build().print()
