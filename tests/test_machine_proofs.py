"""Two faults at once, on the machines' side: deaf ones, old reports, late commands, tasks that end far apart."""

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

OUT_S = (
    LEASE_S * (1 + 2 * constants.CLOCK_DRIFT) + constants.PROOF_MARGIN_S
)  # from the last renewal to the proof that the lease is out
RUNNING = ReportedTask("wk-1/0", 70, "running")
SAME = object()


class Reports:
    """A part with one recorded machine, and what it tells homes."""

    def __init__(self) -> None:
        self.sent: list = []
        self.machine_shard = MachineShard(
            LEASE_S,
            JobLookups(lambda job: SPEC, lambda job: "host-1", lambda job: False),
            Outbox(self.send, self.send, lambda label: 7),
            lambda name: False,
            Random(1),
        )
        self.enter(5, 0.0, continued=False)

    def send(self, label, body):
        self.sent.append((label, body))
        return len(self.sent)

    def enter(self, fencing_token, now, continued=True, settle=True, carry=False):
        self.machine_shard.enter(
            fencing_token, ["host-0", "host-1"], {"n-1": MachineRecord("x", "c4", "a")}, now, continued, carry
        )
        if settle:
            self.machine_shard.leases.settle(now)

    @property
    def machine(self):
        return self.machine_shard.machines["n-1"]

    def heartbeat(self, now, sequence, fencing_token=5, incarnation=1, tasks=(), asked=False):
        heartbeat = Heartbeat("n-1", "x", "c4", incarnation, sequence, fencing_token, "a", tasks=list(tasks))
        return (self.machine_shard.heartbeats.on_probe_answer if asked else self.machine_shard.heartbeats.on_heartbeat)(
            heartbeat, now
        )

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

    def told_home(self):
        """What its home was told since the last look."""
        told, self.sent[:] = [body for label, body in self.sent if label == "host-1"], []
        return [(sorted(task.index for task in body.tasks), body.pending) for body in told]


# -- a change of view while machines are deaf -----------------------------------


def test_a_machine_that_accepts_no_answer_expires_by_its_own_heartbeats():
    """Each report renewed the wait for its silence: its tasks waited behind the barrier for as long as it was deaf."""
    one = Reports()
    for sequence, now in enumerate((3.0, 10.0, 17.0), 1):
        assert one.heartbeat(now, sequence, fencing_token=4, tasks=[RUNNING]) is not None, (
            "its answer may be the one that it hears"
        )
        one.machine_shard.leases.check(now)
        assert one.machine.state is MachineState.EXPECTED and not one.told_home()
    assert one.heartbeat(OUT_S + 0.1, 4, fencing_token=4) is one.machine, "answered: else it could never acknowledge"
    assert (
        one.machine.state is MachineState.EXPIRED
        and one.machine_shard.view.reconciliation.states["n-1"] is MachineProgress.EXPIRED
    )
    assert one.told_home() == [([], [])] and one.machine_shard.records.to_drop == ["n-1"]
    assert one.orders() == []
    one.heartbeat(OUT_S + 1.0, 5, fencing_token=4)
    assert one.machine_shard.records.to_drop == ["n-1"] and not one.told_home(), "said once"
    one.heartbeat(OUT_S + 2.0, 1, incarnation=2)
    assert (
        one.machine.state is MachineState.UP
        and one.machine.acknowledged
        and one.machine_shard.records.to_write == ["n-1"]
    )


def test_until_its_lease_is_provably_out_heartbeats_of_a_deaf_machine_prove_nothing():
    one = Reports()
    one.heartbeat(OUT_S - 0.1, 1, fencing_token=4)
    assert one.machine.state is MachineState.EXPECTED
    one.heartbeat(OUT_S - 0.05, 2, fencing_token=5, tasks=[RUNNING])  # it heard the last answer
    assert one.machine.state is MachineState.UP and one.told_home() == [([0], [])]
    one.heartbeat(3 * OUT_S, 3, fencing_token=5, tasks=[RUNNING])  # heard seldom, and no look was taken in between
    assert one.machine.state is MachineState.UP


