"""Metrics of the origins of streams."""

from prometheus_client import Counter, Gauge, Histogram

RECORDED = Counter(
    "notcharch_stream_origins_recorded", "Streams whose origin was sent to peers"
)
HELD = Gauge("notcharch_stream_origins_held", "Origins of streams held for peers")
FOUND = Counter(
    "notcharch_stream_origins_found",
    "Requests that resume a stream, by how its origin became known",
    ["source"],
)
SEARCH_SECONDS = Histogram(
    "notcharch_stream_origin_search_seconds",
    "Delay of a request that resumes a stream by the search for its origin",
    buckets=(0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25),
)
