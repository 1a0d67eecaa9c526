"""Problems as HTTP responses: application/problem+json, after RFC 9457."""

import math

import msgspec
from twisted.web.iweb import IRequest

from notcharch.errors import Finding, Problem, ProblemCode

CONTENT_TYPE = b"application/problem+json"
TYPE_PREFIX = "urn:notcharch:problem:"


class HttpProblem(msgspec.Struct, frozen=True):
    """The body of an error response; `retry_after` is in seconds, or null."""

    type: str
    title: str
    status: int
    code: str
    message: str
    findings: tuple[Finding, ...]
    retry_after: float | None
    ran: str


def http_problem(problem: Problem) -> HttpProblem:
    """Give a problem in its HTTP form."""
    return HttpProblem(
        type=TYPE_PREFIX + problem.code,
        title=problem.code.replace("_", " "),
        status=problem.http_status,
        code=problem.code,
        message=problem.message,
        findings=problem.findings,
        retry_after=problem.retry_after,
        ran=problem.ran.value,
    )


def problem_body(problem: Problem) -> bytes:
    """Give the body of an error response."""
    return msgspec.json.encode(http_problem(problem))


def problem_headers(problem: Problem) -> tuple[tuple[bytes, bytes], ...]:
    """Give the headers that belong to the body.

    `Retry-After` takes whole seconds, so it is rounded up; the body is exact.
    """
    headers = [(b"content-type", CONTENT_TYPE)]
    if problem.retry_after is not None:
        seconds = math.ceil(problem.retry_after)
        headers.append((b"retry-after", b"%d" % seconds))
    if problem.is_code(ProblemCode.UNAUTHENTICATED):
        headers.append((b"www-authenticate", b"Bearer"))
    if problem.is_code(ProblemCode.DRAINING):
        headers.append((b"connection", b"close"))
    return tuple(headers)


def start_problem(request: IRequest, problem: Problem) -> bytes:
    """Set the status and headers of a response, and give its body."""
    request.setResponseCode(problem.http_status)
    for name, value in problem_headers(problem):
        request.setHeader(name, value)
    return problem_body(problem)
