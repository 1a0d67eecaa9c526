"""Which engine of a service a call goes to: its home, or the least busy one. Pure."""

from collections.abc import Sequence
from random import Random
from typing import Protocol, TypeVar

import msgspec
import xxhash

HOME_SLACK_CALLS = 3
"""A home engine is kept until it has so many more of our calls than the least busy."""
KEPT_HOME_SLACK_CALLS = 8
"""The engine that has a program's prefix is left only when it is this much busier: to
read a long prefix anew costs more than some waiting."""


class RoutingPolicy(msgspec.Struct, frozen=True):
    """What the choice goes by."""

    home_slack_calls: int = HOME_SLACK_CALLS
    kept_home_slack_calls: int = KEPT_HOME_SLACK_CALLS
    uses_kept_homes: bool = True
    """Whether calls go where their program ran last."""
    hashes_homes: bool = True
    """Whether calls with one key go to one engine."""
    prefers_zone: bool = True
    """Whether engines of the own zone come first."""


class RoutingOption(Protocol):
    """An engine that takes calls."""

    @property
    def id(self) -> str:
        """Its name."""

    @property
    def zone(self) -> str:
        """Where it is."""

    @property
    def slots(self) -> int:
        """How many calls it runs at a time."""

    @property
    def in_flight(self) -> int:
        """How many of our calls are there."""


Option = TypeVar("Option", bound=RoutingOption)


class CallRouting(msgspec.Struct, frozen=True):
    """What a call brings to the choice."""

    home_key: str = ""
    """What the calls share whose prefix an engine may keep; empty: nothing."""
    kept_home: str = ""
    """The engine that has the prefix already, if one is known to."""


class EngineRouting:
    """Chooses among engines, seen from one zone."""

    def __init__(self, policy: RoutingPolicy, zone: str, random: Random) -> None:
        """Choose by a policy; `random` breaks ties."""
        self._policy = policy
        self._zone = zone
        self._random = random

    def choose(self, options: Sequence[Option], call: CallRouting) -> Option:
        """Give the engine for a call; there must be one.

        All daemons of a zone give one key the same home, in their own zone if they can.
        """
        least = min(option.in_flight / option.slots for option in options)
        kept = self._kept_home(options, call, least)
        if kept is not None:
            return kept
        if call.home_key and self._policy.hashes_homes:
            return self._home(options, call.home_key, least)
        return self._least_busy(options)

    def _kept_home(
        self, options: Sequence[Option], call: CallRouting, least: float
    ) -> Option | None:
        if not self._policy.uses_kept_homes:
            return None
        for option in options:
            if option.id == call.kept_home:
                allowed = least * option.slots + self._policy.kept_home_slack_calls
                return option if option.in_flight <= allowed else None
        return None

    def _home(self, options: Sequence[Option], key: str, least: float) -> Option:
        """Prefer the first of the engines' hashes with the key that isn't too busy."""
        slack = self._policy.home_slack_calls
        free = [
            option
            for option in options
            if option.in_flight <= least * option.slots + slack
        ]
        near = [option for option in free if self._is_near(option)]
        return min(
            near or free,
            key=lambda option: xxhash.xxh64_intdigest(f"{option.id}|{key}".encode()),
        )

    def _is_near(self, option: RoutingOption) -> bool:
        return not self._policy.prefers_zone or option.zone == self._zone

    def _least_busy(self, options: Sequence[Option]) -> Option:
        return min(
            options,
            key=lambda option: (
                option.in_flight / option.slots,
                not self._is_near(option),
                self._random.random(),
            ),
        )
