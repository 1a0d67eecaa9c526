"""Admission of calls that need no account: everything is let in."""

from notcharch.calls.interface import (
    AdmissionListener,
    Completion,
    OpaqueCall,
    Route,
)


class NoAccount:
    """The ticket of a call that nobody accounts for."""

    cached_engine = ""

    def engine_started(self, engine_id: str) -> None:
        """Remember nothing."""

    def never_ran(self) -> None:
        """Nothing to give back."""

    def interrupted(self, events: int) -> None:
        """Nothing to charge."""

    def completed(self, output: bytes, events: int, then: Completion) -> None:
        """Show the end at once."""
        then.durable()


NO_ACCOUNT = NoAccount()


class OpenAdmission:
    """Lets every call in with its own body."""

    def request(
        self, call: OpaqueCall, route: Route, listener: AdmissionListener
    ) -> None:
        """Admit the call."""
        listener.admitted(NO_ACCOUNT, call.body)
