"""Seeded random simulations of three and five controllers under faults; invariants are checked after each step."""

import msgspec
import pytest
from simulation import InvariantViolation, World

from alderbridge.controller.local_jobs import LocalJobs
from alderbridge.jobs.dependencies import Graph
from alderbridge.jobs.job import Job
from alderbridge.jobs.quota_usage import QuotaUsage
from alderbridge.jobs.record import JobState, Record
from alderbridge.jobs.task_reports import TaskReportHandler
from alderbridge.machines.leases import WorkerLeases
from alderbridge.machines.machine import Machine
from alderbridge.machines.orders import OrderBuilder
from alderbridge.machines.shard import MachineShard
from alderbridge.protocol.keys import DEPENDENCY_LISTS, JOBS
from alderbridge.reconciliation import Barrier
from alderbridge.scheduling import placement
from alderbridge.settings import NextStateLimits


def play(seed, until=200.0, **options):
    world = World(seed, **options)
    world.run(until)
    world.check_final_status_age()
    return world


@pytest.mark.parametrize("seed", [*range(28), 816, 1319])
def test_invariants_hold_under_random_faults(seed):
    world = play(seed)
    assert world.task_starts > 0


@pytest.mark.parametrize("seed", range(2000, 2008))
def test_invariants_hold_with_five_controllers(seed):
    assert play(seed, nodes=5).task_starts > 0


@pytest.mark.parametrize("seed", range(7000, 7009))
def test_invariants_hold_when_many_machines_fail_together(seed):
    """30 to 90 % of the machines crash, hang or are cut off at once, often with all controllers."""
    assert play(seed, until=260.0, nodes=5, group_faults=True).task_starts > 0


@pytest.mark.parametrize("seed", (100, 101))
def test_every_job_completes_without_faults(seed):
    world = play(seed, until=260.0, random_faults=False)
    assert len(world.accepted) == 14
    unfinished = [job for job in world.accepted if job not in world.reported_ends]
    assert not unfinished


NEXT_LIMITS = NextStateLimits(write_rps=30.0, value_kb=700 / 1024, txn_ops=4)


@pytest.mark.parametrize("seed", range(3000, 3008))
def test_invariants_hold_for_pipelines(seed):
    world = play(seed, until=220.0, pipelines=5)
    assert any(world.reported_ends.get(job) == "done" for job, spec in world.specs.items() if spec.dependencies)


# Seeds 4002 and 4008 are left out: users cancel all dependencies there.
@pytest.mark.parametrize("seed", [4000, 4001, *range(4003, 4008), 4009, 4010])
def test_invariants_hold_during_a_rolling_upgrade(seed):
    """All controllers start as the previous version and restart one by one as the new; some crash before that."""
    world = play(
        seed,
        until=260.0,
        nodes=3 + 2 * (seed % 2),
        pipelines=4,
        upgrade=True,
        next_limits=NEXT_LIMITS,
        limits_lowered_at=110.0,
    )
    assert any(world.reported_ends.get(job) == "done" for job, spec in world.specs.items() if spec.dependencies)
    assert world.store.rejected_as_too_large == 0


@pytest.mark.parametrize("seed", (5000, 5001))
def test_lower_store_limits_than_announced_cost_no_store_lease_and_no_job(seed):
    world = play(seed, until=300.0, random_faults=False, pipelines=3, limits_lowered_at=60.0)
    assert world.store.rejected_as_too_large > 0
    fencing_tokens = {sim.core.membership.fencing_token for sim in world.controllers.values()}
    unfinished = [job for job in world.accepted if job not in world.reported_ends and not world.specs[job].service]
    assert len(fencing_tokens) == 1 and not unfinished


