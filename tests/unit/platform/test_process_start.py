"""The start of a daemon's process, with each port held and each step failing.

A fault table: whatever stands in the way, the process waits for it or does without, and
is never half started.
"""

from unittest import mock

import msgspec
import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from notcharch.accounts.service import AccountsService
from notcharch.events.process import (
    ProcessStarted,
    ProcessStateChanged,
    ProcessStopped,
    StartFailed,
)
from notcharch.http import server
from notcharch.platform import components, listeners, process, tables
from notcharch.platform.listeners import daemon_name
from notcharch.platform.planned_stop import MAX_LEAVE_SECONDS
from notcharch.platform.probes import ReadinessHandler
from notcharch.quarantine.service import QuarantineService
from notcharch.stream_origins.exchange import StreamOriginExchange
from notcharch.tenants.freshness_exchange import TableFreshnessExchange
from tests.unit.platform.ports import (
    FRONT,
    METRICS,
    PEERS,
    READINESS,
    ProcessWorld,
)

RETRY_SECONDS = 1.1
"""Within this time a needed port is opened after it is free."""
METRICS_RETRY_SECONDS = 5.1
NEEDED = {
    "front": [FRONT],
    "readiness": [READINESS],
    "all ports of peers": list(PEERS),
    "front and readiness": [FRONT, READINESS],
    "everything": [FRONT, READINESS, METRICS, *PEERS],
}


@pytest.fixture
def new_world():
    worlds = []

    def new(*args, **kwargs) -> ProcessWorld:
        worlds.append(ProcessWorld(*args, **kwargs))
        return worlds[-1]

    yield new
    for world in worlds:
        world.close()


def states(world):
    return [change.state for change in world.logged(ProcessStateChanged)]


def test_a_start_without_faults_opens_all_ports_and_serves_with_its_tables(new_world):
    world = new_world().start()
    assert set(world.reactor.opened) == {FRONT, READINESS, METRICS, PEERS[0]}
    assert world.state == "loading"
    assert not world.process.is_ready
    world.has_tables = True
    assert world.process.is_ready
    assert states(world) == ["opening_ports", "loading", "serving"]
    assert len(world.logged(ProcessStarted)) == 1
    world.has_tables = False
    assert not world.process.is_ready
    assert world.state == "loading"


@pytest.mark.parametrize("held", NEEDED.values(), ids=NEEDED)
def test_a_held_port_is_waited_for(held, new_world):
    """Guards against an own end, and against a start that goes on for one part alone."""
    world = new_world(held)
    world.has_tables = True
    world.start()
    world.run(30)
    assert not world.reactor.hasStopped
    assert world.state == "opening_ports"
    assert not world.process.is_ready
    assert world.process.readiness().waiting_for
    assert not world.logged(ProcessStarted)
    world.reactor.held.clear()
    world.run(RETRY_SECONDS)
    assert world.process.is_ready
    assert {FRONT, READINESS} <= set(world.reactor.opened)
    assert world.process.exit_status == 0


def test_tables_are_followed_while_the_front_port_is_held(new_world):
    world = new_world([FRONT]).start()
    world.run(1)
    assert world.reactor.follows_store()
    assert READINESS in world.reactor.opened


def test_nothing_is_built_before_the_address_for_peers_is_known(new_world):
    """Guards against a member of the group that nobody can reach."""
    world = new_world(PEERS).start()
    world.run(30)
    assert not world.reactor.follows_store()
    assert FRONT not in world.reactor.opened
    world.reactor.held.remove(PEERS[5])
    world.run(RETRY_SECONDS)
    assert world.reactor.follows_store()
    assert FRONT in world.reactor.opened


@pytest.mark.parametrize("number_held", [0, 1, 15])
def test_the_first_free_port_for_peers_is_the_address_in_the_group(
    number_held, new_world
):
    joined = []
    world = new_world(PEERS[:number_held])
    with mock.patch.object(
        process.PlatformStore,
        "join",
        lambda _store, _name, member, *_: joined.append(member) or Deferred(),
    ):
        world.start()
    port = PEERS[number_held]
    name = "front-hall-a-1" + (f":{port}" if number_held else "")
    assert joined == [f"{name}|10.1.0.38:{port}"]
    assert world.logged(ProcessStarted)[0].peers == f"10.1.0.38:{port}"


def test_a_metrics_port_that_is_held_for_ever_is_done_without(new_world):
    world = new_world([METRICS])
    world.has_tables = True
    world.start()
    assert world.process.is_ready
    world.run(300)
    assert world.process.is_ready
    assert not world.reactor.hasStopped
    world.reactor.held.clear()
    world.run(METRICS_RETRY_SECONDS)
    assert METRICS in world.reactor.opened


def test_a_former_process_that_drains_is_waited_for(new_world):
    """It keeps its front port for 2.6 s, readiness and peers' port for 8 s."""
    world = new_world([FRONT, READINESS, METRICS, PEERS[0]])
    world.has_tables = True
    world.start()
    assert PEERS[1] in world.reactor.opened
    world.run(2.6)
    world.reactor.held.discard(FRONT)
    world.run(RETRY_SECONDS)
    assert FRONT in world.reactor.opened
    assert not world.process.is_ready
    world.run(8 - 2.6 - RETRY_SECONDS)
    world.reactor.held.clear()
    world.run(RETRY_SECONDS)
    assert world.process.is_ready


# Stops before the process serves


