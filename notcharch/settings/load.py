"""Reads settings from TOML text and flags, collecting every finding with its place."""

import math
import tomllib
import types
from collections.abc import Mapping
from typing import Any

import msgspec
from result import Err, Ok, Result

from notcharch.errors import Finding
from notcharch.settings.checks import findings_between_keys
from notcharch.settings.schema import Section, Settings

Overrides = Mapping[str, object]
"""Flags over file: `section.key` to value."""

FLAG = "--set"
"""How the place of a finding names a flag."""


def load_settings(
    text: str, source: str, overrides: Overrides = types.MappingProxyType({})
) -> Result[Settings, tuple[Finding, ...]]:
    """Check a TOML text, named `source` in findings, with flags laid over it."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Err((Finding(source, f"not valid TOML: {error}"),))
    findings: list[Finding] = []
    sections: dict[str, Section] = {}
    _check_unknown_sections(document, source, findings)
    _check_overrides(overrides, findings)
    for field in msgspec.structs.fields(Settings):
        values = _section_values(document, field.name, source, findings)
        flags = _flags_of(field.name, overrides)
        # What a flag replaces in the file is not read: the flag is in force.
        in_file = {key: value for key, value in values.items() if key not in flags}
        place = f"{source}: {field.name}"
        read = read_keys(field.type, in_file, place, findings)
        read |= read_keys(field.type, flags, f"{FLAG} {field.name}", findings)
        sections[field.name] = field.type(**read)
    if findings:
        return Err(tuple(findings))
    settings = Settings(**sections)  # type: ignore[arg-type]
    findings.extend(
        Finding(
            f"{_origin(finding.place, source, overrides)}{finding.place}",
            finding.message,
        )
        for finding in findings_between_keys(settings)
    )
    return Err(tuple(findings)) if findings else Ok(settings)


def _origin(place: str, source: str, overrides: Overrides) -> str:
    return f"{FLAG} " if place in overrides else f"{source}: "


def _check_overrides(overrides: Overrides, findings: list[Finding]) -> None:
    known = {field.name for field in msgspec.structs.fields(Settings)}
    findings.extend(
        Finding(f"{FLAG} {place}", "unknown section")
        for place in overrides
        if place.partition(".")[0] not in known
    )


def _check_unknown_sections(
    document: dict[str, Any], source: str, findings: list[Finding]
) -> None:
    known = {field.name for field in msgspec.structs.fields(Settings)}
    findings.extend(
        Finding(f"{source}: {name}", "unknown section")
        for name in sorted(set(document) - known)
    )


def _section_values(
    document: dict[str, Any], name: str, source: str, findings: list[Finding]
) -> dict[str, object]:
    values = document.get(name, {})
    if isinstance(values, dict):
        return dict(values)
    findings.append(Finding(f"{source}: {name}", "must be a section"))
    return {}


def _flags_of(section: str, overrides: Overrides) -> dict[str, object]:
    prefix = f"{section}."
    return {
        place.removeprefix(prefix): value
        for place, value in overrides.items()
        if place.startswith(prefix)
    }


def read_keys(
    section_type: type[msgspec.Struct],
    values: Mapping[str, object],
    place: str,
    findings: list[Finding],
) -> dict[str, Any]:
    """Check each key against a struct's field; gives those without a finding."""
    fields = {field.name: field for field in msgspec.structs.fields(section_type)}
    read: dict[str, Any] = {}
    for key, value in values.items():
        if key not in fields:
            findings.append(Finding(f"{place}.{key}", "unknown key"))
            continue
        if isinstance(value, float) and not math.isfinite(value):
            findings.append(Finding(f"{place}.{key}", "must be finite"))
            continue
        try:
            read[key] = msgspec.convert(value, fields[key].type)
        except msgspec.ValidationError as error:
            findings.append(Finding(f"{place}.{key}", str(error)))
    return read
