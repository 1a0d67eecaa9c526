"""Admission of calls by their tenants' rate limits, after their programs' accounts.

The owner of a tenant's limit decides each of its calls, at whichever daemon it arrives. It
may let a call in for a moment that comes soon; the daemon lets it wait until then.
"""

from collections.abc import Generator
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from notcharch.accounts.asking import ask_until_decided, within_wait
from notcharch.accounts.messages import AdmitCall, CallAdmitted, CallOverLimit
from notcharch.accounts.metrics import LIMIT_WAIT_SECONDS
from notcharch.accounts.owner_requests import OwnerRequests
from notcharch.calls.interface import (
    OVER_LIMIT_REASON,
    TOO_MANY_REQUESTS,
    Admission,
    AdmissionListener,
    OpaqueCall,
    Refusal,
    Route,
    Ticket,
)

MOST_ROOM_WAIT_SECONDS = 0.6
"""A call waits no longer for room in its tenant's limit; one that is refused comes back
later than that, and has a try less."""
MOST_ROOM_WAIT_SHARE = 0.25
"""Nor for more than this part of the time that its caller gives it."""


class LimitedAdmission:
    """Asks the owner of a tenant's limit about calls that were let in otherwise."""

    def __init__(
        self, accounts: Admission, owners: OwnerRequests, *, shapes: bool = True
    ) -> None:
        """`accounts` decide first: what they refuse doesn't count against the limit.

        `shapes`: whether calls wait for room that comes in a moment.
        """
        self._accounts = accounts
        self._owners = owners
        self._shapes = shapes

    def request(
        self, call: OpaqueCall, route: Route, answer: AdmissionListener
    ) -> None:
        """Admit a call, or refuse it, through `answer`."""
        if call.tenant is None or call.tenant.limit is None:
            self._accounts.request(call, route, answer)
            return
        most_wait = most_wait_seconds(call) if self._shapes else 0.0
        question = LimitQuestion(self._owners, call, route, answer, most_wait)
        self._accounts.request(call, route, question)


class LimitQuestion:
    """One call that its account may let in, on its way to the owner of the limit."""

    def __init__(
        self,
        owners: OwnerRequests,
        call: OpaqueCall,
        route: Route,
        answer: AdmissionListener,
        most_wait_seconds: float,
    ) -> None:
        """Pass on to `answer` what comes of it; the call may wait so long for room."""
        self._owners = owners
        self._call = call
        self._answer = answer
        partition = owners.partitioning.of_tenant(call.tenant_name)
        self._question = AdmitCall(
            partition,
            call.tenant_name,
            call.id,
            call.program,
            route.name,
            most_wait_seconds,
        )

    @property
    def awaits_admission(self) -> bool:
        """Whether the caller is still there and waits."""
        return self._answer.awaits_admission

    def refused(self, refusal: Refusal) -> None:
        """Pass the account's refusal on."""
        self._answer.refused(refusal)

    def admitted(self, ticket: Ticket, body: bytes) -> None:
        """Ask whether the tenant has a call left."""
        self._ask(ticket, body)

    @inlineCallbacks
    def _ask(
        self, ticket: Ticket, body: bytes
    ) -> Generator["Deferred[Any]", Any, None]:
        reply = yield ask_until_decided(
            self._owners.clock,
            self._call,
            lambda: self._answer.awaits_admission,
            self._verdict,
        )
        if isinstance(reply, CallAdmitted):
            if reply.wait_seconds > 0.0:
                yield self._until_there_is_room(reply.wait_seconds)
            self._admit(ticket, body)
        elif isinstance(reply, CallOverLimit):
            self._refuse(ticket, over_limit(reply.retry_after_seconds))
        else:
            self._refuse(ticket, self._owners.unsure(self._call))

    @inlineCallbacks
    def _verdict(
        self,
    ) -> Generator["Deferred[Any]", Any, CallAdmitted | CallOverLimit | None]:
        """Ask once; None if the owner didn't answer as one."""
        reply = yield self._owners.ask(self._question.partition, self._question)
        return reply if isinstance(reply, CallAdmitted | CallOverLimit) else None

    def _until_there_is_room(self, seconds: float) -> "Deferred[None]":
        LIMIT_WAIT_SECONDS.observe(seconds)
        return deferLater(self._owners.clock, seconds, lambda: None)

    def _admit(self, ticket: Ticket, body: bytes) -> None:
        if self._answer.awaits_admission:
            self._answer.admitted(ticket, body)
        else:
            ticket.never_ran()

    def _refuse(self, ticket: Ticket, refusal: Refusal) -> None:
        ticket.never_ran()
        self._answer.refused(refusal)


def most_wait_seconds(call: OpaqueCall) -> float:
    """Give how long a call may wait for room in its tenant's limit."""
    return within_wait(call, MOST_ROOM_WAIT_SECONDS, MOST_ROOM_WAIT_SHARE)


def over_limit(retry_after_seconds: float) -> Refusal:
    """Give the refusal of a call that its tenant's limit has no room for."""
    return Refusal(TOO_MANY_REQUESTS, OVER_LIMIT_REASON, retry_after_seconds)