@pytest.mark.parametrize("held", NEEDED.values(), ids=NEEDED)
def test_a_stop_while_ports_are_held_ends_at_once_with_status_0(held, new_world):
    world = new_world(held).start()
    world.run(3)
    world.process.on_stop_signal()
    world.run(MAX_LEAVE_SECONDS + 0.1)
    assert world.reactor.hasStopped
    assert not world.reactor.opened
    assert world.process.exit_status == 0
    assert not world.stderr.getvalue()
    assert world.state == "stopped"
    assert len(world.logged(ProcessStopped)) == 1


def test_an_early_stop_takes_no_callers_while_it_leaves_the_group(new_world):
    """Guards against a call that begins in the last half second and is cut."""
    world = new_world([READINESS]).start()
    assert FRONT in world.reactor.opened
    world.process.on_stop_signal()
    assert not world.reactor.hasStopped
    assert FRONT not in world.reactor.opened


def test_a_stop_before_the_start_opens_nothing(new_world):
    world = new_world()
    world.process.on_stop_signal()
    world.process.on_stop_signal()
    assert world.reactor.hasStopped
    world.start()
    assert not world.reactor.opened
    assert world.process.exit_status == 0


def test_a_reload_before_the_ports_are_open_does_no_harm(new_world, monkeypatch):
    monkeypatch.setattr(process, "read_settings_file", lambda: process.Err(["gone"]))
    world = new_world(PEERS).start()
    world.process.on_reload_signal()
    world.run(3)
    assert world.state == "opening_ports"


def test_signals_after_an_early_stop_have_no_effect(new_world):
    world = new_world([FRONT]).start()
    world.process.on_stop_signal()
    world.process.on_stop_signal()
    world.process.on_reload_signal()
    world.run(3)
    assert world.reactor.hasStopped
    assert world.process.exit_status == 0


def test_a_port_that_is_free_during_a_stop_is_not_opened(new_world):
    """Guards against a draining process that takes new callers."""
    world = new_world([METRICS])
    world.has_tables = True
    world.start()
    world.process.on_stop_signal()
    assert world.state == "draining"
    world.reactor.held.clear()
    world.run(2)
    assert METRICS not in world.reactor.opened
    assert not world.process.is_ready


# Defects

DEFECT = RuntimeError("a defect")


STEPS = [
    (process, "ServerFactory"),
    (process, "ReadinessHandler"),
    (LoopingCall, "start"),
    (listeners, "account_network"),
    (listeners, "Listener"),
    (components, "AccountsService"),
    (components, "EnginePool"),
    (components, "Ingress"),
    (components, "PlatformTables"),
    (components, "TableFreshnessExchange"),
    (AccountsService, "start"),
    (tables.PlatformTables, "start"),
    (StreamOriginExchange, "start"),
    (QuarantineService, "start"),
    (components.EngineLoadExchange, "start"),
    (TableFreshnessExchange, "start"),
    (process.ProcessListeners, "open_front"),
    (process, "ProcessStarted"),
]


@pytest.mark.parametrize("is_late", [False, True], ids=["at once", "after a wait"])
@pytest.mark.parametrize(
    ("place", "name"), STEPS, ids=lambda part: getattr(part, "__name__", part)
)
def test_a_defect_in_a_step_of_the_start_ends_the_process(
    place, name, is_late, new_world
):
    """Guards against a process that lives and has started half of its parts."""
    world = new_world(PEERS if is_late else ())
    with mock.patch.object(place, name, side_effect=DEFECT):
        world.start()
        world.run(2)
        world.reactor.held.clear()
        world.run(2)
    assert world.reactor.hasStopped
    assert world.process.exit_status == 1
    assert not world.reactor.opened
    assert not world.process._ticks.running
    assert world.state == "failed"
    [line] = world.stderr.getvalue().splitlines()
    assert "a defect" in line
    [failed] = world.logged(StartFailed)
    assert "RuntimeError" in failed.traceback
    world.process.on_stop_signal()
    assert world.process.exit_status == 1


def test_a_defect_ends_the_process_although_it_can_not_be_reported(new_world):
    """Guards against a process that waits because its stderr is closed."""
    world = new_world()
    with (
        mock.patch.object(AccountsService, "start", side_effect=DEFECT),
        mock.patch.object(world.stderr, "write", side_effect=OSError),
    ):
        world.start()
    assert world.reactor.hasStopped
    assert world.process.exit_status == 1


def test_a_defect_in_a_tick_does_not_end_the_ticks(new_world):
    """Guards against a daemon that logs no change of its readiness any more."""
    world = new_world().start()
    with mock.patch.object(process.PauseWatch, "tick", side_effect=DEFECT):
        world.run(3)
    world.has_tables = True
    world.run(2)
    assert [one.is_ready for one in world.logged(process.ReadinessChanged)] == [True]
    assert not world.reactor.hasStopped


# What is told

CASES = {"held": [FRONT], "free": []}


@pytest.mark.parametrize("held", CASES.values(), ids=CASES)
def test_the_readiness_answer_tells_the_state_and_its_cause(held, new_world):
    world = new_world(held).start()
    exchange = mock.Mock(spec=server.Exchange)
    ReadinessHandler(world.process).handle(exchange)
    status, _headers, body = exchange.respond.call_args.args
    expected = (
        ("opening_ports", ["front port 10.1.0.38:8149"])
        if held
        else ("loading", ["tables"])
    )
    assert status == 503
    assert msgspec.json.decode(body) == {
        "state": expected[0],
        "waiting_for": expected[1],
    }


def test_a_name_differs_for_each_port_of_a_machine():
    """Guards against two processes of a machine under one name while one drains."""
    names = {daemon_name("m", port, PEERS[0]) for port in PEERS}
    assert len(names) == len(PEERS)
    assert daemon_name("m", PEERS[0], PEERS[0]) == "m"
