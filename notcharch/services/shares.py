"""Fair division of a service's slots between the daemons that hold them. Pure."""

from collections.abc import Mapping

import msgspec

from notcharch.values.identifiers import Member


class Demand(msgspec.Struct, frozen=True):
    """What one holder wants, and how often it had one of the odd slots."""

    wanted: int
    favoured: int


def fair_targets(slots: int, demands: Mapping[Member, Demand]) -> dict[Member, int]:
    """Divide `slots` so that nobody with less could be given more.

    Whoever wants less than an equal part gets all it wants. Slots that do not
    divide go to those who had the fewest odd slots so far, so that with fewer
    slots than holders each has its turn.
    """
    targets = dict.fromkeys(demands, 0)
    left = max(0, slots)
    by_demand = sorted(demands, key=lambda member: (demands[member].wanted, member))
    for position, member in enumerate(by_demand):
        equal = left // (len(by_demand) - position)
        if demands[member].wanted > equal:
            targets.update(dict.fromkeys(by_demand[position:], equal))
            left -= equal * (len(by_demand) - position)
            break
        targets[member] = demands[member].wanted
        left -= targets[member]
    by_turn = sorted(demands, key=lambda member: (demands[member].favoured, member))
    for member in by_turn:
        if left > 0 and targets[member] < demands[member].wanted:
            targets[member] += 1
            left -= 1
    return targets
