"""Whether a replayed journal may lack records that still count. Pure.

The log service drops the oldest records. An owner writes what still counts again before,
and states with a `HistoryMark` from which offset on the journal holds all of it. A journal
whose beginning is gone is complete if its newest mark lies before no dropped record. If it
is not, what was written before the takeover may be lost, until it would not count any more.
As the oldest records go first, the journal also holds each turn that is younger than its
oldest record; an account may be older than the last call of its program.
"""

import msgspec

from notcharch.accounts.records import AccountsMark, HistoryMark


class Certainty(msgspec.Struct, frozen=True):
    """For how long back no record is missing."""

    seconds: float | None = None
    """Before `at`; None if no record was ever lost."""
    at: float = 0.0
    """Clock seconds."""

    def seconds_at(self, now: float) -> float | None:
        """Return the time until now; None if no record was ever lost."""
        return None if self.seconds is None else self.seconds + now - self.at

    def doubt_seconds(self, now: float, keep_seconds: float) -> float:
        """Return how long something that is kept for `keep_seconds` may be missing."""
        seconds = self.seconds_at(now)
        return 0.0 if seconds is None else max(keep_seconds - seconds, 0.0)


class JournalHistory:
    """What a replay shows about the records that the log service dropped."""

    def __init__(self) -> None:
        """Start before the first record."""
        self._first_offset = 0
        """Offset of the oldest record that the log service has."""
        self._mark: HistoryMark | None = None
        self._turns = Certainty()
        self._accounts = Certainty()
        self._is_lost = False
        """Whether a record could not be read."""
        self._oldest_since: float | None = None
        """Clock seconds at which the oldest record after the cut was written, at the latest."""

    def on_cut(self, offset: int) -> None:
        """Note that the records before an offset are not stored any more."""
        self._first_offset = offset
        self._oldest_since = None

    def on_dated(self, at_latest: float) -> None:
        """Note that a record was written at a time in clock seconds, or earlier."""
        if self._oldest_since is None:
            self._oldest_since = at_latest

    def on_mark(self, mark: HistoryMark) -> None:
        """Apply the statement of an earlier owner; a later one replaces it."""
        self._mark = mark

    def on_lost(self, now: float) -> None:
        """Note that a record, written at any time until now, can't be read."""
        self._is_lost = True
        self._turns = self._accounts = Certainty(0.0, now)

    def on_takeover(self, now: float) -> None:
        """Decide at the end of a replay whether anything may be missing."""
        if self._is_lost or not self._first_offset:
            return
        self._turns = self._accounts = Certainty(0.0, now)
        mark = self._mark
        if mark is None:
            return
        accounts = mark.accounts or AccountsMark(
            mark.complete_from, mark.certain_seconds
        )
        if mark.complete_from >= self._first_offset:
            self._turns = Certainty(mark.certain_seconds, now)
        if accounts.complete_from >= self._first_offset:
            self._accounts = Certainty(accounts.certain_seconds, now)

    @property
    def is_cut(self) -> bool:
        """Whether the log service dropped records of the journal."""
        return self._first_offset > 0

    def statement(
        self,
        now: float,
        written_at: int,
        *,
        complete_from: int,
        handover_from: int | None = None,
    ) -> HistoryMark:
        """Return what the next owner may believe of a journal.

        It holds all that counts from `complete_from` on, and all accounts from
        `handover_from` on, if a planned move has written them there.
        """
        is_handover = handover_from is not None
        accounts_from = complete_from if handover_from is None else handover_from
        turns = self._turns.seconds_at(now)
        accounts = AccountsMark(accounts_from, self._accounts.seconds_at(now))
        has_more = accounts != AccountsMark(complete_from, turns)
        return HistoryMark(
            complete_from,
            turns,
            written_at,
            accounts if has_more else None,
            is_handover,
        )

    def doubt_seconds(self, now: float, keep_seconds: float) -> float:
        """Return how long it stays possible that an account is missing.

        0 if none that counts for `keep_seconds` can be missing.
        """
        return self._accounts.doubt_seconds(now, keep_seconds)

    def turn_doubt_seconds(self, now: float, keep_seconds: float) -> float:
        """Return the same for turns."""
        doubt_seconds = self._turns.doubt_seconds(now, keep_seconds)
        if self._is_lost or self._oldest_since is None:
            return doubt_seconds
        return min(doubt_seconds, max(keep_seconds - (now - self._oldest_since), 0.0))
