"""Which daemons send calls to a cold engine, and how many."""

from collections import Counter

import pytest

from notcharch.scheduling import cold_engines
from notcharch.scheduling.cold_engines import (
    CONCURRENT_VIEWS,
    RATE_WINDOW_SECONDS,
    STABLE_VIEW_SECONDS,
    ColdEngineLimiter,
    ColdLimit,
    ColdPolicy,
    ColdTolerance,
    SenderQuota,
    WarmupState,
    is_sender,
    sender_quota,
)

LIMIT = ColdLimit(3.0, 25.0)
TOLERANCE = ColdTolerance(1.5, 5.0)
BOUND = 42
"""25 calls per second times 1.5, plus 5, rounded down."""


class View:
    """A fake view of the members."""

    def __init__(
        self, local_daemon: str, members: tuple[str, ...], seconds: float = 9.0
    ):
        self.local_daemon = local_daemon
        self._members = members
        self.seconds = seconds

    def members(self):
        return self._members

    def known_seconds(self):
        return self.seconds


def names(count: int) -> tuple[str, ...]:
    return tuple(f"d{number:03}" for number in range(count))


@pytest.mark.parametrize(
    ("daemons", "quota"),
    [
        (0, SenderQuota(0, 0)),
        (1, SenderQuota(1, 21)),
        (4, SenderQuota(4, 5)),
        (21, SenderQuota(21, 1)),
        (69, SenderQuota(21, 1)),
        (300, SenderQuota(21, 1)),
    ],
)
def test_the_senders_of_two_views_together_keep_the_limit(daemons, quota):
    assert sender_quota(LIMIT, TOLERANCE, daemons) == quota
    assert CONCURRENT_VIEWS * quota.senders * quota.calls <= BOUND


def test_no_daemon_sends_to_an_engine_without_a_rate():
    assert sender_quota(ColdLimit(3.0, 0.0), ColdTolerance(), 5) == SenderQuota(0, 0)
    assert sender_quota(ColdLimit(3.0, 1.0), ColdTolerance(), 5) == SenderQuota(0, 0)


def test_all_daemons_compute_the_same_senders():
    members = names(69)
    senders = [name for name in members if is_sender(name, "e", members, 21)]
    assert len(senders) == 21


def test_one_member_more_changes_at_most_one_sender():
    before, after = names(68), names(69)
    for engine in "abcdefgh":
        was = {name for name in before if is_sender(name, engine, before, 21)}
        now = {name for name in after if is_sender(name, engine, after, 21)}
        assert len(was - now) <= 1


def test_each_daemon_sends_to_some_engine():
    """With 23 cold engines and 69 daemons each daemon sends to seven on average."""
    members = names(69)
    counts = Counter(
        name
        for engine in range(23)
        for name in members
        if is_sender(name, f"i-{engine}", members, 21)
    )
    assert len(counts) == 69
    assert sum(counts.values()) == 23 * 21


def test_a_daemon_that_has_just_started_counts_itself_in():
    """It adds at most one sender until the other daemons know it."""
    members = names(69)
    engines_fed = [
        f"i-{n}" for n in range(50) if is_sender("new", f"i-{n}", members, 21)
    ]
    assert 0 < len(engines_fed) < 50
    assert is_sender("new", "e", names(3), 21)
    assert not is_sender("new", "e", names(3), 0)


def engines(members: int = 1, seconds: float = 9.0, *, sends_to_cold: bool = True):
    view = View("d000", names(members), seconds)
    return ColdEngineLimiter(ColdPolicy(TOLERANCE, sends_to_cold=sends_to_cold), view)


@pytest.mark.parametrize(("members", "calls"), [(1, 21), (4, 5), (21, 1)])
def test_a_sender_may_use_its_quota_in_each_second(members, calls):
    cold = engines(members)
    for _ in range(calls):
        assert cold.seconds_until_send("e", LIMIT, 10.0) == 0.0
        cold.sent("e", LIMIT, 10.0)
    assert cold.seconds_until_send("e", LIMIT, 10.5) == pytest.approx(
        RATE_WINDOW_SECONDS - 0.5
    )
    assert cold.seconds_until_send("e", LIMIT, 10.0 + RATE_WINDOW_SECONDS) == 0.0
    assert cold.seconds_until_send("other", LIMIT, 10.5) == 0.0


