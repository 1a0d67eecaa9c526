"""Exit statuses, help and error reports; no command prints a traceback."""

import argparse
import importlib.metadata

import eliot
import pytest

from notcharch.cli import main as main_module
from notcharch.cli.command import CommandSpec
from notcharch.cli.main import build_parser, command_entry_points, load_commands, main


@pytest.fixture
def logged():
    messages = []
    eliot.add_destinations(messages.append)
    yield messages
    eliot.remove_destination(messages.append)


def status_of(*arguments: str) -> int:
    """Return the exit status, including that of argparse."""
    try:
        return main(arguments)
    except SystemExit as end:
        return end.code


def with_commands(monkeypatch, *commands: CommandSpec) -> None:
    monkeypatch.setattr(main_module, "load_commands", lambda argv: iter(commands))


def command(run) -> CommandSpec:
    return CommandSpec("probe", "a command of this test", lambda parser: None, run)


def raising(error: BaseException):
    def run(arguments):
        raise error

    return run


USAGES = (
    ((), 2),
    (("nosuch",), 2),
    (("version", "--nosuch"), 2),
    (("config",), 2),
    (("version",), 0),
    (("--help",), 0),
    (("config", "check", "--help"), 0),
    (("--log", "/", "version"), 2),
)


@pytest.mark.parametrize(("arguments", "status"), USAGES)
def test_status_of_usage(arguments, status, capsys):
    assert status_of(*arguments) == status
    printed = capsys.readouterr()
    assert bool(printed.err) == (status == 2)
    assert "Traceback" not in printed.err


@pytest.mark.parametrize("status", [0, 1, 2, 3])
def test_status_of_a_command_is_that_of_the_program(status, monkeypatch):
    with_commands(monkeypatch, command(lambda arguments: status))
    assert status_of("probe") == status


def test_unexpected_exception_is_one_line_and_its_traceback_is_logged(
    monkeypatch, capsys, logged
):
    with_commands(monkeypatch, command(raising(ValueError("first\nsecond"))))
    assert status_of("probe") == 70
    printed = capsys.readouterr()
    assert printed.err == "notcharch probe: internal error: ValueError: first\n"
    (message,) = [entry for entry in logged if entry.get("event_number") == 1200]
    assert "Traceback" in message["traceback"]
    assert "raise error" in message["traceback"]


def test_interrupt_is_not_a_fault(monkeypatch, capsys):
    with_commands(monkeypatch, command(raising(KeyboardInterrupt())))
    assert status_of("probe") == 130
    assert capsys.readouterr().err == ""


def test_log_goes_to_the_file(monkeypatch, tmp_path):
    added = []
    monkeypatch.setattr(eliot, "to_file", added.append)
    with_commands(monkeypatch, command(raising(ValueError("broken"))))
    place = tmp_path / "log"
    assert status_of("--log", str(place), "probe") == 70
    (log,) = added
    assert (log.name, log.mode) == (str(place), "a")
    log.close()


class BrokenEntryPoint:
    name = "broken"
    value = "nosuch:COMMAND"

    def load(self):
        raise ImportError("no module named nosuch")


def test_command_that_cannot_be_loaded_leaves_the_others(monkeypatch, capsys, logged):
    monkeypatch.setattr(
        importlib.metadata, "entry_points", lambda group: [BrokenEntryPoint()]
    )
    names = [spec.name for spec in load_commands(["--help"])]
    assert {"version", "config", "daemon", "table"} <= set(names)
    assert capsys.readouterr().err.count("\n") == 1
    assert [entry["event_number"] for entry in logged] == [1201]


def test_named_command_that_cannot_be_loaded_is_a_fault(monkeypatch, capsys):
    monkeypatch.setattr(
        importlib.metadata, "entry_points", lambda group: [BrokenEntryPoint()]
    )
    assert status_of("broken") == 70
    assert capsys.readouterr().err.count("\n") == 1


def commands_of(parser: argparse.ArgumentParser):
    """Yield the names and parsers of the subcommands."""
    for action in parser._actions:
        if isinstance(action, argparse._SubParsersAction):
            yield from action.choices.items()


def test_every_command_has_its_own_name_and_help_with_examples():
    specs = list(load_commands(["--help"]))
    assert [spec.name for spec in specs] == list(command_entry_points())
    for name, parser in commands_of(build_parser(specs)):
        assert parser.description, name
        assert f"notcharch {name}" in (parser.epilog or ""), f"{name} has no example"


NAMED = (
    (("version",), ["version"]),
    (("--log", "-", "version", "--help"), ["version"]),
    (("--log=-", "config", "check", "daemon"), ["config"]),
    (("--log",), None),
    (("--help",), None),
    (("nosuch",), None),
)


@pytest.mark.parametrize(("arguments", "loaded"), NAMED)
def test_only_the_named_command_is_loaded(arguments, loaded):
    names = [spec.name for spec in load_commands(arguments)]
    assert names == (loaded or list(command_entry_points()))
