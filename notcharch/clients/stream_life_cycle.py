"""The lifecycle of one engine stream, from its request to its single result.

The state machine does no I/O: each input returns the next step of the caller.
Inputs after the result return `Step.NONE`.
"""

import enum
from typing import Protocol

from automat import TypeMachineBuilder


class Step(enum.Enum):
    """The next step of the caller."""

    NONE = "none"
    RESUME_LATER = "resume_later"
    """Wait for the next back-off delay, then send `retry_due`."""

    RESUME = "resume"
    """Request the missing events from the engine."""

    SUCCEED = "succeed"
    FAIL = "fail"
    """Return the current problem as the result."""

    CANCEL = "cancel"
    """Cancel on the engine, and return the current problem immediately."""


class StreamInputs(Protocol):
    """Inputs of the stream's state machine."""

    def accepted(self) -> Step:
        """Handle acceptance by the engine; its events follow."""

    def refused(self) -> Step:
        """Handle a request that does not run or whose result cannot be obtained."""

    def broke(self) -> Step:
        """Handle a failed or silent connection after the request may have been sent."""

    def retry_due(self) -> Step:
        """Handle the end of the retry delay."""

    def ended(self) -> Step:
        """Handle the end of a complete response."""

    def given_up(self) -> Step:
        """Handle an incomplete response to a request that may still run."""

    def cancelled(self) -> Step:
        """Handle cancellation by the caller."""


class StreamCore:
    """The state machine has no data beyond its state."""


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
"""Builds the state machine of one stream: `new_stream_machine(StreamCore())`."""
