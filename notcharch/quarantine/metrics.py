"""Metrics of requests under which engines end."""

from prometheus_client import Counter, Gauge, Histogram

ENGINES_ENDED = Counter(
    "notcharch_engines_ended",
    "Engines whose process ended while they ran a request of this daemon",
    ["counted"],
)
REFUSED = Counter(
    "notcharch_quarantine_refusals",
    "Attempts that were not sent because engines had ended under their request",
    ["reason"],
)
CLEARED = Counter(
    "notcharch_quarantine_cleared", "Requests with ends that were answered whole"
)
RECORDS = Gauge(
    "notcharch_quarantine_records", "Requests under which engines ended, as known here"
)
REPORT_SECONDS = Histogram(
    "notcharch_quarantine_report_seconds",
    "From a failed run until its engine's end was counted, or found not to be one",
    buckets=(0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.3),
)
