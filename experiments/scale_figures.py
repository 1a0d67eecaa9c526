"""What the scale run gives: figures of one region, and their JSON form.

Times are virtual seconds, processor times real ones; None is "not within the limit".
"""

import msgspec


class MessageRate(msgspec.Struct, frozen=True):
    """What one daemon sent of a type of message, a second, on average."""

    name: str
    messages: float
    bytes: float


class PhaseFigures(msgspec.Struct, frozen=True):
    """A stretch of time: the traffic and the processor time of one daemon, a second.

    Bytes are those of the frames and datagrams, without IP and TCP or UDP headers.
    """

    name: str
    seconds: float
    calls_per_daemon_second: float
    calls_answered: int
    calls_failed: int
    core_percent: float
    busiest_daemon_bytes: float
    """Bytes a second of the daemon that sent most."""

    rates: tuple[MessageRate, ...]

    @property
    def messages(self) -> float:
        """All messages of one daemon, a second."""
        return sum(rate.messages for rate in self.rates)

    @property
    def bytes(self) -> float:
        """All bytes that one daemon sent, a second."""
        return sum(rate.bytes for rate in self.rates)


class LossFigures(msgspec.Struct, frozen=True):
    """How long after a loss each thing held again."""

    name: str
    daemons_lost: int
    membership_seconds: float | None
    leaders_seconds: float | None
    stewards_seconds: float | None
    bytes_per_daemon: float
    """Sent by each daemon that was left, from the loss until all held."""

    core_seconds_per_daemon: float


class RegionFigures(msgspec.Struct, frozen=True):
    """One region of hollow daemons."""

    daemons: int
    engines: int
    partitions: int
    zones: int
    seed: int
    cold: bool
    start_membership_seconds: float | None
    start_leaders_seconds: float | None
    start_stewards_seconds: float | None
    """From when the engines were listed."""

    table_seconds: float | None
    table_log_down_seconds: float | None
    """From the outage, which began when one daemon had the publication."""

    resident_bytes_per_daemon: float
    phases: tuple[PhaseFigures, ...]
    losses: tuple[LossFigures, ...]
    processor_seconds: float


class Surroundings(msgspec.Struct, frozen=True):
    """The machine of a run."""

    cores: int
    python: str
    load_before: float
    load_after: float


class ScaleResults(msgspec.Struct, frozen=True):
    """All regions of one run; `regions_of` gives how they are put together."""

    command: str
    surroundings: Surroundings
    together: bool
    """Whether the regions stand for one system of several regions."""

    regions: tuple[RegionFigures, ...]
    real_seconds: float
