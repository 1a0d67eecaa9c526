"""Holders and a limiter in a world of drifting clocks and unreliable messages."""

import itertools

import attrs

from notcharch.errors import Problem, ProblemCode
from notcharch.partitions.interface import CommandRefused
from notcharch.services.allotments import AllotmentsState, DropHolder, RequestSlots
from notcharch.services.holder import (
    AllotmentHolder,
    GiveSlot,
    RefuseSlot,
    SendRequest,
)
from notcharch.values.identifiers import Epoch, Member, ServiceName

SERVICE = ServiceName("guide")
SLOTS = 3
LEASE_SECONDS = 10.0
LONGEST_CALL_SECONDS = 20.0
RESUME_SECONDS = 15.0
DRIFT = 0.05
LOST = Problem.of(ProblemCode.TIMED_OUT, "no reply")


def keep_seconds() -> float:
    """As the limiter service computes it from the settings."""
    return LEASE_SECONDS * (1 + DRIFT) / (1 - DRIFT) + LONGEST_CALL_SECONDS * (
        1 + DRIFT
    )


@attrs.define
class Process:
    """One daemon's holder, with its clock and what really runs for it."""

    member: Member
    rate: float
    holder: AllotmentHolder
    runs: list[float] = attrs.field(factory=list)
    """When each run started, in true time."""
    paused: bool = False
    waiting: set[int] = attrs.field(factory=set)
    outstanding: int | None = None


@attrs.define
class Packet:
    """A message on its way: a request to the limiter or a reply."""

    process: Process
    request: SendRequest | None = None
    reply: object = None
    number: int = 0


