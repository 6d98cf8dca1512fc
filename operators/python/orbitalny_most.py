"""Declaration of Orbitalny Most: 30 models, 40 adapters, a booking service, 5 client accounts."""

from basilgw import GIB, MIB, Declaration, example_hash

ACCOUNTS = {
    "integrators": (4000, 40_000),
    "student-teams": (2500, 25_000),
    "compliance": (2000, 30_000),
    "launch-desk": (800, 8000),
    "partners": (300, 3000),
}


def build():
    site = Declaration()
    models = [f"manifest-{n:02}" for n in range(30)]
    for number, model in enumerate(models):
        weights = (4 + number % 4 * 4) * GIB
        site.model(model, version="1", weights=weights, floor=2 * GIB, maximum=2)
    adapters = [f"mission-{n:02}" for n in range(40)]
    for number, adapter in enumerate(adapters):
        site.adapter(adapter, model=models[number % 10], version="1", weights=128 * MIB)
    site.route("slots", prefix="/slots", service="booking", idempotent=True)
    site.route("bookings", prefix="/bookings", service="booking", idempotent=False)
    for account, (rate, burst) in ACCOUNTS.items():
        site.account(
            account,
            rate=rate,
            burst=burst,
            models=models,
            adapters=adapters,
            routes=["slots", "bookings"],
        )
        site.usual_callers(account, example_hash)
    return site


if __name__ == "__main__":
    build().print()
