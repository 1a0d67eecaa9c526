"""Invariants of programs, checked from the view of gateways and engines.

The oracle never reads the state's records. It gets the result of every command and
what engines really did, and asserts what callers, operators and engines rely on.
"""

from dataclasses import dataclass, field

from notcharch.errors import Ran
from notcharch.values.chat import Answer, ChatMessage


@dataclass
class Attempt:
    """One admitted attempt as its gateway sees it."""

    program: str
    sequence: int
    number: int
    gateway: object
    repeatable: bool
    digest: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int
    charge: int
    dispatched: bool = False
    engine: str = ""
    started: bool = False
    certainly_not: bool = False
    charge_open: bool = True
    answer: Answer | None = None

    @property
    def call(self):
        return self.program, self.sequence

    @property
    def may_have_run(self):
        return self.dispatched and not self.certainly_not


@dataclass
class Program:
    """One program as its callers see it."""

    name: str
    tenant: str
    parent: str | None
    root: str
    ended: bool = False
    current: Attempt | None = None
    history: list[ChatMessage] = field(default_factory=list)
    outcomes: list[object] = field(default_factory=list)
    digests: list[str] = field(default_factory=list)

    @property
    def next_sequence(self):
        return len(self.outcomes) + 1


def engine_tokens(messages):
    """Count like an engine: 4 tokens per message and 1 per 4 bytes, rounded up."""
    return sum(4 + -(-len(message.content.encode()) // 4) for message in messages)


class Oracle:
    """Expected programs, attempts and engine memory."""

    def __init__(self):
        self.programs: dict[str, Program] = {}
        self.attempts: list[Attempt] = []
        self.holding: set[tuple[str, str]] = set()

    def tree_charge(self, program):
        root = self.programs[program].root
        return sum(
            attempt.charge
            for attempt in self.attempts
            if self.programs[attempt.program].root == root
        )

    def attempts_of(self, program, sequence):
        return [a for a in self.attempts if a.call == (program, sequence)]

    def check_ran(self, program, sequence, problem):
        """Check that `ran: no` implies that no attempt at the call may have run."""
        if problem.ran is Ran.NO:
            attempts = self.attempts_of(program, sequence)
            assert not any(attempt.may_have_run for attempt in attempts), problem

    def admitted(self, attempt: Attempt, limit, message_count, prompt_tokens):
        program = self.programs[attempt.program]
        assert not program.ended
        assert attempt.sequence == program.next_sequence, "out of order"
        earlier = self.attempts_of(*attempt.call)
        assert all(attempt.number > other.number for other in earlier)
        if program.current is not None:
            assert not program.current.dispatched, "two attempts at once"
            assert program.current.gateway == attempt.gateway
            self.close(program.current, 0)
        if any(other.may_have_run for other in earlier):
            assert attempt.repeatable, "an unrepeatable call is tried again"
            assert {other.digest for other in earlier if other.may_have_run} == {
                attempt.digest
            }
        assert self.tree_charge(program.name) + attempt.charge <= limit, "budget"
        assert message_count == len(program.history)
        truth = engine_tokens([*program.history, *attempt.messages])
        assert truth <= prompt_tokens, "the bound of the prompt tokens is too low"
        program.current = attempt
        self.attempts.append(attempt)

    def close(self, attempt: Attempt, charge):
        if attempt.charge_open:
            attempt.charge = charge
            attempt.charge_open = False

    def dispatched(self, attempt: Attempt, engine):
        program = self.programs[attempt.program]
        assert program.current is attempt, "a stale attempt was dispatched"
        if attempt.engine != engine:
            assert not program.ended
        if not attempt.repeatable:
            others = self.attempts_of(*attempt.call)
            assert not any(o.may_have_run for o in others if o is not attempt)
        attempt.dispatched = True
        attempt.certainly_not = False
        attempt.engine = engine

    def started(self, attempt: Attempt):
        attempt.started = True
        if self.programs[attempt.program].current is not attempt:
            # The gateway's attempt was abandoned; the steward releases its memory.
            return
        self.holding.add((attempt.program, attempt.engine))

    def failed(self, attempt: Attempt, stored, *, certainly_not):
        """Record that the newest attempt ended without an answer."""
        program = self.programs[attempt.program]
        program.current = None
        if certainly_not:
            attempt.certainly_not = True
            self.close(attempt, 0)
        self.check_ran(*attempt.call, stored)
        if attempt.may_have_run and not attempt.repeatable:
            assert stored.ran is not Ran.NO
            program.outcomes.append(stored)
            program.digests.append(attempt.digest)

    def answered(self, attempt: Attempt, answer: Answer, *, stored):
        """Record an answer; `stored` is whether the state reported to store it."""
        program = self.programs[attempt.program]
        if program.current is attempt:
            # The engine allocated memory until the end of the stream.
            self.holding.add((attempt.program, attempt.engine))
        self.close(attempt, answer.usage.total_tokens)
        if attempt.sequence < program.next_sequence:
            same = program.outcomes[attempt.sequence - 1] == answer
            assert stored == same, "a late answer"
            return
        newest = self.attempts_of(*attempt.call)[-1]
        assert stored == (newest is attempt), "a late answer"
        if stored:
            program.current = None
            program.outcomes.append(answer)
            program.digests.append(attempt.digest)
            program.history.extend((*attempt.messages, answer.message))

    def ended(self, name):
        """Record that a program and its descendants ended."""
        program = self.programs[name]
        current = program.current
        if not program.ended and current is not None and not current.dispatched:
            program.current = None
            self.close(current, 0)
        program.ended = True
        for child in list(self.programs.values()):
            if child.parent == name:
                self.ended(child.name)
