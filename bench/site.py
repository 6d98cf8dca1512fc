"""A declaration of a given count of adapters and accounts, each account reaching all of them."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "operators", "python"))

from basilgw import GIB, MIB, Declaration

adapters, accounts = int(sys.argv[1]), int(sys.argv[2])
site = Declaration()
models = [f"model-{n:03}" for n in range(200)]
for model in models:
    site.model(model, version="1", weights=8 * GIB, floor=2 * GIB)
names = [f"adapter-{n:06}" for n in range(adapters)]
for number, name in enumerate(names):
    site.adapter(name, model=models[number % 200], version="1", weights=64 * MIB)
for number in range(accounts):
    # Adapters belong to one account each, as trained on its own data.
    own = names[number::accounts]
    site.account(f"account-{number:03}", rate=1000, burst=10_000, models=models, adapters=own)
site.print()
