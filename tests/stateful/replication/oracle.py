"""What must hold in every run of a replica group."""

from notcharch.replication.group import ReplicaGroup
from notcharch.replication.log import NO_CONFIGURATION
from notcharch.values.identifiers import Epoch, Member
from notcharch.wire.messages.replication import Configuration, Entry


class PromiseBrokenError(AssertionError):
    """The group broke a promise."""


class Oracle:
    """Remembers everything that was ever committed, acknowledged or led."""

    def __init__(self) -> None:
        self.committed: dict[int, Entry] = {}
        self.applied: list[str] = []
        self.acknowledged_index = 0
        self._leaders: dict[Epoch, Member] = {}
        self._checked: dict[Member, int] = {}

    def observe(self, group: ReplicaGroup) -> None:
        """Look at a replica after each of its inputs."""
        if group.replica.is_hollow:
            return
        self._check_leader(group)
        self._check_committed(group)
        self._check_applied(group)

    def _check_leader(self, group: ReplicaGroup) -> None:
        if not group.is_leading:
            return
        replica = group.replica
        leader = self._leaders.setdefault(replica.epoch, replica.own)
        if leader != replica.own:
            raise PromiseBrokenError(
                f"epoch {replica.epoch}: {leader} and {replica.own} lead"
            )

    def _check_committed(self, group: ReplicaGroup) -> None:
        replica = group.replica
        log = replica.log
        first = max(log.base_index, self._checked.get(replica.own, 0)) + 1
        for index in range(first, replica.commit_index + 1):
            entry = log.entry_at(index)
            known = self.committed.setdefault(index, entry)
            if known != entry:
                raise PromiseBrokenError(
                    f"index {index}: {known} and {entry} are committed"
                )
        self._checked[replica.own] = replica.commit_index

    def _check_applied(self, group: ReplicaGroup) -> None:
        texts = group.state.texts
        known = self.applied[: len(texts)]
        if texts[: len(known)] != known:
            raise PromiseBrokenError(
                f"{group.replica.own} applied {texts}, others {known}"
            )
        if len(texts) > len(self.applied):
            self.applied = list(texts)

    def acknowledged(self, index: int) -> None:
        """Note that the caller of the command at `index` got its result."""
        self.acknowledged_index = max(self.acknowledged_index, index)

    def committed_configuration(self) -> tuple[int, Configuration]:
        """Give the last committed configuration and its index."""
        placed = [
            (index, entry.configuration)
            for index, entry in self.committed.items()
            if entry.configuration is not None
        ]
        return max(placed, key=lambda pair: pair[0], default=(0, NO_CONFIGURATION))

    def check_whole(self, groups: list[ReplicaGroup]) -> None:
        """Check that a leader serves and has all that was ever applied anywhere."""
        leaders = [group for group in groups if group.confirmed_epoch is not None]
        if not leaders:
            raise PromiseBrokenError("no replica leads although a majority lives")
        leader = max(leaders, key=lambda group: group.replica.epoch)
        if leader.replica.commit_index < self.acknowledged_index:
            raise PromiseBrokenError("an acknowledged command is lost")
        if leader.state.texts != self.applied:
            raise PromiseBrokenError("the leader lacks commands that were applied")
