"""The daemons: their ports, settings files, logs and processes."""

from pathlib import Path
from random import Random

from deploy.soak.ends import ProcessEnd
from deploy.soak.link_proxy import LinkFault, LinkProxy
from deploy.soak.ports import (
    LOW_PORTS,
    HoldKind,
    PortHold,
    UsedPorts,
    free_ports,
    hold_port,
)
from deploy.soak.process import DaemonProcess
from deploy.soak.settings import (
    DRAIN_SECONDS,
    GRACE_SECONDS,
    HOST,
    LOG_RETENTIONS,
    PARTITIONS,
)
from deploy.soak.settings_file import SettingsFault, SettingsFile
from deploy.soak.tenants import (
    OVER_SHARE,
    REVOKE_SECONDS,
    SLACK_CALLS,
    WINDOW_SECONDS,
)
from deploy.soak.zones import COLD_FACTOR, COLD_SLACK, REGION_OF
from notcharch.journal.interface import LogLimits

MEMORY_MEGABYTES = 128
MILLISECONDS = 1000
ALL_CONTRACTS = "base,tenants,quota,pressure"
"""Switch on the reserve of limits and early refusals in outages."""
PEER_PORTS = 3
"""Ports of the range at which a daemon may listen for its peers."""
TRACEBACK = "Traceback (most recent call last)"


