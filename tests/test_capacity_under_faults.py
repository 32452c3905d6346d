"""A stream of one-task jobs, more work than room, zones away: all of it goes on within bounds.

``Judge`` keeps its own account of what could run, from the workers' own state, and asks no controller.
"""

import json
import math
from collections import deque

import msgspec
import pytest
from simulation import BEGIN_S, LABELS, LEASE_S, TEAMS, TYPES, Broken, SimController, SimWorker, World

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
from alderbridge.scheduling.resources import Resources, fits, minus
from alderbridge.settings import NextStateLimits

STANDING_S = 8  # s; more than two reports and the answers to them
AWAY = "a"  # the zone that is cut off
ROOM_WAIT_S = 90.0  # nothing waits so long beside room, once all faults are over


class Judge:
    """Which jobs wait while a machine has room for one of their tasks, and since when."""

    def __init__(self, world: World, since: float) -> None:
        self.world, self.since = world, since
        self.waiting: dict[str, float] = {}  # job -> since when it waits beside room
        self.started: dict[str, int] = {}  # job -> how many starts of it were counted then
        self.longest = 0.0
        self.rooms: dict[str, deque[Resources]] = {}  # what each machine had free at the last looks
        world.after(max(0.0, since - world.t), self.look)

    def status(self, worker) -> Resources:
        """What it has had free for ``STANDING_S``: what ended a moment ago is told, and given, with its reports."""
        seen = self.rooms.setdefault(worker.name, deque(maxlen=STANDING_S))
        seen.append(self.free(worker))
        return tuple(map(min, zip(*seen, strict=True))) if len(seen) == STANDING_S else (0.0, 0.0, 0.0)

    def free(self, worker) -> Resources:
        kind = TYPES[worker.kind.type]
        room = (kind.cpus, kind.memory_gb, kind.gpus)
        for part, task in worker.tasks.items():
            if task.status != "ended":
                room = minus(room, self.world.specs[wire.split_task_id(part)[0]], 1)
        return room

    def look(self) -> None:
        world, now = self.world, self.world.t
        rooms, held, used = [], {}, {}
        for worker in world.machines.values():
            if worker is None or not worker.alive:
                continue
            free = self.status(worker)
            for part, task in worker.tasks.items():
                if task.status != "ended":
                    job = wire.split_task_id(part)[0]
                    held.setdefault(job, []).append((part, worker.kind.zone))
                    team = world.specs[job].team
                    used[team] = used.get(team, 0.0) + world.specs[job].cpus
            if (
                now >= max(worker.hangs_until, worker.cut_until, worker.deaf_until)
                and not worker.faulty
                and worker.recall_at is None
            ):
                rooms.append((worker.kind, free))
        limits = {team.name: team.cpus_max for team in TEAMS if team.cpus_max}
        beside = set()
        for job in world.accepted:
            spec = world.specs[job]
            if job in world.said or job in world.cancelled_at:
                continue
            there = held.get(job, [])
            here = {part for part, _ in there}
            if all(f"{job}/{index}" in world.completed or f"{job}/{index}" in here for index in range(spec.tasks)):
                continue
            if spec.cpus > limits.get(spec.team, math.inf) - used.get(spec.team, 0.0) + 1e-9:
                continue
            zones = [zone for _, zone in there]
            for kind, room in rooms:
                if (
                    fits(spec, room)
                    and placement.allowed(spec, kind.type, kind.zone, kind.spot)
                    and not (spec.one_zone and zones and kind.zone not in zones)
                    and not (spec.spread and zones.count(kind.zone) >= math.ceil(spec.tasks / 2))
                ):
                    beside.add(job)
                    break
        for job in list(self.waiting):
            if job not in beside or world.starts_of.get(job, 0) != self.started[job]:
                del self.waiting[job]
        for job in beside:
            since = self.waiting.setdefault(job, now)
            self.started.setdefault(job, 0)
            if since == now:
                self.started[job] = world.starts_of.get(job, 0)
            self.longest = max(self.longest, now - since)
            if now - since > ROOM_WAIT_S:
                raise Broken(f"waits: {job} since {since:.1f} beside room, {world.specs[job]}")
        world.after(1.0, self.look)


