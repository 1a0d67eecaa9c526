"""Measures and logs how long events of one stream wait for a grant."""

from twisted.internet.interfaces import IDelayedCall

from notcharch.accounts.metrics import GRANT_WAIT_SECONDS
from notcharch.accounts.owner_requests import OwnerRequests
from notcharch.calls.interface import OpaqueCall
from notcharch.events.event import emit
from notcharch.events.grants import GrantAwaited, GrantWaitEnded

LOGGED_WAIT_SECONDS = 0.1
"""A longer wait is logged: callers see it as a gap between events."""


class GrantWait:
    """The waits of one stream; each ends when further events are relayed."""

    def __init__(self, owners: OwnerRequests, call: OpaqueCall, partition: int) -> None:
        """Start without events that wait."""
        self._owners = owners
        self._call = call
        self._partition = partition
        self._since: float | None = None
        """Clock seconds at which the wait began; None if no event waits."""
        self._timer: IDelayedCall | None = None
        self._is_logged = False
        self._granted_tokens = 0
        self._relayed_tokens = 0
        self._waiting_tokens = 0

    def update(self, granted: int, relayed: int, waiting: int) -> None:
        """Note the tokens that are granted and relayed in total, and those that wait."""
        goes_on = relayed > self._relayed_tokens
        self._granted_tokens, self._relayed_tokens = granted, relayed
        self._waiting_tokens = waiting
        if goes_on and self._since is not None:
            self._end()
        if waiting and self._since is None:
            self._begin()

    def close(self) -> None:
        """End with the call, whose own log line tells how."""
        self._is_logged = False
        if self._since is not None:
            self._end()

    def _begin(self) -> None:
        clock = self._owners.clock
        self._since = clock.seconds()
        self._timer = clock.callLater(LOGGED_WAIT_SECONDS, self._log_wait)

    def _end(self) -> None:
        GRANT_WAIT_SECONDS.observe(self._seconds)
        if self._is_logged:
            self._emit(GrantWaitEnded)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._since = self._timer = None
        self._is_logged = False

    def _log_wait(self) -> None:
        self._is_logged = True
        self._emit(GrantAwaited)

    @property
    def _seconds(self) -> float:
        return self._owners.clock.seconds() - (self._since or 0.0)

    def _emit(self, event: type[GrantAwaited] | type[GrantWaitEnded]) -> None:
        owner = self._owners.directory.owner(self._partition)
        emit(
            event(
                request=self._call.id,
                program=self._call.program,
                partition=self._partition,
                owner=owner.member_id() if owner is not None else "",
                granted_tokens=self._granted_tokens,
                relayed_tokens=self._relayed_tokens,
                waiting_tokens=self._waiting_tokens,
                most_tokens=self._call.max_tokens,
                waited_seconds=round(self._seconds, 4),
            )
        )
