"""`notcharch status|services|engines|programs|partitions|drain|pause|resume`.

Their implementations are imported only when a command runs.
"""

import argparse
from collections.abc import Callable

from notcharch.cli.command import CommandSpec
from notcharch.cli.server_options import (
    DAEMON,
    ENGINE,
    ZONE,
    add_server_options,
    run_action,
)

ACTIONS_MODULE = "notcharch.cli.operations_actions"


def _add_program_filters(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--limit", type=int, default=200, metavar="COUNT")
    parser.add_argument("--service", help="show only the programs of this service")


def _add_drain_target(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("kind", choices=(DAEMON, ENGINE, ZONE))
    parser.add_argument("name")
    parser.add_argument("--undo", action="store_true", help="cancel the drain")


def _add_service(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("service")


def _add_no_arguments(_parser: argparse.ArgumentParser) -> None:
    pass


def _spec(
    name: str,
    summary: str,
    action: str,
    example: str,
    add_arguments: Callable[[argparse.ArgumentParser], None] = _add_no_arguments,
) -> CommandSpec:
    def configure(parser: argparse.ArgumentParser) -> None:
        parser.epilog = f"example:\n  notcharch {name} {example}\n"
        add_arguments(parser)
        add_server_options(parser)

    def run(arguments: argparse.Namespace) -> int:
        return run_action(ACTIONS_MODULE, action, arguments)

    return CommandSpec(name, summary, configure, run)


STATUS = _spec("status", "show the region's daemons", "show_status", "--json")
SERVICES = _spec("services", "show services and their slots", "show_services", "--json")
ENGINES = _spec(
    "engines",
    "show engines and their queues",
    "show_engines",
    "--server http://10.0.0.7:8080",
)
PROGRAMS = _spec(
    "programs",
    "show programs and budgets",
    "show_programs",
    "--service guide --limit 20",
    _add_program_filters,
)
PARTITIONS = _spec(
    "partitions", "show partitions and their leaders", "show_partitions", "--json"
)
DRAIN = _spec(
    "drain",
    "stop giving new work to a daemon, engine or zone",
    "drain",
    "engine model-3",
    _add_drain_target,
)
PAUSE = _spec("pause", "pause a service", "pause", "guide", _add_service)
RESUME = _spec("resume", "resume a paused service", "resume", "guide", _add_service)
COMMANDS = (STATUS, SERVICES, ENGINES, PROGRAMS, PARTITIONS, DRAIN, PAUSE, RESUME)
