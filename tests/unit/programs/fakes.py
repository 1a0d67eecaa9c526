"""Test doubles for the dependencies of the leader service of programs."""

from collections.abc import Callable

from result import Err, Ok, Result
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from notcharch.clients.ports import (
    LogPage,
    LogRecord,
    Machine,
    MachineKind,
    MachineState,
    StoredRecord,
)
from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.errors.problem import ProblemError
from notcharch.partitions.interface import Command, CommandResult
from notcharch.placement.interface import LiveMember
from notcharch.programs.leader_service import ProgramLeaderService
from notcharch.programs.state import ProgramsState
from notcharch.settings.schema import ProgramsSection
from notcharch.table.interface import ServiceRow
from notcharch.values.chat import Answer, ChatMessage, FinishReason, TokenUsage
from notcharch.values.identifiers import Epoch, Member, PartitionNumber
from notcharch.wire.messages.base import Message
from notcharch.wire.messages.engines import PrefixReleased, ReleasePrefix

PROGRAM = "region1-1-a"
OTHER_PROGRAM = "region1-1-b"
CHILD = "region1-1-c"
PARTITION = PartitionNumber(1)
GATEWAY = Member("daemon-2", 1)
OTHER_GATEWAY = Member("daemon-3", 1)
START = 1_000_000.0


class FakeNetwork:
    """Stores the handlers and calls them like the peer network."""

    own_member = Member("daemon-1", 1)

    def __init__(self):
        self.handlers = {}

    def on_request(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, message: Message) -> "Deferred[Message | Problem]":
        handler = self.handlers[type(message)]
        reply = Deferred.fromCoroutine(handler(GATEWAY, message))
        return reply.addErrback(_problem_of)


def _problem_of(failure):
    failure.trap(ProblemError)
    return failure.value.problem


class LocalPartitions:
    """One partition applied in memory; `fault_of` picks the fault of a proposal."""

    def __init__(self) -> None:
        self.states = {PARTITION: ProgramsState()}
        self.epoch: Epoch | None = Epoch(1)
        self.listeners = []
        self.applied: list[Command] = []
        self.fault_of: Callable[[Command], str] = lambda command: ""

    def led_partitions(self):
        return () if self.epoch is None else (PARTITION,)

    def leader_epoch(self, partition):
        return self.epoch if partition == PARTITION else None

    def leader_hint(self, partition):
        return None

    def programs_of(self, partition):
        return self.states.get(partition)

    def propose(
        self, partition: PartitionNumber, command: Command
    ) -> "Deferred[Result[CommandResult, Problem]]":
        if self.epoch is None or partition != PARTITION:
            return succeed(Err(Problem.of(ProblemCode.NOT_LEADER, "not the leader")))
        fault = self.fault_of(command)
        if fault != "lost":
            result = self.states[partition].apply(command, self.epoch)
            self.applied.append(command)
        if fault:
            problem = Problem.of(ProblemCode.UNAVAILABLE, "no answer", ran=Ran.UNKNOWN)
            return succeed(Err(problem))
        return succeed(Ok(result))

    def on_leadership(self, listener):
        self.listeners.append(listener)

    def lead(self, epoch: Epoch | None) -> None:
        """Begin or end the leadership; the state is restored from a snapshot."""
        self.epoch = epoch
        copy = ProgramsState()
        copy.restore(self.states[PARTITION].snapshot())
        self.states[PARTITION] = copy
        for listener in self.listeners:
            listener(PARTITION, epoch)


class FakeTable:
    """A table whose rows a test may change."""

    def __init__(self):
        self.version = 1
        row = ServiceRow("guide", "tenant-1", "pool-1", budget_tokens=10_000)
        other = ServiceRow("other", "tenant-2", "pool-1")
        self.by_service = {"guide": row, "other": other}

    def row(self, service):
        return self.by_service.get(service)


class FakeMembership:
    """Sets of live and of certainly dead members."""

    def __init__(self):
        self.live = {GATEWAY, OTHER_GATEWAY}
        self.dead = set()

    def live_members(self):
        return tuple(
            LiveMember(member, "zone1", "127.0.0.1:1", leaving=False)
            for member in sorted(self.live)
        )

    def is_certainly_dead(self, member):
        return member in self.dead


