"""Asks all live daemons of the region the same question at once."""

from typing import Generic, TypeVar

import attrs
import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import gatherResults
from twisted.internet.interfaces import IReactorTime

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.placement.interface import MembershipView
from notcharch.values.identifiers import DaemonName
from notcharch.wire.messages.base import Message
from notcharch.wire.peers import PeerNetwork

ASK_SECONDS = 3.0
"""Limit of one question to one daemon."""

Reply = TypeVar("Reply", bound=Message)


class Unreached(msgspec.Struct, frozen=True):
    """A daemon that is believed alive but did not answer, and why."""

    daemon: DaemonName
    problem: str


@attrs.frozen
class Gathered(Generic[Reply]):
    """Replies by daemon; none is older than `age_seconds`."""

    replies: dict[DaemonName, Reply]
    unreached: tuple[Unreached, ...]
    age_seconds: float


class Scatter:
    """Questions to the live daemons, this one included."""

    def __init__(
        self, *, clock: IReactorTime, network: PeerNetwork, membership: MembershipView
    ) -> None:
        """Take the network and the view of who is alive."""
        self._clock = clock
        self._network = network
        self._membership = membership

    def live_daemons(self) -> tuple[DaemonName, ...]:
        """Give the daemons that would be asked."""
        return tuple(live.member.daemon for live in self._membership.live_members())

    async def ask_all(self, question: Message, reply: type[Reply]) -> Gathered[Reply]:
        """Ask every live daemon; takes `ASK_SECONDS` at most."""
        return await self.ask(self.live_daemons(), question, reply)

    async def ask(
        self,
        daemons: tuple[DaemonName, ...],
        question: Message,
        reply_type: type[Reply],
    ) -> Gathered[Reply]:
        """Ask some daemons."""
        asked_at = self._clock.seconds()
        results = await gatherResults(
            [
                self._network.request(daemon, question, ASK_SECONDS)
                for daemon in daemons
            ],
            consumeErrors=True,
        )
        replies: dict[DaemonName, Reply] = {}
        unreached: list[Unreached] = []
        for daemon, result in zip(daemons, results, strict=True):
            checked = _checked(result, reply_type)
            if isinstance(checked, Err):
                unreached.append(Unreached(daemon, checked.err_value.message))
            else:
                replies[daemon] = checked.ok_value
        age = self._clock.seconds() - asked_at
        return Gathered(replies, tuple(unreached), age)


def _checked(
    result: Result[Message, Problem], reply_type: type[Reply]
) -> Result[Reply, Problem]:
    return result.and_then(lambda message: expect(message, reply_type))


def expect(message: Message, reply_type: type[Reply]) -> Result[Reply, Problem]:
    """Take a reply of the expected type, or say that it is another one."""
    if isinstance(message, reply_type):
        return Ok(message)
    detail = f"unexpected reply {type(message).__name__}"
    return Err(Problem.of(ProblemCode.INTERNAL, detail, ran=Ran.UNKNOWN))
