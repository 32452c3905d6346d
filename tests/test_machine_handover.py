"""Two faults at once, on the machines' side: quick boots, mute machines, old reports that meet a new leader."""

from collections import Counter

import msgspec
import pytest
from simulation import Broken, SimWorker, World
from test_late_transactions import LEASE_S, SETTLED_S, Alone, machine_of
from test_machine_proofs import OUT_S, RUNNING, DeafMachines, Reports

from alderbridge import constants
from alderbridge.jobs.record import JobState
from alderbridge.machines.machine import MachineState
from alderbridge.membership.records import View
from alderbridge.protocol import messages
from alderbridge.protocol.keys import MACHINES, VIEW
from alderbridge.protocol.wire import Heartbeat, ReportedTask

RUNNING_1 = ReportedTask("wk-000001/0", 70, "running")

# -- machines that boot at once ---------------------------------------------------


@pytest.mark.parametrize("how", ("followed", "read anew"))
def test_a_record_that_is_shown_after_the_answer_to_its_drop_is_no_leave_to_run(how):
    """Its put is answered as the machine lapses, its drop at once; then the copy of the store shows the put, only that.

    A report came before the copy had caught up, and the machine was taken for recorded: what ran there, no later view
    waited for.
    """
    alone, name = Alone(), "n-000001"
    alone.heartbeat(name, 1)
    alone.go(LEASE_S + 0.5)  # writes lag, and the machine is silent
    put = alone.batch()
    revision, since = alone.carry_out(put).revision, alone.core.replica.revision
    rows, changes = alone.store.rows(), alone.store.since(since)  # what the store answers a reading here
    alone.t += 1.0
    alone.core.round(alone.t)
    machine = alone.core.machine_shard.machines[name]
    assert machine.state is MachineState.EXPIRED
    alone.core.batch_results.on_written(put, revision, alone.t)
    alone.write()
    assert MACHINES + name not in alone.store.data
    if how == "followed":
        alone.core.store_follower.apply_events(changes, alone.t, alone.t)
        alone.core.replica.revision = revision
    else:
        alone.core.store_follower.load(rows, [], revision, alone.t, alone.t)
    assert alone.heartbeat(name, 1, incarnation=2) is machine and machine.state is MachineState.UP
    assert not machine.recorded and alone.core.machine_shard.capacity.candidate(machine, alone.t) is None
    alone.follow()
    alone.write()
    assert machine.recorded and MACHINES + name in alone.store.data, "put anew"


@pytest.mark.parametrize("carried_out", ("before the view", "after the view", "before it, unanswered"))
def test_what_may_run_on_a_new_machine_is_waited_for_by_the_next_view(carried_out):
    """The put of its record is on its way, a task is granted, and the leader that owns the machine ends."""
    alone = Alone("host-1")
    other, name = alone.other("host-1"), machine_of("host-0", "host-0", "host-1")
    alone.job()
    machine = alone.heartbeat(name, 1)
    put = alone.batch()
    assert MACHINES + name in put.puts
    alone.core.machine_shard.on_task_grant(
        "host-0",
        messages.TaskGrant(alone.core.machine_shard.reserve(machine, "wk-000001", 1), "wk-000001", name, [(0, 70)]),
        alone.t,
    )
    assert not alone.core.machine_shard.order_builder.orders(machine), "not before the store holds its record"
    if carried_out == "before the view":
        alone.core.batch_results.on_written(put, alone.carry_out(put).revision, alone.t)
        assert [order["verb"] for order in alone.core.machine_shard.order_builder.orders(machine)] == ["run"]
    elif carried_out == "before it, unanswered":
        assert not alone.carry_out(put).failed
        alone.core.batch_results.on_failed(put, alone.t)
    alone.store.commit({}, {VIEW: View("host-1", {"host-1": alone.lease_ids["host-1"]})})
    if carried_out == "after the view":
        assert VIEW in alone.carry_out(put).failed
        assert not alone.core.machine_shard.order_builder.orders(machine), (
            "nor ever, though it acts under the older view for a while"
        )
    other.follow()
    waits = carried_out != "after the view"
    assert (name in other.core.machine_shard.machines) is waits and (
        name in other.core.job_shard.inherited.barrier
    ) is waits
    job = other.core.job_shard.jobs["wk-000001"]
    assert job.unknown == ({0, 1, 2} if waits else set())
    if waits:
        other.heartbeat(name, 2, [RUNNING_1])
        assert not job.unknown and list(job.runs) == [0]


