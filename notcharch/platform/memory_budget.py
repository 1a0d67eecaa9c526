"""How the memory of a process is divided, from the constants that the code uses. Pure.

What has a bound of its own is a line; what is left, less a margin, is the pool that the
others share. `docs/design/memory-budget.md` describes each line.
"""

from collections.abc import Iterable, Sequence

import msgspec

from notcharch.accounts.turns import TURN_CACHE_BYTES
from notcharch.calls.call_memory import RESERVED_CALLS_BYTES
from notcharch.calls.engine_sender import IDLE_BYTES, MAX_IDLE_TOTAL
from notcharch.events.feed_faults import MAX_REMEMBERED_PARTS
from notcharch.events.output import MOST_BYTES
from notcharch.http.buffered_bytes import total_limit
from notcharch.http.connection_room import (
    CONNECTION_BYTES,
    DEFAULT_MAX_CONNECTIONS,
    MAX_REFUSED,
    MIN_CALLERS_CONNECTIONS,
)
from notcharch.journal.interface import LogLimits
from notcharch.journal.writer import RESERVED_ENTRIES_BYTES
from notcharch.platform.store import ENCODED_RECORD_FACTOR, MIN_READ_LIMIT_BYTES
from notcharch.quarantine.records import MAX_RECORDS, RECORD_BYTES
from notcharch.stream_origins.records import MAX_BYTES as MAX_ORIGIN_BYTES
from notcharch.wire.connections import MAX_UNSHAKEN
from notcharch.wire.peer_memory import (
    RESERVED_FRAMES_BYTES,
    RESERVED_PARTS_BYTES,
    RESERVED_REQUESTS_BYTES,
)

MEGABYTE = 1024 * 1024
ASSUMED_LIMIT_BYTES = 128 * MEGABYTE
"""The memory limit where the settings tell none: that of the smallest machine."""
REST_BYTES = 40 * MEGABYTE
"""A process without callers, engines and peers."""
MARGIN_SHARE = 0.06
"""Share of the limit that is divided to nobody: for fragments of the heap, and for what is
copied for a moment."""
BUFFER_FACTOR = 1.125
"""By how much a growing buffer may be larger than its content."""
DECODED_COPIES = 2
"""Copies of an answer of the store while it is decoded."""
FAULT_BYTES = 450
"""Memory of a remembered fault: its part's name of up to 255 bytes, and a digest."""
FAULTY_FEEDS = 4
"""Feeds whose parts are named by others: the table, the engines, two groups."""
PROBE_LISTENERS = 2
ASSUMED_PEERS = 300
PEER_BYTES = 8 * 1024
"""Memory of a peer with its connection at rest."""
ASSUMED_ROUTES = 1000
ASSUMED_TENANTS = 1000
TABLE_ENTRY_BYTES = 1600
"""Memory of a route or a tenant, in the table in force and the one before it."""
ASSUMED_ENGINES = 3000
ENGINE_BYTES = 2 * 1024
"""Memory of an engine's entry and what is learned of it."""
METRICS_BYTES = MEGABYTE
"""Metrics with their labels, and what is learned of routes and services."""
ORIGINS_SHARE = 1 / 32
QUARANTINE_SHARE = 1 / 64
MIN_POOL_BYTES = 16 * MEGABYTE
"""The pool on machines that are too small for the sum; it is then above their limit."""

RESERVED_CONNECTIONS_BYTES = MIN_CALLERS_CONNECTIONS * CONNECTION_BYTES

CALLS_SHARE = 0.65
"""Share of the pool for calls under way: heads, bodies, the turns before them."""
CONNECTIONS_SHARE = 0.3
ACCOUNTS_SHARE = 0.4
TURNS_SHARE = 0.8
JOURNAL_SHARE = 0.25
CACHE_SHARE = 0.15
PEERS_SHARE = 0.25
"""Of what waits for peers; the same of their requests."""
PARTS_SHARE = 0.25
"""Of the unfinished frames of peers."""
STORE_SHARE = 0.15
"""Of the store's answers that are being received."""


