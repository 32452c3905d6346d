"""Teams at their limits: cancelled jobs' tasks on machines that can't be asked, while leaders and homes change."""

from __future__ import annotations

import math
import sys
import time
from unittest.mock import patch

import msgspec
import pytest
import simulation
from simulation import LEASE_S, TYPES, Broken, World
from test_machine_proofs import Reports
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


class Heir:
    """A home that inherits a cancelled job of a team at its limit, with a record that is not shrunk yet."""

    def __init__(self, machines=("n-1", "n-2"), state=JobState.ABORTED, spec=BOUND) -> None:
        self.sent: list = []
        self.job_shard = JobShard(
            [LIMIT],
            lambda label, body: self.sent.append(body) or len(self.sent),
            4096,
            machine_owner=lambda machine: "host-0",
        )
        self.records = {name: MachineRecord("x", "c4", "a") for name in machines}
        self.enter(6, state, spec)

    def enter(self, fencing_token, state=JobState.ABORTED, spec=BOUND):
        """A new view, and a process that knows nothing but the record."""
        self.job = Job(Record(state, "host-3", 0.0, spec.tasks, [], spec), 8, 0.0, 5.0)
        self.job.inherited = True
        self.job_shard.enter(fencing_token, {spec.id: self.job}, self.records)
        self.job_shard.settled = True

    def told(self, machine, live=(), held=(), now=1.0):
        tasks = [TaskStatusReport(BOUND.id, index, 70 + index, "running", None) for index in live]
        held = [(BOUND.id, index, 70 + index) for index in held]
        self.job_shard.task_reports.on_task_report("host-0", MachineTaskReport(machine, "a", 0, tasks, held), now)

    @property
    def used(self):
        kept, counted = dict(self.job_shard.tally.teams), self.job_shard.usage.used()
        assert kept.get("bound", (0.0, 0.0)) == counted.get("bound", (0.0, 0.0))
        return counted.get("bound", (0.0, 0.0))[0] / CPUS

    @property
    def shrinks(self):
        """Whether its record loses the description now: nobody would count its tasks from then on."""
        return any(job is self.job and rank == 3.0 for rank, job in self.job_shard.record_writes.due(2.0))


def test_what_was_ordered_of_a_cancelled_job_counts_under_the_next_job_shard_until_a_heartbeat_settles_it():
    """Its part goes on and knows of the order alone: a machine that hangs or is cut off may run it for a lease yet."""
    one, heir = Reports(), Heir()
    one.heartbeat(1.0, 1)
    one.grant(0, 70)
    assert one.orders() == [("run", "wk-1/0", 70)]
    one.machine_shard.jobs.cancelled = lambda job: True
    one.told_home()
    one.enter(6, 2.0, settle=False, carry=True)
    one.machine_shard.leases.settle(2.5)
    ((told, held),) = one.told_home()
    assert (told, held) == ([], [("wk-1", 0, 70)])
    heir.told("n-2")
    assert heir.used == 2, "both may be on the machine that has not been heard"
    heir.told("n-1", held=[0])
    assert heir.used == 1 and not heir.shrinks, "it may be there"
    assert heir.job_shard.usage.room("bound", heir.job_shard.tally.teams["bound"], BOUND) == 0
    heir.enter(7)
    heir.told("n-1", held=[0])
    heir.told("n-2")
    assert heir.used == 1 and not heir.shrinks, "under the view after that, too"
    heir.told("n-1", live=[0])
    assert heir.used == 1 and heir.job.runs[0].state is TaskState.RUNNING
    heir.told("n-1")
    assert heir.used == 0 and heir.shrinks, "the report that lacks it"


def test_whatever_a_job_shard_knows_of_a_task_an_order_that_no_heartbeat_has_settled_counts():
    for known in (RecordedState.JOB_ENDED, RecordedState.WAITING, RecordedState.POSSIBLY_HERE):
        assert TRANSITIONS[known][ObservedState.ORDERED] is Action.ADOPT


