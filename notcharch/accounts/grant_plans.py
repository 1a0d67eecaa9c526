"""The grants of a program's calls, as its account stands. Pure."""

from notcharch.accounts.grants import first_grant, half_of, least_grant, raised_grant
from notcharch.accounts.messages import RaiseGrant
from notcharch.accounts.program_account import Program, Reservation

CALLS_WITH_ROOM = 3
"""The record of a turn lets its program run a next call of a gateway of an older build only
while the budget has room for so many: such a call is granted, and doubted, as a whole."""


def planned_grant(
    program: Program, asked: Reservation, former: Reservation | None, call: str = ""
) -> int:
    """Return the grant of a call that is let in, or let in again."""
    slack = program.slack(asked.tokens, call)
    granted = first_grant(slack, asked.event_tokens, asked.tokens)
    return granted if former is None else max(granted, former.granted)


def least_raise(request: RaiseGrant, held: Reservation) -> int:
    """Return the least grant with which a call that asks for more goes on."""
    wanted = min(request.wanted_tokens, request.most_tokens)
    return least_grant(request.event_tokens, granted=held.granted, wanted=wanted)


def planned_raise(program: Program, request: RaiseGrant, held: Reservation) -> int:
    """Return the grant of a call that asks for more."""
    target = raised_grant(
        program.slack(request.most_tokens, request.call),
        request.event_tokens,
        granted=held.granted,
        relayed=held.relayed,
    )
    return min(max(target, least_raise(request, held)), held.tokens)


def tokens_ahead(program: Program, ended: Reservation, call: str, bound: int) -> int:
    """Return how much the record of a turn covers for the next call of that size."""
    if not ended.event_tokens:
        has_room = bound + CALLS_WITH_ROOM * ended.tokens <= program.budget
        return ended.tokens if has_room else 0
    if bound + ended.tokens > program.budget:
        return 0
    slack = program.slack(ended.tokens, call)
    return half_of(slack, ended.event_tokens) if slack >= ended.event_tokens else 0
