"""Two concurrent machine faults: fast boots during late writes, blocked outbound traffic and stale heartbeats."""

from collections import Counter

import msgspec
import pytest
from simulation import InvariantViolation, SimWorker, World
from test_late_transactions import LEASE_S, VIEW_SETTLED_S, SteppedController, machine_of
from test_machine_proofs import LEASE_EXPIRY_PROOF_S, RUNNING, InboundBlockedWorld, MachineShardHarness

from alderbridge import constants
from alderbridge.jobs.record import JobState
from alderbridge.machines.machine import MachineState
from alderbridge.membership.records import View
from alderbridge.protocol import messages
from alderbridge.protocol.keys import MACHINES, VIEW
from alderbridge.protocol.wire import Heartbeat, ReportedTask

RUNNING_TASK = ReportedTask("wk-000001/0", 70, "running")


@pytest.mark.parametrize("how", ("followed", "reloaded"))
def test_a_record_shown_after_the_answer_to_its_drop_does_not_allow_runs(how):
    """The replica shows the put of a record after its drop was answered, before it shows the drop.

    Counting the machine as recorded then would let it run tasks that no later view waits for.
    """
    alone, name = SteppedController(), "n-000001"
    alone.heartbeat(name, 1)
    alone.advance(LEASE_S + 0.5)  # the write is delayed, and the machine is silent until its lease expires
    put = alone.next_batch()
    revision, since = alone.commit(put).revision, alone.core.replica.revision
    rows, changes = (
        alone.store.rows(),
        alone.store.events_after(since),
    )  # what the store returns for a read at this revision
    alone.t += 1.0
    alone.core.round(alone.t)
    machine = alone.core.machine_shard.machines[name]
    assert machine.state is MachineState.EXPIRED
    alone.core.batch_results.on_written(put, revision, alone.t)
    alone.write_due_records()
    assert MACHINES + name not in alone.store.data
    if how == "followed":
        alone.core.store_follower.apply_events(changes, alone.t, alone.t)
        alone.core.replica.revision = revision
    else:
        alone.core.store_follower.load(rows, [], revision, alone.t, alone.t)
    assert alone.heartbeat(name, 1, incarnation=2) is machine and machine.state is MachineState.UP
    assert not machine.recorded and alone.core.machine_shard.capacity.candidate(machine, alone.t) is None
    alone.follow()
    alone.write_due_records()
    assert machine.recorded and MACHINES + name in alone.store.data, "its record is put again"


@pytest.mark.parametrize("write_outcome", ("before the view", "after the view", "before the view, unanswered"))
def test_the_next_view_waits_for_a_new_machine_that_may_have_run_tasks(write_outcome):
    """The put of its record is in flight and a task is granted when the leader that owns the machine ends."""
    alone = SteppedController("host-1")
    other, name = alone.other_member("host-1"), machine_of("host-0", "host-0", "host-1")
    alone.submit_job()
    machine = alone.heartbeat(name, 1)
    put = alone.next_batch()
    assert MACHINES + name in put.puts
    alone.core.machine_shard.on_task_grant(
        "host-0",
        messages.TaskGrant(alone.core.machine_shard.reserve(machine, "wk-000001", 1), "wk-000001", name, [(0, 70)]),
        alone.t,
    )
    assert not alone.core.machine_shard.order_builder.orders(machine), "not before the store holds its record"
    if write_outcome == "before the view":
        alone.core.batch_results.on_written(put, alone.commit(put).revision, alone.t)
        assert [order["verb"] for order in alone.core.machine_shard.order_builder.orders(machine)] == ["run"]
    elif write_outcome == "before the view, unanswered":
        assert not alone.commit(put).failed
        alone.core.batch_results.on_failed(put, alone.t)
    alone.store.commit({}, {VIEW: View("host-1", {"host-1": alone.lease_ids["host-1"]})})
    if write_outcome == "after the view":
        assert VIEW in alone.commit(put).failed
        assert not alone.core.machine_shard.order_builder.orders(machine), (
            "no run order after the failed put, though it still acts under the older view"
        )
    other.follow()
    is_waited_for = write_outcome != "after the view"
    assert (name in other.core.machine_shard.machines) is is_waited_for and (
        name in other.core.job_shard.inherited.barrier
    ) is is_waited_for
    job = other.core.job_shard.jobs["wk-000001"]
    assert job.inherited_tasks == ({0, 1, 2} if is_waited_for else set())
    if is_waited_for:
        other.heartbeat(name, 2, [RUNNING_TASK])
        assert not job.inherited_tasks and list(job.runs) == [0]


