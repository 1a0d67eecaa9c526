"""A daemon that does not lead a partition returns a hint to the leader."""

import pytest
from twisted.internet.defer import Deferred

from notcharch.engines.claims_service import ClaimsService
from notcharch.errors import ProblemCode
from notcharch.errors.problem import ProblemError
from notcharch.placement.partitions import partition_of_engine
from notcharch.programs.led_programs import LedPrograms
from notcharch.wire.messages.stewardship import ReadStewardship
from tests.unit.partitions.world import World

PARTITIONS = 4
PROGRAM = "region1-0-00000000000000aa"
ENGINE = "model-1"


class Handlers:
    """Stores the handlers that a service registers."""

    def __init__(self):
        self.by_type = {}

    def on_request(self, message_type, handler):
        self.by_type[message_type] = handler


@pytest.fixture
def region():
    region = World()
    region.run(6.0)
    return region


def follower_and_leader(region, partition):
    """Return the partitions of a daemon that does not lead one, and its leader."""
    leader = region.leader(partition)
    other = next(name for name in region.services if name != leader)
    return region.services[other], leader


@pytest.mark.parametrize("method", ["state_of", "epoch_of"])
def test_a_follower_of_programs_names_the_leader(region, method):
    partitions, leader = follower_and_leader(region, 0)
    programs = LedPrograms(partitions, lambda partition: None, lambda: 0.0)
    argument = PROGRAM if method == "state_of" else 0
    with pytest.raises(ProblemError) as raised:
        getattr(programs, method)(argument)
    assert raised.value.problem.is_code(ProblemCode.NOT_LEADER)
    assert raised.value.problem.hint == leader


def test_a_follower_of_claims_names_the_leader(region):
    partitions, leader = follower_and_leader(
        region, partition_of_engine(ENGINE, PARTITIONS)
    )
    handlers = Handlers()
    ClaimsService(
        handlers, partitions, PARTITIONS, region.clock, lambda partition: None
    )
    read = handlers.by_type[ReadStewardship]
    failures = []
    response = Deferred.fromCoroutine(read(None, ReadStewardship(ENGINE)))
    response.addErrback(lambda failure: failures.append(failure.value.problem))
    [problem] = failures
    assert problem.is_code(ProblemCode.NOT_LEADER)
    assert problem.hint == leader


def test_a_partition_that_there_is_not_has_no_leader(region):
    partitions, _ = follower_and_leader(region, 0)
    assert partitions.leader_hint(PARTITIONS + 1) is None
