"""Leased allotments of a service's concurrency, asked of the service's limiter.

The limiter of a service is the leader of the partition that its name hashes
to, so an allotment outlives the daemon that granted it.
"""

from notcharch.values.identifiers import Member, ServiceName
from notcharch.wire.messages.base import Message


class RequestAllotment(Message, frozen=True):
    """Ask for (or renew, or return) concurrency slots.

    `wanted` is what the holder could use now and replaces earlier asks.
    `held` is a promise: until it has the reply, the holder uses no more slots
    than that, so only slots above it can go to others. `number` grows with
    each request of the process; a lower one than seen is ignored. Reply:
    `AllotmentGranted` or `Refusal`.
    """

    service: ServiceName
    holder: Member
    number: int
    wanted: int
    held: int


class AllotmentGranted(Message, frozen=True):
    """The holder's whole allotment, valid from when it SENT the request.

    `slots` may be 0 or less than `held`: then nothing new starts until enough
    of the running calls have ended.
    """

    service: ServiceName
    number: int
    slots: int
    lease_seconds: float


class YieldSlots(Message, frozen=True):
    """A notice to a holder that others wait: renew now, with the true demand."""

    service: ServiceName


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
