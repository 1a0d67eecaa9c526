"""Deadlines of running suspicions."""

from notcharch.values.identifiers import Member


class Suspicions:
    """The members that are suspected, each with the time of its death."""

    def __init__(self, suspicion_seconds: float) -> None:
        """Begin with none."""
        self._seconds = suspicion_seconds
        self._deadlines: dict[Member, float] = {}

    def start(self, member: Member, now: float) -> None:
        """Start (again) the time in which the member may refute."""
        self._deadlines[member] = now + self._seconds

    def stop(self, member: Member) -> None:
        """End a suspicion, if there is one."""
        self._deadlines.pop(member, None)

    def due(self, now: float) -> list[Member]:
        """Give and remove the members whose time is up."""
        members = [m for m, deadline in self._deadlines.items() if deadline <= now]
        for member in members:
            del self._deadlines[member]
        return members

    def restart(self, now: float) -> None:
        """Give every suspected member its whole time again."""
        for member in self._deadlines:
            self.start(member, now)

    def next_deadline(self) -> float | None:
        """Give the earliest time of a death, or None."""
        return min(self._deadlines.values(), default=None)
