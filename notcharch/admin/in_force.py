"""Waits until a version of the table is in force at every live daemon."""

import msgspec
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from notcharch.admin.scatter import Scatter, Unreached
from notcharch.values.identifiers import DaemonName, TableVersion
from notcharch.wire.messages.administration import (
    DaemonDescription,
    DescribeDaemon,
)

MIN_POLL_SECONDS = 0.1
MAX_POLL_SECONDS = 1.0


class InForceReport(msgspec.Struct, frozen=True):
    """Rollout state of a version.

    `in_force` is true if every daemon that was live at the end reported the version.
    `behind` are the daemons with an older version, `unreached` those without a reply.
    """

    version: TableVersion
    in_force: bool
    daemons: int
    waited_seconds: float
    behind: tuple[DaemonName, ...]
    unreached: tuple[Unreached, ...]


class InForceWait:
    """Polls the daemons that have not reported the version yet."""

    def __init__(self, *, clock: IReactorTime, scatter: Scatter) -> None:
        """Send the requests through `scatter`."""
        self._clock = clock
        self._scatter = scatter

    async def wait(self, version: TableVersion, seconds: float) -> InForceReport:
        """Wait up to `seconds`; versions only grow, so each daemon reports once."""
        started_at = self._clock.seconds()
        reported: set[DaemonName] = set()
        poll_seconds = MIN_POLL_SECONDS
        while True:
            daemons = self._scatter.live_daemons()
            missing = tuple(name for name in daemons if name not in reported)
            gathered = await self._scatter.request_from(
                missing, DescribeDaemon(), DaemonDescription
            )
            behind = tuple(
                name
                for name, reply in gathered.replies.items()
                if reply.table_version < version
            )
            reported |= gathered.replies.keys() - set(behind)
            elapsed = self._clock.seconds() - started_at
            is_in_force = not behind and not gathered.unreached
            if is_in_force or elapsed >= seconds:
                return InForceReport(
                    version=version,
                    in_force=is_in_force,
                    daemons=len(daemons),
                    waited_seconds=elapsed,
                    behind=behind,
                    unreached=gathered.unreached,
                )
            await deferLater(
                self._clock, min(poll_seconds, max(0.0, seconds - elapsed))
            )
            poll_seconds = min(MAX_POLL_SECONDS, 2 * poll_seconds)
