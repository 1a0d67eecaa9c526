"""The datagrams of membership, as JSON arrays.

Every datagram carries its sender's own record, a hash of its view, its digests
and a bounded number of records that are being spread.
"""

import msgspec
from result import Err, Ok, Result

from notcharch.values.identifiers import DaemonName, RegionName
from notcharch.wire.codec import DECODING_ERRORS
from notcharch.wire.messages.membership import MemberRecord


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """A small number of another subsystem, such as a table version."""

    key: str
    value: int


class Header(msgspec.Struct, frozen=True, array_like=True):
    """What every datagram carries; `view` hashes the sender's living members."""

    region: RegionName
    receiver: DaemonName
    sender: MemberRecord
    view: int
    digests: tuple[Digest, ...]
    gossip: tuple[MemberRecord, ...]


class Datagram(msgspec.Struct, frozen=True, array_like=True, tag_field="kind"):
    """The base of datagrams; whoever begins a probe chooses its number."""

    header: Header
    probe: int


class ProbeDatagram(Datagram, frozen=True, tag="probe"):
    """Asks the receiver to acknowledge."""


class AckDatagram(Datagram, frozen=True, tag="ack"):
    """Acknowledges a probe."""


class RelayDatagram(Datagram, frozen=True, tag="relay"):
    """Asks the receiver to probe another daemon for the sender."""

    target: DaemonName
    target_address: str


class RelayAckDatagram(Datagram, frozen=True, tag="relay_ack"):
    """Tells the asker that the relayed probe was acknowledged."""


AnyDatagram = ProbeDatagram | AckDatagram | RelayDatagram | RelayAckDatagram

_encoder = msgspec.json.Encoder()
_decoder: msgspec.json.Decoder[AnyDatagram] = msgspec.json.Decoder(AnyDatagram)


def encode(datagram: AnyDatagram) -> bytes:
    """Encode a datagram."""
    return _encoder.encode(datagram)


def decode(payload: bytes) -> Result[AnyDatagram, str]:
    """Decode a datagram; the Err says why it cannot be read."""
    try:
        return Ok(_decoder.decode(payload))
    except DECODING_ERRORS as error:
        return Err(str(error))
