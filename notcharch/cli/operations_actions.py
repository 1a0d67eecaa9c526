"""The actions of the operators' commands other than `table`."""

import argparse
import sys
from urllib.parse import quote

from result import Err

from notcharch.admin.operation_routes import DrainAnswer, DrainBody
from notcharch.admin.region_routes import (
    DaemonsAnswer,
    EnginesAnswer,
    PartitionsAnswer,
    ProgramsAnswer,
    ServicesAnswer,
    Survey,
)
from notcharch.admin.table_routes import PublishAnswer
from notcharch.cli.admin_client import (
    AdminClient,
    print_problem,
)
from notcharch.cli.columns import print_columns, print_json
from notcharch.cli.exit_codes import DONE, FAILED
from notcharch.cli.server_options import DAEMON, ENGINE, ZONE
from notcharch.values.identifiers import DaemonName, EngineName, ZoneName


async def show_status(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Print the region's daemons; status 1 when one cannot be reached."""
    read = await client.get("/daemons", DaemonsAnswer)
    if isinstance(read, Err):
        return print_problem(read.err_value)
    answer = read.ok_value
    status = FAILED if answer.survey.unreached else DONE
    if arguments.json:
        print_json(answer)
        return status
    print_columns(
        ("DAEMON", "ZONE", "STATE", "UPTIME S", "CALLS", "TABLE", "FROM", "LOG AGE S"),
        (
            (
                daemon.member.daemon,
                daemon.zone,
                daemon.state,
                round(daemon.uptime_seconds),
                daemon.running_calls,
                daemon.table_version,
                daemon.table_source,
                daemon.log_age_seconds,
            )
            for daemon in answer.daemons
        ),
    )
    for zone in answer.drained_zones:
        sys.stdout.write(f"zone {zone} is drained in version {answer.version}\n")
    _print_survey(answer.survey)
    return status


async def show_services(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Print the services with their weights, limits and slots in use."""
    read = await client.get("/services", ServicesAnswer)
    if isinstance(read, Err):
        return print_problem(read.err_value)
    answer = read.ok_value
    if arguments.json:
        print_json(answer)
        return DONE
    print_columns(
        ("SERVICE", "TENANT", "POOL", "SHARE", "PRIORITY", "SLOTS", "PAUSED"),
        (
            (
                service.row.service,
                service.row.tenant,
                service.row.pool,
                service.row.share,
                service.row.priority,
                f"{service.allotted_slots}/{service.row.concurrency}",
                service.row.paused,
            )
            for service in answer.services
        ),
    )
    sys.stdout.write(f"table version {answer.version}\n")
    _print_survey(answer.survey)
    return DONE


async def show_engines(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Print the engines as their stewards see them."""
    read = await client.get("/engines", EnginesAnswer)
    if isinstance(read, Err):
        return print_problem(read.err_value)
    answer = read.ok_value
    if arguments.json:
        print_json(answer)
        return DONE
    print_columns(
        (
            "ENGINE",
            "POOL",
            "STATE",
            "QUEUED",
            "GRANTED",
            "BLOCKS FREE",
            "LOAD AGE S",
            "STEWARD",
        ),
        (
            (
                engine.engine,
                engine.pool,
                engine.state,
                engine.queued,
                f"{engine.granted}/{engine.slots}",
                f"{engine.free_blocks}/{engine.total_blocks}",
                engine.load_age_seconds,
                engine.steward.daemon,
            )
            for engine in answer.engines
        ),
    )
    for name in answer.unreported:
        sys.stdout.write(f"no steward reports engine {name}\n")
    _print_survey(answer.survey)
    return DONE


async def show_programs(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Print programs with their calls and budgets."""
    path = f"/programs?limit={arguments.limit}"
    if arguments.service:
        path += f"&service={quote(arguments.service, safe='')}"
    read = await client.get(path, ProgramsAnswer)
    if isinstance(read, Err):
        return print_problem(read.err_value)
    answer = read.ok_value
    if arguments.json:
        print_json(answer)
        return DONE
    print_columns(
        ("PROGRAM", "SERVICE", "TENANT", "CALLS", "SPENT", "RESERVED", "BUDGET"),
        (
            (
                program.program,
                program.service,
                program.tenant,
                program.next_sequence - 1,
                program.spent_tokens,
                program.reserved_tokens,
                program.budget_tokens,
            )
            for program in answer.programs
        ),
    )
    if answer.truncated:
        sys.stdout.write("there are more; see --limit\n")
    _print_survey(answer.survey)
    return DONE


async def show_partitions(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Print every replica of every partition."""
    read = await client.get("/partitions", PartitionsAnswer)
    if isinstance(read, Err):
        return print_problem(read.err_value)
    answer = read.ok_value
    if arguments.json:
        print_json(answer)
        return DONE
    print_columns(
        (
            "PARTITION",
            "DAEMON",
            "EPOCH",
            "APPLIED",
            "SNAPSHOT",
            "WAITING",
            "PROGRAMS",
            "QUEUED",
            "RESERVED",
            "LEASES",
        ),
        (
            (
                item.description.partition,
                item.daemon,
                item.description.epoch,
                item.description.applied,
                item.description.snapshot,
                item.description.waiting,
                item.description.programs,
                item.description.queued_calls,
                item.description.reserved_tokens,
                item.description.leases,
            )
            for item in answer.partitions
        ),
    )
    _print_survey(answer.survey)
    return DONE


async def drain(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Order a drain, or take one back."""
    daemon = DaemonName(arguments.name) if arguments.kind == DAEMON else None
    engine = EngineName(arguments.name) if arguments.kind == ENGINE else None
    zone = ZoneName(arguments.name) if arguments.kind == ZONE else None
    body = DrainBody(daemon, engine, zone, not arguments.undo)
    ordered = await client.post("/drain?wait=in_force", body, DrainAnswer)
    if isinstance(ordered, Err):
        return print_problem(ordered.err_value)
    answer = ordered.ok_value
    if arguments.json:
        print_json(answer)
        return DONE
    state = "drains" if answer.draining else "takes new work"
    running = answer.running_calls
    detail = "" if running is None else f"; {running} calls are running"
    sys.stdout.write(f"{arguments.kind} {answer.name} {state}{detail}\n")
    return DONE


async def pause(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Pause a service everywhere."""
    return await _set_paused(client, arguments, "pause")


async def resume(client: AdminClient, arguments: argparse.Namespace) -> int:
    """Resume a service everywhere."""
    return await _set_paused(client, arguments, "resume")


async def _set_paused(
    client: AdminClient, arguments: argparse.Namespace, order: str
) -> int:
    service = quote(arguments.service, safe="")
    path = f"/services/{service}/{order}?wait=in_force"
    published = await client.post(path, None, PublishAnswer)
    if isinstance(published, Err):
        return print_problem(published.err_value)
    answer = published.ok_value
    report = answer.in_force
    is_everywhere = report is not None and report.in_force
    if arguments.json:
        print_json(answer)
    else:
        where = "all daemons" if is_everywhere else "some daemons only"
        version = answer.publication.version
        sys.stdout.write(f"{order}d in version {version}, in force at {where}\n")
    return DONE if is_everywhere else FAILED


def _print_survey(survey: Survey) -> None:
    reached = survey.daemons - len(survey.unreached)
    sys.stdout.write(
        f"from {reached} of {survey.daemons} daemons, at most "
        f"{survey.age_seconds:.1f} s old\n"
    )
    for unreached in survey.unreached:
        sys.stdout.write(f"  not reached: {unreached.daemon}: {unreached.problem}\n")
