"""Converts failures of external systems into problems that state `ran`.

`ran` is `no` only if the request was certainly not sent or the server rejected it
with a protocol error, and `yes` for a duplicate request; otherwise it is `unknown`.
"""

import msgspec
from twisted.internet.error import (
    ConnectError,
    ConnectingCancelledError,
    DNSLookupError,
)
from twisted.web.client import RequestNotSent  # type: ignore[attr-defined]
from twisted.web.iweb import IResponse

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.http.messages import VALID_STATUSES
from notcharch.values.decoding import DECODING_ERRORS

NOT_SENT = (ConnectError, ConnectingCancelledError, DNSLookupError, RequestNotSent)
RETRY_AFTER_SECONDS = 1.0
"""Retry delay for failures without a `retry_after`."""

STALE_EPOCH = "stale_epoch"
DUPLICATE_REQUEST = "duplicate_request"
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_TOO_MANY = 429
STATUS_UNAVAILABLE = 503


INVALID_STATUS = 0
"""Stands for the status of a status line that is not valid."""
MAJOR_VERSION = 1


def status_of(response: IResponse) -> int:
    """Return the status of a response; `INVALID_STATUS` if its status line is invalid."""
    _, major, _ = response.version
    is_valid = major == MAJOR_VERSION and response.code in VALID_STATUSES
    return int(response.code) if is_valid else INVALID_STATUS


class ErrorBody(msgspec.Struct, frozen=True):
    """The error of an error response; see docs/platform-protocols.md."""

    code: str
    message: str = ""
    retry_after: float | None = None


class ErrorReply(msgspec.Struct, frozen=True):
    """The body of every error response."""

    error: ErrorBody


_ERROR_DECODER = msgspec.json.Decoder(ErrorReply)


def problem_of_failure(error: BaseException, code: ProblemCode, where: str) -> Problem:
    """Return the problem of an exchange without a response."""
    ran = Ran.NO if isinstance(error, NOT_SENT) else Ran.UNKNOWN
    message = f"{where}: {type(error).__name__}"
    return Problem.of(code, message, ran=ran, retry_after=RETRY_AFTER_SECONDS)


def problem_of_garbled_reply(
    error: Exception, code: ProblemCode, where: str
) -> Problem:
    """Return the problem of a response that cannot be decoded."""
    message = f"{where}: unreadable reply: {error}"
    return Problem.of(code, message, ran=Ran.UNKNOWN, retry_after=RETRY_AFTER_SECONDS)


def problem_of_reply(
    status: int, body: bytes, code: ProblemCode, where: str
) -> Problem:
    """Return the problem of an error response; `code` is the default code."""
    try:
        error = _ERROR_DECODER.decode(body).error
    except DECODING_ERRORS:
        message = f"{where}: status {status} without a readable error"
        return Problem.of(
            code, message, ran=Ran.UNKNOWN, retry_after=RETRY_AFTER_SECONDS
        )
    message = f"{where}: {error.code}: {error.message}"
    problem_code, ran = _classify(status, error.code, code)
    return Problem.of(problem_code, message, ran=ran, retry_after=error.retry_after)


def _classify(
    status: int, error_code: str, code: ProblemCode
) -> tuple[ProblemCode, Ran]:
    if status not in VALID_STATUSES:
        return code, Ran.UNKNOWN
    if error_code == STALE_EPOCH:
        return ProblemCode.STALE_EPOCH, Ran.NO
    if error_code == DUPLICATE_REQUEST:
        return code, Ran.YES
    if status == STATUS_NOT_FOUND:
        return ProblemCode.NOT_FOUND, Ran.NO
    if status == STATUS_TOO_MANY:
        return ProblemCode.OVERLOADED, Ran.NO
    if status == STATUS_UNAVAILABLE:
        return ProblemCode.UNAVAILABLE, Ran.NO
    if 400 <= status < 500:
        return ProblemCode.BAD_REQUEST, Ran.NO
    return code, Ran.UNKNOWN
