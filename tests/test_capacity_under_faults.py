"""One-task job streams, overload and isolated zones: no job waits too long while free capacity could run it.

``FreeCapacityChecker`` derives what could run from the workers' state alone, independent of the controllers.
"""

import json
import math
from collections import deque

import msgspec
import pytest
from simulation import (
    LABELS,
    LARGEST_START_LIMIT_S,
    LEASE_S,
    TEAMS,
    TYPES,
    InvariantViolation,
    SimController,
    SimWorker,
    World,
)

from alderbridge import constants
from alderbridge.controller.submissions import Submission
from alderbridge.jobs.job import Job
from alderbridge.jobs.record import JobState, Record
from alderbridge.jobs.shard import JobShard
from alderbridge.jobs.task_states import TaskRun, TaskState
from alderbridge.machines.capacity import MachineCapacity
from alderbridge.machines.shard import MachineShard
from alderbridge.membership.records import View
from alderbridge.protocol import wire
from alderbridge.protocol.keys import VIEW
from alderbridge.reconciliation import Barrier
from alderbridge.scheduling import placement
from alderbridge.scheduling.resources import Resources, remaining_after, tasks_that_fit
from alderbridge.settings import NextStateLimits

FREE_WINDOW_S = 8  # s; longer than two heartbeats and the responses to them
ISOLATED_ZONE = "a"
MAX_WAIT_S = 90.0  # limit for a job that could run on free capacity, after all faults have ended


class FreeCapacityChecker:
    """Fails if a job waits longer than ``MAX_WAIT_S`` although a machine has free capacity for one of its tasks."""

    def __init__(self, world: World, since: float) -> None:
        self.world, self.since = world, since
        self.waiting: dict[str, float] = {}  # job -> since when it has waited despite free capacity
        self.started: dict[str, int] = {}  # job -> number of its task starts at that time
        self.longest_wait_s = 0.0
        self.free_samples: dict[str, deque[Resources]] = {}  # machine -> its free capacity in the latest checks
        world.after(max(0.0, since - world.t), self.check)

    def lasting_free_capacity(self, worker) -> Resources:
        """Free capacity held for all of ``FREE_WINDOW_S``: controllers learn of ended tasks only from heartbeats."""
        samples = self.free_samples.setdefault(worker.name, deque(maxlen=FREE_WINDOW_S))
        samples.append(self.free(worker))
        return tuple(map(min, zip(*samples, strict=True))) if len(samples) == FREE_WINDOW_S else (0.0, 0.0, 0.0)

    def free(self, worker) -> Resources:
        kind = TYPES[worker.kind.type]
        free = (kind.cpus, kind.memory_gb, kind.gpus)
        for task_id, task in worker.tasks.items():
            if task.status != "ended":
                free = remaining_after(free, self.world.specs[wire.split_task_id(task_id)[0]], 1)
        return free

    def check(self) -> None:
        world, now = self.world, self.world.t
        available, live_tasks, used = [], {}, {}
        for worker in world.machines.values():
            if worker is None or not worker.alive:
                continue
            free = self.lasting_free_capacity(worker)
            for task_id, task in worker.tasks.items():
                if task.status != "ended":
                    job = wire.split_task_id(task_id)[0]
                    live_tasks.setdefault(job, []).append((task_id, worker.kind.zone))
                    team = world.specs[job].team
                    used[team] = used.get(team, 0.0) + world.specs[job].cpus
            if (
                now >= max(worker.hangs_until, worker.cut_until, worker.inbound_blocked_until)
                and not worker.fails_tasks
                and worker.preempted_at is None
            ):
                available.append((worker.kind, free))
        limits = {team.name: team.cpus_max for team in TEAMS if team.cpus_max}
        waiting_now = set()
        for job in world.accepted:
            spec = world.specs[job]
            if job in world.reported_ends or job in world.cancelled_at:
                continue
            live = live_tasks.get(job, [])
            live_ids = {task_id for task_id, _ in live}
            if all(f"{job}/{index}" in world.completed or f"{job}/{index}" in live_ids for index in range(spec.tasks)):
                continue
            if spec.cpus > limits.get(spec.team, math.inf) - used.get(spec.team, 0.0) + 1e-9:
                continue
            zones = [zone for _, zone in live]
            for kind, free_capacity in available:
                if (
                    tasks_that_fit(spec, free_capacity)
                    and placement.allowed(spec, kind.type, kind.zone, kind.spot)
                    and not (spec.one_zone and zones and kind.zone not in zones)
                    and not (spec.spread and zones.count(kind.zone) >= math.ceil(spec.tasks / 2))
                ):
                    waiting_now.add(job)
                    break
        for job in list(self.waiting):
            if job not in waiting_now or world.start_counts.get(job, 0) != self.started[job]:
                del self.waiting[job]
        for job in waiting_now:
            since = self.waiting.setdefault(job, now)
            self.started.setdefault(job, 0)
            if since == now:
                self.started[job] = world.start_counts.get(job, 0)
            self.longest_wait_s = max(self.longest_wait_s, now - since)
            if now - since > MAX_WAIT_S:
                raise InvariantViolation(f"waits: {job} since {since:.1f} despite free capacity, {world.specs[job]}")
        world.after(1.0, self.check)


