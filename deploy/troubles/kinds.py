"""The troubles that are played alone, as entries of the users' bench."""

import msgspec

AT_SECONDS = 8.0
"""Each trouble begins so long after the traffic."""

Field = str | float


class Trouble(msgspec.Struct, frozen=True):
    """One kind of trouble, with the strength that it is played at."""

    name: str
    """What the tables call it."""
    kind: str
    """The bench's word for it."""
    for_seconds: float
    fields: dict[str, Field] = {}
    """Further fields of the entry: `share`, `x`, `how`."""

    def entry(self, at: float = AT_SECONDS) -> dict[str, Field]:
        """Give the day's entry."""
        return {"kind": self.kind, "at": at, "for_s": self.for_seconds, **self.fields}


TROUBLES = (
    Trouble("store-down", "platform_down", 5.0, {"how": "silent"}),
    Trouble("store-busy", "platform_down", 5.0, {"how": "busy"}),
    Trouble("store-lapse", "platform_down", 5.0, {"how": "reset lapse"}),
    Trouble("store-refuses", "platform_down", 9.0, {"how": "nodes", "share": 0.35}),
    Trouble("store-slow", "platform_slow", 5.0, {"x": 60.0}),
    Trouble("store-lossy", "platform_lost", 5.0, {"x": 0.35}),
    Trouble("store-lossy-late", "platform_lost", 5.0, {"x": 0.35, "how": "late"}),
    Trouble("daemons-power", "node_kill", 3.5, {"share": 0.2, "how": "power"}),
    Trouble("daemons-frozen", "node_freeze", 4.0, {"share": 0.2}),
    Trouble("daemons-slow", "node_slow", 5.0, {"share": 0.2, "x": 5.5}),
    Trouble("daemons-cut", "node_cut", 5.5, {"share": 0.2}),
    Trouble("daemons-herd", "herd_kill", 0.0, {"share": 0.6}),
    Trouble("engines-silent", "srv_crash", 4.5, {"share": 0.17, "how": "dark"}),
    Trouble("engines-hang", "srv_grey", 5.0, {"share": 0.2, "x": 0.5, "how": "hang"}),
    Trouble("engines-slow", "srv_slow", 6.0, {"share": 0.2, "x": 4.0}),
    Trouble("answers-lost", "answer_lost", 5.0, {"share": 0.5, "x": 0.05}),
    Trouble("burst", "burst", 8.0, {"x": 2.5}),
)
PAIRS = (
    ("store-down", "daemons-herd"),
    ("store-refuses", "daemons-power"),
    ("store-slow", "burst"),
    ("daemons-cut", "burst"),
    ("engines-silent", "store-down"),
)
"""Troubles that are played together, the second two seconds after the first."""
PAIR_GAP_SECONDS = 2.0
