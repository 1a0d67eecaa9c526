"""The sum of control: what a daemon sends and receives when no caller calls."""

import msgspec

from experiments.capacity.design_size import DesignSize
from experiments.capacity.measurement import Measurement
from notcharch.engines.claim_keeper import CLAIM_CHECK_SECONDS
from notcharch.settings.schema import EnginesSection, PlatformSection
from notcharch.table.log_follower import POLL_SECONDS

TCP_HEADER_BYTES = 52
DAY_SECONDS = 86_400
SOCKETS = {"region": "sockets"}


class BackgroundItem(msgspec.Struct, frozen=True):
    """One kind of background message: a second of one daemon, both directions."""

    name: str
    a_second: float
    bytes_each: float
    core_microseconds_each: float | None
    """None where a figure of the whole covers it."""

    source: str

    @property
    def bytes_per_second(self) -> float:
        """Sent and received."""
        return self.a_second * self.bytes_each

    @property
    def core_percent(self) -> float:
        """Processor time, where it was measured for each."""
        return 1e-4 * self.a_second * (self.core_microseconds_each or 0.0)


def background(
    size: DesignSize,
    membership: Measurement,
    polls: Measurement,
    table: Measurement,
    claim_bytes: float,
) -> list[BackgroundItem]:
    """Give every kind of background message, with the default settings.

    `claim_bytes` are those of a question for a claim and its answer, as frames.
    """
    engines, platform = EnginesSection(), PlatformSection()
    members = size.region_daemons
    wire = dict(membership.points("members", "B/s", {"region": "restarts"}))[members]
    core = dict(membership.points("members", "core %", SOCKETS))[members]
    edit_bytes = max(y for _, y in table.points("rows", "edit record bytes"))
    edit_core = max(y for _, y in table.points("rows", "edit µs"))
    log_bytes, log_core = poll_cost(polls, "log read")
    return [
        # A daemon receives as many bytes as it sends.
        BackgroundItem(
            "membership, both directions", 1.0, 2 * wire, 1e4 * core, "membership"
        ),
        BackgroundItem(
            "engine load, each second",
            size.daemon_engines / engines.load_poll_seconds,
            *poll_cost(polls, "engine load"),
            "polls",
        ),
        BackgroundItem(
            "cache events, each second",
            size.daemon_engines / engines.cache_poll_seconds,
            *poll_cost(polls, "engine cache events"),
            "polls",
        ),
        BackgroundItem(
            "machine list, each second",
            1 / platform.machine_list_poll_seconds,
            *poll_cost(polls, "machine list"),
            "polls",
        ),
        BackgroundItem(
            "steward claims: asked and answered",
            2 * size.daemon_engines / CLAIM_CHECK_SECONDS,
            claim_bytes + 2 * TCP_HEADER_BYTES,
            None,
            "scale",
        ),
        BackgroundItem(
            "table: long polls of the log",
            1 / POLL_SECONDS,
            log_bytes,
            log_core,
            "polls",
        ),
        BackgroundItem(
            "table: changes",
            size.table_changes_per_day / DAY_SECONDS,
            log_bytes + edit_bytes,
            log_core + edit_core,
            "table, polls",
        ),
    ]


def poll_cost(polls: Measurement, name: str) -> tuple[float, float]:
    """Give bytes, of both directions and headers, and core µs of one poll."""
    for row in polls.tables[0].rows:
        if row[0] == name:
            sent, received, core = (float(cell) for cell in row[1:])
            return sent + received + 2 * TCP_HEADER_BYTES, core
    raise LookupError(name)


def poll_seconds_that_fit(items: list[BackgroundItem], size: DesignSize) -> float:
    """Give the time between polls of engines with which the sum would fit."""
    polls = sum(i.bytes_per_second for i in items if i.name.endswith("each second"))
    rest = sum(i.bytes_per_second for i in items) - polls
    return polls / (size.control_bytes_per_second - rest)
