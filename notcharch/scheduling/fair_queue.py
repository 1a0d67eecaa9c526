"""The queue of one engine, which orders the waiting calls.

Services are ordered by start-time fair queueing. Each service with waiting calls is a
lane with a virtual time, in tokens divided by its share; the lane with the lowest
virtual time goes first. A lane of higher priority may run ahead of its share by at most
`OrderPolicy.lead_tokens`, so the priority affects the waiting time, and the share the
throughput. Within a lane calls are ordered by `OrderPolicy.delay_seconds`.

Every operation takes O(log n) of the waiting calls and services; a grant without
headroom examines each service that has only calls that need it.
"""

import msgspec
from sortedcontainers import SortedList

from notcharch.scheduling.calls import CallKey, Headroom, OrderPolicy, QueuedCall
from notcharch.values.identifiers import ServiceName

MIN_LANES_TO_CLEAN = 32


class _Place(msgspec.Struct, frozen=True, order=True):
    """The position of a call in its lane; `arrival` breaks ties."""

    order_seconds: float
    arrival: int
    key: CallKey


class _LanePlace(msgspec.Struct, frozen=True, order=True):
    """The position of a lane among the lanes of its priority."""

    virtual_time: float
    service: ServiceName


class _Waiting(msgspec.Struct, frozen=True):
    """A waiting call and its position."""

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
        """Calls that need no headroom."""

    def add(self, place: _Place, *, needs_headroom: bool) -> None:
        """Add a call's position."""
        self.places.add(place)
        if not needs_headroom:
            self.ready.add(place)

    def remove(self, place: _Place) -> None:
        """Remove a call's position."""
        self.places.remove(place)
        self.ready.discard(place)

    @property
    def place(self) -> _LanePlace:
        return _LanePlace(self.virtual_time, self.service)


class FairQueue:
    """Orders the waiting calls of one engine. Pure; the time is an argument."""

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
        """Return all waiting calls in no particular order."""
        return tuple(waiting.call for waiting in self._waiting.values())

    def enqueue(self, call: QueuedCall) -> None:
        """Add a call, whose share and priority become those of its service."""
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
        """Remove a call without charging its service; None if it isn't waiting."""
        waiting = self._waiting.pop(key, None)
        if waiting is None:
            return None
        lane = self._lanes[waiting.call.service]
        self._unlist(lane)
        lane.remove(waiting.place)
        self._list(lane)
        return waiting.call

    def grant(self, headroom: Headroom = Headroom.FOR_ALL) -> QueuedCall | None:
        """Remove the next call and charge its cost; None if no call can be granted.

        Calls that need missing headroom are skipped and keep their positions.
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
        """Replace the charge of a granted call by its actual usage."""
        lane = self._lanes.get(call.service)
        if lane is None:
            return
        self._unlist(lane)
        lane.virtual_time += (used_tokens - call.cost_tokens) / lane.share
        self._list(lane)

    def calls_ahead(self, call: QueuedCall) -> float:
        """Estimate how many calls are granted before a call, queued or not.

        The estimate is exact within the service, and based on the shares across
        services.
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
        """Return the positions of a lane that may be granted now."""
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
        lowest_virtual_time = min([head.virtual_time for head in heads])
        for head in heads:
            if (
                head.virtual_time - lowest_virtual_time
            ) * head.share <= self._policy.lead_tokens:
                return head
        return None

    def _first(
        self, level: "SortedList[_LanePlace]", headroom: Headroom
    ) -> _Lane | None:
        """Return the level's lane with the lowest virtual time and a call to grant."""
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
        """Remove idle lanes that would restart at the queue's virtual time.

        Runs only when the number of lanes has doubled, so it costs O(1) per grant.
        """
        if len(self._lanes) < self._lanes_to_clean:
            return
        self._lanes = {
            service: lane
            for service, lane in self._lanes.items()
            if lane.places or lane.virtual_time > self._virtual_time
        }
        self._lanes_to_clean = max(2 * len(self._lanes), MIN_LANES_TO_CLEAN)
