"""Roles, aggregated responses and operations of the operators' interface."""

import pytest
from prometheus_client import CollectorRegistry

from notcharch.admin.metrics import MetricsResource, TableCollector
from notcharch.clients.ports import Machine, MachineKind, MachineState
from notcharch.values.identifiers import Member
from notcharch.wire.messages.engines import (
    Acknowledged,
    DrainEngine,
    EngineDescription,
    EngineListing,
    ListEngines,
)
from notcharch.wire.messages.programs import (
    DescribeProgram,
    EndProgram,
    ListPrograms,
    ProgramDescription,
    ProgramEnded,
    ProgramListing,
)
from notcharch.wire.messages.services import (
    AllotmentDescription,
    AllotmentListing,
    ListAllotments,
)
from tests.unit.admin.admin_client import AdminRegion

ROW = {"service": "guide", "tenant": "studio", "pool": "small"}
PROGRAM = "region1-0-abcd"


@pytest.fixture
def admin():
    return AdminRegion()


def reply_with(admin, message_type, replies):
    """Make daemon i reply to a message type with replies[i]; the others refuse."""
    for index, reply in enumerate(replies):

        async def answer(_sender, _message, reply=reply):
            return reply

        admin.region.process(index).daemon.network.on_request(message_type, answer)


def engine(name, steward, epoch):
    return EngineDescription(
        name, "m", "z", "live", 1, 2, 8, 5, 10, 0.5, Member(steward, 1), epoch
    )


def program(name=PROGRAM):
    return ProgramDescription(name, "guide", "studio", None, False, 2, 3, 9, 0, 4, 1.0)


def publish_row(admin):
    body = {"base_version": 0, "rows": [ROW], "keys": []}
    return admin.fetch("POST", "/table/publish", body).body["publication"]["version"]


@pytest.mark.parametrize(
    ("method", "path", "role", "status"),
    [
        ("GET", "/table", None, 401),
        ("GET", "/table", "stranger", 401),
        ("GET", "/table", "viewer", 200),
        ("POST", "/table/publish", "viewer", 403),
        ("POST", "/table/rollback", "viewer", 403),
        ("POST", "/services/guide/pause", "viewer", 403),
        ("POST", "/drain", "editor", 403),
        ("DELETE", f"/programs/{PROGRAM}", "editor", 403),
        ("GET", "/nothing", "viewer", 404),
        ("DELETE", "/table", "viewer", 405),
    ],
)
def test_roles_and_unknown_pages(admin, method, path, role, status):
    answer = admin.fetch(method, path, {} if method == "POST" else None, role)
    assert answer.status == status
    if status != 200:
        assert answer.body["status"] == status
        assert answer.headers.getRawHeaders("content-type") == [
            "application/problem+json"
        ]


def test_daemons_and_those_that_cannot_be_reached(admin):
    admin.region.fabric.pause("d1")
    body = admin.fetch("GET", "/daemons").body
    assert [daemon["member"][0] for daemon in body["daemons"]] == ["d0", "d2"]
    assert [item["daemon"] for item in body["survey"]["unreached"]] == ["d1"]
    assert body["survey"]["daemons"] == 3
    assert body["survey"]["age_seconds"] <= 3.1


def test_engines_keep_the_newest_steward_and_name_the_unreported(admin):
    reply_with(
        admin,
        ListEngines,
        [
            EngineListing((engine("e1", "d0", 1), engine("e2", "d0", 4))),
            EngineListing((engine("e1", "d1", 3),)),
        ],
    )
    admin.directory.machines = tuple(
        Machine(name, MachineKind.MODEL_ENGINE, "r", "z", "", MachineState.LIVE)
        for name in ("e1", "e2", "e3")
    )
    body = admin.fetch("GET", "/engines").body
    stewards = [(item["engine"], item["steward"][0]) for item in body["engines"]]
    assert stewards == [("e1", "d1"), ("e2", "d0")]
    assert body["unreported"] == ["e3"]
    assert [item["daemon"] for item in body["survey"]["unreached"]] == ["d2"]


