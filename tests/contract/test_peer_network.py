"""The contract of `PeerNetwork`, over TCP and over the memory transport."""

import pytest
from result import Ok
from twisted.internet.defer import Deferred

from notcharch.errors import Problem, ProblemCode, Ran
from notcharch.errors.problem import ProblemError
from notcharch.values.identifiers import EngineName, ProgramId
from notcharch.wire.messages.base import Refusal
from notcharch.wire.messages.engines import (
    Acknowledged,
    DrainEngine,
    EngineListing,
    EngineQuote,
    ListEngines,
    QuoteEngine,
)
from tests.unit.wire.worlds import ALPHA, BETA, GAMMA, WORLDS, has_fired, value_of

BUSY = Problem.of(ProblemCode.OVERLOADED, "busy", retry_after=2.0)


@pytest.fixture(params=sorted(WORLDS))
def world(request):
    return WORLDS[request.param]()


def question(tokens: int = 1) -> QuoteEngine:
    return QuoteEngine(EngineName("engine-1"), ProgramId("r-0-1"), tokens)


def quote_of(message: QuoteEngine) -> EngineQuote:
    return EngineQuote(message.engine, float(message.prompt_tokens), 1.0, 0, True)


async def answer_quote(sender, message):
    del sender
    return quote_of(message)


def outcome(reply):
    problem = reply.err_value
    return problem.code, problem.ran


def test_request_gets_its_reply_and_tells_the_sender(world):
    alpha, beta = world.start(ALPHA), world.start(BETA)
    senders = []

    async def answer(sender, message):
        senders.append(sender)
        return quote_of(message)

    beta.on_request(QuoteEngine, answer)
    asked = alpha.request(BETA, question(3), 5.0)
    world.run(1)
    assert value_of(asked) == Ok(quote_of(question(3)))
    assert senders == [alpha.own_member]


def test_a_daemon_may_ask_itself(world):
    alpha = world.start(ALPHA)
    alpha.on_request(QuoteEngine, answer_quote)
    asked = alpha.request(ALPHA, question(), 5.0)
    assert not has_fired(asked)
    world.run(0.1)
    assert value_of(asked) == Ok(quote_of(question()))


def test_replies_out_of_order_reach_their_own_requests(world):
    alpha, beta = world.start(ALPHA), world.start(BETA)
    held = []

    async def answer(sender, message):
        del sender
        waiting = Deferred()
        held.append(waiting)
        await waiting
        return quote_of(message)

    beta.on_request(QuoteEngine, answer)
    asked = [alpha.request(BETA, question(n), 5.0) for n in range(5)]
    world.run(1)
    for waiting in reversed(held):
        waiting.callback(None)
        world.run(0.1)
    assert [value_of(a) for a in asked] == [Ok(quote_of(question(n))) for n in range(5)]


async def refuse(sender, message):
    return Refusal(BUSY)


async def raise_problem(sender, message):
    raise ProblemError(BUSY)


async def raise_error(sender, message):
    raise ZeroDivisionError


def raise_before_awaiting(sender, message):
    raise ZeroDivisionError


@pytest.mark.parametrize(
    ("handler", "expected"),
    [
        (refuse, ("overloaded", Ran.NO)),
        (raise_problem, ("overloaded", Ran.NO)),
        (raise_error, ("internal", Ran.UNKNOWN)),
        (raise_before_awaiting, ("internal", Ran.UNKNOWN)),
        (None, ("bad_request", Ran.NO)),
    ],
)
def test_refusals(world, handler, expected):
    alpha, beta = world.start(ALPHA), world.start(BETA)
    if handler is not None:
        beta.on_request(QuoteEngine, handler)
    asked = alpha.request(BETA, question(), 5.0)
    world.run(1)
    assert outcome(value_of(asked)) == expected


def test_unreachable_peer_is_refused_long_before_the_time_out(world):
    alpha = world.start(ALPHA)
    world.start(BETA)
    world.crash(BETA)
    asked = alpha.request(BETA, question(), 60.0)
    world.run(1)
    reply = value_of(asked)
    assert outcome(reply) == ("unavailable", Ran.NO)
    assert reply.err_value.retry_after is not None


