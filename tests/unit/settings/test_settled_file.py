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
