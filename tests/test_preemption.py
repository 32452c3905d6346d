"""Priority preemption: invariants of claims under faults, victim selection, and parsing of priority classes."""

import configparser
import random
import re
from collections import Counter, deque

import msgspec
import pytest
from simulation import TEAMS, TYPES, InvariantViolation, World

from alderbridge import preemption
from alderbridge.claims.ledger import Ledger
from alderbridge.claims.records import PreemptionClaim, PreemptionUsage
from alderbridge.jobs.record import JobState, Record
from alderbridge.preemption import (
    CandidateMachine,
    PreemptionBudget,
    PreemptionDemand,
    PreemptionLimit,
    SelectionRules,
    Victim,
    select_victims,
)
from alderbridge.preemption.planner import PreemptionPlanner
from alderbridge.priorities import PriorityConfiguration, check_lines, demands, parse, policy
from alderbridge.protocol import wire
from alderbridge.protocol.keys import CLAIMS, JOBS, PREEMPTION_BUDGETS
from alderbridge.scheduling.demand import MachineKind
from alderbridge.scheduling.placement import allowed
from alderbridge.scheduling.resources import remaining_after, tasks_that_fit
from alderbridge.settings import ConfigError

INI = """
[class */urgent]
workloads = soon
urgency = high, production
may preempt = *
preemptible = yes
least run = 1
stops a minute = 12
stops at once = 8
share = 0.5
[class */routine]
preemptible = yes
least run = 2
most stops = 2
waits at most = 300
"""


def parse_priorities(text=INI) -> PriorityConfiguration:
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(text)
    return parse(parser, "p.ini")


