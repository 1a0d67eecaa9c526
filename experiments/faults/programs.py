"""The programs of a run: four kinds, begun one after another until the load ends."""

import enum
import random
from typing import Any

import attrs
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import deferLater

from emulator.engine.answers import expected_answer, plan_answer, prompt_tokens
from experiments.faults.caller import Caller, FinalProblemError
from experiments.faults.facts import CallerFacts, CallName, SpentCall
from experiments.load_client import CallBody, ProblemReply
from notcharch.table.interface import ServiceRow
from notcharch.values.chat import ChatMessage
from notcharch.values.identifiers import PoolName, ServiceName, TenantName

MOST_ANSWER_TOKENS = 64
SMALL_BUDGET_TOKENS = 1500
LARGE_BUDGET_TOKENS = 2_000_000
FILLER = "the shift notes say that channel seven drifted and was set again; "
STAYS_AFTER_REFUSAL_SECONDS = 6.0
"""A caller that gave up after `ran: "no"` leaves its program open for so long."""

GIVE_UP_CHANCE = 0.5


class Kind(enum.Enum):
    """The kinds of programs; the value is the service that runs them."""

    CHAIN = "reconcile"
    CHAT = "companion"
    WRITE = "write"
    SMALL = "small"


MODEL_POOL = PoolName("model")
APPLICATION_POOL = PoolName("application")
POOLS = {
    Kind.CHAIN: MODEL_POOL,
    Kind.CHAT: MODEL_POOL,
    Kind.WRITE: APPLICATION_POOL,
    Kind.SMALL: APPLICATION_POOL,
}
"""The application engines tell of every request that they accepted."""


def rows(tenant: TenantName) -> tuple[ServiceRow, ...]:
    """Give the table's rows."""
    return tuple(
        ServiceRow(
            ServiceName(kind.value),
            tenant,
            POOLS[kind],
            budget_tokens=(
                SMALL_BUDGET_TOKENS if kind is Kind.SMALL else LARGE_BUDGET_TOKENS
            ),
            concurrency=64,
        )
        for kind in Kind
    )


@attrs.define
class _Transcript:
    """A program as its caller knows it."""

    program: str
    messages: list[ChatMessage] = attrs.field(factory=list)


class ProgramPlayer:
    """Runs programs and checks every answer and every complete history."""

    def __init__(
        self,
        reactor: Any,
        caller: Caller,
        facts: CallerFacts,
        chance: random.Random,
    ) -> None:
        """Note everything in `facts`."""
        self._reactor = reactor
        self._caller = caller
        self._facts = facts
        self._chance = chance
        self._is_ending = False

    def play(self, players: int) -> "Deferred[Any]":
        """Keep a number of programs running; fires when the last has ended."""
        kinds = tuple(Kind)
        loops = [
            Deferred.fromCoroutine(self._play_on(kinds[number % len(kinds)], number))
            for number in range(players)
        ]
        return gatherResults(loops, consumeErrors=True)

    def stop_beginning(self) -> None:
        """Begin no further programs; those under way go on to their end."""
        self._is_ending = True

    async def _play_on(self, kind: Kind, number: int) -> None:
        round_number = 0
        while not self._is_ending:
            await self._play_one(kind, f"{kind.value}-{number}-{round_number}")
            round_number += 1

    async def _play_one(self, kind: Kind, name: str) -> None:
        self._facts.programs_begun += 1
        try:
            transcript = _Transcript(await self._caller.create(kind.value))
            await self._play_turns(kind, name, transcript)
            await self._compare_history(transcript)
            await self._caller.end(transcript.program)
        except FinalProblemError as error:
            self._facts.failures.append(f"{name}: {error} (ran {error.problem.ran})")
            return
        self._facts.programs_done += 1

    async def _play_turns(self, kind: Kind, name: str, transcript: _Transcript) -> None:
        for sequence in range(1, self._chance.randint(4, 9)):
            message = ChatMessage("user", self._text(kind, name, sequence))
            try:
                goes_on = await self._turn(kind, transcript, sequence, message)
            except FinalProblemError as error:
                goes_on = await self._accept(kind, transcript, sequence, error)
            if not goes_on:
                return
            await deferLater(self._reactor, self._chance.uniform(0.05, 0.5))

    async def _turn(
        self, kind: Kind, transcript: _Transcript, sequence: int, message: ChatMessage
    ) -> bool:
        name = CallName(transcript.program, sequence)
        prompt = [*transcript.messages, message]
        repeatable = kind is not Kind.WRITE
        if not repeatable:
            self._facts.unrepeatable.add(name)
        if kind is Kind.SMALL:
            tokens = plan_answer(prompt, MOST_ANSWER_TOKENS).tokens
            spent = SpentCall(name, prompt_tokens(prompt) + tokens)
            self._facts.spending.append(spent)
        call = CallBody(
            sequence,
            (message,),
            MOST_ANSWER_TOKENS,
            repeatable=repeatable,
            stream=kind in (Kind.CHAT, Kind.WRITE) and self._chance.random() < 0.7,
        )
        content = await self._caller.call(
            transcript.program, call, self._gives_up_on(kind)
        )
        self._facts.calls_answered += 1
        if content != expected_answer(prompt, MOST_ANSWER_TOKENS):
            self._facts.wrong_answers.append(name)
        transcript.messages = [*prompt, ChatMessage("assistant", content)]
        return True

    def _gives_up_on(self, kind: Kind) -> Any:
        """Half of the callers on the application pool believe `ran: "no"`."""

        def gives_up(problem: ProblemReply) -> bool:
            return self._chance.random() < GIVE_UP_CHANCE

        def goes_on(problem: ProblemReply) -> bool:
            return False

        return gives_up if kind is Kind.WRITE else goes_on

    async def _accept(
        self,
        kind: Kind,
        transcript: _Transcript,
        sequence: int,
        error: FinalProblemError,
    ) -> bool:
        """Take a final problem that a program has to live with; raises any other.

        Gives whether the program goes on.
        """
        name = CallName(transcript.program, sequence)
        problem = error.problem
        if kind is Kind.WRITE and problem.code == "outcome_unknown":
            self._facts.unknown_outcomes.append(name)
            return True
        if kind is Kind.WRITE and problem.ran == "yes":
            self._facts.lost_answers.append(name)
            return True
        if kind is Kind.SMALL and problem.code == "budget_exhausted":
            self._facts.budgets_exhausted += 1
            if problem.ran == "no":
                self._facts.not_run.append(name)
            return False
        if kind is Kind.WRITE and problem.ran == "no":
            self._facts.not_run.append(name)
            await deferLater(self._reactor, STAYS_AFTER_REFUSAL_SECONDS)
            return False
        raise error

    async def _compare_history(self, transcript: _Transcript) -> None:
        """Compare the stored history with what the caller was told."""
        stored = await self._caller.history(transcript.program)
        wanted = [(m.role, m.content) for m in transcript.messages]
        if [(m.role, m.content) for m in stored] != wanted:
            self._facts.wrong_histories.append(
                f"{transcript.program}: {len(stored)} messages for {len(wanted)}"
            )

    def _text(self, kind: Kind, name: str, sequence: int) -> str:
        head = f"[{name} turn {sequence}] [answer-tokens:{self._chance.randint(8, 48)}]"
        first = sequence == 1 and kind is Kind.CHAIN
        size = self._chance.randint(1500, 5000) if first else 200
        return (head + FILLER * (size // len(FILLER) + 1))[:size]
