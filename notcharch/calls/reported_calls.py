"""Reports this daemon's calls at engines to the exchange of loads, in pairs."""

from notcharch.calls.interface import Engine, LoadExchange, NoLoadExchange


class ReportedCalls:
    """The calls that were reported as started and not yet as ended.

    An engine may be removed from the list while calls run there, and listed again: each
    start that was reported still gets exactly one end.
    """

    def __init__(self) -> None:
        """Start without an exchange."""
        self.exchange: LoadExchange = NoLoadExchange()
        self._services: dict[str, str] = {}
        self._counts: dict[str, int] = {}

    def started(self, engine: Engine) -> None:
        """Report the start of a call."""
        self._services[engine.id] = engine.service
        self._counts[engine.id] = self._counts.get(engine.id, 0) + 1
        self.exchange.call_started(engine.service, engine.id)

    def ended(self, engine_id: str, event_interval_seconds: float | None) -> None:
        """Report the end of a call whose start was reported."""
        count = self._counts.get(engine_id, 0)
        if count == 0:
            return
        service = self._services[engine_id]
        if count == 1:
            del self._counts[engine_id]
            del self._services[engine_id]
        else:
            self._counts[engine_id] = count - 1
        self.exchange.call_ended(service, engine_id, event_interval_seconds)
