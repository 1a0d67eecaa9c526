"""Exceptions in callbacks are logged, end no repeated call, and can't block the process."""

import io

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.logger import LogBeginner, Logger, LogPublisher

from notcharch.events.memory import UnhandledError
from notcharch.events.process import PartSkipped
from notcharch.events.steady_loop import steady_loop
from notcharch.events.unhandled_errors import (
    MAX_TRACEBACK_LENGTH,
    UnhandledErrors,
    log_unhandled_errors,
)
from tests.unit.events.capture import captured, of


class TwistedLog:
    """Twisted's log as it is before anybody logs to it."""

    def __init__(self) -> None:
        self.stderr = io.StringIO()
        publisher = LogPublisher()
        self.beginner = LogBeginner(publisher, self.stderr, io, io)
        self.logger = Logger("twisted.reactor", observer=publisher)

    def fail(self, error: Exception) -> None:
        try:
            raise error
        except Exception:
            self.logger.failure("while handling an event")


@pytest.fixture
def log(monkeypatch):
    monkeypatch.setattr(io, "showwarning", lambda *_: None, raising=False)
    return TwistedLog()


def test_an_error_of_a_callback_is_logged_and_not_written_to_stderr(log):
    """A pipe that nobody reads is full after 64 KB, and the write to it never returns."""
    log_unhandled_errors(log.beginner)
    with captured() as messages:
        log.fail(KeyError("x"))
        log.logger.info("a connection was made")
    (event,) = of(messages, UnhandledError)
    assert event["source"] == "twisted.reactor"
    assert event["error"] == "'x'"
    assert "KeyError" in event["traceback"]
    assert log.stderr.getvalue() == ""


def test_twisted_keeps_no_errors_with_their_frames(log):
    """The last 200 stayed in memory, each with the bytes that were being handled."""
    log_unhandled_errors(log.beginner)
    with captured() as messages:
        log.fail(KeyError("x"))
    assert of(messages, UnhandledError)
    assert not list(log.beginner._initialBuffer._buffer)


def test_an_error_that_is_repeated_is_logged_once(log):
    log_unhandled_errors(log.beginner)
    with captured() as messages:
        for _ in range(5):
            log.fail(KeyError("x"))
    assert len(of(messages, UnhandledError)) == 1


def test_a_long_traceback_is_cut():
    observer, error = UnhandledErrors(), ValueError("y" * 3 * MAX_TRACEBACK_LENGTH)
    deferred = Deferred()
    deferred.addErrback(lambda failure: observer({"log_failure": failure}))
    with captured() as messages:
        deferred.errback(error)
    (event,) = of(messages, UnhandledError)
    assert len(event["traceback"]) == MAX_TRACEBACK_LENGTH


def test_a_repeated_call_goes_on_after_an_exception():
    """A `LoopingCall` ends at the first one: nothing expired, and nobody was told."""
    clock, calls = Clock(), []

    def act() -> None:
        calls.append(clock.seconds())
        if len(calls) in (1, 2):
            raise KeyError("x")

    loop = steady_loop(clock, "act", act)
    with captured() as messages:
        loop.start(1.0, now=False)
        for _ in range(4):
            clock.advance(1.0)
    assert len(calls) == 4
    (event,) = of(messages, PartSkipped)
    assert (event["feed"], event["part"]) == ("loops", "act")
    loop.stop()
    clock.advance(5.0)
    assert len(calls) == 4