class UserController(SimController):
    """Handles rate limiting by the store, and passes the outcome of submissions to the simulated users."""

    def call(self, then, fail, method, *args, too_large=None) -> None:
        def answered(answer) -> None:
            if isinstance(answer, wire.TransactionResult) and answer.revision < 0:  # 429, as in ``RecordWriter``
                budget = self.core.write_rate_limit.budget
                budget.consume(self.world.t, max(0.0, budget.available(self.world.t)))
                answer = wire.TransactionResult(0, [VIEW])
            then(answer)

        super().call(answered, fail, method, *args, too_large=too_large)

    def tell_users(self) -> None:
        for item in self.core.effects.notifications:
            if isinstance(item, Submission):
                self.world.on_submission_outcome(item)
        super().tell_users()


class RateLimitedStoreWorld(World):
    """Simulated users submit, cancel and poll jobs at a store with a write rate limit; all outcomes are recorded."""

    controller_class = UserController

    def __init__(self, seed, write_rps=60.0, machines=20, **kwargs) -> None:
        self.start_counts: dict[str, int] = {}
        self.accepted_at: dict[str, float] = {}
        self.sent_at: dict[str, float] = {}
        self.starts_after_cancel: list[str] = []  # ordered after the confirmed cancellation of their job
        self.open_submissions: dict[Submission, tuple] = {}
        self.submission_controllers = list(LABELS)
        super().__init__(
            seed,
            jobs=0,
            random_faults=False,
            nodes=5,
            machines=machines,
            next_limits=NextStateLimits(write_rps=write_rps),
            **kwargs,
        )
        self.has_concurrent_faults = True  # users cancel through any controller
        self.faults_end_at = math.inf  # each test tells its own checker when the faults have ended
        self.store_write_rps, self.write_tokens, self.last_refill_at, self.rejected_commits, self.changes = (
            write_rps,
            write_rps,
            0.0,
            0,
            0,
        )
        commit = self.store.commit

        def limited(conditions, puts, drops=(), lease_id=None):
            self.write_tokens = min(
                self.store_write_rps, self.write_tokens + (self.t - self.last_refill_at) * self.store_write_rps
            )
            self.last_refill_at = self.t
            count = len(puts) + len(drops)
            if count > self.write_tokens:
                self.rejected_commits += 1
                return wire.TransactionResult(-1)
            answer = commit(conditions, puts, drops, lease_id)
            self.write_tokens -= count
            self.changes += 0 if answer.failed else count
            return answer

        self.store.commit = limited

    def send(self, spec: wire.JobSpec) -> None:
        self.specs[spec.id] = spec
        self.first_submitted_at[spec.id] = self.sent_at[spec.id] = self.t
        self.try_submit(spec)

    def try_submit(self, spec: wire.JobSpec) -> None:
        if spec.id in self.accepted_at:  # already confirmed to the user, possibly because the store had it before
            return
        healthy = [
            label
            for label in self.submission_controllers
            if (core := self.controllers[label].core) is not None and core.may_act()
        ]
        if not healthy:
            self.after(1.0, self.try_submit, spec)
            return
        sim = self.controllers[self.rng.choice(healthy)]
        if sim.core.directory.knows_job(spec.id):
            if self.status_at_once(sim, spec.id) is not None:
                self.on_accepted(spec.id)
            else:
                self.after(2.0, self.try_submit, spec)
            return
        submission = sim.core.submissions.submit(spec, self.t, self.t + sim.ahead_s)
        life = (sim, sim.life)
        self.open_submissions[submission] = (spec, life)
        self.after(constants.SUBMIT_TIMEOUT_S, self.on_submission_timeout, submission)

    def on_submission_outcome(self, submission: Submission) -> None:
        spec, _ = self.open_submissions.pop(submission, (None, None))
        if spec is None:
            return
        if submission.outcome == "accepted":
            self.on_accepted(spec.id)
        else:
            self.after(constants.RETRY_AFTER_S, self.try_submit, spec)

    def on_submission_timeout(self, submission: Submission) -> None:
        if submission in self.open_submissions:  # 503, or its controller has ended
            spec, _ = self.open_submissions.pop(submission)
            self.after(constants.RETRY_AFTER_S, self.try_submit, spec)

    def on_accepted(self, job: str) -> None:
        if job not in self.accepted_at:
            self.accepted.add(job)
            self.accepted_at[job] = self.t
            self.after(self.rng.uniform(1.0, 5.0), self.poll, job)

    def poll(self, job: str) -> None:
        if job not in self.reported_ends:
            super().poll(job)

    def on_run_order(self, task_id: str) -> None:
        job = wire.split_task_id(task_id)[0]
        if self.t > self.cancelled_at.get(job, math.inf) + 0.5:  # before that, the order may have been in flight
            self.starts_after_cancel.append(task_id)

    def on_task_started(self, task_id, worker) -> None:
        super().on_task_started(task_id, worker)
        job = wire.split_task_id(task_id)[0]
        self.start_counts[job] = self.start_counts.get(job, 0) + 1

    @property
    def leader(self) -> UserController:
        return self.controllers[msgspec.json.decode(self.store.data[VIEW][0], type=View).leader]


