"""Collects the group messages of one turn, so that each daemon gets one notice."""

from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime

from notcharch.values.identifiers import DaemonName
from notcharch.wire.messages.replication import (
    AnyGroupMessage,
    Append,
    ReplicationNotice,
    SnapshotChunk,
)
from notcharch.wire.peers import PeerNetwork

NOTICE_BYTES = 512 * 1024
MESSAGE_OVERHEAD_BYTES = 64


class Outbox:
    """Messages to be sent at the end of the turn of the event loop."""

    def __init__(
        self,
        network: PeerNetwork,
        clock: IReactorTime,
        before_sending: Callable[[], None],
    ) -> None:
        """Call `before_sending` at the end of the turn, to add the last messages."""
        self._network = network
        self._clock = clock
        self._before_sending = before_sending
        self._waiting: dict[DaemonName, list[AnyGroupMessage]] = {}
        self._is_scheduled = False

    def add(self, destination: DaemonName, message: AnyGroupMessage) -> None:
        """Send a message at the end of the turn."""
        self._waiting.setdefault(destination, []).append(message)
        self.schedule()

    def schedule(self) -> None:
        """Make sure that the end of the turn is noticed."""
        if not self._is_scheduled:
            self._is_scheduled = True
            self._clock.callLater(0, self._send_all)

    def _send_all(self) -> None:
        self._before_sending()
        self._is_scheduled = False
        waiting = self._waiting
        self._waiting = {}
        for destination, messages in waiting.items():
            self._send(destination, messages)

    def _send(self, destination: DaemonName, messages: list[AnyGroupMessage]) -> None:
        batch: list[AnyGroupMessage] = []
        size = 0
        for message in messages:
            message_size = _size_of(message)
            if batch and size + message_size > NOTICE_BYTES:
                self._network.notify(destination, ReplicationNotice(tuple(batch)))
                batch = []
                size = 0
            batch.append(message)
            size += message_size
        self._network.notify(destination, ReplicationNotice(tuple(batch)))


def _size_of(message: AnyGroupMessage) -> int:
    """Estimate a message's length on the wire, in bytes."""
    if isinstance(message, SnapshotChunk):
        return MESSAGE_OVERHEAD_BYTES + len(message.data) * 4 // 3
    if isinstance(message, Append):
        commands = sum(len(memoryview(entry.command)) for entry in message.entries)
        return MESSAGE_OVERHEAD_BYTES * (1 + len(message.entries)) + commands
    return MESSAGE_OVERHEAD_BYTES
