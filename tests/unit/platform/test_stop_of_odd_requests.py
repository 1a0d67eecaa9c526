"""One request that can't be answered as others are does not end a planned stop."""

import pytest

from tests.unit.platform.stop_world import KINDS, StopWorld


def head_request(world, route, seconds, body_bytes):
    caller = world.caller()
    request = caller.request(route, seconds, body=b"x" * body_bytes)
    return caller, request.replace(b"POST ", b"HEAD ", 1)


@pytest.mark.parametrize("kind", KINDS)
def test_a_head_request_whose_body_is_incomplete_does_not_end_the_checks(kind):
    """h11 refuses a body in the answer to HEAD; the stop made no further checks."""
    world = StopWorld()
    caller, request = head_request(world, kind, 1.0, 10)
    caller.send(request[:-5])
    world.run(0.5)
    world.stop()
    world.finish()


@pytest.mark.parametrize("kind", KINDS)
def test_a_head_request_that_waits_does_not_end_the_checks(kind):
    """The same for one that waits for a connection to an engine."""
    world = StopWorld()
    world.engines.is_connecting = True
    caller, request = head_request(world, kind, 7.0, 0)
    caller.send(request)
    world.run(0.5)
    world.stop()
    world.finish()


@pytest.mark.parametrize("kind", KINDS)
def test_a_head_request_at_an_engine_does_not_end_the_cut(kind):
    """The same for one that is cut."""
    world = StopWorld()
    caller, request = head_request(world, kind, 30.0, 0)
    caller.send(request)
    world.run(0.5)
    world.stop()
    world.finish()
