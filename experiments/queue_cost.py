"""Measures what the queue of an engine, its steward and a choice cost in processor time.

`python -m experiments.queue_cost` prints microseconds an operation with 10, 1,000 and
100,000 waiting calls, and the bytes of a waiting call. Each figure is the least of
several rounds: the others only have more of somebody else's work in them.
"""

import argparse
import gc
import random
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from notcharch.clients.ports import EngineLoad, MachineState
from notcharch.engines.steward_state import StewardState
from notcharch.engines.waiting_calls import WaitingCall, WaitingCalls
from notcharch.scheduling.breaker import BreakerPolicy
from notcharch.scheduling.calls import CallKey, OrderPolicy, QueuedCall
from notcharch.scheduling.engine_choice import ChoicePolicy, EngineOption
from notcharch.scheduling.engine_chooser import (
    AskForGrant,
    AskForQuotes,
    EngineChooser,
)
from notcharch.scheduling.engine_pool import EnginePool
from notcharch.scheduling.fair_queue import FairQueue
from notcharch.values.chat import TokenUsage
from notcharch.values.identifiers import (
    AttemptNumber,
    CallSequence,
    DaemonName,
    EngineName,
    Epoch,
    Incarnation,
    Member,
    ProgramId,
    ServiceName,
)
from notcharch.wire.messages.engines import CallGranted, EnqueueCall

WAITING = (10, 1_000, 100_000)
SERVICES = 320
OPERATIONS = 2_000
ROUNDS = 5
ENGINE = EngineName("engine-1")
GATEWAY = Member(DaemonName("daemon-1"), Incarnation(1))
MICROSECONDS = 1e6


class Figures(msgspec.Struct, frozen=True):
    """Microseconds of each operation at one length of the queue."""

    waiting: int
    enqueue: float
    grant: float
    cancel: float
    calls_ahead: float
    review: float
    """A look at every call whether it will be granted in time, per call."""


def calls(count: int, chance: random.Random) -> list[QueuedCall]:
    """Draw calls of many services, shares, priorities and programs."""
    return [_call(number, chance) for number in range(count)]


def _call(number: int, chance: random.Random) -> QueuedCall:
    service = chance.randrange(SERVICES)
    return QueuedCall(
        key=CallKey(
            ProgramId(f"region1-3f-{number:016x}"), CallSequence(1), AttemptNumber(1)
        ),
        service=ServiceName(f"service-{service}"),
        share=1.0 + service % 4,
        priority=service % 10,
        attained_tokens=chance.randrange(850_000),
        begun=chance.random() < 0.9,
        cost_tokens=chance.randrange(64, 8_192),
        enqueued_at=number * 0.001,
    )


def least_microseconds(
    prepare: Callable[[], Callable[[], int]], rounds: int = ROUNDS
) -> float:
    """Give microseconds an operation; what `prepare` gives runs and counts them."""
    least = float("inf")
    for _ in range(rounds):
        run = prepare()
        gc.collect()
        gc.disable()
        began = time.process_time()
        operations = run()
        seconds = time.process_time() - began
        gc.enable()
        least = min(least, seconds / operations)
    return least * MICROSECONDS


def filled_queue(waiting: int) -> FairQueue:
    """Build a queue of so many calls."""
    queue = FairQueue(OrderPolicy())
    for call in calls(waiting, random.Random(1)):
        queue.enqueue(call)
    return queue


def _fresh(waiting: int) -> list[QueuedCall]:
    """Give calls that are not in `filled_queue(waiting)`."""
    return calls(waiting + OPERATIONS, random.Random(2))[waiting:]


def measure_queue(waiting: int) -> Figures:
    """Measure every operation of the queue at one length."""
    return Figures(
        waiting,
        enqueue=_measure(waiting, lambda queue, call: queue.enqueue(call), added=False),
        grant=_measure(waiting, lambda queue, call: queue.grant(), added=True),
        cancel=_measure(
            waiting, lambda queue, call: queue.cancel(call.key), added=True
        ),
        calls_ahead=_measure(
            waiting, lambda queue, call: queue.calls_ahead(call), added=False
        ),
        review=review_microseconds(waiting),
    )


def _measure(
    waiting: int, operate: Callable[[FairQueue, QueuedCall], object], *, added: bool
) -> float:
    """Measure an operation, with the calls it is about already `added` or not."""

    def prepare() -> Callable[[], int]:
        queue, fresh = filled_queue(waiting), _fresh(waiting)
        for call in fresh if added else ():
            queue.enqueue(call)

        def run() -> int:
            for call in fresh:
                operate(queue, call)
            return len(fresh)

        return run

    return least_microseconds(prepare)


def review_microseconds(waiting: int) -> float:
    """Measure a look at every call, in the only case in which each is looked at."""

    def prepare() -> Callable[[], int]:
        waiting_calls = filled_waiting_calls(waiting)

        def run() -> int:
            kept = waiting_calls.hopeless(_longer_than_allowed, 0.0)
            assert len(kept) == waiting
            return waiting

        return run

    return least_microseconds(prepare)


