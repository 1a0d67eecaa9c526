"""The starting allowance: what programs without a journal record may use.

An owner writes one record that permits every program without a record of its own to use a
share. Such programs start without an append, even while the log rejects appends. The next
owner doubts that share for every program without a record, and adds its own.

A program whose turns are kept may use a share of the maximum of its call. An owner adds half
of what is left up to one call, so all doubt stays below one call; from `MAX_CALL_PERMILLE`
on, each such program needs its own record. Another program may use a share of its budget, up
to `MAX_PERMILLE`: it runs to its end in an outage of the log, where one that keeps turns could
not store them, and is refused for doubt only if it comes near its budget after a loss. With
a small budget the share may not cover one call; the record therefore includes the size of the
largest call seen, and such a program may start with one call of that size within the limit.

Records of older builds permit a share of the budget, or one call of the largest size seen,
to all programs. They are honoured while they count; an owner adds nothing for programs whose
turns are kept.

The allowance expires unless it is renewed, so that a partitioned or paused owner stops
using it, and so that a later owner eventually stops counting it. The module does no I/O.
"""

import msgspec

from notcharch.accounts.records import AllowanceGiven

MAX_CALL_PERMILLE = 750
"""Inherited shares from which on an owner gives none: a quarter of a call is left to grant."""
STEP_PERMILLE = 500
"""Added by each owner to the inherited share of a budget, in thousandths."""
MAX_PERMILLE = 667
"""Upper bound of the share of a budget, in thousandths."""
VALIDITY_SECONDS = 120.0
"""How long an owner uses an allowance, counted from the request to write its record."""
PERMILLE = 1000


class Allowance(msgspec.Struct, frozen=True):
    """What each program without a record may use."""

    permille: int = 0
    """Thousandths of the program's budget; of programs whose turns are kept only if there
    is no `call_permille`."""
    call_tokens: int = 0
    """Size of a call that is permitted even if larger, up to `MAX_PERMILLE`."""
    call_permille: int = 0
    """Thousandths of the maximum of the program's call, if its turns are kept."""

    def tokens(self, budget: int, most_tokens: int, *, keeps_turns: bool) -> int:
        """Return the tokens that a program with this budget and call may use."""
        if self.call_permille and keeps_turns:
            return share_of(most_tokens, self.call_permille)
        if not self.permille:
            return 0
        one_call = min(self.call_tokens, share_of(budget, MAX_PERMILLE))
        return max(share_of(budget, self.permille), one_call)


NO_ALLOWANCE = Allowance()


class StartingAllowance:
    """The allowances of a partition's current owner and of its predecessors."""

    def __init__(self) -> None:
        """Start without an allowance."""
        self._inherited = NO_ALLOWANCE
        self._inherited_written_at = 0
        """Unix time of the inherited record."""
        self._inherited_expires_at = 0.0
        """Clock seconds after which no earlier owner starts programs by its allowance."""
        self._current = NO_ALLOWANCE
        self._current_expires_at = 0.0
        self._largest_call = 0
        """Largest token maximum of the calls requested from this owner."""
        self._may_be_recorded = False
        """Whether the journal may have a record written by this owner."""

    def replay(self, record: AllowanceGiven) -> None:
        """Apply the record of an earlier owner; it replaces the previous one."""
        self._inherited = _allowance_of(record)
        self._inherited_written_at = record.written_at

    def on_takeover(self, now: float, wall_time: int) -> None:
        """Compute when the inherited allowance expires."""
        age = wall_time - self._inherited_written_at
        self._inherited_expires_at = now + VALIDITY_SECONDS - age

    def observe_call(self, tokens: int) -> None:
        """Record the maximum number of tokens that a call may generate."""
        self._largest_call = max(self._largest_call, tokens)

    def record(
        self, now: float, wall_time: int, keep_seconds: float
    ) -> AllowanceGiven | None:
        """Return the record to write before use; None if the limit is reached."""
        permille, call_permille = self._current.permille, self._current.call_permille
        if not permille:
            inherited = self.inherited(now, keep_seconds)
            permille = min(inherited.permille + STEP_PERMILLE, MAX_PERMILLE)
            call_permille = _next_call_permille(inherited)
            gives_budget = permille > inherited.permille
            if not gives_budget and call_permille <= inherited.call_permille:
                return None
        self._may_be_recorded = True
        call_tokens = max(self._inherited.call_tokens, self._largest_call)
        return AllowanceGiven(permille, wall_time, call_tokens, call_permille)

    def on_durable(self, record: AllowanceGiven, requested_at: float) -> None:
        """Use a record that is now durable; `requested_at` is in clock seconds."""
        self._current = _allowance_of(record)
        self._current_expires_at = requested_at + VALIDITY_SECONDS

    def withdrawal_record(self) -> AllowanceGiven | None:
        """Return the record that restores the inherited allowance, if one is needed.

        One that was not changed is written again, beside the accounts.
        """
        is_needed = self._may_be_recorded or self._inherited.permille > 0
        return self._replayed_record() if is_needed else None

    def inherited_record(
        self, now: float, keep_seconds: float
    ) -> AllowanceGiven | None:
        """Return the record of earlier owners to write again while it counts."""
        counts = self.inherited(now, keep_seconds).permille > 0
        return self._replayed_record() if counts else None

    def _replayed_record(self) -> AllowanceGiven:
        """Return the record of earlier owners as it was read."""
        inherited = self._inherited
        return AllowanceGiven(
            inherited.permille,
            self._inherited_written_at,
            inherited.call_tokens,
            inherited.call_permille,
        )

    @property
    def is_too_small(self) -> bool:
        """Whether the record does not permit the largest of the calls seen."""
        is_used = self._current.permille > 0
        return is_used and self._largest_call > self._current.call_tokens

    def is_in_force(self, now: float) -> bool:
        """Return whether programs may start by this owner's allowance."""
        return now < self._current_expires_at

    def inherited(self, now: float, keep_seconds: float) -> Allowance:
        """Return what a program first seen now may have used with earlier owners.

        A program is retained for `keep_seconds` after its last call; twice that time
        allows for clock differences between daemons.
        """
        is_over = now >= self._inherited_expires_at + 2 * keep_seconds
        return NO_ALLOWANCE if is_over else self._inherited

    @property
    def current(self) -> Allowance:
        """The total that programs may use, as of the last durable record."""
        return self._current


def _next_call_permille(inherited: Allowance) -> int:
    """Return the share of a call that the next owner gives, with the inherited one."""
    is_of_older_build = inherited.permille > 0 and not inherited.call_permille
    if is_of_older_build or inherited.call_permille >= MAX_CALL_PERMILLE:
        return inherited.call_permille
    return inherited.call_permille + (PERMILLE - inherited.call_permille) // 2


def _allowance_of(record: AllowanceGiven) -> Allowance:
    return Allowance(record.permille, record.call_tokens, record.call_permille)


def share_of(tokens: int, permille: int) -> int:
    """Return the given thousandths of a number of tokens, rounded down."""
    return tokens * permille // PERMILLE
