"""The listening sockets of a daemon: TCP and UDP for peers, HTTP for callers."""

import random
from typing import Any

from twisted.internet.defer import Deferred, DeferredList, maybeDeferred
from twisted.internet.interfaces import IReactorTime

from notcharch.http.listener import LISTEN_ERRORS
from notcharch.settings.schema import DaemonSection
from notcharch.values.identifiers import (
    DaemonName,
    Incarnation,
    Member,
    RegionName,
)
from notcharch.wire.codec import default_codec
from notcharch.wire.connections import TcpPeerNetwork
from notcharch.wire.datagrams import UdpDatagramPort

MAX_LISTEN_ATTEMPTS = 20
"""Attempts to find a random port that is free for TCP and UDP."""
MILLISECONDS_PER_SECOND = 1000


class PeerSockets:
    """Opens TCP and UDP with one port number."""

    def __init__(
        self, reactor: Any, clock: IReactorTime, section: DaemonSection
    ) -> None:
        """Prepare the sockets of one daemon."""
        self._reactor = reactor
        self._clock = clock
        self._section = section
        self._member = Member(
            DaemonName(section.name),
            Incarnation(int(clock.seconds() * MILLISECONDS_PER_SECOND)),
        )
        self.network: TcpPeerNetwork | None = None
        self.datagrams = UdpDatagramPort()
        self.port = 0
        """The port number, once it is open."""

    def open(self, host: str, port: int) -> None:
        """Listen; a random port that is taken for UDP is replaced by another one."""
        attempts = MAX_LISTEN_ATTEMPTS if port == 0 else 1
        for remaining_attempts in reversed(range(attempts)):
            network = self._new_network()
            number = network.listen(host, port)
            datagrams = UdpDatagramPort()
            try:
                datagrams.listen(self._reactor, host, number)
            except LISTEN_ERRORS:
                network.stop()
                if remaining_attempts == 0:
                    raise
            else:
                self.network, self.datagrams, self.port = network, datagrams, number
                return

    def close(self) -> "Deferred[Any]":
        """Close both sockets and all connections to peers."""
        closing = [maybeDeferred(self.datagrams.close)]
        if self.network is not None:
            closing.append(maybeDeferred(self.network.stop))
        return DeferredList(closing, consumeErrors=True)

    def _new_network(self) -> TcpPeerNetwork:
        return TcpPeerNetwork(
            self._reactor,
            self._clock,
            own=self._member,
            region=RegionName(self._section.region),
            codec=default_codec(),
            random=random.Random(),
        )
