"""A stand-in of the platform's store, as a process: `store.py HOST PORT PLATFORM_PORT`.

The first port serves the daemons. The second one is for the operator and the engines of
the case: `POST /write?topic=T&key=K` writes a key, `GET /counts` tells what was refused.
Limits are those of the settings: 262,144 bytes a record, 2 MiB a call, 400 MB in all.
"""

import asyncio
import base64
import contextlib
import json
import sys
import time
from collections import Counter, OrderedDict
from dataclasses import dataclass, field

from groups import Group, Part
from http11 import Request, answer_bytes, read_request

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
KEPT_BYTES = 400 * 1000 * 1000
READ_BYTES = 1024 * 1024
PAGE_ITEMS = 500
REMEMBERED_ANSWERS = 5
RETENTION_SECONDS = 300.0
PARTS = 12
ANSWER_SECONDS = 0.004
JSON = {"Content-Type": "application/json"}


@dataclass
class Producer:
    """The last append of a producer to one partition."""

    epoch: int
    sequence: int | None = None
    answers: OrderedDict[int, dict[str, int]] = field(default_factory=OrderedDict)


@dataclass
class Partition:
    """The records of one partition."""

    first: int = 0
    records: list[bytes] = field(default_factory=list)
    times: list[float] = field(default_factory=list)
    producers: dict[str, Producer] = field(default_factory=dict)
    newest: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    """Of a keyed topic: the value and the offset of each key."""
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        """The offset after the last record."""
        return self.first + len(self.records)


class RefusedError(Exception):
    """The call is answered with a failure."""

    def __init__(self, status: int, **details: object) -> None:
        """Answer with a status and a body."""
        super().__init__(status)
        self.status = status
        self.details = details


def unpack(body: bytes) -> list[bytes]:
    """Return the records of a call."""
    records: list[bytes] = []
    at = 0
    while at < len(body):
        start = at + 4
        at = start + int.from_bytes(body[at:start], "big")
        records.append(body[start:at])
    return records


def pack(records: list[bytes]) -> bytes:
    """Return records, each with its length."""
    return b"".join(len(record).to_bytes(4, "big") + record for record in records)


