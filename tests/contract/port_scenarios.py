"""What the contract tests of the ports share: worlds, callers, faults."""

from collections.abc import Callable

import pytest
from result import Err

from emulator.engine.answers import expected_answer, prompt_tokens
from emulator.faults import FaultKind
from notcharch.clients.ports import (
    EngineRequest,
)
from notcharch.errors import ProblemCode, Ran
from notcharch.values.chat import ChatMessage
from tests.contract.spin import spin
from tests.contract.worlds import HttpWorld, MemoryWorld, World

TOKENS = 40
ASK = ChatMessage("user", f"[answer-tokens:{TOKENS}]")
LONG_ASK = ChatMessage("user", "[answer-tokens:500]")

in_both_worlds = pytest.mark.parametrize("new_world", [HttpWorld, MemoryWorld])


def run(new_world: type[World], scenario) -> None:
    async def whole():
        world = new_world()
        await world.open()
        try:
            await scenario(world)
        finally:
            await world.close()

    spin(whole())


def request(
    name: str = "r1", *, ask=ASK, program="p", epoch=5, pool="model", most=1000
) -> EngineRequest:
    return EngineRequest(name, pool, program, epoch, 0, (ask,), most)


class Caller:
    """Opens one stream and keeps what it sees."""

    def __init__(self, world: World, asked: EngineRequest, engine="model-1"):
        self.asked = asked
        self.seen: list[bytes] = []
        self.stream = world.engine.open_stream(
            world.address(engine), asked, self.seen.append
        )

    def assert_each_event_once(self) -> None:
        whole = b"".join(self.seen)
        assert all(piece.endswith(b"\n\n") for piece in self.seen)
        events = whole.split(b"\n\n")
        assert events[-2:] == [b"data: [DONE]", b""]
        numbers = [int(event.split(b"\n")[0][4:]) for event in events[:-2]]
        assert numbers == list(range(len(numbers)))
        assert len(numbers) == self.tokens + 1

    @property
    def tokens(self) -> int:
        content = expected_answer(self.asked.messages, self.asked.max_tokens)
        return len(content) // 4

    def assert_whole(self, result) -> None:
        self.assert_each_event_once()
        end = result.ok_value
        expected = expected_answer(self.asked.messages, self.asked.max_tokens)
        assert end.content == expected
        assert end.tool_calls is None
        assert end.usage.completion_tokens == self.tokens
        assert end.usage.prompt_tokens == prompt_tokens(self.asked.messages)


def assert_problem(result, code: ProblemCode, ran: Ran) -> None:
    assert isinstance(result, Err), result
    problem = result.err_value
    assert (problem.code, problem.ran) == (code.slug, ran)


def no_fault(_world: World) -> None:
    """Nothing happens."""


def fault(kind: FaultKind, argument=None) -> Callable[[World], None]:
    return lambda world: world.order_fault("model-1", kind, argument)
