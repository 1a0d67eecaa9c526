"""The in-memory accounts of one partition, without I/O.

Each program has a *bound*: the number of tokens that the journal already counts as
generated. Calls within the bound are admitted from memory. To exceed it, the owner first
writes a higher bound. The next owner counts the complete bound as used, which covers all
calls that the previous owner admitted. A program without a record starts within the
partition's starting allowance.
"""

import enum

import msgspec

from notcharch.accounts.account_memory import AccountMemory
from notcharch.accounts.records import (
    AccountHandedOver,
    AllowanceGiven,
    AnyRecord,
    BoundRaised,
    TurnKept,
)
from notcharch.accounts.starting_allowance import StartingAllowance
from notcharch.accounts.turns import StoredTurns, Turn
from notcharch.values.memory_pool import HeldPart

PREALLOCATED_CALLS = 2
"""Number of calls that each raise of a bound covers."""

PREALLOCATED_BUDGET_DIVISOR = 3
"""A raise covers at least the budget divided by this.

A large step lets a program continue while the log rejects appends. A crash of the owner
charges the complete step, so a program that was charged once gets only
`PREALLOCATED_CALLS`.
"""

REWRITE_BYTES = 4 * 1024 * 1024
"""Turns that are written again at once: a fifth of a second of a partition's appends."""
REWRITE_ROUNDS_SHARE = 1 / 3
"""Share of the rounds before the log drops a record in which it is written again."""

KEEP_FACTOR = 2.0
"""Turns and accounts are kept for so many times their retention, for callers that come too
late."""
SHORT_KEEP_FACTOR = 1.1
"""The same while they take much of the memory that they may; more than 1 for callers whose
clocks differ."""
PROGRAM_BYTES = 900
"""Memory of a program's account besides its name, with one call under way."""
MAX_ABANDONED = 64
"""Calls of a program whose end came before their admission; the requests for admission
that are still on their way take half a second."""
DEFAULT_KEEP_SECONDS = 60.0
"""Retention until a route's own is known: the platform's default for routes."""

RESERVATION_TIMEOUT_SECONDS = 12.0
"""A call without a usage report after this time is charged its maximum."""


class Verdict(enum.Enum):
    """The decision of a ledger about a call."""

    ADMITTED = "admitted"
    NEEDS_BOUND = "needs a higher bound"
    SPENT = "spent"
    GIVEN_UP = "given up"
    """The call ended before its admission; no caller waits for the reply."""


class Reservation(msgspec.Struct):
    """Tokens reserved for a call in flight."""

    tokens: int
    since: float
    """Time of the admission in clock seconds."""


