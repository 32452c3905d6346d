"""Team quotas hold while tasks of cancelled jobs remain on unreachable machines and leaders and job owners change."""

from __future__ import annotations

import math
import sys
import time
from unittest.mock import patch

import msgspec
import pytest
import simulation
from simulation import LEASE_S, TYPES, InvariantViolation, World
from test_machine_proofs import MachineShardHarness
from test_machines import SPEC

from alderbridge import constants
from alderbridge.jobs.dependencies import Graph
from alderbridge.jobs.job import Job
from alderbridge.jobs.record import JobState, Record
from alderbridge.jobs.shard import JobShard
from alderbridge.jobs.task_states import TaskRun, TaskState
from alderbridge.leader.leader import Leader, LeaderSettings
from alderbridge.membership.membership import Membership
from alderbridge.membership.records import View
from alderbridge.protocol import wire
from alderbridge.protocol.keys import VIEW
from alderbridge.protocol.messages import (
    MachineTaskReport,
    QueueRow,
    QueueSnapshot,
    TaskGrant,
    TaskRequest,
    TaskStatusReport,
)
from alderbridge.protocol.wire import MachineRecord
from alderbridge.reconciliation import TRANSITIONS, Action, Barrier, ObservedState, RecordedState
from alderbridge.scheduling import placement
from alderbridge.settings import Team, Tuning
from alderbridge.state.replica import Replica

CPUS = 4.0
BOUND = msgspec.structs.replace(SPEC, tasks=2, cpus=CPUS, team="bound", spot=True)
LIMIT = Team("bound", cpus_max=2 * CPUS)


class InheritingShard:
    """A job shard that inherits a cancelled job of a team at its limit; the job's record still has the description."""

    def __init__(self, machines=("n-1", "n-2"), state=JobState.ABORTED, spec=BOUND) -> None:
        self.sent: list = []
        self.job_shard = JobShard(
            [LIMIT],
            lambda label, body: self.sent.append(body) or len(self.sent),
            4096,
            machine_owner=lambda machine: "host-0",
        )
        self.records = {name: MachineRecord("x", "c4", "a") for name in machines}
        self.enter_view(6, state, spec)

    def enter_view(self, fencing_token, state=JobState.ABORTED, spec=BOUND):
        """Enters a new view with only the stored record of the job."""
        self.job = Job(Record(state, "host-3", 0.0, spec.tasks, [], spec), 8, 0.0, 5.0)
        self.job.inherited = True
        self.job_shard.enter_view(fencing_token, {spec.id: self.job}, self.records)
        self.job_shard.settled = True

    def report(self, machine, live=(), pending=(), now=1.0):
        tasks = [TaskStatusReport(BOUND.id, index, 70 + index, "running", None) for index in live]
        pending = [(BOUND.id, index, 70 + index) for index in pending]
        self.job_shard.task_reports.on_task_report("host-0", MachineTaskReport(machine, "a", 0, tasks, pending), now)

    @property
    def used(self):
        kept, counted = dict(self.job_shard.tally.teams), self.job_shard.usage.used()
        assert kept.get("bound", (0.0, 0.0)) == counted.get("bound", (0.0, 0.0))
        return counted.get("bound", (0.0, 0.0))[0] / CPUS

    @property
    def drops_description(self):
        """Whether the description is due to be dropped from the record, after which nobody counts the job's tasks."""
        return any(job is self.job and rank == 3.0 for rank, job in self.job_shard.record_writes.due(2.0))


