"""An owner that answers requests about one call when tests do, without a network."""

from types import SimpleNamespace

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from notcharch.accounts.call_account import CallAccount
from notcharch.accounts.messages import GrantRaised, TurnAdmitted
from notcharch.accounts.turns import TURN_CACHE_BYTES, TurnCache
from notcharch.calls.interface import OpaqueCall
from notcharch.http.messages import RequestHead
from notcharch.journal.partitioning import partitioning_for_topics
from tests.unit.accounts.world import route

EVENT_TOKENS = 10
MOST_EVENTS = 20


class GrantingOwner:
    """Stands for `OwnerRequests`: keeps the requests and their open replies."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.requests = []
        self.notices = []
        self.open: list[Deferred] = []
        self.partitioning = partitioning_for_topics("accounts", 1, 1)
        owner = SimpleNamespace(member_id=lambda: "d1")
        self.directory = SimpleNamespace(owner=lambda _: owner, age_seconds=0.0)

    def send_request(self, partition, message):
        self.requests.append(message)
        self.open.append(Deferred())
        return self.open[-1]

    def send_notice(self, partition, message):
        self.notices.append(message)

    def answer(self, reply) -> None:
        self.open.pop(0).callback(reply)

    def raise_to(self, events: int) -> None:
        self.answer(GrantRaised(events * EVENT_TOKENS))


class GrantedCall:
    """An admitted call, and the events that its gateway relayed."""

    def __init__(self, granted_tokens: int, *, stores_turns=False, **changes) -> None:
        self.owner = GrantingOwner()
        call = OpaqueCall("c1", RequestHead(b"POST", b"/p/", []), b"in", 0.0)
        settings = {
            "program": "p",
            "max_tokens": MOST_EVENTS * EVENT_TOKENS,
            "budget_tokens": 1000,
            "tokens_per_event": EVENT_TOKENS,
        }
        self.call = msgspec.structs.replace(call, **(settings | changes))
        cache = TurnCache(TURN_CACHE_BYTES)
        self.account = CallAccount(
            self.owner,
            cache,
            self.call,
            route(stores_turns=stores_turns),
            max_body_bytes=10_000,
        )
        self.admission = self.account.admit_message()
        self.account.on_admitted(TurnAdmitted("", granted_tokens=granted_tokens))
        self.growths = []
        self.account.watch_grant(
            lambda: self.growths.append(self.account.granted_events)
        )

    @property
    def clock(self) -> Clock:
        return self.owner.clock

    @property
    def requests(self):
        return self.owner.requests

    def relayed(self, events: int, waiting: int = 0) -> None:
        self.account.relayed(events, waiting)
