"""Tests of the store's client, response by response."""

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
    MAX_JOIN_TIMEOUT_SECONDS,
    MIN_APPEND_TIMEOUT_SECONDS,
    MIN_JOIN_TIMEOUT_SECONDS,
    REQUEST_TIMEOUT_SECONDS,
    PlatformStore,
    pack,
    unpack,
)


class Requester:
    """Resolves each request with the given outcome."""

    def __init__(self, outcome) -> None:
        self.outcome = outcome
        self.method = self.target = self.body = b""
        self.seconds = 0.0

    def request(self, method, target, body, seconds, max_response_bytes):
        self.method, self.target, self.body = method, target, body
        self.seconds = seconds
        response = Deferred()
        response.callback(self.outcome)
        return response


def responding(status: int, body: bytes = b"{}"):
    return Requester(Ok(CompleteResponse(ResponseHead(status, []), body)))


def result_of(deferred):
    found = []
    deferred.addCallback(found.append)
    return found[0]


def append(requester):
    store = PlatformStore(requester, Clock())
    return result_of(store.append("t", 3, (b"ab", b"c"), Producer("w", 7, 12)))


def test_records_are_packed_with_their_lengths():
    records = (b"ab", b"", b"c" * 300)
    assert unpack(pack(records)) == records
    assert pack((b"ab", b"c")) == b"\0\0\0\2ab\0\0\0\1c"


@pytest.mark.parametrize("size", range(1, 12))
def test_a_cut_record_is_not_taken_for_a_short_one(size):
    data = pack((b"ab", b"cdefg"))
    if size == len(pack((b"ab",))):
        assert unpack(data[:size]) == (b"ab",)
        return
    with pytest.raises(ValueError, match="cut"):
        unpack(data[:size])


@pytest.mark.parametrize("size", range(1, 29))
def test_a_cut_read_gives_whole_records_or_none(size):
    """A read without its offsets would show that nobody else wrote."""
    offsets = (9).to_bytes(8, "big") + (0).to_bytes(8, "big")
    body = offsets + pack((b"ab", b"c"))
    store = PlatformStore(responding(200, body[:size]), Clock())
    result = result_of(store.read("t", 0, 7))
    if isinstance(result, Err):
        assert result.err_value.fault is LogFault.UNREADABLE
    else:
        assert result.ok_value.end == 9
        assert result.ok_value.records == (b"ab", b"c")[: len(result.ok_value.records)]
    assert isinstance(result, Ok) == (size in (16, 22, 27, 28))


@pytest.mark.parametrize("size", range(1, 75))
def test_a_cut_page_of_keys_is_not_taken_for_the_last(size):
    body = b'{"items": [{"private_key": "k", "value": "YQ==", "offset": 3}], "more": true, "end": 9}'
    store = PlatformStore(responding(200, body[:size]), Clock())
    assert result_of(store.newest("t", 0)).err_value.fault is LogFault.UNREADABLE


def test_an_append_is_sent_as_the_store_expects():
    requester = responding(200, b'{"offset": 840, "end": 842}')
    assert append(requester) == Ok(Appended(840, 842))
    assert requester.method == b"POST"
    assert requester.target == (
        b"/log-append?topic=t&part=3&producer=w&epoch=7&call_sequence=12"
    )
    assert requester.body == pack((b"ab", b"c"))


