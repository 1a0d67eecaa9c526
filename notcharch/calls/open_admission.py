"""Admission of calls that need no accounting."""

from collections.abc import Callable

from notcharch.calls.interface import (
    AdmissionListener,
    Completion,
    OpaqueCall,
    Route,
)


class NoAccount:
    """The ticket of a call without accounting."""

    cached_engine = ""
    granted_events: int | None = None

    def watch_grant(self, grown: Callable[[], None]) -> None:
        """Ignore the listener: everything is granted."""

    def relayed(self, events: int, waiting: int) -> None:
        """Ignore the events: none is counted."""

    def engine_started(self, engine_id: str) -> None:
        """Ignore the engine."""

    def never_ran(self) -> None:
        """Ignore the outcome: nothing is reserved."""

    def interrupted(self, events: int) -> None:
        """Ignore the outcome: nothing is charged."""

    def completed(self, output: bytes, events: int, then: Completion) -> None:
        """Relay the end immediately: nothing is stored."""
        then.durable()


NO_ACCOUNT = NoAccount()


class OpenAdmission:
    """Admits every call with its unchanged body."""

    def request(
        self, call: OpaqueCall, route: Route, listener: AdmissionListener
    ) -> None:
        """Admit the call immediately."""
        listener.admitted(NO_ACCOUNT, call.body)
