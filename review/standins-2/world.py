"""A small deployment on loopback addresses: a store, engines and daemons for a script.

The store is the project's stand-in, behind HTTP, in a thread of this process. Engines are
written here, so that a script decides on every byte. Daemons are processes that run the
command of the deploy file.
"""

import contextlib
import json
import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from random import Random, SystemRandom
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT)]

from twisted.internet import reactor as _reactor  # noqa: E402

from deploy.soak.store_server import StoreServer  # noqa: E402
from notcharch.http.server import ServerFactory  # noqa: E402
from notcharch.journal.keyed_follower import join_keyed  # noqa: E402

reactor: Any = _reactor
HOST = "127.0.0.1"
HOST_NAME = "review.example"
PARTITIONS = 12
HEARTBEAT_SECONDS = 1.2
DROP_INTERVAL_SECONDS = 0.1
MAX_CASE_SECONDS = 112.0
PORTS = range(15_000, 32_000)
given_ports: set[int] = set()
HELD = 0
FAILED = 1
NOT_RUN = 2
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
Headers = dict[str, str]


class CannotRunError(Exception):
    """The case could not be played, so it shows nothing."""


class Record:
    """What was sent, answered and run, in `record.txt`."""

    def __init__(self, folder: Path) -> None:
        """Begin an empty file."""
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()
        self._lock = threading.Lock()

    def note(self, text: str) -> None:
        """Add a line, with the seconds since the start."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began:8.3f}  {text}\n")
            self._file.flush()


def free_port() -> int:
    """Return a port that nobody uses now, below those of outgoing connections."""
    while True:
        port = SystemRandom().choice(PORTS)
        if port in given_ports:
            continue
        with socket.socket() as opened, contextlib.suppress(OSError):
            opened.bind((HOST, port))
            given_ports.add(port)
            return port


class Store:
    """The platform's store, which drops records by their age."""

    def __init__(self, retention_seconds: float) -> None:
        """Listen; records of topics without keys go after `retention_seconds`."""
        self._retention_seconds = retention_seconds
        self._server = StoreServer(reactor, Random(1), PARTITIONS)
        self._ages: dict[tuple[str, int], list[tuple[float, int]]] = {}
        factory = ServerFactory(self._server, reactor)
        listening = reactor.listenTCP(0, factory, interface=HOST)
        self.port = int(listening.getHost().port)
        reactor.callWhenRunning(self._drop_old)
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        reactor.run(installSignalHandlers=False)

    def write_key(self, topic: str, key: str, value: bytes) -> None:
        """Write a key of a keyed topic, as the operator or an engine does."""
        record = join_keyed(key, value)
        reactor.callFromThread(self._server.log.put, topic, 0, record)

    def _drop_old(self) -> None:
        """Drop the records that were appended before the retention time.

        The ends of the partitions are noted at intervals, so a record goes when it is
        older than the retention, and never before.
        """
        now = reactor.seconds()
        for place, partition in self._server.log._partitions.items():
            if place[0].startswith("keyed."):
                continue
            ages = self._ages.setdefault(place, [])
            while ages and now - ages[0][0] > self._retention_seconds:
                partition.drop_before(ages.pop(0)[1])
            ages.append((now, partition.end))
        reactor.callLater(DROP_INTERVAL_SECONDS, self._drop_old)


class Request:
    """A request as an engine received it."""

    def __init__(self, line: str, headers: Headers, body: bytes) -> None:
        """Hold its parts; the names of headers are in lower case."""
        self.method, self.target, _ = line.split(" ", 2)
        self.headers = headers
        self.body = body

    @property
    def id(self) -> str:
        """The id of the caller's attempt; empty if it has none."""
        return self.headers.get("x-notcharch-request-id", "")


def read_message(stream: Any) -> tuple[str, Headers, bytes] | None:
    """Read a message with a length, or in chunks; None at the end of the connection."""
    first = stream.readline()
    if not first:
        return None
    headers: Headers = {}
    while True:
        line = stream.readline()
        if not line:
            return None
        if line in (b"\r\n", b"\n"):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    text = first.decode("latin-1").strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return _read_chunks(stream, text, headers)
    length = int(headers.get("content-length", "0"))
    body = stream.read(length)
    return (text, headers, body) if len(body) == length else None


def _read_chunks(
    stream: Any, text: str, headers: Headers
) -> tuple[str, Headers, bytes] | None:
    body = b""
    while True:
        line = stream.readline()
        if not line.strip():
            return None
        size = int(line, 16)
        data = stream.read(size)
        if len(data) < size or not stream.readline():
            return None
        if not size:
            return text, headers, body
        body += data


