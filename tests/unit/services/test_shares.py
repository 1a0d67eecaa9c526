"""Cases of the fair division of slots."""

import pytest

from notcharch.services.shares import Demand, fair_targets
from notcharch.values.identifiers import Member

A, B, C = Member("a", 1), Member("b", 1), Member("c", 1)

CASES = {
    "a lone holder gets everything": (8, {A: (8, 0)}, {A: 8}),
    "no more than is wanted": (8, {A: (3, 0), B: (2, 0)}, {A: 3, B: 2}),
    "equal parts": (8, {A: (9, 0), B: (9, 0)}, {A: 4, B: 4}),
    "what one leaves goes to the others": (
        9,
        {A: (1, 0), B: (9, 0), C: (9, 0)},
        {A: 1, B: 4, C: 4},
    ),
    "an odd slot goes to who had fewer turns": (
        5,
        {A: (9, 2), B: (9, 1)},
        {A: 2, B: 3},
    ),
    "one slot takes turns": (1, {A: (9, 3), B: (9, 4), C: (9, 2)}, {A: 0, B: 0, C: 1}),
    "nothing to give": (0, {A: (2, 0)}, {A: 0}),
    "a negative cell gives nothing": (-3, {A: (2, 0)}, {A: 0}),
    "nobody asks": (4, {A: (0, 0), B: (0, 0)}, {A: 0, B: 0}),
}


@pytest.mark.parametrize(
    ("slots", "wanted", "expected"), CASES.values(), ids=CASES.keys()
)
def test_targets(slots, wanted, expected):
    demands = {member: Demand(*demand) for member, demand in wanted.items()}
    assert fair_targets(slots, demands) == expected
