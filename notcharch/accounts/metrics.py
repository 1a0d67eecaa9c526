"""Prometheus metrics of the accounts of programs."""

from prometheus_client import Counter, Gauge, Histogram

OWNED_PARTITIONS = Gauge(
    "notcharch_account_partitions", "Partitions that this daemon serves"
)
TAKEOVER_SECONDS = Histogram(
    "notcharch_account_takeover_seconds",
    "From a partition being dealt to it being served",
    buckets=(0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0),
)
UNANSWERED = Counter(
    "notcharch_account_unanswered", "Questions that no owner decided at once"
)
REFUSED_IN_OUTAGE = Counter(
    "notcharch_account_refused_in_outage",
    "Calls refused at once because their admission needs the store, which is down",
)
OUTAGE_RETRY_SECONDS = Histogram(
    "notcharch_account_outage_retry_seconds",
    "Retry delays that these calls were given",
    buckets=(0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0),
)
LIMIT_WAIT_SECONDS = Histogram(
    "notcharch_limit_wait_seconds",
    "Waits of calls for which a tenant's limit had room in a moment",
    buckets=(0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8),
)
LIMIT_REFUSALS = Counter(
    "notcharch_limit_refusals",
    "Calls that a tenant's limit refused, by the cause",
    ["tenant", "cause"],
)
LIMIT_RETRY_SECONDS = Counter(
    "notcharch_limit_retry_seconds",
    "Sum of the retry times given with these refusals",
    ["tenant", "cause"],
)
LIMIT_REFUSED_SECONDS = Histogram(
    "notcharch_limit_refused_seconds",
    "From the first refusal of a program until it began",
    buckets=(0.2, 0.5, 1.0, 2.0, 4.0, 8.0),
)
READ_BACK = Counter(
    "notcharch_account_turns_read_back",
    "Reads of turns whose texts were set aside, as memory was short",
)
BUDGET_DOUBTS = Counter(
    "notcharch_account_budget_doubts",
    "Calls refused for now, as it is not known what their programs have used",
)
RENEWED_RECORDS = Counter(
    "notcharch_account_renewed_records",
    "Records that were written again before the log drops them",
    ["kind"],
)
DOUBTED_TOKENS = Counter(
    "notcharch_account_doubted_tokens",
    "Tokens of which it is not known whether they were generated: taken over at a takeover,"
    " settled by the end of a call, given back as a history proved whole",
    ["change"],
)
GRANT_WAIT_SECONDS = Histogram(
    "notcharch_account_grant_wait_seconds",
    "Waits of streams for their next granted tokens",
    buckets=(0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2),
)
