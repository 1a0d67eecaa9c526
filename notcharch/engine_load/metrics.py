"""Metrics of the exchange of engine loads."""

from prometheus_client import Counter, Gauge, Histogram

REQUESTS = Counter(
    "notcharch_engine_load_requests",
    "Dispatches for which loads were requested, by how many trackers answered",
    ["answers"],
)
REQUEST_SECONDS = Histogram(
    "notcharch_engine_load_request_seconds",
    "Delay of a dispatch by the request of loads",
    buckets=(0.0005, 0.001, 0.002, 0.004, 0.006, 0.008, 0.01, 0.015, 0.025, 0.05),
)
UNANSWERED = Counter(
    "notcharch_engine_load_unanswered", "Requests that a load tracker did not answer"
)
NOTICES = Counter(
    "notcharch_engine_load_notices", "Notices of calls sent to load trackers"
)
REQUESTS_ANSWERED = Counter(
    "notcharch_engine_load_answers", "Requests that this daemon answered as a tracker"
)
TRACKED_ENGINES = Gauge(
    "notcharch_engine_load_tracked", "Engines whose load this daemon tracks"
)
