"""Which entries are committed."""

from collections.abc import Iterable

from notcharch.replication.configuration import majority_of
from notcharch.replication.log import CommandLog
from notcharch.values.identifiers import Epoch
from notcharch.wire.messages.replication import Configuration


def majority_index(held: Iterable[int], configuration: Configuration) -> int:
    """Give the highest index that a majority holds; `held` has one per member."""
    ranked = sorted(held, reverse=True)
    return ranked[majority_of(configuration) - 1]


def committed_index(
    log: CommandLog, held: Iterable[int], epoch: Epoch, commit_index: int
) -> int:
    """Give the commit index that follows from what each member holds.

    Only an entry of the leader's own epoch is committed by counting; the ones
    before it are committed with it. An older entry on a majority might still be
    replaced by a later leader that has not seen it.
    """
    index = majority_index(held, log.configuration)
    if index <= commit_index or log.epoch_at(index) != epoch:
        return commit_index
    return index
