"""Faults of daemons: they are killed, paused, stopped and told to reload."""

from collections.abc import Callable
from functools import partial

from deploy.soak.daemons import SoakDaemon
from deploy.soak.deadly import DaemonOutage
from deploy.soak.fault_targets import FaultKinds, Strike, mend_if_faulty

RESTART_SECONDS = 0.5
AWAIT_SECONDS = 0.2
"""Between two looks whether a process has ended."""
SEVERAL_SHARES = (0.5, 0.75, 1.0)
"""Of the daemons that are struck at once."""


class DaemonFaults(FaultKinds):
    """Faults of whole processes."""

    @property
    def planned(self) -> tuple[Strike, ...]:
        """What operators do."""
        return (self.stop_and_start, self.reload)

    @property
    def unplanned(self) -> tuple[Strike, ...]:
        """What happens to daemons."""
        return (self.kill_some, self.kill_most, self.pause)

    def some(self, share: float) -> list[SoakDaemon]:
        """Draw some daemons, one at least."""
        count = max(1, round(share * len(self._targets.daemons)))
        return self._random.sample(self._targets.daemons, count)

    def draw_several(self) -> list[SoakDaemon]:
        """Draw half of the daemons or more, all at most, also by planned work."""
        return self.some(self._random.choice(SEVERAL_SHARES))

    def _kill(self, struck: list[SoakDaemon]) -> str:
        for daemon in struck:
            daemon.kill()
            self.note_outage(daemon, loses_memory=True)
            self._later(RESTART_SECONDS, 2.0, daemon.start)
        return "kill " + " ".join(daemon.name for daemon in struck)

    def kill_some(self) -> str:
        """Kill a daemon."""
        return self._kill(self.some(0.25))

    def kill_most(self) -> str:
        """Kill half of the daemons or more."""
        return self._kill(self.some(self._random.choice((0.5, 0.75, 1.0))))

    def pause(self) -> str:
        """Let a daemon stand still."""
        [daemon] = self.some(0.0)
        daemon.pause()
        self.note_outage(daemon, loses_memory=False)
        seconds = self._later(0.3, 4.0, daemon.resume)
        return f"pause {daemon.name} for {seconds:.2f} s"

    def stop_and_start(self) -> str:
        """Stop a daemon, and start it when it has ended."""
        [daemon] = self.some(0.0)
        why_not = self.why_not(daemon)
        if why_not is not None:
            return why_not
        self.end(daemon, is_planned=True)
        self.after_end(daemon, daemon.start)
        return f"stop {daemon.name}"

    def why_not(self, daemon: SoakDaemon) -> str | None:
        """Return why a daemon is not to be ended now; None if it may be."""
        return f"{daemon.name} is stopping already" if daemon.is_stopping else None

    def end(self, daemon: SoakDaemon, *, is_planned: bool) -> None:
        """Tell a daemon to stop, or kill it."""
        if is_planned:
            daemon.terminate()
        else:
            daemon.kill()
        self.note_outage(daemon, loses_memory=True)

    def draw_planned(self) -> bool:
        """Draw whether a daemon is told to stop; else it is killed."""
        return self._targets.is_planned_only or self._random.random() < 0.5

    def note_outage(self, daemon: SoakDaemon, *, loses_memory: bool) -> None:
        """Note that a daemon is disturbed."""
        now = self._targets.reactor.seconds()
        self._targets.outages.append(DaemonOutage(daemon.name, now, loses_memory))

    def after_end(self, daemon: SoakDaemon, then: Callable[[], object]) -> None:
        """Call `then` when the present process of a daemon has ended."""
        self._await_end(daemon, daemon.process_id, then)

    def _await_end(
        self, daemon: SoakDaemon, process_id: int, then: Callable[[], object]
    ) -> None:
        if not daemon.is_running:
            then()
        elif daemon.process_id == process_id:
            again = partial(self._await_end, daemon, process_id, then)
            self._later(AWAIT_SECONDS, AWAIT_SECONDS, again)

    def reload(self) -> str:
        """Tell a daemon that its settings changed."""
        [daemon] = self.some(0.0)
        daemon.reload()
        return f"reload {daemon.name}"

    def end_all(self) -> None:
        """Let every daemon run again."""
        for daemon in self._targets.daemons:
            mend_if_faulty(daemon.store)
            daemon.release_ports()
            daemon.settings.write_whole()
            daemon.resume()
            if daemon.is_stopping:
                self.after_end(daemon, daemon.start)
            else:
                daemon.start()
