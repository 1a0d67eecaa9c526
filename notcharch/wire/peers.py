"""What a module sees of the network between daemons.

`PeerNetwork` has three implementations: TCP connections (`wire/connections.py`),
the memory transport of tests and hollow daemons (`emulator/peers`), and none other.
A request to the daemon itself is delivered without the network.
"""

from collections.abc import Awaitable, Callable
from typing import Protocol

from result import Result
from twisted.internet.defer import Deferred

from notcharch.errors import Problem
from notcharch.values.identifiers import DaemonName, Incarnation, Member
from notcharch.wire.messages.base import Message

Reply = Result[Message, Problem]
"""What a request comes to."""

RequestHandler = Callable[[Member, Message], Awaitable[Message]]
"""Answers a request of one message type; raises ProblemError to refuse it."""

NoticeHandler = Callable[[Member, Message], None]
"""Takes a one-way message."""


class PeerNetwork(Protocol):
    """Requests and notices between the daemons of a region."""

    @property
    def own_member(self) -> Member:
        """This process."""

    def request(
        self, destination: DaemonName, message: Message, timeout_seconds: float
    ) -> "Deferred[Reply]":
        """Send a request and give its reply; a `Refusal` reply becomes an Err.

        Errors: UNAVAILABLE with `ran: no` when it was certainly not sent;
        TIMED_OUT or UNAVAILABLE with `ran: unknown` otherwise.
        """

    def notify(self, destination: DaemonName, message: Message) -> None:
        """Send a one-way message; it may be lost, repeated or reordered."""

    def connected_peers(self) -> tuple[DaemonName, ...]:
        """Return the peers that a notice reaches without a new connection."""

    def connected_process(self, daemon: DaemonName) -> Incarnation | None:
        """Return the process of a connected peer; None if it is not connected."""

    def on_request(self, message_type: type[Message], handler: RequestHandler) -> None:
        """Register the one handler of a request type."""

    def on_notice(self, message_type: type[Message], handler: NoticeHandler) -> None:
        """Register the one handler of a notice type."""

    def set_address(self, daemon: DaemonName, address: str) -> None:
        """Learn or change a peer's `host:port`, from the machine list or membership."""

    def forget(self, daemon: DaemonName) -> None:
        """Drop a peer that is gone, failing its open requests."""
