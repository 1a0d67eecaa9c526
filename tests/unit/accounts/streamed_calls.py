"""Calls of programs from their callers to engines that tests control, over real accounts."""

from twisted.internet.interfaces import IReactorTime

from notcharch.calls.call_lifecycle import CallLifecycle
from notcharch.calls.engine_run import CallServices
from notcharch.calls.interface import BUDGET_SPENT
from notcharch.scheduling.first_response_times import OverduePolicy, RouteResponseTimes
from tests.unit.accounts.world import EVENT_TOKENS, STEP_SECONDS, World, route
from tests.unit.calls.world import SERVICE, Dialect, Reply, Sender, engine_pool

WAIT_SECONDS = 25.0
DECISION_SECONDS = 12.0
"""Within `recovery_s` a call is decided again."""


def event(number: int) -> bytes:
    return b"id: %d\ndata: part %d\n\n" % (number, number)


class StreamedCall:
    """One call at one daemon, with its caller and its engine."""

    def __init__(
        self,
        world: World,
        program: str,
        budget: int,
        most_tokens: int,
        *,
        at: int,
        is_kept: bool,
        previous: str = "",
    ) -> None:
        self.world = world
        name = world.names[at]
        clock: IReactorTime = world.fabric.daemon(name).clock
        self.sender = Sender()
        self.reply = Reply()
        self.call = world.call(
            program,
            budget=budget,
            token_limit=most_tokens,
            previous=previous,
            wait_seconds=WAIT_SECONDS,
        )
        services = CallServices(
            clock=clock,
            pool=engine_pool(clock, ("a",)),
            sender=self.sender,
            dialect=Dialect(),
            admission=world.services[name].admission,
            waits=RouteResponseTimes(OverduePolicy()),
        )
        self.lifecycle = CallLifecycle(
            services, self.call, route(stores_turns=is_kept), SERVICE, self.reply
        )
        self.sent_events = 0
        self.is_begun = False
        self.is_complete = False
        """Whether the engine has ended its answer."""
        self.lifecycle.start()

    @property
    def is_at_engine(self) -> bool:
        return bool(self.sender.sent)

    @property
    def is_decided(self) -> bool:
        return self.is_at_engine or bool(self.reply.end)

    @property
    def events(self) -> int:
        """Events that the caller got."""
        return self.reply.data.count(b"\n\n")

    def send(self, events: int) -> None:
        """Let the engine send events."""
        listener = self.sender.sent[0].listener
        if not self.is_begun:
            self.is_begun = True
            self.sender.sent[0].begin()
        data = b"".join(event(self.sent_events + number) for number in range(events))
        self.sent_events += events
        if data:
            listener.data_received(data)

    def complete(self) -> None:
        """Let the engine end its answer."""
        self.is_complete = True
        self.sender.sent[0].listener.completed()

    def wait_for(self, is_done, seconds: float = DECISION_SECONDS) -> bool:
        """Advance the clock until something is so; return whether it is."""
        until = self.world.clock.seconds() + seconds
        while not is_done() and self.world.clock.seconds() < until:
            self.world.run(STEP_SECONDS)
        return is_done()

    def assert_in_order(self) -> None:
        """Check that the caller got the events that were sent first, each once."""
        sent = b"".join(event(number) for number in range(self.sent_events))
        assert sent.startswith(self.reply.data)

    def assert_whole(self) -> None:
        assert self.reply.end == "finished"
        assert self.events == self.sent_events
        self.assert_in_order()


class StreamedProgram:
    """A program and the tokens that its callers were handed."""

    def __init__(
        self,
        world: World,
        budget: int,
        most_tokens: int,
        *,
        is_kept: bool,
        name: str = "p",
    ) -> None:
        self.world = world
        self.name = name
        self.budget = budget
        self.most_tokens = most_tokens
        self.is_kept = is_kept
        self.calls: list[StreamedCall] = []

    @property
    def handed(self) -> int:
        return sum(call.events for call in self.calls) * EVENT_TOKENS

    @property
    def has_room(self) -> bool:
        """Whether what was handed out leaves enough for the next call."""
        return self.handed + self.most_tokens <= self.budget

    def request(self, at: int) -> StreamedCall:
        """Ask for one call."""
        call = StreamedCall(
            self.world,
            self.name,
            self.budget,
            self.most_tokens,
            at=at,
            is_kept=self.is_kept,
        )
        self.calls.append(call)
        return call

    def begin(self, at: int = 0) -> StreamedCall | None:
        """Let a call begin, again while it is refused for now; None if it stays refused."""
        until = self.world.clock.seconds() + DECISION_SECONDS
        while self.world.clock.seconds() < until:
            call = self.request(at)
            call.wait_for(lambda call=call: call.is_decided)
            if call.is_at_engine:
                return call
            if call.reply.refusal == BUDGET_SPENT:
                return None
            self.world.run(0.2)
        return None

    def turn(self, events: int, at: int = 0) -> bool:
        """Make a whole turn; return whether it was served."""
        call = self.begin(at)
        if call is None:
            return False
        call.send(events)
        call.complete()
        assert call.wait_for(lambda: bool(call.reply.end))
        call.assert_whole()
        return True

    def use_up(self, at: int = 0) -> None:
        """Make turns until the budget is spent; check that all of it could be used."""
        while self.turn(self.most_tokens // EVENT_TOKENS, at):
            self.assert_within()
        self.assert_within()
        assert not self.has_room

    def assert_within(self) -> None:
        """Check that callers were handed no more than the budget and one call."""
        assert self.handed <= self.budget + self.most_tokens
        for call in self.calls:
            call.assert_in_order()
