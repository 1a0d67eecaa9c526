"""Command line options for the settings file and for overrides of its keys.

An override is `--set section.key=value`; the value is parsed as TOML, or taken as plain
text if it is not valid TOML.
"""

import argparse
import sys
import tomllib
from collections.abc import Iterable
from pathlib import Path

from result import Err, Result

from notcharch.errors import Finding
from notcharch.settings.load import load_settings
from notcharch.settings.schema import Settings

NO_FILE = "(no settings file)"


FILE_HELP = "settings file (TOML); defaults apply if omitted"


def add_settings_argument(parser: argparse.ArgumentParser) -> None:
    """Add the settings file as a positional argument, and `--set`."""
    parser.add_argument(
        "settings_file", nargs="?", type=Path, metavar="FILE", help=FILE_HELP
    )
    _add_overrides(parser)


def add_settings_option(parser: argparse.ArgumentParser) -> None:
    """Add the settings file as `--config`, and `--set`."""
    parser.add_argument(
        "--config", dest="settings_file", type=Path, metavar="FILE", help=FILE_HELP
    )
    _add_overrides(parser)


def _add_overrides(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--set",
        dest="overrides",
        action="append",
        default=[],
        metavar="SECTION.KEY=VALUE",
        help="override a key of the settings file; may be repeated",
    )


def settings_of(
    arguments: argparse.Namespace,
) -> Result[Settings, tuple[Finding, ...]]:
    """Load the settings that the arguments name, or return all findings."""
    findings: list[Finding] = []
    text = _read_file(arguments.settings_file, findings)
    overrides = _read_overrides(arguments.overrides, findings)
    source = str(arguments.settings_file or NO_FILE)
    settings = load_settings(text, source, overrides)
    if isinstance(settings, Err):
        findings.extend(settings.err_value)
    if findings:
        return Err(tuple(findings))
    return settings


def print_findings(findings: Iterable[Finding]) -> None:
    """Print findings on standard error, one line each."""
    for finding in findings:
        sys.stderr.write(f"{finding.place}: {finding.message}\n")


def _read_file(path: Path | None, findings: list[Finding]) -> str:
    if path is None:
        return ""
    try:
        return path.read_text(encoding="utf-8")
    except OSError as error:
        findings.append(Finding(str(path), error.strerror or "cannot be read"))
    except UnicodeDecodeError:
        findings.append(Finding(str(path), "is not UTF-8 text"))
    return ""


def _read_overrides(texts: list[str], findings: list[Finding]) -> dict[str, object]:
    overrides: dict[str, object] = {}
    for text in texts:
        key, separator, value = text.partition("=")
        if not separator or "." not in key:
            findings.append(Finding(f"--set {text}", "must be SECTION.KEY=VALUE"))
            continue
        overrides[key] = _read_value(value)
    return overrides


def _read_value(text: str) -> object:
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text
