"""What the faults of a soak strike, and what all kinds of them share."""

from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from deploy.soak.configuration import Operator
from deploy.soak.daemons import SoakDaemon
from deploy.soak.deadly import DaemonOutage
from deploy.soak.engine_server import SoakEngine
from deploy.soak.link_proxy import LinkFault, LinkProxy
from deploy.soak.store_server import StoreServer
from deploy.soak.zones import Drains

LINK_FAULTS = (
    LinkFault.DELAY,
    LinkFault.SILENT,
    LinkFault.SILENT_BACK,
    LinkFault.REFUSE,
)

Strike = Callable[[], str]
"""Begins one fault; gives what was done."""


class FaultTargets(msgspec.Struct, frozen=True):
    """What can be struck."""

    reactor: Any
    random: Random
    daemons: list[SoakDaemon]
    engines: list[SoakEngine]
    store: StoreServer
    publish: Callable[[], None]
    """Write another version of the configuration."""
    exchange_key: Callable[[], str]
    """Take a key of a tenant away and add another; gives the tenant's name."""
    operator: Operator
    drains: Drains
    outages: list[DaemonOutage]
    """Receives the outages of daemons."""
    is_planned_only: bool = False


class FaultKinds:
    """Base of the kinds of faults: their targets, and times drawn at random."""

    def __init__(self, targets: FaultTargets) -> None:
        """Strike these."""
        self._targets = targets
        self._random = targets.random

    def _later(self, least: float, most: float, call: Callable[[], None]) -> float:
        seconds = self._random.uniform(least, most)
        self._targets.reactor.callLater(seconds, call)
        return seconds

    def _break(self, link: LinkProxy, name: str) -> str:
        link.fault = self._random.choice(LINK_FAULTS)
        if self._random.random() < 0.3:
            link.reset_all()
        seconds = self._later(0.5, 4.0, lambda: mend(link))
        return f"{name}: {link.fault.value} for {seconds:.2f} s"


def mend_if_faulty(link: LinkProxy) -> None:
    """Mend a link; its connections may lack bytes, so they are cut."""
    if link.fault is not LinkFault.NONE:
        mend(link)


def mend(link: LinkProxy) -> None:
    """Let a link pass everything on again, over new connections."""
    link.fault = LinkFault.NONE
    link.reset_all()
