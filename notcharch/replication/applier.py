"""Applies committed commands to the state machine of a partition."""

from collections.abc import Callable

import msgspec

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.replication.interface import (
    Command,
    CommandRefused,
    CommandResult,
    StateMachine,
)
from notcharch.values.identifiers import Epoch

StateFactory = Callable[[], StateMachine]


class CommandCodec:
    """Encodes commands of a fixed set of types as JSON, tagged by class name."""

    def __init__(self, command_types: tuple[type[Command], ...]) -> None:
        """Build the decoder of the union of the types."""
        self._encoder = msgspec.json.Encoder()
        self._decoder = _decoder_of(command_types)

    def encode(self, command: Command) -> msgspec.Raw:
        """Encode a command, as it is replicated and archived."""
        return msgspec.Raw(self._encoder.encode(command))

    def decode(self, encoded: msgspec.Raw) -> Command:
        """Decode a command; raises msgspec.ValidationError on an unknown one."""
        return self._decoder.decode(encoded)


def _decoder_of(
    command_types: tuple[type[Command], ...],
) -> "msgspec.json.Decoder[Command]":
    union: object = command_types[0]
    for command_type in command_types[1:]:
        union = union | command_type
    return msgspec.json.Decoder(union)


class ApplyOutcome(msgspec.Struct, frozen=True):
    """The result of a command; `failure` tells of an exception, a defect."""

    result: CommandResult
    failure: str | None = None


class Applier:
    """A state machine with its codec."""

    def __init__(self, new_state: StateFactory, codec: CommandCodec) -> None:
        """Begin with an empty state; `codec` is that of its commands."""
        self._new_state = new_state
        self._codec = codec
        self.state = new_state()
        self.last_command_at: float | None = None
        """When the last command applied here was proposed, seconds since 1970."""

    def forget(self) -> None:
        """Begin again with an empty state."""
        self.state = self._new_state()
        self.last_command_at = None

    def apply(self, encoded: msgspec.Raw, epoch: Epoch) -> ApplyOutcome:
        """Apply one committed command.

        An exception of a deterministic machine happens on every replica, so
        the command counts as refused and the group goes on.
        """
        try:
            command = self._codec.decode(encoded)
            self.last_command_at = command.at
            return ApplyOutcome(self.state.apply(command, epoch))
        except Exception as error:
            text = f"{type(error).__name__}: {error}"
            problem = Problem.of(ProblemCode.INTERNAL, text, ran=Ran.UNKNOWN)
            return ApplyOutcome(CommandRefused(problem), text)
