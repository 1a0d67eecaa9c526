"""The in-memory accounts of one partition, without I/O.

Each program has a *bound*: the number of tokens that the journal already counts as
generated. Calls within the bound are admitted from memory. To exceed it, the owner first
writes a higher bound. The next owner counts what the record tells as used, and doubts the
rest of the bound, which covers all calls that the previous owner admitted. A program without
a record starts within the partition's starting allowance.
"""

import enum
from collections.abc import Callable

import msgspec

from notcharch.accounts.account_memory import AccountMemory
from notcharch.accounts.grant_plans import (
    least_raise,
    planned_grant,
    planned_raise,
    tokens_ahead,
)
from notcharch.accounts.messages import WHOLE_CALL, RaiseGrant
from notcharch.accounts.metrics import DOUBTED_TOKENS
from notcharch.accounts.program_account import (
    RESERVATION_TIMEOUT_SECONDS,
    Program,
    Reservation,
    grants_of,
)
from notcharch.accounts.records import (
    AccountHandedOver,
    AccountState,
    AllowanceGiven,
    AnyRecord,
    BoundRaised,
    CallGrant,
    TurnKept,
    compact,
)
from notcharch.accounts.starting_allowance import StartingAllowance
from notcharch.accounts.turns import StoredTurns, Turn
from notcharch.accounts.written_record import WrittenRecord
from notcharch.values.doubts import DoubtCause, DoubtSource
from notcharch.values.identifiers import Member
from notcharch.values.memory_pool import HeldPart

