"""Counters and histograms of the journal."""

from prometheus_client import Counter, Gauge, Histogram

APPENDS = Counter("notcharch_journal_appends", "Answers to appends", ["outcome"])
APPEND_SECONDS = Histogram(
    "notcharch_journal_append_seconds",
    "From an append's first try to its answer",
    buckets=(0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0),
)
BACKLOG = Gauge("notcharch_journal_backlog", "Records that wait to be appended")
REFUSED_ENTRIES = Counter(
    "notcharch_journal_refused_entries", "Entries that the log service does not take"
)
OUTAGES = Counter("notcharch_journal_outages", "Outages of the log service, as known")
OUTAGE_SECONDS = Counter(
    "notcharch_journal_outage_seconds", "Duration of the outages that are over"
)
KEPT_RELEASES = Counter(
    "notcharch_journal_stop_released_partitions",
    "Partitions that were released in planned stops, by the cause",
    ["cause"],
)
REJOINS = Counter(
    "notcharch_journal_stop_rejoins",
    "Groups joined again in planned stops, as calls ran and no member was left",
)
OWNERS_AGE_SECONDS = Gauge(
    "notcharch_journal_owners_age_seconds",
    "Age of the view of a group's owners",
    ["group"],
)
