"""How the daemon process on the platform is put together."""

import pytest

from notcharch.calls.interface import NoLoadExchange
from notcharch.engine_load.exchange import EngineLoadExchange
from notcharch.engine_load.messages import AskEngineLoads
from notcharch.settings.mechanisms import ALL_MECHANISMS, Mechanism
from notcharch.stream_origins.messages import AskStreamOrigin
from tests.unit.platform.ports import ProcessWorld


def components(mechanisms):
    """Return the components of a process with an open port for peers."""
    world = ProcessWorld(mechanisms=mechanisms)
    world.start().close()
    return world.process._components


@pytest.mark.parametrize("is_on", [True, False], ids=["on", "off"])
def test_loads_are_exchanged_unless_switched_off(is_on):
    """Without its mechanism, a daemon must neither send nor answer its messages."""
    off = frozenset() if is_on else {Mechanism.SHARED_LOAD}
    built = components(ALL_MECHANISMS - off)
    kind = EngineLoadExchange if is_on else NoLoadExchange
    assert isinstance(built.loads, kind)
    assert (AskEngineLoads in built.network._handlers._requests) == is_on


def test_origins_of_streams_are_held_for_peers_and_restarts_are_reported_to_them():
    built = components(ALL_MECHANISMS)
    origins, services = built.origins, built.ingress._services
    assert AskStreamOrigin in built.network._handlers._requests
    assert services.origins is origins
    assert services.pool.on_restart == origins.engine_restarted
