"""Admission of calls by the owner of their program's account."""

from collections.abc import Callable, Generator, Sequence
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks

from notcharch.accounts.call_account import CallAccount
from notcharch.accounts.messages import NotOwner, TurnAdmitted, TurnRefused
from notcharch.accounts.owner_requests import OwnerRequests
from notcharch.accounts.request_retry import request_until_decided
from notcharch.accounts.turn_adoption import Adoption, adopt_turn
from notcharch.accounts.turns import TurnCache
from notcharch.calls.interface import (
    BUDGET_SPENT,
    UNKNOWN_TURN,
    AdmissionListener,
    OpaqueCall,
    Refusal,
    Route,
)
from notcharch.calls.open_admission import NO_ACCOUNT
from notcharch.scheduling.shared_suspicions import SharedSuspicions

TURN_CACHE_BYTES = 8 * 1024 * 1024
"""Size of the cache of turns; after the first one, a program's turns have 0.3 to 2.6 KB."""


class AccountAdmission:
    """Admits calls of programs by their accounts, and all other calls."""

    def __init__(
        self,
        owners: OwnerRequests,
        suspicions: SharedSuspicions,
        other_groups: Callable[[], Sequence[OwnerRequests]] = tuple,
    ) -> None:
        """Request decisions from `owners`, exchanging `suspicions` of engines with them.

        `other_groups` returns the owners of other groups, which may store a turn.
        """
        self._owners = owners
        self._other_groups = other_groups
        self._suspicions = suspicions
        self._cache = TurnCache(TURN_CACHE_BYTES)

    def request(
        self, call: OpaqueCall, route: Route, listener: AdmissionListener
    ) -> None:
        """Admit or refuse a call through `listener`."""
        is_accounted = call.budget_tokens is not None or route.stores_turns
        if not (route.is_stream and call.program and is_accounted):
            listener.admitted(NO_ACCOUNT, call.body)
            return
        self._request_admission(
            CallAccount(self._owners, self._cache, call, route), listener
        )

    @inlineCallbacks
    def _request_admission(
        self, account: CallAccount, listener: AdmissionListener
    ) -> Generator["Deferred[Any]", Any, None]:
        """Retry until an owner decides, the caller disconnects, or the wait is too long."""
        decision = yield request_until_decided(
            self._owners.clock,
            account.call,
            lambda: listener.awaits_admission,
            lambda: self._request_once(account),
            gives_up=self._owners.gives_up,
        )
        if isinstance(decision, Refusal):
            listener.refused(decision)
        elif decision is not None:
            listener.admitted(account, decision)
        else:
            account.never_ran()
            listener.refused(self._owners.undecided_refusal(account.call))

    @inlineCallbacks
    def _request_once(
        self, account: CallAccount
    ) -> Generator["Deferred[Any]", Any, Refusal | bytes | None]:
        """Return the complete body, a refusal, or None if no owner decided."""
        decision: Refusal | bytes | None = yield self._request_decision(account)
        if decision is None:
            account.log_unanswered("admission")
        return decision

    @inlineCallbacks
    def _request_decision(
        self, account: CallAccount
    ) -> Generator["Deferred[Any]", Any, Refusal | bytes | None]:
        clock = self._owners.clock
        suspected = self._suspicions.to_send(clock.seconds())
        message = account.admit_message(suspected)
        reply = yield self._owners.send_request(account.partition, message)
        if isinstance(reply, TurnAdmitted):
            self._suspicions.merge(reply.suspicions, clock.seconds())
            return account.complete_body(reply)
        if isinstance(reply, NotOwner) and self._owners.outages is not None:
            account.never_ran()  # an earlier request may reserve tokens later
            return self._owners.outages.refusal(
                account.call, reply.store_outage_seconds, is_owners_decision=True
            )
        if not isinstance(reply, TurnRefused):
            return None
        if reply.is_spent:
            return BUDGET_SPENT
        adoption = yield adopt_turn(self._owners, self._other_groups(), account)
        if adoption is not Adoption.UNSURE:
            account.log_adoption(is_found=adoption is Adoption.ADOPTED)
        return UNKNOWN_TURN if adoption is Adoption.NO_SUCH_TURN else None
