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
    """A program that was created or is known by its id."""

    program: ProgramId
    service: ServiceName
    parent: ProgramId | None


class ProgramStateBody(msgspec.Struct, frozen=True):
    """A program's state; tokens, and seconds since 1970."""

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
    """A call that has no outcome yet; ask again after `retry_after` seconds."""

    program: ProgramId
    sequence: CallSequence
    state: str
    retry_after: float


def json_response(request: IRequest, status: int, body: msgspec.Struct) -> bytes:
    """Set the status and content type, and give the body's bytes."""
    return raw_json_response(request, status, msgspec.json.encode(body))


def raw_json_response(request: IRequest, status: int, body: bytes) -> bytes:
    """Set the status, type and length of a body that is JSON already."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", JSON)
    request.setHeader(b"content-length", b"%d" % len(body))
    return body


def name_call(request: IRequest, program: ProgramId, sequence: CallSequence) -> None:
    """Tell the caller in the headers which call this is."""
    request.setHeader(PROGRAM_HEADER, program.encode())
    request.setHeader(SEQUENCE_HEADER, b"%d" % sequence)


def program_state(description: ProgramDescription) -> ProgramStateBody:
    """Give what a caller may know of its program."""
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
    """Give a page of history."""
    return HistoryBody(program, page.start, page.total, page.messages)
