"""The operators' commands with the operators' interface over in-memory HTTP."""

import argparse

import pytest
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.error import ConnectionLost, ConnectionRefusedError

from notcharch.cli import admin_client, operations_command, table_command
from notcharch.cli.admin_client import AdminClient
from notcharch.cli.command import CommandSpec
from notcharch.wire.messages.engines import Acknowledged, DrainEngine
from tests.unit.admin.admin_client import AdminRegion

DIGEST = "b" * 64
DOCUMENT = f"""
[[rows]]
service = "guide"
tenant = "studio"
pool = "small"

[[keys]]
tenant = "studio"
key_sha256 = "{DIGEST}"
"""
COMMANDS = {
    spec.name: spec for spec in (*table_command.COMMANDS, *operations_command.COMMANDS)
}


class Console:
    """Runs command lines with an in-memory region."""

    def __init__(self, monkeypatch):
        self.admin = AdminRegion()
        self.faults = []
        self.key = "administrator"
        monkeypatch.setattr(admin_client, "run_command", self._run_command)

    def run(self, line):
        name, *rest = line.split()
        spec: CommandSpec = COMMANDS[name]
        parser = argparse.ArgumentParser()
        spec.configure(parser)
        return spec.run(parser.parse_args(rest))

    def publish_rows(self, rows):
        body = {"base_version": 0, "rows": rows}
        assert self.admin.fetch("POST", "/table/publish", body).status == 200

    def request(self, method, url, **options):
        options.pop("timeout")
        fault = self.faults.pop(0) if self.faults else None
        if isinstance(fault, ConnectionRefusedError):
            return fail(fault)
        response_deferred = self.admin.client.request(method, url, **options)
        return (
            response_deferred
            if fault is None
            else response_deferred.addCallback(fail_with(fault))
        )

    def content(self, response):
        return self.admin.client.content(response)

    def _run_command(self, command, arguments):
        clock = self.admin.region.clock
        client = AdminClient("http://127.0.0.1", self.key, self, clock)
        running = Deferred.fromCoroutine(command(client, arguments))
        return self.admin.result_of(running)


def fail_with(fault):
    def raise_it(_response):
        raise fault

    return raise_it


@pytest.fixture
def console(monkeypatch):
    return Console(monkeypatch)


@pytest.fixture
def document(tmp_path):
    path = tmp_path / "table.toml"
    path.write_text(DOCUMENT)
    return path


def test_first_table_edit_history_and_rollback(console, document, capsys):
    assert console.run(f"table publish {document} --wait") == 0
    assert "in force at 3 of 3 daemons" in capsys.readouterr().out
    assert console.run("table edit guide share 2.5 --note busier") == 0
    assert "rows[guide].share: 1 -> 2.5" in capsys.readouterr().out
    assert console.run("table rollback 1 --wait") == 0
    assert "rows[guide].share: 2.5 -> 1" in capsys.readouterr().out
    assert console.run("table history") == 0
    lines = capsys.readouterr().out.splitlines()
    assert [line.split()[0] for line in lines] == ["VERSION", "3", "2", "1"]


@pytest.mark.parametrize("suffix", ["toml", "csv"])
def test_a_shown_document_is_published_as_it_is(console, document, capsys, suffix):
    console.run(f"table publish {document}")
    capsys.readouterr()
    console.run(f"table show --format {suffix}")
    shown = document.with_suffix(f".{suffix}")
    text = capsys.readouterr().out
    shown.write_text(text)
    assert console.run(f"table publish {shown}") == 0
    assert "unchanged" in capsys.readouterr().out
    shown.write_text(text.replace("small", "large"))
    assert console.run(f"table diff {shown}") == 0
    assert capsys.readouterr().out == "  rows[guide].pool: small -> large\n"


def test_findings_name_row_and_cell_and_give_status_2(console, document, capsys):
    document.write_text(DOCUMENT + '[[rows]]\nservice = "b"\nshare = -1\n')
    assert console.run(f"table check {document}") == 2
    error = capsys.readouterr().err
    for finding in (
        "rows[b].share: must be above 0",
        "rows[b].tenant: is missing",
    ):
        assert finding in error


