"""One request that is being read: its room, its waits, and its deadline."""

import math
from typing import Protocol as Interface

from twisted.internet.interfaces import IDelayedCall, IReactorTime

from notcharch.http.exchange import (
    ErrorResponse,
    Exchange,
    ServerLimits,
    UnreadCause,
    Uploads,
)
from notcharch.http.incoming_body import IncomingBody
from notcharch.http.request_room import RoomDecision

ROOM_WAIT_SHARE = 1 / 4
"""Share of its time that a request waits for room: callers give up an attempt that is not
read after a third of their time, and another daemon may have room."""

PACE_SECONDS = 1.0
"""How often the pace of an upload is looked at."""


class UploadConnection(Interface):
    """The connection of a request that is being read."""

    @property
    def is_asked_to_continue(self) -> bool:
        """Whether the client waits for `100 Continue`."""

    def pause_upload(self) -> None:
        """Read no more."""

    def read_upload(self) -> None:
        """Read on."""

    def refuse_upload(self, response: ErrorResponse) -> None:
        """Respond to the request, and discard the rest of it."""


class Upload:
    """A request from its head to the last byte of its body."""

    def __init__(
        self,
        connection: UploadConnection,
        exchange: Exchange,
        uploads: Uploads,
        limits: ServerLimits,
        clock: IReactorTime,
    ) -> None:
        """Hold nothing before `begin`."""
        self._connection = connection
        self._exchange = exchange
        self._uploads = uploads
        self._limits = limits
        self._clock = clock
        self._body = IncomingBody(
            uploads.room, exchange.head, limits.body_bytes, self._room_granted
        )
        self.is_without_room = False
        """Whether it waits for room, so that its connection must not be read."""
        self._wait_began = 0.0
        self._deadline = math.inf
        """Clock seconds by which the body has to be whole."""
        self._waited = 0.0
        """Seconds that it waited before."""
        self._reading_since = exchange.arrived
        """Since when it is read without a wait, in clock seconds."""
        self._timer: IDelayedCall | None = None
        self._is_over = False

    def begin(self) -> None:
        """Ask for room."""
        self._act_on(self._body.begin())

    def add(self, data: bytes | bytearray) -> None:
        """Add bytes of the body."""
        self._act_on(self._body.add(data))

    def take(self) -> bytes:
        """Return the whole body; the exchange holds its memory from now on."""
        self._stop_timer()
        self._is_over = True
        self._exchange.hold_memory(self._body.memory)
        return self._body.take()

    def close(self) -> None:
        """Discard the body, and give its room back."""
        self._stop_timer()
        self._is_over = True
        self.is_without_room = False
        self._body.close()

    @property
    def unadmitted(self) -> int:
        """Bytes that were read and have no room."""
        return self._body.unadmitted

    def left(self, unparsed: int) -> int | None:
        """Return how many bytes of the body were not received, if that is known.

        `unparsed` bytes were received and not added.
        """
        if self._body.length is None:
            return None
        return max(self._body.length - self._body.received - unparsed, 0)

    def watch(self) -> None:
        """Bound the time of a request that did not come at once."""
        if self._timer is None:
            self._schedule_end()

    def _act_on(self, decision: RoomDecision) -> None:
        """Read on, wait for room, or refuse the request."""
        if decision is RoomDecision.GRANTED:
            return
        if decision is RoomDecision.TOO_LARGE:
            self._refuse(UnreadCause.TOO_LARGE)
        elif decision is RoomDecision.FULL:
            self._refuse(UnreadCause.NO_ROOM)
        elif self._connection.is_asked_to_continue:
            self._uploads.room.withdraw(self._body.memory)
            self._refuse(UnreadCause.NO_ROOM)
        else:
            self.is_without_room = True
            self._wait_began = self._clock.seconds()
            self._connection.pause_upload()
            self._schedule_end()

    def _room_granted(self) -> None:
        """Read on in a turn of its own: room is given while another request ends."""
        self._reading_since = self._clock.seconds()
        self._waited += self._reading_since - self._wait_began
        self.is_without_room = False
        self._schedule_end()
        self._clock.callLater(0, self._continue)

    def _continue(self) -> None:
        if not self._is_over and not self.is_without_room:
            self._connection.read_upload()

    def _schedule_end(self) -> None:
        """End the upload at its deadline, or its wait for room before it."""
        self._stop_timer()
        now = self._clock.seconds()
        seconds = self._uploads.policy.body_seconds(self._exchange)
        self._deadline = until = self._exchange.arrived + seconds
        if self.is_without_room:
            most = min(ROOM_WAIT_SHARE * seconds, self._limits.header_seconds)
            until = min(until, self._wait_began + most)
        elif until < math.inf:
            until = min(until, now + PACE_SECONDS)
        if until < math.inf:
            self._timer = self._clock.callLater(max(until - now, 0.0), self._end)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _end(self) -> None:
        self._timer = None
        if self.is_without_room:
            self._uploads.room.withdraw(self._body.memory)
            self._refuse(UnreadCause.NO_ROOM)
        elif self._clock.seconds() >= self._deadline or self._is_hopeless():
            self._refuse(UnreadCause.TOO_LATE)
        else:
            self._schedule_end()

    def _is_hopeless(self) -> bool:
        """Return whether it holds room that others wait for, and comes too slowly to end."""
        left = self.left(0)
        if left is None or not self._uploads.room.waiting:
            return False
        now = self._clock.seconds()
        seconds = now - self._reading_since
        return self._body.received * (self._deadline - now) < left * seconds

    def _refuse(self, cause: UnreadCause) -> None:
        """Refuse the request; it has not run."""
        waited = self._waited
        if self.is_without_room:
            waited += self._clock.seconds() - self._wait_began
        response = self._uploads.policy.unread_refusal(self._exchange, cause, waited)
        self._connection.refuse_upload(response)