def test_a_machine_is_served_before_it_is_listed_when_the_scale_out_answer_was_lost():
    """The requesting leader ends before the scale-out answer, and the cloud's list lags by 60 s."""
    world = FastBootWorld(2, jobs=14)
    world.faults_until = 0.0
    world.list_machines = lambda: [host for host in World.list_machines(world) if world.t > 60.0]
    world.run(20.0)
    kind = next(kind for kind, _ in world.rented_kinds.values())
    leader, names = world.leader(), world.rent(kind, 3)
    world.crash_and_restart(leader, 40.0)
    world.run(40.0)
    new_leader = world.leader()
    assert new_leader is not leader
    machines = world.shard_machines()
    for name in names:
        assert machines[name].state is MachineState.UP and machines[name].recorded
        assert new_leader.core.leader.rented_machines[name].state.value == "up"
    world.run(130.0)
    assert all(name not in world.rented_kinds or world.run_orders[name] for name in names), "used or terminated"
    assert any(world.run_orders[name] for name in names)


class FastBootWorker(SimWorker):
    def apply_order(self, order):
        """Fail if a machine without a record in the store gets a run order."""
        if order["verb"] == "run" and MACHINES + self.name not in self.world.store.data:
            raise InvariantViolation(f"unrecorded: {order['part']} on {self.name} at {self.world.t:.2f}")
        self.world.run_orders[self.name] += order["verb"] == "run"
        super().apply_order(order)


class FastBootController(World.controller_class):
    """Scales out at once; the answers arrive late, or are lost if the process has ended since."""

    def lead(self):
        core, world, rng, life = self.core, self.world, self.world.rng, self.life
        if not core.membership.is_leader(world.t):
            return
        core.leader.on_listing(world.list_machines(), world.t)
        decision = core.leader.decide(world.t)
        core.drain_machines(decision.drain, world.t)
        for kind, count in decision.scale_out:
            names = world.rent(kind, count)

            def on_response(kind=kind, names=names):
                if life == self.life:
                    core.leader.on_scaled_out(kind, names, world.t)

            world.after(rng.uniform(0.2, 4.0), on_response)
            world.rented_count += len(names)
        if decision.terminate:
            world.terminate(decision.terminate)
            if rng.random() < 0.7:
                core.on_terminated(decision.terminate, world.t)
        if decision.scale_out and world.t < world.faults_until and rng.random() < 0.8:
            world.ended_leader_count += 1
            world.after(rng.uniform(0.0, 2.5), world.end_if_up, self, life)


