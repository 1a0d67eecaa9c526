"""Programs whose owners are lost: never more than the budget, and no refusal for good."""

import pytest

from emulator.services.partitioned_log import Trouble
from notcharch.calls.interface import BUDGET_SPENT
from tests.unit.accounts.steps import assert_out_of_budget, spend
from tests.unit.accounts.world import EVENT_TOKENS, World

MOST_TOKENS = 570
TURN_TOKENS = 100
OUTPUT = b"data: out\n\n" * (TURN_TOKENS // EVENT_TOKENS)
BUDGETS = [900, 1500, 2400, 4600]
SETTLE_SECONDS = 12.0
"""Within `recovery_s` a program is served again."""


def lose_all(world: World) -> None:
    world.restart_all(1.0)


def lose_owner(world: World) -> None:
    name = world.owner("p")
    world.crash(name)
    world.run(3.0)
    world.start(name)
    world.run(1.0)


LOSSES = [lose_all, lose_owner]
each_build = pytest.mark.parametrize("is_older", [False, True])
"""Whether the gateways' calls are granted as a whole, as those of older builds."""


class KeptProgram:
    """A program whose turns are kept, and what engines generated for it."""

    def __init__(self, world: World, budget: int) -> None:
        self.world = world
        self.budget = budget
        self.generated = 0
        self.previous = ""

    def ask(self, at: int = 0):
        """Ask for the next turn, again after a while if it is refused for now."""
        until = self.world.clock.seconds() + SETTLE_SECONDS
        while True:
            call = self.world.call(
                "p",
                budget=self.budget,
                token_limit=MOST_TOKENS,
                previous=self.previous,
            )
            listener = self.world.wait_for_decision(call, at, stores_turns=True)
            is_over = self.world.clock.seconds() >= until
            if listener.ticket is not None or is_over:
                return call, listener
            if listener.refusal == BUDGET_SPENT:
                return call, listener
            self.world.run(0.5)

    def turn(self) -> bool:
        """Make a whole turn; return whether it was served."""
        call, listener = self.ask()
        if listener.ticket is None:
            return False
        self.generated += TURN_TOKENS
        listener.ticket.completed(OUTPUT, OUTPUT.count(b"\n\n"), listener)
        self.world.run(0.5)
        assert listener.is_durable
        self.previous = call.id
        return True

    @property
    def has_budget(self) -> bool:
        """Whether the next turn fits, whatever it generates."""
        return self.generated + MOST_TOKENS <= self.budget


@each_build
@pytest.mark.parametrize("lose", LOSSES)
@pytest.mark.parametrize("budget", BUDGETS)
@pytest.mark.parametrize("losses", [1, 2, 3, 6])
def test_a_program_whose_use_leaves_enough_is_served_after_each_loss(
    losses, budget, lose, is_older
):
    """Guards against 402 for good after losses between the turns (review case 7)."""
    world = World(is_older=is_older)
    program = KeptProgram(world, budget)
    assert program.turn()
    for _ in range(losses):
        lose(world)
        if not program.has_budget:
            break
        assert program.turn()
    while program.turn():
        assert program.generated <= budget + MOST_TOKENS
    assert not program.has_budget


@each_build
@pytest.mark.parametrize("lose_before", LOSSES)
@pytest.mark.parametrize("budget", BUDGETS)
@pytest.mark.parametrize("events", [0, 1, 10, MOST_TOKENS // EVENT_TOKENS])
def test_a_program_goes_on_after_its_owner_was_lost_in_a_turn(
    events, budget, lose_before, is_older
):
    """The bound was written, the call sent, some events passed: then all daemons end."""
    world = World(is_older=is_older)
    program = KeptProgram(world, budget)
    assert program.turn()
    lose_before(world)
    assert program.turn()
    _, listener = program.ask()
    assert listener.ticket is not None
    program.generated += listener.relayed(events) * EVENT_TOKENS
    lose_all(world)
    if program.has_budget:
        assert program.turn()
    while program.turn():
        assert program.generated <= budget + MOST_TOKENS
    _, listener = program.ask()
    assert_out_of_budget(listener.refusal, program.generated, budget, MOST_TOKENS)


@each_build
@pytest.mark.parametrize("budget", BUDGETS)
@pytest.mark.parametrize("losses", [1, 2, 3])
def test_a_call_whose_gateway_lives_on_leaves_no_doubt(losses, budget, is_older):
    """Its end is reported to the next owner, which knows the call from its record."""
    world = World(is_older=is_older)
    program = KeptProgram(world, budget)
    assert program.turn()
    for _ in range(losses):
        if not program.has_budget:
            break
        owner = world.owner("p")
        gateway = next(at for at, name in enumerate(world.names) if name != owner)
        call, listener = program.ask(gateway)
        assert listener.ticket is not None
        program.generated += TURN_TOKENS
        lose_owner(world)
        listener.ticket.completed(OUTPUT, OUTPUT.count(b"\n\n"), listener)
        world.run(2.0)
        assert listener.is_durable
        program.previous = call.id
    while program.turn():
        pass
    assert not program.has_budget
    assert program.generated <= budget


@pytest.mark.parametrize("trouble", [Trouble.LOSE_ANSWER, Trouble.DONE_LATE])
def test_a_bound_whose_answer_was_lost_is_counted_once(trouble):
    world = World()
    program = KeptProgram(world, 900)
    assert program.turn()
    world.log.trouble = trouble
    call = world.call(
        "p", budget=900, token_limit=MOST_TOKENS, previous=program.previous
    )
    world.request_admission(call, stores_turns=True)
    world.run(0.1)
    world.log.trouble = Trouble.NONE
    lose_all(world)
    assert program.turn()


def test_a_402_is_given_only_where_the_budget_is_certainly_spent():
    """A program that other owners may have let spend all of it is told to come back."""
    world = World()
    spent = 0
    for _ in range(3):
        listener = world.wait_for_decision(
            world.call("p", budget=1000, token_limit=400)
        )
        if listener.ticket is None:
            assert_out_of_budget(listener.refusal, spent, 1000, 400)
            continue
        spent += 10
        lose_all(world)
    refused = world.wait_for_decision(world.call("p", budget=1000, token_limit=400))
    assert refused.refusal != BUDGET_SPENT


def test_a_call_whose_end_got_lost_is_doubted_after_planned_moves():
    """Guards against 402 for a call that each next owner took for one that just began."""
    world = World()
    lost = world.wait_for_decision(
        world.call("p", budget=900, token_limit=MOST_TOKENS), 2
    )
    assert lost.ticket is not None
    for _ in range(3):
        world.run(5.0)
        name = world.owner("p")
        world.services[name].leave()
        world.run(0.6)
        world.crash(name)
        world.start(name)
        world.run(1.0)
    after = world.wait_for_decision(
        world.call("p", budget=900, token_limit=MOST_TOKENS), 2
    )
    assert after.ticket is not None


def test_a_program_is_served_after_two_calls_were_lost_with_all_daemons():
    """Nobody tells what a call generated whose gateway and owner were lost with it."""
    world = World()
    program = KeptProgram(world, 900)
    assert program.turn()
    for _ in range(2):
        _, listener = program.ask()
        assert listener.ticket is not None
        program.generated += EVENT_TOKENS
        lose_all(world)
    assert program.has_budget
    assert program.turn()


def test_a_program_that_begins_after_a_loss_may_use_its_budget():
    """An allowance of former owners is no doubt about programs that began later."""
    world = World()
    lose_all(world)
    spent, refusal = spend(world, "new", 1000, 100)
    assert (spent, refusal) == (1000, BUDGET_SPENT)


def test_a_call_whose_gateway_was_lost_is_doubted_although_the_gateway_is_back():
    """A gateway that started again knows nothing of the calls of its former process."""
    world = World()
    program = KeptProgram(world, 900)
    assert program.turn()
    owner = world.owner("p")
    at = next(at for at, name in enumerate(world.names) if name != owner)
    _, listener = program.ask(at)
    assert listener.ticket is not None
    world.crash(world.names[at])
    world.run(1.0)
    world.start(world.names[at])
    world.run(1.0)
    call = world.call(
        "p", budget=900, token_limit=MOST_TOKENS, previous=program.previous
    )
    again = world.wait_for_decision(call, at, stores_turns=True)
    assert again.refusal != BUDGET_SPENT


def test_a_call_of_a_gateway_that_is_back_and_silent_is_doubted():
    """Guards against 402 for 12 s, as a new process was known by its requests alone."""
    world = World()
    program = KeptProgram(world, 900)
    assert program.turn()
    owner = world.owner("p")
    at = next(at for at, name in enumerate(world.names) if name != owner)
    _, listener = program.ask(at)
    assert listener.ticket is not None
    world.crash(world.names[at])
    world.start(world.names[at])
    world.run(0.5)
    call = world.call(
        "p", budget=900, token_limit=MOST_TOKENS, previous=program.previous
    )
    again = world.wait_for_decision(call, world.names.index(owner), stores_turns=True)
    assert again.ticket is not None
