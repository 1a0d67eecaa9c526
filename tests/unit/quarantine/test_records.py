"""The counts of ends, and their bounds in time and memory."""

import pytest

from notcharch.quarantine.records import (
    KEEP_SECONDS,
    NO_ENDS,
    EndRecords,
    EngineEnd,
    KnownEnds,
)

NOW = 100.0


def end(number: int) -> EngineEnd:
    return EngineEnd(f"e{number}", "d")


def counted(*times: tuple[float, float]) -> EndRecords:
    """Count ends of different engines, by when the request was sent and they ended."""
    known = EndRecords()
    for number, (sent_at, now) in enumerate(times):
        known.count("r", end(number), sent_at=sent_at, now=now)
    return known


def test_ends_one_after_another_count():
    known = counted((1, 2), (2.5, 3), (3.5, 4))
    assert known.find("r", 4.0).is_quarantined


def test_an_engine_counts_once():
    known = counted((1, 2))
    known.count("r", end(0), sent_at=3.0, now=4.0)
    assert len(known.known("r", 4.0).ends) == 1


def test_engines_that_end_together_count_once():
    known = counted((1, 5), (2, 5), (4.9, 5.1))
    assert len(known.known("r", 5.1).ends) == 1


def test_what_a_peer_knows_does_not_hide_the_next_end():
    known = EndRecords()
    known.learn("r", KnownEnds((end(1), end(2)), seconds=0.5), NOW)
    known.count("r", end(3), sent_at=NOW - 0.2, now=NOW)
    assert known.find("r", NOW).is_quarantined


def test_a_peer_that_knows_less_changes_nothing():
    known = counted((1, 2), (3, 4))
    known.learn("r", KnownEnds((end(7),)), 4.0)
    assert len(known.known("r", 4.0).ends) == 2


def test_a_record_expires():
    known = counted((NOW, NOW))
    assert known.find("r", NOW + KEEP_SECONDS - 1) is not None
    assert known.find("r", NOW + KEEP_SECONDS) is None
    known.purge(NOW + KEEP_SECONDS)
    assert len(known) == 0


def test_the_oldest_record_goes_when_there_are_too_many():
    known = EndRecords(2)
    for number in range(3):
        known.count(f"r{number}", end(0), sent_at=NOW, now=NOW + number)
    assert known.known("r0", NOW + 2) == NO_ENDS
    assert len(known) == 2


@pytest.mark.parametrize("holder", ["a", "b"])
def test_one_attempt_has_the_permit_until_it_is_over(holder):
    known = counted((1, 2), (3, 4))
    assert known.grant("r", "a", 3.0, 4.0)
    assert known.grant("r", holder, 3.0, 5.0) == (holder == "a")
    known.release("r", "a")
    assert known.grant("r", "b", 3.0, 5.0)


def test_a_permit_lapses():
    known = counted((1, 2), (3, 4))
    assert known.grant("r", "a", 3.0, 4.0)
    assert known.grant("r", "b", 3.0, 7.0)


def test_a_quarantined_request_gets_no_permit():
    known = counted((1, 2), (3, 4), (5, 6))
    assert not known.grant("r", "a", 3.0, 7.0)


def test_a_permit_outlives_what_is_learned_meanwhile():
    known = counted((1, 2))
    known.learn("r", KnownEnds((end(1), end(2))), 4.0)
    assert known.grant("r", "a", 3.0, 4.0)
    known.learn("r", KnownEnds((end(1), end(2))), 5.0)
    assert not known.grant("r", "b", 3.0, 5.0)
