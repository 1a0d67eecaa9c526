"""Active suspicions: when to probe a suspected member, and when it counts as dead."""

import msgspec

from notcharch.values.identifiers import Member

PROBES_PER_SUSPICION = 3
"""Direct probes of a suspected member, spread evenly over the suspicion timeout."""


class Suspicion(msgspec.Struct):
    """The times of the remaining probes, and when the member is declared dead."""

    probe_times: list[float]
    deadline: float

    @property
    def next_time(self) -> float:
        """The time of the next probe, or the deadline after the last one."""
        return self.probe_times[0] if self.probe_times else self.deadline


class Suspicions:
    """The members that this process suspects, by its own or others' claims."""

    def __init__(self, suspicion_seconds: float) -> None:
        """Start without suspicions."""
        self._seconds = suspicion_seconds
        self._running: dict[Member, Suspicion] = {}

    def start(self, member: Member, now: float) -> None:
        """Start or restart the timeout within which the member may refute."""
        interval = self._seconds / (PROBES_PER_SUSPICION + 1)
        probe_times = [
            now + interval * (number + 1) for number in range(PROBES_PER_SUSPICION)
        ]
        self._running[member] = Suspicion(probe_times, now + self._seconds)

    def stop(self, member: Member) -> None:
        """End a suspicion, if there is one."""
        self._running.pop(member, None)

    def take_expired(self, now: float) -> list[Member]:
        """Remove and return the members whose suspicion timed out."""
        members = [m for m, running in self._running.items() if running.deadline <= now]
        for member in members:
            del self._running[member]
        return members

    def take_due_probes(self, now: float) -> list[Member]:
        """Return the members to probe now, each once per scheduled probe."""
        members = []
        for member, running in self._running.items():
            if running.probe_times and running.probe_times[0] <= now:
                running.probe_times.pop(0)
                members.append(member)
        return members

    def restart(self, now: float) -> None:
        """Restart the timeout of every suspicion."""
        for member in tuple(self._running):
            self.start(member, now)

    def next_time(self) -> float | None:
        """Return the earliest time of a probe or deadline, or None."""
        return min((s.next_time for s in self._running.values()), default=None)
