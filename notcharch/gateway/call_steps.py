"""What the life of a call asks its runner to do next; see `call_life`."""

import msgspec

from notcharch.errors import Problem
from notcharch.values.chat import Answer
from notcharch.values.identifiers import EngineName


class Step(msgspec.Struct, frozen=True):
    """The base of all steps."""


class Admit(Step, frozen=True):
    """Ask the program's leader to admit the call."""


class AwaitOther(Step, frozen=True):
    """Wait for the answer that another gateway is producing, then admit again."""


class TakeSlot(Step, frozen=True):
    """Take one of the service's concurrency slots."""


class Place(Step, frozen=True):
    """Get a grant of an engine that is not in `avoid`, and record the dispatch."""

    avoid: frozenset[EngineName]


class OpenStream(Step, frozen=True):
    """Run the call on the granted engine."""


class CommitAnswer(Step, frozen=True):
    """Have the answer journalled before the caller sees the end."""

    answer: Answer


class CommitFailure(Step, frozen=True):
    """Have the attempt's end stored; a certain `ran: no` undoes the admission."""

    problem: Problem


class GiveAnswer(Step, frozen=True):
    """The end: give every waiting caller the answer."""

    answer: Answer


class GiveProblem(Step, frozen=True):
    """The end: give every waiting caller the problem."""

    problem: Problem
