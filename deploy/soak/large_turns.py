"""Turns larger than a record of the store, and turns from which other programs go on."""

from collections import deque
from random import Random

import msgspec

from deploy.soak.settings import RETENTION_SECONDS

LARGE_SHARE = 0.06
"""Share of the turns whose input is large."""
LARGE_BYTES = (100_000, 300_000, 1_000_000)
HANDED_ON_SHARE = 0.3
"""Share of the programs that go on from a turn of another one."""
MOST_CHAIN_BYTES = 2 * 1024 * 1024
"""Longer chains are not handed on: an engine takes bodies of 4 MiB."""
MOST_AGE_SECONDS = RETENTION_SECONDS / 2
REMEMBERED_TURNS = 30


class WholeTurn(msgspec.Struct, frozen=True):
    """A turn that was answered whole."""

    tenant: str
    id: str
    chain: bytes
    """All inputs and events up to its end."""
    at: float
    """When its answer ended, in clock seconds."""


class LargeTurns:
    """Draws large inputs, and the turns from which programs begin."""

    def __init__(self, random: Random) -> None:
        """Begin without turns."""
        self._random = random
        self._whole: deque[WholeTurn] = deque(maxlen=REMEMBERED_TURNS)

    def draw_padding(self) -> bytes:
        """Give what makes some inputs large; nothing for most."""
        if self._random.random() >= LARGE_SHARE:
            return b""
        return self._random.randbytes(self._random.choice(LARGE_BYTES))

    def add(self, turn: WholeTurn) -> None:
        """Remember a turn."""
        if len(turn.chain) <= MOST_CHAIN_BYTES:
            self._whole.append(turn)

    def draw_beginning(self, tenant: str, now: float) -> WholeTurn | None:
        """Give the turn from which a program of a tenant begins; None for most."""
        if self._random.random() >= HANDED_ON_SHARE:
            return None
        found = [
            turn
            for turn in self._whole
            if turn.tenant == tenant and now - turn.at < MOST_AGE_SECONDS
        ]
        return self._random.choice(found) if found else None
