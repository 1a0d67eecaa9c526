"""Turns failures of the outside into problems, with an honest `ran`.

`ran` is `no` in two cases only: the request was certainly not sent, or the other
side refused it in the words of its protocol. All else is `unknown`.
"""

import msgspec
from twisted.internet.error import (
    ConnectError,
    ConnectingCancelledError,
    DNSLookupError,
)
from twisted.web.client import RequestNotSent  # type: ignore[attr-defined]

from notcharch.errors import Problem, ProblemCode, Ran

NOT_SENT = (ConnectError, ConnectingCancelledError, DNSLookupError, RequestNotSent)
RETRY_AFTER_SECONDS = 1.0
"""When to come back after a failure that names no time itself, seconds."""

STALE_EPOCH = "stale_epoch"
DUPLICATE_REQUEST = "duplicate_request"
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_TOO_MANY = 429
STATUS_UNAVAILABLE = 503


class ErrorBody(msgspec.Struct, frozen=True):
    """The inside of an error reply; docs/platform-protocols.md."""

    code: str
    message: str = ""
    retry_after: float | None = None


class ErrorReply(msgspec.Struct, frozen=True):
    """The body of every error reply."""

    error: ErrorBody


_ERROR_DECODER = msgspec.json.Decoder(ErrorReply)


def problem_of_failure(error: BaseException, code: ProblemCode, where: str) -> Problem:
    """Give the problem of an exchange that has no reply."""
    ran = Ran.NO if isinstance(error, NOT_SENT) else Ran.UNKNOWN
    message = f"{where}: {type(error).__name__}"
    return Problem.of(code, message, ran=ran, retry_after=RETRY_AFTER_SECONDS)


def problem_of_garbled_reply(
    error: msgspec.DecodeError, code: ProblemCode, where: str
) -> Problem:
    """Give the problem of a reply that cannot be read."""
    message = f"{where}: unreadable reply: {error}"
    return Problem.of(code, message, ran=Ran.UNKNOWN, retry_after=RETRY_AFTER_SECONDS)


def problem_of_reply(
    status: int, body: bytes, code: ProblemCode, where: str
) -> Problem:
    """Give the problem of an error reply; `code` is for a status without its own."""
    try:
        error = _ERROR_DECODER.decode(body).error
    except msgspec.DecodeError:
        message = f"{where}: status {status} without a readable error"
        return Problem.of(
            code, message, ran=Ran.UNKNOWN, retry_after=RETRY_AFTER_SECONDS
        )
    message = f"{where}: {error.code}: {error.message}"
    own_code, ran = _meaning(status, error.code, code)
    return Problem.of(own_code, message, ran=ran, retry_after=error.retry_after)


def _meaning(
    status: int, error_code: str, code: ProblemCode
) -> tuple[ProblemCode, Ran]:
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
