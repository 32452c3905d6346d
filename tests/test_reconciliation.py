"""After a fall: every task is squared by one table, nothing waits for a proof that nobody gives, nothing storms."""

from random import Random

import msgspec
import pytest
from simulation import Broken, World
from test_machines import SPEC, heartbeat, part_with_machine

from alderbridge import constants, reconciliation
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

# -- the table ---------------------------------------------------------------

HERE, ATTEMPT = "n-1", 7


def home_that_knows(known):
    """A home whose task 0 it knows in that way, as seen from attempt 7 on machine n-1."""
    sent = []
    home = JobShard([], lambda label, body: sent.append(body) or len(sent), 4096)
    home.enter(5, {}, {HERE: MachineRecord(), "n-2": MachineRecord()})
    if known is RecordedState.UNKNOWN_JOB:
        return home, None, sent
    job = Job(
        Record(JobState.ACTIVE, "host-0", 0.0, 9, [], SPEC),
        1,
        0.0,
        0.0,
        never_started=known is not RecordedState.POSSIBLY_HERE,
    )
    home.add(job)
    runs = {
        RecordedState.HERE: (HERE, ATTEMPT),
        RecordedState.JOB_ENDED_HERE: (HERE, ATTEMPT),
        RecordedState.OTHER_ATTEMPT: (HERE, 6),
        RecordedState.ELSEWHERE: ("n-2", 9),
    }
    if known in runs:
        machine, attempt = runs[known]
        job.next_index = 1
        job.grant(0, TaskRun(machine, "a", attempt, 0, TaskState.RUNNING, 0.0))
        home.jobs_by_machine.setdefault(machine, set()).add(SPEC.id)
    elif known is RecordedState.WAITING:
        job.next_index = 9
        job.requeued = list(range(9))
    elif known in (RecordedState.RESULT_STORED, RecordedState.RESULT_UNSTORED):
        job.next_index = 1
        job.finish_task(0, 1.0)
        if known is RecordedState.RESULT_STORED:
            job.dirty_since = None
    if known in (RecordedState.JOB_ENDED, RecordedState.JOB_ENDED_HERE):
        job.apply_stored_end(JobState.ABORTED)
        job.stored_state = JobState.ABORTED
    return home, job, sent


def told_as(told):
    status, cause = {
        ObservedState.LIVE: ("running", None),
        ObservedState.DONE: ("ended", "done"),
        ObservedState.ERROR: ("ended", "error"),
        ObservedState.STOPPED: ("ended", "halted"),
    }.get(told, ("", None))
    tasks = [TaskStatusReport(SPEC.id, 0, ATTEMPT, status, cause)] if status else []
    return MachineTaskReport(HERE, "a", 9, tasks, [(SPEC.id, 0, ATTEMPT)] if told is ObservedState.ORDERED else [])


