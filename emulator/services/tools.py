"""Tool services: a result after a pause, or never when they hang."""

import hashlib
from collections import Counter

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

DIGEST_BYTES = 8


def expected_tool_result(tool: str, argument: str) -> str:
    """Give the result of a tool for an argument, the same each time."""
    digest = hashlib.blake2b(argument.encode(), digest_size=DIGEST_BYTES)
    return f"{tool}:{digest.hexdigest()}"


class ToolService:
    """All tools, each as slow as the others."""

    def __init__(self, clock: IReactorTime, pause_seconds: float) -> None:
        """Answer each use after a pause."""
        self._clock = clock
        self._pause_seconds = pause_seconds
        self.uses: Counter[str] = Counter()

    def use(self, tool: str, argument: str) -> "Deferred[str]":
        """Use a tool; gives its result after the pause."""
        self.uses[tool] += 1
        done: Deferred[str] = Deferred()
        result = expected_tool_result(tool, argument)
        self._clock.callLater(self._pause_seconds, _answer, done, result)
        return done


def _answer(done: "Deferred[str]", result: str) -> None:
    if not done.called:
        done.callback(result)
