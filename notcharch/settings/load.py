"""Reads settings from TOML text and flags, collecting every finding with its place."""

import tomllib
import types
from collections.abc import Mapping
from typing import Any

import msgspec
from result import Err, Ok, Result

from notcharch.errors import Finding
from notcharch.settings.schema import Section, Settings

Overrides = Mapping[str, object]
"""Flags over file: `section.key` to value."""


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
    for field in msgspec.structs.fields(Settings):
        values = _section_values(document, field.name, source, findings)
        _lay_over(values, field.name, overrides)
        sections[field.name] = _read_section(
            field.type, values, f"{source}: {field.name}", findings
        )
    if findings:
        return Err(tuple(findings))
    return Ok(Settings(**sections))  # type: ignore[arg-type]


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


def _lay_over(values: dict[str, object], section: str, overrides: Overrides) -> None:
    for place, value in overrides.items():
        section_name, _, key = place.partition(".")
        if section_name == section:
            values[key] = value


def _read_section(
    section_type: type[Section],
    values: dict[str, object],
    place: str,
    findings: list[Finding],
) -> Section:
    return section_type(**read_keys(section_type, values, place, findings))


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
        try:
            read[key] = msgspec.convert(value, fields[key].type)
        except msgspec.ValidationError as error:
            findings.append(Finding(f"{place}.{key}", str(error)))
    return read
