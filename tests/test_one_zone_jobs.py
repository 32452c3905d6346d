"""Jobs that must keep to one zone, while heartbeats of expired worker leases arrive late."""

import msgspec
import pytest
from simulation import LEASE_S, MAX_PLACEABLE_WAIT_S, InvariantViolation, SimWorker, World
from simulation.one_zone import OneZoneWorld
from test_machine_proofs import LEASE_EXPIRY_PROOF_S, RUNNING, MachineShardHarness

from alderbridge.jobs.job_tasks import JobTasks
from alderbridge.jobs.record import JobState, Record
from alderbridge.jobs.task_states import TaskRun, TaskState
from alderbridge.machines.heartbeats import HeartbeatHandler
from alderbridge.machines.machine import MachineState
from alderbridge.protocol.wire import JobSpec, ReportedTask
from alderbridge.scheduling.market import MachineKind

TASKS = 60
PARTITION_STARTS_AT_S, PARTITION_S = 60.0, LEASE_S + 5.0


class FixedFleetWorld(World):
    """No machine is rented: there are three machines of one zone, and later two of the other."""

    def __init__(self, seed: int, first_zone: str, second_zone: str) -> None:
        super().__init__(seed, jobs=0, random_faults=False)
        self.first_zone = first_zone
        for number, zone in enumerate((first_zone, first_zone, first_zone, second_zone, second_zone)):
            starts_at = 15.0 if zone == first_zone else PARTITION_STARTS_AT_S - 5.0
            self.after(starts_at + 0.1 * number, self.add_machine, f"n-{number:06d}", MachineKind("large", zone, False))
        self.after(25.0, self.submit, self.one_zone_job())
        self.after(40.0, self.restart_leader)
        self.after(PARTITION_STARTS_AT_S, self.partition_first_zone)

    def rent(self, kind, count):
        return []

    def cancel(self, job):
        """No user cancels the job."""

    def add_machine(self, name: str, kind: MachineKind) -> None:
        self.rented_kinds[name] = (kind, self.t)
        self.machines[name] = SimWorker(self, name, kind)

    def one_zone_job(self) -> JobSpec:
        return msgspec.structs.replace(
            self.make_unlimited_pair(0), tasks=TASKS, cpus=1.0, estimate_s=60.0, one_zone=True, spot=True
        )

    def restart_leader(self) -> None:
        leader = next(sim for sim in self.controllers.values() if sim.core.membership.is_leader(self.t))
        self.crash_and_restart(leader, 7.0)

    def partition_first_zone(self) -> None:
        for worker in self.machines.values():
            if worker.kind.zone == self.first_zone:
                worker.cut_until = worker.heartbeat_held_until = self.t + PARTITION_S


@pytest.mark.parametrize("seed", (3, 5, 8))
def test_heartbeats_held_back_past_the_lease_start_no_task_in_a_second_zone(seed):
    for zones in (("a", "b"), ("b", "a")):
        world = FixedFleetWorld(seed, *zones)
        world.run(PARTITION_STARTS_AT_S)
        assert len(world.running_on) > 40
        world.run(400.0)
        assert len(world.completed) == TASKS


@pytest.mark.parametrize("seed", (3, 5, 8))
def test_a_zone_conflict_starts_no_task_in_either_zone_and_ends_by_proof(seed, monkeypatch):
    monkeypatch.setattr(HeartbeatHandler, "_refuse_if_expired", lambda handler, machine, heartbeat: False)
    for zones in (("a", "b"), ("b", "a")):
        world = FixedFleetWorld(seed, *zones)
        world.run(PARTITION_STARTS_AT_S + PARTITION_S + 0.5)
        jobs = [job for sim in world.controllers.values() for job in sim.core.job_shard.jobs.values()]
        assert [job.zone_conflict_logged for job in jobs] == [True]
        world.run(400.0)
        assert len(world.completed) == TASKS


def test_the_simulation_detects_accepted_heartbeats_of_expired_incarnations(monkeypatch):
    monkeypatch.setattr(HeartbeatHandler, "_refuse_if_expired", lambda handler, machine, heartbeat: False)
    with pytest.raises(InvariantViolation, match="zone_conflict"):
        OneZoneWorld(10).run(200.0)