@pytest.mark.parametrize(
    ("requester", "fault"),
    [
        (responding(409, b'{"why": "fenced"}'), LogFault.FENCED),
        (responding(409, b'{"why": "seq", "call_sequence": 4}'), LogFault.OUT_OF_ORDER),
        (responding(412, b'{"end": 9}'), LogFault.MOVED_ON),
        (responding(429), LogFault.NOT_DONE),
        (responding(503), LogFault.NOT_DONE),
        (responding(507), LogFault.FULL),
        (responding(408), LogFault.NOT_DONE),
        (responding(400), LogFault.REJECTED),
        (responding(404), LogFault.REJECTED),
        (responding(413), LogFault.REJECTED),
        (responding(500), LogFault.FAILED),
        (responding(502), LogFault.FAILED),
        (responding(200, b"no json"), LogFault.UNREADABLE),
        (Requester(Err(NoResponse.SENT)), LogFault.UNKNOWN),
        (Requester(Err(NoResponse.TOO_LONG)), LogFault.UNREADABLE),
        (Requester(Err(NoResponse.BROKEN_OFF)), LogFault.FAILED),
        (Requester(Err(NoResponse.NOT_SENT)), LogFault.NOT_DONE),
    ],
)
def test_each_error_response_has_its_fault(requester, fault):
    assert append(requester).err_value.fault is fault


def test_records_are_read():
    body = (842).to_bytes(8, "big") + (0).to_bytes(8, "big") + pack((b"ab", b"c"))
    requester = responding(200, body)
    found = result_of(PlatformStore(requester, Clock()).read("t", 3, 840, 20.0))
    assert found == Ok(Records(840, (b"ab", b"c"), 842))
    assert requester.target.endswith(b"source=840&wait_ms=20000")
    assert requester.seconds > 20.0


def test_a_read_of_trimmed_records_reports_the_first_offset():
    requester = responding(410, b'{"first": 12}')
    problem = result_of(PlatformStore(requester, Clock()).read("t", 0, 3)).err_value
    assert (problem.fault, problem.offset) == (LogFault.GONE, 12)


def test_the_newest_value_of_each_key_is_read():
    body = (
        b'{"items":[{"private_key":"config","value":"aGk=","offset":4}],'
        b'"more":false,"end":6}'
    )
    page = result_of(
        PlatformStore(responding(200, body), Clock()).newest("keyed.op", 0)
    ).ok_value
    assert (page.items[0].key, page.items[0].value) == ("config", b"hi")
    assert (page.has_more, page.end) == (False, 6)


def test_a_group_is_joined_and_its_owners_are_read():
    body = b'{"generation":7,"ttl_ms":3000,"parts":[["work",3,840],["rest",5,0]]}'
    joined = PlatformStore(responding(200, body), Clock()).join(
        GroupName("g", ("work", "rest")), "m", 1.2, 6
    )
    assert result_of(joined) == Ok(
        Membership(7, (LogPartition("work", 3), LogPartition("rest", 5)))
    )
    rows = b'{"parts":[["work",3,"m",840]]}'
    owners = PlatformStore(responding(200, rows), Clock()).owners("g")
    assert result_of(owners) == Ok((Ownership(LogPartition("work", 3), "m"),))


def test_the_timeout_grows_after_a_heartbeat_without_response():
    requester = Requester(Err(NoResponse.SENT))
    store = PlatformStore(requester, Clock())
    timeouts = []
    for _ in range(3):
        store.join(GroupName("g", ("t",)), "m", 1.2, 0)
        timeouts.append(requester.seconds)
    assert timeouts == [
        MIN_JOIN_TIMEOUT_SECONDS,
        MAX_JOIN_TIMEOUT_SECONDS,
        MAX_JOIN_TIMEOUT_SECONDS,
    ]
    assert 2 * MAX_JOIN_TIMEOUT_SECONDS <= REQUEST_TIMEOUT_SECONDS
    requester.outcome = Err(NoResponse.NOT_SENT)
    store.join(GroupName("g", ("t",)), "m", 1.2, 0)
    assert requester.seconds == MAX_JOIN_TIMEOUT_SECONDS


def test_a_log_is_trimmed_before_an_offset():
    requester = responding(200)
    store = PlatformStore(requester, Clock())
    assert result_of(store.trim("t", 3, 840)) == Ok(None)
    assert requester.target == b"/log-trim?topic=t&part=3&before=840"


def test_the_first_timeout_of_an_append_is_short():
    requester = responding(200, b'{"offset": 0, "end": 1}')
    append(requester)
    assert requester.seconds == MIN_APPEND_TIMEOUT_SECONDS <= 0.25
