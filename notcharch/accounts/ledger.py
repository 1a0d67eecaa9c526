"""The accounts of one partition: a pure state that an owner keeps.

Of each program the ledger knows a *bound*: so many tokens are journalled as generated.
Calls are admitted within it from memory; it is raised, in the journal first, when it
doesn't suffice. Whoever takes the partition over counts the whole bound as used, so
whatever the former owner admitted within it is paid for already. A program that the
journal doesn't know begins within the partition's starting allowance.
"""

import enum

import msgspec

from notcharch.accounts.records import (
    AccountHandedOver,
    AllowanceGiven,
    AnyRecord,
    BoundRaised,
    TurnKept,
)
from notcharch.accounts.starting_allowance import StartingAllowance
from notcharch.accounts.turns import StoredTurns, Turn

AHEAD_CALLS = 2
"""A bound is raised for so many calls at once."""

AHEAD_SHARE = 3
"""Or for one part in so many of the budget, if that is more.

Programs of many calls use a quarter of their budgets, so they can bear that a crash
charges this much, and go on for long while the log can't be written. A program that was
charged so once has no more to spare, so its bound is raised for some calls only.
"""

DEFAULT_KEEP_SECONDS = 60.0
"""Until a route has told its own: what the platform keeps a route's turns for by default."""

FORGOTTEN_RESERVATION_SECONDS = 12.0
"""A call that nobody settled in this time is charged at its most."""


class Verdict(enum.Enum):
    """What a ledger says of a call."""

    ADMITTED = "admitted"
    NEEDS_BOUND = "needs a higher bound"
    SPENT = "spent"
    GIVEN_UP = "given up"
    """Its daemon has ended the call already; nobody waits for an answer."""


class Reservation(msgspec.Struct):
    """A call under way."""

    tokens: int
    since: float
    """Clock seconds."""


class Program:
    """The account of one program."""

    def __init__(self) -> None:
        """Begin with nothing used."""
        self.bound = 0
        """Tokens journalled as generated."""
        self.allowed = 0
        """Tokens that a successor counts without a record of this program."""
        self.has_begun = False
        """Whether the journal, or the starting allowance, was looked at for it."""
        self.used = 0
        self.is_doubted = False
        """Whether `used` counts tokens that may not have been generated."""
        self.reserved: dict[str, Reservation] = {}
        self.given_up: set[str] = set()
        """Calls that ended before they were admitted here."""
        self.touched = 0.0
        self.home = ""
        """The engine at which it ran last; lost with its owner, which costs little."""
        self.written_at = 0
        """When its newest record was written, seconds since 1970."""

    @property
    def committed(self) -> int:
        """Tokens that are used, or that calls under way may use."""
        return self.used + sum(held.tokens for held in self.reserved.values())


