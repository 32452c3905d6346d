"""Scale tests: the models follow the protocol, the checker finds violations, and a small run works."""

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
from scale.judge import InvariantChecker
from scale.state_model import StateModel
from scale.worker_model import Event, TaskState, WorkerModel

ROOT = Path(__file__).resolve().parent.parent
PLAN = JobPlan(seed=1, teams=2, tasks=4, task_s=10.0, urgent_share=0.5)
SMALL = "[experiment]\ncontrollers = 3\nworkers = 6\nseconds = 9\njobs_a_minute = 60\ntask_s = 2\n"


def put(key, data=1, lease_id=None):
    return {"put": key, "data": data, **({"permit": lease_id} if lease_id else {})}


def test_transactions_are_atomic_and_ordered():
    state = StateModel()
    assert state.commit({"if": [{"k": "a", "stamp": 0}], "writes": [put("a"), put("b")]}, 0.0).status == 200
    assert state.commit({"if": [{"k": "a", "stamp": 0}], "writes": [put("c")]}, 0.0).body["failed"] == ["a"]
    assert state.commit({"writes": [{"drop": "b"}, {"drop": "none"}]}, 0.0).body == {"epoch": 2}
    changes = state.changes_since("", 1).body["log"]
    assert changes == [{"drop": "b", "stamp": 2}] and state.changes_since("", 2) is None
    assert [row["k"] for row in state.rows("", "", 10).body["rows"]] == ["a"]


def test_a_lease_expires_with_its_keys_and_an_outage_extends_it():
    state = StateModel()
    lease_id = state.new_hold(5000, 0.0).body["permit"]
    state.commit({"writes": [put("m", lease_id=lease_id)]}, 0.0)
    state.extend(lease_id, 4.0)
    state.down = True
    assert state.admit(20.0).status == 503 and "m" in state.data
    state.end_outage(20.0)
    assert state.admit(24.9) is None and "m" in state.data
    state.admit(25.2)
    assert "m" not in state.data and state.extend(lease_id, 25.3).status == 404
    assert state.commit({"writes": [put("m", lease_id=lease_id)]}, 25.3).status == 400


def test_rate_limits_allow_a_burst_of_one_second():
    state = StateModel(requests_rate=10.0, changes_rate=4.0)
    assert [state.admit(1.0) for _ in range(10)] == [None] * 10 and state.admit(1.0).status == 429
    assert state.admit(1.2) is None
    assert state.commit({"writes": [put("a")] * 4}, 1.0).status == 200
    assert state.commit({"writes": [put("a")]}, 1.0).status == 429


def test_the_cloud_rents_once_per_rental_id_and_within_its_capacity():
    cloud = CloudModel(["a", "b"], 5, 10.0, 4.0, 1)
    first = cloud.rent("r-1", "a", True, 10, 0.0).body["hosts"]
    assert len(first) == 3 and cloud.rent("r-1", "a", True, 10, 0.0).body["hosts"] == first
    assert cloud.rent("r-2", "a", False, 1, 0.0).status == 503 and cloud.rent("r-3", "b", False, 9, 0.0).status == 200
    assert not cloud.up(5.9) and len(cloud.up(15.1)) == 5
    assert not cloud.listed("", 500, 3.0).body["hosts"] and len(cloud.listed("", 500, 4.1).body["hosts"]) == 5
    cloud.return_machines(first)
    assert len(cloud.up(15.1)) == 2


class RecordedWorker:
    def __init__(self):
        self.events: list[Event] = []
        self.model = WorkerModel("n-1", "a", True, "m", 1.0, 17.0, PLAN, 0.0, self.events.append)

    def respond(self, now, *orders, fencing_token=5, sent_at=None, incarnation=1):
        orders = [{"verb": verb, "part": part, "try": attempt, "wind_down_s": 0.0} for verb, part, attempt in orders]
        response = {"mandate": fencing_token, "orders": orders}
        return self.model.on_response(response, incarnation, now if sent_at is None else sent_at, now)


def test_a_task_fetches_its_image_once_runs_and_ends():
    worker = RecordedWorker()
    assert worker.respond(1.0, ("run", "wk-000001/0", 7))
    task = worker.model.tasks["wk-000001/0"]
    assert task.state is TaskState.FETCHING
    worker.model.tick(2.1)
    assert task.state is TaskState.RUNNING and [event.kind for event in worker.events] == ["on"]
    worker.model.tick(2.1 + 15.1)
    reported = json.loads(worker.model.heartbeat(17.3))["parts"][0]
    assert reported == {"part": "wk-000001/0", "try": 7, "status": "ended", "cause": "done"}
    assert worker.respond(17.4, ("clear", "wk-000001/0", 7), ("run", "wk-000001/1", 8))
    assert worker.model.tasks["wk-000001/1"].state is TaskState.RUNNING, "its image is cached"


def test_late_and_outdated_responses_are_discarded_without_renewing_the_lease():
    worker = RecordedWorker()
    assert worker.respond(1.0, ("run", "wk-000001/0", 7))
    assert not worker.respond(6.0, ("run", "wk-000001/1", 8), sent_at=1.5)
    assert not worker.respond(6.0, ("run", "wk-000001/1", 8), fencing_token=4)
    assert list(worker.model.tasks) == ["wk-000001/0"] and worker.model.lease_renewed_at == 1.0
    worker.model.tick(18.1)
    assert not worker.model.tasks and (worker.model.incarnation, worker.model.sequence) == (2, 0)
    assert not worker.respond(18.2, ("run", "wk-000001/1", 8), incarnation=1)


