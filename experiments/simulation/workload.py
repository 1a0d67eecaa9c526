"""Workloads as TOML files: services, engines, faults; checked with all findings.

Ranges are pairs `[least, greatest]`, drawn evenly. Tokens are counts, times are
in seconds. A service's `work_part` is its part of the load of its pool.
"""

import tomllib
from importlib.resources import files
from typing import Annotated, Any

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from emulator.engine.rates import EngineRates
from emulator.settings import default_rates
from notcharch.clients.ports import MachineKind
from notcharch.errors import Finding
from notcharch.settings.load import read_keys
from notcharch.settings.schema import Section

Range = tuple[float, float]
Part = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=0)]

MODEL_POOL = "model"
APPLICATION_POOL = "application"
FILE_SUFFIX = ".toml"


class RunSection(Section, frozen=True, kw_only=True):
    """`[run]`: engines, and for how long programs arrive."""

    model_engines: Annotated[int, Meta(ge=1, le=100)] = 6
    application_engines: Annotated[int, Meta(ge=1, le=100)] = 3
    arrival_seconds: Annotated[float, Meta(gt=0, le=3600)] = 240.0
    drain_seconds: Seconds = 240.0
    """Programs that are under way then are measured for so long at most."""

    warm_up_seconds: Seconds = 20.0
    """Programs that begin earlier load the engines but are not measured."""


class BurstSection(Section, frozen=True, kw_only=True):
    """`[burst]`: the load named `burst` multiplies arrivals for a while."""

    base_load: Annotated[float, Meta(gt=0)] = 0.8
    factor: Annotated[float, Meta(ge=1)] = 3.0
    begin: Seconds = 90.0
    seconds: Seconds = 20.0


class ServiceSection(Section, frozen=True, kw_only=True):
    """`[[services]]`: a row of the table, and how its programs behave."""

    name: str = ""
    pool: Annotated[str, Meta(pattern="^(model|application)$")] = MODEL_POOL
    share: Annotated[float, Meta(gt=0)] = 1.0
    priority: Annotated[int, Meta(ge=0, le=9)] = 5
    budget_tokens: Annotated[int, Meta(ge=1)] = 10_000_000
    concurrency: Annotated[int, Meta(ge=1)] = 1000
    max_wait_seconds: Annotated[float, Meta(gt=0)] = 60.0
    max_answer_tokens: Annotated[int, Meta(ge=1)] = 256

    work_part: Part = 0.0
    endless_programs: Count = 0
    """So many programs loop without end instead of arriving by load."""

    turns: Range = (1, 1)
    first_prompt_tokens: Range = (100, 100)
    prompt_tokens: Range = (50, 50)
    answer_tokens: Range = (50, 50)
    pause_seconds: Range = (0, 0)
    child_chance: Part = 0.0
    """Chance of a turn to spawn one or two sub-agents."""

    child_turns: Range = (2, 4)
    hang_chance: Part = 0.0
    """Chance of a tool's call to hang for `hang_seconds`."""

    hang_seconds: Seconds = 60.0
    patience_seconds: Annotated[float, Meta(gt=0)] = 600.0
    """A caller gives up when a call has taken so long."""

    repeat_after_seconds: Seconds = 0.0
    """A caller sends a call again after so long without a token; 0: never."""

    flood_factor: Annotated[float, Meta(ge=1)] = 1.0
    flood_begin: Seconds = 0.0
    flood_seconds: Seconds = 0.0

    def is_well_behaved(self) -> bool:
        """Tell whether its programs neither flood nor loop."""
        return self.flood_factor == 1.0 and not self.endless_programs


class DepartureSection(Section, frozen=True, kw_only=True):
    """`[[departures]]`: an engine leaves, is gone later and then comes back."""

    engine: str = ""
    at: Seconds = 0.0
    gone_after: Seconds = 15.0
    back_after: Seconds = 60.0


class Workload(msgspec.Struct, frozen=True, kw_only=True):
    """A whole workload file."""

    name: str
    run: RunSection
    burst: BurstSection
    services: tuple[ServiceSection, ...]
    departures: tuple[DepartureSection, ...]
    model_engine: EngineRates
    application_engine: EngineRates

    def rates_of(self, pool: str) -> EngineRates:
        """Give the rates of a pool's engines."""
        if pool == APPLICATION_POOL:
            return self.application_engine
        return self.model_engine

    def engines_of(self, pool: str) -> int:
        """Count a pool's engines."""
        if pool == APPLICATION_POOL:
            return self.run.application_engines
        return self.run.model_engines


