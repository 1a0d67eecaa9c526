"""State machine of accounts and kept turns over a log that drops records by their age.

The oracle counts what engines generated, and the turns that were answered whole.
"""

import math

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, consumes, initialize, rule

from notcharch.accounts.service import GROUP
from notcharch.calls.event_stream import data_lines
from notcharch.calls.interface import BUDGET_SPENT, UNKNOWN_TURN
from tests.stateful.daemon_fates import DAEMONS, RefusedDaemons, daemons
from tests.unit.accounts.world import EVENT_TOKENS, World

RETENTIONS = [12.0, 20.0, 35.0, 60.0, 300.0]
KEEP_SECONDS = 60.0
REFUSED = 503
SETTLE_SECONDS = 1.0
"""An owner knows so soon that a call has ended."""


class Row(msgspec.Struct, frozen=True):
    """What a program may use, and how its turns are."""

    budget: int
    most_tokens: int
    is_kept: bool


PROGRAMS = {
    "short": Row(900, 570, is_kept=True),
    "long": Row(4600, 570, is_kept=True),
    "plain": Row(1000, 100, is_kept=False),
}

KEPT_PROGRAMS = tuple(name for name, row in PROGRAMS.items() if row.is_kept)


class Running(msgspec.Struct):
    """A call that was admitted, or waits for its admission."""

    program: str
    call: object
    listener: object
    previous: str
    expected_body: bytes
    daemon: int
    """The gateway."""
    most_beside: int = 0
    """Most calls of the program that were in flight with it, and itself."""
    ended_at: float = math.inf


