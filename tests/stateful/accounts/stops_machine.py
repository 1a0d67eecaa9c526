"""State machine of daemons that are stopped and restarted in any order, without losses."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from notcharch.accounts.service import GROUP
from tests.unit.accounts.stop_scene import ACCEPT_SECONDS, StopScene

DAEMONS = 6
STORE_SECONDS = 1.0
"""Within which a turn is stored, also while partitions move."""
LONGEST_SECONDS = 4.0
"""A call that comes last at a daemon that stops ends before it releases in any case."""

gateways = st.integers(0, DAEMONS - 1)


class StopsMachine(RuleBasedStateMachine):
    """Planned stops alone: each call is admitted, and each turn stored soon."""

    def __init__(self) -> None:
        super().__init__()
        self.scene = StopScene(DAEMONS)
        self.scene.restarts = True

    def accepts(self, gateway: int) -> bool:
        """Return whether callers reach a daemon."""
        scene = self.scene
        name = scene.world.names[gateway]
        if not scene.world.fabric.is_running(name):
            return False
        stopped_at = scene.stopped_at.get(name)
        return stopped_at is None or scene.now - stopped_at < ACCEPT_SECONDS

    @rule(gateway=gateways, seconds=st.floats(0.1, LONGEST_SECONDS))
    def call(self, gateway, seconds):
        if self.accepts(gateway):
            self.scene.offer(gateway, seconds)

    @rule(first=gateways, count=st.integers(1, DAEMONS), gap=st.floats(0.0, 0.5))
    def stop(self, first, count, gap):
        for number in range(count):
            gateway = (first + number) % DAEMONS
            self.scene.at(number * gap, lambda gateway=gateway: self._stop(gateway))
        self.scene.run(count * gap + 0.1)

    def _stop(self, gateway: int) -> None:
        name = self.scene.world.names[gateway]
        is_running = self.scene.world.fabric.is_running(name)
        if is_running and name not in self.scene.stopped_at:
            self.scene.stop(gateway)

    @rule(seconds=st.floats(0.05, 4.0))
    def run(self, seconds):
        self.scene.run(seconds)

    @precondition(lambda self: self.scene.world.log.groups.owners(GROUP))
    @rule()
    def rebalance(self):
        self.scene.world.log.groups.rebalance(GROUP)

    def teardown(self):
        self.scene.run(LONGEST_SECONDS + 8.0)
        refused = [stream for stream in self.scene.streams if stream.is_refused]
        late = self.scene.late_streams(STORE_SECONDS)
        stopped = [number for number in range(DAEMONS) if not self.accepts(number)]
        assert (refused, late, stopped) == ([], [], [])