@pytest.mark.parametrize("told", ObservedState)
@pytest.mark.parametrize("known", RecordedState)
def test_every_cell_of_the_table_is_what_a_job_shard_does(known, told):
    home, job, sent = home_that_knows(known)
    if job is not None:
        assert home.task_reports.recorded_state(job, 0, HERE, ATTEMPT) is known
    before = job.runs.get(0) if job is not None else None
    home.task_reports.on_task_report("host-1", told_as(told), 2.0)
    what = TRANSITIONS[known][told]
    assert [body for body in sent if isinstance(body, AcknowledgeFinished)] == (
        [AcknowledgeFinished(HERE, SPEC.id, 0, ATTEMPT)]
        if what in (Action.ACKNOWLEDGE, Action.REQUEUE_AND_ACKNOWLEDGE, Action.FAIL_AND_ACKNOWLEDGE)
        else []
    )
    assert [body for body in sent if isinstance(body, StopTask)] == (
        [StopTask(HERE, SPEC.id, 0, ATTEMPT, 0.0)]
        if what in (Action.STOP, Action.ADOPT_AND_STOP, Action.PROGRESS_AND_STOP)
        else []
    )
    if job is None:
        return
    run = job.runs.get(0)
    if what in (Action.ADOPT, Action.ADOPT_AND_STOP):
        assert (run.machine, run.attempt) == (HERE, ATTEMPT) and 0 not in job.unknown and 0 not in job.requeued
        assert run.state is (TaskState.GRANTED if told is ObservedState.ORDERED else TaskState.RUNNING)
    elif what in (Action.REQUEUE, Action.REQUEUE_AND_ACKNOWLEDGE, Action.FAIL_AND_ACKNOWLEDGE):
        assert run is None and (0 in job.requeued) is (job.state is JobState.ACTIVE)
    elif what is Action.FINISH:
        assert 0 in job.done and (HERE, 0, ATTEMPT) in job.unacknowledged_results, "cleared when the store holds it"
    else:
        assert run is before
        if what is Action.REMOVE_FROM_BARRIER and known is RecordedState.POSSIBLY_HERE:
            assert 0 in job.unknown, "the other machine may hold it"
            home.task_reports.on_task_report("host-1", MachineTaskReport("n-2", "a", 9, [], []), 2.0)
            assert 0 in job.requeued and not job.unknown


def test_the_table_frees_nothing_without_proof_and_acknowledges_no_result_that_is_not_stored():
    assert len(TRANSITIONS) == len(RecordedState) and all(len(row) == len(ObservedState) for row in TRANSITIONS)
    frees = {Action.REQUEUE, Action.REQUEUE_AND_ACKNOWLEDGE, Action.FAIL_AND_ACKNOWLEDGE}
    for known in RecordedState:
        assert not frees & {TRANSITIONS[known][ObservedState.LIVE], TRANSITIONS[known][ObservedState.ORDERED]}
        assert TRANSITIONS[known][ObservedState.ORDERED] in (Action.NOTHING, Action.ADOPT)
        if known in (
            RecordedState.WAITING,
            RecordedState.POSSIBLY_HERE,
            RecordedState.HERE,
            RecordedState.RESULT_UNSTORED,
        ):
            assert TRANSITIONS[known][ObservedState.DONE] is Action.FINISH
        if known is RecordedState.ELSEWHERE:
            assert not frees & set(TRANSITIONS[known]), "what one machine tells says nothing of another"


# -- who waits for whom --------------------------------------------------------


def test_a_task_waits_only_for_machines_that_its_job_may_use():
    """Ordinary-only work does not wait for a spot machine that died, nor for another type or zone."""
    spot, other = MachineRecord("x", "c4", "a", True), MachineRecord("y", "c8", "a")
    barrier = Barrier({"n-1": spot, "n-2": spot, "n-3": other, "n-4": MachineRecord("z", "c4", "b")})
    ordinary = msgspec.structs.replace(SPEC, spot=False, types=["c4"], zone="b")
    anywhere = msgspec.structs.replace(SPEC, spot=True)
    assert barrier.may_hold(ordinary) and barrier.may_hold(anywhere)
    assert barrier.remove("n-4") and not barrier.may_hold(ordinary) and barrier.may_hold(anywhere)
    assert not barrier.remove("n-1") and barrier.remove("n-2") and barrier.remove("n-3")
    assert not barrier and not barrier.may_hold(anywhere)
    assert Barrier({"n-9": MachineRecord()}).may_hold(ordinary), "a record of 0.1.0 does not say what it is"


