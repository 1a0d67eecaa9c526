"""Every finding is given at once, with the place where it is to be mended."""

import pytest
from result import Err, Ok

from notcharch.settings.load import load_settings
from notcharch.settings.schema import Settings

FILE = "n.toml"
KEY = 'key_sha256 = "' + "a" * 64 + '"'


def findings(text: str = "", **overrides: object) -> dict[str, str]:
    flags = {place.replace("__", "."): value for place, value in overrides.items()}
    settings = load_settings(text, FILE, flags)
    assert isinstance(settings, Err), settings
    return {finding.place: finding.message for finding in settings.err_value}


def test_nothing_gives_every_default():
    assert load_settings("", FILE) == Ok(Settings())


BAD = (
    ("daemon = 3", "n.toml: daemon"),
    ("[nosuch]", "n.toml: nosuch"),
    ("[daemon]\nnosuch = 1", "n.toml: daemon.nosuch"),
    ("[daemon]\nname = 7", "n.toml: daemon.name"),
    ('[daemon]\nname = ""', "n.toml: daemon.name"),
    ('[daemon]\nregion = "Nord 1"', "n.toml: daemon.region"),
    ('[daemon]\nhost = "localhost"', "n.toml: daemon.host"),
    ('[daemon]\nhttp_port = "8080"', "n.toml: daemon.http_port"),
    ("[daemon]\nhttp_port = 65536", "n.toml: daemon.http_port"),
    ("[daemon]\nhttp_port = true", "n.toml: daemon.http_port"),
    ("[daemon]\ndrain_seconds = nan", "n.toml: daemon.drain_seconds"),
    ("[daemon]\ndrain_seconds = inf", "n.toml: daemon.drain_seconds"),
    ("[daemon]\ndrain_seconds = 0", "n.toml: daemon.drain_seconds"),
    ("[gateway]\nidle_seconds = nan", "n.toml: gateway.idle_seconds"),
    ("[gateway]\nidle_seconds = inf", "n.toml: gateway.idle_seconds"),
    ('[platform]\nlog = "log.example:9000"', "n.toml: platform.log"),
    ('[platform]\nlog = "127.0.0.1"', "n.toml: platform.log"),
    ('[platform]\nlog = "127.0.0.1:0"', "n.toml: platform.log"),
    ('[platform]\nlog = "127.0.0.1:x"', "n.toml: platform.log"),
    (
        "[membership]\nprobe_timeout_seconds = 1.0",
        "n.toml: membership.probe_timeout_seconds",
    ),
    ('[operators]\nkeys = [{name = "a"}]', "n.toml: operators.keys"),
    (
        f'[operators]\nkeys = [{{name = "a", {KEY}, role = "owner"}}]',
        "n.toml: operators.keys",
    ),
    (
        "[operators]\nkeys = ["
        + ", ".join([f'{{name = "a", {KEY}, role = "viewer"}}'] * 2)
        + "]",
        "n.toml: operators.keys[1].name",
    ),
    ("[daemon", "n.toml"),
)


@pytest.mark.parametrize(("text", "place"), BAD)
def test_bad_text_is_one_finding_with_its_place(text, place):
    assert list(findings(text)) == [place]


def test_findings_of_file_and_flags_come_together():
    found = findings(
        "[nosuch]\n[daemon]\nnosuch = 1\nhttp_port = -1\n[gateway]\nbody_bytes = 1",
        daemon__peer_port="x",
        other__key=1,
        table__nosuch=1,
    )
    assert set(found) == {
        "n.toml: nosuch",
        "n.toml: daemon.nosuch",
        "n.toml: daemon.http_port",
        "n.toml: gateway.body_bytes",
        "--set daemon.peer_port",
        "--set other.key",
        "--set table.nosuch",
    }


def test_flag_is_in_force_over_the_file():
    text = "[daemon]\nhttp_port = -1\npeer_port = 7"
    settings = load_settings(text, FILE, {"daemon.http_port": 9}).unwrap()
    assert (settings.daemon.http_port, settings.daemon.peer_port) == (9, 7)


def test_flag_is_the_place_of_a_finding_between_keys():
    assert list(findings(platform__log="nowhere")) == ["--set platform.log"]


@pytest.mark.parametrize("address", ["10.0.0.1:9000", "[::1]:9000"])
def test_addresses_are_ip_numbers_with_ports(address):
    assert load_settings(f'[platform]\nlog = "{address}"', FILE).is_ok()