def workload_names() -> tuple[str, ...]:
    """Give the names of the built-in workloads."""
    entries = files("experiments").joinpath("workload_files").iterdir()
    names = (entry.name for entry in entries if entry.name.endswith(FILE_SUFFIX))
    return tuple(sorted(name.removesuffix(FILE_SUFFIX) for name in names))


def built_in_workload(name: str) -> Result[Workload, tuple[Finding, ...]]:
    """Load a built-in workload by name."""
    if name not in workload_names():
        known = ", ".join(workload_names())
        return Err((Finding(name, f"unknown workload; there are: {known}"),))
    path = files("experiments").joinpath("workload_files", name + FILE_SUFFIX)
    return load_workload(path.read_text(encoding="utf-8"), name)


def load_workload(text: str, name: str) -> Result[Workload, tuple[Finding, ...]]:
    """Check a TOML text; findings name the workload and the key."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Err((Finding(name, f"not valid TOML: {error}"),))
    findings = [
        Finding(f"{name}: {key}", "unknown section")
        for key in sorted(set(document) - SECTIONS)
    ]
    workload = Workload(
        name=name,
        run=RunSection(**_section(document, "run", RunSection, name, findings)),
        burst=BurstSection(**_section(document, "burst", BurstSection, name, findings)),
        services=tuple(
            ServiceSection(**read_keys(ServiceSection, entry, place, findings))
            for place, entry in _entries(document, "services", name, findings)
        ),
        departures=tuple(
            DepartureSection(**read_keys(DepartureSection, entry, place, findings))
            for place, entry in _entries(document, "departures", name, findings)
        ),
        model_engine=_rates(document, MachineKind.MODEL_ENGINE, name, findings),
        application_engine=_rates(
            document, MachineKind.APPLICATION_ENGINE, name, findings
        ),
    )
    findings.extend(_check(workload))
    return Err(tuple(findings)) if findings else Ok(workload)


SECTIONS = frozenset(Workload.__struct_fields__) - {"name"}


def _check(workload: Workload) -> list[Finding]:
    findings: list[Finding] = []
    names = [service.name for service in workload.services]
    if not names:
        findings.append(Finding(f"{workload.name}: services", "there is none"))
    for number, service in enumerate(workload.services):
        place = f"{workload.name}: services[{number}]"
        if not service.name or names.count(service.name) > 1:
            findings.append(Finding(f"{place}.name", "must be there and unique"))
        for field in msgspec.structs.fields(ServiceSection):
            value = getattr(service, field.name)
            if isinstance(value, tuple) and value[0] > value[1]:
                findings.append(Finding(f"{place}.{field.name}", "least > greatest"))
    for pool in (MODEL_POOL, APPLICATION_POOL):
        part = sum(s.work_part for s in workload.services if s.pool == pool)
        if part > 1 + 1e-9:
            findings.append(
                Finding(f"{workload.name}: services", f"{pool} work parts above 1")
            )
    return findings


def _section(
    document: dict[str, Any],
    key: str,
    section: type[Section],
    name: str,
    findings: list[Finding],
) -> dict[str, Any]:
    values = document.get(key, {})
    if isinstance(values, dict):
        return read_keys(section, values, f"{name}: {key}", findings)
    findings.append(Finding(f"{name}: {key}", "must be a section"))
    return {}


def _entries(
    document: dict[str, Any], key: str, name: str, findings: list[Finding]
) -> list[tuple[str, dict[str, Any]]]:
    entries = document.get(key, [])
    if isinstance(entries, list) and all(isinstance(e, dict) for e in entries):
        return [(f"{name}: {key}[{n}]", entry) for n, entry in enumerate(entries)]
    findings.append(Finding(f"{name}: {key}", f"must be sections [[{key}]]"))
    return []


def _rates(
    document: dict[str, Any], kind: MachineKind, name: str, findings: list[Finding]
) -> EngineRates:
    values = document.get(kind.value, {})
    if not isinstance(values, dict):
        findings.append(Finding(f"{name}: {kind.value}", "must be a section"))
        values = {}
    changes = read_keys(EngineRates, values, f"{name}: {kind.value}", findings)
    return msgspec.structs.replace(default_rates(kind), **changes)
