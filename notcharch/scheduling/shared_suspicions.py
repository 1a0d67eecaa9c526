"""Which engines daemons suspect together. Pure.

One daemon of many sees few answers of each engine. So what it suspects rides on messages
that it sends to its peers in any case, a few engines at a time, each with the time for
which it is still suspected. That time only shrinks on the way, so what nobody sees again
is forgotten everywhere.
"""

import msgspec

MAX_SUSPICIONS_PER_MESSAGE = 4
"""So many engines are told of at a time."""
MAX_SUSPICION_SECONDS = 4.0
"""What a peer tells is believed for no longer."""
LOCAL_RESPONSE_SECONDS = 1.0
"""Own answers of an engine that are this young count for more than what peers tell."""
MIN_SHARED_SECONDS = 0.1
"""A suspicion that ends sooner isn't told."""
MAX_SUSPECTED_SHARE = 1 / 3
"""When peers suspect more of the engines than this, something else is wrong."""


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """An engine that is suspected for some seconds more."""

    engine: str
    seconds: float


class SharedSuspicions:
    """What this daemon and its peers suspect."""

    def __init__(self, *, is_shared: bool = True) -> None:
        """Begin without suspicion; without sharing it neither tells nor believes."""
        self._is_shared = is_shared
        self._until: dict[str, float] = {}
        """Clock seconds at which the suspicion of an engine ends."""

    def suspect(self, engine: str, until: float) -> None:
        """Take our own suspicion, up to some clock seconds."""
        if self._is_shared:
            self._until[engine] = max(until, self._until.get(engine, 0.0))

    def merge(self, received: tuple[Suspicion, ...], now: float) -> None:
        """Take what a peer tells."""
        for suspicion in received:
            seconds = min(suspicion.seconds, MAX_SUSPICION_SECONDS)
            self.suspect(suspicion.engine, now + seconds)

    def to_send(self, now: float) -> tuple[Suspicion, ...]:
        """Give what to tell a peer: the longest suspicions."""
        self._forget(now)
        longest = sorted(self._until.items(), key=lambda item: item[1], reverse=True)
        return tuple(
            Suspicion(engine, round(until - now, 2))
            for engine, until in longest[:MAX_SUSPICIONS_PER_MESSAGE]
            if until - now >= MIN_SHARED_SECONDS
        )

    def _forget(self, now: float) -> None:
        for engine in [name for name, until in self._until.items() if until <= now]:
            del self._until[engine]

    def is_suspected(self, engine: str, now: float) -> bool:
        """Tell whether anybody suspects an engine."""
        return self._until.get(engine, 0.0) > now

    @property
    def has_any(self) -> bool:
        """Tell whether there is any suspicion at all."""
        return bool(self._until)
