"""The build installs packages only when their lock file changed, and never in place."""

import os
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

DEPLOY_FILE = Path(__file__).parents[3] / "deploy" / "system.toml"
FAKE_PYTHON = """#!/bin/sh
if [ "$2" = pip ]; then
  while [ "$1" != --target ]; do shift; done
  echo install >> calls
  [ ! -e target/deps ] || [ -e target/deps/package ] || echo "nothing in use" >> calls
  echo fresh > "$2/package"
  echo "VALUE = 1" > "$2/dependency.py"
fi
"""
COMPILING_PYTHON = (
    f'{FAKE_PYTHON}[ "$3" != compileall ] || exec {sys.executable} "$@"\n'
)
MODULES = ["notcharch/value.py", "target/deps/dependency.py"]
SECOND = 1_700_000_000


class Checkout:
    """A folder with the deploy file's build, and a python3 that only takes notes."""

    def __init__(self, root: Path, python3: str = FAKE_PYTHON) -> None:
        self.root = root
        self.build = tomllib.loads(DEPLOY_FILE.read_text())["build"]
        (root / "bin").mkdir()
        python = root / "bin" / "python3"
        python.write_text(python3)
        python.chmod(0o755)
        (root / "deploy").mkdir()
        self.lock("first")

    def lock(self, text: str) -> None:
        (self.root / "deploy" / "requirements.lock").write_text(text)

    def run(self) -> None:
        path = f"{self.root / 'bin'}:{os.environ['PATH']}"
        subprocess.run(
            ["sh", "-c", self.build], cwd=self.root, env={"PATH": path}, check=True
        )

    def write(self, module: str, value: int) -> None:
        """Write a module whose size and time don't tell its value."""
        path = self.root / module
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(f"VALUE = {value}\n")
        os.utime(path, (SECOND, SECOND))

    def compiled(self, module: str) -> Path:
        path = self.root / module
        [compiled] = (path.parent / "__pycache__").glob(f"{path.stem}.*.opt-2.pyc")
        return compiled

    def imported(self, module: str) -> subprocess.CompletedProcess[str]:
        """Import a module as a daemon does, and print its value."""
        name = "notcharch.value" if "notcharch" in module else "dependency"
        return subprocess.run(
            [
                sys.executable,
                "-S",
                "-OO",
                "-v",
                "-c",
                f"import {name} as x; print(x.VALUE)",
            ],
            cwd=self.root,
            env={"PYTHONPATH": "target/deps", "PYTHONDONTWRITEBYTECODE": "1"},
            capture_output=True,
            text=True,
            check=False,
        )

    @property
    def installs(self) -> list[str]:
        return (self.root / "calls").read_text().split("\n")[:-1]


def test_packages_are_installed_once(tmp_path: Path) -> None:
    checkout = Checkout(tmp_path)
    checkout.run()
    checkout.run()
    assert checkout.installs == ["install"]
    assert (tmp_path / "target" / "deps" / "package").exists()


def test_a_changed_lock_file_installs_anew_beside_the_folder_in_use(
    tmp_path: Path,
) -> None:
    checkout = Checkout(tmp_path)
    checkout.run()
    in_use = os.open(tmp_path / "target" / "deps", os.O_RDONLY)
    checkout.lock("second")
    checkout.run()
    assert checkout.installs == ["install", "install"]
    assert "package" in os.listdir(in_use)  # whoever has it open still finds it
    os.close(in_use)
    lock = tmp_path / "target" / "deps" / "installed.lock"
    assert lock.read_text() == "second"
    assert (tmp_path / "target" / "deps" / "package").exists()


@pytest.fixture
def built(tmp_path: Path) -> Checkout:
    """Give a checkout whose modules are compiled; their value is 1."""
    checkout = Checkout(tmp_path, COMPILING_PYTHON)
    checkout.write(MODULES[0], 1)
    checkout.run()
    checkout.write(MODULES[1], 1)
    checkout.run()
    return checkout


@pytest.mark.parametrize("module", MODULES)
def test_a_compiled_file_of_an_older_source_is_not_used(
    built: Checkout, module: str
) -> None:
    """Guards against a start with the code of a source of the same second and size."""
    built.write(module, 2)
    assert built.imported(module).stdout == "2\n"
    built.run()
    assert built.imported(module).stdout == "2\n"


@pytest.mark.parametrize("module", MODULES)
def test_a_damaged_compiled_file_is_compiled_again(
    built: Checkout, module: str
) -> None:
    """Guards against an exception at an import, which ends each daemon."""
    compiled = built.compiled(module)
    compiled.write_bytes(compiled.read_bytes()[:-4])
    built.run()
    assert built.imported(module).stdout == "1\n"


@pytest.mark.parametrize("module", MODULES)
def test_a_compiled_file_is_used_though_its_source_has_another_time(
    built: Checkout, module: str
) -> None:
    """Guards against a start that compiles every module, in a copy of the checkout."""
    os.utime(built.root / module, (SECOND + 1, SECOND + 1))
    imported = built.imported(module)
    assert imported.stdout == "1\n"
    assert f"code object from {str(built.compiled(module))!r}" in imported.stderr
