"""One call's part of its program's account: its question, and its ticket."""

from collections.abc import Generator
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from notcharch.accounts.messages import (
    AdmitTurn,
    KeepTurn,
    SettleCall,
    TurnAdmitted,
    TurnIsKept,
)
from notcharch.accounts.metrics import UNANSWERED
from notcharch.accounts.owner_requests import OwnerRequests
from notcharch.accounts.turns import Turn, TurnCache
from notcharch.calls.event_stream import data_lines
from notcharch.calls.interface import Completion, OpaqueCall, Route
from notcharch.events.accounts import OwnerUnanswered, TurnAdopted, TurnDenied
from notcharch.events.event import emit
from notcharch.scheduling.shared_suspicions import Suspicion
from notcharch.tenants.scope import scoped_name

KEEP_AGAIN_SECONDS = 0.06
"""Before an owner is asked again to keep a turn; a takeover is over in 8 to 31 ms once the
partition is dealt (docs/design/platform.md)."""


class Account:
    """What one call asks and tells the owner of its program's account.

    `program`, `call_id` and `previous_turn` are names within its tenant.
    """

    def __init__(
        self, owners: OwnerRequests, cache: TurnCache, call: OpaqueCall, route: Route
    ) -> None:
        """Find the partition of the call's program."""
        self._owners = owners
        self._cache = cache
        self.call = call
        self._route = route
        tenant = call.tenant_name
        self.program = scoped_name(tenant, call.program)
        self.call_id = scoped_name(tenant, call.id)
        self.previous_turn = scoped_name(tenant, call.previous_turn)
        self.partition = owners.partitioning.of_program(self.program)
        self._is_over = False
        self._unanswered: set[str] = set()
        """The questions that nobody decided at once."""
        self._engine = ""
        self.cached_engine = ""
        """The engine at which the program ran last, as its owner said."""

    # The question

    def admit_message(self, suspicions: tuple[Suspicion, ...] = ()) -> AdmitTurn:
        """Give the question whether the call may run; tell of suspected engines."""
        call = self.call
        return AdmitTurn(
            self.partition,
            self.program,
            self.call_id,
            call.max_tokens,
            call.budget_tokens,
            self._route.retention_seconds,
            previous=self.previous_turn if self._route.stores_turns else "",
            known=self._known_turn(),
            suspicions=suspicions,
        )

    def _known_turn(self) -> str:
        previous = self.previous_turn
        if not previous or self._cache.transcript(previous) is not None:
            return previous
        return self._cache.newest(self.program)

    def whole_body(self, answer: TurnAdmitted) -> bytes | None:
        """Give the body with the turns before it; None if a turn is missing here."""
        self.cached_engine = answer.home
        body = self.call.body
        if not self._route.stores_turns or not self.previous_turn:
            return body
        if answer.text:
            known = Turn(answer.after, answer.text, b"")
            self._cache.remember(self.program, self.previous_turn, known)
        chain = self._cache.transcript(self.previous_turn)
        return None if chain is None else chain.text + body

    # The log

    def log_unanswered(self, question: str) -> None:
        """Tell once that no owner decided yet."""
        if question in self._unanswered:
            return
        self._unanswered.add(question)
        UNANSWERED.inc()
        directory = self._owners.directory
        owner = directory.owner(self.partition)
        emit(
            OwnerUnanswered(
                request=self.call.id,
                program=self.call.program,
                partition=self.partition,
                owner=owner.member_id() if owner is not None else "",
                view_age_seconds=round(directory.age_seconds, 3),
                waited_seconds=round(
                    self._owners.clock.seconds() - self.call.arrived, 3
                ),
                question=question,
            )
        )

    def log_adoption(self, *, is_found: bool) -> None:
        """Tell what came of a search for a turn in all partitions."""
        call = self.call
        event = TurnAdopted if is_found else TurnDenied
        emit(event(call.id, call.program, call.previous_turn))

    # The ticket

    def engine_started(self, engine_id: str) -> None:
        """Remember which engine has the prefix."""
        self._engine = engine_id

    def never_ran(self) -> None:
        """Give the reserved tokens back."""
        self._settle(0)

    def interrupted(self, events: int) -> None:
        """Charge what the caller was given."""
        self._settle(events)

    def _settle(self, events: int) -> None:
        if self._is_over:
            return
        self._is_over = True
        call = self.call
        tokens = events * call.tokens_per_event
        told = SettleCall(
            self.partition, self.program, self.call_id, tokens, self._engine
        )
        self._owners.tell(self.partition, told)

    def completed(self, output: bytes, events: int, then: Completion) -> None:
        """Charge the call; keep the turn if the route does, before its end is shown."""
        if not self._route.stores_turns:
            self._settle(events)
            then.durable()
            return
        self._is_over = True
        self._keep(output, events, then)

    @inlineCallbacks
    def _keep(
        self, output: bytes, events: int, then: Completion
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
        )
        while then.is_caller_waiting:
            answer = yield self._owners.ask(self.partition, message)
            if isinstance(answer, TurnIsKept):
                turn = Turn(self.previous_turn, call.body, data)
                self._cache.remember(self.program, self.call_id, turn)
                then.durable()
                return
            self.log_unanswered("keeping a turn")
            yield deferLater(self._owners.clock, KEEP_AGAIN_SECONDS, lambda: None)
