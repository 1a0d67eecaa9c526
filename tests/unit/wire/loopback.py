"""TCP without sockets: a reactor whose connections are pumped by the test."""

from twisted.internet.error import ConnectionRefusedError
from twisted.internet.task import Clock
from twisted.python.failure import Failure
from twisted.test.iosim import FakeTransport, IOPump

HIGH_WATER_BYTES = 65536


class LoopbackTransport(FakeTransport):
    """Pauses its producer like a real transport whose buffer is full."""

    buffered = 0

    def write(self, data):
        super().write(data)
        self.buffered += len(data)
        if self.buffered > HIGH_WATER_BYTES and self.producer is not None:
            self.producer.pauseProducing()

    def getOutBuffer(self):  # noqa: N802
        data = super().getOutBuffer()
        if self.buffered > HIGH_WATER_BYTES and self.producer is not None:
            self.buffered = 0
            self.producer.resumeProducing()
        self.buffered = 0
        return data


class LoopbackAddress:
    def __init__(self, port: int) -> None:
        self.port = port


class LoopbackPort:
    def __init__(self, reactor: "LoopbackReactor", number: int) -> None:
        self.reactor = reactor
        self.number = number

    def getHost(self):  # noqa: N802
        return LoopbackAddress(self.number)

    def stopListening(self):  # noqa: N802
        del self.reactor.listeners[self.number]


class LoopbackConnector:
    """A dial that is under way."""

    def __init__(self, reactor: "LoopbackReactor", port: int, factory) -> None:
        self.reactor = reactor
        self.port = port
        self.factory = factory
        self.call = None

    def getDestination(self):  # noqa: N802
        return LoopbackAddress(self.port)

    def stopConnecting(self):  # noqa: N802
        if self.call.active():
            self.call.cancel()

    def connect(self):
        listener = self.reactor.listeners.get(self.port)
        if listener is None:
            self.fail()
            return
        client = self.factory.buildProtocol(None)
        self.reactor.join(listener.buildProtocol(None), client)

    def fail(self):
        self.factory.clientConnectionFailed(self, Failure(ConnectionRefusedError()))


class LoopbackReactor:
    """Connects by port number; `stopped` connections carry nothing."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.listeners = {}
        self.pumps: list[IOPump] = []
        self.stopped: set[IOPump] = set()
        self.dials: list[float] = []
        self.black_hole = False
        self.last_port = 0

    def listenTCP(self, port, factory, backlog, interface):  # noqa: N802
        self.last_port += 1
        self.listeners[self.last_port] = factory
        return LoopbackPort(self, self.last_port)

    def connectTCP(self, host, port, factory, timeout, bindAddress):  # noqa: N802, N803
        self.dials.append(self.clock.seconds())
        connector = LoopbackConnector(self, port, factory)
        factory.startedConnecting(connector)
        if self.black_hole:
            connector.call = self.clock.callLater(timeout, connector.fail)
        else:
            connector.call = self.clock.callLater(0, connector.connect)

    def join(self, server, client):
        """Connect two protocols."""
        server_io = LoopbackTransport(server, True)
        client_io = LoopbackTransport(client, False)
        self.pumps.append(IOPump(client, server, client_io, server_io, False))
        server.makeConnection(server_io)
        client.makeConnection(client_io)

    def open_connections(self) -> list[IOPump]:
        return [
            pump
            for pump in self.pumps
            if not (pump.clientIO.disconnected and pump.serverIO.disconnected)
        ]

    def stop_all(self) -> None:
        """Cut every present connection silently."""
        self.stopped.update(self.pumps)

    def pump(self) -> None:
        """Carry bytes until everything is quiet at this time."""
        for _ in range(10_000):
            self.clock.advance(0)
            running = [pump for pump in self.pumps if pump not in self.stopped]
            moved = [pump.pump(advanceClock=False) for pump in running]
            for pump in self.stopped:
                _report_own_side(pump)
            due = [c for c in self.clock.calls if c.getTime() <= self.clock.seconds()]
            if not any(moved) and not due:
                return
        raise AssertionError("never quiet")

    def run(self, seconds: float, step: float = 0.05) -> None:
        end = self.clock.seconds() + seconds
        self.pump()
        while self.clock.seconds() < end - 1e-9:
            self.clock.advance(min(step, end - self.clock.seconds()))
            self.pump()


def _report_own_side(pump: IOPump) -> None:
    """On a cut connection a side that closes learns of nothing but its own end."""
    for io in (pump.clientIO, pump.serverIO):
        if io.disconnecting and not io.disconnected:
            io.disconnected = True
            io.reportDisconnect()
