"""Streams of callers at several daemons, against an oracle of what engines really ran.

The daemons' parts are real from the lifecycle of a call to their messages to peers. The
oracle knows the process behind each engine; daemons know only its entry in the list.
"""

import itertools

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from notcharch.http.client import ResponseFailure
from notcharch.values.identifiers import DaemonName
from tests.unit.stream_origins.world import Daemon, OriginWorld, Stream, event

DAEMONS = 6
VERSIONS = ("v1", "v2")
STEADY_SECONDS = 12.0
ENTRY_SECONDS = 1.2
"""From the start of an engine under its id to its new entry."""

daemon_numbers = st.integers(0, DAEMONS - 1)
stream_numbers = st.integers(0, 30)
versions = st.sampled_from(VERSIONS)


@attrs.define
class Process:
    """What really runs behind an engine's id."""

    version: str
    started_ms: int


@attrs.define
class CallerStream:
    """A stream as its caller sees it, over all attempts."""

    first_attempt: str
    attempt: Stream
    daemon: Daemon
    versions: list[str] = attrs.Factory(list)
    """Of the process that made each event that the caller got."""
    is_attached: bool = True
    """Whether the caller waits for events of the attempt."""
    handled: int = 0
    """Number of the attempt's sends that an engine has received."""
    process: Process | None = None
    """The process that runs the last of them; None if none does."""


