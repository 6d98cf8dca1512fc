"""Builds the declaration that operators submit to basilgw.

Standard library only. A program builds a ``Declaration``, adds models, adapters, routes and client
accounts, and prints it::

    from basilgw import Declaration, GIB

    site = Declaration()
    site.model("draft", version="3", weights=8 * GIB, floor=2 * GIB)
    site.account("clubs", rate=2000, burst=20000, models=["draft"])
    site.caller("clubs", "portal", priority="interactive", keys={"portal-1": HASH})
    site.print()

``basilgw check --declaration FILE`` names every fault, with the same code that a VM uses. The types
are those of ``schema/declaration.json``.
"""

import hashlib
import json
import sys

MIB = 1 << 20
GIB = 1 << 30

USUAL_CALLERS = (("drafts", "interactive"), ("reviews", "review"), ("checks", "background"))
PRIORITIES = ("interactive", "review", "background")


class Declaration:
    """Everything an operator declares."""

    def __init__(self):
        self._accounts = {}
        self._models = {}
        self._adapters = {}
        self._routes = {}

    def model(self, name, *, version, weights, floor, minimum=0, maximum=1, slots=16):
        """Adds a model; ``weights`` and ``floor`` (least KV cache of a replica) are in bytes."""
        self._models[name] = {
            "version": version,
            "weights": weights,
            "floor": floor,
            "minimum": minimum,
            "maximum": maximum,
            "slots": slots,
        }

    def adapter(self, name, *, model, version, weights):
        """Adds an adapter of a model; ``weights`` is in bytes."""
        self._adapters[name] = {"model": model, "version": version, "weights": weights}

    def route(self, name, *, prefix, service, idempotent=False, open=False, timeout=10_000, cost=1):
        """Adds a plain service route; ``timeout`` is in milliseconds, ``cost`` in tokens."""
        self._routes[name] = {
            "prefix": prefix,
            "service": service,
            "idempotent": idempotent,
            "open": open,
            "timeout": timeout,
            "cost": cost,
        }

    def account(self, name, *, rate, burst, models=(), adapters=(), routes=()):
        """Adds a client account; ``rate`` is in tokens a second, ``burst`` in tokens."""
        self._accounts[name] = {
            "rate": rate,
            "burst": burst,
            "models": sorted(models),
            "adapters": sorted(adapters),
            "routes": sorted(routes),
            "callers": {},
        }

    def caller(self, account, name, *, priority, keys=None, rate=None, burst=None):
        """Adds a caller of an account; ``keys`` maps public names to the hashes of keys."""
        if priority not in PRIORITIES:
            raise ValueError(f"priority must be one of {', '.join(PRIORITIES)}")
        caller = {"priority": priority, "keys": dict(keys or {})}
        if rate is not None:
            caller["rate"] = rate
        if burst is not None:
            caller["burst"] = burst
        self._accounts[account]["callers"][name] = caller

    def usual_callers(self, account, hash_of):
        """Adds a caller of each priority, whose key's hash is ``hash_of(key's public name)``."""
        for name, priority in USUAL_CALLERS:
            key = f"{account}-{name}"
            self.caller(account, name, priority=priority, keys={key: hash_of(key)})

    def as_dict(self):
        """The declaration as plain values."""
        return {
            "accounts": self._accounts,
            "models": self._models,
            "adapters": self._adapters,
            "routes": self._routes,
        }

    def print(self, file=None):
        """Prints the declaration as JSON, the same text for the same declaration."""
        json.dump(self.as_dict(), file or sys.stdout, indent=2, sort_keys=True)
        (file or sys.stdout).write("\n")


def example_hash(name):
    """A stand-in for the hash that ``basilgw mint-key`` prints; for examples only."""
    return hashlib.sha256(name.encode()).hexdigest()