def test_a_machine_shard_that_goes_on_carries_over_what_it_ordered_and_knows():
    part, sent = part_with_machine()
    heartbeat(part, 1)
    machine = part.machines["n-1"]
    for index, attempt in ((0, 70), (1, 71)):
        grant = TaskGrant(part.reserve(machine, "wk-1", 1), "wk-1", "n-1", [(index, attempt)])
        part.on_task_grant("host-1", grant, 1.5)
        if index == 0:
            part.order_builder.orders(machine)  # sent; the second never is
    del sent[:]
    part.enter(6, ["host-0", "host-1"], {"n-1": machine.record}, 2.0, continued=True, inherit_tasks=True)
    assert not sent
    part.leases.settle(2.2)
    assert sent == [
        ("host-0", MachineTaskReport("n-1", "a", 7, [], [])),
        ("host-1", MachineTaskReport("n-1", "a", 7, [], [("wk-1", 0, 70)])),
    ]
    assert part.view.reconciliation.states == {"n-1": MachineProgress.RECONCILED}
    assert part.order_builder.orders(part.machines["n-1"]) == [], "nothing is ordered before it has acknowledged"
    part.heartbeats.on_heartbeat(Heartbeat("n-1", "x", "c4", 1, 2, 6, "a"), 3.0)
    assert sent[-1] == ("host-1", MachineTaskReport("n-1", "a", 7, [], [])), "its report settles what was ordered"


def test_a_machine_shard_that_began_anew_or_has_older_members_carries_nothing_over():
    part, sent = part_with_machine()
    heartbeat(part, 1)
    del sent[:]
    part.enter(
        6, ["host-0", "host-1"], {"n-1": MachineRecord("x", "c4", "a")}, 2.0, continued=True, inherit_tasks=False
    )
    part.leases.settle(2.2)
    assert not sent and part.view.reconciliation.states == {"n-1": MachineProgress.RECORDED}


def test_a_machine_that_goes_while_its_record_is_written_leaves_none_behind():
    """A returned machine's record failed each look for what to write: its controller wrote nothing any more."""
    part, _ = part_with_machine()
    for name in ("n-2", "n-3", "n-4"):
        part.heartbeats.on_heartbeat(Heartbeat(name, "x", "c4", 1, 1, 5, "a"), 1.0)
    assert part.records.to_write == ["n-2", "n-3", "n-4"]
    part.on_terminated(["n-2", "n-3"])
    assert part.records.to_write == ["n-4"]
    part.records.on_recorded("n-3")  # its write was on the way
    part.leases.check(30.0)
    part.records.on_recorded("n-4")
    assert sorted(part.records.to_drop) == ["n-1", "n-3", "n-4"] and not part.records.to_write
    assert not part.machines["n-4"].recorded


def test_progress_of_running_jobs_does_not_keep_the_records_of_dead_machines():
    """It took all changes of a busy fleet, for minutes: each planned restart waited for machines long returned."""
    world = World(9500, jobs=0, random_faults=False)
    world.run(5.0)
    sim = world.nodes["host-1"]
    core, sim.busy = sim.core, True  # its writer is looked at by hand
    for number in range(200):
        spec = msgspec.structs.replace(world.make_job(number), id=f"wk-{number:06d}", kind="sweep", tasks=9)
        job = Job(Record(JobState.ACTIVE, "host-1", world.t, 9, [], spec), 1, world.t, 0.0)
        job.last_write = 0.0
        core.job_shard.add(job)
        job.mark_dirty(world.t)
    core.machine_records.to_drop = ["n-8", "n-9"]
    gone = []
    while len(gone) < 2 and world.t < 12.0:
        world.run(world.t + 0.1)
        batch = core.record_writer.next_batch(world.t)
        if batch is not None:
            gone += batch.dropped_machines
            assert batch.changes <= core.record_writer.max_changes
            for name in batch.dropped_machines:
                core.machine_records.dropped(name)
            for job, _, _ in batch.jobs:
                job.mark_dirty(world.t)
    assert gone == ["n-8", "n-9"]


# -- pace ------------------------------------------------------------------------


