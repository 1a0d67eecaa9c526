"""The queue of one engine: which waiting call is granted next.

Between services: start-time fair queueing. Each service with waiting calls is a
lane with a virtual time, in tokens divided by share; the lane that is furthest
behind goes first. A lane of higher priority may run ahead of its share by
`OrderPolicy.lead_tokens`, no further, so priority decides who waits and share
decides who gets how much. Within a lane: `OrderPolicy.delay_seconds`.

Every operation takes O(log n) of the calls and of the services that wait; a grant
without headroom looks at each service that has nothing else waiting.
"""

import msgspec
from sortedcontainers import SortedList

from notcharch.scheduling.calls import CallKey, Headroom, OrderPolicy, QueuedCall
from notcharch.values.identifiers import ServiceName

MIN_LANES_TO_CLEAN = 32


class _Place(msgspec.Struct, frozen=True, order=True):
    """Where a call stands in its lane; `arrival` breaks ties."""

    order_seconds: float
    arrival: int
    key: CallKey


class _LanePlace(msgspec.Struct, frozen=True, order=True):
    """Where a lane stands among the lanes of its priority."""

    virtual_time: float
    service: ServiceName


class _Waiting(msgspec.Struct, frozen=True):
    """A waiting call and its place."""

    call: QueuedCall
    place: _Place


class _Lane:
    """The waiting calls of one service."""

    def __init__(self, service: ServiceName) -> None:
        self.service = service
        self.virtual_time = 0.0
        self.share = 1.0
        self.priority = 0
        self.places: SortedList[_Place] = SortedList()
        self.ready: SortedList[_Place] = SortedList()
        """The places of calls that go without headroom, too."""

    def add(self, place: _Place, *, needs_headroom: bool) -> None:
        """Add a call's place."""
        self.places.add(place)
        if not needs_headroom:
            self.ready.add(place)

    def remove(self, place: _Place) -> None:
        """Take a call's place out."""
        self.places.remove(place)
        self.ready.discard(place)

    @property
    def place(self) -> _LanePlace:
        return _LanePlace(self.virtual_time, self.service)


