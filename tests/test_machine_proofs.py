"""Lease expiry, stale heartbeats, late commands and staggered task ends, combined with changes of view."""

from random import Random

import msgspec
import pytest
from simulation import LEASE_S, SimWorker, World
from test_machines import SPEC

from alderbridge import constants
from alderbridge.jobs.job import Job
from alderbridge.jobs.record import JobState, Record
from alderbridge.jobs.shard import JobShard
from alderbridge.jobs.task_states import TaskState
from alderbridge.machines.context import JobLookups, Outbox
from alderbridge.machines.machine import MachineState
from alderbridge.machines.shard import MachineShard
from alderbridge.protocol.messages import (
    AcknowledgeFinished,
    MachineTaskReport,
    StopTask,
    TaskGrant,
    TaskRequest,
    TaskStatusReport,
)
from alderbridge.protocol.wire import Heartbeat, MachineRecord, ReportedTask
from alderbridge.reconciliation import MachineProgress

# Time from the last renewal of a worker's lease until its expiry is proven.
LEASE_EXPIRY_PROOF_S = LEASE_S * (1 + 2 * constants.MAX_CLOCK_DRIFT) + constants.LEASE_EXPIRY_MARGIN_S
RUNNING = ReportedTask("wk-1/0", 70, "running")
SAME = object()


class MachineShardHarness:
    """A machine shard with one recorded machine, and the messages that it sends to job owners."""

    def __init__(self) -> None:
        self.sent: list = []
        self.machine_shard = MachineShard(
            LEASE_S,
            JobLookups(lambda job: SPEC, lambda job: "host-1", lambda job: False),
            Outbox(self.send, self.send, lambda label: 7),
            lambda name: False,
            Random(1),
        )
        self.enter_view(5, 0.0, continued=False)

    def send(self, label, body):
        self.sent.append((label, body))
        return len(self.sent)

    def enter_view(self, fencing_token, now, continued=True, settle=True, inherit_tasks=False):
        self.machine_shard.enter_view(
            fencing_token, ["host-0", "host-1"], {"n-1": MachineRecord("x", "c4", "a")}, now, continued, inherit_tasks
        )
        if settle:
            self.machine_shard.leases.settle(now)

    @property
    def machine(self):
        return self.machine_shard.machines["n-1"]

    def heartbeat(self, now, sequence, fencing_token=5, incarnation=1, tasks=(), is_probe_answer=False):
        heartbeat = Heartbeat("n-1", "x", "c4", incarnation, sequence, fencing_token, "a", tasks=list(tasks))
        return (
            self.machine_shard.heartbeats.on_probe_answer
            if is_probe_answer
            else self.machine_shard.heartbeats.on_heartbeat
        )(heartbeat, now)

    def grant(self, index, attempt, now=0.0):
        self.machine_shard.on_task_grant(
            "host-1",
            TaskGrant(self.machine_shard.reserve(self.machine, "wk-1", 1), "wk-1", "n-1", [(index, attempt)]),
            now,
        )

    def orders(self):
        return [
            (order["verb"], order["part"], order["try"])
            for order in self.machine_shard.order_builder.orders(self.machine)
        ]

    def take_owner_reports(self):
        """Return and forget the reports sent to the job owner so far: (task indices, pending orders) each."""
        reports, self.sent[:] = [body for label, body in self.sent if label == "host-1"], []
        return [(sorted(task.index for task in body.tasks), body.pending) for body in reports]


def test_a_machine_that_accepts_no_response_expires_despite_its_heartbeats():
    """Guards against heartbeats that prolong the wait for the lease expiry while no response is accepted."""
    harness = MachineShardHarness()
    for sequence, now in enumerate((3.0, 10.0, 17.0), 1):
        assert harness.heartbeat(now, sequence, fencing_token=4, tasks=[RUNNING]) is not None, (
            "its response may be the one that the worker receives"
        )
        harness.machine_shard.leases.check(now)
        assert harness.machine.state is MachineState.EXPECTED and not harness.take_owner_reports()
    assert harness.heartbeat(LEASE_EXPIRY_PROOF_S + 0.1, 4, fencing_token=4) is harness.machine, (
        "without a response it could never acknowledge"
    )
    assert (
        harness.machine.state is MachineState.EXPIRED
        and harness.machine_shard.view.reconciliation.states["n-1"] is MachineProgress.EXPIRED
    )
    assert harness.take_owner_reports() == [([], [])] and harness.machine_shard.records.to_drop == ["n-1"]
    assert harness.orders() == []
    harness.heartbeat(LEASE_EXPIRY_PROOF_S + 1.0, 5, fencing_token=4)
    assert harness.machine_shard.records.to_drop == ["n-1"] and not harness.take_owner_reports(), "reported once"
    harness.heartbeat(LEASE_EXPIRY_PROOF_S + 2.0, 1, incarnation=2)
    assert (
        harness.machine.state is MachineState.UP
        and harness.machine.acknowledged
        and harness.machine_shard.records.to_write == ["n-1"]
    )


