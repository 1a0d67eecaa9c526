"""Keys and roles of operators, which are independent of the keys of callers."""

import enum
import hashlib
import hmac

import attrs
from result import Err, Ok, Result

from notcharch.errors import Problem, ProblemCode
from notcharch.settings.schema import OperatorKey

BEARER = "bearer"


class Role(enum.IntEnum):
    """Permissions of an operator; each role includes all lower ones."""

    VIEWER = 1
    """May use all read-only routes."""

    EDITOR = 2
    """May also publish the table, which includes pausing services."""

    ADMINISTRATOR = 3
    """May also drain daemons, engines and zones, and end programs."""


@attrs.frozen
class Operator:
    """An authenticated operator."""

    name: str
    role: Role


class OperatorKeys:
    """The operators in the settings of a daemon."""

    def __init__(self, keys: tuple[OperatorKey, ...]) -> None:
        """Use the keys of the settings: names, hex SHA-256 digests and roles."""
        self._keys = keys

    def authenticate(
        self, authorization: str | None, required_role: Role
    ) -> Result[Operator, Problem]:
        """Check an `Authorization: Bearer KEY` header against a role."""
        scheme, _, key_text = (authorization or "").partition(" ")
        if scheme.lower() != BEARER or not key_text:
            message = "send an operator's key: Authorization: Bearer KEY"
            return Err(Problem.of(ProblemCode.UNAUTHENTICATED, message))
        operator = self._operator_of(key_text.strip())
        if operator is None:
            message = "the operator's key is unknown"
            return Err(Problem.of(ProblemCode.UNAUTHENTICATED, message))
        if operator.role < required_role:
            message = f"needs the role {required_role.name.lower()}"
            return Err(Problem.of(ProblemCode.FORBIDDEN, message))
        return Ok(operator)

    def _operator_of(self, key_text: str) -> Operator | None:
        digest = hashlib.sha256(key_text.encode()).hexdigest()
        matching_operator: Operator | None = None
        # All keys are compared, each in constant time, to prevent timing attacks.
        for key in self._keys:
            if hmac.compare_digest(key.key_sha256, digest):
                matching_operator = Operator(key.name, Role[key.role.upper()])
        return matching_operator