def response(status: int, headers: Headers, body: bytes = b"") -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class EngineConnection:
    """A connection to an engine; a script's handler writes to it."""

    def __init__(self, opened: socket.socket) -> None:
        """Read requests from a socket."""
        self.socket = opened
        self.notes: dict[str, Any] = {}
        """What the handler remembers of the connection."""

    def write(self, data: bytes) -> None:
        """Send bytes."""
        self.socket.sendall(data)

    def end(self) -> None:
        """Close the connection."""
        self.socket.shutdown(socket.SHUT_RDWR)


Handler = Callable[["Engine", EngineConnection, Request], None]


def stream_handler(record: Record, events: int, event_seconds: float) -> Handler:
    """Return a handler that answers each request with a whole stream of events."""

    def handle(
        engine: "Engine", connection: EngineConnection, request: Request
    ) -> None:
        record.note(f"{engine.id} runs {request.id} of {len(request.body)} bytes")
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Notcharch-Request-Id: {request.id}\r\n"
            f"X-Notcharch-Response-Seal: seal-{request.id}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        connection.write(head.encode())
        for number in range(1, events + 1):
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            connection.write(b"%x\r\n%b\r\n" % (len(event), event))
            time.sleep(event_seconds)
        connection.write(b"0\r\n\r\n")

    return handle


class Engine:
    """An engine: a port, an entry in the store, and a handler of its requests."""

    def __init__(
        self, store: Store, service: str, id: str, handler: Handler, **entry: object
    ) -> None:
        """Listen, and be listed with the fields of `entry` beside the usual ones."""
        self.id = id
        self._store = store
        self._handler = handler
        self._listening = socket.create_server((HOST, 0), backlog=128)
        self.port = int(self._listening.getsockname()[1])
        self.entry = {
            "service": service,
            "address": f"{HOST}:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            **entry,
        }
        self._beats = 0
        self._is_listed = True
        self._connections: set[EngineConnection] = set()
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def leave(self) -> None:
        """Say at once that this engine leaves; it serves on."""
        self.entry["state"] = "draining"
        self._write_entry()

    def end(self) -> None:
        """End the process of the engine: its entry goes, and its connections close."""
        self._is_listed = False
        self._store.write_key("keyed.servers", self.id, b"")
        self._listening.close()
        for connection in tuple(self._connections):
            with contextlib.suppress(OSError):
                connection.end()

    def _beat(self) -> None:
        while self._is_listed:
            self._write_entry()
            time.sleep(HEARTBEAT_SECONDS)

    def _write_entry(self) -> None:
        self._beats += 1
        entry = {**self.entry, "call_sequence": self._beats}
        self._store.write_key("keyed.servers", self.id, json.dumps(entry).encode())

    def _accept(self) -> None:
        while self._is_listed:
            try:
                opened, _ = self._listening.accept()
            except OSError:
                return
            opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(opened,), daemon=True).start()

    def _serve(self, opened: socket.socket) -> None:
        connection = EngineConnection(opened)
        self._connections.add(connection)
        try:
            stream = opened.makefile("rb")
            while (message := read_message(stream)) is not None:
                self._handle(connection, Request(*message))
        except (OSError, ValueError):
            pass
        finally:
            self._connections.discard(connection)
            opened.close()

    def _handle(self, connection: EngineConnection, request: Request) -> None:
        expected = request.headers.get("x-notcharch-expect-instance", self.id)
        if expected != self.id:
            headers = {"X-Notcharch-Request-Id": request.id} if request.id else {}
            connection.write(response(421, headers))
            return
        self._handler(self, connection, request)


