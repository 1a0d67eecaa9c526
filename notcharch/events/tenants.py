"""Events of tenants, their keys and their limits: 2600 to 2699."""

from typing import ClassVar

from notcharch.events.event import Event


class KeysUnsure(Event, frozen=True):
    """No key can be judged any more, or keys can be judged again."""

    number: ClassVar[int] = 2600
    is_sure: bool
    table_version: int
    proof_age_seconds: float | None
    """How long ago the table was certainly the newest; none if it never was."""


class LimitReached(Event, frozen=True):
    """A tenant's limit had no room for a call; the caller was told when to come back."""

    number: ClassVar[int] = 2602
    is_routine: ClassVar[bool] = True
    request: str
    tenant: str
    program: str
    route: str
    begins_program: bool
    """Whether the call would have begun a program that is not expected to fit."""
    calls_left: float
    calls_per_second: float
    burst_calls: float
    retry_after_seconds: float
    partition: int
    standing: str
    """How sure the owner of the limit was that it alone decides."""
    cause: str = ""
    """Why the call had no room: "no room", "begins" (a program that is not expected to
    fit), "loops" (a program far larger than its kind) or "unclaimed" (no program)."""
    reserved_calls: float = 0.0
    """Calls reserved for running programs and for those that return earlier."""
    program_calls: int = 0
    """Calls that the program has made at this owner."""


class PeerVouched(Event, frozen=True):
    """A peer told how recently the table in force was the newest one."""

    number: ClassVar[int] = 2601
    peer: str
    table_version: int
    proof_age_seconds: float
    """That of the peer's proof."""
