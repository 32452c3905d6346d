"""Claims: urgent work makes room for itself, under budgets, whatever falls; and the choice of victims."""

import configparser
import random
import re
from collections import Counter, deque

import msgspec
import pytest
from simulation import TEAMS, TYPES, Broken, World

from alderbridge import preemption
from alderbridge.claims.ledger import Ledger
from alderbridge.claims.records import PreemptionClaim, PreemptionsSpent
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
from alderbridge.protocol.keys import BUDGETS, CLAIMS, JOBS
from alderbridge.scheduling.demand import MachineKind
from alderbridge.scheduling.placement import allowed
from alderbridge.scheduling.resources import fits, minus
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


def declared(text=INI) -> PriorityConfiguration:
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(text)
    return parse(parser, "p.ini")


class ClaimsWorld(World):
    """Long routine work on a full fleet, urgent bursts, and controllers that end in mid-claim.

    Counts for itself what claims may do: from what lies in the store and what is on machines.
    """

    def __init__(self, seed: int, falls_in_claims: bool = True, **more) -> None:
        self.text = declared()
        self.open: dict[str, PreemptionClaim] = {}  # machine -> the claim in the store
        self.victims: Counter[tuple[str, int]] = Counter()
        self.claimed: set[tuple[str, int]] = set()  # task, attempt
        self.spent: list[tuple[float, str, int]] = []
        self.left_s: dict[str, float] = {}
        # a few seconds back: what was on no machine, and what was free on each
        self.waiting: deque[tuple[float, Counter, dict]] = deque()
        self.made = 0
        self.falls_in_claims, self.quiet_from = falls_in_claims, 150.0
        super().__init__(seed, jobs=0, machines=8, **more)
        commit = self.store.commit

        def checked(conditions, puts, drops=(), lease_id=None):
            answer = commit(conditions, puts, drops, lease_id)
            if not answer.failed:
                self.stored(
                    {k[len(CLAIMS) :]: v for k, v in puts.items() if k.startswith(CLAIMS)},
                    [k[len(CLAIMS) :] for k in drops if k.startswith(CLAIMS)],
                )
            return answer

        self.store.commit = checked
        for number in range(16):
            self.after(self.rng.uniform(1.0, 60.0), self.submit, self.routine(number))
        for number in range(8):
            self.after(self.rng.uniform(35.0, 140.0), self.submit, self.urgent(20 + number))
        self.after(0.5, self.count)

    def prepare(self, core) -> None:
        core.preemption.priorities = lambda now: [self.text]

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

    def run_time(self, part: str) -> float:
        return self.left_s.setdefault(part, super().run_time(part))

    def saved(self, part: str, left_s: float) -> None:
        self.left_s[part] = left_s

    # -- rules

    def count(self) -> None:
        off: Counter[str] = Counter()
        for job in self.accepted:
            # A result that no report told of is no result: the task runs again.
            record = msgspec.json.decode(self.store.data[JOBS + job][0], type=Record)
            there = sum(wire.split_task_id(part)[0] == job for part in self.on)
            if record.state is JobState.ACTIVE:
                off[job] = self.specs[job].tasks - sum(high - low for low, high in record.done) - there
        free = {name: self.free(worker) for name, worker in self.machines.items() if worker is not None}
        self.waiting.append((self.t, off, free))
        while self.waiting[0][0] < self.t - 4.0:
            self.waiting.popleft()
        self.after(0.25, self.count)

    def lately_waiting(self, job: str) -> int:
        return max((off[job] for _, off, _ in self.waiting), default=0)

    def free(self, worker):
        kind, tasks = TYPES[worker.kind.type], worker.tasks.items()
        room = (kind.cpus, kind.memory_gb, 0.0)
        for part, task in tasks:
            if task.status != "ended":
                room = minus(room, self.specs[wire.split_task_id(part)[0]], 1)
        return room

    def lasting_room(self, spec: wire.JobSpec) -> int:
        """Tasks that would have fitted all these seconds."""
        return sum(
            min(fits(spec, free[name]) if name in free else 0 for _, _, free in self.waiting)
            for name, worker in self.machines.items()
            if worker is not None
            and name not in self.open
            and allowed(spec, worker.kind.type, worker.kind.zone, worker.kind.spot)
        )

    def within_guarantee(self, job: str) -> bool:
        """Whether it fits its team's guarantee along with the team's earlier unfinished jobs."""
        guarantee = next(team.cpus for team in TEAMS if team.name == self.specs[job].team)
        records = {name: msgspec.json.decode(self.store.data[JOBS + name][0], type=Record) for name in self.accepted}
        taken = sum(
            (self.specs[name].tasks - sum(high - low for low, high in record.done)) * self.specs[name].cpus
            for name, record in records.items()
            if record.state is JobState.ACTIVE
            and self.specs[name].team == self.specs[job].team
            and record.at <= records[job].at
        )
        return guarantee > 0 and taken <= guarantee + 1e-9

    def there(self, machine: str, claim: PreemptionClaim) -> int:
        """Victims still on the machine, as the same attempt."""
        worker = self.machines.get(machine)
        tasks = worker.tasks if worker is not None else {}
        return sum(
            f"{job}/{index}" in tasks
            and tasks[f"{job}/{index}"].attempt == attempt
            and tasks[f"{job}/{index}"].status != "ended"
            for job, index, attempt in claim.victims
        )

    def stored(self, new: dict, gone: list[str]) -> None:
        for machine in gone:
            self.open.pop(machine, None)
        for machine, claim in new.items():
            if machine in self.open:
                raise Broken(f"claimed_twice: {machine}")
            self.open[machine] = claim
            self.made += 1
            self.may_claim(machine, claim)
        if new and self.falls_in_claims and self.t < self.quiet_from:
            self.shake(list(new.values()))

    def may_claim(self, machine: str, claim: PreemptionClaim) -> None:
        need, team = self.specs[claim.job], self.specs[claim.job].team
        made_for = sum(
            other.count
            for name, other in self.open.items()
            if other.job == claim.job and (name == machine or self.there(name, other))
        )
        if self.said.get(claim.job) == "done" or made_for > self.lately_waiting(claim.job):
            raise Broken(f"no_need: {claim.job} at {self.t:.2f}: {made_for} for {self.lately_waiting(claim.job)}")
        if any(task == claim.job for task, _ in self.victims):
            raise Broken(f"cascade: {claim.job}")
        for job, index, attempt in claim.victims:
            spec = self.specs[job]
            # Only "bound" has a guarantee: all that "free" runs is beyond its own.
            lower = wire.PRIORITIES.index(spec.priority) < wire.PRIORITIES.index(need.priority)
            if not lower and not (spec.team != team and self.within_guarantee(claim.job)):
                raise Broken(f"preemption: {job} ({spec.priority}) for {claim.job} ({need.priority})")
            if any(
                (job, index, attempt) in map(tuple, other.victims)
                for name, other in self.open.items()
                if name != machine
            ):
                raise Broken(f"victim_twice: {job}/{index}")
            self.claimed.add((f"{job}/{index}", attempt))
            self.victims[(job, index)] += 1
            if self.victims[(job, index)] > 2:
                raise Broken(f"stops: {job}/{index} stopped {self.victims[(job, index)]} times")
        # Room that lasted serves as many tasks as fit it; claims are for the rest of what waits.
        rest = self.lately_waiting(claim.job) - self.lasting_room(need)
        if not self.falls_in_claims and made_for > rest:
            raise Broken(f"no_need: room for {claim.job} at {self.t:.2f}: {made_for} for {rest}")
        self.spent.append((claim.at, team, len(claim.victims)))
        if sum(n for at, whose, n in self.spent if whose == team and at > claim.at - 60.0) > 12:
            raise Broken(f"budget: {team} a minute at {self.t:.2f}")
        if sum(self.there(name, other) for name, other in self.open.items() if other.team == team) > 8:
            raise Broken(f"budget: {team} at once")

    def halted(self, part: str, task, worker) -> None:
        parts = [
            sim.core.machine_shard.machines.get(worker.name) for sim in self.nodes.values() if sim.core is not None
        ]
        ours = any(wire.split_task_id(part) in machine.orders.claim_stops for machine in parts if machine is not None)
        if ours and (part, task.attempt) not in self.claimed:  # homes stop tasks for other reasons, after falls
            raise Broken(f"unclaimed: {part} stopped on {worker.name} at {self.t:.2f}")

    # -- fault in mid-claim

    def shake(self, made: list) -> None:
        rng, kind = self.rng, self.rng.random()
        if kind < 0.35:
            for sim in self.nodes.values() if kind < 0.2 else [rng.choice(list(self.nodes.values()))]:
                at = rng.uniform(0.0, 3.0)
                self.after(at, sim.crash)
                self.after(at + 10.0 ** rng.uniform(-1.0, 1.78), self.restart, sim)
        elif kind < 0.45:
            self.store.outage(rng.uniform(1.0, 20.0))
        elif kind < 0.6:
            claim = rng.choice(made)
            self.after(rng.uniform(0.0, 2.0), self.withdraw, rng.choice([claim.job, claim.victims[0][0]]))

    def over(self) -> bool:
        return not self.open and all(self.said.get(job) or job in self.cancelled_at for job in self.accepted)

    def check_end(self) -> None:
        if self.open:
            raise Broken(f"claims_left: {self.open}")
        for job in self.accepted:
            if job not in self.cancelled_at and self.said.get(job) != "done":
                raise Broken(f"lost: {job} is {self.said.get(job)}")
        for job, index in self.victims:
            if job not in self.cancelled_at and f"{job}/{index}" not in self.completed:
                raise Broken(f"lost: victim {job}/{index}")


