"""Retry delays grow, stay in bounds, are jittered, and end."""

from random import Random

from notcharch.clients.backoff import Backoff, BackoffPolicy

POLICY = BackoffPolicy(first_seconds=0.1, longest_seconds=0.5, tries=5)


def delays(seed: int) -> list[float | None]:
    backoff = Backoff(POLICY, Random(seed))
    return [backoff.next_delay() for _ in range(POLICY.tries + 1)]


def test_delays_are_jittered_within_growing_bounds_and_end():
    assert delays(1) != delays(2)
    for seed in range(20):
        *given, last = delays(seed)
        assert last is None
        for delay, ceiling in zip(given, (0.1, 0.2, 0.4, 0.5, 0.5), strict=True):
            assert ceiling / 2 <= delay <= ceiling


def test_progress_starts_again():
    backoff = Backoff(POLICY, Random(1))
    while backoff.next_delay() is not None:
        pass
    backoff.reset()
    assert backoff.next_delay() <= POLICY.first_seconds
