"""Every key of a daemon's settings file, with unit, default and range.

A section is a struct; each field's `msgspec.Meta` gives the range and the text of
the committed example (docs/notcharch.example.toml), which CI compares with this.
"""

from typing import Annotated

import msgspec
from msgspec import Meta


class Section(msgspec.Struct, frozen=True, kw_only=True):
    """The base of a section of the settings file."""


class DaemonSection(Section, frozen=True, kw_only=True):
    """This process: its name, place and addresses."""

    name: Annotated[
        str, Meta(min_length=1, description="name, unique in the region")
    ] = "daemon-1"
    region: Annotated[
        str, Meta(min_length=1, pattern="^[a-z0-9_]+$", description="region")
    ] = "region1"
    zone: Annotated[str, Meta(min_length=1, description="zone (failure domain)")] = (
        "zone1"
    )
    host: Annotated[
        str, Meta(description="IP number that callers, operators and peers use")
    ] = "127.0.0.1"
    http_port: Annotated[
        int, Meta(ge=0, le=65_535, description="TCP port of the HTTP interface")
    ] = 8080
    peer_port: Annotated[
        int,
        Meta(
            ge=0,
            le=65_535,
            description="port of the other daemons: TCP for requests, UDP for probes",
        ),
    ] = 8081
    drain_seconds: Annotated[
        float,
        Meta(gt=0, le=3600, description="longest wait for running calls on a stop"),
    ] = 120.0


class PlatformSection(Section, frozen=True, kw_only=True):
    """Addresses of the outside systems, `host:port`."""

    log: Annotated[str, Meta(description="log service")] = "127.0.0.1:9000"
    log_record_bytes: Annotated[
        int, Meta(ge=1024, description="largest record of the log service, bytes")
    ] = 262_144
    log_call_bytes: Annotated[
        int, Meta(ge=2048, description="largest append of the log service, bytes")
    ] = 2_097_152
    machine_list: Annotated[str, Meta(description="machine list")] = "127.0.0.1:9000"
    weight_store: Annotated[str, Meta(description="weight store")] = "127.0.0.1:9000"
    request_seconds: Annotated[
        float, Meta(gt=0, le=600, description="time-out of one request, seconds")
    ] = 10.0
    machine_list_poll_seconds: Annotated[
        float, Meta(gt=0, le=60, description="time between polls, seconds")
    ] = 1.0


class MembershipSection(Section, frozen=True, kw_only=True):
    """SWIM failure detection between the daemons of the region."""

    probe_seconds: Annotated[
        float, Meta(gt=0, le=60, description="time between probes, seconds")
    ] = 1.0
    probe_timeout_seconds: Annotated[
        float, Meta(gt=0, le=60, description="wait for a direct answer, seconds")
    ] = 0.3
    indirect_probes: Annotated[
        int, Meta(ge=1, le=10, description="members asked to probe indirectly")
    ] = 3
    suspicion_seconds: Annotated[
        float, Meta(gt=0, le=600, description="suspected for so long is dead, seconds")
    ] = 4.0


class PartitionsSection(Section, frozen=True, kw_only=True):
    """Partitions of the region's state, journalled in the log service."""

    partition_count: Annotated[
        int,
        Meta(ge=1, le=65_536, description="partitions of the region; never changed"),
    ] = 64
    topic_partitions: Annotated[
        int,
        Meta(ge=1, le=1024, description="partitions of a topic of the log service"),
    ] = 16
    lease_seconds: Annotated[
        float,
        Meta(gt=0, le=60, description="a silent leader is replaced after, seconds"),
    ] = 3.0
    commit_seconds: Annotated[
        float, Meta(gt=0, le=60, description="longest wait for the log, seconds")
    ] = 5.0
    snapshot_seconds: Annotated[
        float,
        Meta(
            gt=0,
            le=86_400,
            description="greatest age of a snapshot; the log keeps records for longer",
        ),
    ] = 100.0


