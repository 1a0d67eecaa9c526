"""Metrics of opaque calls."""

from prometheus_client import Counter, Gauge, Histogram

LATENCY_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)

CALLS = Counter("notcharch_opaque_calls", "Ended calls", ["outcome", "reason"])
RETRIES = Counter("notcharch_opaque_sends_again", "Sends after a failed one")
ADMISSION_SECONDS = Histogram(
    "notcharch_opaque_admission_seconds",
    "From a call's head to its admission",
    buckets=LATENCY_SECONDS,
)
FIRST_EVENT_SECONDS = Histogram(
    "notcharch_opaque_first_event_seconds",
    "From a call's head to its first event",
    buckets=LATENCY_SECONDS,
)
COMPLETE_RESPONSE_SECONDS = Histogram(
    "notcharch_opaque_whole_seconds",
    "From a call's head to the end of its answer",
    buckets=LATENCY_SECONDS,
)
DRAINED_ZONES = Gauge("notcharch_drained_zones", "Zones whose engines get no calls")
DRAINS_POSITION = Gauge(
    "notcharch_drains_position", "Position in the operator's topic of the known drains"
)
COLD_ENGINES = Gauge("notcharch_cold_engines", "Listed engines that may be cold")
COLD_SENDS = Counter("notcharch_cold_sends", "Calls sent to engines that may be cold")
CHOICES = Counter("notcharch_engine_choices", "Engines chosen, by reason", ["reason"])
EXPECTED_SECONDS = Histogram(
    "notcharch_engine_expected_seconds",
    "Expected seconds of a call at its engine, where the load of all daemons is known",
    buckets=LATENCY_SECONDS,
)
END_CHECKS = Counter(
    "notcharch_answer_end_checks",
    "Answers that ended with their connection, by the engine's word on their end",
    ["question", "verdict"],
)
URGENCIES = Counter("notcharch_call_urgency", "Calls sent, by urgency", ["urgency"])
FULL_SENDS = Counter(
    "notcharch_full_engine_sends", "Calls sent to an engine known to have no free slot"
)
STOP_REFUSALS = Counter(
    "notcharch_stop_refusals",
    "Calls refused by a planned stop as they may not end in time, by where they were "
    "and by what their duration was expected",
    ["phase", "reason"],
)
STOP_CUTS = Counter(
    "notcharch_stop_cuts", "Calls that ran and were cut at the end of a planned stop"
)
