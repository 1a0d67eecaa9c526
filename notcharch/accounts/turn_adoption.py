"""Copies turns of other programs from which a program continues.

A turn is stored in the partition of its program. When another program names it as its
previous turn, its chain is searched for in all partitions and copied once to the partition
of that program.
"""

import enum
from collections.abc import Generator, Sequence
from typing import Any

from twisted.internet.defer import Deferred, gatherResults, inlineCallbacks

from notcharch.accounts.call_account import CallAccount
from notcharch.accounts.messages import (
    FindTurn,
    KeepTurn,
    TurnFound,
    TurnIsKept,
    TurnMissing,
)
from notcharch.accounts.owner_requests import OwnerRequests


class Adoption(enum.Enum):
    """Result of a search."""

    ADOPTED = "adopted"
    """The chain was copied to the program's partition."""
    NO_SUCH_TURN = "no such turn"
    """Every partition confirmed that it does not store the turn."""
    UNSURE = "unsure"
    """An owner did not reply; the search is to be retried."""


@inlineCallbacks
def adopt_turn(
    owners: OwnerRequests, other_groups: Sequence[OwnerRequests], account: CallAccount
) -> Generator["Deferred[Any]", Any, Adoption]:
    """Search all other partitions for the previous turn of a call, and copy its chain.

    `other_groups` are the owners of other groups: the turn may have been stored before the
    regions of residence of its route or tenant changed. Owners first search in memory.
    Only if none finds the turn are they asked to confirm, which costs each a log read.
    """
    for must_be_certain in (False, True):
        replies = yield _find_in_all_partitions(
            (owners, *other_groups), account, must_be_certain=must_be_certain
        )
        for reply in replies:
            if isinstance(reply, TurnFound):
                stored = yield owners.send_request(
                    account.partition, _store_message(account, reply)
                )
                is_stored = isinstance(stored, TurnIsKept)
                return Adoption.ADOPTED if is_stored else Adoption.UNSURE
        if not all(isinstance(reply, TurnMissing) for reply in replies):
            return Adoption.UNSURE
    return Adoption.NO_SUCH_TURN


def _find_in_all_partitions(
    groups: Sequence[OwnerRequests], account: CallAccount, *, must_be_certain: bool
) -> "Deferred[list[Any]]":
    turn = account.previous_turn
    return gatherResults(
        [
            owners.send_request(number, FindTurn(number, turn, must_be_certain))
            for owners in groups
            for number in owners.partitioning.numbers
            if number != account.partition
        ]
    )


def _store_message(account: CallAccount, found: TurnFound) -> KeepTurn:
    return KeepTurn(
        account.partition,
        account.program,
        account.previous_turn,
        previous="",
        input=found.text,
        output=b"",
        tokens=0,
    )