class ClaimsWorld(World):
    """Long routine jobs on a full fleet, bursts of urgent jobs, and faults right after claims are stored.

    Checks each stored claim against the contents of the store and the tasks on machines.
    """

    def __init__(self, seed: int, faults_after_claims: bool = True, **more) -> None:
        self.configuration = parse_priorities()
        self.stored_claims: dict[str, PreemptionClaim] = {}  # machine -> its stored claim
        self.preemption_counts: Counter[tuple[str, int]] = Counter()
        self.claimed_attempts: set[tuple[str, int]] = set()  # task id, attempt
        self.preemption_log: list[tuple[float, str, int]] = []  # time, team, victims
        self.remaining_s: dict[str, float] = {}
        # of the last 4 s: time, tasks by job that were on no machine, free capacity by machine
        self.samples: deque[tuple[float, Counter, dict]] = deque()
        self.claim_count = 0
        self.faults_after_claims, self.claim_faults_until = faults_after_claims, 150.0
        super().__init__(seed, jobs=0, machines=8, **more)
        commit = self.store.commit

        def checked_commit(conditions, puts, drops=(), lease_id=None):
            answer = commit(conditions, puts, drops, lease_id)
            if not answer.failed:
                self.check_commit(
                    {k[len(CLAIMS) :]: v for k, v in puts.items() if k.startswith(CLAIMS)},
                    [k[len(CLAIMS) :] for k in drops if k.startswith(CLAIMS)],
                )
            return answer

        self.store.commit = checked_commit
        for number in range(16):
            self.after(self.rng.uniform(1.0, 60.0), self.submit, self.routine(number))
        for number in range(8):
            self.after(self.rng.uniform(35.0, 140.0), self.submit, self.urgent(20 + number))
        self.after(0.5, self.sample)

    def on_core_created(self, core) -> None:
        core.preemption.priority_configurations = lambda now: [self.configuration]

    def routine(self, number: int) -> wire.JobSpec:
        rng, saves = self.rng, self.rng.random() < 0.5
        return msgspec.structs.replace(
            self.make_job(number),
            kind="sweep",
            priority=rng.choice(["best_effort", "standard"]),
            spot=True,
            team=rng.choice(["free"] * 4 + ["bound"]),
            tasks=rng.randint(4, 16),
            estimate_s=rng.uniform(15.0, 40.0),
            types=None,
            one_zone=False,
            spread=False,
            checkpoint_s=5.0 if saves else 0.0,
            save_s=rng.uniform(0.2, 3.0) if saves else 0.0,
        )

    def urgent(self, number: int) -> wire.JobSpec:
        return msgspec.structs.replace(
            self.make_job(number),
            kind="sweep",
            job_class="soon",
            priority=self.rng.choice(["high", "production"]),
            tasks=self.rng.randint(2, 6),
            estimate_s=self.rng.uniform(5.0, 30.0),
            spot=True,
            one_zone=False,
            spread=False,
        )

    def draw_run_time(self, task_id: str) -> float:
        return self.remaining_s.setdefault(task_id, super().draw_run_time(task_id))

    def on_checkpoint_started(self, task_id: str, remaining_s: float) -> None:
        self.remaining_s[task_id] = remaining_s

    def sample(self) -> None:
        unplaced: Counter[str] = Counter()
        for job in self.accepted:
            # A result that was never reported does not count: the task runs again.
            record = msgspec.json.decode(self.store.data[JOBS + job][0], type=Record)
            placed = sum(wire.split_task_id(task_id)[0] == job for task_id in self.running_on)
            if record.state is JobState.ACTIVE:
                unplaced[job] = self.specs[job].tasks - sum(high - low for low, high in record.done) - placed
        free = {name: self.free_capacity(worker) for name, worker in self.machines.items() if worker is not None}
        self.samples.append((self.t, unplaced, free))
        while self.samples[0][0] < self.t - 4.0:
            self.samples.popleft()
        self.after(0.25, self.sample)

    def max_recently_waiting(self, job: str) -> int:
        return max((unplaced[job] for _, unplaced, _ in self.samples), default=0)

    def free_capacity(self, worker):
        kind, tasks = TYPES[worker.kind.type], worker.tasks.items()
        free = (kind.cpus, kind.memory_gb, 0.0)
        for task_id, task in tasks:
            if task.status != "ended":
                free = remaining_after(free, self.specs[wire.split_task_id(task_id)[0]], 1)
        return free

    def lasting_free_capacity(self, spec: wire.JobSpec) -> int:
        """Tasks that would have fitted on unclaimed machines at every sample."""
        return sum(
            min(tasks_that_fit(spec, free[name]) if name in free else 0 for _, _, free in self.samples)
            for name, worker in self.machines.items()
            if worker is not None
            and name not in self.stored_claims
            and allowed(spec, worker.kind.type, worker.kind.zone, worker.kind.spot)
        )

    def within_guarantee(self, job: str) -> bool:
        """Whether the job and its team's earlier unfinished jobs fit the team's guarantee together."""
        guarantee = next(team.cpus for team in TEAMS if team.name == self.specs[job].team)
        records = {name: msgspec.json.decode(self.store.data[JOBS + name][0], type=Record) for name in self.accepted}
        reserved_cpus = sum(
            (self.specs[name].tasks - sum(high - low for low, high in record.done)) * self.specs[name].cpus
            for name, record in records.items()
            if record.state is JobState.ACTIVE
            and self.specs[name].team == self.specs[job].team
            and record.submitted_at <= records[job].submitted_at
        )
        return guarantee > 0 and reserved_cpus <= guarantee + 1e-9

    def running_victims(self, machine: str, claim: PreemptionClaim) -> int:
        """Victims whose same attempt is still on the machine."""
        worker = self.machines.get(machine)
        tasks = worker.tasks if worker is not None else {}
        return sum(
            f"{job}/{index}" in tasks
            and tasks[f"{job}/{index}"].attempt == attempt
            and tasks[f"{job}/{index}"].status != "ended"
            for job, index, attempt in claim.victims
        )

    def check_commit(self, new: dict, dropped: list[str]) -> None:
        for machine in dropped:
            self.stored_claims.pop(machine, None)
        for machine, claim in new.items():
            if machine in self.stored_claims:
                raise InvariantViolation(f"claimed_twice: {machine}")
            self.stored_claims[machine] = claim
            self.claim_count += 1
            self.check_claim(machine, claim)
        if new and self.faults_after_claims and self.t < self.claim_faults_until:
            self.inject_claim_fault(list(new.values()))

    def check_claim(self, machine: str, claim: PreemptionClaim) -> None:
        claimant, team = self.specs[claim.job], self.specs[claim.job].team
        served_tasks = sum(
            other.count
            for name, other in self.stored_claims.items()
            if other.job == claim.job and (name == machine or self.running_victims(name, other))
        )
        if self.reported_ends.get(claim.job) == "done" or served_tasks > self.max_recently_waiting(claim.job):
            raise InvariantViolation(
                f"no_need: {claim.job} at {self.t:.2f}: {served_tasks} for {self.max_recently_waiting(claim.job)}"
            )
        if any(task == claim.job for task, _ in self.preemption_counts):
            raise InvariantViolation(f"cascade: {claim.job}")
        for job, index, attempt in claim.victims:
            spec = self.specs[job]
            # Only team "bound" has a guarantee: all work of team "free" is beyond its own.
            lower = wire.PRIORITIES.index(spec.priority) < wire.PRIORITIES.index(claimant.priority)
            if not lower and not (spec.team != team and self.within_guarantee(claim.job)):
                raise InvariantViolation(f"preemption: {job} ({spec.priority}) for {claim.job} ({claimant.priority})")
            if any(
                (job, index, attempt) in map(tuple, other.victims)
                for name, other in self.stored_claims.items()
                if name != machine
            ):
                raise InvariantViolation(f"victim_twice: {job}/{index}")
            self.claimed_attempts.add((f"{job}/{index}", attempt))
            self.preemption_counts[(job, index)] += 1
            if self.preemption_counts[(job, index)] > 2:
                raise InvariantViolation(f"stops: {job}/{index} stopped {self.preemption_counts[(job, index)]} times")
        # Claims are needed only for the tasks that lasting free capacity can't serve.
        shortfall = self.max_recently_waiting(claim.job) - self.lasting_free_capacity(claimant)
        if not self.faults_after_claims and served_tasks > shortfall:
            raise InvariantViolation(f"no_need: claim for {claim.job} at {self.t:.2f}: {served_tasks} for {shortfall}")
        self.preemption_log.append((claim.planned_at, team, len(claim.victims)))
        if (
            sum(count for at, owner, count in self.preemption_log if owner == team and at > claim.planned_at - 60.0)
            > 12
        ):
            raise InvariantViolation(f"budget: {team} a minute at {self.t:.2f}")
        if (
            sum(self.running_victims(name, other) for name, other in self.stored_claims.items() if other.team == team)
            > 8
        ):
            raise InvariantViolation(f"budget: {team} at once")

    def on_task_halted(self, task_id: str, task, worker) -> None:
        machines = [
            sim.core.machine_shard.machines.get(worker.name)
            for sim in self.controllers.values()
            if sim.core is not None
        ]
        stopped_by_claim = any(
            wire.split_task_id(task_id) in machine.orders.claim_stops for machine in machines if machine is not None
        )
        # After failovers job shards also stop tasks for other reasons.
        if stopped_by_claim and (task_id, task.attempt) not in self.claimed_attempts:
            raise InvariantViolation(f"unclaimed: {task_id} stopped on {worker.name} at {self.t:.2f}")

    def inject_claim_fault(self, claims: list) -> None:
        rng, kind = self.rng, self.rng.random()
        if kind < 0.35:
            for sim in self.controllers.values() if kind < 0.2 else [rng.choice(list(self.controllers.values()))]:
                at = rng.uniform(0.0, 3.0)
                self.after(at, sim.crash)
                self.after(at + 10.0 ** rng.uniform(-1.0, 1.78), self.restart, sim)
        elif kind < 0.45:
            self.store.outage(rng.uniform(1.0, 20.0))
        elif kind < 0.6:
            claim = rng.choice(claims)
            self.after(rng.uniform(0.0, 2.0), self.cancel, rng.choice([claim.job, claim.victims[0][0]]))

    def is_finished(self) -> bool:
        return not self.stored_claims and all(
            self.reported_ends.get(job) or job in self.cancelled_at for job in self.accepted
        )

    def check_end(self) -> None:
        if self.stored_claims:
            raise InvariantViolation(f"claims_left: {self.stored_claims}")
        for job in self.accepted:
            if job not in self.cancelled_at and self.reported_ends.get(job) != "done":
                raise InvariantViolation(f"lost: {job} is {self.reported_ends.get(job)}")
        for job, index in self.preemption_counts:
            if job not in self.cancelled_at and f"{job}/{index}" not in self.completed:
                raise InvariantViolation(f"lost: victim {job}/{index}")


