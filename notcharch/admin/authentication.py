"""Operators' keys and roles; they have nothing to do with callers' keys."""

import enum
import hashlib
import hmac

import attrs
from result import Err, Ok, Result

from notcharch.errors import Problem, ProblemCode
from notcharch.settings.schema import OperatorKey

BEARER = "bearer"


class Role(enum.IntEnum):
    """What an operator may do; a higher role may do all of a lower one."""

    VIEWER = 1
    """Read everything."""

    EDITOR = 2
    """Publish the table, and with it pause services."""

    ADMINISTRATOR = 3
    """Drain daemons and engines, end programs."""


@attrs.frozen
class Operator:
    """Who asks."""

    name: str
    role: Role


class OperatorKeys:
    """The operators that a daemon's settings name."""

    def __init__(self, keys: tuple[OperatorKey, ...]) -> None:
        """Take the settings' keys: names, hex SHA-256 digests and roles."""
        self._keys = keys

    def authenticate(
        self, authorization: str | None, needed: Role
    ) -> Result[Operator, Problem]:
        """Judge an `Authorization: Bearer KEY` header for a role."""
        scheme, _, text = (authorization or "").partition(" ")
        if scheme.lower() != BEARER or not text:
            message = "send an operator's key: Authorization: Bearer KEY"
            return Err(Problem.of(ProblemCode.UNAUTHENTICATED, message))
        operator = self._operator_of(text.strip())
        if operator is None:
            message = "this operator's key is not known"
            return Err(Problem.of(ProblemCode.UNAUTHENTICATED, message))
        if operator.role < needed:
            message = f"needs the role {needed.name.lower()}"
            return Err(Problem.of(ProblemCode.FORBIDDEN, message))
        return Ok(operator)

    def _operator_of(self, text: str) -> Operator | None:
        digest = hashlib.sha256(text.encode()).hexdigest()
        found: Operator | None = None
        # Every key is compared, each in constant time, so that the time of the
        # answer tells nothing about the digests.
        for key in self._keys:
            if hmac.compare_digest(key.key_sha256, digest):
                found = Operator(key.name, Role[key.role.upper()])
        return found