def test_ordered_task_of_cancelled_job_counts_at_the_next_owner_until_a_heartbeat_settles_it():
    """Guards against freeing quota for an ordered task that an unreachable machine may still run for a lease."""
    reports, successor = MachineShardHarness(), InheritingShard()
    reports.heartbeat(1.0, 1)
    reports.grant(0, 70)
    assert reports.orders() == [("run", "wk-1/0", 70)]
    reports.machine_shard.jobs.is_aborted = lambda job: True
    reports.take_owner_reports()
    reports.enter_view(6, 2.0, settle=False, inherit_tasks=True)
    reports.machine_shard.leases.settle(2.5)
    ((reported, pending),) = reports.take_owner_reports()
    assert (reported, pending) == ([], [("wk-1", 0, 70)])
    successor.report("n-2")
    assert successor.used == 2, "both may be on the machine that has not reported"
    successor.report("n-1", pending=[0])
    assert successor.used == 1 and not successor.drops_description, "the task may be on that machine"
    assert successor.job_shard.usage.remaining_tasks("bound", successor.job_shard.tally.teams["bound"], BOUND) == 0
    successor.enter_view(7)
    successor.report("n-1", pending=[0])
    successor.report("n-2")
    assert successor.used == 1 and not successor.drops_description, "also under the following view"
    successor.report("n-1", live=[0])
    assert successor.used == 1 and successor.job.runs[0].state is TaskState.RUNNING
    successor.report("n-1")
    assert successor.used == 0 and successor.drops_description, "the machine reported without the task"


def test_unsettled_order_is_adopted_for_known_jobs_without_recorded_run_or_result():
    for recorded in (RecordedState.JOB_ENDED, RecordedState.WAITING, RecordedState.POSSIBLY_HERE):
        assert TRANSITIONS[recorded][ObservedState.PENDING] is Action.ADOPT


def test_record_keeps_its_description_until_its_cancelled_job_is_on_no_machine():
    """No job shard owns a job without description, so the next leader would not count its tasks."""
    successor = InheritingShard()
    successor.report("n-1", live=[1])
    successor.report("n-2")
    assert successor.used == 1 and successor.job.to_record(4096).spec == BOUND and not successor.job.is_complete
    successor.enter_view(7)
    assert successor.used == 2, "without reports the next owner counts all tasks that may be running"
    successor.report("n-2")
    successor.report("n-1")  # its lease expired, or it was terminated
    assert (
        successor.used == 0
        and successor.drops_description
        and successor.job.to_record(4096) == Record(JobState.ABORTED)
    )


def test_quota_allocation_of_the_previous_leader_grants_nothing_under_the_next():
    successor = InheritingShard(machines=())
    job = Job(
        Record(JobState.ACTIVE, "host-1", 0.0, 2, [], msgspec.structs.replace(BOUND, id="wk-2")),
        1,
        0.0,
        0.0,
        never_started=True,
    )
    successor.job_shard.add(job)
    successor.job_shard.usage.allocate({"bound": (2 * CPUS, 0.0)})
    assert successor.job_shard.grants.remaining_quota_tasks(job) == 2
    successor.job_shard.enter_view(7, {"wk-2": job}, {})
    successor.job_shard.grants.on_task_request("host-0", TaskRequest(1, "wk-2", "n-1", "a", 2), 1.0, True)
    assert successor.sent[-1] == TaskGrant(1, "wk-2", "n-1", []) and not job.runs
    successor.job_shard.usage.allocate({"bound": (CPUS, 0.0)})
    successor.job_shard.grants.on_task_request("host-0", TaskRequest(2, "wk-2", "n-1", "a", 2), 1.0, True)
    assert len(job.runs) == 1