def test_before_the_view_has_settled_another_may_have_renewed_its_lease():
    one = Reports()
    one.enter(6, 100.0, continued=False, settle=False)
    one.heartbeat(100.0 + 2 * OUT_S, 1, fencing_token=5)
    assert one.machine.state is MachineState.EXPECTED, "whoever acts under the older view may answer it"
    one.machine_shard.leases.settle(100.0 + 2 * OUT_S)
    one.heartbeat(100.0 + 3 * OUT_S - 0.1, 2, fencing_token=5)
    assert one.machine.state is MachineState.EXPECTED
    one.heartbeat(100.0 + 3 * OUT_S + 0.1, 3, fencing_token=5)
    assert one.machine.state is MachineState.EXPIRED


def test_a_lease_counts_from_the_answers_of_the_view_before_that_a_machine_may_have_accepted():
    """This process answered it under mandate 5 until 30 s; a report with mandate 5 does not deny that."""
    one = Reports()
    one.heartbeat(10.0, 1, tasks=[RUNNING])
    one.heartbeat(30.0, 2, tasks=[RUNNING])
    one.enter(6, 31.0)
    one.told_home()
    one.heartbeat(30.0 + OUT_S - 0.1, 3, tasks=[RUNNING])
    assert one.machine.state is MachineState.EXPECTED
    one.heartbeat(30.0 + OUT_S + 0.1, 4, tasks=[RUNNING])
    assert one.machine.state is MachineState.EXPIRED and one.told_home() == [([], [])]


def test_changes_of_view_one_after_the_other_do_not_begin_its_lease_anew():
    """Deaf through three views, none of which lasts for a lease: each gave it time until it lapsed of its own."""
    one = Reports()
    one.heartbeat(1.0, 1)
    for fencing_token, now in ((6, 8.0), (7, 14.0)):
        one.enter(fencing_token, now)
        one.heartbeat(now + 1.0, fencing_token, fencing_token=5)
        assert one.machine.state is MachineState.EXPECTED
    one.heartbeat(1.0 + OUT_S + 0.1, 9, fencing_token=5)
    assert one.machine.state is MachineState.EXPIRED


def test_an_answer_of_a_view_between_counts_as_accepted_when_a_heartbeat_shows_its_fencing_token():
    """Answered under 6 and 7 without a report in between; it has accepted 6, and so renewed its lease late."""
    one = Reports()
    one.heartbeat(1.0, 1)
    one.enter(6, 2.0)
    one.heartbeat(15.0, 2, fencing_token=5)
    one.enter(7, 16.0)
    one.heartbeat(1.0 + OUT_S + 0.1, 3, fencing_token=6)
    assert one.machine.state is MachineState.EXPECTED
    one.heartbeat(1.0 + 2 * OUT_S, 4, fencing_token=6)
    assert one.machine.state is MachineState.EXPECTED, "the lease counts from when that report came"
    one.heartbeat(1.0 + 2 * OUT_S + 0.3, 5, fencing_token=6)
    assert one.machine.state is MachineState.EXPIRED


def test_a_deaf_machine_that_hears_a_command_acknowledges():
    """The command was held up, the machine lapsed meanwhile or not: what it shows then is all that is there."""
    one = Reports()
    one.heartbeat(5.0, 1, fencing_token=4, tasks=[RUNNING])
    one.heartbeat(9.0, 2, fencing_token=5, tasks=[RUNNING], asked=True)
    assert one.machine.state is MachineState.UP and one.told_home() == [([0], [])]
    other = Reports()
    other.heartbeat(OUT_S + 1.0, 1, fencing_token=4)
    other.told_home()
    other.heartbeat(OUT_S + 2.0, 2, fencing_token=5, asked=True)
    assert other.machine.state is MachineState.EXPIRED and not other.machine.acknowledged, (
        "its lapse is told; a report ends it"
    )


def test_a_carried_machine_that_is_deaf_frees_what_was_ordered_by_the_lease_expiry_alone():
    one = Reports()
    one.heartbeat(1.0, 1)
    one.grant(3, 73)
    assert one.orders() == [("run", "wk-1/3", 73)]
    one.enter(6, 2.0, carry=True)
    assert one.told_home()[-1] == ([], [("wk-1", 3, 73)])
    one.heartbeat(1.0 + OUT_S - 0.1, 2, fencing_token=5)
    assert not one.told_home()
    one.heartbeat(1.0 + OUT_S + 0.1, 3, fencing_token=5)
    assert one.told_home() == [([], [])] and one.machine.state is MachineState.EXPIRED


