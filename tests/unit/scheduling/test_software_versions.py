"""When the version that began a service's streams is certain without records."""

import pytest

from notcharch.scheduling.software_versions import (
    MIN_RESUMABLE_SECONDS,
    MIXED_MEMORY_SECONDS,
    SETTLING_SECONDS,
    SoftwareVersions,
)

SERVICE = "s"
STEP = 0.4
POLL_SECONDS = 1.5
"""A poll confirms the time at which it was sent, until the next one returns."""


class Reader:
    """A daemon that reads the list of engines every `STEP` seconds."""

    def __init__(self, *versions: str) -> None:
        self.versions = SoftwareVersions(POLL_SECONDS)
        self.now = 100.0
        self.list(*versions)

    def list(self, *versions: str) -> None:
        listed = [(SERVICE, version) for version in versions]
        self.versions.list_changed(listed, self.now)
        self.versions.confirmed(self.now, self.now)

    def follow(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            self.versions.confirmed(self.now, self.now)

    @property
    def only(self) -> str:
        """The claim about streams that began before now."""
        return self.versions.only_version(SERVICE, self.now, self.now)

    @property
    def needs_records(self) -> bool:
        return self.versions.needs_records(SERVICE, self.now)


def test_a_daemon_that_has_just_started_is_not_certain():
    reader = Reader("v1")
    reader.follow(MIN_RESUMABLE_SECONDS - 2 * STEP)
    assert (reader.only, reader.needs_records) == ("", True)
    reader.follow(3 * STEP)
    assert (reader.only, reader.needs_records) == ("v1", False)


def test_a_second_version_ends_the_certainty_until_no_stream_of_it_can_be_resumed():
    reader = Reader("v1")
    reader.follow(MIN_RESUMABLE_SECONDS + STEP)
    reader.list("v1", "v2")
    assert (reader.only, reader.needs_records) == ("", True)
    reader.follow(5.0)
    reader.list("v2")
    reader.follow(MIN_RESUMABLE_SECONDS - 2 * STEP)
    assert (reader.only, reader.needs_records) == ("", True)
    reader.follow(3 * STEP)
    reader.list("v2")
    assert (reader.only, reader.needs_records) == ("v2", False)


def test_records_are_still_searched_for_some_time_after_a_second_version():
    reader = Reader("v1", "v2")
    reader.list("v2")
    reader.follow(MIXED_MEMORY_SECONDS - 2 * STEP)
    assert reader.versions.may_have_doubts(SERVICE, reader.now)
    reader.follow(3 * STEP)
    assert not reader.versions.may_have_doubts(SERVICE, reader.now)


def test_a_list_that_was_read_before_a_stream_is_taken_up_proves_nothing():
    reader = Reader("v1")
    reader.follow(MIN_RESUMABLE_SECONDS + STEP)
    asked_at = reader.now
    assert reader.versions.only_version(SERVICE, asked_at, reader.now + 0.1) == "v1"
    reader.now += 0.01
    assert reader.only == ""


def test_records_are_kept_only_once_polls_are_late():
    """Polls that find no change are the usual case, and must not cost messages."""
    reader = Reader("v1")
    reader.follow(MIN_RESUMABLE_SECONDS + STEP)
    reader.now += SETTLING_SECONDS + 2 * POLL_SECONDS - 0.1
    assert not reader.needs_records
    reader.now += 0.2
    assert reader.needs_records


@pytest.mark.parametrize("gap", ["unread", "read anew"])
def test_versions_that_may_have_come_and_gone_unseen_end_the_certainty(gap):
    reader = Reader("v1")
    reader.follow(MIN_RESUMABLE_SECONDS + STEP)
    if gap == "unread":
        reader.now += SETTLING_SECONDS + 0.1
    else:
        reader.versions.restarted()
    reader.list("v1")
    assert (reader.only, reader.needs_records) == ("", True)


def test_an_engine_that_states_no_version_proves_nothing():
    reader = Reader("")
    reader.follow(MIN_RESUMABLE_SECONDS + STEP)
    assert reader.only == ""
    reader.list("v1", "")
    assert reader.only == ""


def test_streams_begin_at_a_new_version_only_after_a_while():
    reader = Reader("v1")
    reader.follow(MIN_RESUMABLE_SECONDS)
    reader.list("v1", "v2")
    assert reader.versions.settled(SERVICE, reader.now) == {"v1"}
    reader.follow(SETTLING_SECONDS)
    assert reader.versions.settled(SERVICE, reader.now) == {"v1", "v2"}


def test_streams_begin_at_a_new_version_at_once_where_no_other_serves():
    reader = Reader("v1")
    reader.follow(MIN_RESUMABLE_SECONDS)
    reader.list("v2")
    assert reader.versions.settled(SERVICE, reader.now) is None


@pytest.mark.parametrize("listed", [("v1", "v2"), ("v2",)])
def test_no_stream_began_at_a_version_that_a_certain_daemon_has_not_read(listed):
    """The proof by which nothing is recorded while one version serves."""
    for late in range(1, 60):
        late_seconds = late * 0.05
        reader, beginner = Reader("v1"), Reader("v1")
        reader.follow(MIN_RESUMABLE_SECONDS + STEP)
        beginner.follow(MIN_RESUMABLE_SECONDS + STEP)
        beginner.list(*listed)
        beginner.now += late_seconds
        reader.now += late_seconds
        settled = beginner.versions.settled(SERVICE, beginner.now) or set(listed)
        assert not ("v2" in settled and reader.only == "v1")


def test_a_version_that_returns_after_a_long_time_counts_as_new():
    """Other daemons may be certain of the other version by then."""
    reader = Reader("v1", "v2")
    reader.list("v2")
    reader.follow(MIN_RESUMABLE_SECONDS + STEP)
    assert reader.only == "v2"
    reader.list("v1", "v2")
    assert reader.versions.settled(SERVICE, reader.now) == {"v2"}


def test_a_version_that_was_missing_for_a_moment_is_not_new():
    reader = Reader("v1", "v2")
    reader.follow(SETTLING_SECONDS)
    reader.list("v2")
    reader.follow(MIN_RESUMABLE_SECONDS - STEP)
    reader.list("v1", "v2")
    assert reader.versions.settled(SERVICE, reader.now) == {"v1", "v2"}
