"""The replicated leases on services' concurrency slots.

A component of a partition's state machine. A slot that may still be used by one
daemon is never given to another: a holder's slots count as used until it has
promised not to use them, or its lease has lapsed for as long as a call can run,
or its process is surely dead.
"""

from typing import ClassVar

import msgspec

from notcharch.errors import Problem, ProblemCode
from notcharch.replication.interface import Command, CommandRefused, CommandResult
from notcharch.services.shares import Demand, fair_targets
from notcharch.values.identifiers import Epoch, Member, ServiceName


class RequestSlots(Command, frozen=True):
    """Grant, renew, shrink or return a holder's slots. Result: `SlotsRecorded`.

    `concurrency` is the row's cell as the leader's table has it.
    `lease_seconds` is what the holder counts from its sending;
    `keep_seconds` is how long the slots stay counted after the last request.
    """

    service: ServiceName
    holder: Member
    number: int
    wanted: int
    held: int
    concurrency: int
    lease_seconds: float
    keep_seconds: float


class DropHolder(Command, frozen=True):
    """Free the slots of a process that is surely dead. Result: `SlotsRecorded`."""

    service: ServiceName
    holder: Member


class SlotsRecorded(CommandResult, frozen=True):
    """The holder's slots after the command; `contended` if it should get more."""

    number: int
    slots: int
    lease_seconds: float
    contended: bool


ALLOTMENT_COMMANDS: tuple[type[Command], ...] = (RequestSlots, DropHolder)


class Lease(msgspec.Struct, frozen=True):
    """One holder's lease. `counted` slots must not be given to others.

    `slots` is what the holder was told last. Times are the leader's clock.
    """

    holder: Member
    number: int
    wanted: int
    slots: int
    counted: int
    favoured: int
    lease_seconds: float
    keep_seconds: float
    renewed_at: float

    @property
    def lapses_at(self) -> float:
        """When the holder, by this clock, starts no new calls any more."""
        return self.renewed_at + self.lease_seconds

    @property
    def free_at(self) -> float:
        """When the slots are free if nothing more is heard."""
        return self.renewed_at + self.keep_seconds


class AllotmentsState:
    """The leases of one partition's services. Pure and deterministic."""

    COMMANDS: ClassVar[tuple[type[Command], ...]] = ALLOTMENT_COMMANDS

    def __init__(self) -> None:
        """Start without leases."""
        self._leases: dict[ServiceName, dict[Member, Lease]] = {}
        self._epoch = Epoch(0)
        self._now = 0.0

    def services(self) -> tuple[ServiceName, ...]:
        """Give the services with leases."""
        return tuple(sorted(self._leases))

    def leases(self, service: ServiceName) -> tuple[Lease, ...]:
        """Give a service's leases, sorted by holder."""
        leases = self._leases.get(service, {})
        return tuple(leases[holder] for holder in sorted(leases))

    def lease_count(self) -> int:
        """Count the leases of all services."""
        return sum(len(leases) for leases in self._leases.values())

    def holders_above_share(self, service: ServiceName, slots: int) -> list[Member]:
        """Give the holders that count more slots than their fair target."""
        leases = self._leases.get(service, {})
        targets = fair_targets(slots, _demands(leases, self._now))
        return [h for h in sorted(leases) if leases[h].counted > targets[h]]

    def apply(self, command: Command, epoch: Epoch) -> CommandResult:
        """Apply one committed command."""
        self._advance(command.at, epoch)
        match command:
            case RequestSlots():
                return self._request(command)
            case DropHolder():
                self._drop(command.service, command.holder)
                return SlotsRecorded(0, 0, 0.0, contended=False)
        return CommandRefused(
            Problem.of(ProblemCode.INTERNAL, "not a command of allotments")
        )

    def snapshot(self) -> bytes:
        """Encode the whole state."""
        services = tuple(
            _ServiceLeases(service, self.leases(service)) for service in self.services()
        )
        return msgspec.json.encode(_Snapshot(services, self._epoch, self._now))

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state."""
        decoded = msgspec.json.decode(snapshot, type=_Snapshot)
        self._leases = {
            entry.service: {lease.holder: lease for lease in entry.leases}
            for entry in decoded.services
        }
        self._epoch = decoded.epoch
        self._now = decoded.now

    def _advance(self, at: float, epoch: Epoch) -> None:
        """Take the time in; a new leader's clock says nothing about old leases."""
        if epoch == self._epoch:
            self._now = max(self._now, at)
            return
        self._epoch = epoch
        self._now = at
        for leases in self._leases.values():
            for holder, lease in leases.items():
                leases[holder] = msgspec.structs.replace(lease, renewed_at=at)

    def _request(self, command: RequestSlots) -> CommandResult:
        self._free_lapsed(command.service)
        leases = self._leases.setdefault(command.service, {})
        known = leases.get(command.holder)
        if known is not None and command.number <= known.number:
            return self._repeated(command, known)
        lease = self._new_lease(command, known, leases)
        leases[command.holder] = lease
        if lease.wanted == 0 and lease.counted == 0:
            self._drop(command.service, command.holder)
        contended = lease.slots < min(lease.wanted, command.concurrency)
        return SlotsRecorded(lease.number, lease.slots, lease.lease_seconds, contended)

    def _repeated(self, command: RequestSlots, known: Lease) -> CommandResult:
        if command.number == known.number:
            return SlotsRecorded(
                known.number, known.slots, known.lease_seconds, contended=False
            )
        problem = Problem.of(ProblemCode.STALE_EPOCH, "a later request was seen")
        return CommandRefused(problem)

    def _new_lease(
        self,
        command: RequestSlots,
        known: Lease | None,
        leases: dict[Member, Lease],
    ) -> Lease:
        others = {h: lease for h, lease in leases.items() if h != command.holder}
        favoured = self._favoured(known, others)
        demands = _demands(others, self._now)
        demands[command.holder] = Demand(command.wanted, favoured)
        target = fair_targets(command.concurrency, demands)[command.holder]
        free = command.concurrency - sum(lease.counted for lease in others.values())
        slots = max(0, min(target, free))
        return Lease(
            holder=command.holder,
            number=command.number,
            wanted=command.wanted,
            slots=slots,
            counted=max(slots, command.held),
            favoured=favoured + (1 if slots > 0 else 0),
            lease_seconds=command.lease_seconds,
            keep_seconds=command.keep_seconds,
            renewed_at=self._now,
        )

    def _favoured(self, known: Lease | None, others: dict[Member, Lease]) -> int:
        """Give a holder's turns so far; a newcomer starts with the fewest of all."""
        if known is not None:
            return known.favoured
        return min((lease.favoured for lease in others.values()), default=0)

    def _free_lapsed(self, service: ServiceName) -> None:
        for lease in self.leases(service):
            if lease.free_at <= self._now:
                self._drop(service, lease.holder)

    def _drop(self, service: ServiceName, holder: Member) -> None:
        leases = self._leases.get(service, {})
        leases.pop(holder, None)
        if not leases:
            self._leases.pop(service, None)


def _demands(leases: dict[Member, Lease], now: float) -> dict[Member, Demand]:
    """Give what holders want; those whose lease has lapsed want nothing."""
    return {
        holder: Demand(lease.wanted if lease.lapses_at > now else 0, lease.favoured)
        for holder, lease in leases.items()
    }


class _ServiceLeases(msgspec.Struct, frozen=True):
    """One service's leases."""

    service: ServiceName
    leases: tuple[Lease, ...]


class _Snapshot(msgspec.Struct, frozen=True):
    """The encoded state."""

    services: tuple[_ServiceLeases, ...]
    epoch: Epoch
    now: float
