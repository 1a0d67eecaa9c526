"""Tests of calls and of the pool where the loads of engines are exchanged."""

from random import Random

import pytest
from twisted.internet.task import Clock

from notcharch.calls.call_urgency import CallUrgency
from notcharch.calls.engine_selection import PromptSample
from notcharch.calls.engines import EnginePool, PoolPolicy
from notcharch.calls.interface import NO_ENGINE, TIMED_OUT, ServiceShare
from notcharch.calls.policies import call_urgency, pool_policy
from notcharch.calls.routing import Router, RouteTable
from notcharch.events.calls import EngineChosen
from notcharch.http.exchange import ServerLimits
from notcharch.scheduling.engine_load import EngineLoad
from notcharch.scheduling.engine_routing import CallRouting
from notcharch.scheduling.expected_seconds import ChoiceReason
from notcharch.scheduling.nearness import Nearness
from notcharch.scheduling.zone_drains import DrainedZones
from notcharch.settings.mechanisms import ALL_MECHANISMS, Mechanism
from tests.unit.calls.world import SERVICE, World, engine
from tests.unit.events.capture import captured, of

SLOTS = 4
INTERVAL = 0.01


class Exchange:
    """Answers requests for loads when the test does."""

    def __init__(self) -> None:
        self.requests = []
        self.started = []
        self.ended = []

    def request(self, service, cached_engine, then):
        self.requests.append((service, cached_engine, then))

    def answer(self, **in_flight: int) -> None:
        self.requests.pop()[2](loads(**in_flight))

    def call_started(self, service, engine_id):
        self.started.append((service, engine_id))

    def call_ended(self, service, engine_id, event_interval_seconds):
        self.ended.append((service, engine_id, event_interval_seconds))


class Ticket:
    """Records the outcome of a call."""

    def __init__(self) -> None:
        self.cached_engine = "b"
        self.granted_events = None
        self.outcomes = []

    def watch_grant(self, grown):
        pass

    def relayed(self, events, waiting):
        pass

    def engine_started(self, engine_id):
        pass

    def never_ran(self):
        self.outcomes.append("never ran")

    def interrupted(self, events):
        self.outcomes.append("interrupted")

    def completed(self, output, events, then):
        self.outcomes.append("completed")
        then.durable()


class LaterAdmission:
    """Admits calls when the test does."""

    def __init__(self) -> None:
        self.listener = None
        self.ticket = Ticket()

    def request(self, call, route, listener):
        self.listener = listener

    def admit(self):
        self.listener.admitted(self.ticket, b"body")


def loads(**in_flight: int):
    return {id: EngineLoad(id, count, INTERVAL) for id, count in in_flight.items()}


class Scene:
    """One call whose loads are requested."""

    def __init__(self, **changes) -> None:
        self.admission = LaterAdmission()
        self.world = World(admission=self.admission, **changes)
        self.exchange = Exchange()
        self.world.pool.use_exchange(self.exchange)
        self.admission.admit()

    @property
    def outcomes(self):
        return self.admission.ticket.outcomes


def pool(*names: str, policy: PoolPolicy | None = None) -> EnginePool:
    made = EnginePool(Clock(), Nearness("z"), Random(1), policy)
    made.replace([engine(name) for name in names])
    return made


def select(made: EnginePool, cached: str = "", **in_flight: int):
    return made.select(SERVICE, CallRouting("p", cached), (), loads=loads(**in_flight))


# Choice


def test_the_engine_with_free_slots_is_chosen_by_the_calls_of_all_daemons():
    made = pool("a", "b", "c")
    selection = select(made, a=SLOTS, b=SLOTS, c=0)
    assert selection.engine.id == "c"
    assert selection.by_cost.chosen.engine.in_flight == 0
    assert made.choose(SERVICE, "p", (), loads=loads(a=0, b=9, c=9)).id == "a"