def array(number, **overrides):
    """A sweep of one task with one CPU that may run anywhere; ``overrides`` replace fields."""
    spec = wire.JobSpec(
        id=f"wk-{number:06d}",
        job_class="soon",
        team="free",
        kind="sweep",
        priority="standard",
        tasks=1,
        cpus=1.0,
        memory_gb=2.0,
        image="p",
        image_gb=1.0,
        estimate_s=6.0,
        types=None,
        zone=None,
        one_zone=False,
        spread=False,
        spot=True,
    )
    return msgspec.structs.replace(spec, **overrides)


class OneTaskJobStream(RateLimitedStoreWorld):
    """``rate`` jobs per second, of which users cancel every fourth within seconds, some at once."""

    def __init__(self, seed, duration_s=130.0, rate=4.0, start_s=20.0, **kwargs) -> None:
        super().__init__(seed, **kwargs)
        self.last_submission_at = start_s + duration_s
        for number in range(int(duration_s * rate)):
            spec = array(number, estimate_s=self.rng.uniform(2.0, 9.0), priority=self.rng.choice(wire.PRIORITIES))
            self.after(start_s + number / rate, self.send, spec)

    def on_accepted(self, job):
        if job not in self.accepted_at and int(job[3:]) % 4 == 0:
            self.after(self.rng.choice([0.0, self.rng.uniform(0.0, 8.0)]), self.cancel, job)
        super().on_accepted(job)

    def backlog(self):
        nodes = [sim.core for sim in self.controllers.values() if sim.core is not None]
        return sum(len(core.submissions.pending) + len(core.job_shard.tally.lagging) for core in nodes)


def run_stream(seed, users=None, alone=False, until=0.0, leader_ends=True, **kwargs):
    """``users``: the controllers that take submissions. ``alone``: all other controllers are down from the start."""
    world = OneTaskJobStream(seed, **kwargs)
    world.submission_controllers = users or world.submission_controllers
    world.run(15.0)
    for sim in world.controllers.values() if alone else ():
        if sim.label not in users:
            sim.crash()
    if leader_ends:
        world.run(55.0)
        world.crash_and_restart(world.leader, 6.0)
    world.run(70.0)
    checker = FreeCapacityChecker(world, world.t)
    world.run(until or world.last_submission_at + 35.0)
    return world, checker


def submission_latencies(world):
    """Time from submission to acceptance, in s, ascending; for jobs not accepted yet, the time until now."""
    return sorted(world.accepted_at.get(job, world.t) - sent_at for job, sent_at in world.sent_at.items())


