"""The exchange of engine loads: reports calls, requests loads, and tracks engines.

Soft state only: nothing is stored, and a lost message is corrected by the next refresh.
"""

from collections.abc import Callable, Mapping, Sequence
from random import Random

from result import Err, Ok, Result
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from notcharch.calls.interface import LoadExchange
from notcharch.engine_load.load_request import LoadRequest, Loads
from notcharch.engine_load.messages import (
    AskEngineLoads,
    EngineCallsChanged,
    EngineLoadsSeen,
)
from notcharch.engine_load.metrics import (
    NOTICES,
    REQUEST_SECONDS,
    REQUESTS,
    REQUESTS_ANSWERED,
    TRACKED_ENGINES,
    UNANSWERED,
)
from notcharch.engine_load.own_calls import OwnCalls
from notcharch.engine_load.service_modes import ServiceFigures, ServiceModes
from notcharch.engine_load.tracked_loads import TrackedLoads
from notcharch.engine_load.tracker_answers import TrackerAnswers
from notcharch.errors import Problem, ProblemCode
from notcharch.events.engine_load import (
    LoadTrackerAnswers,
    LoadTrackerSilent,
    LoadTrackingRestarted,
)
from notcharch.events.event import emit
from notcharch.events.steady_loop import steady_loop
from notcharch.scheduling.engine_load import EngineLoad
from notcharch.scheduling.load_trackers import (
    ExchangeMode,
    TrackerViews,
    trackers_to_ask,
)
from notcharch.values.identifiers import DaemonName, Member
from notcharch.wire.messages.base import Message
from notcharch.wire.peers import PeerNetwork

MAX_WAIT_SECONDS = 0.01
"""Longest delay of a dispatch: less than a tenth of the usual model call (0.15 s)."""
END_DELAY_SECONDS = 0.005
"""How long a call's end may wait for other changes; a late end only overstates a load."""
TICK_INTERVAL_SECONDS = 0.25
TICKS_PER_REFRESH = 2
"""A refresh every 0.5 s; a count expires after three missed ones."""

Reply = Result[Message, Problem]


