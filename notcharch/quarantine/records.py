"""The engines that ended under each request, and who may run it. Pure.

All times are clock seconds of the daemon that keeps the records.
"""

import msgspec

MAX_ENGINES_ENDED = 3
"""A request under which so many engines ended is sent to no other."""
PERMIT_ENDS = MAX_ENGINES_ENDED - 1
"""From so many on, one attempt runs at a time."""
KEEP_SECONDS = 120.0
"""How long a record is kept after the last end: as long as callers return to a program."""
RECORD_BYTES = 900
"""Memory of a record."""
MAX_RECORDS = 20_000
"""Bounds the memory to 18 MB where no other number is given."""


class EngineEnd(msgspec.Struct, frozen=True, array_like=True):
    """The end of one engine under a request."""

    engine: str
    daemon: str
    """The daemon whose attempt ran there."""


Ends = tuple[EngineEnd, ...]


class KnownEnds(msgspec.Struct, frozen=True, array_like=True):
    """What one daemon knows of a request, for another one, whose clock differs."""

    ends: Ends = ()
    seconds: float = 0.0
    """Since the last of them."""


NO_ENDS = KnownEnds()


def end_names(ends: Ends) -> list[str]:
    """Return the engines and the daemons that had sent them the request, for log lines."""
    return [f"{end.engine} from {end.daemon}" for end in ends]


class RequestRecord(msgspec.Struct):
    """What is known of one request."""

    ends: Ends
    ended_at: float
    """When the last of them ended."""
    expires: float
    permit: str = ""
    """The attempt that may run it now."""
    permit_until: float = 0.0

    @property
    def is_quarantined(self) -> bool:
        """Whether no engine may get the request."""
        return len(self.ends) >= MAX_ENGINES_ENDED

    @property
    def needs_permit(self) -> bool:
        """Whether attempts of the request run one at a time."""
        return len(self.ends) >= PERMIT_ENDS


class EndRecords:
    """The records by the identity of their requests."""

    def __init__(self, max_records: int = MAX_RECORDS) -> None:
        """Start without records; hold up to `max_records`, without the oldest then."""
        self._max_records = max_records
        self._records: dict[str, RequestRecord] = {}

    def __len__(self) -> int:
        """Return the number of records, including expired ones until the next purge."""
        return len(self._records)

    def find(self, identity: str, now: float) -> RequestRecord | None:
        """Return the record of a request, if there is one."""
        record = self._records.get(identity)
        return record if record is not None and record.expires > now else None

    def known(self, identity: str, now: float) -> KnownEnds:
        """Return what a peer is told of a request."""
        record = self.find(identity, now)
        if record is None:
            return NO_ENDS
        return KnownEnds(record.ends, round(now - record.ended_at, 4))

    def count(
        self, identity: str, end: EngineEnd, *, sent_at: float, now: float
    ) -> RequestRecord:
        """Count the end of an engine that got the request at a time.

        Engines that end at the same moment say little of one request. So an end counts
        only if the request was sent there after the end that was counted before.
        """
        record = self.find(identity, now)
        if record is None:
            return self._put(identity, (end,), now)
        is_new = all(known.engine != end.engine for known in record.ends)
        if is_new and sent_at >= record.ended_at:
            return self._put(identity, (*record.ends, end), now)
        return record

    def learn(self, identity: str, known: KnownEnds, now: float) -> None:
        """Take over what a peer knows, if it knows of more ends."""
        record = self.find(identity, now)
        count = 0 if record is None else len(record.ends)
        if len(known.ends) > count:
            self._put(identity, known.ends, now - known.seconds)

    def _put(self, identity: str, ends: Ends, ended_at: float) -> RequestRecord:
        """Set the ends of a request, which becomes the newest record."""
        former = self._records.pop(identity, None)
        record = RequestRecord(ends, ended_at, ended_at + KEEP_SECONDS)
        if former is not None:
            record.permit, record.permit_until = former.permit, former.permit_until
        self._records[identity] = record
        if len(self._records) > self._max_records:
            del self._records[next(iter(self._records))]
        return record

    def clear(self, identity: str) -> Ends:
        """Forget a request that was answered whole; return the ends that were known."""
        record = self._records.pop(identity, None)
        return () if record is None else record.ends

    def grant(self, identity: str, attempt: str, seconds: float, now: float) -> bool:
        """Let an attempt run the request for some seconds, unless another one may."""
        record = self.find(identity, now)
        if record is None:
            return True
        is_taken = record.permit not in ("", attempt) and record.permit_until > now
        if is_taken or record.is_quarantined:
            return False
        record.permit, record.permit_until = attempt, now + seconds
        return True

    def release(self, identity: str, attempt: str) -> None:
        """End the permit of an attempt."""
        record = self._records.get(identity)
        if record is not None and record.permit == attempt:
            record.permit = ""

    def suspects(self, now: float) -> list[str]:
        """Return the requests that need a permit or are quarantined, oldest first."""
        return [
            identity
            for identity, record in self._records.items()
            if record.needs_permit and record.expires > now
        ]

    def purge(self, now: float) -> None:
        """Remove expired records."""
        expired = [id for id, record in self._records.items() if record.expires <= now]
        for id in expired:
            del self._records[id]
