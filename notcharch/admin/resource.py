"""The operators' HTTP interface of a daemon, as one resource to mount."""

from twisted.internet.interfaces import IReactorTime
from twisted.web.resource import IResource

from notcharch.admin.authentication import OperatorKeys
from notcharch.admin.in_force import InForceWait
from notcharch.admin.routes import Routes
from notcharch.admin.scatter import Scatter
from notcharch.admin.table_routes import TableRoutes
from notcharch.placement.interface import MembershipView
from notcharch.settings.schema import OperatorKey
from notcharch.table.publisher import TablePublisher
from notcharch.table.replica_service import TableReplica
from notcharch.wire.peers import PeerNetwork


class AdminResource:
    """Builds the routes; `resource()` is mounted at `/admin/v1`."""

    def __init__(
        self,
        *,
        clock: IReactorTime,
        network: PeerNetwork,
        membership: MembershipView,
        replica: TableReplica,
        publisher: TablePublisher,
        operator_keys: tuple[OperatorKey, ...],
    ) -> None:
        """Take the daemon's parts that operators see and drive."""
        self._routes = Routes(OperatorKeys(operator_keys))
        scatter = Scatter(clock=clock, network=network, membership=membership)
        wait = InForceWait(clock=clock, scatter=scatter)
        table = TableRoutes(replica=replica, publisher=publisher, wait=wait)
        table.add_to(self._routes)

    def resource(self) -> IResource:
        """Give the resource to mount."""
        return self._routes.resource()
