"""The HTTP interface for operators as one resource to mount."""

from twisted.internet.interfaces import IReactorTime
from twisted.web.resource import IResource

from notcharch.admin.authentication import OperatorKeys
from notcharch.admin.in_force import InForceWait
from notcharch.admin.operation_routes import OperationRoutes
from notcharch.admin.region_routes import RegionRoutes
from notcharch.admin.routes import Routes
from notcharch.admin.scatter import Scatter
from notcharch.admin.table_routes import TableRoutes
from notcharch.placement.interface import EngineDirectory, MembershipView, Router
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
        router: Router,
        engines: EngineDirectory,
        replica: TableReplica,
        publisher: TablePublisher,
        operator_keys: tuple[OperatorKey, ...],
    ) -> None:
        """Create all routes with the components of the daemon that they use."""
        self._routes = Routes(OperatorKeys(operator_keys))
        scatter = Scatter(clock=clock, network=network, membership=membership)
        wait = InForceWait(clock=clock, scatter=scatter)
        table = TableRoutes(replica=replica, publisher=publisher, wait=wait)
        region = RegionRoutes(scatter=scatter, table=replica, engines=engines)
        operations = OperationRoutes(
            network=network, router=router, table=replica, table_routes=table
        )
        table.add_to(self._routes)
        region.add_to(self._routes)
        operations.add_to(self._routes)

    def resource(self) -> IResource:
        """Return the resource to mount."""
        return self._routes.resource()
