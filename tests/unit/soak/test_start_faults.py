"""What the faults of starts do to a daemon, and that they end."""

from random import Random

import pytest
from twisted.internet.testing import MemoryReactorClock

from deploy.soak import start_faults
from deploy.soak.daemon_faults import DaemonFaults
from deploy.soak.daemons import SoakDaemon
from deploy.soak.fault_targets import FaultTargets
from deploy.soak.faults import Faults
from deploy.soak.settings_file import MOST_SECONDS, SettingsFault
from deploy.soak.start_faults import (
    EARLY_SECONDS,
    LEAST_HOLD_SECONDS,
    MOST_HOLD_SECONDS,
    EarlySignal,
    StartFaults,
)
from deploy.soak.zones import Drains

STOP_SECONDS = 1.0
"""How long the processes of these tests drain."""


class Hold:
    """A held port."""

    def __init__(self, port, at):
        self.port = port
        self.at = at


class Daemon:
    """A daemon whose processes take a second to stop; notes what is done to it."""

    all_ports = [1, 2, 3, 4, 5]  # noqa: RUF012 - never changed
    peers = [4, 5]  # noqa: RUF012

    def __init__(self, name, reactor):
        self.name = name
        self.settings = self
        self.done = []
        self.held = []
        self.released = []
        self.fault = None
        self._reactor = reactor
        self._stopped_at = None
        self.is_alive = True
        self.process_id = 1

    def _note(self, what):
        self.done.append((what, self._reactor.seconds()))

    def names(self):
        return [what for what, _ in self.done]

    @property
    def is_running(self):
        if self._stopped_at is None:
            return self.is_alive
        return self._reactor.seconds() < self._stopped_at + STOP_SECONDS

    @property
    def is_in_service(self):
        return self.is_running and not self.is_stopping

    @property
    def is_stopping(self):
        return self._stopped_at is not None and self.is_running

    def terminate(self):
        self._note("TERM")
        self._stopped_at = self._reactor.seconds()

    def kill(self):
        self._note("KILL")
        self.is_alive = False

    def start(self):
        if not self.is_running:
            self._note("start")
            self.process_id += 1
            self._stopped_at, self.is_alive = None, True

    def start_next(self):
        self._note("start next" if self.is_stopping else "start")
        self.process_id += 1
        self._stopped_at, self.is_alive = None, True

    def reload(self):
        self._note("HUP")

    def pause(self):
        self._note("STOP")

    def resume(self):
        self._note("CONT")

    def hold(self, port, kind):
        assert not self.is_running
        hold = Hold(port, self._reactor.seconds())
        self.held.append(port)
        return hold

    def release(self, hold):
        self.released.append((hold.port, self._reactor.seconds() - hold.at))

    def spoil_settings(self, fault, random, seconds):
        self.fault = fault
        self._note("spoil")

    def write_whole(self):
        self.fault = None
        self._note("write")


class Scene:
    """Some daemons and the faults of their starts."""

    def __init__(self, seed=1, *, count=1, is_planned=False):
        self.reactor = MemoryReactorClock()
        self.daemons = [Daemon(f"d{n}", self.reactor) for n in range(count)]
        self.outages = []
        self.targets = FaultTargets(
            self.reactor,
            Random(seed),
            self.daemons,
            [],
            store=None,
            publish=lambda: None,
            exchange_key=lambda: "",
            operator=None,
            drains=Drains(),
            outages=self.outages,
            is_planned_only=is_planned,
        )
        self.faults = StartFaults(self.targets, DaemonFaults(self.targets))

    def run(self, seconds=8.0):
        self.reactor.pump([0.01] * round(seconds * 100))


SEEDS = range(12)


@pytest.mark.parametrize("seed", SEEDS)
def test_ports_are_held_from_the_end_of_a_daemon_beyond_its_start(seed):
    scene = Scene(seed)
    [daemon] = scene.daemons
    scene.faults.restart_on_taken_ports()
    scene.run()
    assert daemon.names()[0] in ("TERM", "KILL")
    assert daemon.names()[1:] == ["start"]
    assert daemon.held and set(daemon.held) <= set(daemon.all_ports)
    assert sorted(port for port, _ in daemon.released) == sorted(daemon.held)
    for _, seconds in daemon.released:
        assert LEAST_HOLD_SECONDS <= seconds <= MOST_HOLD_SECONDS + 0.02
    assert [outage.daemon for outage in scene.outages] == ["d0"]


def test_each_port_of_a_daemon_is_held_alone_and_with_others():
    held = []
    for seed in range(80):
        scene = Scene(seed)
        scene.faults.restart_on_taken_ports()
        scene.run(2.0)
        held.append(tuple(sorted(scene.daemons[0].held)))
    assert {(1,), (2,), (3,), (4,), (5,), (4, 5), (1, 2, 3, 4, 5)} <= set(held)


@pytest.mark.parametrize("is_planned", [True, False])
def test_several_daemons_restart_at_once_on_taken_ports(is_planned):
    counts = set()
    for seed in range(30):
        scene = Scene(seed, count=4, is_planned=is_planned)
        scene.faults.restart_several_on_taken_ports()
        scene.run()
        struck = [daemon for daemon in scene.daemons if daemon.held]
        assert all(daemon.is_running for daemon in scene.daemons)
        assert len({daemon.done[0][1] for daemon in struck}) == 1
        assert not is_planned or all(d.names()[0] == "TERM" for d in struck)
        counts.add(len(struck))
    assert (min(counts), max(counts)) == (2, 4)