def test_a_machine_whose_rental_was_answered_to_nobody_is_known_before_the_list_shows_it_and_gets_work():
    """The requester ends between rental and answer; machines are up within a second; the list is behind for long."""
    world = QuickBoots(2, jobs=14)
    world.ends_until = 0.0
    world.listing = lambda: [host for host in World.listing(world) if world.t > 60.0]
    world.run(20.0)
    kind = next(kind for kind, _ in world.kinds.values())
    leader, names = world.leader(), world.rent(kind, 3)
    world.end(leader, 40.0)
    world.run(40.0)
    is_leader = world.leader()
    assert is_leader is not leader
    machines = world.known()
    for name in names:
        assert machines[name].state is MachineState.UP and machines[name].recorded
        assert is_leader.core.leader.rented_machines[name].state.value == "up"
    world.run(130.0)
    assert all(name not in world.kinds or world.ran[name] for name in names), "used, or returned"
    assert any(world.ran[name] for name in names)


class QuickWorker(SimWorker):
    def carry_out(self, order):
        """The world's own account: whoever is told to run something is in the store."""
        if order["verb"] == "run" and MACHINES + self.name not in self.world.store.data:
            raise Broken(f"unrecorded: {order['part']} on {self.name} at {self.world.t:.2f}")
        self.world.ran[self.name] += order["verb"] == "run"
        super().carry_out(order)


class QuickNode(World.process):
    """Its rentals are carried out at once, their answers come late or, if it has ended, to nobody."""

    def lead(self):
        core, world, rng, life = self.core, self.world, self.world.rng, self.life
        if not core.membership.is_leader(world.t):
            return
        core.leader.on_listing(world.listing(), world.t)
        decision = core.leader.decide(world.t)
        core.drain_machines(decision.drain, world.t)
        for kind, count in decision.scale_out:
            names = world.rent(kind, count)

            def told(kind=kind, names=names):
                if life == self.life:
                    core.leader.on_scaled_out(kind, names, world.t)

            world.after(rng.uniform(0.2, 4.0), told)
            world.rented += len(names)
        if decision.terminate:
            world.remove(decision.terminate)
            if rng.random() < 0.7:
                core.on_terminated(decision.terminate, world.t)
        if decision.scale_out and world.t < world.ends_until and rng.random() < 0.8:
            world.ended_leaders += 1
            world.after(rng.uniform(0.0, 2.5), world.end_if_up, self, life)


class QuickBoots(DeafMachines):
    """All machines are up within two seconds, some of them are gone again within seconds; writes lag, leaders end."""

    process = QuickNode
    ends_until = 110.0
    rented = ended_leaders = 0

    def __init__(self, *args, **more):
        self.ran = Counter()
        super().__init__(*args, **more)

    def end_if_up(self, sim, life):
        if sim.life == life:
            self.end(sim, self.rng.choice([0.2, 2.0, 12.0]))

    def rent(self, kind, count):
        names = super().rent(kind, count)
        for name in names:
            self.after(self.rng.uniform(0.2, 2.0), self.boot, name, kind)  # the slow boot of the world finds it up
        return names

    def boot(self, name, kind):
        if name not in self.kinds or self.machines[name] is not None:
            return
        worker = self.machines[name] = QuickWorker(self, name, kind)
        short = self.rng.random() if self.t < self.ends_until else 1.0
        at = self.rng.uniform(0.3, 5.0)
        if short < 0.15:
            self.after(at, worker.die)
        elif short < 0.3:
            worker.recall_at = self.t + at
        elif short < 0.5:  # around its lease, so that it lapses or nearly does
            self.after(at, setattr, worker, "hangs_until", self.t + at + self.rng.uniform(10.0, 30.0))

    def known(self):
        """All machines, as their parts know them."""
        return {
            name: machine
            for sim in self.nodes.values()
            if sim.core is not None
            for name, machine in sim.core.machine_shard.machines.items()
        }

    def make_job(self, number):
        spec = super().make_job(number)
        return msgspec.structs.replace(spec, estimate_s=min(spec.estimate_s, 40.0))

    def late_writes(self, from_s, for_s):
        self.after(from_s, self.bring, "late_writes", next(iter(self.nodes.values())), for_s)
        self.after(from_s, self.bring, "slow_store", next(iter(self.nodes.values())), for_s)