class FastBootWorld(InboundBlockedWorld):
    """Machines boot within 2 s and some fail within seconds, while store writes are delayed and leaders end."""

    controller_class = FastBootController
    faults_until = 110.0
    rented_count = ended_leader_count = 0

    def __init__(self, *args, **kwargs):
        self.run_orders = Counter()
        super().__init__(*args, **kwargs)

    def end_if_up(self, sim, life):
        if sim.life == life:
            self.crash_and_restart(sim, self.rng.choice([0.2, 2.0, 12.0]))

    def rent(self, kind, count):
        names = super().rent(kind, count)
        for name in names:
            self.after(
                self.rng.uniform(0.2, 2.0), self.boot, name, kind
            )  # before the slower boot of ``World``, which then has no effect
        return names

    def boot(self, name, kind):
        if name not in self.rented_kinds or self.machines[name] is not None:
            return
        worker = self.machines[name] = FastBootWorker(self, name, kind)
        fault_draw = self.rng.random() if self.t < self.faults_until else 1.0
        fault_after_s = self.rng.uniform(0.3, 5.0)
        if fault_draw < 0.15:
            self.after(fault_after_s, worker.crash)
        elif fault_draw < 0.3:
            worker.preempted_at = self.t + fault_after_s
        elif fault_draw < 0.5:  # hangs for about a lease, so that the lease expires or nearly does
            self.after(
                fault_after_s, setattr, worker, "hangs_until", self.t + fault_after_s + self.rng.uniform(10.0, 30.0)
            )

    def shard_machines(self):
        """The machines of all machine shards, by name."""
        return {
            name: machine
            for sim in self.controllers.values()
            if sim.core is not None
            for name, machine in sim.core.machine_shard.machines.items()
        }

    def make_job(self, number):
        spec = super().make_job(number)
        return msgspec.structs.replace(spec, estimate_s=min(spec.estimate_s, 40.0))

    def late_writes(self, from_s, for_s):
        self.after(from_s, self.inject, "late_writes", next(iter(self.controllers.values())), for_s)
        self.after(from_s, self.inject, "slow_store", next(iter(self.controllers.values())), for_s)


@pytest.mark.parametrize("seed, nodes", ((44, 3), (35, 5)))
def test_fast_booting_machines_run_nothing_unrecorded_and_are_used_or_terminated(seed, nodes):
    world = FastBootWorld(seed, jobs=24, nodes=nodes, machines=200)
    world.late_writes(3.0, 50.0)
    world.late_writes(65.0, 40.0)
    world.run(210.0)
    world.check_final_status_age()
    assert world.ended_leader_count >= 2 and world.task_starts > 20
    shard_machines = world.shard_machines()
    for name, (_, rented_at) in world.rented_kinds.items():
        worker = world.machines[name]
        if (
            world.t - rented_at
            > constants.BOOT_TIMEOUT_FACTOR * 10.0 + constants.LOST_MACHINE_TIMEOUT_S + LEASE_EXPIRY_PROOF_S + 20.0
        ):
            assert worker is not None and worker.alive, f"{name} is rented but not running"
            assert shard_machines[name].recorded, f"{name} is running but not recorded"
    assert not [
        job
        for job in world.accepted
        if job not in world.reported_ends
        and not world.specs[job].service
        and world.specs[job].team == "free"
        and job not in world.cancelled_at
    ]


STALE_TASK_LISTS = [
    [RUNNING],
    [],
    [ReportedTask("wk-1/0", 60, "ended", "done")],
    [ReportedTask("wk-1/0", 60, "ended", "halted")],
    [ReportedTask("wk-1/0", 60, "ended", "error")],
]


@pytest.mark.parametrize("reported", STALE_TASK_LISTS)
def test_stale_heartbeats_change_nothing_at_a_controller_that_owns_the_machine_again(reported):
    """The controller owns the machine under tokens 5 and 7, another under 6; delayed heartbeats arrive under 7."""
    harness = MachineShardHarness()
    harness.heartbeat(1.0, 50)
    harness.machine_shard.enter_view(6, ["host-0", "host-1"], {}, 2.0, True, True)
    assert "n-1" not in harness.machine_shard.machines
    harness.enter_view(7, 10.0, inherit_tasks=True)
    harness.take_owner_reports()
    for fencing_token, sequence, incarnation in ((6, 60, 2), (6, 61, 2), (5, 51, 1), (5, 99, 1)):
        harness.heartbeat(10.5, sequence, fencing_token=fencing_token, incarnation=incarnation, tasks=reported)
        assert (
            not harness.machine.acknowledged
            and not harness.machine.tasks
            and not harness.take_owner_reports()
            and not harness.orders()
        )
    assert harness.machine.last_sequence == (2, 61), (
        "the newer incarnation's heartbeats arrived first: all others are older"
    )
    harness.heartbeat(10.6, 58, fencing_token=6, incarnation=2, tasks=reported, is_probe_answer=True)
    harness.heartbeat(10.6, 61, fencing_token=7, incarnation=2, tasks=reported, is_probe_answer=True)
    assert not harness.machine.acknowledged, (
        "probe answers with an older token, or not newer than the last heartbeat, are ignored"
    )
    harness.heartbeat(11.0, 62, fencing_token=7, incarnation=2, tasks=[RUNNING], is_probe_answer=True)
    assert harness.machine.acknowledged and harness.take_owner_reports() == [([0], [])]
    for fencing_token, sequence in ((6, 60), (6, 61), (7, 62)):
        assert harness.heartbeat(12.0, sequence, fencing_token=fencing_token, incarnation=2, tasks=reported) is None
    assert not harness.take_owner_reports() and harness.machine.last_heartbeat_at == 11.0