def test_a_record_keeps_its_description_until_nothing_of_its_cancelled_job_is_left_on_any_machine():
    """A shrunk one is in no home: the next leader would hear of its tasks from nobody."""
    heir = Heir()
    heir.told("n-1", live=[1])
    heir.told("n-2")
    assert heir.used == 1 and heir.job.to_record(4096).spec == BOUND and not heir.job.is_complete
    heir.enter(7)
    assert heir.used == 2, "the next home has heard nothing, and counts all that may be out there"
    heir.told("n-2")
    heir.told("n-1")  # it lapsed, or was returned
    assert heir.used == 0 and heir.shrinks and heir.job.to_record(4096) == Record(JobState.ABORTED)


def test_a_quota_allocation_of_the_old_leader_grants_nothing_under_the_next():
    heir = Heir(machines=())
    job = Job(
        Record(JobState.ACTIVE, "host-1", 0.0, 2, [], msgspec.structs.replace(BOUND, id="wk-2")),
        1,
        0.0,
        0.0,
        never_started=True,
    )
    heir.job_shard.add(job)
    heir.job_shard.usage.allocate({"bound": (2 * CPUS, 0.0)})
    assert heir.job_shard.grants.quota_room(job) == 2
    heir.job_shard.enter(7, {"wk-2": job}, {})
    heir.job_shard.grants.on_task_request("host-0", TaskRequest(1, "wk-2", "n-1", "a", 2), 1.0, True)
    assert heir.sent[-1] == TaskGrant(1, "wk-2", "n-1", []) and not job.runs
    heir.job_shard.usage.allocate({"bound": (CPUS, 0.0)})
    heir.job_shard.grants.on_task_request("host-0", TaskRequest(2, "wk-2", "n-1", "a", 2), 1.0, True)
    assert len(job.runs) == 1


# -- what the leader gives -----------------------------------------------------------


class Shares:
    """A leader and two homes: one has a task of the team running, and waiting jobs."""

    def __init__(self, limit: float, waited_s: float = 30.0) -> None:
        membership = Membership("host-0", 20.0, 12.0)
        known = Replica(membership, Graph(lambda spec: 1.0, []))
        self.leader = Leader(LeaderSettings([Team("t", cpus_max=limit)], ["a"], Tuning(), 1.0, LEASE_S), known)
        self.leader.enter(["host-0", "host-1"], 0.0)
        self.homes = {label: JobShard(self.leader.teams, lambda label, body: 1, 4096) for label in self.leader.members}
        for home in self.homes.values():
            home.enter(5, {}, {})
        self.rows: dict[str, list[QueueRow]] = {label: [] for label in self.homes}
        self.waited_s = waited_s

    def job(self, label: str, name: str, cpus: float, tasks: int, running: int, due_s: float) -> Job:
        spec = msgspec.structs.replace(SPEC, id=name, cpus=cpus, tasks=tasks)
        record = Record(JobState.ACTIVE, label, 0.0, tasks, [], spec)
        job = Job(record, 1, 0.0, 0.0, never_started=True)
        self.leader.replica.observe_job(name, record, 1)
        self.homes[label].add(job)
        for _ in range(running):
            index = job.next_task(0.0)
            job.grant(index, TaskRun("n-1", "a", 7, 0, TaskState.RUNNING, 0.0))
        self.rows[label].append(QueueRow(name, job.waiting, 0, due_s, 10.0, None, self.waited_s, False, False))
        return job

    def give(self, rounds: int = 4) -> dict[str, float]:
        """Allowances when they are given and confirmed."""
        for _ in range(rounds):
            for label, home in self.homes.items():
                used = home.usage.used()
                queue = QueueSnapshot(
                    self.rows[label],
                    used,
                    home.usage.reserved(used),
                    home.usage.demand(used),
                    home.usage.allocations_received,
                )
                self.leader.on_queue(label, queue, 1.0)
            held = sum(home.usage.reserved(home.usage.used()).get("t", (0.0, 0.0))[0] for home in self.homes.values())
            assert held <= self.leader.teams[0].cpus_max + 1e-6
            for label, teams in self.leader.quota_updates(1.0).items():
                self.homes[label].usage.allocate(teams)
        return {label: home.usage.allowed.get("t", (0.0, 0.0))[0] for label, home in self.homes.items()}


