"""Collects the answers of several peers about one stream. Pure."""

from collections.abc import Callable

from notcharch.scheduling.stream_origin import (
    NOT_FOUND,
    FoundOrigin,
    OriginSource,
    StreamOrigin,
)
from notcharch.stream_origins.messages import StreamOriginSeen


class OriginSearch:
    """The search for the origin of one stream; ends at the first record."""

    def __init__(
        self,
        service: str,
        asked: int,
        otherwise: FoundOrigin,
        then: Callable[[FoundOrigin], None],
    ) -> None:
        """Wait for `asked` answers; `then` is called once.

        `otherwise` is the result without any record.
        """
        self._service = service
        self._outstanding = asked
        self._result = otherwise
        self._then = then
        self._is_over = False
        self._end_if_complete()

    def answered(self, answer: StreamOriginSeen) -> None:
        """Add the answer of a peer."""
        if self._is_over:
            return
        if answer.is_ambiguous:
            self._end(NOT_FOUND)
            return
        if answer.origin is not None:
            self._end(FoundOrigin(answer.origin, OriginSource.PEER))
            return
        if answer.only_version:
            self._use_only_version(answer.only_version)
        if not self._is_over:
            self.unanswered()

    def unanswered(self) -> None:
        """Record that a peer does not answer, or knows nothing."""
        self._outstanding -= 1
        self._end_if_complete()

    def _use_only_version(self, version: str) -> None:
        if self._result.origin is None:
            origin = StreamOrigin(self._service, version)
            self._result = FoundOrigin(origin, OriginSource.PEER_ONLY_VERSION)
        elif self._result.origin.version != version:
            self._end(NOT_FOUND)

    def _end_if_complete(self) -> None:
        if not self._is_over and self._outstanding <= 0:
            self._end(self._result)

    def _end(self, found: FoundOrigin) -> None:
        self._is_over = True
        self._then(found)
