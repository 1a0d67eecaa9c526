"""Requests under which the process of an engine ends, and the bound on how many may."""

import enum
from collections import defaultdict
from collections.abc import Iterable
from random import Random

import msgspec

MAX_ENGINES_ENDED = 3
"""A request under which so many engines ended reaches no other."""
COUNTERS = 3
"""Daemons that count the ends under a request; with all of them lost it begins anew."""
DEADLY_SHARE = 0.004
"""Share of the turns and tool calls under which engines end."""
DEADLY_TRIES = 8
"""More than callers make otherwise, so that a missing bound shows."""
OUTAGE_SECONDS = 6.0
"""How long after the begin of its outage a daemon may not know of ends: the outage, and
until it has asked its peers."""


class DeadlyKind(enum.Enum):
    """When an engine ends under a request, by what its body ends with."""

    BEFORE_HEAD = b"deadly before the head\n"
    BETWEEN_EVENTS = b"deadly between events\n"
    IN_BODY = b"deadly in a plain answer\n"


class RequestKey(msgspec.Struct, frozen=True):
    """What all tries of a request have in common."""

    tenant: str
    path: str
    body: bytes


class Try(msgspec.Struct, frozen=True):
    """One try of a caller."""

    key: RequestKey
    daemon: str
    began_at: float
    ended_at: float
    has_left: bool = False
    """Whether the caller left while it ran, so that nobody can tell of an end."""


class DaemonOutage(msgspec.Struct, frozen=True):
    """A daemon that was paused, or lost its memory."""

    daemon: str
    at: float
    loses_memory: bool


class TooManyEnds(msgspec.Struct, frozen=True):
    """A request under which more engines ended than may."""

    key: RequestKey
    engines: list[str]
    bound: int


def draw_deadly(random: Random, *, is_stream: bool) -> bytes:
    """Draw what the body of a request ends with; mostly nothing."""
    if random.random() >= DEADLY_SHARE:
        return b""
    other = DeadlyKind.BETWEEN_EVENTS if is_stream else DeadlyKind.IN_BODY
    return random.choice((DeadlyKind.BEFORE_HEAD, other)).value


def deadly_kind(body: bytes) -> DeadlyKind | None:
    """Return when an engine ends under a request; None if it doesn't."""
    return next((kind for kind in DeadlyKind if body.endswith(kind.value)), None)


class DeadlyEnds:
    """The engines that ended under each request, and what excuses more of them."""

    def __init__(self) -> None:
        """Start without ends."""
        self._ends: dict[RequestKey, list[str]] = defaultdict(list)
        self.outages: list[DaemonOutage] = []

    def engine_ended(self, key: RequestKey, engine: str) -> None:
        """Note an end."""
        self._ends[key].append(engine)

    @property
    def counts(self) -> list[int]:
        """The numbers of engines that ended under the requests."""
        return [len(engines) for engines in self._ends.values()]

    def judge(self, tries: Iterable[Try]) -> list[TooManyEnds]:
        """Compare the ends under each request with its bound."""
        by_key: dict[RequestKey, list[Try]] = defaultdict(list)
        for attempt in tries:
            if attempt.key in self._ends:
                by_key[attempt.key].append(attempt)
        found = []
        for key, engines in self._ends.items():
            bound = self._bound(by_key[key])
            if len(engines) > bound:
                found.append(TooManyEnds(key, engines, bound))
        return found

    def _bound(self, tries: list[Try]) -> int:
        """Return the bound: more for tries at disturbed daemons, and for lost counts."""
        excused = sum(self._is_excused(attempt) for attempt in tries)
        begin = min((attempt.began_at for attempt in tries), default=0.0)
        end = max((attempt.ended_at for attempt in tries), default=0.0)
        lost = sum(
            outage.loses_memory and begin <= outage.at <= end for outage in self.outages
        )
        return MAX_ENGINES_ENDED * (1 + lost // COUNTERS) + excused

    def _is_excused(self, attempt: Try) -> bool:
        return attempt.has_left or any(
            outage.daemon == attempt.daemon
            and attempt.began_at - OUTAGE_SECONDS <= outage.at <= attempt.ended_at
            for outage in self.outages
        )
