"""Two small mixes of programs, drawn from a seed.

- chains: dependent calls with tool pauses that now and then spawn sub-agents,
- chats: many short turns with a reader's pauses between them.

Every answer is compared with what an engine answers to exactly this history, so
one that was lost, shortened or mixed with another program's shows as wrong.
"""

import random
from collections.abc import Callable
from enum import Enum

import attrs
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from emulator.engine.answers import expected_answer
from experiments.load_client import CallBody, CallError, LoadClient
from notcharch.values.chat import ChatMessage

MOST_ANSWER_TOKENS = 512
BYTES_PER_TOKEN = 4
FILLER = "the notes say that value seven has changed and was set again; "


class Kind(Enum):
    """The kinds of programs; the value is the service that runs them."""

    CHAIN = "chain"
    CHAT = "chat"


@attrs.frozen
class Turn:
    """One call of a program: its new message, the answer's length, the pause.

    `children` are programs that run during the pause and must end before the next
    turn. Lengths are in tokens, the pause in seconds.
    """

    prompt_tokens: int
    answer_tokens: int
    pause_seconds: float
    children: tuple["ProgramShape", ...] = ()


@attrs.frozen
class ProgramShape:
    """A whole program as it will unfold; nobody but the caller knows it."""

    kind: Kind
    name: str
    turns: tuple[Turn, ...]
    stream: bool


@attrs.define
class WorkloadResult:
    """What became of the programs. Latencies are in seconds."""

    programs_begun: int = 0
    programs_done: int = 0
    programs_failed: int = 0
    calls_done: int = 0
    wrong_answers: int = 0
    failures: list[str] = attrs.field(factory=list)
    latencies: dict[Kind, list[float]] = attrs.field(
        factory=lambda: {kind: [] for kind in Kind}
    )


def draw_chain(chance: random.Random, name: str, depth: int = 0) -> ProgramShape:
    """Draw a chain: a long first prompt, then tool results."""
    turns: list[Turn] = []
    for number in range(chance.randint(3, 6)):
        children: tuple[ProgramShape, ...] = ()
        if depth == 0 and chance.random() < 0.15:
            children = tuple(
                draw_chain(chance, f"{name}.{number}{letter}", depth + 1)
                for letter in "ab"[: chance.randint(1, 2)]
            )
        prompt = chance.randint(600, 2000) if number == 0 else chance.randint(40, 300)
        pause = chance.uniform(0.1, 0.8)
        turns.append(Turn(prompt, chance.randint(10, 40), pause, children))
    return ProgramShape(Kind.CHAIN, name, tuple(turns), stream=False)


def draw_chat(chance: random.Random, name: str) -> ProgramShape:
    """Draw a conversation: many short turns, a reader between them."""
    turns = tuple(
        Turn(
            chance.randint(100, 250) if number == 0 else chance.randint(8, 40),
            chance.randint(10, 50),
            chance.uniform(0.3, 1.2),
        )
        for number in range(chance.randint(4, 9))
    )
    return ProgramShape(Kind.CHAT, name, turns, stream=True)


def draw_mix(chance: random.Random, programs: int) -> tuple[ProgramShape, ...]:
    """Draw chains and chats in turn."""
    return tuple(
        draw_chain(chance, f"chain-{number}")
        if number % 2
        else draw_chat(chance, f"chat-{number}")
        for number in range(programs)
    )


class ProgramRunner:
    """Runs programs against the gateway and checks every answer."""

    def __init__(
        self,
        client: LoadClient,
        clock: IReactorTime,
        result: WorkloadResult,
        on_call: Callable[[], None],
    ) -> None:
        """Count into `result`; `on_call` is called after each answer."""
        self._client = client
        self._clock = clock
        self._result = result
        self._on_call = on_call

    async def run(self, shape: ProgramShape, parent: str | None = None) -> None:
        """Play one program to its end; a failure is counted, not raised."""
        self._result.programs_begun += 1
        try:
            seconds = await self._play(shape, parent)
        except CallError as error:
            self._result.programs_failed += 1
            self._result.failures.append(f"{shape.name}: {error}")
            return
        self._result.programs_done += 1
        self._result.latencies[shape.kind].append(seconds)

    async def _play(self, shape: ProgramShape, parent: str | None) -> float:
        program = await self._client.create(shape.kind.value, parent)
        history: list[ChatMessage] = []
        started_at = self._clock.seconds()
        last_answer_at = started_at
        for sequence, turn in enumerate(shape.turns, start=1):
            message = ChatMessage("user", _text(shape.name, sequence, turn))
            history.append(message)
            call = CallBody(
                sequence, (message,), MOST_ANSWER_TOKENS, stream=shape.stream
            )
            content = await self._client.call(program, call)
            last_answer_at = self._clock.seconds()
            self._judge(history, content)
            history.append(ChatMessage("assistant", content))
            if sequence < len(shape.turns):
                await self._pause(turn, program)
        await self._client.end(program)
        return last_answer_at - started_at

    def _judge(self, history: list[ChatMessage], content: str) -> None:
        self._result.calls_done += 1
        if content != expected_answer(history, MOST_ANSWER_TOKENS):
            self._result.wrong_answers += 1
        self._on_call()

    async def _pause(self, turn: Turn, program: str) -> None:
        children = [
            Deferred.fromCoroutine(self.run(child, program)) for child in turn.children
        ]
        await deferLater(self._clock, turn.pause_seconds)
        await gatherResults(children)


def _text(name: str, sequence: int, turn: Turn) -> str:
    """Give a message that belongs to this turn only, about as long as asked."""
    head = f"[{name} turn {sequence}] [answer-tokens:{turn.answer_tokens}] "
    size = max(len(head), turn.prompt_tokens * BYTES_PER_TOKEN)
    repeats = size // len(FILLER) + 1
    return (head + FILLER * repeats)[:size]
