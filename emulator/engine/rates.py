"""How fast and how large an engine is."""

from typing import Annotated

import msgspec
from msgspec import Meta

Count = Annotated[int, Meta(ge=1)]
Duration = Annotated[float, Meta(gt=0)]
Rate = Annotated[float, Meta(gt=0)]
Part = Annotated[float, Meta(ge=0, le=1)]
NotNegative = Annotated[float, Meta(ge=0)]


class EngineRates(msgspec.Struct, frozen=True, kw_only=True):
    """Rates and limits of one engine; emulator/rates.toml says where each is from.

    One step of the batch lasts `step_seconds` + `step_seconds_per_sequence` for
    each decoding sequence + the step's prefill tokens / `prefill_tokens_per_second`,
    gives each decoding sequence one token, and prefills at most `chunk_tokens`.
    """

    slots: Count
    """Sequences in the batch at once."""

    total_blocks: Annotated[int, Meta(ge=0)]
    """Blocks of KV cache; 0 for an engine without a prefix cache."""

    block_tokens: Count
    prefill_tokens_per_second: Rate
    chunk_tokens: Count
    step_seconds: Duration
    step_seconds_per_sequence: NotNegative
    transfer_tokens_per_second: Rate
    """Rate of an export and of an import of KV cache."""

    load_refresh_seconds: Duration
    """Time between two measurements of the load report."""

    cache_event_delay_seconds: NotNegative
    cache_event_loss: Part
    """Part of the cache events that is never published."""

    resume_seconds: Duration
    """A stream without a reader is cancelled after so long."""

    load_model_seconds: NotNegative
    load_adapter_seconds: NotNegative
    export_keep_seconds: NotNegative
    """An exported handle is kept for so long."""

    def step_time(self, decoding: int, prefill_tokens: int) -> float:
        """Give the length of one step in seconds."""
        return (
            self.step_seconds
            + decoding * self.step_seconds_per_sequence
            + prefill_tokens / self.prefill_tokens_per_second
        )