def test_what_was_sent_while_the_engine_was_warm_counts():
    """It may turn cold within the second."""
    cold = engines(21)
    cold.sent("e", LIMIT, 10.0)
    assert cold.seconds_until_send("e", LIMIT, 10.9) > 0.0


@pytest.mark.parametrize(
    ("seconds", "members", "calls"),
    [(STABLE_VIEW_SECONDS - 0.01, 4, 1), (STABLE_VIEW_SECONDS, 4, 5), (0.0, 21, 1)],
)
def test_a_daemon_that_may_not_know_all_members_sends_one_call(seconds, members, calls):
    cold = engines(members, seconds)
    for _ in range(calls):
        assert cold.seconds_until_send("e", LIMIT, 10.0) == 0.0
        cold.sent("e", LIMIT, 10.0)
    assert cold.seconds_until_send("e", LIMIT, 10.0) == pytest.approx(
        RATE_WINDOW_SECONDS
    )


def test_quotas_are_recomputed_when_the_members_or_the_limit_change():
    view = View("d000", names(69))
    cold = ColdEngineLimiter(ColdPolicy(TOLERANCE), view)
    reachable = [
        f"i-{n}"
        for n in range(60)
        if cold.seconds_until_send(f"i-{n}", LIMIT, 10.0) == 0.0
    ]
    assert 0 < len(reachable) < 60
    view._members = names(4)
    assert all(cold.seconds_until_send(f"i-{n}", LIMIT, 10.0) == 0.0 for n in range(60))
    nothing = ColdLimit(3.0, 0.0)
    cold = ColdEngineLimiter(ColdPolicy(ColdTolerance()), view)
    assert cold.seconds_until_send("i-0", LIMIT, 10.0) == 0.0
    cold.reset_quotas()
    assert cold.seconds_until_send("i-0", nothing, 10.0) is None


def test_a_hash_is_made_once_for_each_change_of_the_members(monkeypatch):
    ranks = Counter()
    real = cold_engines._rank
    monkeypatch.setattr(
        cold_engines, "_rank", lambda *names: ranks.update(["rank"]) or real(*names)
    )
    cold = engines(69)
    for _ in range(50):
        cold.seconds_until_send("e", LIMIT, 10.0)
    assert ranks["rank"] <= 69


def test_without_members_or_sending_no_call_is_sent():
    assert engines(0).seconds_until_send("e", LIMIT, 10.0) is None
    assert engines(sends_to_cold=False).seconds_until_send("e", LIMIT, 10.0) is None


def test_the_newest_report_of_an_engine_counts():
    warmth = WarmupState()
    assert not warmth.is_cold(0.0)
    warmth.record_report(3.0, 10.0)
    assert warmth.is_cold(12.9)
    warmth.record_report(0.0, 11.0)
    assert not warmth.is_cold(11.0)


def test_an_assumption_outlasts_earlier_reports():
    warmth = WarmupState()
    warmth.assume_cold(13.0)
    warmth.record_report(0.0, 11.0)
    assert warmth.is_cold(12.9)
    assert not warmth.is_cold(13.0)
    warmth.record_report(4.0, 12.0)
    assert warmth.cold_until == 16.0


def test_a_suspicion_ends_when_the_engine_reports_cold_or_expires():
    warmth = WarmupState()
    warmth.suspect_cold(11.2)
    assert warmth.is_only_suspected_cold(10.0)
    assert warmth.is_cold(11.0)
    warmth.record_report(3.0, 10.5)
    assert not warmth.is_only_suspected_cold(11.0)
    warmth.record_report(0.0, 11.0)
    assert warmth.is_only_suspected_cold(11.0)
    assert not warmth.is_cold(11.2)


def test_a_suspected_engine_gets_the_full_limit_of_all_daemons():
    members = names(69)
    views = [View(name, members) for name in members]
    delays = [
        ColdEngineLimiter(ColdPolicy(TOLERANCE), view).seconds_until_send(
            "e", LIMIT, 10.0, is_only_suspected=True
        )
        for view in views
    ]
    assert sum(delay is not None for delay in delays) == BOUND
