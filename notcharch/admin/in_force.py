"""Waits until every live daemon has a version of the table in force."""

import msgspec
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from notcharch.admin.scatter import Scatter, Unreached
from notcharch.values.identifiers import DaemonName, TableVersion
from notcharch.wire.messages.administration import (
    DaemonDescription,
    DescribeDaemon,
)

FIRST_PAUSE_SECONDS = 0.1
LAST_PAUSE_SECONDS = 1.0


class InForceReport(msgspec.Struct, frozen=True):
    """How far a version has come.

    `in_force` is true when every daemon that was believed alive at the end
    reported it. `behind` answered with an older version, `unreached` not at all.
    """

    version: TableVersion
    in_force: bool
    daemons: int
    waited_seconds: float
    behind: tuple[DaemonName, ...]
    unreached: tuple[Unreached, ...]


class InForceWait:
    """Asks the daemons again and again, only those that did not have it yet."""

    def __init__(self, *, clock: IReactorTime, scatter: Scatter) -> None:
        """Take how the daemons are asked."""
        self._clock = clock
        self._scatter = scatter

    async def wait(self, version: TableVersion, seconds: float) -> InForceReport:
        """Wait up to `seconds`; versions never go back, so each is asked once."""
        started_at = self._clock.seconds()
        reported: set[DaemonName] = set()
        pause = FIRST_PAUSE_SECONDS
        while True:
            daemons = self._scatter.live_daemons()
            missing = tuple(name for name in daemons if name not in reported)
            gathered = await self._scatter.ask(
                missing, DescribeDaemon(), DaemonDescription
            )
            behind = tuple(
                name
                for name, reply in gathered.replies.items()
                if reply.table_version < version
            )
            reported |= gathered.replies.keys() - set(behind)
            waited = self._clock.seconds() - started_at
            is_everywhere = not behind and not gathered.unreached
            if is_everywhere or waited >= seconds:
                return InForceReport(
                    version=version,
                    in_force=is_everywhere,
                    daemons=len(daemons),
                    waited_seconds=waited,
                    behind=behind,
                    unreached=gathered.unreached,
                )
            await deferLater(self._clock, min(pause, max(0.0, seconds - waited)))
            pause = min(LAST_PAUSE_SECONDS, 2 * pause)
