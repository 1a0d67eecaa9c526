"""Verdicts and states of the replay, record by record."""

import msgspec
import pytest

from notcharch.clients.ports import StoredRecord
from notcharch.table import replay as replay_module
from notcharch.table.edits import SetCell, SetRow, SetZoneDrain
from notcharch.table.interface import ServiceRow
from notcharch.table.publication import (
    Checkpoint,
    PublishedEdits,
    PublishedTable,
    encode_record,
)
from notcharch.table.replay import (
    ReplayState,
    SkipReason,
    Verdict,
    apply_entries,
    decode_state,
    replay,
)

GUIDE = ServiceRow("guide", "studio", "small")


def edits_record(base, *edits):
    return encode_record(
        PublishedEdits(format=1, base_version=base, author="o", at=1.0, edits=edits)
    )


def table_record(base, *rows):
    return encode_record(
        PublishedTable(
            format=1, base_version=base, author="o", at=1.0, rows=rows, keys=()
        )
    )


def drains_record(base, *edits):
    return edits_record(base, *edits).replace('"format":1', '"format":2')


DRAIN = SetZoneDrain("z-1", False, True)


def share(before, after):
    return SetCell("guide", "share", before, after)


ADD = edits_record(0, SetRow("guide", None, GUIDE))


def run(*records, state=None):
    """Replay (id, text) pairs; return the state, and the verdict or skip reason of each."""
    state = state or ReplayState()
    replayed = []
    for record_id, text in records:
        record = StoredRecord(state.next_offset, record_id, text)
        replayed.append(replay(state, record))
        state = replayed[-1].state
    return state, [item.skipped or item.entry.verdict for item in replayed]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (edits_record(1, share(1.0, 2.0)), Verdict.ACCEPTED),
        (edits_record(0, share(1.0, 2.0)), Verdict.MERGED),
        (edits_record(1, share(1.5, 2.0)), Verdict.CONFLICT),
        (edits_record(1, share(1.0, 0.0)), Verdict.INVALID),
        (edits_record(9, share(1.0, 2.0)), SkipReason.BAD),
        (table_record(1, msgspec.structs.replace(GUIDE, priority=1)), Verdict.ACCEPTED),
        (table_record(0, GUIDE), Verdict.MERGED),
        (table_record(0), Verdict.MERGED),
        (table_record(1, GUIDE, GUIDE), Verdict.INVALID),
        ("{", SkipReason.BAD),
        ("[]", SkipReason.BAD),
        ('{"type": "Other"}', SkipReason.BAD),
        (ADD.replace('"format":1', '"format":2'), SkipReason.BAD),
        (ADD.replace('"before":null,', '"before":null,"x":1,'), Verdict.MERGED),
        (edits_record(1, SetRow("guide", None, None)), SkipReason.BAD),
        (edits_record(1, SetRow("guide", GUIDE, GUIDE)), SkipReason.BAD),
        (edits_record(1, SetRow("other", None, GUIDE)), SkipReason.BAD),
        (edits_record(1, DRAIN), SkipReason.BAD),
        (drains_record(1, DRAIN), Verdict.ACCEPTED),
        (drains_record(1, share(1.0, 2.0)), SkipReason.BAD),
        (drains_record(1, DRAIN, share(1.5, 2.0)), Verdict.CONFLICT),
        (drains_record(1, SetZoneDrain("no zone", False, True)), Verdict.INVALID),
    ],
)
def test_one_record_after_a_first_table(text, expected):
    state, verdicts = run(("a", ADD), ("b", text))
    assert verdicts == [Verdict.ACCEPTED, expected]
    accepted = expected in (Verdict.ACCEPTED, Verdict.MERGED)
    assert state.version == (2 if accepted else 1)
    assert state.next_offset == 2


def test_a_repeated_id_makes_no_second_version_whatever_it_holds():
    _, verdicts = run(
        ("a", ADD),
        ("b", edits_record(1, share(1.0, 2.0))),
        ("c", edits_record(2, share(2.0, 1.0))),
        ("b", edits_record(1, share(1.0, 2.0))),
    )
    assert verdicts == [*[Verdict.ACCEPTED] * 3, SkipReason.REPEATED]


