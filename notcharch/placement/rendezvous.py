"""Rendezvous hashing: who is responsible for a key, with minimal movement.

Every daemon gets a score for every key; the highest score wins. When a daemon
comes or goes, only the keys that it wins or won move.
"""

from collections.abc import Iterable

import xxhash

from notcharch.placement.interface import LiveMember
from notcharch.values.identifiers import DaemonName, ZoneName


def score(key: str, daemon: DaemonName) -> int:
    """Give the weight of a daemon for a key; equal on all daemons."""
    return xxhash.xxh64_intdigest(f"{key}\x00{daemon}".encode())


def ranked(key: str, members: Iterable[LiveMember]) -> list[LiveMember]:
    """Give the members by falling score for a key."""
    return sorted(members, key=lambda member: _rank(key, member), reverse=True)


def spread_over_zones(
    key: str, members: Iterable[LiveMember], count: int
) -> tuple[DaemonName, ...]:
    """Choose `count` daemons, in as many zones as there are, best first.

    With fewer zones than `count`, zones are used again only after each has been
    used once. Fewer members than `count` give all of them.
    """
    candidates = ranked(key, members)
    chosen: list[LiveMember] = []
    while candidates and len(chosen) < count:
        round_zones: set[ZoneName] = set()
        left: list[LiveMember] = []
        for member in candidates:
            if member.zone in round_zones or len(chosen) == count:
                left.append(member)
                continue
            round_zones.add(member.zone)
            chosen.append(member)
        candidates = left
    return tuple(member.member.daemon for member in chosen)


def _rank(key: str, member: LiveMember) -> tuple[int, DaemonName]:
    daemon = member.member.daemon
    return score(key, daemon), daemon
