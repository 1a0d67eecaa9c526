"""Copies turns of other programs from which a program continues.

A turn is stored in the partition of its program. When another program names it as its
previous turn, its chain is searched for in all partitions and copied once to the partition
of that program, page by page.
"""

import enum
from collections.abc import Generator, Sequence
from typing import Any

import msgspec
from twisted.internet.defer import Deferred, gatherResults, inlineCallbacks

from notcharch.accounts.call_account import CallAccount
from notcharch.accounts.messages import (
    KeepTurn,
    TurnFound,
    TurnIsKept,
    TurnMissing,
    TurnNotStorable,
)
from notcharch.accounts.owner_requests import OwnerRequests
from notcharch.accounts.transcript_reader import read_remaining_pages
from notcharch.accounts.turn_parts import split_turn
from notcharch.accounts.turns import TranscriptPage
from notcharch.wire.messages.base import Message

ADOPTED_COPIES = 3
"""Copies of a chain while it is stored again: its pages, its text, and the parts of it."""


class Adoption(enum.Enum):
    """Result of a search."""

    ADOPTED = "adopted"
    """The chain was copied to the program's partition."""
    NO_SUCH_TURN = "no such turn"
    """Every partition confirmed that it does not store the turn."""
    UNSURE = "unsure"
    """An owner did not reply; the search is to be retried."""
    TOO_LONG = "too long"
    """The chain is longer than the body of a call may be."""
    NO_MEMORY = "no memory"
    """There is no room for the chain and its copies now; nothing was copied."""
    NOT_STORABLE = "not storable"
    """The log service does not take the copy and never will."""


class Place(msgspec.Struct, frozen=True):
    """A partition, and how its owner is reached."""

    owners: OwnerRequests
    partition: int


@inlineCallbacks
def adopt_turn(
    owners: OwnerRequests, other_groups: Sequence[OwnerRequests], account: CallAccount
) -> Generator["Deferred[Any]", Any, Adoption]:
    """Search all other partitions for the previous turn of a call, and copy its chain.

    `other_groups` are the owners of other groups: the turn may have been stored before the
    regions of residence of its route or tenant changed. Owners first search in memory.
    Only if none finds the turn are they asked to confirm, which costs each a log read.
    """
    places = _other_partitions((owners, *other_groups), account.partition)
    for must_be_certain in (False, True):
        replies: list[Message | None] = yield _find(
            places, account, must_be_certain=must_be_certain
        )
        for place, reply in zip(places, replies, strict=True):
            if isinstance(reply, TurnFound):
                adoption: Adoption = yield _adopt_from(place, reply, owners, account)
                return adoption
        if not all(isinstance(reply, TurnMissing) for reply in replies):
            return Adoption.UNSURE
    return Adoption.NO_SUCH_TURN


def _other_partitions(groups: Sequence[OwnerRequests], partition: int) -> list[Place]:
    return [
        Place(owners, number)
        for owners in groups
        for number in owners.partitioning.numbers
        if number != partition
    ]


def _find(
    places: Sequence[Place], account: CallAccount, *, must_be_certain: bool
) -> "Deferred[list[Message | None]]":
    return gatherResults(
        [
            place.owners.send_request(
                place.partition,
                account.find_message(place.partition, must_be_certain=must_be_certain),
            )
            for place in places
        ]
    )


@inlineCallbacks
def _adopt_from(
    place: Place, found: TurnFound, owners: OwnerRequests, account: CallAccount
) -> Generator["Deferred[Any]", Any, Adoption]:
    """Read the chain of a turn that was found, and store it in the call's partition."""
    transcript = account.transcript
    chain_bytes = len(found.text) + found.remaining_bytes
    if account.exceeds_limit(chain_bytes):
        return Adoption.TOO_LONG
    if not account.reserve(chain_bytes * ADOPTED_COPIES):
        return Adoption.NO_MEMORY
    if not transcript.is_complete:  # else an earlier attempt could not store it
        last = found.last or account.previous_turn
        transcript.restart()
        transcript.add(TranscriptPage("", found.text, last, found.remaining_bytes))
        is_read = yield read_remaining_pages(place.owners, place.partition, transcript)
        if not is_read:
            return Adoption.UNSURE
    for part in split_turn(_store_message(account)):
        reply = yield owners.send_request(account.partition, part)
        if isinstance(reply, TurnNotStorable):
            return Adoption.NOT_STORABLE
        if not isinstance(reply, TurnIsKept):
            return Adoption.UNSURE
    return Adoption.ADOPTED


def _store_message(account: CallAccount) -> KeepTurn:
    """Return the turn that holds the text of the complete chain."""
    return KeepTurn(
        account.partition,
        account.program,
        account.previous_turn,
        previous="",
        input=account.transcript.text(),
        output=b"",
        tokens=0,
    )
