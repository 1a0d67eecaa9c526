"""Admission of calls by their tenants' rate limits, after their programs' accounts.

The owner of a tenant's limit decides each of its calls, at whichever daemon it arrives.
"""

from collections.abc import Generator
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from notcharch.accounts.admission import AGAIN_SECONDS, hold_seconds
from notcharch.accounts.messages import AdmitCall, CallAdmitted, CallOverLimit
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


class LimitedAdmission:
    """Asks the owner of a tenant's limit about calls that were let in otherwise."""

    def __init__(self, accounts: Admission, owners: OwnerRequests) -> None:
        """`accounts` decide first: what they refuse doesn't count against the limit."""
        self._accounts = accounts
        self._owners = owners

    def ask(self, call: OpaqueCall, route: Route, answer: AdmissionListener) -> None:
        """Admit a call, or refuse it, through `answer`."""
        if call.tenant is None or call.tenant.limit is None:
            self._accounts.ask(call, route, answer)
            return
        question = LimitQuestion(self._owners, call, route, answer)
        self._accounts.ask(call, route, question)


class LimitQuestion:
    """One call that its account may let in, on its way to the owner of the limit."""

    def __init__(
        self,
        owners: OwnerRequests,
        call: OpaqueCall,
        route: Route,
        answer: AdmissionListener,
    ) -> None:
        """Pass on to `answer` what comes of it."""
        self._owners = owners
        self._call = call
        self._answer = answer
        partition = owners.partitioning.of_tenant(call.tenant_name)
        self._question = AdmitCall(
            partition, call.tenant_name, call.id, call.program, route.name
        )

    @property
    def wants_admission(self) -> bool:
        """Whether the caller is still there and waits."""
        return self._answer.wants_admission

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
        clock = self._owners.clock
        until = self._call.arrived + hold_seconds(self._call)
        while self._answer.wants_admission:
            reply = yield self._owners.ask(self._question.partition, self._question)
            if isinstance(reply, CallAdmitted):
                self._answer.admitted(ticket, body)
                return
            if isinstance(reply, CallOverLimit):
                self._refuse(ticket, over_limit(reply.retry_after_seconds))
                return
            if clock.seconds() >= until:
                break
            yield deferLater(clock, AGAIN_SECONDS, lambda: None)
        self._refuse(ticket, self._owners.unsure(self._call))

    def _refuse(self, ticket: Ticket, refusal: Refusal) -> None:
        ticket.never_ran()
        self._answer.refused(refusal)


def over_limit(retry_after_seconds: float) -> Refusal:
    """Give the refusal of a call that its tenant's limit has no room for."""
    return Refusal(TOO_MANY_REQUESTS, OVER_LIMIT_REASON, retry_after_seconds)
