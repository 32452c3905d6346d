"""The scale run: its models follow the protocol, its judge sees what is broken, and a small run works."""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import psutil
import pytest

from scale.cloud_model import CloudModel
from scale.experiment import Experiment, ExperimentError, Fault, read
from scale.jobs import JobPlan
from scale.judge import Judge
from scale.state_model import StateModel
from scale.worker_model import Event, TaskState, WorkerModel

ROOT = Path(__file__).resolve().parent.parent
PLAN = JobPlan(seed=1, teams=2, tasks=4, task_s=10.0, urgent_share=0.5)
SMALL = "[experiment]\ncontrollers = 3\nworkers = 6\nseconds = 9\njobs_a_minute = 60\ntask_s = 2\n"


# -- the state service and the cloud


def put(key, data=1, lease_id=None):
    return {"put": key, "data": data, **({"permit": lease_id} if lease_id else {})}


def test_transactions_are_whole_and_ordered():
    state = StateModel()
    assert state.commit({"if": [{"k": "a", "stamp": 0}], "writes": [put("a"), put("b")]}, 0.0).status == 200
    assert state.commit({"if": [{"k": "a", "stamp": 0}], "writes": [put("c")]}, 0.0).body["failed"] == ["a"]
    assert state.commit({"writes": [{"drop": "b"}, {"drop": "none"}]}, 0.0).body == {"epoch": 2}
    changes = state.changes_since("", 1).body["log"]
    assert changes == [{"drop": "b", "stamp": 2}] and state.changes_since("", 2) is None
    assert [row["k"] for row in state.rows("", "", 10).body["rows"]] == ["a"]


def test_a_store_lease_ends_with_its_keys_and_not_sooner_through_an_outage():
    state = StateModel()
    lease_id = state.new_hold(5000, 0.0).body["permit"]
    state.commit({"writes": [put("m", lease_id=lease_id)]}, 0.0)
    state.extend(lease_id, 4.0)
    state.down = True
    assert state.admit(20.0).status == 503 and "m" in state.data
    state.outage_over(20.0)
    assert state.admit(24.9) is None and "m" in state.data
    state.admit(25.2)
    assert "m" not in state.data and state.extend(lease_id, 25.3).status == 404
    assert state.commit({"writes": [put("m", lease_id=lease_id)]}, 25.3).status == 400


def test_rates_are_kept_with_a_burst_of_one_second():
    state = StateModel(requests_rate=10.0, changes_rate=4.0)
    assert [state.admit(1.0) for _ in range(10)] == [None] * 10 and state.admit(1.0).status == 429
    assert state.admit(1.2) is None
    assert state.commit({"writes": [put("a")] * 4}, 1.0).status == 200
    assert state.commit({"writes": [put("a")]}, 1.0).status == 429


def test_the_cloud_rents_once_for_a_name_and_no_more_than_it_has():
    cloud = CloudModel(["a", "b"], 5, 10.0, 4.0, 1)
    first = cloud.rent("r-1", "a", True, 10, 0.0).body["hosts"]
    assert len(first) == 3 and cloud.rent("r-1", "a", True, 10, 0.0).body["hosts"] == first
    assert cloud.rent("r-2", "a", False, 1, 0.0).status == 503 and cloud.rent("r-3", "b", False, 9, 0.0).status == 200
    assert not cloud.up(5.9) and len(cloud.up(15.1)) == 5
    assert not cloud.listed("", 500, 3.0).body["hosts"] and len(cloud.listed("", 500, 4.1).body["hosts"]) == 5
    cloud.give_back(first)
    assert len(cloud.up(15.1)) == 2


# -- workers


class Machine:
    def __init__(self):
        self.events: list[Event] = []
        self.model = WorkerModel("n-1", "a", True, "m", 1.0, 17.0, PLAN, 0.0, self.events.append)

    def answer(self, now, *orders, fencing_token=5, sent_at=None, incarnation=1):
        orders = [{"verb": verb, "part": part, "try": attempt, "wind_down_s": 0.0} for verb, part, attempt in orders]
        answer = {"mandate": fencing_token, "orders": orders}
        return self.model.on_answer(answer, incarnation, now if sent_at is None else sent_at, now)


