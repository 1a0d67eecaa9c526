"""Datagrams of the membership protocol, encoded as JSON arrays.

Every datagram carries the sender's record, a hash of its membership view, its
digests and a bounded number of gossiped records.
"""

import msgspec
from result import Err, Ok, Result

from notcharch.values.decoding import DECODING_ERRORS
from notcharch.values.identifiers import DaemonName, RegionName
from notcharch.wire.messages.membership import MemberRecord


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """An integer published by another subsystem, such as a table version."""

    key: str
    value: int


class Header(msgspec.Struct, frozen=True, array_like=True):
    """The fields common to all datagrams; `view` hashes the sender's live members."""

    region: RegionName
    receiver: DaemonName
    sender: MemberRecord
    view: int
    digests: tuple[Digest, ...]
    gossip: tuple[MemberRecord, ...]


class Datagram(msgspec.Struct, frozen=True, array_like=True, tag_field="kind"):
    """Base of all datagrams; the initiator of a probe chooses its number."""

    header: Header
    probe: int


class ProbeDatagram(Datagram, frozen=True, tag="probe"):
    """Requests an acknowledgement from the receiver."""


class AckDatagram(Datagram, frozen=True, tag="ack"):
    """Acknowledges a probe."""


class RelayDatagram(Datagram, frozen=True, tag="relay"):
    """Requests an indirect probe: the receiver probes `target` for the sender."""

    target: DaemonName
    target_address: str


class RelayAckDatagram(Datagram, frozen=True, tag="relay_ack"):
    """Reports to the requester that the target acknowledged an indirect probe."""


AnyDatagram = ProbeDatagram | AckDatagram | RelayDatagram | RelayAckDatagram

_encoder = msgspec.json.Encoder()
_decoder: msgspec.json.Decoder[AnyDatagram] = msgspec.json.Decoder(AnyDatagram)


def encode(datagram: AnyDatagram) -> bytes:
    """Encode a datagram as JSON."""
    return _encoder.encode(datagram)


def decode(payload: bytes) -> Result[AnyDatagram, str]:
    """Decode a datagram; an Err holds the reason why it is malformed."""
    try:
        return Ok(_decoder.decode(payload))
    except DECODING_ERRORS as error:
        return Err(str(error))