def test_heartbeats_with_an_older_token_prove_nothing_until_the_lease_has_provably_expired():
    harness = MachineShardHarness()
    harness.heartbeat(LEASE_EXPIRY_PROOF_S - 0.1, 1, fencing_token=4)
    assert harness.machine.state is MachineState.EXPECTED
    harness.heartbeat(
        LEASE_EXPIRY_PROOF_S - 0.05, 2, fencing_token=5, tasks=[RUNNING]
    )  # it has received the last response
    assert harness.machine.state is MachineState.UP and harness.take_owner_reports() == [([0], [])]
    harness.heartbeat(
        3 * LEASE_EXPIRY_PROOF_S, 3, fencing_token=5, tasks=[RUNNING]
    )  # a long gap without a lease check in between
    assert harness.machine.state is MachineState.UP


def test_no_lease_expiry_is_concluded_before_the_view_has_settled():
    harness = MachineShardHarness()
    harness.enter_view(6, 100.0, continued=False, settle=False)
    harness.heartbeat(100.0 + 2 * LEASE_EXPIRY_PROOF_S, 1, fencing_token=5)
    assert harness.machine.state is MachineState.EXPECTED, (
        "a member that acts under the older view may have answered it"
    )
    harness.machine_shard.leases.settle(100.0 + 2 * LEASE_EXPIRY_PROOF_S)
    harness.heartbeat(100.0 + 3 * LEASE_EXPIRY_PROOF_S - 0.1, 2, fencing_token=5)
    assert harness.machine.state is MachineState.EXPECTED
    harness.heartbeat(100.0 + 3 * LEASE_EXPIRY_PROOF_S + 0.1, 3, fencing_token=5)
    assert harness.machine.state is MachineState.EXPIRED


def test_a_lease_counts_from_the_last_response_under_the_previous_view():
    """Responses under token 5 until 30 s may have renewed the lease: a heartbeat with token 5 does not exclude it."""
    harness = MachineShardHarness()
    harness.heartbeat(10.0, 1, tasks=[RUNNING])
    harness.heartbeat(30.0, 2, tasks=[RUNNING])
    harness.enter_view(6, 31.0)
    harness.take_owner_reports()
    harness.heartbeat(30.0 + LEASE_EXPIRY_PROOF_S - 0.1, 3, tasks=[RUNNING])
    assert harness.machine.state is MachineState.EXPECTED
    harness.heartbeat(30.0 + LEASE_EXPIRY_PROOF_S + 0.1, 4, tasks=[RUNNING])
    assert harness.machine.state is MachineState.EXPIRED and harness.take_owner_reports() == [([], [])]


def test_consecutive_view_changes_do_not_restart_a_lease():
    """Guards against a new full lease for each of several views that are shorter than a lease."""
    harness = MachineShardHarness()
    harness.heartbeat(1.0, 1)
    for fencing_token, now in ((6, 8.0), (7, 14.0)):
        harness.enter_view(fencing_token, now)
        harness.heartbeat(now + 1.0, fencing_token, fencing_token=5)
        assert harness.machine.state is MachineState.EXPECTED
    harness.heartbeat(1.0 + LEASE_EXPIRY_PROOF_S + 0.1, 9, fencing_token=5)
    assert harness.machine.state is MachineState.EXPIRED


def test_the_fencing_token_of_an_intermediate_view_shows_a_lease_renewal():
    """A heartbeat with token 6 shows that a response under view 6 was accepted, which renewed the lease."""
    harness = MachineShardHarness()
    harness.heartbeat(1.0, 1)
    harness.enter_view(6, 2.0)
    harness.heartbeat(15.0, 2, fencing_token=5)
    harness.enter_view(7, 16.0)
    harness.heartbeat(1.0 + LEASE_EXPIRY_PROOF_S + 0.1, 3, fencing_token=6)
    assert harness.machine.state is MachineState.EXPECTED
    harness.heartbeat(1.0 + 2 * LEASE_EXPIRY_PROOF_S, 4, fencing_token=6)
    assert harness.machine.state is MachineState.EXPECTED, "the lease counts from the arrival of that heartbeat"
    harness.heartbeat(1.0 + 2 * LEASE_EXPIRY_PROOF_S + 0.3, 5, fencing_token=6)
    assert harness.machine.state is MachineState.EXPIRED


def test_a_late_probe_answer_acknowledges_unless_the_machine_has_expired():
    """A late probe answer proves the tasks of a machine that has not expired; an expired one needs a heartbeat."""
    harness = MachineShardHarness()
    harness.heartbeat(5.0, 1, fencing_token=4, tasks=[RUNNING])
    harness.heartbeat(9.0, 2, fencing_token=5, tasks=[RUNNING], is_probe_answer=True)
    assert harness.machine.state is MachineState.UP and harness.take_owner_reports() == [([0], [])]
    other = MachineShardHarness()
    other.heartbeat(LEASE_EXPIRY_PROOF_S + 1.0, 1, fencing_token=4)
    other.take_owner_reports()
    other.heartbeat(LEASE_EXPIRY_PROOF_S + 2.0, 2, fencing_token=5, is_probe_answer=True)
    assert other.machine.state is MachineState.EXPIRED and not other.machine.acknowledged, (
        "its expiry is reported; only a heartbeat makes it usable again"
    )


