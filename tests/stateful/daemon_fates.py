"""What happens to daemons and their log service in random lives, as hypothesis rules."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from emulator.services.partitioned_log import Trouble

DAEMONS = 3
daemons = st.integers(0, DAEMONS - 1)


class DaemonFates(RuleBasedStateMachine):
    """Daemons that crash, sleep, leave and return; a log service in trouble.

    A machine sets `world` and `group`, and says how a daemon leaves.
    """

    group = ""
    """The group whose partitions are dealt anew."""

    def __init__(self) -> None:
        super().__init__()
        self.down: set[int] = set()
        self.asleep: set[int] = set()

    def leave(self, name):
        """Let a daemon hand everything over."""
        raise NotImplementedError

    def before_a_crash(self):
        """Hear that what a process knows will be lost."""

    @rule(daemon=daemons, silent=st.booleans())
    def crash(self, daemon, silent):
        if daemon not in self.down:
            self.wake(daemon)
            self.before_a_crash()
            self.world.crash(self.world.names[daemon], silent=silent)
            self.down.add(daemon)

    @rule(daemon=daemons)
    def start(self, daemon):
        if daemon in self.down:
            self.world.start(self.world.names[daemon])
            self.down.discard(daemon)

    def restart_all(self, gone):
        """Let all daemons crash at once, and start after so many seconds."""
        for name in self.world.names:
            self.world.crash(name)
        self.world.run(gone)
        for name in self.world.names:
            self.world.start(name)
        self.down.clear()
        self.asleep.clear()

    @rule(daemon=daemons)
    def leave_and_return(self, daemon):
        if daemon not in self.down | self.asleep:
            name = self.world.names[daemon]
            self.leave(name)
            self.world.run(0.5)
            self.before_a_crash()
            self.world.crash(name)
            self.world.start(name)

    @rule(daemon=daemons)
    def sleep(self, daemon):
        if daemon not in self.down | self.asleep:
            self.world.fabric.pause(self.world.names[daemon])
            self.asleep.add(daemon)

    @rule(daemon=daemons)
    def wake(self, daemon):
        if daemon in self.asleep:
            self.world.fabric.resume(self.world.names[daemon])
            self.asleep.discard(daemon)

    @rule(trouble=st.sampled_from(list(Trouble)))
    def trouble(self, trouble):
        self.world.log.trouble = trouble

    @rule()
    def deal_anew(self):
        if self.world.log.groups.owners(self.group):
            self.world.log.groups.rebalance(self.group)

    def heal(self):
        """Let everything work again."""
        self.world.log.trouble = Trouble.NONE
        for daemon in range(DAEMONS):
            self.wake(daemon)
            self.start(daemon)


class RefusedDaemons(DaemonFates):
    """The log service may turn single daemons away as well; the world has `refuse`."""

    @rule(daemon=daemons, is_refused=st.booleans())
    def refuse(self, daemon, is_refused):
        self.world.refuse(self.world.names[daemon], is_refused=is_refused)

    def heal(self):
        """Let everything work again, for each daemon."""
        super().heal()
        for name in self.world.names:
            self.world.refuse(name, is_refused=False)
