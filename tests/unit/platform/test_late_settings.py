"""A daemon whose settings file is written after its start."""

import json
import os
import subprocess
import sys
from pathlib import Path

from tests.unit.platform.test_settings import TEXT

ROOT = Path(__file__).resolve().parents[3]
STARTED_EVENT = 2400


def event_numbers(output):
    for line in output:
        yield json.loads(line).get("event_number")


def test_settings_that_are_written_late_do_not_end_the_daemon(tmp_path):
    settings = tmp_path / "settings.conf"
    settings.write_text("")
    text = TEXT.replace("10.1.0.38", "127.0.0.1").replace("10.200.1.7", "127.0.0.1")
    with subprocess.Popen(
        [sys.executable, "-m", "notcharch.platform"],
        cwd=ROOT,
        env=os.environ | {"NOTCHARCH_NODE_FILE": str(settings)},
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    ) as process:
        try:
            assert process.stdout is not None
            numbers = event_numbers(process.stdout)
            assert next(numbers, None) is not None, "it ended without a line"
            settings.write_text(text)
            assert STARTED_EVENT in numbers
        finally:
            process.kill()
