"""One engine: batching, priorities, fences, streams, orders, transfers, restart."""

import pytest
from msgspec.structs import replace
from result import Ok

from emulator.engine.answers import expected_answer, prompt_digest
from emulator.engine.refusals import RefusalCode
from emulator.engine.runs import RunState
from emulator.engine.stream_events import render_events
from emulator.virtual_clock import VirtualClock
from notcharch.clients.ports import EngineOrder, MachineState, OrderKind
from notcharch.values.chat import ChatMessage, FinishReason
from notcharch.values.identifiers import Epoch, PoolName, ProgramId, RequestId
from tests.unit.emulator.builders import (
    POOL,
    RATES,
    answer_marker,
    application_engine,
    engine,
    request,
)

P1 = ProgramId("p1")


class Reader:
    def __init__(self):
        self.progress = []
        self.broken = 0

    def run_progressed(self, run):
        self.progress.append(run.events)

    def run_broken(self, run):
        self.broken += 1


def submit(model, *arguments, **options):
    return model.submit(request(*arguments, **options)).ok_value


# texts, max_tokens, tokens of the answer, finish reason
ANSWERS = [
    (("hi [answer-tokens:37]",), 100, 37, FinishReason.STOP),
    (("hi [answer-tokens:37]",), 10, 10, FinishReason.LENGTH),
    (("[answer-tokens:9]", "again [answer-tokens:5]"), 100, 5, FinishReason.STOP),
    (("[answer-tokens:0]",), 100, 1, FinishReason.STOP),
    (("no marker",), 1000, None, FinishReason.STOP),
]


@pytest.mark.parametrize(("texts", "max_tokens", "tokens", "reason"), ANSWERS)
def test_an_answer_is_told_by_its_prompt(texts, max_tokens, tokens, reason):
    model = engine(VirtualClock(), replace(RATES, total_blocks=200))
    run = submit(model, "r1", *texts, max_tokens=max_tokens)
    assert run.answer.finish_reason is reason
    assert run.answer.tokens == tokens or (tokens is None and run.answer.tokens >= 14)
    assert len(run.answer.content) == 4 * run.answer.tokens
    messages = run.request.messages
    assert run.answer.content == expected_answer(messages, max_tokens)
    assert run.answer.content.startswith(
        prompt_digest(messages)[: 4 * run.answer.tokens]
    )


def test_a_lost_or_mixed_message_changes_the_answer():
    whole = [ChatMessage("user", "ab"), ChatMessage("user", "c")]
    others = [
        whole[1:],
        whole[::-1],
        [ChatMessage("user", "a"), ChatMessage("user", "bc")],
        [ChatMessage("assistant", "ab"), ChatMessage("user", "c")],
    ]
    answers = {expected_answer(messages, 50) for messages in [whole, *others]}
    assert len(answers) == 1 + len(others)


def test_prefill_in_chunks_then_one_token_a_step():
    clock = VirtualClock()
    run = submit(engine(clock), "r1", "x" * 44, answer_marker(3))  # 15 + 10 tokens
    clock.advance(100)
    # Two chunks of 10 (0.1 + 0.1 s), one of 5 (0.1 + 0.05 s), two more steps.
    assert run.first_token_at == pytest.approx(0.55)
    assert run.ended_at == pytest.approx(0.75)


def test_a_prefill_slows_those_who_decode():
    clock = VirtualClock()
    model = engine(clock)
    first = submit(model, "r1", answer_marker(11))
    clock.advance(0.2)  # first token
    submit(model, "r2", "y" * 144, answer_marker(1), program="p2")  # 40 + 10 tokens
    clock.advance(100)
    # Its 10 steps carry 5 chunks of 10 tokens, 0.1 s each.
    assert first.ended_at == pytest.approx(0.2 + 10 * 0.1 + 5 * 0.1)


def test_priority_overtakes_those_who_wait_not_those_who_run():
    clock = VirtualClock()
    model = engine(clock, replace(RATES, slots=1))
    names = [("r1", 5), ("r2", 5), ("r3", 1), ("r4", 5)]
    runs = [
        submit(model, name, answer_marker(5), program=name, priority=priority)
        for name, priority in names
    ]
    clock.advance(100)
    finished = sorted(runs, key=lambda run: run.ended_at)
    assert [run.request.request_id for run in finished] == ["r1", "r3", "r2", "r4"]


