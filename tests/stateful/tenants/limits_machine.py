"""Tenants' calls over daemons that crash, sleep, leave and return.

The oracle knows when each call was let in, and the limits. It says nothing of order.
"""

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import rule

from notcharch.accounts.service import GROUP
from notcharch.tenants.interface import RateLimit, Tenant
from tests.stateful.daemon_fates import DAEMONS, RefusedDaemons, daemons
from tests.unit.accounts.world import TOLERANCE, World

LIMITS = {"large": RateLimit(30.0, 30.0), "small": RateLimit(1.0, 1.0)}
TENANTS = tuple(LIMITS)
LOOK_SECONDS = 0.1


class Asked(msgspec.Struct):
    """A call that waits for a verdict."""

    tenant: str
    listener: object


class LimitsMachine(RefusedDaemons):
    """Callers of two tenants; each call is noted when it is let in."""

    group = GROUP

    def __init__(self) -> None:
        super().__init__()
        self.world = World(DAEMONS)
        for name, limit in LIMITS.items():
            self.world.tenants[name] = Tenant(name, limit=limit)
        self.world.run(5.0)
        self.waiting: list[Asked] = []
        self.let_in: dict[str, list[float]] = {name: [] for name in TENANTS}
        self.losses: list[float] = []
        """When an owner may have been lost without handing over."""

    def leave(self, name):
        self.world.services[name].leave()

    def before_a_crash(self):
        self.losses.append(self.world.clock.seconds())

    def look(self):
        """Note the calls that were let in since the last look."""
        now = self.world.clock.seconds()
        for asked in tuple(self.waiting):
            if not asked.listener.is_decided:
                continue
            self.waiting.remove(asked)
            if asked.listener.ticket is not None:
                self.let_in[asked.tenant].append(now)
        for name in TENANTS:
            self.check(name, now)

    def check(self, tenant, now):
        limit = LIMITS[tenant]
        window = TOLERANCE.window_seconds
        recent = sum(at > now - window for at in self.let_in[tenant])
        allowed = limit.per_second * window + limit.burst
        allowed = allowed * (1 + TOLERANCE.over_share) + TOLERANCE.calls
        assert recent <= allowed, f"{tenant}: {recent} of {allowed} in {window} s"

    def run(self, seconds):
        for _ in range(round(seconds / LOOK_SECONDS)):
            self.world.run(LOOK_SECONDS)
            self.look()

    @rule(
        tenant=st.sampled_from(TENANTS),
        daemon=daemons,
        calls=st.sampled_from([1, 5, 40]),
        programs=st.sampled_from([1, 4, 40]),
    )
    def ask(self, tenant, daemon, calls, programs):
        for number in range(calls):
            call = self.world.call(
                f"p{number % programs}", budget=None, tenant=tenant, wait_seconds=2.0
            )
            listener = self.world.request_admission(call, daemon)
            self.waiting.append(Asked(tenant, listener))
        self.look()

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.5, 5.0]))
    def wait(self, seconds):
        self.run(seconds)

    @rule(
        seconds=st.sampled_from([1.0, 3.0]),
        daemon=daemons,
        tenant=st.sampled_from(TENANTS),
    )
    def ask_all_the_time(self, seconds, daemon, tenant):
        for _ in range(round(seconds / 0.2)):
            self.ask(tenant, daemon, 5, 2)
            self.ask(tenant, (daemon + 1) % DAEMONS, 5, 2)
            self.run(0.2)

    @rule()
    def all_is_well_again(self):
        """Once everything works, a tenant gets what its limit allows, and no more."""
        self.heal()
        self.run(10.0)
        before = len(self.let_in["large"])
        self.ask("large", 0, 30, 1)
        self.run(1.0)
        assert len(self.let_in["large"]) - before == 30
