"""One call's admission request and usage report to the owner of its program's account."""

from collections import deque
from collections.abc import Callable, Generator
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from notcharch.accounts.call_grant import CallGrant
from notcharch.accounts.messages import (
    AdmitTurn,
    FindTurn,
    KeepTurn,
    SettleCall,
    TurnAdmitted,
    TurnIsKept,
    TurnNotStorable,
)
from notcharch.accounts.owner_requests import OwnerRequests
from notcharch.accounts.transcript_reader import CollectedTranscript
from notcharch.accounts.turn_parts import split_turn
from notcharch.accounts.turns import PAGE_BYTES, TranscriptPage, Turn, TurnCache
from notcharch.accounts.unanswered_log import UnansweredLog
from notcharch.calls.event_stream import data_lines
from notcharch.calls.interface import Completion, OpaqueCall, Route
from notcharch.events.accounts import (
    HistoryTooLong,
    TurnAdopted,
    TurnDenied,
    TurnRefusedByLog,
)
from notcharch.events.event import emit
from notcharch.scheduling.shared_suspicions import Suspicion
from notcharch.tenants.scope import scoped_name

STORE_RETRY_SECONDS = 0.06
"""Delay before storing a turn is retried; longer than a takeover, which takes 8 to 31 ms
once the partition is assigned (docs/design/platform.md)."""