def test_a_stream_of_one_task_jobs_is_accepted_run_and_cancelled_though_a_leader_ends():
    world, checker = run_stream(1, write_rps=35.0, duration_s=122.0)
    assert len(world.accepted) == len(world.sent_at) == 488
    latencies = submission_latencies(world)
    assert latencies[-1] < 10.0 and latencies[int(0.9 * len(latencies))] < 0.3
    assert {world.reported_ends.get(job) for job in world.accepted if int(job[3:]) % 4} == {"done"}
    ends = [world.reported_ends.get(job) for job in world.accepted if int(job[3:]) % 4 == 0]
    assert set(ends) <= {"done", "aborted"} and ends.count("aborted") > 80
    assert not world.starts_after_cancel and checker.longest_wait_s < MAX_WAIT_S
    # Only the final status of each job remains: no pending writes, orders, reservations or quota usage.
    assert world.backlog() == 0 and not world.running_on
    for sim in world.controllers.values():
        core = sim.core
        assert not (
            core.job_shard.jobs
            or core.replica.active_jobs
            or core.replica.remaining_tasks
            or core.job_shard.jobs_by_machine
            or core.submissions.pending
        )
        assert (
            not any(core.job_shard.usage.used().values())
            and len(core.replica.jobs_by_submission) <= constants.MAX_QUEUE_ROWS // 10
        )
        assert not any(
            machine.orders.stops or machine.orders.pending or machine.reserved
            for machine in core.machine_shard.machines.values()
        )


@pytest.mark.parametrize("alone", (False, True))
def test_one_controller_uses_the_store_write_rate_that_the_others_leave_unused(alone):
    """With an equal share only, a fifth of the write rate, its submissions would wait too long."""
    world, _ = run_stream(2, users=["host-2"], alone=alone, write_rps=35.0, duration_s=60.0, leader_ends=False)
    latencies = submission_latencies(world)
    assert len(world.accepted) == 240 and latencies[int(0.9 * len(latencies))] < 2.0 and latencies[-1] < 5.0
    assert world.backlog() == 0 and not world.controllers["host-2"].core.job_shard.jobs, "all ended in the store"
    assert world.rejected_commits <= 3, "commits rarely exceed the write rate of the store"


def test_submissions_and_job_ends_share_the_write_budget_when_both_exceed_it():
    world = RateLimitedStoreWorld(3)
    world.run(5.0)
    core = world.controllers["host-1"].core
    for number in range(40):
        core.submissions.submit(array(number), world.t, world.t)
    while core.submissions.pending:
        world.run(world.t + 0.5)
    submission = core.submissions.submit(array(99), world.t, world.t)
    for number in range(40):
        core.job_shard.jobs[f"wk-{number:06d}"].abort(world.t + 1.0 + (number > 20))
    core.submissions.submit(array(98), world.t + 1.5, world.t + 1.5)
    written = []
    core.write_rate_limit.budget.available(world.t + 2.0)
    while len(written) < 42:
        core.write_rate_limit.budget.tokens = 2.0 - constants.WRITE_OVERDRAFT_SHARE * core.write_rate_limit.budget.burst
        batch = core.record_writer.next_batch(world.t + 2.0)
        written += [job.spec.id for job, _, _ in batch.jobs] + [
            accepted.job.spec.id for accepted, _ in batch.submissions
        ]
        core.batch_results.on_written(batch, world.store.revision, world.t + 2.0)
    assert submission.outcome == "accepted" and written.index("wk-000099") < 2
    assert written.index("wk-000098") in (22, 23), "after the ends that were due before it, two per transaction"


class IsolatedZoneController(UserController):
    """During the partition, the isolated controller and the workers of its zone reach only each other."""

    def is_isolated(self) -> bool:
        return self.label == self.world.isolated_controller and self.world.t < self.world.isolated_until

    def heartbeat(self, raw: bytes, reply) -> None:
        if self.world.t < self.world.isolated_until:
            if (json.loads(raw)["site"] == ISOLATED_ZONE) != (self.label == self.world.isolated_controller):
                return None
        return super().heartbeat(raw, reply)

    def lead(self) -> None:
        if not self.is_isolated():  # the cloud is unreachable from the isolated zone
            super().lead()


class IsolatedZoneWorker(SimWorker):
    def command(self, fencing_token: int, incarnation: int, reply) -> None:
        """Delay commands from outside until the partition ends; they are those with a newer fencing token."""
        world = self.world
        if (
            self.kind.zone == ISOLATED_ZONE
            and world.t < world.isolated_until
            and fencing_token > world.isolated_fencing_token
        ):
            world.after(world.isolated_until - world.t + 0.01, self.command, fencing_token, incarnation, reply)
        else:
            super().command(fencing_token, incarnation, reply)


