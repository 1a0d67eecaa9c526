"""Tests of the output and exit status of `config check` and `config show`."""

import json

import pytest

from notcharch.cli.main import main
from notcharch.settings.example import example


@pytest.fixture
def settings_file(tmp_path):
    def write(text: str) -> str:
        place = tmp_path / "n.toml"
        place.write_text(text)
        return str(place)

    return write


def test_every_finding_is_one_line_on_standard_error(settings_file, capsys):
    place = settings_file("[nosuch]\n[daemon]\nhttp_port = -1\n")
    flags = ["--set", "table.nosuch=1", "--set", "nonsense"]
    assert main(["config", "check", place, *flags]) == 2
    printed = capsys.readouterr()
    assert printed.out == ""
    places = {line.rpartition(": ")[0] for line in printed.err.splitlines()}
    assert places == {
        f"{place}: nosuch",
        f"{place}: daemon.http_port",
        "--set table.nosuch",
        "--set nonsense",
    }


def test_good_settings_have_no_findings(settings_file, capsys):
    assert main(["config", "check", settings_file(example())]) == 0
    assert capsys.readouterr().out == "no findings\n"


def test_show_gives_defaults_file_and_flags(settings_file, capsys):
    place = settings_file("[daemon]\nhttp_port = 1\npeer_port = 2\n")
    flags = ["--set", "daemon.http_port=3", "--set", "daemon.name=north"]
    assert main(["config", "show", place, *flags]) == 0
    shown = json.loads(capsys.readouterr().out)
    daemon = shown["daemon"]
    assert (daemon["http_port"], daemon["peer_port"], daemon["name"]) == (3, 2, "north")
    assert shown["partitions"]["partition_count"] == 64


UNREADABLE = (
    (None, "No such file or directory"),
    (b"\xff\xfe", "is not UTF-8 text"),
    (b"[daemon", "not valid TOML"),
)


@pytest.mark.parametrize(("content", "message"), UNREADABLE)
def test_unreadable_file_is_a_finding(content, message, tmp_path, capsys):
    place = tmp_path / "n.toml"
    if content is not None:
        place.write_bytes(content)
    assert main(["config", "check", str(place)]) == 2
    (line,) = capsys.readouterr().err.splitlines()
    assert line.startswith(f"{place}: ")
    assert message in line
