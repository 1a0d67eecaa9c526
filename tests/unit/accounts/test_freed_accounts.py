"""The account of an ended call is freed with it, and does not wait for the collector."""

import gc
import weakref

import pytest

from tests.unit.accounts.world import World


@pytest.fixture
def no_collector():
    gc.disable()
    yield
    gc.enable()


@pytest.mark.usefixtures("no_collector")
@pytest.mark.parametrize("is_kept", [False, True])
def test_the_ticket_of_an_ended_call_is_freed_without_the_collector(is_kept):
    """A cycle of the ticket and its grant would keep the bodies of ended calls."""
    world = World()
    call = world.call("p", budget=1000, token_limit=100)
    listener = world.wait_for_decision(call, stores_turns=is_kept)
    ticket = weakref.ref(listener.ticket)
    listener.ticket.watch_grant(listener.durable)
    listener.ticket.completed(b"data: out\n\n", 1, listener)
    world.run(1.0)
    listener.ticket = None
    assert ticket() is None
