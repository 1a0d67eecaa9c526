"""The variants of notcharch's policy that ablations switch off, part by part."""

import msgspec

from notcharch.scheduling.calls import OrderPolicy
from notcharch.scheduling.engine_choice import ChoicePolicy

EFFECTIVELY_FOREVER_SECONDS = 1e6


class NotcharchVariant(msgspec.Struct, frozen=True):
    """Which parts are on; the default is the policy as it is shipped."""

    order: OrderPolicy = OrderPolicy()
    choice: ChoicePolicy = ChoicePolicy()
    shares: bool = True
    priority: bool = True
    locality: bool = True
    early_refusal: bool = True
    release_at_end: bool = True
    moves: bool = True


SHIPPED = NotcharchVariant()


def _order(**changes: float) -> NotcharchVariant:
    order = msgspec.structs.replace(OrderPolicy(), **changes)
    return NotcharchVariant(order=order)


ABLATIONS = {
    "no-shares": NotcharchVariant(shares=False),
    "no-attained-service": _order(level_seconds=0.0),
    "no-priority": NotcharchVariant(priority=False),
    "no-locality": NotcharchVariant(locality=False),
    "no-moves": NotcharchVariant(moves=False),
    "no-early-refusal": NotcharchVariant(early_refusal=False),
    "no-begun-first": _order(new_program_seconds=0.0),
    "no-memory-room": _order(free_memory_part=0.0, free_memory_part_behind=0.0),
    "no-ageing": _order(
        level_seconds=EFFECTIVELY_FOREVER_SECONDS,
        new_program_seconds=100 * EFFECTIVELY_FOREVER_SECONDS,
    ),
    "no-release-at-end": NotcharchVariant(release_at_end=False),
}
"""Each switches one part off. Without ageing the time of arrival only breaks ties."""
