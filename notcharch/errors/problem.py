"""The problem type: what went wrong, where, when to come back, and whether it ran.

The HTTP form follows RFC 9457 (application/problem+json); see `notcharch.gateway`.
"""

import enum

import msgspec


class Ran(enum.Enum):
    """Whether the refused or failed request reached an engine."""

    NO = "no"
    """Certainly not; said only when it is proved."""

    YES = "yes"
    UNKNOWN = "unknown"


class ProblemCode(enum.Enum):
    """Every kind of problem, with the HTTP status that a caller sees."""

    BAD_REQUEST = ("bad_request", 400)
    UNAUTHENTICATED = ("unauthenticated", 401)
    FORBIDDEN = ("forbidden", 403)
    NOT_FOUND = ("not_found", 404)
    METHOD_NOT_ALLOWED = ("method_not_allowed", 405)
    SEQUENCE_CONFLICT = ("sequence_conflict", 409)
    """Another body was already given for this sequence, or it is too early."""

    PROGRAM_ENDED = ("program_ended", 409)
    TABLE_CONFLICT = ("table_conflict", 409)
    OUTCOME_UNKNOWN = ("outcome_unknown", 409)
    """An unrepeatable call may have run; it is never run again."""

    BODY_TOO_LARGE = ("body_too_large", 413)
    BUDGET_EXHAUSTED = ("budget_exhausted", 402)
    CALL_LIMIT_REACHED = ("call_limit_reached", 429)
    PROGRAM_TOO_OLD = ("program_too_old", 409)
    SERVICE_PAUSED = ("service_paused", 503)
    OVERLOADED = ("overloaded", 429)
    """The queue is longer than it is worth; come back after `retry_after`."""

    CONCURRENCY_EXHAUSTED = ("concurrency_exhausted", 429)
    NO_ENGINE = ("no_engine", 503)
    ENGINE_FAILED = ("engine_failed", 502)
    NOT_LEADER = ("not_leader", 503)
    """Internal: this daemon does not lead the partition; ask another one."""

    NOT_STEWARD = ("not_steward", 503)
    """Internal: this daemon does not own the engine; ask another one."""

    STALE_EPOCH = ("stale_epoch", 409)
    """Internal: the sender's epoch is older than one already seen."""

    UNAVAILABLE = ("unavailable", 503)
    """The log service, or a peer, cannot be reached."""

    HISTORY_UNAVAILABLE = ("history_unavailable", 503)
    """A part of the program's history lies in the log service, which fails."""

    TIMED_OUT = ("timed_out", 504)
    DRAINING = ("draining", 503)
    INTERNAL = ("internal", 500)

    def __init__(self, slug: str, http_status: int) -> None:
        """Keep the name on the wire and the HTTP status beside each other."""
        self.slug = slug
        self.http_status = http_status


class Finding(msgspec.Struct, frozen=True):
    """One thing that is wrong, with its place.

    `place` names a file and key, a row and cell, or a field of a request body,
    for example `rows[3].share` or `notcharch.toml: gateway.http_port`.
    """

    place: str
    message: str


class Problem(msgspec.Struct, frozen=True):
    """A typed error; the value inside a `result.Err`.

    `code` is the slug of a `ProblemCode`, so that a problem survives the wire.
    `retry_after` is in seconds; None means that asking again will not help.
    `hint` names a daemon to ask instead, for NOT_LEADER and NOT_STEWARD.
    """

    code: str
    message: str
    ran: Ran
    findings: tuple[Finding, ...] = ()
    retry_after: float | None = None
    hint: str | None = None

    @classmethod
    def of(
        cls,
        code: ProblemCode,
        message: str,
        *,
        ran: Ran = Ran.NO,
        findings: tuple[Finding, ...] = (),
        retry_after: float | None = None,
        hint: str | None = None,
    ) -> "Problem":
        """Build a problem from its code."""
        return cls(code.slug, message, ran, findings, retry_after, hint)

    def is_code(self, code: ProblemCode) -> bool:
        """Tell whether this problem is of the given kind."""
        return self.code == code.slug

    @property
    def http_status(self) -> int:
        """The status that a caller sees; 500 for a code this version lacks."""
        return _STATUS_OF_SLUG.get(self.code, ProblemCode.INTERNAL.http_status)


_STATUS_OF_SLUG = {code.slug: code.http_status for code in ProblemCode}


class ProblemError(Exception):
    """A problem that travels through Deferreds as an exception."""

    def __init__(self, problem: Problem) -> None:
        """Carry the problem; its text is the exception's text."""
        super().__init__(f"{problem.code}: {problem.message}")
        self.problem = problem
