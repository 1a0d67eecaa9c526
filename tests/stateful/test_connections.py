"""Requests over TCP under random faults, against what the handlers really ran."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from result import Ok
from twisted.internet.defer import Deferred

from notcharch.errors import Ran
from notcharch.values.identifiers import DaemonName, EngineName, ProgramId
from notcharch.wire.messages.engines import EngineQuote, QuoteEngine
from tests.unit.wire.worlds import TcpWorld

NAMES = [DaemonName(name) for name in ("alpha", "beta", "gamma")]
names = st.sampled_from(NAMES)
MAX_SECONDS = 20.0
SLACK_SECONDS = 0.1


class Asked:
    """A request that was made, with its reply when there is one."""

    def __init__(self, number: int, due: float) -> None:
        self.number = number
        self.due = due
        self.reply = None


class ConnectionsMachine(RuleBasedStateMachine):
    """Three daemons ask one another; the number of a request is its tokens."""

    @initialize()
    def begin(self):
        self.world = TcpWorld()
        self.incarnation = 0
        self.ran = []
        self.asked = []
        self.running = set()
        for name in NAMES:
            self.start(name)

    def start(self, name):
        self.incarnation += 1
        network = self.world.start(name, self.incarnation)
        network.on_request(QuoteEngine, self.answer)
        self.running.add(name)

    async def answer(self, sender, message):
        del sender
        self.ran.append(message.prompt_tokens)
        waiting = Deferred()
        self.world.clock.callLater(message.prompt_tokens % 4, waiting.callback, None)
        await waiting
        return EngineQuote(message.engine, message.prompt_tokens, 1.0, 0, True)

    @rule(source=names, destination=names, timeout=st.floats(0.1, MAX_SECONDS))
    def ask(self, source, destination, timeout):
        if source not in self.running:
            return
        asked = Asked(len(self.asked), self.world.clock.seconds() + timeout)
        self.asked.append(asked)
        message = QuoteEngine(EngineName("e"), ProgramId("p"), asked.number)
        network = self.world.networks[source]
        network.request(destination, message, timeout).addCallback(self.take, asked)

    def take(self, reply, asked):
        assert asked.reply is None
        assert self.world.clock.seconds() <= asked.due + SLACK_SECONDS
        asked.reply = reply

    @rule(name=names)
    def stop(self, name):
        if name in self.running:
            self.running.discard(name)
            self.world.crash(name)

    @rule(name=names)
    def restart(self, name):
        self.stop(name)
        self.start(name)

    @rule()
    def cut_connections(self):
        self.world.reactor.stop_all()

    @rule()
    def carry_again(self):
        """Deliver late what a cut held back."""
        self.world.reactor.stopped.clear()

    @rule(is_on=st.booleans())
    def swallow_dials(self, is_on):
        self.world.reactor.black_hole = is_on

    @rule(source=names, peer=names)
    def forget(self, source, peer):
        if source in self.running and source != peer:
            self.world.networks[source].forget(peer)

    @rule(source=names, peer=names)
    def learn_address(self, source, peer):
        if source in self.running:
            address = self.world.addresses[peer]
            self.world.networks[source].set_address(peer, address)

    @rule(seconds=st.floats(0.01, 8.0))
    def run(self, seconds):
        self.world.run(seconds)

    @invariant()
    def replies_tell_the_truth(self):
        for asked in self.asked:
            times = self.ran.count(asked.number)
            assert times <= 1
            if asked.reply is None:
                continue
            if isinstance(asked.reply, Ok):
                assert times == 1
                assert asked.reply.ok_value.expected_wait_seconds == asked.number
            elif asked.reply.err_value.ran is Ran.NO:
                assert times == 0

    def teardown(self):
        if not hasattr(self, "world"):
            return
        self.world.run(MAX_SECONDS + 1)
        self.replies_tell_the_truth()
        assert all(asked.reply is not None for asked in self.asked)
        self.all_can_talk_again()

    def all_can_talk_again(self):
        self.world.reactor.black_hole = False
        for name in NAMES:
            if name not in self.running:
                self.start(name)
        for source in NAMES:
            for peer in NAMES:
                self.learn_address(source, peer)
        self.world.run(10)
        first = len(self.asked)
        for source in NAMES:
            for peer in NAMES:
                self.ask(source, peer, MAX_SECONDS)
        self.world.run(MAX_SECONDS)
        self.replies_tell_the_truth()
        assert all(isinstance(asked.reply, Ok) for asked in self.asked[first:])


TestConnections = ConnectionsMachine.TestCase
TestConnections.settings = settings(
    max_examples=60, stateful_step_count=30, derandomize=True, deadline=None
)