def test_room_below_a_limit_that_holds_no_task_of_the_first_job_goes_to_the_next():
    """It was kept at the first job's home, and another's small tasks waited beside free machines meanwhile."""
    shares = Shares(10.0)
    shares.job("host-0", "wk-1", 4.0, 5, 2, 10.0)
    small = shares.job("host-1", "wk-2", 1.0, 9, 0, 20.0)
    assert shares.give()["host-1"] >= 2.0
    assert shares.homes["host-1"].grants.quota_room(small) == 2


def test_room_below_a_limit_is_kept_for_a_job_of_which_nothing_began_for_long():
    """Else the small tasks of other homes took each CPU as it came free, and a large one never began."""
    shares = Shares(10.0, waited_s=constants.STARVED_JOB_S)
    shares.job("host-0", "wk-0", 7.0, 1, 1, 5.0)
    shares.job("host-0", "wk-1", 4.0, 5, 0, 10.0)
    shares.job("host-1", "wk-2", 1.0, 9, 0, 20.0)
    assert shares.give() == {"host-0": 10.0, "host-1": 0.0}


def test_the_next_leader_gives_nothing_before_it_has_heard_of_every_job_shard():
    """One that it has not heard may use all of the limit, by tasks of cancelled jobs alone."""
    shares = Shares(10.0)
    shares.job("host-1", "wk-2", 1.0, 9, 0, 20.0)
    home = shares.homes["host-1"]
    shares.leader.on_queue("host-1", QueueSnapshot(shares.rows["host-1"], {}, {}, home.usage.demand({}), 0), 1.0)
    assert shares.leader.quota_updates(1.0) == {}
    shares.leader.on_queue("host-0", QueueSnapshot([], {"t": (8.0, 0.0)}, {"t": (8.0, 0.0)}, {"t": (8.0, 0.0)}, 0), 1.0)
    assert shares.leader.quota_updates(1.0)["host-1"]["t"][0] == 2.0


def test_what_one_job_shard_is_to_give_back_is_given_to_the_other_once_that_is_confirmed():
    shares = Shares(10.0)
    shares.job("host-0", "wk-1", 1.0, 9, 0, 10.0)
    assert shares.give()["host-0"] >= 9.0
    shares.rows["host-0"] = []  # its job was cancelled: it needs nothing any more
    shares.job("host-1", "wk-2", 1.0, 9, 0, 20.0)
    assert shares.give(1)["host-1"] <= 1.0, "host-0 may have granted on it"
    assert shares.give()["host-1"] >= 9.0


# -- random runs: every team at its limit, all the time ----------------------------------

TIGHT = [Team("red", cpus=4.0, cpus_max=12.0), Team("green", cpus_max=16.0), Team("blue", cpus=8.0, cpus_max=8.0)]
SPELLS, SPELL_S = 4, 26.0
BESIDE_S = 90.0  # so long nothing waits, once all is over, beside room that fits, its team below its limit


