"""Whose request it is: the tenant of a caller's key."""

from result import Err, Ok, Result
from twisted.web.iweb import IRequest

from notcharch.errors import Problem, ProblemCode
from notcharch.gateway.request_parts import header_text
from notcharch.table.interface import TableView
from notcharch.values.identifiers import TenantName

SCHEME = "bearer"
LONGEST_KEY = 1024


def tenant_of(request: IRequest, table: TableView) -> Result[TenantName, Problem]:
    """Give the tenant whose key the `Authorization: Bearer KEY` header holds.

    Before the first publication has arrived no key is known, so the caller is
    told to come back rather than that its key is wrong.
    """
    key = _bearer_key(request)
    if key is None:
        message = "send the header Authorization: Bearer KEY"
        return Err(Problem.of(ProblemCode.UNAUTHENTICATED, message))
    tenant = table.tenant_of_key(key)
    if tenant is not None:
        return Ok(tenant)
    if table.version == 0:
        message = "this daemon has no table yet"
        return Err(Problem.of(ProblemCode.UNAVAILABLE, message, retry_after=1.0))
    return Err(Problem.of(ProblemCode.UNAUTHENTICATED, "the key is not known"))


def _bearer_key(request: IRequest) -> str | None:
    header = header_text(request, b"authorization")
    if not header:
        return None
    scheme, _, key = header.partition(" ")
    key = key.strip()
    if scheme.lower() != SCHEME or not 1 <= len(key) <= LONGEST_KEY:
        return None
    return key
