"""Origins of streams in memory, each for a limited time. Pure."""

from collections.abc import Iterator

import msgspec

from notcharch.scheduling.stream_origin import StreamOrigin

RECORD_BYTES = 400
"""Memory of a record besides its texts."""
MAX_BYTES = 16 * 1024 * 1024
"""Bounds the memory where no other bound is given: a daemon holds the streams of some
seconds, and callers choose their ids."""
MAX_KEEP_SECONDS = 600.0
"""Upper bound of the time that a peer or a caller can ask for."""


class OriginRecord(msgspec.Struct):
    """What is known of one stream."""

    origin: StreamOrigin | None
    """None if two streams of the same id began with different origins, or if the version
    of the engine is not certain."""
    expires: float
    """Clock seconds."""
    route: str = ""
    """The route with its services when it began; see `StreamName`."""
    engine: str = ""
    """The engine that sent its first event to this daemon, if its entry may be stale."""
    began_at: float = 0.0
    is_shared: bool = False
    """Whether peers were told of it."""


class OriginRecords:
    """The origins of streams by id."""

    def __init__(self, max_bytes: int = MAX_BYTES) -> None:
        """Start without records; hold up to `max_bytes`, without the oldest then."""
        self._max_bytes = max_bytes
        self.bytes = 0
        """Memory of all records, about."""
        self._records: dict[str, OriginRecord] = {}

    def __len__(self) -> int:
        """Return the number of records, including expired ones until the next purge."""
        return len(self._records)

    def add(
        self,
        stream: str,
        origin: StreamOrigin | None,
        keep_seconds: float,
        now: float,
    ) -> OriginRecord:
        """Add a stream; one of the same id but of another origin makes both unknown.

        Callers choose the ids, so two streams may have the same one.
        """
        expires = now + min(keep_seconds, MAX_KEEP_SECONDS)
        record = self._pop(stream)
        if record is None or record.expires <= now:
            record = OriginRecord(origin, expires)
        elif record.origin != origin:
            record.origin = None
            record.is_shared = False
        record.expires = max(record.expires, expires)
        self._records[stream] = record
        self.bytes += RECORD_BYTES + len(stream)
        while self.bytes > self._max_bytes and len(self._records) > 1:
            self._pop(next(iter(self._records)))
        return record

    def _pop(self, stream: str) -> OriginRecord | None:
        record = self._records.pop(stream, None)
        if record is not None:
            self.bytes -= RECORD_BYTES + len(stream)
        return record

    def find(self, stream: str, now: float) -> OriginRecord | None:
        """Return the record of a stream, if there is one."""
        record = self._records.get(stream)
        return record if record is not None and record.expires > now else None

    def purge(self, now: float) -> None:
        """Remove expired records."""
        expired = [id for id, record in self._records.items() if record.expires <= now]
        for id in expired:
            self._pop(id)

    def live(self, now: float) -> Iterator[tuple[str, OriginRecord]]:
        """Iterate over the records that have not expired."""
        return (
            (id, record) for id, record in self._records.items() if record.expires > now
        )