@pytest.mark.parametrize("reported", STALE_TASK_LISTS)
def test_a_heartbeat_delayed_until_the_next_view_changes_nothing_of_the_inherited_tasks(reported):
    """A new heartbeat with the previous view's token may show any outcome of the inherited tasks and orders."""
    harness = MachineShardHarness()
    harness.heartbeat(1.0, 1, tasks=[RUNNING])
    harness.grant(3, 73)
    assert harness.orders() == [("run", "wk-1/3", 73)]
    harness.enter_view(6, 2.0, settle=False, inherit_tasks=True)
    harness.take_owner_reports()
    harness.heartbeat(2.1, 2, fencing_token=5, tasks=reported)
    assert not harness.take_owner_reports()
    harness.machine_shard.leases.settle(3.0)
    assert harness.take_owner_reports() == [([0], [("wk-1", 3, 73)])]
    assert (
        harness.heartbeat(3.1, 2, fencing_token=5, tasks=reported) is None
        and harness.heartbeat(3.2, 1, tasks=[RUNNING]) is None
    )
    assert not harness.take_owner_reports()
    harness.heartbeat(4.0, 3, fencing_token=6, tasks=[RUNNING])
    assert harness.take_owner_reports() == [([0], [])], "this heartbeat proves that attempt 73 is not there"


class OutboundBlockedWorker(SimWorker):
    """For some time its heartbeats reach no controller, while probes reach it and are answered."""

    outbound_blocked_until = 0.0

    def send_heartbeat(self):
        if not self.alive or self.world.t >= self.outbound_blocked_until or self.world.t < self.hangs_until:
            return super().send_heartbeat()
        self.tick()
        self.sequence += 1  # of a heartbeat that is lost
        self.request_number += 1
        self.use_next_controller()

    def command(self, fencing_token, incarnation, reply):
        self.tick()
        if incarnation != self.incarnation and self.alive:  # 409, and probed again as ``WorkerProber`` does
            self.world.after(self.draw_latency(), super().command, fencing_token, self.incarnation, reply)
        else:
            super().command(fencing_token, incarnation, reply)

    def apply_order(self, order):
        if order["verb"] == "run" and self.world.t < self.outbound_blocked_until:
            raise InvariantViolation(
                f"run order to a machine with blocked outbound traffic: {order['part']} on {self.name}"
            )
        super().apply_order(order)


class ReplayingController(World.controller_class):
    """Captures a share of the heartbeats for replay under the next view; some of them are withheld until then."""

    def heartbeat(self, raw, reply, is_replay=False):
        world = self.world
        if not is_replay and world.rng.random() < world.capture_share:
            world.captured_heartbeats.append(raw)
            if world.rng.random() < 0.3:
                return  # withheld: only the replay is received
        super().heartbeat(raw, reply)


