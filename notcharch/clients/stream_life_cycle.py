"""The life cycle of one engine stream, from its request to its one result.

The machine does no I/O: each input returns the step that the service must take next.
Inputs that come too late, after the result, return `Step.NONE`.
"""

import enum
from typing import Protocol

from automat import TypeMachineBuilder


class Step(enum.Enum):
    """What the service does next."""

    NONE = "none"
    RESUME_LATER = "resume_later"
    """Wait for the next delay of the back-off, then give `retry_due`."""

    RESUME = "resume"
    """Ask the engine for the events that are missing."""

    SUCCEED = "succeed"
    FAIL = "fail"
    """Give the problem at hand as the result."""

    CANCEL = "cancel"
    """Tell the engine to cancel, and give the problem at hand at once."""


class StreamInputs(Protocol):
    """What happens to a stream."""

    def accepted(self) -> Step:
        """Record that the engine answered and its events follow."""

    def refused(self) -> Step:
        """Record that it certainly does not run, or that its result cannot be had."""

    def broke(self) -> Step:
        """Record a lost or silent connection after the request may have been sent."""

    def retry_due(self) -> Step:
        """Record that the delay before the next try is over."""

    def ended(self) -> Step:
        """Record that the whole answer is there."""

    def given_up(self) -> Step:
        """Record that it may run on but its answer cannot be had whole."""

    def cancelled(self) -> Step:
        """Record that the stream is no longer wanted."""


class StreamCore:
    """The machine keeps no data of its own."""


def _build() -> TypeMachineBuilder[StreamInputs, StreamCore]:
    builder = TypeMachineBuilder(StreamInputs, StreamCore)
    opening = builder.state("opening")
    streaming = builder.state("streaming")
    waiting = builder.state("waiting")
    resuming = builder.state("resuming")
    over = builder.state("over")

    for state in (opening, resuming):
        state.upon(StreamInputs.accepted).to(streaming).returns(Step.NONE)
    for state in (opening, streaming, resuming):
        state.upon(StreamInputs.broke).to(waiting).returns(Step.RESUME_LATER)
        state.upon(StreamInputs.retry_due).loop().returns(Step.NONE)
    waiting.upon(StreamInputs.retry_due).to(resuming).returns(Step.RESUME)
    waiting.upon(StreamInputs.broke).loop().returns(Step.NONE)
    for state in (streaming, waiting):
        state.upon(StreamInputs.accepted).loop().returns(Step.NONE)
    for state in (opening, streaming, waiting, resuming):
        state.upon(StreamInputs.refused).to(over).returns(Step.FAIL)
        state.upon(StreamInputs.given_up).to(over).returns(Step.CANCEL)
        state.upon(StreamInputs.ended).to(over).returns(Step.SUCCEED)
        state.upon(StreamInputs.cancelled).to(over).returns(Step.CANCEL)
    for late_input in (
        StreamInputs.accepted,
        StreamInputs.refused,
        StreamInputs.broke,
        StreamInputs.retry_due,
        StreamInputs.ended,
        StreamInputs.given_up,
        StreamInputs.cancelled,
    ):
        over.upon(late_input).loop().returns(Step.NONE)
    return builder


new_stream_machine = _build().build()
"""Builds the machine of one stream: `new_stream_machine(StreamCore())`."""