def play(seed, until=700.0, **more):
    world = ClaimsWorld(seed, **more)
    while world.t < until and not (world.t > 200.0 and world.over()):
        world.run(world.t + 20.0)
    world.check_end()
    return world


@pytest.mark.parametrize("seed", [*range(8), 23])  # 23: all machines that may be rented were idle, of the wrong type
def test_claims_keep_their_rules_whatever_falls(seed):
    assert play(seed, nodes=3 + 2 * (seed % 2)).starts > 0


def test_calm_runs_make_claims_and_a_withdrawn_declaration_makes_none():
    worlds = [play(seed, random_faults=False, falls_in_claims=False) for seed in (101, 103)]
    assert all(world.made > 0 for world in worlds)
    bare = ClaimsWorld(101, random_faults=False, falls_in_claims=False)
    bare.text = PriorityConfiguration()
    bare.run(200.0)
    assert bare.made == 0 and worlds[0].made > 0


def halted_before_stored(monkeypatch):
    def plan(self, groups):
        for group in groups:
            for machine, claim in group.items():
                self._hold(machine, claim, 1)
        real(self, groups)

    real = Ledger.plan
    monkeypatch.setattr(Ledger, "plan", plan)


def budget_not_stored(monkeypatch):
    real = Ledger._add_claims

    def claim(self, tx, *more):
        real(self, tx, *more)
        tx.puts[BUDGETS] = PreemptionsSpent()

    monkeypatch.setattr(Ledger, "_add_claims", claim)