@pytest.mark.parametrize("seed, nodes", ((44, 3), (35, 5)))
def test_machines_that_boot_at_once_run_nothing_unrecorded_and_are_used_or_returned(seed, nodes):
    world = QuickBoots(seed, jobs=24, nodes=nodes, machines=200)
    world.late_writes(3.0, 50.0)
    world.late_writes(65.0, 40.0)
    world.run(210.0)
    world.remembered()
    assert world.ended_leaders >= 2 and world.starts > 20
    known = world.known()
    for name, (_, since) in world.kinds.items():
        worker = world.machines[name]
        if (
            world.t - since > constants.BOOT_PATIENCE * 10.0 + constants.LOST_MACHINE_S + OUT_S + 20.0
        ):  # rented that long ago
            assert worker is not None and worker.alive, f"{name} is gone, or never came, and is paid for"
            assert known[name].recorded, f"{name} is up, and nobody's"
    assert not [
        job
        for job in world.accepted
        if job not in world.said
        and not world.specs[job].service
        and world.specs[job].team == "free"
        and job not in world.cancelled_at
    ]


# -- mute machines, and old reports for a new leader ------------------------------------
OLD = [
    [RUNNING],
    [],
    [ReportedTask("wk-1/0", 60, "ended", "done")],
    [ReportedTask("wk-1/0", 60, "ended", "halted")],
    [ReportedTask("wk-1/0", 60, "ended", "error")],
]


@pytest.mark.parametrize("shows", OLD)
def test_old_heartbeats_tell_nothing_to_a_controller_that_was_owner_and_becomes_it_again(shows):
    """Owner under 5 and 7, another under 6; copies and reports held back, first that of the highest mandate."""
    one = Reports()
    one.heartbeat(1.0, 50)
    one.machine_shard.enter(6, ["host-0", "host-1"], {}, 2.0, True, True)
    assert "n-1" not in one.machine_shard.machines
    one.enter(7, 10.0, carry=True)
    one.told_home()
    for fencing_token, sequence, incarnation in ((6, 60, 2), (6, 61, 2), (5, 51, 1), (5, 99, 1)):
        one.heartbeat(10.5, sequence, fencing_token=fencing_token, incarnation=incarnation, tasks=shows)
        assert not one.machine.acknowledged and not one.machine.tasks and not one.told_home() and not one.orders()
    assert one.machine.last_sequence == (2, 61), "the highest mandate came first: all others are older"
    one.heartbeat(10.6, 58, fencing_token=6, incarnation=2, tasks=shows, asked=True)
    one.heartbeat(10.6, 61, fencing_token=7, incarnation=2, tasks=shows, asked=True)
    assert not one.machine.acknowledged, "an acknowledgement is newer than all reports of an older mandate"
    one.heartbeat(11.0, 62, fencing_token=7, incarnation=2, tasks=[RUNNING], asked=True)
    assert one.machine.acknowledged and one.told_home() == [([0], [])]
    for fencing_token, sequence in ((6, 60), (6, 61), (7, 62)):
        assert one.heartbeat(12.0, sequence, fencing_token=fencing_token, incarnation=2, tasks=shows) is None
    assert not one.told_home() and one.machine.last_heartbeat_at == 11.0