def play(seed, until=700.0, **more):
    world = ClaimsWorld(seed, **more)
    while world.t < until and not (world.t > 200.0 and world.is_finished()):
        world.run(world.t + 20.0)
    world.check_end()
    return world


@pytest.mark.parametrize("seed", [*range(8), 23])  # 23: all rentable machines were idle but of the wrong type
def test_claims_keep_their_invariants_under_faults(seed):
    assert play(seed, nodes=3 + 2 * (seed % 2)).task_starts > 0


def test_claims_are_made_without_faults_but_not_without_declared_priorities():
    worlds = [play(seed, random_faults=False, faults_after_claims=False) for seed in (101, 103)]
    assert all(world.claim_count > 0 for world in worlds)
    undeclared = ClaimsWorld(101, random_faults=False, faults_after_claims=False)
    undeclared.configuration = PriorityConfiguration()
    undeclared.run(200.0)
    assert undeclared.claim_count == 0 and worlds[0].claim_count > 0


def victims_stopped_before_commit(monkeypatch):
    def plan(self, groups):
        for group in groups:
            for machine, claim in group.items():
                self._hold(machine, claim, 1)
        real(self, groups)

    real = Ledger.plan
    monkeypatch.setattr(Ledger, "plan", plan)


def budget_not_stored(monkeypatch):
    real = Ledger._add_claims

    def add_claims(self, tx, *more):
        real(self, tx, *more)
        tx.puts[PREEMPTION_BUDGETS] = PreemptionUsage()

    monkeypatch.setattr(Ledger, "_add_claims", add_claims)


