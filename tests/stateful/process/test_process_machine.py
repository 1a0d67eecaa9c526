"""Random lives of a process with a fixed seed, and breaks that they must catch."""

import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test
from twisted.internet.error import CannotListenError

from notcharch.http import listener
from notcharch.http.listener import Listener
from notcharch.platform import listeners, process
from notcharch.platform.listeners import PeersPortOpener, ProcessListeners
from notcharch.platform.process import Process
from notcharch.platform.reported_life import ReportedLife
from tests.stateful.process.machine import ProcessMachine
from tests.stateful.runs import RUN, assert_caught
from tests.unit.platform.ports import FRONT

LIVES = settings(RUN, max_examples=100)
BROKEN_LIVES = settings(
    LIVES, max_examples=300, phases=[Phase.generate], report_multiple_bugs=False
)


def test_a_process_waits_for_its_ports_and_is_never_half_started():
    run_state_machine_as_test(ProcessMachine, settings=LIVES)


def scripted_life():
    """Run a life in which sockets can't be created while a port is waited for.

    Whether random lives reach it depends on the modules that are loaded beside them.
    """
    machine = ProcessMachine()
    machine.first_start({FRONT}, has_tables=True, has_defect=False)
    try:
        machine.change_descriptors(has_descriptors=False)
        machine.wait(3.0)
        machine.check()
    finally:
        machine.teardown()


def test_a_process_without_descriptors_waits_for_its_ports():
    scripted_life()


def lives():
    try:
        scripted_life()
        run_state_machine_as_test(ProcessMachine, settings=BROKEN_LIVES)
    except AssertionError:
        raise
    except Exception as error:  # an exception of the process reached the machine
        raise AssertionError from error


def a_held_port_is_a_defect(monkeypatch):
    monkeypatch.setattr(listener, "LISTEN_ERRORS", ())


def a_failure_to_create_a_socket_is_a_defect(monkeypatch):
    monkeypatch.setattr(listener, "LISTEN_ERRORS", (CannotListenError,))


def a_held_port_ends_the_process(monkeypatch):
    def wait(one, _cause):
        one._on_error.__self__._reactor.stop()

    monkeypatch.setattr(Listener, "_wait", wait)


def a_port_is_given_up_after_some_failures(monkeypatch):
    original = Listener._wait

    def wait(one, cause):
        if one._failures < 5:
            original(one, cause)

    monkeypatch.setattr(Listener, "_wait", wait)


def delays_grow_without_a_bound(monkeypatch):
    original = listener.retry_delay
    monkeypatch.setattr(
        listener,
        "retry_delay",
        lambda failures, _bound, random: original(failures, 1000.0, random),
    )


def only_the_first_port_of_peers_is_tried(monkeypatch):
    original = ProcessListeners._peers_address

    def address(one):
        whole = original(one)
        return listeners.ListenAddress(whole.purpose, whole.host, whole.ports[:1])

    monkeypatch.setattr(ProcessListeners, "_peers_address", address)


def a_held_port_of_peers_counts_as_open(monkeypatch):
    original = PeersPortOpener.open

    def open_port(opener, host, port):
        try:
            original(opener, host, port)
        except (CannotListenError, OSError):
            opener.network = listeners.account_network(
                opener._reactor, listeners.Member("m", 1), opener._random
            )

    monkeypatch.setattr(PeersPortOpener, "open", open_port)


def a_missing_port_does_not_count(monkeypatch):
    monkeypatch.setattr(ProcessListeners, "missing", lambda _one: [])


def readiness_waits_for_the_port_of_metrics(monkeypatch):
    original = ProcessListeners.missing

    def missing(one):
        others = [x for x in one._listeners if x.address.purpose == "metrics"]
        return original(one) + [x.address.text() for x in others if not x.is_open]

    monkeypatch.setattr(ProcessListeners, "missing", missing)


def a_draining_process_is_ready(monkeypatch):
    monkeypatch.setattr(ReportedLife, "begin_drain", lambda _life: None)


def a_draining_process_waits_for_ports(monkeypatch):
    monkeypatch.setattr(ProcessListeners, "stop_waiting", lambda _one: None)


def an_early_stop_drains_as_if_callers_were_served(monkeypatch):
    monkeypatch.setattr(process, "BEFORE_PORTS", ())


def a_defect_is_only_logged(monkeypatch):
    monkeypatch.setattr(Process, "_fail", lambda *_: None)


def a_defect_ends_with_status_0(monkeypatch):
    monkeypatch.setattr(process, "FAILED_STATUS", 0)


def a_defect_leaves_ports_open(monkeypatch):
    monkeypatch.setattr(ProcessListeners, "stop", lambda _one: None)


def stale_tables_keep_the_state(monkeypatch):
    original = ReportedLife.observe

    def observe(life, missing, *, has_tables):
        is_serving = life.state is process.LifeState.SERVING
        original(life, missing, has_tables=has_tables or is_serving)

    monkeypatch.setattr(ReportedLife, "observe", observe)


BREAKS = [
    a_held_port_is_a_defect,
    a_failure_to_create_a_socket_is_a_defect,
    a_held_port_ends_the_process,
    a_port_is_given_up_after_some_failures,
    delays_grow_without_a_bound,
    only_the_first_port_of_peers_is_tried,
    a_held_port_of_peers_counts_as_open,
    a_missing_port_does_not_count,
    readiness_waits_for_the_port_of_metrics,
    a_draining_process_is_ready,
    a_draining_process_waits_for_ports,
    an_early_stop_drains_as_if_callers_were_served,
    a_defect_is_only_logged,
    a_defect_ends_with_status_0,
    a_defect_leaves_ports_open,
    stale_tables_keep_the_state,
]


@pytest.mark.parametrize("break_it", BREAKS)
def test_each_deliberate_break_is_caught(break_it, monkeypatch):
    assert_caught(break_it, lives, monkeypatch)
