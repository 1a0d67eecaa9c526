"""Handles allotment requests at the leader of a service's partition."""

from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime

from notcharch.errors import Problem, ProblemCode
from notcharch.errors.problem import ProblemError
from notcharch.events.event import emit
from notcharch.events.services import HolderDropped, SlotsContended
from notcharch.partitions.interface import (
    PartitionHost,
)
from notcharch.partitions.proposals import propose_or_raise
from notcharch.placement.interface import MembershipView
from notcharch.placement.partitions import partition_of_service
from notcharch.services.allotments import (
    AllotmentsState,
    DropHolder,
    RequestSlots,
    SlotsRecorded,
)
from notcharch.settings.schema import ServicesSection
from notcharch.table.interface import ServiceRow, TableView
from notcharch.values.identifiers import Member, PartitionNumber, ServiceName
from notcharch.wire.messages.base import Message
from notcharch.wire.messages.services import (
    AllotmentDescription,
    AllotmentGranted,
    AllotmentListing,
    ListAllotments,
    RequestAllotment,
    YieldSlots,
)
from notcharch.wire.peers import PeerNetwork

DEAD_HOLDER_GRACE_SECONDS = 15.0
"""Time after which engines have ended the streams of a dead gateway."""

MIN_YIELD_INTERVAL_SECONDS = 0.5
"""Minimum interval of notices to the holders of one service."""

NO_TABLE_RETRY_SECONDS = 1.0


class LimiterService:
    """Handles `RequestAllotment` and `ListAllotments`.

    `monotonic` returns seconds of a monotonic clock, so that adjustments of the
    wall clock do not end leases early.
    """

    def __init__(
        self,
        *,
        network: PeerNetwork,
        partitions: PartitionHost,
        allotments_of: Callable[[PartitionNumber], AllotmentsState | None],
        table: TableView,
        membership: MembershipView,
        clock: IReactorTime,
        monotonic: Callable[[], float],
        settings: ServicesSection,
        partition_count: int,
    ) -> None:
        """Register the handlers."""
        self._network = network
        self._partitions = partitions
        self._allotments_of = allotments_of
        self._table = table
        self._membership = membership
        self._monotonic = monotonic
        self._wall_offset = clock.seconds() - monotonic()
        self._settings = settings
        self._partition_count = partition_count
        self._dead_since: dict[Member, float] = {}
        self._yield_requested_at: dict[ServiceName, float] = {}
        self._limits: dict[ServiceName, int] = {}
        network.on_request(RequestAllotment, self._on_request)
        network.on_request(ListAllotments, self._on_list)
        table.on_change(self._on_table_change)

    async def _on_request(self, sender: Member, message: Message) -> Message:
        assert isinstance(message, RequestAllotment)
        row = self._row(message.service)
        partition = partition_of_service(message.service, self._partition_count)
        await self._drop_dead_holders(partition, message.service)
        command = self._command(message, row)
        recorded = await propose_or_raise(self._partitions, partition, command)
        if not isinstance(recorded, SlotsRecorded):
            raise ProblemError(
                Problem.of(ProblemCode.INTERNAL, "the partition returned no slots")
            )
        if recorded.contended:
            self._request_yield(partition, message, row)
        return AllotmentGranted(
            message.service, recorded.number, recorded.slots, recorded.lease_seconds
        )

    def _row(self, service: ServiceName) -> ServiceRow:
        row = self._table.row(service)
        if row is not None:
            return row
        if self._table.version == 0:
            raise ProblemError(
                Problem.of(
                    ProblemCode.UNAVAILABLE,
                    "the limiter has no table yet",
                    retry_after=NO_TABLE_RETRY_SECONDS,
                )
            )
        raise ProblemError(
            Problem.of(ProblemCode.NOT_FOUND, f"the table has no service {service}")
        )

    def _command(self, request: RequestAllotment, row: ServiceRow) -> RequestSlots:
        lease = self._settings.lease_seconds
        drift = self._settings.clock_drift
        max_lease_seconds = lease * (1 + drift) / (1 - drift)
        self._limits[request.service] = _concurrency_limit(row)
        max_call_seconds = self._settings.longest_call_seconds * (1 + drift)
        return RequestSlots(
            at=self._command_time(),
            service=request.service,
            holder=request.holder,
            number=request.number,
            wanted=max(0, request.wanted),
            held=max(0, request.held),
            concurrency=_concurrency_limit(row),
            lease_seconds=lease,
            keep_seconds=max_lease_seconds + max_call_seconds,
        )

    def _command_time(self) -> float:
        """Return the wall-clock time at startup plus the monotonic time since."""
        return self._wall_offset + self._monotonic()

    async def _drop_dead_holders(
        self, partition: PartitionNumber, service: ServiceName
    ) -> None:
        """Free the slots of processes that have been dead for the grace time."""
        state = self._allotments_of(partition)
        if state is None:
            return
        now = self._monotonic()
        for lease in state.leases(service):
            if not self._membership.is_certainly_dead(lease.holder):
                self._dead_since.pop(lease.holder, None)
                continue
            since = self._dead_since.setdefault(lease.holder, now)
            if now - since >= DEAD_HOLDER_GRACE_SECONDS:
                command = DropHolder(self._command_time(), service, lease.holder)
                await propose_or_raise(self._partitions, partition, command)
                holder = lease.holder
                emit(
                    HolderDropped(
                        service, holder.daemon, holder.incarnation, lease.counted
                    )
                )

    def _request_yield(
        self, partition: PartitionNumber, request: RequestAllotment, row: ServiceRow
    ) -> None:
        """Notify holders above their share that another holder waits."""
        state = self._allotments_of(partition)
        now = self._monotonic()
        requested_at = self._yield_requested_at.get(request.service)
        if state is None or (
            requested_at is not None and now - requested_at < MIN_YIELD_INTERVAL_SECONDS
        ):
            return
        self._yield_requested_at[request.service] = now
        exceeding = state.holders_above_share(request.service, _concurrency_limit(row))
        others = [holder for holder in exceeding if holder != request.holder]
        for holder in others:
            self._network.notify(holder.daemon, YieldSlots(request.service))
        emit(SlotsContended(request.service, len(others)))

    def _on_table_change(self) -> None:
        """Make holders renew immediately after a change of their service's limit."""
        for partition in self._partitions.led_partitions():
            state = self._allotments_of(partition)
            for service in state.services() if state is not None else ():
                row = self._table.row(service)
                limit = _concurrency_limit(row) if row is not None else 0
                if state is not None and self._limits.get(service) != limit:
                    self._limits[service] = limit
                    for lease in state.leases(service):
                        self._network.notify(lease.holder.daemon, YieldSlots(service))

    async def _on_list(self, sender: Member, message: Message) -> Message:
        descriptions: list[AllotmentDescription] = []
        for partition in self._partitions.led_partitions():
            state = self._allotments_of(partition)
            if state is not None:
                descriptions.extend(self._describe(state))
        return AllotmentListing(tuple(descriptions))

    def _describe(self, state: AllotmentsState) -> list[AllotmentDescription]:
        now = self._command_time()
        return [
            AllotmentDescription(
                service,
                lease.holder,
                lease.counted,
                max(0.0, lease.expires_at - now),
            )
            for service in state.services()
            for lease in state.leases(service)
        ]


def _concurrency_limit(row: ServiceRow) -> int:
    """Return the number of calls of a service that may run concurrently."""
    return 0 if row.paused else row.concurrency
