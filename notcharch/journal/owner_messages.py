"""Messages between daemons about the owners of partitions."""

from notcharch.wire.messages.base import Message


class AskOwners(Message, frozen=True):
    """Request a peer's view of the owners. Reply: `OwnersSeen`."""

    group: str = ""
    """The group whose owners are requested."""


class OwnersSeen(Message, frozen=True):
    """The owners, as the log service last returned them to the replying daemon."""

    age_seconds: float
    """Age of the view."""
    owners: dict[int, str]
    """The member id of each partition's owner."""
    is_leaving: bool = False
    """Whether the replying daemon leaves the group or holds no lease, so that it takes no
    partitions over; older builds don't tell."""
