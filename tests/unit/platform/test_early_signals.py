"""Signals that reach a daemon before it runs."""

import ast
import runpy
import signal
import tomllib
from pathlib import Path

import pytest

from notcharch.platform import command

ROOT = Path(__file__).resolve().parents[3]


@pytest.fixture
def reload_signal():
    before = signal.getsignal(signal.SIGHUP)
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    yield signal.SIGHUP
    signal.signal(signal.SIGHUP, before)


def test_a_reload_signal_during_the_start_does_not_end_the_process(
    reload_signal, monkeypatch
):
    during_start = []

    def main() -> int:
        during_start.append(signal.getsignal(reload_signal))
        return 0

    monkeypatch.setattr(command, "main", main)
    with pytest.raises(SystemExit):
        runpy.run_module("notcharch.platform", run_name="__main__")
    assert during_start == [signal.SIG_IGN]


@pytest.mark.parametrize("path", ["start.py", "notcharch/platform/__main__.py"])
def test_the_reload_signal_is_ignored_before_any_other_import(path):
    """Guards against an import in which SIGHUP ends the process."""
    statements = ast.parse((ROOT / path).read_text()).body
    first = [ast.unparse(statement) for statement in statements[1:3]]
    assert first == [
        "import _signal",
        "_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)",
    ]


def test_the_run_line_begins_with_that_statement():
    """With `-m`, the interpreter imports `runpy` and two packages before it."""
    system = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    words = system["roles"]["notcharch"]["run"].split(" ")
    assert words[:4] == ["python3", "-S", "-OO", "start.py"]
