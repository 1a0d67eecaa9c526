"""Runs a daemon on the platform: `python3 -m notcharch.platform`.

The platform runs start.py of the repository's root in its place, which does the same.
"""

# The default action of SIGHUP would end the process while modules are imported. The
# builtin module is there at once; `signal` would import others first. The settings are
# read after the imports.
import _signal  # type: ignore[import-not-found]

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import sys  # noqa: E402

from notcharch.platform.command import main  # noqa: E402

sys.exit(main())
