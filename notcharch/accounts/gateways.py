"""The processes of other daemons whose calls an owner admits."""

import enum

from notcharch.events.accounts import GatewayLost
from notcharch.events.event import emit
from notcharch.values.identifiers import DaemonName, Incarnation, Member
from notcharch.wire.peers import PeerNetwork


class LossCause(enum.Enum):
    """Why a process is taken for lost."""

    NOT_CONNECTED = "not connected"
    OTHER_PROCESS = "another process of its daemon is connected"


class Gateways:
    """Which processes are lost, as the connections of this daemon tell."""

    def __init__(self, network: PeerNetwork) -> None:
        """Know of no loss."""
        self._network = network
        self._told: dict[DaemonName, Member] = {}
        """The process of each daemon whose loss was logged last."""

    def is_lost(self, gateway: Member) -> bool:
        """Return whether a process is out of reach, or was followed by another one.

        The incarnations of a daemon need not rise.
        """
        newest = self._newest(gateway.daemon)
        if newest == gateway.incarnation:
            if self._told.get(gateway.daemon) == gateway:
                del self._told[gateway.daemon]
            return False
        self._log_loss(gateway, newest)
        return True

    def _newest(self, daemon: DaemonName) -> Incarnation | None:
        """Return the process of a daemon that runs, as far as this daemon knows."""
        own = self._network.own_member
        if daemon == own.daemon:
            return own.incarnation
        return self._network.connected_process(daemon)

    def _log_loss(self, gateway: Member, newest: Incarnation | None) -> None:
        """Log a loss once, until the process is connected again."""
        if self._told.get(gateway.daemon) == gateway:
            return
        self._told[gateway.daemon] = gateway
        is_other = newest is not None
        cause = LossCause.OTHER_PROCESS if is_other else LossCause.NOT_CONNECTED
        emit(
            GatewayLost(
                daemon=gateway.daemon,
                incarnation=gateway.incarnation,
                cause=cause.value,
                newest_incarnation=newest,
            )
        )
