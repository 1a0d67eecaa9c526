"""Metrics of HTTP connections."""

from prometheus_client import Counter, Gauge

BUFFERED_BYTES = Gauge(
    "notcharch_http_buffered_bytes", "Bytes that wait for slow callers and engines"
)
READERS_STOPPED = Counter(
    "notcharch_http_readers_stopped",
    "Times that reading for a caller stopped because it was behind",
)
READERS_CUT = Counter(
    "notcharch_http_readers_cut",
    "Connections cut because all together buffered too much",
    ["peer"],
)
ANSWERS_TOO_LONG = Counter(
    "notcharch_http_answers_too_long",
    "Answers that were read no further for their length",
    ["peer"],
)
ANSWERS_RELAYED_EARLY = Counter(
    "notcharch_http_answers_relayed_early",
    "Answers relayed before their end because all together held too much",
)
PORTS_WAITING = Gauge(
    "notcharch_process_ports_waiting",
    "Whether a port of this process is not open yet because it is held",
    ["port"],
)
LISTEN_FAILURES = Counter(
    "notcharch_process_listen_failures", "Failed attempts to listen", ["port"]
)
