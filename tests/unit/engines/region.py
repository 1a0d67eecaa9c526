"""Daemons on the in-memory transport, with simple engines and partitions."""

import random

import msgspec
from result import Err, Ok
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock, deferLater

from emulator.peers.fabric import MemoryFabric
from emulator.peers.time import run_for
from notcharch.clients.ports import (
    CachedProgram,
    CacheEvent,
    CacheEventKind,
    CacheEvents,
    EngineLoad,
    ExportedCache,
    Machine,
    MachineKind,
    MachineState,
)
from notcharch.engines.claims import StewardClaimsState
from notcharch.engines.claims_service import ClaimsService
from notcharch.engines.dispatcher import Dispatcher
from notcharch.engines.prefix_mover import PrefixMover
from notcharch.engines.steward_service import StewardService
from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.placement.interface import LiveMember
from notcharch.settings.schema import EnginesSection
from notcharch.values.identifiers import DaemonName, EngineName, Epoch, Member, PoolName
from notcharch.wire.messages.programs import CheckProgramsLive, ProgramsNotLive

POOL = PoolName("model")
PARTITIONS = 4


class SimpleEngine:
    """An engine whose load and cache are set by the test."""

    def __init__(self, slots: int = 2) -> None:
        self.slots = slots
        self.running = 0
        self.state = MachineState.LIVE
        self.cached: dict[str, int] = {}
        self.seen_epochs: dict[str, int] = {}
        self.events: list[CacheEvent] = []
        self.sequence = 0
        self.down = False
        self.hangs = False
        self.orders = []
        self.lost_responses = 0

    def load(self, now: float) -> EngineLoad:
        self.sequence += 1
        return EngineLoad(
            sequence=self.sequence,
            measured_at=now,
            running=self.running,
            waiting=0,
            slots=self.slots,
            free_blocks=10_000,
            total_blocks=20_000,
            block_tokens=16,
            prefill_tokens_per_second=1000.0,
            decode_seconds_per_token=0.01,
            state=self.state,
        )

    def store(self, program: str, tokens: int, publish: bool = True) -> None:
        """Cache a prefix; without `publish` the event is missing."""
        self.cached[program] = tokens
        event = CacheEvent(len(self.events) + 1, CacheEventKind.STORED, program, tokens)
        self.events.append(event if publish else None)


class SimpleEnginePort:
    """`EnginePort` over `SimpleEngine`s by address; records the requests."""

    def __init__(self, clock) -> None:
        self.clock = clock
        self.engines: dict[str, SimpleEngine] = {}
        self.requests: list[tuple[str, str]] = []

    def _respond(self, name, address, handle):
        self.requests.append((name, address))
        engine = self.engines.get(address)
        if engine is not None and engine.hangs:
            return Deferred()
        if engine is None or engine.down:
            problem = Problem.of(ProblemCode.ENGINE_FAILED, "down")
            return deferLater(self.clock, 0.01, lambda: Err(problem))
        result = handle(engine)
        if engine.lost_responses:
            engine.lost_responses -= 1
            result = Err(Problem.of(ProblemCode.TIMED_OUT, "lost", ran=Ran.UNKNOWN))
        return deferLater(self.clock, 0.001, lambda: result)

    def load(self, address):
        return self._respond(
            "load", address, lambda e: Ok(e.load(self.clock.seconds()))
        )

    def cache_events(self, address, after, limit):
        def read(engine):
            found = [e for e in engine.events[after:] if e is not None][:limit]
            last = found[-1].sequence if found else min(after, len(engine.events))
            return Ok(CacheEvents(tuple(found), last))

        return self._respond("cache_events", address, read)

    def cached_programs(self, address):
        def read(engine):
            return Ok(tuple(CachedProgram(p, t) for p, t in engine.cached.items()))

        return self._respond("cached_programs", address, read)

    def release(self, address, program, epoch):
        def free(engine):
            if epoch < engine.seen_epochs.get(program, 0):
                return Err(Problem.of(ProblemCode.STALE_EPOCH, "stale"))
            return Ok(1 if engine.cached.pop(program, None) else 0)

        return self._respond("release", address, free)

    def export_cache(self, address, program):
        def copy(engine):
            tokens = engine.cached.get(program, 0)
            if not tokens:
                return Err(Problem.of(ProblemCode.NOT_FOUND, "nothing cached"))
            return Ok(ExportedCache(f"{program}/{tokens}", tokens))

        return self._respond("export", address, copy)

    def import_cache(self, address, program, source, handle):
        def store(engine):
            engine.cached[program] = int(handle.split("/")[1])
            return Ok(engine.cached[program])

        return self._respond("import", address, store)

    def order(self, address, order):
        def take(engine):
            if order.epoch < max((o.epoch for o in engine.orders), default=0):
                return Err(Problem.of(ProblemCode.STALE_EPOCH, "stale"))
            engine.orders.append(order)
            return Ok(None)

        return self._respond("order", address, take)


