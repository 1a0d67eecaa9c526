"""What the answers of an engine show of its health, whatever it says itself. Pure.

An engine is passed over, while others serve,

- for a while after a failure, twice as long after each further one;
- for a moment after it refused a call because it was full;
- while it owes answers and has been silent for longer than engines of its service are;
- while its events come much more slowly than those of its service.

How long a call takes there from its sending to its end is learned as well, over a longer
time: engines of one service differ in speed.

All times are clock seconds.
"""

from statistics import median

import msgspec

SUSPECT_SECONDS = 1.0
"""So long an engine that failed is passed over; twice as long after each failure more."""
MAX_SUSPECT_SECONDS = 4.0
"""An engine is tried again after so long, whatever it did before."""
FULL_SECONDS = 0.25
"""So long an engine that was full is passed over."""
MIN_SILENCE_SECONDS = 0.3
"""A shorter silence says nothing."""
SILENCE_FACTOR = 2.0
"""Nor does one that is shorter than this times the longest usual one."""
SILENCE_MEMORY = 0.98
"""The longest usual silence is forgotten by so much with each answer."""
INTERVAL_WEIGHT = 0.2
"""Of the newest time between two events in an engine's mean."""
SLOW_INTERVAL_FACTOR = 2.5
"""An engine is slow when its events take so many times the median of its service."""
INTERVAL_EXPIRY_SECONDS = 2.0
"""An engine that showed no event for so long may be tried again."""
DURATION_WEIGHT = 0.1
"""Of the newest answer in what is usual for an engine: some ten answers count, which one of
many daemons gets from an engine in some ten seconds."""
MIN_RUNS = 3
"""Before so many answers an engine's speed isn't known."""
MIN_MEASURED_ENGINES = 3
"""With fewer engines whose pace is known, none is called slow."""


def smoothed(mean: float, newest: float) -> float:
    """Give the running mean after one more value; 0 stands for none before."""
    return mean + DURATION_WEIGHT * (newest - mean) if mean else newest


class HealthPolicy(msgspec.Struct, frozen=True):
    """What is watched."""

    watches_silence: bool = True
    watches_event_interval: bool = True


class ServiceHealth:
    """What is usual among the engines of one service."""

    def __init__(self, policy: HealthPolicy) -> None:
        """Begin without any observation."""
        self.policy = policy
        self._longest_silence = 0.0
        self._mean_events = 0.0
        self._engines: list[EngineHealth] = []

    def compare(self, engines: "list[EngineHealth]") -> None:
        """Compare these engines from now on."""
        self._engines = engines

    def record_silence(self, seconds: float) -> None:
        """Learn how long an engine that owed an answer said nothing."""
        faded = self._longest_silence * SILENCE_MEMORY
        self._longest_silence = max(seconds, faded + seconds * (1 - SILENCE_MEMORY))

    def record_stream_length(self, events: int) -> None:
        """Learn how many events a stream has."""
        self._mean_events = smoothed(self._mean_events, events)

    @property
    def mean_events(self) -> float:
        """Give how many events a stream of the service has."""
        return self._mean_events

    @property
    def max_silence_seconds(self) -> float:
        """Give the silence beyond which an engine is suspected."""
        return max(MIN_SILENCE_SECONDS, SILENCE_FACTOR * self._longest_silence)

    def slow_interval_seconds(self, now: float) -> float | None:
        """Give the time between events beyond which an engine is slow, if known."""
        intervals = [
            engine.event_interval_seconds
            for engine in self._engines
            if engine.has_event_interval(now)
        ]
        if len(intervals) < MIN_MEASURED_ENGINES:
            return None
        return SLOW_INTERVAL_FACTOR * median(intervals)


class EngineHealth:
    """What own calls showed of one engine."""

    def __init__(self, service: ServiceHealth) -> None:
        """Begin sound."""
        self._service = service
        self._owed = 0
        """Calls that wait for an answer, or for more of it."""
        self._silent_since = 0.0
        """Since when, if anything is owed."""
        self._avoid_until = 0.0
        self._failures = 0
        """In a row."""
        self._received_at: float | None = None
        self.event_interval_seconds = 0.0
        """The mean time between two events of a call."""
        self._interval_at: float | None = None
        self._runs = 0
        """First answers that were seen."""
        self._mean_first_event_seconds = 0.0
        """Seconds from a call's sending to its first event."""
        self._mean_interval_seconds = 0.0
        """Seconds between two events of one call."""

    def sent(self, now: float) -> None:
        """Note that a call went there."""
        if not self._owed:
            self._silent_since = now
        self._owed += 1

    def received(self, now: float) -> None:
        """Note a part of an answer."""
        self._service.record_silence(now - self._silent_since)
        self._silent_since = now
        self._received_at = now
        self._failures = 0

    def record_event_interval(self, seconds: float, now: float) -> None:
        """Note the time between two events of one call."""
        if not self.has_event_interval(now):
            self.event_interval_seconds = seconds
        self.event_interval_seconds += INTERVAL_WEIGHT * (
            seconds - self.event_interval_seconds
        )
        self._interval_at = now
        self._mean_interval_seconds = smoothed(self._mean_interval_seconds, seconds)

    def record_first_event(self, seconds: float) -> None:
        """Note how long after a call's sending its first event came."""
        self._mean_first_event_seconds = smoothed(
            self._mean_first_event_seconds, seconds
        )
        self._runs += 1

    @property
    def run_seconds(self) -> float | None:
        """Give how long a call of usual length takes here; None if that isn't known."""
        if self._runs < MIN_RUNS:
            return None
        intervals = max(self._service.mean_events - 1.0, 0.0)
        return self._mean_first_event_seconds + intervals * self._mean_interval_seconds

    def finished(self) -> None:
        """Note that a call is over, however it ended."""
        self._owed = max(self._owed - 1, 0)

    def failed(self, now: float) -> float:
        """Pass over an engine that could not be spoken to; give until when."""
        seconds = min(SUSPECT_SECONDS * 2**self._failures, MAX_SUSPECT_SECONDS)
        self._failures += 1
        self._avoid_until = now + seconds
        return self._avoid_until

    def responded_within(self, now: float, within_seconds: float) -> bool:
        """Tell whether it answered lately."""
        return (
            self._received_at is not None and now - self._received_at < within_seconds
        )

    def refused(self, now: float) -> None:
        """Pass over an engine that took no more."""
        self._avoid_until = max(self._avoid_until, now + FULL_SECONDS)

    def has_event_interval(self, now: float) -> bool:
        """Tell whether its pace was seen lately."""
        return (
            self._interval_at is not None
            and now - self._interval_at < INTERVAL_EXPIRY_SECONDS
        )

    def is_silent(self, now: float) -> bool:
        """Tell whether it owes answers and has said nothing for too long."""
        max_silence = self._service.max_silence_seconds
        return bool(self._owed) and now - self._silent_since > max_silence

    def is_suspect(self, now: float, slow_interval_seconds: float | None) -> bool:
        """Tell whether others should be preferred."""
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
