"""Runs pytest; passes over exactly the tests listed in KNOWN-RED.txt.

A line of that file is `test id | cause | issue`. At most three lines are allowed.
A listed test that passes, or that does not exist, is a failure.
"""

import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from xml.etree import ElementTree

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MOST_KNOWN_RED = 3
FIELDS_OF_A_LINE = 3


def known_red() -> tuple[dict[str, str], list[str]]:
    """Read the listed tests with their causes, and what is wrong with the list."""
    tests: dict[str, str] = {}
    problems: list[str] = []
    for number, line in enumerate(KNOWN_RED.read_text().splitlines(), start=1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != FIELDS_OF_A_LINE or not all(fields):
            problems.append(f"KNOWN-RED.txt:{number}: needs test | cause | issue")
            continue
        tests[fields[0]] = f"{fields[1]} (issue {fields[2]})"
    if len(tests) > MOST_KNOWN_RED:
        problems.append(f"KNOWN-RED.txt lists more than {MOST_KNOWN_RED} tests")
    return tests, problems


def run_pytest(report: Path, arguments: list[str]) -> int:
    """Run pytest with a JUnit report; gives its exit status."""
    command = [sys.executable, "-m", "pytest", f"--junitxml={report}", *arguments]
    return subprocess.run(command, cwd=ROOT, check=False).returncode


def outcomes(report: Path) -> tuple[set[str], set[str]]:
    """Read the names of passed and failed tests out of a JUnit report."""
    passed: set[str] = set()
    failed: set[str] = set()
    for case in ElementTree.parse(report).getroot().iter("testcase"):
        module = case.get("classname", "")
        name = f"{module}::{case.get('name', '')}"
        is_bad = case.find("failure") is not None or case.find("error") is not None
        (failed if is_bad else passed).add(name)
    return passed, failed


def main() -> int:
    """Run the tests and compare the failures with the list."""
    listed, problems = known_red()
    with TemporaryDirectory() as folder:
        report = Path(folder) / "report.xml"
        status = run_pytest(report, sys.argv[1:])
        if not report.exists():
            return status or 1
        passed, failed = outcomes(report)
    for test in sorted(failed - set(listed)):
        problems.append(f"failed: {test}")
    for test in sorted(set(listed) - failed):
        problems.append(f"KNOWN-RED.txt: {test} did not fail")
    for test in sorted(set(listed) & failed):
        print(f"known red, passed over: {test}: {listed[test]}")
    if status not in (0, 1):
        problems.append(f"pytest ended with status {status}")
    for problem in problems:
        print(problem)
    print(f"{len(passed)} passed, {len(failed)} failed")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
