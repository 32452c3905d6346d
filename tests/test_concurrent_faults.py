"""Concurrent faults in seeded random runs; each guard and each invariant of these runs is shown to detect failures."""

import math

import msgspec
import pytest
from simulation import MAX_PLACEABLE_WAIT_S, MAX_STATUS_AGE_S, ZONES, InvariantViolation, World

from alderbridge.controller import admission
from alderbridge.controller.local_jobs import LocalJobs
from alderbridge.controller.record_writer import RecordWriter
from alderbridge.jobs.record import JobState
from alderbridge.jobs.record_writes import RecordWrites
from alderbridge.leader.leader import Leader
from alderbridge.machines.heartbeats import HeartbeatHandler
from alderbridge.machines.orders import OrderBuilder
from alderbridge.machines.shard import MachineShard
from alderbridge.membership.failure_detector import FailureDetector
from alderbridge.membership.membership import Membership
from alderbridge.membership.store_lease import StoreLease
from alderbridge.protocol import wire
from alderbridge.protocol.keys import JOBS, VIEW
from alderbridge.scheduling import placement


def run_concurrent_faults(seed, nodes, times=2, jobs=18, **more):
    """Plays until all faults are over and all invariants with a time limit have been checked."""
    world = World(seed, nodes=nodes, random_faults=False, concurrent_faults=times, jobs=jobs, **more)
    world.run(230.0)
    world.run_to_time_limits()
    return world


@pytest.mark.parametrize("nodes, seed", [*((5, 12000 + n) for n in (0, 2, 4, 6)), *((3, 12000 + n) for n in range(6))])
def test_invariants_hold_under_concurrent_faults(nodes, seed):
    world = run_concurrent_faults(seed, nodes)
    assert world.task_starts > 0 and not world.largest_started_late()


def test_runs_contain_cancellations_and_view_changes():
    """Guards against runs without confirmed cancellations and without view changes."""
    worlds = [run_concurrent_faults(seed, 5) for seed in (12000, 12002)]
    assert sum(sum(cancelled_at < math.inf for cancelled_at in world.cancelled_at.values()) for world in worlds) > 6
    assert all(world.store.data[VIEW][1] > 1 for world in worlds)


def calm_world(seed=1, jobs=0, until=5.0, **more):
    """A world without random faults; users query through handlers, and waits and unanswered jobs are checked."""
    world = World(seed, random_faults=False, jobs=jobs, **more)
    world.has_concurrent_faults = True
    world.run(until)
    return world


def submit_job(world, number=1, **more):
    spec = msgspec.structs.replace(
        world.make_job(number),
        kind="sweep",
        tasks=1,
        types=None,
        zone=None,
        one_zone=False,
        spread=False,
        spot=True,
        team="free",
        cpus=1.0,
        **more,
    )
    world.submit(spec)
    return spec.id


@pytest.mark.parametrize(
    "kind", ["outbound_blocked", "quick_boots", "limits", "zone_away", "heartbeats_kept", "ten_leaders"]
)
def test_each_fault_has_its_intended_effect(kind):
    world = calm_world(5, jobs=14, until=50.0, nodes=5)
    sim, before, fencing_token = world.controllers["host-1"], dict(world.rented_kinds), world.store.data[VIEW][1]
    worker = next(worker for worker in world.machines.values() if worker is not None and worker.alive)
    incarnation = worker.incarnation
    if kind == "outbound_blocked":
        worker.outbound_blocked_until = world.t + 60.0
        world.crash_leaders(1, 1.0)
        world.run(60.0)
        assert worker.fencing_token > fencing_token and worker.incarnation == incarnation, "a command reaches it"
        world.run(75.0)
        assert worker.incarnation > incarnation, "its lease expires"
        return
    world.inject(kind, sim, 40.0)
    if kind == "quick_boots":
        for number in range(4):
            submit_job(world, 50 + number, estimate_s=30.0)
            submit_job(world, 60 + number, estimate_s=30.0)
        world.run(53.0)
        assert sim.world.quick_boots_until > world.t
        world.rent(world.rented_kinds[min(before)][0], 1)
        world.run(56.0)
        assert len(world.rented_kinds) > len(before) and world.machines[max(world.rented_kinds)] is not None
    elif kind == "limits":
        used = []
        while world.t < 110.0:
            world.run(world.t + 1.0)
            used.append(
                sum(
                    world.specs[wire.split_task_id(task_id)[0]].cpus
                    for task_id in world.running_on
                    if world.specs[wire.split_task_id(task_id)[0]].team == "bound"
                )
            )
        assert max(used) == 16.0
    elif kind == "zone_away":
        zone, inside, until = world.partitioned_zone
        world.run(world.t + 30.0)
        reporting_to = {
            worker.controller_label
            for worker in world.machines.values()
            if worker is not None and worker.kind.zone != zone
        }
        assert zone in ZONES and inside == sim.label and until == 90.0 and not sim.core.may_act()
        assert sim.label not in reporting_to
    elif kind == "heartbeats_kept":
        world.heartbeat_copy_share = 1.0
        world.run(52.0)
        world.heartbeat_copies_until, kept = 0.0, len(world.kept_heartbeats)
        world.crash_leaders(1, 1.0)
        world.run(60.0)
        assert kept and not world.kept_heartbeats
    else:
        world.run(175.0)
        assert len(world.leaders) >= 7


