"""Log events of the connections between daemons (200 to 299)."""

from typing import ClassVar

from notcharch.events.event import Event


class PeerConnected(Event, frozen=True):
    """A connection with a peer passed its handshake."""

    number: ClassVar[int] = 200
    peer: str
    incarnation: int
    dialed: bool


class PeerConnectionLost(Event, frozen=True):
    """A connection with a peer ended; its open requests have an unknown outcome."""

    number: ClassVar[int] = 201
    peer: str
    reason: str
    open_requests: int


class PeerDialFailed(Event, frozen=True):
    """A peer could not be connected; the next try follows after a delay."""

    number: ClassVar[int] = 202
    peer: str
    address: str
    reason: str
    retry_seconds: float


class PeerRefused(Event, frozen=True):
    """A handshake was refused: another region, name, version or old process."""

    number: ClassVar[int] = 203
    peer: str
    reason: str


class HandlerFailed(Event, frozen=True):
    """A handler raised an unexpected exception; the peer got `ran: unknown`."""

    number: ClassVar[int] = 204
    peer: str
    message: str
    traceback: str


class MessageNotUnderstood(Event, frozen=True):
    """A peer sent a message that this version does not know or handle."""

    number: ClassVar[int] = 205
    peer: str
    reason: str


class NoticeDropped(Event, frozen=True):
    """A one-way message was dropped because the peer's buffer is full."""

    number: ClassVar[int] = 206
    peer: str
    message: str


class PeerTooSlow(Event, frozen=True):
    """A peer does not read its replies; the connection was closed."""

    number: ClassVar[int] = 207
    peer: str
    buffered_bytes: int
