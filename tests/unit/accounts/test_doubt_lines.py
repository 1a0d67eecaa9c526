"""Log lines that lead from a refusal for doubt to what was lost."""

from notcharch.accounts.doubt_log import INTERVAL_SECONDS, MAX_LINES, DoubtLog
from notcharch.accounts.doubt_sources import MAX_NOTED, NotedSources, bounded
from notcharch.accounts.gateways import Gateways
from notcharch.accounts.program_account import Program
from notcharch.events.accounts import BudgetDoubted, DoubtTaken, GatewayLost
from notcharch.journal.partition_journal import PartitionAssignment
from notcharch.values.doubts import DoubtCause, DoubtSource
from notcharch.values.identifiers import DaemonName, Incarnation, Member
from tests.unit.accounts.steps import EVENT, same_partition_program
from tests.unit.accounts.test_doubted_budgets import KeptProgram, lose_all
from tests.unit.accounts.test_dropped_turns import partition_of
from tests.unit.accounts.world import World
from tests.unit.events.capture import captured, of

OWN = Member(DaemonName("own"), Incarnation(1))
PEER = Member(DaemonName("peer"), Incarnation(1))
PEER_AGAIN = Member(DaemonName("peer"), Incarnation(2))


class Network:
    """The peers that an owner is connected with."""

    own_member = OWN

    def __init__(self) -> None:
        self.connected = {PEER.daemon: PEER.incarnation}

    def connected_process(self, daemon):
        return self.connected.get(daemon)


def test_a_doubt_names_the_call_that_was_lost_and_its_gateway():
    """Guards against a doubt that can't be traced to who lost it."""
    world = World()
    program = KeptProgram(world, 900)
    assert program.turn()
    owner = world.owner("p")
    at = next(at for at, name in enumerate(world.names) if name != owner)
    lost, listener = program.ask(at)
    assert listener.ticket is not None
    world.crash(world.names[at])
    with captured() as messages:
        program.ask(world.names.index(owner))
    taken = of(messages, DoubtTaken)
    (source,) = taken[0]["sources"]
    assert source["cause"] == DoubtCause.LOST_CALL.value
    assert (source["call"], source["gateway"]) == (lost.id, f"{world.names[at]} 1")
    gateways = of(messages, GatewayLost)
    assert [line["daemon"] for line in gateways] == [world.names[at]]
    assert gateways[0]["cause"] == "not connected"


def test_a_refusal_for_doubt_names_its_sources():
    """Guards against a 2310 that tells an amount alone."""
    world = World()
    world.store_turn(world.call(body=b"a"), EVENT)
    end = partition_of(world, "p").end
    world.store_turn(world.call(body=b"b"), EVENT)
    partition_of(world, "p").drop_before(end)
    world.restart_all()
    name = same_partition_program(world, "p")
    with captured() as messages:
        for _ in range(2):
            world.wait_for_decision(world.call(name, budget=2000, token_limit=570))
    refusal = of(messages, BudgetDoubted)[0]
    tokens = {source["cause"]: source["tokens"] for source in refusal["sources"]}
    assert tokens[DoubtCause.DROPPED_RECORDS.value] == refusal["unproven_tokens"] > 0


def test_a_program_without_a_record_names_the_allowance():
    """Guards against confusing an allowance with a bound."""
    world = World()
    lose_all(world)
    with captured() as messages:
        world.wait_for_decision(world.call("new"))
    (line,) = of(messages, DoubtTaken)
    assert [source["cause"] for source in line["sources"]] == [
        DoubtCause.ALLOWANCE.value
    ]


def test_each_doubt_is_logged_once():
    """Guards against a line for each call of a doubted program."""
    world = World()
    lose_all(world)
    with captured() as messages:
        for _ in range(4):
            world.wait_for_decision(world.call("new"))
    assert len(of(messages, DoubtTaken)) == 1


def test_thousands_of_doubted_programs_write_few_lines():
    """Guards against a line for each program after a takeover."""
    now = [0.0]
    log = DoubtLog(PartitionAssignment(0, "t", 1, 1), lambda: now[0])

    def tell(number: int) -> None:
        program = Program()
        program.doubted = 5
        program.noted.add(DoubtSource(DoubtCause.ALLOWANCE, 5))
        log.tell(f"p{number}", program)

    with captured() as messages:
        for number in range(3000):
            tell(number)
    assert len(of(messages, DoubtTaken)) == MAX_LINES
    now[0] = INTERVAL_SECONDS
    with captured() as messages:
        tell(3000)
    (line,) = of(messages, DoubtTaken)
    assert line["omitted_lines"] == 3000 - MAX_LINES


def test_a_program_keeps_few_sources_and_loses_no_tokens():
    """Guards against sources that grow with the losses of a program."""
    noted = NotedSources()
    for number in range(40):
        noted.add(DoubtSource(DoubtCause.LOST_CALL, 10, f"c{number}"))
    sources = noted.all()
    assert len(sources) == MAX_NOTED + 1
    assert sum(source.tokens for source in sources) == 400
    assert [source.call for source in sources[1:]] == ["c37", "c38", "c39"]
    assert sum(source.tokens for source in bounded(sources, 1)) == 400


def test_a_lost_gateway_is_logged_once_with_the_cause():
    """Guards against losses that no line tells, and against a line for each call."""
    network = Network()
    gateways = Gateways(network)
    with captured() as messages:
        assert not gateways.is_lost(PEER)
        network.connected = {}
        assert gateways.is_lost(PEER)
        assert gateways.is_lost(PEER)
    lines = of(messages, GatewayLost)
    assert [(line["cause"], line["newest_incarnation"]) for line in lines] == [
        ("not connected", None)
    ]
    network.connected = {PEER.daemon: PEER.incarnation}
    assert not gateways.is_lost(PEER)
    network.connected = {}
    with captured() as messages:
        assert gateways.is_lost(PEER)
    assert len(of(messages, GatewayLost)) == 1


def test_a_gateway_that_was_followed_by_another_process_names_it():
    """Guards against a loss whose line does not tell the new process."""
    network = Network()
    network.connected = {PEER.daemon: PEER_AGAIN.incarnation}
    gateways = Gateways(network)
    with captured() as messages:
        assert gateways.is_lost(PEER)
    (line,) = of(messages, GatewayLost)
    assert line["incarnation"] == PEER.incarnation
    assert line["newest_incarnation"] == PEER_AGAIN.incarnation


def test_the_calls_of_a_former_process_of_the_owner_itself_are_lost():
    """Guards against calls that count as running since their daemon is the owner."""
    gateways = Gateways(Network())
    assert not gateways.is_lost(OWN)
    assert gateways.is_lost(Member(OWN.daemon, Incarnation(7)))
