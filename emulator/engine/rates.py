"""How fast and how large an engine is."""

import msgspec


class EngineRates(msgspec.Struct, frozen=True, kw_only=True):
    """Rates and limits of one engine; emulator/rates.toml says where each is from.

    One step of the batch lasts `step_seconds` + `step_seconds_per_sequence` for
    each decoding sequence + the step's prefill tokens / `prefill_tokens_per_second`,
    gives each decoding sequence one token, and prefills at most `chunk_tokens`.
    """

    slots: int
    """Sequences in the batch at once."""

    total_blocks: int
    """Blocks of KV cache; 0 for an engine without a prefix cache."""

    block_tokens: int
    prefill_tokens_per_second: float
    chunk_tokens: int
    step_seconds: float
    step_seconds_per_sequence: float
    transfer_tokens_per_second: float
    """Rate of an export and of an import of KV cache."""

    load_refresh_seconds: float
    """Time between two measurements of the load report."""

    cache_event_delay_seconds: float
    cache_event_loss: float
    """Part of the cache events that is never published."""

    resume_seconds: float
    """A stream without a reader is cancelled after so long."""

    load_model_seconds: float
    load_adapter_seconds: float
    export_keep_seconds: float
    """An exported handle is kept for so long."""

    def step_time(self, decoding: int, prefill_tokens: int) -> float:
        """Give the length of one step in seconds."""
        return (
            self.step_seconds
            + decoding * self.step_seconds_per_sequence
            + prefill_tokens / self.prefill_tokens_per_second
        )
