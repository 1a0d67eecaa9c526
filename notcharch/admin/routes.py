"""Routing for the operators' interface: authentication, bodies, responses, problems.

A handler receives an `AdminRequest` and returns a typed response or a problem; it has
no access to the HTTP request.
"""

import re
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeVar

import attrs
import eliot
import msgspec
from klein import Klein
from result import Err, Ok, Result
from twisted.internet.defer import CancelledError
from twisted.python.failure import Failure
from twisted.web.iweb import IRequest
from twisted.web.resource import IResource
from werkzeug.exceptions import HTTPException, MethodNotAllowed

from notcharch.admin.authentication import Operator, OperatorKeys, Role
from notcharch.errors import Finding, Problem, ProblemCode, Ran
from notcharch.errors.problem import ProblemError
from notcharch.events.admin import (
    AdminRequestFailed,
    OperatorChanged,
    OperatorRefused,
)
from notcharch.events.event import emit
from notcharch.values.decoding import DECODING_ERRORS
from notcharch.wire.http_problem import start_problem

JSON_CONTENT_TYPE = "application/json"
MAX_BODY_BYTES = 32 * 1024 * 1024
READ_METHOD = "GET"
_VALIDATION_PLACE = re.compile(r"^(?P<message>.*?)(?: - at `(?P<place>.*)`)?$", re.S)

Body = TypeVar("Body", bound=msgspec.Struct)


@attrs.frozen
class AdminRequest:
    """A request by an operator with the role that the route requires."""

    operator: Operator
    arguments: Mapping[str, str]
    """The variable parts of the path."""

    query: Mapping[str, str]
    body: bytes

    def read_body(self, body_type: type[Body]) -> Result[Body, Problem]:
        """Decode the JSON body as `body_type`."""
        try:
            return Ok(msgspec.json.decode(self.body, type=body_type))
        except DECODING_ERRORS as error:
            return Err(_body_problem(str(error)))

    def number(
        self, name: str, default: float, minimum: float, maximum: float
    ) -> Result[float, Problem]:
        """Parse a query parameter as a number from `minimum` to `maximum`."""
        text = self.query.get(name)
        if text is None:
            return Ok(default)
        try:
            value = float(text)
        except ValueError:
            value = float("nan")
        if minimum <= value <= maximum:
            return Ok(value)
        finding = Finding(name, f"must be a number from {minimum:g} to {maximum:g}")
        return Err(bad_request("a query parameter is invalid", finding))


Handler = Callable[[AdminRequest], Awaitable[Result[msgspec.Struct, Problem]]]


class Routes:
    """The routes of the operators' interface of one daemon."""

    def __init__(self, keys: OperatorKeys) -> None:
        """Authenticate every request with `keys`."""
        self._keys = keys
        self._app = Klein()
        self._app.handle_errors(HTTPException)(_unknown_route)

    def add(self, method: str, path: str, role: Role, handler: Handler) -> None:
        """Add a route; `path` may have variable parts such as `<name>`."""

        async def answer(request: IRequest, **arguments: str) -> bytes:
            return await self._answer(request, arguments, role, handler)

        endpoint = f"{method} {path}"
        self._app.route(path, methods=[method], endpoint=endpoint)(answer)

    def resource(self) -> IResource:
        """Return the resource to mount at `/admin/v1`."""
        resource: IResource = self._app.resource()
        return resource

    async def _answer(
        self,
        request: IRequest,
        arguments: Mapping[str, str],
        role: Role,
        handler: Handler,
    ) -> bytes:
        path = request.path.decode(errors="replace")
        method = request.method.decode(errors="replace")
        operator = self._keys.authenticate(request.getHeader("authorization"), role)
        if isinstance(operator, Err):
            emit(OperatorRefused(path, "", operator.err_value.code))
            return start_problem(request, operator.err_value)
        result = await _handle(request, arguments, operator.ok_value, handler)
        if method != READ_METHOD:
            outcome = "done" if isinstance(result, Ok) else result.err_value.code
            emit(OperatorChanged(operator.ok_value.name, method, path, outcome))
        if isinstance(result, Err):
            return start_problem(request, result.err_value)
        request.setHeader("content-type", JSON_CONTENT_TYPE)
        return msgspec.json.encode(result.ok_value)


def _unknown_route(request: IRequest, failure: Failure) -> bytes:
    """Render the problem of an unknown path or method."""
    code = ProblemCode.NOT_FOUND
    if isinstance(failure.value, MethodNotAllowed):
        code = ProblemCode.METHOD_NOT_ALLOWED
    message = "unknown path or method in the operators' interface"
    return start_problem(request, Problem.of(code, message))


def bad_request(message: str, *findings: Finding) -> Problem:
    """Return a BAD_REQUEST problem with findings."""
    return Problem.of(ProblemCode.BAD_REQUEST, message, findings=findings)


async def _handle(
    request: IRequest,
    arguments: Mapping[str, str],
    operator: Operator,
    handler: Handler,
) -> Result[msgspec.Struct, Problem]:
    body = request.content.read(MAX_BODY_BYTES + 1) if request.content else b""
    if len(body) > MAX_BODY_BYTES:
        message = f"the body has more than {MAX_BODY_BYTES} bytes"
        return Err(Problem.of(ProblemCode.BODY_TOO_LARGE, message))
    query = {
        name.decode(errors="replace"): values[-1].decode(errors="replace")
        for name, values in request.args.items()
    }
    try:
        return await handler(AdminRequest(operator, arguments, query, body))
    except CancelledError:
        raise
    except ProblemError as error:
        return Err(error.problem)
    except Exception:
        eliot.write_traceback()
        emit(AdminRequestFailed(request.method.decode(), request.path.decode()))
        message = "internal error; the details are in the log"
        return Err(Problem.of(ProblemCode.INTERNAL, message, ran=Ran.UNKNOWN))


def _body_problem(text: str) -> Problem:
    match = _VALIDATION_PLACE.match(text)
    if match is None or match["place"] is None:
        return bad_request("the body is invalid", Finding("body", text))
    place = match["place"].removeprefix("$").removeprefix(".") or "body"
    return bad_request("the body is invalid", Finding(place, match["message"]))