def test_a_job_may_have_more_dependencies_than_its_record_holds():
    """Dependencies that exceed the size limit of a record are stored under separate keys."""
    world = play(7, until=30.0, jobs=40, random_faults=False, next_limits=NEXT_LIMITS)
    needs = [f"wk-{number:018d}" for number in range(150)]
    for need in needs[:-1]:
        record = Record(JobState.DONE)
        world.store.commit({}, {JOBS + need: record})
    tail = msgspec.structs.replace(
        world.make_job(99), id=needs[-1], kind="sweep", tasks=1, types=None, zone=None, one_zone=False, spread=False
    )
    after = msgspec.structs.replace(tail, id="wk-777", dependencies=needs)
    world.specs |= {tail.id: tail, after.id: after}
    world.specs |= {need: msgspec.structs.replace(tail, id=need, tasks=0) for need in needs[:-1]}
    core = world.controllers["host-1"].core
    world.submit(tail)
    world.run(33.0)
    core.replica.ended.clear()  # as if no dependency had ended, so that the list is long
    submission = core.submissions.submit(after, world.t, world.t)
    assert len(submission.dependency_lists) > 3 and submission.job.spec.dependencies is None
    world.run(60.0)
    assert (
        submission.outcome == "accepted"
        and len([key for key in world.store.data if key.startswith(DEPENDENCY_LISTS)]) > 3
    )
    for sim in world.controllers.values():
        sim.crash()
        world.after(2.0, world.restart, sim)
    world.accepted.add(after.id)
    world.poll(after.id)
    world.run(260.0)  # its team is at its limit most of the time
    assert world.reported_ends[after.id] == "done"
    assert not [key for key in world.store.data if key.startswith(DEPENDENCY_LISTS)]


@pytest.mark.parametrize("seed", (6000, 6001, 6002))
def test_a_half_open_connection_is_renewed(seed):
    """Guards against a peer that closes unnoticed during a cut, after which no grant arrives any more."""
    world = World(seed, random_faults=False)
    for closes_at in (20.0, 45.0):
        one, other = world.rng.sample(world.labels, 2)
        world.after(closes_at, world.controllers[one].half_open_links.add, other)
    world.run(260.0)
    assert not any(sim.half_open_links for sim in world.controllers.values())
    assert len(world.accepted) == 14
    assert not [job for job in world.accepted if job not in world.reported_ends]


def test_a_cascaded_abort_is_reported_only_once_no_active_member_can_contradict_it():
    """The job owner, cut off from the store, may still report "pending" until its view is stale."""
    world = play(1, until=5.0, jobs=0, random_faults=False)
    first, after = (msgspec.structs.replace(world.make_job(n), kind="sweep", types=None) for n in (1, 2))
    after = msgspec.structs.replace(after, dependencies=[first.id])
    owner, cut_off = world.controllers["host-0"], world.controllers["host-1"]
    owner.core.submissions.submit(first, world.t, world.t)
    world.run(6.0)
    cut_off.core.submissions.submit(after, world.t, world.t)
    world.run(7.0)
    cut_off.cut_store_until = 60.0  # longer than it may act without the store
    owner.core.local_jobs.cancel(first.id, world.t)
    world.run(8.0)
    assert (
        owner.core.local_jobs.local_job_state(first.id, world.t)[0] == "aborted"
        and after.id in owner.core.replica.graph.cascade_aborted
    )
    answers = []
    while world.t < 33.0:
        world.run(world.t + 0.5)
        answers.append(
            (
                owner.core.local_jobs.local_job_state(after.id, world.t),
                cut_off.core.local_jobs.local_job_state(after.id, world.t),
            )
        )
    owner_states = [(owner_state or ("",))[0] for owner_state, _ in answers]
    assert owner_states[0] == "" and owner_states[-1] == "aborted"
    assert all(cut_off_state is None for owner_state, cut_off_state in answers if owner_state is not None)
    assert any(cut_off_state is not None for _, cut_off_state in answers)


def test_an_end_being_stored_is_not_contradicted_from_memory():
    """Guards against reporting "pending" from memory after others have read an end whose write got no response."""
    world = play(1, until=5.0, jobs=0, random_faults=False)
    core = world.controllers["host-0"].core
    spec = world.make_job(1)
    job = core.job_shard.jobs[spec.id] = Job(Record(JobState.ACTIVE, "host-0", 0.0, 0, [], spec), 1, 5.0, 0.0)
    assert core.local_jobs.local_job_state(spec.id, 5.0)[0] == "pending"
    job.abort(5.0)
    assert core.local_jobs.local_job_state(spec.id, 5.0) is None


PIPELINE_INVARIANTS = ("too_early", "orphaned")


def disable_barrier(monkeypatch):
    monkeypatch.setattr(Barrier, "may_run_tasks_of", lambda self, spec: False)


