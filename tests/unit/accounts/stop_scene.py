"""Daemons with streams of stored turns that are told to stop, on a virtual clock."""

from collections.abc import Callable

import msgspec
from twisted.internet.defer import Deferred

from notcharch.journal.planned_leave import LeaveTerms
from notcharch.platform.planned_stop import MAX_LEAVE_SECONDS
from notcharch.values.identifiers import DaemonName
from tests.unit.accounts.world import STEP_SECONDS, Listener, World

ACCEPT_SECONDS = 2.6
"""After its stop, a daemon accepts connections for so long."""
RELEASE_SECONDS = 7.1
"""After its stop, a daemon releases its partitions at the latest."""
START_SECONDS = 0.5
"""Between the end of a process and the start of the next one of its daemon."""
TEXT = b"data: out\n\n"


class Stream(msgspec.Struct):
    """A call whose turn is stored, and when its engine ends it."""

    gateway: int
    listener: Listener
    ends_at: float
    stored_at: float | None = None
    has_ended: bool = False

    @property
    def is_refused(self) -> bool:
        """Whether it was not admitted."""
        return self.listener.refusal is not None

    @property
    def is_open(self) -> bool:
        """Whether its caller waits for the end."""
        return self.stored_at is None and not self.is_refused


class StopScene:
    """A world whose daemons end when their calls have ended, and may start again."""

    def __init__(self, daemons: int, seed: int = 1) -> None:
        self.world = World(daemons=daemons, seed=seed)
        self.streams: list[Stream] = []
        self.stopped_at: dict[DaemonName, float] = {}
        self.ended: list[DaemonName] = []
        self.restarts = False
        """Whether daemons start again after their processes ended."""
        self._calls_ended: dict[DaemonName, Deferred[None]] = {}
        self._plans: list[tuple[float, Callable[[], None]]] = []

    @property
    def now(self) -> float:
        return self.world.clock.seconds()

    def stream(self, gateway: int, program: str, seconds: float) -> Stream:
        """Begin a call that its engine ends after so many seconds."""
        world = self.world
        call = world.call(program, wait_seconds=seconds + 3.0)
        listener = world.wait_for_decision(call, gateway, stores_turns=True)
        assert listener.ticket is not None, listener.refusal
        stream = Stream(gateway, listener, self.now + seconds)
        self.streams.append(stream)
        return stream

    def offer(self, gateway: int, seconds: float = 1.0) -> Stream:
        """Send a call of a new program, which its engine ends after some seconds."""
        world = self.world
        call = world.call(f"new-{len(self.streams)}", wait_seconds=seconds + 3.0)
        listener = world.request_admission(call, gateway, stores_turns=True)
        stream = Stream(gateway, listener, self.now + seconds)
        self.streams.append(stream)
        return stream

    def at(self, seconds: float, change: Callable[[], None]) -> None:
        """Plan a change so many seconds from now."""
        self._plans.append((self.now + seconds, change))

    def stop(self, gateway: int) -> None:
        """Tell a daemon to stop; its process ends when it has left."""
        name = self.world.names[gateway]
        self.stopped_at[name] = self.now
        calls_ended = self._calls_ended[name] = Deferred()
        terms = LeaveTerms(calls_ended, RELEASE_SECONDS, MAX_LEAVE_SECONDS)
        left = self.world.services[name].leave(terms)
        left.addBoth(lambda _: self.ended.append(name))

    def _has_calls(self, name: DaemonName) -> bool:
        if self.now - self.stopped_at[name] < ACCEPT_SECONDS:
            return True
        gateway = self.world.names.index(name)
        return any(item.is_open for item in self.streams if item.gateway == gateway)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self._step()

    def _step(self) -> None:
        self.world.run(STEP_SECONDS)
        due = [change for at, change in self._plans if at <= self.now]
        self._plans = [plan for plan in self._plans if plan[0] > self.now]
        for change in due:
            change()
        for stream in self.streams:
            self._advance(stream)
        for name, calls_ended in self._calls_ended.items():
            if not calls_ended.called and not self._has_calls(name):
                calls_ended.callback(None)
        for name in tuple(self.ended):
            self._end(name)

    def _advance(self, stream: Stream) -> None:
        ticket = stream.listener.ticket
        if ticket is not None and not stream.has_ended and self.now >= stream.ends_at:
            stream.has_ended = True
            stream.ends_at = self.now
            ticket.completed(TEXT, 1, stream.listener)
        if stream.is_open and stream.listener.is_durable:
            stream.stored_at = self.now

    def _end(self, name: DaemonName) -> None:
        if self._has_calls(name):
            return
        self.ended.remove(name)
        self.world.crash(name)
        del self.stopped_at[name], self._calls_ended[name]
        if self.restarts:
            self.at(START_SECONDS, lambda: self.world.start(name))

    def late_streams(self, seconds: float) -> list[tuple[int, float, float | None]]:
        """Return the streams that were not stored within some seconds of their ends."""
        return [
            (stream.gateway, stream.ends_at, stream.stored_at)
            for stream in self.streams
            if stream.stored_at is None or stream.stored_at > stream.ends_at + seconds
        ]
