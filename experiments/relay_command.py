"""`notcharch experiment relay`: the processor time of relaying a token and a call."""

import argparse
import os
import statistics
import sys

from experiments.relay_benchmark import WAYS, RelayCost, RelayLoad, measure_all
from notcharch.cli.command import CommandSpec
from notcharch.cli.exit_codes import DONE, FAILED

DEFAULT_ROUNDS = 3
EXAMPLES = """Starts an engine, a relay and a load, each a process of its own, on 127.0.0.1.
Figures are the relay's own processor time; compare ways of one run only, since a
busy machine makes all of them dearer.

examples:
  notcharch experiment relay
  notcharch experiment relay --rounds 1 --streams 50 --tokens 100
"""


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the options."""
    standard = RelayLoad()
    parser.epilog = EXAMPLES
    parser.add_argument(
        "--rounds", type=int, default=DEFAULT_ROUNDS, help="times each way is measured"
    )
    parser.add_argument(
        "--streams", type=int, default=standard.streams, help="streams at once"
    )
    parser.add_argument(
        "--tokens", type=int, default=standard.tokens, help="tokens of a long answer"
    )
    parser.add_argument(
        "--token-seconds",
        type=float,
        default=standard.token_seconds,
        help="time between two tokens of a stream, seconds",
    )


def run(arguments: argparse.Namespace) -> int:
    """Measure and print; exit status 1 when an answer was wrong."""
    load = RelayLoad(
        streams=arguments.streams,
        tokens=arguments.tokens,
        token_seconds=arguments.token_seconds,
    )
    sys.stdout.write(f"load of the machine before: {os.getloadavg()[0]:.1f}\n")
    costs = measure_all(load, arguments.rounds, _print_cost)
    sys.stdout.write("medians\n")
    for way in WAYS:
        _print_median(way, [cost for cost in costs if cost.way == way])
    return FAILED if any(cost.wrong_answers for cost in costs) else DONE


def _print_cost(cost: RelayCost) -> None:
    sys.stdout.write(
        f"{_line(cost.way, cost.microseconds_per_token, cost.microseconds_per_call)}, "
        f"{cost.tokens} tokens at {cost.tokens_per_second:.0f}/s, "
        f"{cost.calls} calls, {cost.wrong_answers} wrong answers\n"
    )
    sys.stdout.flush()


def _print_median(way: str, costs: list[RelayCost]) -> None:
    token = statistics.median(cost.microseconds_per_token for cost in costs)
    call = statistics.median(cost.microseconds_per_call for cost in costs)
    sys.stdout.write(f"{_line(way, token, call)}\n")


def _line(way: str, token: float, call: float) -> str:
    return f"{way:8} {token:6.1f} us/token {call:7.0f} us/call"


COMMAND = CommandSpec(
    name="relay",
    summary="processor time of relaying one streamed token and one short call",
    configure=configure,
    run=run,
)