def report_unproven_machines(monkeypatch):
    """Machine owners report machines that have not acknowledged the fencing token to job owners."""
    monkeypatch.setattr(Machine, "has_complete_tasks", property(lambda self: True))
    real = WorkerLeases.settle

    def settle(self, now):
        for machine in self.machines.values():
            self.owner_reports.send(machine)
        real(self, now)

    monkeypatch.setattr(WorkerLeases, "settle", settle)


def shorten_lease(monkeypatch):
    real = WorkerLeases.check

    def check(self, now):
        lease, self.lease_s = self.lease_s, 2.0
        real(self, now)
        self.lease_s = lease

    monkeypatch.setattr(WorkerLeases, "check", check)


def ignore_quota(monkeypatch):
    monkeypatch.setattr(QuotaUsage, "remaining_tasks", lambda self, team, used, spec: spec.tasks)


def ignore_constraints(monkeypatch):
    monkeypatch.setattr(Job, "remaining_in_zone", lambda self, zone: self.spec.tasks)
    monkeypatch.setattr(placement, "allowed", lambda *args: True)


def report_done_before_stored(monkeypatch):
    monkeypatch.setattr(
        LocalJobs,
        "local_job_state",
        lambda self, job, now: (
            (self.job_shard.jobs[job].state.value, 0, 0)
            if job in self.job_shard.jobs and self.job_shard.jobs[job].done.count
            else ("pending", 0, 0)
        ),
    )


def finish_one_task_early(monkeypatch):
    real = Job.finish_task

    def finish(self, index, now):
        real(self, index, now)
        if self.state is JobState.ACTIVE and self.done.count >= self.spec.tasks - 1:
            self.state = JobState.DONE

    monkeypatch.setattr(Job, "finish_task", finish)


def never_stop_tasks(monkeypatch):
    monkeypatch.setattr(MachineShard, "on_stop_task", lambda self, stop: None)
    monkeypatch.setattr(OrderBuilder, "stop_orphans", lambda self, machine: None)
    # The machine owner also stops tasks of jobs that it has read as cancelled, without a request of the job owner.
    monkeypatch.setattr(OrderBuilder, "stop_cancelled", lambda self, machine, reported: None)


def ignore_dependencies(monkeypatch):
    monkeypatch.setattr(Graph, "waiting", lambda self, job: False)


def never_cascade_aborts(monkeypatch):
    monkeypatch.setattr(Graph, "_cascade_abort", lambda self, jobs: None)


def skip_grant_tally(monkeypatch):
    real = Job.grant

    def grant(self, index, run):
        tally, self.tally = self.tally, None
        real(self, index, run)
        self.tally = tally

    monkeypatch.setattr(Job, "grant", grant)


def keep_cached_free_capacity(monkeypatch):
    real = MachineShard.on_task_grant

    def on_task_grant(self, label, grant, now):
        machine = self.machines.get(grant.machine)
        free = machine.free if machine is not None else None
        real(self, label, grant, now)
        if machine is not None:
            machine.free = free or self.capacity.free_resources(machine)
            machine.orders.pending = dict(machine.orders.pending)

    monkeypatch.setattr(MachineShard, "on_task_grant", on_task_grant)


def drop_machine_index(monkeypatch):
    real = TaskReportHandler.on_task_report

    def on_task_report(self, label, seen, now):
        self.jobs_by_machine.pop(seen.machine, None)
        real(self, label, seen, now)

    monkeypatch.setattr(TaskReportHandler, "on_task_report", on_task_report)


@pytest.mark.parametrize(
    "fault, invariant",
    [
        (skip_grant_tally, "books"),
        (keep_cached_free_capacity, "books"),
        (drop_machine_index, "books"),
        (disable_barrier, "ran_twice"),
        (report_unproven_machines, "ran_twice"),
        (shorten_lease, "ran_twice"),
        (ignore_quota, "quota"),
        (ignore_constraints, "wrong_place"),
        (report_done_before_stored, "went_back"),
        (finish_one_task_early, "not_done"),
        (never_stop_tasks, "ran_cancelled"),
        (ignore_dependencies, "too_early"),
        (never_cascade_aborts, "orphaned"),
    ],
)
def test_each_invariant_detects_broken_code(monkeypatch, fault, invariant):
    fault(monkeypatch)
    for seed in range(200):
        try:
            play(seed, until=180.0, pipelines=6 if invariant in PIPELINE_INVARIANTS else 0)
        except InvariantViolation as error:
            if str(error).startswith(invariant):
                return
    pytest.fail(f"no run violated {invariant}")
