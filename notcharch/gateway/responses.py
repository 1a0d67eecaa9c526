"""Successful responses: status, headers and JSON bodies."""

import msgspec
from twisted.web.iweb import IRequest

from notcharch.values.chat import ChatMessage
from notcharch.values.identifiers import CallSequence, ProgramId, ServiceName
from notcharch.wire.messages.programs import HistoryPage, ProgramDescription

JSON = b"application/json"
PROGRAM_HEADER = b"x-notcharch-program"
SEQUENCE_HEADER = b"x-notcharch-sequence"


class ProgramBody(msgspec.Struct, frozen=True):
    """A program that was created."""

    program: ProgramId
    service: ServiceName
    parent: ProgramId | None


class ProgramStateBody(msgspec.Struct, frozen=True):
    """State of a program; budgets in tokens, `started_at` in seconds since 1970."""

    program: ProgramId
    service: ServiceName
    parent: ProgramId | None
    ended: bool
    next_sequence: CallSequence
    message_count: int
    budget_tokens: int
    reserved_tokens: int
    spent_tokens: int
    started_at: float


class EndedBody(msgspec.Struct, frozen=True):
    """A program that has ended."""

    program: ProgramId
    ended: bool


class HistoryBody(msgspec.Struct, frozen=True):
    """A page of history; `total` counts all messages of the program."""

    program: ProgramId
    start: int
    total: int
    messages: tuple[ChatMessage, ...]


class PendingBody(msgspec.Struct, frozen=True):
    """A call without an outcome yet; retry after `retry_after` seconds."""

    program: ProgramId
    sequence: CallSequence
    state: str
    retry_after: float


def json_response(request: IRequest, status: int, body: msgspec.Struct) -> bytes:
    """Set status and content type; return the body as JSON."""
    return raw_json_response(request, status, msgspec.json.encode(body))


def raw_json_response(request: IRequest, status: int, body: bytes) -> bytes:
    """Set status, content type and length of a body that is JSON already."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", JSON)
    request.setHeader(b"content-length", b"%d" % len(body))
    return body


def set_call_headers(
    request: IRequest, program: ProgramId, sequence: CallSequence
) -> None:
    """Set the response headers that identify the call."""
    request.setHeader(PROGRAM_HEADER, program.encode())
    request.setHeader(SEQUENCE_HEADER, b"%d" % sequence)


def program_state(description: ProgramDescription) -> ProgramStateBody:
    """Return the fields of a program that its caller may see."""
    return ProgramStateBody(
        program=description.program,
        service=description.service,
        parent=description.parent,
        ended=description.ended,
        next_sequence=description.next_sequence,
        message_count=description.message_count,
        budget_tokens=description.budget_tokens,
        reserved_tokens=description.reserved_tokens,
        spent_tokens=description.spent_tokens,
        started_at=description.started_at,
    )


def history_body(program: ProgramId, page: HistoryPage) -> HistoryBody:
    """Return a page of history."""
    return HistoryBody(program, page.start, page.total, page.messages)
