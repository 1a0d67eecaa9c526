"""A leader that hashing does not name is found by what the replicas know.

After a member came back, hashing names it at once, while the group moves only when
the region is settled. Until then the leader may be nobody that a router asks.
"""

import pytest
from twisted.internet.defer import Deferred

from notcharch.engines.claims_service import ClaimsService
from notcharch.errors import ProblemCode
from notcharch.errors.problem import ProblemError
from notcharch.placement.partitions import partition_of_engine
from notcharch.programs.led_programs import LedPrograms
from notcharch.wire.messages.stewardship import ReadStewardship
from tests.unit.replication.region import Region

PARTITIONS = 4
PROGRAM = "region1-0-00000000000000aa"
ENGINE = "model-1"


class Handlers:
    """Keeps the handlers that a service registers."""

    def __init__(self):
        self.by_type = {}

    def on_request(self, message_type, handler):
        self.by_type[message_type] = handler


@pytest.fixture
def region():
    region = Region()
    region.run(1.0)
    return region


def not_leading(region, partition):
    """Give a replica that follows, and the name of its leader."""
    leader = region.leader_of(partition)
    other = next(name for name in region.services if name != leader)
    return region.services[other], leader


@pytest.mark.parametrize("question", ["state_of", "epoch_of"])
def test_a_follower_of_programs_names_the_leader(region, question):
    replicas, leader = not_leading(region, 0)
    programs = LedPrograms(replicas, lambda partition: None, lambda: 0.0)
    argument = PROGRAM if question == "state_of" else 0
    with pytest.raises(ProblemError) as raised:
        getattr(programs, question)(argument)
    assert raised.value.problem.is_code(ProblemCode.NOT_LEADER)
    assert raised.value.problem.hint == leader


def test_a_follower_of_claims_names_the_leader(region):
    replicas, leader = not_leading(region, partition_of_engine(ENGINE, PARTITIONS))
    handlers = Handlers()
    ClaimsService(handlers, replicas, PARTITIONS, region.clock, lambda partition: None)
    read = handlers.by_type[ReadStewardship]
    failures = []
    answer = Deferred.fromCoroutine(read(None, ReadStewardship(ENGINE)))
    answer.addErrback(lambda failure: failures.append(failure.value.problem))
    [problem] = failures
    assert problem.is_code(ProblemCode.NOT_LEADER)
    assert problem.hint == leader


def test_a_daemon_without_replicas_names_nobody(region):
    replicas, _ = not_leading(region, 0)
    assert replicas.leader_hint(PARTITIONS + 1) is None
