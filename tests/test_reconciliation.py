"""Reconciliation after a failover: the transition table, the recovery barrier, probes and the scale-in guard."""

from random import Random

import msgspec
import pytest
from simulation import InvariantViolation, World
from test_machines import SPEC, heartbeat, machine_shard_with_machine

from alderbridge import constants, reconciliation
from alderbridge.jobs.index_ranges import IndexRanges
from alderbridge.jobs.job import Job
from alderbridge.jobs.record import JobState, Record
from alderbridge.jobs.shard import JobShard
from alderbridge.jobs.task_states import TaskRun, TaskState
from alderbridge.membership.membership import Membership
from alderbridge.membership.records import MemberRecord
from alderbridge.protocol.messages import (
    AcknowledgeFinished,
    MachineTaskReport,
    QueueRow,
    StopTask,
    TaskGrant,
    TaskStatusReport,
)
from alderbridge.protocol.wire import Heartbeat, MachineRecord
from alderbridge.reconciliation import (
    TRANSITIONS,
    Action,
    Barrier,
    FleetKnowledge,
    HeartbeatProber,
    MachineProgress,
    ObservedState,
    ReconciliationProgress,
    RecordedState,
    ScaleInGuard,
)
from alderbridge.scheduling import policy

HERE, ATTEMPT = "n-1", 7


def job_shard_with(recorded):
    """A job shard that has task 0 in that state, with respect to attempt 7 on machine n-1; its job; messages sent."""
    sent = []
    job_shard = JobShard([], lambda label, body: sent.append(body) or len(sent), 4096)
    job_shard.enter_view(5, {}, {HERE: MachineRecord(), "n-2": MachineRecord()})
    if recorded is RecordedState.UNKNOWN_JOB:
        return job_shard, None, sent
    job = Job(
        Record(JobState.ACTIVE, "host-0", 0.0, 9, [], SPEC),
        1,
        0.0,
        0.0,
        never_started=recorded is not RecordedState.POSSIBLY_HERE,
    )
    job_shard.add(job)
    runs = {
        RecordedState.HERE: (HERE, ATTEMPT),
        RecordedState.JOB_ENDED_HERE: (HERE, ATTEMPT),
        RecordedState.OTHER_ATTEMPT: (HERE, 6),
        RecordedState.ELSEWHERE: ("n-2", 9),
    }
    if recorded in runs:
        machine, attempt = runs[recorded]
        job.next_index = 1
        job.grant(0, TaskRun(machine, "a", attempt, 0, TaskState.RUNNING, 0.0))
        job_shard.jobs_by_machine.setdefault(machine, set()).add(SPEC.id)
    elif recorded is RecordedState.WAITING:
        job.next_index = 9
        job.requeued = IndexRanges([(0, 9)])
    elif recorded in (RecordedState.RESULT_STORED, RecordedState.RESULT_UNSTORED):
        job.next_index = 1
        job.finish_task(0, 1.0)
        if recorded is RecordedState.RESULT_STORED:
            job.dirty_since = None
    if recorded in (RecordedState.JOB_ENDED, RecordedState.JOB_ENDED_HERE):
        job.apply_stored_end(JobState.ABORTED)
        job.stored_state = JobState.ABORTED
    return job_shard, job, sent


def report_of(observed):
    """A machine task report that shows task 0 in that state."""
    status, cause = {
        ObservedState.LIVE: ("running", None),
        ObservedState.DONE: ("ended", "done"),
        ObservedState.ERROR: ("ended", "error"),
        ObservedState.STOPPED: ("ended", "halted"),
    }.get(observed, ("", None))
    tasks = [TaskStatusReport(SPEC.id, 0, ATTEMPT, status, cause)] if status else []
    return MachineTaskReport(HERE, "a", 9, tasks, [(SPEC.id, 0, ATTEMPT)] if observed is ObservedState.PENDING else [])


