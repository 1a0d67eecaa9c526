"""Suspected engines, shared between daemons. Pure.

With many daemons, each one sees only a few responses of an engine. So daemons attach a
few suspected engines to messages that they send to peers anyway, each with the
remaining seconds of its suspicion. The time is never extended on the way, so a
suspicion that no daemon renews expires everywhere.
"""

import msgspec

MAX_SUSPICIONS_PER_MESSAGE = 4
"""Maximum number of engines in a message."""
MAX_SUSPICION_SECONDS = 4.0
"""Upper bound of a suspicion that a peer reports."""
LOCAL_RESPONSE_SECONDS = 1.0
"""A local response at most this old overrides what peers report."""
MIN_SHARED_SECONDS = 0.1
"""A suspicion that ends sooner isn't sent."""
MAX_SUSPECTED_SHARE = 1 / 3
"""Suspicions of peers are ignored when they cover a larger share of the engines."""


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """An engine that is suspected for a number of seconds."""

    engine: str
    seconds: float


class SharedSuspicions:
    """The engines that this daemon and its peers suspect."""

    def __init__(self, *, is_shared: bool = True) -> None:
        """Start without suspicions; unless `is_shared`, none are sent or accepted."""
        self._is_shared = is_shared
        self._until: dict[str, float] = {}
        """Clock seconds at which the suspicion of an engine ends."""

    def suspect(self, engine: str, until: float) -> None:
        """Record a local suspicion, until a clock time."""
        if self._is_shared:
            self._until[engine] = max(until, self._until.get(engine, 0.0))

    def merge(self, received: tuple[Suspicion, ...], now: float) -> None:
        """Record the suspicions that a peer sent."""
        for suspicion in received:
            seconds = min(suspicion.seconds, MAX_SUSPICION_SECONDS)
            self.suspect(suspicion.engine, now + seconds)

    def to_send(self, now: float) -> tuple[Suspicion, ...]:
        """Return the suspicions to send to a peer: those that end last."""
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
        """Return whether this daemon or a peer suspects an engine."""
        return self._until.get(engine, 0.0) > now

    @property
    def has_any(self) -> bool:
        """Return whether there are any suspicions."""
        return bool(self._until)
