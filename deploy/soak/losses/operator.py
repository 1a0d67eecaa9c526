"""Carries out the steps of a play on real daemons, and notes them as evidence."""

from functools import partial
from random import Random
from typing import Any

import msgspec

from deploy.soak.configuration import KEY, TOPIC, configuration, route
from deploy.soak.daemons import SoakDaemon
from deploy.soak.link_proxy import LinkFault
from deploy.soak.losses.records import (
    Disruption,
    Evidence,
    PlannedStop,
    Published,
    Reload,
)
from deploy.soak.losses.schedule import Step, StepKind
from deploy.soak.settings import TOOLS
from deploy.soak.store_server import StoreServer
from deploy.soak.tenants import Tenants
from emulator.services.partitioned_log import Trouble
from notcharch.journal.keyed_follower import join_keyed

AWAIT_SECONDS = 0.1
"""Between two looks whether a process has ended."""
FINAL_DOWN_SECONDS = 1.1
OUT_OF_CONTACT_SECONDS = 3.0
"""For so long after the final fault one daemon has no way to the store."""


def newest_path(version: int) -> str:
    """Return the path that only one version of the configuration routes."""
    return f"/version{version}/"


class PlayOperator:
    """What the platform and its operator do in a play."""

    def __init__(
        self,
        reactor: Any,
        random: Random,
        daemons: list[SoakDaemon],
        store: StoreServer,
        *,
        tenants: Tenants,
        evidence: Evidence,
    ) -> None:
        """Publish the first configuration."""
        self._reactor = reactor
        self._random = random
        self._daemons = daemons
        self._store = store
        self._tenants = tenants
        self._evidence = evidence
        self._version = 1
        self.publish()

    @property
    def newest_path(self) -> str:
        """The path that the newest configuration added."""
        return newest_path(self._version)

    def publish(self) -> None:
        """Write another configuration, with a route of its own."""
        self._version += 1 + self._version % 3
        whole = msgspec.json.decode(configuration(self._version, self._tenants))
        whole["routes"].append(
            route(f"version{self._version}", self.newest_path, "idempotent", TOOLS)
        )
        value = msgspec.json.encode(whole)
        self._store.log.put(TOPIC, 0, join_keyed(KEY, value))
        published = Published(self._version, self._reactor.seconds())
        self._evidence.published.append(published)

    def carry_out(self, step: Step) -> None:
        """Carry out a step."""
        struck = [self._daemons[number] for number in step.daemons]
        if step.kind is StepKind.CONFIGURE:
            self.publish()
        elif step.kind is StepKind.STORE:
            self._trouble_store(step.seconds)
        for daemon in struck:
            if step.kind is StepKind.KILL:
                self._kill(daemon, step.seconds)
            elif step.kind is StepKind.STOP:
                self._stop(daemon)
            elif step.kind is StepKind.RELOAD:
                daemon.reload()
                reload = Reload(daemon.name, self._reactor.seconds())
                self._evidence.reloads.append(reload)

    def _disrupt(self, daemon: str, **kinds: bool) -> Disruption:
        disruption = Disruption(daemon, self._reactor.seconds(), **kinds)
        self._evidence.disruptions.append(disruption)
        return disruption

    def _kill(self, daemon: SoakDaemon, seconds: float) -> None:
        disruption = self._disrupt(daemon.name)
        daemon.kill()
        self._reactor.callLater(seconds, self._start, daemon, disruption)

    def _start(self, daemon: SoakDaemon, disruption: Disruption) -> None:
        disruption.ended = self._reactor.seconds()
        daemon.start()

    def _stop(self, daemon: SoakDaemon) -> None:
        """Tell a daemon to stop, and start it when it has ended."""
        if daemon.is_stopping or not daemon.is_running:
            return
        self._evidence.stops.append(PlannedStop(daemon.name, self._reactor.seconds()))
        disruption = self._disrupt(daemon.name, is_planned=True)
        daemon.terminate()
        self._await_end(daemon, daemon.process_id, disruption)

    def _await_end(
        self, daemon: SoakDaemon, process_id: int, disruption: Disruption
    ) -> None:
        daemon.collect_ends()
        if not daemon.is_running:
            self._start(daemon, disruption)
        elif daemon.process_id == process_id:
            again = partial(self._await_end, daemon, process_id, disruption)
            self._reactor.callLater(AWAIT_SECONDS, again)
        else:
            disruption.ended = self._reactor.seconds()

    def _trouble_store(self, seconds: float) -> None:
        disruption = self._disrupt("", is_store=True)
        self._store.log.trouble = Trouble.REFUSE

        def end() -> None:
            self._store.log.trouble = Trouble.NONE
            disruption.ended = self._reactor.seconds()

        self._reactor.callLater(seconds, end)

    def final_fault(self) -> None:
        """Kill all daemons at once, and start all of them again."""
        self._evidence.final_fault_at = self._reactor.seconds()
        disruption = self._disrupt("")
        for daemon in self._daemons:
            daemon.kill_all()
        self._reactor.callLater(FINAL_DOWN_SECONDS, self._come_back, disruption)

    def _come_back(self, disruption: Disruption) -> None:
        """Start all daemons; one of them is out of contact for a while."""
        disruption.ended = self._evidence.back_at = self._reactor.seconds()
        apart = self._random.choice(self._daemons)
        apart.store.fault = LinkFault.REFUSE
        cut_off = self._disrupt(apart.name)
        for daemon in self._daemons:
            daemon.start()

        def mend() -> None:
            apart.store.fault = LinkFault.NONE
            cut_off.ended = self._reactor.seconds()

        self._reactor.callLater(OUT_OF_CONTACT_SECONDS, mend)
