"""Outages of the store: who goes on, who is refused, and how often the store is called."""

import msgspec
import pytest

from emulator.services.partitioned_log import Trouble
from notcharch.accounts.messages import NotOwner
from notcharch.accounts.outage_refusals import (
    MAX_RETRY_SECONDS,
    MIN_RETRY_SECONDS,
    STORE_DOWN_REASON,
    retry_delay_seconds,
)
from notcharch.calls.retry_after import HONOURED_SHARE
from notcharch.journal.keyed_follower import KeyedFollower, PollTiming, join_keyed
from notcharch.settings.mechanisms import ALL_MECHANISMS, Mechanism
from tests.unit.accounts.world import World
from tests.unit.events.capture import captured

KNOWN_SECONDS = 1.5
"""By then a refusing store is known to be down, by all daemons."""
AT_ONCE_SECONDS = 0.1
OUTAGE_SECONDS = 6.0
NO_ALLOWANCE = ALL_MECHANISMS - {Mechanism.STARTING_ALLOWANCE}
LARGE = {"budget": 1000, "token_limit": 900}
"""A call that no starting allowance covers."""


def in_outage(mechanisms=ALL_MECHANISMS) -> World:
    world = World(mechanisms=mechanisms, refuses_in_outages=True)
    world.log.trouble = Trouble.REFUSE
    world.run(KNOWN_SECONDS)
    return world


def decision_seconds(world, call, at=0):
    began = world.clock.seconds()
    listener = world.wait_for_decision(call, at)
    return listener, world.clock.seconds() - began


@pytest.mark.parametrize("at", [0, 1, 2])
def test_a_call_that_needs_an_append_is_refused_at_once(at):
    world = in_outage(NO_ALLOWANCE)
    with captured() as messages:
        listener, seconds = decision_seconds(world, world.call(wait_seconds=3.0), at)
    assert listener.refusal.status == 503
    assert listener.refusal.reason == STORE_DOWN_REASON
    assert seconds <= AT_ONCE_SECONDS
    assert 0.2 <= listener.refusal.retry_after_seconds <= 3.0 * HONOURED_SHARE
    (event,) = [m for m in messages if m["event_number"] == 2802]
    assert event["is_owners_decision"]


def test_a_call_within_its_journalled_bound_goes_on():
    world = World(mechanisms=NO_ALLOWANCE, refuses_in_outages=True)
    first = world.wait_for_decision(world.call("p", token_limit=10))
    first.ticket.interrupted(1)
    world.log.trouble = Trouble.REFUSE
    world.run(KNOWN_SECONDS)
    listener, seconds = decision_seconds(world, world.call("p", token_limit=10))
    assert listener.ticket is not None
    assert seconds <= AT_ONCE_SECONDS


def test_a_program_begins_by_the_starting_allowance():
    world = in_outage()
    listener, seconds = decision_seconds(world, world.call("new", token_limit=50))
    assert listener.ticket is not None
    assert seconds <= AT_ONCE_SECONDS


def test_a_short_fault_is_waited_out():
    world = World(mechanisms=NO_ALLOWANCE, refuses_in_outages=True)
    world.log.trouble = Trouble.REFUSE
    listener = world.request_admission(world.call(wait_seconds=3.0))
    world.run(0.5)
    assert not listener.is_decided
    world.log.trouble = Trouble.NONE
    world.run(0.5)
    assert listener.ticket is not None


def test_a_call_is_admitted_as_soon_as_the_store_is_back():
    world = in_outage(NO_ALLOWANCE)
    world.log.trouble = Trouble.NONE
    world.run(0.4)
    listener, seconds = decision_seconds(world, world.call())
    assert listener.ticket is not None
    assert seconds <= AT_ONCE_SECONDS


def test_where_callers_do_not_compete_a_call_waits_as_before():
    world = World(mechanisms=NO_ALLOWANCE)
    world.log.trouble = Trouble.REFUSE
    world.run(KNOWN_SECONDS)
    listener, seconds = decision_seconds(world, world.call(wait_seconds=2.0))
    assert listener.refusal.reason != STORE_DOWN_REASON
    assert seconds >= 0.9  # 0.45 of its time


def test_a_call_without_a_live_owner_is_refused_after_its_second_request():
    # Nobody takes over in an outage: asking again until the deadline is in vain.
    world = World(mechanisms=NO_ALLOWANCE, refuses_in_outages=True)
    owner = world.names[2]
    program = world.program_of(owner)
    world.log.trouble = Trouble.REFUSE
    world.crash(owner)
    world.run(KNOWN_SECONDS)
    call = world.call(program, wait_seconds=10.0)
    listener, seconds = decision_seconds(world, call)
    assert listener.refusal.reason == STORE_DOWN_REASON
    assert seconds < 1.2


def test_one_daemon_that_the_store_turns_away_does_not_refuse_for_the_others():
    # Its partitions go to another daemon, which the directory of the others names.
    world = World(mechanisms=NO_ALLOWANCE, refuses_in_outages=True)
    alone = world.names[2]
    program = world.program_of(alone)
    world.refuse(alone)
    world.run(1.0)
    for _ in range(10):
        listener = world.wait_for_decision(world.call(program, wait_seconds=3.0))
        assert listener.ticket is not None
        listener.ticket.never_ran()
        world.run(0.2)


