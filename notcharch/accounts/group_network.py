"""Shares one peer network among several groups of partitions.

Each group registers handlers as if it were the only user of the network. Messages are
dispatched to a group by partition number or by group name.
"""

import math
from typing import Any

from twisted.internet.defer import Deferred

from notcharch.accounts.messages import NotOwner, PartitionMessage
from notcharch.journal.owner_messages import AskOwners, OwnersSeen
from notcharch.journal.partitioning import Partitioning
from notcharch.values.identifiers import DaemonName, Incarnation, Member
from notcharch.wire.messages.base import Message
from notcharch.wire.peers import NoticeHandler, PeerNetwork, Reply, RequestHandler


class SharedNetwork:
    """Dispatches messages to this daemon's groups."""

    def __init__(self, network: PeerNetwork) -> None:
        """Share `network` among groups."""
        self._network = network
        self._groups: list[GroupNetwork] = []
        self._request_types: set[type[Message]] = set()
        self._notice_types: set[type[Message]] = set()

    def of_group(self, name: str, partitioning: Partitioning) -> "GroupNetwork":
        """Create the view of the network for one group."""
        group = GroupNetwork(self._network, self, name, partitioning)
        self._groups.append(group)
        return group

    def register_request(self, kind: type[Message]) -> None:
        """Register the dispatcher for a request type, if it is not registered yet."""
        if kind not in self._request_types:
            self._request_types.add(kind)
            self._network.on_request(kind, self._handle_request)

    def register_notice(self, kind: type[Message]) -> None:
        """Register the dispatcher for a notice type, if it is not registered yet."""
        if kind not in self._notice_types:
            self._notice_types.add(kind)
            self._network.on_notice(kind, self._handle_notice)

    def _group_of(self, message: Message) -> "GroupNetwork | None":
        return next((group for group in self._groups if group.accepts(message)), None)

    async def _handle_request(self, sender: Member, message: Message) -> Message:
        group = self._group_of(message)
        handler = None if group is None else group.request_handlers.get(type(message))
        if handler is None:
            return _unknown_group_reply(message)
        return await handler(sender, message)

    def _handle_notice(self, sender: Member, message: Message) -> None:
        group = self._group_of(message)
        handler = None if group is None else group.notice_handlers.get(type(message))
        if handler is not None:
            handler(sender, message)


def _unknown_group_reply(message: Message) -> Message:
    """Return the reply for a group that this daemon does not participate in."""
    if isinstance(message, AskOwners):
        return OwnersSeen(math.inf, {})
    return NotOwner()


class GroupNetwork:
    """One group's view of the network; implements `PeerNetwork`."""

    def __init__(
        self,
        network: PeerNetwork,
        shared: SharedNetwork,
        name: str,
        partitioning: Partitioning,
    ) -> None:
        """Use `network` for the messages of a group's partitions."""
        self._network = network
        self._shared = shared
        self._name = name
        self._partitioning = partitioning
        self.request_handlers: dict[type[Message], RequestHandler] = {}
        self.notice_handlers: dict[type[Message], NoticeHandler] = {}

    def accepts(self, message: Message) -> bool:
        """Return whether a message is for this group."""
        if isinstance(message, PartitionMessage):
            return message.partition in self._partitioning.numbers
        return isinstance(message, AskOwners) and message.group == self._name

    @property
    def own_member(self) -> Member:
        """The member of this process."""
        return self._network.own_member

    def request(
        self, destination: DaemonName, message: Message, timeout_seconds: float
    ) -> "Deferred[Reply]":
        """Send a request; the result fires with its reply."""
        reply: Deferred[Any] = self._network.request(
            destination, message, timeout_seconds
        )
        return reply

    def notify(self, destination: DaemonName, message: Message) -> None:
        """Send a one-way message."""
        self._network.notify(destination, message)

    def connected_peers(self) -> tuple[DaemonName, ...]:
        """Return the peers that a notice reaches without a new connection."""
        return self._network.connected_peers()

    def connected_process(self, daemon: DaemonName) -> Incarnation | None:
        """Return the process of a connected peer; None if it is not connected."""
        return self._network.connected_process(daemon)

    def on_request(self, message_type: type[Message], handler: RequestHandler) -> None:
        """Register this group's handler of a request type."""
        self.request_handlers[message_type] = handler
        self._shared.register_request(message_type)

    def on_notice(self, message_type: type[Message], handler: NoticeHandler) -> None:
        """Register this group's handler of a notice type."""
        self.notice_handlers[message_type] = handler
        self._shared.register_notice(message_type)

    def set_address(self, daemon: DaemonName, address: str) -> None:
        """Set the `host:port` of a peer."""
        self._network.set_address(daemon, address)

    def forget(self, daemon: DaemonName) -> None:
        """Remove a disconnected peer; its requests in flight fail."""
        self._network.forget(daemon)
