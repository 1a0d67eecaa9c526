"""One attempt of a caller, and what may be sent for it."""

from collections.abc import Callable

import msgspec
from twisted.internet.interfaces import IReactorTime

from notcharch.calls.engines import EnginePool
from notcharch.calls.interface import BrokenRun, OpaqueCall, ProcessState, Refusal
from notcharch.events.event import emit
from notcharch.events.quarantine import AttemptNotSent, EngineEnded, RequestCleared
from notcharch.quarantine.counters import Counters, PermitResult
from notcharch.quarantine.examination import EngineExamination
from notcharch.quarantine.identity import identity_of
from notcharch.quarantine.metrics import (
    CLEARED,
    ENGINES_ENDED,
    REFUSED,
    REPORT_SECONDS,
)
from notcharch.quarantine.records import (
    EndRecords,
    EngineEnd,
    RequestRecord,
    end_names,
)

QUARANTINED = Refusal(503, "engines ended under this request")
RUNS_ELSEWHERE = Refusal(503, "another attempt of this request is running", 0.1)
UNDECIDED = Refusal(
    503, "it is not known whether engines ended under this request", 0.2
)
PERMIT_MARGIN_SECONDS = 0.5
"""By how much a permit outlasts its attempt, whose end takes time to be reported."""


class AttemptServices(msgspec.Struct, frozen=True):
    """Collaborators of the attempts."""

    clock: IReactorTime
    daemon: str
    """The name of this daemon."""
    records: EndRecords
    counters: Counters
    examination: EngineExamination
    pool: EnginePool


class QuarantineAttempt:
    """Decides on each send of one attempt; implements `calls.interface.SendGuard`."""

    def __init__(
        self, services: AttemptServices, call: OpaqueCall, number: int
    ) -> None:
        """Start without a permit; `number` tells the attempts of this process apart."""
        self._services = services
        self._call = call
        self._name = f"{services.daemon}/{number}"
        self._has_permit = False
        self._has_unreported_end = False
        """Whether no counter has replied to a report of this attempt."""
        self._is_over = False

    # Before a send

    def request_send(
        self, seconds_left: float, then: Callable[[Refusal | None], None]
    ) -> None:
        """Decide whether the request may be sent; `then` is called once."""
        record = self._record()
        if record is None:
            then(None)
        elif record.is_quarantined:
            then(self._refusal(record))
        elif self._has_permit or not self._needs_permit(record):
            then(None)
        else:
            self._request_permit(seconds_left, then)

    def _needs_permit(self, record: RequestRecord) -> bool:
        return record.needs_permit or self._has_unreported_end

    def _record(self) -> RequestRecord | None:
        """Return the record of the request; without any, nothing is computed."""
        services = self._services
        if not len(services.records):
            return None
        return services.records.find(identity_of(self._call), services.clock.seconds())

    def _request_permit(
        self, seconds_left: float, then: Callable[[Refusal | None], None]
    ) -> None:
        identity = identity_of(self._call)
        seconds = seconds_left + PERMIT_MARGIN_SECONDS

        def decided(result: PermitResult) -> None:
            self._has_permit = result.is_granted
            if not result.is_granted or self._is_over:
                self._return_permit()
            then(self._refusal_after(result))

        self._services.counters.ask_permit(identity, self._name, seconds, decided)

    def _refusal_after(self, result: PermitResult) -> Refusal | None:
        """Return the refusal after the counters replied, if there is one."""
        record = self._record()
        if record is not None and record.is_quarantined:
            return self._refusal(record)
        if result.is_granted:
            return None
        return self._refuse(RUNS_ELSEWHERE if result.is_decided else UNDECIDED, record)

    def _refusal(self, record: RequestRecord) -> Refusal:
        seconds = max(record.expires - self._services.clock.seconds(), 0.0)
        refusal = msgspec.structs.replace(QUARANTINED, retry_after_seconds=seconds)
        return self._refuse(refusal, record)

    def _refuse(self, refusal: Refusal, record: RequestRecord | None) -> Refusal:
        REFUSED.labels(refusal.reason).inc()
        emit(
            AttemptNotSent(
                request=self._call.id,
                program=self._call.program,
                identity=identity_of(self._call),
                reason=refusal.reason,
                ends=end_names(record.ends if record is not None else ()),
                seconds_left=round(refusal.retry_after_seconds or 0.0, 3),
            )
        )
        return refusal

    # After a run

    def run_broke(self, run: BrokenRun, then: Callable[[], None]) -> None:
        """Find out whether the engine ended, and have that counted; `then` follows once."""
        failed_at = self._services.clock.seconds()

        def examined(has_ended: bool) -> None:
            if has_ended:
                self._report(run, failed_at, then)
                return
            self._observe(failed_at)
            then()

        if run.process is ProcessState.ENDED:
            examined(has_ended=True)
        else:
            self._services.examination.examine(run.engine, examined)

    def _observe(self, failed_at: float) -> float:
        seconds = self._services.clock.seconds() - failed_at
        REPORT_SECONDS.observe(seconds)
        return seconds

    def _report(
        self, run: BrokenRun, failed_at: float, then: Callable[[], None]
    ) -> None:
        """Report an end to the counters, unless the engine was leaving."""
        services = self._services
        is_leaving = services.pool.is_leaving(run.engine.id)
        ENGINES_ENDED.labels("no" if is_leaving else "yes").inc()

        def reported(replied: int) -> None:
            seconds = self._observe(failed_at)
            self._has_unreported_end = not replied and not is_leaving
            self._log_end(run, seconds, replied, is_leaving=is_leaving)
            then()

        if is_leaving:
            reported(0)
            return
        end = EngineEnd(run.engine.id, services.daemon)
        services.counters.report_end(
            identity_of(self._call), end, run.sent_at, reported
        )

    def _log_end(
        self, run: BrokenRun, seconds: float, replied: int, *, is_leaving: bool
    ) -> None:
        services, identity = self._services, identity_of(self._call)
        now = services.clock.seconds()
        emit(
            EngineEnded(
                request=self._call.id,
                program=self._call.program,
                identity=identity,
                engine=run.engine.id,
                is_leaving=is_leaving,
                run_seconds=round(now - seconds - run.sent_at, 4),
                ends=end_names(services.records.known(identity, now).ends),
                counters_replied=replied,
                seconds=round(seconds, 4),
            )
        )

    def run_completed(self) -> None:
        """Clear the request: an engine answered it whole."""
        record = self._record()
        if record is None:
            return
        identity = identity_of(self._call)
        CLEARED.inc()
        ends = end_names(record.ends)
        emit(RequestCleared(self._call.id, self._call.program, identity, ends))
        self._services.counters.report_whole_answer(identity)

    def has_ends(self) -> bool:
        """Return whether any engine is known to have ended under the request."""
        return self._record() is not None

    def over(self) -> None:
        """Let other attempts run the request."""
        self._is_over = True
        if self._has_permit:
            self._return_permit()

    def _return_permit(self) -> None:
        self._has_permit = False
        self._services.counters.return_permit(identity_of(self._call), self._name)