BUDGET_AHEAD_DIVISOR = 3
"""A raise covers at least the budget divided by this, if turns are not kept: a program then
continues while the log rejects appends."""

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
            if not reservation.is_doubted
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
        in_flight = {call: held.tokens for call, held in program.reserved.items()}
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
            grants_of(program.reserved),
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
        event_tokens: int = 0,
        takes_less: bool = False,
        keeps_turns: bool = False,
    ) -> Verdict:
        """Reserve the tokens of a gateway's call, and grant a part within the durable bound.

        NEEDS_BOUND reserves nothing: the caller raises the bound and calls again, with
        `takes_less`, which takes a smaller grant if the bound has no more. `is_proven` is
        False while records of the program may have been lost; `is_lost` returns whether a
        gateway is; `keeps_turns` whether the call's turn is to be kept.
        """
        program = self.program(name, now)
        if call in program.abandoned:
            return Verdict.GIVEN_UP
        program.doubt_calls(now, is_lost)
        asked = Reservation(
            max_tokens, now, max_tokens, event_tokens=event_tokens, gateway=gateway
        )
        if budget is None:
            program.reserved[call] = asked
            return Verdict.ADMITTED
        program.budget = budget
        self._initialize(
            program,
            budget,
            max_tokens,
            now,
            is_proven=is_proven,
            keeps_turns=keeps_turns,
        )
        former = program.reserved.pop(call, None)
        verdict = self._check_budget(program, asked, former, now, takes_less=takes_less)
        if verdict is Verdict.ADMITTED:
            program.reserved[call] = asked
        elif former is not None:
            program.reserved[call] = former
        return verdict

    def granted(self, name: str, call: str) -> int:
        """Return the tokens that a call which was let in may relay."""
        return self._programs[name].reserved[call].granted

    def _initialize(
        self,
        program: Program,
        budget: int,
        max_tokens: int,
        now: float,
        *,
        is_proven: bool,
        keeps_turns: bool,
    ) -> None:
        """Apply what a program without a record may have used with earlier owners."""
        if is_proven:
            DOUBTED_TOKENS.labels("given back").inc(program.unproven)
            program.unproven = 0
        program.largest_call = max(program.largest_call, max_tokens)
        if not keeps_turns:
            self.allowance.observe_call(max_tokens)
        current = self.allowance.current
        allowed = current.tokens(budget, max_tokens, keeps_turns=keeps_turns)
        if program.is_initialized:
            program.allowance_tokens = min(program.allowance_tokens, allowed)
            self._count_inherited(program, budget, max_tokens, keeps_turns=keeps_turns)
            return
        program.is_initialized = True
        program.allowance_tokens = allowed
        program.inherited = self.allowance.inherited(now, self.keep_seconds)
        self._count_inherited(program, budget, max_tokens, keeps_turns=keeps_turns)
        program.unproven = 0 if is_proven else max(budget - program.doubted, 0)

    @staticmethod
    def _count_inherited(
        program: Program, budget: int, max_tokens: int, *, keeps_turns: bool
    ) -> None:
        """Count that a program may have begun with a call such as this one."""
        tokens = program.inherited.tokens(budget, max_tokens, keeps_turns=keeps_turns)
        more = max(tokens - program.inherited_tokens, 0)
        program.inherited_tokens += more
        program.doubted += more
        program.noted.add(DoubtSource(DoubtCause.ALLOWANCE, more))

    def _check_budget(
        self,
        program: Program,
        asked: Reservation,
        former: Reservation | None,
        now: float,
        *,
        takes_less: bool,
    ) -> Verdict:
        """Compare a call with its program's budget, then its grant with the durable bound.

        Only a program whose usage is doubted may exceed its budget, by at most one call.
        The grant is noted in `asked`; it is no smaller than that of the call's `former`
        admission.
        """
        if program.certain + asked.tokens > program.budget:
            return Verdict.SPENT
        if program.committed > program.budget:
            return Verdict.DOUBTED
        asked.granted = planned_grant(program, asked, former)
        if former is not None:
            asked.relayed = former.relayed
        least = former.granted if former is not None else 0
        least = max(least, asked.event_tokens or asked.tokens)
        room = self._durable_room(program, now)
        if takes_less and room >= least:
            asked.granted = min(asked.granted, room)
        return Verdict.NEEDS_BOUND if asked.granted > room else Verdict.ADMITTED

    def _durable_room(self, program: Program, now: float, besides: str = "") -> int:
        """Return how much the durable bound has left for a call."""
        limit = program.limit(self._starting_tokens(program, now))
        return limit - program.covered(besides)

    def raise_grant(
        self,
        request: RaiseGrant,
        now: float,
        *,
        is_proven: bool,
        gateway: Member | None,
        takes_less: bool,
    ) -> Verdict:
        """Grant more tokens to a running call, within the durable bound.

        NEEDS_BOUND: the caller raises the bound and calls again, with `takes_less`, which
        takes the least that is wanted if the bound has no more.
        """
        program = self.program(request.program, now)
        if program.is_over(request.call):
            return Verdict.GIVEN_UP
        if request.budget_tokens is None:
            program.reserved[request.call] = Reservation(
                request.most_tokens, now, request.most_tokens, gateway=gateway
            )
            return Verdict.ADMITTED
        program.budget = request.budget_tokens
        most, budget = request.most_tokens, request.budget_tokens
        self._initialize(
            program, budget, most, now, is_proven=is_proven, keeps_turns=True
        )
        held = program.take_up(
            request.call,
            most,
            now,
            grant=CallGrant(request.granted_tokens, request.relayed_tokens),
            event_tokens=request.event_tokens,
            gateway=gateway,
        )
        least = least_raise(request, held)
        if held.is_doubted or least > held.tokens:
            return Verdict.DOUBTED
        target = planned_raise(program, request, held)
        room = self._durable_room(program, now, request.call)
        if takes_less and room >= least:
            target = max(min(target, room), held.granted)
        if target > room:
            return Verdict.NEEDS_BOUND
        held.granted = target
        return Verdict.ADMITTED

    def _starting_tokens(self, program: Program, now: float) -> int:
        return program.allowance_tokens if self.allowance.is_in_force(now) else 0

    def raised_bound(
        self,
        name: str,
        call: str,
        max_tokens: int,
        now: float,
        *,
        written_at: int,
        event_tokens: int = 0,
        keeps_turns: bool = False,
    ) -> BoundRaised:
        """Return the record of a bound that covers this call's grant and some of the next.

        It is in flight until `on_account_written`. The records of kept turns raise the bound
        for later calls.
        """
        program = self.program(name, now)
        begun = Reservation(max_tokens, now, max_tokens, event_tokens=event_tokens)
        former = program.reserved.get(call)
        begun.granted = planned_grant(program, begun, former, call)
        bound = program.covered(call) + begun.granted
        if not program.is_doubted and not keeps_turns:
            ahead = max(max_tokens, program.budget // BUDGET_AHEAD_DIVISOR - max_tokens)
            allowed = 0 if program.has_record else program.allowance_tokens
            bound = max(bound, min(bound + ahead, program.budget), allowed)
        return self._bound_record(name, program, bound, written_at, {call: begun})

    def raised_bound_of_grant(
        self, request: RaiseGrant, now: float, *, written_at: int
    ) -> BoundRaised | None:
        """Return the record of a bound that covers more of a running call.

        None if the call has ended meanwhile.
        """
        program = self.program(request.program, now)
        held = program.reserved.get(request.call)
        if held is None:
            return None
        target = planned_raise(program, request, held)
        grown = msgspec.structs.replace(held, granted=target)
        bound = program.covered(request.call) + target
        return self._bound_record(
            request.program, program, bound, written_at, {request.call: grown}
        )

    def account_record(self, name: str, written_at: int) -> BoundRaised | None:
        """Return the record of a program's account as it is now, with its last bound.

        None if it has no record, or if another one is being written.
        """
        program = self._programs.get(name)
        if program is None or not program.has_record or program.is_being_written:
            return None
        bound = program.covered()
        if not program.is_doubted:
            bound = max(bound, program.bound)
        return self._bound_record(name, program, bound, written_at, {})

    @staticmethod
    def _bound_record(
        name: str,
        program: Program,
        bound: int,
        written_at: int,
        begun: dict[str, Reservation],
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
        self, name: str, call: str, tokens: int, granted: int = WHOLE_CALL
    ) -> AccountState | None:
        """Return the account after a call, for the record of its turn.

        It lets the program begin another call of that size, unless its usage is doubted or
        little of its budget is left. None if the program is not accounted here. The record
        is in flight until `on_account_written`.
        """
        program = self._programs.get(name)
        if program is None or not program.is_initialized or program.is_over(call):
            return None
        held = program.reserved.get(call)
        settled = 0 if held is not None else program.unnamed_share(tokens, granted)
        bound = program.covered(call) + tokens - settled
        if held is not None and not program.is_doubted:
            bound += tokens_ahead(program, held, call, bound)
        program.begin_write(bound)
        return program.state(bound, ended=call, tokens=tokens, begun={})

    def can_keep(
        self, name: str, call: str, tokens: int, granted: int = WHOLE_CALL
    ) -> bool:
        """Return whether a turn may be answered whole.

        A gateway answers with more than was granted once the turn is durable. If its owner
        was lost, other calls may have been let in for the difference.
        """
        program = self._programs.get(name)
        held = None if program is None else program.reserved.get(call)
        if program is None or not program.budget or (held and not held.is_doubted):
            return True
        unnamed = program.unnamed_share(tokens, granted)
        counted = held.granted if held is not None else unnamed
        largest = max(program.largest_call, tokens)
        return program.committed - counted + tokens <= program.budget + largest

    def complete_call(
        self,
        name: str,
        call: str,
        tokens: int,
        now: float,
        *,
        engine: str,
        is_recorded: bool = False,
        is_kept: bool = False,
        granted: int = WHOLE_CALL,
    ) -> bool:
        """Charge the tokens that a call generated, and release its reservation.

        If the call's admission still waits for the journal, the call is marked as
        abandoned and reserves nothing. Nothing is charged to an unknown program, and none
        is added while there is no memory for one. `is_recorded` if the record of a former
        owner counts the call, `is_kept` if its turn was stored now. `granted` is what its
        gateway tells of its grant. Return whether doubt about the program remains.
        """
        if not self.has_room_for(name):
            return False
        program = self.program(name, now)
        program.cached_engine = engine or program.cached_engine
        settled = program.settle(
            call, tokens, is_recorded=is_recorded, is_kept=is_kept, granted=granted
        )
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
        return program.is_running or is_recent

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
            if program.last_used_at < limit and not program.is_running:
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
