"""A client of the operators' API of a daemon, and the runner of its commands."""

import argparse
import contextlib
import os
import sys
from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeVar

import msgspec
import treq
from result import Err, Ok, Result
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.internet.error import (
    ConnectError,
    ConnectingCancelledError,
    ConnectionClosed,
)
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater, react
from twisted.web.client import ResponseFailed

from notcharch.cli.exit_codes import BAD_USAGE, FAILED, INTERRUPTED, UNREACHABLE
from notcharch.cli.settings_options import print_findings
from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.values.decoding import DECODING_ERRORS

API_PATH = "/admin/v1"
REQUEST_TIMEOUT_SECONDS = 60.0

RESPONSE_ERRORS = (
    CancelledError,
    ConnectingCancelledError,
    ConnectionClosed,
    DeferredTimeoutError,
    ResponseFailed,
)
ResponseT = TypeVar("ResponseT")


class HttpClient(Protocol):
    """The subset of treq that the client uses; tests can replace it."""

    @property
    def request(self) -> "Callable[..., Deferred[Any]]":
        """Send a request (method, URL, options) and return its response."""

    @property
    def content(self) -> "Callable[..., Deferred[bytes]]":
        """Return the complete body of a response."""


class AdminClient:
    """Sends requests to the operators' API of one daemon."""

    def __init__(
        self, server: str, key: str, http: HttpClient, clock: IReactorTime
    ) -> None:
        """Create a client; `server` is `http://host:port`, `key` an operator's key."""
        self._server = server.rstrip("/")
        self._key = key
        self._http = http
        self._clock = clock

    async def pause(self, seconds: float) -> None:
        """Wait before the next request."""
        await deferLater(self._clock, seconds)

    async def get(
        self, path: str, response_type: type[ResponseT]
    ) -> Result[ResponseT, Problem]:
        """Send a GET request and decode the response."""
        return await self._request("GET", path, None, response_type)

    async def post(
        self, path: str, body: msgspec.Struct | None, response_type: type[ResponseT]
    ) -> Result[ResponseT, Problem]:
        """Send a POST request and decode the response."""
        data = b"" if body is None else msgspec.json.encode(body)
        return await self._request("POST", path, data, response_type)

    async def _request(
        self, method: str, path: str, body: bytes | None, response_type: type[ResponseT]
    ) -> Result[ResponseT, Problem]:
        try:
            response = await self._http.request(
                method,
                self._server + API_PATH + path,
                headers={"authorization": f"Bearer {self._key}"},
                data=body,
                timeout=REQUEST_TIMEOUT_SECONDS,
            )
            content = await self._http.content(response)
        except ConnectError as error:
            return Err(self._unreachable(error, Ran.NO))
        except RESPONSE_ERRORS as error:
            return Err(self._unreachable(error, Ran.UNKNOWN))
        try:
            if response.code >= 400:
                return Err(msgspec.json.decode(content, type=Problem))
            return Ok(msgspec.json.decode(content, type=response_type))
        except DECODING_ERRORS as error:
            message = f"cannot decode the response (status {response.code}): {error}"
            problem = Problem.of(ProblemCode.INTERNAL, message, ran=Ran.UNKNOWN)
            return Err(problem)

    def _unreachable(self, error: Exception, ran: Ran) -> Problem:
        message = f"{self._server} cannot be reached: {error}"
        return Problem.of(ProblemCode.UNAVAILABLE, message, ran=ran)


Command = Callable[[AdminClient, argparse.Namespace], Awaitable[int]]


def run_command(command: Command, arguments: argparse.Namespace) -> int:
    """Run a command under the reactor and return its exit status."""
    statuses: list[int] = []
    errors: list[Exception] = []

    def main(reactor: IReactorTime) -> "Deferred[None]":
        client = AdminClient(arguments.server, arguments.key, treq, reactor)

        async def run() -> None:
            try:
                statuses.append(await command(client, arguments))
            except Exception as error:
                errors.append(error)

        return Deferred.fromCoroutine(run())

    with contextlib.suppress(SystemExit):
        react(main)
    if errors and isinstance(errors[0], BrokenPipeError):
        return _close_output()
    if errors:
        raise errors[0]
    return statuses[0] if statuses else INTERRUPTED


def _close_output() -> int:
    """Discard further output after a broken pipe, including the flush at exit."""
    os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    return FAILED


def print_problem(problem: Problem) -> int:
    """Print a problem with its findings and return the exit status."""
    sys.stderr.write(f"notcharch: {problem.code}: {problem.message}\n")
    print_findings(problem.findings)
    if problem.retry_after is not None:
        sys.stderr.write(f"  try again in {problem.retry_after:g} seconds\n")
    if problem.is_code(ProblemCode.BAD_REQUEST):
        return BAD_USAGE
    return UNREACHABLE if problem.http_status in (503, 504) else FAILED