def test_no_reply_in_time_leaves_the_outcome_unknown(world):
    alpha, beta = world.start(ALPHA), world.start(BETA)
    late = Deferred()
    beta.on_request(QuoteEngine, lambda sender, message: late)
    asked = alpha.request(BETA, question(), 2.0)
    world.run(1.9)
    assert not has_fired(asked)
    world.run(0.2)
    assert outcome(value_of(asked)) == ("timed_out", Ran.UNKNOWN)
    late.callback(quote_of(question()))
    world.run(1)


def test_crash_of_the_peer_fails_written_requests_at_once(world):
    alpha, beta = world.start(ALPHA), world.start(BETA)
    beta.on_request(QuoteEngine, lambda sender, message: Deferred())
    asked = alpha.request(BETA, question(), 60.0)
    world.run(1)
    world.crash(BETA)
    world.run(1)
    assert outcome(value_of(asked)) == ("unavailable", Ran.UNKNOWN)


def test_requests_after_a_restart_reach_the_new_process(world):
    alpha, beta = world.start(ALPHA), world.start(BETA)
    beta.on_request(QuoteEngine, lambda sender, message: Deferred())
    old = alpha.request(BETA, question(), 60.0)
    world.run(1)
    world.crash(BETA)
    restarted = world.start(BETA, incarnation=2)
    restarted.on_request(QuoteEngine, answer_quote)
    world.run(3)
    new = alpha.request(BETA, question(), 5.0)
    world.run(1)
    assert outcome(value_of(old)) == ("unavailable", Ran.UNKNOWN)
    assert value_of(new) == Ok(quote_of(question()))


def test_forgetting_a_peer_fails_its_requests_at_once(world):
    alpha, beta = world.start(ALPHA), world.start(BETA)
    beta.on_request(QuoteEngine, lambda sender, message: Deferred())
    asked = alpha.request(BETA, question(), 60.0)
    world.run(1)
    alpha.forget(BETA)
    assert outcome(value_of(asked)) == ("unavailable", Ran.UNKNOWN)
    again = alpha.request(BETA, question(), 60.0)
    world.run(1)
    assert outcome(value_of(again)) == ("unavailable", Ran.NO)


def test_notices_arrive_and_a_failing_handler_harms_nothing(world):
    alpha, beta = world.start(ALPHA), world.start(BETA)
    taken = []
    beta.on_notice(Acknowledged, lambda sender, message: 1 / 0)
    beta.on_notice(Acknowledged, lambda sender, message: taken.append(message))
    alpha.notify(BETA, Acknowledged())
    alpha.notify(GAMMA, Acknowledged())
    world.run(1)
    assert taken == [Acknowledged()]


def test_a_cancelled_request_is_forgotten(world):
    alpha, beta = world.start(ALPHA), world.start(BETA)
    late = Deferred()
    beta.on_request(QuoteEngine, lambda sender, message: late)
    asked = alpha.request(BETA, question(), 5.0)
    world.run(1)
    asked.addErrback(lambda failure: None)
    asked.cancel()
    late.callback(quote_of(question()))
    world.run(10)


def test_both_directions_at_once(world):
    alpha, beta = world.start(ALPHA), world.start(BETA)
    alpha.on_request(ListEngines, lambda s, m: _later(world, EngineListing(())))
    beta.on_request(DrainEngine, lambda s, m: _later(world, Acknowledged()))
    one = alpha.request(BETA, DrainEngine(EngineName("engine-1"), True), 5.0)
    two = beta.request(ALPHA, ListEngines(), 5.0)
    world.run(2)
    assert value_of(one) == Ok(Acknowledged())
    assert value_of(two) == Ok(EngineListing(()))


async def _later(world, reply):
    waiting = Deferred()
    world.clock.callLater(0.5, waiting.callback, None)
    await waiting
    return reply


def test_the_process_of_a_connected_peer_is_known_before_it_sends_anything(world):
    """Guards against a new process that is taken for its former one while it is silent."""
    alpha = world.start(ALPHA)
    world.start(BETA)
    alpha.request(BETA, question(), 1.0)
    world.run(1.0)
    assert alpha.connected_process(BETA) == 1
    world.crash(BETA)
    world.run(1.0)
    assert alpha.connected_process(BETA) is None
    world.start(BETA, 2)
    alpha.request(BETA, question(), 5.0)
    world.run(5.0)
    assert alpha.connected_process(BETA) == 2
    assert alpha.connected_process(GAMMA) is None