class BudgetLine(msgspec.Struct, frozen=True):
    """One part of the memory."""

    name: str
    size: int
    bound: str
    """The constants or settings from which its size follows."""
    is_bounded: bool = True
    """False for an assumption: nothing keeps it within its size."""


class MemoryBudget(msgspec.Struct, frozen=True):
    """The parts of a memory limit."""

    limit_bytes: int
    lines: tuple[BudgetLine, ...]
    """What has a bound of its own."""

    @property
    def margin_bytes(self) -> int:
        """What is divided to nobody."""
        return int(self.limit_bytes * MARGIN_SHARE)

    @property
    def fixed_bytes(self) -> int:
        """The sum of the lines."""
        return sum(line.size for line in self.lines)

    @property
    def pool_bytes(self) -> int:
        """What the holders of the pool share."""
        left = self.limit_bytes - self.margin_bytes - self.fixed_bytes
        return max(left, MIN_POOL_BYTES)

    @property
    def total_bytes(self) -> int:
        """The sum of everything but the margin."""
        return self.fixed_bytes + self.pool_bytes


def max_origin_bytes(limit_bytes: int) -> int:
    """Return the bound of the records of streams."""
    return min(int(limit_bytes * ORIGINS_SHARE), 2 * MAX_ORIGIN_BYTES)


