"""How large a soak is, and the names that it gives to everything."""

import msgspec

HOST = "127.0.0.1"
HOST_NAME = "soak.example"
MODELS = "models"
TOOLS = "tools"
TOKENS_PER_EVENT = 10
VERSIONS = ("v1", "v2")
"""Of the software of engines."""
MOST_EVENTS = 12
MOST_TOKENS = MOST_EVENTS * TOKENS_PER_EVENT
BUDGET_TOKENS = 8 * MOST_TOKENS
RETENTION_SECONDS = 60.0
PARTITIONS = 12
GRACE_SECONDS = 8.0
DRAIN_SECONDS = 2.0
CALL_SECONDS = 3.0
PLAIN_PATH = "/plain/"
KEPT_PATH = "/kept/"
SAFE_PATH = "/safe/"
WRITE_PATH = "/write/"
HOME_PATH = "/home/"
"""Its calls may be served in one region only."""


class SoakSize(msgspec.Struct, frozen=True):
    """How many of everything."""

    daemons: int = 4
    engines: int = 4
    tools: int = 2
    programs: int = 16
    """At once."""
    seconds: float = 60.0
    """Of faults; a calm half minute follows."""
    calm_seconds: float = 12.0
    is_planned_only: bool = False
    """Only planned stops, reloads, releases and configurations: nothing may be cut."""
