"""Follows the platform's machine list, and gives its changes to listeners.

A poll starts each `poll_seconds` also while earlier ones await their answers, so
that lost answers do not make the list older; answers may come in any order. A
list that is down or silent changes nothing.
"""

from collections.abc import Callable
from typing import Any

from result import Err, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from notcharch.clients.ports import MachineChanges, MachineListPort
from notcharch.errors import Problem
from notcharch.events.event import emit
from notcharch.events.membership import MachineListLost, MachineListRestored
from notcharch.values.identifiers import RegionName

MAX_OPEN_POLLS = 4
"""Beyond it the second oldest poll is given up for a new one. The oldest stays, so
that a slow list is followed as well as one that lost answers."""

Outcome = Any
"""A result, or a failure of the port."""

MachineListener = Callable[[MachineChanges], None]


class MachineListFollower:
    """Polls the list of one region for what changed since the last answer."""

    def __init__(
        self,
        clock: IReactorTime,
        port: MachineListPort,
        region: RegionName,
        poll_seconds: float,
    ) -> None:
        """Begin stopped, knowing nothing of the list."""
        self._port = port
        self._region = region
        self._poll_seconds = poll_seconds
        self._version: int | None = None
        self._open_polls: list[Deferred[Result[MachineChanges, Problem]]] = []
        self._failing = False
        self._listeners: list[MachineListener] = []
        self._loop = LoopingCall(self._poll)
        self._loop.clock = clock

    @property
    def version(self) -> int | None:
        """The version of the list that was taken in; None before the first."""
        return self._version

    def on_changes(self, listener: MachineListener) -> None:
        """Give every change from now on to `listener`, the first one complete."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Poll now and then regularly."""
        self._loop.start(self._poll_seconds, now=True)

    def stop(self) -> None:
        """Poll no more; answers that still come are ignored."""
        if self._loop.running:
            self._loop.stop()

    def _poll(self) -> None:
        if len(self._open_polls) >= MAX_OPEN_POLLS:
            self._open_polls[1].cancel()
        after = self._version
        answered = self._port.changes(self._region, after)
        self._open_polls.append(answered)
        answered.addBoth(self._close, answered)
        answered.addCallbacks(self._take, self._fail, callbackArgs=(after,))

    def _close(self, outcome: Outcome, poll: "Deferred[Outcome]") -> Outcome:
        self._open_polls.remove(poll)
        return outcome

    def _fail(self, failure: Failure) -> None:
        self._note_failure(repr(failure.value))

    def _take(self, answer: Result[MachineChanges, Problem], after: int | None) -> None:
        if not self._loop.running:
            return
        if isinstance(answer, Err):
            self._note_failure(answer.err_value.message)
            return
        self._note_success()
        changes = answer.ok_value
        if self._is_news(changes, after):
            self._version = changes.version
            for listener in self._listeners:
                listener(changes)

    def _is_news(self, changes: MachineChanges, after: int | None) -> bool:
        if self._version is None or changes.version > self._version:
            return True
        # The list has begun again from a lower version: it was asked for what
        # follows ours and gave everything instead.
        return changes.full and after == self._version != changes.version

    def _note_failure(self, reason: str) -> None:
        if not self._failing:
            emit(MachineListLost(reason))
        self._failing = True

    def _note_success(self) -> None:
        if self._failing:
            emit(MachineListRestored())
        self._failing = False
