"""The life of a process, with its log lines and its metric."""

from collections.abc import Callable, Sequence

from prometheus_client import Gauge
from twisted.internet.interfaces import IReactorTime

from notcharch.events.event import emit
from notcharch.events.process import ProcessStateChanged
from notcharch.platform.life import LifeCore, LifeState, new_life

PROCESS_STATE = Gauge(
    "notcharch_process_state",
    "1 for the state in which the process is, 0 for all others",
    ["state"],
)


class ReportedLife:
    """The state machine of one process; each change of its state is reported."""

    def __init__(self, clock: IReactorTime, machine: str) -> None:
        """Begin before the settings are read."""
        self._clock = clock
        self._machine = machine
        self._life = new_life(LifeCore())
        self._since = clock.seconds()
        self.state = LifeState.WAITING_FOR_SETTINGS
        """The current state."""
        self._show()

    def settings_read(self, missing_ports: Sequence[str]) -> None:
        """Record that the settings are valid and ports are opened."""
        self._change(self._life.settings_read, missing_ports)

    def observe(self, missing_ports: Sequence[str], *, has_tables: bool) -> None:
        """Follow what is missing until callers are served."""
        if not missing_ports:
            waiting_for = [] if has_tables else ["tables"]
            self._change(self._life.ports_open, waiting_for)
        if has_tables:
            self._change(self._life.become_ready, [])
        else:
            self._change(self._life.lose_readiness, ["tables"])

    def begin_drain(self) -> None:
        """Record that the process was told to stop."""
        self._change(self._life.begin_drain, [])

    def finish(self) -> None:
        """Record that the process ends as it was told to."""
        self._change(self._life.finish, [])

    def fail(self) -> None:
        """Record that the process ends for a defect."""
        self._change(self._life.fail, [])

    def _change(
        self, life_input: Callable[[], LifeState], waiting_for: Sequence[str]
    ) -> None:
        former = self.state
        self.state = life_input()
        if self.state is former:
            return
        now = self._clock.seconds()
        seconds, self._since = now - self._since, now
        self._show()
        emit(
            ProcessStateChanged(
                self._machine,
                self.state.value,
                former.value,
                list(waiting_for),
                round(seconds, 3),
            )
        )

    def _show(self) -> None:
        for state in LifeState:
            PROCESS_STATE.labels(state.value).set(state is self.state)
