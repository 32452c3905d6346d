"""The whole suite, but for tests that are known to fail for a fault that can't be mended now.

    python3 tools/known_red.py [FOLDER]      FOLDER: the repository; by default the one of this file

``KNOWN-RED.txt`` there lists them, one a line, three at most: test id | cause | issue. Blank lines and lines that
begin with # are passed over; without the file, or with none listed, all tests run. The listed ones run alone
after the others, each by itself, and have to fail.

Exit status: 0 the suite passes and each listed test fails; 1 else: the suite fails, a line is malformed or one too
many, its id names no test or more than one, or its test passes; 2 no such folder.

pytest loads this file as a plugin, too: ``--deselect`` goes by how an id begins, and would pass over others with it.
"""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

LIST = "KNOWN-RED.txt"
MOST = 3  # tests; more of them are no suite any more
FAILED = 1  # pytest's exit status where tests ran and some failed; anything else but 0 means that none did


class Wrong(Exception):
    """The list is not one; the text says why."""


class Red(NamedTuple):
    test: str
    cause: str
    issue: str


def listed(folder: Path) -> list[Red]:
    path = folder / LIST
    found: list[Red] = []
    lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
    for number, line in enumerate(lines, 1):
        if not line.strip() or line.strip().startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != len(Red._fields) or not all(parts) or "::" not in parts[0]:
            raise Wrong(f"{LIST}:{number}: expected: test id | cause | issue")
        if any(parts[0] == red.test for red in found):
            raise Wrong(f"{LIST}:{number}: {parts[0]} is listed twice")
        if len(found) == MOST:
            raise Wrong(f"{LIST}:{number}: more than {MOST} tests")
        found.append(Red(*parts))
    return found


def pytest_collection_modifyitems(config, items: list) -> None:
    """Passes over just the listed tests; in the worker processes, which collect for themselves."""
    red = {one.test for one in listed(config.rootpath)}
    config.hook.pytest_deselected(items=[item for item in items if item.nodeid in red])
    items[:] = [item for item in items if item.nodeid not in red]


def pytest(folder: Path, *args: str, is_quiet: bool = False) -> subprocess.CompletedProcess:
    path = os.pathsep.join(filter(None, [str(Path(__file__).resolve().parent), os.environ.get("PYTHONPATH")]))
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-q", *args],
        cwd=folder,
        text=True,
        check=False,
        env={**os.environ, "PYTHONPATH": path},
        capture_output=is_quiet,
    )


def check(folder: Path) -> None:
    """Raises ``Wrong`` where the verdict is no."""
    reds = listed(folder)
    for red in reds:
        shown = pytest(folder, "-n", "0", "--collect-only", red.test, is_quiet=True)
        names = [line for line in shown.stdout.splitlines() if "::" in line and " " not in line.split("[")[0]]
        if shown.returncode or names != [red.test]:
            raise Wrong(f"{LIST}: {red.test} does not name one test")
    if pytest(folder, *(["-p", "known_red"] if reds else [])).returncode:
        raise Wrong("the suite fails")
    for red in reds:
        status = pytest(folder, "-n", "0", red.test, is_quiet=True).returncode
        if not status:
            raise Wrong(f"{LIST}: {red.test} passes: its line has to go")
        if status != FAILED:
            raise Wrong(f"{LIST}: {red.test} did not run: pytest's exit status is {status}")
        print(f"known red: {red.test}: {red.cause} ({red.issue})", flush=True)


def main() -> int:
    folder = Path(sys.argv[1]) if len(sys.argv) > 1 else Path(__file__).resolve().parent.parent
    if not folder.is_dir():
        print(f"known_red: {folder}: no such folder", file=sys.stderr)
        return 2
    try:
        check(folder.resolve())
    except Wrong as wrong:
        print(wrong, file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