class SimplePartitions:
    """Every partition's state, with one leader that commits immediately."""

    def __init__(self, make_state) -> None:
        self.states = {number: make_state() for number in range(PARTITIONS)}
        self.leader: DaemonName | None = None
        self.epoch = Epoch(1)
        self.majority = True

    def view(self, daemon: DaemonName) -> "PartitionsView":
        return PartitionsView(self, daemon)


class PartitionsView:
    """The `PartitionHost` of one daemon."""

    def __init__(self, partitions: SimplePartitions, daemon: DaemonName) -> None:
        self._partitions = partitions
        self._daemon = daemon

    def led_partitions(self):
        return tuple(range(PARTITIONS)) if self._leads() else ()

    def leader_epoch(self, partition):
        return self._partitions.epoch if self._leads() else None

    def leader_hint(self, partition):
        return self._partitions.leader

    def state(self, partition):
        return self._partitions.states[partition]

    def on_leadership(self, listener):
        pass

    def propose(self, partition, command):
        if not self._leads():
            return succeed(Err(Problem.of(ProblemCode.NOT_LEADER, "not the leader")))
        if not self._partitions.majority:
            problem = Problem.of(ProblemCode.UNAVAILABLE, "alone", ran=Ran.UNKNOWN)
            return succeed(Err(problem))
        state = self._partitions.states[partition]
        return succeed(Ok(state.apply(command, self._partitions.epoch)))

    def _leads(self) -> bool:
        return self._partitions.leader == self._daemon


class View:
    """Membership and directory of one daemon, set by the test."""

    def __init__(self) -> None:
        self.members: list[Member] = []
        self.dead: set[Member] = set()
        self.machines: dict[EngineName, Machine] = {}
        self.listeners = []

    def live_members(self):
        return tuple(LiveMember(m, "z", "a", False) for m in self.members)

    def is_certainly_dead(self, member):
        return member in self.dead

    def engines_of(self, pool):
        return tuple(
            m
            for m in self.all_engines()
            if pool in m.pools and m.state == MachineState.LIVE
        )

    def engine(self, name):
        return self.machines.get(name)

    def all_engines(self):
        return tuple(self.machines[name] for name in sorted(self.machines))

    def on_change(self, listener):
        self.listeners.append(listener)

    def changed(self):
        for listener in self.listeners:
            listener()


class DirectRouter:
    """`Router` that uses the test's tables and follows one hint."""

    def __init__(self, network, region) -> None:
        self._network = network
        self._region = region

    def to_partition(self, partition, message, timeout_seconds):
        leader = self._region.partitions.leader
        return self._network.request(leader, message, timeout_seconds)

    def to_steward(self, engine, message, timeout_seconds):
        return Deferred.fromCoroutine(self._follow(engine, message, timeout_seconds))

    async def _follow(self, engine, message, timeout_seconds):
        steward = self._region.stewards[engine]
        outcome = await self._network.request(steward, message, timeout_seconds)
        if outcome.is_err() and outcome.unwrap_err().is_code(ProblemCode.NOT_STEWARD):
            hint = outcome.unwrap_err().hint
            if hint is not None and hint != steward:
                return await self._network.request(hint, message, timeout_seconds)
        return outcome

    def steward_of(self, engine):
        believed_stewards = self._region.believed_stewards.get(
            self._network.own_member.daemon, {}
        )
        return believed_stewards.get(engine, self._region.stewards.get(engine))


