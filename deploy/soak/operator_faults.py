"""What the operator does while faults strike: configurations, keys, drained zones."""

from deploy.soak.fault_targets import FaultKinds, Strike
from deploy.soak.zones import ZONES, Drain


class OperatorFaults(FaultKinds):
    """Planned changes for all daemons."""

    @property
    def planned(self) -> tuple[Strike, ...]:
        """What operators do."""
        return (self.configure, self.exchange_key, self.drain_zone)

    def end_all(self) -> None:
        """Give all zones back."""
        for drain in self._targets.drains.in_force():
            self._give_back(drain)

    def configure(self) -> str:
        """Write another version of the configuration."""
        self._targets.publish()
        return "another version of the configuration"

    def exchange_key(self) -> str:
        """Take a key of a tenant away, and add another."""
        return f"another key for {self._targets.exchange_key()}"

    def drain_zone(self) -> str:
        """Drain a zone, unless one is drained; its engines return cold."""
        targets = self._targets
        if targets.drains.in_force():
            return "a zone is drained already"
        drain = Drain(self._random.choice(ZONES), targets.reactor.seconds())
        targets.operator.drain(drain.zone)
        targets.drains.all.append(drain)
        seconds = self._later(2.0, 9.0, lambda: self._give_back(drain))
        return f"drain {drain.zone} for {seconds:.2f} s"

    def _give_back(self, drain: Drain) -> None:
        if drain.given_back_at is not None:
            return
        targets = self._targets
        for engine in targets.engines:
            if engine.zone == drain.zone:
                engine.turn_cold()
        drain.given_back_at = targets.reactor.seconds()
        targets.operator.give_back(drain.zone)
