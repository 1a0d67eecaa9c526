"""Admission of calls by their tenants' rate limits, after their programs' accounts.

The owner of a tenant's limit decides about each call of the tenant, whichever daemon
received it. The owner may admit a call for a later time; the daemon delays it until then.
"""

from collections.abc import Generator
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from notcharch.accounts.messages import AdmitCall, CallAdmitted, CallOverLimit
from notcharch.accounts.metrics import LIMIT_WAIT_SECONDS
from notcharch.accounts.owner_requests import OwnerRequests
from notcharch.accounts.request_retry import limit_to_caller_wait, request_until_decided
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

MAX_CAPACITY_WAIT_SECONDS = 0.6
"""Maximum delay of a call until its tenant's limit has capacity. It is shorter than the
time after which a refused caller retries, and costs no retry."""
MAX_CAPACITY_WAIT_SHARE = 0.25
"""Maximum share of the caller's wait for the same delay."""


class LimitedAdmission:
    """Applies tenants' rate limits to the calls that their accounts admitted."""

    def __init__(
        self, accounts: Admission, owners: OwnerRequests, *, shapes: bool = True
    ) -> None:
        """`accounts` decide first: a call that they refuse does not use the limit.

        `shapes`: whether calls are delayed until capacity that becomes available soon.
        """
        self._accounts = accounts
        self._owners = owners
        self._shapes = shapes

    def request(
        self, call: OpaqueCall, route: Route, listener: AdmissionListener
    ) -> None:
        """Admit or refuse a call through `listener`."""
        if call.tenant is None or call.tenant.limit is None:
            self._accounts.request(call, route, listener)
            return
        max_wait = max_wait_seconds(call) if self._shapes else 0.0
        limit_request = LimitRequest(self._owners, call, route, listener, max_wait)
        self._accounts.request(call, route, limit_request)


class LimitRequest:
    """Requests the decision of the limit's owner once the account admits a call."""

    def __init__(
        self,
        owners: OwnerRequests,
        call: OpaqueCall,
        route: Route,
        listener: AdmissionListener,
        max_wait_seconds: float,
    ) -> None:
        """Notify `listener`; the call is delayed by at most `max_wait_seconds`."""
        self._owners = owners
        self._call = call
        self._listener = listener
        partition = owners.partitioning.of_tenant(call.tenant_name)
        self._request = AdmitCall(
            partition,
            call.tenant_name,
            call.id,
            call.program,
            route.name,
            max_wait_seconds,
        )

    @property
    def awaits_admission(self) -> bool:
        """Whether the caller is still connected and waits."""
        return self._listener.awaits_admission

    def refused(self, refusal: Refusal) -> None:
        """Forward the account's refusal."""
        self._listener.refused(refusal)

    def reserve_memory(self, size: int) -> bool:
        """Hold memory for the turns before the call, as part of the call."""
        return self._listener.reserve_memory(size)

    def admitted(self, ticket: Ticket, body: bytes) -> None:
        """Request a decision from the owner of the tenant's limit."""
        self._request_decision(ticket, body)

    @inlineCallbacks
    def _request_decision(
        self, ticket: Ticket, body: bytes
    ) -> Generator["Deferred[Any]", Any, None]:
        reply = yield request_until_decided(
            self._owners.clock,
            self._call,
            lambda: self._listener.awaits_admission,
            self._request_once,
            gives_up=self._owners.gives_up,
        )
        if isinstance(reply, CallAdmitted):
            if reply.wait_seconds > 0.0:
                yield self._wait_for_capacity(reply.wait_seconds)
            self._admit(ticket, body)
        elif isinstance(reply, CallOverLimit):
            self._refuse(ticket, over_limit(reply.retry_after_seconds))
        else:
            self._refuse(ticket, self._owners.undecided_refusal(self._call))

    @inlineCallbacks
    def _request_once(
        self,
    ) -> Generator["Deferred[Any]", Any, CallAdmitted | CallOverLimit | None]:
        """Send one request; None if no owner decided."""
        reply = yield self._owners.send_request(self._request.partition, self._request)
        return reply if isinstance(reply, CallAdmitted | CallOverLimit) else None

    def _wait_for_capacity(self, seconds: float) -> "Deferred[None]":
        LIMIT_WAIT_SECONDS.observe(seconds)
        return deferLater(self._owners.clock, seconds, lambda: None)

    def _admit(self, ticket: Ticket, body: bytes) -> None:
        if self._listener.awaits_admission:
            self._listener.admitted(ticket, body)
        else:
            ticket.never_ran()

    def _refuse(self, ticket: Ticket, refusal: Refusal) -> None:
        ticket.never_ran()
        self._listener.refused(refusal)


def max_wait_seconds(call: OpaqueCall) -> float:
    """Return how long a call may be delayed for capacity of its tenant's limit."""
    return limit_to_caller_wait(
        call, MAX_CAPACITY_WAIT_SECONDS, MAX_CAPACITY_WAIT_SHARE
    )


def over_limit(retry_after_seconds: float) -> Refusal:
    """Return the refusal of a call that exceeds its tenant's limit."""
    return Refusal(TOO_MANY_REQUESTS, OVER_LIMIT_REASON, retry_after_seconds)
