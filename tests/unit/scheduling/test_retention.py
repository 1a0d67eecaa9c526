"""Whether a prefix is kept, exported or dropped during a pause."""

import math

import pytest

from notcharch.scheduling.retention import (
    EngineMemory,
    PausedPrefix,
    Retention,
    decide_retention,
    retention_costs,
)

PLENTY = math.inf


def memory(residence=100.0, reuse=0.5, transfer=0.0):
    return EngineMemory(residence, reuse, 1000.0, transfer)


SITUATIONS = {
    "no pressure": (PausedPrefix(10_000, 0.1, 1e6), memory(PLENTY), Retention.KEEP),
    "a short pause": (PausedPrefix(10_000, 0.9, 1.0), memory(), Retention.KEEP),
    "it never returns": (PausedPrefix(10_000, 0.0, 1.0), memory(), Retention.DROP),
    "evicted before it returns": (
        PausedPrefix(10_000, 0.9, 10_000.0),
        memory(),
        Retention.DROP,
    ),
    "evicted, but moving is quick": (
        PausedPrefix(10_000, 0.9, 10_000.0),
        memory(transfer=10_000.0),
        Retention.EXPORT,
    ),
    "evicted, and moving is slow": (
        PausedPrefix(10_000, 0.9, 10_000.0),
        memory(transfer=500.0),
        Retention.DROP,
    ),
    "others reuse nothing": (
        PausedPrefix(10_000, 0.3, 100.0),
        memory(reuse=0.0),
        Retention.KEEP,
    ),
    "others reuse everything": (
        PausedPrefix(10_000, 0.3, 100.0),
        memory(reuse=1.0),
        Retention.DROP,
    ),
    "nothing is held": (PausedPrefix(0, 0.5, 5.0), memory(), Retention.KEEP),
}


@pytest.mark.parametrize(
    ("prefix", "engine", "expected"), SITUATIONS.values(), ids=SITUATIONS.keys()
)
def test_decisions(prefix, engine, expected):
    assert decide_retention(prefix, engine) == expected


def test_costs_are_in_seconds_of_engine_time():
    prefix = PausedPrefix(10_000, 0.5, 0.0)
    costs = retention_costs(prefix, memory(transfer=5000.0))
    assert costs.drop == 5.0
    assert costs.export == 3.0
    assert costs.keep == 2.5


def test_a_longer_pause_never_makes_keeping_cheaper():
    pauses = [0.1, 1.0, 10.0, 100.0, 1000.0]
    costs = [
        retention_costs(PausedPrefix(10_000, 0.8, pause), memory()).keep
        for pause in pauses
    ]
    assert costs == sorted(costs)