@pytest.mark.parametrize("shows", OLD)
def test_a_heartbeat_held_back_for_the_next_view_changes_nothing_of_what_was_carried_over(shows):
    """Newer than all that was heard, and of the view before: it shows what was ordered, what has ended, or not."""
    one = Reports()
    one.heartbeat(1.0, 1, tasks=[RUNNING])
    one.grant(3, 73)
    assert one.orders() == [("run", "wk-1/3", 73)]
    one.enter(6, 2.0, settle=False, carry=True)
    one.told_home()
    one.heartbeat(2.1, 2, fencing_token=5, tasks=shows)
    assert not one.told_home()
    one.machine_shard.leases.settle(3.0)
    assert one.told_home() == [([0], [("wk-1", 3, 73)])]
    assert (
        one.heartbeat(3.1, 2, fencing_token=5, tasks=shows) is None and one.heartbeat(3.2, 1, tasks=[RUNNING]) is None
    )
    assert not one.told_home()
    one.heartbeat(4.0, 3, fencing_token=6, tasks=[RUNNING])
    assert one.told_home() == [([0], [])], "this one is proof that 73 is not there"


class MuteWorker(SimWorker):
    """For a while it reaches no controller; commands reach it, and are answered."""

    mute_until = 0.0

    def send_heartbeat(self):
        if not self.alive or self.world.t >= self.mute_until or self.world.t < self.hangs_until:
            return super().send_heartbeat()
        self.tick()
        self.sequence += 1  # of a report that nobody hears
        self.in_flight += 1
        self.next_node()

    def command(self, fencing_token, incarnation, reply):
        self.tick()
        if incarnation != self.incarnation and self.alive:  # 409, and asked again as ``WorkerProber`` does
            self.world.after(self.way(), super().command, fencing_token, self.incarnation, reply)
        else:
            super().command(fencing_token, incarnation, reply)

    def carry_out(self, order):
        if order["verb"] == "run" and self.world.t < self.mute_until:
            raise Broken(f"run by a mute machine: {order['part']} on {self.name}")
        super().carry_out(order)


class Keeping(World.process):
    """Some reports are kept for the next leader, copies or the report itself; see ``Mute.deliver``."""

    def heartbeat(self, raw, reply, again=False):
        world = self.world
        if not again and world.rng.random() < world.held_share:
            world.held_reports.append(raw)
            if world.rng.random() < 0.3:
                return  # held back: nobody has heard it yet
        super().heartbeat(raw, reply)


class Mute(DeafMachines):
    process = Keeping
    held_share = 0.0

    def __init__(self, *args, **more):
        self.held_reports, self.view_seen, self.delivered = [], 0, 0
        super().__init__(*args, **more)
        self.after(0.0, self.deliver)

    def boot(self, name, kind):
        if name in self.kinds:
            self.machines[name] = MuteWorker(self, name, kind)

    def make_job(self, number):
        """Half of the jobs have many short tasks, so that some begin and end in each moment."""
        spec = super().make_job(number)
        if number % 2:
            return spec
        return msgspec.structs.replace(spec, kind="sweep", team="free", tasks=30, cpus=1.0, estimate_s=8.0)

    def deliver(self):
        """As a new view begins, or when it has acted for some seconds, all controllers get what was kept."""
        revision = self.store.data[VIEW][1] if VIEW in self.store.data else 0
        if revision != self.view_seen:
            self.view_seen, kept, self.held_reports = revision, self.held_reports, []
            for raw in kept:
                at = self.rng.choice([0.0, 0.2, 0.5, self.rng.uniform(0.5, 8.0), self.rng.uniform(8.0, 2 * LEASE_S)])
                for sim in self.nodes.values():
                    self.after(at + self.rng.uniform(0.0, 0.3), sim.heartbeat, raw, lambda status, body: None, True)
            self.delivered += len(kept)
        self.after(0.05, self.deliver)

    def mute(self, share, for_s):
        for worker in self.rng.sample(self.workers(), int(len(self.workers()) * share)):
            worker.mute_until = self.t + for_s
            if self.rng.random() < 0.8:
                worker.held_up_until = self.t + for_s

    def runs(self, machines):
        """Tasks that homes have on these machines."""
        return [
            (name, index, run.state)
            for sim in self.nodes.values()
            if sim.core is not None
            for name, job in sim.core.job_shard.jobs.items()
            for index, run in job.runs.items()
            if run.machine in machines
        ]


