"""Authenticates callers: finds the tenant of an API key."""

from result import Err, Ok, Result
from twisted.web.iweb import IRequest

from notcharch.errors import Problem, ProblemCode
from notcharch.gateway.request_parts import header_text
from notcharch.table.interface import TableView
from notcharch.values.identifiers import TenantName

SCHEME = "bearer"
MAX_KEY_LENGTH = 1024


def tenant_of(request: IRequest, table: TableView) -> Result[TenantName, Problem]:
    """Return the tenant of the key in the `Authorization: Bearer KEY` header.

    Without a table no key can be checked, so the result is UNAVAILABLE instead of
    UNAUTHENTICATED until the first publication has arrived.
    """
    key = _bearer_key(request)
    if key is None:
        message = "send the header Authorization: Bearer KEY"
        return Err(Problem.of(ProblemCode.UNAUTHENTICATED, message))
    tenant = table.tenant_of_key(key)
    if tenant is not None:
        return Ok(tenant)
    if table.version == 0:
        message = "this daemon has not received a table yet"
        return Err(Problem.of(ProblemCode.UNAVAILABLE, message, retry_after=1.0))
    return Err(Problem.of(ProblemCode.UNAUTHENTICATED, "the key is unknown"))


def _bearer_key(request: IRequest) -> str | None:
    header = header_text(request, b"authorization")
    if not header:
        return None
    scheme, _, key = header.partition(" ")
    key = key.strip()
    if scheme.lower() != SCHEME or not 1 <= len(key) <= MAX_KEY_LENGTH:
        return None
    return key
