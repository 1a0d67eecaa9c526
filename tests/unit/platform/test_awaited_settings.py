"""Settings that are missing, empty, cut or invalid are waited for."""

from itertools import pairwise

import pytest
from result import Err, Ok
from twisted.internet.task import Clock

from notcharch.platform.awaited_settings import (
    MAX_RETRY_SECONDS,
    MIN_RETRY_SECONDS,
    AwaitedSettings,
)
from notcharch.platform.settings import read_settings
from notcharch.settings.settled_file import MAX_READS, SETTLE_SECONDS
from tests.unit.platform.test_settings import TEXT

SETTINGS = read_settings(TEXT).ok_value
CUT_TEXT = TEXT[: TEXT.index("platform.parts")]
"""Looks whole: only optional fields follow."""


class Scene:
    """A settings file that changes, and what its readers were told."""

    def __init__(self, file, earlier=None) -> None:
        self.clock = Clock()
        self.file = file
        self.reads = []
        self.findings = []
        self.settings = []
        self.awaited = AwaitedSettings(
            self.clock, self._read, self._found, self.settings.append
        )
        self.awaited.start(earlier)

    def _read(self):
        self.reads.append(self.clock.seconds())
        return self.file

    def _found(self, findings, attempts) -> None:
        self.findings.append((findings, attempts))

    def pass_seconds(self, seconds: float) -> None:
        self.clock.pump([0.05] * round(seconds / 0.05))


def test_a_file_that_is_the_same_as_before_the_imports_is_taken_without_delay():
    scene = Scene(Ok(TEXT), earlier=Ok(TEXT))
    assert scene.settings == [SETTINGS]
    assert scene.clock.getDelayedCalls() == []


@pytest.mark.parametrize("earlier", [Ok(""), Ok(CUT_TEXT), Err(["missing"]), None])
def test_a_file_that_changed_during_the_imports_is_read_twice(earlier):
    """Guards against a cut file whose last lines are optional fields."""
    scene = Scene(Ok(CUT_TEXT), earlier)
    if earlier != Ok(CUT_TEXT):
        assert scene.settings == []
        scene.file = Ok(TEXT)
        scene.pass_seconds(3 * SETTLE_SECONDS)
        assert scene.settings == [SETTINGS]


@pytest.mark.parametrize(
    "file",
    [
        Err(["/x: No such file or directory"]),
        Ok(""),
        Ok("zone=z\n"),
        Ok("zone=z"),
        Ok(TEXT.replace("8149", "814900")),
    ],
    ids=["missing", "empty", "cut", "cut in a line", "invalid"],
)
def test_settings_that_can_not_be_used_are_waited_for_and_reported_once(file):
    scene = Scene(file)
    scene.pass_seconds(20.0)
    assert scene.settings == []
    assert len(scene.findings) == 1
    scene.file = Ok(TEXT)
    scene.pass_seconds(MAX_RETRY_SECONDS + 2 * SETTLE_SECONDS)
    assert scene.settings == [SETTINGS]
    scene.pass_seconds(20.0)
    assert scene.settings == [SETTINGS]
    assert scene.clock.getDelayedCalls() == []


def test_findings_are_reported_at_once_if_the_file_was_so_before_the_imports():
    scene = Scene(Ok(""), earlier=Ok(""))
    [(findings, attempts)] = scene.findings
    assert "node_name: missing" in findings
    assert attempts == 1


def test_each_new_list_of_findings_is_reported():
    scene = Scene(Ok(""))
    scene.pass_seconds(5.0)
    scene.file = Ok("zone=z\n")
    scene.pass_seconds(5.0)
    scene.file = Ok("")
    scene.pass_seconds(5.0)
    lists = [findings for findings, _ in scene.findings]
    assert len(lists) == 3
    assert lists[0] == lists[2] != lists[1]
    attempts = [attempts for _, attempts in scene.findings]
    assert attempts == sorted(set(attempts))


def test_an_invalid_file_is_read_ever_less_often_up_to_once_a_second():
    scene = Scene(Ok(""), earlier=Ok(""))
    while scene.clock.seconds() < 60.0:
        [timer] = scene.clock.getDelayedCalls()
        scene.clock.advance(timer.getTime() - scene.clock.seconds())
    gaps = [round(b - a, 3) for a, b in pairwise(scene.reads)]
    assert gaps[0] == MIN_RETRY_SECONDS
    assert gaps == sorted(gaps)
    assert gaps[-1] == MAX_RETRY_SECONDS


def test_a_reload_signal_reads_at_once_and_reports_known_findings_no_more():
    scene = Scene(Ok(""), earlier=Ok(""))
    scene.pass_seconds(10.0)
    reads = len(scene.reads)
    scene.awaited.read_now()
    assert len(scene.reads) == reads + 1
    scene.file = Ok(TEXT)
    scene.pass_seconds(3 * SETTLE_SECONDS)
    assert scene.settings == [SETTINGS]
    assert len(scene.findings) == 1


def test_nothing_is_read_after_the_stop():
    for seconds in (0.0, 0.05, 0.5, 5.0):
        scene = Scene(Ok(""))
        scene.pass_seconds(seconds)
        scene.awaited.stop()
        assert scene.clock.getDelayedCalls() == []


def test_a_valid_file_that_changes_all_the_time_is_taken_in_the_end():
    """Guards against a wait that never ends."""
    scene = Scene(Ok(TEXT))
    for number in range(MAX_READS + 1):
        scene.file = Ok(f"{TEXT}changed={number}\n")
        scene.pass_seconds(SETTLE_SECONDS)
    assert scene.settings == [SETTINGS]


def test_a_file_that_changes_all_the_time_and_is_invalid_is_reported_and_read_on():
    scene = Scene(Ok(""))
    for number in range(5 * MAX_READS):
        scene.file = Ok(f"changed={number}\n")
        scene.pass_seconds(SETTLE_SECONDS)
    assert len(scene.findings) == 1
    scene.file = Ok(TEXT)
    scene.pass_seconds(MAX_RETRY_SECONDS + 2 * SETTLE_SECONDS)
    assert scene.settings == [SETTINGS]