class Daemon:
    """A daemon of the deploy file as a process."""

    def __init__(
        self, store: Store, folder: Path, name: str, settings: dict[str, object]
    ) -> None:
        """Write the settings file; `start` runs the process."""
        self.name = name
        self.front, self.readiness = free_port(), free_port()
        self._metrics, self._folder = free_port(), folder
        first = free_port()
        fields: dict[str, object] = {
            "node_name": name,
            "role": "notcharch",
            "machine_class": "front",
            "serves": "front",
            "ip_address": HOST,
            "zone": "zone-a",
            "region": "region-a",
            "zones.zone-a": "region-a",
            "listen_addresses.front": f"{HOST}:{self.front}",
            "listen_addresses.readiness": f"{HOST}:{self.readiness}",
            "internal_port_range": f"{first},{first}",
            "limits.memory_mb": 260,
            "limits.file_descriptors": 8200,
            "heartbeat_interval_ms": int(HEARTBEAT_SECONDS * 1000),
            "contracts": "base,drain,config,cost,recover,agent,stream,engine,platform",
            "bounds.contact_ms": 3000,
            "bounds.drain_ms": 2000,
            "bounds.grace_period_s": 8,
            "bounds.recovery_s": 12,
            "platform.address": f"{HOST}:{store.port}",
            "platform.form": "log",
            "platform.writes_per_s": 800,
            "platform.reads_per_s": 2000,
            "platform.parts": PARTITIONS,
            "platform.record_bytes": 262144,
            "platform.call_bytes": 2097152,
            "platform.part_mb": 200,
            "platform.ttl_min_ms": 1000,
            **settings,
        }
        self._settings = folder / f"{name}.conf"
        lines = (f"{key}={value}\n" for key, value in fields.items())
        self._settings.write_text("".join(lines))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        system = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = shlex.split(system["roles"]["notcharch"]["run"])
        words[words.index("--metrics-port") + 1] = str(self._metrics)
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "NOTCHARCH_NODE_FILE": str(self._settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with (self._folder / f"{self.name}.log").open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, *words[1:]],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once, and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def is_ready(self) -> bool:
        """Return whether the readiness probe gets 200."""
        try:
            return (
                call(self.readiness, "GET", "/readiness", {}, seconds=1.0).status == 200
            )
        except OSError:
            return False

    def wait_until_ready(self, seconds: float = 20.0) -> None:
        """Wait for the first 200 of the readiness probe."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.is_ready():
                return
            time.sleep(0.1)
        raise CannotRunError(f"{self.name} did not become ready")


class Answer:
    """The answer to a client's request."""

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        """Hold its parts; the status is 0 if the connection ended without an answer."""
        self.status = status
        self.headers = headers
        self.body = body


NO_ANSWER = Answer(0, {}, b"")


def send(
    opened: socket.socket, method: str, path: str, headers: Headers, body: bytes = b""
) -> None:
    """Send a request on a connection."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST_NAME}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    opened.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


def receive(stream: Any) -> Answer:
    """Read the answer on a connection."""
    try:
        message = read_message(stream)
    except (OSError, ValueError):
        return NO_ANSWER
    if message is None:
        return NO_ANSWER
    text, headers, body = message
    return Answer(int(text.split(" ")[1]), headers, body)


def call(
    port: int,
    method: str,
    path: str,
    headers: Headers,
    *,
    body: bytes = b"",
    seconds: float = 5.0,
) -> Answer:
    """Send one request on a new connection, and return its answer."""
    with socket.create_connection((HOST, port), timeout=1.0) as opened:
        opened.settimeout(seconds)
        send(opened, method, path, headers, body)
        return receive(opened.makefile("rb"))


class World:
    """The store, the daemons, and the record of one case."""

    def __init__(self, folder: Path, retention_seconds: float = 300.0) -> None:
        """Start the store."""
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self._retention_seconds = retention_seconds
        self.store = Store(retention_seconds)
        self.daemons: list[Daemon] = []

    def configure(self, version: int, routes: list[Any], services: list[Any]) -> None:
        """Publish a configuration."""
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        whole = {
            "version": version,
            "routes": [{"host": HOST_NAME, **route} for route in routes],
            "services": services,
            "limits": limits,
        }
        self.store.write_key("keyed.op", "config", json.dumps(whole).encode())

    def start_daemons(self, count: int, **settings: object) -> None:
        """Start daemons, and wait until they are ready."""
        fields = {"platform.retention_s": f"{self._retention_seconds:g}", **settings}
        for number in range(1, count + 1):
            name = f"front-{number}"
            self.daemons.append(Daemon(self.store, self.folder, name, fields))
        for daemon in self.daemons:
            daemon.start()
        for daemon in self.daemons:
            daemon.wait_until_ready()

    def close(self) -> None:
        """End all daemons."""
        for daemon in self.daemons:
            daemon.kill()
        self._temporary.cleanup()


def give_up(world: World) -> None:
    """End a case that takes too long, or is told to end: it shows nothing."""
    world.record.note("the case was given up")
    world.close()
    os._exit(NOT_RUN)


def play(folder: Path, case: Callable[[World], bool], retention: float = 300.0) -> None:
    """Play a case, and exit with 1 if `case` returns False, 0 if True, 2 if it can't run."""
    status = NOT_RUN
    world = World(folder, retention)
    watchdog = threading.Timer(MAX_CASE_SECONDS, give_up, (world,))
    watchdog.daemon = True
    watchdog.start()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: give_up(world))
    try:
        status = HELD if case(world) else FAILED
    except Exception as error:  # a case that can't run shows nothing
        world.record.note(f"the case could not run: {error!r}")
        sys.stderr.write(f"the case could not run: {error!r}\n")
    finally:
        world.close()
    world.record.note(f"exit status {status}")
    os._exit(status)
