"""Runs a daemon on the platform, as `python3 -m notcharch.platform` does.

With `-m`, the interpreter imports `runpy` and two packages before the first statement of
the program. Until that statement, SIGHUP ends the process.
"""

import _signal

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import sys  # noqa: E402

from notcharch.platform.command import main  # noqa: E402

sys.exit(main())