def test_services_add_up_the_allotments_of_all_limiters(admin):
    publish_row(admin)
    leases = [
        AllotmentDescription("guide", Member(holder, 1), slots, 5.0)
        for holder, slots in (("d0", 3), ("d1", 4))
    ]
    replies = [AllotmentListing((lease,)) for lease in leases] + [AllotmentListing(())]
    reply_with(admin, ListAllotments, replies)
    (service,) = admin.fetch("GET", "/services").body["services"]
    assert (service["row"]["share"], service["allotted_slots"]) == (1.0, 7)
    assert len(admin.fetch("GET", "/allotments").body["allotments"]) == 2


def test_programs_are_cut_at_the_limit(admin):
    listing = ProgramListing((program("b"), program("a")), False)
    reply_with(admin, ListPrograms, [listing, ProgramListing((), False)])
    body = admin.fetch("GET", "/programs?limit=1&service=guide").body
    assert ([item["program"] for item in body["programs"]], body["truncated"]) == (
        ["a"],
        True,
    )
    assert admin.fetch("GET", "/programs?limit=x").status == 400


def test_partitions_are_listed_with_their_daemons(admin):
    entries = admin.fetch("GET", "/partitions").body["partitions"]
    assert [(item["daemon"], item["description"]["epoch"]) for item in entries] == [
        ("d0", 3),
        ("d1", 4),
        ("d2", 5),
    ]


def test_drains_of_daemons_and_engines(admin):
    answer = admin.fetch("POST", "/drain", {"daemon": "d1"})
    assert answer.body == {"name": "d1", "draining": True, "running_calls": 2}
    admin.fetch("POST", "/drain", {"daemon": "d1", "drain": False})
    assert admin.drained == [("d1", True), ("d1", False)]
    admin.router.replies[DrainEngine] = Acknowledged()
    assert admin.fetch("POST", "/drain", {"engine": "e1"}).status == 200
    assert admin.router.sent == [DrainEngine("e1", True)]
    assert admin.fetch("POST", "/drain", {"daemon": "d1", "engine": "e"}).status == 400
    assert admin.fetch("POST", "/drain", {"engine": "e", "zone": "z"}).status == 400
    assert admin.fetch("POST", "/drain", {}).status == 400


def test_a_drain_of_a_zone_is_a_publication(admin):
    answer = admin.fetch("POST", "/drain?wait=in_force", {"zone": "z-1"})
    assert answer.body == {"name": "z-1", "draining": True, "running_calls": None}
    shown = admin.fetch("GET", "/daemons").body
    assert (shown["drained_zones"], shown["version"]) == (["z-1"], 1)
    for number in range(3):
        assert admin.region.process(number).replica.drained_zones() == {"z-1"}
    admin.fetch("POST", "/drain?wait=in_force", {"zone": "z-1", "drain": False})
    assert admin.fetch("GET", "/daemons").body["drained_zones"] == []
    assert admin.fetch("POST", "/drain", {"zone": "no zone"}).status == 400


def test_pause_and_resume_are_publications_of_the_cell(admin):
    publish_row(admin)
    answer = admin.fetch("POST", "/services/guide/pause?wait=in_force", role="editor")
    assert answer.body["in_force"]["in_force"]
    assert admin.region.process(2).replica.row("guide").paused
    admin.fetch("POST", "/services/guide/resume", role="editor")
    assert not admin.fetch("GET", "/table").body["rows"][0]["paused"]
    assert admin.fetch("POST", "/services/other/pause").status == 404


def test_a_program_is_described_and_ended_as_its_tenant(admin):
    admin.router.replies = {DescribeProgram: program(), EndProgram: ProgramEnded()}
    assert admin.fetch("GET", f"/programs/{PROGRAM}").body["tenant"] == "studio"
    assert admin.fetch("DELETE", f"/programs/{PROGRAM}").status == 200
    assert admin.router.sent[-1] == EndProgram(PROGRAM, "studio")
    assert admin.fetch("GET", "/programs/nonsense").status == 404


def test_metrics_show_the_table(admin):
    registry = CollectorRegistry()
    registry.register(TableCollector(admin.region.process(0).replica))
    version = publish_row(admin)

    class Request:
        def setHeader(self, name, value):  # noqa: N802
            assert name == "content-type"

    text = MetricsResource(registry).render_GET(Request()).decode()
    assert f"notcharch_table_version {float(version)}" in text
    assert "notcharch_table_rows 1.0" in text
