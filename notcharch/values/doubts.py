"""Where doubted tokens of a program come from, as log lines tell it."""

import enum

import msgspec

NO_OFFSET = -1


class DoubtCause(enum.Enum):
    """Why tokens are counted that were not certainly generated."""

    LOST_CALL = "a call whose end nobody told"
    FORMER_BOUND = "the bound of a former owner"
    HANDED_OVER = "handed over by a former owner"
    ALLOWANCE = "the starting allowance of former owners"
    DROPPED_RECORDS = "records that the log dropped"
    OTHERS = "further sources"


class DoubtSource(msgspec.Struct, frozen=True):
    """One source of doubt."""

    cause: DoubtCause
    tokens: int
    """Tokens doubted when the source was found, of which some may be settled since."""
    call: str = ""
    gateway: str = ""
    """The process that ran the call; empty if a former owner admitted it."""
    offset: int = NO_OFFSET
    """Offset of the former owner's record in the partition's log; negative if none tells."""
