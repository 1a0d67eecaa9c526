"""Handlers of the messages by which other daemons describe or drain this one."""

from collections.abc import Callable

import attrs
from twisted.internet.interfaces import IReactorTime

from notcharch.table.replica_service import TableReplica
from notcharch.values.identifiers import Member, ZoneName
from notcharch.wire.messages.administration import (
    DaemonDescription,
    DescribeDaemon,
    DrainDaemon,
    DrainStarted,
    PartitionDescription,
)
from notcharch.wire.messages.base import Message
from notcharch.wire.peers import PeerNetwork


@attrs.frozen
class DaemonActivity:
    """Current activity of a daemon; `state` is `starting`, `live` or `draining`."""

    state: str
    running_calls: int


class DaemonHandlers:
    """The handlers of `DescribeDaemon` and `DrainDaemon`."""

    def __init__(
        self,
        *,
        clock: IReactorTime,
        network: PeerNetwork,
        zone: ZoneName,
        replica: TableReplica,
        activity: Callable[[], DaemonActivity],
        partitions: Callable[[], tuple[PartitionDescription, ...]],
        drain: Callable[[bool], None],
    ) -> None:
        """Register the handlers on the network; `drain(False)` cancels a drain."""
        self._clock = clock
        self._network = network
        self._zone = zone
        self._replica = replica
        self._activity = activity
        self._partitions = partitions
        self._drain = drain
        self._started_at = clock.seconds()
        network.on_request(DescribeDaemon, self._describe)
        network.on_request(DrainDaemon, self._handle_drain)

    async def _describe(self, _sender: Member, message: Message) -> Message:
        assert isinstance(message, DescribeDaemon)
        activity = self._activity()
        return DaemonDescription(
            member=self._network.own_member,
            zone=self._zone,
            state=activity.state,
            uptime_seconds=self._clock.seconds() - self._started_at,
            running_calls=activity.running_calls,
            table_version=self._replica.version,
            table_source=self._replica.source.value,
            table_in_force_seconds=self._replica.in_force_seconds,
            log_age_seconds=self._replica.log_age_seconds,
            partitions=self._partitions() if message.partitions else (),
        )

    async def _handle_drain(self, _sender: Member, message: Message) -> Message:
        assert isinstance(message, DrainDaemon)
        self._drain(message.drain)
        return DrainStarted(self._activity().running_calls)
