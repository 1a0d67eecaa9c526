"""Polls the platform's machine list and passes its changes to listeners.

A poll starts every `poll_seconds` even while earlier polls are in flight, so that lost
responses do not delay updates. Responses may arrive in any order. While the machine list
is unreachable, the last known state remains in use.
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
"""Maximum number of polls in flight. Beyond it the second oldest poll is cancelled. The
oldest is left to complete, because a slow service may still respond to it."""

Outcome = Any
"""A `Result`, or a `Failure` raised by the port."""

MachineListener = Callable[[MachineChanges], None]


class MachineListFollower:
    """Polls the machine list of one region for changes since the last version."""

    def __init__(
        self,
        clock: IReactorTime,
        port: MachineListPort,
        region: RegionName,
        poll_seconds: float,
    ) -> None:
        """Create a stopped follower without a version."""
        self._port = port
        self._region = region
        self._poll_seconds = poll_seconds
        self._version: int | None = None
        self._open_polls: list[Deferred[Result[MachineChanges, Problem]]] = []
        self._is_failing = False
        self._listeners: list[MachineListener] = []
        self._loop = LoopingCall(self._poll)
        self._loop.clock = clock

    @property
    def version(self) -> int | None:
        """The version of the list last applied, or None before the first response."""
        return self._version

    def on_changes(self, listener: MachineListener) -> None:
        """Register `listener`; the first changes passed to it are the full list."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Poll immediately, then every `poll_seconds`."""
        self._loop.start(self._poll_seconds, now=True)

    def stop(self) -> None:
        """Stop polling and ignore the responses to polls in flight."""
        if self._loop.running:
            self._loop.stop()

    def _poll(self) -> None:
        if len(self._open_polls) >= MAX_OPEN_POLLS:
            self._open_polls[1].cancel()
        after = self._version
        poll = self._port.changes(self._region, after)
        self._open_polls.append(poll)
        poll.addBoth(self._remove_poll, poll)
        poll.addCallbacks(
            self._apply_response, self._handle_error, callbackArgs=(after,)
        )

    def _remove_poll(self, outcome: Outcome, poll: "Deferred[Outcome]") -> Outcome:
        self._open_polls.remove(poll)
        return outcome

    def _handle_error(self, failure: Failure) -> None:
        self._note_failure(repr(failure.value))

    def _apply_response(
        self, result: Result[MachineChanges, Problem], after: int | None
    ) -> None:
        if not self._loop.running:
            return
        if isinstance(result, Err):
            self._note_failure(result.err_value.message)
            return
        self._note_success()
        changes = result.ok_value
        if self._is_newer(changes, after):
            self._version = changes.version
            for listener in self._listeners:
                listener(changes)

    def _is_newer(self, changes: MachineChanges, after: int | None) -> bool:
        if self._version is None or changes.version > self._version:
            return True
        # The service restarted with a lower version: it returned the full list for a
        # request for the changes since the current version.
        return changes.full and after == self._version != changes.version

    def _note_failure(self, reason: str) -> None:
        if not self._is_failing:
            emit(MachineListLost(reason))
        self._is_failing = True

    def _note_success(self) -> None:
        if self._is_failing:
            emit(MachineListRestored())
        self._is_failing = False
