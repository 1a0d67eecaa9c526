"""Calls that end without a response: drains, late admissions, deadlines."""

import pytest

from notcharch.calls.eligibility import Cause
from notcharch.calls.interface import NO_ENGINE, TIMED_OUT
from notcharch.scheduling.zone_drains import DrainedZones
from tests.unit.calls.world import SERVICE, World, engine


def drained(world: World, *zones: str) -> None:
    world.pool.drain_zones(DrainedZones(frozenset(zones), 1))


def test_a_call_whose_engines_are_all_drained_is_refused_at_once():
    world = World(wait_seconds=3.0)
    drained(world, "z")
    world.sent[0].refuse()
    assert world.reply.refusal.status == 503
    assert world.reply.refusal.reason == Cause.DRAINED.value
    assert world.reply.refusal.retry_after_seconds >= 0.1


def test_the_time_to_come_back_grows_with_the_drain():
    world = World(wait_seconds=3.0)
    drained(world, "z")
    world.clock.advance(0.5)
    world.sent[0].refuse()
    assert world.reply.refusal.retry_after_seconds == pytest.approx(0.5)


def test_a_call_that_was_chosen_and_not_sent_is_chosen_anew():
    world = World(engines=("a",))
    world.pool.replace([engine("a"), engine("b", zone="y")])
    chosen = world.sent[0].listener
    assert chosen.may_send()
    drained(world, "z")
    assert not chosen.may_send()
    chosen.cancelled()
    assert world.sent[1].engine.id == "b"
    world.sent[1].respond(200, b"done")
    assert (world.reply.end, world.in_flight) == ("whole", 0)


def test_a_withdrawn_call_costs_its_engine_nothing():
    world = World(engines=("a",))
    drained(world, "z")
    world.sent[0].listener.cancelled()
    drains = world.pool.eligibility.drains
    drains.update(DrainedZones(frozenset(), 2), world.clock.seconds())
    assert world.pool.choose(SERVICE, "", ()).id == "a"


class NeverDecides:
    """An admission that makes no decision."""

    def request(self, call, route, listener):
        pass


def test_a_call_whose_admission_takes_all_its_time_is_refused_as_not_run():
    world = World(admission=NeverDecides(), wait_seconds=2.0)
    world.clock.advance(2.0)
    assert (world.reply.end, world.reply.refusal.status) == ("refused", 503)
    assert world.sent == []


def test_a_call_whose_time_ends_at_an_engine_times_out():
    world = World(wait_seconds=2.0)
    world.clock.advance(2.0)
    assert (world.reply.end, world.reply.refusal) == ("refused", TIMED_OUT)
    assert world.sent[0].is_abandoned


def test_an_engine_that_refuses_at_the_last_moment_is_not_followed_by_another():
    world = World(wait_seconds=2.0)
    world.clock.advance(1.99)
    world.sent[0].refuse()
    assert world.reply.refusal == NO_ENGINE
    assert len(world.sent) == 1
