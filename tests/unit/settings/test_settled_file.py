"""A settings file that is read while it is written."""

import pytest
from result import Err, Ok
from twisted.internet.task import Clock

from notcharch.platform.settings import read_settings
from notcharch.settings.settled_file import (
    MAX_READS,
    SETTLE_SECONDS,
    SettledFile,
)
from tests.unit.platform.test_settings import TEXT


class Scene:
    def __init__(self, text: str) -> None:
        self.clock = Clock()
        self.file = Ok(text)
        self.loaded = []
        self.reload = SettledFile(self.clock, lambda: self.file, self._settled)
        self.reload.start()

    def _settled(self, text) -> None:
        self.loaded.append(text.and_then(read_settings))


def test_a_file_that_stays_the_same_is_taken():
    scene = Scene(TEXT)
    assert scene.loaded == []
    scene.clock.advance(SETTLE_SECONDS)
    assert scene.loaded == [read_settings(TEXT)]
    scene.clock.advance(10.0)
    assert len(scene.loaded) == 1


@pytest.mark.parametrize("size", range(0, len(TEXT), 7))
def test_a_file_that_is_still_written_is_not_taken_for_a_whole_one(size):
    scene = Scene(TEXT[:size])
    scene.clock.advance(SETTLE_SECONDS / 2)
    scene.file = Ok(TEXT)
    scene.clock.pump([SETTLE_SECONDS] * 3)
    assert scene.loaded == [read_settings(TEXT)]


def test_a_line_without_an_end_is_waited_for():
    scene = Scene(TEXT.rstrip("\n"))
    scene.clock.pump([SETTLE_SECONDS] * 3)
    assert scene.loaded == []
    scene.file = Ok(TEXT)
    scene.clock.pump([SETTLE_SECONDS] * 2)
    assert scene.loaded == [read_settings(TEXT)]


def test_a_file_whose_last_line_never_ends_is_taken_in_the_end():
    scene = Scene(TEXT.rstrip("\n"))
    scene.clock.pump([SETTLE_SECONDS] * MAX_READS)
    assert scene.loaded == [read_settings(TEXT)]


def test_a_file_that_is_missing_for_a_moment_changes_nothing():
    scene = Scene(TEXT)
    scene.file = Err(["no such file"])
    scene.clock.advance(SETTLE_SECONDS)
    scene.file = Ok(TEXT)
    scene.clock.pump([SETTLE_SECONDS] * 2)
    assert scene.loaded == [read_settings(TEXT)]


def test_errors_of_a_settled_file_are_told():
    scene = Scene("zone=z\n")
    scene.clock.advance(SETTLE_SECONDS)
    [result] = scene.loaded
    assert isinstance(result, Err)


def test_a_second_signal_starts_anew():
    scene = Scene(TEXT)
    scene.clock.advance(SETTLE_SECONDS / 2)
    scene.reload.start()
    scene.clock.advance(SETTLE_SECONDS / 2)
    assert scene.loaded == []
    scene.clock.advance(SETTLE_SECONDS / 2)
    assert len(scene.loaded) == 1


def test_the_same_file_as_in_an_earlier_reading_is_taken_at_once():
    scene = Scene(TEXT)
    scene.reload.start(Ok(TEXT))
    assert scene.loaded == [read_settings(TEXT)]
    scene.clock.advance(10.0)
    assert len(scene.loaded) == 1


def test_an_earlier_reading_without_a_line_end_is_not_taken_at_once():
    scene = Scene(TEXT.rstrip("\n"))
    scene.reload.start(Ok(TEXT.rstrip("\n")))
    assert scene.loaded == []


def test_signals_that_come_all_the_time_do_not_postpone_the_reading_for_ever():
    """Guards against a lost change: each signal began the wait anew."""
    scene = Scene(TEXT)
    for _ in range(4 * MAX_READS):
        scene.clock.advance(SETTLE_SECONDS / 2)
        scene.reload.start()
    assert scene.loaded
    assert all(loaded == read_settings(TEXT) for loaded in scene.loaded)


def test_a_file_that_changes_all_the_time_is_taken_in_the_end():
    scene = Scene(TEXT)
    for number in range(MAX_READS):
        scene.file = Ok(f"{TEXT}changed={number}\n")
        scene.clock.advance(SETTLE_SECONDS)
    assert scene.loaded == [read_settings(TEXT)]


def test_a_reader_that_raises_does_not_end_the_reading():
    """Guards against a change that is never read, for the timer was lost."""
    clock = Clock()
    loaded = []
    results = iter([Ok(TEXT), RuntimeError("fault"), Ok(TEXT), Ok(TEXT)])

    def read():
        result = next(results)
        if isinstance(result, Exception):
            raise result
        return result

    SettledFile(clock, read, loaded.append).start()
    clock.pump([SETTLE_SECONDS] * 3)
    assert loaded == [Ok(TEXT)]
