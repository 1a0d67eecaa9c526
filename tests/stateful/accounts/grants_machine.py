"""State machine of calls that relay within grants, with daemons and a log that fail.

The oracle counts the tokens that were handed out, not those in doubt: never more than the
budget and one call, and a program whose use leaves room for a call is served.
"""

from hypothesis import strategies as st
from hypothesis.stateful import Bundle, consumes, rule

from notcharch.accounts.messages import TurnAdmitted, TurnIsKept
from notcharch.accounts.service import GROUP
from tests.stateful.daemon_fates import DAEMONS, RefusedDaemons, daemons
from tests.unit.accounts.gated_calls import GatedCall
from tests.unit.accounts.world import EVENT_TOKENS, World

MOST_TOKENS = 1024 * EVENT_TOKENS
"""So large that a life's losses leave more than single events to grant."""
BUDGETS = {
    "short": MOST_TOKENS * 157 // 100,
    "medium": 4 * MOST_TOKENS,
    "long": 8 * MOST_TOKENS,
    "plain": 10 * MOST_TOKENS,
}
NOT_KEPT = {"plain"}
SHORT_SECONDS = 0.4
SETTLE_SECONDS = 13.0
"""A call of which nothing was heard for 12 s may have ended."""


class GrantsMachine(RefusedDaemons):
    """Gateways that relay, ask for more, end their calls, or are lost with them."""

    calls = Bundle("calls")
    group = GROUP

    def __init__(self) -> None:
        super().__init__()
        self.world = World(DAEMONS)
        self.given = dict.fromkeys(BUDGETS, 0)
        self.running: list[GatedCall] = []

    def new_call(self, program, daemon, event_tokens=EVENT_TOKENS):
        call = GatedCall(
            self.world,
            program,
            BUDGETS[program],
            MOST_TOKENS,
            at=daemon,
            is_kept=program not in NOT_KEPT,
            event_tokens=event_tokens,
        )
        call.process = self.process(daemon)
        return call

    def process(self, daemon):
        return self.world.incarnations[self.world.names[daemon]]

    def lives(self, call):
        """Return whether the process of a call's gateway runs."""
        is_up = call.at not in self.down | self.asleep
        return is_up and call.process == self.process(call.at)

    def relay(self, call, tokens, seconds=SHORT_SECONDS):
        before = call.relayed
        left = min(tokens, call.most_tokens - before)
        is_whole = call.relay(left, seconds)
        self.given[call.program] += call.relayed - before
        return is_whole

    @rule(target=calls, program=st.sampled_from(sorted(BUDGETS)), daemon=daemons)
    def ask(self, program, daemon):
        call = self.new_call(program, daemon)
        if daemon not in self.down | self.asleep:
            reply = call.admit(SHORT_SECONDS)
            if isinstance(reply, TurnAdmitted):
                self.running.append(call)
        return call

    @rule(
        call=calls,
        tokens=st.sampled_from(
            [EVENT_TOKENS, MOST_TOKENS // 4, MOST_TOKENS // 2, MOST_TOKENS]
        ),
    )
    def relay_some(self, call, tokens):
        if call in self.running and self.lives(call):
            self.relay(call, tokens)

    @rule(call=consumes(calls))
    def end(self, call):
        if call in self.running and self.lives(call):
            call.keep(SHORT_SECONDS)
            self.running.remove(call)

    @rule(call=consumes(calls))
    def lose_silently(self, call):
        """End a call without telling."""
        if call in self.running:
            self.running.remove(call)

    @rule(gone=st.sampled_from([0.0, 1.0]))
    def lose_all(self, gone):
        self.restart_all(gone)

    def leave(self, name):
        self.world.services[name].leave()

    @rule(seconds=st.sampled_from([0.1, 1.0, 4.0, 9.0]))
    def wait(self, seconds):
        self.world.run(seconds)

    @rule()
    def all_is_well_again(self):
        """Check that calls go on, and that each program with room is served."""
        self.heal()
        self.world.run(SETTLE_SECONDS)
        for call in tuple(self.running):
            if self.lives(call):
                assert self.relay(call, EVENT_TOKENS, SETTLE_SECONDS), call.program
                reply = call.keep(SETTLE_SECONDS)
                assert not call.is_kept or isinstance(reply, TurnIsKept)
            self.running.remove(call)
        for program, budget in BUDGETS.items():
            if self.given[program] + MOST_TOKENS <= budget:
                self.serve(program)

    def serve(self, program):
        call = self.new_call(program, 0)
        reply = call.admit(SETTLE_SECONDS)
        assert isinstance(reply, TurnAdmitted), (program, self.given[program], reply)
        assert self.relay(call, EVENT_TOKENS, SETTLE_SECONDS)
        call.keep(SETTLE_SECONDS)

    def teardown(self):
        for program, given in self.given.items():
            assert given <= BUDGETS[program] + MOST_TOKENS, f"{program}: {given}"