class EngineLoadExchange(LoadExchange):
    """Exchanges loads with the trackers, and is a tracker itself where elected."""

    def __init__(
        self,
        clock: IReactorTime,
        random: Random,
        network: PeerNetwork,
        figures: ServiceFigures,
        *,
        members: Callable[[], Sequence[str]],
        engines: Callable[[], Mapping[str, str]],
    ) -> None:
        """Register the handlers.

        `members` returns the daemons that may be trackers; `engines` returns the service
        of each listed engine by its id.
        """
        self._clock = clock
        self._random = random
        self._network = network
        self._members = members
        self._engines = engines
        self._local = str(network.own_member.daemon)
        self._views = TrackerViews()
        self._elected_from: Mapping[str, str] | None = None
        """The engines among which the present ones were elected."""
        self._own = OwnCalls()
        self._tracked = TrackedLoads(clock.seconds())
        self._answers = TrackerAnswers()
        self._modes = ServiceModes(figures)
        self._flush: IDelayedCall | None = None
        self._ticks = 0
        self._ticking = steady_loop(clock, "engine loads", self._tick)
        network.on_notice(EngineCallsChanged, self._on_notice)
        network.on_request(AskEngineLoads, self._reply)

    def start(self) -> None:
        """Start refreshing counts and tracking engines."""
        self._ticking.start(TICK_INTERVAL_SECONDS, now=True)

    # Calls of this daemon

    def request(
        self, service: str, cached_engine: str, then: Callable[[Loads], None]
    ) -> None:
        """Request the loads of a service's engines for one dispatch."""
        now = self._clock.seconds()
        if self._mode(service) is not ExchangeMode.REQUESTS:
            then({})
            return
        asked = self._trackers_to_ask(service, cached_engine, now)

        def complete(loads: Loads) -> None:
            REQUESTS.labels(str(request.answers)).inc()
            REQUEST_SECONDS.observe(self._clock.seconds() - now)
            then(loads)

        request = LoadRequest(
            lambda: self._own.in_flight(service), len(asked), complete
        )
        request.merge(self._local_loads(service))
        for tracker in asked:
            self._ask(tracker, service, request)
        if not asked:
            request.finish_if_complete()

    def call_started(self, service: str, engine_id: str) -> None:
        """Report a call at once."""
        self._own.started(service, engine_id)
        if self._reports(service):
            self._schedule_flush(0.0)

    def call_ended(
        self, service: str, engine_id: str, event_interval_seconds: float | None
    ) -> None:
        """Report the end of a call soon."""
        self._own.ended(service, engine_id, event_interval_seconds)
        if self._reports(service):
            self._schedule_flush(END_DELAY_SECONDS)

    def _mode(self, service: str) -> ExchangeMode:
        members = len(self._views.members)
        return self._modes.mode(service, members, self._clock.seconds())

    def _reports(self, service: str) -> bool:
        if self._mode(service) is not ExchangeMode.OFF:
            return True
        self._own.discard_changes(service)
        return False

    def _trackers_to_ask(
        self, service: str, cached_engine: str, now: float
    ) -> list[str]:
        """Choose among the other trackers; this daemon's own loads cost nothing."""
        election = self._views.asked
        candidates = [
            tracker
            for tracker in election.trackers(service)
            if tracker != self._local and self._answers.may_ask(tracker, now)
        ]
        cached = election.tracker(service, cached_engine) if cached_engine else None
        return trackers_to_ask(candidates, cached, self._random)

    def _ask(self, tracker: str, service: str, request: LoadRequest) -> None:
        pending = self._network.request(
            DaemonName(tracker), AskEngineLoads(service), MAX_WAIT_SECONDS
        )
        pending.addCallback(self._on_reply, tracker, service, request)

    def _on_reply(
        self, reply: Reply, tracker: str, service: str, request: LoadRequest
    ) -> None:
        if isinstance(reply, Ok) and isinstance(reply.ok_value, EngineLoadsSeen):
            if self._answers.answered(tracker):
                emit(LoadTrackerAnswers(tracker))
            request.answered(reply.ok_value.loads)
            return
        self._on_unanswered(tracker, service, reply)
        request.unanswered()

    def _on_unanswered(self, tracker: str, service: str, reply: Reply) -> None:
        now = self._clock.seconds()
        UNANSWERED.inc()
        cause = "another message"
        if isinstance(reply, Err):
            cause = reply.err_value.message
            if reply.err_value.is_code(ProblemCode.BAD_REQUEST):
                self._answers.refused(tracker, now)
        if self._answers.unanswered(tracker, now):
            emit(LoadTrackerSilent(tracker, service, cause))

    # Notices

    def _schedule_flush(self, delay: float) -> None:
        """Send the changes after `delay`, with all others until then."""
        if self._flush is not None:
            if self._flush.getTime() <= self._clock.seconds() + delay:
                return
            self._flush.cancel()
        self._flush = self._clock.callLater(delay, self._send_changes)

    def _send_changes(self) -> None:
        self._flush = None
        for service in self._own.services:
            self._send(self._own.take_changes(service, self._views))

    def _send_refresh(self) -> None:
        for service in self._own.services:
            if self._mode(service) is not ExchangeMode.OFF:
                self._send(self._own.take_refresh(service, self._views))

    def _send(self, notices: Mapping[str, EngineCallsChanged]) -> None:
        now = self._clock.seconds()
        for tracker, notice in notices.items():
            if tracker == self._local:
                self._tracked.apply(self._network.own_member, notice, now)
            elif self._answers.may_notify(tracker, now):
                NOTICES.inc()
                self._network.notify(DaemonName(tracker), notice)

    # Tracking

    def _tick(self) -> None:
        self._check_pause()
        self._modes.recompute()
        self._update_election()
        self._ticks += 1
        if self._ticks % TICKS_PER_REFRESH == 0:
            self._send_refresh()
        TRACKED_ENGINES.set(self._tracked.engine_count)

    def _check_pause(self) -> None:
        seconds = self._tracked.tick(self._clock.seconds())
        if seconds and self._tracked.engine_count:
            count = self._tracked.engine_count
            emit(LoadTrackingRestarted(round(seconds, 3), count))

    def _update_election(self) -> None:
        now = self._clock.seconds()
        engines = self._engines()
        is_new = self._views.update(self._members(), now)
        if is_new:
            self._answers.keep(self._views.known_members())
        if is_new or engines is not self._elected_from:
            self._elected_from = engines
            self._tracked.elect(self._elected(engines), now)

    def _elected(self, engines: Mapping[str, str]) -> dict[str, str]:
        """Return the engines of which this daemon is the tracker, with their services."""
        return {
            engine: service
            for engine, service in engines.items()
            if self._views.current.tracker(service, engine) == self._local
        }

    def _local_loads(self, service: str) -> tuple[EngineLoad, ...]:
        """Return the loads that this daemon tracks itself."""
        now = self._clock.seconds()
        if self._tracked.is_pause_unnoticed(now):
            self._check_pause()
        return self._tracked.loads(service, now)

    def _on_notice(self, sender: Member, message: Message) -> None:
        assert isinstance(message, EngineCallsChanged)
        self._tracked.apply(sender, message, self._clock.seconds())

    async def _reply(self, sender: Member, message: Message) -> Message:
        assert isinstance(message, AskEngineLoads)
        REQUESTS_ANSWERED.inc()
        return EngineLoadsSeen(self._local_loads(message.service))
