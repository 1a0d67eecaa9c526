"""What a play notes for its oracle: turns with their tries, disruptions, planned work."""

import msgspec

from deploy.soak.observations import Asked, Run, Violation

CONTACT_SECONDS = 3.0
"""`bounds.contact_ms`: how long a disruption counts after its end."""
CONFIG_APPLY_SECONDS = 2.0
"""`bounds.config_apply_ms`."""
LOSS_SLACK_SECONDS = 0.2
"""`bounds.loss_slack_ms`."""
RECOVERY_SECONDS = 12.0
"""`bounds.recovery_s`."""
LAST_SECONDS = 4.0
"""The end of the recovery, in which every turn has to reach an engine."""
SLOTS = 8
"""Calls that an engine of a play takes at once."""


class PlayTurn(msgspec.Struct):
    """A turn of a program, and every try of it."""

    id: str
    program: str
    aim: float
    """When its program should be over, in clock seconds."""
    previous: str = ""
    """The turn that it goes on from; empty for a first turn."""
    previous_ended_at: float = 0.0
    """When the answer of that turn ended."""
    tries: list[Asked] = []


class Disruption(msgspec.Struct):
    """Something that keeps daemons out of contact from its begin to its end."""

    daemon: str
    """Empty: all of them."""
    began: float
    ended: float = float("inf")
    is_planned: bool = False
    """Whether it is the stop or the start of planned work."""
    is_store: bool = False
    """Whether it is trouble of the store alone."""


class PlannedStop(msgspec.Struct, frozen=True):
    """A SIGTERM."""

    daemon: str
    at: float


class Reload(msgspec.Struct, frozen=True):
    """A SIGHUP."""

    daemon: str
    at: float


class Published(msgspec.Struct, frozen=True):
    """A new configuration, which the store acknowledges at once."""

    version: int
    at: float


class RouteProbe(msgspec.Struct, frozen=True):
    """A request on the route that only the newest configuration has."""

    daemon: str
    at: float
    status: int
    """0 without an answer."""


class Evidence(msgspec.Struct):
    """Everything that was seen of a play."""

    budget_tokens: int
    most_tokens: int
    """The most that one turn may generate."""
    engine_slots: int
    """Of all engines of the turns together."""
    asked: dict[str, Asked]
    runs: dict[str, list[Run]]
    turns: list[PlayTurn] = []
    disruptions: list[Disruption] = []
    stops: list[PlannedStop] = []
    reloads: list[Reload] = []
    published: list[Published] = []
    probes: list[RouteProbe] = []
    final_fault_at: float = float("inf")
    back_at: float = float("inf")
    """When all daemons had been started again after the final fault."""

    @property
    def kept_turns(self) -> list[PlayTurn]:
        """The turns that go on from a kept one."""
        return [turn for turn in self.turns if turn.previous]

    @property
    def first_turns(self) -> list[PlayTurn]:
        """The turns with which programs begin."""
        return [turn for turn in self.turns if not turn.previous]

    def has_reached(self, asked: Asked) -> bool:
        """Return whether an engine ran a try."""
        return bool(self.runs.get(asked.id))


class Judgement(msgspec.Struct, frozen=True):
    """What one way found."""

    way: str
    examined: int
    """Cases in which the rule could have been broken; 0: this was not played."""
    violations: list[Violation]
