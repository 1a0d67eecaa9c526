"""Programs of kept turns with sub-agents and tool calls, which outlive the daemons."""

from collections import deque
from collections.abc import Generator
from random import Random
from typing import Any

import msgspec
from twisted.internet.defer import Deferred, gatherResults, inlineCallbacks

from deploy.soak.callers import Callers
from deploy.soak.losses.owed import received_tokens
from deploy.soak.losses.records import Evidence, PlayTurn
from deploy.soak.observations import OK, Asked
from deploy.soak.settings import KEPT_PATH
from deploy.soak.tenants import SoakTenant, Tenants
from notcharch.http.messages import Headers

MOST_EVENTS = 23
"""Of a turn, as its caller tells it."""
LEAST_REAL_EVENTS, MOST_REAL_EVENTS = 5, 15
"""Of most turns: about ten."""
PROGRAM_SECONDS = 40.0
"""Within which each program aims to be over."""
MOST_TRIES = 8
BUDGET_SPENT = 402
MOST_SPENT_TRIES = 3
"""A turn is sent twice more after its budget was said to be spent."""
LEAST_RETRY_SECONDS, MOST_RETRY_SECONDS = 0.1, 0.4
MOST_PAUSE_SECONDS = 0.8
SUB_AGENTS_SHARE = 0.25
"""Of the turns after which sub-agents begin."""
REMEMBERED_LINES = 40
USED_SHARE = 0.45
"""Of its budget, which a program plans to use at most by its real lengths."""


class SoundTenants(Tenants):
    """Tenants whose callers use keys in force; none is limited."""

    def choose(self) -> SoakTenant:
        """Give the tenant of a new program."""
        return self._random.choice([t for t in self.all if not t.rate_per_second])

    def key(self, tenant: SoakTenant, now: float) -> str:
        """Give a key in force."""
        return next(iter(tenant.keys))


class Line(msgspec.Struct):
    """A line of turns: where its next turn goes on from."""

    program: str
    tenant: SoakTenant
    aim: float
    previous: str = ""
    previous_ended_at: float = 0.0
    chain: bytes = b""
    """All inputs and events so far."""

    def copy(self) -> "Line":
        """Give another line from the same turn."""
        return msgspec.structs.replace(self)


