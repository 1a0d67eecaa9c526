"""The planned stop: nothing new, let calls end, hand over, and only then stop.

Connections that callers keep open may bring requests until the very end. So the
daemon first stops listening, answers for a last while whatever still comes, and
closes only when no response is under way.
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

LAST_REQUESTS_SECONDS = 1.0
"""Time between the last new connection and the end, for requests under way."""

LAST_ANSWERS_SECONDS = 5.0
"""Longest wait for responses to requests that came in the last while."""

STEWARD_SECONDS = 5.0
"""Longest wait for other daemons to claim the engines that this one stewards."""

HAND_OVER_SECONDS = 20.0
"""Longest wait for this daemon's partitions to be written and given up."""


class Drain:
    """Drains one daemon, by an operator's order or on the way to its stop."""

    def __init__(
        self,
        core: DaemonCore,
        life: LifeInputs,
        clock: IReactorTime,
        stop_listening: Callable[[], "Deferred[None]"],
    ) -> None:
        """Do nothing yet; `stop_listening` is for callers' new connections."""
        self._stop_listening = stop_listening
        self._core = core
        self._life = life
        self._clock = clock
        self._idle: Deferred[None] | None = None

    def begin(self) -> None:
        """Refuse new calls and tell the other daemons; running calls go on."""
        if self._life.look() is LifeState.DRAINING:
            return
        self._life.begin_drain()
        core = self._core
        emit(DaemonDraining(core.own_member.daemon, core.gateway.running_calls))
        core.membership.announce_leaving()
        self._idle = core.gateway.drain()

    def cancel(self) -> None:
        """Take new calls again."""
        if self._life.look() is not LifeState.DRAINING:
            return
        self._life.cancel_drain()
        self._core.membership.cancel_leaving()
        self._core.gateway.resume()

    async def run(self) -> None:
        """Drain whole, in the order: calls, engines, partitions, connections."""
        core = self._core
        started_at = self._clock.seconds()
        self.begin()
        assert self._idle is not None
        longest = core.settings.daemon.drain_seconds
        if not await _within(self._idle, longest, self._clock):
            running = core.gateway.running_calls
            emit(DrainTimedOut(core.own_member.daemon, running))
        handed_over = core.stewards.when_handed_over()
        await _within(handed_over, STEWARD_SECONDS, self._clock)
        await _within(core.partitions.hand_over(), HAND_OVER_SECONDS, self._clock)
        await self._stop_listening()
        await deferLater(self._clock, LAST_REQUESTS_SECONDS)
        await _within(core.gateway.when_idle(), LAST_ANSWERS_SECONDS, self._clock)
        self._life.finish()
        seconds = self._clock.seconds() - started_at
        emit(DaemonStopped(core.own_member.daemon, seconds))


async def _within(
    awaited: "Deferred[Any]", seconds: float, clock: IReactorTime
) -> bool:
    """Wait for a Deferred at most so long; tell whether it fired. Never cancels it."""
    first: Deferred[bool] = Deferred()

    def settle(_: Any, fired: bool) -> Any:
        if not first.called:
            first.callback(fired)
        return _

    timer = clock.callLater(seconds, settle, None, False)
    awaited.addBoth(settle, True)
    fired = await first
    if timer.active():
        timer.cancel()
    return fired