class FakeRouter:
    """Router to stewards that confirm or refuse releases."""

    def __init__(self):
        self.releases: list[ReleasePrefix] = []
        self.refusal: Problem | None = None

    def to_steward(self, engine, message, timeout_seconds):
        self.releases.append(message)
        if self.refusal is not None:
            return succeed(Err(self.refusal))
        return succeed(Ok(PrefixReleased()))


class FakeDirectory:
    """Directory of engines that a test may change."""

    def __init__(self):
        self.names = {"engine-1", "engine-2"}

    def engine(self, name):
        return _machine(name) if name in self.names else None

    def all_engines(self):
        return tuple(_machine(name) for name in sorted(self.names))


class FakeLog:
    """In-memory streams; `fault` applies to the next requests.

    `down` refuses requests, `hangs` never responds to reads, `lost` appends without
    a response.
    """

    def __init__(self):
        self.streams: dict[str, list[LogRecord]] = {}
        self.fault = ""
        self.reads = 0
        self.hanging = []

    def append(self, stream, records):
        if self.fault == "down":
            return succeed(Err(Problem.of(ProblemCode.UNAVAILABLE, "log is down")))
        stored_records = self.streams.setdefault(stream, [])
        first = len(stored_records)
        stored_records.extend(records)
        if self.fault == "lost":
            problem = Problem.of(ProblemCode.UNAVAILABLE, "lost", ran=Ran.UNKNOWN)
            return succeed(Err(problem))
        return succeed(Ok(first))

    def read(self, stream, offset, limit, wait_seconds=0.0):
        self.reads += 1
        if self.fault == "down":
            return succeed(Err(Problem.of(ProblemCode.UNAVAILABLE, "log is down")))
        stored_records = self.streams.get(stream, [])
        found = stored_records[offset : offset + limit]
        stored = tuple(
            StoredRecord(offset + index, record.id, record.data)
            for index, record in enumerate(found)
        )
        page = Ok(LogPage(stored, offset + len(found), len(stored_records)))
        if self.fault == "hangs":
            self.hanging.append((Deferred(), page))
            return self.hanging[-1][0]
        return succeed(page)


def _machine(name):
    return Machine(
        name,
        MachineKind.MODEL_ENGINE,
        "region1",
        "zone1",
        "127.0.0.1:2",
        MachineState.LIVE,
    )


class Leader:
    """The leader service with all its test doubles."""

    def __init__(self, **settings):
        self.clock = Clock()
        self.clock.advance(START)
        self.network = FakeNetwork()
        self.partitions = LocalPartitions()
        self.table = FakeTable()
        self.membership = FakeMembership()
        self.router = FakeRouter()
        self.directory = FakeDirectory()
        self.log = FakeLog()
        self.service = ProgramLeaderService(
            network=self.network,
            partitions=self.partitions,
            programs_of=self.partitions.programs_of,
            table=self.table,
            membership=self.membership,
            router=self.router,
            directory=self.directory,
            log=self.log,
            clock=self.clock,
            region="region1",
            settings=ProgramsSection(**settings),
        )

    def send(self, message):
        """Send a request and return its reply, which must arrive at once."""
        replies = []
        self.network.send(message).addCallback(replies.append)
        assert replies, f"no reply yet to {message}"
        return replies[0]

    def begin(self, message):
        """Send a request; return a list to which its reply is appended."""
        replies = []
        self.network.send(message).addCallback(replies.append)
        return replies

    def pass_seconds(self, seconds):
        """Advance the clock in steps of a second."""
        for _ in range(int(seconds)):
            self.clock.advance(1)
        self.clock.advance(seconds - int(seconds))

    @property
    def state(self):
        return self.partitions.states[PARTITION]


def user(text="hello"):
    return ChatMessage("user", text)


def answer(text="hi", prompt_tokens=6, completion_tokens=2):
    return Answer(
        ChatMessage("assistant", text),
        TokenUsage(prompt_tokens, completion_tokens),
        FinishReason.STOP,
    )