def test_copies_of_a_dead_machine_s_heartbeats_keep_it_from_no_lease_expiry():
    """Owned by another before: all copies are news to this part. Each moved the clock, for up to two leases."""
    one = Reports()
    now, sequence = 1.0, 0
    while one.machine.state is not MachineState.EXPIRED and now < 3 * OUT_S:
        sequence += 1
        one.heartbeat(now, sequence, fencing_token=4, tasks=[RUNNING])
        one.machine_shard.leases.check(now)
        now += 2.0
    assert one.machine.state is MachineState.EXPIRED and now < OUT_S + 5.0
    assert one.told_home() == [([], [])]


def test_a_member_that_may_not_know_a_newer_view_declares_no_lease_run_out():
    """Cut off from the store at 5 s, it still acted: the newer view's owner may have renewed the lease since."""
    for deaf in (False, True):
        one = Reports()
        one.machine_shard.leases.no_newer_view_until = 5.0
        if not deaf:
            one.heartbeat(1.0, 1, tasks=[RUNNING])
        one.heartbeat(1.0 + OUT_S + 0.2, 2, fencing_token=4) if deaf else one.machine_shard.leases.check(
            1.0 + OUT_S + 0.2
        )
        assert one.machine.state is not MachineState.EXPIRED
        one.machine_shard.leases.no_newer_view_until = 1.0 + OUT_S
        one.heartbeat(1.0 + OUT_S + 0.4, 3, fencing_token=4) if deaf else one.machine_shard.leases.check(
            1.0 + OUT_S + 0.4
        )
        assert one.machine.state is MachineState.EXPIRED, "it stays due"


class DeafWorker(SimWorker):
    """Its reports arrive; answers, and commands to it, are lost for a while."""

    deaf_until = 0.0

    def answered(self, *answer):
        if self.world.t >= self.deaf_until:
            super().answered(*answer)

    def command(self, *command):
        if self.world.t >= self.deaf_until:
            super().command(*command)


class Copying(World.process):
    """A share of the reports arrives again, up to two leases late, when the process may be another one."""

    def heartbeat(self, raw, reply, again=False):
        super().heartbeat(raw, reply)
        if not again and self.world.rng.random() < self.world.copies:
            self.world.after(
                self.world.rng.uniform(2.0, 2 * LEASE_S), self.heartbeat, raw, lambda status, body: None, True
            )


class DeafMachines(World):
    process = Copying
    copies = 0.0

    def __init__(self, *args, **more):
        super().__init__(*args, random_faults=False, **more)

    def boot(self, name, kind):
        if name in self.kinds:
            self.machines[name] = DeafWorker(self, name, kind)

    def make_job(self, number):
        """Long tasks, so that most outlast what happens here."""
        spec = super().make_job(number)
        return msgspec.structs.replace(
            spec,
            tasks=min(spec.tasks, 4),
            one_zone=False,
            spread=False,
            estimate_s=spec.estimate_s and self.rng.uniform(40.0, 120.0),
        )

    def workers(self):
        return [worker for worker in self.machines.values() if worker is not None and worker.alive]

    def inherited(self):
        """Tasks that wait for a proof, at all homes."""
        return sum(
            len(job.unknown)
            for sim in self.nodes.values()
            if sim.core is not None
            for job in sim.core.job_shard.jobs.values()
            if job.state is JobState.ACTIVE
        )

    def leader(self):
        return next(
            sim for sim in self.nodes.values() if sim.core is not None and sim.core.membership.is_leader(self.t)
        )


