"""Max-min fair division of a service's slots between daemons. No I/O."""

from collections.abc import Mapping

import msgspec

from notcharch.values.identifiers import Member


class Demand(msgspec.Struct, frozen=True):
    """The slots that a holder wants, and the number of its leases with slots."""

    wanted: int
    favoured: int


def fair_targets(slots: int, demands: Mapping[Member, Demand]) -> dict[Member, int]:
    """Divide `slots` by max-min fairness.

    A holder that wants less than an equal share gets all it wants. The remainder
    of the division goes to the holders with the lowest `favoured` counts, so that
    holders take turns if there are fewer slots than holders.
    """
    targets = dict.fromkeys(demands, 0)
    remaining = max(0, slots)
    by_demand = sorted(demands, key=lambda member: (demands[member].wanted, member))
    for position, member in enumerate(by_demand):
        equal_share = remaining // (len(by_demand) - position)
        if demands[member].wanted > equal_share:
            targets.update(dict.fromkeys(by_demand[position:], equal_share))
            remaining -= equal_share * (len(by_demand) - position)
            break
        targets[member] = demands[member].wanted
        remaining -= targets[member]
    by_favoured = sorted(demands, key=lambda member: (demands[member].favoured, member))
    for member in by_favoured:
        if remaining > 0 and targets[member] < demands[member].wanted:
            targets[member] += 1
            remaining -= 1
    return targets
