"""The rate-limited weight store."""

import attrs
from result import Err, Ok, Result
from twisted.internet.interfaces import IReactorTime

from emulator.engine.refusals import EngineRefusal, RefusalCode
from notcharch.values.identifiers import EngineName, RequestId


@attrs.frozen
class _Pull:
    weights: str
    engine: EngineName
    started_at: float


class WeightStore:
    """Begins a pull each `seconds_between_pulls`; one lasts `pull_seconds`."""

    def __init__(
        self, clock: IReactorTime, seconds_between_pulls: float, pull_seconds: float
    ) -> None:
        """Begin with the right to one pull."""
        self._clock = clock
        self._seconds_between_pulls = seconds_between_pulls
        self._pull_seconds = pull_seconds
        self._next_pull_at = clock.seconds()
        self._pulls: dict[RequestId, _Pull] = {}

    @property
    def pull_count(self) -> int:
        """Count the pulls begun."""
        return len(self._pulls)

    def start(
        self, weights: str, engine: EngineName
    ) -> Result[RequestId, EngineRefusal]:
        """Begin a pull, or say when to come back."""
        now = self._clock.seconds()
        if now < self._next_pull_at:
            wait = self._next_pull_at - now
            return Err(EngineRefusal(RefusalCode.RATE_LIMITED, "too many pulls", wait))
        self._next_pull_at = now + self._seconds_between_pulls
        pull = RequestId(f"pull-{len(self._pulls) + 1}")
        self._pulls[pull] = _Pull(weights, engine, now)
        return Ok(pull)

    def fraction(self, pull: RequestId) -> Result[float, EngineRefusal]:
        """Give the part that is done, 0.0 … 1.0."""
        started = self._pulls.get(pull)
        if started is None:
            return Err(EngineRefusal(RefusalCode.UNKNOWN_REQUEST, "no such pull"))
        passed = self._clock.seconds() - started.started_at
        return Ok(min(1.0, passed / self._pull_seconds))