def test_a_daemon_that_stops_in_an_outage_takes_no_outage_for_lasting():
    # Its heartbeats end, so nothing would tell it that the store is back.
    world = in_outage(NO_ALLOWANCE)
    stopping = world.names[0]
    assert world.recoveries[stopping].known_outage_seconds() > 0.0
    world.services[stopping].leave()
    world.run(0.1)
    world.log.trouble = Trouble.NONE
    world.run(2.5)
    assert world.recoveries[stopping].known_outage_seconds() == 0.0
    listener = world.wait_for_decision(world.call("p9"), 0)
    assert listener.ticket is not None


def test_older_builds_read_the_reply_as_one_without_a_decision():
    class OlderNotOwner(msgspec.Struct, tag="NotOwner"):
        owner: str = ""

    encoded = msgspec.json.encode(NotOwner(store_outage_seconds=2.5))
    assert msgspec.json.decode(encoded, type=OlderNotOwner).owner == ""


@pytest.mark.parametrize("remaining", [None, 1.0, 3.0, 30.0])
def test_retries_are_within_what_callers_honour_and_spread(remaining):
    delays = [
        retry_delay_seconds(2.0, remaining, spread) for spread in (0.0, 0.5, 0.999)
    ]
    most = 2.0 if remaining is None else min(2.0, remaining * HONOURED_SHARE)
    assert max(delays) == pytest.approx(most)
    assert delays == sorted(delays, reverse=True)
    assert min(delays) >= MIN_RETRY_SECONDS
    if remaining != 1.0:
        assert delays[0] - delays[2] >= 0.2


def test_an_outage_is_expected_to_last_as_long_again():
    assert retry_delay_seconds(1.0, None, 0.0) == 1.0
    assert retry_delay_seconds(3.0, None, 0.0) == 3.0
    assert retry_delay_seconds(60.0, None, 0.0) == MAX_RETRY_SECONDS


class Load:
    """Callers and followers on three daemons, with a count of the store's calls."""

    def __init__(self, *, refuses_in_outages: bool) -> None:
        self.world = World(
            mechanisms=NO_ALLOWANCE, refuses_in_outages=refuses_in_outages
        )
        self.received: dict[str, list[float]] = {}
        self.programs = 0
        for name in self.world.names:
            for topic in ("keyed.op", "keyed.servers"):
                self._follow(name, topic)
        self.calls_for(3.0)

    def _follow(self, name, topic) -> None:
        world = self.world
        times = self.received[f"{name} {topic}"] = []
        KeyedFollower(
            world.logs[name],
            world.clock,
            world.random,
            topic,
            timing=PollTiming(1.5, 0.05),
            on_change=lambda _: times.append(world.clock.seconds()),
            recovery=world.recoveries[name],
        ).start()

    def calls_for(self, seconds: float) -> int:
        """Run new programs at 10 a second; return the store's calls meanwhile."""
        world = self.world
        before = world.log.calls
        for step in range(round(seconds / 0.1)):
            self.programs += 1
            call = world.call(f"p{self.programs}", wait_seconds=2.0)
            world.request_admission(call, step % len(world.names))
            world.run(0.1)
        return world.log.calls - before


@pytest.mark.parametrize("trouble", [Trouble.REFUSE, Trouble.LOSE_CALL])
def test_an_outage_makes_no_more_calls_of_the_store_than_the_same_time_without(trouble):
    load = Load(refuses_in_outages=True)
    usual = load.calls_for(OUTAGE_SECONDS)
    load.world.log.trouble = trouble
    in_outage = load.calls_for(OUTAGE_SECONDS)
    assert in_outage <= usual


@pytest.mark.parametrize(
    ("trouble", "most_seconds"), [(Trouble.REFUSE, 0.5), (Trouble.LOSE_CALL, 1.8)]
)
def test_everything_resumes_when_a_heartbeat_is_answered(trouble, most_seconds):
    # A lost heartbeat is only repeated after its time-out, 1.5 s at this stand-in.
    load = Load(refuses_in_outages=True)
    world = load.world
    world.log.trouble = trouble
    load.calls_for(OUTAGE_SECONDS)
    world.log.trouble = Trouble.NONE
    returned_at = world.clock.seconds()
    for topic in ("keyed.op", "keyed.servers"):
        world.log.put(topic, 0, join_keyed("key", b"value"))
    world.run(most_seconds)
    for times in load.received.values():
        assert times and returned_at < times[-1] <= returned_at + most_seconds
    for at in range(len(world.names)):
        listener, seconds = decision_seconds(world, world.call(f"new{at}"), at)
        assert listener.ticket is not None
        assert seconds <= AT_ONCE_SECONDS


def test_a_view_that_is_suspected_all_the_time_is_rarely_refreshed_in_an_outage():
    # Each request without a decision suspects it: 10 refreshes a second per daemon.
    world = in_outage()
    refreshes = []
    owners = world.log.owners
    world.log.owners = lambda group: refreshes.append(group) or owners(group)
    directory = world.services[world.names[0]].directory
    for _ in range(round(OUTAGE_SECONDS / 0.02)):
        directory.suspect_stale()
        world.run(0.02)
    assert 1 <= len(refreshes) <= 4
    world.log.trouble = Trouble.NONE
    world.run(0.5)
    directory.suspect_stale()
    world.run(0.1)
    assert directory.age_seconds < 0.7


def test_an_outage_is_logged_when_it_is_known_and_when_it_is_over():
    with captured() as messages:
        world = in_outage()
        world.run(2.0)
        world.log.trouble = Trouble.NONE
        world.run(1.0)
    numbers = [m["event_number"] for m in messages if 2800 <= m["event_number"] < 2802]
    assert sorted(numbers) == [2800] * 3 + [2801] * 3
    for message in messages:
        if message["event_number"] == 2801:
            assert 3.0 <= message["seconds"] <= 4.0