def test_who_does_not_answer_is_asked_again_a_few_times_with_jitter_and_then_left_alone():
    asking, asked, now = HeartbeatProber(Random(1)), [], 10.0
    asking.enter(["n-1", "n-2", "n-3"], now)
    assert [asking.next(now, lambda name: name == "n-2") for _ in range(3)] == ["n-1", "n-3", None]
    asking.unanswered("n-1", now)
    while now < 60.0:
        now += 0.1
        if asking.next(now, lambda name: False) is not None:
            asked.append(now)
            asking.unanswered("n-1", now)
    assert len(asked) == constants.PROBE_TRIES - 1
    assert all(b - a <= constants.PROBE_BACKOFF_MAX_S + 0.2 for a, b in zip([10.0, *asked], asked, strict=False))


def test_the_leader_returns_nothing_and_rents_nothing_for_tasks_that_may_run():
    """190 machines were returned as idle and 192 rented again ten seconds later."""
    scale_in_guard = ScaleInGuard(17.0)
    assert scale_in_guard.refresh(300, 600, 5000, 100.0) is FleetKnowledge.RECONCILING
    assert not scale_in_guard.may_return and not scale_in_guard.counts_inherited
    assert (
        scale_in_guard.refresh(3, 600, 40, 110.0) is FleetKnowledge.RECONCILING
    )  # a second fall: the bound stays the first one's
    assert scale_in_guard.refresh(0, 600, 40, 100.0 + scale_in_guard.overdue_after_s + 0.1) is FleetKnowledge.OVERDUE
    assert scale_in_guard.may_return and scale_in_guard.counts_inherited
    assert scale_in_guard.refresh(5, 600, 0, 130.0) is FleetKnowledge.RECONCILED, "some machine always boots"
    assert scale_in_guard.refresh(200, 600, 0, 140.0) is FleetKnowledge.RECONCILING


def test_few_silent_machines_are_returned_for_proof_and_a_cut_zone_is_not():
    few = [("n-1", 4.5), ("n-2", 2.0)]
    assert ScaleInGuard.machines_to_prove_empty(few, 600, 900) == ["n-1"]
    assert ScaleInGuard.machines_to_prove_empty(few, 600, 0) == [], "nothing waits for it"
    assert ScaleInGuard.machines_to_prove_empty([(f"n-{n}", 9.0) for n in range(200)], 600, 900) == []


def test_controllers_that_return_together_make_one_view():
    """Three views in half a second voided each other's acknowledgements."""

    def joined(times):
        membership = Membership("host-0", 20.0)
        membership.store_lease.record_renewal(1, 0.0)
        views = []
        for step in range(60):
            now = step * 0.1
            for number, at in enumerate(times):
                if at <= now:
                    membership.observe_member(
                        f"host-{number}", MemberRecord(number + 1, constants.PROTOCOL_VERSION), number + 1
                    )
            change = membership.next_view(now)
            if change is not None:
                views.append(now)
                membership.observe_view(change[0], 100 + len(views))
        return views, membership.view

    views, view = joined([0.0, 0.2, 0.4, 0.6, 0.8])
    assert len(views) <= 2 and len(view.members) == 5
    views, view = joined([0.0, 3.0])
    assert len(views) == 2 and views[1] - 3.0 <= constants.JOIN_QUIET_S + 0.2


def test_the_account_of_reconciliation_ends_and_says_how_far_it_is():
    reconciliation = ReconciliationProgress(0.0)
    for name in ("n-1", "n-2", "n-3", "n-4"):
        reconciliation.add_recorded(name)
    reconciliation.record_report("n-1")
    reconciliation.acknowledge("n-1")
    reconciliation.mark_reconciled("n-1")
    reconciliation.record_report("n-2")
    reconciliation.mark_silent("n-2")
    reconciliation.mark_silent("n-1")
    reconciliation.mark_expired("n-3")
    assert not reconciliation.over
    reconciliation.mark_terminated("n-4")
    assert reconciliation.over
    assert reconciliation.line(3.0) == "after 3.0 s: reconciled 1, silent 1, expired 1, terminated 1 of 4"


