"""An engine together with its faults, and all engines by address."""

from emulator.engine.model import EngineModel
from emulator.faults import TRANSPORT_FAULTS, FaultKind, TransportFaults


class EngineHost:
    """An engine's model and the faults of the way to it."""

    def __init__(self, model: EngineModel) -> None:
        """Begin without faults."""
        self.model = model
        self.transport = TransportFaults(model.clock)

    def order_fault(self, fault: FaultKind, argument: float | None) -> bool:
        """Begin any fault of an engine."""
        if fault in TRANSPORT_FAULTS:
            self.transport.order(fault, argument)
            if self.transport.down:
                self.model.break_streams()
            return True
        return self._order_model_fault(fault, argument)

    def clear_faults(self) -> None:
        """End all active faults; state lost in a restart stays lost."""
        model = self.model
        self.transport.clear()
        model.events.delay_seconds = model.rates.cache_event_delay_seconds
        model.events.loss = model.rates.cache_event_loss
        model.lagging_load.frozen = False
        model.set_slowdown(1.0)
        model.stall(False)
        model.come_back()

    def _order_model_fault(self, fault: FaultKind, argument: float | None) -> bool:
        model = self.model
        if fault is FaultKind.LAG:
            model.events.delay_seconds = argument or 0.0
        elif fault is FaultKind.EVENT_LOSS:
            model.events.loss = argument or 0.0
        elif fault is FaultKind.FREEZE_LOAD:
            model.lagging_load.frozen = True
        elif fault is FaultKind.SLOW_STEPS:
            model.set_slowdown(argument or 1.0)
        elif fault is FaultKind.STALL:
            model.stall(True)
        elif fault is FaultKind.BREAK_STREAMS:
            model.break_streams()
        elif fault is FaultKind.RESTART:
            self._restart(argument)
        elif fault is FaultKind.LEAVE:
            model.leave()
        else:
            return False
        return True

    def _restart(self, down_seconds: float | None) -> None:
        if down_seconds:
            self.transport.order(FaultKind.DOWN, down_seconds)
        self.model.restart()


EnginesByAddress = dict[str, EngineHost]
"""All engines, by `host:port`."""
