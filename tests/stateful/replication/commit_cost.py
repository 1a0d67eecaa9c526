"""Measures the cost of a commit at three replicas, without network or clock.

`python -m tests.stateful.replication.commit_cost` prints processor time of each
replica's core and the bytes of the group messages as JSON.
"""

import argparse
import random
import sys
import time

import msgspec

from notcharch.replication.applier import Applier, CommandCodec
from notcharch.replication.archive_replay import ArchiveReplay
from notcharch.replication.effects import Send
from notcharch.replication.epochs import first_epoch_of
from notcharch.replication.group import ReplicaGroup
from notcharch.replication.picture import Picture
from notcharch.values.identifiers import Member
from notcharch.wire.messages.replication import ArchivePosition, Configuration
from tests.unit.replication.counting import Note, Notes

CODEC = CommandCodec((Note,))
MEMBERS = tuple(Member(f"daemon-{number}", 1) for number in range(3))
LEADER = MEMBERS[0]
MICROSECONDS = 1e6


class Costs(msgspec.Struct):
    leader_seconds: float = 0.0
    follower_seconds: float = 0.0
    message_bytes: int = 0


class Group:
    """Three cores whose messages arrive at once."""

    def __init__(self) -> None:
        self.costs = Costs()
        self.now = 0.0
        picture = Picture(frozenset(MEMBERS), targets=MEMBERS)
        self.cores = {}
        for member in MEMBERS:
            applier = Applier(Notes, CODEC)
            core = ReplicaGroup(0, member, applier, random.Random(1), 3)
            core.membership_changed(picture, 0.0)
            self.cores[member] = core
        claimed = self.cores[LEADER].claim(
            first_epoch_of(1), Configuration(1, MEMBERS), ArchiveReplay(), 0.0
        )
        self.deliver(LEADER, claimed)

    def timed(self, member, call, *arguments):
        begun = time.perf_counter()
        effects = call(*arguments)
        seconds = time.perf_counter() - begun
        if member == LEADER:
            self.costs.leader_seconds += seconds
        else:
            self.costs.follower_seconds += seconds
        return effects

    def deliver(self, sender, effects) -> None:
        for effect in effects:
            if not isinstance(effect, Send):
                continue
            encoded = msgspec.json.encode(effect.message)
            self.costs.message_bytes += len(encoded)
            message = msgspec.json.decode(encoded, type=type(effect.message))
            receiver = effect.destination
            receive = self.cores[receiver].receive
            answer = self.timed(receiver, receive, sender, message, self.now)
            self.deliver(receiver, answer)

    def commit(self, count: int, text: str) -> None:
        """Commit some commands that were proposed in one turn."""
        self.now += 0.01
        leader = self.cores[LEADER]
        note = Note(self.now, text)

        def propose():
            for _ in range(count):
                leader.propose(CODEC.encode(note))
            return leader.flush(self.now)

        self.deliver(LEADER, self.timed(LEADER, propose))
        index = leader.replica.commit_index
        assert index == leader.replica.log.last_index
        archived = ArchivePosition(index, 0, 0)
        self.deliver(LEADER, leader.archived(archived, self.now))


def measure(commits: int, together: int, text_bytes: int) -> str:
    """Give a line with the cost of one command."""
    group = Group()
    group.commit(1, "warm")
    group.costs = Costs()
    for _ in range(commits):
        group.commit(together, "x" * text_bytes)
    costs = group.costs
    scale = MICROSECONDS / commits / together
    return (
        f"{together:3d} together: leader {costs.leader_seconds * scale:6.1f} us, "
        f"each follower {costs.follower_seconds * scale / 2:6.1f} us, "
        f"{costs.message_bytes / commits / together:7.1f} bytes a command\n"
    )


def main() -> int:
    """Measure one command at a time, and several in one turn."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--commits", type=int, default=2000)
    parser.add_argument("--text-bytes", type=int, default=200)
    arguments = parser.parse_args()
    encoded = CODEC.encode(Note(1.0, "x" * arguments.text_bytes))
    sys.stdout.write(f"a command is {len(memoryview(encoded))} bytes\n")
    for together in (1, 4, 16):
        sys.stdout.write(measure(arguments.commits, together, arguments.text_bytes))
    return 0


if __name__ == "__main__":
    sys.exit(main())
