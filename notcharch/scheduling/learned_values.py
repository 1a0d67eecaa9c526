"""Values that a daemon learns from its own calls, with bounded weights. Pure."""

LEARNING_WEIGHT = 0.1
"""Weight of the newest sample: about ten count, which is some seconds of one daemon's
calls."""
ASSUMED_SECONDS_PER_TOKEN = 1e-5
"""Time to read a prompt token before it is learned: histories of some thousand tokens
take some 20 ms."""
MIN_SECONDS_PER_TOKEN = 2e-6
MAX_SECONDS_PER_TOKEN = 5e-5
"""Bounds of each sample: callers state the number of tokens, and must not change the
choice for other programs by more than this factor of five."""
MIN_SAMPLE_TOKENS = 200
"""Shorter prompts take no longer than the variation of a first event."""
ASSUMED_FIRST_EVENT_SECONDS = 0.01
"""Time to the first event at an engine that caches the prefix, before it is learned:
the connection and the first token."""
ASSUMED_RUN_SECONDS = 0.15
"""Duration of a run before one was seen: that of the usual model call."""
ASSUMED_EVENTS = 16.0
"""Events of a stream before one was seen."""


class LearnedMean:
    """A running mean with a bounded weight of the newest sample."""

    def __init__(
        self,
        assumed: float,
        weight: float = LEARNING_WEIGHT,
        *,
        replaces_assumed: bool = True,
    ) -> None:
        """`assumed` is its value before the first sample.

        The first sample replaces it, or else weighs as much as each later one.
        """
        self.value = assumed
        self.has_samples = False
        self._weight = weight
        self._replaces_assumed = replaces_assumed

    def record(self, sample: float) -> None:
        """Add one sample."""
        if self._replaces_assumed and not self.has_samples:
            self.value = sample
        self.has_samples = True
        self.value += self._weight * (sample - self.value)


class PromptReadingTime:
    """The seconds that a service's engines need to read one token of a prompt.

    Learned from first events of calls that met a free slot: those at engines without the
    prefix take longer, by the reading of it.
    """

    def __init__(self) -> None:
        """Start with the assumed values."""
        self._first_event = LearnedMean(ASSUMED_FIRST_EVENT_SECONDS)
        self._per_token = LearnedMean(ASSUMED_SECONDS_PER_TOKEN, replaces_assumed=False)

    @property
    def seconds_per_token(self) -> float:
        """The time to read one token."""
        return self._per_token.value

    def record_cached(self, first_event_seconds: float) -> None:
        """Record the first event of a call whose prefix was cached."""
        self._first_event.record(first_event_seconds)

    def record_uncached(self, first_event_seconds: float, tokens: int) -> None:
        """Record the first event of a call whose prompt was read."""
        if tokens < MIN_SAMPLE_TOKENS:
            return
        sample = (first_event_seconds - self._first_event.value) / tokens
        bounded = min(max(sample, MIN_SECONDS_PER_TOKEN), MAX_SECONDS_PER_TOKEN)
        self._per_token.record(bounded)


class ServiceLearning:
    """What a daemon has learned of one service."""

    def __init__(self) -> None:
        """Start without samples."""
        self.reading = PromptReadingTime()
        self._run = LearnedMean(ASSUMED_RUN_SECONDS)

    def record_run(self, seconds: float) -> None:
        """Record the duration of a successful run, from sending to its end."""
        self._run.record(seconds)

    @property
    def usual_run_seconds(self) -> float:
        """The usual duration of a run, assumed before the first."""
        return self._run.value

    @property
    def mean_run_seconds(self) -> float | None:
        """The mean duration of a run; None if none was seen."""
        return self._run.value if self._run.has_samples else None
