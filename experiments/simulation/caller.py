"""The callers: each runs one program through a policy and records how it went."""

from collections.abc import Callable
from random import Random
from typing import Protocol

import attrs
from twisted.internet.interfaces import IDelayedCall

from emulator.engine.answers import (
    BYTES_PER_TOKEN,
    MESSAGE_OVERHEAD_TOKENS,
    message_tokens,
    prompt_digest,
)
from emulator.virtual_clock import VirtualClock
from experiments.simulation.calls import Call, ProgramState, ProgramTree
from experiments.simulation.measures import (
    CallRecord,
    Measures,
    Outcome,
    ProgramRecord,
    WaitSpan,
)
from experiments.simulation.programs import ProgramPlan, Turn
from experiments.simulation.workload import Workload
from notcharch.values.chat import ChatMessage
from notcharch.values.identifiers import ProgramId

REFUSED_PAUSE_SECONDS = 1.0
"""A caller that was told no time to come back waits so long."""


class Placement(Protocol):
    """A policy, as a caller meets it."""

    def submit(self, call: Call) -> None:
        """Take a call; its listener hears what becomes of it."""

    def repeat(self, call: Call) -> bool:
        """Take the same call again, as an impatient caller sends it.

        False when it joins the earlier one and so is no run of its own.
        """

    def abandon(self, call: Call) -> None:
        """Learn that the caller of a call has gone away."""

    def program_ended(self, state: ProgramState) -> None:
        """Learn that a program has ended."""


@attrs.frozen
class Surroundings:
    """What all callers share."""

    clock: VirtualClock
    workload: Workload
    placement: Placement
    measures: Measures
    open_callers: "dict[ProgramId, Caller]"
    """The root programs under way, in the order of their begin."""

    arrivals_end: float
    """Endless programs stop looping then."""


