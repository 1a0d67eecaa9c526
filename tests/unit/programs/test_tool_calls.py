"""Tool calls are unchanged by the wire codec, commands and the history."""

import msgspec

from notcharch.programs.commands import AdmitAttempt
from notcharch.values.chat import Answer, ChatMessage, FinishReason, TokenUsage
from notcharch.wire.codec import MessageCodec
from notcharch.wire.messages.programs import AdmitCall, DispatchCall, FinishCall
from tests.unit.programs.fakes import PROGRAM
from tests.unit.programs.test_call_path import admit, created

TOOL_CALLS = msgspec.Raw(b'[{"id": "1", "function": {"name": "unlock"}}]')
TOOL_REQUEST = ChatMessage("assistant", tool_calls=TOOL_CALLS)
TOOL = ChatMessage("tool", "done", tool_call_id="1")


def over_the_wire(message):
    codec = MessageCodec((AdmitCall, FinishCall))
    return codec.decode_message(codec.encode_message(message)).unwrap()


def test_tool_calls_are_carried_and_kept():
    leader = created()
    request = over_the_wire(admit(messages=(TOOL_REQUEST, TOOL)))
    assert request.messages == (TOOL_REQUEST, TOOL)
    assert leader.send(request).prompt_tokens == len(bytes(TOOL_CALLS)) + 5 + 16
    command = leader.partitions.applied[-1]
    copy = msgspec.json.decode(msgspec.json.encode(command), type=AdmitAttempt)
    assert copy == command
    leader.send(DispatchCall(PROGRAM, 1, 1, "engine-1"))
    answer = Answer(TOOL_REQUEST, TokenUsage(9, 3), FinishReason.TOOL_CALLS)
    finish = over_the_wire(FinishCall(PROGRAM, 1, 1, answer))
    assert leader.send(finish) == leader.send(finish)
    assert leader.send(admit(2, "b")).history == (TOOL_REQUEST, TOOL, TOOL_REQUEST)