def test_orders_carried_into_a_new_view_are_released_only_by_lease_expiry():
    harness = MachineShardHarness()
    harness.heartbeat(1.0, 1)
    harness.grant(3, 73)
    assert harness.orders() == [("run", "wk-1/3", 73)]
    harness.enter_view(6, 2.0, inherit_tasks=True)
    assert harness.take_owner_reports()[-1] == ([], [("wk-1", 3, 73)])
    harness.heartbeat(1.0 + LEASE_EXPIRY_PROOF_S - 0.1, 2, fencing_token=5)
    assert not harness.take_owner_reports()
    harness.heartbeat(1.0 + LEASE_EXPIRY_PROOF_S + 0.1, 3, fencing_token=5)
    assert harness.take_owner_reports() == [([], [])] and harness.machine.state is MachineState.EXPIRED


def test_copies_of_a_dead_machine_s_heartbeats_do_not_delay_its_lease_expiry():
    """Guards against copies, all new to this machine owner, that restart the wait for the lease expiry."""
    harness = MachineShardHarness()
    now, sequence = 1.0, 0
    while harness.machine.state is not MachineState.EXPIRED and now < 3 * LEASE_EXPIRY_PROOF_S:
        sequence += 1
        harness.heartbeat(now, sequence, fencing_token=4, tasks=[RUNNING])
        harness.machine_shard.leases.check(now)
        now += 2.0
    assert harness.machine.state is MachineState.EXPIRED and now < LEASE_EXPIRY_PROOF_S + 5.0
    assert harness.take_owner_reports() == [([], [])]


def test_a_member_that_may_have_missed_a_newer_view_concludes_no_lease_expiry():
    """Partitioned from the store at 5 s, it still acts, but a newer view's owner may have renewed the lease."""
    for inbound_blocked in (False, True):
        harness = MachineShardHarness()
        harness.machine_shard.leases.no_newer_view_until = 5.0
        if not inbound_blocked:
            harness.heartbeat(1.0, 1, tasks=[RUNNING])
        harness.heartbeat(
            1.0 + LEASE_EXPIRY_PROOF_S + 0.2, 2, fencing_token=4
        ) if inbound_blocked else harness.machine_shard.leases.check(1.0 + LEASE_EXPIRY_PROOF_S + 0.2)
        assert harness.machine.state is not MachineState.EXPIRED
        harness.machine_shard.leases.no_newer_view_until = 1.0 + LEASE_EXPIRY_PROOF_S
        harness.heartbeat(
            1.0 + LEASE_EXPIRY_PROOF_S + 0.4, 3, fencing_token=4
        ) if inbound_blocked else harness.machine_shard.leases.check(1.0 + LEASE_EXPIRY_PROOF_S + 0.4)
        assert harness.machine.state is MachineState.EXPIRED, "the expiry is still concluded later"


class InboundBlockedWorker(SimWorker):
    """Inbound blocked until ``inbound_blocked_until``: its heartbeats arrive, responses and commands to it are lost."""

    inbound_blocked_until = 0.0

    def on_response(self, *answer):
        if self.world.t >= self.inbound_blocked_until:
            super().on_response(*answer)

    def command(self, *command):
        if self.world.t >= self.inbound_blocked_until:
            super().command(*command)


class CopyingProcess(World.controller_class):
    """Receives a share of the heartbeats again up to two leases late, possibly in another process."""

    def heartbeat(self, raw, reply, is_copy=False):
        super().heartbeat(raw, reply)
        if not is_copy and self.world.rng.random() < self.world.copied_heartbeat_share:
            self.world.after(
                self.world.rng.uniform(2.0, 2 * LEASE_S), self.heartbeat, raw, lambda status, body: None, True
            )


class InboundBlockedWorld(World):
    controller_class = CopyingProcess
    copied_heartbeat_share = 0.0

    def __init__(self, *args, **more):
        super().__init__(*args, random_faults=False, **more)

    def boot(self, name, kind):
        if name in self.rented_kinds:
            self.machines[name] = InboundBlockedWorker(self, name, kind)

    def make_job(self, number):
        """A job with long tasks, so that most outlast the faults."""
        spec = super().make_job(number)
        return msgspec.structs.replace(
            spec,
            tasks=min(spec.tasks, 4),
            one_zone=False,
            spread=False,
            estimate_s=spec.estimate_s and self.rng.uniform(40.0, 120.0),
        )

    def inherited(self):
        """Number of inherited tasks of unknown state, at all job owners."""
        return sum(
            len(job.inherited_tasks)
            for sim in self.controllers.values()
            if sim.core is not None
            for job in sim.core.job_shard.jobs.values()
            if job.state is JobState.ACTIVE
        )

    def leader(self):
        return next(
            sim for sim in self.controllers.values() if sim.core is not None and sim.core.membership.is_leader(self.t)
        )


