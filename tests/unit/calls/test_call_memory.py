"""Calls under way hold bodies, histories and outputs: within a bound, refused unrun above it.

Without it, a hundred bodies of 4 MiB whose engines are slow took three times the memory of
the smallest machine: only bodies that are still being read were counted.
"""

from notcharch.calls.call_lifecycle import CALL_BYTES, RESERVED_CALLS_BYTES
from notcharch.calls.interface import NO_MEMORY
from notcharch.calls.waiting_output import STORED_COPIES
from notcharch.http.buffered_bytes import BufferedBytes
from notcharch.values.memory_pool import MemoryPool
from tests.unit.calls.world import World

MEGABYTE = 1024 * 1024
BODY = b"x" * MEGABYTE
EVENT = b"data: " + b"a" * 1000 + b"\n\n"


class Storing:
    """An admission whose ticket never learns that a turn is durable."""

    cached_engine = ""
    granted_events = None

    def __init__(self) -> None:
        self.output = None
        self.listener = None
        self.ended = []

    def request(self, call, route, listener):
        self.listener = listener
        listener.admitted(self, call.body)

    def watch_grant(self, grown):
        pass

    def relayed(self, events, waiting):
        pass

    def engine_started(self, engine_id):
        pass

    def never_ran(self):
        self.ended.append("never ran")

    def interrupted(self, events):
        self.ended.append(events)

    def completed(self, output, events, then):
        self.output = output


def test_a_call_holds_its_body_until_it_ends():
    held = MemoryPool(4 * MEGABYTE).holder("calls")
    world = World(held=held, body=BODY)
    assert MEGABYTE + CALL_BYTES <= held.held < MEGABYTE + 2 * CALL_BYTES
    world.sent[0].respond(200, b"done")
    assert held.held == 0


def test_a_call_without_room_is_refused_before_it_runs():
    held = MemoryPool(4 * MEGABYTE).holder("calls")
    running = [World(held=held, body=BODY) for _ in range(3)]
    refused = World(held=held, body=BODY)
    assert refused.reply.refusal == NO_MEMORY
    assert (refused.reply.refusal.status, refused.sent) == (503, [])
    assert NO_MEMORY.retry_after_seconds is not None
    assert held.refused == 1
    running[0].sent[0].respond(200, b"done")
    assert World(held=held, body=BODY).sent, "there is room again"


def test_small_calls_run_while_others_fill_the_pool():
    pool = MemoryPool(4 * MEGABYTE)
    held = pool.holder("calls", 0.6, RESERVED_CALLS_BYTES)
    pool.holder("turns", 2.0).change(8 * MEGABYTE)
    running = [World(held=held) for _ in range(60)]
    assert all(world.sent for world in running)
    assert World(held=held, body=BODY).reply.refusal == NO_MEMORY
    for world in running:
        world.sent[0].respond(200, b"done")
    assert held.held == 0
    assert World(held=held).sent


def test_a_call_that_its_caller_left_holds_nothing():
    held = MemoryPool(4 * MEGABYTE).holder("calls")
    world = World(held=held, body=BODY)
    world.lifecycle._caller_disconnected()
    world.clock.advance(10.0)
    assert held.held == 0


def test_turns_before_a_call_are_held_with_it():
    held = MemoryPool(4 * MEGABYTE).holder("calls")
    world = World(held=held)
    assert world.lifecycle.reserve_memory(3 * MEGABYTE)
    assert not world.lifecycle.reserve_memory(2 * MEGABYTE)
    world.sent[0].respond(200, b"done")
    assert held.held == 0


def stored_stream(answers, events):
    admission = Storing()
    world = World(
        admission=admission, is_stream=True, stores_turns=True, answers=answers
    )
    sent = world.sent[0]
    sent.begin()
    for _ in range(events):
        sent.listener.data_received(EVENT)
    sent.listener.completed()
    assert admission.output == EVENT * events
    return world


def test_an_output_is_counted_until_its_turn_is_durable():
    """In an outage of the store each stream that ended waits for it with its output."""
    answers = BufferedBytes(MEGABYTE)
    world = stored_stream(answers, 10)
    assert answers.total == STORED_COPIES * 10 * len(EVENT)
    world.lifecycle.durable()
    assert answers.total == 0
    assert world.reply.end == "finished"


def test_of_the_outputs_that_wait_the_largest_is_given_up_above_the_bound():
    answers = BufferedBytes(MEGABYTE)
    large = stored_stream(answers, 300)
    small = [stored_stream(answers, 30) for _ in range(3)]
    large.clock.advance(0)
    assert large.reply.end == "aborted"
    assert not any(world.reply.end for world in small)
    assert answers.total == 3 * STORED_COPIES * 30 * len(EVENT)
