"""Admission of calls by the owner of their program's account."""

from collections.abc import Generator
from typing import Any

import msgspec
import xxhash
from result import Err, Ok, Result
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from notcharch.accounts.directory import OwnerDirectory, Partitioning
from notcharch.accounts.messages import (
    AdmitTurn,
    KeepTurn,
    NotOwner,
    SettleCall,
    TurnAdmitted,
    TurnIsKept,
    TurnRefused,
)
from notcharch.accounts.turns import Turn, TurnCache
from notcharch.calls.event_stream import data_lines
from notcharch.calls.interface import (
    BUDGET_SPENT,
    STATE_UNSURE,
    UNKNOWN_TURN,
    AdmissionListener,
    Completion,
    OpaqueCall,
    Refusal,
    Route,
)
from notcharch.calls.open_admission import NO_ACCOUNT
from notcharch.errors import Problem
from notcharch.wire.messages.base import Message
from notcharch.wire.peers import PeerNetwork

ASK_SECONDS = 0.5
"""An owner that doesn't answer in this time is asked again, or its successor is."""
AGAIN_SECONDS = 0.06
MOST_HOLD_SECONDS = 1.4
MOST_HOLD_SHARE = 0.45
"""A call whose owner can't be found is refused after so much of its time."""
CACHE_BYTES = 8 * 1024 * 1024

Reply = Result[Message, Problem]


class AccountServices(msgspec.Struct, frozen=True):
    """What admission works with."""

    clock: IReactorTime
    network: PeerNetwork
    directory: OwnerDirectory
    partitioning: Partitioning


class AccountAdmission:
    """Lets calls of programs in as their accounts allow, and all others."""

    def __init__(self, services: AccountServices) -> None:
        """Ask owners through a directory."""
        self._services = services
        self._cache = TurnCache(CACHE_BYTES)

    def ask(self, call: OpaqueCall, route: Route, answer: AdmissionListener) -> None:
        """Admit a call, or refuse it, through `answer`."""
        is_accounted = call.budget_tokens is not None or route.keeps_turns
        if not (route.is_stream and call.program and is_accounted):
            answer.admitted(NO_ACCOUNT, call.body)
            return
        self._ask_owner(Account(self._services, self._cache, call, route), answer)

    @inlineCallbacks
    def _ask_owner(
        self, account: "Account", answer: AdmissionListener
    ) -> Generator["Deferred[Any]", Any, None]:
        """Ask until an owner decides, the caller leaves, or too much time passed."""
        clock = self._services.clock
        call = account.call
        hold = MOST_HOLD_SECONDS
        if call.wait_seconds is not None:
            hold = min(hold, call.wait_seconds * MOST_HOLD_SHARE)
        until = call.arrived + hold
        while True:
            reply: Reply | None = yield account.ask_owner(account.admit_message())
            decision = account.decide(reply)
            if isinstance(decision, Refusal):
                answer.refused(decision)
                return
            if decision is not None:
                answer.admitted(account, decision)
                return
            if not answer.wants_admission or clock.seconds() >= until:
                break
            yield deferLater(clock, AGAIN_SECONDS, lambda: None)
        account.never_ran()
        answer.refused(STATE_UNSURE)


class Account:
    """One call's part of its program's account: its admission and its ticket."""

    def __init__(
        self,
        services: AccountServices,
        cache: TurnCache,
        call: OpaqueCall,
        route: Route,
    ) -> None:
        """Find the partition of the call's program."""
        self._services = services
        self._cache = cache
        self.call = call
        self._route = route
        digest = xxhash.xxh64_intdigest(call.program.encode())
        self._partition = digest % services.partitioning.partitions
        self._is_over = False

    def ask_owner(self, message: Message) -> "Deferred[Reply | None]":
        """Send a request to the owner; None if no owner is known."""
        owner = self._services.directory.owner(self._partition)
        if owner is None:
            self._services.directory.doubt()
            nobody: Deferred[Reply | None] = Deferred()
            nobody.callback(None)
            return nobody
        asking = self._services.network.request(owner.daemon, message, ASK_SECONDS)
        return asking.addCallback(self._look)

    def _look(self, reply: Reply) -> Reply | None:
        """Look for another owner if this one didn't answer as one."""
        directory = self._services.directory
        if isinstance(reply, Err):
            directory.doubt()
        elif isinstance(reply.ok_value, NotOwner):
            directory.doubt()
            directory.hinted(self._partition, reply.ok_value.owner)
        return reply

    def admit_message(self) -> AdmitTurn:
        """Give the question whether the call may run."""
        call = self.call
        return AdmitTurn(
            self._partition,
            call.program,
            call.id,
            call.most_tokens,
            call.budget_tokens,
            self._route.keep_seconds,
            previous=call.previous_turn,
            known=self._known_turn(),
        )

    def _known_turn(self) -> str:
        call = self.call
        if not call.previous_turn:
            return ""
        if self._cache.transcript(call.previous_turn) is not None:
            return call.previous_turn
        return self._cache.newest(call.program)

    def decide(self, reply: Reply | None) -> Refusal | bytes | None:
        """Give the body to run with, a refusal, or None to ask again."""
        if reply is None or isinstance(reply, Err):
            return None
        answer = reply.ok_value
        if isinstance(answer, TurnRefused):
            return BUDGET_SPENT if answer.is_spent else UNKNOWN_TURN
        if not isinstance(answer, TurnAdmitted):
            return None
        return self._whole_body(answer)

    def _whole_body(self, answer: TurnAdmitted) -> bytes | None:
        call = self.call
        if not self._route.keeps_turns or not call.previous_turn:
            return call.body
        if answer.text:
            known = Turn(answer.after, answer.text, b"")
            self._cache.remember(call.program, call.previous_turn, known)
        chain = self._cache.transcript(call.previous_turn)
        return None if chain is None else chain.text + call.body

    # The ticket

    def never_ran(self) -> None:
        """Give the reserved tokens back."""
        self._settle(0)

    def broke_off(self, events: int) -> None:
        """Charge what the caller was given."""
        self._settle(events)

    def _settle(self, events: int) -> None:
        if self._is_over:
            return
        self._is_over = True
        owner = self._services.directory.owner(self._partition)
        if owner is None:
            return
        call = self.call
        tokens = events * call.tokens_per_event
        told = SettleCall(self._partition, call.program, call.id, tokens)
        self._services.network.notify(owner.daemon, told)

    def completed(self, output: bytes, events: int, then: Completion) -> None:
        """Charge the call; keep the turn if the route does, before its end is shown."""
        if not self._route.keeps_turns:
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
            self._partition,
            call.program,
            call.id,
            call.previous_turn,
            call.body,
            data,
            events * call.tokens_per_event,
        )
        while then.is_awaited:
            reply: Reply | None = yield self.ask_owner(message)
            if isinstance(reply, Ok) and isinstance(reply.ok_value, TurnIsKept):
                turn = Turn(call.previous_turn, call.body, data)
                self._cache.remember(call.program, call.id, turn)
                then.durable()
                return
            yield deferLater(self._services.clock, AGAIN_SECONDS, lambda: None)