class FairQueue:
    """Orders the waiting calls of one engine. Pure; time is an argument."""

    def __init__(self, policy: OrderPolicy) -> None:
        """Start empty."""
        self._policy = policy
        self._virtual_time = 0.0
        self._arrivals = 0
        self._waiting: dict[CallKey, _Waiting] = {}
        self._lanes: dict[ServiceName, _Lane] = {}
        self._levels: dict[int, SortedList[_LanePlace]] = {}
        self._share_sum = 0.0
        self._lanes_to_clean = MIN_LANES_TO_CLEAN

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, key: CallKey) -> bool:
        return key in self._waiting

    def waiting(self) -> tuple[QueuedCall, ...]:
        """Give every waiting call, in no particular order."""
        return tuple(waiting.call for waiting in self._waiting.values())

    def enqueue(self, call: QueuedCall) -> None:
        """Add a call; its service's share and priority become the call's."""
        self.cancel(call.key)
        lane = self._lanes.get(call.service)
        if lane is None:
            lane = self._lanes[call.service] = _Lane(call.service)
        if lane.places:
            self._unlist(lane)
        else:
            lane.virtual_time = max(lane.virtual_time, self._virtual_time)
        lane.share = call.share
        lane.priority = call.priority
        place = self._place_of(call)
        lane.add(place, needs_headroom=call.needs_headroom)
        self._waiting[call.key] = _Waiting(call, place)
        self._list(lane)

    def cancel(self, key: CallKey) -> QueuedCall | None:
        """Take a call out without charging its service; None if not waiting."""
        waiting = self._waiting.pop(key, None)
        if waiting is None:
            return None
        lane = self._lanes[waiting.call.service]
        self._unlist(lane)
        lane.remove(waiting.place)
        self._list(lane)
        return waiting.call

    def grant(self, headroom: Headroom = Headroom.FOR_ALL) -> QueuedCall | None:
        """Take out the next call and charge its cost; None when there is none.

        Calls that need headroom and have none are passed over and keep their places.
        """
        lane = self._next_lane(headroom)
        if lane is None:
            return None
        self._unlist(lane)
        place = self._places_of(lane, headroom)[0]
        lane.remove(place)
        call = self._waiting.pop(place.key).call
        self._virtual_time = max(self._virtual_time, lane.virtual_time)
        lane.virtual_time += call.cost_tokens / lane.share
        self._list(lane)
        self._forget_idle_lanes()
        return call

    def correct_charge(self, call: QueuedCall, used_tokens: int) -> None:
        """Replace a granted call's charge by what it really used."""
        lane = self._lanes.get(call.service)
        if lane is None:
            return
        self._unlist(lane)
        lane.virtual_time += (used_tokens - call.cost_tokens) / lane.share
        self._list(lane)

    def calls_ahead(self, call: QueuedCall) -> float:
        """Estimate how many calls are granted before this one, waiting or not.

        Exact within the service; across services it goes by the shares.
        """
        waiting = self._waiting.get(call.key)
        place = waiting.place if waiting else self._place_of(call)
        lane = self._lanes.get(call.service)
        if lane is None or not lane.places:
            same_service, of_service = 0, 0
            other_share = self._share_sum
        else:
            same_service = lane.places.bisect_left(place)
            of_service = len(lane.places)
            other_share = self._share_sum - lane.share
        of_others = len(self) - of_service
        by_share = (same_service + 1) * other_share / call.share
        return same_service + min(by_share, of_others)

    def count_awaiting_headroom(self) -> int:
        """Count the waiting calls that need headroom."""
        lanes = self._lanes.values()
        return sum(len(lane.places) - len(lane.ready) for lane in lanes)

    def _place_of(self, call: QueuedCall) -> _Place:
        self._arrivals += 1
        delay = self._policy.delay_seconds(call.attained_tokens, call.begun)
        return _Place(call.enqueued_at + delay, self._arrivals, call.key)

    def _places_of(self, lane: _Lane, headroom: Headroom) -> "SortedList[_Place]":
        """Give the places of a lane that may be granted now."""
        if headroom is Headroom.FOR_SERVICES_BEHIND:
            behind = lane.virtual_time < self._virtual_time
            return lane.places if behind else lane.ready
        return lane.places if headroom is Headroom.FOR_ALL else lane.ready

    def _next_lane(self, headroom: Headroom) -> _Lane | None:
        heads: list[_Lane] = []
        for priority in sorted(self._levels):
            first = self._first(self._levels[priority], headroom)
            if first is not None:
                heads.append(first)
        if not heads:
            return None
        furthest_behind = min([head.virtual_time for head in heads])
        for head in heads:
            if (
                head.virtual_time - furthest_behind
            ) * head.share <= self._policy.lead_tokens:
                return head
        return None

    def _first(
        self, level: "SortedList[_LanePlace]", headroom: Headroom
    ) -> _Lane | None:
        """Give the level's lane that is furthest behind and has a call to grant."""
        if headroom is Headroom.FOR_ALL:
            return self._lanes[level[0].service]
        lanes = (self._lanes[place.service] for place in level)
        return next((lane for lane in lanes if self._places_of(lane, headroom)), None)

    def _list(self, lane: _Lane) -> None:
        if lane.places:
            level = self._levels.setdefault(lane.priority, SortedList())
            level.add(lane.place)
            self._share_sum += lane.share

    def _unlist(self, lane: _Lane) -> None:
        if not lane.places:
            return
        level = self._levels[lane.priority]
        level.remove(lane.place)
        self._share_sum -= lane.share
        if not level:
            del self._levels[lane.priority]
        if not self._levels:
            self._share_sum = 0.0

    def _forget_idle_lanes(self) -> None:
        """Drop lanes that would start again at the queue's virtual time anyway.

        Looked for only when the lanes have doubled, so that it costs O(1) a grant.
        """
        if len(self._lanes) < self._lanes_to_clean:
            return
        self._lanes = {
            service: lane
            for service, lane in self._lanes.items()
            if lane.places or lane.virtual_time > self._virtual_time
        }
        self._lanes_to_clean = max(2 * len(self._lanes), MIN_LANES_TO_CLEAN)
