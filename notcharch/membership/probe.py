"""State machine of one probe: direct, then through relays, then acknowledged or failed."""

from collections.abc import Callable
from typing import Protocol

from automat import TypeMachineBuilder


class Probe(Protocol):
    """The inputs of a probe."""

    def acknowledge(self) -> None:
        """Handle an acknowledgement of the target, direct or through a relay."""

    def time_out(self) -> None:
        """Handle the timeout of the direct probe by requesting relayed ones."""

    def end_period(self) -> None:
        """End the probe; without an acknowledgement it has failed."""


class ProbeActions:
    """The actions of a probe: request relayed probes, and report the failure."""

    def __init__(
        self, request_relays: Callable[[], None], report_failure: Callable[[], None]
    ) -> None:
        """Store both actions; each is called at most once."""
        self.request_relays = request_relays
        self.report_failure = report_failure


_builder = TypeMachineBuilder(Probe, ProbeActions)
_awaiting_ack = _builder.state("awaiting_ack")
_awaiting_relays = _builder.state("awaiting_relays")
_acknowledged = _builder.state("acknowledged")
_failed = _builder.state("failed")


@_awaiting_ack.upon(Probe.time_out).to(_awaiting_relays)
def _request_relays(probe: Probe, actions: ProbeActions) -> None:
    actions.request_relays()


@_awaiting_ack.upon(Probe.end_period).to(_failed)
@_awaiting_relays.upon(Probe.end_period).to(_failed)
def _report_failure(probe: Probe, actions: ProbeActions) -> None:
    actions.report_failure()


_awaiting_ack.upon(Probe.acknowledge).to(_acknowledged).returns(None)
_awaiting_relays.upon(Probe.acknowledge).to(_acknowledged).returns(None)
_awaiting_relays.upon(Probe.time_out).loop().returns(None)
for _ended in (_acknowledged, _failed):
    _ended.upon(Probe.acknowledge).loop().returns(None)
    _ended.upon(Probe.time_out).loop().returns(None)
    _ended.upon(Probe.end_period).loop().returns(None)

new_probe = _builder.build()
"""Create a probe from its actions; it awaits the direct acknowledgement."""
