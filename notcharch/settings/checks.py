"""Checks of settings that a range of one key cannot express.

They run on whole settings after each key is known to be in its range.
"""

import ipaddress
from collections.abc import Iterator

from notcharch.errors import Finding
from notcharch.settings.schema import Settings

HIGHEST_PORT = 65_535
OUTSIDE_SYSTEMS = ("log", "machine_list", "weight_store")


def findings_between_keys(settings: Settings) -> Iterator[Finding]:
    """Give findings with `section.key` as their place."""
    if not _is_ip_number(settings.daemon.host):
        yield Finding("daemon.host", "must be an IP number")
    for name in OUTSIDE_SYSTEMS:
        if not _is_address(getattr(settings.platform, name)):
            message = "must be an IP number and a port, such as 127.0.0.1:9000"
            yield Finding(f"platform.{name}", message)
    yield from _findings_of_membership(settings)
    yield from _findings_of_operators(settings)


def _findings_of_membership(settings: Settings) -> Iterator[Finding]:
    membership = settings.membership
    if membership.probe_timeout_seconds >= membership.probe_seconds:
        message = "must be below membership.probe_seconds"
        yield Finding("membership.probe_timeout_seconds", message)


def _findings_of_operators(settings: Settings) -> Iterator[Finding]:
    names: set[str] = set()
    for number, key in enumerate(settings.operators.keys):
        if key.name in names:
            place = f"operators.keys[{number}].name"
            yield Finding(place, f"{key.name} is there twice")
        names.add(key.name)


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    if not (port.isascii() and port.isdecimal()):
        return False
    return _is_ip_number(host) and 0 < int(port) <= HIGHEST_PORT


def _is_ip_number(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True
