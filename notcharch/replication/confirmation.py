"""Whether a leader has heard of a majority since some moment."""

from notcharch.replication.configuration import majority_of
from notcharch.values.identifiers import Member
from notcharch.wire.messages.replication import Configuration


class Confirmation:
    """Counts answers to rounds that began after the leader had reason to doubt."""

    def __init__(self, own: Member, first_round: int) -> None:
        """Count from round `first_round` on; the leader hears itself."""
        self._first_round = first_round
        self._heard = {own}

    def hear(self, sender: Member, round_number: int) -> None:
        """Count an answer, unless its round began too early."""
        if round_number >= self._first_round:
            self._heard.add(sender)

    def is_whole(self, configuration: Configuration) -> bool:
        """Tell whether a majority of the configuration's own members answered."""
        heard = self._heard.intersection(configuration.members)
        return len(heard) >= majority_of(configuration)