def test_a_refused_id_stays_refused():
    _, verdicts = run(
        ("a", ADD),
        ("b", edits_record(1, share(1.5, 2.0))),
        ("c", edits_record(1, share(1.0, 1.5))),
        ("b", edits_record(1, share(1.5, 2.0))),
    )
    assert verdicts[1:] == [Verdict.CONFLICT, Verdict.ACCEPTED, SkipReason.REPEATED]


def test_a_repeat_of_a_forgotten_id_is_refused(monkeypatch):
    monkeypatch.setattr(replay_module, "MAX_HISTORY_ENTRIES", 2)
    first = ("b", edits_record(1, share(1.0, 2.0)))
    back = ("c", edits_record(2, share(2.0, 1.0)))
    other = ("d", edits_record(3, SetCell("guide", "priority", 5, 1)))
    state, verdicts = run(("a", ADD), first, back, other, first)
    assert state.entry("b").verdict is Verdict.BASE_TOO_OLD
    assert verdicts[-1] is Verdict.BASE_TOO_OLD
    assert state.contents.rows["guide"].share == 1.0


def test_the_history_is_bounded_by_its_cells_and_keeps_the_newest(monkeypatch):
    monkeypatch.setattr(replay_module, "MAX_HISTORY_WEIGHT", 5)
    state, _ = run(("a", ADD))
    assert len(state.history) == 1
    records = [(f"r{n}", edits_record(n, share(n, n + 1))) for n in range(1, 6)]
    state, _ = run(*records, state=state)
    assert [entry.id for entry in state.history] == ["r4", "r5"]
    assert state.history_weight == sum(entry.weight for entry in state.history) == 4
    assert state.contents_at(state.horizon).rows["guide"].share == 4
    assert state.contents_at(state.horizon - 1) is None


def test_every_remembered_version_can_be_rebuilt():
    records = [("a", ADD)]
    records += [(f"r{n}", edits_record(n, share(n, n + 1))) for n in range(1, 4)]
    records += [("x", "{")]
    records += [("end", edits_record(4, SetRow("guide", GUIDE, None)))]
    records += [("whole", table_record(4, GUIDE))]
    state, _ = run(*records)
    shares = [state.contents_at(version).rows["guide"].share for version in range(1, 5)]
    assert shares == [1, 2, 3, 4]
    assert state.contents_at(0).rows == {}
    assert state.contents_at(99) is None


def test_a_checkpoint_or_a_peers_entries_lead_to_the_same_state():
    records = [("a", ADD), ("b", "{"), ("c", edits_record(1, share(1.0, 2.0)))]
    records += [("d", edits_record(1, share(1.0, 3.0)))]
    state, _ = run(*records)
    restored = decode_state(state.encode()).unwrap()
    assert restored == state
    half, _ = run(*records[:1])
    assert apply_entries(half, state.history, state.next_offset) == state
    checkpoint = Checkpoint(format=1, next_offset=4, state=msgspec.Raw(state.encode()))
    after, (skipped,) = run(("k", encode_record(checkpoint)), state=state)
    assert skipped is SkipReason.CHECKPOINT
    assert (after.checkpoint_offset, after.contents) == (4, state.contents)


@pytest.mark.parametrize("broken", [b"{}", b"x", None])
def test_a_broken_state_is_refused(broken):
    state, _ = run(("a", ADD))
    data = broken or state.encode().replace(b'"share":1.0', b'"share":0.0')
    assert decode_state(data).is_err()


def test_a_gap_is_a_fault_of_the_caller():
    with pytest.raises(ValueError, match="offset 5 after 0"):
        replay(ReplayState(), StoredRecord(5, "a", ADD))


def test_drained_zones_survive_a_whole_table_and_an_encoded_state():
    state, verdicts = run(
        ("a", ADD), ("b", drains_record(1, DRAIN)), ("c", table_record(2, GUIDE))
    )
    assert verdicts[1:] == [Verdict.ACCEPTED] * 2
    assert state.contents.drained_zones == {"z-1"}
    again = decode_state(state.encode()).unwrap()
    assert again.contents.drained_zones == {"z-1"}
    assert state.contents_at(1).drained_zones == set()


def test_an_encoded_state_from_before_drains_can_be_read():
    state, _ = run(("a", ADD))
    text = state.encode().replace(b',"drained_zones":[]', b"")
    assert decode_state(text).unwrap() == state
