"""After a final fault, a new program goes on from a turn with a long chain.

See `claim.txt`. The turns of the chain have 80,000 bytes each, so that each is stored in a
record within the store's limit, and the whole chain is longer than one record may be.
"""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import CannotRunError, Deployment, Record, play  # noqa: E402
from programs import KEPT_ROUTE, Program, Turn  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DAEMONS = 3
LONG_TURNS = 4
LONG_INPUT_BYTES = 80_000
SHORT_INPUT_BYTES = 500
DOWN_SECONDS = 1.0
RECOVERY_SECONDS = 12.0
LAST_SECONDS = 4.0
SERVED_SHARE = 0.8
NO_SUCH_TURN = (404, 410)
MANY = 1000


def text_of(name: str, size: int) -> bytes:
    """Return some input."""
    line = f"{name} says this; ".encode()
    return (line * (size // len(line) + 1))[:size]


async def earlier_program(
    deployment: Deployment, record: Record, name: str, turns: int, size: int
) -> Program:
    """Run a program whose turns are all answered whole."""
    program = Program(deployment, record, name)
    for number in range(turns):
        turn = await program.turn(text_of(f"{name}.{number}", size), seconds=10)
        if not turn.answered:
            message = f"{name} was not served before the fault"
            raise CannotRunError(message)
    return program


async def final_fault(deployment: Deployment, record: Record) -> None:
    """Kill all daemons, and start them again."""
    for daemon in deployment.daemons:
        daemon.end()
    record.line("all daemons were killed")
    await asyncio.sleep(DOWN_SECONDS)
    for daemon in deployment.daemons:
        daemon.note_first_start()
        daemon.start()
    record.line("all daemons were started again")


def returning(
    deployment: Deployment, record: Record, earlier: Program, name: str
) -> Program:
    """Return who goes on: after the fault a new program, else the same one."""
    if not HAS_TROUBLE:
        return earlier
    program = Program(deployment, record, name, earlier.chain)
    return program.go_on_from(earlier.last)


async def other_turns(
    deployment: Deployment, record: Record, earlier: Program, name: str, until: float
) -> list[Turn]:
    """Let a program with a short chain go on, and then new ones begin."""
    again = returning(deployment, record, earlier, f"{name}-again")
    turns = [await again.turn(text_of(again.name, SHORT_INPUT_BYTES), seconds=6)]
    number = 0
    while time.monotonic() < until:
        number += 1
        program = Program(deployment, record, f"{name}-{number}")
        for _ in range(2):
            new_input = text_of(program.name, SHORT_INPUT_BYTES)
            turns.append(await program.turn(new_input, seconds=3))
        await asyncio.sleep(0.05)
    return turns


def is_rule_kept(
    deployment: Deployment, record: Record, turn: Turn, others: list[Turn], end: float
) -> bool:
    """Judge the turn with the long chain by the rule LOST."""
    runs = [run for name in turn.tries for run in deployment.runs.get(name, [])]
    lost = [other.tries[0] for other in others if not other.answered]
    record.line(f"of {len(others)} other turns, not answered whole: {lost}")
    last = [other for other in others if end - LAST_SECONDS <= other.began < end]
    served = sum(bool(other.answered) for other in last) / max(len(last), 1)
    record.line(
        f"the turn after {turn.previous}: {len(turn.tries)} tries, answers"
        f" {sorted(set(turn.statuses))}, {len(runs)} runs; of {len(last)} other turns"
        f" of the last {LAST_SECONDS:.0f} s, {served:.2f} were served"
    )
    if any(run.body != turn.expected_body for run in runs):
        record.line("an engine got another body than the chain and the new input")
        return False
    if set(turn.statuses) & set(NO_SUCH_TURN):
        return False
    return bool(runs) or served < SERVED_SHARE


async def case(folder: Path, record: Record) -> bool:
    """Play the case."""
    deployment = Deployment(folder, record, daemons=DAEMONS)
    try:
        await deployment.start([KEPT_ROUTE])
        long = await earlier_program(
            deployment, record, "long", LONG_TURNS, LONG_INPUT_BYTES
        )
        short = [
            await earlier_program(
                deployment, record, f"short-{n}", 2, SHORT_INPUT_BYTES
            )
            for n in range(4)
        ]
        record.line(f"the chain of {long.last} has {len(long.chain)} bytes")
        if HAS_TROUBLE:
            await final_fault(deployment, record)
        end = time.monotonic() + RECOVERY_SECONDS
        again = returning(deployment, record, long, "long-again")
        new_input = text_of(again.name, SHORT_INPUT_BYTES)
        others = [
            asyncio.create_task(
                other_turns(deployment, record, program, f"other-{n}", end)
            )
            for n, program in enumerate(short)
        ]
        turn = await again.turn(new_input, seconds=RECOVERY_SECONDS, most=MANY)
        other = [turn for turns in await asyncio.gather(*others) for turn in turns]
        record.line(f"the store counted {await deployment.counts()}")
        return is_rule_kept(deployment, record, turn, other, end)
    finally:
        deployment.end()


if __name__ == "__main__":
    sys.exit(play(FOLDER, case))
