"""Messages between daemons about the origins of streams."""

import msgspec

from notcharch.scheduling.stream_origin import StreamOrigin
from notcharch.wire.messages.base import Message


class BegunStream(msgspec.Struct, frozen=True, array_like=True):
    """A stream that began, and for how long it may be resumed."""

    stream: str
    """Id of the attempt that brought its first event, scoped to its tenant."""
    origin: StreamOrigin | None
    """None if the version is not certain: no claim of an only version holds for it."""
    keep_seconds: float


class StreamsBegan(Message, frozen=True):
    """Notice of streams whose origins the receiver holds."""

    streams: tuple[BegunStream, ...]


class AskStreamOrigin(Message, frozen=True):
    """Requests the origin of a stream. Reply: `StreamOriginSeen`."""

    stream: str
    service: str
    """The service whose only version is requested too."""
    route: str
    """The route with the services that the sender knows; empty if it is not certain."""


class StreamOriginSeen(Message, frozen=True):
    """What a daemon knows of a stream."""

    origin: StreamOrigin | None = None
    """None if it holds no record, or records that contradict each other."""
    is_ambiguous: bool = False
    """It holds records that contradict each other."""
    only_version: str = ""
    """The only version that the service has had for as long as streams are resumed.

    Empty if it is not certain, or if the route had other services meanwhile.
    """


STREAM_ORIGIN_MESSAGES: tuple[type[Message], ...] = (
    StreamsBegan,
    AskStreamOrigin,
    StreamOriginSeen,
)
