"""The faults of a soak: each is begun, and ended some seconds later."""

from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from deploy.soak.configuration import Operator
from deploy.soak.daemons import SoakDaemon
from deploy.soak.deadly import DaemonOutage
from deploy.soak.engine_server import SERVERS_TOPIC, EngineFault, SoakEngine
from deploy.soak.link_proxy import LinkFault, LinkProxy
from deploy.soak.spoiled import BAD_ENTRIES, BAD_RECORDS, Spoil
from deploy.soak.store_server import StoreServer
from deploy.soak.zones import ZONES, Drain, Drains
from emulator.services.partitioned_log import Trouble
from notcharch.accounts.service import GROUP
from notcharch.platform.tables import CONFIGURATION_TOPIC

RESTART_SECONDS = 0.5
STORE_TROUBLES = (Trouble.REFUSE, Trouble.LOSE_ANSWER, Trouble.LOSE_CALL)
LINK_FAULTS = (
    LinkFault.DELAY,
    LinkFault.SILENT,
    LinkFault.SILENT_BACK,
    LinkFault.REFUSE,
)
ENGINE_FAULTS = (
    EngineFault.SHED,
    EngineFault.LOSE_ANSWERS,
    EngineFault.BREAK_EVENTS,
    EngineFault.ERRORS,
    EngineFault.HANG,
    EngineFault.SLOW,
    EngineFault.FORGET_IDLE,
    EngineFault.UNFRAMED,
    EngineFault.ENDLESS,
)


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


