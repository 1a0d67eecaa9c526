"""The faults of a soak: each is begun, and ended some seconds later."""

from deploy.soak.daemon_faults import DaemonFaults
from deploy.soak.engine_faults import EngineFaults
from deploy.soak.fault_targets import FaultTargets, Strike
from deploy.soak.operator_faults import OperatorFaults
from deploy.soak.start_faults import StartFaults
from deploy.soak.store_faults import StoreFaults


class Faults:
    """Begins random faults; several may be under way at once."""

    def __init__(self, targets: FaultTargets) -> None:
        """Strike these."""
        self._targets = targets
        self.steps: list[str] = []
        """What was done, in order, each with its seconds."""
        self._began = targets.reactor.seconds()
        self.daemons = DaemonFaults(targets)
        self.starts = StartFaults(targets, self.daemons)
        self.store = StoreFaults(targets)
        self.engines = EngineFaults(targets)
        self.operator = OperatorFaults(targets)
        planned = (
            *self.daemons.planned,
            *self.starts.planned,
            *self.store.planned,
            *self.engines.planned,
            *self.operator.planned,
        )
        unplanned = (
            *self.daemons.unplanned,
            *self.store.unplanned,
            *self.engines.unplanned,
        )
        self.kinds: tuple[Strike, ...] = (
            planned if targets.is_planned_only else planned + unplanned
        )

    def strike(self) -> None:
        """Begin one fault."""
        kind = self._targets.random.choice(self.kinds)
        self.note(kind())

    def note(self, step: str) -> None:
        """Note what happened now."""
        seconds = self._targets.reactor.seconds() - self._began
        self.steps.append(f"{seconds:6.2f} {step}")

    def end(self) -> None:
        """End everything that was begun."""
        self.store.end_all()
        self.operator.end_all()
        self.engines.end_all()
        self.daemons.end_all()
