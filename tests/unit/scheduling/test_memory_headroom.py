"""When an engine has headroom for the history of a new program."""

import pytest

from notcharch.clients.ports import EngineLoad, MachineState
from notcharch.scheduling.calls import Headroom, OrderPolicy
from notcharch.scheduling.memory_headroom import MemoryHeadroom
from notcharch.values.identifiers import ServiceName

POLICY = OrderPolicy(
    free_memory_part=0.2,
    free_memory_part_behind=0.1,
    busy_part_threshold=0.25,
    small_program_part=1 / 64,
)
CHAIN = ServiceName("chain")


def report(free_blocks: int, total_blocks: int = 1000) -> EngineLoad:
    return EngineLoad(
        sequence=1,
        measured_at=0.0,
        running=8,
        waiting=0,
        slots=16,
        free_blocks=free_blocks,
        total_blocks=total_blocks,
        block_tokens=64,
        prefill_tokens_per_second=6000.0,
        decode_seconds_per_token=0.03,
        state=MachineState.LIVE,
    )


def headroom(free_blocks: int, total_blocks: int = 1000) -> MemoryHeadroom:
    built = MemoryHeadroom(POLICY)
    built.learn_report(report(free_blocks, total_blocks))
    return built


@pytest.mark.parametrize(
    ("free_blocks", "busy_part", "expected"),
    [
        (200, 1.0, Headroom.FOR_ALL),
        (199, 1.0, Headroom.FOR_SERVICES_BEHIND),
        (100, 1.0, Headroom.FOR_SERVICES_BEHIND),
        (99, 1.0, Headroom.FOR_NONE),
        (0, 0.25, Headroom.FOR_NONE),
        (0, 0.24, Headroom.FOR_ALL),
        (1000, 1.0, Headroom.FOR_ALL),
    ],
)
def test_a_busy_engine_needs_free_memory(free_blocks, busy_part, expected):
    assert headroom(free_blocks).allowed_new_programs(busy_part) is expected


def test_an_engine_that_is_unknown_or_has_no_cache_has_room():
    assert MemoryHeadroom(POLICY).allowed_new_programs(1.0) is Headroom.FOR_ALL
    assert headroom(0, total_blocks=0).allowed_new_programs(1.0) is Headroom.FOR_ALL


def test_grants_since_the_report_take_memory_until_the_next_report():
    limited = headroom(210)
    limited.note_grant(CHAIN, 6000, 640)
    assert limited.allowed_new_programs(1.0) is Headroom.FOR_ALL
    limited.note_grant(CHAIN, 6000, 1)
    assert limited.allowed_new_programs(1.0) is not Headroom.FOR_ALL
    limited.learn_report(report(210))
    assert limited.allowed_new_programs(1.0) is Headroom.FOR_ALL


def test_a_service_is_small_by_its_prompts_so_far():
    limited = headroom(0)
    assert limited.is_small(CHAIN)
    limited.note_grant(CHAIN, 1000, 1000)
    assert limited.is_small(CHAIN)
    for _ in range(3):
        limited.note_grant(CHAIN, 8000, 100)
    assert not limited.is_small(CHAIN)
    assert limited.is_small(ServiceName("question"))
