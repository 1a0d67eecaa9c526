"""Builds the header of every datagram: the sender, its digests and gossip."""

from notcharch.membership.datagrams import Digest, Header
from notcharch.membership.membership_state import MembershipState
from notcharch.membership.records import supersedes
from notcharch.values.identifiers import DaemonName, RegionName
from notcharch.wire.messages.membership import MemberRecord, MemberStatus

GOSSIP_PER_DATAGRAM = 6
"""Gossiped records in one datagram; keeps it below 1200 bytes."""


class HeaderWriter:
    """Builds headers from the membership state; each consumes queued gossip."""

    def __init__(self, region: RegionName, state: MembershipState) -> None:
        """Start without digests."""
        self._region = region
        self._state = state
        self._digests: dict[str, Digest] = {}

    def set_digest(self, key: str, value: int) -> None:
        """Include a digest in every header from now on."""
        self._digests[key] = Digest(key, value)

    def write(
        self, receiver: DaemonName, receiver_record: MemberRecord | None = None
    ) -> Header:
        """Build a header; `receiver_record` is what the receiver just sent of itself.

        If the receiver is not alive here, or its record is outdated, the header
        includes the record known here, so that the receiver can refute it at once.
        """
        state = self._state
        gossip = state.take_gossip(GOSSIP_PER_DATAGRAM)
        claim = self._claim_for(receiver, receiver_record)
        if claim is not None and claim not in gossip:
            gossip = (claim, *gossip)
        return Header(
            self._region,
            receiver,
            state.local_record,
            state.view_hash,
            tuple(self._digests.values()),
            gossip,
        )

    def _claim_for(
        self, receiver: DaemonName, receiver_record: MemberRecord | None
    ) -> MemberRecord | None:
        known = self._state.record_of(receiver)
        if known is None:
            return None
        is_outdated = receiver_record is not None and supersedes(known, receiver_record)
        if known.status is MemberStatus.ALIVE and not is_outdated:
            return None
        return known