def claims_forgotten(monkeypatch):
    real = Ledger.enter

    def enter(self):
        self.entries.clear()
        real(self)

    monkeypatch.setattr(Ledger, "enter", enter)


def protocol_not_asked(monkeypatch):
    monkeypatch.setattr(policy, "allowed", lambda *args: True)


def promises_not_counted(monkeypatch):
    monkeypatch.setattr(PreemptionPlanner, "promised", lambda self: Counter())


def victims_preempt(monkeypatch):
    real = demands.unserved_demands
    monkeypatch.setattr(policy, "unserved_demands", lambda *args: real(*args[:-1], ()))


@pytest.mark.parametrize(
    "fault, told, first",
    [
        (halted_before_stored, "unclaimed", 1),
        (budget_not_stored, "budget", 1),
        (claims_forgotten, "claims_left", 2),
        (protocol_not_asked, "preemption", 1),
        (promises_not_counted, "no_need", 1),
        (victims_preempt, "cascade", 19),
    ],
)
def test_each_guard_is_seen_to_fail_when_it_is_broken(monkeypatch, fault, told, first):
    fault(monkeypatch)
    for seed in (first, *range(40)):
        try:
            play(seed, until=260.0, nodes=3)
        except Broken as broken:
            if str(broken).startswith(told):
                return
    pytest.fail(f"no run showed {told}")


# -- the choice of victims ------------------------------------------------------

ANY = PreemptionLimit(99, 99)


