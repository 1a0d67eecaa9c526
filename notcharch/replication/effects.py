"""What a replica group asks its service to do."""

import msgspec

from notcharch.replication.interface import CommandResult
from notcharch.values.identifiers import Epoch, Member
from notcharch.wire.messages.replication import AnyGroupMessage, Configuration


class Send(msgspec.Struct, frozen=True):
    """Send a message to the process that `destination` names, or to nobody."""

    destination: Member
    message: AnyGroupMessage


class Applied(msgspec.Struct, frozen=True):
    """A command that this member proposed in `epoch` was committed and applied."""

    index: int
    epoch: Epoch
    result: CommandResult


class LeadershipChanged(msgspec.Struct, frozen=True):
    """This member leads in `epoch` with the whole state applied, or does not."""

    epoch: Epoch | None


class ConfigurationCommitted(msgspec.Struct, frozen=True):
    """A majority holds a new configuration."""

    configuration: Configuration


class ApplyFailed(msgspec.Struct, frozen=True):
    """The state machine raised an exception on a committed command."""

    index: int
    reason: str


class Retired(msgspec.Struct, frozen=True):
    """This member is not in the group any more; its state may be dropped."""


Effect = (
    Send | Applied | LeadershipChanged | ConfigurationCommitted | ApplyFailed | Retired
)
