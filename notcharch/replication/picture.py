"""What a replica group is told about the daemons of the region."""

import msgspec

from notcharch.values.identifiers import Member


class Picture(msgspec.Struct, frozen=True):
    """The members as this daemon believes them to be, for one partition.

    `targets` are the live members that should replicate the partition, the one
    that should lead first. `dead` holds processes that are certainly gone.
    """

    alive: frozenset[Member] = frozenset()
    leaving: frozenset[Member] = frozenset()
    dead: frozenset[Member] = frozenset()
    targets: tuple[Member, ...] = ()

    def rank_of(self, member: Member) -> int:
        """Give a member's place in the order of candidates, 0 for the first."""
        if member in self.targets:
            return self.targets.index(member)
        return len(self.targets)
