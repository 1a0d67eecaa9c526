"""The programs that were refused, and when each was told to return. Pure.

A program that returns when told precedes those that come for the first time. The times
are spread by what each program needs, so that callers return in the order in which they
can be served.
"""

import msgspec

RETURN_GRACE_SECONDS = 0.5
"""How long a place is kept for a program that does not return when told."""
EARLY_SECONDS = 0.01
"""How much earlier than told a program may return; times are sent rounded."""
MAX_PLACES = 32
"""Maximum number of programs that have a place; limits the cost of a decision."""


class Place(msgspec.Struct):
    """A refused program's place in the queue."""

    kind: str
    at: float
    """Clock time at which the program was told to return."""
    first_refused_at: float
    refusals: int = 1


class ReturnQueue:
    """The places of refused programs, in the order of their times."""

    def __init__(self) -> None:
        """Start empty."""
        self._places: dict[str, Place] = {}

    def forget_absent(self, now: float) -> None:
        """Remove programs that did not return in time."""
        oldest = now - RETURN_GRACE_SECONDS
        absent = [name for name, place in self._places.items() if place.at < oldest]
        for name in absent:
            del self._places[name]

    def before(self, program: str) -> list[Place]:
        """Return the places that precede a program, all of them if it has none."""
        own = self._places.get(program)
        return [
            place
            for place in self._places.values()
            if place is not own and (own is None or place.at <= own.at)
        ]

    def is_due(self, program: str, now: float) -> bool:
        """Return whether a program has a place and returned no earlier than told."""
        place = self._places.get(program)
        return place is not None and now >= place.at - EARLY_SECONDS

    def refuse(self, program: str, kind: str, now: float, at: float) -> None:
        """Give a program a place, or a later one."""
        place = self._places.get(program)
        if place is not None:
            place.at = at
            place.refusals += 1
        elif program and len(self._places) < MAX_PLACES:
            self._places[program] = Place(kind, at, now)

    def admit(self, program: str) -> Place | None:
        """Remove a program, which begins; return its place if it had one."""
        return self._places.pop(program, None)
