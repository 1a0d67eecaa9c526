"""Single points of the agreement that runs found, or that runs seldom reach."""

import pytest

from notcharch.replication import reconfiguration
from notcharch.replication.commit import committed_index
from notcharch.replication.log import CommandLog
from notcharch.replication.role import Role
from notcharch.values.identifiers import Member
from notcharch.wire.messages.replication import (
    Append,
    Configuration,
    Entry,
    Retire,
    VoteRequest,
)
from tests.stateful.replication.simulation import DAEMONS, Simulation

FIRST, SECOND, THIRD, FOURTH, FIFTH = DAEMONS


def leaders(simulation):
    return [
        daemon
        for daemon, node in simulation.nodes.items()
        if node.group.confirmed_epoch is not None
    ]


def settled(members=3):
    simulation = Simulation(1, members, members)
    simulation.run(0.5)
    assert leaders(simulation) == [FIRST]
    return simulation


def test_a_leader_that_asks_for_votes_is_no_reason_to_refuse_another():
    """Found by a run: two candidates, of which the better one never got a vote."""
    simulation = settled()
    voter = simulation.nodes[THIRD].group
    old_leader = simulation.nodes[FIRST].member
    replica = voter.replica
    assert replica.leader == old_leader
    outdated = VoteRequest(0, replica.epoch + 1, 0, 0, True, False)
    voter.receive(old_leader, outdated, simulation.now)
    last = replica.log.last_index, replica.log.last_epoch
    better = VoteRequest(0, replica.epoch + 1, *last, True, False)
    effects = voter.receive(simulation.nodes[SECOND].member, better, simulation.now)
    assert [effect.message.granted for effect in effects] == [True]


def test_a_live_leader_is_not_disturbed():
    simulation = settled()
    simulation.isolate((THIRD,))
    simulation.suspect(THIRD, FIRST)
    simulation.run(5)
    simulation.cut.clear()
    simulation.run(5)
    assert leaders(simulation) == [FIRST]
    assert simulation.nodes[FIRST].group.replica.epoch == 1_000_000_000


def test_a_member_is_told_to_retire_only_after_its_removal_is_committed(monkeypatch):
    monkeypatch.setattr(reconfiguration, "SETTLE_SECONDS", 0.2)
    monkeypatch.setattr(reconfiguration, "SETTLE_JITTER_SECONDS", 0.0)
    simulation = settled()
    sent = []
    honest = simulation._send

    def watch(node, destination, message):
        if isinstance(message, Retire):
            replica = node.group.replica
            committed = replica.log.configuration_at(replica.commit_index)
            sent.append(destination in {m.daemon for m in committed.members})
        honest(node, destination, message)

    simulation._send = watch
    simulation.move((FIRST, SECOND, FOURTH, THIRD, FIFTH))
    simulation.run(2)
    assert sent == [False]
    members = simulation.nodes[FIRST].group.replica.log.configuration.members
    assert [member.daemon for member in members] == [FIRST, SECOND, FOURTH]
    assert simulation.nodes[THIRD].group.replica.is_hollow


def test_a_woken_leader_serves_only_after_a_majority_answered():
    simulation = settled()
    simulation.pause(FIRST)
    for daemon in DAEMONS:
        simulation.suspect(daemon, FIRST)
    simulation.run(3)
    assert SECOND in leaders(simulation)
    simulation.isolate((FIRST,))
    simulation.resume(FIRST)
    assert simulation.nodes[FIRST].group.replica.role.role is not Role.LEADER
    simulation.cut.clear()
    simulation.run(1)
    assert leaders(simulation) == [SECOND]


@pytest.mark.parametrize(
    ("epochs", "held", "epoch", "expected"),
    [
        ([1, 1, 1], [3, 3, 0], 1, 3),
        ([1, 1, 1], [3, 0, 0], 1, 0),
        # Figure 8 of the Raft paper: a majority holds index 2, of an old epoch.
        ([1, 1, 3], [3, 2, 0], 3, 0),
        ([1, 1, 3], [3, 3, 0], 3, 3),
    ],
)
def test_commit_index(epochs, held, epoch, expected):
    members = tuple(Member(daemon, 1) for daemon in DAEMONS[:3])
    log = CommandLog()
    log.reset(0, 0, Configuration(1, members))
    for entry_epoch in epochs:
        log.append(Entry(entry_epoch))
    assert committed_index(log, held, epoch, 0) == expected


def test_a_joiner_gets_the_state_in_chunks_when_the_log_is_gone():
    simulation = settled()
    for _ in range(100):
        simulation.propose(FIRST)
        simulation.run(0.01)
    simulation.run(0.5)
    simulation.archive(FIRST)
    assert simulation.nodes[FIRST].group.replica.log.base_index > 90
    simulation.restart(THIRD)
    simulation.run(1)
    assert len(simulation.nodes[THIRD].group.state.texts) == 100


def test_proposals_of_one_turn_travel_together():
    simulation = settled()
    group = simulation.nodes[FIRST].group
    rounds = []
    honest = simulation._send

    def watch(node, destination, message):
        if isinstance(message, Append) and destination == SECOND:
            rounds.append(len(message.entries))
        honest(node, destination, message)

    simulation._send = watch
    for _ in range(10):
        simulation.propose(FIRST)
    simulation.run(0.02)
    assert rounds == [1, 9]
    assert group.replica.commit_index == group.replica.log.last_index