@pytest.mark.parametrize("seed", (4, 5))
def test_inherited_tasks_do_not_wait_for_machines_that_stay_inbound_blocked(seed):
    """The leader ends while the machines of its jobs are inbound blocked, more than may be returned for a proof.

    Their heartbeats still arrive: guards against tasks that stay unknown for as long as the fault lasts.
    """
    world = InboundBlockedWorld(seed, jobs=20)
    world.run(60.0)
    world.copied_heartbeat_share = 0.2
    leader = world.leader()
    blocked = [
        world.machines[machine] for job in leader.core.job_shard.jobs.values() for machine in job.tasks_by_machine
    ]
    for worker in blocked:
        worker.inbound_blocked_until = world.t + 150.0
    world.run(61.0)
    world.crash_and_restart(leader, 2.0)
    world.run(66.0)
    assert len({worker.name for worker in blocked}) > constants.EMPTY_PROOF_MIN_MACHINES and world.inherited(), (
        "the combination of faults did not occur"
    )
    world.run(66.0 + LEASE_EXPIRY_PROOF_S + len(world.labels) * 5.0)
    assert not world.inherited()
    world.run(300.0)
    world.check_final_status_age()
    assert not [
        job
        for job in world.accepted
        if job not in world.reported_ends
        and not world.specs[job].service
        and world.specs[job].team == "free"
        and job not in world.cancelled_at
    ], "unfinished jobs of the team without a limit"


