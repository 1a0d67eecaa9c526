"""Faults of the store, of the links to it, and of what it holds."""

from deploy.soak.engine_server import SERVERS_TOPIC
from deploy.soak.fault_targets import FaultKinds, Strike
from deploy.soak.spoiled import BAD_RECORDS
from emulator.services.partitioned_log import Trouble
from notcharch.accounts.service import GROUP
from notcharch.platform.tables import CONFIGURATION_TOPIC

STORE_TROUBLES = (Trouble.REFUSE, Trouble.LOSE_ANSWER, Trouble.LOSE_CALL)
REFUSED_SHARE = 0.4
"""Of the daemons whose links break at once."""


class StoreFaults(FaultKinds):
    """Faults of the store."""

    @property
    def planned(self) -> tuple[Strike, ...]:
        """What disturbs no daemon in contact."""
        return (self.write_bad_record, self.spoil_store_answers)

    @property
    def unplanned(self) -> tuple[Strike, ...]:
        """What does."""
        return (
            self.break_store_link,
            self.break_some_store_links,
            self.let_entries_lapse,
            self.trouble_the_store,
            self.deal_anew,
            self.answer_without_end,
        )

    def causes(self) -> list[str]:
        """Return what keeps every daemon from being ready."""
        store = self._targets.store
        found = []
        if store.log.trouble is not Trouble.NONE:
            found.append(f"the store: {store.log.trouble.value}")
        if store.is_endless:
            found.append("the store: answers without end")
        return found

    def end_all(self) -> None:
        """Let the store serve."""
        store = self._targets.store
        store.log.trouble = Trouble.NONE
        store.has_bad_parts = store.is_endless = False

    def break_store_link(self) -> str:
        """Break the link of one daemon to the store."""
        daemon = self._random.choice(self._targets.daemons)
        return self._break(daemon.store, f"{daemon.name} to the store")

    def break_some_store_links(self) -> str:
        """Let the store turn several daemons away while it serves the others."""
        daemons = self._targets.daemons
        count = max(1, round(REFUSED_SHARE * len(daemons)))
        struck = self._random.sample(daemons, count)
        return "; ".join(
            self._break(daemon.store, f"{daemon.name} to the store")
            for daemon in struck
        )

    def let_entries_lapse(self) -> str:
        """Have an outage of the store, in which engines' entries lapse."""
        log = self._targets.store.log
        log.trouble = Trouble.REFUSE

        def end() -> None:
            log.trouble = Trouble.NONE
            for engine in self._targets.engines:
                engine.lapse()

        seconds = self._later(1.0, 4.0, end)
        return f"store: outage with lapsing entries for {seconds:.2f} s"

    def trouble_the_store(self) -> str:
        """Let the store refuse calls, or lose them or their answers."""
        log = self._targets.store.log
        log.trouble = self._random.choice(STORE_TROUBLES)

        def end() -> None:
            log.trouble = Trouble.NONE

        seconds = self._later(0.3, 3.0, end)
        return f"store: {log.trouble.value} for {seconds:.2f} s"

    def deal_anew(self) -> str:
        """Let the store deal all partitions anew."""
        groups = self._targets.store.log.groups
        if groups.owners(GROUP):
            groups.rebalance(GROUP)
        return "store deals all partitions anew"

    def write_bad_record(self) -> str:
        """Write a record that is no key, among the entries or the operator's records."""
        topic = self._random.choice((SERVERS_TOPIC, CONFIGURATION_TOPIC))
        record = self._random.choice(BAD_RECORDS)
        self._targets.store.write_bad_record(topic, record)
        return f"{topic}: a record {record[:8]!r}"

    def spoil_store_answers(self) -> str:
        """Add parts that can't be read to pages, assignments and owners."""
        store = self._targets.store
        store.has_bad_parts = True

        def end() -> None:
            store.has_bad_parts = False

        seconds = self._later(1.0, 6.0, end)
        return f"store: answers with bad parts for {seconds:.2f} s"

    def answer_without_end(self) -> str:
        """Let the store answer without end, now and then."""
        store = self._targets.store
        store.is_endless = True

        def end() -> None:
            store.is_endless = False

        seconds = self._later(0.5, 3.0, end)
        return f"store: answers without end for {seconds:.2f} s"
