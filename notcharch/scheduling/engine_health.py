"""The health of an engine as its responses show it. Pure.

While other engines are available, an engine is avoided

- after a failure, for a time that doubles with each further failure;
- briefly after it refused a call because it was full;
- while calls are outstanding and it has been silent for longer than is usual in its
  service;
- while its events arrive much more slowly than those of its service.

What the engine reports of itself doesn't count. The duration of a call is estimated
over a longer time, because engines of one service differ in speed. All times are clock
seconds.
"""

from statistics import median

import msgspec

SUSPECT_SECONDS = 1.0
"""How long an engine is avoided after a failure; doubled by each further failure."""
MAX_SUSPECT_SECONDS = 4.0
"""Maximum time for which a failed engine is avoided."""
AVOID_FULL_SECONDS = 0.25
"""How long an engine is avoided after it refused a call because it was full."""
MIN_SILENCE_SECONDS = 0.3
"""A shorter silence is never suspicious."""
SILENCE_FACTOR = 2.0
"""A silence is suspicious beyond this multiple of the longest usual silence."""
SILENCE_MEMORY = 0.98
"""Decay of the longest usual silence with each response."""
INTERVAL_WEIGHT = 0.2
"""Weight of the newest interval between two events in an engine's mean."""
SLOW_INTERVAL_FACTOR = 2.5
"""An engine is slow when its event interval exceeds this multiple of its service's
median."""
INTERVAL_EXPIRY_SECONDS = 2.0
"""An engine without events for this time is no longer considered slow."""
DURATION_WEIGHT = 0.1
"""Weight of the newest response in the means of an engine's speed: about ten responses
count, which one of many daemons receives in about ten seconds."""
MIN_RUNS = 3
"""Minimum number of responses before an engine's speed is known."""
MIN_MEASURED_ENGINES = 3
"""With fewer engines whose event interval is known, none is considered slow."""


def smoothed(mean: float, newest: float) -> float:
    """Return the running mean after one more value; 0 means no value before."""
    return mean + DURATION_WEIGHT * (newest - mean) if mean else newest


class HealthPolicy(msgspec.Struct, frozen=True):
    """What is monitored."""

    watches_silence: bool = True
    watches_event_interval: bool = True


class ServiceHealth:
    """What is usual among the engines of one service."""

    def __init__(self, policy: HealthPolicy) -> None:
        """Start without observations."""
        self.policy = policy
        self._longest_silence = 0.0
        self._mean_events = 0.0
        self._engines: list[EngineHealth] = []

    def compare(self, engines: "list[EngineHealth]") -> None:
        """Set the engines to compare."""
        self._engines = engines

    def record_silence(self, seconds: float) -> None:
        """Record how long an engine with outstanding calls was silent."""
        decayed = self._longest_silence * SILENCE_MEMORY
        self._longest_silence = max(seconds, decayed + seconds * (1 - SILENCE_MEMORY))

    def record_stream_length(self, events: int) -> None:
        """Record the number of events of a stream."""
        self._mean_events = smoothed(self._mean_events, events)

    @property
    def mean_events(self) -> float:
        """Return the mean number of events of a stream."""
        return self._mean_events

    @property
    def max_silence_seconds(self) -> float:
        """Return the silence beyond which an engine is suspected."""
        return max(MIN_SILENCE_SECONDS, SILENCE_FACTOR * self._longest_silence)

    def slow_interval_seconds(self, now: float) -> float | None:
        """Return the event interval beyond which an engine is slow, None if unknown."""
        intervals = [
            engine.event_interval_seconds
            for engine in self._engines
            if engine.has_event_interval(now)
        ]
        if len(intervals) < MIN_MEASURED_ENGINES:
            return None
        return SLOW_INTERVAL_FACTOR * median(intervals)


class EngineHealth:
    """The health of one engine as observed by local calls."""

    def __init__(self, service: ServiceHealth) -> None:
        """Start healthy."""
        self._service = service
        self._outstanding = 0
        """Outstanding calls that wait for a response or the rest of one."""
        self._silent_since = 0.0
        """Start of the current silence, while calls are outstanding."""
        self._avoid_until = 0.0
        self._failures = 0
        """The number of consecutive failures."""
        self._received_at: float | None = None
        self.event_interval_seconds = 0.0
        """Mean interval between two events of a call, for the comparison with other
        engines."""
        self._interval_at: float | None = None
        self._runs = 0
        """Number of first events seen."""
        self._mean_first_event_seconds = 0.0
        """Mean seconds from sending a call to its first event."""
        self._mean_interval_seconds = 0.0
        """Long-term mean of the seconds between two events of a call."""

    def sent(self, now: float) -> None:
        """Record that a call was sent."""
        if not self._outstanding:
            self._silent_since = now
        self._outstanding += 1

    def received(self, now: float) -> None:
        """Record that a part of a response arrived."""
        self._service.record_silence(now - self._silent_since)
        self._silent_since = now
        self._received_at = now
        self._failures = 0

    def record_event_interval(self, seconds: float, now: float) -> None:
        """Record the interval between two events of one call."""
        if not self.has_event_interval(now):
            self.event_interval_seconds = seconds
        self.event_interval_seconds += INTERVAL_WEIGHT * (
            seconds - self.event_interval_seconds
        )
        self._interval_at = now
        self._mean_interval_seconds = smoothed(self._mean_interval_seconds, seconds)

    def record_first_event(self, seconds: float) -> None:
        """Record the time from sending a call to its first event."""
        self._mean_first_event_seconds = smoothed(
            self._mean_first_event_seconds, seconds
        )
        self._runs += 1

    @property
    def run_seconds(self) -> float | None:
        """Return the expected duration of a call of mean length, None if unknown."""
        if self._runs < MIN_RUNS:
            return None
        intervals = max(self._service.mean_events - 1.0, 0.0)
        return self._mean_first_event_seconds + intervals * self._mean_interval_seconds

    def finished(self) -> None:
        """Record that a call ended, with any outcome."""
        self._outstanding = max(self._outstanding - 1, 0)

    def failed(self, now: float) -> float:
        """Avoid the engine after a failed connection; return until when."""
        seconds = min(SUSPECT_SECONDS * 2**self._failures, MAX_SUSPECT_SECONDS)
        self._failures += 1
        self._avoid_until = now + seconds
        return self._avoid_until

    def responded_within(self, now: float, within_seconds: float) -> bool:
        """Return whether a response arrived within the last seconds."""
        return (
            self._received_at is not None and now - self._received_at < within_seconds
        )

    def refused(self, now: float) -> None:
        """Avoid the engine briefly because it refused a call."""
        self._avoid_until = max(self._avoid_until, now + AVOID_FULL_SECONDS)

    def has_event_interval(self, now: float) -> bool:
        """Return whether the event interval is recent."""
        return (
            self._interval_at is not None
            and now - self._interval_at < INTERVAL_EXPIRY_SECONDS
        )

    def is_silent(self, now: float) -> bool:
        """Return whether calls are outstanding and the silence is too long."""
        max_silence = self._service.max_silence_seconds
        return bool(self._outstanding) and now - self._silent_since > max_silence

    def is_suspect(self, now: float, slow_interval_seconds: float | None) -> bool:
        """Return whether other engines should be preferred."""
        if now < self._avoid_until:
            return True
        policy = self._service.policy
        if policy.watches_silence and self.is_silent(now):
            return True
        if slow_interval_seconds is None or not policy.watches_event_interval:
            return False
        return (
            self.has_event_interval(now)
            and self.event_interval_seconds > slow_interval_seconds
        )