@pytest.mark.parametrize("observed", ObservedState)
@pytest.mark.parametrize("recorded", RecordedState)
def test_a_job_shard_carries_out_every_cell_of_the_table(recorded, observed):
    job_shard, job, sent = job_shard_with(recorded)
    if job is not None:
        assert job_shard.task_reports.recorded_state(job, 0, HERE, ATTEMPT) is recorded
    before = job.runs.get(0) if job is not None else None
    job_shard.task_reports.on_task_report("host-1", report_of(observed), 2.0)
    action = TRANSITIONS[recorded][observed]
    assert [body for body in sent if isinstance(body, AcknowledgeFinished)] == (
        [AcknowledgeFinished(HERE, SPEC.id, 0, ATTEMPT)]
        if action in (Action.ACKNOWLEDGE, Action.REQUEUE_AND_ACKNOWLEDGE, Action.FAIL_AND_ACKNOWLEDGE)
        else []
    )
    assert [body for body in sent if isinstance(body, StopTask)] == (
        [StopTask(HERE, SPEC.id, 0, ATTEMPT, 0.0)]
        if action in (Action.STOP, Action.ADOPT_AND_STOP, Action.PROGRESS_AND_STOP)
        else []
    )
    if job is None:
        return
    run = job.runs.get(0)
    if action in (Action.ADOPT, Action.ADOPT_AND_STOP):
        assert (run.machine, run.attempt) == (HERE, ATTEMPT) and 0 not in job.inherited_tasks and 0 not in job.requeued
        assert run.state is (TaskState.GRANTED if observed is ObservedState.PENDING else TaskState.RUNNING)
    elif action in (Action.REQUEUE, Action.REQUEUE_AND_ACKNOWLEDGE, Action.FAIL_AND_ACKNOWLEDGE):
        assert run is None and (0 in job.requeued) is (job.state is JobState.ACTIVE)
    elif action is Action.FINISH:
        assert 0 in job.done and (HERE, 0, ATTEMPT) in job.unacknowledged_results, "acknowledged only once it is stored"
    else:
        assert run is before
        if action is Action.REMOVE_FROM_BARRIER and recorded is RecordedState.POSSIBLY_HERE:
            assert 0 in job.inherited_tasks, "n-2 may still run it"
            job_shard.task_reports.on_task_report("host-1", MachineTaskReport("n-2", "a", 9, [], []), 2.0)
            assert 0 in job.requeued and not job.inherited_tasks


def test_the_table_requeues_only_with_proof_and_acknowledges_only_stored_results():
    assert len(TRANSITIONS) == len(RecordedState) and all(len(row) == len(ObservedState) for row in TRANSITIONS)
    requeues = {Action.REQUEUE, Action.REQUEUE_AND_ACKNOWLEDGE, Action.FAIL_AND_ACKNOWLEDGE}
    for recorded in RecordedState:
        assert not requeues & {TRANSITIONS[recorded][ObservedState.LIVE], TRANSITIONS[recorded][ObservedState.PENDING]}
        assert TRANSITIONS[recorded][ObservedState.PENDING] in (Action.NOTHING, Action.ADOPT)
        if recorded in (
            RecordedState.WAITING,
            RecordedState.POSSIBLY_HERE,
            RecordedState.HERE,
            RecordedState.RESULT_UNSTORED,
        ):
            assert TRANSITIONS[recorded][ObservedState.DONE] is Action.FINISH
        if recorded is RecordedState.ELSEWHERE:
            assert not requeues & set(TRANSITIONS[recorded]), "a report of one machine proves nothing about another"


def test_an_inherited_task_waits_only_for_machines_that_its_job_may_use():
    """Guards against waiting for a dead machine that the job excludes by spot, type or zone."""
    spot, other_type = MachineRecord("x", "c4", "a", True), MachineRecord("y", "c8", "a")
    barrier = Barrier({"n-1": spot, "n-2": spot, "n-3": other_type, "n-4": MachineRecord("z", "c4", "b")})
    restricted = msgspec.structs.replace(SPEC, spot=False, types=["c4"], zone="b")
    unrestricted = msgspec.structs.replace(SPEC, spot=True)
    assert barrier.may_run_tasks_of(restricted) and barrier.may_run_tasks_of(unrestricted)
    assert barrier.remove("n-4") and not barrier.may_run_tasks_of(restricted) and barrier.may_run_tasks_of(unrestricted)
    assert not barrier.remove("n-1") and barrier.remove("n-2") and barrier.remove("n-3")
    assert not barrier and not barrier.may_run_tasks_of(unrestricted)
    assert Barrier({"n-9": MachineRecord()}).may_run_tasks_of(restricted), "records of version 0.1.0 have no type"