class Faults:
    """Begins random faults; several may be under way at once."""

    def __init__(self, targets: FaultTargets) -> None:
        """Strike these."""
        self._targets = targets
        self._random = targets.random
        self.steps: list[str] = []
        """What was done, in order, each with its seconds."""
        self._began = targets.reactor.seconds()
        planned = (
            self._stop_and_start,
            self._reload,
            self._replace_engine,
            self._upgrade_engine,
            self._configure,
            self._exchange_key,
            self._drain_zone,
            self._spoil_entries,
            self._write_bad_record,
            self._spoil_store_answers,
        )
        unplanned = (
            self._kill_some,
            self._kill_most,
            self._pause,
            self._break_store_link,
            self._break_some_store_links,
            self._let_entries_lapse,
            self._trouble_the_store,
            self._deal_anew,
            self._break_engine_link,
            self._spoil_engine,
            self._crash_engine,
            self._crash_unframed_engine,
            self._break_answers_off,
            self._restart_engine_at_other_version,
            self._answer_without_end,
        )
        is_planned = targets.is_planned_only
        self._kinds: tuple[Callable[[], str], ...] = (
            planned if is_planned else planned + unplanned
        )

    def strike(self) -> None:
        """Begin one fault."""
        kind = self._random.choice(self._kinds)
        seconds = self._targets.reactor.seconds() - self._began
        self.steps.append(f"{seconds:6.2f} {kind()}")

    def _later(self, least: float, most: float, call: Callable[[], None]) -> float:
        seconds = self._random.uniform(least, most)
        self._targets.reactor.callLater(seconds, call)
        return seconds

    # Daemons

    def _some(self, share: float) -> list[SoakDaemon]:
        count = max(1, round(share * len(self._targets.daemons)))
        return self._random.sample(self._targets.daemons, count)

    def _kill(self, struck: list[SoakDaemon]) -> str:
        for daemon in struck:
            daemon.kill()
            self._note_outage(daemon, loses_memory=True)
            self._later(RESTART_SECONDS, 2.0, daemon.start)
        return "kill " + " ".join(daemon.name for daemon in struck)

    def _kill_some(self) -> str:
        return self._kill(self._some(0.25))

    def _kill_most(self) -> str:
        return self._kill(self._some(self._random.choice((0.5, 0.75, 1.0))))

    def _pause(self) -> str:
        [daemon] = self._some(0.0)
        daemon.pause()
        self._note_outage(daemon, loses_memory=False)
        seconds = self._later(0.3, 4.0, daemon.resume)
        return f"pause {daemon.name} for {seconds:.2f} s"

    def _stop_and_start(self) -> str:
        [daemon] = self._some(0.0)
        if daemon.is_stopping:
            return f"{daemon.name} is stopping already"
        daemon.terminate()
        self._note_outage(daemon, loses_memory=True)
        self._await_end(daemon)
        return f"stop {daemon.name}"

    def _note_outage(self, daemon: SoakDaemon, *, loses_memory: bool) -> None:
        now = self._targets.reactor.seconds()
        self._targets.outages.append(DaemonOutage(daemon.name, now, loses_memory))

    def _await_end(self, daemon: SoakDaemon) -> None:
        if daemon.is_running:
            self._later(0.2, 0.2, lambda: self._await_end(daemon))
        else:
            daemon.start()

    def _reload(self) -> str:
        [daemon] = self._some(0.0)
        daemon.reload()
        return f"reload {daemon.name}"

    # Links and the store

    def _break(self, link: LinkProxy, name: str) -> str:
        link.fault = self._random.choice(LINK_FAULTS)
        if self._random.random() < 0.3:
            link.reset_all()
        seconds = self._later(0.5, 4.0, lambda: _mend(link))
        return f"{name}: {link.fault.value} for {seconds:.2f} s"

    def _break_store_link(self) -> str:
        [daemon] = self._some(0.0)
        return self._break(daemon.store, f"{daemon.name} to the store")

    def _break_some_store_links(self) -> str:
        """Let the store turn several daemons away while it serves the others."""
        struck = self._some(0.4)
        return "; ".join(
            self._break(daemon.store, f"{daemon.name} to the store")
            for daemon in struck
        )

    def _let_entries_lapse(self) -> str:
        """Have an outage of the store, in which engines' entries lapse."""
        log = self._targets.store.log
        log.trouble = Trouble.REFUSE

        def end() -> None:
            log.trouble = Trouble.NONE
            for engine in self._targets.engines:
                engine.lapse()

        seconds = self._later(1.0, 4.0, end)
        return f"store: outage with lapsing entries for {seconds:.2f} s"

    def _trouble_the_store(self) -> str:
        log = self._targets.store.log
        log.trouble = self._random.choice(STORE_TROUBLES)

        def end() -> None:
            log.trouble = Trouble.NONE

        seconds = self._later(0.3, 3.0, end)
        return f"store: {log.trouble.value} for {seconds:.2f} s"

    def _deal_anew(self) -> str:
        groups = self._targets.store.log.groups
        if groups.owners(GROUP):
            groups.rebalance(GROUP)
        return "store deals all partitions anew"

    def _write_bad_record(self) -> str:
        """Write a record that is no key, among the entries or the operator's records."""
        topic = self._random.choice((SERVERS_TOPIC, CONFIGURATION_TOPIC))
        record = self._random.choice(BAD_RECORDS)
        self._targets.store.write_bad_record(topic, record)
        return f"{topic}: a record {record[:8]!r}"

    def _spoil_store_answers(self) -> str:
        """Add parts that can't be read to pages, assignments and owners."""
        store = self._targets.store
        store.has_bad_parts = True

        def end() -> None:
            store.has_bad_parts = False

        seconds = self._later(1.0, 6.0, end)
        return f"store: answers with bad parts for {seconds:.2f} s"

    def _answer_without_end(self) -> str:
        """Let the store answer without end, now and then."""
        store = self._targets.store
        store.is_endless = True

        def end() -> None:
            store.is_endless = False

        seconds = self._later(0.5, 3.0, end)
        return f"store: answers without end for {seconds:.2f} s"

    # Engines

    def _spoil_entries(self) -> str:
        """Let some engines write entries with a field that can't be read."""
        engines = self._targets.engines
        struck = self._random.sample(engines, self._random.randint(1, len(engines)))
        for engine in struck:
            engine.spoil = self._random.choice(BAD_ENTRIES)

        def end() -> None:
            for engine in struck:
                engine.spoil = Spoil.NONE

        seconds = self._later(2.0, 9.0, end)
        names = " ".join(f"{engine.id}:{engine.spoil.name}" for engine in struck)
        return f"entries for {seconds:.2f} s: {names}"

    def _engine(self) -> SoakEngine:
        return self._random.choice(self._targets.engines)

    def _break_engine_link(self) -> str:
        engine = self._engine()
        return self._break(engine.link, f"link of {engine.id}")

    def _spoil_engine(self) -> str:
        engine = self._engine()
        fault = self._random.choice(ENGINE_FAULTS)
        seconds = self._spoil([engine], fault, least_seconds=0.5)
        return f"{engine.id}: {fault.value} for {seconds:.2f} s"

    def _spoil(
        self, engines: list[SoakEngine], fault: EngineFault, *, least_seconds: float
    ) -> float:
        """Let engines suffer from a fault for a while; give for how many seconds."""
        for engine in engines:
            engine.fault = fault

        def end() -> None:
            for engine in engines:
                engine.fault = EngineFault.NONE

        return self._later(least_seconds, 4.0, end)

    def _break_answers_off(self) -> str:
        """Let half of the engines break off answers at any byte."""
        engines = self._targets.engines
        struck = self._random.sample(engines, len(engines) // 2)
        seconds = self._spoil(struck, EngineFault.UNFRAMED, least_seconds=1.0)
        names = " ".join(engine.id for engine in struck)
        return f"{names}: answers break off at any byte for {seconds:.2f} s"

    def _crash_engine(self) -> str:
        engine = self._engine()
        is_clean = self._draw_clean()
        engine.crash(is_clean=is_clean)
        self._later(0.5, 3.0, engine.start_again)
        return f"crash {engine.id} with {'closes' if is_clean else 'resets'}"

    def _draw_clean(self) -> bool:
        return self._random.random() < 0.5

    def _crash_unframed_engine(self) -> str:
        """Crash an engine while it answers without framing."""
        engine = self._engine()
        engine.fault = EngineFault.UNFRAMED

        def crash() -> None:
            engine.crash(is_clean=True)
            engine.fault = EngineFault.NONE
            self._later(0.5, 3.0, engine.start_again)

        seconds = self._later(0.3, 1.0, crash)
        return f"{engine.id}: unframed for {seconds:.2f} s, then a crash with closes"

    def _replace_engine(self) -> str:
        engine = self._engine()
        engine.leave()
        self._later(3.0, 4.0, engine.start_again)
        return f"{engine.id} leaves"

    def _upgrade_engine(self) -> str:
        """Replace an engine by one of the other version, at another id."""
        engine = self._engine()
        engine.leave()

        def replace() -> None:
            if engine.is_leaving:
                engine.change_version()
                engine.start_again()

        self._later(3.0, 4.0, replace)
        return f"{engine.id} leaves, to return at another version than {engine.version}"

    def _restart_engine_at_other_version(self) -> str:
        engine = self._engine()
        engine.restart_under_its_id(is_clean=self._draw_clean())
        return f"{engine.id} restarts at {engine.version}"

    def _configure(self) -> str:
        self._targets.publish()
        return "another version of the configuration"

    def _exchange_key(self) -> str:
        return f"another key for {self._targets.exchange_key()}"

    def _drain_zone(self) -> str:
        """Drain a zone, unless one is drained; its engines return cold."""
        targets = self._targets
        if targets.drains.in_force():
            return "a zone is drained already"
        drain = Drain(self._random.choice(ZONES), targets.reactor.seconds())
        targets.operator.drain(drain.zone)
        targets.drains.all.append(drain)
        seconds = self._later(2.0, 9.0, lambda: self._give_back(drain))
        return f"drain {drain.zone} for {seconds:.2f} s"

    def _give_back(self, drain: Drain) -> None:
        if drain.given_back_at is not None:
            return
        targets = self._targets
        for engine in targets.engines:
            if engine.zone == drain.zone:
                engine.turn_cold()
        drain.given_back_at = targets.reactor.seconds()
        targets.operator.give_back(drain.zone)

    def end(self) -> None:
        """End everything that was begun."""
        targets = self._targets
        targets.store.log.trouble = Trouble.NONE
        targets.store.has_bad_parts = targets.store.is_endless = False
        for drain in targets.drains.in_force():
            self._give_back(drain)
        for engine in targets.engines:
            engine.fault = EngineFault.NONE
            engine.spoil = Spoil.NONE
            _mend_if_faulty(engine.link)
            engine.start_again()
        for daemon in targets.daemons:
            _mend_if_faulty(daemon.store)
            daemon.resume()
            self._await_start(daemon)

    def _await_start(self, daemon: SoakDaemon) -> None:
        if daemon.is_stopping:
            self._await_end(daemon)
        else:
            daemon.start()


def _mend_if_faulty(link: LinkProxy) -> None:
    """Mend a link; its connections may lack bytes, so they are cut."""
    if link.fault is not LinkFault.NONE:
        _mend(link)


def _mend(link: LinkProxy) -> None:
    link.fault = LinkFault.NONE
    link.reset_all()
