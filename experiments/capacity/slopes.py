"""The table of slopes: every measured line with its points and its fit."""

from experiments.capacity.measurement import Measurement
from experiments.capacity.tables import Points, call_phases, slope_row
from experiments.scale_figures import RegionFigures
from experiments.scale_report import table

HEADING = ("quantity", "file", "points (x, y)", "slope", "intercept", "r²")


def slope_table(kept: dict[str, Measurement], region: RegionFigures) -> str:
    """Write all lines."""
    lines: tuple[tuple[str, str, tuple[str, str], dict[str, str], str], ...] = (
        ("membership, quiet: B/s sent over daemons", "membership", ("members", "B/s"), {"region": "quiet"}, "B/s a daemon"),
        ("membership, a restart each 30 s: B/s sent over daemons", "membership", ("members", "B/s"), {"region": "restarts"}, "B/s a daemon"),
        ("membership on sockets: core % over daemons", "membership", ("members", "core %"), {"region": "sockets"}, "% a daemon"),
        ("program: held bytes over tokens", "programs", ("tokens", "held bytes"), {}, "B a token"),
        ("program: snapshot bytes over tokens", "programs", ("tokens", "snapshot"), {}, "B a token"),
        ("admission: µs over turns", "programs", ("turns", "microseconds"), {"step": "AdmitAttempt"}, "µs a turn"),
        ("finish: µs over turns", "programs", ("turns", "microseconds"), {"step": "FinishAttempt"}, "µs a turn"),
        ("reading a whole history: µs over turns", "programs", ("turns", "microseconds"), {"step": "read whole history"}, "µs a turn"),
        ("commit: journal B/s over commits/s", "commits", ("commits/s", "journal B/s"), {}, "B a commit"),
        ("commit: core ms/s over commits/s", "commits", ("commits/s", "core ms/s"), {}, "ms a commit"),
        ("queue: grant µs over waiting calls", "queue", ("waiting calls", "grant µs"), {}, "µs a call"),
        ("table: held bytes over rows", "table", ("rows", "held bytes"), {}, "B a row"),
        ("table: an edit's µs over rows", "table", ("rows", "edit µs"), {}, "µs a row"),
        ("relay: an answer's core µs over tokens", "relay", ("tokens", "core µs"), {}, "µs a token"),
    )  # fmt: skip
    rows = [
        slope_row(name, file, kept[file].points(x, y, where), unit)
        for name, file, (x, y), where, unit in lines
    ]
    rows += _scale_rows(region)
    return table(HEADING, rows)


def _scale_rows(region: RegionFigures) -> list[list[object]]:
    calls = [
        round(phase.calls_answered / phase.seconds / region.daemons, 3)
        for phase in call_phases(region)
    ]
    where = f"{region.daemons} daemons, over calls/s of a daemon"

    def row(name: str, values: list[float], unit: str) -> list[object]:
        points: Points = list(zip(calls, values, strict=True))
        return slope_row(f"{name}, {where}", "scale", points, unit)

    phases = call_phases(region)
    return [
        row("messages/s sent", [p.messages for p in phases], "messages a call"),
        row("B/s sent", [p.bytes for p in phases], "B a call"),
        row(
            "core % with model engines", [p.core_percent for p in phases], "% a call/s"
        ),
    ]