class RoomsNode(SimController):
    """Its store refuses changes beyond its rate, for a moment; its users hear of it when their jobs are taken."""

    def call(self, then, fail, method, *args, too_large=None) -> None:
        def answered(answer) -> None:
            if isinstance(answer, wire.TransactionResult) and answer.revision < 0:  # 429, as ``RecordWriter`` takes it
                budget = self.core.write_rate_limit.budget
                budget.spend(self.world.t, max(0.0, budget.available(self.world.t)))
                answer = wire.TransactionResult(0, [VIEW])
            then(answer)

        super().call(answered, fail, method, *args, too_large=too_large)

    def tell_users(self) -> None:
        for item in self.core.effects.notifications:
            if isinstance(item, Submission):
                self.world.decided(item)
        super().tell_users()


class Rooms(World):
    """Users send, cancel and ask; what they are told, and when, is kept."""

    process = RoomsNode

    def __init__(self, seed, write_rps=60.0, machines=20, **more) -> None:
        self.starts_of: dict[str, int] = {}
        self.accepted_at: dict[str, float] = {}
        self.sent_at: dict[str, float] = {}
        self.late_starts: list[str] = []  # ordered after their job was confirmed as cancelled
        self.hopes: dict[Submission, tuple] = {}
        self.takes_users = list(LABELS)
        super().__init__(
            seed,
            jobs=0,
            random_faults=False,
            nodes=5,
            machines=machines,
            coming=NextStateLimits(write_rps=write_rps),
            **more,
        )
        self.has_concurrent_faults = True  # users cancel through any controller
        self.calm_at = math.inf  # when faults are over each test says to its own judge
        self.rate, self.level, self.filled_at, self.too_fast, self.changes = write_rps, write_rps, 0.0, 0, 0
        commit = self.store.commit

        def limited(conditions, puts, drops=(), lease_id=None):
            self.level = min(self.rate, self.level + (self.t - self.filled_at) * self.rate)
            self.filled_at = self.t
            count = len(puts) + len(drops)
            if count > self.level:
                self.too_fast += 1
                return wire.TransactionResult(-1)
            answer = commit(conditions, puts, drops, lease_id)
            self.level -= count
            self.changes += 0 if answer.failed else count
            return answer

        self.store.commit = limited

    # -- users

    def send(self, spec: wire.JobSpec) -> None:
        self.specs[spec.id] = spec
        self.first_asked[spec.id] = self.sent_at[spec.id] = self.t
        self.attempt(spec)

    def attempt(self, spec: wire.JobSpec) -> None:
        if spec.id in self.accepted_at:  # its user was told; the store may have had it before
            return
        healthy = [
            label for label in self.takes_users if (core := self.nodes[label].core) is not None and core.may_act()
        ]
        if not healthy:
            self.after(1.0, self.attempt, spec)
            return
        sim = self.nodes[self.rng.choice(healthy)]
        if sim.core.directory.knows_job(spec.id):
            if self.question(sim, spec.id) is not None:
                self.taken(spec.id)
            else:
                self.after(2.0, self.attempt, spec)
            return
        submission = sim.core.submissions.submit(spec, self.t, self.t + sim.ahead_s)
        life = (sim, sim.life)
        self.hopes[submission] = (spec, life)
        self.after(constants.SUBMIT_WAIT_S, self.given_up, submission)

    def decided(self, submission: Submission) -> None:
        spec, _ = self.hopes.pop(submission, (None, None))
        if spec is None:
            return
        if submission.outcome == "accepted":
            self.taken(spec.id)
        else:
            self.after(constants.RETRY_AFTER_S, self.attempt, spec)

    def given_up(self, submission: Submission) -> None:
        if submission in self.hopes:  # 503, or its controller is gone
            spec, _ = self.hopes.pop(submission)
            self.after(constants.RETRY_AFTER_S, self.attempt, spec)

    def taken(self, job: str) -> None:
        if job not in self.accepted_at:
            self.accepted.add(job)
            self.accepted_at[job] = self.t
            self.after(self.rng.uniform(1.0, 5.0), self.poll, job)

    def poll(self, job: str) -> None:
        if job not in self.said:
            super().poll(job)

    def ordered(self, part: str) -> None:
        job = wire.split_task_id(part)[0]
        if self.t > self.cancelled_at.get(job, math.inf) + 0.5:  # before that it may have been on its way
            self.late_starts.append(part)

    def entered(self, part, worker) -> None:
        super().entered(part, worker)
        job = wire.split_task_id(part)[0]
        self.starts_of[job] = self.starts_of.get(job, 0) + 1

    @property
    def leader(self) -> RoomsNode:
        return self.nodes[msgspec.json.decode(self.store.data[VIEW][0], type=View).leader]


def array(number, **more):
    """One task of one CPU that may run anywhere, but for what is named."""
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
    return msgspec.structs.replace(spec, **more)


