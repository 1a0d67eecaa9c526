"""Parses the platform's settings file into typed settings."""

import math
import os
import re
from collections.abc import Mapping

import msgspec
from result import Err, Ok, Result

from notcharch.journal.interface import LogLimits
from notcharch.journal.renewal import (
    USUAL_ABSENCE_SECONDS,
    renewal_schedule,
    retention_findings,
)
from notcharch.platform.settings_file import FILE_VARIABLE, try_read
from notcharch.scheduling.cold_engines import ColdTolerance
from notcharch.tenants.partition_limits import Tolerance

PRESSURE_CONTRACT = "pressure"
"""The contract of deployments whose callers compete for capacity."""
BYTES_PER_MEGABYTE = 1024 * 1024
USUAL_PARTITION_MEGABYTES = 200.0
"""Size of a partition of the store where the settings tell none."""
MIN_PORT, MAX_PORT = 1, 65_535
MAX_NUMBER = 1e12
"""Larger values are rejected: sums and products of them could overflow."""
MAX_PARTITIONS = 25_000
"""Partitions per topic; the four topics of the accounts may have 100,000 together."""
HOST_PATTERN = re.compile(
    r"[A-Za-z0-9_-]{1,63}(\.[A-Za-z0-9_-]{1,63}){0,31}\.?"
    r"|[0-9A-Fa-f]{0,4}(:[0-9A-Fa-f]{0,4}){2,7}"
)
"""A host name, an IPv4 or an IPv6 address.

The lookup of an empty label, or of one of more than 63 characters, raises a
`UnicodeError`, which listeners and clients do not expect.
"""
PORT_PATTERN = re.compile(r"[0-9]{1,5}")


class Address(msgspec.Struct, frozen=True):
    """An IP address and a port."""

    host: str
    port: int

    def text(self) -> str:
        """Return `host:port`."""
        return f"{self.host}:{self.port}"


class StoreSettings(msgspec.Struct, frozen=True):
    """The store's address and limits."""

    address: Address
    writes_per_second: float
    reads_per_second: float
    partitions: int
    log_limits: LogLimits
    retention_seconds: float
    min_lease_seconds: float
    partition_bytes: int
    """Size beyond which a partition loses its oldest records."""


class ProcessSettings(msgspec.Struct, frozen=True):
    """The settings of this process; times in seconds."""

    machine: str
    host: str
    zone: str
    front: Address
    readiness: Address
    peer_ports: tuple[int, int]
    store: StoreSettings
    grace_seconds: float
    drain_seconds: float
    contact_seconds: float
    """Time after a disturbance within which a daemon must meet all bounds again."""
    recovery_seconds: float = USUAL_ABSENCE_SECONDS
    """Time after a loss of all daemons within which calls must be served again."""
    tolerance: Tolerance = Tolerance()
    """How far tenants' limits may be exceeded."""
    revoke_seconds: float | None = None
    """Time within which a removed key stops working at all daemons, whatever fails.

    None: a removed key stops working with the next table that a daemon receives.
    """
    cold_tolerance: ColdTolerance = ColdTolerance()
    """How far the rate of cold engines may be exceeded."""
    heartbeat_seconds: float = 1.2
    """Interval at which an engine rewrites its entry in the store."""
    regions: Mapping[str, str] = {}
    """The region of each zone."""
    has_competing_callers: bool = False
    """Whether callers compete for less capacity than they need."""
    memory_bytes: int = 0
    """Memory limit of this process; 0 if unknown."""


class Fields:
    """Fields of the form `a.b=value`, and the errors found in them."""

    def __init__(self, text: str) -> None:
        """Parse the lines of `text`."""
        self.values: dict[str, str] = {}
        self.errors: list[str] = []
        for line in text.splitlines():
            key, has_value, value = line.partition("=")
            if has_value:
                self.values[key.strip()] = value.strip()

    def text(self, key: str, default: str | None = None) -> str:
        """Return a value as text; a missing one is an error."""
        value = self.values.get(key) or default
        if value is None:
            self.errors.append(f"{key}: missing")
            return ""
        return value

    def number(self, key: str, default: float | None = None) -> float:
        """Return a value as a finite number that is not negative."""
        value = self.text(key, None if default is None else str(default))
        try:
            number = float(value)
        except ValueError:
            if value:
                self.errors.append(f"{key}: {value!r} is not a number")
            return 0.0
        if math.isfinite(number) and 0.0 <= number <= MAX_NUMBER:
            return number
        self.errors.append(f"{key}: {value!r} is not between 0 and {MAX_NUMBER:g}")
        return 0.0

    def positive_number(self, key: str, default: float | None = None) -> float:
        """Return a value as a finite number above 0."""
        error_count = len(self.errors)
        number = self.number(key, default)
        if number == 0.0 and len(self.errors) == error_count:
            self.errors.append(f"{key}: must be above 0")
        return number

    def count(self, key: str, default: int, maximum: int) -> int:
        """Return a value as a whole number between 1 and `maximum`."""
        error_count = len(self.errors)
        number = self.number(key, default)
        if len(self.errors) > error_count:
            return 1
        if not number.is_integer() or not 1 <= number <= maximum:
            self.errors.append(f"{key}: not a whole number between 1 and {maximum}")
            return 1
        return int(number)

    def host(self, key: str) -> str:
        """Return a value that is an IPv4 address or a host name."""
        value = self.text(key)
        if value and not HOST_PATTERN.fullmatch(value):
            self.errors.append(f"{key}: {value!r} is not an address")
        return value

    def address(self, key: str) -> Address:
        """Return a value of the form HOST:PORT."""
        value = self.text(key)
        host, _, port = value.rpartition(":")
        if HOST_PATTERN.fullmatch(host) and _is_port(port):
            return Address(host, int(port))
        if value:
            self.errors.append(f"{key}: {value!r} is not HOST:PORT")
        return Address("", 0)

    def table(self, prefix: str) -> dict[str, str]:
        """Return the values of all fields with a prefix, by the rest of their keys."""
        return {
            key.removeprefix(prefix): value
            for key, value in self.values.items()
            if key.startswith(prefix) and value
        }

    def list(self, key: str) -> tuple[str, ...]:
        """Return the items of a value that joins them by commas; none if it is missing."""
        value = self.values.get(key, "")
        return tuple(item for item in value.split(",") if item)

    def port_range(self, key: str) -> tuple[int, int]:
        """Return a value of the form FIRST,LAST; both are ports in the range."""
        value = self.text(key)
        first, _, last = value.partition(",")
        if _is_port(first) and _is_port(last) and int(first) <= int(last):
            return (int(first), int(last))
        if value:
            self.errors.append(f"{key}: {value!r} is not FIRST,LAST, a range of ports")
        return (0, 0)


