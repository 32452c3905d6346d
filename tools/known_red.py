"""The whole suite, but for tests that are known to fail for a fault that can't be mended now.

    python3 tools/known_red.py [FOLDER]      FOLDER: the repository; by default the one of this file

``KNOWN-RED.txt`` there lists them, one a line: test id | command and seed | what was seen | issue. The issue is an open
one, as #NUMBER. Blank lines and lines that begin with # are passed over; without the file, or with none listed, all
tests run. The listed ones run alone after the others, each by itself, and have to fail.

Exit status: 0 the suite passes and each listed test fails; 1 else: the suite fails, a line is malformed, its id names
no test or more than one, or its test passes or does not run; 2 no such folder.

pytest loads this file as a plugin, too: ``--deselect`` goes by how an id begins, and would pass over others with it.
"""

from __future__ import annotations

import os
import re
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

LIST = "KNOWN-RED.txt"
FORM = "test id | command and seed | what was seen | #issue"
ISSUE = re.compile(r"#[1-9][0-9]*")
FAILED = 1  # pytest's exit status where tests ran and some failed; anything else but 0 means that none did


class KnownRedError(Exception):
    """The list is malformed, or the suite or a listed test contradicts it; the text says where and why."""


class KnownFailure(NamedTuple):
    """An entry of the list."""

    test: str  # pytest's id
    command: str  # with the seed that shows the fault
    seen: str
    issue: str


def parse_entry(line: str, where: str) -> KnownFailure:
    """The entry of a line; ``where``: file and line number, for the error."""
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != len(KnownFailure._fields) or not all(fields):
        raise KnownRedError(f"{where}: expected: {FORM}")
    entry = KnownFailure(*fields)
    if "::" not in entry.test or not ISSUE.fullmatch(entry.issue):
        raise KnownRedError(f"{where}: expected: {FORM}")
    return entry


def read_list(folder: Path) -> list[KnownFailure]:
    """The entries of the repository's list; none where it has no such file."""
    path = folder / LIST
    entries: list[KnownFailure] = []
    try:
        lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
    except UnicodeDecodeError as error:
        raise KnownRedError(f"{LIST}: not UTF-8 at byte {error.start}") from error
    for number, line in enumerate(lines, 1):
        if not line.strip() or line.strip().startswith("#"):
            continue
        entry = parse_entry(line, f"{LIST}:{number}")
        if any(entry.test == other.test for other in entries):
            raise KnownRedError(f"{LIST}:{number}: {entry.test} is listed twice")
        entries.append(entry)
    return entries


def pytest_collection_modifyitems(config, items: list) -> None:
    """Passes over just the listed tests; in the worker processes, which collect for themselves."""
    listed = {entry.test for entry in read_list(config.rootpath)}
    config.hook.pytest_deselected(items=[item for item in items if item.nodeid in listed])
    items[:] = [item for item in items if item.nodeid not in listed]


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


def check_names_one_test(folder: Path, entry: KnownFailure) -> None:
    """Raise ``KnownRedError`` unless the entry's id is that of exactly one test."""
    shown = pytest(folder, "-n", "0", "--collect-only", entry.test, is_quiet=True)
    names = [line for line in shown.stdout.splitlines() if "::" in line and " " not in line.split("[")[0]]
    if shown.returncode or names != [entry.test]:
        raise KnownRedError(f"{LIST}: {entry.test} does not name one test")


def check_fails(folder: Path, entry: KnownFailure) -> None:
    """Raise ``KnownRedError`` unless the entry's test runs and fails."""
    status = pytest(folder, "-n", "0", entry.test, is_quiet=True).returncode
    if not status:
        raise KnownRedError(f"{LIST}: {entry.test} passes: its line has to go")
    if status != FAILED:
        raise KnownRedError(f"{LIST}: {entry.test} did not run: pytest's exit status is {status}")


def check(folder: Path) -> None:
    """Raise ``KnownRedError`` where the verdict is no."""
    entries = read_list(folder)
    for entry in entries:
        check_names_one_test(folder, entry)
    if pytest(folder, *(["-p", "known_red"] if entries else [])).returncode:
        raise KnownRedError("the suite fails")
    for entry in entries:
        check_fails(folder, entry)
        print(f"known red: {entry.test}: {entry.seen} ({entry.issue}); {entry.command}", flush=True)


def main() -> int:
    folder = Path(sys.argv[1]) if len(sys.argv) > 1 else Path(__file__).resolve().parent.parent
    if not folder.is_dir():
        print(f"known_red: {folder}: no such folder", file=sys.stderr)
        return 2
    try:
        check(folder.resolve())
    except KnownRedError as error:
        print(error, file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
