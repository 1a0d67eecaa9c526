"""Daemons that exchange loads, with a virtual clock, and engines that count their calls."""

from random import Random

from twisted.internet.task import Clock

from emulator.peers.fabric import MemoryFabric
from notcharch.accounts.messages import account_codec
from notcharch.engine_load.exchange import EngineLoadExchange
from notcharch.engine_load.messages import ENGINE_LOAD_MESSAGES
from notcharch.scheduling.load_trackers import TrackerElection
from notcharch.values.identifiers import DaemonName, Incarnation, Member, ZoneName

SERVICE = "model"
MOST_WAIT_SECONDS = 0.01 + 1e-9
"""The longest delay of a dispatch, with the rounding of clock seconds."""
SLOTS = 4


class Dispatch:
    """One request of loads, and what it came to."""

    def __init__(self, world: "LoadWorld") -> None:
        self._world = world
        self._began = world.clock.seconds()
        self.answers = 0
        self.loads = None
        self.wait_seconds = None

    def then(self, loads) -> None:
        self.answers += 1
        self.loads = dict(loads)
        self.wait_seconds = self._world.clock.seconds() - self._began


class Figures:
    """The slots and the mean run of every service, at all daemons."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.run_seconds: float | None = 0.2

    def engine_slots(self, service: str) -> int:
        return self.slots

    def mean_run_seconds(self, service: str) -> float | None:
        return self.run_seconds


class LoadWorld:
    """Daemons that start, crash, pause, and have views of the members."""

    def __init__(
        self, daemons: int = 36, engines: int = 12, seed: int = 1, run: float = 2.0
    ) -> None:
        self.clock = Clock()
        self.random = Random(seed)
        codec = account_codec(ENGINE_LOAD_MESSAGES)
        self.fabric = MemoryFabric(self.clock, Random(seed), encode=True, codec=codec)
        self.names = [f"d{number:03}" for number in range(daemons)]
        self.engines = {f"e{number:03}": SERVICE for number in range(engines)}
        self.views = dict.fromkeys(self.names, tuple(self.names))
        self.figures = Figures(max(min(SLOTS, daemons // 2), 1))
        self.exchanges: dict[str, EngineLoadExchange] = {}
        self.incarnations = dict.fromkeys(self.names, 0)
        self.busy = dict.fromkeys(self.engines, 0)
        """Calls that each engine really runs."""
        self.waits: list[float] = []
        self.unequal = 0
        """Calls that met a full engine while another was at most half full."""
        self.dispatched = 0
        self.highest = 0
        """Most calls that one engine ran at once."""
        self.paused: set[str] = set()
        for name in self.names:
            self.start(name)
        self.run(run)

    def start(self, name: str) -> None:
        """Start a process of a daemon; an older one crashes."""
        self.incarnations[name] += 1
        member = Member(DaemonName(name), Incarnation(self.incarnations[name]))
        daemon = self.fabric.join(member, ZoneName("z"))
        exchange = EngineLoadExchange(
            daemon.clock,
            Random(self.incarnations[name] * 1000 + self.names.index(name)),
            daemon.network,
            self.figures,
            members=lambda: self.views[name],
            engines=lambda: self.engines,
        )
        self.exchanges[name] = exchange
        exchange.start()

    def run(self, seconds: float) -> None:
        """Advance the clock from one due call to the next, so that none is late."""
        end = self.clock.seconds() + seconds
        while self.clock.calls and self.clock.calls[0].getTime() <= end:
            self.clock.rightNow = max(
                self.clock.rightNow, self.clock.calls[0].getTime()
            )
            self.clock.advance(0)
        self.clock.rightNow = end

    # The choice of trackers

    def election(self, name: str) -> TrackerElection:
        return TrackerElection(self.views[name])

    def trackers(self) -> tuple[str, ...]:
        return TrackerElection(tuple(self.names)).trackers(SERVICE)

    def tracker(self, engine: str) -> str:
        elected = TrackerElection(tuple(self.names)).tracker(SERVICE, engine)
        assert elected is not None
        return elected

    def engines_of(self, tracker: str) -> list[str]:
        return [engine for engine in self.engines if self.tracker(engine) == tracker]

    def others(self) -> list[str]:
        """Return the daemons that track nothing."""
        return [name for name in self.names if name not in self.trackers()]

    # Calls

    def request(self, name: str, cached: str = "") -> Dispatch:
        """Request loads; they arrive as the clock advances."""
        dispatch = Dispatch(self)
        self.exchanges[name].request(SERVICE, cached, dispatch.then)
        return dispatch

    def loads(self, name: str, cached: str = "") -> dict:
        """Return the calls in flight by engine that a daemon learns for a dispatch."""
        dispatch = self.request(name, cached)
        self.run(0.012)
        assert dispatch.answers == 1
        assert dispatch.wait_seconds <= MOST_WAIT_SECONDS
        return {engine: load.in_flight for engine, load in dispatch.loads.items()}

    def all_loads(self) -> dict:
        """Return what all trackers know, as seen by one daemon per tracker's engine."""
        asker = self.others()[0]
        found = {}
        for engine in self.engines:
            found.update(self.loads(asker, cached=engine))
        return found

    def start_call(self, name: str, engine: str) -> None:
        self.busy[engine] += 1
        self.exchanges[name].call_started(SERVICE, engine)

    def end_call(self, name: str, engine: str, interval: float | None = None) -> None:
        self.busy[engine] -= 1
        self.exchanges[name].call_ended(SERVICE, engine, interval)

    def traffic(self, kind: str, sender: str | None = None) -> int:
        """Return the messages of a type that were sent."""
        return sum(
            traffic.messages
            for (daemon, name), traffic in self.fabric.traffic.items()
            if name == kind and sender in (None, daemon)
        )

    # Load

    def offer(self, seconds: float, calls_per_second: float, run: float = 0.2) -> None:
        """Dispatch calls at random running daemons, each to the least loaded engine.

        Returns when all of them are dispatched.
        """
        end = self.clock.seconds() + seconds
        while True:
            pause = self.random.expovariate(calls_per_second)
            if self.clock.seconds() + pause >= end:
                break
            self.run(pause)
            self._dispatch(self.random.choice(self._running()), run)
        self.run(end - self.clock.seconds() + MOST_WAIT_SECONDS)

    def _running(self) -> list[str]:
        return [
            name
            for name in self.names
            if self.fabric.is_running(DaemonName(name)) and name not in self.paused
        ]

    def pause(self, name: str) -> None:
        self.paused.add(name)
        self.fabric.pause(DaemonName(name))

    def resume(self, name: str) -> None:
        self.paused.discard(name)
        self.fabric.resume(DaemonName(name))

    def _dispatch(self, name: str, run: float) -> None:
        began = self.clock.seconds()

        def choose(loads) -> None:
            self.waits.append(self.clock.seconds() - began)
            self._run_call(name, self._least_loaded(loads), run)

        self.exchanges[name].request(SERVICE, "", choose)

    def _least_loaded(self, loads) -> str:
        """Choose the least loaded engine, or one of unknown load if all others are full.

        If engines of unknown load got nothing at all, one lost tracker of three would
        make the load less even than no exchange does.
        """
        known = {engine: load.in_flight for engine, load in loads.items()}
        unknown = [engine for engine in self.engines if engine not in known]
        least = min(known.values(), default=SLOTS)
        if unknown and least >= SLOTS:
            return self.random.choice(unknown)
        return self.random.choice([e for e, calls in known.items() if calls == least])

    def _run_call(self, name: str, engine: str, run: float) -> None:
        self.dispatched += 1
        is_full = self.busy[engine] >= SLOTS
        if is_full and min(self.busy.values()) <= SLOTS / 2:
            self.unequal += 1
        exchange = self.exchanges[name]
        self.start_call(name, engine)
        self.highest = max(self.highest, self.busy[engine])

        def end() -> None:
            self.busy[engine] -= 1
            if self.exchanges[name] is exchange:
                exchange.call_ended(SERVICE, engine, 0.01)

        self.clock.callLater(self.random.uniform(0.5, 1.5) * run, end)
