"""Before a stream begins, its engine confirms on the connection when it started."""

import msgspec
import pytest
from twisted.internet.task import Clock

from notcharch.calls.engine_sender import EngineRequest, OutgoingCall, Sending
from notcharch.calls.incarnation_check import CHECK_SECONDS
from notcharch.calls.interface import Engine
from notcharch.http.client import ResponseFailure
from notcharch.http.messages import RequestHead, ResponseHead
from notcharch.platform.headers import PlatformDialect

STARTED_MS = 1_700_000_000_000
ENGINE = Engine("e", "s", "10.0.0.1", 80, "z", version="v1", started_ms=STARTED_MS)
CALL = RequestHead(b"POST", b"/x", [])


class Connection:
    """Records the requests on one connection."""

    def __init__(self) -> None:
        self.peer_started_ms = None
        self.is_reusable = True
        self.is_abandoned = False
        self.sent = []

    def send(self, head, body, listener):
        self.sent.append((head.target, listener))

    def abandon(self):
        self.is_abandoned = True


class Listener:
    """Records what becomes of the call."""

    def __init__(self) -> None:
        self.told = []
        self.is_drained = False

    def may_send(self):
        return not self.is_drained

    def __getattr__(self, name):
        return lambda: self.told.append(name)


class Scene:
    """A call that is to be sent on a connection."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.connection = Connection()
        self.listener = Listener()
        self.request = EngineRequest()
        message = OutgoingCall(ENGINE, CALL, b"", self.listener, PlatformDialect())
        self.sending = Sending(self.clock, self.request, message)
        self.sending.use(self.connection)

    def report(self, body, status=200, headers=()):
        _, check = self.connection.sent[-1]
        head = ResponseHead(status, list(headers))
        assert check.is_response(head)
        check.head_received(head)
        check.data_received(body)
        check.completed()

    @property
    def targets(self):
        return [target for target, _ in self.connection.sent]


def report(started_ms) -> bytes:
    return msgspec.json.encode({"born": started_ms, "running": 1})


def test_a_call_follows_on_the_connection_on_which_the_start_was_confirmed():
    scene = Scene()
    assert scene.targets == [b"/report"]
    scene.report(report(STARTED_MS))
    assert scene.targets == [b"/report", b"/x"]
    assert scene.listener.told == []
    scene.clock.advance(CHECK_SECONDS)
    assert not scene.connection.is_abandoned


def test_a_connection_is_checked_once():
    scene = Scene()
    scene.report(report(STARTED_MS))
    scene.sending.use(scene.connection)
    assert scene.targets == [b"/report", b"/x", b"/x"]


def test_an_engine_that_started_again_does_not_get_the_call():
    scene = Scene()
    scene.report(report(STARTED_MS + 1))
    assert scene.listener.told == ["restarted"]
    assert scene.targets == [b"/report"]
    assert scene.connection.is_abandoned


@pytest.mark.parametrize(
    ("status", "body"),
    [(404, b""), (200, b"{}"), (200, b"not json"), (200, b'{"born": "x"}')],
)
def test_the_version_of_an_engine_that_tells_no_start_is_unknown(status, body):
    scene = Scene()
    scene.report(body, status)
    assert scene.listener.told == ["incarnation_unknown"]
    assert scene.targets == [b"/report", b"/x"]


def test_an_engine_that_does_not_answer_in_time_is_unreachable():
    scene = Scene()
    scene.clock.advance(CHECK_SECONDS)
    assert scene.listener.told == ["unreachable"]
    assert scene.connection.is_abandoned


def test_a_connection_that_breaks_before_the_answer_did_not_get_the_call():
    scene = Scene()
    scene.connection.sent[-1][1].failed(ResponseFailure.RESET)
    assert scene.listener.told == ["unreachable"]
    scene.clock.advance(CHECK_SECONDS)
    assert scene.listener.told == ["unreachable"]


def test_a_connection_that_ends_with_the_answer_is_not_used():
    scene = Scene()
    scene.connection.is_reusable = False
    scene.report(report(STARTED_MS))
    assert scene.listener.told == ["unreachable"]


def test_an_engine_that_was_drained_during_the_check_does_not_get_the_call():
    scene = Scene()
    scene.listener.is_drained = True
    scene.report(report(STARTED_MS))
    assert scene.listener.told == ["cancelled"]
    assert scene.targets == [b"/report"]


def test_a_call_whose_caller_left_during_the_check_is_not_sent():
    scene = Scene()
    scene.request.connection = None
    scene.request.abandon()
    scene.clock.advance(CHECK_SECONDS)
    assert scene.listener.told == []


def test_a_late_answer_to_an_earlier_call_is_not_taken_for_the_report():
    scene = Scene()
    late = ResponseHead(200, [(b"X-Notcharch-Request-Id", b"1")])
    assert not scene.connection.sent[-1][1].is_response(late)