class OutboundBlockedWorld(InboundBlockedWorld):
    """Heartbeats of some machines are lost, and captured heartbeats are replayed under the next view."""

    controller_class = ReplayingController
    capture_share = 0.0

    def __init__(self, *args, **kwargs):
        self.captured_heartbeats, self.last_view_revision, self.replayed_count = [], 0, 0
        super().__init__(*args, **kwargs)
        self.after(0.0, self.replay_heartbeats)

    def boot(self, name, kind):
        if name in self.rented_kinds:
            self.machines[name] = OutboundBlockedWorker(self, name, kind)

    def make_job(self, number):
        """Every other job has many short tasks, so that tasks start and end all the time."""
        spec = super().make_job(number)
        if number % 2:
            return spec
        return msgspec.structs.replace(spec, kind="sweep", team="free", tasks=30, cpus=1.0, estimate_s=8.0)

    def replay_heartbeats(self):
        """Replay the captured heartbeats to all controllers, within two leases of the start of a new view."""
        revision = self.store.data[VIEW][1] if VIEW in self.store.data else 0
        if revision != self.last_view_revision:
            self.last_view_revision, captured, self.captured_heartbeats = revision, self.captured_heartbeats, []
            for raw in captured:
                delay_s = self.rng.choice(
                    [0.0, 0.2, 0.5, self.rng.uniform(0.5, 8.0), self.rng.uniform(8.0, 2 * LEASE_S)]
                )
                for sim in self.controllers.values():
                    self.after(
                        delay_s + self.rng.uniform(0.0, 0.3), sim.heartbeat, raw, lambda status, body: None, True
                    )
            self.replayed_count += len(captured)
        self.after(0.05, self.replay_heartbeats)

    def block_outbound(self, share, for_s):
        for worker in self.rng.sample(self.live_workers(), int(len(self.live_workers()) * share)):
            worker.outbound_blocked_until = self.t + for_s
            if self.rng.random() < 0.8:
                worker.responses_delayed_until = self.t + for_s

    def runs_on(self, machines):
        """The tasks that job owners have on these machines."""
        return [
            (name, index, run.state)
            for sim in self.controllers.values()
            if sim.core is not None
            for name, job in sim.core.job_shard.jobs.items()
            for index, run in job.runs.items()
            if run.machine in machines
        ]


def test_stale_heartbeats_at_all_five_controllers_under_a_new_leader_change_nothing():
    """Heartbeats of the previous view, some not received before, arrive soon and some seconds after the change."""
    world = OutboundBlockedWorld(9, jobs=24, nodes=5)
    world.run(40.0)
    world.capture_share = 1.0
    world.run(45.0)
    world.capture_share, captured, world.captured_heartbeats = 0.0, world.captured_heartbeats, []
    leader = world.leader()
    fencing_token = leader.core.membership.fencing_token
    world.crash_and_restart(leader, 30.0)

    def cores_in_newer_view():
        return [
            sim.core
            for sim in world.controllers.values()
            if sim.core and sim.core.membership.fencing_token > fencing_token
        ]

    def snapshot(core):
        """The state of a machine shard's machines and of a job shard's tasks."""
        return (
            {
                name: (
                    machine.acknowledged,
                    machine.state,
                    dict(machine.tasks),
                    dict(machine.prior_view.unconfirmed),
                    dict(machine.orders.pending),
                )
                for name, machine in core.machine_shard.machines.items()
            },
            {
                name: (dict(job.runs), set(job.inherited_tasks), job.done.count)
                for name, job in core.job_shard.jobs.items()
            },
        )

    while not cores_in_newer_view():
        world.run(world.t + 0.02)
    receivers = set()
    for pause in (0.0, 0.2, 3.0, 9.0):
        world.run(world.t + pause)
        for raw in captured:
            for core in cores_in_newer_view():
                machines, jobs = snapshot(core)
                world.controllers[core.me].heartbeat(raw, lambda status, body: None, True)
                machines_after, jobs_after = snapshot(core)
                assert jobs_after == jobs and {name: machines_after[name] for name in machines} == machines
                receivers.add(core.me)
    assert len(captured) > 5 and len(receivers) == 4
    world.run(world.t + LEASE_EXPIRY_PROOF_S)
    assert not world.inherited()


