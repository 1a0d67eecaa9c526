"""The service and the software version at which the stream of one call goes on."""

from collections.abc import Callable

from notcharch.calls.call_log import CallLog
from notcharch.calls.engine_run import EngineRun
from notcharch.calls.interface import (
    ORIGIN_UNKNOWN,
    TURN_NOT_RESUMABLE,
    OpaqueCall,
    Refusal,
    Route,
    StreamOrigins,
)
from notcharch.calls.routing import stable_identity
from notcharch.calls.version_filter import VersionRule
from notcharch.scheduling.stream_origin import FoundOrigin, StreamBegin, StreamName
from notcharch.tenants.scope import scoped_name


class StreamVersion:
    """What one call knows of the origin of its stream."""

    def __init__(
        self,
        origins: StreamOrigins,
        call: OpaqueCall,
        route: Route,
        service: str,
        log: CallLog,
    ) -> None:
        """Start with the service for the call by the table in force."""
        self._origins = origins
        self._call = call
        self._route = route
        self._log = log
        self.service = service
        self.version: str | None = None
        """The version that began the stream; None before its first event, and empty if
        it is unknown."""

    @property
    def is_resumption(self) -> bool:
        """Whether the caller has events of the stream from an earlier attempt."""
        call = self._call
        has_events = call.last_event_id is not None or bool(call.first_attempt)
        return self._route.is_stream and has_events

    def find(self, then: Callable[[Refusal | None], None]) -> None:
        """Find the origin of a stream that is resumed.

        `then` is called once: with None if the version is known, else with the refusal of
        the call. A turn that is stored can't be resumed: the events of the earlier attempt
        are not known here, and it would be stored without them.
        """
        if self._route.stores_turns:
            then(TURN_NOT_RESUMABLE)
            return

        def found(result: FoundOrigin) -> None:
            self._log.stream_taken_up(result)
            then(self._use(result))

        self._origins.find(self._name(self._call.first_attempt), found)

    def _use(self, found: FoundOrigin) -> Refusal | None:
        origin = found.origin
        services = {share.service for share in self._route.shares}
        if origin is None or origin.service not in services:
            return ORIGIN_UNKNOWN
        self.service, self.version = origin.service, origin.version
        call = self._call
        call.tokens_per_event = call.tokens_by_service.get(
            origin.service, call.tokens_per_event
        )
        return None

    def _name(self, first_attempt: str) -> StreamName:
        """Return the name under which the origin of the stream is recorded."""
        call = self._call
        scoped = scoped_name(call.tenant_name, first_attempt)
        return StreamName(scoped, self.service, stable_identity(self._route, call))

    def _own_name(self) -> StreamName:
        return self._name(self._call.first_attempt or self._call.id)

    def began(self, run: EngineRun, seconds_left: float) -> None:
        """Keep the stream at the version of the run that brought its first event."""
        if self.version is None:
            self.version = run.version
        if not self._route.is_resumable:
            return
        begin = StreamBegin(run.engine.id, self.version, run.is_confirmed)
        if self._origins.began(self._own_name(), begin, seconds_left):
            self._log.stream_began(self.service)

    @property
    def allows_another_run(self) -> bool:
        """Whether the stream may go on elsewhere: its version is certain, if it began."""
        if self.version is None:
            return True
        return bool(self.version) and not self._origins.is_doubted(self._own_name())

    @property
    def rule(self) -> VersionRule:
        """Which engines may get the call."""
        return VersionRule(self.version, self._route.is_resumable)
