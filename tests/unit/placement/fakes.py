"""Fakes of the peer network, the membership view and the machine list."""

from twisted.internet.defer import Deferred

from notcharch.clients.ports import Machine, MachineKind, MachineState
from notcharch.placement.interface import LiveMember
from notcharch.values.identifiers import (
    DaemonName,
    Incarnation,
    Member,
    PoolName,
    RegionName,
    ZoneName,
)

REGION = RegionName("region1")


def live(name: str, zone: str, leaving: bool = False) -> LiveMember:
    member = Member(DaemonName(name), Incarnation(1))
    return LiveMember(member, ZoneName(zone), f"{name}:1", leaving)


class FakeView:
    """A membership view whose members the test sets."""

    def __init__(self, members=()) -> None:
        self.members = tuple(members)
        self.listeners = []

    def live_members(self):
        return self.members

    def is_certainly_dead(self, member):
        del member
        return False

    def on_change(self, listener):
        self.listeners.append(listener)

    def change(self, members) -> None:
        self.members = tuple(members)
        for listener in self.listeners:
            listener()


class FakeNetwork:
    """Replies by a function of destination and message; records each request."""

    def __init__(self, respond, clock) -> None:
        self.respond = respond
        self.clock = clock
        self.destinations = []
        self.timeouts = []

    def request(self, destination, message, timeout_seconds):
        self.destinations.append(destination)
        self.timeouts.append(timeout_seconds)
        reply = Deferred()
        self.clock.callLater(0.001, reply.callback, self.respond(destination, message))
        return reply


class FakeMachineList:
    """A machine list whose responses the test sends."""

    def __init__(self) -> None:
        self.polls = []

    def changes(self, region, after):
        assert region == REGION
        response = Deferred()
        self.polls.append((after, response))
        return response


def engine(
    name: str,
    state: MachineState = MachineState.LIVE,
    pool: str = "pool",
    kind: MachineKind = MachineKind.MODEL_ENGINE,
) -> Machine:
    return Machine(
        name, kind, REGION, ZoneName("z"), "127.0.0.1:1", state, (PoolName(pool),), 4
    )
