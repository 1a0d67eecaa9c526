"""What the soak's callers do when it is over."""

from random import Random

import pytest
from twisted.internet.testing import MemoryReactorClock

from deploy.soak.callers import Callers
from deploy.soak.large_turns import LargeTurns
from deploy.soak.oracle import Oracle
from deploy.soak.tenants import Tenants


class Daemon:
    """A daemon that callers may choose."""

    name = "d0"
    front = 1


@pytest.mark.parametrize(("is_running", "asked"), [(True, 1), (False, 0)])
def test_a_caller_that_comes_back_after_the_end_asks_nothing(is_running, asked):
    reactor = MemoryReactorClock()
    oracle = Oracle()
    callers = Callers(
        reactor,
        Random(1),
        oracle,
        lambda: [Daemon()],
        tenants=Tenants(Random(1)),
        large=LargeTurns(Random(1)),
    )
    callers.is_running = is_running
    tenant = callers._tenants.all[0]
    callers._turn(tenant, "p", b"said", "", b"", is_kept=False)
    assert len(oracle.asked) == asked
    assert len(reactor.tcpClients) == asked
