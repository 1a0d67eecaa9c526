"""Bursts of large bodies to one daemon, more than it has memory for."""

from collections import Counter
from collections.abc import Callable, Generator
from random import Random
from typing import Any

import msgspec
from twisted.internet.defer import Deferred, inlineCallbacks

from deploy.soak.callers import Callers
from deploy.soak.daemons import SoakDaemon
from deploy.soak.observations import Asked, Violation
from deploy.soak.settings import CALL_SECONDS, WRITE_PATH
from deploy.soak.tenants import Tenants

BURST_SIZES = (6, 12, 24)
BODY_BYTES = (500_000, 2_000_000, 4_000_000)
LEAST_PAUSE_SECONDS = 3.0
MOST_PAUSE_SECONDS = 9.0


class BurstRequest(msgspec.Struct, frozen=True):
    """One request of a burst."""

    asked: Asked
    daemon: SoakDaemon
    interruptions: int
    """Those of its daemon before it was sent."""
    was_in_service: bool


class Bursts:
    """Sends bursts, and judges whether each request got an answer."""

    def __init__(
        self,
        reactor: Any,
        random: Random,
        callers: Callers,
        ready: Callable[[], list[SoakDaemon]],
        tenants: Tenants,
    ) -> None:
        """Send to daemons that are `ready`."""
        self._reactor = reactor
        self._random = random
        self._callers = callers
        self._ready = ready
        self._tenants = tenants
        self._is_running = False
        self._cut: list[BurstRequest] = []
        self.sent = 0
        self.answers: Counter[str] = Counter()
        """By status."""

    def start(self) -> None:
        """Send the first burst after a while."""
        self._is_running = True
        self._schedule()

    def stop(self) -> None:
        """Send no more: in the calm every request is to be served."""
        self._is_running = False

    def _schedule(self) -> None:
        pause = self._random.uniform(LEAST_PAUSE_SECONDS, MOST_PAUSE_SECONDS)
        self._reactor.callLater(pause, self._burst)

    def _burst(self) -> None:
        if not self._is_running:
            return
        daemon = self._random.choice(self._ready())
        body = self._random.randbytes(self._random.choice(BODY_BYTES))
        for _ in range(self._random.choice(BURST_SIZES)):
            self._send(daemon, body)
        self._schedule()

    @inlineCallbacks
    def _send(
        self, daemon: SoakDaemon, body: bytes
    ) -> Generator["Deferred[Any]", Any, None]:
        self.sent += 1
        asked = Asked(
            id=f"b{self.sent}",
            path=f"{WRITE_PATH}x",
            expected_body=body,
            may_repeat=False,
            is_stream=False,
            tenant=self._tenants.choose().name,
            manner="in a burst",
        )
        request = BurstRequest(
            asked, daemon, daemon.interruptions, daemon.is_in_service
        )
        yield self._callers.send_alone(asked, body, daemon)
        self._judge(request)

    def _judge(self, request: BurstRequest) -> None:
        """Note a request whose connection ended without an answer, by its daemon's doing."""
        asked, daemon = request.asked, request.daemon
        self.answers[str(asked.status)] += 1
        daemon.collect_ends()
        was_interrupted = daemon.interruptions != request.interruptions
        if not asked.is_connected or asked.status or was_interrupted:
            return
        is_in_time = asked.ended_at - asked.sent_at < CALL_SECONDS
        if request.was_in_service and daemon.is_in_service and is_in_time:
            self._cut.append(request)

    def violations(self) -> list[Violation]:
        """Give the requests that were cut while their daemon was in service."""
        return [
            Violation(
                "UPLOAD",
                request.asked.id,
                f"cut at {request.asked.daemon}, {len(request.asked.expected_body)} bytes,"
                f" {request.asked.ended_at - request.asked.sent_at:.2f} s after it was sent",
            )
            for request in self._cut
        ]
