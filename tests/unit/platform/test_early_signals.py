"""Signals that reach a daemon before it runs."""

import runpy
import signal

import pytest

from notcharch.platform import command


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
