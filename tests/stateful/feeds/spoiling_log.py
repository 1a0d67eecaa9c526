"""A log service whose answers pass through the platform's dialect, with bad parts in them."""

import base64

import msgspec
from result import Err, Ok

from notcharch.events.feed_faults import FeedFaults
from notcharch.platform.log_answers import (
    decode_membership,
    decode_owners,
    decode_page,
)

FAULTS = FeedFaults("spoiled")


def with_part(items: list[bytes], part: bytes | None) -> bytes:
    """Return a JSON array of some items, and a bad one before them if there is one."""
    parts = items if part is None else [part, *items]
    return b"[%b]" % b",".join(parts)


class SpoilingLog:
    """A log in memory, read as a daemon reads the store's answers."""

    def __init__(self, log) -> None:
        self._log = log
        self.bad_item: bytes | None = None
        self.bad_row: bytes | None = None

    def __getattr__(self, name):
        return getattr(self._log, name)

    def newest(self, topic, partition, after=""):
        def spoil(page):
            items = [
                msgspec.json.encode(
                    {
                        "private_key": item.key,
                        "value": base64.b64encode(item.value).decode(),
                        "offset": item.offset,
                    }
                )
                for item in page.items
            ]
            more = msgspec.json.encode(page.has_more)
            body = b'{"items":%b,"more":%b,"end":%d}' % (
                with_part(items, self.bad_item),
                more,
                page.end,
            )
            return decode_page(body, FAULTS)

        return self._log.newest(topic, partition, after).addCallback(_convert, spoil)

    def join(self, *arguments):
        def spoil(joined):
            rows = [
                msgspec.json.encode((p.topic, p.number, 0)) for p in joined.partitions
            ]
            body = b'{"generation":%d,"parts":%b}' % (
                joined.generation,
                with_part(rows, self.bad_row),
            )
            return decode_membership(body, FAULTS)

        return self._log.join(*arguments).addCallback(_convert, spoil)

    def owners(self, group):
        def spoil(owners):
            rows = [
                msgspec.json.encode(
                    (o.partition.topic, o.partition.number, o.member, 0)
                )
                for o in owners
            ]
            return decode_owners(
                b'{"parts":%b}' % with_part(rows, self.bad_row), FAULTS
            )

        return self._log.owners(group).addCallback(_convert, spoil)


def _convert(result, convert):
    return result if isinstance(result, Err) else Ok(convert(result.ok_value))
