"""Waits for a processor are told from what the kernel counts."""

import os

from deploy.soak.processor_waits import (
    USED_FIELD,
    WAITED_FIELD,
    ProcessorWaits,
    read_used,
    read_waited,
    seconds_of,
)


def test_the_kernel_counts_in_nanoseconds():
    assert seconds_of("1000000000 2500000000 7\n", USED_FIELD) == 1.0
    assert seconds_of("1000000000 2500000000 7\n", WAITED_FIELD) == 2.5
    assert seconds_of("", WAITED_FIELD) == 0.0
    assert read_used(os.getpid()) > 0.0
    assert read_waited(os.getpid()) >= 0.0


def test_only_long_waits_between_two_samples_are_told():
    waits = ProcessorWaits()
    waits.sample("d0", 1, 5.0, 10.0)
    waits.sample("d0", 1, 5.2, 10.1)
    assert waits.all == []
    waits.sample("d0", 1, 7.2, 12.1)
    assert [(w.process, w.ended_at, w.seconds) for w in waits.all] == [
        ("d0", 12.1, 2.0)
    ]


def test_short_waits_that_follow_each_other_count_together():
    """A process that gets a third of its time stands still in many short waits."""
    waits = ProcessorWaits()
    for number in range(9):
        waits.sample("d0", 1, 5.0 + 0.07 * number, 10.0 + 0.1 * number)
    assert [(w.ended_at, w.seconds) for w in waits.all] == [(10.4, 0.28), (10.8, 0.28)]
    assert waits.totals() == {"d0": 0.56}
    assert waits.text() == "10.40 d0 0.28 s\n10.80 d0 0.28 s\n"


def test_short_waits_that_are_far_apart_do_not():
    waits = ProcessorWaits()
    for number in range(9):
        waits.sample("d0", 1, 5.0 + 0.2 * number, 10.0 + number)
    assert waits.all == []


def test_the_next_process_of_a_daemon_counts_from_its_first_sample():
    waits = ProcessorWaits()
    waits.sample("d0", 1, 5.0, 10.0)
    waits.sample("d0", 2, 9.0, 10.1)
    assert waits.all == []
