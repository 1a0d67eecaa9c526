"""Publications through a faulty log: operators must receive the correct verdict."""

import pytest
from result import Err, Ok

from notcharch.errors import Ran
from notcharch.table.draft import ChangeCell, ChangesDraft, InsertRow
from notcharch.table.publisher import PublishRequest
from notcharch.values.identifiers import RecordId
from tests.stateful.table.faulty_log import AppendFault
from tests.stateful.table.region import Region

ROW = {"service": "guide", "tenant": "studio", "pool": "small"}


def add_row(service="guide", base=0, record=None):
    draft = ChangesDraft((InsertRow({**ROW, "service": service}),))
    return PublishRequest(draft, base, "olga", id=record)


def set_cell(cell, value, base, author="olga", record=None):
    draft = ChangesDraft((ChangeCell("guide", cell, value),))
    return PublishRequest(draft, base, author, id=record)


def published(region, index, request):
    publisher = region.process(index).publisher
    return region.result_of(publisher.publish(request, 30.0))


def test_a_publication_is_in_force_everywhere_within_two_seconds():
    region = Region(5)
    region.run(1.0)
    result = published(region, 0, add_row())
    assert isinstance(result, Ok)
    region.run(2.0)
    assert region.versions() == {result.ok_value.version}
    assert region.process(4).replica.row("guide").tenant == "studio"


@pytest.mark.parametrize(
    ("faults", "records"),
    [
        ((), 1),
        ((AppendFault.REFUSED,), 1),
        ((AppendFault.ACKNOWLEDGEMENT_LOST,), 1),
        ((AppendFault.NEVER,), 1),
        ((AppendFault.LATE,), 2),
        ((AppendFault.TWICE,), 2),
        ((AppendFault.NEVER, AppendFault.REFUSED, AppendFault.ACKNOWLEDGEMENT_LOST), 1),
    ],
)
def test_faults_of_the_append_make_one_version(faults, records):
    region = Region(3)
    region.run(1.0)
    process = region.process(0)
    process.port.append_faults = list(faults)
    result = published(region, 0, add_row())
    region.run(20.0)
    assert isinstance(result, Ok)
    assert len(region.store.records) == records
    assert region.versions() == {result.ok_value.version} == {1}


def test_edits_of_different_cells_merge():
    region = Region(2)
    region.run(1.0)
    base = published(region, 0, add_row()).ok_value.version
    region.run(2.0)
    assert published(region, 0, set_cell("share", 2.0, base)).is_ok()
    other = published(region, 1, set_cell("priority", 1, base, "per"))
    assert other.ok_value.merged
    region.run(2.0)
    row = region.process(0).replica.row("guide")
    assert (row.share, row.priority) == (2.0, 1)


@pytest.mark.parametrize("record", [None, RecordId("mine")])
def test_the_same_cell_changed_differently_is_a_conflict_with_three_values(record):
    region = Region(2)
    region.run(1.0)
    base = published(region, 0, add_row()).ok_value.version
    region.run(2.0)
    published(region, 0, set_cell("share", 2.0, base))
    region.run(2.0)
    refused = published(region, 1, set_cell("share", 3.0, base, "per", record=record))
    assert isinstance(refused, Err)
    problem = refused.err_value
    assert (problem.code, problem.ran) == ("table_conflict", Ran.NO)
    (finding,) = problem.findings
    assert finding.place == "rows[guide].share"
    assert finding.message == "base 1.0, in force 2.0, yours 3.0"


def test_a_log_that_is_down_refuses_with_ran_no_and_changes_nothing():
    region = Region(2)
    region.process(0).port.is_down = True
    result = published(region, 0, add_row())
    assert result.err_value.ran is Ran.NO
    assert result.err_value.retry_after is not None
    region.process(0).port.is_down = False
    region.run(30.0)
    assert region.versions() == {0}


def test_a_restarted_daemon_without_the_log_gets_the_table_from_a_peer():
    region = Region(3)
    region.run(1.0)
    version = published(region, 0, add_row()).ok_value.version
    region.run(2.0)
    process = region.restart(2, log_is_down=True)
    region.run(8.0)
    assert process.replica.version == version
    assert process.replica.source.value == "peer"


def test_an_id_asked_again_gives_the_verdict_of_the_first_record():
    region = Region(2)
    region.run(1.0)
    first = published(region, 0, add_row(record=RecordId("mine")))
    region.run(2.0)
    again = published(region, 1, add_row(record=RecordId("mine")))
    assert first == again
    assert len(region.store.records) == 1


def test_one_daemon_that_reads_the_log_carries_a_publication_to_all():
    region = Region(40)
    region.run(1.0)
    base = published(region, 0, add_row()).ok_value.version
    region.run(2.0)
    for index in range(1, 40):
        region.process(index).port.is_down = True
    region.run(12.0)
    version = published(region, 0, set_cell("share", 2.0, base)).ok_value.version
    region.run(16.0)
    assert region.versions() == {version}
    sent = {name for (_, name), count in region.fabric.traffic.items() if count.bytes}
    assert "TableSnapshot" not in sent, (
        "a change of one cell must not transfer a snapshot"
    )


def test_a_silent_log_gives_an_unknown_outcome_that_can_be_asked_for_again():
    region = Region(2)
    region.run(1.0)
    port = region.process(0).port
    port.is_silent = True
    unknown = published(region, 0, add_row(record=RecordId("mine")))
    assert unknown.err_value.ran is Ran.UNKNOWN
    port.is_silent = False
    assert published(region, 0, add_row(record=RecordId("mine"))).is_ok()


def test_a_silent_log_leaves_the_version_to_the_peers():
    region = Region(2)
    region.run(1.0)
    region.process(1).port.is_silent = True
    region.run(30.0)
    version = published(region, 0, add_row()).ok_value.version
    region.run(16.0)
    assert region.process(1).replica.version == version


def test_a_log_that_lost_its_records_takes_nothing_back():
    region = Region(2)
    region.run(1.0)
    version = published(region, 0, add_row()).ok_value.version
    region.run(2.0)
    region.store.records.clear()
    result = published(region, 0, set_cell("share", 2.0, version))
    assert result.err_value.ran is Ran.UNKNOWN
    region.restart(1)
    region.run(20.0)
    assert region.versions() == {version}
    assert region.process(1).replica.row("guide").share == 1.0
