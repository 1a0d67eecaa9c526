"""Items and rows of the store's answers that can't be read, beside good ones."""

import msgspec
import pytest

from notcharch.events import process
from notcharch.events.feed_faults import FeedFaults
from notcharch.journal.interface import KeyedRecord, LogPartition
from notcharch.journal.paged_snapshot import PagedSnapshot
from notcharch.platform.log_answers import (
    decode_membership,
    decode_owners,
    decode_page,
)
from notcharch.values.decoding import DECODING_ERRORS
from tests.unit.events.capture import captured, of

NESTED = b"[" * 60_000 + b"]" * 60_000
GOOD_ITEM = b'{"private_key":"a","value":"aGk=","offset":4}'
BAD_ITEMS = {
    b"null": (),
    b"{}": (),
    b"[1]": (),
    NESTED: (),
    b'{"private_key":5,"value":"aGk=","offset":4}': (),
    b'{"private_key":"b","value":"!","offset":4}': ("b",),
    b'{"private_key":"b","offset":4}': ("b",),
    b'{"private_key":"b","value":"aGk=","offset":1e400}': ("b",),
    b'{"private_key":"b","value":"aGk=","offset":4,"x":' + NESTED + b"}": ("b",),
}
BAD_ROWS = [b"null", b"{}", b"[]", b'["t"]', b'["t","x",0]', b"[5,1,0]", NESTED]


def page(item: bytes, more: bytes = b"false") -> bytes:
    return b'{"items":[%b,%b],"more":%b,"end":9}' % (item, GOOD_ITEM, more)


@pytest.mark.parametrize(
    ("item", "keys"), BAD_ITEMS.items(), ids=lambda v: repr(v)[:40]
)
def test_an_item_that_cannot_be_read_costs_that_item_alone(item, keys):
    with captured() as messages:
        read = decode_page(page(item), FeedFaults("t"))
    assert read.items == (KeyedRecord("a", b"hi", 4),)
    assert (read.unreadable_keys, read.has_more, read.end) == (keys, False, 9)
    assert len(of(messages, process.PartSkipped)) == 1


@pytest.mark.parametrize(
    "body",
    [
        b"null",
        b"{}",
        b'{"items":[],"more":false}',
        b'{"items":[],"more":0,"end":1}',
        b'{"items":[{},"more":false,"end":1}',
        NESTED,
    ],
    ids=lambda v: repr(v)[:40],
)
def test_a_page_that_tells_nothing_is_not_read(body):
    with pytest.raises(DECODING_ERRORS):
        decode_page(body, FeedFaults("t"))


def test_a_key_keeps_its_value_while_the_next_one_cannot_be_read():
    snapshot = PagedSnapshot({"b": b"old", "c": b"gone"})
    item = b'{"private_key":"b","value":"!","offset":4}'
    snapshot.add_page(decode_page(page(item), FeedFaults("t")))
    assert snapshot.values == {"a": b"hi", "b": b"old"}


def test_the_next_page_follows_a_last_key_without_a_readable_value():
    snapshot = PagedSnapshot({})
    item = b'{"private_key":"b","value":"!","offset":4}'
    snapshot.add_page(decode_page(page(item, b"true"), FeedFaults("t")))
    assert (snapshot.after, snapshot.is_complete) == ("b", False)


@pytest.mark.parametrize("row", BAD_ROWS, ids=lambda v: repr(v)[:40])
def test_a_row_that_cannot_be_read_costs_that_row_alone(row):
    joined = decode_membership(
        b'{"generation":7,"parts":[%b,["t",3,0]]}' % row, FeedFaults("g")
    )
    assert joined.partitions == (LogPartition("t", 3),)
    assert (joined.generation, joined.is_whole) == (7, False)
    owners = decode_owners(b'{"parts":[%b,["t",3,"m",0]]}' % row, FeedFaults("g"))
    assert [owner.partition for owner in owners] == [LogPartition("t", 3)]


def test_an_answer_that_can_be_read_is_whole():
    body = msgspec.json.encode({"generation": 7, "parts": [["t", 3, 0]]})
    assert decode_membership(body, FeedFaults("g")).is_whole
