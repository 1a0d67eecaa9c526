"""The table routes of the operators' interface."""

import pytest

from tests.unit.admin.admin_client import AdminRegion

ROW = {"service": "guide", "tenant": "studio", "pool": "small"}
DIGEST = "a" * 64


@pytest.fixture
def admin():
    return AdminRegion()


def publish(admin, body, query="", **how):
    return admin.fetch("POST", "/table/publish" + query, body, **how)


def first_table(admin):
    keys = [{"tenant": "studio", "key_sha256": DIGEST}]
    answer = publish(admin, {"base_version": 0, "rows": [ROW], "keys": keys})
    assert answer.status == 200
    return answer.body["publication"]["version"]


def set_share(value, base):
    change = {"change": "set_cell", "service": "guide", "cell": "share", "value": value}
    return {"base_version": base, "changes": [change]}


def test_a_first_table_is_published_and_read(admin):
    version = first_table(admin)
    table = admin.fetch("GET", "/table", role="viewer").body
    assert (table["version"], table["is_in_force"]) == (version, True)
    assert [row["service"] for row in table["rows"]] == ["guide"]
    assert table["keys"] == [{"tenant": "studio", "key_sha256": DIGEST}]


def test_waiting_in_force_reports_all_daemons(admin):
    base = first_table(admin)
    answer = publish(admin, set_share(2.0, base), "?wait=in_force")
    report = answer.body["in_force"]
    assert (report["in_force"], report["daemons"]) == (True, 3)
    assert admin.region.versions() == {report["version"]}


def test_waiting_in_force_names_who_did_not_report(admin):
    base = first_table(admin)
    admin.region.fabric.pause("d2")
    answer = publish(admin, set_share(2.0, base), "?wait=in_force&seconds=5")
    report = answer.body["in_force"]
    assert answer.status == 200
    assert not report["in_force"]
    assert [item["daemon"] for item in report["unreached"]] == ["d2"]


def test_a_conflict_is_409_with_each_cell_and_its_values(admin):
    base = first_table(admin)
    publish(admin, set_share(2.0, base))
    answer = publish(admin, set_share(3.0, base))
    assert answer.status == 409
    assert answer.body["code"] == "table_conflict"
    assert answer.body["findings"] == [
        {
            "place": "rows[guide].share",
            "message": "base 1.0, in force 2.0, yours 3.0",
        }
    ]


def test_all_findings_are_reported_at_once(admin):
    rows = [{**ROW, "share": 0, "priority": 12}, {"service": "b", "cost": 1}]
    answer = admin.fetch(
        "POST", "/table/check", {"base_version": 0, "rows": rows, "keys": []}
    )
    assert answer.status == 400
    assert [finding["place"] for finding in answer.body["findings"]] == [
        "rows[guide].share",
        "rows[guide].priority",
        "rows[b].tenant",
        "rows[b].pool",
        "rows[b].cost",
    ]


def test_check_publishes_nothing(admin):
    base = first_table(admin)
    answer = admin.fetch("POST", "/table/check", set_share(2.0, base), role="viewer")
    assert [edit["after"] for edit in answer.body["edits"]] == [2.0]
    assert admin.fetch("GET", "/table").body["version"] == base


def test_history_old_versions_and_rollback(admin):
    base = first_table(admin)
    newer = publish(admin, set_share(2.0, base)).body["publication"]["version"]
    old = admin.fetch("GET", f"/table?version={base}").body
    assert (old["rows"][0]["share"], old["is_in_force"]) == (1.0, False)
    answer = admin.fetch("POST", "/table/rollback", {"version": base})
    assert answer.body["publication"]["version"] > newer
    assert admin.fetch("GET", "/table").body["rows"][0]["share"] == 1.0
    entries = admin.fetch("GET", "/table/history?limit=2").body["entries"]
    assert [entry["note"] for entry in entries] == [f"rollback to {base}", ""]
    assert admin.fetch("GET", "/table?version=99").status == 404


@pytest.mark.parametrize(
    ("body", "place"),
    [
        (b"{", "body"),
        ({"base_version": 0}, "body"),
        ({"base_version": "x", "rows": [], "keys": []}, "base_version"),
        ({"base_version": 0, "changes": [{"change": "other"}]}, "changes[0].change"),
        ({"base_version": 0, "changes": [], "surplus": 1}, "body"),
    ],
)
def test_an_unreadable_body_is_a_finding(admin, body, place):
    answer = publish(admin, body)
    assert (answer.status, answer.body["ran"]) == (400, "no")
    assert answer.body["findings"][0]["place"] == place