class Node:
    """One daemon's services."""

    def __init__(self, region: "Region", name: str, incarnation: int = 1) -> None:
        self.member = Member(DaemonName(name), incarnation)
        self.daemon = region.fabric.join(self.member, "zone1")
        self.network = self.daemon.network
        self.clock = self.daemon.clock
        self.view = View()
        self.knows_region = True
        self.router = DirectRouter(self.network, region)
        partitions = region.partitions.view(self.member.daemon)
        ClaimsService(
            self.network,
            partitions,
            PARTITIONS,
            self.clock,
            region.partitions.states.get,
        )
        self.stewards = StewardService(
            network=self.network,
            router=self.router,
            directory=self.view,
            membership=self.view,
            engine_port=region.port,
            clock=self.clock,
            chance=random.Random(1),
            settings=EnginesSection(),
            partition_count=PARTITIONS,
            knows_region=lambda: self.knows_region,
        )
        self.dispatcher = Dispatcher(
            router=self.router,
            directory=self.view,
            own_member=self.member,
            clock=self.clock,
            chance=random.Random(2),
            mover=PrefixMover(self.view, region.port, self.clock, region.move_rate),
        )
        self.network.on_request(CheckProgramsLive, region.report_not_live)


class Region:
    """Daemons d1, d2, … and engines e1, e2, …; d1 leads every partition.

    Engines are assigned to the daemons in turn, e1 to d1.
    """

    def __init__(
        self,
        daemons: int = 2,
        engines: int = 2,
        slots: int = 2,
        move_rate: float = 0.0,
    ) -> None:
        self.clock = Clock()
        self.move_rate = move_rate
        self.fabric = MemoryFabric(self.clock, random.Random(3), encode=True)
        self.port = SimpleEnginePort(self.clock)
        self.partitions = SimplePartitions(StewardClaimsState)
        self.partitions.leader = DaemonName("d1")
        self.stewards: dict[EngineName, DaemonName] = {}
        self.believed_stewards: dict[DaemonName, dict[EngineName, DaemonName]] = {}
        self.live_programs: set[str] = set()
        self.live_epoch = Epoch(5)
        self.nodes: dict[str, Node] = {}
        names = [f"d{number + 1}" for number in range(daemons)]
        for number in range(engines):
            name = EngineName(f"e{number + 1}")
            self.stewards[name] = DaemonName(names[number % daemons])
            self.port.engines[f"{name}:1"] = SimpleEngine(slots)
        self.nodes = {name: Node(self, name) for name in names}
        for node in self.nodes.values():
            node.view.members = [other.member for other in self.nodes.values()]
            node.view.machines = {name: _machine(name, slots) for name in self.stewards}
            node.stewards.start()
        self.run(2.0)

    async def report_not_live(self, sender, message):
        not_live = tuple(p for p in message.programs if p not in self.live_programs)
        return ProgramsNotLive(not_live, self.live_epoch)

    def engine(self, name: str) -> SimpleEngine:
        return self.port.engines[f"{name}:1"]

    def set_machine(self, name: str, state: MachineState) -> None:
        """Change an engine's state in every daemon's directory."""
        for node in self.nodes.values():
            machine = node.view.machines[name]
            node.view.machines[name] = msgspec.structs.replace(machine, state=state)
            node.view.changed()

    def run(self, seconds: float) -> None:
        run_for(self.clock, seconds)

    def engine_steward(self, engine: str):
        node = self.nodes[self.stewards[engine]]
        return node.stewards._engine_stewards[engine]


def _machine(name: str, slots: int) -> Machine:
    return Machine(
        name=name,
        kind=MachineKind.MODEL_ENGINE,
        region="r1",
        zone="zone1",
        address=f"{name}:1",
        state=MachineState.LIVE,
        pools=(POOL,),
        slots=slots,
    )