class Program:
    """The account of one program."""

    def __init__(self) -> None:
        """Start with no tokens used."""
        self.bound = 0
        """Tokens that the journal counts as generated."""
        self.allowance_tokens = 0
        """Tokens that the next owner counts as used if the program has no record."""
        self.is_initialized = False
        """True once a record or the starting allowance has been applied."""
        self.used = 0
        self.may_be_overcounted = False
        """True if `used` may include tokens that were not generated."""
        self.reserved: dict[str, Reservation] = {}
        self.abandoned: dict[str, None] = {}
        """Calls that ended before their admission here, oldest first."""
        self.last_used_at = 0.0
        self.cached_engine = ""
        """The engine that ran the program's last call; not restored after a crash."""
        self.written_at = 0
        """Unix time of the program's newest record."""

    def abandon(self, call: str) -> None:
        """Note that a call ended; its admission may come later.

        A call that is no longer known here is charged in full after its time-out.
        """
        self.abandoned[call] = None
        if len(self.abandoned) > MAX_ABANDONED:
            del self.abandoned[next(iter(self.abandoned))]

    @property
    def committed(self) -> int:
        """Tokens that are used, or reserved by calls in flight."""
        return self.used + sum(
            reservation.tokens for reservation in self.reserved.values()
        )


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

    # Journal records

    def replay(self, record: AnyRecord, now: float, offset: int = -1) -> None:
        """Apply a record written by an earlier owner; it begins at an offset of the log."""
        if isinstance(record, TurnKept):
            self.keep_seconds = max(self.keep_seconds, record.keep_seconds)
            self.store_turn(record, now, offset)
        elif isinstance(record, AccountHandedOver):
            self._replay_account(record, now)
        elif isinstance(record, AllowanceGiven):
            self.allowance.replay(record)
        elif isinstance(record, BoundRaised):
            self._replay_bound(record, now)

    def _replay_bound(self, record: BoundRaised, now: float) -> None:
        program = self.program(record.program, now)
        program.is_initialized = True
        program.may_be_overcounted = True
        program.reserved.clear()
        program.bound = max(program.bound, record.bound_tokens)
        program.used = program.bound
        program.written_at = record.written_at

    def _replay_account(self, record: AccountHandedOver, now: float) -> None:
        program = self.program(record.program, now)
        program.is_initialized = True
        program.used = record.used_tokens
        program.may_be_overcounted = record.is_doubted
        program.reserved = {
            call: Reservation(max_tokens, now)
            for call, max_tokens in record.under_way.items()
        }
        program.cached_engine = record.home
        program.bound = program.committed
        program.written_at = record.written_at

    def handover_records(self, written_at: int) -> list[AnyRecord]:
        """Return the records from which the next owner continues with exact usage.

        The withdrawal of the starting allowance comes last, when every program that used
        it has a record.
        """
        records: list[AnyRecord] = []
        for name, program in self._programs.items():
            if program.bound or program.allowance_tokens:
                records.append(self._account_record(name, program, written_at))
        withdrawal_record = self.allowance.withdrawal_record()
        if withdrawal_record is not None:
            records.append(withdrawal_record)
        return records

    def _account_record(
        self, name: str, program: Program, written_at: int
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
            program.may_be_overcounted,
        )

    # Budgets

    def admit(
        self, name: str, call: str, max_tokens: int, budget: int | None, now: float
    ) -> Verdict:
        """Reserve a call's tokens within the durable bound.

        NEEDS_BOUND reserves nothing: the caller raises the bound and calls again.
        """
        program = self.program(name, now)
        if call in program.abandoned:
            return Verdict.GIVEN_UP
        if call in program.reserved:
            return Verdict.ADMITTED
        self._charge_timed_out(program, now)
        if budget is not None:
            self.allowance.observe_call(max_tokens)
            self._initialize(program, budget, now)
            verdict = self._check_budget(program, max_tokens, budget, now)
            if verdict is not Verdict.ADMITTED:
                return verdict
        program.reserved[call] = Reservation(max_tokens, now)
        return Verdict.ADMITTED

    def _initialize(self, program: Program, budget: int, now: float) -> None:
        """Apply the inherited and the current allowance to a program without a record."""
        if program.is_initialized:
            return
        program.is_initialized = True
        inherited = self.allowance.inherited(now, self.keep_seconds).tokens(budget)
        program.used += inherited
        program.may_be_overcounted = inherited > 0
        program.allowance_tokens = self.allowance.current.tokens(budget)

    def _check_budget(
        self, program: Program, max_tokens: int, budget: int, now: float
    ) -> Verdict:
        """Compare a call with its program's budget, then with its durable bound.

        Only a program whose usage may be overcounted may exceed its budget, by at most
        one call.
        """
        allowed = budget + max_tokens if program.may_be_overcounted else budget
        total = program.committed + max_tokens
        if total > allowed:
            return Verdict.SPENT
        starting = program.allowance_tokens if self.allowance.is_in_force(now) else 0
        bound = max(program.bound, starting)
        return Verdict.NEEDS_BOUND if total > bound else Verdict.ADMITTED

    def _charge_timed_out(self, program: Program, now: float) -> None:
        for call, reservation in tuple(program.reserved.items()):
            if now - reservation.since > RESERVATION_TIMEOUT_SECONDS:
                del program.reserved[call]
                program.used += reservation.tokens

    def raised_bound(
        self, name: str, max_tokens: int, budget: int, now: float, *, written_at: int
    ) -> BoundRaised:
        """Return the record of a bound that covers this call and some later ones."""
        program = self.program(name, now)
        needed = program.committed + max_tokens
        budget_share = (
            0 if program.may_be_overcounted else budget // PREALLOCATED_BUDGET_DIVISOR
        )
        preallocated = max(PREALLOCATED_CALLS * max_tokens, budget_share) - max_tokens
        bound = max(
            needed, min(needed + preallocated, budget), program.allowance_tokens
        )
        return BoundRaised(name, bound, written_at)

    def on_bound_durable(self, record: BoundRaised) -> None:
        """Apply a bound whose record is now durable."""
        program = self._programs.get(record.program)
        if program is None:
            return
        program.bound = max(program.bound, record.bound_tokens)
        program.written_at = record.written_at

    def complete_call(
        self, name: str, call: str, tokens: int, now: float, *, engine: str
    ) -> None:
        """Charge the tokens that a call generated, and release its reservation.

        If the call's admission still waits for the journal, the call is marked as
        abandoned and reserves nothing. Nothing is charged to an unknown program, and none
        is added while there is no memory for one.
        """
        if not self.has_room_for(name):
            return
        program = self.program(name, now)
        program.cached_engine = engine or program.cached_engine
        if program.reserved.pop(call, None) is None:
            program.abandon(call)
            return
        program.last_used_at = now
        program.used += tokens

    def store_turn(self, record: TurnKept, now: float, offset: int = -1) -> None:
        """Store a turn that is in the journal, with its first record at an offset."""
        turn = Turn(record.previous, record.input, record.output)
        self.turns.store(record.turn, turn, record.written_at, now, offset)

    # Expiry

    def expiring_bounds(self, limit: int, written_at: int) -> list[BoundRaised]:
        """Return new records for bounds older than `limit`, before the log drops them."""
        return [
            BoundRaised(name, program.bound, written_at)
            for name, program in self._programs.items()
            if program.bound and program.written_at < limit
        ]

    def expiring_turns(self, limit: int, rounds: float = 1.0) -> list[str]:
        """Return the turns whose records are older than `limit` and are written again now.

        Many bytes of turns are spread over some of the `rounds` until the log drops them,
        the oldest first, since other records of the partition wait behind them.
        """
        due = self.turns.written_before(limit)
        share = max(1.0, rounds * REWRITE_ROUNDS_SHARE)
        due_bytes = sum(link.size_bytes for _, link in due)
        max_bytes = max(REWRITE_BYTES, due_bytes / share)
        names: list[str] = []
        size = 0
        for name, link in due:
            if size >= max_bytes:
                break
            names.append(name)
            size += link.size_bytes
        return names

    def turn_record(self, name: str, turn: Turn, written_at: int) -> TurnKept:
        """Return the record of a turn that is written again."""
        return TurnKept(
            "",
            name,
            turn.previous,
            turn.input,
            turn.output,
            written_at,
            self.keep_seconds,
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
