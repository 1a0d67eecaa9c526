"""What a call is told of its run at an engine."""

from typing import Protocol

from notcharch.calls.interface import ProcessState
from notcharch.http.messages import ResponseHead


class RunListener(Protocol):
    """Callbacks for a run. It has ended after each of them but the first four."""

    def run_started(self, head: ResponseHead) -> None:
        """Handle the head of a successful stream."""

    def run_data_received(self, data: bytes) -> bool:
        """Handle data of the stream; return whether it completed an event."""

    def run_body_started(self, head: ResponseHead) -> None:
        """Handle the head of a long answer, which is relayed as it comes."""

    def run_body_received(self, data: bytes) -> None:
        """Handle data of a long answer."""

    def run_unreachable(self) -> None:
        """Handle a failed connection attempt: the call was not sent."""

    def run_cancelled(self) -> None:
        """Handle that the engine was drained before the call was sent."""

    def run_restarted(self) -> None:
        """Handle that the call was not sent: the engine started after its entry."""

    def run_rejected(self, head: ResponseHead) -> None:
        """Handle a rejection: the engine certainly did not run the call."""

    def run_completed(self, head: ResponseHead, body: bytes) -> None:
        """Handle a complete response; `body` is empty if it was relayed as a stream."""

    def run_failed(self, cause: str, process: ProcessState) -> None:
        """Handle an incomplete or abandoned response; the call may have run."""

    @property
    def is_inside_event(self) -> bool:
        """Whether the data of the stream so far ends inside an event."""

    @property
    def last_event_id(self) -> bytes | None:
        """The id of the last event that was received, if it had one."""

    @property
    def held_bytes(self) -> int:
        """How many bytes of the stream are held to be stored, or as an unfinished event.

        Events that wait for a grant are counted by the call.
        """

    def may_ask_for_rest(self) -> bool:
        """Return whether the engine may get the request again as a question."""

    def should_abandon(self) -> bool:
        """Return whether to abandon the run when its response is overdue."""
