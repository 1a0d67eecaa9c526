"""Export and import of KV cache between engines, which take time."""

import attrs
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from emulator.engine.counters import EngineCounters
from emulator.engine.prefix_cache import PrefixCache, PrefixChain
from emulator.engine.rates import EngineRates
from emulator.engine.refusals import EngineRefusal, RefusalCode
from notcharch.clients.ports import ExportedCache
from notcharch.values.identifiers import ProgramId


@attrs.frozen
class CacheSnapshot:
    """An exported prefix; it can be imported until `expires_at`."""

    program: ProgramId
    chain: PrefixChain
    tokens: int
    expires_at: float


class CacheTransfers:
    """The exports that an engine keeps, and its imports from others."""

    def __init__(
        self,
        clock: IReactorTime,
        rates: EngineRates,
        cache: PrefixCache,
        counters: EngineCounters,
    ) -> None:
        """Begin without exports."""
        self._clock = clock
        self._rates = rates
        self._cache = cache
        self._counters = counters
        self._exports: dict[str, CacheSnapshot] = {}
        self._export_count = 0

    def export(
        self, program: ProgramId
    ) -> "Deferred[Result[ExportedCache, EngineRefusal]]":
        """Copy what is held of a program; the reply comes when the copy is made."""
        done: Deferred[Result[ExportedCache, EngineRefusal]] = Deferred()
        prefix = self._cache.prefix_of(program)
        if prefix is None or not prefix.tokens:
            done.callback(_refused(RefusalCode.NOTHING_HELD, "nothing is held"))
            return done
        self._drop_expired()
        seconds = prefix.tokens / self._rates.transfer_tokens_per_second
        self._export_count += 1
        handle = f"export-{self._export_count}"
        keep_until = self._clock.seconds() + seconds + self._rates.export_keep_seconds
        self._exports[handle] = CacheSnapshot(
            program, prefix.chain, prefix.tokens, keep_until
        )
        self._counters.tokens_exported += prefix.tokens
        prefix.reused = prefix.tokens
        reply = Ok(ExportedCache(handle, prefix.tokens))
        self._clock.callLater(seconds, done.callback, reply)
        return done

    def snapshot(self, handle: str) -> CacheSnapshot | None:
        """Give an export that has not expired."""
        self._drop_expired()
        return self._exports.get(handle)

    def import_from(
        self, program: ProgramId, source: "CacheTransfers | None", handle: str
    ) -> "Deferred[Result[int, EngineRefusal]]":
        """Copy an export of another engine in; the reply comes when it is there."""
        done: Deferred[Result[int, EngineRefusal]] = Deferred()
        snapshot = source.snapshot(handle) if source else None
        if snapshot is None or snapshot.program != program:
            done.callback(_refused(RefusalCode.NOTHING_HELD, f"no export {handle}"))
            return done
        seconds = snapshot.tokens / self._rates.transfer_tokens_per_second
        self._clock.callLater(seconds, self._store, snapshot, done)
        return done

    def forget(self) -> None:
        """Drop all exports, as a restart does."""
        self._exports.clear()

    def _store(
        self, snapshot: CacheSnapshot, done: "Deferred[Result[int, EngineRefusal]]"
    ) -> None:
        stored = self._cache.store(snapshot.program, snapshot.chain, snapshot.tokens)
        if not stored:
            done.callback(_refused(RefusalCode.CACHE_BUSY, "no room, or in use"))
            return
        self._counters.tokens_imported += snapshot.tokens
        done.callback(Ok(snapshot.tokens))

    def _drop_expired(self) -> None:
        now = self._clock.seconds()
        expired = [
            name for name, kept in self._exports.items() if kept.expires_at < now
        ]
        for name in expired:
            del self._exports[name]


def _refused(code: RefusalCode, message: str) -> "Err[EngineRefusal]":
    return Err(EngineRefusal(code, message, 1.0 if code.http_status == 409 else None))