class ProgramCallers(Callers):
    """Keeps a number of programs running, and lets some come back after a final fault."""

    def __init__(
        self, *arguments: Any, evidence: Evidence, random: Random, **named: Any
    ) -> None:
        """Note each turn in the evidence."""
        super().__init__(*arguments, **named)
        self._play_random = random
        self._evidence = evidence
        self._lines: deque[Line] = deque(maxlen=REMEMBERED_LINES)
        self.asks_until = 0.0
        """Until then every turn is tried again, however often it failed."""

    @inlineCallbacks
    def _program(self) -> Generator["Deferred[Any]", Any, None]:
        """Run turns with tool calls and sub-agents between them."""
        random = self._play_random
        aim = self._reactor.seconds() + PROGRAM_SECONDS
        line = Line(f"p{self._new_number()}", self._tenants.choose(), aim)
        for _ in range(random.randint(3, self._most_turns)):
            is_whole: bool = yield self._next_turn(line)
            if not is_whole or not self.is_running:
                return
            if random.random() < SUB_AGENTS_SHARE:
                agents = [self._sub_agent(line.copy()) for _ in range(2)]
                yield gatherResults(agents)
            yield self._wait(random.uniform(0, MOST_PAUSE_SECONDS))
            yield self._tool(line.tenant, line.program)

    @property
    def _most_turns(self) -> int:
        """The most turns of a program's first line, so that most of them fit."""
        calls = self._evidence.budget_tokens / self._evidence.most_tokens
        real_share = (LEAST_REAL_EVENTS + MOST_REAL_EVENTS) / 2 / MOST_EVENTS
        return max(3, round(USED_SHARE * calls / real_share))

    @inlineCallbacks
    def _sub_agent(self, line: Line) -> Generator["Deferred[Any]", Any, None]:
        for _ in range(self._play_random.randint(1, 2)):
            is_whole: bool = yield self._next_turn(line)
            if not is_whole:
                return

    @inlineCallbacks
    def _next_turn(self, line: Line) -> Generator["Deferred[Any]", Any, bool]:
        """Run the next turn of a line, with several tries; give whether it became whole."""
        turn = PlayTurn(
            f"turn{self._new_number()}",
            line.program,
            line.aim,
            line.previous,
            line.previous_ended_at,
            [],
        )
        self._evidence.turns.append(turn)
        new_input = f"{turn.id} says {self._play_random.random()}\n".encode()
        while self.is_running and self._is_tried_again(turn):
            asked = self._new_try(line, new_input)
            turn.tries.append(asked)
            yield self._send(asked, new_input, self._headers(line))
            if asked.is_whole and asked.status == OK:
                self._go_on(line, asked)
                return True
            pause = self._play_random.uniform(LEAST_RETRY_SECONDS, MOST_RETRY_SECONDS)
            yield self._wait(pause)
        return False

    def _is_tried_again(self, turn: PlayTurn) -> bool:
        if self._reactor.seconds() < self.asks_until:
            return True
        spent = sum(asked.status == BUDGET_SPENT for asked in turn.tries)
        return len(turn.tries) < MOST_TRIES and spent < MOST_SPENT_TRIES

    def _new_try(self, line: Line, new_input: bytes) -> Asked:
        asked = Asked(
            id=f"t{self._new_number()}",
            path=f"{KEPT_PATH}x",
            expected_body=line.chain + new_input,
            may_repeat=False,
            is_stream=True,
            program=line.program,
            previous=line.previous,
            tenant=line.tenant.name,
        )
        events = self._play_random.randint(LEAST_REAL_EVENTS, MOST_REAL_EVENTS)
        self._oracle.lengths[asked.id] = events
        return asked

    def _headers(self, line: Line) -> Headers:
        budget, most = self._evidence.budget_tokens, self._evidence.most_tokens
        left = max(line.aim - self._reactor.seconds(), 0.0)
        headers = [
            (b"X-Notcharch-Program-Id", line.program.encode()),
            (b"X-Notcharch-Session-Id", line.program.encode()),
            (b"X-Notcharch-Finish-Ms", b"%d" % int(left * 1000)),
            (b"X-Notcharch-Token-Budget", b"%d" % budget),
            (b"X-Notcharch-Token-Usage", b"100,%d" % most),
        ]
        if line.previous:
            headers.append((b"X-Notcharch-Previous-Turn", line.previous.encode()))
        return headers

    def _go_on(self, line: Line, asked: Asked) -> None:
        """Let a line go on from a turn that was answered whole."""
        line.previous = asked.id
        line.previous_ended_at = asked.ended_at
        events = b"".join(event + b"\n" for event in asked.events)
        line.chain = asked.expected_body + events
        self._lines.append(line.copy())

    def return_after_fault(self, count: int, until: float) -> None:
        """Go on from remembered turns, half of them as new programs, until a time."""
        self.asks_until = until
        remembered = [line for line in self._lines if self._has_room(line.program)]
        chosen = self._play_random.sample(remembered, min(count, len(remembered)))
        for number, line in enumerate(chosen):
            line.aim = until + PROGRAM_SECONDS
            if number % 2:
                line.program = f"p{self._new_number()}"
            self._return(line)

    def _has_room(self, program: str) -> bool:
        """Return whether what callers received leaves room for a turn of any length."""
        received = sum(
            received_tokens(asked)
            for asked in self._evidence.asked.values()
            if asked.program == program
        )
        most = self._evidence.most_tokens
        return received + most <= self._evidence.budget_tokens

    @inlineCallbacks
    def _return(self, line: Line) -> Generator["Deferred[Any]", Any, None]:
        is_whole: bool = yield self._next_turn(line)
        while is_whole and self._has_room(line.program):
            if self._reactor.seconds() >= self.asks_until:
                return
            yield self._wait(self._play_random.uniform(0, MOST_PAUSE_SECONDS))
            is_whole = yield self._next_turn(line)
