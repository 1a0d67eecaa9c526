"""The selection among the eligible engines: by the loads of all daemons, or by own calls.

An engine whose load is unknown is selected only if it caches the call's prefix, or if all
engines of known load are full.
"""

from collections.abc import Mapping, Sequence
from random import Random

import msgspec

from notcharch.calls.engine_state import EngineState
from notcharch.calls.interface import Engine
from notcharch.scheduling.engine_load import EngineLoad
from notcharch.scheduling.engine_routing import CallRouting, EngineRouting
from notcharch.scheduling.expected_seconds import (
    CallNeeds,
    ChoiceReason,
    CostChoice,
    LoadedEngine,
    choose_by_cost,
)


class PromptSample(msgspec.Struct, frozen=True):
    """A call that met a free slot: its first event shows how prompts are read."""

    tokens: int
    is_cached: bool
    """Whether the engine caches the prefix, and reads no prompt."""


class Selection(msgspec.Struct, frozen=True):
    """The engine for a call, and why it was chosen."""

    engine: Engine
    reason: ChoiceReason
    by_cost: CostChoice | None = None
    """The expected seconds, where the loads of the engines are known."""
    prompt: PromptSample | None = None
    """Set if the call's first event shows how prompts are read."""


class EngineSelector:
    """Selects the engine of a call among those that may get it."""

    def __init__(self, routing: EngineRouting, random: Random) -> None:
        """`routing` decides where loads are unknown; `random` breaks ties of cost."""
        self._routing = routing
        self._random = random

    def select(
        self,
        options: Sequence[EngineState],
        call: CallRouting,
        loads: Mapping[str, EngineLoad],
        needs: CallNeeds,
    ) -> Selection:
        """Return the selected engine; `options` must not be empty."""
        loaded = self._loaded_engines(options, loads)
        unknown = [state for state in options if state.id not in loads]
        if not loaded or self._keeps_unknown_cached(options, call, loaded):
            return self._select_by_own_calls(options, call)
        if unknown and all(engine.is_full for engine in loaded):
            # Otherwise a tracker that does not answer takes its engines out of service.
            return self._select_by_own_calls(unknown, call)
        return self._select_by_cost(options, loaded, call, needs)

    def _keeps_unknown_cached(
        self,
        options: Sequence[EngineState],
        call: CallRouting,
        loaded: Sequence[LoadedEngine],
    ) -> bool:
        """Return whether a cached engine of unknown load is kept by the own calls."""
        if any(engine.id == call.cached_engine for engine in loaded):
            return False
        return self._routing.keeps_cached_engine(options, call)

    def _select_by_own_calls(
        self, options: Sequence[EngineState], call: CallRouting
    ) -> Selection:
        state = self._routing.choose(options, call)
        return Selection(state.engine, ChoiceReason.OWN_COUNTS)

    def _select_by_cost(
        self,
        options: Sequence[EngineState],
        loaded: Sequence[LoadedEngine],
        call: CallRouting,
        needs: CallNeeds,
    ) -> Selection:
        choice = choose_by_cost(loaded, needs, self._random)
        chosen = choice.chosen.engine
        engine = next(state.engine for state in options if state.id == chosen.id)
        sample = PromptSample(needs.prompt_tokens, chosen.id == call.cached_engine)
        return Selection(
            engine, choice.reason, choice, prompt=None if chosen.is_full else sample
        )

    def _loaded_engines(
        self, options: Sequence[EngineState], loads: Mapping[str, EngineLoad]
    ) -> list[LoadedEngine]:
        """Return the engines of known load; a daemon's own calls are a lower bound."""
        return [
            LoadedEngine(
                state.id,
                state.slots,
                max(loads[state.id].in_flight, state.in_flight),
                loads[state.id].event_interval_seconds,
                self._routing.distance(state),
            )
            for state in options
            if state.id in loads
        ]
