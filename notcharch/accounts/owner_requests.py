"""Requests to the owners of partitions, as far as they are known."""

from collections.abc import Callable

import msgspec
from result import Err, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from notcharch.accounts.messages import NotOwner
from notcharch.calls.interface import STATE_UNKNOWN, OpaqueCall, Refusal
from notcharch.calls.retry_after import with_retry_after
from notcharch.errors import Problem
from notcharch.journal.owner_directory import OwnerDirectory
from notcharch.journal.partitioning import Partitioning
from notcharch.wire.messages.base import Message
from notcharch.wire.peers import PeerNetwork

ASK_SECONDS = 0.5
"""An owner that doesn't answer in this time is asked again, or its successor is."""

Reply = Result[Message, Problem]


class OwnerRequests(msgspec.Struct, frozen=True):
    """Asks owners, and learns from answers who they are."""

    clock: IReactorTime
    network: PeerNetwork
    directory: OwnerDirectory
    partitioning: Partitioning
    service_silence: Callable[[], float] = lambda: 0.0
    """Seconds for which the log service has not answered this daemon; 0 if it does."""

    def ask(self, partition: int, message: Message) -> "Deferred[Message | None]":
        """Send a request to a partition's owner; None if it didn't answer as one."""
        owner = self.directory.owner(partition)
        if owner is None:
            self.directory.suspect_stale()
            nobody: Deferred[Message | None] = Deferred()
            nobody.callback(None)
            return nobody
        asking = self.network.request(owner.daemon, message, ASK_SECONDS)
        return asking.addCallback(self._look, partition)

    def _look(self, reply: Reply, partition: int) -> Message | None:
        if isinstance(reply, Err):
            self.directory.suspect_stale()
            return None
        message = reply.ok_value
        if isinstance(message, NotOwner):
            self.directory.suspect_stale()
            self.directory.apply_hint(partition, message.owner)
            return None
        return message

    def unsure(self, call: OpaqueCall) -> Refusal:
        """Give the refusal of a call that no owner decided in time."""
        now = self.clock.seconds()
        return with_retry_after(STATE_UNKNOWN, self.service_silence(), call, now)

    def tell(self, partition: int, message: Message) -> None:
        """Send a notice to a partition's owner, if one is known."""
        owner = self.directory.owner(partition)
        if owner is not None:
            self.network.notify(owner.daemon, message)
