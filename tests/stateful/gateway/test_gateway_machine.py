"""Random calls, failed messages and failed engines, checked against an oracle."""

import itertools
from contextlib import contextmanager

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.wire.messages.programs import (
    AdmitCall,
    AwaitAnswer,
    DispatchCall,
    FinishCall,
)
from tests.unit.gateway.harness import GatewayHarness, refused, reply_dropped

NO_REPLY = Problem.of(ProblemCode.UNAVAILABLE, "no reply", ran=Ran.UNKNOWN)
UNSENT = Problem.of(ProblemCode.UNAVAILABLE, "not sent")
BUSY = Problem.of(ProblemCode.OVERLOADED, "busy", retry_after=1.0)
FAULTS = [refused(UNSENT), refused(NO_REPLY), reply_dropped(NO_REPLY)]
MESSAGES = [AdmitCall, DispatchCall, FinishCall, AwaitAnswer]
CALLS = st.tuples(st.integers(0, 1), st.booleans(), st.booleans())
"""Program index, repeatable, streamed."""

CAPACITIES = st.sampled_from(["all", "slots", "grants", "lease"])
DRAIN_SECONDS = 900


@attrs.define
class Caller:
    """One request, and whether its response was checked already."""

    connection: object
    call: tuple[str, int]
    is_disconnected: bool = False
    is_checked: bool = False


