"""Limited tenants on daemons that crash, are suspended, leave and return.

The oracle knows the limits and when each call was admitted, but not in which order
calls should be admitted.
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


class PendingCall(msgspec.Struct):
    """A call that waits for a decision."""

    tenant: str
    listener: object


class LimitsMachine(RefusedDaemons):
    """Calls of two tenants; records when each one is admitted."""

    group = GROUP
    has_competing_callers = False

    def __init__(self) -> None:
        super().__init__()
        self.world = World(DAEMONS, has_competing_callers=self.has_competing_callers)
        for name, limit in LIMITS.items():
            self.world.tenants[name] = Tenant(name, limit=limit)
        self.world.run(5.0)
        self.waiting: list[PendingCall] = []
        self.admitted: dict[str, list[float]] = {name: [] for name in TENANTS}
        self.losses: list[float] = []
        """Times at which an owner may have stopped without a handover."""

    def leave(self, name):
        self.world.services[name].leave()

    def before_a_crash(self):
        self.losses.append(self.world.clock.seconds())

    def look(self):
        """Record the calls admitted since the last check."""
        now = self.world.clock.seconds()
        for pending in tuple(self.waiting):
            if not pending.listener.is_decided:
                continue
            self.waiting.remove(pending)
            if pending.listener.ticket is not None:
                self.admitted[pending.tenant].append(now)
        for name in TENANTS:
            self.check(name, now)

    def check(self, tenant, now):
        limit = LIMITS[tenant]
        window = TOLERANCE.window_seconds
        recent = sum(at > now - window for at in self.admitted[tenant])
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
            self.waiting.append(PendingCall(tenant, listener))
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
        """Without faults, a tenant gets what its limit allows."""
        self.heal()
        self.run(10.0)
        before = len(self.admitted["large"])
        self.ask("large", 0, 30, 1)
        self.run(1.0)
        assert len(self.admitted["large"]) - before == 30


class CompetingLimitsMachine(LimitsMachine):
    """The same, with the same bounds, where callers compete."""

    has_competing_callers = True