class Ledger:
    """The programs of one partition."""

    def __init__(self) -> None:
        """Begin empty."""
        self._programs: dict[str, Program] = {}
        self.turns = StoredTurns()
        """The kept turns of all programs: a later program may go on from one."""
        self.allowance = StartingAllowance()
        self.keep_seconds = DEFAULT_KEEP_SECONDS
        """The longest time that a route keeps turns and budgets."""

    def program(self, name: str, now: float) -> Program:
        """Give a program's account, which is begun if it is new."""
        program = self._programs.get(name)
        if program is None:
            program = self._programs[name] = Program()
        program.touched = now
        return program

    def __len__(self) -> int:
        """Give the number of programs."""
        return len(self._programs)

    # What the journal says

    def replay(self, record: AnyRecord, now: float) -> None:
        """Take a record of an earlier owner, or of this one before its restart."""
        if isinstance(record, TurnKept):
            self.keep(record, now)
        elif isinstance(record, AccountHandedOver):
            self._take_account(record, now)
        elif isinstance(record, AllowanceGiven):
            self.allowance.replay(record)
        elif isinstance(record, BoundRaised):
            self._take_bound(record, now)

    def _take_bound(self, record: BoundRaised, now: float) -> None:
        program = self.program(record.program, now)
        program.has_begun = True
        program.is_doubted = True
        program.reserved.clear()
        program.bound = max(program.bound, record.bound_tokens)
        program.used = program.bound
        program.written_at = record.written_at

    def _take_account(self, record: AccountHandedOver, now: float) -> None:
        program = self.program(record.program, now)
        program.has_begun = True
        program.used = record.used_tokens
        program.is_doubted = record.is_doubted
        program.reserved = {
            call: Reservation(most, now) for call, most in record.under_way.items()
        }
        program.home = record.home
        program.bound = program.committed
        program.written_at = record.written_at

    def accounts(self, written_at: int) -> list[AnyRecord]:
        """Give what a successor needs to go on without further doubt.

        Last comes the end of the starting allowance: who used it has a record by then.
        """
        records: list[AnyRecord] = []
        for name, program in self._programs.items():
            if program.bound or program.allowed:
                records.append(self._account(name, program, written_at))
        withdrawn = self.allowance.withdrawn()
        if withdrawn is not None:
            records.append(withdrawn)
        return records

    def _account(
        self, name: str, program: Program, written_at: int
    ) -> AccountHandedOver:
        under_way = {call: held.tokens for call, held in program.reserved.items()}
        return AccountHandedOver(
            name,
            program.used,
            under_way,
            written_at,
            program.home,
            program.is_doubted,
        )

    # Budgets

    def admit(
        self, name: str, call: str, most: int, budget: int | None, now: float
    ) -> Verdict:
        """Reserve a call's tokens within the durable bound.

        Nothing is reserved for NEEDS_BOUND: raise the bound and ask again.
        """
        program = self.program(name, now)
        if call in program.given_up:
            return Verdict.GIVEN_UP
        if call in program.reserved:
            return Verdict.ADMITTED
        self._charge_forgotten(program, now)
        if budget is not None:
            self.allowance.saw_call(most)
            self._begin(program, budget, now)
            verdict = self._within(program, most, budget, now)
            if verdict is not Verdict.ADMITTED:
                return verdict
        program.reserved[call] = Reservation(most, now)
        return Verdict.ADMITTED

    def _begin(self, program: Program, budget: int, now: float) -> None:
        """Count what a program without a record may have used before; allow it more."""
        if program.has_begun:
            return
        program.has_begun = True
        former = self.allowance.former(now, self.keep_seconds).tokens(budget)
        program.used += former
        program.is_doubted = former > 0
        program.allowed = self.allowance.own.tokens(budget)

    def _within(self, program: Program, most: int, budget: int, now: float) -> Verdict:
        """Compare a call with its program's budget, then with its durable bound.

        A budget may be exceeded by one call at most. That is left to programs of
        which more is counted as used than may have been.
        """
        allowed = budget + most if program.is_doubted else budget
        after = program.committed + most
        if after > allowed:
            return Verdict.SPENT
        starting = program.allowed if self.allowance.is_in_force(now) else 0
        bound = max(program.bound, starting)
        return Verdict.NEEDS_BOUND if after > bound else Verdict.ADMITTED

    def _charge_forgotten(self, program: Program, now: float) -> None:
        for call, held in tuple(program.reserved.items()):
            if now - held.since > FORGOTTEN_RESERVATION_SECONDS:
                del program.reserved[call]
                program.used += held.tokens

    def raised_bound(
        self, name: str, most: int, budget: int, now: float, *, written_at: int
    ) -> BoundRaised:
        """Give the record of a bound that lets a call in, and some after it."""
        program = self.program(name, now)
        needed = program.committed + most
        share = 0 if program.is_doubted else budget // AHEAD_SHARE
        ahead = max(AHEAD_CALLS * most, share) - most
        bound = max(needed, min(needed + ahead, budget), program.allowed)
        return BoundRaised(name, bound, written_at)

    def bound_is_durable(self, record: BoundRaised) -> None:
        """Hear that a bound is in the journal."""
        program = self._programs.get(record.program)
        if program is None:
            return
        program.bound = max(program.bound, record.bound_tokens)
        program.written_at = record.written_at

    def settle(
        self, name: str, call: str, tokens: int, now: float, *, engine: str
    ) -> None:
        """End a call that generated so many tokens for its caller at an engine.

        Its question may still wait here for the journal; it reserves nothing later.
        """
        program = self.program(name, now)
        program.home = engine or program.home
        if program.reserved.pop(call, None) is None:
            program.given_up.add(call)
            return
        program.touched = now
        program.used += tokens

    def keep(self, record: TurnKept, now: float) -> None:
        """Keep a turn that is in the journal."""
        turn = Turn(record.previous, record.input, record.output)
        self.turns.store(record.turn, turn, record.written_at, now)

    # Age

    def aging(self, limit: int, written_at: int) -> list[AnyRecord]:
        """Give anew the records older than `limit`: the log will drop them."""
        records: list[AnyRecord] = [
            BoundRaised(name, program.bound, written_at)
            for name, program in self._programs.items()
            if program.bound and program.written_at < limit
        ]
        for name in self.turns.written_before(limit):
            turn = self.turns.get(name)
            if turn is not None:
                records.append(
                    TurnKept(
                        "", name, turn.previous, turn.input, turn.output, written_at
                    )
                )
        return records

    def forget_old(self, now: float) -> None:
        """Forget programs and turns that nobody may ask for any more."""
        limit = now - 2 * self.keep_seconds
        self.turns.evict_unused_since(limit)
        for name, program in tuple(self._programs.items()):
            if program.touched < limit and not program.reserved:
                del self._programs[name]
