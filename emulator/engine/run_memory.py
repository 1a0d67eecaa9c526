"""Takes cache blocks for a run when it starts, and settles them when it ends."""

import attrs

from emulator.engine.counters import EngineCounters, FillHistory
from emulator.engine.prefix_cache import PrefixCache, extended_chain
from emulator.engine.runs import EngineRun, RunState
from notcharch.values.chat import ChatMessage


@attrs.frozen
class RunMemory:
    """The way between runs and the prefix cache; without blocks there is no cache."""

    cache: PrefixCache
    fills: FillHistory
    counters: EngineCounters

    def fits(self, prompt_tokens: int, max_tokens: int) -> bool:
        """Tell whether a run could ever have its memory."""
        if not self.cache.total_blocks:
            return True
        return self.cache.fits(prompt_tokens + max(1, max_tokens))

    def take(self, run: EngineRun) -> bool:
        """Take memory for the prompt and the whole answer; False when there is none."""
        if self.cache.total_blocks:
            hold = self.cache.acquire(run.request.program, run.chain, run.answer.tokens)
            if hold is None:
                return False
            run.hold = hold
            run.cached_tokens = hold.cached
            self.counters.tokens_cached += hold.cached
        run.prefill_left = run.prompt_tokens - run.cached_tokens
        return True

    def give_back(self, run: EngineRun) -> None:
        """Keep what was filled as the program's prefix, unpinned."""
        if run.hold is None:
            return
        answer = ChatMessage("assistant", run.answer.content)
        complete = run.state is RunState.FINISHED
        chain = extended_chain(run.chain, answer) if complete else run.chain
        filled = run.filled_tokens()
        self.counters.tokens_refilled += self.fills.refilled(
            run.request.program, run.cached_tokens, min(filled, run.prompt_tokens)
        )
        self.cache.settle(run.hold, filled, chain)
        run.hold = None
