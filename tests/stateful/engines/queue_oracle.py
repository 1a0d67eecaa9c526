"""A simple O(n) reference implementation of `FairQueue`."""

from fractions import Fraction

from notcharch.scheduling.calls import CallKey, Headroom, OrderPolicy, QueuedCall


class QueueOracle:
    """Applies each rule by a scan over all waiting calls."""

    def __init__(self, policy: OrderPolicy) -> None:
        self.policy = policy
        self.calls: list[QueuedCall] = []
        self.virtual_times: dict[str, Fraction] = {}
        self.rows: dict[str, tuple[float, int]] = {}
        self.virtual_time = Fraction(0)

    def enqueue(self, call: QueuedCall) -> None:
        self.cancel(call.key)
        if not self.of_service(call.service):
            service_time = self.virtual_times.get(call.service, Fraction(0))
            self.virtual_times[call.service] = max(service_time, self.virtual_time)
        self.rows[call.service] = (call.share, call.priority)
        self.calls.append(call)

    def cancel(self, key: CallKey) -> None:
        self.calls = [call for call in self.calls if call.key != key]

    def correct_charge(self, call: QueuedCall, used_tokens: int) -> None:
        share = Fraction(self.rows[call.service][0])
        difference = Fraction(used_tokens - call.cost_tokens) / share
        self.virtual_times[call.service] += difference

    def of_service(self, service: str) -> list[QueuedCall]:
        return [call for call in self.calls if call.service == service]

    def has_headroom(self, call: QueuedCall, headroom: Headroom) -> bool:
        if not call.needs_headroom or headroom is Headroom.FOR_ALL:
            return True
        behind = self.virtual_times[call.service] < self.virtual_time
        return behind and headroom is Headroom.FOR_SERVICES_BEHIND

    def grant(self, headroom: Headroom = Headroom.FOR_ALL) -> QueuedCall | None:
        eligible = [call for call in self.calls if self.has_headroom(call, headroom)]
        if not eligible:
            return None
        service = self.next_service(eligible)
        chosen = min(
            (call for call in eligible if call.service == service),
            key=lambda call: (
                call.enqueued_at
                + self.policy.delay_seconds(call.attained_tokens, call.begun),
                self.calls.index(call),
            ),
        )
        self.calls.remove(chosen)
        service_time = self.virtual_times[service]
        self.virtual_time = max(self.virtual_time, service_time)
        share = Fraction(self.rows[service][0])
        self.virtual_times[service] = (
            service_time + Fraction(chosen.cost_tokens) / share
        )
        return chosen

    def next_service(self, eligible: list[QueuedCall]) -> str:
        waiting = sorted({call.service for call in eligible})
        times = self.virtual_times
        minimum = min(times[service] for service in waiting)
        for priority in sorted({self.rows[service][1] for service in waiting}):
            level = [s for s in waiting if self.rows[s][1] == priority]
            head = min(level, key=lambda service: (times[service], service))
            ahead = (times[head] - minimum) * Fraction(self.rows[head][0])
            if ahead <= self.policy.lead_tokens:
                return head
        raise AssertionError(
            "the service with the lowest virtual time is always eligible"
        )
