"""State machine of programs' accounts, with failing daemons and a failing log service.

The model holds the tokens that callers received and the turns reported as durable.
"""

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, consumes, rule

from notcharch.accounts.account_memory import AccountMemory
from notcharch.accounts.service import GROUP
from notcharch.calls.event_stream import data_lines
from notcharch.calls.interface import UNKNOWN_TURN
from tests.stateful.daemon_fates import DAEMONS, RefusedDaemons, daemons
from tests.unit.accounts.world import EVENT_TOKENS, World

MAX_CALL_TOKENS = 100
BUDGETS = {"p": 500, "q": 500, "short": 150}
"""The starting share of the budget does not cover one call of program `short`."""
PROGRAMS = tuple(BUDGETS)


class Running(msgspec.Struct):
    """A call that was admitted or waits for its admission."""

    call: object
    listener: object
    expected_body: bytes
    previous_known: bool
    relayed: int = 0
    """Events that the caller has received."""

    def relay(self, events: int) -> int:
        """Relay up to so many events in total, as far as granted; return how many more."""
        ticket = self.listener.ticket
        granted = ticket.granted_events
        total = events if granted is None else min(events, granted)
        more = max(total - self.relayed, 0)
        self.relayed += more
        ticket.relayed(self.relayed, max(events - self.relayed, 0))
        return more


class AccountsMachine(RefusedDaemons):
    """Callers, daemons and the log service."""

    calls = Bundle("calls")
    group = GROUP
    memory = AccountMemory
    """Returns what a daemon may hold."""
    is_older = False
    """Whether the gateways' calls are granted as a whole."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World(DAEMONS, memory=self.memory, is_older=self.is_older)
        self.given: dict[str, int] = dict.fromkeys(PROGRAMS, 0)
        self.durable_turns: dict[str, bytes] = {}

    @rule(
        target=calls,
        program=st.sampled_from(PROGRAMS),
        daemon=daemons,
        goes_on=st.booleans(),
        pick=st.integers(0, 50),
    )
    def ask(self, program, daemon, goes_on, pick):
        previous, text = "", b""
        if goes_on and self.durable_turns:
            previous = sorted(self.durable_turns)[pick % len(self.durable_turns)]
            text = self.durable_turns[previous]
        call = self.world.call(
            program,
            budget=BUDGETS[program],
            token_limit=MAX_CALL_TOKENS,
            previous=previous,
            body=b"in;",
        )
        listener = self.world.request_admission(call, daemon, stores_turns=True)
        return Running(call, listener, text + b"in;", bool(previous))

    @rule(running=calls, events=st.integers(1, MAX_CALL_TOKENS // EVENT_TOKENS))
    def relay(self, running, events):
        """Let the caller receive what is granted; ask for more if events wait."""
        self.check(running)
        if running.listener.ticket is not None:
            self.give(running, running.relay(events))

    def give(self, running, events):
        self.given[running.call.program] += events * EVENT_TOKENS

    @rule(
        running=consumes(calls), events=st.integers(1, MAX_CALL_TOKENS // EVENT_TOKENS)
    )
    def end_whole(self, running, events):
        """Complete the engine's response; the turn counts once it is durable."""
        self.check(running)
        listener = running.listener
        if listener.ticket is None:
            return
        events = max(events, running.relayed)
        self.give(running, running.relay(events))
        output = b"data: out\n\n" * events
        listener.ticket.completed(output, events, listener)
        self.world.run(0.3)
        if listener.is_durable:
            self.give(running, events - running.relayed)
            text = running.expected_body + data_lines(output)
            self.durable_turns[running.call.id] = text
        listener.is_caller_waiting = False

    @rule(
        running=consumes(calls), events=st.integers(0, MAX_CALL_TOKENS // EVENT_TOKENS)
    )
    def break_off(self, running, events):
        self.check(running)
        if running.listener.ticket is None:
            running.listener.awaits_admission = False
            return
        self.give(running, running.relay(events))
        running.listener.ticket.interrupted(running.relayed)

    @rule(running=consumes(calls))
    def lose_silently(self, running):
        """Lose the gateway with a call in flight, after all tokens that are granted."""
        self.check(running)
        if running.listener.ticket is not None:
            self.give(running, running.relay(MAX_CALL_TOKENS // EVENT_TOKENS))
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
        """Check that after recovery stored turns are found and calls are decided."""
        self.heal()
        self.world.run(8.0)
        for turn in sorted(self.durable_turns)[-2:]:
            call = self.world.call("new", budget=10_000, previous=turn, body=b"x")
            listener = self.world.wait_for_decision(call, stores_turns=True)
            assert listener.body == self.durable_turns[turn] + b"x"
            listener.ticket.never_ran()

    def teardown(self):
        assert not any(listener.is_given_up for listener in self.world.listeners)
        for program, given in self.given.items():
            assert given <= BUDGETS[program] + MAX_CALL_TOKENS, (
                f"{program} was given {given}"
            )