@pytest.mark.parametrize("seed", (10, 11, 15, 24, 25, 35, 40, 42, 44, 50, 100, 101))
def test_one_zone_jobs_keep_to_a_zone_and_wait_for_no_proof_for_ever(seed):
    world = OneZoneWorld(seed)
    world.run(world.faults_end_at + MAX_PLACEABLE_WAIT_S + 10.0)
    assert world.task_starts > 0


def test_a_late_heartbeat_of_an_expired_incarnation_shows_no_tasks():
    harness = MachineShardHarness()
    harness.heartbeat(1.0, 8, tasks=[RUNNING])
    harness.machine_shard.leases.check(1.0 + LEASE_EXPIRY_PROOF_S + 0.1)
    harness.take_owner_reports()
    assert harness.heartbeat(20.0, 9, tasks=[RUNNING]) is None
    assert harness.machine.state is MachineState.EXPIRED and not harness.machine.tasks
    assert not harness.take_owner_reports()
    assert harness.heartbeat(21.0, 1, incarnation=2) is harness.machine
    assert harness.machine.state is MachineState.UP


def test_a_late_heartbeat_of_a_machine_expired_unheard_shows_no_tasks():
    """The worker carried out a probe, which raised its fencing token; the answer and its heartbeats were held back."""
    harness = MachineShardHarness()
    harness.machine_shard.leases.check(LEASE_EXPIRY_PROOF_S + 0.1)
    assert harness.machine.state is MachineState.EXPIRED
    harness.take_owner_reports()
    assert harness.heartbeat(20.0, 30, tasks=[RUNNING]) is None
    assert harness.heartbeat(20.1, 31, tasks=[RUNNING]) is None
    assert harness.machine.state is MachineState.EXPIRED and not harness.take_owner_reports()
    assert harness.heartbeat(21.0, 1, incarnation=2) is harness.machine
    assert harness.machine.state is MachineState.UP


@pytest.mark.parametrize("tasks", ([RUNNING], [ReportedTask("wk-1/0", 70, "ended", "done")]))
def test_a_late_heartbeat_after_an_expiry_without_accepted_answers_shows_no_tasks(tasks):
    harness = MachineShardHarness()
    harness.heartbeat(1.0, 1, fencing_token=4, tasks=[RUNNING])
    harness.heartbeat(LEASE_EXPIRY_PROOF_S + 0.1, 2, fencing_token=4, tasks=[RUNNING])
    assert harness.machine.state is MachineState.EXPIRED
    harness.take_owner_reports()
    assert harness.heartbeat(20.0, 3, tasks=tasks) is None
    assert harness.machine.state is MachineState.EXPIRED and not harness.take_owner_reports()


def test_an_expired_incarnation_stays_refused_under_the_next_view():
    harness = MachineShardHarness()
    harness.heartbeat(1.0, 8, tasks=[RUNNING])
    harness.machine_shard.leases.check(1.0 + LEASE_EXPIRY_PROOF_S + 0.1)
    harness.enter_view(6, 20.0, inherit_tasks=True)
    harness.take_owner_reports()
    assert harness.heartbeat(21.0, 9, fencing_token=6, tasks=[RUNNING]) is None
    assert not harness.take_owner_reports()


def one_zone_job_tasks() -> JobTasks:
    spec = JobSpec(
        id="wk-1",
        job_class="x",
        team="free",
        kind="sweep",
        priority="normal",
        tasks=30,
        cpus=1.0,
        memory_gb=1.0,
        image="p",
        image_gb=1.0,
        estimate_s=10.0,
        one_zone=True,
    )
    return JobTasks(Record(JobState.ACTIVE, start_limit=30, spec=spec), never_started=True)


def test_a_one_zone_job_with_runs_reported_in_two_zones_starts_nothing_until_one_is_proven_absent():
    job = one_zone_job_tasks()
    job.grant(0, TaskRun("n-1", "a", 1, 0, TaskState.RUNNING, 0.0))
    job.adopt(1, TaskRun("n-2", "b", 2, 0, TaskState.RUNNING, 0.0))
    assert (job.remaining_in_zone("a"), job.remaining_in_zone("b")) == (0, 0)
    job.requeue(1)
    assert (job.remaining_in_zone("a"), job.remaining_in_zone("b")) == (30, 0)
