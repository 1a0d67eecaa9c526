"""The replicated leases on services' concurrency slots.

A component of a partition's state machine. A slot is never leased to a daemon
while another may use it: a holder's slots count as used until the holder gives
them up, or its lease has been expired for the longest duration of a call, or its
process is confirmed dead.
"""

from typing import ClassVar

import msgspec

from notcharch.errors import Problem, ProblemCode
from notcharch.partitions.interface import Command, CommandRefused, CommandResult
from notcharch.services.service_leases import Lease, ServiceLeases
from notcharch.values.identifiers import Epoch, Member, ServiceName


class RequestSlots(Command, frozen=True):
    """Grant, renew, shrink or return a holder's slots. Result: `SlotsRecorded`.

    `concurrency` is the cell of the service's row in the leader's table.
    `lease_seconds` counts from when the holder sent the request;
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
    """Free the slots of a process that is confirmed dead. Result: `SlotsRecorded`."""

    service: ServiceName
    holder: Member


class SlotsRecorded(CommandResult, frozen=True):
    """The holder's slots after a command; `contended` if it wants more."""

    number: int
    slots: int
    lease_seconds: float
    contended: bool


ALLOTMENT_COMMANDS: tuple[type[Command], ...] = (RequestSlots, DropHolder)


class AllotmentsState:
    """The leases of one partition's services. Deterministic, no I/O."""

    COMMANDS: ClassVar[tuple[type[Command], ...]] = ALLOTMENT_COMMANDS

    def __init__(self) -> None:
        """Start without leases."""
        self._services: dict[ServiceName, ServiceLeases] = {}
        self._epoch = Epoch(0)
        self._now = 0.0

    def services(self) -> tuple[ServiceName, ...]:
        """Return the services with leases."""
        return tuple(sorted(self._services))

    def leases(self, service: ServiceName) -> tuple[Lease, ...]:
        """Return a service's leases, sorted by holder."""
        leases = self._services.get(service)
        return leases.all() if leases is not None else ()

    def holders_above_share(
        self, service: ServiceName, slots: int
    ) -> tuple[Member, ...]:
        """Return the holders with more counted slots than their fair share."""
        leases = self._services.get(service)
        return tuple(leases.above_share(slots, self._now)) if leases else ()

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
            _LeasesOfService(service, self.leases(service))
            for service in self.services()
        )
        return msgspec.json.encode(_Snapshot(services, self._epoch, self._now))

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state."""
        decoded = msgspec.json.decode(snapshot, type=_Snapshot)
        self._services = {}
        for entry in decoded.services:
            leases = self._services[entry.service] = ServiceLeases()
            for lease in entry.leases:
                leases.put(lease)
        self._epoch = decoded.epoch
        self._now = decoded.now

    def _advance(self, at: float, epoch: Epoch) -> None:
        """Advance the time; a new leader's clock restarts the terms of all leases."""
        if epoch == self._epoch:
            self._now = max(self._now, at)
            return
        self._epoch = epoch
        self._now = at
        for leases in self._services.values():
            leases.restart(at)

    def _request(self, command: RequestSlots) -> CommandResult:
        leases = self._services.setdefault(command.service, ServiceLeases())
        leases.drop_expired(self._now)
        known = leases.get(command.holder)
        if known is not None and command.number <= known.number:
            return self._reply_to_repeat(command, known)
        lease = self._new_lease(command, known, leases)
        leases.put(lease)
        if lease.wanted == 0 and lease.counted == 0:
            self._drop(command.service, command.holder)
        contended = lease.slots < min(lease.wanted, command.concurrency)
        return SlotsRecorded(lease.number, lease.slots, lease.lease_seconds, contended)

    def _reply_to_repeat(self, command: RequestSlots, known: Lease) -> CommandResult:
        if command.number == known.number:
            return SlotsRecorded(
                known.number, known.slots, known.lease_seconds, contended=False
            )
        problem = Problem.of(
            ProblemCode.STALE_EPOCH, "the request is older than the latest one"
        )
        return CommandRefused(problem)

    def _new_lease(
        self, command: RequestSlots, known: Lease | None, leases: ServiceLeases
    ) -> Lease:
        holder, wanted, limit = command.holder, command.wanted, command.concurrency
        favoured = leases.min_favoured() if known is None else known.favoured
        target = leases.target(holder, wanted, favoured, limit, self._now)
        free = limit - leases.counted_by_others(holder)
        slots = max(0, min(target, free))
        return Lease(
            holder=holder,
            number=command.number,
            wanted=wanted,
            slots=slots,
            counted=max(slots, command.held),
            favoured=favoured + (1 if slots > 0 else 0),
            lease_seconds=command.lease_seconds,
            keep_seconds=command.keep_seconds,
            renewed_at=self._now,
        )

    def _drop(self, service: ServiceName, holder: Member) -> None:
        leases = self._services.get(service)
        if leases is None:
            return
        leases.drop(holder)
        if not leases:
            del self._services[service]


class _LeasesOfService(msgspec.Struct, frozen=True):
    """One service's leases."""

    service: ServiceName
    leases: tuple[Lease, ...]


class _Snapshot(msgspec.Struct, frozen=True):
    """The encoded state."""

    services: tuple[_LeasesOfService, ...]
    epoch: Epoch
    now: float
