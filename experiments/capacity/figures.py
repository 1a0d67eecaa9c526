"""Every figure and table of the capacity page, by its name in the template."""

from pathlib import Path

import msgspec

from experiments.capacity.background import (
    DAY_SECONDS,
    background,
    poll_seconds_that_fit,
)
from experiments.capacity.design_size import DesignSize
from experiments.capacity.measurement import Measurement, fit, load
from experiments.capacity.slopes import slope_table
from experiments.capacity.tables import background_table, call_fits, memory_table
from experiments.scale_figures import RegionFigures, ScaleResults
from experiments.scale_report import (
    convergence_table,
    loss_table,
    message_table,
    phase_table,
    table,
)

NAMES = (
    "membership",
    "polls",
    "process",
    "programs",
    "queue",
    "relay",
    "commits",
    "table",
)
CLAIM_MESSAGES = ("ReadStewardship", "StewardshipClaimed")
MEGABYTE = 1e6
MICROSECONDS = 1e6


def page_figures(directory: Path) -> dict[str, str]:
    """Read the measurements and work everything out."""
    size = DesignSize()
    kept = {name: load(name, directory) for name in NAMES}
    scale = load_scale(directory, "scale")
    more = load_scale(directory, "scale_regions")
    dense = load_scale(directory, "scale_partitions")
    regions = (*scale.regions, *more.regions)
    return {
        "machine": machine_table([*kept.values()], (scale, more, dense)),
        "slopes": slope_table(kept, scale.regions[-1]),
        **_control(size, kept, scale.regions[-1]),
        **_memory(size, kept),
        **_day(size, scale.regions[-1]),
        **_data_plane(size, kept, scale.regions[-1]),
        "scale_command": scale.command,
        "scale_seconds": f"{scale.real_seconds:.0f}",
        **_partitions(dense, scale),
        "table_worst": worst_table_seconds(regions),
        "busiest_times": busiest_times(scale.regions[-1]),
        "more_command": more.command,
        "more_seconds": f"{more.real_seconds:.0f}",
        "more_regions": f"{len(more.regions)}",
        "convergence": convergence_table(regions),
        "losses": loss_table(regions),
        "phases": phase_table(regions),
        "messages": message_table(scale.regions),
    }


def load_scale(directory: Path, name: str) -> ScaleResults:
    """Read a committed scale run; its last region is the largest."""
    encoded = (directory / f"{name}.json").read_bytes()
    return msgspec.json.decode(encoded, type=ScaleResults)


def worst_table_seconds(regions: tuple[RegionFigures, ...]) -> str:
    """Give the longest time of a table change; "no" when one never came."""
    times = [(one.table_seconds, one.table_log_down_seconds) for one in regions]
    flat = [time for pair in times for time in pair]
    known = [time for time in flat if time is not None]
    return f"{max(known):.2f}" if len(known) == len(flat) else "no"


def busiest_times(region: RegionFigures) -> str:
    """Give how many times the mean the busiest daemon sent under the last load."""
    phase = region.phases[-1]
    return f"{phase.busiest_daemon_bytes / phase.bytes:.1f}"


def machine_table(kept: list[Measurement], runs: tuple[ScaleResults, ...]) -> str:
    """Write on what each file was measured."""
    rows: list[list[object]] = [
        [
            one.name,
            f"`{one.command}`",
            one.cores,
            one.python,
            f"{max(one.load_before, one.load_after):.0f}",
        ]
        for one in kept
    ]
    for run in runs:
        around = run.surroundings
        load_most = max(around.load_before, around.load_after)
        rows.append(
            [
                "scale",
                f"`{run.command}`",
                around.cores,
                around.python,
                f"{load_most:.0f}",
            ]
        )
    return table(("file", "command", "cores", "Python", "load"), rows)


def _control(
    size: DesignSize, kept: dict[str, Measurement], region: RegionFigures
) -> dict[str, str]:
    idle = region.phases[0]
    claims = [rate for rate in idle.rates if rate.name in CLAIM_MESSAGES]
    messages = sum(rate.messages for rate in claims) / len(claims)
    claim_bytes = sum(rate.bytes for rate in claims) / messages
    items = background(
        size, kept["membership"], kept["polls"], kept["table"], claim_bytes
    )
    total = sum(item.bytes_per_second for item in items)
    core = sum(item.core_percent for item in items)
    bound = core + idle.core_percent
    return {
        "control_core_holds": "yes" if bound <= size.control_core_percent else "**no**",
        "control": background_table(items, size),
        "control_times": f"{total / size.control_bytes_per_second:.1f}",
        "poll_seconds": f"{poll_seconds_that_fit(items, size):.1f}",
        "control_core": f"{core:.2f}",
        "control_core_bound": f"{bound:.2f}",
    }


