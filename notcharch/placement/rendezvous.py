"""Rendezvous hashing: who is responsible for a key, with minimal movement.

Every daemon gets a score for every key; the highest score wins. When a daemon
comes or goes, only the keys that it wins or won move.
"""

from collections.abc import Iterable

import xxhash

from notcharch.placement.interface import LiveMember
from notcharch.values.identifiers import DaemonName


def score(key: str, daemon: DaemonName) -> int:
    """Give the weight of a daemon for a key; equal on all daemons."""
    return xxhash.xxh64_intdigest(f"{key}\x00{daemon}".encode())


def winner(key: str, members: Iterable[LiveMember]) -> DaemonName | None:
    """Give the daemon with the highest score for a key; None without members."""
    daemons = [member.member.daemon for member in members]
    return max(daemons, key=lambda name: (score(key, name), name), default=None)
