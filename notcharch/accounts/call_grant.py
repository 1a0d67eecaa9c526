"""The tokens that the owner of an account granted to one running call."""

from collections.abc import Callable

from twisted.internet.interfaces import IDelayedCall

from notcharch.accounts.grant_wait import GrantWait
from notcharch.accounts.messages import WHOLE_CALL, GrantRaised, RaiseGrant
from notcharch.accounts.owner_requests import OwnerRequests
from notcharch.accounts.request_retry import RETRY_INTERVAL_SECONDS
from notcharch.accounts.unanswered_log import UnansweredLog
from notcharch.calls.interface import OpaqueCall
from notcharch.wire.messages.base import Message

PREFETCH_EVENTS = 3
"""More is asked for while fewer granted events are left: a raised grant waits for a write to
the log, during which the engine sends further events."""
OPERATION = "granting tokens"


def granted_events(granted_tokens: int, call: OpaqueCall) -> int | None:
    """Return how many events of a call a grant covers; None if it covers them all.

    A grant of the call's maximum covers whatever the engine sends: an owner can grant no
    more, and a stream that waits for it would never end. What is above the maximum is
    charged at the call's end.
    """
    is_whole = granted_tokens < 0 or granted_tokens >= call.max_tokens
    if is_whole or call.tokens_per_event <= 0:
        return None
    return granted_tokens // call.tokens_per_event


def wanted_tokens(relayed_events: int, call: OpaqueCall) -> int:
    """Return the least total with which a call goes on: that of its next event.

    An owner grants what is wanted even if it would be doubted beside other calls, so events
    that wait behind the next one are left to its own rule.
    """
    return min((relayed_events + 1) * call.tokens_per_event, call.max_tokens)


def _do_nothing() -> None:
    """Stand for the listener of a call that is over."""


class CallGrant:
    """Asks the owner for more before the grant is used up, one request at a time."""

    def __init__(
        self,
        owners: OwnerRequests,
        call: OpaqueCall,
        partition: int,
        *,
        program: str,
        call_id: str,
        log: UnansweredLog,
    ) -> None:
        """Start with a grant of the whole call.

        `program` and `call_id` are prefixed with the tenant.
        """
        self._owners = owners
        self._call = call
        self._partition = partition
        self._program = program
        self._call_id = call_id
        self._log = log
        self._granted_tokens = WHOLE_CALL
        self._relayed = 0
        self.waiting = 0
        """Number of events that wait."""
        self._grown: Callable[[], None] = _do_nothing
        self._is_request_open = False
        self._retry: IDelayedCall | None = None
        self._may_request = True
        self._is_closed = False
        self._wait = GrantWait(owners, call, partition)

    @property
    def granted_tokens(self) -> int:
        """The tokens granted so far; `WHOLE_CALL` stands for the call's maximum."""
        return self._granted_tokens

    @property
    def events(self) -> int | None:
        """How many events may be relayed; None if there is no limit."""
        return granted_events(self._granted_tokens, self._call)

    def begin(self, granted_tokens: int) -> None:
        """Start with the grant of the admission."""
        self._granted_tokens = granted_tokens

    def watch(self, grown: Callable[[], None]) -> None:
        """Call `grown` whenever `events` has grown."""
        self._grown = grown

    def relayed(self, events: int, waiting: int) -> None:
        """Note how many events were relayed in total, and how many wait."""
        self._relayed, self.waiting = events, waiting
        if self._is_closed:
            return
        if self._granted_tokens != WHOLE_CALL:
            event_tokens = self._call.tokens_per_event
            self._wait.update(
                self._granted_tokens, events * event_tokens, waiting * event_tokens
            )
            self.request_if_needed()

    def stop_requests(self) -> None:
        """Ask for no more; the reply to an open request still counts."""
        self._may_request = False
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None

    def close(self) -> None:
        """End with the call, and let go of its listener."""
        self.stop_requests()
        self._is_closed = True
        self._grown = _do_nothing
        self._wait.close()

    def request_if_needed(self) -> None:
        """Ask for more if little is left, unless a request or its retry is pending."""
        is_pending = self._is_request_open or self._retry is not None
        if self._may_request and not is_pending and self._is_nearly_used:
            self._is_request_open = True
            reply = self._owners.send_request(self._partition, self._message())
            reply.addCallback(self._answered)

    @property
    def _is_nearly_used(self) -> bool:
        events = self.events
        return events is not None and events - self._relayed < PREFETCH_EVENTS

    def _message(self) -> RaiseGrant:
        call = self._call
        return RaiseGrant(
            self._partition,
            self._program,
            self._call_id,
            call.max_tokens,
            call.budget_tokens,
            call.tokens_per_event,
            self._granted_tokens,
            self._relayed * call.tokens_per_event,
            wanted_tokens(self._relayed, call),
        )

    def _answered(self, reply: Message | None) -> None:
        self._is_request_open = False
        if self._is_closed:
            return
        if not isinstance(reply, GrantRaised):
            self._log.unanswered(OPERATION)
            self._request_later()
        elif self._raise_to(reply.granted_tokens):
            self._grown()
            self.request_if_needed()
        elif self.waiting:
            self._request_later()

    def _raise_to(self, granted_tokens: int) -> bool:
        """Grow the grant, which never shrinks; return whether it has grown."""
        total = self._call.max_tokens if granted_tokens < 0 else granted_tokens
        if total <= self._granted_tokens:
            return False
        self._granted_tokens = total
        return True

    def _request_later(self) -> None:
        if self._may_request:
            self._retry = self._owners.clock.callLater(
                RETRY_INTERVAL_SECONDS, self._request_again
            )

    def _request_again(self) -> None:
        self._retry = None
        self.request_if_needed()
