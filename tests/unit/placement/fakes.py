"""Stand-ins for the network, the view and the machine list."""

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
    """A membership view that the test sets."""

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
    """Answers by a function of destination and message; keeps what was asked."""

    def __init__(self, answer, clock) -> None:
        self.answer = answer
        self.clock = clock
        self.asked = []
        self.time_outs = []

    def request(self, destination, message, timeout_seconds):
        self.asked.append(destination)
        self.time_outs.append(timeout_seconds)
        reply = Deferred()
        self.clock.callLater(0.001, reply.callback, self.answer(destination, message))
        return reply


class FakeMachineList:
    """A machine list whose answers the test gives."""

    def __init__(self) -> None:
        self.polls = []

    def changes(self, region, after):
        assert region == REGION
        answer = Deferred()
        self.polls.append((after, answer))
        return answer


def engine(
    name: str,
    state: MachineState = MachineState.LIVE,
    pool: str = "pool",
    kind: MachineKind = MachineKind.MODEL_ENGINE,
) -> Machine:
    return Machine(
        name, kind, REGION, ZoneName("z"), "127.0.0.1:1", state, (PoolName(pool),), 4
    )
