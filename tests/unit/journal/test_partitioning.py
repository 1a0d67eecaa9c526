"""The mapping between partitions and topics."""

import pytest

from notcharch.journal.interface import LogPartition
from notcharch.journal.partitioning import (
    partitioning_for_count,
    partitioning_for_topics,
)


@pytest.mark.parametrize(("count", "topics"), [(1, 1), (16, 1), (17, 2), (64, 4)])
def test_as_many_topics_as_the_partitions_need(count, topics):
    partitioning = partitioning_for_count("t", count, 16)
    assert len(partitioning.topics) == topics
    log_partitions = [partitioning.log_partition(number) for number in range(count)]
    assert len(set(log_partitions)) == count
    assert [
        partitioning.number(log_partition) for log_partition in log_partitions
    ] == list(range(count))


def test_partitions_that_are_not_in_use_have_no_number():
    partitioning = partitioning_for_count("t", 4, 16)
    assert partitioning.number(LogPartition("t-0", 3)) == 3
    assert partitioning.number(LogPartition("t-0", 4)) is None
    assert partitioning.number(LogPartition("other", 0)) is None


def test_programs_use_all_partitions():
    partitioning = partitioning_for_topics("t", 4, 12)
    found = {partitioning.of_program(f"p{number}") for number in range(2000)}
    assert found == set(range(48))