def _longer_than_allowed(calls_ahead: float) -> float:
    return 1_000.0 + calls_ahead


def request(number: int, chance: random.Random) -> EnqueueCall:
    """Build the request of a drawn call."""
    call = _call(number, chance)
    return EnqueueCall(
        engine=ENGINE,
        program=call.key.program,
        sequence=call.key.sequence,
        attempt=call.key.attempt,
        service=call.service,
        gateway=GATEWAY,
        share=call.share,
        priority=call.priority,
        attained_tokens=call.attained_tokens,
        prompt_tokens=4_000,
        cached_tokens=3_000,
        max_tokens=1_000,
        defer_above_seconds=1e9,
        give_up_seconds=60.0,
        begun=call.begun,
    )


def filled_waiting_calls(waiting: int) -> WaitingCalls:
    """Build a queue with requests and deadlines."""
    waiting_calls = WaitingCalls(OrderPolicy())
    for call in calls(waiting, random.Random(1)):
        waiting_calls.add(WaitingCall(call, request(0, random.Random(3)), 60.0))
    return waiting_calls


def steward_microseconds() -> float:
    """Measure enqueue, grant and return of one call at a steward with 128 slots."""

    def prepare() -> Callable[[], int]:
        state = _steward()
        requests = [request(number, random.Random(1)) for number in range(OPERATIONS)]

        def run() -> int:
            now = 0.0
            for one in requests:
                now += 0.1
                (answer,) = state.enqueue(one, now)
                granted = answer.reply
                assert isinstance(granted, CallGranted)
                usage = TokenUsage(4_000, 200, 3_000)
                state.take_back(granted.grant, usage, succeeded=True, now=now)
            return len(requests)

        return run

    return least_microseconds(prepare)


def _steward() -> StewardState:
    state = StewardState(
        engine=ENGINE,
        instance="1",
        address="127.0.0.1:1",
        slots=128,
        queue_limit=200_000,
        order_policy=OrderPolicy(),
        breaker_policy=BreakerPolicy(),
    )
    state.set_epoch(Epoch(1), 0.0)
    report = EngineLoad(
        sequence=1,
        measured_at=0.0,
        running=0,
        waiting=0,
        slots=128,
        free_blocks=1,
        total_blocks=1,
        block_tokens=64,
        prefill_tokens_per_second=50_000.0,
        decode_seconds_per_token=0.04,
        state=MachineState.LIVE,
    )
    state.learn_load(report, 0.0)
    return state


def choice_microseconds(engines: int) -> float:
    """Measure the choice for a new program: sample, two quotes, cheapest."""
    pool = EnginePool(EngineName(f"engine-{number}") for number in range(engines))
    chance = random.Random(1)

    def prepare() -> Callable[[], int]:
        def run() -> int:
            for _ in range(OPERATIONS):
                _choose(pool, chance)
            return OPERATIONS

        return run

    return least_microseconds(prepare)


def _choose(pool: EnginePool, chance: random.Random) -> None:
    chooser = EngineChooser(
        prompt_tokens=4_000,
        cached_tokens=0,
        holder=None,
        prefill_tokens_per_second=50_000.0,
        policy=ChoicePolicy(),
        chance=chance,
    )
    quotes = chooser.next_step(pool)
    assert isinstance(quotes, AskForQuotes)
    for engine in quotes.engines:
        chooser.learn_quote(EngineOption(engine, chance.random(), 50_000.0))
    assert isinstance(chooser.next_step(pool), AskForGrant)


def bytes_a_waiting_call(waiting: int) -> float:
    """Measure the memory of a waiting call with its request and deadline."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = WaitingCalls(OrderPolicy())

    chance = random.Random(1)
    for number in range(waiting):
        kept.add(
            WaitingCall(_call(number, chance), request(number, chance), 60.0 + number)
        )
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / len(kept)


def main() -> int:
    """Measure and print."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    print(
        "| waiting calls | enqueue µs | grant µs | cancel µs | ahead µs | review µs |"
    )
    print("|---|---|---|---|---|---|")
    for waiting in WAITING:
        figures = measure_queue(waiting)
        print(
            f"| {waiting} | {figures.enqueue:.1f} | {figures.grant:.1f} "
            f"| {figures.cancel:.1f} | {figures.calls_ahead:.1f} "
            f"| {figures.review:.1f} |"
        )
    print(f"\nsteward, enqueue + grant + return: {steward_microseconds():.1f} µs")
    for engines in (6, 340, 2_700):
        print(f"choice among {engines} engines: {choice_microseconds(engines):.1f} µs")
    print(f"a waiting call: {bytes_a_waiting_call(10_000):.0f} bytes")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
