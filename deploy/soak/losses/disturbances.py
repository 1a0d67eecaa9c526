"""Which disruptions excuse a request, and whether a daemon was in touch."""

from collections.abc import Iterable

from deploy.soak.losses.records import CONTACT_SECONDS, Disruption, Evidence
from deploy.soak.observations import Asked


def excusing(disruptions: Iterable[Disruption], *, is_stream: bool) -> list[Disruption]:
    """Return the disruptions that may excuse a request.

    Trouble of the store alone excuses streams only; safe and unsafe requests are to be
    served without the store.
    """
    return [one for one in disruptions if is_stream or not one.is_store]


def touches(disruption: Disruption, begin: float, end: float) -> bool:
    """Return whether a disruption lies within a time, or within contact before it."""
    return disruption.began <= end and disruption.ended >= begin - CONTACT_SECONDS


def was_disturbed(evidence: Evidence, asked: Asked) -> bool:
    """Return whether anything unplanned happened from contact before a request to its end."""
    return any(
        touches(one, asked.begun_at or asked.sent_at, asked.ended_at)
        for one in excusing(evidence.disruptions, is_stream=asked.is_stream)
        if not one.is_planned
    )


def was_in_touch(evidence: Evidence, asked: Asked) -> bool:
    """Return whether the daemon of a request was in touch from its begin to its end."""
    return not any(
        touches(one, asked.at, asked.ended_at or asked.at)
        for one in excusing(evidence.disruptions, is_stream=asked.is_stream)
        if one.daemon in ("", asked.daemon)
    )
