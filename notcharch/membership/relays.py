"""Probes that this process carries out for other members."""

import msgspec

from notcharch.values.identifiers import DaemonName

MAX_RELAYS = 256
"""More than all members could ask of one; beyond it the oldest is dropped."""


class Relay(msgspec.Struct, frozen=True):
    """Who asked, under which probe number, and until when it matters."""

    asker: DaemonName
    asker_address: str
    asker_probe: int
    expires_at: float


class Relays:
    """The running relays, by the number of the probe sent for each."""

    def __init__(self) -> None:
        """Begin with none."""
        self._relays: dict[int, Relay] = {}

    def add(self, probe: int, relay: Relay) -> None:
        """Begin a relay."""
        if len(self._relays) >= MAX_RELAYS:
            del self._relays[next(iter(self._relays))]
        self._relays[probe] = relay

    def take(self, probe: int) -> Relay | None:
        """Give and end the relay that a probe was sent for."""
        return self._relays.pop(probe, None)

    def expire(self, now: float) -> None:
        """End relays whose askers wait no more."""
        for probe, relay in list(self._relays.items()):
            if relay.expires_at <= now:
                del self._relays[probe]
