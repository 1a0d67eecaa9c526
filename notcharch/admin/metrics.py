"""`/metrics` in the Prometheus text format, and the metrics of the table."""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, Metric
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest
from prometheus_client.registry import Collector
from twisted.web.iweb import IRequest
from twisted.web.resource import Resource

from notcharch.table.replica_service import TableReplica


class MetricsResource(Resource):
    """Resource for `/metrics`; it needs no key and exposes no names."""

    isLeaf = True  # noqa: N815 - Twisted's name

    def __init__(self, registry: CollectorRegistry) -> None:
        """Expose the metrics of a registry."""
        super().__init__()  # type: ignore[no-untyped-call]
        self._registry = registry

    def render_GET(self, request: IRequest) -> bytes:  # noqa: N802 - Twisted's name
        """Return the current values of all metrics."""
        request.setHeader("content-type", CONTENT_TYPE_LATEST)
        return generate_latest(self._registry)


class TableCollector(Collector):
    """Gauges of the table replica; register it in the registry of the daemon."""

    def __init__(self, replica: TableReplica) -> None:
        """Read the replica on each scrape."""
        self._replica = replica

    def collect(self) -> Iterator[Metric]:
        """Return the current values."""
        replica = self._replica
        yield GaugeMetricFamily(
            "notcharch_table_version",
            "Version of the table in force",
            value=replica.version,
        )
        yield GaugeMetricFamily(
            "notcharch_table_rows",
            "Rows of the table in force",
            value=len(replica.rows()),
        )
        yield GaugeMetricFamily(
            "notcharch_table_drained_zones",
            "Zones whose engines get no new work",
            value=len(replica.drained_zones()),
        )
        yield GaugeMetricFamily(
            "notcharch_table_in_force_seconds",
            "Time since the version came into force here",
            value=replica.in_force_seconds,
        )
        age = replica.log_age_seconds
        yield GaugeMetricFamily(
            "notcharch_table_log_age_seconds",
            "Time since the table's stream was read to its end; -1 if never",
            value=-1.0 if age is None else age,
        )
