"""Bounded waiting for changes of a program's state."""

from collections.abc import Iterable

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from notcharch.values.identifiers import ProgramId

MAX_WAITERS = 20_000
"""Number of requests that may wait in one daemon."""

MAX_SLEEP_SECONDS = 5.0


class ProgramChanges:
    """Wakes requests that wait for a program, which then read its state again."""

    def __init__(self, clock: IReactorTime) -> None:
        """Start without waiters; `clock` times out the waits."""
        self._clock = clock
        self._waiters: dict[ProgramId, set[Deferred[None]]] = {}
        self._count = 0

    @property
    def full(self) -> bool:
        """Whether the limit of waiting requests is reached."""
        return self._count >= MAX_WAITERS

    def waiting_for(self, program: ProgramId) -> int:
        """Return the number of requests that wait for a program."""
        return len(self._waiters.get(program, ()))

    def programs(self) -> tuple[ProgramId, ...]:
        """Return the programs with waiting requests."""
        return tuple(self._waiters)

    async def wait(self, program: ProgramId, seconds: float) -> None:
        """Return after the program's next change, or after `seconds`.

        Returns after `MAX_SLEEP_SECONDS` at the latest: a command whose outcome
        is unknown may take effect without a notification.
        """
        delay = min(seconds, MAX_SLEEP_SECONDS)
        waiter: Deferred[None] = Deferred()
        self._waiters.setdefault(program, set()).add(waiter)
        self._count += 1
        timeout = self._clock.callLater(delay, self._wake, program, waiter)
        try:
            await waiter
        finally:
            self._drop(program, waiter)
            if timeout.active():
                timeout.cancel()

    def notify(self, program: ProgramId) -> None:
        """Wake all requests that wait for a program."""
        for waiter in tuple(self._waiters.get(program, ())):
            self._wake(program, waiter)

    def notify_all(self, programs: Iterable[ProgramId]) -> None:
        """Wake all requests that wait for any of the programs."""
        for program in programs:
            self.notify(program)

    def _wake(self, program: ProgramId, waiter: "Deferred[None]") -> None:
        self._drop(program, waiter)
        if not waiter.called:
            waiter.callback(None)

    def _drop(self, program: ProgramId, waiter: "Deferred[None]") -> None:
        waiters = self._waiters.get(program)
        if waiters is None or waiter not in waiters:
            return
        waiters.discard(waiter)
        self._count -= 1
        if not waiters:
            del self._waiters[program]
