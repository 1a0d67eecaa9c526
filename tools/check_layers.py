"""Checks that an import goes only downward through the layers.

`LAYERS` lists the packages from the top to the bottom; a package may import
packages of lower lines and itself, never its own line's others or higher ones.
"""

import ast
import sys
from collections.abc import Iterator
from pathlib import Path

LAYERS: tuple[tuple[str, ...], ...] = (
    ("cli",),
    ("platform",),
    ("daemon",),
    ("gateway", "admin"),
    ("programs", "engines", "services", "table"),
    ("partitions",),
    ("membership", "placement"),
    ("clients",),
    ("accounts",),
    ("journal",),
    ("engine_load", "stream_origins", "quarantine"),
    ("calls",),
    ("tenants",),
    ("scheduling",),
    ("http",),
    ("wire",),
    ("settings",),
    ("explain",),
    ("events",),
    ("errors",),
    ("values",),
)
# Interfaces hold only types, so a package of the same line may name them.
INTERFACE_MODULES = ("interface",)
RANK = {name: rank for rank, line in enumerate(LAYERS) for name in line}


def imported_modules(tree: ast.AST) -> Iterator[tuple[int, str]]:
    """Give the line and dotted name of every import."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            for alias in node.names:
                yield node.lineno, alias.name
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.lineno, node.module


def finding_of(package: str, module: str) -> str | None:
    """Say what is wrong with a package importing a module, or None."""
    parts = module.split(".")
    if parts[0] in ("emulator", "experiments", "tests"):
        return f"the package must not import {module}"
    if parts[0] != "notcharch" or len(parts) < 2 or parts[1] not in RANK:
        return None
    target = parts[1]
    if target == package or RANK[target] > RANK[package]:
        return None
    if RANK[target] == RANK[package] and parts[-1] in INTERFACE_MODULES:
        return None
    return f"{package} must not import {module}: it is not below it"


def findings(root: Path) -> Iterator[str]:
    """Give every import of the package that goes upward, with its place."""
    for path in sorted((root / "notcharch").rglob("*.py")):
        relative = path.relative_to(root)
        if len(relative.parts) < 3:
            continue
        package = relative.parts[1]
        if package not in RANK:
            yield f"{relative}: package {package} has no layer"
            continue
        for line, module in imported_modules(ast.parse(path.read_text())):
            finding = finding_of(package, module)
            if finding:
                yield f"{relative}:{line}: {finding}"


def main() -> int:
    """Print all findings; exit status 1 if there are any."""
    found = list(findings(Path(__file__).resolve().parent.parent))
    for finding in found:
        print(finding)
    print(f"layer check: {len(found)} findings")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