class LeaseWorld:
    """True time, three daemons and one limiter whose leader changes."""

    def __init__(self, rates=(0.0, DRIFT, -DRIFT)) -> None:
        self.now = 1000.0
        self.numbers = itertools.count(1)
        self.tickets = itertools.count(1)
        self.state = AllotmentsState()
        self.replica = AllotmentsState()
        """Another replica, which restored its state at the last change of leader."""
        self.epoch = Epoch(1)
        self.leader_rate = 0.0
        self.leader_offset = 0.0
        self.slots = SLOTS
        self.packets: list[Packet] = []
        self.orphans: list[float] = []
        """When the runs of dead processes end on the engines, in true time."""
        self.dead: dict[Member, float] = {}
        self.processes = [self._process(n, 1, r) for n, r in enumerate(rates)]

    def _process(self, number: int, incarnation: int, rate: float) -> Process:
        holder = AllotmentHolder(SERVICE, self.numbers.__next__)
        return Process(Member(f"d{number}", incarnation), rate, holder)

    def clock(self, process: Process) -> float:
        return self.now * (1 + process.rate)

    def running(self) -> int:
        """Count what really runs on the engines."""
        return sum(len(p.runs) for p in self.processes) + len(self.orphans)

    def carry_out(self, process: Process, effects) -> None:
        for effect in effects:
            match effect:
                case GiveSlot():
                    process.waiting.remove(effect.ticket)
                    process.runs.append(self.now)
                    assert self.running() <= SLOTS, "more runs than slots"
                case RefuseSlot():
                    process.waiting.remove(effect.ticket)
                case SendRequest():
                    process.outstanding = effect.number
                    self.packets.append(Packet(process, request=effect))

    def acquire(self, process: Process) -> None:
        ticket = next(self.tickets)
        process.waiting.add(ticket)
        now = self.clock(process)
        self.carry_out(process, process.holder.acquire(ticket, 5, now + 60.0, now))

    def release(self, process: Process) -> None:
        process.runs.pop(0)
        effects = process.holder.release(1.0, self.clock(process))
        self.carry_out(process, effects)

    def tick(self, process: Process) -> None:
        self.carry_out(process, process.holder.tick(self.clock(process)))

    def time_out(self, process: Process) -> None:
        if process.outstanding is not None:
            number, process.outstanding = process.outstanding, None
            effects = process.holder.request_failed(number, LOST, self.clock(process))
            self.carry_out(process, effects)

    def deliver(self, packet: Packet) -> None:
        if packet.request is not None:
            self._deliver_request(packet)
        elif packet.process in self.processes and not packet.process.paused:
            self._deliver_reply(packet)

    def _deliver_request(self, packet: Packet) -> None:
        request = packet.request
        command = RequestSlots(
            at=self.leader_clock(),
            service=SERVICE,
            holder=packet.process.member,
            number=request.number,
            wanted=request.wanted,
            held=request.held,
            concurrency=self.slots,
            lease_seconds=LEASE_SECONDS,
            keep_seconds=keep_seconds(),
        )
        result = self.state.apply(command, self.epoch)
        assert self.replica.apply(command, self.epoch) == result
        self.packets.append(Packet(packet.process, reply=result, number=request.number))

    def _deliver_reply(self, packet: Packet) -> None:
        process, reply, now = packet.process, packet.reply, self.clock(packet.process)
        if process.outstanding == packet.number:
            process.outstanding = None
        if isinstance(reply, CommandRefused):
            effects = process.holder.request_failed(packet.number, reply.problem, now)
        else:
            effects = process.holder.replied(
                reply.number, reply.slots, reply.lease_seconds, now
            )
        self.carry_out(process, effects)

    def leader_clock(self) -> float:
        return self.leader_offset + self.now * (1 + self.leader_rate)

    def change_leader(self, offset: float, rate: float) -> None:
        """Let a replica with another clock go on from the replicated state."""
        assert self.replica.snapshot() == self.state.snapshot()
        self.state, self.replica = self.replica, AllotmentsState()
        self.replica.restore(self.state.snapshot())
        self.epoch = Epoch(self.epoch + 1)
        self.leader_offset, self.leader_rate = offset, rate

    def crash(self, process: Process) -> None:
        """End the process; engines go on with its runs for a while."""
        ends = [min(s + LONGEST_CALL_SECONDS, self.now + 10.0) for s in process.runs]
        self.orphans += ends
        self.dead[process.member] = self.now
        place = self.processes.index(process)
        self.processes[place] = self._process(
            place, process.member.incarnation + 1, process.rate
        )

    def drop_dead(self) -> None:
        """Free at the limiter what processes held that died long enough ago."""
        for member, since in self.dead.items():
            if self.now - since >= RESUME_SECONDS:
                command = DropHolder(self.leader_clock(), SERVICE, member)
                self.state.apply(command, self.epoch)
                self.replica.apply(command, self.epoch)

    def pass_time(self, seconds: float) -> None:
        """Move time on; engines end runs at the longest call's length."""
        self.now += seconds
        self.orphans = [end for end in self.orphans if end > self.now]
        for process in self.processes:
            for _ in range(self._over(process)):
                if process.paused:
                    process.runs.pop(0)
                else:
                    self.release(process)

    def _over(self, process: Process) -> int:
        limit = self.now - LONGEST_CALL_SECONDS
        return sum(1 for start in process.runs if start <= limit)

    def wake(self, process: Process) -> None:
        """Let the process go on, and see that some of its runs have ended."""
        process.paused = False
        for _ in range(process.holder.running - len(process.runs)):
            effects = process.holder.release(1.0, self.clock(process))
            self.carry_out(process, effects)

    def exchange(self, process: Process) -> None:
        """Let one process ask and hear the answer, with nothing lost."""
        self.tick(process)
        for _ in range(4):
            for packet in [p for p in self.packets if p.process is process]:
                self.packets.remove(packet)
                self.deliver(packet)

    def take(self, process: Process, count: int) -> None:
        """Acquire slots, with nothing lost."""
        for _ in range(count):
            self.acquire(process)
        self.exchange(process)

    def yield_slots(self, process: Process) -> None:
        """Ask a holder to tell the limiter what it needs."""
        now = self.clock(process)
        self.carry_out(process, process.holder.asked_to_yield(now))

    def settle(self, seconds: float) -> None:
        """Let everything work as it should for a while."""
        for process in self.processes:
            if process.paused:
                self.wake(process)
        for _ in range(round(seconds / 0.5)):
            self.pass_time(0.5)
            self.drop_dead()
            for process in self.processes:
                self.tick(process)
            while self.packets:
                self.deliver(self.packets.pop(0))
            for process in self.processes:
                self.time_out(process)
