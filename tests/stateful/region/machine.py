"""A hypothesis state machine over real daemon cores on virtual time.

Faults: crash (loud or silent) and restart, pause and stale wake, cut of a zone, lossy
and duplicating links, log down, log answers lost, engine restart, broken streams,
a leaving engine. Operators race for one cell. Two faults may hold at once: one of a daemon and one of anything else.
"""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from twisted.internet.defer import Deferred

from emulator.faults import Fault, FaultKind
from emulator.peers.faults import LinkFaults
from notcharch.placement.partitions import partition_of_program
from notcharch.table.draft import ChangeCell, ChangesDraft
from notcharch.table.publisher import PublishRequest
from notcharch.values.chat import ChatMessage
from notcharch.values.identifiers import ServiceName, TenantName
from notcharch.wire.messages.programs import ReadHistory
from tests.stateful.region.oracle import (
    MAX_TOKENS,
    KnownProgram,
    SentCall,
    SentRequest,
    ViolationError,
    check_budget,
    check_once,
    check_outcome,
    require,
)
from tests.stateful.region.world import (
    ROWS,
    SERVICES,
    TENANT,
    RecordedRegion,
)
from tests.virtual_region.caller import DirectCaller

SETTLE_SECONDS = 30.0
"""Virtual seconds after a daemon's fault before the next one may lose memory."""

REPAIR_SECONDS = 60.0
ANSWER_SECONDS = 240.0
ASK_TRIES = 10
PUBLISH_SECONDS = 10.0
MOST_PROGRAMS = 12
RELEASE_SECONDS = 60.0
LIMIT_OF_ROW = {row["service"]: row.get("budget_tokens", 10**6) for row in ROWS}

any_number = st.integers(0, 10_000)
PAUSE, CRASH, SILENT_CRASH = "pause", "crash", "silent crash"
DAEMON_FAULTS = (PAUSE, CRASH, SILENT_CRASH)
ENGINE, LOG = "engine", "log"
CUT, ONE_WAY_CUT, LOSSY_LINKS = "cut", "one-way cut", "lossy links"
CUTS = (CUT, ONE_WAY_CUT)
OTHER_FAULTS = (
    *CUTS,
    LOSSY_LINKS,
    (ENGINE, FaultKind.RESTART, 2.0),
    (ENGINE, FaultKind.BREAK_STREAMS, None),
    (ENGINE, FaultKind.LEAVE, None),
    (ENGINE, FaultKind.DOWN, 5.0),
    (ENGINE, FaultKind.EVENT_LOSS, 0.5),
    (LOG, FaultKind.DOWN, None),
    (LOG, FaultKind.ANSWER_LOST, 3.0),
    (LOG, FaultKind.SLOW, 2.0),
)


