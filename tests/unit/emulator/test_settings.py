"""Settings: all findings together, and a source for each rate."""

from pathlib import Path

import pytest
from result import Err

from emulator.engine.rates import EngineRates
from emulator.faults import FaultKind
from emulator.settings import (
    ENGINE_KINDS,
    GeneralSection,
    default_rates,
    example_settings,
    load_emulator_settings,
    sourced_rates,
)
from notcharch.clients.ports import MachineKind


def test_the_example_is_clean_and_has_the_defaults():
    settings = load_emulator_settings(example_settings(), "example").unwrap()
    assert settings.emulator == GeneralSection()
    assert len(settings.engines) == 9
    assert settings.model_engine == default_rates(MachineKind.MODEL_ENGINE)


@pytest.mark.parametrize("kind", ENGINE_KINDS)
def test_each_rate_says_where_it_is_from(kind):
    rates = sourced_rates(kind)
    assert set(rates) == set(EngineRates.__struct_fields__)
    assert {rate.basis for rate in rates.values()} <= {"given", "derived", "assumed"}


def test_the_rates_meet_the_sizes_they_are_derived_from():
    rates = default_rates(MachineKind.MODEL_ENGINE)
    longest_step = rates.step_time(rates.slots, rates.chunk_tokens)
    assert longest_step <= 0.076
    tokens_per_second = rates.slots / rates.step_time(rates.slots, 0)
    assert tokens_per_second * 6 / 7 >= 7_500_000 / 2_700
    assert rates.total_blocks * rates.block_tokens > 850_000


# TOML text, places of all findings
FINDINGS = [
    ("x = ", ["f"]),
    ("[emulator]\nhosts = 1\nseed = 'a'", ["f: emulator.hosts", "f: emulator.seed"]),
    ("emulator = 3\n[other]", ["f: emulator", "f: other"]),
    ("engines = 3", ["f: engines"]),
    ("[[engines]]\nport = 70000", ["f: engines[0].port", "f: engines[0].name"]),
    ("[[engines]]\nname = 'a'\n[[engines]]\nname = 'a'", ["f: engines[1].name"]),
    ("[[engines]]\nname = 'a'\nkind = 'daemon'", ["f: engines[0].kind"]),
    (
        "[model_engine]\nslots = 0\ncache_event_loss = 2\n[application_engine]\nx = 1",
        [
            "f: model_engine.slots",
            "f: model_engine.cache_event_loss",
            "f: application_engine.x",
        ],
    ),
]


@pytest.mark.parametrize(("text", "places"), FINDINGS)
def test_all_findings_come_together(text, places):
    findings = load_emulator_settings(text, "f")
    assert isinstance(findings, Err)
    assert [finding.place for finding in findings.err_value] == places


def test_a_rate_can_be_changed_alone():
    settings = load_emulator_settings("[model_engine]\nslots = 3", "f").unwrap()
    assert settings.model_engine.slots == 3
    assert settings.model_engine.block_tokens == 64


def test_the_page_explains_every_fault():
    page = Path(__file__).parents[3] / "docs" / "emulator.md"
    rows = [line for line in page.read_text().splitlines() if line.startswith("| `")]
    explained = [row.split("`")[1] for row in rows]
    assert explained == [fault.value for fault in FaultKind]
