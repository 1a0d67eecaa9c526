"""HTTP handlers for the platform's readiness probes and metrics scrapes."""

from typing import Protocol

import msgspec
from prometheus_client import REGISTRY
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from notcharch.http.exchange import Exchange, ServerLimits

READY = 200
NOT_READY = 503


class Readiness(msgspec.Struct, frozen=True):
    """The body of the answer to a readiness probe; the platform reads the status alone."""

    state: str
    waiting_for: list[str]
    """What is missing until callers are served."""


class ReadinessSource(Protocol):
    """Reports whether the daemon is ready."""

    @property
    def is_ready(self) -> bool:
        """Whether the daemon accepts new connections."""

    def readiness(self) -> Readiness:
        """Return the state, and what is missing until callers are served."""


class ProbeHandler:
    """Base of the handlers of probes, with default limits."""

    def limits(self) -> ServerLimits:
        """Return the default limits."""
        return ServerLimits()

    def is_closing(self) -> bool:
        """Keep connections open."""
        return False

    def count(self, change: int) -> None:
        """Ignore the count: probes don't delay a stop."""


class ReadinessHandler(ProbeHandler):
    """Responds to readiness probes."""

    def __init__(self, process: ReadinessSource) -> None:
        """Report the readiness of `process`."""
        self._process = process

    def handle(self, exchange: Exchange) -> None:
        """Respond with 200 when ready, else 503."""
        status = READY if self._process.is_ready else NOT_READY
        body = msgspec.json.encode(self._process.readiness())
        exchange.respond(status, [(b"content-type", b"application/json")], body)


class MetricsHandler(ProbeHandler):
    """Serves the metrics of this daemon in Prometheus' text format."""

    def handle(self, exchange: Exchange) -> None:
        """Respond with the current values of all metrics."""
        kind = (b"content-type", CONTENT_TYPE_LATEST.encode())
        exchange.respond(READY, [kind], generate_latest(REGISTRY))
