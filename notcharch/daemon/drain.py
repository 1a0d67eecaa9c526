"""Graceful drain and shutdown of a daemon.

Callers may send requests on open connections until these are closed. The daemon
therefore stops listening first, keeps serving open connections for a short period,
and closes them only when no response is in flight.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from notcharch.daemon.core import DaemonCore
from notcharch.daemon.life import LifeInputs, LifeState
from notcharch.events.daemon import DaemonDraining, DaemonStopped, DrainTimedOut
from notcharch.events.event import emit

LINGER_SECONDS = 1.0
"""Time for which open connections are served after the daemon stopped listening."""

MAX_LAST_RESPONSES_SECONDS = 5.0
"""Maximum wait for responses to requests received while lingering."""

MAX_LAST_BYTES_SECONDS = 5.0
"""Maximum wait for callers to read the ends of their responses.

A response counts as finished when its last byte is written, which may still be in a send
buffer then and would be lost with the process.
"""

MAX_ENGINE_HANDOVER_SECONDS = 5.0
"""Maximum wait for other daemons to claim this daemon's engines."""

MAX_PARTITION_HANDOVER_SECONDS = 20.0
"""Maximum wait for this daemon's partitions to be flushed and released."""


class Drain:
    """Drains one daemon, on an operator's request or before it stops."""

    def __init__(
        self,
        core: DaemonCore,
        lifecycle: LifeInputs,
        clock: IReactorTime,
        stop_listening: Callable[[], "Deferred[None]"],
        close_connections: Callable[[], "Deferred[None]"],
    ) -> None:
        """Prepare a drain; `stop_listening` closes the port for callers' connections.

        `close_connections` closes those without a request, and fires when none is open.
        """
        self._close_connections = close_connections
        self._stop_listening = stop_listening
        self._core = core
        self._lifecycle = lifecycle
        self._clock = clock
        self._idle: Deferred[None] | None = None

    def begin(self) -> None:
        """Refuse new calls and notify the other daemons; running calls continue."""
        if self._lifecycle.current_state() is LifeState.DRAINING:
            return
        self._lifecycle.begin_drain()
        core = self._core
        emit(DaemonDraining(core.own_member.daemon, core.gateway.running_calls))
        core.membership.announce_leaving()
        self._idle = core.gateway.drain()

    def cancel(self) -> None:
        """Cancel the drain and accept new calls again."""
        if self._lifecycle.current_state() is not LifeState.DRAINING:
            return
        self._lifecycle.cancel_drain()
        self._core.membership.cancel_leaving()
        self._core.gateway.resume()

    async def run(self) -> None:
        """Drain calls, engines, partitions and connections, in this order."""
        core = self._core
        started_at = self._clock.seconds()
        self.begin()
        assert self._idle is not None
        max_drain_seconds = core.settings.daemon.drain_seconds
        if not await _within(self._idle, max_drain_seconds, self._clock):
            running = core.gateway.running_calls
            emit(DrainTimedOut(core.own_member.daemon, running))
        handed_over = core.stewards.when_handed_over()
        await _within(handed_over, MAX_ENGINE_HANDOVER_SECONDS, self._clock)
        await _within(
            core.partitions.hand_over(), MAX_PARTITION_HANDOVER_SECONDS, self._clock
        )
        await self._stop_listening()
        await deferLater(self._clock, LINGER_SECONDS)
        await _within(core.gateway.when_idle(), MAX_LAST_RESPONSES_SECONDS, self._clock)
        await _within(self._close_connections(), MAX_LAST_BYTES_SECONDS, self._clock)
        self._lifecycle.finish()
        seconds = self._clock.seconds() - started_at
        emit(DaemonStopped(core.own_member.daemon, seconds))


async def _within(
    deferred: "Deferred[Any]", seconds: float, clock: IReactorTime
) -> bool:
    """Return whether a Deferred fired within `seconds`; it is not cancelled."""
    outcome: Deferred[bool] = Deferred()

    def resolve(_: Any, fired: bool) -> Any:
        if not outcome.called:
            outcome.callback(fired)
        return _

    timer = clock.callLater(seconds, resolve, None, False)
    deferred.addBoth(resolve, True)
    fired = await outcome
    if timer.active():
        timer.cancel()
    return fired
