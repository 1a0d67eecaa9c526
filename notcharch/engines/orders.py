"""Sends a steward's orders to its engine, fenced by the claim's epoch."""

from collections.abc import Callable

from result import Err, Result
from twisted.internet.interfaces import IReactorTime

from notcharch.clients.ports import EngineOrder, EnginePort, OrderKind
from notcharch.engines.stewardship import Stewardship
from notcharch.errors import Problem, ProblemCode
from notcharch.events.engines import OrderFenced
from notcharch.events.event import emit
from notcharch.values.identifiers import EngineName, RequestId

MAX_CONFIRMATION_AGE_SECONDS = 25.0
"""Maximum age of the journal's last confirmation of the claim."""


class EngineOrders:
    """Sends orders under the epoch of a recently confirmed claim."""

    def __init__(
        self,
        *,
        engine: EngineName,
        stewardship: Stewardship,
        port: EnginePort,
        clock: IReactorTime,
        instance: str,
        on_fenced: Callable[[], None],
    ) -> None:
        """Create the sender; `on_fenced` is called on a STALE_EPOCH response.

        `instance` keeps order ids unique across steward restarts.
        """
        self._engine = engine
        self._stewardship = stewardship
        self._port = port
        self._clock = clock
        self._instance = instance
        self._on_fenced = on_fenced
        self._order_number = 0

    async def send(
        self, address: str, kind: OrderKind, argument: str
    ) -> Result[None, Problem]:
        """Send one order; UNAVAILABLE without a confirmed claim, or STALE_EPOCH."""
        now = self._clock.seconds()
        epoch = self._stewardship.epoch
        confirmed = self._stewardship.confirmed_within(
            MAX_CONFIRMATION_AGE_SECONDS, now
        )
        if epoch is None or not confirmed:
            message = f"the claim on engine {self._engine} was not confirmed recently"
            return Err(Problem.of(ProblemCode.UNAVAILABLE, message, retry_after=1.0))
        self._order_number += 1
        order_id = RequestId(f"{epoch}/{self._instance}/{self._order_number}")
        order = EngineOrder(order_id, epoch, kind, argument)
        outcome = await self._port.order(address, order)
        fenced = ProblemCode.STALE_EPOCH
        if outcome.is_err() and outcome.unwrap_err().is_code(fenced):
            emit(OrderFenced(self._engine, epoch))
            self._on_fenced()
        return outcome
