"""Admission of calls by the owner of their program's account."""

from collections.abc import Callable, Generator, Sequence
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks

from notcharch.accounts.account import Account
from notcharch.accounts.asking import ask_until_decided
from notcharch.accounts.foreign_turns import Adoption, adopt
from notcharch.accounts.messages import TurnAdmitted, TurnRefused
from notcharch.accounts.owner_requests import OwnerRequests
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

CACHE_BYTES = 8 * 1024 * 1024
"""Kept turns that a daemon remembers; a turn has 0.3 to 2.6 KB after its first."""


class AccountAdmission:
    """Lets calls of programs in as their accounts allow, and all others."""

    def __init__(
        self,
        owners: OwnerRequests,
        suspicions: SharedSuspicions,
        elsewhere: Callable[[], Sequence[OwnerRequests]] = tuple,
    ) -> None:
        """Ask the owners of partitions; share with them which engines are suspected.

        `elsewhere` gives the owners of other groups, which may keep a turn.
        """
        self._owners = owners
        self._elsewhere = elsewhere
        self._suspicions = suspicions
        self._cache = TurnCache(CACHE_BYTES)

    def request(
        self, call: OpaqueCall, route: Route, answer: AdmissionListener
    ) -> None:
        """Admit a call, or refuse it, through `answer`."""
        is_accounted = call.budget_tokens is not None or route.stores_turns
        if not (route.is_stream and call.program and is_accounted):
            answer.admitted(NO_ACCOUNT, call.body)
            return
        self._ask_owner(Account(self._owners, self._cache, call, route), answer)

    @inlineCallbacks
    def _ask_owner(
        self, account: Account, answer: AdmissionListener
    ) -> Generator["Deferred[Any]", Any, None]:
        """Ask until an owner decides, the caller leaves, or too much time passed."""
        decision = yield ask_until_decided(
            self._owners.clock,
            account.call,
            lambda: answer.awaits_admission,
            lambda: self._ask_once(account),
        )
        if isinstance(decision, Refusal):
            answer.refused(decision)
        elif decision is not None:
            answer.admitted(account, decision)
        else:
            account.never_ran()
            answer.refused(self._owners.unsure(account.call))

    @inlineCallbacks
    def _ask_once(
        self, account: Account
    ) -> Generator["Deferred[Any]", Any, Refusal | bytes | None]:
        """Give the body to run with, a refusal, or None if nobody knows yet."""
        decision: Refusal | bytes | None = yield self._decision(account)
        if decision is None:
            account.log_unanswered("admission")
        return decision

    @inlineCallbacks
    def _decision(
        self, account: Account
    ) -> Generator["Deferred[Any]", Any, Refusal | bytes | None]:
        clock = self._owners.clock
        told = self._suspicions.tell(clock.seconds())
        message = account.admit_message(told)
        answer = yield self._owners.ask(account.partition, message)
        if isinstance(answer, TurnAdmitted):
            self._suspicions.take(answer.suspicions, clock.seconds())
            return account.whole_body(answer)
        if not isinstance(answer, TurnRefused):
            return None
        if answer.is_spent:
            return BUDGET_SPENT
        adoption = yield adopt(self._owners, self._elsewhere(), account)
        if adoption is not Adoption.UNSURE:
            account.log_adoption(is_found=adoption is Adoption.ADOPTED)
        return UNKNOWN_TURN if adoption is Adoption.NO_SUCH_TURN else None
