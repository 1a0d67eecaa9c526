"""What a leader knows about one other replica."""

import msgspec

from notcharch.replication.transfer import SnapshotSender

RESEND_SECONDS = 0.25
LONGEST_RESEND_SECONDS = 8.0


class Told(msgspec.Struct, frozen=True):
    """Up to where a replica may apply, and may discard, its log."""

    commit_index: int
    discard_index: int


class Progress:
    """How far a replica holds the leader's log, and what is on the way to it.

    One round is in flight at a time; what is proposed meanwhile travels in the
    next one. A round without an answer is repeated, ever more seldom.
    """

    def __init__(self, next_index: int, first_round: int) -> None:
        """Assume that the replica holds everything before `next_index`.

        Answers to rounds before `first_round` are void: the process may have
        been removed and have forgotten what it acknowledged then.
        """
        self._first_round = first_round
        self._round = 0
        self.match_index = 0
        self.next_index = next_index
        self.told = Told(0, 0)
        """What the replica has acknowledged to know."""
        self.telling = Told(0, 0)
        """What the round in flight says."""
        self.resend_at: float | None = None
        self.snapshot: SnapshotSender | None = None
        self.must_be_heard = True
        """Whether the replica has not yet answered in this epoch."""
        self._resend_seconds = RESEND_SECONDS

    @property
    def is_in_flight(self) -> bool:
        """Tell whether an answer is awaited."""
        return self.resend_at is not None

    def sent(self, round_number: int, now: float) -> None:
        """Note that a round began."""
        self._round = round_number
        self.resend_at = now + self._resend_seconds

    def counts(self, round_number: int) -> bool:
        """Tell whether an answer is from the replica's present membership."""
        return round_number >= self._first_round

    def answered(self, round_number: int) -> bool:
        """Note an answer; tell whether it is the one that is awaited."""
        if round_number != self._round or self.resend_at is None:
            return False
        self.must_be_heard = False
        self.resend_at = None
        self._resend_seconds = RESEND_SECONDS
        return True

    def ask_again(self) -> None:
        """Await an answer to a new round, whatever is in flight."""
        self.must_be_heard = True
        self.resend_at = None
        self._resend_seconds = RESEND_SECONDS

    def unanswered(self) -> None:
        """Note that a round had no answer in time."""
        self.resend_at = None
        self._resend_seconds = min(self._resend_seconds * 2, LONGEST_RESEND_SECONDS)

    def accepted(self, index: int) -> None:
        """Note that the replica holds the log up to `index`."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)

    def refused(self, index: int) -> None:
        """Go back to what the replica may hold; what it acknowledged, it holds."""
        self.next_index = max(self.match_index + 1, min(self.next_index - 1, index + 1))