class IsolatedZoneWorld(RateLimitedStoreWorld):
    """Jobs bound to a given zone, to any one zone, or spread over both; then a zone is isolated and machines fail."""

    controller_class = IsolatedZoneController

    def __init__(self, seed, jobs=30, machines=24, **kwargs) -> None:
        self.isolated_controller, self.isolated_until, self.isolated_fencing_token = "", 0.0, 0
        super().__init__(seed, machines=machines, **kwargs)
        rng = self.rng
        for number in range(jobs):
            placement_rule = [{"zone": "a"}, {"zone": "b"}, {"one_zone": True}, {"spread": True}][number % 4]
            spec = array(
                number,
                tasks=rng.randint(2, 9),
                cpus=rng.choice([1.0, 2.0]),
                **placement_rule,
                estimate_s=rng.uniform(15.0, 50.0),
                team="free" if number % 6 else "bound",
            )
            self.after(rng.uniform(5.0, 60.0), self.send, spec)

    def boot(self, name, kind) -> None:
        if name in self.rented_kinds:
            self.machines[name] = IsolatedZoneWorker(self, name, kind)

    def status_at_once(self, sim, job):
        return None if sim.is_isolated() else super().status_at_once(sim, job)

    def partition_zone(self, label: str, duration_s: float, failed_share: float) -> None:
        """``failed_share``: share of the machines, in both zones, that fail when the partition begins."""
        sim = self.controllers[label]
        self.isolated_controller, self.isolated_until = label, self.t + duration_s
        self.isolated_fencing_token = self.store.data[VIEW][1]
        sim.cut_store_until = sim.cut_mesh_until = self.isolated_until
        self.submission_controllers = [other for other in LABELS if other != label]
        self.after(duration_s, setattr, self, "submission_controllers", list(LABELS))
        for worker in [running for running in self.machines.values() if running is not None and running.alive]:
            if self.rng.random() < failed_share:
                worker.crash()


def run_isolated_zone(seed, is_leader, duration_s, failed_share=0.2, until=150.0, **kwargs):
    world = IsolatedZoneWorld(seed, **kwargs)
    world.run(45.0)
    label = world.leader.label if is_leader else min(set(LABELS) - {world.leader.label})
    tasks_in_zone = [
        task_id for task_id, name in world.running_on.items() if world.machines[name].kind.zone == ISOLATED_ZONE
    ]
    world.partition_zone(label, duration_s, failed_share)
    world.run(45.0 + duration_s + 15.0)
    checker = FreeCapacityChecker(world, world.t)
    world.run(45.0 + duration_s + until)
    return world, checker, tasks_in_zone


@pytest.mark.parametrize("seed, is_leader, duration_s", [(1, True, 30.0), (2, False, 50.0)])
def test_jobs_survive_the_isolation_of_a_zone_with_a_controller_for_longer_than_a_lease(seed, is_leader, duration_s):
    """No task runs twice or in a wrong zone during the partition, and all jobs are done after it."""
    world, checker, tasks_in_zone = run_isolated_zone(seed, is_leader, duration_s)
    assert len(tasks_in_zone) >= 5, "tasks ran in the isolated zone"
    assert {world.reported_ends.get(job) for job in world.accepted} == {"done"} and len(world.accepted) == 30
    assert checker.longest_wait_s < MAX_WAIT_S


def test_inherited_tasks_of_unknown_location_restrict_the_zones_of_other_tasks():
    """One zone: no task is placed while an inherited one is unconfirmed. Spread: it counts as in each zone."""
    for overrides, expected_before, expected_after in (
        ({"one_zone": True}, (0, 0), (0, 0)),
        ({"spread": True}, (0, 0), (1, 0)),
    ):
        job = Job(Record(JobState.ACTIVE, "host-0", 0.0, 4, [], array(1, tasks=4, **overrides)), 1, 0.0, 0.0)
        job.adopt(0, TaskRun("n-1", "b", 7, 0, TaskState.RUNNING, 0.0))
        job.adopt(1, TaskRun("n-1", "b", 8, 0, TaskState.RUNNING, 0.0))
        assert (job.remaining_in_zone("a"), job.remaining_in_zone("b")) == expected_before
        job.requeue(0)
        job.finish_task(2, 0.0)  # its end was reported
        assert (job.remaining_in_zone("a"), job.remaining_in_zone("b")) == expected_after
        job.requeue(1)
        assert job.waiting == 2 and (job.remaining_in_zone("a") > 0) is ("spread" in overrides)
        job.requeue(3)
        assert job.remaining_in_zone("a") and job.remaining_in_zone("b")


