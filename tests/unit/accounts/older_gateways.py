"""Gateways of a build that gates no events: their calls are granted as a whole."""

import msgspec

from notcharch.accounts.messages import AdmitTurn


class OlderGateway:
    """A daemon's network, by which its admissions tell no tokens of an event."""

    def __init__(self, network) -> None:
        self._network = network

    def __getattr__(self, name):
        return getattr(self._network, name)

    def request(self, destination, message, timeout_seconds):
        if isinstance(message, AdmitTurn):
            message = msgspec.structs.replace(message, event_tokens=0)
        return self._network.request(destination, message, timeout_seconds)