def test_the_own_calls_are_a_lower_bound_of_a_load():
    """Guards against a tracker that has not counted this daemon's newest calls."""
    made = pool("a", "b")
    for _ in range(SLOTS):
        made.call_started("a")
    assert {select(made, a=0, b=0).engine.id for _ in range(20)} == {"b"}


def test_engines_without_a_known_load_are_not_chosen_beside_known_free_ones():
    made = pool("a", "b", "c")
    assert {select(made, b=SLOTS - 1).engine.id for _ in range(20)} == {"b"}


def test_engines_without_a_known_load_are_chosen_when_all_known_ones_are_full():
    """Guards against a lost tracker that takes its engines out of service."""
    made = pool("a", "b", "c")
    selection = select(made, b=SLOTS)
    assert selection.engine.id in ("a", "c")
    assert selection.reason is ChoiceReason.OWN_COUNTS


def test_a_cached_engine_of_unknown_load_is_kept_by_the_own_counts():
    made = pool("a", "b")
    selection = select(made, "a", b=0)
    assert (selection.engine.id, selection.reason) == ("a", ChoiceReason.OWN_COUNTS)
    for _ in range(9):
        made.call_started("a")
    assert select(made, "a", b=0).engine.id == "b"


def test_without_loads_the_choice_is_that_of_the_own_counts():
    made, twin = pool("a", "b", "c"), pool("a", "b", "c")
    for key in map(str, range(50)):
        chosen = made.choose(SERVICE, key, (), loads={})
        assert chosen.id == twin.choose(SERVICE, key, ()).id


def test_failed_and_drained_engines_are_filtered_before_the_cost():
    made = pool("a", "b")
    made.engine_failed("a")
    assert select(made, a=0, b=SLOTS).engine.id == "b"
    made.drain_zones(DrainedZones(frozenset({"z"}), 1))
    assert select(made, a=0, b=0) is None


def test_the_mechanism_switches_the_requests_off():
    without = pool_policy(ALL_MECHANISMS - {Mechanism.SHARED_LOAD}, 1.0)
    made = pool("a", policy=without)
    exchange = Exchange()
    made.use_exchange(exchange)
    answers = []
    made.request_loads(SERVICE, "", answers.append)
    assert (answers, exchange.requests) == ([{}], [])
    assert pool_policy(ALL_MECHANISMS, 1.0).chooses_by_load


# Learning


def test_reading_is_learned_only_from_calls_that_met_free_slots():
    made = pool("a")
    assert select(made, a=SLOTS).prompt is None
    selection = made.select(
        SERVICE, CallRouting("p"), (), loads=loads(a=0), prompt_tokens=700
    )
    assert selection.prompt == PromptSample(700, is_cached=False)
    assert select(made, "a", a=0).prompt.is_cached


def test_learned_reading_makes_calls_stay_at_their_cached_engine():
    made = pool("a", "b")
    busy = loads(a=4 * SLOTS, b=0)
    call = CallRouting("p", "a")

    def chosen():
        return made.select(SERVICE, call, (), loads=busy, prompt_tokens=3_000)

    assert chosen().engine.id == "b"
    for _ in range(60):
        made.first_event_received("b", 1.0, PromptSample(3_000, is_cached=False))
    assert chosen().engine.id == "a"


def test_the_figures_of_a_service():
    made = pool("a", "b")
    assert made.engine_slots(SERVICE) == SLOTS
    assert made.engine_slots("other") == 0
    assert made.mean_run_seconds(SERVICE) is None
    made.run_completed("a", 0.2)
    assert made.mean_run_seconds(SERVICE) == 0.2
    made.drain_zones(DrainedZones(frozenset({"z"}), 1))
    assert made.engine_slots(SERVICE) == 0


# Reports


def test_each_reported_start_gets_one_end_though_its_engine_is_removed_and_listed_again():
    """Guards against calls that trackers count for ever."""
    made = pool("a")
    exchange = Exchange()
    made.use_exchange(exchange)
    made.call_started("a")
    made.call_started("a")
    made._policy = PoolPolicy(last_resort_seconds=0.0)
    made.replace([])
    made.call_ended("a", 0.02)
    made.replace([engine("a")])
    made.call_ended("a")
    made.call_ended("a")
    assert exchange.started == [(SERVICE, "a")] * 2
    assert exchange.ended == [(SERVICE, "a", 0.02), (SERVICE, "a", None)]


