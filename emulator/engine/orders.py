"""Fenced orders: load a model or adapter, change the role, drain."""

from collections.abc import Callable

from result import Err, Ok, Result
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from emulator.engine.rates import EngineRates
from emulator.engine.refusals import EngineRefusal, RefusalCode
from notcharch.clients.ports import EngineOrder, OrderKind
from notcharch.values.identifiers import Epoch, PoolName, RequestId


class EngineOrders:
    """What an engine was ordered; loading takes time after the order is accepted.

    `role` is kept and shown, and changes nothing else.
    """

    def __init__(
        self, clock: IReactorTime, rates: EngineRates, pools: tuple[PoolName, ...]
    ) -> None:
        """Begin with the models of the settings; none means that any is served."""
        self._clock = clock
        self._rates = rates
        self._first_pools = pools
        self.on_change: Callable[[], None] = _nothing
        self._loading: list[IDelayedCall] = []
        self._epoch = Epoch(0)
        self._known: set[RequestId] = set()
        self._begin()

    def apply(self, order: EngineOrder) -> Result[None, EngineRefusal]:
        """Carry out an order once; a repeated `order_id` changes nothing."""
        if order.order_id in self._known:
            return Ok(None)
        if order.epoch < self._epoch:
            message = f"epoch {order.epoch} is below {self._epoch}"
            return Err(EngineRefusal(RefusalCode.STALE_EPOCH, message))
        self._epoch = order.epoch
        self._known.add(order.order_id)
        self._carry_out(order)
        return Ok(None)

    def forget(self) -> None:
        """Begin again as a restart does, with the models of the settings."""
        for call in self._loading:
            if call.active():
                call.cancel()
        self._loading.clear()
        self._begin()
        self.on_change()

    def _begin(self) -> None:
        self.pools = self._first_pools
        self.adapters: tuple[str, ...] = ()
        self.role = ""
        self.drained = False
        self._epoch = Epoch(0)
        self._known = set()

    def _carry_out(self, order: EngineOrder) -> None:
        if order.order is OrderKind.LOAD_MODEL:
            self._load(self._rates.load_model_seconds, self._add_pool, order.argument)
        elif order.order is OrderKind.LOAD_ADAPTER:
            self._load(
                self._rates.load_adapter_seconds, self._add_adapter, order.argument
            )
        elif order.order is OrderKind.SET_ROLE:
            self.role = order.argument
        else:
            self.drained = order.order is OrderKind.DRAIN
        self.on_change()

    def _load(self, seconds: float, add: Callable[[str], None], name: str) -> None:
        self._loading = [call for call in self._loading if call.active()]
        self._loading.append(self._clock.callLater(seconds, add, name))

    def _add_pool(self, name: str) -> None:
        if self.pools and name not in self.pools:
            self.pools = (*self.pools, PoolName(name))
        self.on_change()

    def _add_adapter(self, name: str) -> None:
        if name not in self.adapters:
            self.adapters = (*self.adapters, name)
        self.on_change()


def _nothing() -> None:
    """Ignore a change."""
