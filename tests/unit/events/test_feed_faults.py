"""The faults of a feed's parts are counted each time and logged once."""

from prometheus_client import REGISTRY

from notcharch.events.feed_faults import MAX_REMEMBERED_PARTS, FeedFaults
from notcharch.events.process import PartSkipped
from tests.unit.events.capture import captured, of
from tests.unit.http.test_small_chunks import growth

FEED = "test.feed"


def counted() -> float:
    labels = {"feed": FEED}
    return REGISTRY.get_sample_value("notcharch_feed_skipped_parts_total", labels) or 0


def fail() -> None:
    raise RecursionError("too deep")


def test_a_repeated_fault_is_logged_once_and_counted_each_time():
    faults = FeedFaults(FEED)
    before = counted()
    with captured() as messages:
        assert not any(faults.isolate("a", fail) for _ in range(3))
    assert len(of(messages, PartSkipped)) == 1
    assert counted() == before + 3


def test_a_fault_that_returns_after_a_success_is_logged_again():
    faults = FeedFaults(FEED)
    with captured() as messages:
        faults.report("a", "slots")
        assert faults.isolate("a", lambda: None)
        faults.report("a", "slots")
    assert len(of(messages, PartSkipped)) == 2


def test_the_remembered_faults_are_bounded():
    faults = FeedFaults(FEED)
    for number in range(2 * MAX_REMEMBERED_PARTS):
        faults.report(str(number), "cut")
    assert len(faults._last) == MAX_REMEMBERED_PARTS


def test_a_remembered_fault_takes_little_whatever_its_text():
    """Tracebacks and names of some KB each took 40 MB over ten feeds."""
    faults = FeedFaults(FEED)

    def report() -> None:
        for number in range(MAX_REMEMBERED_PARTS):
            faults.is_new(f"part {number} " + "n" * 5000, f"{number}" + "t" * 5000)

    report()
    assert growth(report) < 100 * MAX_REMEMBERED_PARTS
    assert sum(map(len, faults._last)) < 300 * MAX_REMEMBERED_PARTS


def test_long_names_that_differ_at_their_end_are_different_parts():
    faults = FeedFaults(FEED)
    long = "x" * 1000
    assert faults.is_new(f"{long}a", "slots")
    assert faults.is_new(f"{long}b", "zone")
    assert not faults.is_new(f"{long}a", "slots")
    faults.clear(f"{long}a")
    assert faults.is_new(f"{long}a", "slots")


def test_a_fault_of_any_text_can_be_remembered():
    assert FeedFaults(FEED).is_new("\udcff", "\udcff")
