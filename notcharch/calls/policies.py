"""Policies of the call path, by the enabled mechanisms."""

from collections.abc import Collection

from notcharch.calls.call_urgency import CallUrgency
from notcharch.calls.engines import PoolPolicy
from notcharch.scheduling.cold_engines import ColdPolicy, ColdTolerance
from notcharch.scheduling.engine_health import HealthPolicy
from notcharch.scheduling.engine_routing import RoutingPolicy
from notcharch.scheduling.first_response_times import OverduePolicy
from notcharch.settings.mechanisms import Mechanism

PROPAGATION_SECONDS = 1.0
"""Time until every daemon has read that an engine is draining."""


def pool_policy(
    mechanisms: Collection[Mechanism],
    drain_seconds: float,
    entry_seconds: float = 0.0,
) -> PoolPolicy:
    """Return the policy for the choice of an engine.

    An engine must get no calls `drain_seconds` after the start of its drain, and writes
    its entry every `entry_seconds`.
    """
    window_seconds = max(drain_seconds - PROPAGATION_SECONDS, 0.0)
    has_last_resort = Mechanism.LAST_RESORT in mechanisms
    return PoolPolicy(
        last_resort_seconds=window_seconds if has_last_resort else 0.0,
        entry_seconds=entry_seconds,
        chooses_by_load=Mechanism.SHARED_LOAD in mechanisms,
        routing=RoutingPolicy(
            prefers_cached_engine=Mechanism.KEPT_HOMES in mechanisms,
            hashes_affinity=Mechanism.HASHED_HOMES in mechanisms,
            prefers_zone=Mechanism.ZONES in mechanisms,
            prefers_fast=Mechanism.QUICK_HOMES in mechanisms,
        ),
        health=HealthPolicy(
            watches_silence=Mechanism.SILENCE in mechanisms,
            watches_event_interval=Mechanism.PACE in mechanisms,
        ),
    )


def call_urgency(mechanisms: Collection[Mechanism]) -> CallUrgency | None:
    """Return what rates the urgency of calls, unless engines are not told of it."""
    needed = {Mechanism.SHARED_LOAD, Mechanism.CALL_URGENCY}
    return CallUrgency() if needed <= set(mechanisms) else None


def wait_policy(mechanisms: Collection[Mechanism]) -> OverduePolicy:
    """Return the policy for overdue responses."""
    return OverduePolicy(detects_overdue=Mechanism.OVERDUE in mechanisms)


def cold_policy(
    mechanisms: Collection[Mechanism], tolerance: ColdTolerance
) -> ColdPolicy:
    """Return the policy for the load of cold engines."""
    return ColdPolicy(tolerance, sends_to_cold=Mechanism.COLD_FEEDING in mechanisms)