class RetentionMachine(RefusedDaemons):
    """Programs, daemons that are lost at any step, and a log with a short history."""

    calls = Bundle("calls")
    group = GROUP

    def __init__(self) -> None:
        super().__init__()
        self.generated: dict[str, int] = dict.fromkeys(PROGRAMS, 0)
        self.running: dict[str, list[Running]] = {name: [] for name in PROGRAMS}
        """Calls in flight, which owners count at their most."""
        self.turns: dict[str, bytes] = {}
        self.answered_at: dict[str, float] = {}
        self.newest: dict[str, str] = {}

    @initialize(retention=st.sampled_from(RETENTIONS))
    def begin(self, retention):
        self.world = World(DAEMONS, log_retention=retention)

    def previous_of(self, program):
        """Return the program's newest turn while it must be kept."""
        turn = self.newest.get(program, "")
        return turn if turn and not self.may_be_denied(turn) else ""

    def may_be_denied(self, turn):
        return self.world.clock.seconds() - self.answered_at[turn] >= KEEP_SECONDS

    @rule(target=calls, program=st.sampled_from(sorted(PROGRAMS)), daemon=daemons)
    def ask(self, program, daemon):
        row = PROGRAMS[program]
        previous = self.previous_of(program)
        call = self.world.call(
            program,
            budget=row.budget,
            token_limit=row.most_tokens,
            previous=previous,
            body=b"in;",
        )
        listener = self.world.request_admission(call, daemon, stores_turns=row.is_kept)
        text = self.turns.get(previous, b"") + b"in;"
        running = Running(program, call, listener, previous, text, daemon)
        now = self.world.clock.seconds()
        beside = [
            one for one in self.running[program] if now - one.ended_at <= SETTLE_SECONDS
        ]
        beside.append(running)
        self.running[program] = beside
        for one in beside:
            one.most_beside = max(one.most_beside, len(beside))
        return running

    @rule(running=consumes(calls), events=st.sampled_from([0, 1, 10]))
    def end_whole(self, running, events):
        self.world.run(0.3)
        listener = self.finish(running, events)
        if listener.ticket is None:
            return
        output = b"data: out\n\n" * events
        listener.ticket.completed(output, events, listener)
        self.world.run(0.3)
        if listener.is_durable and PROGRAMS[running.program].is_kept:
            turn = running.call.id
            self.turns[turn] = running.expected_body + data_lines(output)
            self.answered_at[turn] = self.world.clock.seconds()
            self.newest[running.program] = turn
        listener.is_caller_waiting = False

    @rule(running=consumes(calls), events=st.sampled_from([0, 1, 10]))
    def break_off(self, running, events):
        listener = self.finish(running, events)
        if listener.ticket is not None:
            listener.ticket.interrupted(events)

    @rule(running=consumes(calls), events=st.sampled_from([0, 1, 10]))
    def lose_silently(self, running, events):
        """End a call with its gateway: nobody tells what its engine generated."""
        self.finish(running, events)
        self.lose_gateway(running.daemon)

    def lose_gateway(self, daemon):
        self.crash(daemon=daemon, silent=False)

    def finish(self, running, events):
        """Check the decision, and count what the engine generated."""
        listener, program = running.listener, running.program
        self.check(running)
        running.ended_at = self.world.clock.seconds()
        listener.awaits_admission = listener.ticket is not None
        if listener.ticket is not None:
            assert listener.body == running.expected_body
            self.generated[program] += events * EVENT_TOKENS
            self.relay(listener.ticket, events)
        return listener

    def relay(self, ticket, events):
        """Relay what is granted, and ask for more if events wait."""
        granted = ticket.granted_events
        relayed = events if granted is None else min(events, granted)
        ticket.relayed(relayed, events - relayed)

    def check(self, running):
        refusal, row = running.listener.refusal, PROGRAMS[running.program]
        if running.previous and not self.may_be_denied(running.previous):
            assert refusal != UNKNOWN_TURN
        if refusal == BUDGET_SPENT:
            most = running.most_beside * row.most_tokens
            assert self.generated[running.program] + most > row.budget

    @rule(gone=st.sampled_from([0.0, 1.0, 3.0, 15.0]))
    def lose_all(self, gone):
        self.restart_all(gone)

    def leave(self, name):
        self.world.services[name].leave()

    @rule(seconds=st.sampled_from([0.1, 1.0, 4.0, 9.0, 21.0]))
    def wait(self, seconds):
        self.world.run(seconds)

    @rule()
    def all_is_well_again(self):
        """Check that kept turns are found, or told to be unsure, and never denied."""
        self.heal()
        self.world.run(5.0)
        for program in KEPT_PROGRAMS:
            self.go_on(program)

    def go_on(self, program, *, may_be_unsure=True):
        """Check that a program goes on from its newest turn, or is told to come back."""
        previous = self.previous_of(program)
        if not previous:
            return
        call = self.world.call(program, budget=None, previous=previous, body=b"x")
        listener = self.world.wait_for_decision(call, stores_turns=True)
        if may_be_unsure and listener.ticket is None:
            assert listener.refusal.status == REFUSED
            return
        assert listener.body == self.turns[previous] + b"x"
        listener.ticket.never_ran()

    def teardown(self):
        for program, row in PROGRAMS.items():
            assert self.generated[program] <= row.budget + row.most_tokens, program


class UndisturbedLog(RetentionMachine):
    """Owners are lost, and nothing else happens: each turn is found at once."""

    @rule(gone=st.sampled_from([0.0, 1.0]))
    def lose_all(self, gone):
        super().lose_all(gone)
        self.world.run(2.0)

    @rule(daemon=daemons, silent=st.booleans())
    def crash(self, daemon, silent):
        name = self.world.names[daemon]
        self.world.crash(name, silent=silent)
        self.world.run(2.0)
        self.world.start(name)
        self.world.run(0.5)

    def disturb_nothing(self, **_):
        """Leave the log, the links and the processor alone."""

    trouble = rule(count=st.just(0))(disturb_nothing)
    refuse = rule(count=st.just(0))(disturb_nothing)
    sleep = rule(count=st.just(0))(disturb_nothing)
    start = rule(count=st.just(0))(disturb_nothing)
    wake = disturb_nothing

    def heal(self):
        """Do nothing: all daemons run."""

    @rule()
    def all_is_well_again(self):
        self.world.run(1.0)
        for program in KEPT_PROGRAMS:
            self.go_on(program, may_be_unsure=False)
