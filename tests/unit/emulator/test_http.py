"""What only the HTTP stand-ins have: control, error bodies, event text, back-pressure.

tests/contract/ holds the stand-ins and the real clients to one contract.
"""

import json
import signal
import subprocess
import sys

import pytest
import treq
from twisted.internet import reactor
from twisted.internet.address import IPv4Address
from twisted.web.test.requesthelper import DummyChannel, DummyRequest

from emulator.engine.stream_events import DONE_EVENT, render_events
from emulator.http.stream_writer import StreamWriter
from emulator.settings import load_emulator_settings
from emulator.system import start_emulator
from emulator.virtual_clock import VirtualClock
from notcharch.clients.answer_collector import AnswerCollector
from notcharch.clients.connections import Connections
from notcharch.values.identifiers import RegionName
from tests.contract.spin import HANG_SECONDS, spin
from tests.unit.emulator.builders import answer_marker, engine, request

SETTINGS = """
[emulator]
machine_list_lag_seconds = 0.0
tool_seconds = 0.0
[model_engine]
step_seconds = 0.001
[[engines]]
name = "model-1"
pools = ["model"]
"""

DAEMON = {
    "name": "daemon-1",
    "kind": "daemon",
    "region": "region1",
    "zone": "zone1",
    "address": "127.0.0.1:1",
    "state": "live",
}


class Caller:
    """Speaks plain HTTP to a running emulator."""

    def __init__(self, emulator):
        self.emulator = emulator
        self.engine = emulator.addresses.engines["model-1"]
        self.control = emulator.addresses.control
        self.connections = Connections(reactor, HANG_SECONDS)

    async def call(self, method, address, path, body=None):
        data = None if body is None else json.dumps(body).encode()
        reply = await treq.request(
            method, f"http://{address}{path}", data=data, agent=self.connections.agent
        )
        return reply.code, await reply.content()


def with_emulator(check):
    async def run():
        settings = load_emulator_settings(SETTINGS, "test").unwrap()
        emulator = await start_emulator(reactor, settings)
        caller = Caller(emulator)
        try:
            await check(caller)
        finally:
            await caller.connections.close()
            await emulator.stop()
            for call in reactor.getDelayedCalls():
                call.cancel()

    spin(run())


def completion(**changes):
    body = {
        "model": "model",
        "messages": [{"role": "user", "content": "[answer-tokens:3]"}],
        "request_id": "a/1",
        "program": "p",
        "epoch": 2,
        "stream": True,
    }
    return body | changes


def test_a_stream_is_openai_text_with_numbered_events():
    async def check(caller):
        path = "/v1/chat/completions"
        status, text = await caller.call("POST", caller.engine, path, completion())
        events = text.decode().split("\n\n")
        assert (status, events[4:]) == (200, ["data: [DONE]", ""])
        assert [event.split("\n")[0] for event in events[:4]] == [
            f"id: {number}" for number in range(4)
        ]
        chunks = [json.loads(event.split("data: ")[1]) for event in events[:4]]
        assert {chunk["object"] for chunk in chunks} == {"chat.completion.chunk"}
        assert chunks[0]["choices"][0]["delta"]["role"] == "assistant"
        assert chunks[3]["choices"][0]["finish_reason"] == "stop"
        assert chunks[3]["usage"]["total_tokens"] == 9 + 3
        path = "/v1/requests/a%2F1/stream?offset=2"
        status, rest = await caller.call("GET", caller.engine, path)
        assert rest.decode() == "\n\n".join(events[2:])
        status, state = await caller.call("GET", caller.engine, "/v1/requests/a%2F1")
        assert json.loads(state) == {"state": "finished", "events": 4}

    with_emulator(check)


# method, path, body, status, code
ERRORS = [
    ("POST", "/v1/chat/completions", completion(epoch="x"), 400, "bad_request"),
    ("POST", "/v1/chat/completions", completion(stream=False), 400, "bad_request"),
    ("POST", "/v1/chat/completions", completion(model="x"), 404, "unknown_model"),
    ("POST", "/v1/chat/completions", completion(epoch=1), 409, "stale_epoch"),
    ("GET", "/v1/requests/none/stream?offset=0", None, 404, "unknown_request"),
    ("GET", "/v1/cache/events?after=x", None, 400, "bad_request"),
    ("GET", "/v1/cache/events?after=-1", None, 400, "bad_request"),
    ("POST", "/v1/cache/release", {"program": "p", "epoch": 1}, 409, "stale_epoch"),
    ("POST", "/v1/cache/export", {"program": "none"}, 404, "nothing_held"),
    ("POST", "/v1/orders", {"order": "dance"}, 400, "bad_request"),
]


