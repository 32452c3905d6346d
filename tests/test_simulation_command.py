"""The command that runs the simulation manually."""

import os
import subprocess
import sys
from pathlib import Path

import pytest
from simulation.__main__ import main

from alderbridge.machines.heartbeats import HeartbeatHandler

ROOT = Path(__file__).parent.parent


def test_the_module_runs_and_reports_each_seed():
    result = subprocess.run(
        [sys.executable, "-m", "simulation", "--world", "one-zone", "--seeds", "1-2", "--until", "5"],
        cwd=ROOT,
        env=os.environ | {"PYTHONPATH": f"{ROOT}:{ROOT / 'tests'}"},
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == 0, result.stderr
    assert [line.split(";")[0] for line in result.stdout.splitlines()] == ["seed 1: ok", "seed 2: ok"]


def test_a_violated_invariant_is_named_with_its_seed(monkeypatch, capsys):
    monkeypatch.setattr(HeartbeatHandler, "_refuse_if_expired", lambda handler, machine, heartbeat: False)
    assert main(["--world", "one-zone", "--seeds", "10"]) == 1
    assert capsys.readouterr().out.startswith("seed 10: BROKEN zone_conflict: ")


@pytest.mark.parametrize(
    "arguments",
    (
        ["--seeds", "x"],
        ["--seeds", "5-3"],
        ["--machines", "0"],
        ["--until", "-1"],
        ["--until", "nan"],
        ["--world", "flat"],
        ["more"],
    ),
)
def test_invalid_arguments_are_refused_in_one_line(arguments, capsys):
    with pytest.raises(SystemExit) as exit_info:
        main(arguments)
    output = capsys.readouterr()
    assert exit_info.value.code == 2 and not output.out
    assert output.err.startswith("simulation: ") and output.err.count("\n") == 1
