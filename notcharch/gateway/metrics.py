"""Metrics of the gateway, registered in the registry of the daemon."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

LATENCY_BUCKETS = (0.01, 0.05, 0.1, 0.25, 0.53, 1, 2.5, 5, 10, 30, 60, 120, 300)


class GatewayMetrics:
    """Counts, durations and tokens; updated once per call, never per token."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register every metric in `registry`."""
        self.calls = Counter(
            "notcharch_gateway_calls",
            "Calls that ended, by outcome (answered or the problem's code)",
            ["outcome"],
            registry=registry,
        )
        self.requests = Counter(
            "notcharch_gateway_responses",
            "HTTP responses, by status",
            ["status"],
            registry=registry,
        )
        self.running = Gauge(
            "notcharch_gateway_running_calls",
            "Calls that this gateway is running",
            registry=registry,
        )
        self.admission_seconds = Histogram(
            "notcharch_gateway_admission_seconds",
            "From the request to the opening of the engine's stream",
            buckets=LATENCY_BUCKETS,
            registry=registry,
        )
        self.call_seconds = Histogram(
            "notcharch_gateway_call_seconds",
            "From the request to the stored answer",
            buckets=LATENCY_BUCKETS,
            registry=registry,
        )
        self.prompt_tokens = Counter(
            "notcharch_gateway_prompt_tokens",
            "Prompt tokens of answered calls",
            registry=registry,
        )
        self.cached_tokens = Counter(
            "notcharch_gateway_cached_tokens",
            "Prompt tokens that an engine had in its cache",
            registry=registry,
        )
        self.relayed_tokens = Counter(
            "notcharch_gateway_relayed_tokens",
            "Generated tokens of answered calls",
            registry=registry,
        )
        self.repeated_attempts = Counter(
            "notcharch_gateway_repeated_attempts",
            "Attempts after an engine lost the one before",
            registry=registry,
        )
        self.stalled_callers = Counter(
            "notcharch_gateway_stalled_callers",
            "Callers cut off because they took nothing for too long",
            registry=registry,
        )
