"""What programs that the journal doesn't know may have used: an owner's starting allowance.

An owner journals once, before it serves by it, that each program unknown to the journal
may use up to a share of its own budget. So programs begin without an append, also while
the log takes none. A successor counts that share as used for each program that it
doesn't know. Its own share comes on top of it, up to a limit; beyond that, programs
begin with an append each.

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


class FormerAllowance(msgspec.Struct, frozen=True):
    """What programs may have used under earlier owners."""

    permille: int = 0
    written_at: int = 0
    """Seconds since 1970 of the record."""


class StartingAllowance:
    """The allowance of one owner of a partition, and those before it."""

    def __init__(self) -> None:
        """Begin without any."""
        self._former = FormerAllowance()
        self._former_ends = 0.0
        """Clock seconds at which earlier owners let no program begin any more."""
        self._own_permille = 0
        self._own_ends = 0.0
        self._is_asked = False
        """Whether a record of this owner may be in the journal."""

    def replay(self, record: AllowanceGiven) -> None:
        """Take the record of an earlier owner; the last one counts."""
        self._former = FormerAllowance(record.permille, record.written_at)

    def taken_over(self, now: float, wall: int) -> None:
        """Work out until when the doubt about earlier owners lasts."""
        age = wall - self._former.written_at
        self._former_ends = now + LIFE_SECONDS - age

    def record(
        self, now: float, wall: int, keep_seconds: float
    ) -> AllowanceGiven | None:
        """Give the record to write before programs begin by it; None if no more may."""
        permille = self._own_permille
        if not permille:
            former = self.former_permille(now, keep_seconds)
            permille = min(former + STEP_PERMILLE, MOST_PERMILLE)
            if permille <= former:
                return None
        self._is_asked = True
        return AllowanceGiven(permille, wall)

    def given(self, record: AllowanceGiven, asked_at: float) -> None:
        """Hear that a record, asked for at some clock seconds, is in the journal."""
        self._own_permille = record.permille
        self._own_ends = asked_at + LIFE_SECONDS

    def withdrawn(self) -> AllowanceGiven | None:
        """Give the record that leaves what earlier owners gave, if it is not the last."""
        if not self._is_asked:
            return None
        return AllowanceGiven(self._former.permille, self._former.written_at)

    def is_due(self, now: float) -> bool:
        """Tell whether the record should be written anew."""
        return now > self._own_ends - LIFE_SECONDS + RENEW_SECONDS

    def is_in_force(self, now: float) -> bool:
        """Tell whether programs may begin by this owner's allowance."""
        return now < self._own_ends

    def former_permille(self, now: float, keep_seconds: float) -> int:
        """Give what a program that is first seen now may have used before.

        One that began by an earlier allowance is remembered for `keep_seconds` after
        its last call, by daemons whose clocks differ.
        """
        is_over = now >= self._former_ends + 2 * keep_seconds
        return 0 if is_over else self._former.permille

    @property
    def permille(self) -> int:
        """What programs may use in all, as far as it is in the journal."""
        return self._own_permille


def share_of(budget: int, permille: int) -> int:
    """Give so many thousandths of a budget of tokens."""
    return budget * permille // PERMILLE
