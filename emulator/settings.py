"""Settings of the emulator: a TOML file, checked, with all findings together.

Rates that the file does not give come from `rates.toml` beside this module, which
names where each number is from.
"""

import tomllib
from importlib.resources import files
from typing import Annotated, Any

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from emulator.engine.rates import EngineRates
from notcharch.clients.ports import MachineKind
from notcharch.errors import Finding
from notcharch.settings.load import read_keys
from notcharch.settings.schema import Section

ENGINE_KINDS = (MachineKind.MODEL_ENGINE, MachineKind.APPLICATION_ENGINE)
PortNumber = Annotated[int, Meta(ge=0, le=65_535)]


class GeneralSection(Section, frozen=True, kw_only=True):
    """`[emulator]`: what all stand-ins share. Port 0 takes any free port."""

    host: str = "127.0.0.1"
    control_port: PortNumber = 0
    """Of the log, machine list, weight store, tools and fault control."""

    region: str = "region1"
    seed: int = 1
    steps_per_report: Annotated[int, Meta(ge=1)] = 1
    """Engine steps, one token of a stream each, that are written together."""

    machine_list_lag_seconds: Annotated[float, Meta(ge=0)] = 1.0
    seconds_between_pulls: Annotated[float, Meta(ge=0)] = 10.0
    pull_seconds: Annotated[float, Meta(gt=0)] = 30.0
    tool_seconds: Annotated[float, Meta(ge=0)] = 0.2


class EngineSection(Section, frozen=True, kw_only=True):
    """`[[engines]]`: one engine; without pools it serves any model."""

    name: str = ""
    kind: MachineKind = MachineKind.MODEL_ENGINE
    zone: str = "zone1"
    pools: tuple[str, ...] = ()
    port: PortNumber = 0


class EmulatorSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that the emulator needs to start."""

    emulator: GeneralSection
    engines: tuple[EngineSection, ...]
    model_engine: EngineRates
    application_engine: EngineRates

    def rates_of(self, kind: MachineKind) -> EngineRates:
        """Give the rates of a kind of engine."""
        if kind is MachineKind.APPLICATION_ENGINE:
            return self.application_engine
        return self.model_engine


class SourcedNumber(msgspec.Struct, frozen=True):
    """A number of `rates.toml`, and where it is from."""

    value: float
    unit: str
    basis: Annotated[str, Meta(pattern="^(given|derived|assumed)$")]
    source: Annotated[str, Meta(min_length=1)]


def sourced_rates(kind: MachineKind) -> dict[str, SourcedNumber]:
    """Give the default rates of a kind of engine, with their sources."""
    document = tomllib.loads(_package_text("rates.toml"))
    return msgspec.convert(document[kind.value], dict[str, SourcedNumber])


def default_rates(kind: MachineKind) -> EngineRates:
    """Give the default rates of a kind of engine."""
    numbers = {name: rate.value for name, rate in sourced_rates(kind).items()}
    return msgspec.convert(numbers, EngineRates, strict=False)


def example_settings() -> str:
    """Give the text of the example, which also runs when no file is named."""
    return _package_text("example.toml")


def load_emulator_settings(
    text: str, source: str
) -> Result[EmulatorSettings, tuple[Finding, ...]]:
    """Check a TOML text, named `source` in findings."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Err((Finding(source, f"not valid TOML: {error}"),))
    findings: list[Finding] = []
    settings = EmulatorSettings(
        emulator=GeneralSection(
            **read_keys(
                GeneralSection,
                _table(document, "emulator", source, findings),
                f"{source}: emulator",
                findings,
            )
        ),
        engines=_read_engines(document, source, findings),
        model_engine=_read_rates(document, MachineKind.MODEL_ENGINE, source, findings),
        application_engine=_read_rates(
            document, MachineKind.APPLICATION_ENGINE, source, findings
        ),
    )
    findings.extend(
        Finding(f"{source}: {name}", "unknown section")
        for name in sorted(set(document) - set(EmulatorSettings.__struct_fields__))
    )
    return Err(tuple(findings)) if findings else Ok(settings)


def _table(
    document: dict[str, Any], name: str, source: str, findings: list[Finding]
) -> dict[str, Any]:
    values = document.get(name, {})
    if isinstance(values, dict):
        return values
    findings.append(Finding(f"{source}: {name}", "must be a section"))
    return {}


def _read_engines(
    document: dict[str, Any], source: str, findings: list[Finding]
) -> tuple[EngineSection, ...]:
    entries = document.get("engines", [])
    if not isinstance(entries, list) or not all(isinstance(e, dict) for e in entries):
        findings.append(Finding(f"{source}: engines", "must be sections [[engines]]"))
        return ()
    engines: list[EngineSection] = []
    for number, entry in enumerate(entries):
        place = f"{source}: engines[{number}]"
        engine = EngineSection(**read_keys(EngineSection, entry, place, findings))
        _check_engine(engine, engines, place, findings)
        engines.append(engine)
    return tuple(engines)


def _check_engine(
    engine: EngineSection,
    earlier: list[EngineSection],
    place: str,
    findings: list[Finding],
) -> None:
    if not engine.name:
        findings.append(Finding(f"{place}.name", "is missing"))
    elif engine.name in {other.name for other in earlier}:
        findings.append(Finding(f"{place}.name", f"{engine.name} is there twice"))
    if engine.kind not in ENGINE_KINDS:
        findings.append(Finding(f"{place}.kind", "must be an engine's"))


def _read_rates(
    document: dict[str, Any], kind: MachineKind, source: str, findings: list[Finding]
) -> EngineRates:
    given = _table(document, kind.value, source, findings)
    place = f"{source}: {kind.value}"
    changes = read_keys(EngineRates, given, place, findings)
    return msgspec.structs.replace(default_rates(kind), **changes)


def _package_text(name: str) -> str:
    return files("emulator").joinpath(name).read_text(encoding="utf-8")