# -- views that change while machines fall -----------------------------------------


def first_run(world):
    """A task that runs on a machine of another controller's part than its home, and the three involved."""
    for label, sim in world.nodes.items():
        for name, job in sim.core.job_shard.jobs.items():
            for index, run in job.runs.items():
                part = sim.core.membership.machine_owner(run.machine)
                if part != label:
                    return label, part, name, index, run.machine
    return None


def until_a_run(world):
    while (found := first_run(world)) is None:
        world.run(world.t + 0.5)
    return found


def lacking(world):
    return [name for name in world.accepted if name not in world.said and not world.specs[name].service]


@pytest.mark.parametrize("seed", (8000, 8001, 8002))
def test_a_proof_that_was_lost_with_its_view_is_not_waited_for(seed):
    """A zone is cut, its machines lapse, and the view changes before their homes have heard so.

    The machine's record is gone by then: no part of the new view has the machine, and nobody would ever tell
    its home that the task is free.
    """
    world = World(seed, jobs=30, random_faults=False)
    home, part, _, _, machine = until_a_run(world)
    third = next(label for label in world.labels if label not in (home, part))
    world.machines[machine].die()
    world.nodes[home].cut_mesh_until = world.t + 26.0
    world.run(world.t + 20.0)
    assert machine not in world.nodes[part].core.replica.machines  # lapsed, and its record dropped
    world.nodes[third].crash()
    world.after(1.0, world.restart, world.nodes[third])
    world.run(world.t + 12.0)
    stuck = [
        run
        for sim in world.nodes.values()
        for other in sim.core.job_shard.jobs.values()
        for run in other.runs.values()
        if run.machine == machine
    ]
    assert not stuck
    world.run(600.0)  # a team at its limit takes a while
    assert not lacking(world)


def seconds_behind_the_barrier(seed):
    """A machine dies; at once the home of what it runs is restarted, and inherits."""
    world = World(seed, jobs=30, random_faults=False)
    world.run(40.0)
    home, part, name, index, machine = until_a_run(world)
    world.machines[machine].die()
    world.nodes[home].crash()
    world.run(world.t + 2.0)
    world.restart(world.nodes[home])
    began = world.t
    while world.t < began + 30.0:
        world.run(world.t + 0.1)
        core = world.nodes[home].core
        if core.may_act() and not any(job.unknown for job in core.job_shard.jobs.values()):
            break
    return world.t - began


def test_a_dead_machine_of_a_machine_shard_that_goes_on_holds_up_no_inherited_task(monkeypatch):
    """Its part knows all that may be on it; only what that is waits for the lease."""
    seeds = (8106, 8110, 8113, 8114)
    complete = [seconds_behind_the_barrier(seed) for seed in seeds]
    monkeypatch.setattr(
        Membership, "all_support", lambda self, protocol_version: protocol_version < constants.VERSION_WITH_CARRY_OVER
    )
    waited = [seconds_behind_the_barrier(seed) for seed in seeds]
    assert max(complete) < 4.0 and max(waited) > 4.0


# -- random runs: all controllers fall, and much of the fleet with them --------------


@pytest.mark.parametrize("seed", range(9000, 9005))
def test_every_job_ends_though_all_controllers_fall_twice(seed):
    """The second time within a minute or so of the first, some controllers twice each: no job may hang."""
    world = World(seed, nodes=5, jobs=16, random_faults=False, falls=2)
    world.run(420.0)
    assert world.starts > 0 and not lacking(world)
    assert not world.halted_needed, "what still runs is never stopped for a fall"


@pytest.mark.parametrize("seed", (9100,))
def test_every_job_ends_with_a_hundred_machines(seed):
    world = World(seed, nodes=5, jobs=40, random_faults=False, falls=1, machines=100, rush=True)
    world.run(360.0)
    assert len(world.machines) >= 100 and not lacking(world) and not world.halted_needed


