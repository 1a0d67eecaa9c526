"""The operator's configuration of a soak, version after version."""

from typing import Any

import msgspec

from deploy.soak.settings import (
    CALL_SECONDS,
    HOME_PATH,
    HOST_NAME,
    KEPT_PATH,
    LONG_CALL_SECONDS,
    LONG_PATH,
    LONG_STREAM_PATH,
    MODELS,
    PLAIN_PATH,
    RETENTION_SECONDS,
    SAFE_PATH,
    SLOW,
    TOKENS_PER_EVENT,
    TOOLS,
    WRITE_PATH,
)
from deploy.soak.store_server import StoreServer
from deploy.soak.tenants import Tenants
from deploy.soak.zones import COLD_PER_SECOND, COLD_SECONDS, HOME_REGION
from notcharch.journal.keyed_follower import join_keyed

TOPIC = "keyed.op"
KEY = "config"
DRAIN_KEY = "evacuate/"
MILLISECONDS = 1000
LONG_TIME = {"timeout_ms": LONG_CALL_SECONDS * MILLISECONDS}
RESUMABLE = {"resumable": True}


def configuration(version: int, tenants: Tenants) -> bytes:
    """Give a version of the whole configuration."""
    routes = [
        route("plain", PLAIN_PATH, "streaming", MODELS, resumable=True),
        route("kept", KEPT_PATH, "streaming", MODELS, retains_transcripts=True),
        route("safe", SAFE_PATH, "idempotent", TOOLS),
        route("write", WRITE_PATH, "non_idempotent", TOOLS),
        route("long", LONG_PATH, "non_idempotent", SLOW, **LONG_TIME),
        route(
            "longstream", LONG_STREAM_PATH, "streaming", SLOW, **LONG_TIME, **RESUMABLE
        ),
        route("home", HOME_PATH, "idempotent", TOOLS, allowed_regions=[HOME_REGION]),
    ]
    services = [
        {
            "name": MODELS,
            "engine": {"tokens_per_event": TOKENS_PER_EVENT},
            "cold_start_s": COLD_SECONDS,
            "cold_per_s": COLD_PER_SECOND,
        },
        {"name": TOOLS},
        {"name": SLOW, "engine": {"tokens_per_event": TOKENS_PER_EVENT}},
    ]
    whole = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {},
        "tenants": tenants.entries(),
    }
    return msgspec.json.encode(whole)


def route(
    name: str, path: str, kind: str, service: str, **more: object
) -> dict[str, Any]:
    """Give a route as the operator writes it."""
    return {
        "name": name,
        "host": HOST_NAME,
        "path_prefix": path,
        "kind": kind,
        "timeout_ms": CALL_SECONDS * MILLISECONDS,
        "target_latency_ms": 200,
        "service": service,
        "retry_attempts": 2,
        "retention_s": RETENTION_SECONDS,
        "sticky_sessions": kind == "streaming",
        **more,
    }


class Operator:
    """Writes versions that rise in uneven steps; the store always serves it."""

    def __init__(self, store: StoreServer, tenants: Tenants) -> None:
        """Write the first one."""
        self._store = store
        self._tenants = tenants
        self._version = 1
        self.publish()

    def publish(self) -> None:
        """Write another version."""
        self._version += 1 + self._version % 3
        value = configuration(self._version, self._tenants)
        self._store.log.put(TOPIC, 0, join_keyed(KEY, value))

    def drain(self, zone: str) -> None:
        """Ask that the engines of a zone get nothing more."""
        self._store.log.put(TOPIC, 0, join_keyed(DRAIN_KEY + zone, b"{}"))

    def give_back(self, zone: str) -> None:
        """Take a drain back."""
        self._store.log.put(TOPIC, 0, join_keyed(DRAIN_KEY + zone, b""))
