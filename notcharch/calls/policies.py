"""The policies of the call path, by the mechanisms that are switched on."""

from collections.abc import Collection

from notcharch.calls.engines import PoolPolicy
from notcharch.scheduling.cold_engines import ColdPolicy, ColdTolerance
from notcharch.scheduling.engine_health import HealthPolicy
from notcharch.scheduling.engine_routing import RoutingPolicy
from notcharch.scheduling.first_response_times import OverduePolicy
from notcharch.settings.mechanisms import Mechanism

LEARNING_SECONDS = 1.0
"""Until a daemon has certainly read that an engine leaves."""


def pool_policy(
    mechanisms: Collection[Mechanism],
    drain_seconds: float,
    entry_seconds: float = 0.0,
) -> PoolPolicy:
    """Give how engines are chosen.

    `drain_seconds`: an engine gets no calls so long after it was told to leave;
    `entry_seconds`: it writes its entry as often.
    """
    leaving = max(drain_seconds - LEARNING_SECONDS, 0.0)
    has_last_resort = Mechanism.LAST_RESORT in mechanisms
    return PoolPolicy(
        leaving_seconds=leaving if has_last_resort else 0.0,
        entry_seconds=entry_seconds,
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


def wait_policy(mechanisms: Collection[Mechanism]) -> OverduePolicy:
    """Give whether overdue calls are looked after."""
    return OverduePolicy(detects_overdue=Mechanism.OVERDUE in mechanisms)


def cold_policy(
    mechanisms: Collection[Mechanism], tolerance: ColdTolerance
) -> ColdPolicy:
    """Give what cold engines get."""
    return ColdPolicy(tolerance, sends_to_cold=Mechanism.COLD_FEEDING in mechanisms)
