"""The processes of other daemons whose calls an owner admits."""

import enum

from notcharch.events.accounts import GatewayLost
from notcharch.events.event import emit
from notcharch.values.identifiers import DaemonName, Incarnation, Member
from notcharch.wire.peers import PeerNetwork


class LossCause(enum.Enum):
    """Why a process is taken for lost."""

    NOT_CONNECTED = "not connected"
    OTHER_PROCESS = "another process of its daemon was heard"


class Gateways:
    """Which processes are lost, as far as this daemon knows."""

    def __init__(self, network: PeerNetwork) -> None:
        """Know of no other process."""
        self._network = network
        self._newest: dict[DaemonName, Incarnation] = {}
        self._told: dict[DaemonName, Member] = {}
        """The process of each daemon whose loss was logged last."""

    def heard(self, sender: Member) -> None:
        """Note that a process lives; others of its daemon are lost.

        The incarnations of a daemon need not rise.
        """
        self._newest[sender.daemon] = sender.incarnation
        if self._told.get(sender.daemon) == sender:
            del self._told[sender.daemon]

    def is_lost(self, gateway: Member) -> bool:
        """Return whether a process is out of reach, or was followed by another one."""
        cause = self._loss_cause(gateway)
        if cause is None:
            return False
        self._log_loss(gateway, cause)
        return True

    def _loss_cause(self, gateway: Member) -> LossCause | None:
        daemon = gateway.daemon
        if self._newest.get(daemon, gateway.incarnation) != gateway.incarnation:
            return LossCause.OTHER_PROCESS
        is_own = daemon == self._network.own_member.daemon
        if is_own or daemon in self._network.connected_peers():
            return None
        return LossCause.NOT_CONNECTED

    def _log_loss(self, gateway: Member, cause: LossCause) -> None:
        """Log a loss once, until the process is heard again."""
        if self._told.get(gateway.daemon) == gateway:
            return
        self._told[gateway.daemon] = gateway
        newest = self._newest.get(gateway.daemon)
        is_other = cause is LossCause.OTHER_PROCESS
        emit(
            GatewayLost(
                daemon=gateway.daemon,
                incarnation=gateway.incarnation,
                cause=cause.value,
                newest_incarnation=newest if is_other else None,
            )
        )
