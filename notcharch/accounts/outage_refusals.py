"""Refusals of calls whose admission needs the store while it is down."""

from random import Random

from twisted.internet.interfaces import IReactorTime

from notcharch.accounts.metrics import OUTAGE_RETRY_SECONDS, REFUSED_IN_OUTAGE
from notcharch.calls.interface import OpaqueCall, Refusal
from notcharch.calls.retry_after import honoured_delay, remaining_seconds
from notcharch.events.event import emit
from notcharch.events.outages import RefusedInOutage
from notcharch.journal.recovery_signal import RecoverySignal

STORE_DOWN_REASON = "the store is down"
SERVICE_UNAVAILABLE = 503
MIN_RETRY_SECONDS = 0.2
"""Shortest retry delay, as for other undecided calls."""
MAX_RETRY_SECONDS = 4.0
"""Longest retry delay: callers with much time left notice a return within it."""
SPREAD_SHARE = 0.3
"""Share of a retry delay by which it is shortened at random.

Callers refused in one burst then return over 0.2 s or more, in which an owner appends
some dozen batches and engines end a part of their calls.
"""
MIN_REQUESTS = 2
"""Requests before a daemon refuses by what it knows itself: the first may have found a
former owner, whose reply names the present one."""


def expected_return_seconds(outage_seconds: float) -> float:
    """Return in how many seconds the store is expected back.

    Nothing is known of the cause, so an outage is expected to last as long again as it
    has lasted. Retries of a caller with time left then grow, and few are in vain.
    """
    return min(max(outage_seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)


def retry_delay_seconds(
    outage_seconds: float, remaining: float | None, spread: float
) -> float:
    """Return the delay that a caller is told; `spread` is random in [0, 1).

    A caller honours it up to a third of its remaining seconds (None: without a bound),
    and would not retry after a longer one.
    """
    delay = honoured_delay(expected_return_seconds(outage_seconds), remaining)
    return max(delay * (1.0 - SPREAD_SHARE * spread), MIN_RETRY_SECONDS)


class OutageRefusals:
    """Refuses calls while the store is known to be down."""

    def __init__(
        self, clock: IReactorTime, random: Random, recovery: RecoverySignal
    ) -> None:
        """`recovery` knows how long the store has been down."""
        self._clock = clock
        self._random = random
        self._recovery = recovery

    def known_seconds(self) -> float:
        """Return how long the store has been down; 0 if it is not known to be."""
        return self._recovery.known_outage_seconds()

    def gives_up(self, requests: int) -> bool:
        """Return whether not to ask an owner again, after so many requests in vain."""
        return requests >= MIN_REQUESTS and self.known_seconds() > 0.0

    def refusal(
        self, call: OpaqueCall, outage_seconds: float, *, is_owners_decision: bool
    ) -> Refusal:
        """Return the refusal of a call, with the time to retry."""
        remaining = remaining_seconds(call, self._clock.seconds())
        delay = retry_delay_seconds(outage_seconds, remaining, self._random.random())
        REFUSED_IN_OUTAGE.inc()
        OUTAGE_RETRY_SECONDS.observe(delay)
        emit(
            RefusedInOutage(
                call.id,
                call.program,
                is_owners_decision,
                round(outage_seconds, 3),
                round(delay, 3),
            )
        )
        return Refusal(SERVICE_UNAVAILABLE, STORE_DOWN_REASON, delay)
