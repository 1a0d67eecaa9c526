"""Simulates holders and a limiter with clock drift and unreliable messages."""

import itertools

import attrs

from notcharch.errors import Problem, ProblemCode
from notcharch.partitions.interface import CommandRefused
from notcharch.services.allotments import AllotmentsState, DropHolder, RequestSlots
from notcharch.services.holder import (
    AllotmentHolder,
    GrantSlot,
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
NO_REPLY = Problem.of(ProblemCode.TIMED_OUT, "no reply")


def keep_seconds() -> float:
    """Return what the limiter service computes from the settings."""
    return LEASE_SECONDS * (1 + DRIFT) / (1 - DRIFT) + LONGEST_CALL_SECONDS * (
        1 + DRIFT
    )


@attrs.define
class Process:
    """One daemon's holder, its clock rate and its runs on the engines."""

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
    """A message in flight: a request to the limiter or a reply."""

    process: Process
    request: SendRequest | None = None
    reply: object = None
    number: int = 0


class LeaseWorld:
    """True time, three daemons, and a limiter with changing leaders."""

    def __init__(self, rates=(0.0, DRIFT, -DRIFT)) -> None:
        self.now = 1000.0
        self.numbers = itertools.count(1)
        self.tickets = itertools.count(1)
        self.state = AllotmentsState()
        self.replica = AllotmentsState()
        """A second replica, restored from a snapshot at each change of leader."""
        self.epoch = Epoch(1)
        self.leader_rate = 0.0
        self.leader_offset = 0.0
        self.slots = SLOTS
        self.packets: list[Packet] = []
        self.orphaned_runs: list[float] = []
        """When the runs of dead processes end on the engines, in true time."""
        self.dead: dict[Member, float] = {}
        self.processes = [self._process(n, 1, r) for n, r in enumerate(rates)]

    def _process(self, number: int, incarnation: int, rate: float) -> Process:
        holder = AllotmentHolder(SERVICE, self.numbers.__next__)
        return Process(Member(f"d{number}", incarnation), rate, holder)

    def clock(self, process: Process) -> float:
        return self.now * (1 + process.rate)

    def running(self) -> int:
        """Count the runs on the engines."""
        return sum(len(p.runs) for p in self.processes) + len(self.orphaned_runs)

    def apply_effects(self, process: Process, effects) -> None:
        for effect in effects:
            match effect:
                case GrantSlot():
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
        self.apply_effects(process, process.holder.acquire(ticket, 5, now + 60.0, now))

    def release(self, process: Process) -> None:
        process.runs.pop(0)
        effects = process.holder.release(1.0, self.clock(process))
        self.apply_effects(process, effects)

    def tick(self, process: Process) -> None:
        self.apply_effects(process, process.holder.tick(self.clock(process)))

    def time_out(self, process: Process) -> None:
        if process.outstanding is not None:
            number, process.outstanding = process.outstanding, None
            effects = process.holder.on_request_failed(
                number, NO_REPLY, self.clock(process)
            )
            self.apply_effects(process, effects)

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
            effects = process.holder.on_request_failed(
                packet.number, reply.problem, now
            )
        else:
            effects = process.holder.on_reply(
                reply.number, reply.slots, reply.lease_seconds, now
            )
        self.apply_effects(process, effects)

    def leader_clock(self) -> float:
        return self.leader_offset + self.now * (1 + self.leader_rate)

    def change_leader(self, offset: float, rate: float) -> None:
        """Continue with the other replica, which has another clock."""
        assert self.replica.snapshot() == self.state.snapshot()
        self.state, self.replica = self.replica, AllotmentsState()
        self.replica.restore(self.state.snapshot())
        self.epoch = Epoch(self.epoch + 1)
        self.leader_offset, self.leader_rate = offset, rate

    def crash(self, process: Process) -> None:
        """End a process, whose runs continue on the engines for a limited time."""
        ends = [min(s + LONGEST_CALL_SECONDS, self.now + 10.0) for s in process.runs]
        self.orphaned_runs += ends
        self.dead[process.member] = self.now
        position = self.processes.index(process)
        self.processes[position] = self._process(
            position, process.member.incarnation + 1, process.rate
        )

    def drop_dead(self) -> None:
        """Free the slots of processes that died at least `RESUME_SECONDS` ago."""
        for member, since in self.dead.items():
            if self.now - since >= RESUME_SECONDS:
                command = DropHolder(self.leader_clock(), SERVICE, member)
                self.state.apply(command, self.epoch)
                self.replica.apply(command, self.epoch)

    def pass_time(self, seconds: float) -> None:
        """Advance the time; engines end runs after `LONGEST_CALL_SECONDS`."""
        self.now += seconds
        self.orphaned_runs = [end for end in self.orphaned_runs if end > self.now]
        for process in self.processes:
            for _ in range(self._overdue_runs(process)):
                if process.paused:
                    process.runs.pop(0)
                else:
                    self.release(process)

    def _overdue_runs(self, process: Process) -> int:
        limit = self.now - LONGEST_CALL_SECONDS
        return sum(1 for start in process.runs if start <= limit)

    def resume(self, process: Process) -> None:
        """Resume a paused process, which then releases its ended runs."""
        process.paused = False
        for _ in range(process.holder.running - len(process.runs)):
            effects = process.holder.release(1.0, self.clock(process))
            self.apply_effects(process, effects)

    def exchange(self, process: Process) -> None:
        """Deliver one process's requests and their replies without loss."""
        self.tick(process)
        for _ in range(4):
            for packet in [p for p in self.packets if p.process is process]:
                self.packets.remove(packet)
                self.deliver(packet)

    def acquire_and_exchange(self, process: Process, count: int) -> None:
        """Acquire slots without message loss."""
        for _ in range(count):
            self.acquire(process)
        self.exchange(process)

    def yield_slots(self, process: Process) -> None:
        """Ask a holder to renew with its current demand."""
        now = self.clock(process)
        self.apply_effects(process, process.holder.on_yield_requested(now))

    def run_without_faults(self, seconds: float) -> None:
        """Run all processes without faults for `seconds`."""
        for process in self.processes:
            if process.paused:
                self.resume(process)
        for _ in range(round(seconds / 0.5)):
            self.pass_time(0.5)
            self.drop_dead()
            for process in self.processes:
                self.tick(process)
            while self.packets:
                self.deliver(self.packets.pop(0))
            for process in self.processes:
                self.time_out(process)