def test_tasks_do_not_stay_granted_to_an_inbound_blocked_machine():
    """Guards against run orders that are resent with each response for as long as a machine is inbound blocked."""
    world = InboundBlockedWorld(3, jobs=40)
    world.run(45.0)
    for worker in world.rng.sample(world.live_workers(), len(world.live_workers()) // 2):
        worker.inbound_blocked_until = world.t + 120.0
    granted_since = {}
    while world.t < 150.0:
        world.run(world.t + 1.0)
        for sim in world.controllers.values():
            for name, job in sim.core.job_shard.jobs.items():
                for index, run in job.runs.items():
                    if run.state is TaskState.GRANTED:
                        first = granted_since.setdefault((name, index, run.attempt), world.t)
                        assert world.t - first < 3 * len(world.labels) * 5.0, (
                            "granted for more than three rounds of heartbeats to all controllers"
                        )
    assert granted_since


def test_a_run_order_lost_with_two_responses_is_released_for_another_machine():
    harness = MachineShardHarness()
    harness.heartbeat(1.0, 1)
    harness.grant(0, 70)
    assert harness.orders() == [("run", "wk-1/0", 70)]
    harness.heartbeat(6.0, 4)
    assert harness.orders() == [("run", "wk-1/0", 70)], "a response may be lost: the order is sent once more"
    harness.grant(1, 71)
    harness.take_owner_reports()
    harness.heartbeat(11.0, 7)
    assert harness.take_owner_reports() == [([], [])] and not harness.orders(), (
        "this heartbeat settles both: neither was started"
    )
    assert harness.machine_shard.capacity.candidate(harness.machine, 11.0) is None, "the machine is quarantined"
    assert harness.machine_shard.capacity.candidate(harness.machine, 11.0 + LEASE_S) is not None
    other = MachineShardHarness()
    other.heartbeat(1.0, 1)
    other.grant(0, 70)
    other.orders()
    other.heartbeat(6.0, 4)
    other.orders()
    other.heartbeat(7.0, 5, tasks=[RUNNING])
    assert (
        other.take_owner_reports()[-1] == ([0], [])
        and other.machine_shard.capacity.candidate(other.machine, 7.0) is not None
    )


@pytest.mark.parametrize("incarnation, sequence", ((2, 3), (2, 2), (1, 99)))
def test_an_outdated_heartbeat_renews_frees_and_acknowledges_nothing(incarnation, sequence):
    """A repeated sequence, a lower one, and a higher one of an earlier incarnation are all outdated."""
    harness = MachineShardHarness()
    harness.heartbeat(1.0, 3, incarnation=2)
    harness.grant(0, 70)
    harness.machine_shard.reserve(harness.machine, "wk-1", 2)
    harness.orders()
    harness.heartbeat(2.0, 4, incarnation=2, tasks=[RUNNING])
    harness.grant(1, 71)
    harness.orders()
    harness.machine_shard.on_stop_task(StopTask("n-1", "wk-1", 0, 70, 0.0))
    harness.take_owner_reports()
    machine = harness.machine
    before = (
        machine.last_heartbeat_at,
        machine.last_sequence,
        dict(machine.tasks),
        dict(machine.orders.pending),
        dict(machine.reserved),
        dict(machine.orders.stops),
    )
    assert (
        harness.heartbeat(9.0, sequence, incarnation=incarnation, tasks=[ReportedTask("wk-1/5", 75, "ended", "done")])
        is None
    ), "a response with status 200 would carry orders"
    assert before == (
        machine.last_heartbeat_at,
        machine.last_sequence,
        machine.tasks,
        machine.orders.pending,
        machine.reserved,
        machine.orders.stops,
    )
    assert not harness.take_owner_reports()
    harness.machine_shard.leases.check(2.0 + LEASE_EXPIRY_PROOF_S + 0.1)
    assert machine.state is MachineState.EXPIRED, "its lease counts from the newest heartbeat"


def test_a_first_heartbeat_with_an_older_token_proves_nothing_to_a_new_owner():
    """It may be a late copy: it adds and frees no tasks and gets no orders, whatever has been granted."""
    harness = MachineShardHarness()
    harness.machine_shard.on_stop_task(StopTask("n-1", "wk-1", 0, 70, 0.0))
    assert harness.heartbeat(1.0, 50, fencing_token=4, tasks=[RUNNING]) is not None
    assert not harness.machine.tasks and not harness.take_owner_reports() and not harness.orders()
    harness.grant(0, 71)
    assert harness.take_owner_reports() == [] and not harness.machine.orders.pending, (
        "the machine is not up, so nothing was ordered"
    )
    harness.heartbeat(2.0, 51, tasks=[RUNNING])
    assert harness.take_owner_reports() == [([0], [])]


def test_copies_of_a_terminated_machine_s_heartbeats_are_ignored():
    harness = MachineShardHarness()
    harness.heartbeat(1.0, 1, tasks=[RUNNING])
    harness.machine_shard.on_terminated(["n-1"])
    harness.take_owner_reports()
    for fencing_token in (4, 5):
        assert harness.heartbeat(2.0, 9, fencing_token=fencing_token, incarnation=3, tasks=[RUNNING]) is None
    assert "n-1" not in harness.machine_shard.machines and not harness.take_owner_reports()
    harness.enter_view(6, 3.0)  # its record is not deleted yet
    assert harness.machine_shard.records.to_drop == ["n-1"]
    assert harness.take_owner_reports() == [([], [])], (
        "inherited tasks must not wait for the lease of a terminated machine"
    )
    assert harness.heartbeat(4.0, 10, fencing_token=5) is None and not harness.take_owner_reports()


def test_an_expired_machine_returns_with_a_new_incarnation_but_not_by_old_heartbeats():
    harness = MachineShardHarness()
    harness.heartbeat(1.0, 8, tasks=[RUNNING])
    harness.grant(3, 73)
    harness.orders()
    harness.machine_shard.leases.check(1.0 + LEASE_EXPIRY_PROOF_S + 0.1)
    assert harness.machine.state is MachineState.EXPIRED
    harness.take_owner_reports()
    harness.heartbeat(20.0, 1, incarnation=2)
    assert harness.machine.state is MachineState.UP and not harness.take_owner_reports(), (
        "the expiry was reported before"
    )
    assert harness.heartbeat(21.0, 9, tasks=[RUNNING]) is None, "a late heartbeat of the previous incarnation"
    assert not harness.machine.tasks and not harness.take_owner_reports() and not harness.orders()


def test_a_machine_report_of_an_older_view_is_rejected_under_the_next():
    """Reports of the old and the new machine owner may reach a job owner in any order."""
    world = InboundBlockedWorld(7, jobs=6)
    world.run(40.0)
    job_owner, machine_owner, name, index, run = next(
        (sim.core, world.controllers[sim.core.membership.machine_owner(run.machine)].core, name, index, run)
        for sim in world.controllers.values()
        for name, job in sim.core.job_shard.jobs.items()
        for index, run in job.runs.items()
        if sim.core.membership.machine_owner(run.machine) != sim.label and run.state is TaskState.RUNNING
    )
    old_report = machine_owner.messenger.channels[job_owner.me].post_unreliable(
        MachineTaskReport(run.machine, run.zone, 10**6, [], [])
    )
    fencing_token = job_owner.membership.fencing_token
    world.crash_and_restart(
        next(sim for sim in world.controllers.values() if sim.core not in (job_owner, machine_owner)), 1.0
    )
    while job_owner.membership.fencing_token == fencing_token:
        world.run(world.t + 0.05)
    job_owner.on_frame(old_report, world.t)
    assert index in job_owner.job_shard.jobs[name].runs, "an older report proves nothing about later grants"
    job_owner.on_frame(msgspec.structs.replace(old_report, fencing_token=job_owner.membership.fencing_token), world.t)
    assert index not in job_owner.job_shard.jobs[name].runs


def test_a_late_probe_answer_does_not_settle_orders():
    """The answer to a probe of view 5 is delayed; meanwhile a heartbeat acknowledged and a task was ordered."""
    harness = MachineShardHarness()
    harness.heartbeat(1.0, 2)
    harness.grant(0, 70)
    assert harness.orders() == [("run", "wk-1/0", 70)]
    harness.take_owner_reports()
    harness.heartbeat(5.0, 3, is_probe_answer=True)  # sent before the worker received the response with the order
    assert (
        ("wk-1", 0) in harness.machine.orders.pending
        and not harness.take_owner_reports()
        and harness.machine.last_sequence == (1, 2)
    )
    harness.enter_view(6, 6.0, inherit_tasks=True)
    harness.take_owner_reports()
    harness.heartbeat(7.0, 4, fencing_token=5, is_probe_answer=True)
    assert not harness.machine.acknowledged and not harness.take_owner_reports(), (
        "it does not acknowledge the next view either"
    )
    assert harness.machine.last_sequence == (1, 2) and harness.machine.last_heartbeat_at == 1.0, (
        "only a probe answer that acknowledges the view counts as a heartbeat"
    )
    harness.heartbeat(8.0, 5, fencing_token=6, is_probe_answer=True, tasks=[RUNNING])
    assert harness.machine.acknowledged and harness.take_owner_reports() == [([0], [])]


def test_a_heartbeat_older_than_the_probe_answer_gets_no_run_order():
    """Heartbeat 1 has an older token; a probe answer acknowledges; then heartbeat 1 is delivered again."""
    harness = MachineShardHarness()
    harness.heartbeat(1.0, 1, fencing_token=4)
    harness.heartbeat(1.1, 2, is_probe_answer=True)
    assert harness.machine.acknowledged and not harness.orders()
    assert harness.heartbeat(1.2, 1) is None, "heartbeat 1 again"
    harness.grant(0, 70)
    harness.heartbeat(2.0, 3, is_probe_answer=True)
    assert ("wk-1", 0) in harness.machine.orders.pending


def test_a_stop_for_another_attempt_does_not_stop_the_running_one():
    harness = MachineShardHarness()
    harness.heartbeat(1.0, 1, tasks=[RUNNING])
    harness.machine_shard.on_stop_task(StopTask("n-1", "wk-1", 0, 70, 0.0))
    harness.heartbeat(2.0, 2)
    harness.grant(0, 80)
    assert harness.orders() == [("run", "wk-1/0", 80)], "attempt 70 is gone, and its stop with it"
    harness.machine_shard.on_stop_task(StopTask("n-1", "wk-1", 0, 70, 0.0))  # delayed at the job owner
    assert ("halt", "wk-1/0", 80) not in harness.orders()
    harness.heartbeat(3.0, 3, tasks=[ReportedTask("wk-1/0", 80, "running")])
    assert not harness.orders() and harness.machine.tasks[("wk-1", 0)].attempt == 80


def test_an_acknowledgement_applies_to_one_attempt_and_is_removed_with_it():
    harness = MachineShardHarness()
    ended = ReportedTask("wk-1/0", 70, "ended", "halted")
    harness.heartbeat(1.0, 1, tasks=[ended])
    harness.machine_shard.on_acknowledge_finished("n-1", "wk-1", 0, 70)
    harness.grant(0, 80)
    assert harness.orders() == [("clear", "wk-1/0", 70)], "the old attempt must be acknowledged first"
    harness.heartbeat(2.0, 2)
    harness.machine_shard.on_acknowledge_finished("n-1", "wk-1", 0, 70)  # sent twice
    assert harness.orders() == [("clear", "wk-1/0", 70), ("run", "wk-1/0", 80)]
    done = ReportedTask("wk-1/0", 80, "ended", "done")
    harness.heartbeat(3.0, 3, tasks=[done])
    harness.heartbeat(3.0 + constants.ACKNOWLEDGE_DELAY_S + 1, 4, tasks=[done])
    assert not harness.orders(), "the result of attempt 80 is not stored yet"


@pytest.mark.parametrize("between", ("running", None))
def test_a_gang_task_restarted_under_the_same_attempt_keeps_its_new_result(between):
    """Guards against the acknowledgement of an earlier end that discards the result of the restarted task."""
    harness = MachineShardHarness()
    harness.heartbeat(1.0, 1, tasks=[ReportedTask("wk-1/0", 70, "ended", "error")])
    harness.machine_shard.on_acknowledge_finished("n-1", "wk-1", 0, 70)
    harness.grant(0, 70)
    assert harness.orders() == [("clear", "wk-1/0", 70), ("run", "wk-1/0", 70)]
    if between is not None:
        harness.heartbeat(2.0, 2, tasks=[ReportedTask("wk-1/0", 70, between)])
    harness.take_owner_reports()
    harness.heartbeat(3.0, 3, tasks=[ReportedTask("wk-1/0", 70, "ended", "done")])
    assert [(task.cause) for label, body in harness.sent if label == "host-1" for task in body.tasks] == ["done"]
    harness.heartbeat(4.0 + constants.ACKNOWLEDGE_DELAY_S, 4, tasks=[ReportedTask("wk-1/0", 70, "ended", "done")])
    assert not harness.orders()


STAGGERED_SPEC = msgspec.structs.replace(SPEC, tasks=3, estimate_s=300.0)
MACHINES = {name: MachineRecord("x", "c4", "a") for name in ("n-1", "n-2", "n-3")}


class ChangingJobOwner:
    """One job whose owner changes repeatedly; each owner starts from the stored record."""

    def __init__(self):
        # With this start limit, any task may have been started.
        self.record = Record(JobState.ACTIVE, "host-0", 0.0, STAGGERED_SPEC.tasks, [], STAGGERED_SPEC)
        self.revision, self.fencing_token, self.stored_ends = 1, 5, 0
        self.sent: list = []
        self.change_owner(never_started=True)

    def change_owner(self, never_started=False, settled=True):
        self.fencing_token += 1
        self.job_shard = JobShard([], lambda label, body: self.sent.append(body) or len(self.sent), 4096)
        self.job = Job(self.record, self.revision, 0.0, 0.0, never_started=never_started)
        self.job.inherited = not never_started
        self.job_shard.enter_view(self.fencing_token, {"wk-1": self.job}, MACHINES)
        self.job_shard.settled = settled
        self.sent.clear()

    def store(self, answered=True):
        """Write the record if due; ``answered`` False: the job owner does not learn of it."""
        due = [job for _, job in self.job_shard.record_writes.due(1e9)]
        if due:
            record, cleared = (
                self.job.to_record(4096, self.job_shard.may_end(self.job)),
                list(self.job.unacknowledged_results),
            )
            self.stored_ends += record.state is not self.record.state
            self.record, self.revision, self.job.dirty_since = record, self.revision + 1, None
            if answered:
                self.job_shard.record_writes.on_written(self.job, record, self.revision, cleared, 1.0)

    def report(self, machine, *tasks):
        """Process a machine report of tasks (index, attempt, status, cause); return acknowledgements and stops sent."""
        self.sent.clear()
        self.job_shard.task_reports.on_task_report(
            "host-1",
            MachineTaskReport(machine, "a", 10**6, [TaskStatusReport("wk-1", *task) for task in tasks], []),
            1.0,
        )
        return [body for body in self.sent if isinstance(body, AcknowledgeFinished | StopTask)]

    def grant(self, machine):
        self.job_shard.grants.on_task_request("host-1", TaskRequest(1, "wk-1", machine, "a", 1), 1.0, True)
        return self.sent[-1].tasks


def test_a_job_ends_once_and_only_after_its_last_task_across_several_owners():
    """One task ends under each of three owners; unstored results are reported again, stored ones acknowledged."""
    harness = ChangingJobOwner()
    (first,), (second,), (third,) = (harness.grant(machine) for machine in ("n-1", "n-2", "n-3"))
    running = [(index, attempt, "running", None) for index, attempt in (first, second, third)]
    done = [(index, attempt, "ended", "done") for index, attempt in (first, second, third)]
    assert not harness.report("n-1", done[0]), "not acknowledged before it is stored"
    assert harness.job.state is JobState.ACTIVE and harness.job.done.count == 1
    harness.change_owner()  # the result was not stored
    assert harness.job.inherited_tasks == {0, 1, 2} and not harness.job.waiting
    assert not harness.report("n-2", running[1]) and harness.job.state_of(1) is TaskState.RUNNING
    assert not harness.report("n-1", done[0]) and harness.job.done.count == 1
    harness.store(answered=False)
    harness.change_owner(settled=False)  # stored, but the acknowledgement was lost
    assert harness.job.inherited_tasks == {1, 2} and harness.report("n-1", done[0]) == [
        AcknowledgeFinished("n-1", "wk-1", 0, first[1])
    ]
    assert not harness.report("n-2", done[1]) and not harness.report("n-3", running[2])
    assert harness.job.state is JobState.ACTIVE and not harness.job.inherited_tasks
    harness.store()
    assert AcknowledgeFinished("n-2", "wk-1", 1, second[1]) in harness.sent
    assert not harness.report("n-3", done[2]) and harness.job.state is JobState.DONE
    harness.store()
    assert harness.stored_ends == 0 and harness.job.stored_state is JobState.ACTIVE, (
        "an earlier owner may still answer otherwise"
    )
    harness.job_shard.settled = True
    harness.store()
    harness.store()
    assert harness.stored_ends == 1 and harness.job.stored_state is JobState.DONE and harness.job.is_complete
    assert harness.report("n-3", done[2]) == [AcknowledgeFinished("n-3", "wk-1", 2, third[1])], (
        "reported again: acknowledged again, and nothing else"
    )
    assert harness.stored_ends == 1


def test_a_task_whose_unstored_result_was_lost_with_its_machine_runs_again():
    """Two results are stored; the third was reported but not stored, and its machine expired: the task runs again."""
    harness = ChangingJobOwner()
    tasks = [harness.grant(machine)[0] for machine in ("n-1", "n-2", "n-3")]
    done = [(index, attempt, "ended", "done") for index, attempt in tasks]
    harness.report("n-1", done[0])
    harness.report("n-2", done[1])
    harness.store()
    harness.report("n-3", done[2])
    assert harness.job.state is JobState.DONE and harness.job.stored_state is JobState.ACTIVE
    harness.change_owner()
    assert harness.job.state is JobState.ACTIVE and harness.job.inherited_tasks == {2}
    for machine in ("n-1", "n-2"):
        harness.report(machine)
        assert harness.job.inherited_tasks == {2}, "the task may run on n-3"
    harness.report("n-3")  # expired
    assert not harness.job.inherited_tasks and harness.job.waiting == 1
    (regranted,) = harness.grant("n-1")
    assert regranted[0] == 2 and regranted[1] != tasks[2][1]
    assert harness.report("n-3", done[2]) == [AcknowledgeFinished("n-3", "wk-1", 2, tasks[2][1])], (
        "a late report: the task runs elsewhere now"
    )
    assert harness.job.state is JobState.ACTIVE
    harness.report("n-1", (*regranted, "ended", "done"))
    harness.store()
    assert harness.stored_ends == 1 and harness.job.stored_state is JobState.DONE


def test_a_job_is_marked_as_started_when_its_first_task_runs():
    """Guards against a fast path for reports that records the start only when the first task ends."""
    harness = ChangingJobOwner()
    (task,) = harness.grant("n-1")
    harness.report("n-1", (*task, "fetching", None))
    assert not harness.job.has_started
    harness.report("n-1", (*task, "running", None))
    assert harness.job.has_started and harness.job.state_of(0) is TaskState.RUNNING


class StaggeredEnds(InboundBlockedWorld):
    """Jobs of two or three tasks, each of which ends harness minute after the previous harness."""

    def make_job(self, number):
        spec = super().make_job(number)
        return msgspec.structs.replace(spec, kind="sweep", team="free", tasks=self.rng.randint(2, 3), estimate_s=60.0)

    def draw_run_time(self, part):
        return 15.0 + 60.0 * int(part.rsplit("/", 1)[1])


@pytest.mark.parametrize("seed, nodes", ((1, 3), (2, 5)))
def test_jobs_with_staggered_task_ends_complete_despite_leader_restarts(seed, nodes):
    """The leader restarts every 20 s, a quarter of the machines are inbound blocked at times, heartbeats are copied."""
    world = StaggeredEnds(seed, jobs=16, nodes=nodes)
    world.copied_heartbeat_share = 0.3
    for number in range(10):

        def fault(number=number):
            is_leader = [
                sim
                for sim in world.controllers.values()
                if sim.core is not None and sim.core.membership.is_leader(world.t)
            ]
            for sim in is_leader:
                world.crash_and_restart(sim, (0.2, 3.0)[number % 2])
            for worker in world.rng.sample(world.live_workers(), len(world.live_workers()) // 4):
                worker.inbound_blocked_until = world.t + world.rng.uniform(5.0, 40.0)

        world.after(20.0 + 20.0 * number, fault)
    world.run(480.0)
    world.check_final_status_age()
    assert len(world.accepted) > 10
    assert not [
        job for job in world.accepted if world.reported_ends.get(job) != "done" and job not in world.cancelled_at
    ]


def test_a_member_partitioned_from_the_store_concludes_no_lease_expiry():
    """The machine owner of a newer view may renew the lease: an expiry here would start a running task twice."""
    world = InboundBlockedWorld(5, jobs=6)
    world.run(40.0)

    def find_recent_heartbeat():
        for sim in world.controllers.values():
            membership = sim.core.membership
            acts_until = min(membership.store_lease.valid_until, membership.fresh_until)
            for machine in sim.core.machine_shard.machines.values():
                worker = world.machines.get(machine.name)
                if (
                    machine.acknowledged
                    and worker is not None
                    and machine.last_heartbeat_at + LEASE_EXPIRY_PROOF_S + 0.5 < acts_until
                ):
                    return sim, machine, worker
        return None

    while (found := find_recent_heartbeat()) is None:
        world.run(world.t + 0.02)
    sim, machine, worker = found
    machine_shard, started_at = sim.core.machine_shard, world.t
    sim.cut_store_until, worker.cut_until = started_at + 60.0, started_at + 60.0
    while sim.core.membership.may_act(world.t):
        assert machine.state is not MachineState.EXPIRED
        world.run(world.t + 0.05)
    assert (
        world.t > machine.last_heartbeat_at + LEASE_EXPIRY_PROOF_S
        and sim.core.machine_shard is machine_shard
        and machine_shard.machines[machine.name] is machine
    )
