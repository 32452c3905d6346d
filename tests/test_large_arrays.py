"""Large job arrays: what a controller holds and does follows the machines, not the number of submitted tasks."""

import random
import time
import tracemalloc

import msgspec
import pytest
from simulation import World
from test_late_transactions import SPEC, SteppedController

from alderbridge import constants
from alderbridge.jobs.index_ranges import IndexRanges
from alderbridge.jobs.job import Job
from alderbridge.jobs.record import JobState, Record
from alderbridge.jobs.shard import JobShard
from alderbridge.jobs.task_states import TaskRun, TaskState
from alderbridge.membership.records import View
from alderbridge.protocol.keys import JOBS, VIEW
from alderbridge.protocol.wire import MachineRecord

ARRAYS = 6
SMALL_TASKS, LARGE_TASKS = 1_000, 100_000  # the platform allows 100,000 tasks in a job
MACHINE = "n-000001"


def array_record(number: int, tasks: int) -> Record:
    """An active array of which each task may have been started, as any version may have stored it."""
    spec = msgspec.structs.replace(SPEC, id=f"wk-{number:06d}", tasks=tasks)
    return Record(JobState.ACTIVE, "host-0", 0.0, tasks, [], spec)


def failover_of_arrays(tasks: int) -> tuple[int, int]:
    """Peak of the memory in bytes while a controller inherits arrays, and while the barrier lifts and they go on."""
    alone = SteppedController("host-1")
    for number in range(ARRAYS):
        record = array_record(number, tasks)
        alone.store.commit({}, {JOBS + record.spec.id: record})
    alone.follow()
    alone.add_machine(MACHINE)
    successor = alone.other_member("host-1")
    alone.store.commit({}, {VIEW: View("host-1", {"host-1": alone.lease_ids["host-1"]})})
    tracemalloc.start()
    try:
        successor.follow()
        jobs = list(successor.core.job_shard.jobs.values())
        assert [len(job.inherited_tasks) for job in jobs] == [tasks] * ARRAYS
        inheriting_bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.reset_peak()
        successor.heartbeat(MACHINE, 2)
        assert [job.waiting for job in jobs] == [tasks] * ARRAYS and not any(job.inherited_tasks for job in jobs)
        successor.advance(1.0)
        return inheriting_bytes, tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


# A controller that inherited large arrays went over its memory limit and was killed after each start.
def test_memory_of_a_failover_does_not_follow_the_number_of_tasks_of_inherited_arrays():
    small, large = failover_of_arrays(SMALL_TASKS)[0], failover_of_arrays(LARGE_TASKS)[0]
    assert large <= 2 * small, f"inheriting {LARGE_TASKS} tasks an array takes {large} bytes, {SMALL_TASKS}: {small}"


# The heap of an inherited array held an entry for each of its tasks once the recovery barrier had lifted.
def test_memory_of_the_barrier_s_end_does_not_follow_the_number_of_tasks_of_inherited_arrays():
    small, large = failover_of_arrays(SMALL_TASKS)[1], failover_of_arrays(LARGE_TASKS)[1]
    assert large <= 2 * small, f"requeueing {LARGE_TASKS} tasks an array takes {large} bytes, {SMALL_TASKS}: {small}"


def released_array(tasks: int, machines=()) -> tuple[JobShard, Job]:
    """A shard with one inherited array whose tasks are all waiting unless they may be on ``machines``."""
    job_shard = JobShard([], lambda label, message: 1, 4096)
    record = array_record(1, tasks)
    job = Job(record, 1, 0.0, 0.0)
    recorded = {name: MachineRecord("x", "small", "a") for name in machines}
    job_shard.enter_view(5, {record.spec.id: job}, recorded)
    return job_shard, job


def time_of_tasks(tasks: int, count: int = 200) -> float:
    """Processor time in seconds in which ``count`` tasks of an inherited array are granted and finish."""
    _, job = released_array(tasks)
    started_at = time.process_time()
    for attempt in range(count):
        index = job.next_task(1.0)
        job.grant(index, TaskRun(MACHINE, "a", attempt, 0, TaskState.RUNNING, 1.0))
        job.finish_task(index, 2.0)
    assert job.done.count == count and job.waiting == tasks - count
    return time.process_time() - started_at


# After a failover each finished task of a large array was searched for among all that waited.
def test_time_of_a_finished_task_does_not_follow_the_number_of_waiting_tasks_of_an_inherited_array():
    small = min(time_of_tasks(SMALL_TASKS) for _ in range(5))
    large = min(time_of_tasks(LARGE_TASKS) for _ in range(5))
    assert large <= 5 * small, f"{large:.4f} s with {LARGE_TASKS} tasks, {small:.4f} s with {SMALL_TASKS}"


def submitted_array() -> tuple[SteppedController, Job]:
    """A controller with one machine, and a large array that it has just accepted."""
    alone = SteppedController("host-1")
    alone.add_machine(MACHINE)
    return alone, alone.submit_job(msgspec.structs.replace(SPEC, tasks=LARGE_TASKS))


