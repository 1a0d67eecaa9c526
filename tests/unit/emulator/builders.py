"""Builds engines and requests for tests."""

from random import Random

from msgspec.structs import replace
from twisted.internet.interfaces import IReactorTime

from emulator.engine.model import EngineModel
from emulator.engine.rates import EngineRates
from notcharch.clients.ports import EngineRequest, MachineKind
from notcharch.values.chat import ChatMessage
from notcharch.values.identifiers import (
    EngineName,
    Epoch,
    PoolName,
    ProgramId,
    RequestId,
)

POOL = PoolName("model")

# A step of one sequence lasts 0.1 s; prefilling 10 tokens adds 0.1 s.
RATES = EngineRates(
    slots=2,
    total_blocks=20,
    block_tokens=10,
    prefill_tokens_per_second=100.0,
    chunk_tokens=10,
    step_seconds=0.1,
    step_seconds_per_sequence=0.0,
    transfer_tokens_per_second=100.0,
    load_refresh_seconds=1.0,
    cache_event_delay_seconds=1.0,
    cache_event_loss=0.0,
    resume_seconds=10.0,
    load_model_seconds=5.0,
    load_adapter_seconds=1.0,
    export_keep_seconds=60.0,
)


def engine(clock: IReactorTime, rates: EngineRates = RATES, **options) -> EngineModel:
    return EngineModel(clock, EngineName("e1"), rates, Random(1), **options)


def application_engine(clock: IReactorTime) -> EngineModel:
    rates = replace(RATES, total_blocks=0)
    return engine(clock, rates, kind=MachineKind.APPLICATION_ENGINE)


def request(
    name: str,
    *texts: str,
    program: str = "p1",
    epoch: int = 1,
    priority: int = 0,
    max_tokens: int = 100,
) -> EngineRequest:
    messages = tuple(ChatMessage("user", text) for text in texts or ("hello",))
    return EngineRequest(
        RequestId(name),
        POOL,
        ProgramId(program),
        Epoch(epoch),
        priority,
        messages,
        max_tokens,
    )


def answer_marker(tokens: int) -> str:
    """Give a user message of 10 tokens (4 of overhead) that orders the answer's length."""
    return f"[answer-tokens:{tokens}]".ljust(24)
