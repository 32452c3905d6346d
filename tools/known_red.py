"""Runs the test suite without the tests that are known to fail because of an open issue, and checks that those fail.

    python3 tools/known_red.py [FOLDER]      FOLDER: root of the repository; default: this one

``KNOWN-RED.txt`` in that folder lists them, one per line: test id | command and seed | what was seen | issue. The issue
is an open one, as #NUMBER. Blank lines and lines that start with # are ignored; without the file, or without entries,
all tests run. The listed tests run after the others, each in its own process, and must fail.

Exit status: 0 the suite passes and each listed test fails; 1 the suite fails, a line is malformed, its id names no test
or more than one, or its test passes or does not run; 2 no such folder.

pytest also loads this file as a plugin that deselects the listed tests by their whole ids: its option ``--deselect``
matches prefixes of ids and would deselect other tests as well.
"""

from __future__ import annotations

import os
import re
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

LIST_FILE = "KNOWN-RED.txt"
LINE_FORMAT = "test id | command and seed | what was seen | #issue"
ISSUE_PATTERN = re.compile(r"#[1-9][0-9]*")
TESTS_FAILED = 1  # pytest's exit status if tests ran and some failed; others but 0 mean that pytest could not run them


class KnownRedError(Exception):
    """The list is malformed, the suite fails, or a listed test does not fail; the message gives the reason."""


class KnownFailure(NamedTuple):
    """An entry of the list."""

    test: str  # pytest's node id
    command: str  # with the seed that reproduces the failure
    seen: str
    issue: str


def parse_entry(line: str, location: str) -> KnownFailure:
    """Parses a line of the list; ``location``: file and line number, for error messages."""
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != len(KnownFailure._fields) or not all(fields):
        raise KnownRedError(f"{location}: expected: {LINE_FORMAT}")
    entry = KnownFailure(*fields)
    if "::" not in entry.test or not ISSUE_PATTERN.fullmatch(entry.issue):
        raise KnownRedError(f"{location}: expected: {LINE_FORMAT}")
    return entry


def read_list(folder: Path) -> list[KnownFailure]:
    """Reads the list of the repository; empty if there is no such file."""
    path = folder / LIST_FILE
    entries: list[KnownFailure] = []
    try:
        lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
    except UnicodeDecodeError as error:
        raise KnownRedError(f"{LIST_FILE}: not UTF-8 at byte {error.start}") from error
    for number, line in enumerate(lines, 1):
        if not line.strip() or line.strip().startswith("#"):
            continue
        entry = parse_entry(line, f"{LIST_FILE}:{number}")
        if any(entry.test == other.test for other in entries):
            raise KnownRedError(f"{LIST_FILE}:{number}: {entry.test} is listed twice")
        entries.append(entry)
    return entries


def pytest_collection_modifyitems(config, items: list) -> None:
    """Deselects exactly the listed tests; also called in each worker process of pytest-xdist."""
    listed = {entry.test for entry in read_list(config.rootpath)}
    config.hook.pytest_deselected(items=[item for item in items if item.nodeid in listed])
    items[:] = [item for item in items if item.nodeid not in listed]


def run_pytest(folder: Path, *args: str, needs_keep_alive: bool = False) -> subprocess.CompletedProcess:
    path = os.pathsep.join(filter(None, [str(Path(__file__).resolve().parent), os.environ.get("PYTHONPATH")]))
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-q", *args],
        cwd=folder,
        text=True,
        check=False,
        env={**os.environ, "PYTHONPATH": path},
        capture_output=needs_keep_alive,
    )


def check_names_one_test(folder: Path, entry: KnownFailure) -> None:
    """Raise ``KnownRedError`` unless the entry's id is that of exactly one test."""
    collected = run_pytest(folder, "-n", "0", "--collect-only", entry.test, needs_keep_alive=True)
    test_ids = [line for line in collected.stdout.splitlines() if "::" in line and " " not in line.split("[")[0]]
    if collected.returncode or test_ids != [entry.test]:
        raise KnownRedError(f"{LIST_FILE}: {entry.test} does not name one test")


def check_fails(folder: Path, entry: KnownFailure) -> None:
    """Raise ``KnownRedError`` unless the entry's test runs and fails."""
    status = run_pytest(folder, "-n", "0", entry.test, needs_keep_alive=True).returncode
    if not status:
        raise KnownRedError(f"{LIST_FILE}: {entry.test} passes: its line has to go")
    if status != TESTS_FAILED:
        raise KnownRedError(f"{LIST_FILE}: {entry.test} did not run: pytest's exit status is {status}")


def check(folder: Path) -> None:
    """Raise ``KnownRedError`` unless the suite passes and each listed test fails."""
    entries = read_list(folder)
    for entry in entries:
        check_names_one_test(folder, entry)
    if run_pytest(folder, *(["-p", "known_red"] if entries else [])).returncode:
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
