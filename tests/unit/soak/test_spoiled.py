"""What the soak's engines and store write that can't be read, and answers without end."""

from random import Random

import msgspec
import pytest
from twisted.internet.testing import MemoryReactorClock

from deploy.soak.daemons import TRACEBACK, SoakDaemon
from deploy.soak.spoiled import (
    BAD_ENTRIES,
    BAD_ROWS,
    PIECE,
    PIECE_SECONDS,
    EndlessAnswer,
    EndlessKind,
    Spoil,
    insert_part,
)
from notcharch.platform.configuration import ServerEntry
from notcharch.values.decoding import DECODING_ERRORS

ENTRY = b'{"service":"s","address":"127.0.0.1:1"}'


@pytest.mark.parametrize("spoil", BAD_ENTRIES)
def test_a_spoiled_entry_cannot_be_decoded(spoil):
    assert Spoil.NONE.apply(ENTRY) == ENTRY
    with pytest.raises(DECODING_ERRORS):
        msgspec.json.decode(spoil.apply(ENTRY), type=ServerEntry)


@pytest.mark.parametrize("body", [b'{"parts":[]}', b'{"parts":[["t",1,0]]}'])
def test_a_bad_part_comes_before_the_others(body):
    spoiled = insert_part(body, b"parts", BAD_ROWS[0])
    assert msgspec.json.decode(spoiled)["parts"][0] is None
    assert (
        msgspec.json.decode(spoiled)["parts"][1:] == msgspec.json.decode(body)["parts"]
    )


class Exchange:
    """A request whose answer is counted."""

    def __init__(self) -> None:
        self.written = 0
        self._connection = self.transport = self
        self.on_disconnect = None

    def start(self, status, headers) -> None:
        pass

    def write(self, data) -> None:
        self.written += len(data)


@pytest.mark.parametrize("kind", EndlessKind)
def test_an_answer_without_end_ends_with_its_caller(kind):
    clock, exchange = MemoryReactorClock(), Exchange()
    EndlessAnswer(clock, exchange, kind)
    clock.pump([PIECE_SECONDS] * 50)
    assert exchange.written > 50 * len(PIECE)
    exchange.on_disconnect()
    written = exchange.written
    clock.pump([PIECE_SECONDS] * 50)
    assert exchange.written == written
    assert EndlessKind.draw(Random(1)) in EndlessKind


def test_exceptions_in_a_daemons_log_are_counted(tmp_path):
    daemon = SoakDaemon.__new__(SoakDaemon)
    daemon._log = tmp_path / "d.log"
    daemon._log.write_text(f"a line\n{TRACEBACK}: x\n")
    assert daemon.logged_exceptions() == 1
