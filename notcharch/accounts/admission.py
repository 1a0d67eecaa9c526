"""Admission of calls by the owner of their program's account."""

from collections.abc import Callable, Generator, Sequence
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks

from notcharch.accounts.call_account import CallAccount
from notcharch.accounts.messages import (
    CallNotRecorded,
    NotOwner,
    TurnAdmitted,
    TurnRefused,
    UsageDoubted,
)
from notcharch.accounts.owner_requests import OwnerRequests
from notcharch.accounts.request_retry import request_until_decided
from notcharch.accounts.transcript_reader import read_remaining_pages
from notcharch.accounts.turn_adoption import Adoption, adopt_turn
from notcharch.accounts.turns import TURN_CACHE_BYTES, TurnCache
from notcharch.calls.interface import (
    BUDGET_SPENT,
    HISTORY_NOT_STORABLE,
    HISTORY_TOO_LONG,
    NO_MEMORY,
    NOT_RECORDED,
    UNKNOWN_TURN,
    USAGE_UNKNOWN,
    AdmissionListener,
    OpaqueCall,
    Refusal,
    Route,
)
from notcharch.calls.open_admission import NO_ACCOUNT
from notcharch.calls.retry_after import with_retry_after
from notcharch.scheduling.shared_suspicions import SharedSuspicions

MAX_BODY_BYTES = 32 * 1024 * 1024
"""Bound of a body with the turns before it, where no other one is given."""
HEAD_BYTES = 32 * 1024
"""Upper bound of the head that is sent to an engine before the body."""
PARTITION_SHARE = 1 / 4
"""Share of a partition of the log that a chain may fill, beside its copies."""


def max_body_bytes(buffer_bytes: int, partition_bytes: int) -> int:
    """Return the bound of a body with the turns before it.

    Few bodies larger than what all connections may buffer, `buffer_bytes`, fit beside each
    other, and a larger chain would leave its partition of the log too little room.
    """
    return min(buffer_bytes - HEAD_BYTES, int(partition_bytes * PARTITION_SHARE))


REFUSALS = {
    Adoption.NO_SUCH_TURN: UNKNOWN_TURN,
    Adoption.TOO_LONG: HISTORY_TOO_LONG,
    Adoption.NOT_STORABLE: HISTORY_NOT_STORABLE,
    Adoption.NO_MEMORY: NO_MEMORY,
}
"""Final results of a search for the previous turn."""


class AccountAdmission:
    """Admits calls of programs by their accounts, and all other calls."""

    def __init__(
        self,
        owners: OwnerRequests,
        suspicions: SharedSuspicions,
        other_groups: Callable[[], Sequence[OwnerRequests]] = tuple,
        *,
        max_body_bytes: int = MAX_BODY_BYTES,
        cache: TurnCache | None = None,
    ) -> None:
        """Request decisions from `owners`, exchanging `suspicions` of engines with them.

        `other_groups` returns the owners of other groups, which may store a turn.
        `max_body_bytes` bounds the chain of turns together with the new input; `cache` has
        the turns of programs that this daemon called for.
        """
        self._max_body_bytes = max_body_bytes
        self._owners = owners
        self._other_groups = other_groups
        self._suspicions = suspicions
        self._cache = TurnCache(TURN_CACHE_BYTES) if cache is None else cache

    def request(
        self, call: OpaqueCall, route: Route, listener: AdmissionListener
    ) -> None:
        """Admit or refuse a call through `listener`."""
        is_accounted = call.budget_tokens is not None or route.stores_turns
        if not (route.is_stream and call.program and is_accounted):
            listener.admitted(NO_ACCOUNT, call.body)
            return
        account = CallAccount(
            self._owners,
            self._cache,
            call,
            route,
            max_body_bytes=self._max_body_bytes,
            reserve_memory=listener.reserve_memory,
        )
        self._request_admission(account, listener)

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
        self, account: CallAccount, *, may_adopt: bool = True
    ) -> Generator["Deferred[Any]", Any, Refusal | bytes | None]:
        """Request a decision; after a chain was copied, at once another one.

        The copy may have taken all of the time in which the call may wait for a decision.
        """
        decision: Refusal | bytes | None
        reply = yield self._send_admission(account)
        if isinstance(reply, TurnRefused) and not reply.is_spent:
            adoption: Adoption = yield adopt_turn(
                self._owners, self._other_groups(), account
            )
            if adoption is Adoption.NO_SUCH_TURN and not reply.is_certain:
                adoption = Adoption.UNSURE
            _log_adoption(account, adoption)
            if adoption is Adoption.ADOPTED and may_adopt:
                decision = yield self._request_decision(account, may_adopt=False)
                return decision
            return REFUSALS.get(adoption)
        if isinstance(reply, TurnAdmitted):
            decision = yield self._complete_body(account, reply)
            return decision
        if isinstance(reply, NotOwner) and self._owners.outages is not None:
            account.never_ran()  # an earlier request may reserve tokens later
            return self._owners.outages.refusal(
                account.call, reply.store_outage_seconds, is_owners_decision=True
            )
        if isinstance(reply, UsageDoubted):
            account.never_ran()
            now = self._owners.clock.seconds()
            return with_retry_after(
                USAGE_UNKNOWN, reply.retry_after_seconds, account.call, now
            )
        if isinstance(reply, CallNotRecorded):
            account.never_ran()
            return NOT_RECORDED
        is_spent = isinstance(reply, TurnRefused) and reply.is_spent
        return BUDGET_SPENT if is_spent else None

    def _send_admission(self, account: CallAccount) -> "Deferred[Any]":
        suspected = self._suspicions.to_send(self._owners.clock.seconds())
        message = account.admit_message(suspected)
        return self._owners.send_request(account.partition, message)

    @inlineCallbacks
    def _complete_body(
        self, account: CallAccount, reply: TurnAdmitted
    ) -> Generator["Deferred[Any]", Any, Refusal | bytes | None]:
        """Return the body after the turns before it; None if they could not be read."""
        self._suspicions.merge(reply.suspicions, self._owners.clock.seconds())
        if not account.on_admitted(reply):
            return None
        transcript = account.transcript
        chain_bytes = transcript.size_bytes + reply.remaining_bytes
        if account.exceeds_limit(chain_bytes):
            account.never_ran()
            account.log_history_refused(Adoption.TOO_LONG.value)
            return HISTORY_TOO_LONG
        if chain_bytes and not account.reserve(chain_bytes + len(account.call.body)):
            account.never_ran()
            return NO_MEMORY
        is_read = yield read_remaining_pages(
            self._owners, account.partition, transcript
        )
        return account.complete_body() if is_read else None


def _log_adoption(account: CallAccount, adoption: Adoption) -> None:
    """Log the result of a search for a turn, unless the search is to be retried."""
    if adoption in (Adoption.ADOPTED, Adoption.NO_SUCH_TURN):
        account.log_adoption(is_found=adoption is Adoption.ADOPTED)
    elif adoption is not Adoption.UNSURE:
        account.log_history_refused(adoption.value)
