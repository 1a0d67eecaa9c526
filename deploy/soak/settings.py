"""How large a soak is, and the names that it gives to everything."""

import msgspec

HOST = "127.0.0.1"
HOST_NAME = "soak.example"
MODELS = "models"
TOOLS = "tools"
SLOW = "slow"
"""A service whose calls take as long as their bodies say."""
TOKENS_PER_EVENT = 10
VERSIONS = ("v1", "v2")
"""Of the software of engines."""
MOST_EVENTS = 12
MOST_TOKENS = MOST_EVENTS * TOKENS_PER_EVENT
BUDGET_TOKENS = 8 * MOST_TOKENS
RETENTION_SECONDS = 60.0
LOG_RETENTIONS = (12.0, 20.0, 35.0, 60.0, 300.0)
"""The store keeps records for one of these times, in seconds."""
PARTITIONS = 12
GRACE_SECONDS = 8.0
DRAIN_SECONDS = 2.0
CALL_SECONDS = 3.0
LONG_CALL_SECONDS = 9.0
"""The time of a call of the slow service; it takes 7 s at most."""
PLAIN_PATH = "/plain/"
KEPT_PATH = "/kept/"
SAFE_PATH = "/safe/"
WRITE_PATH = "/write/"
LONG_PATH = "/long/"
LONG_STREAM_PATH = "/longstream/"
HOME_PATH = "/home/"
"""Its calls may be served in one region only."""


LONG_MARK = b"takes "


def long_body(seconds: float) -> bytes:
    """Return how the body of a long call begins."""
    return LONG_MARK + b"%.3f s\n" % seconds


def long_seconds(body: bytes) -> float:
    """Return how long a call takes, by its body; 0 if that says nothing."""
    if not body.startswith(LONG_MARK):
        return 0.0
    return float(body.removeprefix(LONG_MARK).split()[0])


class SoakSize(msgspec.Struct, frozen=True):
    """How many of everything."""

    daemons: int = 4
    engines: int = 4
    tools: int = 2
    slow: int = 2
    """Engines of long calls; nothing strikes them."""
    programs: int = 16
    """At once."""
    persistent: int = 10
    """Connections that callers use until they are closed."""
    seconds: float = 60.0
    """Of faults; a calm half minute follows."""
    calm_seconds: float = 12.0
    is_planned_only: bool = False
    """Only planned stops, reloads, releases and configurations: nothing may be cut."""
