"""Accounts of programs that are restricted to some regions; each is stored in one region.

A region's accounts are owned by a group of its daemons. The region is computed from the
program and its permitted regions, which every call includes, so no lookup is needed.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import xxhash
from twisted.internet.defer import Deferred, DeferredList

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
from notcharch.journal.planned_leave import LeaveTerms
from notcharch.tenants.scope import scoped_name


def account_region(program: str, regions: Iterable[str]) -> str:
    """Return the region of a program's account, chosen by a hash of both."""
    return min(
        regions,
        key=lambda region: xxhash.xxh64_intdigest(f"{region}|{program}".encode()),
    )


class ResidentAccounts:
    """Admits calls by the accounts of their regions; implements `Admission`."""

    def __init__(
        self,
        default_admission: Admission,
        regions: Iterable[str],
        create_group: Callable[[str], AccountGroup],
        now: Callable[[], float],
    ) -> None:
        """`default_admission` decides about calls without residence restrictions.

        `create_group` creates the group of a region.
        """
        self._default_admission = default_admission
        self._regions = frozenset(regions)
        self._create_group = create_group
        self._now = now
        self._groups: dict[str, AccountGroup] = {}
        self._has_left = False

    @property
    def groups(self) -> Mapping[str, AccountGroup]:
        """The groups in use, by region."""
        return self._groups

    def owners(self) -> tuple[OwnerRequests, ...]:
        """Return the owner requests of all groups in use."""
        return tuple(group.owners for group in self._groups.values())

    def join_groups(self, regions: Iterable[str]) -> None:
        """Start the groups of regions that are not in use yet.

        Groups in use are not stopped, because programs may continue from their turns.
        """
        for region in sorted(self._regions.intersection(regions)):
            if region not in self._groups and not self._has_left:
                group = self._groups[region] = self._create_group(region)
                group.start()

    def request(
        self, call: OpaqueCall, route: Route, listener: AdmissionListener
    ) -> None:
        """Admit or refuse a call through `listener`."""
        if call.regions is None:
            self._default_admission.request(call, route, listener)
            return
        known = self._regions & call.regions
        if not known:
            no_engine = NoEngine(Cause.NO_REGION)
            listener.refused(refusal_without_engine(no_engine, call, self._now()))
            return
        self.join_groups(known)
        region = account_region(scoped_name(call.tenant_name, call.program), known)
        group = self._groups.get(region)
        if group is None:
            # This daemon is stopping and no longer joins groups.
            listener.refused(STATE_UNKNOWN)
        else:
            group.admission.request(call, route, listener)

    def leave(self, terms: LeaveTerms | None = None) -> "Deferred[Any]":
        """Leave all groups as `AccountGroup.leave` does; fires when all are left."""
        self._has_left = True
        leaving = [group.leave(terms) for group in self._groups.values()]
        return DeferredList(leaving, consumeErrors=True)