def test_a_continued_machine_shard_carries_over_its_grants_and_observed_tasks():
    machine_shard, sent = machine_shard_with_machine()
    heartbeat(machine_shard, 1)
    machine = machine_shard.machines["n-1"]
    for index, attempt in ((0, 70), (1, 71)):
        grant = TaskGrant(machine_shard.reserve(machine, "wk-1", 1), "wk-1", "n-1", [(index, attempt)])
        machine_shard.on_task_grant("host-1", grant, 1.5)
        if index == 0:
            machine_shard.order_builder.orders(machine)  # only the first order is sent
    del sent[:]
    machine_shard.enter_view(6, ["host-0", "host-1"], {"n-1": machine.record}, 2.0, continued=True, inherit_tasks=True)
    assert not sent
    machine_shard.leases.settle(2.2)
    assert sent == [
        ("host-0", MachineTaskReport("n-1", "a", 7, [], [])),
        ("host-1", MachineTaskReport("n-1", "a", 7, [], [("wk-1", 0, 70)])),
    ]
    assert machine_shard.view.reconciliation.states == {"n-1": MachineProgress.RECONCILED}
    assert machine_shard.order_builder.orders(machine_shard.machines["n-1"]) == [], (
        "no orders before the machine has acknowledged the view"
    )
    machine_shard.heartbeats.on_heartbeat(Heartbeat("n-1", "x", "c4", 1, 2, 6, "a"), 3.0)
    assert sent[-1] == ("host-1", MachineTaskReport("n-1", "a", 7, [], [])), (
        "its heartbeat shows that the ordered task is not there"
    )


def test_a_machine_shard_that_may_not_inherit_tasks_carries_nothing_over():
    machine_shard, sent = machine_shard_with_machine()
    heartbeat(machine_shard, 1)
    del sent[:]
    machine_shard.enter_view(
        6, ["host-0", "host-1"], {"n-1": MachineRecord("x", "c4", "a")}, 2.0, continued=True, inherit_tasks=False
    )
    machine_shard.leases.settle(2.2)
    assert not sent and machine_shard.view.reconciliation.states == {"n-1": MachineProgress.RECORDED}


def test_a_machine_that_ends_while_its_record_is_written_is_not_written_again():
    """Guards against a terminated machine that stays queued for writing and blocks all further writes."""
    machine_shard, _ = machine_shard_with_machine()
    for name in ("n-2", "n-3", "n-4"):
        machine_shard.heartbeats.on_heartbeat(Heartbeat(name, "x", "c4", 1, 1, 5, "a"), 1.0)
    assert machine_shard.records.to_write == ["n-2", "n-3", "n-4"]
    machine_shard.on_terminated(["n-2", "n-3"])
    assert machine_shard.records.to_write == ["n-4"]
    machine_shard.records.on_recorded("n-3")  # its write was in flight
    machine_shard.leases.check(30.0)
    machine_shard.records.on_recorded("n-4")
    assert sorted(machine_shard.records.to_drop) == ["n-1", "n-3", "n-4"] and not machine_shard.records.to_write
    assert not machine_shard.machines["n-4"].recorded


def test_progress_writes_do_not_starve_the_drops_of_machine_records():
    """Guards against restarts that wait for machines whose records should have been dropped long before."""
    world = World(9500, jobs=0, random_faults=False)
    world.run(5.0)
    sim = world.controllers["host-1"]
    core, sim.busy = sim.core, True  # the test runs its record writer
    for number in range(200):
        spec = msgspec.structs.replace(world.make_job(number), id=f"wk-{number:06d}", kind="sweep", tasks=9)
        job = Job(Record(JobState.ACTIVE, "host-1", world.t, 9, [], spec), 1, world.t, 0.0)
        job.last_written_at = 0.0
        core.job_shard.add(job)
        job.mark_dirty(world.t)
    core.machine_records.to_drop = ["n-8", "n-9"]
    dropped = []
    while len(dropped) < 2 and world.t < 12.0:
        world.run(world.t + 0.1)
        batch = core.record_writer.next_batch(world.t)
        if batch is not None:
            dropped += batch.dropped_machines
            assert batch.changes <= core.record_writer.max_changes
            for name in batch.dropped_machines:
                core.machine_records.on_dropped(name)
            for job, _, _ in batch.jobs:
                job.mark_dirty(world.t)
    assert dropped == ["n-8", "n-9"]


