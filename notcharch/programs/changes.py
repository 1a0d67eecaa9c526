"""Waiting, bounded in number and time, for a program's state to change."""

from collections.abc import Iterable

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from notcharch.values.identifiers import ProgramId

MAX_WAITERS = 20_000
"""Requests that may wait in one daemon at once."""

MAX_SLEEP_SECONDS = 5.0


class ProgramChanges:
    """Wakes those who wait for a program; they then look at the state again."""

    def __init__(self, clock: IReactorTime) -> None:
        """Take the clock that ends the waits."""
        self._clock = clock
        self._waiters: dict[ProgramId, set[Deferred[None]]] = {}
        self._count = 0

    @property
    def full(self) -> bool:
        """Tell whether no more requests may wait."""
        return self._count >= MAX_WAITERS

    def waiting_for(self, program: ProgramId) -> int:
        """Give the number of requests that wait for a program."""
        return len(self._waiters.get(program, ()))

    def programs(self) -> tuple[ProgramId, ...]:
        """Give the programs that somebody waits for."""
        return tuple(self._waiters)

    async def wait(self, program: ProgramId, seconds: float) -> None:
        """Return after the program's next change, or after `seconds`.

        It returns after `MAX_SLEEP_SECONDS` in any case: a command whose
        outcome was not learnt may take effect without a notice.
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
        """Wake everybody who waits for a program."""
        for waiter in tuple(self._waiters.get(program, ())):
            self._wake(program, waiter)

    def notify_all(self, programs: Iterable[ProgramId]) -> None:
        """Wake everybody who waits for one of the programs."""
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
