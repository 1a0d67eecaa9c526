"""`notcharch explain`: finds the causes of failed requests in the daemons' logs."""

import argparse
import sys
from collections.abc import Iterator

from notcharch.cli.command import CommandSpec
from notcharch.cli.exit_codes import BAD_USAGE, DONE, FAILED
from notcharch.explain.explanation import Explanation, explain
from notcharch.explain.log_lines import LogLine, read_lines

EXAMPLES = """examples:
  notcharch explain 76c9e5633964f929 day.log
  notcharch explain 76c9e5633964f929,e4a4dc3e5adf54b7 front-*.log
"""


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the arguments."""
    parser.epilog = EXAMPLES
    parser.add_argument("requests", help="request ids, joined by commas")
    parser.add_argument("files", nargs="+", help="logs of the daemons")
    parser.add_argument(
        "--brief", action="store_true", help="print only the cause of each request"
    )


def run(arguments: argparse.Namespace) -> int:
    """Print the explanations; return 1 if a request isn't explained."""
    try:
        lines = sorted(_read(arguments.files), key=lambda line: line.at)
    except OSError as error:
        sys.stderr.write(f"{error.filename}: {error.strerror}\n")
        return BAD_USAGE
    is_all_explained = True
    for request in arguments.requests.split(","):
        explanation = explain(request, lines)
        sys.stdout.write(_text(explanation, is_brief=arguments.brief))
        is_all_explained = is_all_explained and explanation.is_explained
    return DONE if is_all_explained else FAILED


def _read(files: list[str]) -> Iterator[LogLine]:
    for name in files:
        with open(name, encoding="utf-8", errors="replace") as file:
            yield from read_lines(file)


def _text(explanation: Explanation, *, is_brief: bool) -> str:
    verdict = "explained" if explanation.is_explained else "NOT EXPLAINED"
    cause = f"{explanation.request}: {verdict}: {explanation.cause}\n"
    if is_brief:
        return cause
    request_lines = "".join(f"  {_line(line)}\n" for line in explanation.lines)
    context = "".join(f"    {_line(line)}\n" for line in explanation.context)
    around = f"  around it:\n{context}" if context else ""
    return f"{cause}{request_lines}{around}"


def _line(line: LogLine) -> str:
    omitted = ("event_number", "message_type", "task_uuid", "task_level", "timestamp")
    fields = " ".join(
        f"{key}={value}" for key, value in line.fields.items() if key not in omitted
    )
    return f"{line.at:.3f} {line.machine} {line.number} {line.name} {fields}"


COMMAND = CommandSpec(
    name="explain",
    summary="explain why a request failed, from the daemons' logs",
    configure=configure,
    run=run,
)
