"""Accounts of programs that may be kept in some regions only, each in one of them.

A region's accounts belong to a group of the daemons there. Which region it is follows from
what every call of a program brings, so any daemon finds it without asking.
"""

from collections.abc import Callable, Iterable, Mapping

import xxhash

from notcharch.accounts.account_group import AccountGroup
from notcharch.accounts.owner_requests import OwnerRequests
from notcharch.calls.eligibility import Cause, NoEngine
from notcharch.calls.interface import (
    STATE_UNKNOWN,
    Admission,
    AdmissionListener,
    OpaqueCall,
    Route,
)
from notcharch.calls.refusals import refusal_without_engine
from notcharch.tenants.scope import scoped_name


def account_region(program: str, regions: Iterable[str]) -> str:
    """Give the region of a program's account: the first by a hash with the program."""
    return min(
        regions,
        key=lambda region: xxhash.xxh64_intdigest(f"{region}|{program}".encode()),
    )


class ResidentAccounts:
    """Lets calls in by the accounts of their regions; an `Admission`."""

    def __init__(
        self,
        anywhere: Admission,
        regions: Iterable[str],
        make: Callable[[str], AccountGroup],
        now: Callable[[], float],
    ) -> None:
        """`anywhere` has the accounts without residence; `make` wires a region's group."""
        self._anywhere = anywhere
        self._regions = frozenset(regions)
        self._make = make
        self._now = now
        self._groups: dict[str, AccountGroup] = {}
        self._is_left = False

    @property
    def groups(self) -> Mapping[str, AccountGroup]:
        """Give the groups in use, by their regions."""
        return self._groups

    def owners(self) -> tuple[OwnerRequests, ...]:
        """Give the owners of all groups in use."""
        return tuple(group.owners for group in self._groups.values())

    def use(self, regions: Iterable[str]) -> None:
        """Take part in the groups of regions that the table names.

        A group that is in use stays: it keeps turns that programs may go on from.
        """
        for region in sorted(self._regions.intersection(regions)):
            if region not in self._groups and not self._is_left:
                group = self._groups[region] = self._make(region)
                group.start()

    def request(
        self, call: OpaqueCall, route: Route, answer: AdmissionListener
    ) -> None:
        """Admit a call, or refuse it, through `answer`."""
        if call.regions is None:
            self._anywhere.request(call, route, answer)
            return
        known = self._regions & call.regions
        if not known:
            none = NoEngine(Cause.NO_REGION)
            answer.refused(refusal_without_engine(none, call, self._now()))
            return
        self.use(known)
        region = account_region(scoped_name(call.tenant_name, call.program), known)
        group = self._groups.get(region)
        if group is None:
            # This daemon stops, and joins no group any more.
            answer.refused(STATE_UNKNOWN)
        else:
            group.admission.request(call, route, answer)

    def leave(self) -> None:
        """Leave all groups."""
        self._is_left = True
        for group in self._groups.values():
            group.leave()