class QuotaCluster:
    """A leader and two job shards with running and waiting tasks of one team."""

    def __init__(self, limit: float, waited_s: float = 30.0) -> None:
        membership = Membership("host-0", 20.0, 12.0)
        replica = Replica(membership, Graph(lambda spec: 1.0, []))
        self.leader = Leader(LeaderSettings([Team("t", cpus_max=limit)], ["a"], Tuning(), 1.0, LEASE_S), replica)
        self.leader.enter_view(["host-0", "host-1"], 0.0)
        self.job_shards = {
            label: JobShard(self.leader.teams, lambda label, body: 1, 4096) for label in self.leader.members
        }
        for job_shard in self.job_shards.values():
            job_shard.enter_view(5, {}, {})
        self.rows: dict[str, list[QueueRow]] = {label: [] for label in self.job_shards}
        self.waited_s = waited_s

    def job(self, label: str, name: str, cpus: float, tasks: int, running: int, due_s: float) -> Job:
        spec = msgspec.structs.replace(SPEC, id=name, cpus=cpus, tasks=tasks)
        record = Record(JobState.ACTIVE, label, 0.0, tasks, [], spec)
        job = Job(record, 1, 0.0, 0.0, never_started=True)
        self.leader.replica.observe_job(name, record, 1)
        self.job_shards[label].add(job)
        for _ in range(running):
            index = job.next_task(0.0)
            job.grant(index, TaskRun("n-1", "a", 7, 0, TaskState.RUNNING, 0.0))
        self.rows[label].append(QueueRow(name, job.waiting, 0, due_s, 10.0, None, self.waited_s, False, False))
        return job

    def allocate_and_confirm(self, rounds: int = 4) -> dict[str, float]:
        """The CPUs allocated to each job shard after this many rounds of allocation and confirmation."""
        for _ in range(rounds):
            for label, job_shard in self.job_shards.items():
                used = job_shard.usage.used()
                queue = QueueSnapshot(
                    self.rows[label],
                    used,
                    job_shard.usage.reserved(used),
                    job_shard.usage.demand(used),
                    job_shard.usage.allocations_received,
                )
                self.leader.on_queue(label, queue, 1.0)
            reserved = sum(
                job_shard.usage.reserved(job_shard.usage.used()).get("t", (0.0, 0.0))[0]
                for job_shard in self.job_shards.values()
            )
            assert reserved <= self.leader.teams[0].cpus_max + 1e-6
            for label, teams in self.leader.quota_updates(1.0).items():
                self.job_shards[label].usage.allocate(teams)
        return {
            label: job_shard.usage.allocated.get("t", (0.0, 0.0))[0] for label, job_shard in self.job_shards.items()
        }


def test_quota_too_small_for_a_task_of_the_first_job_is_allocated_to_the_next():
    """Guards against quota that stays at a shard whose next task does not fit it, while smaller tasks wait."""
    cluster = QuotaCluster(10.0)
    cluster.job("host-0", "wk-1", 4.0, 5, 2, 10.0)
    small = cluster.job("host-1", "wk-2", 1.0, 9, 0, 20.0)
    assert cluster.allocate_and_confirm()["host-1"] >= 2.0
    assert cluster.job_shards["host-1"].grants.remaining_quota_tasks(small) == 2


def test_quota_is_reserved_for_a_starved_job():
    """Guards against small tasks of other shards that take each freed CPU, so that a large task never starts."""
    cluster = QuotaCluster(10.0, waited_s=constants.STARVATION_TIMEOUT_S)
    cluster.job("host-0", "wk-0", 7.0, 1, 1, 5.0)
    cluster.job("host-0", "wk-1", 4.0, 5, 0, 10.0)
    cluster.job("host-1", "wk-2", 1.0, 9, 0, 20.0)
    assert cluster.allocate_and_confirm() == {"host-0": 10.0, "host-1": 0.0}


def test_new_leader_allocates_nothing_before_every_job_shard_has_reported():
    """A shard that has not reported may use the whole limit, even with tasks of cancelled jobs alone."""
    cluster = QuotaCluster(10.0)
    cluster.job("host-1", "wk-2", 1.0, 9, 0, 20.0)
    job_shard = cluster.job_shards["host-1"]
    cluster.leader.on_queue("host-1", QueueSnapshot(cluster.rows["host-1"], {}, {}, job_shard.usage.demand({}), 0), 1.0)
    assert cluster.leader.quota_updates(1.0) == {}
    cluster.leader.on_queue(
        "host-0", QueueSnapshot([], {"t": (8.0, 0.0)}, {"t": (8.0, 0.0)}, {"t": (8.0, 0.0)}, 0), 1.0
    )
    assert cluster.leader.quota_updates(1.0)["host-1"]["t"][0] == 2.0