# -- a stream of one-task jobs -------------------------------------------------------------


class Stream(Rooms):
    """``rate`` jobs a second, of which users cancel each fourth within seconds, some at once."""

    def __init__(self, seed, for_s=130.0, rate=4.0, at=20.0, **more) -> None:
        super().__init__(seed, **more)
        self.over = at + for_s
        for number in range(int(for_s * rate)):
            spec = array(number, estimate_s=self.rng.uniform(2.0, 9.0), priority=self.rng.choice(wire.PRIORITIES))
            self.after(at + number / rate, self.send, spec)

    def taken(self, job):
        if job not in self.accepted_at and int(job[3:]) % 4 == 0:
            self.after(self.rng.choice([0.0, self.rng.uniform(0.0, 8.0)]), self.withdraw, job)
        super().taken(job)

    def backlog(self):
        nodes = [sim.core for sim in self.nodes.values() if sim.core is not None]
        return sum(len(core.submissions.pending) + len(core.job_shard.tally.lagging) for core in nodes)


def stream(seed, users=None, alone=False, until=0.0, leader_ends=True, **more):
    """``users``: the controllers that take them. ``alone``: that one goes on, the others are away from the start."""
    world = Stream(seed, **more)
    world.takes_users = users or world.takes_users
    world.run(15.0)
    for sim in world.nodes.values() if alone else ():
        if sim.label not in users:
            sim.crash()
    if leader_ends:
        world.run(55.0)
        world.end(world.leader, 6.0)
    world.run(70.0)
    judge = Judge(world, world.t)
    world.run(until or world.over + 35.0)
    return world, judge


def waits(world):
    """How long users waited for their submissions, in s, the shortest first; for those not taken until now."""
    return sorted(world.accepted_at.get(job, world.t) - at for job, at in world.sent_at.items())


def test_a_stream_of_one_task_jobs_is_taken_done_and_cancelled_though_a_leader_ends():
    world, judge = stream(1, write_rps=35.0, for_s=122.0)
    assert len(world.accepted) == len(world.sent_at) == 488
    found = waits(world)
    assert found[-1] < 10.0 and found[int(0.9 * len(found))] < 0.3
    assert {world.said.get(job) for job in world.accepted if int(job[3:]) % 4} == {"done"}
    ends = [world.said.get(job) for job in world.accepted if int(job[3:]) % 4 == 0]
    assert set(ends) <= {"done", "aborted"} and ends.count("aborted") > 80
    assert not world.late_starts and judge.longest < ROOM_WAIT_S
    # nothing is left of them but a word each: no record to be written, no order, no task held or counted
    assert world.backlog() == 0 and not world.on
    for sim in world.nodes.values():
        core = sim.core
        assert not (
            core.job_shard.jobs
            or core.replica.active
            or core.replica.left
            or core.job_shard.jobs_by_machine
            or core.submissions.pending
        )
        assert not any(core.job_shard.usage.used().values()) and len(core.replica.by_age) <= constants.QUEUE_ROWS // 10
        assert not any(
            one.orders.stops or one.orders.pending or one.reserved for one in core.machine_shard.machines.values()
        )


@pytest.mark.parametrize("alone", (False, True))
def test_one_controller_takes_a_stream_where_the_others_leave_their_share_of_the_changes(alone):
    """Its equal share is a fifth of what the store takes: users waited there for up to 34 s."""
    world, _ = stream(2, users=["host-2"], alone=alone, write_rps=35.0, for_s=60.0, leader_ends=False)
    found = waits(world)
    assert len(world.accepted) == 240 and found[int(0.9 * len(found))] < 2.0 and found[-1] < 5.0
    assert world.backlog() == 0 and not world.nodes["host-2"].core.job_shard.jobs, "all ended in the store"
    assert world.too_fast <= 3, "the store is hardly ever asked for more than it takes"


def test_submissions_have_their_turn_among_ends_where_both_are_more_than_the_budget():
    world = Rooms(3)
    world.run(5.0)
    core = world.nodes["host-1"].core
    for number in range(40):
        core.submissions.submit(array(number), world.t, world.t)
    while core.submissions.pending:
        world.run(world.t + 0.5)
    submission = core.submissions.submit(array(99), world.t, world.t)
    for number in range(40):
        core.job_shard.jobs[f"wk-{number:06d}"].abort(world.t + 1.0 + (number > 20))
    core.submissions.submit(array(98), world.t + 1.5, world.t + 1.5)
    taken = []
    core.write_rate_limit.budget.available(world.t + 2.0)
    while len(taken) < 42:
        core.write_rate_limit.budget.level = 2.0 - constants.WRITE_AHEAD_SHARE * core.write_rate_limit.budget.burst
        batch = core.record_writer.next_batch(world.t + 2.0)
        taken += [job.spec.id for job, _, _ in batch.jobs] + [one.job.spec.id for one, _ in batch.submissions]
        core.batch_results.on_written(batch, world.store.revision, world.t + 2.0)
    assert submission.outcome == "accepted" and taken.index("wk-000099") < 2
    assert taken.index("wk-000098") in (22, 23), "behind the ends before it, two to a transaction"


