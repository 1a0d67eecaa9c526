"""What the platform asks a daemon besides calls: readiness, and its figures."""

from typing import Protocol

from prometheus_client import REGISTRY
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from notcharch.http.server import Exchange, ServerLimits

READY = 200
NOT_READY = 503


class Probed(Protocol):
    """What knows whether it is ready."""

    @property
    def is_ready(self) -> bool:
        """Whether new connections should come here."""


class ProbeHandler:
    """Answers short questions."""

    def limits(self) -> ServerLimits:
        """Give the usual limits."""
        return ServerLimits()

    def is_closing(self) -> bool:
        """Keep connections."""
        return False

    def count(self, change: int) -> None:
        """Count nothing: probes are not work."""


class ReadinessHandler(ProbeHandler):
    """Tells whether this daemon takes new connections."""

    def __init__(self, process: Probed) -> None:
        """Ask a process."""
        self._process = process

    def handle(self, exchange: Exchange) -> None:
        """Say 200 when ready, else 503."""
        exchange.respond(READY if self._process.is_ready else NOT_READY, [])


class MetricsHandler(ProbeHandler):
    """Shows the figures of this daemon as Prometheus' text."""

    def handle(self, exchange: Exchange) -> None:
        """Give all metrics as they are now."""
        kind = (b"content-type", CONTENT_TYPE_LATEST.encode())
        exchange.respond(READY, [kind], generate_latest(REGISTRY))
