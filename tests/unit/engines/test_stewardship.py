"""Stewards' claims, epochs and fencing, without a majority or with split views."""

from notcharch.clients.ports import OrderKind
from notcharch.errors import ProblemCode
from notcharch.values.identifiers import DaemonName, EngineName, Member
from notcharch.wire.messages.engines import DrainEngine, ListEngines
from tests.unit.engines.calls import admitted, enqueue, place
from tests.unit.engines.region import Region

E1 = EngineName("e1")


def send_request(region, node, message, to="d1"):
    pending = region.nodes[node].network.request(DaemonName(to), message, 100.0)
    region.run(0.1)
    return pending


def epoch_of(region, node):
    engine_steward = region.nodes[node].stewards._engine_stewards.get(E1)
    return engine_steward.stewardship.epoch if engine_steward else None


def move(region, to):
    """Assign e1 to another steward in every daemon's view."""
    region.stewards[E1] = DaemonName(to)
    region.run(3.0)


def test_a_steward_without_a_claim_queues_and_grants_nothing():
    region = Region(daemons=2, engines=1)
    region.partitions.majority = False
    move(region, "d2")
    waiting = place(region.nodes["d1"])
    region.run(2.0)
    assert not waiting.called
    region.partitions.majority = True
    region.run(2.0)
    assert waiting.result.unwrap().engine == E1


def test_an_old_claim_grants_without_a_majority_but_gives_no_orders():
    region = Region(daemons=2, engines=1)
    region.partitions.majority = False
    region.run(30.0)
    granted = place(region.nodes["d2"])
    region.run(0.5)
    assert granted.result.is_ok()
    # Claim checks still succeed; only a cut-off partition lets the confirmation age.
    region.fabric.cut([DaemonName("d1")], [DaemonName("d2")])
    region.partitions.leader = DaemonName("d2")
    region.run(40.0)
    engine_steward = region.engine_steward("e1")
    assert engine_steward.stewardship.epoch is not None
    ordering = region.nodes["d1"].stewards._engine_stewards[E1].order_drain(True)
    try:
        ordering.send(None)
    except StopIteration as stop:
        assert stop.value.unwrap_err().is_code(ProblemCode.UNAVAILABLE)
    assert region.engine("e1").orders == []


def test_epochs_grow_when_stewardship_moves_and_waiting_calls_follow():
    region = Region(daemons=3, engines=1, slots=1)
    first_epoch = epoch_of(region, "d1")
    granted = place(region.nodes["d3"], admitted("r1-0-1"))
    region.run(0.5)
    waiting = place(region.nodes["d3"], admitted("r1-0-2"))
    region.run(0.5)
    move(region, "d2")
    assert epoch_of(region, "d1") is None
    assert epoch_of(region, "d2") > first_epoch
    region.run(10.0)
    assert waiting.result.unwrap().steward_epoch == epoch_of(region, "d2")
    assert granted.result.unwrap().steward_epoch == first_epoch


def test_a_superseded_steward_grants_nothing_and_its_orders_are_refused():
    region = Region(daemons=3, engines=1)
    region.believed_stewards[DaemonName("d1")] = {E1: DaemonName("d1")}
    old = region.nodes["d1"].stewards._engine_stewards[E1]
    # The notice of the new claim is lost.
    old.learn_superseding_claim = lambda notice: None
    move(region, "d2")
    region.nodes["d2"].stewards._engine_stewards[E1].order_drain(True).send(None)
    assert [order.order for order in region.engine("e1").orders] == [OrderKind.DRAIN]
    stale = old.order_drain(False)
    stale.send(None)
    assert len(region.engine("e1").orders) == 1
    for _ in range(21):
        if epoch_of(region, "d1") is not None:
            region.run(0.5)
    refused = send_request(region, "d3", enqueue(gateway=Member("d3", 1)))
    assert refused.result.unwrap_err().is_code(ProblemCode.NOT_STEWARD)
    assert refused.result.unwrap_err().hint == "d2"


def test_a_claim_left_behind_by_another_daemon_is_taken_back():
    region = Region(daemons=2, engines=1)
    region.believed_stewards[DaemonName("d2")] = {E1: DaemonName("d2")}
    region.run(3.0)
    del region.believed_stewards[DaemonName("d2")]
    region.run(20.0)
    assert epoch_of(region, "d2") is None
    granted = place(region.nodes["d2"])
    region.run(0.5)
    assert granted.result.is_ok()


def test_draining_is_remembered_by_the_next_steward():
    region = Region(daemons=2, engines=1)
    drained = send_request(region, "d2", DrainEngine(E1, drain=True))
    assert drained.result.is_ok()
    region.run(2.0)
    assert [order.order for order in region.engine("e1").orders] == [OrderKind.DRAIN]
    move(region, "d2")
    listing = send_request(region, "d1", ListEngines(), to="d2").result.unwrap()
    assert [engine.state for engine in listing.engines] == ["draining"]
    refused = place(region.nodes["d1"])
    region.run(2.0)
    assert refused.result.unwrap_err().is_code(ProblemCode.NO_ENGINE)
    resumed = send_request(region, "d1", DrainEngine(E1, drain=False), to="d2")
    region.run(1.0)
    assert resumed.result.is_ok()
    granted = place(region.nodes["d1"])
    region.run(0.5)
    assert granted.result.is_ok()
