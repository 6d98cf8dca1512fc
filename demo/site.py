"""The declaration of demo/run; the argument is the hash of the caller's key."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "operators", "python"))

from basilgw import GIB, MIB, Declaration

site = Declaration()
site.model("draft", version="1", weights=8 * GIB, floor=2 * GIB)
site.model("secret", version="1", weights=8 * GIB, floor=2 * GIB)
site.adapter("team-a", model="draft", version="1", weights=64 * MIB)
site.route("slots", prefix="/slots", service="booking", idempotent=True)
site.route("bookings", prefix="/bookings", service="booking")
site.account(
    "teams", rate=2000, burst=20_000, models=["draft"], adapters=["team-a"], routes=["slots", "bookings"]
)
site.caller("teams", "portal", priority="interactive", keys={"portal-1": sys.argv[1]})
site.print()
