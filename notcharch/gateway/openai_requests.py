"""`POST /v1/chat/completions`: calls of OpenAI clients.

With the program header, the client sends the complete conversation in each call; the
known part is checked against the history and removed. Without the header, each call is
a new program of the service that `model` names.
"""

import msgspec
from result import Ok
from twisted.internet.defer import Deferred
from twisted.web.server import Request

from notcharch.errors import Finding, Problem, ProblemCode
from notcharch.errors.problem import ProblemError
from notcharch.gateway.call_requests import CallRequests
from notcharch.gateway.call_runs import Outcome
from notcharch.gateway.call_spec import CallName
from notcharch.gateway.conversation import (
    RepeatedCall,
    is_same_message,
    split_conversation,
)
from notcharch.gateway.http_errors import unwrap_or_raise
from notcharch.gateway.program_requests import ProgramRequests
from notcharch.gateway.validation import CallBody, NewProgram, bad_request
from notcharch.values.chat import ChatMessage
from notcharch.values.identifiers import (
    CallSequence,
    ProgramId,
    ServiceName,
    TenantName,
)

HISTORY_PAGE = 1000
FIRST_CALL = CallSequence(1)


class OpenAiRequests:
    """Converts complete conversations into calls of programs."""

    def __init__(
        self, programs: ProgramRequests, calls: CallRequests, max_new_messages: int
    ) -> None:
        """Create programs through `programs` and run calls through `calls`."""
        self._programs = programs
        self._calls = calls
        self._max_new_messages = max_new_messages

    async def run_standalone(
        self, request: Request, tenant: TenantName, body: CallBody, key: str | None
    ) -> bytes | None:
        """Run a call as a new program, which ends with the answer."""
        findings = _findings_of_standalone_call(body, key)
        if findings:
            raise ProblemError(bad_request(findings))
        self._check_count(body.messages)
        new = NewProgram(ServiceName(body.model or ""), None)
        name = unwrap_or_raise(await self._programs.create(tenant, new, key))

        def end_program(outcome: Outcome) -> None:
            # With a key, a refused call can be retried in the same program.
            if key is None or isinstance(outcome, Ok):
                Deferred.fromCoroutine(self._programs.end(tenant, name))

        return await self._calls.run(
            request, CallName(tenant, name, FIRST_CALL), body, end_program
        )

    async def run_conversation(
        self,
        request: Request,
        tenant: TenantName,
        program: ProgramId,
        sequence: CallSequence | None,
        body: CallBody,
    ) -> bytes | None:
        """Run the next call of a program, or return the answer of a repeated one."""
        if sequence is None and not body.repeatable:
            message = "is needed for a call that must not run twice"
            finding = Finding("header.X-Notcharch-Sequence", message)
            raise ProblemError(bad_request([finding]))
        state = unwrap_or_raise(await self._programs.describe(tenant, program))
        history = await self._read_full_history(tenant, program)
        part = unwrap_or_raise(split_conversation(body.messages, history))
        if isinstance(part, RepeatedCall):
            derived = CallSequence(state.next_sequence - 1 - part.later_answers)
            answered = derived if sequence is None else sequence
            call = CallName(tenant, program, answered)
            return await self._send_repeated_answer(request, call, body, part.answer)
        self._check_count(part.messages)
        new_body = msgspec.structs.replace(body, messages=part.messages)
        number = state.next_sequence if sequence is None else sequence
        call = CallName(tenant, program, number)
        return await self._calls.run(request, call, new_body)

    async def _read_full_history(
        self, tenant: TenantName, program: ProgramId
    ) -> tuple[ChatMessage, ...]:
        messages: list[ChatMessage] = []
        while True:
            page = unwrap_or_raise(
                await self._programs.history(
                    tenant, program, len(messages), HISTORY_PAGE
                )
            )
            messages += page.messages
            if len(messages) >= page.total or not page.messages:
                return tuple(messages)

    def _check_count(self, messages: tuple[ChatMessage, ...]) -> None:
        max_messages = self._max_new_messages
        if len(messages) > max_messages:
            message = (
                f"contain {len(messages)} new messages, the limit is {max_messages}"
            )
            raise ProblemError(bad_request([Finding("messages", message)]))

    async def _send_repeated_answer(
        self,
        request: Request,
        call: CallName,
        body: CallBody,
        expected: ChatMessage,
    ) -> bytes | None:
        answer = await self._calls.stored_answer(call)
        if answer is None or not is_same_message(answer.message, expected):
            message = (
                f"the answer of call {call.sequence} differs from this conversation"
            )
            raise ProblemError(Problem.of(ProblemCode.SEQUENCE_CONFLICT, message))
        return await self._calls.send_stored_answer(request, call, body, answer)


def _findings_of_standalone_call(body: CallBody, key: str | None) -> list[Finding]:
    findings: list[Finding] = []
    if body.model is None:
        message = "must name the service, or send the header X-Notcharch-Program"
        findings.append(Finding("model", message))
    if not body.repeatable and key is None:
        message = "is needed for a call that must not run twice"
        findings.append(Finding("header.Idempotency-Key", message))
    if body.sequence not in (None, FIRST_CALL):
        message = "must be 1 for a call without a program"
        findings.append(Finding("sequence", message))
    return findings
