"""Log events of membership and the machine list (100 to 199)."""

from typing import ClassVar

from notcharch.events.event import Event


class MemberJoined(Event, frozen=True):
    """A process was seen for the first time."""

    number: ClassVar[int] = 100
    daemon: str
    incarnation: int
    zone: str


class MemberSuspected(Event, frozen=True):
    """A process did not answer probes; it is dead if it does not refute that."""

    number: ClassVar[int] = 101
    daemon: str
    incarnation: int


class MemberDead(Event, frozen=True):
    """A process is believed dead: its suspicion was not refuted in time."""

    number: ClassVar[int] = 102
    daemon: str
    incarnation: int


class MemberLeft(Event, frozen=True):
    """A process said that it stops."""

    number: ClassVar[int] = 103
    daemon: str
    incarnation: int


class MemberLeaving(Event, frozen=True):
    """A process or the machine list said that the machine will leave."""

    number: ClassVar[int] = 104
    daemon: str
    incarnation: int


class SuspicionRefuted(Event, frozen=True):
    """This process contradicted a suspicion of itself."""

    number: ClassVar[int] = 105
    refutations: int


class ProcessSuperseded(Event, frozen=True):
    """Another process has this daemon's name and a later start; stop this one.

    Either two machines have the same name, or this machine's clock went back.
    """

    number: ClassVar[int] = 106
    daemon: str
    own_incarnation: int
    other_incarnation: int


class ProcessStalled(Event, frozen=True):
    """This process did not run for a while; running suspicions start again."""

    number: ClassVar[int] = 107
    stalled_seconds: float


class DatagramNotUnderstood(Event, frozen=True):
    """A datagram on the membership port could not be read; it was ignored."""

    number: ClassVar[int] = 108
    source: str
    reason: str


class MembersExchanged(Event, frozen=True):
    """All records were exchanged with a member whose view differed."""

    number: ClassVar[int] = 109
    daemon: str
    records: int


class MemberRestored(Event, frozen=True):
    """A process that was believed dead has refuted it."""

    number: ClassVar[int] = 110
    daemon: str
    incarnation: int


class MachineListLost(Event, frozen=True):
    """The machine list does not answer; its last state stays in force."""

    number: ClassVar[int] = 120
    reason: str


class MachineListRestored(Event, frozen=True):
    """The machine list answers again."""

    number: ClassVar[int] = 121
