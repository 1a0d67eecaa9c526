"""The problems that a publication can end with."""

from notcharch.errors import Finding, Problem, ProblemCode, Ran
from notcharch.table.replay import ReplayState
from notcharch.values.identifiers import RecordId, TableVersion

RETRY_AFTER_SECONDS = 5.0


def unknown_version(
    version: TableVersion, state: ReplayState, ran: Ran = Ran.NO
) -> Problem:
    """Say that a version is not remembered here."""
    return Problem.of(
        ProblemCode.NOT_FOUND,
        f"version {version} is not kept; the oldest is {state.horizon}, "
        f"the newest {state.version}",
        ran=ran,
    )


def refusal(conflicts: tuple[Finding, ...], findings: tuple[Finding, ...]) -> Problem:
    """Say which places conflict, or which rules are broken."""
    if not conflicts:
        return invalid(findings)
    return Problem.of(
        ProblemCode.TABLE_CONFLICT,
        "others have published other values since the base version",
        findings=conflicts,
    )


def invalid(findings: tuple[Finding, ...]) -> Problem:
    """Say which rules of the cells are broken."""
    return Problem.of(
        ProblemCode.BAD_REQUEST, "the table breaks its rules", findings=findings
    )


def unknown_base(base_version: TableVersion, ran: Ran) -> Problem:
    """Say that this replica has not seen the base version."""
    return Problem.of(
        ProblemCode.UNAVAILABLE,
        f"base version {base_version} is not known here yet",
        ran=ran,
        retry_after=RETRY_AFTER_SECONDS,
    )


def refused_base(base_version: TableVersion, ran: Ran) -> Problem:
    """Say that the base version is forgotten."""
    return Problem.of(
        ProblemCode.TABLE_CONFLICT,
        f"base version {base_version} is too old to merge from; read the table again",
        ran=ran,
    )


def unfinished(record: RecordId, ran: Ran, detail: str) -> Problem:
    """Say that no verdict was reached, and whether there may be one."""
    if ran is Ran.NO:
        message = f"the log cannot be written, nothing was published: {detail}"
        findings: tuple[Finding, ...] = ()
    else:
        message = f"the verdict is not known yet; ask again with this id: {detail}"
        findings = (Finding("id", record),)
    return Problem.of(
        ProblemCode.UNAVAILABLE,
        message,
        ran=ran,
        findings=findings,
        retry_after=RETRY_AFTER_SECONDS,
    )
