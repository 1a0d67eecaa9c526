"""The wait that a steward quotes, which depends on load and free memory."""

import pytest

from notcharch.clients.ports import EngineLoad, MachineState
from notcharch.engines.steward_state import StewardState
from notcharch.scheduling.breaker import BreakerPolicy
from notcharch.scheduling.calls import OrderPolicy
from notcharch.values.identifiers import EngineName, Epoch
from tests.unit.engines.calls import enqueue

SLOTS = 8
TOTAL_BLOCKS = 1000
POLICY = OrderPolicy(
    free_memory_part=0.3, free_memory_part_behind=0.1, busy_part_threshold=0.25
)


def steward(granted: int, free_blocks: int) -> StewardState:
    state = StewardState(
        engine=EngineName("e1"),
        instance="1",
        address="e1:1",
        slots=SLOTS,
        queue_limit=10,
        order_policy=POLICY,
        breaker_policy=BreakerPolicy(),
    )
    state.set_epoch(Epoch(1), 0.0)
    for number in range(granted):
        state.enqueue(enqueue(program=f"p{number}"), 0.0)
    assert state.granted == granted
    state.learn_load(report(free_blocks), 0.0)
    return state


def report(free_blocks: int) -> EngineLoad:
    return EngineLoad(
        sequence=1,
        measured_at=0.0,
        running=0,
        waiting=0,
        slots=SLOTS,
        free_blocks=free_blocks,
        total_blocks=TOTAL_BLOCKS,
        block_tokens=64,
        prefill_tokens_per_second=6000.0,
        decode_seconds_per_token=0.03,
        state=MachineState.LIVE,
    )


@pytest.mark.parametrize(
    ("better", "worse"),
    [
        ((0, TOTAL_BLOCKS), (1, TOTAL_BLOCKS)),
        ((1, TOTAL_BLOCKS), (6, TOTAL_BLOCKS)),
        ((4, 300), (4, 299)),
        ((7, 300), (4, 299)),
        ((7, 300), (8, 300)),
        ((1, 0), (2, 1000)),
    ],
)
def test_the_better_place_quotes_less(better, worse):
    """Pairs of outstanding grants and free blocks.

    Below a quarter of the slots, memory does not count.
    """
    assert steward(*better).quoted_wait() < steward(*worse).quoted_wait()


def test_an_idle_engine_quotes_nothing():
    assert steward(0, 0).quoted_wait() == 0.0