def test_an_unanswered_probe_is_retried_with_jitter_a_limited_number_of_times():
    prober, probed_at, now = HeartbeatProber(Random(1)), [], 10.0
    prober.enter_view(["n-1", "n-2", "n-3"], now)
    assert [prober.next_machine(now, lambda name: name == "n-2") for _ in range(3)] == ["n-1", "n-3", None]
    prober.on_probe_failed("n-1", now)
    while now < 60.0:
        now += 0.1
        if prober.next_machine(now, lambda name: False) is not None:
            probed_at.append(now)
            prober.on_probe_failed("n-1", now)
    assert len(probed_at) == constants.MAX_PROBE_ATTEMPTS - 1
    assert all(
        later - earlier <= constants.PROBE_BACKOFF_MAX_S + 0.2
        for earlier, later in zip([10.0, *probed_at], probed_at, strict=False)
    )


def test_the_leader_neither_scales_in_nor_rents_for_tasks_that_may_still_run():
    """Guards against returning machines as idle after a failover and renting as many again seconds later."""
    scale_in_guard = ScaleInGuard(17.0)
    assert scale_in_guard.refresh(300, 600, 5000, 100.0) is FleetKnowledge.RECONCILING
    assert not scale_in_guard.may_scale_in and not scale_in_guard.counts_inherited
    # A second failover does not restart the time limit.
    assert scale_in_guard.refresh(3, 600, 40, 110.0) is FleetKnowledge.RECONCILING
    assert scale_in_guard.refresh(0, 600, 40, 100.0 + scale_in_guard.overdue_after_s + 0.1) is FleetKnowledge.OVERDUE
    assert scale_in_guard.may_scale_in and scale_in_guard.counts_inherited
    assert scale_in_guard.refresh(5, 600, 0, 130.0) is FleetKnowledge.RECONCILED, "a few machines may always be booting"
    assert scale_in_guard.refresh(200, 600, 0, 140.0) is FleetKnowledge.RECONCILING


def test_few_silent_machines_are_returned_as_proof_but_not_an_unreachable_zone():
    few = [("n-1", 4.5), ("n-2", 2.0)]
    assert ScaleInGuard.machines_to_prove_empty(few, 600, 900) == ["n-1"]
    assert ScaleInGuard.machines_to_prove_empty(few, 600, 0) == [], "no inherited task waits"
    assert ScaleInGuard.machines_to_prove_empty([(f"n-{n}", 9.0) for n in range(200)], 600, 900) == []


def test_controllers_that_join_together_share_one_view():
    """Guards against views in quick succession that invalidate each other's acknowledgements."""

    def views_after_joins(join_times):
        membership = Membership("host-0", 20.0)
        membership.store_lease.record_renewal(1, 0.0)
        view_times = []
        for step in range(60):
            now = step * 0.1
            for number, joined_at in enumerate(join_times):
                if joined_at <= now:
                    membership.observe_member(
                        f"host-{number}", MemberRecord(number + 1, constants.PROTOCOL_VERSION), number + 1
                    )
            change = membership.next_view(now)
            if change is not None:
                view_times.append(now)
                membership.observe_view(change[0], 100 + len(view_times))
        return view_times, membership.view

    view_times, view = views_after_joins([0.0, 0.2, 0.4, 0.6, 0.8])
    assert len(view_times) <= 2 and len(view.members) == 5
    view_times, view = views_after_joins([0.0, 3.0])
    assert len(view_times) == 2 and view_times[1] - 3.0 <= constants.JOIN_DEBOUNCE_S + 0.2


def test_reconciliation_progress_counts_states_and_finishes():
    progress = ReconciliationProgress(0.0)
    for name in ("n-1", "n-2", "n-3", "n-4"):
        progress.add_recorded(name)
    progress.record_report("n-1")
    progress.acknowledge("n-1")
    progress.mark_reconciled("n-1")
    progress.record_report("n-2")
    progress.mark_silent("n-2")
    progress.mark_silent("n-1")
    progress.mark_expired("n-3")
    assert not progress.is_settled
    progress.mark_terminated("n-4")
    assert progress.is_settled
    assert progress.summary(3.0) == "after 3.0 s: reconciled 1, silent 1, expired 1, terminated 1 of 4"