@pytest.mark.parametrize("seed", range(9200, 9203))
def test_rules_hold_when_all_fall_while_the_version_changes(seed):
    world = World(seed, nodes=5, jobs=14, random_faults=False, falls=2, upgrade=True)
    world.run(420.0)
    assert not lacking(world)


def cell(known, told, what):
    def patch(monkeypatch):
        rows = [list(row) for row in TRANSITIONS]
        rows[known][told] = what
        monkeypatch.setattr(reconciliation.transitions, "TRANSITIONS", tuple(map(tuple, rows)))

    return patch


@pytest.mark.parametrize(
    "fault, rule",
    [
        (
            cell(RecordedState.POSSIBLY_HERE, ObservedState.LIVE, Action.REMOVE_FROM_BARRIER),
            "ran_twice",
        ),  # what still runs is started again
        (cell(RecordedState.POSSIBLY_HERE, ObservedState.LIVE, Action.ADOPT_AND_STOP), "halted"),
    ],
)
def test_each_guard_is_seen_to_fail_when_it_is_broken(monkeypatch, fault, rule):
    fault(monkeypatch)
    for seed in range(9301, 9340):
        world = World(seed, nodes=5, jobs=16, random_faults=False, falls=2, slow=True)
        try:
            world.run(200.0)
        except Broken as broken:
            if str(broken).startswith(rule):
                return
        if rule == "halted" and world.halted_needed:
            return
    pytest.fail(f"no run showed {rule}")


def test_nothing_is_returned_as_idle_while_inherited_tasks_wait(monkeypatch):
    world = World(9400, jobs=16, random_faults=False)
    world.run(60.0)
    while True:  # until a machine is idle at the leader
        world.run(world.t + 0.5)
        leader = next(sim.core.leader for sim in world.nodes.values() if sim.core.membership.is_leader(world.t))
        rows = [row for room, _ in leader.machine_summaries.values() for row in room.rows]
        if leader.ready(world.t) and any(row.idle_s > 0 and row.state == "up" for row in rows):
            break
    monkeypatch.setattr(policy, "block_ends", lambda age_s, within_s: True)
    monkeypatch.setattr(policy, "keep_idle", lambda walk, resource: False)
    spec = world.make_job(99)
    leader.replica.observe_job(spec.id, Record(JobState.ACTIVE, "host-0", world.t, 5, [], spec), 10**6)
    queue = next(iter(leader.queues.values()))
    queue.received_rows[spec.id] = (QueueRow(spec.id, 0, 0, 50.0, 10.0, None, 5.0, False, False, inherited=5), world.t)
    began = leader.scale_in_guard.since
    assert not leader.decide(world.t).drain and leader.scale_in_guard.postponed_returns > 0
    del queue.received_rows[spec.id]
    assert leader.decide(world.t).drain, "squared, it goes"
    assert leader.scale_in_guard.since >= began


def test_messages_that_may_wait_keep_their_order_and_go_in_the_next_round():
    world = World(9600, jobs=0, random_faults=False)
    world.run(5.0)
    core = world.nodes["host-0"].core
    core.effects.outgoing_frames.clear()
    clears = [AcknowledgeFinished("n-1", "wk-1", index, 7) for index in range(3)]
    core.messenger.send_deferred("host-1", clears[0])
    core.messenger.send_deferred("host-1", clears[1])
    assert not core.effects.outgoing_frames
    core.messenger.send("host-1", clears[2])
    assert [frame.body for _, frame in core.effects.outgoing_frames] == clears
    assert [frame.seq for _, frame in core.effects.outgoing_frames] == sorted(
        frame.seq for _, frame in core.effects.outgoing_frames
    )
    core.messenger.send_deferred("host-1", clears[0])
    core.round(world.t)
    assert clears[0] in [frame.body for _, frame in core.effects.outgoing_frames[3:]] and not core.messenger.deferred