def test_without_the_barrier_inherited_tasks_of_an_isolated_zone_run_twice(monkeypatch):
    """Shows that the simulation detects a missing barrier: tasks are restarted while they still run in the zone."""
    enter_view = JobShard.enter_view

    def no_barrier(self, fencing_token, jobs, machines):
        enter_view(self, fencing_token, jobs, machines)
        self.inherited.barrier = Barrier({})
        self.inherited.release()

    monkeypatch.setattr(JobShard, "enter_view", no_barrier)
    with pytest.raises(InvariantViolation, match="ran_twice"):
        run_isolated_zone(2, False, 50.0)


class OverloadedWorld(RateLimitedStoreWorld):
    """Production and best-effort jobs that exceed the capacity about threefold; a few need whole machines."""

    def __init__(self, seed, duration_s=100.0, jobs=44, **kwargs) -> None:
        super().__init__(seed, machines=5, **kwargs)
        rng = self.rng
        for number in range(jobs):
            urgent, large = number % 3 == 0, number % 11 == 5
            spec = array(
                number,
                tasks=3 if large else rng.randint(3, 10),
                cpus=16.0 if large else 2.0,
                estimate_s=rng.uniform(4.0, 9.0),
                job_class="soon" if urgent else "x",
                types=["large"] if large else None,
                priority="production" if urgent else "best_effort",
                team="bound" if number % 4 == 1 and not large else "free",
            )
            self.after(5.0 + duration_s * number / jobs, self.send, spec)

    def delay_links(self, until: float) -> None:
        self.delayed_frame_share = 0.3  # share of frames, delayed by up to 5 s
        self.store.latency_factor, self.store.slow_until = 40.0, until
        self.after(until - self.t, setattr, self, "delayed_frame_share", 0.001)


def run_overloaded(seed, outage_s=0.0, until=420.0):
    world = OverloadedWorld(seed)
    world.run(20.0)
    world.delay_links(100.0)
    world.run(60.0)
    if outage_s:
        for sim in world.controllers.values():
            world.crash_and_restart(sim, outage_s + world.rng.uniform(0.0, 2.0))
    world.run(110.0)
    checker = FreeCapacityChecker(world, world.t)
    while world.t < until and len(world.reported_ends) < len(world.specs):
        world.run(world.t + 10.0)
    return world, checker


def start_latencies(world, priority):
    return sorted(
        world.first_started_at.get(job, world.t) - world.sent_at[job]
        for job in world.sent_at
        if world.specs[job].priority == priority
    )


@pytest.mark.parametrize("seed, outage_s", [(1, 0.0), (2, LEASE_S + 8.0)])
def test_under_overload_production_jobs_start_first_and_no_job_starves(seed, outage_s):
    world, checker = run_overloaded(seed, outage_s)
    urgent, other = start_latencies(world, "production"), start_latencies(world, "best_effort")
    assert urgent[len(urgent) // 2] < other[len(other) // 2] and other[-1] < LARGEST_START_LIMIT_S
    assert not world.largest_started_late() and checker.longest_wait_s < MAX_WAIT_S
    assert {world.reported_ends.get(job) for job in world.accepted} == {"done"} and len(world.accepted) == len(
        world.specs
    )


def no_candidates_in_a_zone(monkeypatch):
    candidate = MachineCapacity.candidate
    monkeypatch.setattr(
        MachineCapacity,
        "candidate",
        lambda self, machine, now: None if machine.zone == "b" else candidate(self, machine, now),
    )


def reservations_are_never_released(monkeypatch):
    """A reservation is never released by the grant that answers its task request."""
    on_task_grant = MachineShard.on_task_grant
    monkeypatch.setattr(
        MachineShard,
        "on_task_grant",
        lambda self, label, grant, now: on_task_grant(self, label, msgspec.structs.replace(grant, request_id=-1), now),
    )


@pytest.mark.parametrize("fault", (no_candidates_in_a_zone, reservations_are_never_released))
def test_the_checker_detects_jobs_that_wait_despite_free_capacity(monkeypatch, fault):
    fault(monkeypatch)
    world = IsolatedZoneWorld(5, jobs=16, machines=4)
    world.run(40.0)
    FreeCapacityChecker(world, world.t)
    with pytest.raises(InvariantViolation, match="waits"):
        world.run(170.0)