@pytest.mark.parametrize("is_lost", (True, False))
def test_a_machine_with_blocked_outbound_traffic_expires_in_time_whatever_it_answers_to_probes(is_lost):
    """Each of three views within a lease probes it; the last probe is unanswered or answered by a new incarnation."""
    harness = MachineShardHarness()
    harness.heartbeat(1.0, 1, tasks=[RUNNING], is_probe_answer=True)
    assert harness.machine.acknowledged and harness.take_owner_reports() == [([0], [])]
    harness.enter_view(6, 8.0)
    harness.heartbeat(9.0, 3, fencing_token=6, tasks=[RUNNING], is_probe_answer=True)
    assert harness.take_owner_reports() == [([0], [])]
    assert (
        harness.heartbeat(10.0, 4, fencing_token=6, is_probe_answer=True) is None
        and harness.machine.last_heartbeat_at == 9.0
    )
    harness.enter_view(7, 16.0)
    if not is_lost:
        harness.heartbeat(19.0, 1, fencing_token=7, incarnation=2, is_probe_answer=True)
        assert harness.machine.state is MachineState.UP and harness.take_owner_reports() == [([], [])], (
            "a new incarnation starts without tasks, as the old one's lease has expired"
        )
        return
    harness.machine_shard.leases.check(9.0 + LEASE_EXPIRY_PROOF_S - 0.1)
    assert harness.machine.state is MachineState.EXPECTED and not harness.take_owner_reports()
    harness.machine_shard.leases.check(9.0 + LEASE_EXPIRY_PROOF_S + 0.1)
    assert harness.machine.state is MachineState.EXPIRED and harness.take_owner_reports() == [([], [])], (
        "the lease does not start again with the view at 16 s"
    )
    for incarnation, sequence in ((1, 5), (2, 1)):
        harness.heartbeat(
            30.0,
            sequence,
            fencing_token=7,
            incarnation=incarnation,
            tasks=[RUNNING] if incarnation == 1 else [],
            is_probe_answer=True,
        )
        assert (
            harness.machine.state is MachineState.EXPIRED and not harness.take_owner_reports() and not harness.orders()
        )
    harness.heartbeat(40.0, 2, fencing_token=7, incarnation=2)
    assert (
        harness.machine.state is MachineState.UP
        and harness.machine_shard.capacity.candidate(harness.machine, 40.0) is None
    ), "its record has to be put again first"
    harness.machine_shard.records.on_recorded("n-1")
    assert harness.machine_shard.capacity.candidate(harness.machine, 40.0) is not None


def test_a_machine_that_only_answers_probes_gets_no_task():
    """Run orders are sent only in responses to heartbeats: its tasks would wait until its lease expires."""
    alone, name = SteppedController(), "n-000001"
    alone.add_machine(name)
    alone.commit_view("host-0")
    alone.t += VIEW_SETTLED_S
    alone.follow()
    job = alone.submit_job()
    alone.core.round(alone.t)
    fencing_token = alone.core.membership.fencing_token
    machine = alone.core.machine_shard.machines[name]
    alone.core.on_probe_answered(Heartbeat(name, "x", "small", 1, 7, fencing_token, "a"), alone.t)
    assert (
        machine.acknowledged
        and machine.recorded
        and job.waiting
        and not machine.reserved
        and not machine.orders.pending
    )
    alone.heartbeat(name, 8)
    assert machine.orders.pending, "its next heartbeat lets tasks be placed on it"


class ManyMachinesWorld(OutboundBlockedWorld):
    """More than a hundred machines, each with a long task."""

    def __init__(self, seed, machines):
        super().__init__(seed, jobs=0, machines=machines)
        for number in range(10):
            self.after(2.0, self.submit, self.make_job(number))

    def make_job(self, number):
        return msgspec.structs.replace(
            super().make_job(number),
            kind="sweep",
            team="free",
            tasks=14,
            cpus=4.0,
            types=["small"],
            zone=None,
            spot=True,
            estimate_s=self.rng.uniform(200.0, 300.0),
        )


