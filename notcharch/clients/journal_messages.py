"""The HTTP messages of the log service's partitions.

Every call is a POST of one body to its path; the response is a `Reply`.
"""

from typing import ClassVar

import msgspec

from notcharch.journal.interface import LogProblem, Producer


class Call(msgspec.Struct, frozen=True):
    """The base of the request bodies; `PATH` is the URL path of each."""

    PATH: ClassVar[str] = ""


class Append(Call, frozen=True):
    """Append records, all or none."""

    PATH: ClassVar[str] = "/v1/journal/append"
    topic: str
    partition: int
    records: tuple[bytes, ...]
    producer: Producer | None = None


class Read(Call, frozen=True):
    """Read records from an offset, waiting for the first if necessary."""

    PATH: ClassVar[str] = "/v1/journal/read"
    topic: str
    partition: int
    offset: int
    wait_seconds: float = 0.0


class Trim(Call, frozen=True):
    """Drop the records before an offset."""

    PATH: ClassVar[str] = "/v1/journal/trim"
    topic: str
    partition: int
    before: int


class Newest(Call, frozen=True):
    """Read a page of the newest value of each key."""

    PATH: ClassVar[str] = "/v1/journal/newest"
    topic: str
    partition: int
    after: str = ""


class Join(Call, frozen=True):
    """Join a group, or renew the membership."""

    PATH: ClassVar[str] = "/v1/journal/join"
    group: str
    topics: tuple[str, ...]
    member: str
    lease_seconds: float
    generation: int


class Leave(Call, frozen=True):
    """Leave a group."""

    PATH: ClassVar[str] = "/v1/journal/leave"
    group: str
    member: str


class Owners(Call, frozen=True):
    """Return the member to which each partition is assigned."""

    PATH: ClassVar[str] = "/v1/journal/owners"
    group: str


class Reply(msgspec.Struct, frozen=True, omit_defaults=True):
    """The result of a call, or its problem."""

    value: msgspec.Raw = msgspec.Raw(b"null")
    problem: LogProblem | None = None
