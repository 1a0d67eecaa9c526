"""Measures the processor time of relaying one streamed token and one short call.

Each way of relaying runs in a process of its own; so do the engine and the load.
Only the relay's own processor time counts. Calls of one token give the time of a
call; what longer answers take beyond it, over their tokens, gives that of a token.
"""

from collections.abc import Callable

import attrs
import msgspec

from experiments.relay_children import ChildServer, child_server, run_child
from experiments.relay_load import LoadResult

WAYS = ("plain", "client", "gateway")
"""The names of `experiments.relay_ways`, which is imported by the relay only."""

LOAD_TIMEOUT_SECONDS = 120.0
WARM_UP_CALLS = 5
SHORT_TOKENS = 1


class RelayLoad(msgspec.Struct, frozen=True):
    """The size of the load: every number is bounded by the command line."""

    streams: int = 200
    tokens: int = 200
    token_seconds: float = 0.025
    short_calls: int = 10
    """Calls of one token on each connection."""


class RelayCost(msgspec.Struct, frozen=True):
    """What one way of relaying took, microseconds of its processor time."""

    way: str
    microseconds_per_token: float
    microseconds_per_call: float
    tokens: int
    calls: int
    tokens_per_second: float
    wrong_answers: int


@attrs.frozen
class _Measured:
    processor_seconds: float
    load: LoadResult


def measure_all(
    load: RelayLoad, rounds: int, on_cost: Callable[[RelayCost], None]
) -> tuple[RelayCost, ...]:
    """Measure all ways in turn, `rounds` times, so that all meet the same machine."""
    costs = []
    for _ in range(rounds):
        for way in WAYS:
            cost = measure(way, load)
            on_cost(cost)
            costs.append(cost)
    return tuple(costs)


def measure(way: str, load: RelayLoad) -> RelayCost:
    """Measure one way of relaying in a new process."""
    with (
        child_server("experiments.relay_engine", str(load.token_seconds)) as engine,
        child_server("experiments.relay_process", way, engine.address) as relay,
    ):
        _run(relay, load.streams, SHORT_TOKENS, WARM_UP_CALLS)
        short = _run(relay, load.streams, SHORT_TOKENS, load.short_calls)
        long = _run(relay, load.streams, load.tokens, 1)
    return _cost(way, short, long)


def _cost(way: str, short: _Measured, long: _Measured) -> RelayCost:
    call_seconds = short.processor_seconds / short.load.calls
    token_seconds = (long.processor_seconds - call_seconds * long.load.calls) / (
        long.load.tokens - long.load.calls
    )
    return RelayCost(
        way,
        token_seconds * 1e6,
        call_seconds * 1e6,
        long.load.tokens,
        short.load.calls,
        long.load.tokens / long.load.seconds,
        short.load.wrong_answers + long.load.wrong_answers,
    )


def _run(relay: ChildServer, streams: int, tokens: int, calls: int) -> _Measured:
    before = relay.processor_seconds()
    output = run_child(
        "experiments.relay_load",
        relay.address,
        *map(str, (streams, tokens, calls)),
        timeout_seconds=LOAD_TIMEOUT_SECONDS,
    )
    result = msgspec.json.decode(output, type=LoadResult)
    return _Measured(relay.processor_seconds() - before, result)
