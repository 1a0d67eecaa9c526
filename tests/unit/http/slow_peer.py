"""A transport of Twisted's own buffering, whose peer reads as tests tell it to."""

from types import SimpleNamespace

from twisted.internet.abstract import FileDescriptor
from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionAborted
from twisted.python.failure import Failure


class SlowPeerTransport(FileDescriptor):
    """Sends only what the peer reads; everything else is Twisted's code."""

    def __init__(self) -> None:
        self.is_reading = True
        self.is_writing = False
        super().__init__(self._reactor())
        self.connected = True
        self.sent = b""
        self.is_aborted = False
        self.is_lost = False
        self.protocol = None
        self._room = 0

    def _reactor(self):
        def set_reading(value):
            self.is_reading = value

        def set_writing(value):
            self.is_writing = value

        return SimpleNamespace(
            addReader=lambda _: set_reading(True),
            removeReader=lambda _: set_reading(False),
            addWriter=lambda _: set_writing(True),
            removeWriter=lambda _: set_writing(False),
            callLater=lambda _seconds, function, *arguments: function(*arguments),
        )

    def attach(self, protocol):
        self.protocol = protocol
        protocol.makeConnection(self)

    def setTcpNoDelay(self, enabled) -> None:  # noqa: N802
        pass

    def getPeer(self):  # noqa: N802
        return SimpleNamespace(host="10.0.0.9")

    def getHost(self):  # noqa: N802
        return IPv4Address("TCP", "10.0.0.1", 80)

    def writeSomeData(self, data):  # noqa: N802
        piece = bytes(data[: self._room])
        self._room -= len(piece)
        self.sent += piece
        return len(piece)

    def read(self, most: int = 1 << 30) -> None:
        """Let the peer read up to so many bytes."""
        self._room = most
        while self.is_writing and self._room and not self.is_aborted:
            failure = self.doWrite()
            if failure is not None:
                self.lose(failure)
                return

    def send_for_a_turn(self) -> None:
        """Let the peer read what one turn of the reactor sends."""
        self._room = 1 << 30
        self.doWrite()

    @property
    def held(self) -> int:
        """Bytes in Twisted's buffers."""
        return len(self.dataBuffer) - self.offset + self._tempDataLen

    def abortConnection(self) -> None:  # noqa: N802
        self.is_aborted = True
        self.disconnecting = True

    def lose(self, reason=None) -> None:
        """Call connectionLost, as the reactor does in the turn after an abort."""
        if self.is_lost:
            return
        self.is_lost = True
        reason = reason or Failure(ConnectionAborted())
        self.connectionLost(reason)
        self.protocol.connectionLost(reason)