class RegionMachine(RuleBasedStateMachine):
    """Callers, operators' faults and the checks."""

    def __init__(self):
        super().__init__()
        self.programs = []
        self.calls = []
        self.requests = []
        self.faults = []
        self.violations = []
        self.next_share = 1
        self.published = {}
        self.versions = {}
        self.daemon_fault = None
        self.other_fault = None
        self.last_loss = 0.0
        self.caller = DirectCaller(TenantName(TENANT))

    @initialize(seed=st.integers(0, 1000))
    def build(self, seed):
        self.region = RecordedRegion(seed)
        self.last_loss = self.region.clock.seconds()
        self._create_first_programs()

    # Callers.

    def _core(self, number):
        cores = self.region.running_cores()
        return cores[number % len(cores)]

    def _create_first_programs(self):
        for number, service in enumerate(SERVICES):
            self.create_program(number, service)

    @precondition(lambda self: len(self.programs) < MOST_PROGRAMS)
    @rule(number=any_number, service=st.sampled_from(SERVICES))
    def create_program(self, number, service):
        created = self.caller.create(self._core(number), ServiceName(service))
        created.addCallback(self._created, service)
        self.region.advance(0.5)

    def _created(self, result, service):
        if result.is_ok():
            self.programs.append(KnownProgram(result.ok_value, service))

    def _callable(self):
        return [
            known
            for known in self.programs
            if known.pending is None and not known.is_ended
        ]

    @rule(numbers=st.lists(any_number, min_size=1, max_size=8))
    def call_some(self, numbers):
        for number in numbers:
            ready = self._callable()
            if ready:
                self._call(ready[number % len(ready)], number)
                self.region.advance(0.05)

    def _call(self, known, number):
        sequence = known.next_sequence
        message = ChatMessage("user", f"{known.program} says {sequence}")
        is_repeatable = known.service != "act" and number % 3 != 0
        call = SentCall(known, sequence, message, is_repeatable)
        known.pending = call
        self.calls.append(call)
        self._send(call, number)

    @rule(numbers=st.lists(any_number, min_size=1, max_size=4))
    def call_again_elsewhere(self, numbers):
        for number in numbers:
            pending = self._pending()
            if pending:
                self._send(pending[number % len(pending)], number)

    def _pending(self):
        return [known.pending for known in self.programs if known.pending]

    def _send(self, call, number):
        core = self._core(number)
        request = SentRequest(call, core)
        self.requests.append(request)
        outcome = self.caller.call(
            core,
            call.known.program,
            call.sequence,
            [call.message],
            max_tokens=MAX_TOKENS,
            repeatable=call.repeatable,
        )
        outcome.addCallback(self._told, request)

    def _told(self, outcome, request):
        call = request.call
        request.outcome = outcome
        call.outcomes.append(outcome)
        try:
            check_outcome(call, outcome, self.region.accepted)
        except ViolationError as violation:
            # Raised here it would be lost in the callback.
            self.violations.append(violation)
        known = call.known
        if outcome.is_ok() and known.pending is call:
            answer = outcome.ok_value
            call.answer = answer
            known.history += [call.message, answer.message]
            known.used_tokens += answer.usage.total_tokens
            known.next_sequence += 1
            known.pending = None

    @precondition(lambda self: self._callable())
    @rule(which=any_number, number=any_number)
    def end_program(self, which, number):
        ready = self._callable()
        known = ready[which % len(ready)]
        known.is_ended = True
        self.caller.end(self._core(number), known.program)

    # Operators.

    @rule(numbers=st.lists(any_number, min_size=1, max_size=3))
    def operators_race(self, numbers):
        """Let operators edit the same cell at several daemons at once."""
        for number in numbers:
            core = self._core(number)
            self.next_share += 1
            edit = ChangeCell("narrow", "share", float(self.next_share))
            request = PublishRequest(
                ChangesDraft((edit,)), core.table.version, f"operator {number}"
            )
            published = Deferred.fromCoroutine(
                core.publisher.publish(request, PUBLISH_SECONDS)
            )
            published.addCallback(self._published, edit.value)
        self.region.advance(0.3)

    def _published(self, result, share):
        if result.is_ok() and not result.ok_value.unchanged:
            self.published[result.ok_value.version] = share

    @invariant()
    def no_table_goes_back(self):
        for core in self.region.running_cores() if hasattr(self, "region") else ():
            before = self.versions.get(core.own_member, 0)
            require(
                core.table.version >= before,
                f"the table of {core.own_member} went back from {before}",
            )
            self.versions[core.own_member] = core.table.version

    @rule(seconds=st.sampled_from((0.3, 1.0, 3.0, 10.0, 35.0)))
    def pass_time(self, seconds):
        self.region.advance(seconds)

    # Faults of daemons.

    def _may_lose(self):
        now = self.region.clock.seconds()
        is_settled = now - self.last_loss >= SETTLE_SECONDS
        return self.daemon_fault is None and self.other_fault not in CUTS and is_settled

    @precondition(lambda self: self._may_lose())
    @rule(number=any_number, kind=st.sampled_from(DAEMON_FAULTS))
    def disturb_daemon(self, number, kind):
        name = self.region.names[number % len(self.region.names)]
        if kind == PAUSE:
            self.region.fabric.pause(name)
        else:
            self.region.crash(name, silent=kind == SILENT_CRASH)
        self.daemon_fault = (kind, name)
        self.faults.append(kind)

    @precondition(lambda self: self.daemon_fault is not None)
    @rule()
    def repair_daemon(self):
        kind, name = self.daemon_fault
        if kind == PAUSE:
            self.region.fabric.resume(name)
        else:
            self.region.start(name)
        self.daemon_fault = None
        self.last_loss = self.region.clock.seconds()

    # Faults of links and of the platform.

    @precondition(lambda self: self.other_fault is None)
    @rule(number=any_number, fault=st.sampled_from(OTHER_FAULTS))
    def disturb_other(self, number, fault):
        self.faults.append(fault)
        self.other_fault = fault
        if fault in CUTS:
            self._cut_zone(f"zone{number % 3 + 1}", one_way=fault == ONE_WAY_CUT)
        elif fault == LOSSY_LINKS:
            lossy = LinkFaults(loss=0.1, duplication=0.1, reorder=0.1, delay_max=0.05)
            self.region.fabric.plan.set_default(lossy)
        else:
            target, kind, argument = fault
            name = self._engine_name(number) if target == ENGINE else target
            self.region.models.faults.order(Fault(name, kind, argument))

    def _cut_zone(self, zone, *, one_way):
        inside = self.region.fabric.names_in(zone)
        outside = [name for name in self.region.names if name not in inside]
        self.region.fabric.cut(inside, outside, one_way=one_way)

    def _engine_name(self, number):
        hosts = self.region.models.engines.values()
        names = sorted(host.model.name for host in hosts)
        return names[number % len(names)]

    @precondition(lambda self: self.other_fault is not None)
    @rule()
    def repair_other(self):
        self.region.fabric.plan.clear()
        self.region.models.faults.clear()
        self.other_fault = None

    @invariant()
    def no_caller_was_told_wrong(self):
        if self.violations:
            raise self.violations[0]

    # What must hold at the end.

    def teardown(self):
        if not hasattr(self, "region"):
            return
        if self.daemon_fault is not None:
            self.repair_daemon()
        if self.other_fault is not None:
            self.repair_other()
        self.region.advance(REPAIR_SECONDS)
        self._check_everyone_was_told()
        self._check_tables()
        self._finish_pending_calls()
        self.no_caller_was_told_wrong()
        for call in self.calls:
            check_once(call, self.region.accepted)
        for known in self.programs:
            check_budget(known, LIMIT_OF_ROW[known.service])
            # An ended program's history is kept for `programs.retention_seconds`.
            if not known.is_ended:
                self._check_history(known)
        self._check_release()

    def _check_tables(self):
        tables = [core.table for core in self.region.running_cores()]
        require(len({table.version for table in tables}) == 1, "tables differ")
        if not self.published:
            return
        newest = max(self.published)
        require(tables[0].version >= newest, f"publication {newest} is not in force")
        if tables[0].version == newest:
            share = tables[0].row("narrow").share
            require(share == self.published[newest], f"share is {share} at {newest}")

    def _open_requests(self):
        """Give the requests without an answer whose gateway still runs."""
        running = self.region.running_cores()
        return [
            request
            for request in self.requests
            if request.outcome is None and request.core in running
        ]

    def _check_everyone_was_told(self):
        told = self.region.run_until(lambda: not self._open_requests(), ANSWER_SECONDS)
        waiting = [
            (request.call.known.program, request.call.sequence, request.core.own_member)
            for request in self._open_requests()
        ]
        require(told, f"callers were never told: {waiting}")

    def _finish_pending_calls(self):
        """Ask again for what may still be answered, as a caller would."""
        for call in self._pending():
            if not any(self._is_final(outcome) for outcome in call.outcomes):
                self._ask_until_final(call)

    def _ask_until_final(self, call):
        for number in range(ASK_TRIES):
            outcome = self._ask(call, number)
            if outcome.is_ok() or self._is_final(outcome):
                return
            self.region.advance(outcome.err_value.retry_after)
        raise ViolationError(f"after repair still no final answer: {outcome}")

    def _ask(self, call, number):
        self._send(call, number)
        request = self.requests[-1]
        self.region.run_until(lambda: request.outcome is not None, ANSWER_SECONDS)
        require(request.outcome is not None, "a caller was never told")
        return request.outcome

    def _is_final(self, outcome):
        return outcome.is_err() and outcome.err_value.retry_after is None

    def _check_history(self, known):
        page = self._read_history(known)
        require(page.is_ok(), f"the history of {known.program} cannot be read: {page}")
        messages = list(page.ok_value.messages)
        acknowledged = known.history
        require(
            messages[: len(acknowledged)] == acknowledged,
            f"{known.program} lost history: {len(messages)} of {len(acknowledged)}",
        )

    def _read_history(self, known):
        core = self._core(0)
        message = ReadHistory(known.program, TenantName(TENANT), 0, 1000)
        partition = partition_of_program(known.program)
        asked = core.router.to_partition(partition, message, 20.0)
        return self.region.wait_for(asked, 30.0)

    def _check_release(self):
        for known in self.programs:
            known.is_ended = True
            self.region.wait_for(self.caller.end(self._core(0), known.program), 30.0)
        hosts = self.region.models.engines.values()

        def is_released():
            return not any(host.model.cached_programs() for host in hosts)

        released = self.region.run_until(is_released, RELEASE_SECONDS)
        held = {host.model.name: host.model.cached_programs() for host in hosts}
        require(released, f"memory is held for ended programs: {held}")