def job(name, rank="standard", cpus=2.0, **more):
    return wire.JobSpec(
        id=f"wk-{name}",
        job_class="x",
        team=more.pop("team", "t"),
        kind=more.pop("kind", "sweep"),
        priority=rank,
        tasks=more.pop("tasks", 8),
        cpus=cpus,
        memory_gb=1.0,
        image="i",
        image_gb=1.0,
        estimate_s=more.pop("estimate_s", 100.0),
        **more,
    )


def held(name, *victims, cpus=8.0):
    free = (cpus, 64.0, 0.0)
    for victim in victims:
        free = minus(free, victim.spec, 1)
    return CandidateMachine(name, MachineKind("m", "a", False), free, list(victims))


def pick(need_spec, count, *machines, most=12, limit=ANY, may=lambda need, victim: True):
    need = PreemptionDemand(need_spec, count, 5.0, "urgent")
    budget = PreemptionBudget(PreemptionsSpent(), 100.0, {}, 100, lambda need: limit)
    return select_victims([need], machines, SelectionRules(may, preemption.lost_cpu_seconds), budget, most)


def stopped(groups):
    return {(job, index) for group in groups for claim in group.values() for job, index, _ in claim.victims}


def test_the_least_work_is_lost_and_what_is_nearly_done_is_spared():
    long, saves = job("1"), job("2", checkpoint_s=10.0, save_s=4.0)
    young, old, near = (Victim("wk-1", i, 1, long, ran) for i, ran in enumerate((12.0, 50.0, 95.0)))
    saving = Victim("wk-2", 0, 1, saves, 60.0, 3.0)
    urgent = job("9", "high", cpus=2.0)
    groups = pick(urgent, 1, held("a", old, near, cpus=4.0), held("b", young, saving, cpus=4.0))
    assert stopped(groups) == {("wk-2", 0)} and groups[0]["b"].wind_down_s == 4.0
    assert stopped(pick(urgent, 2, held("a", old, near, cpus=4.0), held("b", young, saving, cpus=4.0))) == {
        ("wk-2", 0),
        ("wk-1", 0),
    }
    assert not pick(urgent, 1, held("a", near, cpus=2.0))


def test_a_large_task_takes_one_machine_and_no_more_victims_than_it_needs():
    small, big = job("1", cpus=1.0), job("2", cpus=6.0)
    tasks = [Victim("wk-1", i, 1, small, 5.0) for i in range(8)]
    groups = pick(
        job("9", "high", cpus=8.0),
        1,
        held("a", *tasks[:2], Victim("wk-2", 0, 1, big, 20.0)),
        held("b", *tasks[2:6], cpus=4.0),
    )
    assert list(groups[0]) == ["a"] and len(groups[0]["a"].victims) == 3
    one = pick(job("9", "high", cpus=6.0), 1, held("a", *tasks[:2], Victim("wk-2", 0, 1, big, 20.0)))
    assert stopped(one) == {("wk-2", 0)}  # the small ones would not make the room


def test_one_plan_neither_stops_a_job_that_it_serves_nor_serves_one_that_it_stops():
    """The record of stops tells only the next plan: one plan made room for a job that it stopped itself."""
    middle, routine = job("5", "standard"), job("1", "best_effort", estimate_s=50.0)
    young, old = Victim("wk-5", 0, 1, middle, 3.0), Victim("wk-1", 0, 1, routine, 20.0)
    budget = PreemptionBudget(PreemptionsSpent(), 100.0, {}, 100, lambda need: ANY)
    machines = [held("a", young, cpus=2.0), held("b", old, cpus=2.0)]
    selection_rules = SelectionRules(lambda need, victim: True, preemption.lost_cpu_seconds)
    urgent_first = [PreemptionDemand(job("9", "high"), 1, 5.0, "urgent"), PreemptionDemand(middle, 1, 5.0, "urgent")]
    for needs_in_turn, expected in ((urgent_first, {("wk-5", 0)}), (urgent_first[::-1], {("wk-1", 0)})):
        groups = select_victims(needs_in_turn, machines, selection_rules, budget, 12)
        assert stopped(groups) == expected


