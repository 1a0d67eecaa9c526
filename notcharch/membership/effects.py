"""Effects returned by the failure detector for its service to carry out."""

import msgspec

from notcharch.membership.datagrams import AnyDatagram
from notcharch.values.identifiers import DaemonName, Member
from notcharch.wire.messages.membership import MemberRecord


class SendDatagram(msgspec.Struct, frozen=True):
    """Send a datagram to `host:port`."""

    address: str
    datagram: AnyDatagram


class ExchangeWith(msgspec.Struct, frozen=True):
    """Exchange the full set of records with a member over its peer connection."""

    daemon: DaemonName


class RecordChanged(msgspec.Struct, frozen=True):
    """The record of another daemon changed."""

    before: MemberRecord | None
    after: MemberRecord


class DigestChanged(msgspec.Struct, frozen=True):
    """A member published a new value of a digest."""

    member: Member
    key: str
    value: int


class SelfRefuted(msgspec.Struct, frozen=True):
    """This process refuted a claim that it is suspected or dead."""

    refutations: int


class Superseded(msgspec.Struct, frozen=True):
    """A newer process uses this daemon's name."""

    local: Member
    other: Member


class Stalled(msgspec.Struct, frozen=True):
    """This process did not run for `seconds`."""

    seconds: float


Effect = (
    SendDatagram
    | ExchangeWith
    | RecordChanged
    | DigestChanged
    | SelfRefuted
    | Superseded
    | Stalled
)