def find_remote_run(world):
    """(job owner, machine owner, job, index, machine) of a task whose job and machine owners differ; None if none."""
    for label, sim in world.controllers.items():
        for name, job in sim.core.job_shard.jobs.items():
            for index, run in job.runs.items():
                machine_owner = sim.core.membership.machine_owner(run.machine)
                if machine_owner != label:
                    return label, machine_owner, name, index, run.machine
    return None


def run_until_remote_run(world):
    while (found := find_remote_run(world)) is None:
        world.run(world.t + 0.5)
    return found


def unfinished_jobs(world):
    return [name for name in world.accepted if name not in world.reported_ends and not world.specs[name].service]


@pytest.mark.parametrize("seed", (8000, 8001, 8002))
def test_tasks_are_requeued_if_the_proof_of_their_end_was_lost_with_its_view(seed):
    """Guards against tasks that hang because their machine expired and its owner's report was lost with the view.

    The machine's record has been dropped, so no machine owner of the new view would report on it.
    """
    world = World(seed, jobs=30, random_faults=False)
    job_owner, machine_owner, _, _, machine = run_until_remote_run(world)
    third = next(label for label in world.labels if label not in (job_owner, machine_owner))
    world.machines[machine].crash()
    world.controllers[job_owner].cut_mesh_until = world.t + 26.0
    world.run(world.t + 20.0)
    assert (
        machine not in world.controllers[machine_owner].core.replica.machine_revisions
    )  # expired, and its record dropped
    world.controllers[third].crash()
    world.after(1.0, world.restart, world.controllers[third])
    world.run(world.t + 12.0)
    stuck = [
        run
        for sim in world.controllers.values()
        for other in sim.core.job_shard.jobs.values()
        for run in other.runs.values()
        if run.machine == machine
    ]
    assert not stuck
    world.run(600.0)  # jobs of a team at its quota take a while
    assert not unfinished_jobs(world)


def barrier_wait_s(seed):
    """Seconds that inherited tasks wait after a machine dies and the owner of its job restarts at once."""
    world = World(seed, jobs=30, random_faults=False)
    world.run(40.0)
    job_owner, machine_owner, name, index, machine = run_until_remote_run(world)
    world.machines[machine].crash()
    world.controllers[job_owner].crash()
    world.run(world.t + 2.0)
    world.restart(world.controllers[job_owner])
    restarted_at = world.t
    while world.t < restarted_at + 30.0:
        world.run(world.t + 0.1)
        core = world.controllers[job_owner].core
        if core.may_act() and not any(job.inherited_tasks for job in core.job_shard.jobs.values()):
            break
    return world.t - restarted_at


def test_a_dead_machine_of_a_continued_machine_shard_blocks_no_unrelated_inherited_task(monkeypatch):
    """Its owner knows which tasks may be on it; only those wait for the lease to expire."""
    seeds = (8106, 8110, 8113, 8114)
    with_carry_over = [barrier_wait_s(seed) for seed in seeds]
    monkeypatch.setattr(
        Membership, "all_support", lambda self, protocol_version: protocol_version < constants.VERSION_WITH_CARRY_OVER
    )
    without_carry_over = [barrier_wait_s(seed) for seed in seeds]
    assert max(with_carry_over) < 4.0 and max(without_carry_over) > 4.0


@pytest.mark.parametrize("seed", range(9000, 9005))
def test_every_job_ends_although_all_controllers_fail_twice(seed):
    """Guards against jobs that hang after all controllers fail a second time, about a minute after the first."""
    world = World(seed, nodes=5, jobs=16, random_faults=False, total_failures=2)
    world.run(420.0)
    assert world.task_starts > 0 and not unfinished_jobs(world)
    assert not world.wrongly_halted, "running tasks are not stopped by a failover"


@pytest.mark.parametrize("seed", (9100,))
def test_every_job_ends_with_a_hundred_machines(seed):
    world = World(seed, nodes=5, jobs=40, random_faults=False, total_failures=1, machines=100, large_jobs=True)
    world.run(360.0)
    assert len(world.machines) >= 100 and not unfinished_jobs(world) and not world.wrongly_halted


