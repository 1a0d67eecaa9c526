"""Programs drawn from a seed, their work, and a pool's capacity.

Capacity: an engine with all slots busy gives `slots` tokens in each step of
`step_time(slots, 0)`; each prompt token that is computed once costs
`1 / prefill_tokens_per_second` on top. So a program's work, in seconds of one
engine, is its new prompt tokens at the prefill rate plus its answer tokens at that
full-batch rate, and a pool of n engines has a capacity of n seconds a second. This
is an upper bound: it takes every prefix as cached and no slot as ever idle.
"""

from random import Random

import attrs

from emulator.engine.answers import MESSAGE_OVERHEAD_TOKENS
from emulator.engine.rates import EngineRates
from experiments.simulation.workload import Range, ServiceSection, Workload

SAMPLE_PROGRAMS = 400
SAMPLE_SEED = 7
CHILD_LIMIT = 2
ENDLESS_TURNS = 1_000_000


@attrs.frozen
class Turn:
    """A call: new prompt tokens, answer tokens, and the pause after it."""

    prompt_tokens: int
    answer_tokens: int
    pause_seconds: float
    children: tuple["ProgramPlan", ...] = ()
    """Sub-agents that run during the pause; the next turn awaits them, too."""


@attrs.frozen
class ProgramPlan:
    """What one program will do; the policies never see it."""

    service: ServiceSection
    turns: tuple[Turn, ...]
    endless: bool = False

    def work_seconds(self, rates: EngineRates) -> float:
        """Give the engine time that the program and its children need."""
        answer_token = rates.step_time(rates.slots, 0) / rates.slots
        return sum(
            turn.prompt_tokens / rates.prefill_tokens_per_second
            + turn.answer_tokens * answer_token
            + sum(child.work_seconds(rates) for child in turn.children)
            for turn in self.turns
        )

    def least_seconds(self, rates: EngineRates) -> float:
        """Give the latency in an empty system with a cached history."""
        total = 0.0
        for position, turn in enumerate(self.turns):
            total += turn.prompt_tokens / rates.prefill_tokens_per_second
            total += turn.answer_tokens * rates.step_time(1, 0)
            if position < len(self.turns) - 1:
                children = [child.least_seconds(rates) for child in turn.children]
                total += max([turn.pause_seconds, *children])
        return total

    def tool_seconds(self) -> float:
        """Give the time of the program's own pauses before its last call."""
        return sum(turn.pause_seconds for turn in self.turns[:-1])


def draw_program(
    service: ServiceSection, chance: Random, *, depth: int = 0
) -> ProgramPlan:
    """Draw a program; only one of depth 0 has children."""
    if service.endless_programs:
        turn = _draw_turn(service, chance, first=False, may_spawn=False)
        return ProgramPlan(service, (turn,), endless=True)
    count = _whole(service.turns if depth == 0 else service.child_turns, chance)
    turns = tuple(
        _draw_turn(
            service,
            chance,
            first=position == 0,
            may_spawn=depth == 0 and position < count - 1,
        )
        for position in range(count)
    )
    return ProgramPlan(service, turns)


def work_per_program(service: ServiceSection, workload: Workload) -> float:
    """Estimate the mean work of a service's programs from a fixed sample."""
    chance = Random(SAMPLE_SEED)
    rates = workload.rates_of(service.pool)
    work = sum(
        draw_program(service, chance).work_seconds(rates)
        for _ in range(SAMPLE_PROGRAMS)
    )
    return work / SAMPLE_PROGRAMS


def programs_per_second(
    service: ServiceSection, workload: Workload, load: float
) -> float:
    """Give the arrival rate at which a service offers its part of a load."""
    if service.endless_programs or not service.work_part:
        return 0.0
    capacity = workload.engines_of(service.pool)
    return load * capacity * service.work_part / work_per_program(service, workload)


def _draw_turn(
    service: ServiceSection, chance: Random, *, first: bool, may_spawn: bool
) -> Turn:
    prompt = _whole(
        service.first_prompt_tokens if first else service.prompt_tokens, chance
    )
    answer = _whole(service.answer_tokens, chance)
    pause = chance.uniform(*service.pause_seconds)
    if service.hang_chance and chance.random() < service.hang_chance:
        pause = service.hang_seconds
    children: tuple[ProgramPlan, ...] = ()
    if may_spawn and service.child_chance and chance.random() < service.child_chance:
        children = tuple(
            draw_program(service, chance, depth=1)
            for _ in range(chance.randint(1, CHILD_LIMIT))
        )
    return Turn(prompt + MESSAGE_OVERHEAD_TOKENS, answer, pause, children)


def _whole(bounds: Range, chance: Random) -> int:
    return chance.randint(int(bounds[0]), int(bounds[1]))
