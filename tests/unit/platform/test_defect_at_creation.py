"""A process that can't be created ends its daemon, also if nobody can be told."""

import contextlib
import sys
from unittest import mock

from result import Ok
from twisted.internet.testing import MemoryReactorClock

from notcharch.platform import daemon_run
from notcharch.platform.daemon_run import DaemonRun
from notcharch.settings.mechanisms import ALL_MECHANISMS
from tests.unit.platform.test_settings import TEXT


def test_a_defect_at_the_creation_ends_the_daemon_although_stderr_is_closed():
    """Guards against a daemon that lives without a process and never starts one."""
    reactor = MemoryReactorClock()
    run = DaemonRun(reactor, mock.Mock(), None, ALL_MECHANISMS)
    defect = mock.Mock(side_effect=RuntimeError("a defect"))
    with (
        mock.patch.object(daemon_run, "read_settings_file", lambda: Ok(TEXT)),
        mock.patch.object(daemon_run, "Process", defect),
        mock.patch.object(
            sys, "stderr", mock.Mock(write=mock.Mock(side_effect=OSError))
        ),
    ):
        run._settings._file._read = lambda: Ok(TEXT)
        with contextlib.suppress(OSError):
            run.start(Ok(TEXT))  # the real reactor goes on after an exception
        reactor.pump([0.1] * 50)
    assert reactor.hasStopped
    assert run.exit_status == daemon_run.DEFECT_STATUS
