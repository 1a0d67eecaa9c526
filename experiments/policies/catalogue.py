"""All policies by name: baselines, notcharch, and notcharch without one part each."""

from experiments.policies.balancers import LeastLoaded, PrefixHashing, RoundRobin
from experiments.policies.interface import PolicySpec
from experiments.policies.notcharch_policy import NotcharchPolicy
from experiments.policies.variant import ABLATIONS, SHIPPED, NotcharchVariant


def _notcharch(name: str, summary: str, variant: NotcharchVariant) -> PolicySpec:
    return PolicySpec(
        name, summary, lambda room, seed: NotcharchPolicy(room, seed, variant)
    )


NOTCHARCH = "notcharch"
LEAST_LOADED = "least-loaded"
PREFIX_HASHING = "prefix-hashing"
ROUND_ROBIN = "round-robin"

BASELINES = (
    PolicySpec(ROUND_ROBIN, "engines in turn", lambda room, _: RoundRobin(room)),
    PolicySpec(
        LEAST_LOADED,
        "fewest open calls, first come first served",
        lambda room, _: LeastLoaded(room),
    ),
    PolicySpec(
        PREFIX_HASHING,
        "hash of the program, first come first served",
        lambda room, _: PrefixHashing(room),
    ),
)

POLICIES = {
    spec.name: spec
    for spec in (
        *BASELINES,
        _notcharch(NOTCHARCH, "the policy as shipped", SHIPPED),
        *(
            _notcharch(name, f"notcharch with {name.replace('-', ' ')}", variant)
            for name, variant in ABLATIONS.items()
        ),
    )
}
"""By name, in the order of tables."""