class CallAccount:
    """The account of a call's program, as seen by the call; a `Ticket` once admitted.

    `program`, `call_id` and `previous_turn` are prefixed with the tenant.
    """

    def __init__(
        self,
        owners: OwnerRequests,
        cache: TurnCache,
        call: OpaqueCall,
        route: Route,
        *,
        max_body_bytes: int,
        reserve_memory: Callable[[int], bool] = lambda _: True,
    ) -> None:
        """Look up the partition of the call's program.

        `max_body_bytes` bounds the chain of turns together with the new input;
        `reserve_memory` holds memory for the chain, and returns whether there is room.
        """
        self._reserve_memory = reserve_memory
        self._reserved_bytes = 0
        self._owners = owners
        self._cache = cache
        self.call = call
        self._route = route
        tenant = call.tenant_name
        self.program = scoped_name(tenant, call.program)
        self.call_id = scoped_name(tenant, call.id)
        self.previous_turn = scoped_name(tenant, call.previous_turn)
        self.partition = owners.partitioning.of_program(self.program)
        self._max_body_bytes = max_body_bytes
        chain_end = self.previous_turn if route.stores_turns else ""
        self.transcript = CollectedTranscript(cache, self.program, chain_end)
        """The text of the turns before the call, as far as it has arrived."""
        self._is_completed = False
        self._unanswered = UnansweredLog(owners, call, self.partition)
        self._grant = CallGrant(
            owners,
            call,
            self.partition,
            program=self.program,
            call_id=self.call_id,
            log=self._unanswered,
        )
        self._engine = ""
        self.cached_engine = ""
        """The engine that ran the program's last call, as reported by the owner."""

    # Admission

    def admit_message(self, suspicions: tuple[Suspicion, ...] = ()) -> AdmitTurn:
        """Return the admission request, with the engines that this daemon suspects."""
        call = self.call
        return AdmitTurn(
            self.partition,
            self.program,
            self.call_id,
            call.max_tokens,
            call.budget_tokens,
            self._route.retention_seconds,
            previous=self.transcript.turn,
            known=self.transcript.known,
            suspicions=suspicions,
            page_bytes=PAGE_BYTES,
            turn_bytes=max(len(call.body), 1) if self._route.stores_turns else 0,
            event_tokens=call.tokens_per_event if self._route.stores_turns else 0,
        )

    def find_message(self, partition: int, *, must_be_certain: bool) -> FindTurn:
        """Return the request for the previous turn to the owner of another partition."""
        return FindTurn(
            partition,
            self.previous_turn,
            must_be_certain,
            PAGE_BYTES,
            self._route.retention_seconds,
        )

    def exceeds_limit(self, chain_bytes: int) -> bool:
        """Return whether a chain and the new input are more than can be kept and sent."""
        size = chain_bytes + len(self.call.body)
        return self._route.stores_turns and size > self._max_body_bytes

    def reserve(self, size: int) -> bool:
        """Hold memory for turns, in total; return whether there is room for them."""
        missing = size - self._reserved_bytes
        if missing <= 0:
            return True
        if not self._reserve_memory(missing):
            return False
        self._reserved_bytes = size
        return True

    def on_admitted(self, reply: TurnAdmitted) -> bool:
        """Take the grant and the first page of the chain.

        Return False if the turns before the page are unknown.
        """
        self.cached_engine = reply.home
        self._grant.begin(reply.granted_tokens)
        if not self.transcript.turn:
            return True
        last = reply.last or self.transcript.turn
        page = TranscriptPage(reply.after, reply.text, last, reply.remaining_bytes)
        return self.transcript.add(page)

    def complete_body(self) -> bytes:
        """Return the body after the text of all earlier turns."""
        return self.transcript.take_with(self.call.body)

    # Log events

    def log_unanswered(self, operation: str) -> None:
        """Log, once per operation, that no owner has decided it yet."""
        self._unanswered.unanswered(operation)

    def log_adoption(self, *, is_found: bool) -> None:
        """Log the result of a search for a turn in all partitions."""
        call = self.call
        event = TurnAdopted if is_found else TurnDenied
        emit(event(call.id, call.program, call.previous_turn))

    def log_history_refused(self, cause: str) -> None:
        """Log that the turns before the call can't be kept or sent."""
        call = self.call
        emit(HistoryTooLong(call.id, call.program, call.previous_turn, cause))

    # `Ticket`

    @property
    def granted_events(self) -> int | None:
        """How many events the owner granted; None if it granted them all."""
        return self._grant.events

    def watch_grant(self, grown: Callable[[], None]) -> None:
        """Call `grown` whenever the owner has granted more."""
        self._grant.watch(grown)

    def relayed(self, events: int, waiting: int) -> None:
        """Ask the owner for more if the grant is nearly used."""
        self._grant.relayed(events, waiting)

    def engine_started(self, engine_id: str) -> None:
        """Record the engine, which has the program's prefix cache.

        It sends events from now on: a grant of few events is raised before they are used.
        """
        self._engine = engine_id
        self._grant.request_if_needed()

    def never_ran(self) -> None:
        """Release the reserved tokens."""
        self._report_usage(0)

    def interrupted(self, events: int) -> None:
        """Charge the events that the caller received."""
        self._report_usage(events)

    def _report_usage(self, events: int) -> None:
        self._grant.close()
        if not self._is_completed:
            self._is_completed = True
            self._settle(events * self.call.tokens_per_event)

    def _settle(self, tokens: int) -> None:
        notice = SettleCall(
            self.partition, self.program, self.call_id, tokens, self._engine
        )
        self._owners.send_notice(self.partition, notice)

    def completed(self, output: bytes, events: int, completion: Completion) -> None:
        """Charge the call, and store its turn if the route stores turns.

        `completion` is notified once the turn is durable.
        """
        if not self._route.stores_turns:
            self._report_usage(events)
            completion.durable()
            return
        self._is_completed = True
        self._grant.stop_requests()
        self._store_turn(output, events, completion)

    @inlineCallbacks
    def _store_turn(
        self, output: bytes, events: int, completion: Completion
    ) -> Generator["Deferred[Any]", Any, None]:
        call = self.call
        data = data_lines(output)
        message = KeepTurn(
            self.partition,
            self.program,
            self.call_id,
            self.previous_turn,
            call.body,
            data,
            events * call.tokens_per_event,
            self._engine,
            granted_tokens=self._grant.granted_tokens,
        )
        try:
            yield self._store_parts(message, events, completion)
        finally:
            self._grant.close()

    @inlineCallbacks
    def _store_parts(
        self, message: KeepTurn, events: int, completion: Completion
    ) -> Generator["Deferred[Any]", Any, None]:
        call, data = self.call, message.output
        parts = deque(split_turn(message))
        while completion.is_caller_waiting:
            response = yield self._owners.send_request(self.partition, parts[0])
            if isinstance(response, TurnNotStorable):
                emit(TurnRefusedByLog(call.id, call.program, len(call.body), len(data)))
                self._settle((events - self._grant.waiting) * call.tokens_per_event)
                completion.not_durable()
                return
            if not isinstance(response, TurnIsKept):
                self.log_unanswered("storing a turn")
                yield deferLater(self._owners.clock, STORE_RETRY_SECONDS, lambda: None)
                continue
            parts.popleft()
            if not parts:
                turn = Turn(self.previous_turn, call.body, data)
                self._cache.add_newest(self.program, self.call_id, turn)
                completion.durable()
                return
