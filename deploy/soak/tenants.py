"""The tenants of a soak: their keys, which the operator exchanges, and their limits."""

from random import Random

import msgspec

REVOKE_SECONDS = 4.0
"""A removed key stops working within this time, whatever fails."""
WINDOW_SECONDS = 5.0
OVER_SHARE = 0.1
SLACK_CALLS = 20.0
"""How far a limit may be exceeded within a window, as the platform's settings tell it."""
NEVER_HELD = "never-held"
"""A key that no configuration has."""
LEARN_SECONDS = 3.0
"""Callers use a new key only after this time, when connected daemons have it."""


class SoakTenant(msgspec.Struct):
    """A tenant, its keys now, and when others were taken away."""

    name: str
    rate_per_second: float = 0.0
    """0: no limit."""
    burst: float = 0.0
    keys: dict[str, float] = {}
    """The keys in force, with the seconds at which each was added."""
    removed: dict[str, float] = {}
    """Keys that were taken away, with the seconds of the acknowledgement."""

    @property
    def most_in_window(self) -> float:
        """Give how many calls may run within a window."""
        within = self.rate_per_second * WINDOW_SECONDS + self.burst
        return within * (1 + OVER_SHARE) + SLACK_CALLS


class Tenants:
    """All tenants of a soak."""

    def __init__(self, random: Random) -> None:
        """Begin with two tenants without a limit, and one that asks for too much."""
        self._random = random
        self._numbers = 0
        self.all = [
            SoakTenant("open-a"),
            SoakTenant("open-b"),
            SoakTenant("limited", rate_per_second=8.0, burst=8.0),
        ]
        for tenant in self.all:
            for _ in range(2):
                tenant.keys[self._new_key()] = -LEARN_SECONDS

    def _new_key(self) -> str:
        self._numbers += 1
        return f"key{self._numbers:06}-{self._random.randrange(10**9)}"

    def entries(self) -> list[dict[str, object]]:
        """Give them as the operator writes them."""
        return [
            {
                "name": tenant.name,
                "api_keys": list(tenant.keys),
                "rate_per_s": tenant.rate_per_second,
                "burst": tenant.burst,
            }
            for tenant in self.all
        ]

    def exchange(self, now: float) -> str:
        """Take the oldest key of a tenant away and add another; give its name."""
        tenant = self._random.choice(self.all)
        oldest = min(tenant.keys, key=lambda key: tenant.keys[key])
        del tenant.keys[oldest]
        tenant.removed[oldest] = now
        tenant.keys[self._new_key()] = now
        return tenant.name

    def choose(self) -> SoakTenant:
        """Give the tenant of a new program."""
        return self._random.choice(self.all)

    def key(self, tenant: SoakTenant, now: float) -> str:
        """Give a key that a caller uses: now and then one that must not work."""
        drawn = self._random.random()
        if drawn < 0.01:
            return NEVER_HELD
        if drawn < 0.05 and tenant.removed:
            return self._random.choice(list(tenant.removed))
        known = [key for key, at in tenant.keys.items() if now - at >= LEARN_SECONDS]
        return self._random.choice(known or list(tenant.keys))

    def named(self, name: str) -> SoakTenant | None:
        """Give a tenant by its name."""
        return next((tenant for tenant in self.all if tenant.name == name), None)
