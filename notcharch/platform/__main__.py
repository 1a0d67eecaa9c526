"""Runs a daemon on the platform: `python3 -m notcharch.platform`."""

import signal
import sys

# Its default action would end the process while the modules are imported. The settings
# are read after that, and once more when the handlers are in place.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from notcharch.platform.command import main  # noqa: E402

sys.exit(main())
