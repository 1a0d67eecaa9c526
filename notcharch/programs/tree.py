"""Creates programs, ends trees of programs, and removes expired ones."""

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.partitions.interface import CommandRefused, CommandResult
from notcharch.programs import refusals
from notcharch.programs.budget import TreeBudget
from notcharch.programs.commands import (
    BeginProgram,
    CommandDone,
    ConfirmReleases,
    ExpirePrograms,
    ExpiryCheck,
    ProgramsExpired,
    StopProgram,
)
from notcharch.programs.record import CallPhase, EndReason, ProgramRecord
from notcharch.programs.store import ProgramStore
from notcharch.values.identifiers import ProgramId

MAX_TREE_PROGRAMS = 1000
"""Number of stored programs of one tree, including ended ones."""


def begin(store: ProgramStore, command: BeginProgram) -> CommandResult:
    """Create a program, as a root or as the child of another program."""
    known = store.records.get(command.program)
    if known is not None:
        return _repeat_begin(known, command)
    if command.parent is None:
        budget = TreeBudget(command.budget_tokens)
        store.add(_new_record(command, command.program, budget))
        return CommandDone()
    return _begin_child(store, command)


def _repeat_begin(known: ProgramRecord, command: BeginProgram) -> CommandResult:
    same = (
        known.service == command.service
        and known.tenant == command.tenant
        and known.parent == command.parent
    )
    return CommandDone() if same else refusals.not_found(command.program)


def _begin_child(store: ProgramStore, command: BeginProgram) -> CommandResult:
    if command.parent is None:
        return refusals.not_found(command.program)
    parent = store.visible(command.parent, command.tenant)
    if parent is None:
        return refusals.not_found(command.parent)
    if parent.ended:
        message = f"the parent {parent.program} has ended"
        return CommandRefused(Problem.of(ProblemCode.PROGRAM_ENDED, message))
    root = store.records[parent.root]
    if root.tree_size >= MAX_TREE_PROGRAMS:
        message = f"the tree of {root.program} has {root.tree_size} programs"
        return CommandRefused(Problem.of(ProblemCode.CALL_LIMIT_REACHED, message))
    store.add(_new_record(command, root.program, None))
    parent.children = (*parent.children, command.program)
    root.tree_size += 1
    touch(store, parent, command.at)
    return CommandDone()


def _new_record(
    command: BeginProgram, root: ProgramId, budget: TreeBudget | None
) -> ProgramRecord:
    return ProgramRecord(
        program=command.program,
        service=command.service,
        tenant=command.tenant,
        parent=command.parent,
        root=root,
        created_at=command.at,
        active_at=command.at,
        budget=budget,
    )


def touch(store: ProgramStore, record: ProgramRecord, at: float) -> None:
    """Record activity of a program and its ancestors."""
    current: ProgramRecord | None = record
    while current is not None:
        current.active_at = max(current.active_at, at)
        parent = current.parent
        current = None if parent is None else store.records.get(parent)


def stop(store: ProgramStore, command: StopProgram) -> CommandResult:
    """End a program at its tenant's request; idempotent."""
    record = store.visible(command.program, command.tenant)
    if record is None:
        return refusals.not_found(command.program)
    _end_tree(store, record, EndReason.REQUESTED, command.at)
    return CommandDone()


def _end_tree(
    store: ProgramStore, record: ProgramRecord, reason: EndReason, at: float
) -> None:
    pending = [record]
    while pending:
        current = pending.pop()
        if not current.ended:
            _end_one(
                store, current, reason if current is record else EndReason.PARENT, at
            )
        pending.extend(store.records[child] for child in current.children)
    if record.parent is not None and record.parent in store.records:
        touch(store, store.records[record.parent], at)


def _end_one(
    store: ProgramStore, record: ProgramRecord, reason: EndReason, at: float
) -> None:
    record.ended_at = at
    record.end_reason = reason
    call = record.call
    if call is not None and call.phase is CallPhase.ADMITTED:
        # No dispatch was committed, and none can be after this.
        store.budget_of(record).release_reservation(call.reserved_tokens)
        call.phase = CallPhase.FAILED
        call.reserved_tokens = 0
        call.failure = ended_problem(record, _ran_so_far(call.may_have_run))
        store.update_running(record)
    release_engines(store, record)


def _ran_so_far(may_have_run: bool) -> Ran:
    return Ran.UNKNOWN if may_have_run else Ran.NO


def ended_problem(record: ProgramRecord, ran: Ran) -> Problem:
    """Return the problem of a call to an ended program."""
    reason = record.end_reason.value if record.end_reason else ""
    message = f"program {record.program} has ended ({reason})"
    return Problem.of(ProblemCode.PROGRAM_ENDED, message, ran=ran)


def release_engines(store: ProgramStore, record: ProgramRecord) -> None:
    """Add release duties for a program's engines unless an attempt is dispatched.

    The engine of a dispatched attempt allocates memory again, so the duties are
    added when the attempt ends.
    """
    call = record.running_call
    if call is not None and call.phase is CallPhase.DISPATCHED:
        return
    for engine in record.engines:
        store.add_duty(record.program, engine)
    record.engines = ()
    record.prefix = None


def confirm(store: ProgramStore, command: ConfirmReleases) -> CommandResult:
    """Drop confirmed duties."""
    for duty in command.duties:
        store.confirm_duty(duty)
    return CommandDone()


def expire(store: ProgramStore, command: ExpirePrograms) -> CommandResult:
    """Check programs for idleness, age and the end of their retention."""
    ended = 0
    removed = 0
    for check in command.checks:
        record = store.records.get(check.program)
        if record is None:
            continue
        reason = expiry_of(record, check, command.at)
        if reason is not None:
            _end_tree(store, record, reason, command.at)
            ended += 1
        elif record.program not in store.duties and may_remove(
            record, command.at, command.retention_seconds
        ):
            _remove(store, record)
            removed += 1
    return ProgramsExpired(ended, removed)


def expiry_of(record: ProgramRecord, check: ExpiryCheck, at: float) -> EndReason | None:
    """Return why a program must end now, or None."""
    if record.ended:
        return None
    if at - record.created_at >= check.max_age_seconds:
        return EndReason.AGE
    idle = at - record.active_at >= check.idle_seconds
    if idle and record.running_call is None:
        return EndReason.IDLE
    return None


def may_remove(record: ProgramRecord, at: float, retention_seconds: float) -> bool:
    """Return whether the retention of an ended program has passed.

    The caller also checks that its release duties are confirmed.
    """
    if record.ended_at is None or record.children or record.running_call:
        return False
    return at - record.ended_at >= retention_seconds


def _remove(store: ProgramStore, record: ProgramRecord) -> None:
    del store.records[record.program]
    if record.parent is None:
        return
    parent = store.records[record.parent]
    parent.children = tuple(
        child for child in parent.children if child != record.program
    )
    store.records[record.root].tree_size -= 1
