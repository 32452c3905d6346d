"""The bench tools share a simulation; guards against a change for one of them that breaks another."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent


@pytest.mark.parametrize(
    "command, message",
    [
        (["bench_node.py", "--machines", "20", "--controllers", "3", "--teams", "6", "--seconds", "5"], "QueueDelta"),
        (["bench_fall.py", "--machines", "20"], "starts"),
        (["bench_replica.py", "--jobs", "500", "1000", "2000"], "2000 jobs predicted"),
    ],
)
def test_a_small_bench_runs(command, message):
    name, *options = command
    done = subprocess.run(
        [sys.executable, f"tools/{name}", *options], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert done.returncode == 0, done.stderr
    assert message in done.stdout
