"""A small state machine for tests, which stores the texts of its commands."""

import msgspec

from notcharch.partitions.interface import Command, CommandResult
from notcharch.values.identifiers import Epoch


class Note(Command, frozen=True):
    text: str


class Noted(CommandResult, frozen=True):
    count: int


class Notes:
    def __init__(self) -> None:
        self.texts: list[str] = []

    def apply(self, command: Command, epoch: Epoch) -> CommandResult:
        assert isinstance(command, Note)
        if command.text == "raise":
            raise ValueError("a defect")
        self.texts.append(command.text)
        return Noted(len(self.texts))

    def snapshot(self) -> bytes:
        return msgspec.json.encode(self.texts)

    def restore(self, snapshot: bytes) -> None:
        self.texts = msgspec.json.decode(snapshot, type=list[str])
