"""Blocking requests of commands to the operators' interface of any daemon."""

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

API_PATH = "/admin/v1"
REQUEST_SECONDS = 60.0

LOST_ANSWERS = (
    CancelledError,
    ConnectingCancelledError,
    ConnectionClosed,
    DeferredTimeoutError,
    ResponseFailed,
)
Answer = TypeVar("Answer")


class HttpClient(Protocol):
    """The part of treq that is used here; tests give another one."""

    @property
    def request(self) -> "Callable[..., Deferred[Any]]":
        """Send a request (method, URL, options) and give its response."""

    @property
    def content(self) -> "Callable[..., Deferred[bytes]]":
        """Give a response's whole body."""


class AdminClient:
    """Requests to one daemon's operators' interface."""

    def __init__(
        self, server: str, key: str, http: HttpClient, clock: IReactorTime
    ) -> None:
        """Take the daemon's `http://host:port` and an operator's key."""
        self._server = server.rstrip("/")
        self._key = key
        self._http = http
        self._clock = clock

    async def pause(self, seconds: float) -> None:
        """Wait before asking again."""
        await deferLater(self._clock, seconds)

    async def get(self, path: str, answer: type[Answer]) -> Result[Answer, Problem]:
        """Read a page and decode it."""
        return await self._ask("GET", path, None, answer)

    async def post(
        self, path: str, body: msgspec.Struct | None, answer: type[Answer]
    ) -> Result[Answer, Problem]:
        """Send a body and decode the answer."""
        data = b"" if body is None else msgspec.json.encode(body)
        return await self._ask("POST", path, data, answer)

    async def _ask(
        self, method: str, path: str, body: bytes | None, answer: type[Answer]
    ) -> Result[Answer, Problem]:
        try:
            response = await self._http.request(
                method,
                self._server + API_PATH + path,
                headers={"authorization": f"Bearer {self._key}"},
                data=body,
                timeout=REQUEST_SECONDS,
            )
            content = await self._http.content(response)
        except ConnectError as error:
            return Err(self._unreachable(error, Ran.NO))
        except LOST_ANSWERS as error:
            return Err(self._unreachable(error, Ran.UNKNOWN))
        try:
            if response.code >= 400:
                return Err(msgspec.json.decode(content, type=Problem))
            return Ok(msgspec.json.decode(content, type=answer))
        except msgspec.DecodeError as error:
            message = f"the answer (status {response.code}) cannot be read: {error}"
            problem = Problem.of(ProblemCode.INTERNAL, message, ran=Ran.UNKNOWN)
            return Err(problem)

    def _unreachable(self, error: Exception, ran: Ran) -> Problem:
        message = f"{self._server} cannot be reached: {error}"
        return Problem.of(ProblemCode.UNAVAILABLE, message, ran=ran)


Command = Callable[[AdminClient, argparse.Namespace], Awaitable[int]]


def run_command(command: Command, arguments: argparse.Namespace) -> int:
    """Run a command under the reactor until it has its exit status."""
    statuses: list[int] = []
    faults: list[Exception] = []

    def main(reactor: IReactorTime) -> "Deferred[None]":
        client = AdminClient(arguments.server, arguments.key, treq, reactor)

        async def run() -> None:
            try:
                statuses.append(await command(client, arguments))
            except Exception as error:
                faults.append(error)

        return Deferred.fromCoroutine(run())

    with contextlib.suppress(SystemExit):
        react(main)
    if faults and isinstance(faults[0], BrokenPipeError):
        return _close_output()
    if faults:
        raise faults[0]
    return statuses[0] if statuses else INTERRUPTED


def _close_output() -> int:
    """Write nothing more to a reader that has gone, not even at the exit."""
    os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    return FAILED


def print_problem(problem: Problem) -> int:
    """Print a problem with its findings; gives the exit status."""
    sys.stderr.write(f"notcharch: {problem.code}: {problem.message}\n")
    print_findings(problem.findings)
    if problem.retry_after is not None:
        sys.stderr.write(f"  try again in {problem.retry_after:g} seconds\n")
    if problem.is_code(ProblemCode.BAD_REQUEST):
        return BAD_USAGE
    return UNREACHABLE if problem.http_status in (503, 504) else FAILED
