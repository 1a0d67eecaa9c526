"""Whose call it is, before anything else is done about it."""

from collections.abc import Sequence

from result import Err
from twisted.internet.interfaces import IReactorTime

from notcharch.calls.interface import (
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


class CallerCheck:
    """Finds the tenant of a call, as far as keys can be judged now."""

    def __init__(self, clock: IReactorTime, freshness: TableFreshness) -> None:
        """`freshness` tells when keys may be judged."""
        self._clock = clock
        self._freshness = freshness
        self._could_check_keys = True
        """Whether keys could be judged when that was told last."""

    def can_check_keys(self, table: RouteTable, ahead_seconds: float = 0.0) -> bool:
        """Tell whether keys can be judged now, and for some seconds more, if need be."""
        if table.keys is None:
            return True
        return self._freshness.is_fresh(self._clock.seconds(), ahead_seconds)

    def report_change(self, can_check_keys: bool) -> None:
        """Tell once that no key can be judged any more, and once that keys can again."""
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
        """Set the tenant of a call; give the answer to one that has none but needs one."""
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
        """Tell why, and when to come back.

        While the newest keys are not known, the outage is expected to last for as long as
        it has lasted.
        """
        now = self._clock.seconds()
        age = self._freshness.age(now)
        rounded_age = None if age is None else round(age, 3)
        emit(
            CallerNotIdentified(
                call.id, route.name, fault.value, table.version, rounded_age
            )
        )
        if fault is not IdentityFault.NO_FRESH_TABLE:
            return NOT_IDENTIFIED
        return with_retry_after(KEYS_STALE, age or 0.0, call, now)