class LimitsWorld(World):
    """Long jobs of three teams with limits; cancelled as their machines fail, as leaders and homes end."""

    def __init__(self, seed: int, nodes: int, **more) -> None:
        self.peak = {team.name: 0.0 for team in TIGHT}
        self.full_at: dict[str, float] = {}
        self.cancelled_running = self.cancelled_out = 0
        self.over_at = math.inf  # all spells are over
        self.beside: dict[str, float] = {}  # job -> since when it waits beside room that fits, its team below its limit
        super().__init__(seed, jobs=0, random_faults=False, nodes=nodes, machines=30, **more)
        self.has_concurrent_faults = True  # users cancel through any controller
        rng = self.rng
        for number in range(36):
            self.after(
                rng.uniform(1.0, 15.0) if number < 15 else rng.uniform(15.0, 110.0),
                self.submit,
                self.make_bound(number),
            )
        for number in range(SPELLS):
            self.after(30.0 + SPELL_S * number + rng.uniform(0.0, 10.0), self.spell)

    def make_bound(self, number: int):
        rng, service = self.rng, self.rng.random() < 0.15
        return msgspec.structs.replace(
            self.make_job(number),
            team=TIGHT[number % 3].name,
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

    def spell(self) -> None:
        """Machines hang, are cut off or die; what runs on them is cancelled; the leader, or a home of it, ends."""
        rng = self.rng
        busy = sorted({name for name in self.on.values() if self.machines.get(name) is not None})
        for name in rng.sample(busy, min(len(busy), rng.randint(1, 4))):
            begin, length = rng.uniform(0.0, 3.0), rng.choice([rng.uniform(2.0, 15.0), rng.uniform(15.0, 50.0)])
            kind = rng.choice(["hang", "hang", "cut", "cut", "deaf", "held_up", "die"])
            self.after(begin, self.fail, name, kind, length)
            self.calm_at = max(self.calm_at, self.t + begin + length)
            here = sorted({wire.split_task_id(part)[0] for part, machine in self.on.items() if machine == name})
            for job in rng.sample(here, min(len(here), rng.randint(1, 3))):
                self.after(begin + rng.uniform(-1.0, 4.0) if begin > 1.0 else rng.uniform(0.0, 4.0), self.call_off, job)
        is_leader = rng.uniform(0.0, 5.0)
        for _ in range(rng.choice([1, 1, 1, 2, 4])):
            back = rng.choice([rng.uniform(0.1, 0.6), rng.uniform(0.1, 8.0), rng.uniform(5.0, 40.0)])
            self.after(is_leader, self.end_one, rng.random() < 0.6, back)
            is_leader += rng.choice([rng.uniform(0.2, 1.5), rng.uniform(0.5, 6.0)])
            self.calm_at = max(self.calm_at, self.t + is_leader + back)
        if rng.random() < 0.3:
            kind = rng.choice(["cut", "cut_store", "cut_mesh", "cut_workers", "outage", "late_writes", "late_reports"])
            length = rng.uniform(3.0, 35.0)
            self.after(rng.uniform(0.0, 5.0), self.bring, kind, self.nodes[rng.choice(self.labels)], length)
            self.calm_at = max(self.calm_at, self.t + 5.0 + length)

    def call_off(self, job: str) -> None:
        if job not in self.said:
            out = [self.machines[name] for part, name in self.on.items() if wire.split_task_id(part)[0] == job]
            self.cancelled_running += bool(out)
            self.cancelled_out += any(
                worker.hangs_until > self.t or worker.cut_until > self.t for worker in out if worker is not None
            )
        self.withdraw(job)

    def fail(self, name: str, kind: str, length: float) -> None:
        worker = self.machines.get(name)
        if worker is None:
            return
        if kind == "die":
            worker.die()
        else:
            attribute = {"hang": "hangs_until", "cut": "cut_until", "deaf": "deaf_until", "held_up": "held_up_until"}
            setattr(worker, attribute[kind], self.t + length)

    def end_one(self, leader: bool, back: float) -> None:
        label = (
            msgspec.json.decode(self.store.data[VIEW][0], type=View).leader
            if leader and VIEW in self.store.data
            else self.rng.choice(self.labels)
        )
        self.end(self.nodes[label], back)

    def entered(self, part, worker) -> None:
        super().entered(part, worker)
        team = self.specs[wire.split_task_id(part)[0]].team
        used = self.use(team)
        self.peak[team] = max(self.peak[team], used)
        limit = next(one.cpus_max for one in TIGHT if one.name == team)
        if self.t > self.over_at and used > limit - 0.5:
            self.full_at.setdefault(team, self.t)

    def watch(self) -> None:
        super().watch()
        if self.t > self.over_at:
            self.look_beside_room()

    def look_beside_room(self) -> None:
        """By what is true of machines and users, whatever the controllers take for true."""
        rooms = {
            worker: TYPES[worker.kind.type].cpus
            for worker in self.machines.values()
            if worker is not None and worker.alive and not worker.faulty and worker.recall_at is None
        }
        zones: dict[str, list[str]] = {}
        for worker in rooms:
            for part, task in worker.tasks.items():
                if task.status != "ended":
                    job = wire.split_task_id(part)[0]
                    rooms[worker] -= self.specs[job].cpus
                    zones.setdefault(job, []).append(worker.kind.zone)
        left = {team.name: team.cpus_max - self.use(team.name) for team in TIGHT}
        for job in self.accepted:
            spec, there = self.specs[job], zones.get(job, [])
            done = sum(f"{job}/{index}" in self.completed for index in range(spec.tasks))
            waits = job not in self.said and job not in self.cancelled_at and done + len(there) < spec.tasks
            if (
                not waits
                or spec.cpus > left[spec.team] + 1e-9
                or not any(
                    room >= spec.cpus
                    and placement.allowed(spec, worker.kind.type, worker.kind.zone, worker.kind.spot)
                    and (not spec.one_zone or not there or worker.kind.zone == there[0])
                    and (not spec.spread or there.count(worker.kind.zone) < math.ceil(spec.tasks / 2))
                    for worker, room in rooms.items()
                )
            ):
                self.beside.pop(job, None)
            elif self.t - self.beside.setdefault(job, self.t) > BESIDE_S:
                raise Broken(f"beside_room: {job} of {spec.team} since {self.beside[job]:.1f}")

    def use(self, team: str) -> float:
        specs = [self.specs[wire.split_task_id(part)[0]] for part in self.on]
        return sum(spec.cpus for spec in specs if spec.team == team)

    def play(self) -> LimitsWorld:
        self.run(30.0 + SPELL_S * SPELLS + 12.0)
        self.over_at = over = max(self.calm_at, self.t)
        for number in range(9):
            self.after(over - self.t + 0.1 * number, self.submit, self.make_filler(60 + number))
        self.run(over + BESIDE_S + 20.0)
        for team in TIGHT:
            if self.use(team.name) > team.cpus_max - 0.5:
                self.full_at.setdefault(team.name, self.t)
        return self


def limits(seed, nodes):
    """``TEAMS`` of the world: what its controllers are told, and what its rules count by."""
    with patch.object(simulation.deployment, "TEAMS", TIGHT):
        return LimitsWorld(seed, nodes).play()


@pytest.mark.parametrize("seed, nodes", [(2, 3), (5, 5)])
def test_no_team_uses_more_than_its_limit_and_each_gets_to_it_again(seed, nodes):
    run = limits(seed, nodes)
    assert run.cancelled_out > 0 and run.starts > 50
    assert all(run.peak[team.name] == team.cpus_max for team in TIGHT)
    assert sorted(run.full_at) == sorted(team.name for team in TIGHT), "nothing is kept for what is over"
    run.remembered()


def shrunk_with_its_end(monkeypatch):
    real = Job.to_record

    def record(self, value_bytes, may_end=True):
        stored = real(self, value_bytes, may_end)
        return Record(stored.state) if stored.state is JobState.ABORTED else stored

    monkeypatch.setattr(Job, "to_record", record)


def not_waiting_for_all(monkeypatch):
    real = Leader.quota_updates

    def allots(self, now):
        for label in self.members:
            if label not in self.queues:
                self.on_queue(label, QueueSnapshot([], {}, {}, {}, 0), now)
        return real(self, now)

    monkeypatch.setattr(Leader, "quota_updates", allots)


def free_without_proof(monkeypatch):
    monkeypatch.setattr(Barrier, "may_hold", lambda self, spec: False)


@pytest.mark.parametrize(
    "fault, seeds",
    [(shrunk_with_its_end, range(3, 12)), (not_waiting_for_all, range(5, 14)), (free_without_proof, range(4, 13))],
)
def test_each_guard_is_seen_to_fail_when_it_is_taken_out(monkeypatch, fault, seeds):
    fault(monkeypatch)
    for seed in seeds:
        try:
            limits(seed, 5 if seed % 2 else 3)
        except Broken as broken:
            if str(broken).startswith("quota"):
                return
    pytest.fail("no run showed quota")


def main() -> int:
    """Many runs by hand: the first seed, how many, and in steps of how many."""
    first, count, step = map(int, sys.argv[1:4])
    for seed in range(first, first + count * step, step):
        began = time.process_time()
        try:
            run = limits(seed, 5 if seed % 2 else 3)
            run.remembered()
            missing = sorted({team.name for team in TIGHT} - run.full_at.keys())
            text = f"{run.starts} starts, {run.cancelled_running} cancelled running, {run.cancelled_out} out of reach"
            text += f", NOT AT ITS LIMIT: {missing}" if missing else ""
        except AssertionError as broken:
            text = f"BROKEN {broken}"
        print(f"seed {seed}: {text}, {time.process_time() - began:.1f} s", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
