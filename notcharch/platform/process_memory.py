"""The bounds of one process's memory, as its components take them."""

import resource

from twisted.internet.interfaces import IReactorTime

from notcharch.accounts.account_memory import AccountMemory
from notcharch.accounts.turns import TurnCache
from notcharch.calls.call_memory import (
    CALL_BYTES,
    RESERVED_CALLS_BYTES,
    SMALL_CALL_BYTES,
)
from notcharch.http.answer_room import AnswerRoom
from notcharch.http.buffered_bytes import total_limit
from notcharch.http.connection_room import MAX_REFUSED, ConnectionRoom
from notcharch.http.request_room import WAITING_BYTES, RequestRoom
from notcharch.journal.writer import RESERVED_ENTRIES_BYTES
from notcharch.platform.memory_budget import (
    ACCOUNTS_SHARE,
    CACHE_SHARE,
    CALLS_SHARE,
    CONNECTIONS_SHARE,
    JOURNAL_SHARE,
    PARTS_SHARE,
    PEERS_SHARE,
    RESERVED_CONNECTIONS_BYTES,
    STORE_SHARE,
    TURNS_SHARE,
    max_origin_bytes,
    max_quarantine_records,
    memory_budget,
    turn_cache_bytes,
)
from notcharch.platform.memory_watch import MemoryWatch
from notcharch.platform.settings import ProcessSettings
from notcharch.values.memory_pool import MeasureBytes, MemoryPool
from notcharch.wire.peer_memory import (
    RESERVED_FRAMES_BYTES,
    RESERVED_PARTS_BYTES,
    RESERVED_REQUESTS_BYTES,
    PeerMemory,
)

DESCRIPTORS_SHARE = 0.75
"""Share of the open files that callers' connections may take; probes, engines, peers and the
store need the others."""
REFUSED_DESCRIPTORS_SHARE = 0.05
"""Share of the open files for connections that are being refused."""


def max_caller_connections(open_files: int) -> int:
    """Return how many callers' connections leave descriptors for everything else."""
    return max(1, int(open_files * DESCRIPTORS_SHARE))


def max_refused_connections(open_files: int) -> int:
    """Return how many connections are answered with 503 at a time."""
    return min(MAX_REFUSED, int(open_files * REFUSED_DESCRIPTORS_SHARE))


def max_waiting_requests(memory_bytes: int) -> int:
    """Return how many requests may wait for memory.

    What was read of them fills half of what all connections may buffer.
    """
    return total_limit(memory_bytes) // (2 * WAITING_BYTES)


def open_files_limit() -> int:
    """Return how many files this process may open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return 1 << 30 if soft == resource.RLIM_INFINITY else soft


class ProcessMemory:
    """The pool of a process and its holders."""

    def __init__(
        self, settings: ProcessSettings, open_files: int | None = None
    ) -> None:
        """Divide the memory limit of the settings."""
        self.budget = memory_budget(settings.memory_bytes, settings.store.log_limits)
        pool_bytes = self.budget.pool_bytes
        self.pool = pool = MemoryPool(pool_bytes)
        self.calls = pool.holder("calls", CALLS_SHARE, RESERVED_CALLS_BYTES)
        connections = pool.holder(
            "connections", CONNECTIONS_SHARE, RESERVED_CONNECTIONS_BYTES
        )
        files = open_files_limit() if open_files is None else open_files
        self.connections = ConnectionRoom(
            max_caller_connections(files), connections, max_refused_connections(files)
        )
        self.accounts = AccountMemory(
            accounts=pool.holder("accounts", ACCOUNTS_SHARE),
            turns=pool.holder("turns", TURNS_SHARE),
            journal=pool.holder("journal", JOURNAL_SHARE, RESERVED_ENTRIES_BYTES),
            cache=TurnCache(
                turn_cache_bytes(pool_bytes), pool.holder("cached turns", CACHE_SHARE)
            ),
        )
        self.peers = PeerMemory(
            pool.holder("frames for peers", PEERS_SHARE, RESERVED_FRAMES_BYTES),
            pool.holder("requests of peers", PEERS_SHARE, RESERVED_REQUESTS_BYTES),
            pool.holder("parts of frames", PARTS_SHARE, RESERVED_PARTS_BYTES),
        )
        answers = pool.holder("answers of the store", STORE_SHARE)
        self.store_answers = AnswerRoom(answers.limit_bytes, answers)
        limit = self.budget.limit_bytes
        self.max_origin_bytes = max_origin_bytes(limit)
        self.max_quarantine_records = max_quarantine_records(limit)
        self._others: dict[str, MeasureBytes] = {}
        self._watch = MemoryWatch(
            settings.machine, settings.memory_bytes, pool, self._others
        )

    def request_room(self, clock: IReactorTime) -> RequestRoom:
        """Return the room of callers' requests, which is that of their calls."""
        return RequestRoom(
            clock,
            self.calls,
            call_bytes=CALL_BYTES,
            small_bytes=SMALL_CALL_BYTES,
            max_waiting=max_waiting_requests(self.budget.limit_bytes),
        )

    def also_measure(self, name: str, measure: MeasureBytes) -> None:
        """Show what has a bound of its own beside the pool."""
        self._others[name] = measure

    def tick(self, now: float) -> None:
        """Update the metrics, and log when memory is short."""
        self._watch.tick(now)