def test_quota_withdrawn_from_one_job_shard_is_allocated_to_the_other_once_confirmed():
    cluster = QuotaCluster(10.0)
    cluster.job("host-0", "wk-1", 1.0, 9, 0, 10.0)
    assert cluster.allocate_and_confirm()["host-0"] >= 9.0
    cluster.rows["host-0"] = []  # its job was cancelled
    cluster.job("host-1", "wk-2", 1.0, 9, 0, 20.0)
    assert cluster.allocate_and_confirm(1)["host-1"] <= 1.0, "host-0 may have granted tasks on its allocation"
    assert cluster.allocate_and_confirm()["host-1"] >= 9.0


LIMITED_TEAMS = [
    Team("red", cpus=4.0, cpus_max=12.0),
    Team("green", cpus_max=16.0),
    Team("blue", cpus=8.0, cpus_max=8.0),
]
FAULT_PERIODS, FAULT_PERIOD_S = 4, 26.0
MAX_AVOIDABLE_WAIT_S = 90.0  # longest allowed wait after the faults while quota and free capacity suffice


class LimitsWorld(World):
    """Long jobs of three teams with limits, cancelled while machines, leaders and other controllers fail."""

    def __init__(self, seed: int, nodes: int, **more) -> None:
        self.peak = {team.name: 0.0 for team in LIMITED_TEAMS}
        self.full_at: dict[str, float] = {}
        self.cancelled_running = self.cancelled_unreachable = 0
        self.faults_over_at = math.inf  # when all faults are over
        # job -> since when it waits though quota and free capacity suffice
        self.avoidable_wait_since: dict[str, float] = {}
        super().__init__(seed, jobs=0, random_faults=False, nodes=nodes, machines=30, **more)
        self.has_concurrent_faults = True  # users cancel through any controller
        rng = self.rng
        for number in range(36):
            self.after(
                rng.uniform(1.0, 15.0) if number < 15 else rng.uniform(15.0, 110.0),
                self.submit,
                self.make_bound(number),
            )
        for number in range(FAULT_PERIODS):
            self.after(30.0 + FAULT_PERIOD_S * number + rng.uniform(0.0, 10.0), self.inject_faults)

    def make_bound(self, number: int):
        rng, service = self.rng, self.rng.random() < 0.15
        return msgspec.structs.replace(
            self.make_job(number),
            team=LIMITED_TEAMS[number % 3].name,
            kind="standing" if service else "sweep",
            tasks=2 if service else rng.randint(1, 9),
            job_class="long",
            spot=True,
            types=None,
            estimate_s=0.0 if service else 60.0,
        )

    def make_filler(self, number: int):
        return msgspec.structs.replace(
            self.make_bound(number),
            kind="sweep",
            tasks=16,
            cpus=1.0,
            job_class="soon",
            estimate_s=1000.0,
            zone=None,
            one_zone=False,
            spread=False,
        )

    def inject_faults(self) -> None:
        """Machines fail, jobs on them are cancelled, and the leader or another controller crashes."""
        rng = self.rng
        busy = sorted({name for name in self.running_on.values() if self.machines.get(name) is not None})
        for name in rng.sample(busy, min(len(busy), rng.randint(1, 4))):
            begin, length = rng.uniform(0.0, 3.0), rng.choice([rng.uniform(2.0, 15.0), rng.uniform(15.0, 50.0)])
            kind = rng.choice(["hang", "hang", "cut", "cut", "inbound_blocked", "held_up", "die"])
            self.after(begin, self.fail, name, kind, length)
            self.faults_end_at = max(self.faults_end_at, self.t + begin + length)
            here = sorted(
                {wire.split_task_id(task_id)[0] for task_id, machine in self.running_on.items() if machine == name}
            )
            for job in rng.sample(here, min(len(here), rng.randint(1, 3))):
                self.after(
                    begin + rng.uniform(-1.0, 4.0) if begin > 1.0 else rng.uniform(0.0, 4.0), self.cancel_running, job
                )
        crash_after_s = rng.uniform(0.0, 5.0)
        for _ in range(rng.choice([1, 1, 1, 2, 4])):
            restart_after_s = rng.choice([rng.uniform(0.1, 0.6), rng.uniform(0.1, 8.0), rng.uniform(5.0, 40.0)])
            self.after(crash_after_s, self.crash_one, rng.random() < 0.6, restart_after_s)
            crash_after_s += rng.choice([rng.uniform(0.2, 1.5), rng.uniform(0.5, 6.0)])
            self.faults_end_at = max(self.faults_end_at, self.t + crash_after_s + restart_after_s)
        if rng.random() < 0.3:
            kind = rng.choice(["cut", "cut_store", "cut_mesh", "cut_workers", "outage", "late_writes", "late_reports"])
            length = rng.uniform(3.0, 35.0)
            self.after(rng.uniform(0.0, 5.0), self.inject, kind, self.controllers[rng.choice(self.labels)], length)
            self.faults_end_at = max(self.faults_end_at, self.t + 5.0 + length)

    def cancel_running(self, job: str) -> None:
        if job not in self.reported_ends:
            workers = [
                self.machines[name]
                for task_id, name in self.running_on.items()
                if wire.split_task_id(task_id)[0] == job
            ]
            self.cancelled_running += bool(workers)
            self.cancelled_unreachable += any(
                worker.hangs_until > self.t or worker.cut_until > self.t for worker in workers if worker is not None
            )
        self.cancel(job)

    def fail(self, name: str, kind: str, length: float) -> None:
        worker = self.machines.get(name)
        if worker is None:
            return
        if kind == "die":
            worker.crash()
        else:
            attribute = {
                "hang": "hangs_until",
                "cut": "cut_until",
                "inbound_blocked": "inbound_blocked_until",
                "held_up": "responses_delayed_until",
            }
            setattr(worker, attribute[kind], self.t + length)

    def crash_one(self, leader: bool, restart_after_s: float) -> None:
        label = (
            msgspec.json.decode(self.store.data[VIEW][0], type=View).leader
            if leader and VIEW in self.store.data
            else self.rng.choice(self.labels)
        )
        self.crash_and_restart(self.controllers[label], restart_after_s)

    def on_task_started(self, task_id, worker) -> None:
        super().on_task_started(task_id, worker)
        team = self.specs[wire.split_task_id(task_id)[0]].team
        used = self.used_cpus(team)
        self.peak[team] = max(self.peak[team], used)
        limit = next(one.cpus_max for one in LIMITED_TEAMS if one.name == team)
        if self.t > self.faults_over_at and used > limit - 0.5:
            self.full_at.setdefault(team, self.t)

    def check_invariants(self) -> None:
        super().check_invariants()
        if self.t > self.faults_over_at:
            self.check_avoidable_waits()

    def check_avoidable_waits(self) -> None:
        """Checks the waits against the actual state of machines and users, not against the controllers' views."""
        free_cpus = {
            worker: TYPES[worker.kind.type].cpus
            for worker in self.machines.values()
            if worker is not None and worker.alive and not worker.fails_tasks and worker.preempted_at is None
        }
        zones: dict[str, list[str]] = {}
        for worker in free_cpus:
            for task_id, task in worker.tasks.items():
                if task.status != "ended":
                    job = wire.split_task_id(task_id)[0]
                    free_cpus[worker] -= self.specs[job].cpus
                    zones.setdefault(job, []).append(worker.kind.zone)
        remaining = {team.name: team.cpus_max - self.used_cpus(team.name) for team in LIMITED_TEAMS}
        for job in sorted(self.accepted):
            spec, used_zones = self.specs[job], zones.get(job, [])
            done = sum(f"{job}/{index}" in self.completed for index in range(spec.tasks))
            waits = (
                job not in self.reported_ends and job not in self.cancelled_at and done + len(used_zones) < spec.tasks
            )
            if (
                not waits
                or spec.cpus > remaining[spec.team] + 1e-9
                or not any(
                    cpus >= spec.cpus
                    and placement.allowed(spec, worker.kind.type, worker.kind.zone, worker.kind.spot)
                    and (not spec.one_zone or not used_zones or worker.kind.zone == used_zones[0])
                    and (not spec.spread or used_zones.count(worker.kind.zone) < math.ceil(spec.tasks / 2))
                    for worker, cpus in free_cpus.items()
                )
            ):
                self.avoidable_wait_since.pop(job, None)
            elif self.t - self.avoidable_wait_since.setdefault(job, self.t) > MAX_AVOIDABLE_WAIT_S:
                raise InvariantViolation(
                    f"avoidable_wait: {job} of {spec.team} since {self.avoidable_wait_since[job]:.1f}"
                )

    def used_cpus(self, team: str) -> float:
        specs = [self.specs[wire.split_task_id(task_id)[0]] for task_id in self.running_on]
        return sum(spec.cpus for spec in specs if spec.team == team)

    def play(self) -> LimitsWorld:
        self.run(30.0 + FAULT_PERIOD_S * FAULT_PERIODS + 12.0)
        self.faults_over_at = over = max(self.faults_end_at, self.t)
        for number in range(9):
            self.after(over - self.t + 0.1 * number, self.submit, self.make_filler(60 + number))
        self.run(over + MAX_AVOIDABLE_WAIT_S + 20.0)
        for team in LIMITED_TEAMS:
            if self.used_cpus(team.name) > team.cpus_max - 0.5:
                self.full_at.setdefault(team.name, self.t)
        return self


