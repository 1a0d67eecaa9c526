"""A virtual region with recorded engines, and the programs that use it."""

from emulator.settings import (
    EmulatorSettings,
    EngineSection,
    GeneralSection,
    default_rates,
)
from notcharch.clients.ports import MachineKind
from notcharch.settings.schema import PartitionsSection, Settings
from notcharch.table.draft import TableDraft
from tests.virtual_region.region import RegionPlan, VirtualRegion

TENANT = "tenant"
MODEL, APPLICATION = "model", "application"
SMALL_BUDGET = 900
ROWS = (
    {"service": "chat", "tenant": TENANT, "pool": MODEL, "max_wait_seconds": 20.0},
    {"service": "act", "tenant": TENANT, "pool": APPLICATION, "max_wait_seconds": 20.0},
    {
        "service": "poor",
        "tenant": TENANT,
        "pool": MODEL,
        "budget_tokens": SMALL_BUDGET,
        "max_answer_tokens": 64,
    },
    {"service": "narrow", "tenant": TENANT, "pool": MODEL, "concurrency": 2},
)
SERVICES = tuple(row["service"] for row in ROWS)
PARTITIONS = 4
DAEMONS = 4
ZONES = 3


def plan(seed):
    engines = [
        EngineSection(name=f"model-{n}", zone=f"zone{n}", pools=(MODEL,))
        for n in (1, 2, 3)
    ]
    engines += [
        EngineSection(
            name=f"application-{n}",
            zone=f"zone{n}",
            pools=(APPLICATION,),
            kind=MachineKind.APPLICATION_ENGINE,
        )
        for n in (1, 2)
    ]
    emulator = EmulatorSettings(
        emulator=GeneralSection(seed=seed),
        engines=tuple(engines),
        model_engine=default_rates(MachineKind.MODEL_ENGINE),
        application_engine=default_rates(MachineKind.APPLICATION_ENGINE),
    )
    settings = Settings(partitions=PartitionsSection(partition_count=PARTITIONS))
    return RegionPlan(
        emulator=emulator, settings=settings, daemons=DAEMONS, zones=ZONES, seed=seed
    )


class RecordedRegion(VirtualRegion):
    """A region whose engines record every request that they accept."""

    def __init__(self, seed):
        super().__init__(plan(seed))
        self.accepted = {}
        self.peak_running = {}
        self._running = {}
        for host in self.models.engines.values():
            self._record(host.model)
        self.start_all()
        self.publish(TableDraft(rows=ROWS, keys=None))
        self.advance(5.0)

    def _record(self, model):
        submit = model.submit

        def recording(request):
            outcome = submit(request)
            if outcome.is_ok():
                program, sequence, _ = request.request_id.split("/")
                key = (program, int(sequence))
                self.accepted.setdefault(key, []).append(model.name)
            return outcome

        model.submit = recording