def test_users_query_in_bursts_and_submit_invalid_jobs():
    world = calm_world(2)
    world.concurrent_reads_until = 60.0
    for number in range(6):
        job = submit_job(world, number, estimate_s=3.0)
        if number % 2:
            world.after(4.0, world.cancel_when_accepted, job)
    for number in range(60):
        world.after(0.5 * number, world.send_unusual_request)
    world.run(60.0)
    assert (
        world.concurrent_request_count > 30 and len(world.invalid_jobs) > 15 and not world.invalid_jobs & world.accepted
    )
    assert sorted(world.reported_ends.values()).count("aborted") >= 2


def extend_permission_to_act(monkeypatch):
    """Extends a member's store lease, replica freshness and contact far beyond their validity."""
    real_renewal, real_sync = StoreLease.record_renewal, Membership.record_sync

    def record_renewal(self, *args):
        real_renewal(self, *args)
        self.valid_until += 60.0

    def record_sync(self, sent_at):
        real_sync(self, sent_at)
        self.fresh_until += 60.0

    monkeypatch.setattr(StoreLease, "record_renewal", record_renewal)
    monkeypatch.setattr(Membership, "record_sync", record_sync)
    monkeypatch.setattr(
        FailureDetector, "_compute_contact_until", lambda self: setattr(self, "contact_until", math.inf)
    )


def accept_duplicate_heartbeats(monkeypatch):
    real = HeartbeatHandler.on_heartbeat

    def on_heartbeat(self, heartbeat, now):
        if heartbeat.machine in self.machines:
            self.machines[heartbeat.machine].last_sequence = (0, 0)
        return real(self, heartbeat, now)

    monkeypatch.setattr(HeartbeatHandler, "on_heartbeat", on_heartbeat)


def confirm_cancellation_before_write(monkeypatch):
    """Confirms a cancellation at once, though its write may be refused or lost."""
    real = LocalJobs.cancel
    monkeypatch.setattr(
        LocalJobs,
        "cancel",
        lambda self, job, now: (
            real(self, job, now) or ("aborted" if job in self.job_shard.jobs and self.state.may_act() else None)
        ),
    )


def drop_revision_conditions(monkeypatch):
    """Lets a late write replace newer writes of the same controller."""
    real = RecordWriter.next_batch

    def next_batch(self, now):
        batch = real(self, now)
        if batch is not None:
            batch.conditions = {key: revision for key, revision in batch.conditions.items() if not key.startswith(JOBS)}
        return batch

    monkeypatch.setattr(RecordWriter, "next_batch", next_batch)


def report_pending_while_end_is_unconfirmed(monkeypatch):
    """Lets the job owner report a job as pending while the write of its end is unconfirmed."""
    real = LocalJobs.local_job_state

    def local_job_state(self, job, now):
        mine = self.job_shard.jobs.get(job)
        ended = mine is not None and mine.state is not JobState.ACTIVE and mine.stored_state is JobState.ACTIVE
        return (
            ("pending", 0, 0)
            if ended and job not in self.replica.ended and self.state.may_act()
            else real(self, job, now)
        )

    monkeypatch.setattr(LocalJobs, "local_job_state", local_job_state)