@pytest.mark.parametrize("seed", (4, 5))
def test_inherited_tasks_do_not_wait_for_machines_that_stay_deaf(seed):
    """The leader ends while the machines of its home's long tasks are deaf; more of them than are returned for proof.

    They come by at their part's controller every 15 s, so never silent for a lease: it took the whole 150 s.
    """
    world = DeafMachines(seed, jobs=20)
    world.run(60.0)
    world.copies = 0.2
    leader = world.leader()
    deaf = [world.machines[machine] for job in leader.core.job_shard.jobs.values() for machine in job.tasks_by_machine]
    for worker in deaf:
        worker.deaf_until = world.t + 150.0
    world.run(61.0)
    world.end(leader, 2.0)
    world.run(66.0)
    assert len({worker.name for worker in deaf}) > constants.PROOF_LEAST and world.inherited(), (
        "the combination of faults has come about"
    )
    world.run(66.0 + OUT_S + len(world.labels) * 5.0)
    assert not world.inherited()
    world.run(300.0)
    world.remembered()
    assert not [
        job
        for job in world.accepted
        if job not in world.said
        and not world.specs[job].service
        and world.specs[job].team == "free"
        and job not in world.cancelled_at
    ], "the other team has a limit"


def test_tasks_do_not_stay_granted_to_a_machine_that_does_not_hear():
    """Three controllers, no change of view: each order was sent again with each report, for as long as it was deaf."""
    world = DeafMachines(3, jobs=40)
    world.run(45.0)
    for worker in world.rng.sample(world.workers(), len(world.workers()) // 2):
        worker.deaf_until = world.t + 120.0
    since = {}
    while world.t < 150.0:
        world.run(world.t + 1.0)
        for sim in world.nodes.values():
            for name, job in sim.core.job_shard.jobs.items():
                for index, run in job.runs.items():
                    if run.state is TaskState.GRANTED:
                        first = since.setdefault((name, index, run.attempt), world.t)
                        assert world.t - first < 3 * len(world.labels) * 5.0, "three rounds of a deaf machine's"
    assert since


def test_an_order_that_two_answers_did_not_bring_is_free_for_another_machine():
    one = Reports()
    one.heartbeat(1.0, 1)
    one.grant(0, 70)
    assert one.orders() == [("run", "wk-1/0", 70)]
    one.heartbeat(6.0, 4)
    assert one.orders() == [("run", "wk-1/0", 70)], "an answer may get lost: it is sent once more"
    one.grant(1, 71)
    one.told_home()
    one.heartbeat(11.0, 7)
    assert one.told_home() == [([], [])] and not one.orders(), "neither, as both are settled by this report"
    assert one.machine_shard.capacity.candidate(one.machine, 11.0) is None, "nor is anything placed there for a while"
    assert one.machine_shard.capacity.candidate(one.machine, 11.0 + LEASE_S) is not None
    other = Reports()
    other.heartbeat(1.0, 1)
    other.grant(0, 70)
    other.orders()
    other.heartbeat(6.0, 4)
    other.orders()
    other.heartbeat(7.0, 5, tasks=[RUNNING])
    assert other.told_home()[-1] == ([0], []) and other.machine_shard.capacity.candidate(other.machine, 7.0) is not None


# -- old reports ------------------------------------------------------------------


@pytest.mark.parametrize("incarnation, sequence", ((2, 3), (2, 2), (1, 99)))
def test_a_copy_of_a_heartbeat_renews_frees_and_acknowledges_nothing(incarnation, sequence):
    """The same, an older one, one of the session before whose counter is higher: all came before the newest report."""
    one = Reports()
    one.heartbeat(1.0, 3, incarnation=2)
    one.grant(0, 70)
    one.machine_shard.reserve(one.machine, "wk-1", 2)
    one.orders()
    one.heartbeat(2.0, 4, incarnation=2, tasks=[RUNNING])
    one.grant(1, 71)
    one.orders()
    one.machine_shard.on_stop_task(StopTask("n-1", "wk-1", 0, 70, 0.0))
    one.told_home()
    machine = one.machine
    before = (
        machine.last_heartbeat_at,
        machine.last_sequence,
        dict(machine.tasks),
        dict(machine.orders.pending),
        dict(machine.reserved),
        dict(machine.orders.stops),
    )
    assert (
        one.heartbeat(9.0, sequence, incarnation=incarnation, tasks=[ReportedTask("wk-1/5", 75, "ended", "done")])
        is None
    ), "a 200 would carry orders"
    assert before == (
        machine.last_heartbeat_at,
        machine.last_sequence,
        machine.tasks,
        machine.orders.pending,
        machine.reserved,
        machine.orders.stops,
    )
    assert not one.told_home()
    one.machine_shard.leases.check(2.0 + OUT_S + 0.1)
    assert machine.state is MachineState.EXPIRED, "its lease counts from the newest"


def test_the_first_heartbeat_that_a_new_owner_hears_may_be_a_copy():
    """It bears an older mandate: it shows no task, frees none and gets no orders, whatever has been granted."""
    one = Reports()
    one.machine_shard.on_stop_task(StopTask("n-1", "wk-1", 0, 70, 0.0))
    assert one.heartbeat(1.0, 50, fencing_token=4, tasks=[RUNNING]) is not None
    assert not one.machine.tasks and not one.told_home() and not one.orders()
    one.grant(0, 71)
    assert one.told_home() == [] and not one.machine.orders.pending, "not up: never ordered"
    one.heartbeat(2.0, 51, tasks=[RUNNING])
    assert one.told_home() == [([0], [])]


def test_copies_of_a_returned_machine_s_heartbeats_bring_nothing_back():
    one = Reports()
    one.heartbeat(1.0, 1, tasks=[RUNNING])
    one.machine_shard.on_terminated(["n-1"])
    one.told_home()
    for fencing_token in (4, 5):
        assert one.heartbeat(2.0, 9, fencing_token=fencing_token, incarnation=3, tasks=[RUNNING]) is None
    assert "n-1" not in one.machine_shard.machines and not one.told_home()
    one.enter(6, 3.0)  # its record has yet to go
    assert one.machine_shard.records.to_drop == ["n-1"]
    assert one.told_home() == [([], [])], "what others inherit did wait for the lease of a machine that was returned"
    assert one.heartbeat(4.0, 10, fencing_token=5) is None and not one.told_home()


def test_a_machine_that_expired_comes_back_with_a_new_incarnation_and_its_old_heartbeats_do_not():
    one = Reports()
    one.heartbeat(1.0, 8, tasks=[RUNNING])
    one.grant(3, 73)
    one.orders()
    one.machine_shard.leases.check(1.0 + OUT_S + 0.1)
    assert one.machine.state is MachineState.EXPIRED
    one.told_home()
    one.heartbeat(20.0, 1, incarnation=2)
    assert one.machine.state is MachineState.UP and not one.told_home(), "its lapse has said so"
    assert one.heartbeat(21.0, 9, tasks=[RUNNING]) is None, "of the session before, held up"
    assert not one.machine.tasks and not one.told_home() and not one.orders()


def test_what_an_older_view_s_machine_shard_told_of_a_machine_is_not_taken_under_the_next():
    """Its old and its new owner tell a home of it in the order in which the network likes to bring it."""
    world = DeafMachines(7, jobs=6)
    world.run(40.0)
    home, part, name, index, run = next(
        (sim.core, world.nodes[sim.core.membership.machine_owner(run.machine)].core, name, index, run)
        for sim in world.nodes.values()
        for name, job in sim.core.job_shard.jobs.items()
        for index, run in job.runs.items()
        if sim.core.membership.machine_owner(run.machine) != sim.label and run.state is TaskState.RUNNING
    )
    old = part.messenger.channels[home.me].post_unreliable(MachineTaskReport(run.machine, run.zone, 10**6, [], []))
    fencing_token = home.membership.fencing_token
    world.end(next(sim for sim in world.nodes.values() if sim.core not in (home, part)), 1.0)
    while home.membership.fencing_token == fencing_token:
        world.run(world.t + 0.05)
    home.on_frame(old, world.t)
    assert index in home.job_shard.jobs[name].runs, "an older proof says nothing of what was granted since"
    home.on_frame(msgspec.structs.replace(old, fencing_token=home.membership.fencing_token), world.t)
    assert index not in home.job_shard.jobs[name].runs


# -- late commands, and answers to them ------------------------------------------------


def test_an_asked_acknowledgement_that_comes_late_knows_nothing_of_orders():
    """Asked in view 5, its answer held up; an ordinary report acknowledged, and a task was started in between."""
    one = Reports()
    one.heartbeat(1.0, 2)
    one.grant(0, 70)
    assert one.orders() == [("run", "wk-1/0", 70)]
    one.told_home()
    one.heartbeat(5.0, 3, asked=True)  # written before the worker read the answer with the order
    assert ("wk-1", 0) in one.machine.orders.pending and not one.told_home() and one.machine.last_sequence == (1, 2)
    one.enter(6, 6.0, carry=True)
    one.told_home()
    one.heartbeat(7.0, 4, fencing_token=5, asked=True)
    assert not one.machine.acknowledged and not one.told_home(), "nor is it one of the next view"
    assert one.machine.last_sequence == (1, 2) and one.machine.last_heartbeat_at == 1.0, (
        "nor does it renew anything: commands do not"
    )
    one.heartbeat(8.0, 5, fencing_token=6, asked=True, tasks=[RUNNING])
    assert one.machine.acknowledged and one.told_home() == [([0], [])]


def test_the_answer_to_a_heartbeat_before_the_acknowledgement_bears_no_start():
    """Report 1 bears the older mandate; asked meanwhile, the machine acknowledges; then report 1 is answered."""
    one = Reports()
    one.heartbeat(1.0, 1, fencing_token=4)
    one.heartbeat(1.1, 2, asked=True)
    assert one.machine.acknowledged and not one.orders()
    assert one.heartbeat(1.2, 1) is None, "report 1 again"
    one.grant(0, 70)
    one.heartbeat(2.0, 3, asked=True)
    assert ("wk-1", 0) in one.machine.orders.pending


def test_a_stop_for_another_attempt_stops_nothing_of_the_one_that_runs():
    one = Reports()
    one.heartbeat(1.0, 1, tasks=[RUNNING])
    one.machine_shard.on_stop_task(StopTask("n-1", "wk-1", 0, 70, 0.0))
    one.heartbeat(2.0, 2)
    one.grant(0, 80)
    assert one.orders() == [("run", "wk-1/0", 80)], "70 is gone, its halt as well"
    one.machine_shard.on_stop_task(StopTask("n-1", "wk-1", 0, 70, 0.0))  # held up at its home
    assert ("halt", "wk-1/0", 80) not in one.orders()
    one.heartbeat(3.0, 3, tasks=[ReportedTask("wk-1/0", 80, "running")])
    assert not one.orders() and one.machine.tasks[("wk-1", 0)].attempt == 80


def test_an_acknowledgement_is_for_one_attempt_and_goes_when_that_is_gone():
    one = Reports()
    ended = ReportedTask("wk-1/0", 70, "ended", "halted")
    one.heartbeat(1.0, 1, tasks=[ended])
    one.machine_shard.on_acknowledge_finished("n-1", "wk-1", 0, 70)
    one.grant(0, 80)
    assert one.orders() == [("clear", "wk-1/0", 70)], "the old attempt goes first"
    one.heartbeat(2.0, 2)
    one.machine_shard.on_acknowledge_finished("n-1", "wk-1", 0, 70)  # told twice
    assert one.orders() == [("clear", "wk-1/0", 70), ("run", "wk-1/0", 80)]
    done = ReportedTask("wk-1/0", 80, "ended", "done")
    one.heartbeat(3.0, 3, tasks=[done])
    one.heartbeat(3.0 + constants.ACKNOWLEDGE_WAIT_S + 1, 4, tasks=[done])
    assert not one.orders(), "80's result is not stored yet"


@pytest.mark.parametrize("between", ("running", None))
def test_a_gang_s_task_that_runs_again_under_its_attempt_keeps_its_new_result(between):
    """All tasks of a gang have one attempt: the clear of what ended before took the result that was not stored."""
    one = Reports()
    one.heartbeat(1.0, 1, tasks=[ReportedTask("wk-1/0", 70, "ended", "error")])
    one.machine_shard.on_acknowledge_finished("n-1", "wk-1", 0, 70)
    one.grant(0, 70)
    assert one.orders() == [("clear", "wk-1/0", 70), ("run", "wk-1/0", 70)]
    if between is not None:
        one.heartbeat(2.0, 2, tasks=[ReportedTask("wk-1/0", 70, between)])
    one.told_home()
    one.heartbeat(3.0, 3, tasks=[ReportedTask("wk-1/0", 70, "ended", "done")])
    assert [(task.cause) for label, body in one.sent if label == "host-1" for task in body.tasks] == ["done"]
    one.heartbeat(4.0 + constants.ACKNOWLEDGE_WAIT_S, 4, tasks=[ReportedTask("wk-1/0", 70, "ended", "done")])
    assert not one.orders()


# -- tasks that end far apart ------------------------------------------------------------

LONG = msgspec.structs.replace(SPEC, tasks=3, estimate_s=300.0)
MACHINES = {name: MachineRecord("x", "c4", "a") for name in ("n-1", "n-2", "n-3")}


class Homes:
    """One job whose home changes again and again; what is stored goes from one to the next."""

    def __init__(self):
        self.record = Record(JobState.ACTIVE, "host-0", 0.0, LONG.tasks, [], LONG)  # marked ahead, to its last task
        self.revision, self.fencing_token, self.ends = 1, 5, 0
        self.sent: list = []
        self.change(never_started=True)

    def change(self, never_started=False, settled=True):
        self.fencing_token += 1
        self.job_shard = JobShard([], lambda label, body: self.sent.append(body) or len(self.sent), 4096)
        self.job = Job(self.record, self.revision, 0.0, 0.0, never_started=never_started)
        self.job.inherited = not never_started
        self.job_shard.enter(self.fencing_token, {"wk-1": self.job}, MACHINES)
        self.job_shard.settled = settled
        self.sent.clear()

    def store(self, answered=True):
        """The record is written; without an answer nobody here knows."""
        due = [job for _, job in self.job_shard.record_writes.due(1e9)]
        if due:
            record, cleared = (
                self.job.to_record(4096, self.job_shard.may_end(self.job)),
                list(self.job.unacknowledged_results),
            )
            self.ends += record.state is not self.record.state
            self.record, self.revision, self.job.dirty_since = record, self.revision + 1, None
            if answered:
                self.job_shard.record_writes.on_written(self.job, record, self.revision, cleared, 1.0)

    def seen(self, machine, *tasks):
        """What a part tells: (index, attempt, status, cause) each; the clears and halts that follow."""
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


def test_a_job_whose_tasks_end_far_apart_ends_once_and_not_before_the_last():
    """Three homes, one task's end under each; results lost with a home, told again, cleared once they are stored."""
    one = Homes()
    (first,), (second,), (third,) = (one.grant(machine) for machine in ("n-1", "n-2", "n-3"))
    live = [(index, attempt, "running", None) for index, attempt in (first, second, third)]
    done = [(index, attempt, "ended", "done") for index, attempt in (first, second, third)]
    assert not one.seen("n-1", done[0]), "not cleared before it is stored"
    assert one.job.state is JobState.ACTIVE and one.job.done.count == 1
    one.change()  # and it was not
    assert one.job.unknown == {0, 1, 2} and not one.job.waiting
    assert not one.seen("n-2", live[1]) and one.job.state_of(1) is TaskState.RUNNING
    assert not one.seen("n-1", done[0]) and one.job.done.count == 1
    one.store(answered=False)
    one.change(settled=False)  # stored, but its clear was lost
    assert one.job.unknown == {1, 2} and one.seen("n-1", done[0]) == [AcknowledgeFinished("n-1", "wk-1", 0, first[1])]
    assert not one.seen("n-2", done[1]) and not one.seen("n-3", live[2])
    assert one.job.state is JobState.ACTIVE and not one.job.unknown
    one.store()
    assert AcknowledgeFinished("n-2", "wk-1", 1, second[1]) in one.sent
    assert not one.seen("n-3", done[2]) and one.job.state is JobState.DONE
    one.store()
    assert one.ends == 0 and one.job.stored_state is JobState.ACTIVE, "an earlier home may still deny it"
    one.job_shard.settled = True
    one.store()
    one.store()
    assert one.ends == 1 and one.job.stored_state is JobState.DONE and one.job.is_complete
    assert one.seen("n-3", done[2]) == [AcknowledgeFinished("n-3", "wk-1", 2, third[1])], (
        "told again: cleared again, no more"
    )
    assert one.ends == 1


def test_a_job_whose_last_result_went_with_its_machine_waits_and_ends_later():
    """Two are done and stored, the third was reported, not stored, and its machine died: it runs again."""
    one = Homes()
    tasks = [one.grant(machine)[0] for machine in ("n-1", "n-2", "n-3")]
    done = [(index, attempt, "ended", "done") for index, attempt in tasks]
    one.seen("n-1", done[0])
    one.seen("n-2", done[1])
    one.store()
    one.seen("n-3", done[2])
    assert one.job.state is JobState.DONE and one.job.stored_state is JobState.ACTIVE
    one.change()
    assert one.job.state is JobState.ACTIVE and one.job.unknown == {2}
    for machine in ("n-1", "n-2"):
        one.seen(machine)
        assert one.job.unknown == {2}, "n-3 may hold it"
    one.seen("n-3")  # lapsed
    assert not one.job.unknown and one.job.waiting == 1
    (again,) = one.grant("n-1")
    assert again[0] == 2 and again[1] != tasks[2][1]
    assert one.seen("n-3", done[2]) == [AcknowledgeFinished("n-3", "wk-1", 2, tasks[2][1])], (
        "held up: it runs elsewhere by now"
    )
    assert one.job.state is JobState.ACTIVE
    one.seen("n-1", (*again, "ended", "done"))
    one.store()
    assert one.ends == 1 and one.job.stored_state is JobState.DONE


def test_a_job_is_noted_as_begun_with_the_first_task_that_runs():
    """The short way for what nearly all reports tell passed it by: it was noted with its first end, minutes later."""
    one = Homes()
    (task,) = one.grant("n-1")
    one.seen("n-1", (*task, "fetching", None))
    assert not one.job.has_started
    one.seen("n-1", (*task, "running", None))
    assert one.job.has_started and one.job.state_of(0) is TaskState.RUNNING


class FarApart(DeafMachines):
    """Jobs of two or three tasks; each one ends a minute after the one before it."""

    def make_job(self, number):
        spec = super().make_job(number)
        return msgspec.structs.replace(spec, kind="sweep", team="free", tasks=self.rng.randint(2, 3), estimate_s=60.0)

    def run_time(self, part):
        return 15.0 + 60.0 * int(part.rsplit("/", 1)[1])


@pytest.mark.parametrize("seed, nodes", ((1, 3), (2, 5)))
def test_jobs_that_end_far_apart_end_whatever_leads(seed, nodes):
    """The leader ends every 20 s, some machines are deaf now and then, and a third of all reports comes again."""
    world = FarApart(seed, jobs=16, nodes=nodes)
    world.copies = 0.3
    for number in range(10):

        def fault(number=number):
            is_leader = [
                sim for sim in world.nodes.values() if sim.core is not None and sim.core.membership.is_leader(world.t)
            ]
            for sim in is_leader:
                world.end(sim, (0.2, 3.0)[number % 2])
            for worker in world.rng.sample(world.workers(), len(world.workers()) // 4):
                worker.deaf_until = world.t + world.rng.uniform(5.0, 40.0)

        world.after(20.0 + 20.0 * number, fault)
    world.run(480.0)
    world.remembered()
    assert len(world.accepted) > 10
    assert not [job for job in world.accepted if world.said.get(job) != "done" and job not in world.cancelled_at]


def test_a_member_cut_off_from_the_store_concludes_no_lease_expiry_though_it_acts_for_longer_than_a_lease():
    """A newer view may have begun, whose part renewed the lease: a home here would start elsewhere what still runs."""
    world = DeafMachines(5, jobs=6)
    world.run(40.0)

    def just_heard():
        for sim in world.nodes.values():
            membership = sim.core.membership
            acts_until = min(membership.store_lease.valid_until, membership.fresh_until)
            for machine in sim.core.machine_shard.machines.values():
                worker = world.machines.get(machine.name)
                if machine.acknowledged and worker is not None and machine.last_heartbeat_at + OUT_S + 0.5 < acts_until:
                    return sim, machine, worker
        return None

    while (found := just_heard()) is None:
        world.run(world.t + 0.02)
    sim, machine, worker = found
    part, began = sim.core.machine_shard, world.t
    sim.cut_store_until, worker.cut_until = began + 60.0, began + 60.0
    while sim.core.membership.may_act(world.t):
        assert machine.state is not MachineState.EXPIRED
        world.run(world.t + 0.05)
    assert (
        world.t > machine.last_heartbeat_at + OUT_S
        and sim.core.machine_shard is part
        and part.machines[machine.name] is machine
    )
