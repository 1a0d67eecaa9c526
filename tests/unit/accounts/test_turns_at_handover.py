"""Turns that are on their way to the journal while their owner changes."""

from emulator.services.partitioned_log import Trouble
from notcharch.accounts.ledger import Ledger
from notcharch.accounts.records import AccountHandedOver, TurnKept
from tests.unit.accounts.gated_calls import GatedCall
from tests.unit.accounts.steps import records_in
from tests.unit.accounts.world import World

MOST_TOKENS = 600
BUDGET = 3000


def test_a_turn_on_its_way_to_the_journal_is_handed_over_as_used():
    """Guards against a turn that the next owner counts with its grant, or as still running."""
    world = World()
    owner = world.names.index(world.owner("p"))
    call = world.call("p", budget=BUDGET, token_limit=MOST_TOKENS)
    listener = world.wait_for_decision(call, at=owner, stores_turns=True)
    events = MOST_TOKENS // call.tokens_per_event
    world.log.trouble = Trouble.REFUSE
    listener.ticket.completed(b"data: out\n\n" * events, events, listener)
    world.run(0.2)
    world.services[world.names[owner]].leave()
    world.run(0.1)
    world.log.trouble = Trouble.NONE
    world.run(3.0)
    assert listener.is_durable
    records = records_in(world)
    turn = next(at for at, one in enumerate(records) if isinstance(one, TurnKept))
    handed_over = next(
        at for at, one in enumerate(records) if isinstance(one, AccountHandedOver)
    )
    assert turn < handed_over
    account = records[handed_over]
    assert (account.used_tokens, account.under_way) == (MOST_TOKENS, {})


def test_a_kept_turn_that_no_record_names_ends_its_own_doubt_alone():
    """Guards against tokens of other lost calls that are counted by nobody any more."""
    ledger = Ledger()
    program = ledger.program("p", 0.0)
    program.is_initialized = True
    program.budget, program.doubted = 1000, 750  # grants of 500 and 250
    ledger.complete_call("p", "x", 1000, 0.0, engine="e", is_kept=True, granted=500)
    assert (program.used, program.doubted) == (1000, 250)


def test_the_gateway_tells_what_was_granted_to_the_call_of_a_kept_turn():
    """Guards against owners that can't tell how much of a doubt a call has."""
    world = World()
    call = GatedCall(world, "p", BUDGET, MOST_TOKENS)
    call.admit()
    asked = world.call("q", budget=BUDGET, token_limit=MOST_TOKENS)
    listener = world.wait_for_decision(asked, stores_turns=True)
    assert listener.ticket._grant.granted_tokens == call.granted
