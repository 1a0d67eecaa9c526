"""Leased allotments of a service's concurrency, asked of the service's limiter.

The limiter of a service is the leader of the partition that its name hashes
to, so an allotment outlives the daemon that granted it.
"""

from notcharch.values.identifiers import Member, ServiceName
from notcharch.wire.messages.base import Message


class RequestAllotment(Message, frozen=True):
    """Ask for (or renew) concurrency slots; `wanted` replaces earlier asks.

    `in_use` slots cannot be taken back by the reply. Reply:
    `AllotmentGranted` or `Refusal` (CONCURRENCY_EXHAUSTED with retry_after).
    """

    service: ServiceName
    holder: Member
    wanted: int
    in_use: int


class AllotmentGranted(Message, frozen=True):
    """The holder's whole allotment, valid from when it SENT the request."""

    service: ServiceName
    slots: int
    lease_seconds: float


class ListAllotments(Message, frozen=True):
    """Ask a daemon for the allotments of the services it limits."""


class AllotmentDescription(Message, frozen=True):
    """One holder's lease; `expires_in_seconds` by the limiter's clock."""

    service: ServiceName
    holder: Member
    slots: int
    expires_in_seconds: float


class AllotmentListing(Message, frozen=True):
    """The allotments of one daemon's services."""

    allotments: tuple[AllotmentDescription, ...]
