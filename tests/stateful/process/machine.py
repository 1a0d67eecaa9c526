"""The life of a daemon's process among held ports, stale tables, signals and defects."""

from unittest import mock

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from notcharch.accounts.service import AccountsService
from notcharch.events.process import StartFailed
from tests.unit.platform.ports import (
    FRONT,
    METRICS,
    PEERS,
    READINESS,
    STEP_SECONDS,
    ProcessWorld,
)

READY_SECONDS = 1.0 + STEP_SECONDS
"""A process is ready this long after the last cause is gone."""
METRICS_SECONDS = 5.0 + STEP_SECONDS
GRACE_SECONDS = 8.0
EARLY_STOP_SECONDS = 0.5 + STEP_SECONDS
LONG_SECONDS = 20.0
"""Causes may last this long: attempts must not become rare meanwhile."""
FRONT_DRAIN_SECONDS = 2.6
"""How long a former process keeps its front port; it keeps the others to its end."""

some_ports = st.sets(
    st.sampled_from([FRONT, READINESS, METRICS, PEERS[0], PEERS[1], PEERS[15]])
)


class ProcessMachine(RuleBasedStateMachine):
    """One process after another on a machine whose ports others hold at times."""

    def __init__(self) -> None:
        super().__init__()
        self.world = None

    # Starts

    @initialize(
        held=st.one_of(
            some_ports, *map(st.just, (frozenset(), {METRICS}, frozenset(PEERS)))
        ),
        has_tables=st.booleans(),
        has_defect=st.sampled_from([False, False, False, True]),
        has_descriptors=st.sampled_from([True, True, True, False]),
        ends_while_waiting=st.booleans(),
    )
    def first_start(
        self, held, has_tables, has_defect, has_descriptors, ends_while_waiting
    ):
        self.ends_while_waiting = ends_while_waiting
        self.start(held, has_defect, has_descriptors)
        self.change_tables(has_tables)

    def start(self, held, has_defect, has_descriptors=True):
        if self.world is not None:
            self.world.close()
        self.world = ProcessWorld(held)
        self.world.reactor.has_descriptors = has_descriptors
        self.has_defect = has_defect
        self.stopped_at = None
        self.openings_at_stop = 0
        self.stop_limit = GRACE_SECONDS
        self.seconds_without_cause = 0.0
        self.seconds_without_metrics_cause = 0.0
        self.former_frees = []
        if has_defect:
            patch = mock.patch.object(
                AccountsService, "start", side_effect=RuntimeError("a defect")
            )
            self.world._patches.enter_context(patch)
        self.world.start()
        self.note_causes(0.0)

    @precondition(lambda self: self.is_running and not self.former_frees)
    @rule()
    def restart_beside_the_draining_process(self):
        """Start the next process while this one has begun its drain."""
        held = set(self.world.reactor.opened) | self.world.reactor.held
        self.start(held, has_defect=False)
        now = self.now
        self.former_frees = [
            (now + FRONT_DRAIN_SECONDS, {FRONT}),
            (now + GRACE_SECONDS, {READINESS, METRICS, *PEERS}),
        ]

    # Faults

    @rule(ports=some_ports)
    def hold_ports(self, ports):
        self.world.reactor.held |= ports - set(self.world.reactor.opened)
        self.note_causes(0.0)

    @rule()
    def hold_all_ports_of_peers(self):
        self.hold_ports(set(PEERS))

    @rule(ports=some_ports)
    def give_back_ports(self, ports):
        self.world.reactor.held -= ports

    @rule()
    def give_back_all_ports(self):
        self.world.reactor.held.clear()

    @rule(has_descriptors=st.booleans())
    def change_descriptors(self, has_descriptors):
        self.world.reactor.has_descriptors = has_descriptors
        self.note_causes(0.0)

    @rule(has_tables=st.booleans())
    def change_tables(self, has_tables):
        self.world.has_tables = has_tables
        self.note_causes(0.0)

    # Signals

    @precondition(lambda self: self.is_running)
    @rule()
    def stop_signal(self):
        if self.stopped_at is None:
            self.stopped_at = self.now
            self.openings_at_stop = self.world.reactor.openings
            is_early = self.world.state == "opening_ports"
            self.stop_limit = EARLY_STOP_SECONDS if is_early else GRACE_SECONDS
        self.world.process.on_stop_signal()

    @precondition(lambda self: self.is_running)
    @rule()
    def reload_signal(self):
        self.world.process.on_reload_signal()

    # Time

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 3.0, 12.0]))
    def wait(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            if self.is_running:
                self.free_ports_of_the_former_process()
                self.world.reactor.advance(STEP_SECONDS)
                self.note_causes(STEP_SECONDS)

    def free_ports_of_the_former_process(self):
        for at, ports in tuple(self.former_frees):
            if self.now >= at:
                self.world.reactor.held -= ports
                self.former_frees.remove((at, ports))

    def note_causes(self, passed):
        """Count for how long nothing has stood in the way of readiness."""
        reactor = self.world.reactor
        needs = {FRONT, READINESS} & reactor.held or set(PEERS) <= reactor.held
        is_free = not needs and reactor.has_descriptors
        has_cause = not is_free or not self.world.has_tables
        before = self.seconds_without_cause
        self.seconds_without_cause = 0.0 if has_cause else before + passed
        is_metrics_free = METRICS not in reactor.held and reactor.has_descriptors
        before = self.seconds_without_metrics_cause
        self.seconds_without_metrics_cause = before + passed if is_metrics_free else 0.0

    # Oracle

    @property
    def now(self) -> float:
        return self.world.reactor.seconds()

    @property
    def is_running(self) -> bool:
        return self.world is not None and not self.world.reactor.hasStopped

    def opened(self, ports) -> bool:
        return any(port in self.world.reactor.opened for port in ports)

    @invariant()
    def it_ends_only_when_told_to_or_for_a_defect(self):
        if self.world is None or self.is_running:
            return
        failed = self.world.logged(StartFailed)
        assert self.stopped_at is not None or self.has_defect, "an end of its own"
        assert self.world.process.exit_status == (1 if failed else 0)
        assert bool(self.world.stderr.getvalue()) == bool(failed)
        assert not failed or self.has_defect
        if failed:
            assert not self.world.reactor.opened, "ports are open after a defect"

    @invariant()
    def a_stop_ends_in_time_and_opens_nothing(self):
        if self.world is None or self.stopped_at is None:
            return
        assert self.world.reactor.openings == self.openings_at_stop
        if self.is_running:
            assert self.now - self.stopped_at <= self.stop_limit

    @invariant()
    def nothing_is_half_started(self):
        if not self.is_running:
            return
        has_peers_port = self.opened(PEERS)
        components = self.world.process._components
        assert (components is not None) == has_peers_port
        assert self.world.reactor.follows_store() == has_peers_port
        if self.opened([FRONT]):
            assert has_peers_port
        if self.has_defect:
            assert not has_peers_port, "a defect after which the process lives on"

    @invariant()
    def it_is_ready_exactly_if_it_can_serve(self):
        if not self.is_running:
            return
        has_ports = all(map(self.opened, ([FRONT], [READINESS], PEERS)))
        expected = has_ports and self.world.has_tables and self.stopped_at is None
        assert self.world.process.is_ready == expected
        assert (self.world.state == "serving") == expected

    @invariant()
    def it_is_ready_soon_after_all_causes_are_gone(self):
        if not self.is_running or self.stopped_at is not None or self.has_defect:
            return
        if self.seconds_without_cause > READY_SECONDS:
            assert self.world.process.is_ready, self.world.process.readiness()
        if self.seconds_without_metrics_cause > METRICS_SECONDS:
            assert self.opened([METRICS])

    def teardown(self):
        if self.world is None:
            return
        try:
            if self.ends_while_waiting:
                self.stops()
            else:
                self.recovers()
        finally:
            self.world.close()

    def recovers(self):
        """Check that the process is ready in the end, whatever was before.

        Ports that it does without stay held: metrics, and all of its peers' but one.
        """
        self.wait(LONG_SECONDS)
        self.former_frees = []
        reactor = self.world.reactor
        reactor.has_descriptors = True
        reactor.held -= {FRONT, READINESS}
        if set(PEERS) <= reactor.held:
            reactor.held.remove(PEERS[-1])
        self.world.has_tables = True
        self.wait(GRACE_SECONDS)
        self.check()
        reactor.held.clear()
        self.wait(METRICS_SECONDS)
        self.check()
        self.stops()

    def stops(self):
        """Check that a stop ends the process although ports become free meanwhile."""
        if self.is_running:
            self.stop_signal()
            self.check()
            self.world.reactor.has_descriptors = True
            self.world.reactor.held.clear()
            self.wait(GRACE_SECONDS)
        self.check()
        assert not self.is_running

    def check(self):
        self.it_ends_only_when_told_to_or_for_a_defect()
        self.a_stop_ends_in_time_and_opens_nothing()
        self.nothing_is_half_started()
        self.it_is_ready_exactly_if_it_can_serve()
        self.it_is_ready_soon_after_all_causes_are_gone()
