"""Reads the table row of a service, and refuses calls without an active row."""

from typing import NoReturn

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.errors.problem import ProblemError
from notcharch.table.interface import ServiceRow, TableView
from notcharch.values.identifiers import ServiceName

PAUSED_RETRY_SECONDS = 5.0
NO_ROW_RETRY_SECONDS = 1.0
"""This daemon's table may lag behind a row that was just published."""


def active_row(table: TableView, service: ServiceName, ran: Ran) -> ServiceRow:
    """Return a service's row; raise UNAVAILABLE, NOT_FOUND or SERVICE_PAUSED.

    `ran` goes into the refusal: whether the call may have run before.
    """
    if table.version == 0:
        _refuse(ProblemCode.UNAVAILABLE, "no table has been loaded yet", ran)
    row = table.row(service)
    if row is None:
        _refuse(ProblemCode.NOT_FOUND, f"the table has no row {service}", ran)
    if row.paused:
        _refuse(ProblemCode.SERVICE_PAUSED, f"{service} is paused", ran)
    return row


def _refuse(code: ProblemCode, message: str, ran: Ran) -> NoReturn:
    paused = code is ProblemCode.SERVICE_PAUSED
    seconds = PAUSED_RETRY_SECONDS if paused else NO_ROW_RETRY_SECONDS
    raise ProblemError(Problem.of(code, message, ran=ran, retry_after=seconds))
