"""Daemons confirm each other's tables while the log service refuses some of them."""

from random import Random

import pytest
from twisted.internet.task import Clock

from emulator.peers.fabric import MemoryFabric
from notcharch.accounts.messages import account_codec
from notcharch.scheduling.zone_drains import DrainedZones, ZoneDrains
from notcharch.tenants.freshness import TableFreshness
from notcharch.tenants.freshness_exchange import (
    CHECK_INTERVAL_SECONDS,
    TableFreshnessExchange,
)
from notcharch.values.identifiers import DaemonName, Incarnation, Member, ZoneName

BOUND = 5.0
REQUEST_AT_AGE = 2.4
NAMES = tuple(DaemonName(name) for name in ("asker", "served", "other"))


class Daemon:
    """The table of one daemon and its freshness; the table's text is its version."""

    def __init__(self, world: "World", name: DaemonName) -> None:
        joined = world.fabric.join(Member(name, Incarnation(1)), ZoneName("z"))
        self.clock = joined.clock
        self.freshness = TableFreshness(BOUND)
        self.drains = ZoneDrains()
        self.exchange = TableFreshnessExchange(
            joined.clock,
            Random(1),
            joined.network,
            self.freshness,
            peers=lambda: world.peers,
            request_at_age=REQUEST_AT_AGE,
            table=lambda: str(self.freshness.version).encode(),
            activate_table=self.take,
            drained=lambda: self.drains.current,
            apply_drained=lambda newer: self.drains.update(newer, 0.0),
        )
        self.exchange.start()

    def take(self, text: bytes) -> int:
        self.freshness.put_in_force(int(text))
        return int(text)

    def reads(self, version: int, age: float = 0.0) -> None:
        self.freshness.put_in_force(version)
        self.freshness.confirm(version, self.clock.seconds() - age)

    @property
    def is_fresh(self) -> bool:
        return self.freshness.is_fresh(self.clock.seconds())


class World:
    """Several daemons, of which only the reader uses the log service."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.clock.advance(100.0)
        self.peers: list[DaemonName] = list(NAMES)
        self.fabric = MemoryFabric(
            self.clock, Random(1), encode=True, codec=account_codec()
        )
        self.daemons = {name: Daemon(self, name) for name in NAMES}
        self.requester = self.daemons[NAMES[0]]
        self.served = self.daemons[NAMES[1]]

    def run(self, seconds: float, reader: Daemon | None = None) -> None:
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)
            if reader is not None:
                reader.reads(reader.freshness.version)


def test_a_refused_daemon_continues_on_its_peers_confirmations():
    world = World()
    world.requester.reads(3)
    world.served.reads(3)
    world.run(20.0, reader=world.served)
    assert world.requester.is_fresh


def test_without_peers_the_confirmation_expires():
    world = World()
    world.peers = [NAMES[0]]
    world.requester.reads(3)
    world.run(BOUND + 1.0)
    assert not world.requester.is_fresh


def test_a_newer_table_comes_from_a_peer_and_the_older_one_is_dropped():
    world = World()
    world.requester.reads(3)
    world.served.reads(4)
    world.run(REQUEST_AT_AGE + 4 * CHECK_INTERVAL_SECONDS, reader=world.served)
    assert world.requester.freshness.version == 4
    assert world.requester.is_fresh


def test_a_peer_with_an_older_table_confirms_nothing():
    world = World()
    world.requester.reads(4)
    world.served.reads(3)
    world.run(BOUND + 1.0, reader=world.served)
    assert world.requester.freshness.version == 4
    assert not world.requester.is_fresh


def test_a_delayed_response_counts_from_the_request():
    """Neither forwarding a confirmation nor a delayed response may make it younger."""
    world = World()
    world.requester.reads(3)
    world.served.reads(3, age=1.0)
    world.run(20.0)
    assert not world.requester.is_fresh
    ages = [
        daemon.freshness.age(world.clock.seconds()) for daemon in world.daemons.values()
    ]
    assert all(age is None or age >= 20.0 - 0.1 for age in ages)


@pytest.mark.parametrize("seconds", [0.6, 3.0, 6.0])
def test_a_confirmation_ages_while_a_daemon_is_suspended(seconds):
    world = World()
    world.requester.reads(3)
    world.fabric.pause(NAMES[0])
    world.run(seconds)
    world.fabric.resume(NAMES[0])
    assert world.requester.is_fresh is (seconds < BOUND)


def test_a_daemon_with_successful_reads_keeps_its_confirmation():
    world = World()
    world.requester.reads(3)
    world.served.reads(3)
    world.served.freshness.confirm(3, world.clock.seconds() + 50.0)
    world.run(20.0, reader=world.requester)
    assert world.requester.freshness.age(world.clock.seconds()) == pytest.approx(0.0)


def test_drained_zones_are_sent_with_the_confirmation():
    world = World()
    world.requester.reads(3)
    world.served.reads(3)
    world.served.drains.update(DrainedZones(frozenset({"z-1"}), 9), 0.0)
    world.run(REQUEST_AT_AGE + 4 * CHECK_INTERVAL_SECONDS, reader=world.served)
    assert world.requester.drains.current == DrainedZones(frozenset({"z-1"}), 9)


def test_a_peer_without_a_confirmed_table_still_sends_its_drains():
    world = World()
    world.requester.reads(3)
    for name in NAMES[1:]:
        world.daemons[name].drains.update(DrainedZones(frozenset({"z-1"}), 9), 0.0)
    world.run(REQUEST_AT_AGE + 4 * CHECK_INTERVAL_SECONDS)
    assert world.requester.drains.is_drained("z-1")