def test_a_lease_expires_at_its_time_however_late_the_model_is_polled():
    """A late expiry would make tasks appear to run on two machines."""
    worker = RecordedWorker()
    assert worker.respond(1.0, ("run", "wk-000001/0", 7), ("run", "wk-000002/0", 7))
    end = worker.model.plan.run_s("wk-000001/0")
    worker.model.tick(60.0)
    expired_at = 1.0 + 17.0
    ended = [(event.occurred_at, event.kind) for event in worker.events if event.kind != "on"]
    assert max(ended_at for ended_at, _ in ended) <= expired_at and worker.model.incarnation == 1 + int(59.0 // 17.0)
    assert (2.0 + end < expired_at) is any(kind == "done" for _, kind in ended) and len(ended) == 2


def test_direct_commands_need_fencing_token_and_incarnation_and_do_not_renew_the_lease():
    worker = RecordedWorker()
    assert worker.model.on_commands({"mandate": 3}, 1.0) == 400
    assert worker.model.on_commands({"mandate": 3, "tenure": 2, "orders": []}, 1.0) == 409
    assert worker.model.on_commands({"mandate": 3, "tenure": 1, "orders": []}, 1.0) == 200
    assert worker.model.on_commands({"mandate": 2, "tenure": 1, "orders": []}, 1.0) == 409
    assert worker.model.changed and worker.model.lease_renewed_at == 0.0


def on(occurred_at, machine, task_id, number=1):
    return Event(occurred_at, number, machine, task_id, "on")


def off(occurred_at, machine, task_id, number=2):
    return Event(occurred_at, number, machine, task_id, "off")


def test_the_checker_orders_events_of_the_same_time_by_number():
    """Otherwise a task that starts and stops in one tick would count as running and exceed the team's limit."""
    events = [on(1.0, "n-1", f"wk-000001/{n}", 2 * n) for n in range(9)]
    events += [off(1.0, "n-1", f"wk-000001/{n}", 2 * n + 1) for n in range(9)]
    assert InvariantChecker(PLAN, max_cpus=4.0, cancel_s=42.0).find_violations(events, {}) == []


@pytest.mark.parametrize(
    "events, cancelled, violation",
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
def test_the_checker_finds_violations(events, cancelled, violation):
    found = InvariantChecker(PLAN, max_cpus=8.0, cancel_s=42.0).find_violations(reversed(events), cancelled)
    assert bool(found) is bool(violation) and all(line.startswith(violation) for line in found)


@pytest.mark.parametrize(
    "text, message",
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
        ("[fault 1]\nkind = state refuses\nat_s = 99\nfor_s = 1\n", "the run lasts 30 s"),
    ],
)
def test_an_invalid_experiment_gets_a_one_line_error(tmp_path, text, message):
    path = tmp_path / "one.ini"
    path.write_text(text)
    done = subprocess.run(
        [sys.executable, "tools/scale_run.py", str(path)], cwd=ROOT, capture_output=True, text=True, timeout=30
    )
    assert done.returncode == 2 and message in done.stderr and done.stderr.count("\n") == 1


@pytest.mark.parametrize(
    "options, message",
    [
        (["--beside", "nowhere"], "no run.py there"),
        (["--out", "nowhere/results.json"], "no such folder"),
        (["--set", "workers"], "expected NAME=VALUE"),
        (["--set", "controllers=0"], "controllers = 0"),
    ],
)
def test_an_invalid_option_gets_a_one_line_error(options, message):
    command = [sys.executable, "tools/scale_run.py", "scale/experiments/smallest.ini", *options]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=30)
    assert done.returncode == 2 and message in done.stderr and done.stderr.count("\n") == 1


def test_more_than_half_of_the_memory_and_too_many_sockets_are_refused():
    one = Experiment(workers=3600, controllers=16)
    one.check(24_000.0, 20_000)
    with pytest.raises(ExperimentError, match="at most half of 4000 MB"):
        one.check(4_000.0, 20_000)
    with pytest.raises(ExperimentError, match="sockets"):
        one.check(24_000.0, 1024)
    with pytest.raises(ExperimentError, match="target"):
        Experiment(faults=[Fault("cut zone", 1.0, 1.0, "zone-7")]).check(24_000.0, 20_000)


@pytest.mark.parametrize("path", sorted((ROOT / "scale" / "experiments").glob("*.ini")), ids=lambda path: path.stem)
def test_the_included_experiments_fit_a_machine_with_24_gb(path):
    read(path).check(24_000.0, 20_000)


def test_a_small_run_with_a_killed_controller_has_no_violations_and_leaves_no_processes(tmp_path):
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
    assert results["roles"]["controller"]["processes"] == 4, "three, and the restarted one"
    assert not running_processes(tmp_path)


@pytest.mark.parametrize("signal_number", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_run_leaves_no_processes(tmp_path, signal_number):
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
    assert running_processes(tmp_path)
    os.kill(process.pid, signal_number)
    assert process.wait(30.0) == 1 and "nothing is left running" in process.stderr.read()
    assert not running_processes(tmp_path)


def running_processes(folder):
    """Processes whose command line names the run's folder."""
    found = []
    for process in psutil.process_iter(["cmdline"]):
        command = process.info["cmdline"] or []
        if any(str(folder / "kept") in word for word in command) and "scale_run.py" not in " ".join(command):
            found.append(process.pid)
    return found
