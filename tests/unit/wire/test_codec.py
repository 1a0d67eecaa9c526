"""The JSON form of envelopes and messages."""

import msgspec
import pytest

from notcharch.errors import Finding, Problem, ProblemCode, Ran
from notcharch.values.identifiers import DaemonName, Incarnation, Member, RegionName
from notcharch.wire.codec import (
    Hello,
    MessageCodec,
    NoticeEnvelope,
    RequestEnvelope,
    collect_message_types,
    default_codec,
)
from notcharch.wire.messages.base import Message, Refusal
from notcharch.wire.messages.engines import Acknowledged, ListEngines

MEMBER = Member(DaemonName("alpha"), Incarnation(5))
HELLO = Hello(1, RegionName("region1"), MEMBER, DaemonName("beta"))
PROBLEM = Problem.of(
    ProblemCode.NOT_LEADER,
    "ask beta",
    ran=Ran.NO,
    findings=(Finding("rows[1].share", "must be above 0"),),
    retry_after=0.5,
    hint="beta",
)


def test_every_message_type_is_collected_once():
    names = [message_type.__name__ for message_type in collect_message_types()]
    assert {"Refusal", "AdmitCall", "ExchangeMembers"} <= set(names)
    assert len(names) == len(set(names))
    assert "Message" not in names


@pytest.mark.parametrize(
    ("envelope", "frame"),
    [
        (HELLO, b'["hello",1,"region1",["alpha",5],"beta"]'),
        (
            RequestEnvelope(7, default_codec().encode_message(ListEngines())),
            b'["request",7,{"type":"ListEngines"}]',
        ),
        (
            NoticeEnvelope(default_codec().encode_message(Acknowledged())),
            b'["notice",{"type":"Acknowledged"}]',
        ),
    ],
)
def test_envelopes_keep_their_form(envelope, frame):
    codec = default_codec()
    assert codec.encode(envelope).ok_value == frame
    assert codec.decode(frame).ok_value == envelope


def test_a_problem_survives_the_wire():
    codec = default_codec()
    raw = codec.encode_message(Refusal(PROBLEM))
    assert codec.decode_message(raw).ok_value == Refusal(PROBLEM)


@pytest.mark.parametrize(
    "frame",
    [
        b"",
        b"{}",
        b"[]",
        b'["other",1]',
        b'["request","x",{}]',
        b'["hello"]',
        b"\xff[",
        b'["request",1,' + b"[" * 100_000,
        b"[" * 100_000,
    ],
)
def test_bad_envelopes_are_findings_not_exceptions(frame):
    assert default_codec().decode(frame).err_value.is_code(ProblemCode.BAD_REQUEST)


@pytest.mark.parametrize(
    "raw",
    [
        b"{}",
        b'{"type":"OfTheFuture"}',
        b'{"type":"AdmitCall"}',
        b"1",
        b'{"type":1}',
        b"[" * 100_000,
        b'{"type":"Refusal","problem":' + b"[" * 100_000,
    ],
)
def test_unknown_messages_are_refused_unrun(raw):
    problem = default_codec().decode_message(msgspec.Raw(raw)).err_value
    assert problem.is_code(ProblemCode.BAD_REQUEST)
    assert problem.ran is Ran.NO


class _Long(Message, frozen=True):
    text: str


def test_messages_beyond_the_bound_are_refused():
    codec = MessageCodec((_Long, Acknowledged), max_message_bytes=100)
    small = NoticeEnvelope(codec.encode_message(_Long("x" * 50)))
    large = NoticeEnvelope(codec.encode_message(_Long("x" * 100)))
    assert codec.encode(small).is_ok()
    problem = codec.encode(large).err_value
    assert problem.is_code(ProblemCode.BODY_TOO_LARGE)
    assert problem.ran is Ran.NO
