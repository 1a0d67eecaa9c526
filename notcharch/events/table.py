"""Events of the table's replica and publisher (700 to 799)."""

from typing import ClassVar

from notcharch.events.event import Event


class TableInForce(Event, frozen=True):
    """A newer version of the table came into force in this daemon."""

    number: ClassVar[int] = 700
    version: int
    rows: int
    source: str


class TableRecordSkipped(Event, frozen=True):
    """A record of the table's stream was passed over: unreadable or repeated."""

    number: ClassVar[int] = 701
    offset: int
    record: str
    reason: str
    detail: str


class TablePublicationRefused(Event, frozen=True):
    """A publication in the log is not in force; the verdict says why."""

    number: ClassVar[int] = 702
    offset: int
    record: str
    author: str
    verdict: str


class TableLogUnreadable(Event, frozen=True):
    """The table's stream could not be read; the version in force stays."""

    number: ClassVar[int] = 703
    next_offset: int
    problem: str


class TableLogWentBack(Event, frozen=True):
    """The log ends before what this replica has applied; it does not follow it back."""

    number: ClassVar[int] = 704
    next_offset: int
    end_offset: int


class TableContentRefused(Event, frozen=True):
    """A peer's or checkpoint's table could not be used."""

    number: ClassVar[int] = 705
    origin: str
    detail: str


class TableFetchFailed(Event, frozen=True):
    """A peer that announced a newer version did not give it."""

    number: ClassVar[int] = 706
    peer: str
    announced: int
    problem: str


class TablePublished(Event, frozen=True):
    """An operator's publication got its verdict."""

    number: ClassVar[int] = 707
    record: str
    author: str
    verdict: str
    version: int


class TableAppendRepeated(Event, frozen=True):
    """A publication is appended again because its record did not appear in the log."""

    number: ClassVar[int] = 708
    record: str
    attempt: int
    problem: str


class TableCheckpointWritten(Event, frozen=True):
    """A checkpoint of the table was appended to its stream."""

    number: ClassVar[int] = 709
    next_offset: int
    size_bytes: int


class TableHistoryReplaced(Event, frozen=True):
    """The log lost records: a peer's newer version of the same offsets was taken."""

    number: ClassVar[int] = 710
    version: int
    next_offset: int
    peers_version: int
    peers_next_offset: int