def play_limits(seed, nodes):
    """Plays the run with ``LIMITED_TEAMS`` as the teams of its controllers and of its invariants."""
    with patch.object(simulation.deployment, "TEAMS", LIMITED_TEAMS):
        return LimitsWorld(seed, nodes).play()


@pytest.mark.parametrize("seed, nodes", [(2, 3), (5, 5)])
def test_no_team_exceeds_its_limit_and_each_reaches_it_again(seed, nodes):
    run = play_limits(seed, nodes)
    assert run.cancelled_unreachable > 0 and run.task_starts > 50
    assert all(run.peak[team.name] == team.cpus_max for team in LIMITED_TEAMS)
    assert sorted(run.full_at) == sorted(team.name for team in LIMITED_TEAMS), "no quota stays reserved for ended jobs"
    run.check_final_status_age()


def drop_description_with_end(monkeypatch):
    real = Job.to_record

    def record(self, value_bytes, may_end=True):
        stored = real(self, value_bytes, may_end)
        return Record(stored.state) if stored.state is JobState.ABORTED else stored

    monkeypatch.setattr(Job, "to_record", record)


def allocate_without_all_shards(monkeypatch):
    real = Leader.quota_updates

    def quota_updates(self, now):
        for label in self.members:
            if label not in self.queues:
                self.on_queue(label, QueueSnapshot([], {}, {}, {}, 0), now)
        return real(self, now)

    monkeypatch.setattr(Leader, "quota_updates", quota_updates)


