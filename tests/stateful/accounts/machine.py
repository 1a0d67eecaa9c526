"""Programs over daemons that crash, sleep, leave and return, on a failing log service.

The oracle is small: what callers were given, and what they were told is kept.
"""

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, consumes, rule

from notcharch.accounts.service import GROUP
from notcharch.calls.event_stream import data_lines
from notcharch.calls.interface import UNKNOWN_TURN
from tests.stateful.daemon_fates import DAEMONS, RefusedDaemons, daemons
from tests.unit.accounts.world import EVENT_TOKENS, World

MOST = 100
BUDGETS = {"p": 500, "q": 500, "short": 150}
"""The share that programs begin by doesn't cover one call of the short one."""
PROGRAMS = tuple(BUDGETS)


class Running(msgspec.Struct):
    """A call that was admitted, or waits to be."""

    call: object
    listener: object
    expected_body: bytes
    previous_known: bool


class AccountsMachine(RefusedDaemons):
    """Callers, daemons and the log service."""

    calls = Bundle("calls")
    group = GROUP

    def __init__(self) -> None:
        super().__init__()
        self.world = World(DAEMONS)
        self.given: dict[str, int] = dict.fromkeys(PROGRAMS, 0)
        self.kept: dict[str, bytes] = {}

    @rule(
        target=calls,
        program=st.sampled_from(PROGRAMS),
        daemon=daemons,
        goes_on=st.booleans(),
        pick=st.integers(0, 50),
    )
    def ask(self, program, daemon, goes_on, pick):
        previous, text = "", b""
        if goes_on and self.kept:
            previous = sorted(self.kept)[pick % len(self.kept)]
            text = self.kept[previous]
        call = self.world.call(
            program, budget=BUDGETS[program], most=MOST, previous=previous, body=b"in;"
        )
        listener = self.world.ask(call, daemon, stores_turns=True)
        return Running(call, listener, text + b"in;", bool(previous))

    @rule(running=consumes(calls), events=st.integers(1, MOST // EVENT_TOKENS))
    def end_whole(self, running, events):
        """Let the engine's answer come whole; its end is shown once durable."""
        self.check(running)
        listener = running.listener
        if listener.ticket is None:
            return
        self.given[running.call.program] += events * EVENT_TOKENS
        output = b"data: out\n\n" * events
        listener.ticket.completed(output, events, listener)
        self.world.run(0.3)
        if listener.is_durable:
            text = running.expected_body + data_lines(output)
            self.kept[running.call.id] = text
        listener.is_caller_waiting = False

    @rule(running=consumes(calls), events=st.integers(0, MOST // EVENT_TOKENS))
    def break_off(self, running, events):
        self.check(running)
        if running.listener.ticket is None:
            running.listener.awaits_admission = False
            return
        self.given[running.call.program] += events * EVENT_TOKENS
        running.listener.ticket.interrupted(events)

    @rule(running=consumes(calls))
    def lose_silently(self, running):
        """Let the gateway die with a call under way, after giving all it may."""
        self.check(running)
        if running.listener.ticket is not None:
            self.given[running.call.program] += MOST
        running.listener.awaits_admission = False

    def check(self, running):
        listener = running.listener
        if listener.ticket is not None:
            assert listener.body == running.expected_body
        if running.previous_known:
            assert listener.refusal != UNKNOWN_TURN

    def leave(self, name):
        self.world.services[name].leave()

    @rule(seconds=st.sampled_from([0.02, 0.1, 0.4, 1.5, 4.0]))
    def wait(self, seconds):
        self.world.run(seconds)

    @rule()
    def all_is_well_again(self):
        """Once everything works, a kept turn is found and a call is decided."""
        self.heal()
        self.world.run(8.0)
        for turn in sorted(self.kept)[-2:]:
            call = self.world.call("new", budget=10_000, previous=turn, body=b"x")
            listener = self.world.decided(call, stores_turns=True)
            assert listener.body == self.kept[turn] + b"x"
            listener.ticket.never_ran()

    def teardown(self):
        for program, given in self.given.items():
            assert given <= BUDGETS[program] + MOST, f"{program} was given {given}"