def test_older_state_reported_while_an_end_is_unconfirmed_is_detected(monkeypatch):
    """After a write whose response was lost, other members report the end and the owner must not contradict them."""

    def play():
        for seed in range(4):
            world = calm_world(seed, until=10.0)
            world.concurrent_reads_until = 60.0
            for number in range(8):
                submit_job(world, number, estimate_s=6.0)
            world.run(30.0)
            world.store.lost_response_share, world.store.lost_responses_until = 0.7, 50.0
            for number in range(8):
                submit_job(world, 10 + number, estimate_s=6.0)
            world.run(70.0)
            assert world.reported_ends and world.concurrent_request_count > 20

    play()
    report_pending_while_end_is_unconfirmed(monkeypatch)
    with pytest.raises(InvariantViolation, match="went_back"):
        play()


def test_wait_beside_free_capacity_is_detected(monkeypatch):
    world = calm_world(until=30.0)
    submit_job(world, 1, estimate_s=1000.0)
    world.run(60.0)
    real = placement.fill
    monkeypatch.setattr(placement, "fill", lambda *args: [want for want in real(*args) if want.job != late])
    late = submit_job(world, 2)
    with pytest.raises(InvariantViolation, match=f"waited: {late}"):
        world.run(60.0 + MAX_PLACEABLE_WAIT_S + 20.0)
    assert world.t > 60.0 + MAX_PLACEABLE_WAIT_S


def test_team_is_not_blocked_by_a_job_without_a_suitable_machine():
    """Guards against a team's whole quota going to the shard of a job that fits no available machine."""
    world = calm_world(2)
    rent = world.rent
    world.rent = lambda kind, count: [] if kind.type == "large" else rent(kind, count)
    for number in range(10):
        submit_job(world, number, estimate_s=1000.0)
    world.run(40.0)
    spec = msgspec.structs.replace(
        world.make_job(20),
        kind="sweep",
        tasks=8,
        types=["large"],
        zone=None,
        team="bound",
        one_zone=False,
        spread=False,
        spot=True,
        cpus=4.0,
        priority="high",
    )
    world.submit(spec)
    world.run(60.0)
    assert spec.id in world.accepted and spec.id not in world.first_started_at
    other = [
        msgspec.structs.replace(spec, id=f"wk-{number}", types=None, tasks=1, cpus=1.0, priority="standard")
        for number in range(6)
    ]
    for one in other:
        world.submit(one)
    world.run(180.0)
    assert world.longest_placeable_wait_s < 45.0 and all(one.id in world.first_started_at for one in other)


@pytest.mark.parametrize("why", ["no capacity", "at its limit", "other zone", "inbound blocked", "cancelled"])
def test_wait_without_usable_free_capacity_is_not_reported(monkeypatch, why):
    world = calm_world(until=30.0)
    submit_job(world, 1, estimate_s=1000.0)
    world.run(60.0)
    assert world.running_on
    real = placement.fill
    monkeypatch.setattr(placement, "fill", lambda *args: [want for want in real(*args) if want.job != late])
    spec = msgspec.structs.replace(world.specs[submit_job(world, 2)])
    late = spec.id
    world.run(62.0)
    zones = {worker.kind.zone for worker in world.machines.values() if worker is not None}
    monkeypatch.setattr(Leader, "decide", lambda self, now: type(real_decide(self, now))())
    if why == "no capacity":
        world.specs[late] = msgspec.structs.replace(spec, memory_gb=100.0)
    elif why == "at its limit":
        world.specs[late] = msgspec.structs.replace(spec, team="bound", cpus=17.0)
    elif why == "other zone":
        world.specs[late] = msgspec.structs.replace(spec, zone=next(iter({*ZONES, "c"} - zones)))
    elif why == "inbound blocked":
        for worker in world.machines.values():
            if worker is not None:
                worker.inbound_blocked_until = 1000.0
    else:
        world.cancelled_at[late] = math.inf
    world.run(60.0 + MAX_PLACEABLE_WAIT_S + 20.0)
    assert late not in world.placeable_since


real_decide = Leader.decide


def test_largest_jobs_that_start_late_are_detected(monkeypatch):
    monkeypatch.setattr(Leader, "decide", lambda self, now: type(real_decide(self, now))())  # never scales out
    world = calm_world()
    job = submit_job(world)
    with pytest.raises(InvariantViolation, match=f"late: .*{job}"):
        world.run_to_time_limits()