class Store:
    """The log, its keyed topics and its groups."""

    def __init__(self) -> None:
        """Start empty."""
        self._partitions: dict[Part, Partition] = {}
        self._groups: dict[str, Group] = {}
        self._kept = 0
        self.refused: Counter[str] = Counter()
        self.largest_refused = 0

    def _partition(self, topic: str, part: int) -> Partition:
        return self._partitions.setdefault((topic, part), Partition())

    def _place(self, request: Request) -> tuple[str, Partition]:
        topic = request.query["topic"]
        return topic, self._partition(topic, int(request.query["part"]))

    # Appends

    def append(self, request: Request) -> bytes:
        """Append records, all or none."""
        topic, partition = self._place(request)
        if topic == "keyed.servers":
            raise RefusedError(403)
        records = unpack(request.body)
        largest = max(map(len, records), default=0)
        if largest > RECORD_BYTES or len(request.body) > CALL_BYTES:
            self.largest_refused = max(self.largest_refused, largest)
            raise RefusedError(413, why="size")
        if request.query.get("at", str(partition.end)) != str(partition.end):
            raise RefusedError(412, end=partition.end)
        producer = self._producer(request, partition)
        sequence = int(request.query.get("call_sequence", 0))
        if producer is not None and sequence in producer.answers:
            return json.dumps(producer.answers[sequence]).encode()
        if records and self._kept + len(request.body) > KEPT_BYTES:
            raise RefusedError(507, why="full")
        offset = partition.end
        for record in records:
            self._add(topic, partition, record)
        answer = {"offset": offset, "end": partition.end}
        if producer is not None and records:
            producer.sequence = sequence
            producer.answers[sequence] = answer
            if len(producer.answers) > REMEMBERED_ANSWERS:
                producer.answers.popitem(last=False)
        return json.dumps(answer).encode()

    def _producer(self, request: Request, partition: Partition) -> Producer | None:
        """Check the epoch and the sequence number of an append."""
        name = request.query.get("producer", "")
        if not name:
            return None
        epoch = int(request.query["epoch"])
        sequence = int(request.query["call_sequence"])
        known = partition.producers.get(name)
        if known is not None and epoch < known.epoch:
            raise RefusedError(409, why="fenced")
        if known is None or epoch > known.epoch:
            known = partition.producers[name] = Producer(epoch)
        last = known.sequence
        is_next = last is None or sequence == last + 1
        if request.body and not is_next and sequence not in known.answers:
            raise RefusedError(
                409, why="seq", call_sequence=0 if last is None else last + 1
            )
        return known

    def _add(self, topic: str, partition: Partition, record: bytes) -> None:
        if topic.startswith("keyed."):
            key = record[1 : 1 + record[0]].decode()
            value = record[1 + record[0] :]
            partition.newest.pop(key, None)
            if value:
                partition.newest[key] = (value, partition.end)
        partition.records.append(record)
        partition.times.append(time.monotonic())
        self._kept += len(record)
        partition.changed.set()
        partition.changed = asyncio.Event()
        self._drop_old(partition)

    def _drop_old(self, partition: Partition) -> None:
        limit = time.monotonic() - RETENTION_SECONDS
        while partition.times and partition.times[0] < limit:
            self._drop(partition, 1)

    def _drop(self, partition: Partition, count: int) -> None:
        self._kept -= sum(map(len, partition.records[:count]))
        del partition.records[:count], partition.times[:count]
        partition.first += count

    def write_key(self, topic: str, key: str, value: bytes) -> None:
        """Write a key for the operator or an engine."""
        record = bytes((len(key),)) + key.encode() + value
        self._add(topic, self._partition(topic, 0), record)

    def trim(self, request: Request) -> bytes:
        """Drop the records before an offset."""
        _, partition = self._place(request)
        count = int(request.query["before"]) - partition.first
        self._drop(partition, max(0, min(count, len(partition.records))))
        return b"{}"

    # Reads

    async def read(self, request: Request) -> bytes:
        """Read records from an offset, and wait for the first one if asked to."""
        _, partition = self._place(request)
        source = int(request.query["source"])
        wait = int(request.query.get("wait_ms", 0)) / 1000
        if source >= partition.end and wait:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(partition.changed.wait(), wait)
        if source < partition.first:
            raise RefusedError(410, first=partition.first)
        found: list[bytes] = []
        size = 0
        for record in partition.records[source - partition.first :]:
            size += len(record)
            if found and size > READ_BYTES:
                break
            found.append(record)
        ends = partition.end.to_bytes(8, "big") + partition.first.to_bytes(8, "big")
        return ends + pack(found)

    def newest(self, request: Request) -> bytes:
        """Return a page of the newest value of each key."""
        _, partition = self._place(request)
        after = request.query.get("after", "")
        keys = sorted(key for key in partition.newest if key > after)
        items = [
            {
                "private_key": key,
                "value": base64.b64encode(partition.newest[key][0]).decode(),
                "offset": partition.newest[key][1],
            }
            for key in keys[:PAGE_ITEMS]
        ]
        more = len(keys) > PAGE_ITEMS
        page = {"items": items, "more": more, "end": partition.end}
        return json.dumps(page).encode()

    # Groups

    def _group(self, name: str) -> Group:
        group = self._groups.setdefault(name, Group())
        group.expire(time.monotonic())
        return group

    def join(self, request: Request) -> bytes:
        """Join a group."""
        call = json.loads(request.body)
        group = self._group(call["group"])
        group.parts = [(topic, n) for topic in call["topics"] for n in range(PARTS)]
        until = time.monotonic() + call["ttl_ms"] / 1000
        parts = group.join(call["member"], until, call["generation"])
        rows = [[topic, number, 0] for topic, number in parts]
        return json.dumps({"generation": group.generation, "parts": rows}).encode()

    def leave(self, request: Request) -> bytes:
        """Leave a group."""
        call = json.loads(request.body)
        self._group(call["group"]).remove(call["member"])
        return b"{}"

    def owners(self, request: Request) -> bytes:
        """Return the holder of each partition."""
        holders = self._group(request.query["group"]).holders
        rows = [[topic, number, who, 0] for (topic, number), who in holders.items()]
        return json.dumps({"parts": rows}).encode()

    # Connections

    async def answer(self, request: Request) -> bytes:
        """Answer one call of a daemon."""
        await asyncio.sleep(ANSWER_SECONDS)
        if request.path == "/log-read":
            return await self.read(request)
        calls = {
            "/log-append": self.append,
            "/log-trim": self.trim,
            "/log-newest": self.newest,
            "/log-join": self.join,
            "/log-leave": self.leave,
            "/log-owners": self.owners,
        }
        if request.path not in calls:
            raise RefusedError(404)
        return calls[request.path](request)

    async def answer_platform(self, request: Request) -> bytes:
        """Answer the operator, an engine or the case."""
        if request.path == "/write":
            self.write_key(request.query["topic"], request.query["key"], request.body)
            return b"{}"
        counts = {
            "refused": dict(self.refused),
            "largest_refused_record": self.largest_refused,
            "kept_bytes": self._kept,
        }
        return json.dumps(counts).encode()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_platform: bool,
    ) -> None:
        """Serve one connection."""
        try:
            while True:
                request = await read_request(reader)
                answering = self.answer_platform if is_platform else self.answer
                try:
                    status, body = 200, await answering(request)
                except RefusedError as refused:
                    status, body = refused.status, json.dumps(refused.details).encode()
                    self.refused[f"{request.path} {status}"] += 1
                writer.write(answer_bytes(status, body, JSON))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def main(host: str, port: int, platform_port: int) -> None:
    """Serve until the process is ended."""
    store = Store()
    limit = 2 * CALL_BYTES
    daemons = await asyncio.start_server(
        lambda r, w: store.serve(r, w, is_platform=False), host, port, limit=limit
    )
    await asyncio.start_server(
        lambda r, w: store.serve(r, w, is_platform=True),
        host,
        platform_port,
        limit=limit,
    )
    await daemons.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2]), int(sys.argv[3])))
