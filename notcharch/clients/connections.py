"""The pooled keep-alive connections to the external systems.

Addresses are numeric, `host:port` or `[host]:port`, so no DNS lookup is needed.
"""

from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.web.client import URI, Agent, HTTPConnectionPool
from twisted.web.iweb import IAgent, IAgentEndpointFactory
from zope.interface import implementer

IDLE_CONNECTION_SECONDS = 15
"""Shorter than the idle time-out of typical servers."""

IDLE_CONNECTIONS_PER_HOST = 64


@implementer(IAgentEndpointFactory)
class NumericEndpointFactory:
    """Connects to numeric IP addresses without a resolver."""

    def __init__(self, reactor: Any, connect_seconds: float) -> None:
        """Store the reactor and the connect time-out."""
        self._reactor = reactor
        self._connect_seconds = connect_seconds

    def endpointForURI(self, uri: URI) -> IStreamClientEndpoint:  # noqa: N802
        """Return the endpoint of a URI's host and port."""
        host = uri.host.decode("ascii")
        if ":" in host:
            return TCP6ClientEndpoint(
                self._reactor, host, uri.port, timeout=self._connect_seconds
            )
        return TCP4ClientEndpoint(
            self._reactor, host, uri.port, timeout=self._connect_seconds
        )


class Connections:
    """An agent with its pool; `close` ends the idle connections."""

    def __init__(self, reactor: Any, connect_seconds: float) -> None:
        """Build the agent; nothing is connected yet."""
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.cachedConnectionTimeout = IDLE_CONNECTION_SECONDS
        self._pool.maxPersistentPerHost = IDLE_CONNECTIONS_PER_HOST
        # A retry inside the pool would hide whether a request was executed.
        self._pool.retryAutomatically = False
        self.agent: IAgent = Agent.usingEndpointFactory(
            reactor,
            NumericEndpointFactory(reactor, connect_seconds),
            pool=self._pool,
        )

    def close(self) -> Any:
        """Close idle connections; return a Deferred that fires when they are closed."""
        return self._pool.closeCachedConnections()