def test_memory_of_running_requests_makes_others_wait():
    clock = VirtualClock()
    model = engine(clock, replace(RATES, slots=9))
    runs = [  # 50 + 50 tokens each: 10 of 20 blocks
        submit(model, f"r{n}", "x" * 144, answer_marker(50), program=f"p{n}")
        for n in range(3)
    ]
    clock.advance(0.5)
    assert [run.state for run in runs] == [RunState.RUNNING] * 2 + [RunState.QUEUED]
    clock.advance(100)
    assert all(run.state is RunState.FINISHED for run in runs)


# what is asked, the refusal
REFUSALS = [
    (request("r1"), RefusalCode.DUPLICATE_REQUEST),
    (request("r2", epoch=1), RefusalCode.STALE_EPOCH),
    (replace(request("r2"), messages=()), RefusalCode.BAD_REQUEST),
    (replace(request("r2"), pool=PoolName("x")), RefusalCode.UNKNOWN_MODEL),
    (request("r2", "x" * 700, epoch=2), RefusalCode.CONTEXT_TOO_LONG),
]


@pytest.mark.parametrize(("asked", "code"), REFUSALS)
def test_a_refused_request_has_no_effect(asked, code):
    clock = VirtualClock()
    model = engine(clock, pools=(POOL,))
    submit(model, "r1", epoch=2)
    clock.advance(100)
    assert model.submit(asked).err_value.code is code
    clock.advance(100)
    assert model.counters.requests_accepted == 1
    assert model.status(RequestId("r2")).state is RunState.UNKNOWN


def test_an_ended_stream_is_kept_to_resume_and_its_id_for_good():
    clock = VirtualClock()
    model = engine(clock)
    run = submit(model, "r1", answer_marker(3))
    clock.advance(10)
    found = model.find(RequestId("r1"))
    whole = render_events(found, 0, found.events)
    assert whole.endswith(render_events(run, 2, 4))
    assert whole.count(b"id: ") == 4
    clock.advance(10)
    assert model.find(RequestId("r1")) is None
    refusal = model.submit(request("r1")).err_value
    assert refusal.code is RefusalCode.DUPLICATE_REQUEST


def test_a_run_that_ended_at_time_zero_is_dropped_like_others():
    clock = VirtualClock()
    model = engine(clock)
    submit(model, "r1")
    model.cancel(RequestId("r1"))
    clock.advance(10.1)
    assert model.find(RequestId("r1")) is None


def test_a_stream_without_a_reader_is_cancelled_after_a_while():
    clock = VirtualClock()
    model = engine(clock)
    run = submit(model, "r1", answer_marker(150), max_tokens=150)
    reader = Reader()
    model.attach(run, reader)
    model.break_streams()
    assert reader.broken == 1
    clock.advance(9.9)
    model.attach(run, reader)
    clock.advance(0.2)
    assert run.state is RunState.RUNNING
    model.detach(run, reader)
    clock.advance(8)
    assert run.state is RunState.FINISHED
    run = submit(model, "r2", answer_marker(150), max_tokens=150)
    model.detach(run, reader)
    clock.advance(9.9)
    assert run.state is RunState.RUNNING
    clock.advance(0.2)
    assert run.state is RunState.CANCELLED
    assert model.counters.requests_cancelled == 1
    assert model.batch.running == 0


def test_readers_hear_of_each_step_or_of_the_first_and_last():
    for steps_per_report, expected in ((1, [1, 2, 3, 4, 6]), (None, [1, 6])):
        clock = VirtualClock()
        model = engine(clock, steps_per_report=steps_per_report)
        reader = Reader()
        model.attach(submit(model, "r1", answer_marker(5)), reader)
        clock.advance(10)
        assert reader.progress == expected


def test_load_is_as_old_as_its_last_measurement():
    clock = VirtualClock()
    model = engine(clock)
    clock.advance(0.5)
    submit(model, "r1", answer_marker(8))
    assert (model.load().sequence, model.load().running) == (0, 0)
    clock.advance(0.6)
    load = model.load()
    assert (load.sequence, load.measured_at, load.running) == (1, 1.0, 1)
    clock.advance(0.6)
    assert model.load().running == 1
    clock.advance(0.4)
    assert model.load().running == 0


def test_cache_events_are_late_and_have_gaps():
    clock = VirtualClock()
    model = engine(clock, replace(RATES, cache_event_loss=0.5))
    for number in range(20):
        submit(model, f"r{number}", answer_marker(1), program=f"p{number}")
        clock.advance(0.5)
        assert model.cache_events(model.events.read(99, 0, 99).next, 9).events == ()
    clock.advance(1)
    events = model.cache_events(0, 100).events
    assert 0 < len(events) < 20
    numbers = [event.sequence for event in events]
    assert numbers == sorted(set(numbers))
    page = model.cache_events(0, 3)
    assert page.events == events[:3]
    assert model.cache_events(page.next, 100).events == events[3:]
    model.restart()
    assert model.cache_events(numbers[-1], 100).next == 0


