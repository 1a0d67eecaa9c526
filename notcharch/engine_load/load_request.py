"""Collects the answers of several trackers for one dispatch. Pure."""

from collections.abc import Callable, Iterable, Mapping

import msgspec

from notcharch.scheduling.engine_load import EngineLoad

Loads = Mapping[str, EngineLoad]


class LoadRequest:
    """The answers so far, and how many are outstanding."""

    def __init__(
        self,
        own_calls: Callable[[], Mapping[str, int]],
        asked: int,
        then: Callable[[Loads], None],
    ) -> None:
        """Wait for `asked` answers; `own_calls` gives lower bounds of the loads."""
        self._own_calls = own_calls
        self._outstanding = asked
        self._then = then
        self._loads: dict[str, EngineLoad] = {}
        self.answers = 0
        """Number of trackers that answered."""

    def merge(self, loads: Iterable[EngineLoad]) -> None:
        """Add loads; of two answers for an engine, the larger one knows more calls."""
        for load in loads:
            known = self._loads.get(load.engine)
            self._loads[load.engine] = load if known is None else _larger(known, load)

    def answered(self, loads: Iterable[EngineLoad]) -> None:
        """Add the answer of a tracker."""
        self.answers += 1
        self.merge(loads)
        self._settle_one()

    def unanswered(self) -> None:
        """Record that a tracker does not answer."""
        self._settle_one()

    def finish_if_complete(self) -> None:
        """Give the loads if no answer is outstanding."""
        if self._outstanding == 0:
            self._then(self._with_own_calls())

    def _settle_one(self) -> None:
        self._outstanding -= 1
        self.finish_if_complete()

    def _with_own_calls(self) -> Loads:
        for engine, calls in self._own_calls().items():
            load = self._loads.get(engine)
            if load is not None and load.in_flight < calls:
                self._loads[engine] = msgspec.structs.replace(load, in_flight=calls)
        return self._loads


def _larger(first: EngineLoad, second: EngineLoad) -> EngineLoad:
    interval = first.event_interval_seconds
    if interval is None:
        interval = second.event_interval_seconds
    in_flight = max(first.in_flight, second.in_flight)
    return EngineLoad(first.engine, in_flight, interval)
