"""Steps that the state machine of a call requests; see `call_lifecycle`."""

import msgspec

from notcharch.errors import Problem
from notcharch.values.chat import Answer
from notcharch.values.identifiers import EngineName


class Step(msgspec.Struct, frozen=True):
    """Base class of all steps."""


class Admit(Step, frozen=True):
    """Request the admission of the call from the leader of its program."""


class AwaitOtherGateway(Step, frozen=True):
    """Wait for the outcome of another gateway's attempt, then request admission."""


class AcquireSlot(Step, frozen=True):
    """Acquire one of the service's concurrency slots."""


class Place(Step, frozen=True):
    """Obtain a grant on an engine that is not in `avoid` and record the dispatch."""

    avoid: frozenset[EngineName]


class OpenStream(Step, frozen=True):
    """Run the call on the granted engine."""


class CommitAnswer(Step, frozen=True):
    """Store the answer in the journal before the caller sees the end."""

    answer: Answer


class CommitFailure(Step, frozen=True):
    """Store the failure of the attempt; `ran: no` also reverts the admission."""

    problem: Problem


class ReturnAnswer(Step, frozen=True):
    """Final step: return the answer to every waiting caller."""

    answer: Answer


class ReturnProblem(Step, frozen=True):
    """Final step: return the problem to every waiting caller."""

    problem: Problem