def test_a_task_fetches_its_image_once_runs_and_ends():
    machine = Machine()
    assert machine.answer(1.0, ("run", "wk-000001/0", 7))
    task = machine.model.tasks["wk-000001/0"]
    assert task.state is TaskState.FETCHING
    machine.model.tick(2.1)
    assert task.state is TaskState.RUNNING and [event.what for event in machine.events] == ["on"]
    machine.model.tick(2.1 + 15.1)
    part = json.loads(machine.model.report(17.3))["parts"][0]
    assert part == {"part": "wk-000001/0", "try": 7, "status": "ended", "cause": "done"}
    assert machine.answer(17.4, ("clear", "wk-000001/0", 7), ("run", "wk-000001/1", 8))
    assert machine.model.tasks["wk-000001/1"].state is TaskState.RUNNING, "its image is there"


def test_late_older_and_former_answers_are_dropped_and_renew_nothing():
    machine = Machine()
    assert machine.answer(1.0, ("run", "wk-000001/0", 7))
    assert not machine.answer(6.0, ("run", "wk-000001/1", 8), sent_at=1.5)
    assert not machine.answer(6.0, ("run", "wk-000001/1", 8), fencing_token=4)
    assert list(machine.model.tasks) == ["wk-000001/0"] and machine.model.answered_at == 1.0
    machine.model.tick(18.1)
    assert not machine.model.tasks and (machine.model.incarnation, machine.model.sequence) == (2, 0)
    assert not machine.answer(18.2, ("run", "wk-000001/1", 8), incarnation=1)


def test_a_lease_ends_at_its_time_however_late_that_is_looked_at():
    """Looked at up to 4 s late, while a report waited for its answer, tasks seemed to run on two machines."""
    machine = Machine()
    assert machine.answer(1.0, ("run", "wk-000001/0", 7), ("run", "wk-000002/0", 7))
    end = machine.model.plan.run_s("wk-000001/0")
    machine.model.tick(60.0)
    lapse = 1.0 + 17.0
    ended = [(event.at, event.what) for event in machine.events if event.what != "on"]
    assert max(at for at, _ in ended) <= lapse and machine.model.incarnation == 1 + int(59.0 // 17.0)
    assert (2.0 + end < lapse) is any(what == "done" for _, what in ended) and len(ended) == 2


def test_direct_commands_need_token_and_session_and_renew_nothing():
    machine = Machine()
    assert machine.model.on_commands({"mandate": 3}, 1.0) == 400
    assert machine.model.on_commands({"mandate": 3, "tenure": 2, "orders": []}, 1.0) == 409
    assert machine.model.on_commands({"mandate": 3, "tenure": 1, "orders": []}, 1.0) == 200
    assert machine.model.on_commands({"mandate": 2, "tenure": 1, "orders": []}, 1.0) == 409
    assert machine.model.changed and machine.model.answered_at == 0.0


# -- the judge


def on(at, machine, part, number=1):
    return Event(at, number, machine, part, "on")


def off(at, machine, part, number=2):
    return Event(at, number, machine, part, "off")


def test_the_judge_takes_what_came_at_one_moment_in_its_order():
    """A task that started and was halted in one tick was counted as running on: a team's limit seemed broken."""
    events = [on(1.0, "n-1", f"wk-000001/{n}", 2 * n) for n in range(9)]
    events += [off(1.0, "n-1", f"wk-000001/{n}", 2 * n + 1) for n in range(9)]
    assert Judge(PLAN, most_cpus=4.0, cancel_s=42.0).judge(events, {}) == []


@pytest.mark.parametrize(
    "events, cancelled, broken",
    [
        (
            [on(1.0, "n-1", "wk-000001/0"), off(2.0, "n-1", "wk-000001/0"), on(3.0, "n-2", "wk-000001/0")],
            {},
            "",
        ),
        ([on(1.0, "n-1", "wk-000001/0"), on(3.0, "n-2", "wk-000001/0")], {}, "ran_twice"),
        ([on(float(n), "n-1", f"wk-000001/{n}") for n in range(9)], {}, "quota"),
        (
            [on(1.0, "n-1", "wk-000001/0"), off(50.0, "n-1", "wk-000001/0")],
            {"wk-000001": 5.0},
            "ran_cancelled",
        ),
        ([on(1.0, "n-1", "wk-000001/0"), off(40.0, "n-1", "wk-000001/0")], {"wk-000001": 5.0}, ""),
    ],
)
def test_the_judge_sees_what_is_broken(events, cancelled, broken):
    found = Judge(PLAN, most_cpus=8.0, cancel_s=42.0).judge(reversed(events), cancelled)
    assert bool(found) is bool(broken) and all(line.startswith(broken) for line in found)


# -- experiments


@pytest.mark.parametrize(
    "text, told",
    [
        ("[experiment]\nworker = 3\n", "no such setting"),
        ("[experiment]\nworkers = many\n", "expected a number"),
        ("[experiment]\nworkers = 0\n", "workers = 0: expected 1 to 4000"),
        ("[experiment]\ncontrollers = 0\n", "controllers = 0: expected 1 to 16"),
        ("[experiment]\nworkers = 4000\nworkers_per_process = 10\n", "processes: at most 200"),
        ("[other]\n", "expected [experiment] or [fault NAME]"),
        ("workers = 3\n", "no section headers"),
        ("[fault 1]\nkind = flood\n", "expected one of"),
        ("[fault 1]\nkind = kill controller\nat_s = 5\n", "must be numbers"),
        ("[fault 1]\nkind = kill controller\nat_s = 5\nfor_s = 1\ntarget = host-9\n", "is not among"),
        ("[fault 1]\nkind = state refuses\nat_s = 99\nfor_s = 1\n", "the run has 30 s"),
    ],
)
def test_a_faulty_experiment_gets_one_clear_line(tmp_path, text, told):
    path = tmp_path / "one.ini"
    path.write_text(text)
    done = subprocess.run(
        [sys.executable, "tools/scale_run.py", str(path)], cwd=ROOT, capture_output=True, text=True, timeout=30
    )
    assert done.returncode == 2 and told in done.stderr and done.stderr.count("\n") == 1


@pytest.mark.parametrize(
    "more, told",
    [
        (["--beside", "nowhere"], "no run.py there"),
        (["--out", "nowhere/results.json"], "no such folder"),
        (["--set", "workers"], "expected NAME=VALUE"),
        (["--set", "controllers=0"], "controllers = 0"),
    ],
)
def test_a_faulty_option_gets_one_clear_line(more, told):
    command = [sys.executable, "tools/scale_run.py", "scale/experiments/smallest.ini", *more]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=30)
    assert done.returncode == 2 and told in done.stderr and done.stderr.count("\n") == 1


