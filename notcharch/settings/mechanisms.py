"""The mechanisms of a daemon that can be switched off, to measure what each is worth."""

import enum


class Mechanism(enum.Enum):
    """One mechanism, by the name that the command line has for it."""

    STARTING_ALLOWANCE = "starting-allowance"
    """Programs begin by an allowance that was journalled before."""
    PEER_VIEWS = "peer-views"
    """Peers are asked for the owners while the store turns a daemon away."""
    RECOVERY_SIGNAL = "recovery-signal"
    """Appends, and reads of changes, are repeated as soon as a heartbeat is answered."""
    LAST_RESORT = "last-resort"
    """Engines that leave still get calls when most do."""
    KEPT_HOMES = "kept-homes"
    """Calls go where their program ran last."""
    HASHED_HOMES = "hashed-homes"
    """Programs that ran nowhere yet are spread by a hash, the same at all daemons."""
    ZONES = "zones"
    """Engines of the own zone come first."""
    SILENCE = "silence"
    """Engines that owe answers and say nothing are passed over."""
    PACE = "pace"
    """Engines whose events come slowly are passed over."""
    QUICK_HOMES = "quick-homes"
    """Programs begin at engines at which calls take no longer than at others."""
    OVERDUE = "overdue"
    """Calls whose first answer is overdue are tried again or given up."""

    TABLE_VOUCHING = "table-vouching"
    """Peers vouch for the table while the store turns a daemon away."""
    SHARED_SUSPICIONS = "shared-suspicions"
    """Daemons tell each other of engines that they suspect."""
    LIMIT_SHAPING = "limit-shaping"
    """Calls that a limit has room for in a moment wait in place of being refused."""
    COLD_FEEDING = "cold-feeding"
    """Cold engines get some calls where few are warm; without, none while they are cold."""
    SHARED_LOAD = "shared-load"
    """Engines are chosen by the calls of all daemons, where each daemon has few."""
    CALL_URGENCY = "call-urgency"
    """Engines are told which of their waiting calls are more urgent."""
    LIMIT_RESERVE = "limit-reserve"
    """Limits reserve calls for running programs, where callers compete."""
    OUTAGE_REFUSALS = "outage-refusals"
    """Calls that need the store are refused early while it is down."""


ALL_MECHANISMS = frozenset(Mechanism)


def mechanisms_without(names: str) -> frozenset[Mechanism]:
    """Give all mechanisms but those named, separated by commas.

    `ValueError` tells of a name that is none.
    """
    off = {Mechanism(name) for name in names.split(",") if name}
    return ALL_MECHANISMS - off