def test_unanswered_job_is_detected(monkeypatch):
    """No member answers for a blocked job, not even its owner."""
    world = calm_world(2)  # with this seed its user does not cancel it
    first = submit_job(world, 1, estimate_s=1000.0)
    world.run(10.0)
    dependent = submit_job(world, 2, dependencies=[first])
    world.run(20.0)
    assert dependent in world.accepted
    world.run(60.0)
    real = LocalJobs.local_job_state
    monkeypatch.setattr(
        LocalJobs, "local_job_state", lambda self, job, now: None if job == dependent else real(self, job, now)
    )
    monkeypatch.setattr(LocalJobs, "is_certainly_pending", lambda self, job, now: False)
    with pytest.raises(InvariantViolation, match=f"unanswered: {dependent}"):
        world.run(60.0 + MAX_STATUS_AGE_S + 20.0)
    assert world.t > 60.0 + MAX_STATUS_AGE_S - 6.0


def cancel_on_hanging_machine():
    """Cancels a job while its machine hangs in the fetch and resumes within its lease."""
    world = calm_world(until=20.0)
    job = submit_job(world, estimate_s=1000.0)
    while not (found := [worker for worker in world.machines.values() if worker is not None and worker.tasks]):
        world.run(world.t + 0.05)
    found[0].hangs_until = world.t + 9.0
    world.cancel(job)
    return world, job


def test_start_after_confirmed_cancellation_is_recorded(monkeypatch):
    world, job = cancel_on_hanging_machine()
    world.run(world.t + 60.0)
    assert world.reported_ends[job] == "aborted" and not world.running_on, (
        "the machine resumed and its task was then stopped"
    )
    assert [task_id for task_id, after_s in world.starts_after_cancellation if 0.0 < after_s < 42.0] == [f"{job}/0"]
    never_stop_tasks(monkeypatch)
    monkeypatch.setattr(MachineShard, "on_stop_task", lambda self, stop: None)
    monkeypatch.setattr(OrderBuilder, "stop_orphans", lambda self, machine: None)
    world, job = cancel_on_hanging_machine()
    with pytest.raises(InvariantViolation, match="ran_cancelled"):
        world.run(world.t + 60.0)


def accept_unrunnable_jobs(monkeypatch):
    monkeypatch.setattr(admission, "rejection_reason", lambda spec, teams, machine_types: "")


def accept_jobs_with_missing_fields(monkeypatch):
    def parse_job(body):
        fields = {
            "workload": "x",
            "owner": "free",
            "shape": "sweep",
            "urgency": "high",
            "parts": 1,
            "vcpus": 1.0,
            "mem_gb": 1.0,
            "bundle": "p",
            "image_gb": 1.0,
            "expected_s": 1.0,
        }
        try:
            return msgspec.convert(fields | msgspec.json.decode(body), wire.JobSpec)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            raise wire.MalformedBodyError(str(error)) from None

    monkeypatch.setattr(wire, "parse_job", parse_job)


@pytest.mark.parametrize("fault", [accept_unrunnable_jobs, accept_jobs_with_missing_fields])
def test_acceptance_of_an_invalid_job_is_detected(monkeypatch, fault):
    fault(monkeypatch)
    world = calm_world()
    for number in range(100):
        world.after(0.3 * number, world.send_unusual_request)
    with pytest.raises(InvariantViolation, match="took_flawed"):
        world.run(40.0)


def never_stop_tasks(monkeypatch):
    monkeypatch.setattr(RecordWrites, "stop_aborted_job", lambda self, job: None)
    # The machine shard also stops cancelled tasks without an order from the job owner, so disable that too.
    monkeypatch.setattr(OrderBuilder, "stop_cancelled", lambda self, machine, reported: None)


@pytest.mark.parametrize(
    "fault, rules",
    [
        (extend_permission_to_act, ("ran_twice", "ran_cancelled", "went_back")),
        (accept_duplicate_heartbeats, ("ran_twice", "quota")),
        (confirm_cancellation_before_write, ("went_back",)),
        (drop_revision_conditions, ("ran_twice", "ran_cancelled", "not_done")),
        (never_stop_tasks, ("ran_cancelled",)),
    ],
)
def test_each_guard_is_detected_when_broken(monkeypatch, fault, rules):
    fault(monkeypatch)
    for seed in range(20000, 20040):
        try:
            run_concurrent_faults(seed, 5 - 2 * (seed % 2))
        except InvariantViolation as broken:
            if str(broken).startswith(rules):
                return
    pytest.fail(f"no run showed {rules}")
