"""The build installs packages only when their lock file changed, and never in place."""

import os
import subprocess
import tomllib
from pathlib import Path

DEPLOY_FILE = Path(__file__).parents[3] / "deploy" / "system.toml"
FAKE_PYTHON = """#!/bin/sh
if [ "$2" = pip ]; then
  while [ "$1" != --target ]; do shift; done
  echo install >> calls
  [ ! -e target/deps ] || [ -e target/deps/package ] || echo "nothing in use" >> calls
  echo fresh > "$2/package"
fi
"""


class Checkout:
    """A folder with the deploy file's build, and a python3 that only takes notes."""

    def __init__(self, root: Path) -> None:
        self.root = root
        self.build = tomllib.loads(DEPLOY_FILE.read_text())["build"]
        (root / "bin").mkdir()
        python = root / "bin" / "python3"
        python.write_text(FAKE_PYTHON)
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