def test_five_controllers_get_an_old_heartbeat_as_a_new_leader_begins_and_none_takes_it_for_news():
    """Reports from before, some of which nobody has heard, at all five: at once, and when the new leader has acted."""
    world = Mute(9, jobs=24, nodes=5)
    world.run(40.0)
    world.held_share = 1.0
    world.run(45.0)
    world.held_share, kept, world.held_reports = 0.0, world.held_reports, []
    leader = world.leader()
    fencing_token = leader.core.membership.fencing_token
    world.end(leader, 30.0)

    def newer():
        return [
            sim.core for sim in world.nodes.values() if sim.core and sim.core.membership.fencing_token > fencing_token
        ]

    def known(core):
        """What a part knows of its machines, and a home of its tasks."""
        return (
            {
                name: (
                    one.acknowledged,
                    one.state,
                    dict(one.tasks),
                    dict(one.prior_view.unconfirmed),
                    dict(one.orders.pending),
                )
                for name, one in core.machine_shard.machines.items()
            },
            {name: (dict(job.runs), set(job.unknown), job.done.count) for name, job in core.job_shard.jobs.items()},
        )

    while not newer():
        world.run(world.t + 0.02)
    heard = set()
    for pause in (0.0, 0.2, 3.0, 9.0):
        world.run(world.t + pause)
        for raw in kept:
            for core in newer():
                machines, jobs = known(core)
                world.nodes[core.me].heartbeat(raw, lambda status, body: None, True)
                after, jobs_after = known(core)
                assert jobs_after == jobs and {name: after[name] for name in machines} == machines
                heard.add(core.me)
    assert len(kept) > 5 and len(heard) == 4
    world.run(world.t + OUT_S)
    assert not world.inherited()


@pytest.mark.parametrize("lost", (True, False))
def test_a_mute_machine_expires_by_the_clock_whatever_it_answers_to_commands(lost):
    """Three views within a lease: each asks it. Its last one may have no answer, or one of its new session."""
    one = Reports()
    one.heartbeat(1.0, 1, tasks=[RUNNING], asked=True)
    assert one.machine.acknowledged and one.told_home() == [([0], [])]
    one.enter(6, 8.0)
    one.heartbeat(9.0, 3, fencing_token=6, tasks=[RUNNING], asked=True)
    assert one.told_home() == [([0], [])]
    assert one.heartbeat(10.0, 4, fencing_token=6, asked=True) is None and one.machine.last_heartbeat_at == 9.0
    one.enter(7, 16.0)
    if not lost:
        one.heartbeat(19.0, 1, fencing_token=7, incarnation=2, asked=True)
        assert one.machine.state is MachineState.UP and one.told_home() == [([], [])], "its lease is out, by itself"
        return
    one.machine_shard.leases.check(9.0 + OUT_S - 0.1)
    assert one.machine.state is MachineState.EXPECTED and not one.told_home()
    one.machine_shard.leases.check(9.0 + OUT_S + 0.1)
    assert one.machine.state is MachineState.EXPIRED and one.told_home() == [([], [])], "16 s is no beginning"
    for incarnation, sequence in ((1, 5), (2, 1)):
        one.heartbeat(
            30.0,
            sequence,
            fencing_token=7,
            incarnation=incarnation,
            tasks=[RUNNING] if incarnation == 1 else [],
            asked=True,
        )
        assert one.machine.state is MachineState.EXPIRED and not one.told_home() and not one.orders()
    one.heartbeat(40.0, 2, fencing_token=7, incarnation=2)
    assert one.machine.state is MachineState.UP and one.machine_shard.capacity.candidate(one.machine, 40.0) is None, (
        "put anew first"
    )
    one.machine_shard.records.on_recorded("n-1")
    assert one.machine_shard.capacity.candidate(one.machine, 40.0) is not None