# -- a zone that is cut off ----------------------------------------------------------------


class ZoneNode(RoomsNode):
    """While its zone is away it reaches that zone's workers alone, and nobody outside reaches them."""

    def inside(self) -> bool:
        return self.label == self.world.away and self.world.t < self.world.away_until

    def heartbeat(self, raw: bytes, reply) -> None:
        if self.world.t < self.world.away_until:
            if (json.loads(raw)["site"] == AWAY) != (self.label == self.world.away):
                return None
        return super().heartbeat(raw, reply)

    def lead(self) -> None:
        if not self.inside():  # the cloud is out of reach there
            super().lead()


class ZoneWorker(SimWorker):
    def command(self, fencing_token: int, incarnation: int, reply) -> None:
        """Packets from outside are held back until the zone is there again; from inside none has a newer mandate."""
        world = self.world
        if self.kind.zone == AWAY and world.t < world.away_until and fencing_token > world.mandate_inside:
            world.after(world.away_until - world.t + 0.01, self.command, fencing_token, incarnation, reply)
        else:
            super().command(fencing_token, incarnation, reply)


class Zones(Rooms):
    """Arrays bound to a zone, to one zone whichever, or spread over both; then a zone goes, and machines with it."""

    process = ZoneNode

    def __init__(self, seed, jobs=30, machines=24, **more) -> None:
        self.away, self.away_until, self.mandate_inside = "", 0.0, 0
        super().__init__(seed, machines=machines, **more)
        rng = self.rng
        for number in range(jobs):
            where = [{"zone": "a"}, {"zone": "b"}, {"one_zone": True}, {"spread": True}][number % 4]
            spec = array(
                number,
                tasks=rng.randint(2, 9),
                cpus=rng.choice([1.0, 2.0]),
                **where,
                estimate_s=rng.uniform(15.0, 50.0),
                team="free" if number % 6 else "bound",
            )
            self.after(rng.uniform(5.0, 60.0), self.send, spec)

    def boot(self, name, kind) -> None:
        if name in self.kinds:
            self.machines[name] = ZoneWorker(self, name, kind)

    def question(self, sim, job):
        return None if sim.inside() else super().question(sim, job)

    def cut_zone(self, label: str, for_s: float, dead: float) -> None:
        """``dead``: of the machines in each zone, the share that ends at the moment of the cut."""
        sim = self.nodes[label]
        self.away, self.away_until = label, self.t + for_s
        self.mandate_inside = self.store.data[VIEW][1]
        sim.cut_store_until = sim.cut_mesh_until = self.away_until
        self.takes_users = [one for one in LABELS if one != label]
        self.after(for_s, setattr, self, "takes_users", list(LABELS))
        for worker in [one for one in self.machines.values() if one is not None and one.alive]:
            if self.rng.random() < dead:
                worker.die()


def zone_away(seed, is_leader, for_s, dead=0.2, until=150.0, **more):
    world = Zones(seed, **more)
    world.run(45.0)
    label = world.leader.label if is_leader else min(set(LABELS) - {world.leader.label})
    there = [part for part, name in world.on.items() if world.machines[name].kind.zone == AWAY]
    world.cut_zone(label, for_s, dead)
    world.run(45.0 + for_s + 15.0)
    judge = Judge(world, world.t)
    world.run(45.0 + for_s + until)
    return world, judge, there


@pytest.mark.parametrize("seed, is_leader, for_s", [(1, True, 30.0), (2, False, 50.0)])
def test_a_zone_with_workers_and_a_controller_is_away_for_longer_than_a_lease(seed, is_leader, for_s):
    """Nothing runs outside its zone, or where tasks may still run inside; when the zone is back all of it is done."""
    world, judge, there = zone_away(seed, is_leader, for_s)
    assert len(there) >= 5, "tasks ran in there"
    assert {world.said.get(job) for job in world.accepted} == {"done"} and len(world.accepted) == 30
    assert judge.longest < ROOM_WAIT_S


