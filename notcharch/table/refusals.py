"""Problems returned for failed publications."""

from notcharch.errors import Finding, Problem, ProblemCode, Ran
from notcharch.table.replay import ReplayState
from notcharch.values.identifiers import RecordId, TableVersion

RETRY_AFTER_SECONDS = 5.0


def unknown_version(
    version: TableVersion, state: ReplayState, ran: Ran = Ran.NO
) -> Problem:
    """Return the problem of a version outside the stored history."""
    return Problem.of(
        ProblemCode.NOT_FOUND,
        f"version {version} is not kept; the oldest is {state.horizon}, "
        f"the newest {state.version}",
        ran=ran,
    )


def merge_refused(
    conflicts: tuple[Finding, ...], findings: tuple[Finding, ...]
) -> Problem:
    """Return the problem of a failed merge: its conflicts, or else its findings."""
    if not conflicts:
        return invalid(findings)
    return Problem.of(
        ProblemCode.TABLE_CONFLICT,
        "conflicting values were published since the base version",
        findings=conflicts,
    )


def invalid(findings: tuple[Finding, ...]) -> Problem:
    """Return the problem of a table that violates the schema."""
    return Problem.of(
        ProblemCode.BAD_REQUEST, "the table is invalid", findings=findings
    )


def unknown_base(base_version: TableVersion, ran: Ran) -> Problem:
    """Return the problem of a base version that this replica has not reached."""
    return Problem.of(
        ProblemCode.UNAVAILABLE,
        f"base version {base_version} has not reached this daemon yet",
        ran=ran,
        retry_after=RETRY_AFTER_SECONDS,
    )


def base_too_old(base_version: TableVersion, ran: Ran) -> Problem:
    """Return the problem of a base version that is older than the history."""
    return Problem.of(
        ProblemCode.TABLE_CONFLICT,
        f"base version {base_version} is too old to merge from; read the table again",
        ran=ran,
    )


def no_verdict(record: RecordId, ran: Ran, detail: str) -> Problem:
    """Return the problem of a publication without a verdict."""
    if ran is Ran.NO:
        message = f"the log cannot be written, nothing was published: {detail}"
        findings: tuple[Finding, ...] = ()
    else:
        message = (
            f"the verdict is not known yet; repeat the request with this id: {detail}"
        )
        findings = (Finding("id", record),)
    return Problem.of(
        ProblemCode.UNAVAILABLE,
        message,
        ran=ran,
        findings=findings,
        retry_after=RETRY_AFTER_SECONDS,
    )