def test_tasks_of_a_hundred_machines_with_blocked_outbound_traffic_are_released_after_their_leases():
    """The leader ends, and some jobs on the blocked machines are cancelled, before their leases expire."""
    world = ManyMachinesWorld(6, machines=125)
    world.run(45.0)
    leader, fencing_token = world.leader(), world.leader().core.membership.fencing_token
    busy = sorted(set(world.running_on.values()))
    blocked = set(world.rng.sample(busy, 100))
    for name in blocked:
        world.machines[name].outbound_blocked_until = world.t + 240.0
    world.run(world.t + 3.0)
    world.crash_and_restart(leader, 30.0)
    for job in sorted({task_id.split("/")[0] for task_id, name in world.running_on.items() if name in blocked})[:4]:
        world.cancel(job)
    while all(
        sim.core is None or sim.core.membership.fencing_token == fencing_token for sim in world.controllers.values()
    ):
        world.run(world.t + 0.25)
    view_began_at = world.t
    world.run(view_began_at + 4.0)
    shard_machines = {
        name: machine
        for sim in world.controllers.values()
        if sim.core is not None
        for name, machine in sim.core.machine_shard.machines.items()
    }
    acknowledged = [name for name in blocked if shard_machines[name].acknowledged]
    assert len(acknowledged) > 70, "they acknowledge when probed; some probes are delayed"
    assert world.runs_on(set(acknowledged)), "their tasks stay assigned until the leases have expired"
    world.run(view_began_at + LEASE_EXPIRY_PROOF_S + 4.0)
    assert not world.inherited()
    world.run(view_began_at + 2 * LEASE_EXPIRY_PROOF_S + 4.0)  # a late acknowledgement, and a lease from then on
    assert not world.runs_on(blocked) and not any(name in blocked for name in world.running_on.values())
    job_owners = [sim.core.job_shard.jobs for sim in world.controllers.values() if sim.core is not None]
    assert not [
        job for jobs in job_owners for job in jobs.values() if job.state is JobState.ABORTED and job.on_machines
    ]
    aborted = [job for job, cancelled_at in world.cancelled_at.items() if cancelled_at < float("inf")]
    assert aborted and all(world.reported_ends[job] == "aborted" for job in aborted)


def test_a_machine_whose_outbound_traffic_is_restored_gets_tasks():
    world = OutboundBlockedWorld(8, jobs=20)
    world.run(50.0)
    blocked = [worker.name for worker in world.live_workers()]
    for name in blocked:
        world.machines[name].outbound_blocked_until = world.t + 50.0
    world.run(60.0)
    world.crash_and_restart(world.leader(), 2.0)
    world.run(97.0)  # an acknowledgement may be delayed by seconds, and a lease counts from it
    assert not world.runs_on(blocked) and not any(name in blocked for name in world.running_on.values())
    world.run(125.0)
    assert any(name in blocked for name in world.running_on.values())


@pytest.mark.parametrize("seed, nodes", ((63, 5), (66, 3)))
def test_invariants_hold_with_blocked_outbound_traffic_and_stale_heartbeats_under_new_leaders(seed, nodes):
    """Leaders end every 4 to 20 s; some stay away for long, so that machine ownership moves away and back."""
    world = OutboundBlockedWorld(seed, jobs=24, nodes=nodes)
    world.capture_share = 0.2
    fault_at = 20.0
    while fault_at < 120.0:
        world.after(fault_at, lambda: world.block_outbound(world.rng.uniform(0.2, 0.8), world.rng.uniform(3.0, 40.0)))
        world.after(fault_at + 2.0, world.crash_leaders, 1, 0.0)
        world.after(
            fault_at + 3.0, lambda: world.crash_and_restart(world.rng.choice(list(world.controllers.values())), 11.0)
        )
        world.after(fault_at + 1.0, world.cancel_any)
        fault_at += world.rng.uniform(4.0, 20.0)
    world.run(125.0)
    world.capture_share = 0.0
    world.run(220.0)
    world.check_final_status_age()
    assert world.replayed_count > 10 and world.task_starts > 60
    assert not world.inherited()