def claims_lost_on_view_change(monkeypatch):
    real = Ledger.enter_view

    def enter_view(self):
        self.entries.clear()
        real(self)

    monkeypatch.setattr(Ledger, "enter_view", enter_view)


def protocol_rule_ignored(monkeypatch):
    monkeypatch.setattr(policy, "preemption_allowed", lambda *args: True)


def claimed_tasks_not_counted(monkeypatch):
    monkeypatch.setattr(PreemptionPlanner, "claimed_tasks", lambda self: Counter())


def preempted_jobs_preempt(monkeypatch):
    real = demands.unserved_demands
    monkeypatch.setattr(policy, "unserved_demands", lambda *args: real(*args[:-1], ()))


@pytest.mark.parametrize(
    "fault, violation, first_seed",
    [
        (victims_stopped_before_commit, "unclaimed", 1),
        (budget_not_stored, "budget", 1),
        (claims_lost_on_view_change, "claims_left", 2),
        (protocol_rule_ignored, "preemption", 1),
        (claimed_tasks_not_counted, "no_need", 1),
        (preempted_jobs_preempt, "cascade", 19),
    ],
)
def test_each_invariant_detects_its_fault(monkeypatch, fault, violation, first_seed):
    fault(monkeypatch)
    for seed in (first_seed, *range(40)):
        try:
            play(seed, until=260.0, nodes=3)
        except InvariantViolation as broken:
            if str(broken).startswith(violation):
                return
    pytest.fail(f"no run showed {violation}")


UNLIMITED = PreemptionLimit(99, 99)


def job(name, priority="standard", cpus=2.0, **more):
    return wire.JobSpec(
        id=f"wk-{name}",
        job_class="x",
        team=more.pop("team", "t"),
        kind=more.pop("kind", "sweep"),
        priority=priority,
        tasks=more.pop("tasks", 8),
        cpus=cpus,
        memory_gb=1.0,
        image="i",
        image_gb=1.0,
        estimate_s=more.pop("estimate_s", 100.0),
        **more,
    )


def machine_with(name, *victims, cpus=8.0):
    free = (cpus, 64.0, 0.0)
    for victim in victims:
        free = remaining_after(free, victim.spec, 1)
    return CandidateMachine(name, MachineKind("m", "a", False), free, list(victims))