def _is_port(text: str) -> bool:
    is_number = PORT_PATTERN.fullmatch(text) is not None
    return is_number and MIN_PORT <= int(text) <= MAX_PORT


def _revoke_seconds(fields: Fields) -> float | None:
    """Return the time bound for removed keys, if there is one."""
    is_strict = fields.text("bounds.strict_revocation", "false") == "true"
    return fields.positive_number("bounds.revoke_ms") / 1000 if is_strict else None


def _log_limits(fields: Fields) -> LogLimits:
    """Return the limits of the store; the usual ones where none are given."""
    usual = LogLimits()
    return LogLimits(
        int(fields.number("platform.record_bytes", 0)) or usual.record_bytes,
        int(fields.number("platform.call_bytes", 0)) or usual.call_bytes,
    )


def _partition_bytes(fields: Fields) -> int:
    megabytes = fields.number("platform.part_mb", 0) or USUAL_PARTITION_MEGABYTES
    return int(megabytes * BYTES_PER_MEGABYTE)


def read_settings(text: str) -> Result[ProcessSettings, list[str]]:
    """Parse the settings file's text; an Err lists every error in it."""
    fields = Fields(text)
    store = StoreSettings(
        address=fields.address("platform.address"),
        writes_per_second=fields.number("platform.writes_per_s", 800),
        reads_per_second=fields.number("platform.reads_per_s", 2000),
        partitions=fields.count("platform.parts", 1, MAX_PARTITIONS),
        log_limits=_log_limits(fields),
        retention_seconds=fields.positive_number("platform.retention_s", 300),
        min_lease_seconds=fields.number("platform.ttl_min_ms", 1000) / 1000,
        partition_bytes=_partition_bytes(fields),
    )
    settings = ProcessSettings(
        machine=fields.text("node_name"),
        host=fields.host("ip_address"),
        zone=fields.text("zone"),
        front=fields.address("listen_addresses.front"),
        readiness=fields.address("listen_addresses.readiness"),
        peer_ports=fields.port_range("internal_port_range"),
        store=store,
        grace_seconds=fields.positive_number("bounds.grace_period_s", 8),
        drain_seconds=fields.number("bounds.drain_ms", 2000) / 1000,
        contact_seconds=fields.number("bounds.contact_ms", 3000) / 1000,
        recovery_seconds=fields.number("bounds.recovery_s", USUAL_ABSENCE_SECONDS),
        tolerance=Tolerance(
            fields.positive_number("bounds.quota_window_s", 5),
            fields.number("bounds.quota_over", 0),
            fields.number("bounds.quota_slack", 0),
        ),
        revoke_seconds=_revoke_seconds(fields),
        cold_tolerance=ColdTolerance(
            fields.number("bounds.cold_over", 1),
            fields.number("bounds.cold_slack", 0),
        ),
        heartbeat_seconds=fields.number("heartbeat_interval_ms", 1200) / 1000,
        regions=fields.table("zones."),
        has_competing_callers=PRESSURE_CONTRACT in fields.list("contracts"),
        memory_bytes=int(fields.number("limits.memory_mb", 0) * BYTES_PER_MEGABYTE),
    )
    return Err(fields.errors) if fields.errors else Ok(settings)


def retention_warnings(settings: ProcessSettings) -> list[str]:
    """Return which promises the store's retention of records can't keep."""
    store = settings.store
    schedule = renewal_schedule(
        store.retention_seconds, store.partition_bytes, settings.recovery_seconds
    )
    found = retention_findings(
        schedule, store.retention_seconds, settings.recovery_seconds
    )
    return [f"platform.retention_s: {finding}" for finding in found]


def settings_text(content: bytes | OSError) -> Result[str, list[str]]:
    """Return the text of a settings file from what reading it gave."""
    if isinstance(content, OSError):
        return Err([f"{content.filename}: {content.strerror}"])
    try:
        return Ok(content.decode())
    except UnicodeDecodeError as error:
        return Err([f"settings file: no valid UTF-8 at byte {error.start}"])


def read_settings_file() -> Result[str, list[str]]:
    """Return the text of the settings file named by the environment variable."""
    path = os.environ.get(FILE_VARIABLE)
    if not path:
        return Err([f"{FILE_VARIABLE}: not set"])
    return settings_text(try_read(path))


def load_settings() -> Result[ProcessSettings, list[str]]:
    """Read and parse the settings file."""
    return read_settings_file().and_then(read_settings)
