"""Kept turns and the chains that they form."""

from collections import OrderedDict

import msgspec


class Turn(msgspec.Struct, frozen=True):
    """A kept turn, or the text of several that follow each other."""

    previous: str
    """The turn that it goes on from; empty for the first."""
    input: bytes
    output: bytes
    """The data of each of its events, each followed by a line feed."""

    @property
    def size_bytes(self) -> int:
        """Give the length of its texts."""
        return len(self.input) + len(self.output)


class Transcript(msgspec.Struct, frozen=True):
    """The inputs and outputs of a chain of turns, oldest first."""

    after: str
    """The turn that it follows, which the asker has; empty for the whole chain."""
    text: bytes


class TurnStore:
    """Turns by their ids."""

    def __init__(self) -> None:
        """Begin empty."""
        self._turns: dict[str, Turn] = {}

    def __contains__(self, turn: str) -> bool:
        """Tell whether a turn is kept."""
        return turn in self._turns

    def add(self, name: str, turn: Turn) -> None:
        """Keep a turn."""
        self._turns[name] = turn

    def get(self, name: str) -> Turn | None:
        """Give a turn."""
        return self._turns.get(name)

    def transcript(self, last: str, known: str = "") -> Transcript | None:
        """Give the chain up to a turn, from after `known` if that is part of it.

        None if the turn, or one before it, is not kept.
        """
        parts: list[bytes] = []
        name = last
        while name and name != known:
            turn = self.get(name)
            if turn is None:
                return None
            parts.append(turn.output)
            parts.append(turn.input)
            name = turn.previous
        if name and name not in self:
            return None  # what the asker has is not part of what is kept here
        return Transcript(name, b"".join(reversed(parts)))


class KeptTurns(TurnStore):
    """Turns with the times at which they were used, and written to the journal."""

    def __init__(self) -> None:
        """Begin empty."""
        super().__init__()
        self._used_at: dict[str, float] = {}
        self._written_at: dict[str, int] = {}

    def keep(self, name: str, turn: Turn, written_at: int, now: float) -> None:
        """Keep a turn that is in the journal; its chain counts as used."""
        self.add(name, turn)
        self._written_at[name] = written_at
        self.use(name, now)

    def use(self, last: str, now: float) -> None:
        """Note that a chain is used: it is kept as long as its last turn."""
        name = last
        while name in self._turns and self._used_at.get(name) != now:
            self._used_at[name] = now
            name = self._turns[name].previous

    def forget_before(self, limit: float) -> None:
        """Forget turns that were not used since some clock seconds."""
        old = [name for name, used in self._used_at.items() if used < limit]
        for name in old:
            del self._turns[name], self._used_at[name], self._written_at[name]

    def written_anew(self, name: str, written_at: int) -> None:
        """Note a newer record of a turn."""
        self._written_at[name] = written_at

    def written_before(self, limit: int) -> list[str]:
        """Give the turns whose record is older than some seconds since 1970."""
        return [name for name, at in self._written_at.items() if at < limit]


class TurnCache(TurnStore):
    """The turns used last, up to a size; and the newest turn of each program."""

    def __init__(self, most_bytes: int) -> None:
        """Hold up to so many bytes."""
        super().__init__()
        self._recent: OrderedDict[str, Turn] = OrderedDict()
        self._turns = self._recent
        self._most_bytes = most_bytes
        self._bytes = 0
        self._newest: OrderedDict[str, str] = OrderedDict()

    def add(self, name: str, turn: Turn) -> None:
        """Keep a turn, and forget those that were not used for longest."""
        former = self._recent.pop(name, None)
        if former is not None:
            self._bytes -= former.size_bytes
        self._recent[name] = turn
        self._bytes += turn.size_bytes
        while self._bytes > self._most_bytes:
            _, oldest = self._recent.popitem(last=False)
            self._bytes -= oldest.size_bytes

    def get(self, name: str) -> Turn | None:
        """Give a turn, which counts as used."""
        if name in self._recent:
            self._recent.move_to_end(name)
        return super().get(name)

    def remember(self, program: str, name: str, turn: Turn) -> None:
        """Keep a turn as the newest of its program."""
        self.add(name, turn)
        self._newest.pop(program, None)
        self._newest[program] = name
        if len(self._newest) > len(self._recent) + 1:
            self._newest.popitem(last=False)

    def newest(self, program: str) -> str:
        """Give the newest turn of a program whose whole chain is here, or nothing."""
        name = self._newest.get(program, "")
        whole = self.transcript(name) if name else None
        return name if whole is not None else ""