def select(spec, count, *machines, max_changes=12, limit=UNLIMITED, is_allowed=lambda demand, victim: True):
    demand = PreemptionDemand(spec, count, 5.0, "urgent")
    budget = PreemptionBudget(PreemptionUsage(), 100.0, {}, 100, lambda demand: limit)
    return select_victims(
        [demand], machines, SelectionRules(is_allowed, preemption.lost_cpu_seconds), budget, max_changes
    )


def victims_of(groups):
    return {(job, index) for group in groups for claim in group.values() for job, index, _ in claim.victims}


def test_victims_lose_the_least_work_and_nearly_finished_tasks_are_spared():
    long, saves = job("1"), job("2", checkpoint_s=10.0, save_s=4.0)
    short_run, long_run, nearly_done = (Victim("wk-1", i, 1, long, ran) for i, ran in enumerate((12.0, 50.0, 95.0)))
    checkpointing = Victim("wk-2", 0, 1, saves, 60.0, 3.0)
    urgent = job("9", "high", cpus=2.0)
    groups = select(
        urgent,
        1,
        machine_with("a", long_run, nearly_done, cpus=4.0),
        machine_with("b", short_run, checkpointing, cpus=4.0),
    )
    assert victims_of(groups) == {("wk-2", 0)} and groups[0]["b"].wind_down_s == 4.0
    assert victims_of(
        select(
            urgent,
            2,
            machine_with("a", long_run, nearly_done, cpus=4.0),
            machine_with("b", short_run, checkpointing, cpus=4.0),
        )
    ) == {
        ("wk-2", 0),
        ("wk-1", 0),
    }
    assert not select(urgent, 1, machine_with("a", nearly_done, cpus=2.0))


def test_a_large_task_claims_one_machine_with_the_fewest_victims():
    small, big = job("1", cpus=1.0), job("2", cpus=6.0)
    tasks = [Victim("wk-1", i, 1, small, 5.0) for i in range(8)]
    groups = select(
        job("9", "high", cpus=8.0),
        1,
        machine_with("a", *tasks[:2], Victim("wk-2", 0, 1, big, 20.0)),
        machine_with("b", *tasks[2:6], cpus=4.0),
    )
    assert list(groups[0]) == ["a"] and len(groups[0]["a"].victims) == 3
    one = select(job("9", "high", cpus=6.0), 1, machine_with("a", *tasks[:2], Victim("wk-2", 0, 1, big, 20.0)))
    assert victims_of(one) == {("wk-2", 0)}  # the small tasks do not free enough capacity


def test_one_selection_never_serves_and_preempts_the_same_job():
    """Stored preemptions only protect later rounds: one selection could serve a job that it preempts."""
    middle, routine = job("5", "standard"), job("1", "best_effort", estimate_s=50.0)
    short_run, long_run = Victim("wk-5", 0, 1, middle, 3.0), Victim("wk-1", 0, 1, routine, 20.0)
    budget = PreemptionBudget(PreemptionUsage(), 100.0, {}, 100, lambda demand: UNLIMITED)
    machines = [machine_with("a", short_run, cpus=2.0), machine_with("b", long_run, cpus=2.0)]
    selection_rules = SelectionRules(lambda demand, victim: True, preemption.lost_cpu_seconds)
    urgent_first = [PreemptionDemand(job("9", "high"), 1, 5.0, "urgent"), PreemptionDemand(middle, 1, 5.0, "urgent")]
    for ordered_demands, expected in ((urgent_first, {("wk-5", 0)}), (urgent_first[::-1], {("wk-1", 0)})):
        groups = select_victims(ordered_demands, machines, selection_rules, budget, 12)
        assert victims_of(groups) == expected


def test_gangs_are_preempted_as_a_whole_or_not_at_all():
    gang = job("1", kind="group", tasks=4, cpus=4.0)
    members = [Victim("wk-1", i, 7, gang, 3.0) for i in range(4)]
    both = machine_with("a", *members[:2]), machine_with("b", *members[2:])
    groups = select(job("9", "high", cpus=8.0), 2, *both)
    assert len(groups) == 1 and len(victims_of(groups)) == 4
    assert sum(claim.count for claim in groups[0].values()) == 2
    assert not select(job("9", "high", cpus=8.0), 1, both[0])  # the other members are not listed
    assert not select(job("9", "high", cpus=8.0), 1, *both, limit=PreemptionLimit(3, 99))