@pytest.mark.parametrize(
    ("line", "status", "text"),
    [
        ("table edit guide share many", 2, "rows[guide].share: expected"),
        ("table edit guide colour 1", 2, "rows[guide].colour: unknown cell"),
        ("table edit other share 1", 2, "rows[other]: there is no such row"),
        ("table check nowhere.toml", 2, "nowhere.toml"),
        ("table check table.xls", 2, "must end in .toml or .csv"),
        ("table show --version 99", 1, "version 99 is not kept"),
        ("table rollback 99", 1, "version 99 is not kept"),
        ("pause other", 1, "there is no service other"),
        ("pause x?y&z=1", 1, "there is no service x?y&z=1"),
        ("drain engine e9", 1, "unknown"),
    ],
)
def test_refusals(console, capsys, line, status, text):
    console.publish_rows([{"service": "guide", "tenant": "studio", "pool": "small"}])
    assert console.run(line) == status
    assert text in capsys.readouterr().err


def test_a_document_without_a_version_is_no_second_table(console, document, capsys):
    console.run(f"table publish {document}")
    assert console.run(f"table publish {document}") == 2
    assert "version: names no version" in capsys.readouterr().err
    assert console.run(f"table publish {document} --base 0") == 0


def test_a_conflict_gives_status_1_with_the_three_values(console, document, capsys):
    console.run(f"table publish {document}")
    console.run("table edit guide share 2")
    document.write_text("version = 1\n" + DOCUMENT.replace("pool", "share = 3\npool"))
    assert console.run(f"table publish {document}") == 1
    error = capsys.readouterr().err
    assert "rows[guide].share: base 1.0, in force 2.0, yours 3.0" in error


@pytest.mark.parametrize("refused", [True, False])
def test_an_unreachable_server_gives_status_3(console, capsys, refused):
    fault = ConnectionRefusedError() if refused else ConnectionLost()
    console.faults = [fault] * 9
    assert console.run("status") == 3
    assert "cannot be reached" in capsys.readouterr().err


def test_a_lost_answer_is_asked_for_again_and_makes_one_version(
    console, document, capsys
):
    console.faults = [None, ConnectionLost(), ConnectionLost()]
    assert console.run(f"table publish {document}") == 0
    assert "published version 1" in capsys.readouterr().out
    assert len(console.admin.region.store.records) == 1


def test_a_wrong_key_gives_status_1(console, capsys):
    console.key = "stranger"
    assert console.run("status") == 1
    assert "unauthenticated" in capsys.readouterr().err


def test_status_names_who_cannot_be_reached(console, capsys):
    assert console.run("status") == 0
    console.admin.region.fabric.pause("d1")
    assert console.run("status") == 1
    assert "not reached: d1" in capsys.readouterr().out


def test_pause_resume_and_drain(console, document, capsys):
    console.run(f"table publish {document}")
    assert console.run("pause guide") == 0
    assert console.admin.region.process(1).replica.row("guide").paused
    assert console.run("resume guide") == 0
    assert not console.admin.region.process(1).replica.row("guide").paused
    assert console.run("drain daemon d1 --undo") == 0
    assert console.admin.drained == [("d1", False)]
    console.admin.router.replies = {DrainEngine: Acknowledged()}
    assert console.run("drain engine e1") == 0
    assert "engine e1 drains" in capsys.readouterr().out


def test_a_zone_is_drained_shown_and_kept_through_a_whole_table(
    console, document, capsys
):
    console.run(f"table publish {document}")
    assert console.run("drain zone z-1") == 0
    assert "zone z-1 drains" in capsys.readouterr().out
    assert console.run("status") == 0
    assert "zone z-1 is drained in version 2" in capsys.readouterr().out
    assert console.run("table history") == 0
    assert "drain zone" in capsys.readouterr().out
    console.run(f"table publish {document}")
    assert console.admin.region.process(1).replica.drained_zones() == {"z-1"}
    assert console.run("drain zone z-1 --undo") == 0
    assert "zone z-1 takes new work" in capsys.readouterr().out
    assert console.admin.region.process(1).replica.drained_zones() == set()


@pytest.mark.parametrize("line", ["services", "engines", "programs", "partitions"])
def test_lists_print_columns_or_json(console, document, capsys, line):
    console.run(f"table publish {document}")
    capsys.readouterr()
    assert console.run(line) == 0
    assert "daemons, at most" in capsys.readouterr().out
    assert console.run(f"{line} --json") == 0
    assert capsys.readouterr().out.startswith("{")


def test_an_answer_that_is_no_problem_document_is_reported(console, capsys):
    class Page:
        code = 502

    console.request = lambda *_, **__: succeed(Page())
    console.content = lambda _: succeed(b"<html>")
    assert console.run("status") == 1
    assert "status 502" in capsys.readouterr().err