class GatewaySection(Section, frozen=True, kw_only=True):
    """Limits of the callers' HTTP interface."""

    body_bytes: Annotated[
        int, Meta(ge=1024, description="largest request body, bytes")
    ] = 8 * 1024 * 1024
    header_bytes: Annotated[
        int, Meta(ge=1024, description="largest request header, bytes")
    ] = 16 * 1024
    messages_per_call: Annotated[
        int, Meta(ge=1, description="new messages in one call, count")
    ] = 256
    idle_seconds: Annotated[
        float, Meta(gt=0, description="idle connections are closed after, seconds")
    ] = 120.0
    answer_wait_seconds: Annotated[
        float, Meta(gt=0, description="longest wait for a late answer, seconds")
    ] = 60.0


class ProgramsSection(Section, frozen=True, kw_only=True):
    """Leaders of programs: waiting calls, lost gateways, ended programs."""

    early_wait_seconds: Annotated[
        float,
        Meta(gt=0, le=60, description="longest wait of a call that came too early"),
    ] = 2.0
    gateway_dead_seconds: Annotated[
        float,
        Meta(gt=0, le=3600, description="a gateway missing for so long lost its calls"),
    ] = 15.0
    attempt_seconds: Annotated[
        float, Meta(gt=0, le=86_400, description="longest run of one attempt, seconds")
    ] = 3600.0
    sweep_seconds: Annotated[
        float,
        Meta(gt=0, le=60, description="time between looks at lost calls and releases"),
    ] = 1.0
    retention_seconds: Annotated[
        float,
        Meta(gt=0, le=86_400, description="answers of an ended program are kept for"),
    ] = 600.0
    history_bytes: Annotated[
        int,
        Meta(ge=0, description="led histories above this go to the log service"),
    ] = 24 * 1024 * 1024


class EnginesSection(Section, frozen=True, kw_only=True):
    """Stewards of engines."""

    load_poll_seconds: Annotated[
        float, Meta(gt=0, le=60, description="time between load reads, seconds")
    ] = 1.0
    cache_poll_seconds: Annotated[
        float, Meta(gt=0, le=600, description="time between event reads, seconds")
    ] = 1.0
    sweep_seconds: Annotated[
        float,
        Meta(gt=0, le=3600, description="time between checks for ended programs"),
    ] = 10.0
    queue_limit: Annotated[
        int, Meta(ge=1, description="longest queue of an engine, calls")
    ] = 1000
    move_tokens_per_second: Annotated[
        float,
        Meta(
            ge=0,
            description="expected rate of moving a prefix between engines; 0 for never",
        ),
    ] = 100_000.0


class ServicesSection(Section, frozen=True, kw_only=True):
    """Leased allotments of services' concurrency."""

    lease_seconds: Annotated[
        float, Meta(gt=0, le=600, description="length of a lease, seconds")
    ] = 30.0
    clock_drift: Annotated[
        float, Meta(ge=0, le=0.5, description="greatest clock drift, as a fraction")
    ] = 0.05
    longest_call_seconds: Annotated[
        float,
        Meta(
            gt=0,
            le=3600,
            description="slots of a lapsed lease are kept so long for running calls",
        ),
    ] = 120.0


class TableSection(Section, frozen=True, kw_only=True):
    """The table's replica."""

    fetch_delay_seconds: Annotated[
        float,
        Meta(
            ge=0,
            le=60,
            description="longest wait for the log before a peer is asked, seconds",
        ),
    ] = 1.0


class OperatorKey(msgspec.Struct, frozen=True):
    """An operator's key: the hex SHA-256 of its text, and its role."""

    name: str
    key_sha256: Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]
    role: Annotated[str, Meta(pattern="^(viewer|editor|administrator)$")]


class OperatorsSection(Section, frozen=True, kw_only=True):
    """Operators' keys, apart from callers' keys (which are in the table)."""

    keys: Annotated[
        tuple[OperatorKey, ...],
        Meta(
            description="list of {name, key_sha256, role}; viewer, editor, administrator"
        ),
    ] = ()


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon's whole settings."""

    daemon: DaemonSection = DaemonSection()
    platform: PlatformSection = PlatformSection()
    membership: MembershipSection = MembershipSection()
    partitions: PartitionsSection = PartitionsSection()
    gateway: GatewaySection = GatewaySection()
    programs: ProgramsSection = ProgramsSection()
    engines: EnginesSection = EnginesSection()
    services: ServicesSection = ServicesSection()
    table: TableSection = TableSection()
    operators: OperatorsSection = OperatorsSection()
