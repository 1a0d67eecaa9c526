"""Running suspicions: when to ask the suspected itself, and when it is dead."""

import msgspec

from notcharch.values.identifiers import Member

QUESTIONS = 3
"""How often a suspected member is asked itself, evenly over its time."""


class Suspicion(msgspec.Struct):
    """The times of the questions that are still to be asked, and of the death."""

    questions: list[float]
    deadline: float

    @property
    def next_time(self) -> float:
        """Give when there is something to do."""
        return self.questions[0] if self.questions else self.deadline


class Suspicions:
    """The members that are suspected by this process, for whatever reason."""

    def __init__(self, suspicion_seconds: float) -> None:
        """Begin with none."""
        self._seconds = suspicion_seconds
        self._running: dict[Member, Suspicion] = {}

    def start(self, member: Member, now: float) -> None:
        """Start (again) the time in which the member may refute."""
        part = self._seconds / (QUESTIONS + 1)
        questions = [now + part * (number + 1) for number in range(QUESTIONS)]
        self._running[member] = Suspicion(questions, now + self._seconds)

    def stop(self, member: Member) -> None:
        """End a suspicion, if there is one."""
        self._running.pop(member, None)

    def due(self, now: float) -> list[Member]:
        """Give and remove the members whose time is up."""
        members = [m for m, running in self._running.items() if running.deadline <= now]
        for member in members:
            del self._running[member]
        return members

    def to_ask(self, now: float) -> list[Member]:
        """Give the members that must be asked now, each once a question."""
        members = []
        for member, running in self._running.items():
            if running.questions and running.questions[0] <= now:
                running.questions.pop(0)
                members.append(member)
        return members

    def restart(self, now: float) -> None:
        """Give every suspected member its whole time again."""
        for member in tuple(self._running):
            self.start(member, now)

    def next_time(self) -> float | None:
        """Give the earliest time at which there is something to do, or None."""
        return min((s.next_time for s in self._running.values()), default=None)
