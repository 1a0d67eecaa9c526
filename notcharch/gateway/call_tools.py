"""Interfaces that a call run uses from the rest of the daemon."""

from collections.abc import Awaitable
from typing import Protocol

import attrs
from result import Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from notcharch.clients.ports import EnginePort
from notcharch.errors import Problem
from notcharch.gateway.leader_client import LeaderClient
from notcharch.gateway.metrics import GatewayMetrics
from notcharch.scheduling.retry import RetryBudget
from notcharch.table.interface import ServiceRow, TableView
from notcharch.values.chat import TokenUsage
from notcharch.values.identifiers import EngineName, Member, ServiceName
from notcharch.wire.messages.engines import CallGranted
from notcharch.wire.messages.programs import CallAdmitted


class Slot(Protocol):
    """One unit of a service's concurrency."""

    def may_start(self) -> bool:
        """Return whether the lease of the slot is still valid; checked before a run."""

    def release(self) -> None:
        """Release the slot; idempotent."""


class SlotSource(Protocol):
    """Provides slots of this daemon's allotments; see `notcharch.services`."""

    def acquire(
        self, service: ServiceName, priority: int, give_up_seconds: float
    ) -> Awaitable[Result[Slot, Problem]]:
        """Wait for a slot, by priority; a refusal has a `retry_after`."""


class Placer(Protocol):
    """Finds an engine for an admitted call; see `notcharch.engines.dispatcher`."""

    def place(
        self,
        admitted: CallAdmitted,
        row: ServiceRow,
        max_tokens: int,
        give_up_seconds: float | None = None,
        avoid: frozenset[EngineName] = frozenset(),
    ) -> Awaitable[Result[CallGranted, Problem]]:
        """Return a grant of an engine, or OVERLOADED or NO_ENGINE without waiting."""

    def return_grant(
        self, grant: CallGranted, usage: TokenUsage | None, engine_failed: bool
    ) -> "Deferred[None]":
        """Release a grant after its stream ended."""


@attrs.frozen(kw_only=True)
class CallTools:
    """Dependencies shared by all runs of a gateway."""

    leader: LeaderClient
    slots: SlotSource
    placer: Placer
    engines: EnginePort
    table: TableView
    clock: IReactorTime
    own_member: Member
    metrics: GatewayMetrics
    retry_budget: RetryBudget = attrs.field(factory=RetryBudget)
