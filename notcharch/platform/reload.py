"""Which settings of a changed file are applied, and which need a restart. Pure."""

import msgspec

from notcharch.platform.settings import ProcessSettings, StoreSettings

KEYS = {
    "machine": "node_name",
    "host": "ip_address",
    "zone": "zone",
    "front": "listen_addresses.front",
    "readiness": "listen_addresses.readiness",
    "peer_ports": "internal_port_range",
    "drain_seconds": "bounds.drain_ms",
    "contact_seconds": "bounds.contact_ms",
    "recovery_seconds": "bounds.recovery_s",
    "tolerance": "bounds.quota_*",
    "revoke_seconds": "bounds.revoke_ms",
    "cold_tolerance": "bounds.cold_*",
    "heartbeat_seconds": "heartbeat_interval_ms",
    "regions": "zones.*",
    "has_competing_callers": "contracts",
    "memory_bytes": "limits.memory_mb",
}
"""Keys of the settings file, by the fields that are kept until the process ends."""
STORE_KEYS = {
    "writes_per_second": "platform.writes_per_s",
    "reads_per_second": "platform.reads_per_s",
    "partitions": "platform.parts",
    "retention_seconds": "platform.retention_s",
    "min_lease_seconds": "platform.ttl_min_ms",
    "partition_bytes": "platform.part_mb",
}
"""The same for the fields of the store."""


def applied(in_force: ProcessSettings, read: ProcessSettings) -> ProcessSettings:
    """Return the settings in force after a reload."""
    store = msgspec.structs.replace(
        in_force.store, address=read.store.address, log_limits=read.store.log_limits
    )
    return msgspec.structs.replace(
        in_force, store=store, grace_seconds=read.grace_seconds
    )


def needing_restart(in_force: ProcessSettings, read: ProcessSettings) -> list[str]:
    """Return the keys of the settings whose new values are not in force."""
    return [
        *_changed_keys(in_force, read, KEYS),
        *_changed_keys(in_force.store, read.store, STORE_KEYS),
    ]


def _changed_keys(
    in_force: ProcessSettings | StoreSettings,
    read: ProcessSettings | StoreSettings,
    keys: dict[str, str],
) -> list[str]:
    return [
        key
        for field, key in keys.items()
        if getattr(in_force, field) != getattr(read, field)
    ]
