"""The stream relay: unchanged bytes, back-pressure, the buffered end."""

import json

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.gateway.stream_relay import StreamRelay
from tests.unit.gateway.harness import FakeStream, GatewayHarness

TOKEN = (
    b'data: {"choices":[{"index":0,"delta":{"content":"%b"},"finish_reason":null}]}\n\n'
)
USAGE = b'data: {"choices":[],"usage":{"prompt_tokens":1,"completion_tokens":2}}\n\n'
DONE = b"data: [DONE]\n\n"
ONE, TWO = TOKEN % b"one", TOKEN % b"two"
LAST = b'data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}\n\n'
SPACED = b'data: {"choices": [{"delta": {}, "finish_reason" : "length"}]}\n\n'
SPACED_TOKEN = b'data: {"choices": [{"delta": {}, "finish_reason": null}]}\n\n'
ERROR = b'data: {"error":{"code":"x"}}\n\n'
QUOTING = TOKEN % b'\\"finish_reason\\":\\"stop\\" \\"error\\": [DONE]'

PIECES = [
    ([ONE, TWO], ONE + TWO, b""),
    ([ONE + TWO, LAST + DONE], ONE + TWO, LAST + DONE),
    ([ONE + TWO + LAST + DONE], ONE + TWO, LAST + DONE),
    ([LAST + USAGE + DONE], b"", LAST + USAGE + DONE),
    ([ONE, LAST, USAGE, DONE], ONE, LAST + USAGE + DONE),
    ([SPACED_TOKEN, SPACED, DONE], SPACED_TOKEN, SPACED + DONE),
    ([ONE, DONE], ONE, DONE),
    ([QUOTING, ONE, LAST], QUOTING + ONE, LAST),
    ([ONE, ERROR], ONE, ERROR),
    ([b": comment\n\n" + ONE], b": comment\n\n" + ONE, b""),
]


class FakeRequest:
    """Fakes the parts of a Twisted request, channel and transport that are used."""

    chunked = False

    def __init__(self):
        self.body = b""
        self.producer = None
        self.is_finished = False
        self.was_aborted = False
        self.channel = self
        self.transport = StringTransport()

    def setHeader(self, name, value):  # noqa: N802
        assert not self.body

    def registerProducer(self, producer, streaming):  # noqa: N802
        self.producer = producer

    def unregisterProducer(self):  # noqa: N802
        self.producer = None

    def write(self, data):
        self.body += data

    def finish(self):
        self.is_finished = True

    def forceAbortClient(self):  # noqa: N802
        self.was_aborted = True


class RelayHarness:
    def __init__(self):
        self.clock = Clock()
        self.request = FakeRequest()
        self.stalls = []
        self.relay = StreamRelay(
            self.request, self.clock, 30.0, lambda: self.stalls.append(1)
        )
        self.stream = FakeStream("", None, self.relay.on_bytes)
        self.relay.attach(self.stream)


@pytest.mark.parametrize(("pieces", "passed_on", "buffered"), PIECES)
def test_the_end_is_held_back_and_released(pieces, passed_on, buffered):
    harness = RelayHarness()
    for piece in pieces:
        harness.relay.on_bytes(piece)
    assert harness.request.body == passed_on
    assert harness.relay.is_end_buffered == bool(buffered)
    harness.relay.write_buffered_end()
    assert harness.request.body == passed_on + buffered


@pytest.mark.parametrize(("pieces", "passed_on", "buffered"), PIECES)
def test_the_fast_path_writes_the_same_bytes(pieces, passed_on, buffered):
    harness = RelayHarness()
    harness.request.chunked = True
    for piece in [ONE, *pieces]:
        harness.relay.on_bytes(piece)
    framed = harness.request.transport.value()
    sent = harness.request.body + b"".join(_chunks(framed))
    assert sorted(sent.split(b"\n\n")) == sorted((ONE + passed_on).split(b"\n\n"))


def _chunks(framed):
    while framed:
        size, _, framed = framed.partition(b"\r\n")
        yield framed[: int(size, 16)]
        framed = framed[int(size, 16) + 2 :]


def test_a_slow_reader_pauses_the_engine():
    harness = RelayHarness()
    harness.relay.on_bytes(ONE)
    assert harness.request.producer is harness.relay
    harness.relay.pauseProducing()
    harness.relay.pauseProducing()
    assert harness.stream.paused
    harness.clock.advance(29)
    harness.relay.resumeProducing()
    assert not harness.stream.paused
    harness.clock.advance(100)
    assert not harness.request.was_aborted


def test_a_reader_that_takes_nothing_is_cut_off_and_the_run_goes_on():
    harness = RelayHarness()
    harness.relay.on_bytes(ONE)
    harness.relay.pauseProducing()
    harness.clock.advance(31)
    assert (harness.request.was_aborted, harness.stalls) == (True, [1])
    assert not harness.stream.paused
    harness.relay.on_bytes(TWO)
    harness.relay.write_buffered_end()
    harness.relay.finish()
    assert (harness.request.body, harness.request.is_finished) == (ONE, False)


def test_a_stream_that_comes_while_the_reader_is_slow_is_paused_too():
    harness = RelayHarness()
    harness.relay.on_bytes(ONE)
    harness.relay.pauseProducing()
    harness.relay.detach()
    later = FakeStream("", None, harness.relay.on_bytes)
    harness.relay.attach(later)
    assert later.paused
    harness.relay.caller_disconnected()
    assert not later.paused
    assert not harness.clock.getDelayedCalls()


@pytest.mark.parametrize("pieces", [[], [LAST + DONE]])
def test_a_lost_stream_without_bytes_leaves_no_trace(pieces):
    harness = RelayHarness()
    for piece in pieces:
        harness.relay.on_bytes(piece)
    harness.relay.stream_failed(Problem.of(ProblemCode.ENGINE_FAILED, "x", ran=Ran.YES))
    assert (harness.request.body, harness.request.is_finished) == (b"", False)
    assert not harness.relay.is_end_buffered
    harness.relay.on_bytes(TWO)
    assert harness.request.body == TWO


def test_a_slow_reader_over_http():
    harness = GatewayHarness()
    caller = harness.call(harness.program(), stream=True)
    harness.stream.token("one")
    caller.channel.pauseProducing()
    assert harness.stream.paused
    caller.channel.resumeProducing()
    assert not harness.stream.paused
    caller.channel.pauseProducing()
    harness.clock.advance(121)
    assert not harness.stream.paused
    assert caller.transport.disconnecting
    value = harness.registry.get_sample_value("notcharch_gateway_stalled_callers_total")
    assert value == 1
    harness.stream.end()
    assert harness.gateway.running_calls == 0


def test_an_http_1_0_caller_gets_the_stream_unframed():
    harness = GatewayHarness()
    program = harness.program()
    connection = harness.connect()
    message = {"role": "user", "content": "hello"}
    body = json.dumps({"messages": [message], "sequence": 1, "stream": True}).encode()
    head = (
        f"POST /v1/programs/{program}/calls HTTP/1.0\r\n"
        f"Authorization: Bearer key-1\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    connection.send(head.encode() + body)
    harness.stream.answer("one")
    response = connection.response()
    assert (response.content, response.events[-1]) == ("one", "[DONE]")
    assert connection.transport.disconnecting
