"""The in-memory accounts of one partition, without I/O.

Each program has a *bound*: the number of tokens that the journal already counts as
generated. Calls within the bound are admitted from memory. To exceed it, the owner first
writes a higher bound. The next owner counts what the record tells as used, and doubts the
rest of the bound, which covers all calls that the previous owner admitted. A program without
a record starts within the partition's starting allowance.
"""

import enum
from collections.abc import Callable

from notcharch.accounts.account_memory import AccountMemory
from notcharch.accounts.metrics import DOUBTED_TOKENS
from notcharch.accounts.program_account import (
    RESERVATION_TIMEOUT_SECONDS,
    Program,
    Reservation,
)
from notcharch.accounts.records import (
    AccountHandedOver,
    AccountState,
    AllowanceGiven,
    AnyRecord,
    BoundRaised,
    TurnKept,
    compact,
)
from notcharch.accounts.starting_allowance import StartingAllowance
from notcharch.accounts.turns import StoredTurns, Turn
from notcharch.accounts.written_record import WrittenRecord
from notcharch.values.doubts import DoubtCause, DoubtSource
from notcharch.values.identifiers import Member
from notcharch.values.memory_pool import HeldPart

PREALLOCATED_CALLS = 2
"""Number of calls that each raise of a bound covers."""

PREALLOCATED_BUDGET_DIVISOR = 3
"""A raise covers at least the budget divided by this.

A large step lets a program continue while the log rejects appends. The next owner doubts
what the program did not use of it, so a program of which that happened gets no more than
its calls need.
"""

CALLS_WITH_ROOM = 3
"""The record of a turn lets its program run a next call only while the budget has room for
so many: a next owner doubts that call, which a program near its end can't afford."""

REWRITE_BYTES = 4 * 1024 * 1024
"""Turns that are written again at once: a fifth of a second of a partition's appends."""

KEEP_FACTOR = 2.0
"""Turns and accounts are kept for so many times their retention, for callers that come too
late."""
SHORT_KEEP_FACTOR = 1.1
"""The same while they take much of the memory that they may; more than 1 for callers whose
clocks differ."""
PROGRAM_BYTES = 1100
"""Memory of a program's account besides its name, with one call under way."""
DEFAULT_KEEP_SECONDS = 60.0
"""Retention until a route's own is known: the platform's default for routes."""

MIN_RETRY_SECONDS = 0.2
UNKNOWN_RETRY_SECONDS = 4.0
"""Retry delay of a program of which no known call is in flight."""


class Verdict(enum.Enum):
    """The decision of a ledger about a call."""

    ADMITTED = "admitted"
    NEEDS_BOUND = "needs a higher bound"
    SPENT = "spent"
    """The calls that are known leave too little of the budget, whatever else was used."""
    DOUBTED = "doubted"
    """The budget may be spent: it is not known what the program used."""
    GIVEN_UP = "given up"
    """The call ended before its admission; no caller waits for the reply."""


