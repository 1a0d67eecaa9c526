"""A region of table replicas with the operators' interface over in-memory HTTP."""

import hashlib
import json

import attrs
from result import Err, Ok
from treq.testing import StubTreq
from twisted.internet.defer import Deferred, succeed
from twisted.web.resource import Resource

from notcharch.admin.daemon_handlers import DaemonActivity, DaemonHandlers
from notcharch.admin.resource import AdminResource
from notcharch.errors import Problem, ProblemCode
from notcharch.placement.interface import LiveMember
from notcharch.settings.schema import OperatorKey
from notcharch.values.identifiers import ZoneName
from notcharch.wire.messages.administration import PartitionDescription
from tests.stateful.table.region import Region

ROLES = ("viewer", "editor", "administrator")
KEYS = tuple(
    OperatorKey(f"op-{role}", hashlib.sha256(role.encode()).hexdigest(), role)
    for role in ROLES
)


class FakeMembership:
    """Reports all daemons of the region as live."""

    def __init__(self, region):
        self._region = region

    def live_members(self):
        return tuple(
            LiveMember(process.daemon.member, ZoneName("zone1"), "", False)
            for process in self._region.processes.values()
        )


class FakeRouter:
    """Replies by message type; records the sent messages."""

    def __init__(self):
        self.replies = {}
        self.sent = []

    def to_partition(self, partition, message, timeout_seconds):
        return self._answer(message)

    def to_steward(self, engine, message, timeout_seconds):
        return self._answer(message)

    def _answer(self, message):
        self.sent.append(message)
        reply = self.replies.get(type(message))
        if reply is None:
            missing = Problem.of(ProblemCode.NOT_FOUND, "unknown")
            return succeed(Err(missing))
        return succeed(Ok(reply))


class FakeDirectory:
    """The engines of the machine list."""

    def __init__(self):
        self.machines = ()

    def all_engines(self):
        return self.machines


@attrs.frozen
class Answer:
    status: int
    body: dict
    headers: object


class AdminRegion:
    """A region of `count` replicas; requests are sent to the first daemon."""

    def __init__(self, count=3):
        self.region = Region(count)
        self.router = FakeRouter()
        self.directory = FakeDirectory()
        self.drained = []
        for process in self.region.processes.values():
            self._add_handlers(process)
        first = self.region.process(0)
        admin = AdminResource(
            clock=first.clock,
            network=first.daemon.network,
            membership=FakeMembership(self.region),
            router=self.router,
            engines=self.directory,
            replica=first.replica,
            publisher=first.publisher,
            operator_keys=KEYS,
        )
        root, mount = Resource(), Resource()
        root.putChild(b"admin", mount)
        self.resource = admin.resource()
        mount.putChild(b"v1", self.resource)
        self.client = StubTreq(root)
        self.region.run(1.0)

    def _add_handlers(self, process):
        name = process.daemon.member.daemon
        DaemonHandlers(
            clock=process.clock,
            network=process.daemon.network,
            zone=ZoneName("zone1"),
            replica=process.replica,
            activity=lambda: DaemonActivity("live", 2),
            partitions=lambda: (
                PartitionDescription(0, 3 + int(name[1:]), 9, 8, 0, 3, 1, 50, 2),
            ),
            drain=lambda drain: self.drained.append((name, drain)),
        )

    def fetch(self, method, path, body=None, role="administrator", key=None):
        headers = {"authorization": f"Bearer {key or role}"} if key or role else {}
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        response_deferred = self.client.request(
            method,
            "http://127.0.0.1/admin/v1" + path,
            headers=headers,
            data=data if body is not None else None,
        )
        return self.result_of(response_deferred.addCallback(self._read))

    def result_of(self, pending):
        """Deliver bytes and advance the clock until a Deferred has fired."""
        results = []
        pending.addBoth(results.append)
        for _ in range(4000):
            self.client.flush()
            if results:
                break
            self.region.run(0.05)
        assert results, "no result"
        if hasattr(results[0], "raiseException"):
            results[0].raiseException()
        return results[0]

    def _read(self, response) -> Deferred:
        reading = self.client.content(response)
        return reading.addCallback(
            lambda data: Answer(response.code, json.loads(data), response.headers)
        )