def test_a_restart_forgets_everything_but_its_counters():
    clock = VirtualClock()
    model = engine(clock)
    submit(model, "r1", answer_marker(1), epoch=5)
    clock.advance(5)
    run, reader = submit(model, "r2", answer_marker(50), program="p2"), Reader()
    model.attach(run, reader)
    clock.advance(1)
    model.restart()
    assert reader.broken == 1
    assert model.cached_programs() == ()
    assert model.cache.free_blocks == 20
    assert model.status(RequestId("r2")).state is RunState.UNKNOWN
    again = submit(model, "r1", answer_marker(2), epoch=1)
    clock.advance(5)
    assert again.state is RunState.FINISHED
    assert model.counters.requests_lost == 1
    assert model.counters.tokens_lost_unused > 0


def test_leaving_is_announced_and_late_work_is_counted():
    clock = VirtualClock()
    model = engine(clock)
    model.leave()
    clock.advance(3)
    submit(model, "r1")
    assert model.load().state is MachineState.LEAVING
    assert model.counters.requests_accepted_leaving == 1
    assert model.counters.last_accepted_leaving_seconds == 3


def test_an_application_engine_counts_each_accepted_request_once():
    clock = VirtualClock()
    model = application_engine(clock)
    submit(model, "r1", answer_marker(2))
    model.submit(request("r1", answer_marker(2)))
    submit(model, "r2", answer_marker(2))
    model.cancel(RequestId("r2"))
    clock.advance(5)
    assert model.side_effects == {"r1": P1, "r2": P1}
    assert model.counters.side_effects == 2
    model.restart()
    assert model.counters.side_effects == len(model.side_effects) == 2
    assert model.cached_programs() == ()


def order(name, kind, epoch=1, argument=""):
    return EngineOrder(RequestId(name), Epoch(epoch), kind, argument)


def test_orders_are_fenced_and_repeats_are_harmless():
    clock = VirtualClock()
    model = engine(clock, pools=(POOL,))
    orders = model.orders
    assert orders.apply(order("o1", OrderKind.DRAIN, 2)) == Ok(None)
    assert model.submit(request("r1")).err_value.code is RefusalCode.DRAINING
    stale = orders.apply(order("o2", OrderKind.UNDRAIN, 1))
    assert stale.err_value.code is RefusalCode.STALE_EPOCH
    assert orders.apply(order("o3", OrderKind.UNDRAIN, 2)) == Ok(None)
    assert orders.apply(order("o1", OrderKind.DRAIN, 1)) == Ok(None)
    assert not orders.drained
    orders.apply(order("o4", OrderKind.LOAD_MODEL, 2, "other"))
    orders.apply(order("o5", OrderKind.LOAD_ADAPTER, 2, "adapter"))
    orders.apply(order("o6", OrderKind.SET_ROLE, 2, "prefill"))
    assert orders.pools == (POOL,)
    clock.advance(5)
    assert (orders.pools, orders.adapters) == ((POOL, "other"), ("adapter",))
    assert orders.role == "prefill"


def test_a_moved_prefix_needs_no_second_prefill():
    clock = VirtualClock()
    source, target = engine(clock), engine(clock)
    first = submit(source, "r1", answer_marker(6))
    clock.advance(5)
    replies = []
    source.transfers.export(P1).addCallback(replies.append)
    clock.advance(0.15)
    assert replies == []
    clock.advance(0.05)  # 16 tokens at 100 a second
    exported = replies.pop().ok_value
    imported = target.transfers.import_from(P1, source.transfers, exported.handle)
    imported.addCallback(replies.append)
    clock.advance(0.2)
    assert replies == [Ok(16)]
    history = (*first.request.messages, ChatMessage("assistant", first.answer.content))
    question = ChatMessage("user", answer_marker(1))
    call = replace(request("r2"), messages=(*history, question))
    assert target.submit(call).ok_value.prompt_tokens == 30
    clock.advance(5)
    assert target.counters.tokens_cached == 16
    assert target.counters.tokens_prefilled == 14
    wrong = target.transfers.import_from(
        ProgramId("p2"), source.transfers, exported.handle
    )
    wrong.addCallback(replies.append)
    assert replies[-1].err_value.code is RefusalCode.NOTHING_HELD