def max_quarantine_records(limit_bytes: int) -> int:
    """Return the number of requests that are known to have ended engines."""
    return min(int(limit_bytes * QUARANTINE_SHARE) // RECORD_BYTES, MAX_RECORDS)


def turn_cache_bytes(pool_bytes: int) -> int:
    """Return the bound of the cache of turns, which is in the pool."""
    return min(int(pool_bytes * CACHE_SHARE), TURN_CACHE_BYTES)


def memory_budget(
    memory_bytes: int, log_limits: LogLimits | None = None
) -> MemoryBudget:
    """Divide a memory limit; 0 means an unknown limit."""
    limit = memory_bytes or ASSUMED_LIMIT_BYTES
    return MemoryBudget(limit, tuple(_lines(limit, log_limits or LogLimits())))


def _lines(limit: int, log_limits: LogLimits) -> Iterable[BudgetLine]:
    yield BudgetLine("at rest", REST_BYTES, "measured")
    buffers = int(total_limit(limit) * BUFFER_FACTOR)
    yield BudgetLine(
        "waits for callers and engines", buffers, "http/buffered_bytes.MEMORY_SHARE"
    )
    yield BudgetLine(
        "engines' answers", buffers, "http/buffered_bytes.MEMORY_SHARE, of answers"
    )
    longest = MIN_READ_LIMIT_BYTES + ENCODED_RECORD_FACTOR * log_limits.record_bytes
    yield BudgetLine(
        "the answer of the store that is decoded",
        longest * DECODED_COPIES,
        "platform/store.MIN_READ_LIMIT_BYTES, platform.record_bytes",
    )
    yield BudgetLine(
        "origins of streams", max_origin_bytes(limit), "memory_budget.ORIGINS_SHARE"
    )
    yield BudgetLine(
        "requests under which engines ended",
        max_quarantine_records(limit) * RECORD_BYTES,
        "memory_budget.QUARANTINE_SHARE",
    )
    yield BudgetLine(
        "idle connections to engines",
        MAX_IDLE_TOTAL * IDLE_BYTES,
        "calls/engine_sender.MAX_IDLE_TOTAL",
    )
    yield BudgetLine(
        "probes, and connections that are refused",
        (PROBE_LISTENERS * DEFAULT_MAX_CONNECTIONS + MAX_REFUSED) * CONNECTION_BYTES,
        "http/connection_room.DEFAULT_MAX_CONNECTIONS, MAX_REFUSED",
    )
    yield BudgetLine(
        "connections of peers before their handshake",
        MAX_UNSHAKEN * CONNECTION_BYTES,
        "wire/connections.MAX_UNSHAKEN",
    )
    yield from _reserves()
    yield BudgetLine(
        "log lines", MOST_BYTES + MOST_BYTES // 2, "events/output.MOST_BYTES"
    )
    yield BudgetLine(
        "faults of feeds",
        FAULTY_FEEDS * MAX_REMEMBERED_PARTS * FAULT_BYTES,
        "events/feed_faults.MAX_REMEMBERED_PARTS",
    )
    yield from _assumed_lines()


def _reserves() -> Iterable[BudgetLine]:
    """Return what small objects hold although the pool is full.

    With stored turns and accounts at their bounds it is. A daemon that then refuses its
    peers, its probes and all callers is cut off for as long as it has to keep them.
    """
    yield BudgetLine(
        "small frames for peers, at least",
        RESERVED_FRAMES_BYTES,
        "wire/peer_memory.RESERVED_FRAMES_BYTES",
    )
    yield BudgetLine(
        "small requests of peers, and parts of frames, at least",
        RESERVED_REQUESTS_BYTES + RESERVED_PARTS_BYTES,
        "wire/peer_memory.RESERVED_REQUESTS_BYTES, RESERVED_PARTS_BYTES",
    )
    yield BudgetLine(
        "callers' connections, at least",
        RESERVED_CONNECTIONS_BYTES,
        "http/connection_room.MIN_CALLERS_CONNECTIONS",
    )
    yield BudgetLine(
        "small calls, at least",
        RESERVED_CALLS_BYTES,
        "calls/call_lifecycle.RESERVED_CALLS_BYTES",
    )
    yield BudgetLine(
        "small entries that wait for the store, at least",
        RESERVED_ENTRIES_BYTES,
        "journal/writer.RESERVED_ENTRIES_BYTES",
    )


def _assumed_lines() -> Iterable[BudgetLine]:
    """Return what grows with the fleet and the operator's table alone."""
    yield BudgetLine(
        "peers at rest", ASSUMED_PEERS * PEER_BYTES, "300 peers", is_bounded=False
    )
    yield BudgetLine(
        "the operator's table",
        (ASSUMED_ROUTES + ASSUMED_TENANTS) * TABLE_ENTRY_BYTES,
        "1,000 routes and 1,000 tenants",
        is_bounded=False,
    )
    yield BudgetLine(
        "engines' entries",
        ASSUMED_ENGINES * ENGINE_BYTES,
        "3,000 engines",
        is_bounded=False,
    )
    yield BudgetLine(
        "metrics and learned values",
        METRICS_BYTES,
        "the labels are of the table",
        is_bounded=False,
    )


def budget_table(megabytes: Sequence[int]) -> str:
    """Return the table of the page: one column for each limit, in MB."""
    budgets = [memory_budget(limit * MEGABYTE) for limit in megabytes]
    head = " | ".join(f"{limit} MB" for limit in megabytes)
    rows = [f"| part | {head} | follows from |", "|---|" + "---|" * (len(budgets) + 1)]
    for parts in zip(*(divided.lines for divided in budgets), strict=True):
        first = parts[0]
        name = first.name if first.is_bounded else f"{first.name} (assumed)"
        rows.append(_row(name, (part.size for part in parts), first.bound))
    rows += [
        _row("the pool", (b.pool_bytes for b in budgets), "what is left"),
        _row("**sum**", (b.total_bytes for b in budgets), ""),
        _row("margin", (b.margin_bytes for b in budgets), "MARGIN_SHARE"),
    ]
    return "\n".join(rows) + "\n"


def _row(name: str, sizes: Iterable[int], bound: str) -> str:
    figures = " | ".join(f"{size / MEGABYTE:.1f}" for size in sizes)
    return f"| {name} | {figures} | {bound} |"
