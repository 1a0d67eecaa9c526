"""Periodic maintenance of programs: orphaned attempts, expiry and retention.

Each step checks up to `PROGRAMS_PER_STEP` programs and continues where the last one
stopped. It proposes commands for what is due; they check again when applied.
"""

from collections.abc import Callable, Iterator

from notcharch.errors.problem import ProblemError
from notcharch.events.event import emit
from notcharch.events.programs import AttemptAbandoned, OutcomeLost, ProgramsSwept
from notcharch.placement.interface import MembershipView
from notcharch.programs.attempt_watch import AttemptWatch, gateways_of
from notcharch.programs.background import run_in_background
from notcharch.programs.changes import ProgramChanges
from notcharch.programs.commands import (
    AbandonAttempt,
    ExpirePrograms,
    ExpiryCheck,
    ProgramsExpired,
)
from notcharch.programs.led_programs import LedPrograms
from notcharch.programs.record import OpenCall, ProgramRecord
from notcharch.programs.state import ProgramsState
from notcharch.programs.tree import expiry_of, may_remove
from notcharch.table.interface import ServiceRow, TableView
from notcharch.values.identifiers import (
    Member,
    PartitionNumber,
    PoolName,
    ProgramId,
    ServiceName,
    TenantName,
)

PROGRAMS_PER_STEP = 2000
ABANDONS_PER_STEP = 200


class MaintenanceService:
    """Abandons orphaned attempts and expires programs of the led partitions."""

    def __init__(
        self,
        *,
        led: LedPrograms,
        changes: ProgramChanges,
        table: TableView,
        membership: MembershipView,
        watch: AttemptWatch,
        retention_seconds: float,
        now: Callable[[], float],
    ) -> None:
        """Start at the first program; commands are proposed through `led`."""
        self._led = led
        self._changes = changes
        self._table = table
        self._membership = membership
        self._watch = watch
        self._retention_seconds = retention_seconds
        self._now = now
        self._cursor: Iterator[tuple[PartitionNumber, ProgramId]] = iter(())
        self._abandoning: set[ProgramId] = set()
        self._sweeping: set[PartitionNumber] = set()

    def step(self) -> None:
        """Abandon orphaned attempts and check the next programs for expiry."""
        self._abandon_orphaned_attempts()
        if self._table.version > 0:
            # Without a table the limits of the rows are unknown.
            self._sweep()

    def _abandon_orphaned_attempts(self) -> None:
        running = list(self._running_calls())
        live = {member.member for member in self._membership.live_members()}
        gateways = gateways_of(call for _, call in running)
        self._watch.observe(gateways, live, self._now())
        dead = {gateway for gateway in gateways if self._is_dead(gateway)}
        for record, call in running:
            if len(self._abandoning) >= ABANDONS_PER_STEP:
                return
            if record.program in self._abandoning:
                continue
            reason = self._watch.reason_to_abandon(
                call,
                self._row(record.service).max_wait_seconds,
                dead=call.gateway in dead,
                now=self._now(),
            )
            if reason is not None:
                self._abandoning.add(record.program)
                run_in_background(self._abandon(record, call, reason))

    def _is_dead(self, gateway: Member) -> bool:
        return self._membership.is_certainly_dead(gateway)

    def _running_calls(self) -> Iterator[tuple[ProgramRecord, OpenCall]]:
        for _, state in self._led.led_states():
            for program in state.running_programs():
                record = state.record(program)
                call = None if record is None else record.running_call
                if record is not None and call is not None:
                    yield record, call

    async def _abandon(
        self, record: ProgramRecord, call: OpenCall, reason: str
    ) -> None:
        program = record.program
        sequence, attempt = call.sequence, call.attempt
        command = AbandonAttempt(self._now(), program, sequence, attempt, reason)
        unrepeatable = not call.repeatable
        try:
            await self._led.propose(program, command)
        except ProblemError:
            # The attempt has finished, or another daemon leads and checks it.
            return
        finally:
            self._abandoning.discard(program)
            self._changes.notify(program)
        emit(AttemptAbandoned(program, sequence, attempt, reason))
        if unrepeatable and record.finished >= sequence:
            emit(OutcomeLost(program, sequence))

    def _row(self, service: ServiceName) -> ServiceRow:
        """Return a service's row, or one with default cells if it was removed."""
        row = self._table.row(service)
        if row is not None:
            return row
        return ServiceRow(service, tenant=_NO_TENANT, pool=_NO_POOL)

    def _sweep(self) -> None:
        checks: dict[PartitionNumber, list[ExpiryCheck]] = {}
        for _ in range(PROGRAMS_PER_STEP):
            position = next(self._cursor, None)
            if position is None:
                self._cursor = iter(self._positions())
                break
            partition, program = position
            check = self._due_check(partition, program)
            if check is not None:
                checks.setdefault(partition, []).append(check)
        for partition, due in checks.items():
            if partition not in self._sweeping:
                self._sweeping.add(partition)
                run_in_background(self._expire(partition, tuple(due)))

    def _positions(self) -> list[tuple[PartitionNumber, ProgramId]]:
        return [
            (partition, program)
            for partition, state in self._led.led_states()
            for program in state.programs()
        ]

    def _due_check(
        self, partition: PartitionNumber, program: ProgramId
    ) -> ExpiryCheck | None:
        state = self._led.led_state(partition)
        record = None if state is None else state.record(program)
        if state is None or record is None:
            return None
        row = self._row(record.service)
        check = ExpiryCheck(program, row.idle_seconds, row.max_age_seconds)
        due = self._is_due(state, record, check)
        return check if due else None

    def _is_due(
        self, state: ProgramsState, record: ProgramRecord, check: ExpiryCheck
    ) -> bool:
        now = self._now()
        if expiry_of(record, check, now) is not None:
            return True
        removable = may_remove(record, now, self._retention_seconds)
        return removable and not state.has_pending_release(record.program)

    async def _expire(
        self, partition: PartitionNumber, checks: tuple[ExpiryCheck, ...]
    ) -> None:
        command = ExpirePrograms(self._now(), checks, self._retention_seconds)
        try:
            result = await self._led.propose_to(partition, command)
        except ProblemError:
            # Still due, so this leader or the next one proposes it again.
            return
        finally:
            self._sweeping.discard(partition)
        state = self._led.led_state(partition)
        for check in checks:
            self._changes.notify_all((check.program,))
            if state is not None:
                self._changes.notify_all(state.tree_below(check.program))
        if isinstance(result, ProgramsExpired):
            emit(ProgramsSwept(partition, result.ended, result.forgotten))


_NO_TENANT = TenantName("")
_NO_POOL = PoolName("")
