"""Authentication of callers by their keys, before a call is admitted."""

from collections.abc import Sequence

from result import Err
from twisted.internet.interfaces import IReactorTime

from notcharch.calls.interface import (
    KEY_NOT_KNOWN,
    KEYS_STALE,
    NOT_IDENTIFIED,
    OpaqueCall,
    Refusal,
    Route,
)
from notcharch.calls.retry_after import with_retry_after
from notcharch.calls.routing import RouteTable
from notcharch.events.calls import CallerNotIdentified
from notcharch.events.event import emit
from notcharch.events.tenants import KeysUnsure
from notcharch.tenants.freshness import TableFreshness
from notcharch.tenants.identity import IdentityFault, identify

ABSENT_KEY_FAULTS = (IdentityFault.UNKNOWN_KEY, IdentityFault.REMOVED_KEY)
"""Faults of a key that the table doesn't have."""


class CallerCheck:
    """Finds the tenant of a call, if the table of keys is fresh enough."""

    def __init__(self, clock: IReactorTime, freshness: TableFreshness) -> None:
        """`freshness` tracks whether the table is current enough to check keys."""
        self._clock = clock
        self._freshness = freshness
        self._could_check_keys = True
        """The state that was logged last."""

    def can_check_keys(self, table: RouteTable, ahead_seconds: float = 0.0) -> bool:
        """Return whether keys can be checked, now and for `ahead_seconds` more."""
        if table.keys is None:
            return True
        return self._freshness.is_fresh(self._clock.seconds(), ahead_seconds)

    def report_change(self, can_check_keys: bool) -> None:
        """Log each change between being able and unable to check keys."""
        if can_check_keys != self._could_check_keys:
            self._could_check_keys = can_check_keys
            age = self._freshness.age(self._clock.seconds())
            emit(KeysUnsure(can_check_keys, self._freshness.version, age))

    def refusal(
        self,
        call: OpaqueCall,
        presented: Sequence[bytes],
        route: Route,
        table: RouteTable,
    ) -> Refusal | None:
        """Set the tenant of a call, or return a refusal if its key is invalid."""
        if table.keys is None or route.is_public:
            return None
        identity = identify(presented, table.keys, is_fresh=self.can_check_keys(table))
        if isinstance(identity, Err):
            return self._refuse(call, identity.err_value, route, table)
        call.tenant = identity.ok_value
        return None

    def _refuse(
        self, call: OpaqueCall, fault: IdentityFault, route: Route, table: RouteTable
    ) -> Refusal:
        """Log the cause, and return the refusal.

        While the newest keys are not known, the outage is expected to last as long as it
        has lasted so far.
        """
        now = self._clock.seconds()
        age = self._freshness.age(now)
        rounded_age = None if age is None else round(age, 3)
        emit(
            CallerNotIdentified(
                call.id, route.name, fault.value, table.version, rounded_age
            )
        )
        if fault in ABSENT_KEY_FAULTS and table.lacks_keys:
            return KEY_NOT_KNOWN
        if fault is not IdentityFault.NO_FRESH_TABLE:
            return NOT_IDENTIFIED
        return with_retry_after(KEYS_STALE, age or 0.0, call, now)
