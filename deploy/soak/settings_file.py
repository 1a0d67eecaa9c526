"""The settings file of a daemon, and the ways in which it can be unfinished."""

import enum
from pathlib import Path
from random import Random

from result import Err

from notcharch.platform.settings import read_settings

LEAST_SECONDS, MOST_SECONDS = 0.1, 2.0
"""How long settings are unfinished."""
INVALID_VALUES = {
    "listen_addresses.front": ("127.0.0.1:", "127.0.0.1:port", ""),
    "platform.address": ("", "127.0.0.1"),
    "internal_port_range": ("", "first,last"),
    "platform.parts": ("many",),
    "bounds.grace_period_s": ("soon",),
}
"""Values that can't be read, by their keys."""


class SettingsFault(enum.Enum):
    """What is wrong with a settings file."""

    MISSING = "missing"
    EMPTY = "empty"
    CUT_IN_LINE = "cut in a line"
    CUT_AT_LINE = "cut at the end of a line"
    INVALID = "invalid"
    NO_TEXT = "no text"
    """Bytes that are no UTF-8, as after a broken copy."""


SHORT_SECONDS = 0.6
"""A daemon waits for longer than this for the end of a line that is cut."""


def spoiled(
    text: str, fault: SettingsFault, random: Random, seconds: float = MOST_SECONDS
) -> bytes | None:
    """Return unfinished bytes for so many seconds; None for no file.

    A cut that leaves valid settings can't be told from a whole file, so it is drawn only
    if it is in a line, and short.
    """
    if fault is SettingsFault.MISSING:
        return None
    if fault is SettingsFault.EMPTY:
        return b""
    if fault is SettingsFault.INVALID:
        return _with_invalid_value(text, random).encode()
    if fault is SettingsFault.NO_TEXT:
        return text.encode().replace(b"=", b"\xff", 1)
    return _cut(text, fault, random, seconds).encode()


def _cut(text: str, fault: SettingsFault, random: Random, seconds: float) -> str:
    is_in_line = fault is SettingsFault.CUT_IN_LINE
    cuts = [
        text[:place]
        for place in range(1, len(text))
        if ("\n" not in text[place - 1 : place + 1]) is is_in_line
        if is_in_line or text[place - 1] == "\n"
    ]
    if is_in_line and seconds <= SHORT_SECONDS:
        return random.choice(cuts)
    return random.choice([cut for cut in cuts if isinstance(read_settings(cut), Err)])


def _with_invalid_value(text: str, random: Random) -> str:
    key = random.choice(list(INVALID_VALUES))
    value = random.choice(INVALID_VALUES[key])
    lines = text.splitlines(keepends=True)
    return "".join(
        f"{key}={value}\n" if line.startswith(f"{key}=") else line for line in lines
    )


class SettingsFile:
    """The file of one daemon."""

    def __init__(self, path: Path, text: str) -> None:
        """Write it whole."""
        self.path = path
        self.text = text
        self.fault: SettingsFault | None = None
        self.write_whole()

    def write_whole(self) -> None:
        """Write it as it should be."""
        self.fault = None
        self.path.write_text(self.text)

    def spoil(self, fault: SettingsFault, random: Random, seconds: float) -> None:
        """Leave it unfinished; it is to be written whole after so many seconds."""
        self.fault = fault
        content = spoiled(self.text, fault, random, seconds)
        if content is None:
            self.path.unlink(missing_ok=True)
        else:
            self.path.write_bytes(content)