class GatewayMachine(RuleBasedStateMachine):
    """At most one run and one answer, a correct `ran`, and everything released."""

    def __init__(self):
        super().__init__()
        self.harness = GatewayHarness()
        self.programs = [self.harness.program() for _ in range(2)]
        self.repeatable = {}
        self.callers = []
        self.answers = {}
        self.failed_streams = {}
        self.numbers = itertools.count()

    def begin_call(self, which, repeatable, stream):
        program = self.programs[which]
        sequence = self.record(program).next_sequence
        call = (program, sequence)
        repeatable = self.repeatable.setdefault(call, repeatable)
        connection = self.harness.call(
            program, sequence, f"text {sequence}", repeatable=repeatable, stream=stream
        )
        self.callers.append(Caller(connection, call))

    @rule(call=CALLS)
    def call(self, call):
        self.begin_call(*call)

    @rule(call=CALLS, where=CAPACITIES)
    def call_without_capacity(self, call, where):
        with self.without(where):
            self.begin_call(*call)

    @rule(call=CALLS, ran=st.sampled_from(Ran), where=CAPACITIES)
    def call_whose_engine_fails(self, call, ran, where):
        self.begin_call(*call)
        if self.open_streams():
            with self.without(where):
                self.fail(self.open_streams()[-1], ran)

    @rule(call=CALLS, message=st.sampled_from(MESSAGES), fault=st.sampled_from(FAULTS))
    def call_whose_message_fails(self, call, message, fault):
        self.harness.router.faults[message] = [fault]
        self.begin_call(*call)
        if self.open_streams():
            self.open_streams()[-1].answer(f"answer {next(self.numbers)}")
        self.harness.clock.advance(1)

    @precondition(lambda self: self.open_streams())
    @rule(data=st.data(), tokens=st.integers(0, 2))
    def engine_answers(self, data, tokens):
        stream = data.draw(st.sampled_from(self.open_streams()))
        stream.answer(f"answer {next(self.numbers)}", *["x"] * tokens)

    @precondition(lambda self: self.open_streams())
    @rule(data=st.data())
    def engine_gives_a_token(self, data):
        stream = data.draw(st.sampled_from(self.open_streams()))
        stream.token(f"part {next(self.numbers)} ")

    @precondition(lambda self: self.open_streams())
    @rule(data=st.data(), ran=st.sampled_from(Ran), where=CAPACITIES)
    def engine_fails(self, data, ran, where):
        with self.without(where):
            self.fail(data.draw(st.sampled_from(self.open_streams())), ran)

    def fail(self, stream, ran):
        ran = Ran.YES if stream.has_started else ran
        self.failed_streams[stream.request.request_id] = ran
        stream.fail(Problem.of(ProblemCode.ENGINE_FAILED, "failed", ran=ran))

    @contextmanager
    def without(self, where):
        """Refuse slots or grants, or let leases expire, in the context."""
        harness = self.harness
        harness.slots.problem = BUSY if where == "slots" else None
        harness.placer.problem = BUSY if where == "grants" else None
        harness.slots.may_start = where != "lease"
        yield
        harness.slots.problem = harness.placer.problem = None
        harness.slots.may_start = True

    @precondition(lambda self: self.callers)
    @rule(data=st.data())
    def caller_disconnects(self, data):
        caller = data.draw(st.sampled_from(self.callers))
        if not caller.is_disconnected and not caller.is_checked:
            caller.is_disconnected = True
            caller.connection.disconnect()

    @rule(message=st.sampled_from(MESSAGES), fault=st.sampled_from(FAULTS))
    def message_fails(self, message, fault):
        self.harness.router.faults.setdefault(message, []).append(fault)

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0, 40.0]))
    def time_passes(self, seconds):
        self.harness.clock.advance(seconds)

    @invariant()
    def unrepeatable_calls_run_at_most_once(self):
        for call, repeatable in self.repeatable.items():
            assert repeatable or len(self.runs(call)) <= 1

    @invariant()
    def prompts_equal_the_program_history(self):
        for stream in self.harness.engines.streams:
            program, sequence, _ = stream.request.request_id.split("/")
            texts = [m.content for m in stream.request.messages if m.role == "user"]
            numbers = [int(text.split()[1]) for text in texts]
            assert numbers == sorted(set(numbers))
            assert numbers[-1] == int(sequence)
            answers = [m.content for m in stream.request.messages if m.role != "user"]
            for number, answer in zip(numbers, answers, strict=False):
                assert answer == self.stored(program, number)

    @invariant()
    def responses_are_true(self):
        for caller in self.callers:
            if not caller.is_disconnected and not caller.is_checked:
                self.check(caller)

    def check(self, caller):
        if not caller.connection.transport.value():
            return
        response = caller.connection.response()
        if not response.is_complete:
            return
        caller.is_checked = True
        if response.status == 200:
            self.check_answer(caller, response)
        elif response.json["ran"] == "no":
            assert not self.runs(caller.call)

    def check_answer(self, caller, response):
        if response.headers["content-type"] == "application/json":
            content = response.json["choices"][0]["message"]["content"]
        elif response.events[-1] == "[DONE]":
            content = response.content
        else:
            return
        assert content == self.stored(*caller.call)
        assert self.answers.setdefault(caller.call, content) == content

    def teardown(self):
        harness = self.harness
        harness.router.faults.clear()
        for _ in range(20):
            for stream in self.open_streams():
                stream.answer("late")
            harness.clock.pump([1] * (DRAIN_SECONDS // 20))
        assert harness.gateway.running_calls == 0
        assert (harness.slots.held, harness.placer.open_grants) == (0, {})
        for program in self.programs:
            assert self.record(program).running_call is None
        for caller in self.callers:
            assert caller.is_disconnected or caller.connection.response().is_complete
        self.responses_are_true()

    def open_streams(self):
        return [s for s in self.harness.engines.streams if not s.finished.called]

    def runs(self, call):
        """Return the streams of a call that may have run."""
        prefix = f"{call[0]}/{call[1]}/"
        return [
            stream
            for stream in self.harness.engines.streams
            if stream.request.request_id.startswith(prefix)
            and self.failed_streams.get(stream.request.request_id) is not Ran.NO
        ]

    def record(self, program):
        partition = int(program.split("-")[1], 16)
        return self.harness.leader.partitions.states[partition].record(program)

    def stored(self, program, sequence):
        answer = self.record(program).history.turn(sequence).answer
        return answer.message.content


GatewayMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=30, deadline=None, derandomize=True
)
TestGatewayMachine = GatewayMachine.TestCase
