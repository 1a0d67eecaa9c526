"""Callers in the same process: they use a gateway below its HTTP layer."""

import hashlib
from collections.abc import Sequence

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from notcharch.daemon.core import DaemonCore
from notcharch.errors import Problem
from notcharch.gateway.call_parameters import NO_PARAMETERS
from notcharch.gateway.call_spec import CallSpec
from notcharch.gateway.validation import NewProgram
from notcharch.values.chat import Answer, ChatMessage
from notcharch.values.identifiers import (
    CallSequence,
    ProgramId,
    ServiceName,
    TenantName,
)


class DirectCaller:
    """A caller of one tenant; each request names the daemon that it goes to."""

    def __init__(self, tenant: TenantName) -> None:
        """Call as a tenant whose key needs no check."""
        self._tenant = tenant

    def create(
        self, core: DaemonCore, service: ServiceName, parent: ProgramId | None = None
    ) -> "Deferred[Result[ProgramId, Problem]]":
        """Begin a program."""
        new = NewProgram(service, parent)
        return Deferred.fromCoroutine(
            core.gateway.programs.create(self._tenant, new, None)
        )

    def call(
        self,
        core: DaemonCore,
        program: ProgramId,
        sequence: int,
        messages: Sequence[ChatMessage],
        *,
        max_tokens: int,
        repeatable: bool = True,
    ) -> "Deferred[Result[Answer, Problem]]":
        """Run a call or join it, as `POST …/calls` does."""
        spec = CallSpec(
            program=program,
            tenant=self._tenant,
            sequence=CallSequence(sequence),
            messages=tuple(messages),
            max_tokens=max_tokens,
            parameters=NO_PARAMETERS,
            repeatable=repeatable,
            digest=digest_of(messages, max_tokens, repeatable),
        )
        runs = core.gateway.runs
        joined = runs.join(spec)
        if isinstance(joined, Err):
            return _fired(joined)
        running = joined.ok_value if isinstance(joined, Ok) else runs.start(spec, None)
        return running.outcome()

    def end(
        self, core: DaemonCore, program: ProgramId
    ) -> "Deferred[Result[object, Problem]]":
        """End a program."""
        return Deferred.fromCoroutine(core.gateway.programs.end(self._tenant, program))


def digest_of(
    messages: Sequence[ChatMessage], max_tokens: int, repeatable: bool
) -> str:
    """Digest what makes two calls the same."""
    digest = hashlib.blake2b(digest_size=16)
    for message in messages:
        digest.update(f"{message.role}:{message.content}\n".encode())
    digest.update(f"{max_tokens}:{repeatable}".encode())
    return digest.hexdigest()


def _fired(value: "Err[Problem]") -> "Deferred[Result[Answer, Problem]]":
    fired: Deferred[Result[Answer, Problem]] = Deferred()
    fired.callback(value)
    return fired