def _day(size: DesignSize, region: RegionFigures) -> dict[str, str]:
    """Give the cost of a day's failures and restarts, each as dear as a rack's."""
    changes = (size.failures_per_day + size.restarts_per_day) / size.regions
    rack = region.losses[0]
    core = changes * rack.core_seconds_per_daemon
    sent = changes * rack.bytes_per_daemon
    return {
        "day_changes": f"{changes:.0f}",
        "day_core_seconds": f"{core:.1f}",
        "day_megabytes": f"{sent / MEGABYTE:.1f}",
        "day_core_percent": f"{100 * core / DAY_SECONDS:.4f}",
        "day_bytes_second": f"{sent / DAY_SECONDS:.0f}",
    }


def _partitions(dense: ScaleResults, sparse: ScaleResults) -> dict[str, str]:
    """Compare regions of as many daemons with more and with fewer partitions."""
    many = dense.regions[-1]
    (few,) = (one for one in sparse.regions if one.daemons == many.daemons)
    return {
        "dense_command": dense.command,
        "dense_daemons": f"{many.daemons}",
        "dense_partitions": f"{many.partitions}",
        "dense_idle": f"{many.phases[0].bytes:.0f}",
        "dense_core": f"{many.phases[0].core_percent:.2f}",
        "dense_times": busiest_times(many),
        "sparse_partitions": f"{few.partitions}",
        "sparse_idle": f"{few.phases[0].bytes:.0f}",
        "sparse_core": f"{few.phases[0].core_percent:.2f}",
        "sparse_times": busiest_times(few),
    }


def _memory(size: DesignSize, kept: dict[str, Measurement]) -> dict[str, str]:
    base = kept["process"].figure("process with all modules") * MEGABYTE
    programs = kept["programs"]
    by_tokens = fit(programs.points("tokens", "held bytes"))
    room = (size.memory_bytes - base) / size.daemon_programs
    return {
        "memory": memory_table(programs, size, base),
        "process_mb": f"{base / MEGABYTE:.1f}",
        "daemon_programs": f"{size.daemon_programs:.0f}",
        "program_room": f"{room:.0f}",
        "bytes_a_token": f"{by_tokens.slope:.2f}",
        "largest_mb": f"{max(y for _, y in programs.points('turns', 'held bytes')) / MEGABYTE:.2f}",
    }


def _data_plane(
    size: DesignSize, kept: dict[str, Measurement], region: RegionFigures
) -> dict[str, str]:
    relay = fit(kept["relay"].points("tokens", "core µs"))
    commit = kept["commits"]
    commit_bytes = fit(commit.points("commits/s", "journal B/s"))
    commit_core = fit(commit.points("commits/s", "core ms/s"))
    messages, wire, core = call_fits(region)
    token_core = relay.slope * size.daemon_tokens / MICROSECONDS
    answer_core = max(0.0, relay.intercept) * size.daemon_calls / MICROSECONDS
    call_core = core.slope * size.daemon_calls / 100
    steward = kept["queue"].figure("steward, enqueue + grant + return")
    read_whole = max(
        y
        for _, y in kept["programs"].points(
            "turns", "microseconds", {"step": "read whole history"}
        )
    )
    return {
        "daemon_calls": f"{size.daemon_calls:.1f}",
        "daemon_tokens": f"{size.daemon_tokens:.0f}",
        "token_us": f"{relay.slope:.1f}",
        "answer_us": f"{relay.intercept:.0f}",
        "token_cores": f"{token_core:.2f}",
        "answer_cores": f"{answer_core:.2f}",
        "call_ms": f"{10 * core.slope:.1f}",
        "call_cores": f"{call_core:.2f}",
        "all_cores": f"{token_core + answer_core + call_core:.2f}",
        "call_messages": f"{messages.slope:.0f}",
        "call_bytes": f"{wire.slope:.0f}",
        "call_kb_s": f"{wire.slope * size.daemon_calls / 1000:.0f}",
        "call_times_limit": f"{wire.slope * size.daemon_calls / size.control_bytes_per_second:.0f}",
        "commit_bytes": f"{commit_bytes.slope:.0f}",
        "commit_ms": f"{commit_core.slope:.2f}",
        "steward_us": f"{steward:.0f}",
        "steward_core": f"{steward * size.daemon_calls / 10_000:.2f}",
        "read_whole_ms": f"{read_whole / 1000:.0f}",
        "waiting_bytes": f"{kept['queue'].figure('a waiting call'):.0f}",
    }
