"""Rows of the table as the leader needs them, and the refusals where one is missing."""

from typing import NoReturn

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.errors.problem import ProblemError
from notcharch.table.interface import ServiceRow, TableView
from notcharch.values.identifiers import ServiceName

PAUSED_RETRY_SECONDS = 5.0
NO_ROW_RETRY_SECONDS = 1.0
"""A row may have been published a moment ago: this daemon's table may lag."""


def active_row(table: TableView, service: ServiceName, ran: Ran) -> ServiceRow:
    """Give a service's row; raises UNAVAILABLE, NOT_FOUND or SERVICE_PAUSED.

    `ran` tells whether the refused call may have run before.
    """
    if table.version == 0:
        _refuse(ProblemCode.UNAVAILABLE, "no table was read yet", ran)
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