def test_gangs_stop_whole_or_not_at_all():
    gang = job("1", kind="group", tasks=4, cpus=4.0)
    members = [Victim("wk-1", i, 7, gang, 3.0) for i in range(4)]
    two = held("a", *members[:2]), held("b", *members[2:])
    groups = pick(job("9", "high", cpus=8.0), 2, *two)
    assert len(groups) == 1 and len(stopped(groups)) == 4
    assert sum(claim.count for claim in groups[0].values()) == 2
    assert not pick(job("9", "high", cpus=8.0), 1, two[0])  # the others are not known
    assert not pick(job("9", "high", cpus=8.0), 1, *two, limit=PreemptionLimit(3, 99))


def test_choices_fit_their_room_their_budget_and_one_transaction():
    rng = random.Random(5)
    for _ in range(60):
        jobs = [job(str(n), cpus=rng.choice([1.0, 2.0, 4.0]), checkpoint_s=rng.choice([0.0, 9.0])) for n in range(6)]
        machines = []
        for name in range(rng.randint(1, 8)):
            room, victims = (16.0, 64.0, 0.0), []
            while fits(spec := rng.choice(jobs), room) and len(victims) < 12:
                victims.append(Victim(spec.id, rng.randrange(10**6), 1, spec, rng.uniform(0.0, 100.0)))
                room = minus(room, spec, 1)
            machines.append(held(str(name), *victims, cpus=16.0))
        urgent, count, most = job("9", "high", cpus=rng.choice([2.0, 8.0])), rng.randint(1, 9), rng.randint(3, 12)
        limit = PreemptionLimit(rng.randint(1, 12), 99)
        groups = pick(urgent, count, *machines, most=most, limit=limit)
        known = {one.machine: one for one in machines}
        assert len(stopped(groups)) <= limit.a_minute
        assert sum(claim.count for group in groups for claim in group.values()) <= count
        for group in groups:
            assert len(group) + len({v[0] for claim in group.values() for v in claim.victims}) + 1 <= most
            for name, claim in group.items():
                room = known[name].free
                before = fits(urgent, room)
                for victim in known[name].tasks:
                    if (victim.job, victim.index) in stopped([group]):
                        room = minus(room, victim.spec, -1)
                assert fits(urgent, room) >= before + claim.count > before


def test_what_the_protocol_allows():
    high, low = job("1", "high", team="a"), job("2", "best_effort", team="b")
    assert preemption.allowed(high, False, low, False) and not preemption.allowed(low, False, high, True)
    assert preemption.allowed(low, True, high, True)  # a guarantee, against another team's excess
    assert not preemption.allowed(low, True, high, False) and not preemption.allowed(low, False, low, True)
    assert not preemption.allowed(job("3", team="b"), True, job("4", team="b"), True)  # within one team priority alone
    teams = preemption.Teams(TEAMS, {"bound": (10.0, 0.0)})
    assert teams.beyond(job("5", team="bound")) and not teams.beyond(job("5", team="bound", cpus=4.0))
    teams.count_victim(job("5", team="bound"), 1)
    assert not teams.beyond(job("5", team="bound"))


# -- the declaration ------------------------------------------------------------


@pytest.mark.parametrize(
    "change, told",
    [
        (("[class */urgent]", "[class urgent]"), "expected [class OWNER/NAME]"),
        (("preempt = *", "preempt = routin"), "no class is named 'routin'"),
        (("most stops = 2", "most stops = -1"), "most stops: expected a whole number from 0 to 1000, got '-1'"),
        (("high, production", "urgent"), "urgency: expected some of"),
        (("preemptible = yes", "preemptible = on"), "yes or no"),
        (("least run = 2", "least = 2"), "least: no such setting"),
    ],
)
def test_a_faulty_declaration_is_one_line(change, told):
    with pytest.raises(ConfigError, match=f"^p.ini: .*{re.escape(told)}") as fault:
        declared(INI.replace(*change))
    assert "\n" not in str(fault.value)


def test_what_is_declared_is_said():
    lines = check_lines(declared())
    assert "may stop */urgent, */routine where the protocol allows it: 12 a minute, 8 at once" in lines[0]
    assert "may be stopped after 2 s, 2 times a task" in lines[1] and "stops nobody" in lines[1]
    with open("deploy/priorities.ini", encoding="utf-8") as file:
        assert len(check_lines(declared(file.read()))) >= 4
