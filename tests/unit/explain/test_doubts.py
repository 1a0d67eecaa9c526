"""From a request refused for doubt to who lost what is doubted."""

import msgspec

from notcharch.events.accounts import BudgetDoubted, DoubtTaken, GatewayLost
from notcharch.explain.explanation import explain
from notcharch.explain.log_lines import read_lines
from notcharch.tenants.scope import scoped_name
from notcharch.values.doubts import DoubtCause, DoubtSource
from tests.unit.explain.test_explanation import line, refused

LOST_CALL = DoubtSource(DoubtCause.LOST_CALL, 570, "c7", "d1 1")
FORMER = DoubtSource(DoubtCause.FORMER_BOUND, 285, offset=17)
SOURCES = (FORMER, LOST_CALL)


def doubted(*sources) -> BudgetDoubted:
    return BudgetDoubted(
        "r", "p", 5, 8, 900, 100, 285, 0, 570, 570, retry_seconds=0.2, sources=sources
    )


def explained(*lines: str):
    return explain("r", list(read_lines(lines)))


def test_the_sources_of_a_doubt_are_named():
    """Guards against a 503 whose lines tell how much is doubted and not whose loss it was."""
    found = explained(
        line(1.0, "b", doubted(*SOURCES)), line(1.1, "a", refused(reason="in doubt"))
    )
    assert found.is_explained
    assert found.cause == (
        "it is not known what its program has used of its budget of 900 tokens: 100 "
        "certain, 285 doubted, 0 unproven, 570 under way, and this call may need 570; in "
        "doubt: 285 of the bound of a former owner, record at 17; 570 of a call whose end "
        "nobody told, c7 at d1 1; the caller was told to retry after 0.2 s"
    )


def test_earlier_lines_of_the_program_and_of_the_lost_gateway_are_shown():
    """Guards against an explanation that only covers the seconds before the refusal."""
    lost = line(1.0, "b", GatewayLost("d1", 1, "not connected"))
    other = line(1.0, "b", GatewayLost("d2", 1, "not connected"))
    taken = line(1.1, "b", DoubtTaken("p", 5, 8, 855, SOURCES, omitted_lines=0))
    others = line(1.1, "b", DoubtTaken("q", 5, 8, 855, SOURCES, omitted_lines=0))
    found = explained(
        lost,
        other,
        taken,
        others,
        line(90.0, "b", doubted(*SOURCES)),
        line(90.1, "a", refused(reason="in doubt")),
    )
    assert [(one.name, one.text("daemon")) for one in found.context] == [
        ("GatewayLost", "d1"),
        ("DoubtTaken", ""),
    ]
    assert "b took d1 1 for lost (not connected)" in found.cause


def test_a_refusal_of_an_earlier_build_is_explained_without_sources():
    """Guards against an error for a line that has no sources."""
    found = explained(line(1.0, "b", doubted()), line(1.1, "a", refused()))
    assert "its sources are not logged" in found.cause


def test_the_line_of_an_owner_is_found_by_the_id_that_the_caller_knows():
    """Guards against owners' lines that are missed as they name the request's tenant."""
    scoped = msgspec.structs.replace(
        doubted(LOST_CALL), request=scoped_name("tenant", "r")
    )
    found = explained(line(1.0, "b", scoped), line(1.1, "a", refused()))
    assert "c7 at d1 1" in found.cause
