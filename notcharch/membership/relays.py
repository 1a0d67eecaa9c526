"""Indirect probes that this process performs for other members."""

import msgspec

from notcharch.values.identifiers import DaemonName

MAX_RELAYS = 256
"""Above what all members can request of one; the oldest is dropped beyond it."""


class Relay(msgspec.Struct, frozen=True):
    """The requester of an indirect probe, its probe number and the expiry time."""

    requester: DaemonName
    requester_address: str
    requester_probe: int
    expires_at: float


class Relays:
    """The pending relays, by the number of the probe sent for each."""

    def __init__(self) -> None:
        """Start without relays."""
        self._relays: dict[int, Relay] = {}

    def add(self, probe: int, relay: Relay) -> None:
        """Add a relay."""
        if len(self._relays) >= MAX_RELAYS:
            del self._relays[next(iter(self._relays))]
        self._relays[probe] = relay

    def take(self, probe: int) -> Relay | None:
        """Remove and return the relay that a probe was sent for, if there is one."""
        return self._relays.pop(probe, None)

    def expire(self, now: float) -> None:
        """Remove the relays whose requesters no longer wait."""
        for probe, relay in list(self._relays.items()):
            if relay.expires_at <= now:
                del self._relays[probe]