class StreamMachine(RuleBasedStateMachine):
    """Random faults of daemons, engines, links and the store.

    Each start of an engine has an id of its own.
    """

    tells_starts = False
    """Whether entries tell when their engine started."""

    def __init__(self) -> None:
        super().__init__()
        self.world = OriginWorld(DAEMONS)
        self.processes: dict[str, Process] = {}
        self.numbers = itertools.count(1)
        self.streams: list[CallerStream] = []
        self.frozen: set[str] = set()
        for _ in range(2):
            self.add_engine("v1")
        self.world.run(STEADY_SECONDS)

    # Helpers

    def _usable(self, daemon: Daemon) -> bool:
        return daemon.is_running and daemon.name not in self.frozen

    def _stream(self, number: int) -> CallerStream | None:
        return self.streams[number % len(self.streams)] if self.streams else None

    def _is_open(self, stream: CallerStream) -> bool:
        return stream.is_attached and not stream.attempt.reply.end

    def _deliver(self) -> None:
        """Let engines receive what daemons sent, as long as that leads to more sends."""
        for stream in self.streams:
            while self._usable(stream.daemon) and stream.handled < len(
                stream.attempt.sent
            ):
                sent = stream.attempt.sent[stream.handled]
                stream.handled += 1
                self._receive(stream, sent)

    def _receive(self, stream: CallerStream, sent) -> None:
        process = self.processes.get(sent.engine.id)
        if process is None:
            sent.listener.unreachable()
        elif process.started_ms != sent.engine.started_ms and sent.is_start_confirmed:
            sent.listener.restarted()
        else:
            stream.process = process

    def _end_process(self, engine_id: str) -> None:
        """Break everything that an engine runs."""
        self.processes.pop(engine_id, None)
        for stream in self.streams:
            sent = stream.attempt.sent
            if not sent or sent[-1].engine.id != engine_id:
                continue
            if self._is_open(stream) and self._usable(stream.daemon):
                sent[-1].listener.failed(ResponseFailure.RESET)
            stream.process = None
        self._deliver()

    def _list(self, engine_id: str) -> None:
        process = self.processes.get(engine_id)
        if process is None:
            self.world.engines.pop(engine_id, None)
        else:
            started_ms = process.started_ms if self.tells_starts else None
            self.world.add_engine(engine_id, process.version, started_ms)

    def _leave(self, stream: CallerStream) -> None:
        """Let the caller of a stream lose its connection."""
        stream.is_attached = False
        if not stream.attempt.reply.end and self._usable(stream.daemon):
            stream.attempt.reply.disconnect()

    # Streams

    @rule(number=daemon_numbers, events=st.integers(0, 2))
    def begin(self, number: int, events: int) -> None:
        daemon = self.world.daemon(number)
        if self._usable(daemon):
            name = f"a{next(self.numbers)}"
            self.streams.append(CallerStream(name, daemon.call(name), daemon))
            self._deliver()
            self._send(self.streams[-1], events)

    @rule(number=stream_numbers, count=st.integers(1, 3))
    def send_events(self, number: int, count: int) -> None:
        stream = self._stream(number)
        if stream is not None:
            self._send(stream, count)

    def _send(self, stream: CallerStream, count: int) -> None:
        """Let the process that runs a stream send events, which the caller gets."""
        if stream.process is None or not self._is_open(stream):
            return
        if not self._usable(stream.daemon) or not count:
            return
        sent = stream.attempt.sent[-1]
        if not hasattr(sent, "has_begun"):
            sent.has_begun = True
            sent.begin()
        for _ in range(count):
            sent.listener.data_received(event(len(stream.versions) + 1))
            stream.versions.append(stream.process.version)

    @rule(number=stream_numbers)
    def break_engine(self, number: int) -> None:
        stream = self._stream(number)
        if stream is None or stream.process is None or not self._is_open(stream):
            return
        if self._usable(stream.daemon):
            stream.process = None
            stream.attempt.sent[-1].listener.failed(ResponseFailure.RESET)
            self._deliver()

    @rule(number=stream_numbers)
    def lose_caller(self, number: int) -> None:
        stream = self._stream(number)
        if stream is not None:
            self._leave(stream)

    @rule(number=stream_numbers, at=daemon_numbers)
    def take_up(self, number: int, at: int) -> None:
        stream, daemon = self._stream(number), self.world.daemon(at)
        if stream is None or not stream.versions or not self._usable(daemon):
            return
        self._leave(stream)
        name = f"b{next(self.numbers)}"
        stream.attempt = daemon.call(name, len(stream.versions), stream.first_attempt)
        stream.daemon, stream.is_attached = daemon, True
        stream.handled, stream.process = 0, None
        self.world.run(0.26)
        self._deliver()
        self._send(stream, 1)

    # Engines

    @rule(version=versions)
    def add_engine(self, version: str) -> None:
        if len(self.processes) < 6:
            number = next(self.numbers)
            self.processes[f"e{number}"] = Process(version, number)
            self._list(f"e{number}")

    @rule(number=stream_numbers, is_listed=st.booleans())
    def crash_engine(self, number: int, is_listed: bool) -> None:
        if self.processes:
            engine_id = sorted(self.processes)[number % len(self.processes)]
            self._end_process(engine_id)
            if not is_listed:
                self._list(engine_id)

    @rule(number=daemon_numbers, version=versions)
    def release_that_a_daemon_misses(self, number: int, version: str) -> None:
        """Add an engine that all daemons but one see, which has just read the list."""
        missing = self.world.daemon(number)
        if self._usable(missing):
            missing.confirm_list()
            self.world.run(0.01)
        missing.follows_store = False
        self.add_engine(version)
        self.world.run(0.5)
        for other in (number + 1, number + 2):
            self.begin(other % DAEMONS, 1)
        self._take_up_last(2, number)

    @rule(number=daemon_numbers, version=versions)
    def replacement_that_a_daemon_misses(self, number: int, version: str) -> None:
        """Replace all entries, so that streams begin at the new ones at once.

        The engines that left serve on, and the daemon that misses it has just read the list.
        """
        missing = self.world.daemon(number)
        if self._usable(missing):
            missing.confirm_list()
            self.world.run(0.01)
        missing.follows_store = False
        self.world.engines.clear()
        added = next(self.numbers)
        self.processes[f"e{added}"] = Process(version, added)
        self._list(f"e{added}")
        self.world.run(0.5)
        for other in (number + 1, number + 2):
            self.begin(other % DAEMONS, 1)
        self._take_up_last(2, number)

    def _take_up_last(self, count: int, at: int) -> None:
        """Let the callers of the last streams come to one daemon."""
        for number in range(max(len(self.streams) - count, 0), len(self.streams)):
            self.take_up(number, at)

    @rule(number=daemon_numbers, is_engine_lost=st.booleans())
    def lose_all_daemons_but_one(self, number: int, is_engine_lost: bool) -> None:
        """Replace them, and perhaps end the newest engine; their callers come here."""
        if is_engine_lost and len(self.processes) > 1:
            newest = max(self.processes, key=lambda id: self.processes[id].started_ms)
            self._end_process(newest)
            self._list(newest)
        kept = self.world.daemon(number)
        for daemon in tuple(self.world.daemons.values()):
            if daemon is not kept:
                self.frozen.discard(daemon.name)
                self.world.replace(daemon)
        self.world.run(0.5)
        self._take_up_last(3, number)

    # Daemons, links and the store

    @rule(number=daemon_numbers)
    def kill(self, number: int) -> None:
        daemon = self.world.daemon(number)
        if self._usable(daemon):
            self.world.kill(daemon)

    @rule(number=daemon_numbers)
    def replace(self, number: int) -> None:
        daemon = self.world.daemon(number)
        self.frozen.discard(daemon.name)
        self.world.replace(daemon)

    @rule(number=daemon_numbers)
    def freeze(self, number: int) -> None:
        daemon = self.world.daemon(number)
        if self._usable(daemon):
            self.frozen.add(daemon.name)
            self.world.freeze(daemon)

    @rule(number=daemon_numbers)
    def wake(self, number: int) -> None:
        daemon = self.world.daemon(number)
        if daemon.name not in self.frozen:
            return
        self.frozen.discard(daemon.name)
        self.world.fabric.resume(DaemonName(daemon.name))
        for stream in self.streams:
            if stream.daemon is daemon and stream.attempt.sent:
                self._hear_of_the_past(stream)
        self._deliver()

    def _hear_of_the_past(self, stream: CallerStream) -> None:
        """Tell a daemon that stood still what its connections went through."""
        if stream.attempt.reply.end:
            return
        if not stream.is_attached:
            stream.attempt.reply.disconnect()
        elif stream.process is None and stream.handled == len(stream.attempt.sent):
            stream.attempt.sent[-1].listener.failed(ResponseFailure.RESET)

    @rule(number=daemon_numbers, follows=st.booleans())
    def cut_from_store(self, number: int, follows: bool) -> None:
        self.world.daemon(number).follows_store = follows

    @rule(is_up=st.booleans())
    def turn_store(self, is_up: bool) -> None:
        self.world.is_store_up = is_up

    @rule(number=daemon_numbers)
    def cut_from_peers(self, number: int) -> None:
        name = self.world.members[number]
        others = [DaemonName(other) for other in self.world.members if other != name]
        self.world.fabric.cut([DaemonName(name)], others)

    @rule()
    def heal_links(self) -> None:
        self.world.fabric.heal()

    @rule(seconds=st.sampled_from((0.05, 0.3, 1.0, 2.5, 6.0)))
    def wait(self, seconds: float) -> None:
        self.world.run(seconds)
        self._deliver()

    # The oracle

    @invariant()
    def each_stream_has_events_of_one_version(self) -> None:
        for stream in self.streams:
            assert len(set(stream.versions)) <= 1, stream


class RestartMachine(StreamMachine):
    """Engines may also start again under their ids, before their entries say so."""

    tells_starts = True

    @precondition(lambda self: self._expects_restarts())
    @rule(number=stream_numbers, version=versions)
    def restart_under_its_id(self, number: int, version: str) -> None:
        if not self.processes:
            return
        engine_id = sorted(self.processes)[number % len(self.processes)]
        self._end_process(engine_id)
        self.processes[engine_id] = Process(version, next(self.numbers))
        self.world.clock.callLater(ENTRY_SECONDS, lambda: self._list(engine_id))
        for daemon in range(3):
            self.begin(daemon, 1)

    def _expects_restarts(self) -> bool:
        """Whether all daemons ask engines for their starts.

        A first restart at a version that no list has shown is not proved; see
        docs/design/stream-versions.md.
        """
        now = self.world.clock.seconds()
        return all(
            daemon.versions.needs_records("s", now)
            for daemon in self.world.daemons.values()
            if daemon.is_running
        )
