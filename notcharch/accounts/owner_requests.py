"""Sends requests to the known owners of partitions."""

from collections.abc import Callable

import msgspec
from result import Err, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from notcharch.accounts.messages import NotOwner
from notcharch.accounts.outage_refusals import OutageRefusals
from notcharch.calls.interface import STATE_UNKNOWN, OpaqueCall, Refusal
from notcharch.calls.retry_after import with_retry_after
from notcharch.errors import Problem
from notcharch.journal.owner_directory import OwnerDirectory
from notcharch.journal.partitioning import Partitioning
from notcharch.wire.messages.base import Message
from notcharch.wire.peers import PeerNetwork

REQUEST_TIMEOUT_SECONDS = 0.5
"""Timeout of one request, after which it is retried at the owner known then."""

Reply = Result[Message, Problem]


class OwnerRequests(msgspec.Struct, frozen=True):
    """Sends requests to owners, and updates the owner directory from their replies."""

    clock: IReactorTime
    network: PeerNetwork
    directory: OwnerDirectory
    partitioning: Partitioning
    service_silence: Callable[[], float] = lambda: 0.0
    """Seconds since the log service stopped responding to this daemon; 0 if it responds."""
    outages: OutageRefusals | None = None
    """Refuses calls early while the log service is down; None where they wait."""

    def send_request(
        self, partition: int, message: Message
    ) -> "Deferred[Message | None]":
        """Send a request to a partition's owner; fires with None if no owner decides.

        It fires with `NotOwner` if the owner can't decide because the store is down.
        """
        owner = self.directory.owner(partition)
        if owner is None:
            self.directory.suspect_stale()
            unanswered: Deferred[Message | None] = Deferred()
            unanswered.callback(None)
            return unanswered
        reply = self.network.request(owner.daemon, message, REQUEST_TIMEOUT_SECONDS)
        return reply.addCallback(self._check_reply, partition)

    def _check_reply(self, reply: Reply, partition: int) -> Message | None:
        if isinstance(reply, Err):
            self.directory.suspect_stale()
            return None
        message = reply.ok_value
        if isinstance(message, NotOwner):
            self.directory.suspect_stale()
            self.directory.apply_hint(partition, message.owner)
            return message if self._is_outage_confirmed(message) else None
        return message

    def _is_outage_confirmed(self, reply: NotOwner) -> bool:
        """Return whether the store is down both here and for the owner.

        A daemon that alone can't reach the store may have lost its partitions to another
        daemon, which a later request finds.
        """
        has_outage = self.outages is not None and self.outages.known_seconds() > 0.0
        return has_outage and reply.store_outage_seconds > 0.0

    def gives_up(self, requests: int) -> bool:
        """Return whether to ask no more owner, after so many requests in vain."""
        return self.outages is not None and self.outages.gives_up(requests)

    def undecided_refusal(self, call: OpaqueCall) -> Refusal:
        """Return the refusal of a call that no owner decided in time."""
        now = self.clock.seconds()
        outage = 0.0 if self.outages is None else self.outages.known_seconds()
        if self.outages is not None and outage > 0.0:
            return self.outages.refusal(call, outage, is_owners_decision=False)
        return with_retry_after(STATE_UNKNOWN, self.service_silence(), call, now)

    def send_notice(self, partition: int, message: Message) -> None:
        """Send a notice to a partition's owner, if one is known."""
        owner = self.directory.owner(partition)
        if owner is not None:
            self.network.notify(owner.daemon, message)