def requeue_without_proof(monkeypatch):
    monkeypatch.setattr(Barrier, "may_run_tasks_of", lambda self, spec: False)


@pytest.mark.parametrize(
    "fault, seeds",
    [
        (drop_description_with_end, range(3, 12)),
        (allocate_without_all_shards, range(5, 14)),
        (requeue_without_proof, range(4, 13)),
    ],
)
def test_each_quota_guard_is_detected_when_removed(monkeypatch, fault, seeds):
    fault(monkeypatch)
    for seed in seeds:
        try:
            play_limits(seed, 5 if seed % 2 else 3)
        except InvariantViolation as broken:
            if str(broken).startswith("quota"):
                return
    pytest.fail("no run showed quota")


def main() -> int:
    """Plays many runs; arguments: the first seed, the number of runs and the step between seeds."""
    first, count, step = map(int, sys.argv[1:4])
    for seed in range(first, first + count * step, step):
        began = time.process_time()
        try:
            run = play_limits(seed, 5 if seed % 2 else 3)
            run.check_final_status_age()
            missing = sorted({team.name for team in LIMITED_TEAMS} - run.full_at.keys())
            text = (
                f"{run.task_starts} starts, {run.cancelled_running} cancelled, {run.cancelled_unreachable} unreachable"
            )
            text += f", NOT AT ITS LIMIT: {missing}" if missing else ""
        except AssertionError as broken:
            text = f"BROKEN {broken}"
        print(f"seed {seed}: {text}, {time.process_time() - began:.1f} s", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