def test_the_end_of_a_stream_reports_the_mean_interval_of_its_events():
    scene = Scene(is_stream=True)
    scene.exchange.answer(a=0, b=9, c=9)
    sent = scene.world.sent[0]
    sent.begin()
    for gap in (0.3, 0.1, 0.05):
        scene.world.clock.advance(gap)
        sent.listener.data_received(b"id: 1\ndata: a\n\n")
    sent.listener.completed()
    assert scene.exchange.started == [(SERVICE, "a")]
    [(_, engine_id, interval)] = scene.exchange.ended
    assert (engine_id, interval) == ("a", pytest.approx(0.075))
    assert scene.world.pool.mean_run_seconds(SERVICE) == pytest.approx(0.45)


# Lifecycle


def test_a_call_is_sent_after_its_loads_arrived():
    scene = Scene()
    [(service, cached, _)] = scene.exchange.requests
    assert (service, cached, scene.world.sent) == (SERVICE, "b", [])
    with captured() as messages:
        scene.exchange.answer(a=0, b=SLOTS, c=SLOTS)
    assert scene.world.sent[0].engine.id == "a"
    [event] = of(messages, EngineChosen)
    assert (event["engine"], event["reason"]) == ("a", "overflow")
    assert (event["in_flight"], event["slots"], event["loads_known"]) == (0, SLOTS, 3)
    assert event["lowest_seconds"] <= event["run_seconds"] + event["reading_seconds"]


def test_each_dispatch_requests_the_loads_again():
    scene = Scene()
    scene.exchange.answer(a=0, b=9, c=9)
    scene.world.sent[0].refuse()
    assert len(scene.world.sent) == 1
    scene.exchange.answer(a=0, b=9, c=0)
    assert scene.world.sent[1].engine.id == "c"


def test_a_caller_that_leaves_meanwhile_is_not_sent():
    scene = Scene()
    scene.world.reply.disconnect()
    scene.exchange.answer(a=0)
    assert (scene.world.sent, scene.outcomes) == ([], ["never ran"])


def test_a_call_whose_deadline_passes_meanwhile_has_not_run():
    scene = Scene(wait_seconds=0.5)
    scene.world.clock.advance(0.6)
    scene.exchange.answer(a=0)
    assert scene.world.reply.refusal is NO_ENGINE
    assert (scene.world.sent, scene.outcomes) == ([], ["never ran"])


def test_a_call_with_too_little_time_left_is_not_sent():
    scene = Scene(wait_seconds=0.5)
    scene.world.clock.advance(0.49)
    scene.exchange.answer(a=0)
    assert scene.world.reply.refusal is NO_ENGINE
    assert (scene.world.sent, scene.outcomes) == ([], ["never ran"])


def test_a_call_that_ran_before_is_not_refused_as_not_run():
    """Guards REFUSED: 503 is promised not to have run."""
    scene = Scene(is_repeatable=True, max_engines=3)
    scene.exchange.answer(a=0, b=9, c=9)
    scene.world.sent[0].respond(500)
    assert len(scene.exchange.requests) == 1
    scene.world.clock.advance(2.1)
    scene.exchange.answer(b=0)
    assert scene.world.reply.refusal is TIMED_OUT
    assert (len(scene.world.sent), scene.outcomes) == (1, ["interrupted"])


def test_engines_drained_meanwhile_get_no_call():
    scene = Scene()
    scene.world.pool.drain_zones(DrainedZones(frozenset({"z"}), 1))
    scene.exchange.answer(a=0, b=0, c=0)
    assert scene.world.reply.refusal.status == 503
    assert (scene.world.sent, scene.outcomes) == ([], ["never ran"])


