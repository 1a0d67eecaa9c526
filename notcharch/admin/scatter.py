"""Sends the same request to all live daemons of the region concurrently."""

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

REQUEST_SECONDS = 3.0
"""Timeout of the request to one daemon."""

Reply = TypeVar("Reply", bound=Message)


class Unreached(msgspec.Struct, frozen=True):
    """A live daemon that did not reply, and the reason."""

    daemon: DaemonName
    problem: str


@attrs.frozen
class GatheredReplies(Generic[Reply]):
    """Replies by daemon, none older than `age_seconds`."""

    replies: dict[DaemonName, Reply]
    unreached: tuple[Unreached, ...]
    age_seconds: float


class Scatter:
    """Sends requests to the live daemons, including this one."""

    def __init__(
        self, *, clock: IReactorTime, network: PeerNetwork, membership: MembershipView
    ) -> None:
        """Send through `network` to the live members of `membership`."""
        self._clock = clock
        self._network = network
        self._membership = membership

    def live_daemons(self) -> tuple[DaemonName, ...]:
        """Return the daemons to which requests are sent."""
        return tuple(live.member.daemon for live in self._membership.live_members())

    async def request_all(
        self, message: Message, reply: type[Reply]
    ) -> GatheredReplies[Reply]:
        """Send a request to every live daemon; takes at most `REQUEST_SECONDS`."""
        return await self.request_from(self.live_daemons(), message, reply)

    async def request_from(
        self,
        daemons: tuple[DaemonName, ...],
        request_message: Message,
        reply_type: type[Reply],
    ) -> GatheredReplies[Reply]:
        """Send a request to some daemons."""
        requested_at = self._clock.seconds()
        results = await gatherResults(
            [
                self._network.request(daemon, request_message, REQUEST_SECONDS)
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
        age = self._clock.seconds() - requested_at
        return GatheredReplies(replies, tuple(unreached), age)


def _checked(
    result: Result[Message, Problem], reply_type: type[Reply]
) -> Result[Reply, Problem]:
    return result.and_then(lambda message: expect(message, reply_type))


def expect(message: Message, reply_type: type[Reply]) -> Result[Reply, Problem]:
    """Return a reply of the expected type, or a problem for any other type."""
    if isinstance(message, reply_type):
        return Ok(message)
    detail = f"unexpected reply {type(message).__name__}"
    return Err(Problem.of(ProblemCode.INTERNAL, detail, ran=Ran.UNKNOWN))