def test_where_inherited_tasks_may_be_others_wait():
    """Together: none is placed while one that is not accounted for may be elsewhere; apart: it counts in each zone."""
    for more, before, after in (({"one_zone": True}, (0, 0), (0, 0)), ({"spread": True}, (0, 0), (1, 0))):
        job = Job(Record(JobState.ACTIVE, "host-0", 0.0, 4, [], array(1, tasks=4, **more)), 1, 0.0, 0.0)
        job.adopt(0, TaskRun("n-1", "b", 7, 0, TaskState.RUNNING, 0.0))
        job.adopt(1, TaskRun("n-1", "b", 8, 0, TaskState.RUNNING, 0.0))
        assert (job.room_in("a"), job.room_in("b")) == before
        job.requeue(0)
        job.finish_task(2, 0.0)  # found where it ended
        assert (job.room_in("a"), job.room_in("b")) == after
        job.requeue(1)
        assert job.waiting == 2 and (job.room_in("a") > 0) is ("spread" in more)
        job.requeue(3)
        assert job.room_in("a") and job.room_in("b")


def test_inherited_tasks_wait_for_the_machines_of_a_zone_that_is_away(monkeypatch):
    """The guard taken out: without the barrier they start while they run on in there."""
    enter = JobShard.enter

    def no_barrier(self, fencing_token, jobs, machines):
        enter(self, fencing_token, jobs, machines)
        self.inherited.barrier = Barrier({})
        self.inherited.release()

    monkeypatch.setattr(JobShard, "enter", no_barrier)
    with pytest.raises(Broken, match="ran_twice"):
        zone_away(2, False, 50.0)


# -- more work than room -------------------------------------------------------------------


class Crowd(Rooms):
    """Urgent work and other, some three times what the machines can do while it comes; a few need whole machines."""

    def __init__(self, seed, for_s=100.0, jobs=44, **more) -> None:
        super().__init__(seed, machines=5, **more)
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
            self.after(5.0 + for_s * number / jobs, self.send, spec)

    def slow_links(self, until: float) -> None:
        self.late_share = 0.3  # of the frames, up to 5 s
        self.store.slow_by, self.store.slow_until = 40.0, until
        self.after(until - self.t, setattr, self, "late_share", 0.001)


def crowd(seed, away_s=0.0, until=420.0):
    world = Crowd(seed)
    world.run(20.0)
    world.slow_links(100.0)
    world.run(60.0)
    if away_s:
        for sim in world.nodes.values():
            world.end(sim, away_s + world.rng.uniform(0.0, 2.0))
    world.run(110.0)
    judge = Judge(world, world.t)
    while world.t < until and len(world.said) < len(world.specs):
        world.run(world.t + 10.0)
    return world, judge


def begin_waits(world, priority):
    return sorted(
        world.began.get(job, world.t) - world.sent_at[job]
        for job in world.sent_at
        if world.specs[job].priority == priority
    )


@pytest.mark.parametrize("seed, away_s", [(1, 0.0), (2, LEASE_S + 8.0)])
def test_with_more_work_than_room_the_urgent_goes_first_and_nobody_starves(seed, away_s):
    world, judge = crowd(seed, away_s)
    urgent, other = begin_waits(world, "production"), begin_waits(world, "best_effort")
    assert urgent[len(urgent) // 2] < other[len(other) // 2] and other[-1] < BEGIN_S
    assert not world.late_largest() and judge.longest < ROOM_WAIT_S
    assert {world.said.get(job) for job in world.accepted} == {"done"} and len(world.accepted) == len(world.specs)


def no_room_in_a_zone(monkeypatch):
    candidate = MachineCapacity.candidate
    monkeypatch.setattr(
        MachineCapacity,
        "candidate",
        lambda self, machine, now: None if machine.zone == "b" else candidate(self, machine, now),
    )


def reservations_stay(monkeypatch):
    """What was asked of a home counts as taken for ever, whatever it granted."""
    on_task_grant = MachineShard.on_task_grant
    monkeypatch.setattr(
        MachineShard,
        "on_task_grant",
        lambda self, label, grant, now: on_task_grant(self, label, msgspec.structs.replace(grant, request_id=-1), now),
    )


@pytest.mark.parametrize("fault", (no_room_in_a_zone, reservations_stay))
def test_the_judge_sees_what_waits_beside_room(monkeypatch, fault):
    fault(monkeypatch)
    world = Zones(5, jobs=16, machines=4)
    world.run(40.0)
    Judge(world, world.t)
    with pytest.raises(Broken, match="waits"):
        world.run(170.0)