# Urgency


def test_a_call_is_rated_where_loads_are_known():
    scene = Scene(urgency=CallUrgency())
    with captured() as messages:
        scene.exchange.answer(a=0, b=9, c=9)
    assert scene.world.call.urgency == 5
    assert of(messages, EngineChosen)[0]["urgency"] == 5


def test_a_call_is_not_rated_without_loads():
    scene = Scene(urgency=CallUrgency())
    scene.exchange.answer()
    assert (len(scene.world.sent), scene.world.call.urgency) == (1, None)


def test_a_call_is_rated_while_the_loads_were_known_recently():
    """Guards against calls that lose their urgency because trackers answer late."""
    made = pool("a")
    assert not made.shares_load(SERVICE)
    select(made, a=0)
    made._clock.advance(1.9)
    assert made.shares_load(SERVICE)
    made._clock.advance(0.2)
    assert not made.shares_load(SERVICE)


def test_what_is_usual_is_learned_from_admitted_and_served_calls():
    urgency = CallUrgency()
    scene = Scene(urgency=urgency)
    scene.exchange.answer(a=0, b=9, c=9)
    scene.world.clock.advance(0.3)
    scene.world.sent[0].respond(200, b"done")
    first = Scene(urgency=urgency).world.call
    first.program_remaining_seconds = 2.5
    urgency.admitted(first, scene.world.route, SERVICE, "")
    usual = urgency.usual(scene.world.route, SERVICE)
    assert usual.quick_call_seconds == pytest.approx(0.3)
    assert usual.program_seconds == usual.route_program_seconds == 2.5


def test_programs_are_compared_with_all_of_the_same_priority_at_the_service():
    urgency = CallUrgency()
    short, long = World(name="short"), World(name="long")
    for world, seconds in ((short, 1.0), (long, 9.0)):
        world.call.program_remaining_seconds = seconds
        for _ in range(100):
            urgency.admitted(world.call, world.route, SERVICE, "")
    for _ in range(100):
        urgency.admitted(short.call, short.route, SERVICE, "")
    now = short.clock.seconds()
    assert urgency.usual(long.route, SERVICE).route_program_seconds == 9.0
    assert urgency.usual(long.route, SERVICE).program_seconds < 2.0
    assert urgency.level(short.call, short.route, SERVICE, "", now) == 5
    assert urgency.level(long.call, long.route, SERVICE, "", now) == 6


def test_an_unchecked_turn_does_not_make_a_program_count_as_under_way():
    """Guards against callers that state an earlier turn on routes that store none."""
    urgency = CallUrgency()
    world = World()
    world.call.previous_turn = "t"
    now = world.clock.seconds()
    assert urgency.level(world.call, world.route, SERVICE, "", now) == 6
    stored = World(stores_turns=True)
    stored.call.previous_turn = "t"
    assert urgency.level(stored.call, stored.route, SERVICE, "", now) == 5


@pytest.mark.parametrize("off", [Mechanism.SHARED_LOAD, Mechanism.CALL_URGENCY])
def test_the_mechanisms_switch_the_urgency_off(off):
    assert call_urgency(ALL_MECHANISMS - {off}) is None
    assert call_urgency(ALL_MECHANISMS) is not None


def test_priorities_are_ranked_among_the_routes_of_a_service():
    routes = []
    for name, service, priority in (
        ("a", "s", 5),
        ("b", "s", 2),
        ("c", "s", 5),
        ("d", "other", 9),
    ):
        route = World(
            name=name,
            path_prefix=f"/{name}/",
            priority=priority,
            shares=(ServiceShare(service, 1.0),),
        ).route
        routes.append(route)
    router = Router(RouteTable(1, tuple(routes), {}, ServerLimits()))
    ranks = [router.priority_rank(route, route.shares[0].service) for route in routes]
    assert [(rank.rank, rank.count) for rank in ranks] == [
        (1, 2),
        (0, 2),
        (1, 2),
        (0, 1),
    ]
