"""Answers that are relayed before their end are framed as their engines framed them."""

from notcharch.http.messages import ResponseHead
from notcharch.platform.ingress import ExchangeReply
from notcharch.values.framing import Framing
from tests.unit.http.test_slow_readers import Caller


def test_a_relayed_answer_of_known_length_is_not_chunked():
    """Guards against an answer whose framing depends on whether it was held until its end."""
    caller = Caller()
    reply = ExchangeReply(caller.exchange, b"1")
    head = ResponseHead(200, [(b"content-length", b"6"), (b"connection", b"close")])
    reply.begin(head, length=head.body_length)
    reply.write(b"abc")
    reply.write(b"def")
    reply.finish()
    caller.transport.read()
    assert b"content-length: 6\r\n" in caller.transport.sent.lower()
    assert b"chunked" not in caller.transport.sent.lower()
    assert caller.transport.sent.endswith(b"\r\n\r\nabcdef")
    assert not caller.transport.disconnecting


def test_a_relayed_answer_of_unknown_length_is_chunked():
    """Guards against a length that a head claims beside its chunks."""
    caller = Caller()
    reply = ExchangeReply(caller.exchange, b"1")
    headers = [(b"content-length", b"6"), (b"transfer-encoding", b"chunked")]
    head = ResponseHead(200, headers, framing=Framing.CHUNKS)
    reply.begin(head, length=head.body_length)
    reply.write(b"abc")
    reply.finish()
    caller.transport.read()
    assert b"content-length" not in caller.transport.sent.lower()
    assert caller.transport.sent.endswith(b"3\r\nabc\r\n0\r\n\r\n")
