"""The life of one probe: direct, then through relays, then answered or failed."""

from collections.abc import Callable
from typing import Protocol

from automat import TypeMachineBuilder


class Probe(Protocol):
    """The inputs of a probe."""

    def acknowledge(self) -> None:
        """Take in an answer of the target, to this process or to a relay."""

    def time_out(self) -> None:
        """Give up the direct answer and ask relays."""

    def end_period(self) -> None:
        """Await no further answer."""


class ProbeActions:
    """What a probe does: ask relays, and report its failure."""

    def __init__(
        self, ask_relays: Callable[[], None], report_failure: Callable[[], None]
    ) -> None:
        """Keep both actions; each is done at most once."""
        self.ask_relays = ask_relays
        self.report_failure = report_failure


_builder = TypeMachineBuilder(Probe, ProbeActions)
_awaiting_ack = _builder.state("awaiting_ack")
_awaiting_relays = _builder.state("awaiting_relays")
_answered = _builder.state("answered")
_failed = _builder.state("failed")


@_awaiting_ack.upon(Probe.time_out).to(_awaiting_relays)
def _ask_relays(probe: Probe, actions: ProbeActions) -> None:
    actions.ask_relays()


@_awaiting_ack.upon(Probe.end_period).to(_failed)
@_awaiting_relays.upon(Probe.end_period).to(_failed)
def _report_failure(probe: Probe, actions: ProbeActions) -> None:
    actions.report_failure()


_awaiting_ack.upon(Probe.acknowledge).to(_answered).returns(None)
_awaiting_relays.upon(Probe.acknowledge).to(_answered).returns(None)
_awaiting_relays.upon(Probe.time_out).loop().returns(None)
for _ended in (_answered, _failed):
    _ended.upon(Probe.acknowledge).loop().returns(None)
    _ended.upon(Probe.time_out).loop().returns(None)
    _ended.upon(Probe.end_period).loop().returns(None)

new_probe = _builder.build()
"""Makes a probe, given its actions; it awaits the direct answer."""
