"""Events of a process and of what it depends on: 2400 to 2499."""

from typing import ClassVar

from notcharch.events.event import Event


class ProcessStarted(Event, frozen=True):
    """The process listens."""

    number: ClassVar[int] = 2400
    machine: str
    zone: str
    front: str
    peers: str
    store: str


class RetentionTooShort(Event, frozen=True):
    """The store keeps records for too short a time to keep all promises."""

    number: ClassVar[int] = 2424
    machine: str
    findings: list[str]


class SettingsRead(Event, frozen=True):
    """The settings file was read again."""

    number: ClassVar[int] = 2401
    machine: str
    findings: list[str]
    is_changed: bool


class ProcessStopping(Event, frozen=True):
    """The process was told to stop: new callers go elsewhere soon."""

    number: ClassVar[int] = 2402
    machine: str
    under_way: int


class ProcessStopped(Event, frozen=True):
    """The process ends."""

    number: ClassVar[int] = 2403
    machine: str
    under_way: int
    drain_seconds: float


class TableInForce(Event, frozen=True):
    """A newer table decides from now on."""

    number: ClassVar[int] = 2404
    version: int
    former_version: int
    routes: int


class EnginesChanged(Event, frozen=True):
    """The list of engines has other engines, or other states of them."""

    number: ClassVar[int] = 2405
    engines: int
    leaving: int
    cold: int
    """So many were cold when they wrote their entries."""
    added: list[str]
    gone: list[str]
    seconds_since_last: float
    versions: dict[str, str]
    """Software versions of the engines that are new or have another version."""


class DependencyLost(Event, frozen=True):
    """Something that this process needs doesn't answer."""

    number: ClassVar[int] = 2406
    dependency: str
    fault: str


class DependencyRegained(Event, frozen=True):
    """It answers again."""

    number: ClassVar[int] = 2407
    dependency: str
    seconds: float


class LinesDropped(Event, frozen=True):
    """Log lines were not written: the reader is slow, or there were too many."""

    number: ClassVar[int] = 2408
    routine: int
    others: int


class FollowingFailed(Event, frozen=True):
    """A fault of the program while it took changes; it begins anew."""

    number: ClassVar[int] = 2410
    topic: str
    traceback: str


class ReadinessChanged(Event, frozen=True):
    """The process takes new callers, or no more."""

    number: ClassVar[int] = 2409
    machine: str
    is_ready: bool
    cause: str


class ProcessPaused(Event, frozen=True):
    """This process did not run for a while: what it read meanwhile is that old."""

    number: ClassVar[int] = 2411
    machine: str
    seconds: float


class ZonesDrained(Event, frozen=True):
    """Zones were drained or given back: engines there get no new call, or some again."""

    number: ClassVar[int] = 2412
    drained: list[str]
    given_back: list[str]
    in_force: list[str]
    """All zones that are drained now."""
    position: int
    """In the operator's topic: the set is as of it."""
    is_from_peer: bool


class PartSkipped(Event, frozen=True):
    """A part of a feed can't be read or handled; all others of the feed are."""

    number: ClassVar[int] = 2413
    feed: str
    part: str
    """A key, an offset or a name."""
    fault: str
    """What can't be read; its last read values are used, if there are any."""


class ProcessStateChanged(Event, frozen=True):
    """The state of the process's life changed."""

    number: ClassVar[int] = 2414
    machine: str
    state: str
    former_state: str
    waiting_for: list[str]
    """What is missing until callers are served."""
    seconds: float
    """Time spent in the former state."""


class PortTaken(Event, frozen=True):
    """The process can't listen; it tries again until it can."""

    number: ClassVar[int] = 2416
    purpose: str
    host: str
    port: int
    """The first port that was tried."""
    ports: int
    """So many were tried, with consecutive numbers."""
    cause: str
    failures: int
    """Failed attempts up to now."""


class PortOpened(Event, frozen=True):
    """The process listens on a port."""

    number: ClassVar[int] = 2417
    purpose: str
    host: str
    port: int
    failures: int
    """Failed attempts before."""
    seconds: float
    """Time for which the port was missing."""


class StartFailed(Event, frozen=True):
    """An exception in the start: the process ends with status 1."""

    number: ClassVar[int] = 2418
    machine: str
    error: str
    traceback: str


class SettingsAwaited(Event, frozen=True):
    """The settings file can't be used, and is read again until it is valid."""

    number: ClassVar[int] = 2415
    findings: list[str]
    attempts: int
    """Readings since the process waits."""


class SettingsNeedRestart(Event, frozen=True):
    """The settings file was changed in what this process keeps until it ends."""

    number: ClassVar[int] = 2423
    machine: str
    fields: list[str]
    """Settings whose new values are not in force."""


class CallRefusedForStop(Event, frozen=True):
    """A planned stop refused a call, which may not have ended before the process does."""

    number: ClassVar[int] = 2419
    request: str
    program: str
    route: str
    phase: str
    """Where the call was: still read, before its admission, or before an engine."""
    basis: str
    """What its expected duration is known from."""
    expected_seconds: float
    """With its margin."""
    seconds_left: float
    """Until running calls are cut."""
    is_repeatable: bool
    runs: int
    """Number of engines that may have run the call before; with 0 it has not run."""


class DrainEnded(Event, frozen=True):
    """The end of a planned stop: how calls ended since its begin."""

    number: ClassVar[int] = 2420
    machine: str
    served: int
    refused: int
    cut: int
    unfinished_connections: int
    """Connections that were still open: their last bytes were not taken."""
    seconds: float


class CallCutByStop(Event, frozen=True):
    """A call that an engine had got was cut at the end of a planned stop."""

    number: ClassVar[int] = 2421
    request: str
    program: str
    route: str
    running_seconds: float
    is_repeatable: bool
