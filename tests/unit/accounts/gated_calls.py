"""A gateway's calls that relay within their grants, as messages to the owner."""

from contextlib import suppress

from result import Ok

from notcharch.accounts.messages import (
    WHOLE_CALL,
    AdmitTurn,
    GrantRaised,
    KeepTurn,
    NotOwner,
    RaiseGrant,
    SettleCall,
    TurnAdmitted,
    TurnIsKept,
    TurnRefused,
)
from tests.unit.accounts.world import EVENT_TOKENS, STEP_SECONDS, World

DECISION_SECONDS = 12.0
"""Within `recovery_s` a call is decided again."""
ASK_SECONDS = 0.3
RETRY_SECONDS = 0.06


class GatedCall:
    """One call, and what its gateway has relayed to the caller."""

    count = 0

    def __init__(
        self,
        world: World,
        program: str,
        budget: int | None,
        most_tokens: int,
        *,
        at: int = 0,
        is_kept: bool = True,
        event_tokens: int = EVENT_TOKENS,
    ) -> None:
        GatedCall.count += 1
        self.id = f"gated{GatedCall.count}"
        self.world = world
        self.program = program
        self.budget = budget
        self.most_tokens = most_tokens
        self.at = at
        self.is_kept = is_kept
        self.event_tokens = event_tokens
        self.granted = 0
        self.relayed = 0
        self.last_owner = world.names[0]
        self.owner()
        self.asked = 0
        """Requests for more."""

    def send(self, message):
        """Send a request to the owner; return its reply, or None."""
        world = self.world
        network = world.fabric.daemon(world.names[self.at]).network
        answered = network.request(self.owner(), message, ASK_SECONDS)
        replies = []
        answered.addCallback(replies.append)
        until = world.clock.seconds() + ASK_SECONDS + STEP_SECONDS
        while not replies and world.clock.seconds() < until:
            world.run(STEP_SECONDS)
        if replies and isinstance(replies[0], Ok):
            return replies[0].ok_value
        return None

    def owner(self):
        """Return the owner; the last one known while the group has none."""
        with suppress(StopIteration):
            self.last_owner = self.world.owner(self.program)
        return self.last_owner

    def repeat(self, message, is_decided, seconds=DECISION_SECONDS):
        """Send a request until it is decided; return the last reply."""
        until = self.world.clock.seconds() + seconds
        while True:
            reply = self.send(message)
            if is_decided(reply) or self.world.clock.seconds() >= until:
                return reply
            self.world.run(RETRY_SECONDS)

    @property
    def partition(self) -> int:
        return self.world.partitioning.of_program(self.program)

    def admit_message(self) -> AdmitTurn:
        return AdmitTurn(
            self.partition,
            self.program,
            self.id,
            self.most_tokens,
            self.budget,
            60.0,
            turn_bytes=1 if self.is_kept else 0,
            event_tokens=self.event_tokens,
        )

    def admit(self, seconds=DECISION_SECONDS):
        """Ask for admission, again while it is refused for now; return the reply."""

        def is_final(reply):
            is_spent = isinstance(reply, TurnRefused) and reply.is_spent
            return isinstance(reply, TurnAdmitted) or is_spent

        reply = self.repeat(self.admit_message(), is_final, seconds)
        if isinstance(reply, TurnAdmitted):
            told = reply.granted_tokens
            self.granted = self.most_tokens if told == WHOLE_CALL else told
        return reply

    def raise_message(self, wanted: int) -> RaiseGrant:
        return RaiseGrant(
            self.partition,
            self.program,
            self.id,
            self.most_tokens,
            self.budget,
            self.event_tokens,
            self.granted,
            self.relayed,
            wanted,
        )

    def ask_for_more(self, seconds=DECISION_SECONDS):
        """Ask for the next event; return the reply."""
        self.asked += 1
        wanted = min(self.granted + self.event_tokens, self.most_tokens)
        message = self.raise_message(wanted)
        reply = self.repeat(
            message, lambda reply: isinstance(reply, GrantRaised), seconds
        )
        if isinstance(reply, GrantRaised):
            self.granted = max(self.granted, reply.granted_tokens)
        return reply

    def relay(self, tokens: int, seconds=DECISION_SECONDS) -> bool:
        """Relay so many tokens more, event by event; return whether all were granted."""
        end = self.relayed + tokens
        while self.relayed < end:
            step = min(EVENT_TOKENS, end - self.relayed)
            if self.relayed + step > self.granted:
                reply = self.ask_for_more(seconds)
                if not isinstance(reply, GrantRaised):
                    return False
                if self.relayed + step > self.granted:
                    return False
            self.relayed += step
        return True

    def keep(self, seconds=DECISION_SECONDS):
        """End the call; its turn is stored, or its use is told."""
        if not self.is_kept:
            self.settle()
            return None
        message = KeepTurn(
            self.partition, self.program, self.id, "", b"in", b"out", self.relayed
        )
        return self.repeat(
            message, lambda reply: isinstance(reply, TurnIsKept), seconds
        )

    def settle(self) -> None:
        world = self.world
        network = world.fabric.daemon(world.names[self.at]).network
        notice = SettleCall(self.partition, self.program, self.id, self.relayed)
        network.notify(self.owner(), notice)
        world.run(0.2)


class GatedProgram:
    """A program and what its callers were given."""

    def __init__(
        self, world: World, name: str, budget: int, most_tokens: int, *, is_kept=True
    ) -> None:
        self.world = world
        self.name = name
        self.budget = budget
        self.most_tokens = most_tokens
        self.is_kept = is_kept
        self.calls: list[GatedCall] = []

    @property
    def given(self) -> int:
        return sum(call.relayed for call in self.calls)

    @property
    def has_room(self) -> bool:
        """Whether what was given leaves enough for the next call."""
        return self.given + self.most_tokens <= self.budget

    def begin(self, at: int = 0, seconds=DECISION_SECONDS) -> GatedCall | None:
        """Let a call in; None if it is refused."""
        call = GatedCall(
            self.world,
            self.name,
            self.budget,
            self.most_tokens,
            at=at,
            is_kept=self.is_kept,
        )
        reply = call.admit(seconds)
        if not isinstance(reply, TurnAdmitted):
            return None
        self.calls.append(call)
        return call

    def turn(self, tokens: int, at: int = 0) -> bool:
        """Make a whole turn; return whether it was served."""
        call = self.begin(at)
        if call is None or not call.relay(tokens):
            return False
        reply = call.keep()
        return not self.is_kept or isinstance(reply, TurnIsKept)


def is_undecided(reply) -> bool:
    """Return whether an owner has not decided."""
    return reply is None or isinstance(reply, NotOwner)
