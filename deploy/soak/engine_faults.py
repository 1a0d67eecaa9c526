"""Faults of engines: of their processes, links, answers and entries."""

from deploy.soak.engine_server import EngineFault, SoakEngine
from deploy.soak.fault_targets import FaultKinds, Strike, mend_if_faulty
from deploy.soak.spoiled import BAD_ENTRIES, Spoil

ENGINE_FAULTS = (
    EngineFault.SHED,
    EngineFault.LOSE_ANSWERS,
    EngineFault.BREAK_EVENTS,
    EngineFault.ERRORS,
    EngineFault.HANG,
    EngineFault.SLOW,
    EngineFault.FORGET_IDLE,
    EngineFault.UNFRAMED,
    EngineFault.ENDLESS,
)


class EngineFaults(FaultKinds):
    """Faults of engines."""

    @property
    def planned(self) -> tuple[Strike, ...]:
        """What operators do, and what must disturb nothing."""
        return (self.replace_engine, self.upgrade_engine, self.spoil_entries)

    @property
    def unplanned(self) -> tuple[Strike, ...]:
        """What happens to engines."""
        return (
            self.break_engine_link,
            self.spoil_engine,
            self.crash_engine,
            self.crash_unframed_engine,
            self.break_answers_off,
            self.restart_engine_at_other_version,
        )

    def end_all(self) -> None:
        """Let every engine serve."""
        for engine in self._targets.engines:
            engine.fault = EngineFault.NONE
            engine.spoil = Spoil.NONE
            mend_if_faulty(engine.link)
            engine.start_again()

    def spoil_entries(self) -> str:
        """Let some engines write entries with a field that can't be read."""
        engines = self._targets.engines
        struck = self._random.sample(engines, self._random.randint(1, len(engines)))
        for engine in struck:
            engine.spoil = self._random.choice(BAD_ENTRIES)

        def end() -> None:
            for engine in struck:
                engine.spoil = Spoil.NONE

        seconds = self._later(2.0, 9.0, end)
        names = " ".join(f"{engine.id}:{engine.spoil.name}" for engine in struck)
        return f"entries for {seconds:.2f} s: {names}"

    def _engine(self) -> SoakEngine:
        return self._random.choice(self._targets.engines)

    def break_engine_link(self) -> str:
        """Break the link to an engine."""
        engine = self._engine()
        return self._break(engine.link, f"link of {engine.id}")

    def spoil_engine(self) -> str:
        """Let an engine do one thing wrong for a while."""
        engine = self._engine()
        fault = self._random.choice(ENGINE_FAULTS)
        seconds = self._spoil([engine], fault, least_seconds=0.5)
        return f"{engine.id}: {fault.value} for {seconds:.2f} s"

    def _spoil(
        self, engines: list[SoakEngine], fault: EngineFault, *, least_seconds: float
    ) -> float:
        """Let engines suffer from a fault for a while; give for how many seconds."""
        for engine in engines:
            engine.fault = fault

        def end() -> None:
            for engine in engines:
                engine.fault = EngineFault.NONE

        return self._later(least_seconds, 4.0, end)

    def break_answers_off(self) -> str:
        """Let half of the engines break off answers at any byte."""
        engines = self._targets.engines
        struck = self._random.sample(engines, len(engines) // 2)
        seconds = self._spoil(struck, EngineFault.UNFRAMED, least_seconds=1.0)
        names = " ".join(engine.id for engine in struck)
        return f"{names}: answers break off at any byte for {seconds:.2f} s"

    def crash_engine(self) -> str:
        """End the process of an engine."""
        engine = self._engine()
        is_clean = self._draw_clean()
        engine.crash(is_clean=is_clean)
        self._later(0.5, 3.0, engine.start_again)
        return f"crash {engine.id} with {'closes' if is_clean else 'resets'}"

    def _draw_clean(self) -> bool:
        return self._random.random() < 0.5

    def crash_unframed_engine(self) -> str:
        """Crash an engine while it answers without framing."""
        engine = self._engine()
        engine.fault = EngineFault.UNFRAMED

        def crash() -> None:
            engine.crash(is_clean=True)
            engine.fault = EngineFault.NONE
            self._later(0.5, 3.0, engine.start_again)

        seconds = self._later(0.3, 1.0, crash)
        return f"{engine.id}: unframed for {seconds:.2f} s, then a crash with closes"

    def replace_engine(self) -> str:
        """Let an engine leave, and another one come in its place."""
        engine = self._engine()
        engine.leave()
        self._later(3.0, 4.0, engine.start_again)
        return f"{engine.id} leaves"

    def upgrade_engine(self) -> str:
        """Replace an engine by one of the other version, at another id."""
        engine = self._engine()
        engine.leave()

        def replace() -> None:
            if engine.is_leaving:
                engine.change_version()
                engine.start_again()

        self._later(3.0, 4.0, replace)
        return f"{engine.id} leaves, to return at another version than {engine.version}"

    def restart_engine_at_other_version(self) -> str:
        """Restart an engine under its id, at the other version."""
        engine = self._engine()
        engine.restart_under_its_id(is_clean=self._draw_clean())
        return f"{engine.id} restarts at {engine.version}"
