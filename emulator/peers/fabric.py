"""The memory transport: many daemons in one process, with faults to order.

`MemoryFabric` makes for each daemon a `PeerNetwork`, a `DatagramPort` and a clock.
Peers are reachable by name unless they were forgotten.
"""

from collections.abc import Callable, Iterable
from random import Random

import msgspec
from twisted.internet.interfaces import IReactorTime

from emulator.peers.faults import FaultPlan, Link
from emulator.peers.network import MemoryDaemon
from emulator.peers.time import EventQueue
from notcharch.values.identifiers import DaemonName, Incarnation, Member, ZoneName
from notcharch.wire.codec import MessageCodec, default_codec

DATAGRAM = "datagram"
"""The name under which datagrams are counted."""


class Traffic(msgspec.Struct):
    """What one daemon sent of one message type; bytes only when encoding."""

    messages: int = 0
    bytes: int = 0


class MemoryFabric:
    """The daemons of a simulation and the links between them."""

    def __init__(
        self,
        clock: IReactorTime,
        random: Random,
        *,
        encode: bool = False,
        codec: MessageCodec | None = None,
    ) -> None:
        """With `encode`, messages pass the real codec and bytes are counted."""
        self.queue = EventQueue(clock)
        self.plan = FaultPlan(random)
        self.codec = (codec or default_codec()) if encode else None
        self.traffic: dict[tuple[DaemonName, str], Traffic] = {}
        self._daemons: dict[DaemonName, MemoryDaemon] = {}
        self._by_address: dict[str, MemoryDaemon] = {}

    def join(
        self, member: Member, zone: ZoneName, address: str | None = None
    ) -> MemoryDaemon:
        """Start a process; one of the same daemon that still runs is crashed."""
        if member.daemon in self._daemons:
            self.crash(member.daemon)
        daemon = MemoryDaemon(self, member, zone, address or f"{member.daemon}:1")
        self._daemons[member.daemon] = daemon
        self._by_address[daemon.address] = daemon
        return daemon

    def restart(self, name: DaemonName, incarnation: Incarnation) -> MemoryDaemon:
        """Start a new process of a daemon that is or was on the fabric."""
        old = self._daemons[name]
        return self.join(Member(name, incarnation), old.zone, old.address)

    def crash(self, name: DaemonName, *, silent: bool = False) -> None:
        """End a process. Peers see their connections break, unless `silent`."""
        crashed = self._daemons[name]
        if not self.is_running(name):
            return
        crashed.clock.stop()
        del self._by_address[crashed.address]
        if silent:
            return
        for peer in self._daemons.values():
            self._break_connection(crashed.member, peer)

    def _break_connection(self, crashed: Member, peer: MemoryDaemon) -> None:
        link = (crashed.daemon, peer.member.daemon)
        self.transmit(link, lambda: peer.network.connection_lost(crashed))

    def pause(self, name: DaemonName) -> None:
        """Stall a process: its timers and incoming messages wait."""
        self._daemons[name].clock.pause()

    def resume(self, name: DaemonName) -> None:
        """Wake a stalled process; everything that waited happens now."""
        self._daemons[name].clock.resume()

    def cut(
        self,
        sources: Iterable[DaemonName],
        destinations: Iterable[DaemonName],
        *,
        one_way: bool = False,
    ) -> None:
        """Let nothing pass from `sources` to `destinations` (nor back)."""
        links = [(s, d) for s in sources for d in destinations if s != d]
        if not one_way:
            links += [(d, s) for s, d in links]
        self.plan.cut(links, self.queue.seconds())

    def heal(self) -> None:
        """End every cut."""
        self.plan.heal()

    def names_in(self, zone: ZoneName) -> tuple[DaemonName, ...]:
        """Give the daemons of a zone, running or not."""
        return tuple(n for n, d in self._daemons.items() if d.zone == zone)

    def is_running(self, name: DaemonName) -> bool:
        """Tell whether a process of the daemon runs (perhaps paused)."""
        daemon = self._daemons.get(name)
        return daemon is not None and self._by_address.get(daemon.address) is daemon

    def running_names(self) -> tuple[DaemonName, ...]:
        """Give the daemons that run."""
        return tuple(name for name in self._daemons if self.is_running(name))

    def daemon(self, name: DaemonName) -> MemoryDaemon:
        """Give the daemon's latest process."""
        return self._daemons[name]

    def transmit(
        self, link: Link, deliver: Callable[[], None], *, ordered: bool = True
    ) -> None:
        """Run `deliver` in the destination's process when the link lets it through."""
        destination = self._daemons[link[1]]
        now = self.queue.seconds()
        for arrival in self.plan.arrivals(link, now, ordered=ordered):
            self.queue.schedule(
                arrival - now, lambda: destination.clock.run_or_hold(deliver)
            )

    def transmit_datagram(
        self, source: MemoryDaemon, address: str, payload: bytes
    ) -> None:
        """Carry a datagram to whatever process has the address."""
        self.count(source.member.daemon, DATAGRAM, len(payload))
        destination = self._by_address.get(address)
        if destination is None:
            return
        self.transmit(
            (source.member.daemon, destination.member.daemon),
            lambda: destination.datagrams.deliver(payload, source.address),
            ordered=False,
        )

    def count(self, sender: DaemonName, message_type: str, size: int) -> None:
        """Count a sent message."""
        traffic = self.traffic.setdefault((sender, message_type), Traffic())
        traffic.messages += 1
        traffic.bytes += size