def test_claims_fit_their_machine_the_budget_and_one_transaction():
    rng = random.Random(5)
    for _ in range(60):
        jobs = [job(str(n), cpus=rng.choice([1.0, 2.0, 4.0]), checkpoint_s=rng.choice([0.0, 9.0])) for n in range(6)]
        machines = []
        for name in range(rng.randint(1, 8)):
            free, victims = (16.0, 64.0, 0.0), []
            while tasks_that_fit(spec := rng.choice(jobs), free) and len(victims) < 12:
                victims.append(Victim(spec.id, rng.randrange(10**6), 1, spec, rng.uniform(0.0, 100.0)))
                free = remaining_after(free, spec, 1)
            machines.append(machine_with(str(name), *victims, cpus=16.0))
        urgent, count, max_changes = (
            job("9", "high", cpus=rng.choice([2.0, 8.0])),
            rng.randint(1, 9),
            rng.randint(3, 12),
        )
        limit = PreemptionLimit(rng.randint(1, 12), 99)
        groups = select(urgent, count, *machines, max_changes=max_changes, limit=limit)
        candidates = {candidate.machine: candidate for candidate in machines}
        assert len(victims_of(groups)) <= limit.max_per_minute
        assert sum(claim.count for group in groups for claim in group.values()) <= count
        for group in groups:
            assert len(group) + len({v[0] for claim in group.values() for v in claim.victims}) + 1 <= max_changes
            for name, claim in group.items():
                free = candidates[name].free
                before = tasks_that_fit(urgent, free)
                for victim in candidates[name].tasks:
                    if (victim.job, victim.index) in victims_of([group]):
                        free = remaining_after(free, victim.spec, -1)
                assert tasks_that_fit(urgent, free) >= before + claim.count > before


def test_the_protocol_rule_on_preemption():
    high, low = job("1", "high", team="a"), job("2", "best_effort", team="b")
    assert preemption.preemption_allowed(high, False, low, False) and not preemption.preemption_allowed(
        low, False, high, True
    )
    assert preemption.preemption_allowed(
        low, True, high, True
    )  # guaranteed, and the victim is beyond its team's guarantee
    assert not preemption.preemption_allowed(low, True, high, False) and not preemption.preemption_allowed(
        low, False, low, True
    )
    # Within one team only priority counts.
    assert not preemption.preemption_allowed(job("3", team="b"), True, job("4", team="b"), True)
    teams = preemption.GuaranteeUsage(TEAMS, {"bound": (10.0, 0.0)})
    assert teams.exceeds_guarantee(job("5", team="bound")) and not teams.exceeds_guarantee(
        job("5", team="bound", cpus=4.0)
    )
    teams.count_victim(job("5", team="bound"), 1)
    assert not teams.exceeds_guarantee(job("5", team="bound"))


@pytest.mark.parametrize(
    "change, message",
    [
        (("[class */urgent]", "[class urgent]"), "expected [class OWNER/NAME]"),
        (("preempt = *", "preempt = routin"), "no class is named 'routin'"),
        (("most stops = 2", "most stops = -1"), "most stops: expected a whole number from 0 to 1000, got '-1'"),
        (("high, production", "urgent"), "urgency: expected some of"),
        (("preemptible = yes", "preemptible = on"), "yes or no"),
        (("least run = 2", "least = 2"), "least: no such setting"),
    ],
)
def test_an_invalid_declaration_raises_a_one_line_error(change, message):
    with pytest.raises(ConfigError, match=f"^p.ini: .*{re.escape(message)}") as error:
        parse_priorities(INI.replace(*change))
    assert "\n" not in str(error.value)


def test_check_describes_the_declared_classes():
    lines = check_lines(parse_priorities())
    assert "may stop */urgent, */routine where the protocol allows it: 12 a minute, 8 at once" in lines[0]
    assert "may be stopped after 2 s, 2 times a task" in lines[1] and "stops nobody" in lines[1]
    with open("deploy/priorities.ini", encoding="utf-8") as file:
        assert len(check_lines(parse_priorities(file.read()))) >= 4