def test_half_of_the_memory_and_too_many_sockets_are_refused():
    one = Experiment(workers=3600, controllers=16)
    one.check(24_000.0, 20_000)
    with pytest.raises(ExperimentError, match="at most half of 4000 MB"):
        one.check(4_000.0, 20_000)
    with pytest.raises(ExperimentError, match="sockets"):
        one.check(24_000.0, 1024)
    with pytest.raises(ExperimentError, match="target"):
        Experiment(faults=[Fault("cut zone", 1.0, 1.0, "zone-7")]).check(24_000.0, 20_000)


@pytest.mark.parametrize("path", sorted((ROOT / "scale" / "experiments").glob("*.ini")), ids=lambda path: path.stem)
def test_the_experiments_that_come_along_can_be_played_on_a_machine_of_24_gb(path):
    read(path).check(24_000.0, 20_000)


def test_a_small_run_with_a_killed_controller_breaks_no_rule_and_leaves_nothing_behind(tmp_path):
    path, out = tmp_path / "one.ini", tmp_path / "out.json"
    path.write_text(SMALL + "[fault 1]\nkind = kill controller\nat_s = 3\nfor_s = 1\ntarget = host-0\n")
    done = subprocess.run(
        [sys.executable, "tools/scale_run.py", str(path), "--out", str(out), "--keep", str(tmp_path / "kept")],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=90,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    results = json.loads(out.read_text())
    assert results["broken"] == [] and results["starts_a_second"]["most"] > 0
    assert results["roles"]["controller"]["processes"] == 4, "three, and the one that was started again"
    assert not left_running(tmp_path)


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_run_leaves_nothing_behind(tmp_path, number):
    path = tmp_path / "one.ini"
    path.write_text(SMALL.replace("seconds = 9", "seconds = 60"))
    process = subprocess.Popen(
        [sys.executable, "tools/scale_run.py", str(path), "--keep", str(tmp_path / "kept")],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        stdout=subprocess.DEVNULL,
        text=True,
    )
    end = time.monotonic() + 30.0
    while not (tmp_path / "kept" / "hollow-0.log").exists() and time.monotonic() < end:
        time.sleep(0.1)
    assert left_running(tmp_path)
    os.kill(process.pid, number)
    assert process.wait(30.0) == 1 and "nothing is left running" in process.stderr.read()
    assert not left_running(tmp_path)


def left_running(folder):
    """Processes whose command line names the run's folder."""
    found = []
    for process in psutil.process_iter(["cmdline"]):
        command = process.info["cmdline"] or []
        if any(str(folder / "kept") in word for word in command) and "scale_run.py" not in " ".join(command):
            found.append(process.pid)
    return found