def test_errors_have_their_status_and_code():
    async def check(caller):
        path = "/v1/cache/release"
        body = {"program": "p", "epoch": 2}
        await caller.call("POST", caller.engine, path, body)
        for method, path, body, status, code in ERRORS:
            reply = await caller.call(method, caller.engine, path, body)
            assert reply[0] == status, (path, body)
            assert json.loads(reply[1])["error"]["code"] == code, (path, body)
        down = {"target": "log", "fault": "down", "argument": 60}
        await caller.call("POST", caller.control, "/control/faults", down)
        path = "/v1/streams/table/records?offset=0"
        status, text = await caller.call("GET", caller.control, path)
        error = json.loads(text)["error"]
        assert (status, error["code"]) == (503, "unavailable")
        assert 0 < error["retry_after"] <= 60
        await caller.call("DELETE", caller.control, "/control/faults")
        assert (await caller.call("GET", caller.control, path))[0] == 200

    with_emulator(check)


def test_control_orders_faults_lists_daemons_and_shows_counters():
    async def check(caller):
        for fault in ({"target": "x", "fault": "down"}, {"target": "log"}, {}):
            reply = await caller.call("POST", caller.control, "/control/faults", fault)
            assert reply[0] == 400
        stall = {"target": "tools", "fault": "stall"}
        reply = await caller.call("POST", caller.control, "/control/faults", stall)
        assert b"tools cannot have the fault stall" in reply[1]
        await caller.call("POST", caller.control, "/control/machines", DAEMON)
        path = "/v1/machines?region=region1"
        _, text = await caller.call("GET", caller.control, path)
        names = [machine["name"] for machine in json.loads(text)["machines"]]
        assert names == ["model-1", "daemon-1"]
        caller.emulator.remove_machine("daemon-1")
        changes = caller.emulator.models.machines.changes(RegionName("region1"), 2)
        assert [machine.state.value for machine in changes.machines] == ["gone"]
        path, body = "/v1/tools/hint", {"argument": "x"}
        _, text = await caller.call("POST", caller.control, path, body)
        assert json.loads(text)["result"].startswith("hint:")
        path = "/v1/chat/completions"
        await caller.call("POST", caller.engine, path, completion())
        _, text = await caller.call("GET", caller.control, "/control/state")
        state = json.loads(text)
        assert state["tool_uses"] == {"hint": 1}
        assert state["engines"][0]["blocks_by_program"] == {"p": 1}
        assert state["engines"][0]["counters"]["tokens_decoded"] == 3

    with_emulator(check)


class SlowReader(DummyRequest):
    """A request whose caller reads when the test says so."""

    def __init__(self):
        super().__init__([b""])
        self.channel = DummyChannel()
        self.client = IPv4Address("TCP", "127.0.0.1", 1)

    def registerProducer(self, producer, streaming):  # noqa: N802
        assert streaming


def test_a_reader_that_stops_gets_the_rest_in_one_write():
    clock = VirtualClock()
    model = engine(clock, steps_per_report=1)
    run = model.submit(request("r1", answer_marker(10))).ok_value
    reader = SlowReader()
    writer = StreamWriter(model, run, reader, 0)
    done = writer.start()
    clock.advance(0.45)
    writes = len(reader.written)
    assert writes == 4  # the empty first one, and three tokens
    writer.pauseProducing()
    clock.advance(5)
    assert len(reader.written) == writes
    assert not done.called
    writer.resumeProducing()
    assert len(reader.written) == writes + 1
    assert done.called
    text = b"".join(reader.written)
    assert text == render_events(run, 0, run.events)
    assert text.endswith(DONE_EVENT)
    collector = AnswerCollector()
    collector.add(text)
    assert collector.result().unwrap().content == run.answer.content


def test_a_reader_that_goes_away_leaves_the_run_to_be_resumed_or_cancelled():
    clock = VirtualClock()
    model = engine(clock, steps_per_report=1)
    run = model.submit(request("r1", answer_marker(150), max_tokens=150)).ok_value
    reader = SlowReader()
    writer = StreamWriter(model, run, reader, 0)
    writer.start()
    clock.advance(1)
    writer.stopProducing()
    clock.advance(9)
    assert not run.ended
    clock.advance(1.1)
    assert run.ended
    assert model.counters.requests_cancelled == 1


@pytest.fixture
def heeded_interrupts():
    """Undo what shells do to background jobs, whose children ignore SIGINT."""
    former = signal.signal(signal.SIGINT, signal.default_int_handler)
    yield
    signal.signal(signal.SIGINT, former)


@pytest.mark.usefixtures("heeded_interrupts")
@pytest.mark.parametrize("stop", [signal.SIGTERM, signal.SIGINT])
def test_the_command_prints_its_addresses_and_stops(stop):
    command = [sys.executable, "-m", "notcharch.cli.main", "emulator"]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        ready = json.loads(process.stdout.readline())
        assert len(ready["engines"]) == 9
        process.send_signal(stop)
        assert process.wait() == 0


def test_the_command_prints_all_findings(tmp_path):
    file = tmp_path / "emulator.toml"
    file.write_text("[emulator]\nseed = 'a'\n[other]\n")
    command = [sys.executable, "-m", "notcharch.cli.main", "emulator", "--config"]
    for path, lines in ((file, 2), (tmp_path / "missing", 1)):
        done = subprocess.run(
            [*command, str(path)], capture_output=True, text=True, check=False
        )
        assert done.returncode == 2
        assert len(done.stderr.splitlines()) == lines
