"""Turns of other programs that a program goes on from.

A turn is kept with its program. When a new program names a turn of another, its chain
is searched for in all partitions and copied to the new program's own, once.
"""

import enum
from collections.abc import Generator
from typing import Any

from twisted.internet.defer import Deferred, gatherResults, inlineCallbacks

from notcharch.accounts.account import Account
from notcharch.accounts.messages import (
    FindTurn,
    KeepTurn,
    TurnFound,
    TurnIsKept,
    TurnMissing,
)
from notcharch.accounts.owner_requests import OwnerRequests


class Adoption(enum.Enum):
    """What came of a search."""

    ADOPTED = "adopted"
    """The chain is in the program's own partition now."""
    NO_SUCH_TURN = "no such turn"
    """All partitions said so, for certain."""
    UNSURE = "unsure"
    """An owner didn't answer: ask again."""


@inlineCallbacks
def adopt(
    owners: OwnerRequests, account: Account
) -> Generator["Deferred[Any]", Any, Adoption]:
    """Search all other partitions for the turn that a call goes on from."""
    turn = account.call.previous_turn
    partitions = range(owners.partitioning.partitions)
    others = [number for number in partitions if number != account.partition]
    asking = [owners.ask(number, FindTurn(number, turn)) for number in others]
    answers = yield gatherResults(asking)
    for answer in answers:
        if isinstance(answer, TurnFound):
            copied = yield owners.ask(account.partition, _copy(account, answer))
            is_kept = isinstance(copied, TurnIsKept)
            return Adoption.ADOPTED if is_kept else Adoption.UNSURE
    if all(isinstance(answer, TurnMissing) for answer in answers):
        return Adoption.NO_SUCH_TURN
    return Adoption.UNSURE


def _copy(account: Account, found: TurnFound) -> KeepTurn:
    call = account.call
    return KeepTurn(
        account.partition,
        call.program,
        call.previous_turn,
        previous="",
        input=found.text,
        output=b"",
        tokens=0,
    )