class SoakDaemon:
    """One daemon, and its way to the store."""

    def __init__(
        self,
        name: str,
        folder: Path,
        store: LinkProxy,
        ports: range = LOW_PORTS,
        *,
        peers: list[int] | None = None,
        log_retention: float = LOG_RETENTIONS[-1],
        contracts: str = ALL_CONTRACTS,
    ) -> None:
        """Write its settings file; nothing runs yet.

        `peers` is a range that it shares with other daemons; without one it has its own.
        The store keeps records for `log_retention` seconds.
        """
        self._log_retention = log_retention
        self._contracts = contracts
        self.name = name
        self.store = store
        self.front, self.readiness, self.metrics = (
            free_ports(1, ports)[0] for _ in range(3)
        )
        self.peers = peers or free_ports(PEER_PORTS, ports)
        self.settings = SettingsFile(folder / f"{name}.conf", self._text())
        self._log = folder / f"{name}.log"
        self._process: DaemonProcess | None = None
        self._former: list[DaemonProcess] = []
        """Processes that still drain, although another one was started."""
        self.holds: list[PortHold] = []
        """Ports that the soak holds."""
        self.ends: list[ProcessEnd] = []
        """Of all its processes."""
        self._new_ends: list[ProcessEnd] = []
        self.overruns: list[str] = []
        """Processes that lived at the end of their grace periods."""
        self.is_ready = False
        """Whether the last probe was answered with 200."""
        self.interruptions = 0
        """How often a process was killed, paused, told to stop, or ended."""
        self.peak_megabytes = 0
        """The most memory that any of its processes had."""

    def _text(self) -> str:
        fields = {
            "node_name": self.name,
            "ip_address": HOST,
            "zone": "zone-a",
            "listen_addresses.front": f"{HOST}:{self.front}",
            "listen_addresses.readiness": f"{HOST}:{self.readiness}",
            "internal_port_range": f"{self.peers[0]},{self.peers[-1]}",
            "platform.address": f"{HOST}:{self.store.port}",
            "platform.parts": PARTITIONS,
            "platform.record_bytes": LogLimits().record_bytes,
            "platform.call_bytes": LogLimits().call_bytes,
            "contracts": self._contracts,
            "limits.memory_mb": MEMORY_MEGABYTES,
            "platform.retention_s": f"{self._log_retention:g}",
            "bounds.grace_period_s": GRACE_SECONDS,
            "bounds.drain_ms": int(DRAIN_SECONDS * MILLISECONDS),
            "bounds.strict_revocation": "true",
            "bounds.revoke_ms": int(REVOKE_SECONDS * MILLISECONDS),
            "bounds.quota_window_s": WINDOW_SECONDS,
            "bounds.quota_over": OVER_SHARE,
            "bounds.quota_slack": SLACK_CALLS,
            "bounds.cold_over": COLD_FACTOR,
            "bounds.cold_slack": COLD_SLACK,
            **{f"zones.{zone}": region for zone, region in REGION_OF.items()},
        }
        return "".join(f"{key}={value}\n" for key, value in fields.items())

    # Its processes

    def start(self) -> None:
        """Start the process, if it doesn't run."""
        if not self.is_running:
            self._spawn()

    def start_next(self) -> None:
        """Start the next process while the former one still drains."""
        if self._process is not None and self.is_stopping:
            self._former.append(self._process)
            self._process = None
        self.start()

    def _spawn(self) -> None:
        self.collect_ends()
        self.is_ready = False
        self._process = DaemonProcess(
            self.name, self.metrics, self.settings.path, self._log
        )

    @property
    def is_running(self) -> bool:
        """Whether the newest process lives, paused or not."""
        return self._process is not None and self._process.is_running

    @property
    def is_stopping(self) -> bool:
        """Whether the newest process was told to stop, and has not ended."""
        return self._process is not None and self._process.is_stopping

    @property
    def is_in_service(self) -> bool:
        """Whether it serves callers, and was not told to stop."""
        return self.is_ready and self.is_running and not self.is_stopping

    @property
    def process_id(self) -> int:
        """The id of the newest process; 0 without one."""
        return 0 if self._process is None else self._process.pid

    def collect_ends(self) -> None:
        """Note the processes that ended, and end those that outlive their grace period."""
        processes = [*self._former, self._process]
        for process in processes:
            if process is None:
                continue
            if process.is_overdue:
                self._end_overdue(process)
            end = process.end()
            if end is not None:
                self.ends.append(end)
                self._new_ends.append(end)
                self._forget(process)
                self.interruptions += 1

    def take_new_ends(self) -> list[ProcessEnd]:
        """Return the ends since the last call."""
        self.collect_ends()
        taken, self._new_ends = self._new_ends, []
        return taken

    def _end_overdue(self, process: DaemonProcess) -> None:
        if process.overran:
            self.overruns.append(process.describe_overrun())
        process.kill()

    def _forget(self, process: DaemonProcess) -> None:
        if process is self._process:
            self._process = None
        else:
            self._former.remove(process)

    def look(self) -> None:
        """Note what the kernel tells of its processes, and the peaks of their memory."""
        for process in (*self._former, self._process):
            if process is not None:
                peak = process.look()
                self.peak_megabytes = max(self.peak_megabytes, peak)

    def logged_exceptions(self) -> int:
        """Return how many exceptions of the program its log tells of."""
        return self._log.read_text(errors="replace").count(TRACEBACK)

    def kill(self) -> None:
        """End the newest process at once."""
        self.interruptions += 1
        if self._process is not None:
            self._process.kill()

    def kill_all(self) -> None:
        """End every process, and give all ports back."""
        for process in (*self._former, self._process):
            if process is not None:
                process.kill()
        self.collect_ends()
        self.release_ports()

    def terminate(self) -> None:
        """Tell the newest process to stop."""
        if self._process is not None:
            self._process.terminate()

    def pause(self) -> None:
        """Let the newest process stand still."""
        self.interruptions += 1
        if self._process is not None:
            self._process.pause()

    def resume(self) -> None:
        """Let all processes go on."""
        self.interruptions += 1
        for process in (*self._former, self._process):
            if process is not None and process.is_paused:
                process.resume()

    def reload(self) -> None:
        """Tell the newest process that its settings changed."""
        if self._process is not None:
            self._process.reload()

    # Its ports

    @property
    def all_ports(self) -> list[int]:
        """Every port at which it may listen."""
        return [self.front, self.readiness, self.metrics, *self.peers]

    def hold(self, port: int, kind: HoldKind) -> PortHold | None:
        """Hold one of its ports; None if it is in use."""
        held = hold_port(port, kind)
        if held is not None:
            self.holds.append(held)
        return held

    def release(self, held: PortHold) -> None:
        """Give a port back."""
        if held in self.holds:
            self.holds.remove(held)
            held.release()

    def release_ports(self) -> None:
        """Give all ports back."""
        for held in tuple(self.holds):
            self.release(held)

    @property
    def front_is_held(self) -> bool:
        """Whether the soak holds the port of its callers."""
        return any(held.port == self.front for held in self.holds)

    @property
    def front_leads_to_the_soak(self) -> bool:
        """Whether connections of callers reach a socket of the soak."""
        return any(
            held.port == self.front and held.takes_connections for held in self.holds
        )

    def lacks_ports(self, used: UsedPorts) -> bool:
        """Return whether one of the ports that it needs is held, by the soak or in `used`.

        It does without its metrics port, and with one port of its peers' range, in which
        other daemons may listen.
        """
        held = used.connections | {hold.port for hold in self.holds}
        needed = {self.front, self.readiness}
        is_range_held = bool(held & set(self.peers)) and (
            (held | used.listeners).issuperset(self.peers)
        )
        return bool(needed & held) or is_range_held

    # What may keep it from being ready

    def causes(self, used_ports: UsedPorts) -> list[str]:
        """Return what may keep it from being ready, apart from the store."""
        process = self._process
        found = {
            "no process": process is None or not process.is_running,
            "stopping": self.is_stopping,
            "paused": process is not None and process.is_paused,
            "the former process drains": bool(self._former),
            "a port is held": self.lacks_ports(used_ports),
            "its settings": self.settings.fault is not None,
            "its link to the store": self.store.fault is not LinkFault.NONE,
        }
        return [cause for cause, is_present in found.items() if is_present]

    def spoil_settings(
        self, fault: SettingsFault, random: Random, seconds: float
    ) -> None:
        """Leave its settings file unfinished for so many seconds."""
        self.settings.spoil(fault, random, seconds)
