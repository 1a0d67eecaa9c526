"""What must hold of one program, from what its caller was told and engines did."""

from emulator.engine.answers import expected_answer
from notcharch.errors import ProblemCode, Ran

MAX_TOKENS = 24


class ViolationError(AssertionError):
    """The system broke a promise."""


def require(holds, message):
    if not holds:
        raise ViolationError(message)


class KnownProgram:
    """A program, its messages so far and the calls that were sent."""

    def __init__(self, program, service):
        self.program = program
        self.service = service
        self.history = []
        self.next_sequence = 1
        self.pending = None
        self.used_tokens = 0
        self.is_ended = False


class SentCall:
    """One call as sent, perhaps to several gateways, and what each was told."""

    def __init__(self, known, sequence, message, repeatable):
        self.known = known
        self.sequence = sequence
        self.message = message
        self.repeatable = repeatable
        self.outcomes = []
        self.answer = None


class SentRequest:
    """One request of a call, at one gateway."""

    def __init__(self, call, core):
        self.call = call
        self.core = core
        self.outcome = None


def check_outcome(call, outcome, accepted):
    """Check what one request was told, and take an answer into the history."""
    known = call.known
    key = (known.program, call.sequence)
    if outcome.is_err():
        problem = outcome.err_value
        require(
            not problem.is_code(ProblemCode.NOT_FOUND),
            f"{key} of a program that was created: {problem.message}",
        )
        if problem.ran is Ran.NO:
            runs = accepted.get(key, [])
            require(
                not runs,
                f"{key} was said not to have run ({problem}), but ran on {runs}",
            )
        return
    answer = outcome.ok_value
    if call.answer is not None:
        require(answer == call.answer, f"{key} has two answers")
        return
    expected = expected_answer([*known.history, call.message], MAX_TOKENS)
    require(
        answer.message.content == expected,
        f"{key}: {answer.message.content[:16]} is not {expected[:16]}",
    )


def check_once(call, accepted):
    """Check that an unrepeatable call ran at most once."""
    runs = accepted.get((call.known.program, call.sequence), [])
    require(
        call.repeatable or len(runs) <= 1,
        f"unrepeatable call {call.known.program}/{call.sequence} ran on {runs}",
    )


def check_budget(known, limit):
    require(
        known.used_tokens <= limit,
        f"{known.program} used {known.used_tokens} of {limit} tokens",
    )
