"""State machine test: two gateways, engines and a leader drive the state at random."""

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.partitions.interface import CommandRefused
from notcharch.programs import commands as c
from notcharch.programs.pages import decode_page, encode_page, page_digest
from notcharch.programs.state import ProgramsState
from notcharch.values.chat import Answer, ChatMessage, FinishReason, TokenUsage
from notcharch.values.identifiers import Member
from tests.stateful.programs.oracle import Attempt, Oracle, Program, engine_tokens

GATEWAYS = (Member("daemon-1", 1), Member("daemon-2", 1))
ENGINES = ("engine-1", "engine-2")
TENANTS = ("tenant-1", "tenant-2")
LIMITS = (300, 1500, 6000)
MAX_PROGRAMS = 4
RECENT_ATTEMPTS = 4
ATTEMPTS_BEFORE_ENDS = 3
LONG_AGO = 1e6
SMALL_PAGE_BYTES = 900

# Mostly the first program and newest attempt, so that rules act on the same ones.
numbers = st.sampled_from((0, 0, 0, 0, 1, 2, 3))
command_codec = msgspec.json.Decoder(type=c.AdmitAttempt | c.FinishAttempt)


class ProgramsMachine(RuleBasedStateMachine):
    """The state beside a replica that never changed hands, and the oracle."""

    def __init__(self):
        super().__init__()
        self.state = ProgramsState()
        self.replica = ProgramsState()
        self.oracle = Oracle()
        self.epoch = 1
        self.at = 0.0
        self.asked = []
        self.log = []
        self.answer_count = 0

    def apply(self, command):
        # Replicas decode the command from the wire; the leader has it in memory.
        if isinstance(command, c.AdmitAttempt | c.FinishAttempt):
            copy = command_codec.decode(msgspec.json.encode(command))
        else:
            copy = command
        result = self.state.apply(command, self.epoch)
        assert self.replica.apply(copy, self.epoch) == result
        return result

    def tick(self):
        self.at += 1.0
        return self.at

    def program(self, number) -> Program:
        programs = list(self.oracle.programs.values())
        return programs[number % len(programs)]

    def attempt(self, number) -> Attempt:
        """Prefer the newest attempts, where races are."""
        attempts = self.oracle.attempts
        return attempts[-1 - number % min(len(attempts), RECENT_ATTEMPTS)]

    def has_attempts(self):
        return bool(self.oracle.attempts)

    def has_duties(self):
        return any(True for _ in self.state.duties())

    @initialize()
    def first_program(self):
        self.create(0, child=False)

    @precondition(lambda self: len(self.oracle.programs) < MAX_PROGRAMS)
    @rule(number=numbers, child=st.booleans())
    def create(self, number, child):
        parent = self.program(number) if child else None
        name = f"region1-1-{len(self.oracle.programs)}"
        tenant = parent.tenant if parent else TENANTS[number % 2]
        command = c.BeginProgram(
            self.tick(), name, "guide", tenant, 400, parent and parent.name
        )
        result = self.apply(command)
        if parent is not None and parent.ended:
            assert isinstance(result, CommandRefused)
            return
        assert result == c.CommandDone() == self.apply(command)
        root = parent.root if parent else name
        self.oracle.programs[name] = Program(name, tenant, parent and parent.name, root)

    @rule(
        number=numbers,
        offset=st.sampled_from((0, 0, 0, 0, 0, 1, 2, -1)),
        body=st.sampled_from(("a", "a", "a", "a", "b")),
        repeatable=st.booleans(),
        gateway=st.sampled_from(GATEWAYS),
        limit=st.sampled_from(LIMITS),
        max_tokens=st.sampled_from((1, 20, 90)),
    )
    def admit(self, *, number, offset, body, repeatable, gateway, limit, max_tokens):
        program = self.program(number)
        sequence = program.next_sequence + offset
        messages = (ChatMessage("user", f"{program.name} {sequence} {body}"),)
        command = c.AdmitAttempt(
            self.tick(),
            program.name,
            program.tenant,
            sequence,
            body,
            messages,
            max_tokens,
            repeatable,
            gateway,
            c.AdmissionLimits(limit, 1000, LONG_AGO),
        )
        result = self.apply(command)
        digest = f"{body} {repeatable}"
        if isinstance(result, c.AttemptAdmitted):
            charge = result.prompt_tokens + max_tokens
            attempt = Attempt(
                program.name, sequence, result.attempt, gateway, repeatable, digest,
                messages, max_tokens, charge,
            )  # fmt: skip
            self.oracle.admitted(
                attempt, limit, result.message_count, result.prompt_tokens
            )
        else:
            self.not_admitted(program, command, digest, result)

    def not_admitted(self, program, command, digest, result):
        sequence = command.sequence
        current = program.current
        if isinstance(result, c.AttemptJoined):
            assert (current.sequence, current.number) == (sequence, result.attempt)
            assert current.digest == digest, "joined another body"
        elif isinstance(result, c.CallFinishedBefore):
            assert program.digests[sequence - 1] == digest, "another body's answer"
        else:
            self.refused(program, command, digest, result.problem)

    def refused(self, program, command, digest, problem):
        sequence = command.sequence
        if problem.is_code(ProblemCode.SEQUENCE_CONFLICT):
            if sequence <= program.next_sequence:
                known = {
                    a.digest for a in self.oracle.attempts_of(program.name, sequence)
                }
                assert known - {digest}, problem
            return
        self.oracle.check_ran(program.name, sequence, problem)
        if problem.is_code(ProblemCode.PROGRAM_ENDED):
            assert program.ended
        elif problem.is_code(ProblemCode.BUDGET_EXHAUSTED):
            old = program.current.charge if program.current else 0
            charge = self.oracle.tree_charge(program.name) - old
            lowest = engine_tokens([*program.history, *command.messages])
            slack = 8 * sum(
                len(m.content) for m in (*program.history, *command.messages)
            )
            limit = command.limits.budget_tokens
            assert charge + lowest + slack + command.max_tokens > limit, problem
        else:
            assert sequence < 1, problem

    @rule(
        number=numbers,
        repeatable=st.booleans(),
        gateway=st.sampled_from(GATEWAYS),
        engine=st.sampled_from(ENGINES),
        completion=st.integers(1, 90),
        bytes_a_token=st.sampled_from((0, 4, 9)),
        limit=st.sampled_from((LIMITS[0], *LIMITS[-1:] * 3)),
        steps=st.integers(1, 5),
    )
    def go_on(
        self, *, number, repeatable, gateway, engine, completion, bytes_a_token, limit,
        steps,
    ):  # fmt: skip
        """Take the next steps of a call as an honest gateway does."""
        program = self.program(number)
        for _ in range(steps):
            attempt = program.current
            if attempt is None:
                earlier = self.oracle.attempts_of(program.name, program.next_sequence)
                if any(other.may_have_run for other in earlier):
                    # The caller repeats the same call.
                    repeatable = True
                self.admit(
                    number=number, offset=0, body="a", repeatable=repeatable,
                    gateway=gateway, limit=limit, max_tokens=90,
                )  # fmt: skip
                continue
            newest = len(self.oracle.attempts) - self.oracle.attempts.index(attempt) - 1
            if newest >= RECENT_ATTEMPTS:
                return
            if not attempt.dispatched:
                self.dispatch(newest, engine)
            elif not attempt.started:
                self.start(newest)
            else:
                self.finish_with_answer(newest, completion, bytes_a_token)

    def act_as_another_tenant(self, program):
        stranger = TENANTS[1 - TENANTS.index(program.tenant)]
        limits = c.AdmissionLimits(1000, 1000, LONG_AGO)
        command = c.AdmitAttempt(
            self.tick(), program.name, stranger, program.next_sequence, "a", (), 1,
            True, GATEWAYS[0], limits,
        )  # fmt: skip
        result = self.apply(command)
        assert isinstance(result, CommandRefused)
        assert result.problem.is_code(ProblemCode.NOT_FOUND)
        stop = self.apply(c.StopProgram(self.tick(), program.name, stranger))
        assert isinstance(stop, CommandRefused)

    @precondition(has_attempts)
    @rule(number=numbers, engine=st.sampled_from(ENGINES))
    def dispatch(self, number, engine):
        attempt = self.attempt(number)
        if attempt.may_have_run and attempt.engine != engine:
            # An honest gateway changes the engine only after a certain refusal.
            return
        command = c.RecordDispatch(
            self.tick(), attempt.program, attempt.sequence, attempt.number, engine
        )
        result = self.apply(command)
        if isinstance(result, c.DispatchAccepted):
            assert result.epoch == self.epoch
            self.oracle.dispatched(attempt, engine)

    @precondition(has_attempts)
    @rule(number=numbers)
    def start(self, number):
        attempt = self.attempt(number)
        if attempt.may_have_run and not attempt.started:
            self.oracle.started(attempt)

    @precondition(has_attempts)
    @rule(
        number=numbers,
        completion=st.integers(1, 90),
        bytes_a_token=st.sampled_from((0, 4, 9)),
    )
    def finish_with_answer(self, number, completion, bytes_a_token):
        attempt = self.attempt(number)
        if not attempt.started:
            return
        if attempt.answer is None:
            attempt.answer = self.new_answer(attempt, completion, bytes_a_token)
        command = c.FinishAttempt(
            self.tick(), attempt.program, attempt.sequence, attempt.number,
            attempt.answer,
        )  # fmt: skip
        result = self.apply(command)
        stored = isinstance(result, c.AttemptFinished) and result.problem is None
        if stored:
            assert result.overrun_tokens == 0
        self.oracle.answered(attempt, attempt.answer, stored=stored)

    def new_answer(self, attempt, completion, bytes_a_token):
        self.answer_count += 1
        completion = min(completion, attempt.max_tokens)
        text = f"{self.answer_count}" + "x" * (completion * bytes_a_token - 8)
        history = self.oracle.programs[attempt.program].history
        prompt = engine_tokens([*history, *attempt.messages])
        usage = TokenUsage(prompt, completion)
        return Answer(ChatMessage("assistant", text), usage, FinishReason.STOP)

    @precondition(has_attempts)
    @rule(
        number=numbers,
        honest=st.booleans(),
        ran=st.sampled_from((Ran.UNKNOWN, Ran.YES)),
    )
    def finish_with_problem(self, number, honest, ran):
        attempt = self.attempt(number)
        if attempt.answer is not None:
            return
        certainly_not = honest and not attempt.started
        problem = Problem.of(
            ProblemCode.ENGINE_FAILED, "failed", ran=Ran.NO if certainly_not else ran
        )
        is_current = self.oracle.programs[attempt.program].current is attempt
        command = c.FinishAttempt(
            self.tick(), attempt.program, attempt.sequence, attempt.number,
            problem=problem,
        )  # fmt: skip
        result = self.apply(command)
        if is_current:
            not_run = certainly_not or not attempt.dispatched
            self.oracle.failed(attempt, result.problem, certainly_not=not_run)
        elif certainly_not:
            attempt.certainly_not = True
            self.oracle.close(attempt, 0)

    @precondition(has_attempts)
    @rule(number=numbers)
    def abandon(self, number):
        attempt = self.attempt(number)
        is_current = self.oracle.programs[attempt.program].current is attempt
        command = c.AbandonAttempt(
            self.tick(), attempt.program, attempt.sequence, attempt.number, "lost"
        )
        result = self.apply(command)
        assert isinstance(result, c.AttemptFinished) == is_current
        if is_current:
            not_run = not attempt.dispatched
            self.oracle.failed(attempt, result.problem, certainly_not=not_run)

    @precondition(lambda self: len(self.oracle.attempts) >= ATTEMPTS_BEFORE_ENDS)
    @rule(
        number=numbers,
        how=st.sampled_from(
            ("stranger",) * 4 + ("none", "stop", "stop", "idle", "age")
        ),
        release=st.sampled_from((None, "promptly", "late")),
    )
    def end(self, number, how, release):
        self.end_as(self.program(number), how)
        if release == "promptly":
            self.release_everything()
        elif release == "late":
            self.confirm_late()

    def end_as(self, program, how):
        if how == "stranger":
            self.act_as_another_tenant(program)
            return
        if how == "stop":
            self.apply(c.StopProgram(self.tick(), program.name, program.tenant))
            self.oracle.ended(program.name)
            return
        idle = 0.0 if how == "idle" else LONG_AGO
        age = 0.0 if how == "age" else LONG_AGO
        check = c.ExpiryCheck(program.name, idle, age)
        self.apply(c.ExpirePrograms(self.tick(), (check,), LONG_AGO))
        if how == "age" or (how == "idle" and program.current is None):
            self.oracle.ended(program.name)

    @precondition(has_duties)
    @rule()
    def ask_releases(self):
        for duty in self.state.duties():
            self.oracle.holding.discard((duty.program, duty.engine))
            self.asked.append(duty)

    @precondition(lambda self: self.asked)
    @rule()
    def confirm_late(self):
        self.apply(c.ConfirmReleases(self.tick(), tuple(self.asked)))

    @precondition(has_duties)
    @rule()
    def release_everything(self):
        self.ask_releases()
        self.apply(c.ConfirmReleases(self.tick(), tuple(self.state.duties())))

    @rule(number=numbers, stale=st.sampled_from((False, False, True)))
    def page_out(self, number, stale):
        """Write the oldest turns to the log; `stale` drops other ones than written."""
        record = self.state.record(self.program(number).name)
        draft = record.history.draft_page(SMALL_PAGE_BYTES)
        if not draft.turn_count:
            return
        plain = draft.plain[:-1] if stale else draft.plain
        self.log.append(encode_page(record.program, 0, 0, plain))
        page = c.WrittenPage(
            record.program, draft.first_turn, draft.turn_count, len(self.log) - 1,
            page_digest(plain),
        )  # fmt: skip
        dropped = self.apply(c.PageOut(self.tick(), (page, page)))
        assert dropped == c.PagesDropped(0 if stale else 1)

    def pages_of(self, record):
        """Read every page back, as a leader does."""
        return {
            page.digest: decode_page(self.log[page.offset], page)
            for page in record.history.pages
        }

    @rule()
    def change_leader(self):
        successor = ProgramsState()
        successor.restore(self.state.snapshot())
        self.state = successor
        self.epoch += 1

    @invariant()
    def replicas_hold_equal_bytes(self):
        assert self.state.snapshot() == self.replica.snapshot()

    @invariant()
    def programs_are_as_told(self):
        for program in self.oracle.programs.values():
            record = self.state.record(program.name)
            assert record.ended == program.ended
            assert record.next_sequence == program.next_sequence
            pages = self.pages_of(record)
            assert record.history.messages(0, 1000, pages) == tuple(program.history)
            assert record.history.message_count == len(program.history)
            budget = self.state.budget_of(record)
            assert budget.committed == self.oracle.tree_charge(program.name)
            for sequence, outcome in enumerate(program.outcomes, 1):
                turn = record.history.turn(sequence, pages)
                assert outcome in {turn.answer, turn.problem}

    @invariant()
    def memory_of_ended_programs_is_owed(self):
        owed = {(duty.program, duty.engine) for duty in self.state.duties()}
        for name, engine in self.oracle.holding:
            program = self.oracle.programs[name]
            if program.ended and program.current is None:
                assert (name, engine) in owed, "memory stays held"


class ReleasesMachine(ProgramsMachine):
    """Only the honest steps of few programs and their ends, which meet more often."""

    finish_with_problem = None
    abandon = None

    def create(self, number, child):
        super().create(number, child)

    def admit(self, **arguments):
        super().admit(**arguments)

    def dispatch(self, number, engine):
        super().dispatch(number, engine)

    def start(self, number):
        super().start(number)

    def finish_with_answer(self, number, completion, bytes_a_token):
        super().finish_with_answer(number, completion, bytes_a_token)
