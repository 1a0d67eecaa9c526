"""Any order of inputs gives at most one result, and never hangs without one."""

from hypothesis import given, settings
from hypothesis import strategies as st

from notcharch.clients.stream_life_cycle import Step, StreamCore, new_stream_machine

INPUTS = ("accepted", "refused", "broke", "retry_due", "ended", "given_up", "cancelled")
RESULTS = {Step.SUCCEED, Step.FAIL, Step.CANCEL}


def steps(inputs) -> list[Step]:
    machine = new_stream_machine(StreamCore())
    return [getattr(machine, name)() for name in inputs]


@settings(derandomize=True, deadline=None)
@given(st.lists(st.sampled_from(INPUTS), max_size=12))
def test_there_is_one_result_and_nothing_after_it(inputs):
    taken = steps(inputs)
    results = [place for place, step in enumerate(taken) if step in RESULTS]
    assert len(results) <= 1
    if results:
        assert set(taken[results[0] + 1 :]) <= {Step.NONE}
    else:
        # At most one retry timer is pending.
        waits = taken.count(Step.RESUME_LATER) - taken.count(Step.RESUME)
        assert waits in (0, 1)


def test_a_break_is_resumed_after_its_delay_only():
    inputs = [
        "accepted",
        "broke",
        "broke",
        "retry_due",
        "retry_due",
        "accepted",
        "ended",
    ]
    assert steps(inputs) == [
        Step.NONE,
        Step.RESUME_LATER,
        Step.NONE,
        Step.RESUME,
        Step.NONE,
        Step.NONE,
        Step.SUCCEED,
    ]