def test_a_machine_that_is_heard_by_command_alone_is_given_no_task():
    """It can't be told to run any: what is kept for it would wait until it lapses."""
    alone, name = Alone(), "n-000001"
    alone.up(name)
    alone.view("host-0")
    alone.t += SETTLED_S
    alone.follow()
    job = alone.job()
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
    assert machine.orders.pending, "its next report brings it"


class Many(Mute):
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


def test_nothing_waits_for_a_hundred_mute_machines_when_the_leader_ends():
    """All their tasks, inherited or not, are free once their leases are out; jobs on them are cancelled meanwhile."""
    world = Many(6, machines=125)
    world.run(45.0)
    leader, fencing_token = world.leader(), world.leader().core.membership.fencing_token
    busy = sorted(set(world.on.values()))
    mute = set(world.rng.sample(busy, 100))
    for name in mute:
        world.machines[name].mute_until = world.t + 240.0
    world.run(world.t + 3.0)
    world.end(leader, 30.0)
    for job in sorted({part.split("/")[0] for part, name in world.on.items() if name in mute})[:4]:
        world.withdraw(job)
    while all(sim.core is None or sim.core.membership.fencing_token == fencing_token for sim in world.nodes.values()):
        world.run(world.t + 0.25)
    began = world.t
    world.run(began + 4.0)
    known = {
        name: machine
        for sim in world.nodes.values()
        if sim.core is not None
        for name, machine in sim.core.machine_shard.machines.items()
    }
    acknowledged = [name for name in mute if known[name].acknowledged]
    assert len(acknowledged) > 70, "they are asked, and acknowledge; some of the commands are late"
    assert world.runs(set(acknowledged)), "what they run counts as theirs until proof"
    world.run(began + OUT_S + 4.0)
    assert not world.inherited()
    world.run(began + 2 * OUT_S + 4.0)  # an acknowledgement that came late, and the lease from there
    assert not world.runs(mute) and not any(name in mute for name in world.on.values())
    homes = [sim.core.job_shard.jobs for sim in world.nodes.values() if sim.core is not None]
    assert not [job for jobs in homes for job in jobs.values() if job.state is JobState.ABORTED and job.on_machines]
    aborted = [job for job, at in world.cancelled_at.items() if at < float("inf")]
    assert aborted and all(world.said[job] == "aborted" for job in aborted)


def test_a_mute_machine_that_speaks_again_gets_work():
    world = Mute(8, jobs=20)
    world.run(50.0)
    mute = [worker.name for worker in world.workers()]
    for name in mute:
        world.machines[name].mute_until = world.t + 50.0
    world.run(60.0)
    world.end(world.leader(), 2.0)
    world.run(97.0)  # an acknowledgement may be late by seconds, and counts for a lease
    assert not world.runs(mute) and not any(name in mute for name in world.on.values())
    world.run(125.0)
    assert any(name in mute for name in world.on.values())


@pytest.mark.parametrize("seed, nodes", ((63, 5), (66, 3)))
def test_rules_hold_while_machines_are_mute_and_old_heartbeats_meet_new_leaders(seed, nodes):
    """Leaders end every 4 to 20 s; some for long, so that machines change hands there and back."""
    world = Mute(seed, jobs=24, nodes=nodes)
    world.held_share = 0.2
    at = 20.0
    while at < 120.0:
        world.after(at, lambda: world.mute(world.rng.uniform(0.2, 0.8), world.rng.uniform(3.0, 40.0)))
        world.after(at + 2.0, world.end_leaders, 1, 0.0)
        world.after(at + 3.0, lambda: world.end(world.rng.choice(list(world.nodes.values())), 11.0))
        world.after(at + 1.0, world.cancel_any)
        at += world.rng.uniform(4.0, 20.0)
    world.run(125.0)
    world.held_share = 0.0
    world.run(220.0)
    world.remembered()
    assert world.delivered > 10 and world.starts > 60
    assert not world.inherited()
