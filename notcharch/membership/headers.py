"""Writes the header of every datagram: who speaks, its digests, and gossip."""

from notcharch.membership.datagrams import Digest, Header
from notcharch.membership.knowledge import Knowledge
from notcharch.membership.records import supersedes
from notcharch.values.identifiers import DaemonName, RegionName
from notcharch.wire.messages.membership import MemberRecord, MemberStatus

GOSSIP_PER_DATAGRAM = 6
"""Records on one datagram; with them it stays below 1200 bytes."""


class HeaderWriter:
    """Draws on what this process knows; each header spends some gossip."""

    def __init__(self, region: RegionName, knowledge: Knowledge) -> None:
        """Begin without digests."""
        self._region = region
        self._knowledge = knowledge
        self._digests: dict[str, Digest] = {}

    def set_digest(self, key: str, value: int) -> None:
        """Carry a small number on every datagram from now on."""
        self._digests[key] = Digest(key, value)

    def write(self, receiver: DaemonName, heard: MemberRecord | None = None) -> Header:
        """Write a header; `heard` is what the receiver just said of itself.

        A receiver that is not known alive, or that says less of itself than is
        known, is told so, that it may refute it at once.
        """
        knowledge = self._knowledge
        gossip = knowledge.take_gossip(GOSSIP_PER_DATAGRAM)
        claim = self._claim_for(receiver, heard)
        if claim is not None and claim not in gossip:
            gossip = (claim, *gossip)
        return Header(
            self._region,
            receiver,
            knowledge.own,
            knowledge.view,
            tuple(self._digests.values()),
            gossip,
        )

    def _claim_for(
        self, receiver: DaemonName, heard: MemberRecord | None
    ) -> MemberRecord | None:
        known = self._knowledge.record_of(receiver)
        if known is None:
            return None
        is_overridden = heard is not None and supersedes(known, heard)
        if known.status is MemberStatus.ALIVE and not is_overridden:
            return None
        return known