@pytest.mark.parametrize("seed", range(9200, 9203))
def test_invariants_hold_when_all_controllers_fail_during_an_upgrade(seed):
    world = World(seed, nodes=5, jobs=14, random_faults=False, total_failures=2, upgrade=True)
    world.run(420.0)
    assert not unfinished_jobs(world)


def replace_cell(recorded, observed, action):
    def patch(monkeypatch):
        rows = [list(row) for row in TRANSITIONS]
        rows[recorded][observed] = action
        monkeypatch.setattr(reconciliation.transitions, "TRANSITIONS", tuple(map(tuple, rows)))

    return patch


@pytest.mark.parametrize(
    "fault, rule",
    [
        (
            replace_cell(RecordedState.POSSIBLY_HERE, ObservedState.LIVE, Action.REMOVE_FROM_BARRIER),
            "ran_twice",
        ),  # a task that still runs is started again
        (replace_cell(RecordedState.POSSIBLY_HERE, ObservedState.LIVE, Action.ADOPT_AND_STOP), "halted"),
    ],
)
def test_invariants_detect_a_broken_transition_table(monkeypatch, fault, rule):
    fault(monkeypatch)
    for seed in range(9301, 9340):
        world = World(seed, nodes=5, jobs=16, random_faults=False, total_failures=2, slow_restarts=True)
        try:
            world.run(200.0)
        except InvariantViolation as broken:
            if str(broken).startswith(rule):
                return
        if rule == "halted" and world.wrongly_halted:
            return
    pytest.fail(f"no run showed {rule}")


def test_no_machine_is_returned_as_idle_while_inherited_tasks_wait(monkeypatch):
    world = World(9400, jobs=16, random_faults=False)
    world.run(60.0)
    while True:  # until a machine is idle at the leader
        world.run(world.t + 0.5)
        leader = next(sim.core.leader for sim in world.controllers.values() if sim.core.membership.is_leader(world.t))
        rows = [row for summary, _ in leader.machine_summaries.values() for row in summary.rows]
        if leader.ready(world.t) and any(row.idle_s > 0 and row.state == "up" for row in rows):
            break
    monkeypatch.setattr(policy, "paid_block_ends_within", lambda age_s, within_s: True)
    monkeypatch.setattr(policy, "must_keep_idle", lambda walk, resource: False)
    spec = world.make_job(99)
    leader.replica.observe_job(spec.id, Record(JobState.ACTIVE, "host-0", world.t, 5, [], spec), 10**6)
    queue = next(iter(leader.queues.values()))
    queue.received_rows[spec.id] = (QueueRow(spec.id, 0, 0, 50.0, 10.0, None, 5.0, False, False, inherited=5), world.t)
    reconciled_since = leader.scale_in_guard.since
    assert not leader.decide(world.t).drain and leader.scale_in_guard.postponed_scale_ins > 0
    del queue.received_rows[spec.id]
    assert leader.decide(world.t).drain, "the idle machine is drained once the fleet is reconciled"
    assert leader.scale_in_guard.since >= reconciled_since


def test_deferred_messages_keep_their_order_and_are_sent_in_the_next_round():
    world = World(9600, jobs=0, random_faults=False)
    world.run(5.0)
    core = world.controllers["host-0"].core
    core.effects.outgoing_frames.clear()
    acknowledgements = [AcknowledgeFinished("n-1", "wk-1", index, 7) for index in range(3)]
    core.messenger.send_deferred("host-1", acknowledgements[0])
    core.messenger.send_deferred("host-1", acknowledgements[1])
    assert not core.effects.outgoing_frames
    core.messenger.send("host-1", acknowledgements[2])
    assert [frame.body for _, frame in core.effects.outgoing_frames] == acknowledgements
    assert [frame.seq for _, frame in core.effects.outgoing_frames] == sorted(
        frame.seq for _, frame in core.effects.outgoing_frames
    )
    core.messenger.send_deferred("host-1", acknowledgements[0])
    core.round(world.t)
    assert (
        acknowledgements[0] in [frame.body for _, frame in core.effects.outgoing_frames[3:]]
        and not core.messenger.deferred
    )
