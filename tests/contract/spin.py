"""Runs a coroutine of a test on the real reactor, as often as tests ask.

The limit only ends a test that hangs; no test depends on how long anything takes.
"""

from collections.abc import Coroutine
from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

HANG_SECONDS = 10.0


def spin(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run the reactor until the coroutine is done; raises what it raised.

    One that hangs is cancelled, and fails where it waits.
    """
    outcomes: list[object] = []
    done = Deferred.fromCoroutine(coroutine)
    done.addBoth(outcomes.append)
    if not outcomes:
        done.addCallback(lambda _: reactor.crash())
        guard = reactor.callLater(HANG_SECONDS, done.cancel)
        reactor.run(installSignalHandlers=False)
        if guard.active():
            guard.cancel()
    outcome = outcomes[0]
    if isinstance(outcome, Failure):
        outcome.raiseException()


def turn() -> "Deferred[None]":
    """Let the reactor take one turn."""
    done: Deferred[None] = Deferred()
    reactor.callLater(0, done.callback, None)
    return done
