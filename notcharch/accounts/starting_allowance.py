"""What programs that the journal doesn't know may have used: an owner's starting allowance.

An owner journals once, before it serves by it, that each program unknown to the journal
may use up to a share of its own budget. So programs begin without an append, also while
the log takes none. A successor counts that share as used for each program that it
doesn't know. Its own share comes on top of it, up to a limit; beyond that, programs
begin with an append each.

A program of one or two calls has a budget of which the share doesn't cover the most that
one call may generate. So an owner journals as well how large a call it has seen: within
the limit, each program may begin with one such call.

The allowance ends unless it is renewed, so that an owner that was cut off, or slept,
doesn't use it for ever; and a successor's doubt ends with the last program that may have
begun by it. Pure.
"""

import msgspec

from notcharch.accounts.records import AllowanceGiven

STEP_PERMILLE = 500
"""What an owner allows on top of its predecessors, in thousandths of a budget."""
MOST_PERMILLE = 667
"""No more than so much is allowed in all.

On two quiet days programs used 0.06 to 0.28 of their budgets. With 500 nine in ten need
no record of their own, and none would be refused after its successor counted so much;
with 667 one in a hundred would be.
"""
LIFE_SECONDS = 120.0
"""An owner uses an allowance for so long after it asked for its record."""
RENEW_SECONDS = 60.0
"""A record that is so old is written anew."""
PERMILLE = 1000


class Allowance(msgspec.Struct, frozen=True):
    """What each program may use that the journal doesn't know."""

    permille: int = 0
    """Thousandths of its budget."""
    call_tokens: int = 0
    """Or one call of so many tokens, if that is more, within the limit."""

    def tokens(self, budget: int) -> int:
        """Give the tokens that a program with a budget may use."""
        if not self.permille:
            return 0
        one_call = min(self.call_tokens, share_of(budget, MOST_PERMILLE))
        return max(share_of(budget, self.permille), one_call)


NO_ALLOWANCE = Allowance()


class StartingAllowance:
    """The allowance of one owner of a partition, and those before it."""

    def __init__(self) -> None:
        """Begin without any."""
        self._former = NO_ALLOWANCE
        self._former_written_at = 0
        """Seconds since 1970 of the record."""
        self._former_ends = 0.0
        """Clock seconds at which earlier owners let no program begin any more."""
        self._own = NO_ALLOWANCE
        self._own_ends = 0.0
        self._largest_call = 0
        """The most tokens of any call that this owner was asked for."""
        self._is_asked = False
        """Whether a record of this owner may be in the journal."""

    def replay(self, record: AllowanceGiven) -> None:
        """Take the record of an earlier owner; the last one counts."""
        self._former = Allowance(record.permille, record.call_tokens)
        self._former_written_at = record.written_at

    def taken_over(self, now: float, wall: int) -> None:
        """Work out until when the doubt about earlier owners lasts."""
        age = wall - self._former_written_at
        self._former_ends = now + LIFE_SECONDS - age

    def saw_call(self, tokens: int) -> None:
        """Learn the most that a call may generate."""
        self._largest_call = max(self._largest_call, tokens)

    def record(
        self, now: float, wall: int, keep_seconds: float
    ) -> AllowanceGiven | None:
        """Give the record to write before programs begin by it; None if no more may."""
        permille = self._own.permille
        if not permille:
            former = self.former(now, keep_seconds).permille
            permille = min(former + STEP_PERMILLE, MOST_PERMILLE)
            if permille <= former:
                return None
        self._is_asked = True
        call_tokens = max(self._former.call_tokens, self._largest_call)
        return AllowanceGiven(permille, wall, call_tokens)

    def given(self, record: AllowanceGiven, asked_at: float) -> None:
        """Hear that a record, asked for at some clock seconds, is in the journal."""
        self._own = Allowance(record.permille, record.call_tokens)
        self._own_ends = asked_at + LIFE_SECONDS

    def withdrawn(self) -> AllowanceGiven | None:
        """Give the record that leaves what earlier owners gave, if it is not the last."""
        if not self._is_asked:
            return None
        former = self._former
        return AllowanceGiven(
            former.permille, self._former_written_at, former.call_tokens
        )

    def is_due(self, now: float) -> bool:
        """Tell whether the record should be written anew, as it is old or too small."""
        if self._own.permille and self._largest_call > self._own.call_tokens:
            return True
        return now > self._own_ends - LIFE_SECONDS + RENEW_SECONDS

    def is_in_force(self, now: float) -> bool:
        """Tell whether programs may begin by this owner's allowance."""
        return now < self._own_ends

    def former(self, now: float, keep_seconds: float) -> Allowance:
        """Give what a program that is first seen now may have used before.

        One that began by an earlier allowance is remembered for `keep_seconds` after
        its last call, by daemons whose clocks differ.
        """
        is_over = now >= self._former_ends + 2 * keep_seconds
        return NO_ALLOWANCE if is_over else self._former

    @property
    def own(self) -> Allowance:
        """What programs may use in all, as far as it is in the journal."""
        return self._own


def share_of(budget: int, permille: int) -> int:
    """Give so many thousandths of a budget of tokens."""
    return budget * permille // PERMILLE
