"""The platform's store as the product's log service, answer by answer."""

import pytest
from result import Err, Ok
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from notcharch.http.messages import ResponseHead
from notcharch.http.requester import CompleteResponse, NoResponse
from notcharch.journal.interface import (
    Appended,
    GroupName,
    LogFault,
    LogPartition,
    Membership,
    Ownership,
    Producer,
    Records,
)
from notcharch.platform.store import (
    CALL_SECONDS,
    LEAST_APPEND_SECONDS,
    LEAST_JOIN_SECONDS,
    MOST_JOIN_SECONDS,
    PlatformStore,
    pack,
    unpack,
)


class Requester:
    """Answers each request with what it was given."""

    def __init__(self, outcome) -> None:
        self.outcome = outcome
        self.method = self.target = self.body = b""
        self.seconds = 0.0

    def request(self, method, target, body, seconds):
        self.method, self.target, self.body = method, target, body
        self.seconds = seconds
        answered = Deferred()
        answered.callback(self.outcome)
        return answered


def answered(status: int, body: bytes = b"{}"):
    return Requester(Ok(CompleteResponse(ResponseHead(status, []), body)))


def result_of(deferred):
    found = []
    deferred.addCallback(found.append)
    return found[0]


def append(requester):
    store = PlatformStore(requester, Clock())
    return result_of(store.append("t", 3, (b"ab", b"c"), Producer("w", 7, 12)))


def test_records_keep_their_bounds():
    records = (b"ab", b"", b"c" * 300)
    assert unpack(pack(records)) == records
    assert pack((b"ab", b"c")) == b"\0\0\0\2ab\0\0\0\1c"


def test_an_append_is_put_as_the_pages_say():
    requester = answered(200, b'{"offset": 840, "end": 842}')
    assert append(requester) == Ok(Appended(840, 842))
    assert requester.method == b"POST"
    assert requester.target == (
        b"/log-append?topic=t&part=3&producer=w&epoch=7&call_sequence=12"
    )
    assert requester.body == pack((b"ab", b"c"))


@pytest.mark.parametrize(
    ("requester", "fault"),
    [
        (answered(409, b'{"why": "fenced"}'), LogFault.FENCED),
        (answered(409, b'{"why": "seq", "call_sequence": 4}'), LogFault.OUT_OF_ORDER),
        (answered(412, b'{"end": 9}'), LogFault.MOVED_ON),
        (answered(429), LogFault.NOT_DONE),
        (answered(503), LogFault.NOT_DONE),
        (answered(507), LogFault.FULL),
        (answered(400), LogFault.REJECTED),
        (answered(200, b"no json"), LogFault.REJECTED),
        (Requester(Err(NoResponse.SENT)), LogFault.UNKNOWN),
        (Requester(Err(NoResponse.NOT_SENT)), LogFault.NOT_DONE),
    ],
)
def test_each_refusal_has_its_fault(requester, fault):
    assert append(requester).err_value.fault is fault


def test_records_are_read():
    body = (842).to_bytes(8, "big") + (0).to_bytes(8, "big") + pack((b"ab", b"c"))
    requester = answered(200, body)
    found = result_of(PlatformStore(requester, Clock()).read("t", 3, 840, 20.0))
    assert found == Ok(Records(840, (b"ab", b"c"), 842))
    assert requester.target.endswith(b"source=840&wait_ms=20000")
    assert requester.seconds > 20.0


def test_records_that_are_gone_name_the_first():
    requester = answered(410, b'{"first": 12}')
    problem = result_of(PlatformStore(requester, Clock()).read("t", 0, 3)).err_value
    assert (problem.fault, problem.offset) == (LogFault.GONE, 12)


def test_the_newest_of_each_key_is_read():
    body = (
        b'{"items":[{"private_key":"config","value":"aGk=","offset":4}],'
        b'"more":false,"end":6}'
    )
    page = result_of(
        PlatformStore(answered(200, body), Clock()).newest("keyed.op", 0)
    ).ok_value
    assert (page.items[0].key, page.items[0].value) == ("config", b"hi")
    assert (page.has_more, page.end) == (False, 6)


def test_a_group_is_joined_and_its_owners_are_told():
    body = b'{"generation":7,"ttl_ms":3000,"parts":[["work",3,840],["rest",5,0]]}'
    joined = PlatformStore(answered(200, body), Clock()).join(
        GroupName("g", ("work", "rest")), "m", 1.2, 6
    )
    assert result_of(joined) == Ok(
        Membership(7, (LogPartition("work", 3), LogPartition("rest", 5)))
    )
    rows = b'{"parts":[["work",3,"m",840]]}'
    owners = PlatformStore(answered(200, rows), Clock()).owners("g")
    assert result_of(owners) == Ok((Ownership(LogPartition("work", 3), "m"),))


def test_a_heartbeat_that_is_not_answered_is_waited_for_longer():
    requester = Requester(Err(NoResponse.SENT))
    store = PlatformStore(requester, Clock())
    waits = []
    for _ in range(3):
        store.join(GroupName("g", ("t",)), "m", 1.2, 0)
        waits.append(requester.seconds)
    assert waits == [LEAST_JOIN_SECONDS, MOST_JOIN_SECONDS, MOST_JOIN_SECONDS]
    assert 2 * MOST_JOIN_SECONDS <= CALL_SECONDS
    requester.outcome = Err(NoResponse.NOT_SENT)
    store.join(GroupName("g", ("t",)), "m", 1.2, 0)
    assert requester.seconds == MOST_JOIN_SECONDS


def test_a_log_is_trimmed_before_an_offset():
    requester = answered(200)
    store = PlatformStore(requester, Clock())
    assert result_of(store.trim("t", 3, 840)) == Ok(None)
    assert requester.target == b"/log-trim?topic=t&part=3&before=840"


def test_a_lost_answer_to_an_append_is_given_up_soon():
    requester = answered(200, b'{"offset": 0, "end": 1}')
    append(requester)
    assert requester.seconds == LEAST_APPEND_SECONDS <= 0.25
