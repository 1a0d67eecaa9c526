"""Renders every error of the HTTP interface as a problem document."""

from collections.abc import Callable
from typing import Any, TypeVar

from klein import Klein
from klein.resource import KleinResource
from result import Err, Result
from twisted.internet.defer import CancelledError, Deferred, succeed
from twisted.python.failure import Failure
from twisted.web.iweb import IRequest
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request
from werkzeug.exceptions import HTTPException, MethodNotAllowed

from notcharch.errors import Finding, Problem, ProblemCode, Ran
from notcharch.errors.problem import ProblemError
from notcharch.events.event import emit
from notcharch.events.gateway import RequestFailed
from notcharch.gateway.leader_client import for_caller
from notcharch.gateway.metrics import GatewayMetrics
from notcharch.wire.http_problem import start_problem


def add_error_handlers(app: Klein) -> None:
    """Render every failure of the app's handlers as a problem."""

    @app.handle_errors(ProblemError)
    def on_problem(self: Any, request: IRequest, failure: Failure) -> bytes:
        assert isinstance(failure.value, ProblemError)
        return render_problem(request, for_caller(failure.value.problem))

    @app.handle_errors(MethodNotAllowed)
    def on_method(self: Any, request: IRequest, failure: Failure) -> bytes:
        assert isinstance(failure.value, MethodNotAllowed)
        allowed = ", ".join(sorted(failure.value.valid_methods or ()))
        request.setHeader(b"allow", allowed.encode())
        message = f"this path supports only {allowed}"
        problem = Problem.of(ProblemCode.METHOD_NOT_ALLOWED, message)
        return render_problem(request, problem)

    @app.handle_errors(HTTPException)
    def on_unknown_path(self: Any, request: IRequest, failure: Failure) -> bytes:
        return render_problem(request, unknown_path(request))

    @app.handle_errors(CancelledError)
    def on_cancelled(self: Any, request: IRequest, failure: Failure) -> bytes:
        """Return no body, because the caller has disconnected."""
        return b""

    @app.handle_errors(Exception)
    def on_error(self: Any, request: IRequest, failure: Failure) -> bytes:
        return render_problem(request, internal_error(request, failure.value))


class OpenRequests:
    """Counts the requests whose response is not complete yet."""

    def __init__(self, metrics: GatewayMetrics) -> None:
        """Count the responses by status in `metrics`."""
        self._metrics = metrics
        self._open = 0
        self._waiters: list[Deferred[None]] = []

    def add(self, request: Request) -> None:
        """Count a request until it is answered or its caller disconnects."""
        self._open += 1
        request.notifyFinish().addBoth(self._ended, request)

    def when_all_finished(self) -> "Deferred[None]":
        """Return a Deferred that fires when no request is open."""
        if not self._open:
            return succeed(None)
        waiter: Deferred[None] = Deferred(self._waiters.remove)
        self._waiters.append(waiter)
        return waiter

    def _ended(self, outcome: object, request: Request) -> None:
        self._open -= 1
        self._metrics.requests.labels(str(request.code)).inc()
        if self._open:
            return
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.callback(None)


class GatewayLeaf(Resource):
    """Wraps a klein resource; rejects paths and headers that klein cannot decode."""

    isLeaf = True  # noqa: N815

    def __init__(
        self,
        inner: KleinResource,
        open_requests: OpenRequests,
        is_draining: Callable[[], bool],
    ) -> None:
        """Serve `inner`; while draining, every response closes its connection."""
        super().__init__()  # type: ignore[no-untyped-call]
        self._inner = inner
        self._open_requests = open_requests
        self._is_draining = is_draining

    def render(self, request: Request) -> bytes | int:
        """Serve the request, or reject it if a part of it is not valid text."""
        self._open_requests.add(request)
        if self._is_draining():
            request.setHeader(b"connection", b"close")
            request.channel.persistent = False
        finding = _unreadable_part(request)
        if finding is not None:
            problem = Problem.of(
                ProblemCode.BAD_REQUEST,
                "the request cannot be decoded as text",
                findings=(finding,),
            )
            return render_problem(request, problem)
        rendered = self._inner.render(request)
        return rendered if isinstance(rendered, bytes) else NOT_DONE_YET


Value = TypeVar("Value")


def unwrap_or_raise(result: Result[Value, Problem]) -> Value:
    """Return the value of an Ok; raise the problem of an Err as `ProblemError`."""
    if isinstance(result, Err):
        raise ProblemError(result.err_value)
    return result.ok_value


def render_problem(request: IRequest, problem: Problem) -> bytes:
    """Set status, headers and length of a problem response; return its body."""
    body = start_problem(request, problem)
    request.setHeader(b"content-length", b"%d" % len(body))
    return body


def unknown_path(request: IRequest) -> Problem:
    """Return the problem of a path that does not exist."""
    path = request.path.decode("utf-8", "replace")
    return Problem.of(ProblemCode.NOT_FOUND, f"unknown path {path[:200]}")


def internal_error(request: IRequest, error: BaseException | None) -> Problem:
    """Log an internal error and return its problem without details."""
    emit(
        RequestFailed(
            request.method.decode("ascii", "replace"),
            request.path.decode("utf-8", "replace"),
            repr(error),
        )
    )
    message = "internal error; the details are in the log"
    return Problem.of(ProblemCode.INTERNAL, message, ran=Ran.UNKNOWN)


def _unreadable_part(request: IRequest) -> Finding | None:
    parts = (
        ("path", b"/".join(request.prepath + request.postpath)),
        ("method", request.method),
        ("header.Host", request.getRequestHostname()),
    )
    for place, part in parts:
        try:
            part.decode("utf-8").encode("idna" if place == "header.Host" else "utf-8")
        except UnicodeError:
            return Finding(place, "is not valid text")
    return None
