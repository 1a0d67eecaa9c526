"""Records of streams take a bounded memory: callers choose their ids, up to a whole head."""

from notcharch.scheduling.stream_origin import StreamOrigin
from notcharch.stream_origins.records import RECORD_BYTES, OriginRecords

ORIGIN = StreamOrigin("s", "v")
MAX_BYTES = 100 * (RECORD_BYTES + 20)


def test_long_ids_take_the_place_of_many_short_ones():
    """A number of 50,000 records allowed 800 MB of ids of 16 KB."""
    records = OriginRecords(MAX_BYTES)
    for number in range(300):
        records.add(f"{number:020d}", ORIGIN, 10.0, 0.0)
    assert len(records) == 100
    for number in range(10):
        records.add("x" * 16_000 + f"{number}", ORIGIN, 10.0, 0.0)
    assert records.bytes <= MAX_BYTES
    assert records.find("x" * 16_000 + "9", 1.0) is not None
    assert records.find(f"{299:020d}", 1.0) is None


def test_what_expired_or_was_replaced_counts_no_more():
    records = OriginRecords(MAX_BYTES)
    for _ in range(3):
        records.add("a", ORIGIN, 10.0, 0.0)
    assert records.bytes == RECORD_BYTES + 1
    records.purge(11.0)
    assert (records.bytes, len(records)) == (0, 0)


def test_a_record_larger_than_the_bound_is_held_alone():
    records = OriginRecords(1000)
    records.add("x" * 5000, ORIGIN, 10.0, 0.0)
    records.add("y" * 5000, ORIGIN, 10.0, 0.0)
    assert len(records) == 1
    assert records.find("y" * 5000, 1.0) is not None
