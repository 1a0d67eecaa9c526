"""What the failure detector asks its service to do."""

import msgspec

from notcharch.membership.datagrams import AnyDatagram
from notcharch.values.identifiers import DaemonName, Member
from notcharch.wire.messages.membership import MemberRecord


class SendDatagram(msgspec.Struct, frozen=True):
    """Send a datagram to `host:port`."""

    address: str
    datagram: AnyDatagram


class ExchangeWith(msgspec.Struct, frozen=True):
    """Exchange all records with a member over its peer connection."""

    daemon: DaemonName


class RecordChanged(msgspec.Struct, frozen=True):
    """The record of another daemon changed."""

    before: MemberRecord | None
    after: MemberRecord


class DigestHeard(msgspec.Struct, frozen=True):
    """A member's digest has a new value."""

    member: Member
    key: str
    value: int


class SelfRefuted(msgspec.Struct, frozen=True):
    """This process contradicted a claim that it is suspected or dead."""

    refutations: int


class Superseded(msgspec.Struct, frozen=True):
    """A later process has this daemon's name."""

    own: Member
    other: Member


class Stalled(msgspec.Struct, frozen=True):
    """This process did not run for so many seconds."""

    seconds: float


Effect = (
    SendDatagram
    | ExchangeWith
    | RecordChanged
    | DigestHeard
    | SelfRefuted
    | Superseded
    | Stalled
)
