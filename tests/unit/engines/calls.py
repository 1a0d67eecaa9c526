"""Admitted calls for tests of stewards and dispatchers."""

from twisted.internet.defer import Deferred

from notcharch.table.interface import ServiceRow
from notcharch.values.chat import PrefixLocation
from notcharch.values.identifiers import EngineName, Member, ProgramId, ServiceName
from notcharch.wire.messages.engines import EnqueueCall
from notcharch.wire.messages.programs import CallAdmitted
from tests.unit.engines.region import POOL

SERVICE = ServiceName("guide")


def row(**cells) -> ServiceRow:
    return ServiceRow(service=SERVICE, tenant="t", pool=POOL, **cells)


def admitted(program="r1-0-aa", sequence=1, holder=None, cached=0, tokens=100):
    prefix = PrefixLocation(EngineName(holder), cached) if holder else None
    return CallAdmitted(
        program=ProgramId(program),
        sequence=sequence,
        attempt=1,
        epoch=5,
        service=SERVICE,
        history=(),
        prompt_tokens=tokens,
        attained_tokens=0,
        started_at=0.0,
        prefix=prefix,
    )


def place(node, call=None, give_up_seconds=60.0, avoid=frozenset(), **cells):
    """Start placing a call; return the Deferred of its Result."""
    coroutine = node.dispatcher.place(
        call or admitted(), row(**cells), 50, give_up_seconds, avoid
    )
    return Deferred.fromCoroutine(coroutine)


def enqueue(engine="e1", program="r1-0-aa", **changes) -> EnqueueCall:
    fields = {
        "engine": EngineName(engine),
        "program": ProgramId(program),
        "sequence": 1,
        "attempt": 1,
        "service": SERVICE,
        "gateway": Member("d2", 1),
        "share": 1.0,
        "priority": 5,
        "attained_tokens": 0,
        "prompt_tokens": 100,
        "cached_tokens": 0,
        "max_tokens": 50,
        "defer_above_seconds": 1e9,
        "give_up_seconds": 60.0,
        "begun": True,
    }
    return EnqueueCall(**{**fields, **changes})