class Ledger:
    """The accounts of the programs of one partition."""

    def __init__(self, memory: AccountMemory | None = None) -> None:
        """Create an empty ledger, whose memory counts in that of all accounts."""
        memory = memory or AccountMemory()
        self._held_programs = HeldPart(memory.accounts)
        self._held_turns = HeldPart(memory.turns)
        self._programs: dict[str, Program] = {}
        self.turns = StoredTurns(self._held_turns)
        """Turns of all programs; a program may continue from another program's turn."""
        self.allowance = StartingAllowance()
        self.keep_seconds = DEFAULT_KEEP_SECONDS
        """Longest retention of turns and budgets among the routes seen."""

    def program(self, name: str, now: float) -> Program:
        """Return a program's account, creating it if necessary."""
        program = self._programs.get(name)
        if program is None:
            program = self._programs[name] = Program()
            self._held_programs.change(PROGRAM_BYTES + len(name))
        program.last_used_at = now
        return program

    def retry_seconds(self, name: str, now: float) -> float:
        """Return after which time it may be known what a program has used."""
        program = self.program(name, now)
        ends = [
            reservation.since + RESERVATION_TIMEOUT_SECONDS - now
            for reservation in program.reserved.values()
        ]
        return max(min(ends, default=UNKNOWN_RETRY_SECONDS), MIN_RETRY_SECONDS)

    def has_room_for(self, name: str) -> bool:
        """Return whether a program has an account, or there is memory for another one."""
        if name in self._programs:
            return True
        return self._held_programs.holder.has_room(PROGRAM_BYTES + len(name))

    def close(self) -> None:
        """Count no memory any more: the partition is released."""
        self._held_programs.close()
        self._held_turns.close()

    def __len__(self) -> int:
        """Return the number of programs."""
        return len(self._programs)

    def doubted_tokens(self) -> int:
        """Return the tokens that are counted and were not certainly generated."""
        return sum(
            program.committed - program.certain for program in self._programs.values()
        )

    # Journal records

    def replay(self, record: AnyRecord, now: float, offset: int = -1) -> None:
        """Apply a record written by an earlier owner; it begins at an offset of the log."""
        if isinstance(record, TurnKept):
            self.keep_seconds = max(self.keep_seconds, record.keep_seconds)
            self.store_turn(record, now, offset)
            if record.account is not None:
                program = self.program(record.program, now)
                program.replay_state(record.account, now, offset)
        elif isinstance(record, AccountHandedOver):
            self.program(record.program, now).replay_handover(record, now, offset)
        elif isinstance(record, AllowanceGiven):
            self.allowance.replay(record)
        elif isinstance(record, BoundRaised):
            self.program(record.program, now).replay_bound(record, now, offset)

    def doubt_all_calls(self) -> None:
        """Doubt all calls in flight: the owner that was handed them was lost."""
        for program in self._programs.values():
            program.doubt_all_calls()

    def handover_records(
        self, now: float, written_at: int, is_lost: Callable[[Member], bool]
    ) -> list[AnyRecord]:
        """Return the records from which the next owner continues with exact usage.

        The withdrawal of the starting allowance comes last, when every program that used
        it has a record.
        """
        records: list[AnyRecord] = []
        for name, program in self._programs.items():
            program.doubt_calls(now, is_lost)
            if program.bound or program.allowance_tokens:
                records.append(self._account_record(name, program, now, written_at))
        withdrawal_record = self.allowance.withdrawal_record()
        if withdrawal_record is not None:
            records.append(withdrawal_record)
        return records

    def _account_record(
        self, name: str, program: Program, now: float, written_at: int
    ) -> AccountHandedOver:
        in_flight = {
            call: reservation.tokens for call, reservation in program.reserved.items()
        }
        return AccountHandedOver(
            name,
            program.used,
            in_flight,
            written_at,
            program.cached_engine,
            program.doubted > 0,
            program.doubted,
            program.unproven,
            program.ages(now),
        )

    # Budgets

    def admit(
        self,
        name: str,
        call: str,
        max_tokens: int,
        budget: int | None,
        now: float,
        *,
        is_proven: bool = True,
        gateway: Member | None = None,
        is_lost: Callable[[Member], bool] = lambda _: False,
    ) -> Verdict:
        """Reserve the tokens of a gateway's call within the durable bound.

        NEEDS_BOUND reserves nothing: the caller raises the bound and calls again.
        `is_proven` is False while records of the program may have been lost; `is_lost`
        returns whether a gateway is.
        """
        program = self.program(name, now)
        if call in program.abandoned:
            return Verdict.GIVEN_UP
        if call in program.reserved:
            program.reserved[call] = Reservation(max_tokens, now, gateway)
            return Verdict.ADMITTED
        program.doubt_calls(now, is_lost)
        if budget is not None:
            self.allowance.observe_call(max_tokens)
            program.budget = budget
            self._initialize(program, budget, now, is_proven=is_proven)
            verdict = self._check_budget(program, max_tokens, budget, now)
            if verdict is not Verdict.ADMITTED:
                return verdict
        program.reserved[call] = Reservation(max_tokens, now, gateway)
        return Verdict.ADMITTED

    def _initialize(
        self, program: Program, budget: int, now: float, *, is_proven: bool
    ) -> None:
        """Apply what a program without a record may have used with earlier owners."""
        if is_proven:
            DOUBTED_TOKENS.labels("given back").inc(program.unproven)
            program.unproven = 0
        if program.is_initialized:
            return
        program.is_initialized = True
        program.doubted = self.allowance.inherited(now, self.keep_seconds).tokens(
            budget
        )
        program.noted.add(DoubtSource(DoubtCause.ALLOWANCE, program.doubted))
        program.unproven = 0 if is_proven else max(budget - program.doubted, 0)
        program.allowance_tokens = self.allowance.current.tokens(budget)

    def _check_budget(
        self, program: Program, max_tokens: int, budget: int, now: float
    ) -> Verdict:
        """Compare a call with its program's budget, then with its durable bound.

        Only a program whose usage is doubted may exceed its budget, by at most one call.
        """
        if program.certain + max_tokens > budget:
            return Verdict.SPENT
        total = program.committed + max_tokens
        if total > budget + max_tokens:
            return Verdict.DOUBTED
        limit = program.limit(self._starting_tokens(program, now))
        return Verdict.NEEDS_BOUND if total > limit else Verdict.ADMITTED

    def _starting_tokens(self, program: Program, now: float) -> int:
        return program.allowance_tokens if self.allowance.is_in_force(now) else 0

    def raised_bound(
        self,
        name: str,
        call: str,
        max_tokens: int,
        budget: int,
        now: float,
        *,
        written_at: int,
        keeps_turns: bool = False,
    ) -> BoundRaised:
        """Return the record of a bound that covers this call and some later ones.

        It is in flight until `on_account_written`. The records of kept turns raise the bound
        for later calls.
        """
        program = self.program(name, now)
        needed = program.committed + max_tokens
        bound = needed
        if not program.is_doubted and not keeps_turns:
            budget_share = budget // PREALLOCATED_BUDGET_DIVISOR
            preallocated = (
                max(PREALLOCATED_CALLS * max_tokens, budget_share) - max_tokens
            )
            allowed = 0 if program.has_record else program.allowance_tokens
            bound = max(needed, min(needed + preallocated, budget), allowed)
        begun = {call: max_tokens}
        return self._bound_record(name, program, bound, written_at, begun)

    def account_record(self, name: str, written_at: int) -> BoundRaised | None:
        """Return the record of a program's account as it is now, with its last bound.

        None if it has no record, or if another one is being written.
        """
        program = self._programs.get(name)
        if program is None or not program.has_record or program.is_being_written:
            return None
        bound = program.committed
        if not program.is_doubted:
            bound = max(bound, program.bound)
        return self._bound_record(name, program, bound, written_at, {})

    @staticmethod
    def _bound_record(
        name: str, program: Program, bound: int, written_at: int, begun: dict[str, int]
    ) -> BoundRaised:
        program.begin_write(bound)
        state = program.state(bound, begun=begun)
        return BoundRaised(name, bound, written_at, state.used_tokens, state.doubt)

    def on_account_written(self, name: str, bound: int, written: WrittenRecord) -> None:
        """Apply the outcome of writing a record with a program's bound."""
        program = self._programs.get(name)
        if program is not None:
            program.end_write(
                bound, is_durable=written.is_durable, offset=written.offset
            )

    def state_after_turn(
        self, name: str, call: str, tokens: int
    ) -> AccountState | None:
        """Return the account after a call, for the record of its turn.

        It lets the program run another call of that size, unless its usage is doubted or
        little of its budget is left. None if the call is not accounted here. The record is
        in flight until `on_account_written`.
        """
        program = self._programs.get(name)
        reservation = None if program is None else program.reserved.get(call)
        if program is None or reservation is None or not program.is_initialized:
            return None
        bound = program.committed - reservation.tokens + tokens
        has_room = bound + CALLS_WITH_ROOM * reservation.tokens <= program.budget
        if has_room and not program.is_doubted:
            bound += reservation.tokens
        program.begin_write(bound)
        return program.state(bound, ended=call, tokens=tokens, begun={})

    def complete_call(
        self,
        name: str,
        call: str,
        tokens: int,
        now: float,
        *,
        engine: str,
        is_recorded: bool = False,
    ) -> bool:
        """Charge the tokens that a call generated, and release its reservation.

        If the call's admission still waits for the journal, the call is marked as
        abandoned and reserves nothing. Nothing is charged to an unknown program, and none
        is added while there is no memory for one. `is_recorded` if the record of a former
        owner counts the call. Return whether doubt about the program remains.
        """
        if not self.has_room_for(name):
            return False
        program = self.program(name, now)
        program.cached_engine = engine or program.cached_engine
        settled = program.settle(call, tokens, is_recorded=is_recorded)
        DOUBTED_TOKENS.labels("settled").inc(settled)
        return program.is_doubted

    def store_turn(self, record: TurnKept, now: float, offset: int = -1) -> None:
        """Store a turn that is in the journal, with its first record at an offset."""
        turn = Turn(record.previous, record.input, record.output)
        self.turns.store(record.turn, turn, now, offset)

    # Expiry

    def due_accounts(
        self, offset: int, now: float, written_at: int
    ) -> list[BoundRaised]:
        """Return new records of the accounts whose records lie before an offset."""
        names = [
            name
            for name, program in self._programs.items()
            if 0 <= program.offset < offset and self._counts(program, now)
        ]
        records = (self.account_record(name, written_at) for name in names)
        return [record for record in records if record is not None]

    def _counts_since(self, now: float) -> float:
        """Return since when something must have been used to count still."""
        return now - SHORT_KEEP_FACTOR * self.keep_seconds

    def _counts(self, program: Program, now: float) -> bool:
        is_recent = program.last_used_at >= self._counts_since(now)
        return bool(program.reserved) or is_recent

    def due_turns(self, offset: int, now: float, rounds: float = 1.0) -> list[str]:
        """Return the turns whose records lie before an offset, to be written again now.

        Many bytes of turns are spread over some `rounds`, the oldest first, since other
        records of the partition wait behind them.
        """
        due = self.turns.stored_before(offset, self._counts_since(now))
        due_bytes = sum(link.size_bytes for _, link in due)
        max_bytes = max(REWRITE_BYTES, due_bytes / rounds)
        names: list[str] = []
        size = 0
        for name, link in due:
            if size >= max_bytes:
                break
            names.append(name)
            size += link.size_bytes
        return names

    def complete_from(self, now: float, end: int) -> int:
        """Return the offset from which the journal holds all accounts and turns.

        `end` is its end, before which there is no record in flight.
        """
        accounts = (
            program.offset
            for program in self._programs.values()
            if program.offset >= 0 and self._counts(program, now)
        )
        first_turn = self.turns.first_offset(self._counts_since(now))
        return min((end, *accounts, *first_turn))

    def turn_record(self, name: str, turn: Turn, written_at: int) -> TurnKept:
        """Return the record of a turn that is written again."""
        return TurnKept(
            "",
            name,
            turn.previous,
            turn.input,
            turn.output,
            written_at,
            compact(self.keep_seconds),
        )

    def evict_expired(self, now: float) -> None:
        """Remove programs and turns whose retention has ended."""
        self.evict_turns(now)
        limit = now - self._keep_factor(self._held_programs) * self.keep_seconds
        for name, program in tuple(self._programs.items()):
            if program.last_used_at < limit and not program.reserved:
                del self._programs[name]
                self._held_programs.change(-PROGRAM_BYTES - len(name))

    def evict_turns(self, now: float) -> None:
        """Remove turns whose retention has ended; some time later unless memory is short."""
        factor = self._keep_factor(self._held_turns)
        self.turns.evict_unused_since(now - factor * self.keep_seconds)

    @staticmethod
    def _keep_factor(held: HeldPart) -> float:
        is_short = held.holder.is_under_pressure
        return SHORT_KEEP_FACTOR if is_short else KEEP_FACTOR