class Caller:
    """Runs one program, its children included."""

    def __init__(
        self,
        around: Surroundings,
        program: ProgramId,
        plan: ProgramPlan,
        tree: ProgramTree,
        chance: Random,
        *,
        measured: bool,
        on_end: Callable[[], None],
    ) -> None:
        """Prepare; `begin` sends the first call."""
        self._around = around
        self._plan = plan
        self._chance = chance
        self._on_end = on_end
        self.state = ProgramState(program, plan.service, tree)
        self.measured = measured
        self._begun_at = around.clock.seconds()
        self._messages: tuple[ChatMessage, ...] = ()
        self._prompt_tokens = 0
        self._sequence = 0
        self._attempt = 0
        self._sent_at = 0.0
        self._first_token_at: float | None = None
        self._calls: list[Call] = []
        self._timers: list[IDelayedCall] = []
        self._to_await = 0

    def begin(self) -> None:
        """Send the first call."""
        self._next_turn()

    def cut_off(self) -> None:
        """Record a program that is still under way when the simulation ends."""
        self._record(Outcome.UNFINISHED)

    # What the policy says

    def first_token(self, call: Call, prefill_seconds: float) -> None:
        """Note the first token of any of the call's copies."""
        if call in self._calls and self._first_token_at is None:
            self._first_token_at = self._around.clock.seconds()
            self._record_wait(self._first_token_at - prefill_seconds)

    def answered(self, call: Call, content: str) -> None:
        """Take the first whole answer; copies that come later are ignored."""
        if call not in self._calls:
            return
        self._check_answer(content)
        self._record_call(content)
        self._leave_calls(but=call)
        answer = ChatMessage("assistant", content)
        self._messages = (*self._messages, answer)
        self._prompt_tokens += message_tokens(answer)
        self._after_turn(self._turn())

    def refused(self, call: Call, retry_after: float | None) -> None:
        """Come back when told to, unless patience ends before."""
        if call not in self._calls:
            return
        service = self._plan.service
        self._around.measures.count_refusal(service.name)
        self._calls.remove(call)
        if self._calls:
            return
        if retry_after is None:
            self._end(Outcome.REFUSED)
            return
        pause = max(retry_after, REFUSED_PAUSE_SECONDS) * self._chance.uniform(1, 1.5)
        self._later(pause, self._send)

    # Inside

    def _turn(self) -> Turn:
        if self._plan.endless:
            return self._plan.turns[0]
        return self._plan.turns[self._sequence - 1]

    def _next_turn(self) -> None:
        self._sequence += 1
        self._sent_at = self._around.clock.seconds()
        self._first_token_at = None
        message = _new_message(self._turn())
        self._messages = (*self._messages, message)
        self._prompt_tokens += message_tokens(message)
        self._later(self._plan.service.patience_seconds, self._give_up)
        self._send()

    def _send(self) -> None:
        call = self._new_call()
        self._around.placement.submit(call)
        if call in self._calls and self._plan.service.repeat_after_seconds:
            self._later(self._plan.service.repeat_after_seconds, self._repeat)

    def _new_call(self) -> Call:
        self._attempt += 1
        call = Call(
            self.state,
            self._sequence,
            self._attempt,
            self._messages,
            self._prompt_tokens,
            self,
            self._around.clock.seconds(),
        )
        self._calls.append(call)
        return call

    def _repeat(self) -> None:
        """Send the same once more, if no token has come."""
        if self._first_token_at is None and len(self._calls) == 1:
            copy = attrs.evolve(self._calls[0])
            if self._around.placement.repeat(copy):
                self._calls.append(copy)

    def _give_up(self) -> None:
        if self._first_token_at is None:
            self._record_wait(self._around.clock.seconds())
        self._end(Outcome.GAVE_UP)

    def _after_turn(self, turn: Turn) -> None:
        now = self._around.clock.seconds()
        if self._plan.endless:
            if now < self._around.arrivals_end:
                self._wait_for_pause(turn)
            else:
                self._end(Outcome.DONE)
        elif self._sequence == len(self._plan.turns):
            self._end(Outcome.DONE)
        else:
            self._wait_for_pause(turn)

    def _wait_for_pause(self, turn: Turn) -> None:
        self._to_await = 1 + len(turn.children)
        for number, plan in enumerate(turn.children):
            child = Caller(
                self._around,
                ProgramId(f"{self.state.program}.{self._sequence}.{number}"),
                plan,
                self.state.tree,
                self._chance,
                measured=False,
                on_end=self._one_awaited,
            )
            child.begin()
        self._later(turn.pause_seconds, self._one_awaited)

    def _one_awaited(self) -> None:
        self._to_await -= 1
        if self._to_await == 0 and not self.state.ended:
            self._next_turn()

    def _end(self, outcome: Outcome) -> None:
        self._leave_calls(but=None)
        self._record(outcome)
        self.state.ended = True
        self._around.open_callers.pop(self.state.program, None)
        self._around.placement.program_ended(self.state)
        self._on_end()

    def _leave_calls(self, but: Call | None) -> None:
        """Stop waiting for the present call and its copies."""
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        self._timers.clear()
        calls, self._calls = self._calls, []
        for call in calls:
            if call is not but:
                call.abandoned = True
                self._around.placement.abandon(call)

    def _later(self, seconds: float, call: Callable[[], None]) -> None:
        self._timers.append(self._around.clock.callLater(seconds, call))

    def _record(self, outcome: Outcome) -> None:
        if not self.measured or self._plan.endless:
            return
        service = self._plan.service
        seconds = self._around.clock.seconds() - self._begun_at
        if outcome is not Outcome.DONE:
            seconds += service.patience_seconds
        rates = self._around.workload.rates_of(service.pool)
        self._around.measures.programs.append(
            ProgramRecord(
                service.name,
                outcome,
                seconds,
                self._plan.tool_seconds(),
                self._plan.least_seconds(rates),
            )
        )

    def _record_wait(self, until: float) -> None:
        service = self._plan.service.name
        span = WaitSpan(service, self._sent_at, max(self._sent_at, until))
        self._around.measures.waits.append(span)

    def _record_call(self, content: str) -> None:
        now = self._around.clock.seconds()
        first = self._first_token_at if self._first_token_at is not None else now
        tokens = len(content) // BYTES_PER_TOKEN
        between = (now - first) / (tokens - 1) if tokens > 1 else None
        self._around.measures.calls.append(
            CallRecord(self._plan.service.name, first - self._sent_at, between)
        )

    def _check_answer(self, content: str) -> None:
        if not content.startswith(prompt_digest(self._messages)[: len(content)]):
            self._around.measures.wrong_answers += 1


def _new_message(turn: Turn) -> ChatMessage:
    marker = f"[answer-tokens:{turn.answer_tokens}]"
    size = (turn.prompt_tokens - MESSAGE_OVERHEAD_TOKENS) * BYTES_PER_TOKEN
    return ChatMessage("user", marker.ljust(size, "x"))
