"""Ended programs' memory is released despite lost messages and engine faults."""

import random

import pytest

from notcharch.clients.ports import (
    CachedProgram,
    CacheEvent,
    CacheEventKind,
    CacheEvents,
)
from notcharch.engines.cache_map import CacheMap
from notcharch.engines.releases import PendingReleases, Release
from notcharch.errors import ProblemCode
from notcharch.scheduling.retry import RetryPolicy
from notcharch.values.identifiers import DaemonName, EngineName
from notcharch.wire.messages.engines import PrefixReleased, QuoteEngine, ReleasePrefix
from tests.unit.engines.region import Region

P1, P2 = "r1-0-1", "r1-1-2"


def release(region, program=P1, epoch=5):
    message = ReleasePrefix(EngineName("e1"), program, epoch)
    pending = region.nodes["d2"].network.request(DaemonName("d1"), message, 30.0)
    region.run(0.5)
    return pending


def region_with(program=P1, publish=True, live=()):
    region = Region(daemons=2, engines=1)
    region.live_programs = set(live)
    region.engine("e1").store(program, 500, publish=publish)
    return region


def test_a_release_is_confirmed_only_after_the_engine_freed_it():
    region = region_with(live=[P1])
    assert isinstance(release(region).result.unwrap(), PrefixReleased)
    assert region.engine("e1").cached == {}


FAULTS = {
    "the engine is down for a while": lambda engine: setattr(engine, "down", True),
    "answers are lost": lambda engine: setattr(engine, "lost_responses", 2),
}


@pytest.mark.parametrize("fault", FAULTS.values(), ids=FAULTS.keys())
def test_a_failed_release_is_reported_and_retried_until_it_worked(fault):
    region = region_with(live=[P1])
    fault(region.engine("e1"))
    problem = release(region).result.unwrap_err()
    assert problem.code in {ProblemCode.ENGINE_FAILED.slug, ProblemCode.TIMED_OUT.slug}
    region.engine("e1").down = False
    region.run(10.0)
    assert region.engine("e1").cached == {}


def test_a_release_with_an_old_epoch_frees_nothing_and_is_not_retried():
    region = region_with(live=[P1])
    region.engine("e1").seen_epochs[P1] = 9
    problem = release(region, epoch=5).result.unwrap_err()
    assert problem.is_code(ProblemCode.STALE_EPOCH)
    region.run(30.0)
    assert region.engine("e1").cached == {P1: 500}
    assert ("release", "e1:1") not in region.port.requests[-10:]


@pytest.mark.parametrize("publish", [True, False], ids=["event seen", "event lost"])
def test_the_sweep_frees_programs_of_which_nothing_is_known(publish):
    region = region_with(publish=publish)
    region.run(80.0)
    assert region.engine("e1").cached == {}


def test_the_sweep_leaves_live_programs_alone():
    region = region_with(live=[P1])
    region.engine("e1").store(P2, 100)
    region.run(80.0)
    assert region.engine("e1").cached == {P1: 500}


def test_a_silent_leader_frees_nothing():
    region = region_with()
    region.fabric.cut([DaemonName("d1")], [DaemonName("d2")])
    region.partitions.leader = DaemonName("d2")
    region.run(30.0)
    assert region.engine("e1").cached == {P1: 500}


def test_a_quote_tells_the_prefix_that_is_believed_to_be_held():
    region = region_with(live=[P1])
    region.run(2.0)
    question = QuoteEngine(EngineName("e1"), P1, 800)
    pending = region.nodes["d2"].network.request(DaemonName("d1"), question, 1.0)
    region.run(0.1)
    assert pending.result.unwrap().cached_tokens == 500


def event(sequence, program=P1, tokens=10):
    return CacheEvent(sequence, CacheEventKind.STORED, program, tokens)


PAGES = {
    "in order": ([event(1), event(2, P2)], 2, 0, False),
    "a gap inside": ([event(1), event(4, P2)], 4, 2, True),
    "nothing new": ([], 0, 0, False),
    "an old event again": ([event(1), event(1), event(2, P2)], 2, 0, False),
}


@pytest.mark.parametrize(
    ("events", "following", "missed", "is_stale"), PAGES.values(), ids=PAGES.keys()
)
def test_gaps_make_the_map_doubtful(events, following, missed, is_stale):
    cache = CacheMap()
    cache.learn_events(CacheEvents((), 0))
    cache.reconcile(())
    learnt = cache.learn_events(CacheEvents(tuple(events), following))
    assert (learnt.missed_events, cache.is_stale) == (missed, is_stale)
    assert cache.next_sequence == following


def test_a_restarted_engine_empties_the_map():
    cache = CacheMap()
    cache.learn_events(CacheEvents((event(1), event(2)), 2))
    cache.reconcile((CachedProgram(P1, 10),))
    assert cache.learn_events(CacheEvents((), 0)).restarted
    assert cache.programs() == ()
    assert cache.is_stale


def test_evictions_forget_a_program():
    cache = CacheMap()
    cache.learn_events(CacheEvents((event(1),), 1))
    evicted = CacheEvent(2, CacheEventKind.EVICTED, P1, 0)
    cache.learn_events(CacheEvents((evicted,), 2))
    assert cache.tokens(P1) == 0


def test_the_highest_epoch_of_a_release_counts():
    releases = PendingReleases(RetryPolicy(), random.Random(1))
    releases.add(Release(P1, 5), 0.0)
    releases.add(Release(P1, 3), 0.0)
    assert releases.due(0.0, 10) == (Release(P1, 5),)
    releases.add(Release(P1, 7), 0.0)
    releases.confirmed(Release(P1, 5))
    assert releases.due(0.0, 10) == (Release(P1, 7),)
    releases.failed(Release(P1, 7), 0.0)
    assert releases.due(0.0, 10) == ()
    assert releases.due(1.0, 10) == (Release(P1, 7),)