@pytest.mark.parametrize("seed", SEEDS)
def test_the_next_process_starts_while_the_former_one_drains(seed, monkeypatch):
    monkeypatch.setattr(start_faults, "MOST_OVERLAP_DELAY_SECONDS", STOP_SECONDS / 2)
    scene = Scene(seed)
    scene.faults.start_beside_the_former()
    scene.run()
    assert scene.daemons[0].names() == ["TERM", "start next"]


@pytest.mark.parametrize("seed", range(40))
def test_signals_reach_a_daemon_in_its_first_moments(seed):
    scene = Scene(seed)
    [daemon] = scene.daemons
    scene.faults.signal_early()
    scene.run()
    started = next(n for n, what in enumerate(daemon.names()) if what == "start")
    at = daemon.done[started][1]
    signals = [(w, t) for w, t in daemon.done[started + 1 :] if w != "start"]
    assert signals
    assert all(t - at <= EARLY_SECONDS + 0.02 for _, t in signals)
    assert daemon.is_running and not daemon.is_stopping
    is_paused = "STOP" in daemon.names()
    assert is_paused == ("CONT" in daemon.names())


def test_every_series_of_early_signals_is_sent_and_planned_work_pauses_nobody():
    planned, all_kinds = set(), set()
    for seed in range(120):
        for is_planned, seen in ((True, planned), (False, all_kinds)):
            scene = Scene(seed, count=2, is_planned=is_planned)
            scene.faults.signal_early()
            scene.run()
            [struck] = [daemon for daemon in scene.daemons if daemon.done]
            seen.add(tuple(w for w in struck.names()[1:] if w != "start"))
    assert {("HUP",), ("TERM",), ("HUP", "TERM"), ("HUP", "HUP", "HUP")} <= planned
    assert not any(EarlySignal.PAUSE.value in series for series in planned)
    assert ("STOP", "CONT") in all_kinds


def test_settings_are_unfinished_at_a_start_and_written_soon():
    faults = set()
    for seed in range(60):
        scene = Scene(seed)
        [daemon] = scene.daemons
        scene.faults.start_with_late_settings()
        while daemon.fault is None:
            scene.run(0.01)
        faults.add(daemon.fault)
        scene.run(MOST_SECONDS + 0.1)
        assert daemon.names()[1:] == ["spoil", "start", "write"]
        assert daemon.fault is None
    assert faults == set(SettingsFault)


def test_settings_are_unfinished_at_a_reload_and_written_soon():
    scene = Scene()
    scene.faults.reload_late_settings()
    assert scene.daemons[0].names() == ["spoil", "HUP"]
    scene.run(MOST_SECONDS + 0.1)
    assert scene.daemons[0].names() == ["spoil", "HUP", "write"]


def test_planned_work_kills_and_pauses_nobody():
    for seed in range(30):
        scene = Scene(seed, count=4, is_planned=True)
        for strike in scene.faults.planned:
            strike()
        scene.run(20.0)
        done = {what for daemon in scene.daemons for what in daemon.names()}
        assert not done & {"KILL", "STOP"}


@pytest.mark.parametrize("name", ["stop_and_start", "end_several"])
def test_planned_work_may_stop_all_daemons(name):
    """Guards against planned soaks that never stop the last daemon in service."""
    in_service = set()
    for seed in range(20):
        scene = Scene(seed, count=3, is_planned=True)
        daemons = DaemonFaults(scene.targets)
        for _ in range(9):
            if name == "stop_and_start":
                daemons.stop_and_start()
            else:
                scene.faults.restart_several_on_taken_ports()
        in_service.add(sum(daemon.is_in_service for daemon in scene.daemons))
    assert 0 in in_service


def test_what_follows_the_end_of_one_process_does_not_follow_that_of_the_next():
    """A second start would come before the ports of a later fault are held."""
    scene = Scene()
    [daemon] = scene.daemons
    faults = DaemonFaults(scene.targets)
    called = []
    faults.end(daemon, is_planned=True)
    faults.after_end(daemon, lambda: called.append("late"))
    daemon.start_next()
    scene.run(1.0)
    daemon.kill()
    scene.run(1.0)
    assert called == []


def test_other_faults_end_the_last_daemon_as_well():
    scene = Scene(count=1)
    DaemonFaults(scene.targets).stop_and_start()
    assert scene.daemons[0].names() == ["TERM"]


def test_planned_and_other_soaks_draw_the_faults_of_starts():
    for is_planned in (True, False):
        targets = Scene(is_planned=is_planned).targets
        names = {kind.__name__ for kind in Faults(targets).kinds}
        assert {
            kind.__name__
            for kind in StartFaults(targets, DaemonFaults(targets)).planned
        } <= names


def test_everything_is_given_back_at_the_end(tmp_path):
    class Link:
        port = 1
        fault = None

    daemon = SoakDaemon("d0", tmp_path, Link())
    held = daemon.hold(daemon.front, start_faults.HoldKind.LISTENING)
    assert daemon.front_leads_to_the_soak
    daemon.spoil_settings(SettingsFault.EMPTY, Random(1), 1.0)
    daemon.release_ports()
    daemon.settings.write_whole()
    assert held not in daemon.holds
    assert not daemon.front_is_held
    assert daemon.settings.path.read_text()
