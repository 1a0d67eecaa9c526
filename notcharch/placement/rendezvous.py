"""Rendezvous (highest random weight) hashing of keys to daemons.

The daemon with the highest score for a key is responsible for it. When a daemon joins or
is removed, only the keys for which it has the highest score move.
"""

from collections.abc import Iterable

import xxhash

from notcharch.placement.interface import LiveMember
from notcharch.values.identifiers import DaemonName


def score(key: str, daemon: DaemonName) -> int:
    """Return the score of a daemon for a key; every daemon computes the same."""
    return xxhash.xxh64_intdigest(f"{key}\x00{daemon}".encode())


def winner(key: str, members: Iterable[LiveMember]) -> DaemonName | None:
    """Return the daemon with the highest score for a key; None without members."""
    daemons = [member.member.daemon for member in members]
    return max(daemons, key=lambda name: (score(key, name), name), default=None)
