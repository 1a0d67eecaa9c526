"""Events of the tokens that owners grant to running calls: 2350 to 2359."""

from typing import ClassVar

from notcharch.events.event import Event


class GrantAwaited(Event, frozen=True):
    """Events of a stream wait, since the owner of its program's account granted no more."""

    number: ClassVar[int] = 2350
    request: str
    program: str
    partition: int
    owner: str
    granted_tokens: int
    relayed_tokens: int
    waiting_tokens: int
    most_tokens: int
    waited_seconds: float


class GrantWaitEnded(Event, frozen=True):
    """Such a stream goes on: more was granted, or its turn was stored."""

    number: ClassVar[int] = 2351
    request: str
    program: str
    partition: int
    owner: str
    granted_tokens: int
    relayed_tokens: int
    waiting_tokens: int
    most_tokens: int
    waited_seconds: float