# After a failover all tasks of a large array waited for the recovery barrier, though most had never started.
def test_tasks_of_a_large_array_that_never_started_wait_for_no_machine_after_a_failover():
    alone, job = submitted_array()
    successor = alone.other_member("host-1")
    alone.advance(5.0)
    alone.write_due_records()
    assert job.start_limit > constants.START_LIMIT_HEADROOM_TASKS, "its start limit is ahead of what has started"
    successor.t = alone.t
    alone.store.commit({}, {VIEW: View("host-1", {"host-1": alone.lease_ids["host-1"]})})
    successor.follow()
    inherited = successor.core.job_shard.jobs[job.spec.id]
    assert MACHINE in successor.core.job_shard.inherited.barrier, "the machine has not been heard under this view"
    assert inherited.waiting > LARGE_TASKS / 2, "most of its tasks were never started"
    assert len(inherited.inherited_tasks) == job.start_limit < 2 * constants.START_LIMIT_STEP_TASKS
    assert inherited.waiting == LARGE_TASKS - job.start_limit


@pytest.mark.parametrize("finishes", (False, True))
def test_a_large_array_is_granted_in_full_with_few_writes_of_its_start_limit(finishes):
    alone, job = submitted_array()
    start_limits = {job.start_limit}
    granted = 0
    while granted < LARGE_TASKS:
        alone.advance(0.5)
        alone.write_due_records()
        start_limits.add(job.start_limit)
        before = granted
        for _ in range(1_000):
            index = job.next_task(alone.t)
            if index is None:
                break
            alone.start_task(job, MACHINE, index)
            granted += 1
            if finishes:
                job.finish_task(index, alone.t)
        assert granted > before, "a start limit is ahead of the grants"
    assert job.waiting == 0 and len(start_limits) <= 2 * LARGE_TASKS / constants.START_LIMIT_STEP_TASKS


# A start limit that is raised in steps must be ahead of the grants, and cover all of them, whoever fails.
@pytest.mark.parametrize("seed", range(5000, 5004))
def test_invariants_hold_while_start_limits_are_raised_in_steps(monkeypatch, seed):
    monkeypatch.setattr(constants, "START_LIMIT_HEADROOM_TASKS", 2)
    monkeypatch.setattr(constants, "START_LIMIT_STEP_TASKS", 6)
    world = World(
        seed, jobs=24, random_faults=False, nodes=5, machines=24, large_jobs=True, total_failures=2, slow_restarts=True
    )
    world.run(200.0)
    assert world.task_starts > 500


@pytest.mark.parametrize("state", (JobState.ACTIVE, JobState.ABORTED))
def test_inherited_tasks_wait_again_only_once_the_barrier_lifts_and_only_while_their_job_is_active(state):
    job_shard, job = released_array(SMALL_TASKS, [MACHINE])
    job.adopt(7, TaskRun(MACHINE, "a", 1, 0, TaskState.RUNNING, 1.0))
    job.finish_task(3, 1.0)
    assert len(job.inherited_tasks) == SMALL_TASKS - 2 and not job.waiting and job.next_task(1.0) is None
    if state is JobState.ABORTED:
        job.abort(1.0)
    job_shard.inherited.on_machine_reconciled(MACHINE)
    assert not job.inherited_tasks and list(job.runs) == [7]
    assert job.waiting == (SMALL_TASKS - 2 if state is JobState.ACTIVE else 0)
    assert job_shard.tally.teams["free"][0] == pytest.approx(SPEC.cpus), "only the adopted task is used quota"


@pytest.mark.parametrize("seed", range(20))
def test_index_ranges_hold_the_same_numbers_as_a_set(seed):
    rng = random.Random(seed)
    limit = rng.choice((6, 40))
    ranges, expected = IndexRanges(), set()
    for _ in range(400):
        number = rng.randrange(limit)
        action = rng.randrange(6)
        if action < 2:
            ranges.add(number)
            expected.add(number)
        elif action < 4:
            ranges.discard(number)
            expected.discard(number)
        elif action == 4 and expected:
            smallest = min(expected)
            assert ranges.pop_smallest() == smallest
            expected.remove(smallest)
        else:
            others = {rng.randrange(limit) for _ in range(rng.randrange(4))}
            added = IndexRanges()
            for other in others:
                added.add(other)
            ranges.add_all(added)
            expected |= others
        assert list(ranges) == sorted(expected) and len(ranges) == ranges.count == len(expected)
        assert all((index in ranges) is (index in expected) for index in range(-1, limit + 1))
        assert all(high < low for (_, high), (low, _) in zip(ranges.ranges, ranges.ranges[1:], strict=False))
        below = rng.randrange(limit + 2)
        assert set(ranges.missing_below(below)) == set(range(below)) - expected
