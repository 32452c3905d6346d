"""Which GPUs come back for replicas: random states against rules that are counted here once more."""

import configparser
import math
import random
from collections import Counter

import msgspec
import pytest
import simulation
from simulation import Broken
from test_preemption import ClaimsWorld

from alderbridge import constants, preemption
from alderbridge.claims.records import PreemptionsSpent
from alderbridge.jobs.dependencies import Graph
from alderbridge.jobs.record import JobState, Record
from alderbridge.leader.leader import Leader, LeaderSettings
from alderbridge.lending import (
    CapacityLender,
    GpuReserve,
    LendingClass,
    LendingConfiguration,
    ServingClass,
    ServingJob,
    allocate_reserve,
    check_lines,
    parse,
)
from alderbridge.lending.fleet import MachineContents, ServingFleet
from alderbridge.lending.reserve import FreeGpus
from alderbridge.lending.rules import LendingRules
from alderbridge.lending.selection import LendingSelection
from alderbridge.membership.membership import Membership
from alderbridge.preemption import CandidateMachine, PreemptionBudget, Teams, Victim
from alderbridge.preemption.planner import PreemptionPlanner
from alderbridge.protocol import wire
from alderbridge.protocol.messages import (
    MachineSummaries,
    MachineSummary,
    MachineTaskList,
    MachineTasks,
    QueueRow,
    QueueSnapshot,
)
from alderbridge.protocol.wire import JobSpec, MachineType
from alderbridge.scheduling.demand import MachineKind, MachineResource
from alderbridge.scheduling.offers import Offer
from alderbridge.scheduling.resources import fits
from alderbridge.settings import ConfigError, Team, Tuning
from alderbridge.state.replica import Replica

ZONES = ["a", "b", "c"]
TYPES = {
    "g8": MachineType(
        name="g8",
        cpus=96.0,
        memory_gb=768.0,
        gpus=8.0,
        price=12.0,
        spot_price=4.5,
        boot_s=45.0,
        zones=ZONES,
        fetch_gb_per_s=1.0,
    )
}
TEAMS = [Team("maps", 64.0, 400.0, 16.0, 64.0), Team("vision", 32.0, 300.0, 8.0, 48.0), Team("data")]
TEXT = LendingConfiguration(
    [ServingClass("*", "llm")],
    [LendingClass("*", "tune", 20.0, 3, 900.0), LendingClass("*", "batch", 0.0, 1, 900.0)],
    {"maps": 4.0},
    24,
    16,
    120.0,
)


def spec(name, team, job_class, gpus=1.0, tasks=1, **more):
    more = {"kind": "sweep", "priority": "standard", "image": "i", "image_gb": 20.0, "spot": False} | more
    return JobSpec(
        id=name,
        job_class=job_class,
        team=team,
        tasks=tasks,
        cpus=4.0 * gpus,
        gpus=gpus,
        memory_gb=64.0 * gpus,
        estimate_s=0.0 if more["kind"] == "standing" else 200.0,
        **more,
    )


def replica(name, team="maps", **more):
    return spec(name, team, "llm", **{"kind": "standing", "priority": "production"} | more)


class State:
    """Machines full of this and that, and replicas that wait."""

    def __init__(self, rng):
        self.rng = rng
        self.machines = [
            [f"n-{i}", MachineKind("g8", rng.choice(ZONES), False), (96.0, 768.0, 8.0), []]
            for i in range(rng.randint(2, 9))
        ]
        self.used = {team.name: (0.0, 0.0) for team in TEAMS}
        self.services, self.sites, self.gangs = [], {}, Counter()
        for number in range(rng.randint(5, 40)):
            job_class = rng.choice(["tune", "tune", "batch", "other"])
            one = spec(
                f"wk-{number}",
                rng.choice(TEAMS).name,
                job_class,
                rng.choice([1.0, 1.0, 2.0, 8.0]),
                priority=rng.choice(["best_effort", "standard", "high", "production"]),
                checkpoint_s=rng.choice([0.0, 30.0]),
                save_s=5.0,
            )
            if rng.random() < 0.2:
                one = spec(one.id, one.team, one.job_class, 8.0, 2, kind="group", priority=one.priority)
            for index in range(one.tasks):
                self.put(one, index)
        for number in range(rng.randint(1, 4)):
            tasks = rng.randint(1, 9)
            one = replica(
                f"wk-{100 + number}",
                rng.choice(["maps", "maps", "vision"]),
                tasks=tasks,
                gpus=rng.choice([1.0, 1.0, 2.0, 8.0]),
                spread=rng.random() < 0.5,
                priority=rng.choice(["production", "standard"]),
                image=rng.choice("ij"),
            )
            on = sum(self.put(one, index) for index in range(rng.randint(0, tasks // 2)))
            self.services.append(
                ServingJob(
                    one,
                    on,
                    tasks - on,
                    tasks - on,
                    rng.uniform(-5.0, 18.0),
                    None,
                    rng.random() < 0.7,
                    (False, -one.rank, 0.0, one.id),
                )
            )

        if rng.random() < 0.2:
            self.used["maps"] = (100.0, 64.0)  # at its limit: with work that these machines do not show

    def put(self, one, index):
        """On a machine that has room; whether there was one."""
        machines = [machine for machine in self.machines if fits(one, machine[2])]
        if not machines:
            return False
        machine = self.rng.choice(machines)
        machine[2] = tuple(a - b for a, b in zip(machine[2], (one.cpus, one.memory_gb, one.gpus), strict=True))
        cpus, gpus = self.used[one.team]
        self.used[one.team] = (cpus + one.cpus, gpus + one.gpus)
        ran = self.rng.uniform(0.0, 150.0)
        machine[3].append(
            Victim(
                one.id,
                index,
                7,
                one,
                ran,
                ran % 30.0 if one.checkpoint_s else None,
                self.rng.choice([0, 0, 1, 3]),
                True,
                self.rng.choice([0.0, 10.0, 2000.0]),
            )
        )
        self.gangs[one.id] += 1
        if one.service:
            site = self.sites.setdefault(machine[0], MachineContents(frozenset([one.image]), Counter()))
            site.replicas[one.id] += 1
        return True

    def zones(self, job):
        kinds = {name: kind for name, kind, _, _ in self.machines}
        return Counter(
            {kinds[name].zone: site.replicas[job] for name, site in self.sites.items() if job in site.replicas}
        )

    def plan(self, lender, spent=0.0):
        lender.pace.returned.append((990.0, "maps", spent))
        lender.pace.stopping["maps"] = 2.0
        lender.fleet.update(self.sites, {name: kind.zone for name, kind, _, _ in self.machines})
        lender.teams = Teams(TEAMS, self.used)
        resources = [MachineResource(kind, free) for _, kind, free, _ in self.machines]
        needs = lender.demands(self.services, resources, self.used, {})
        held = [
            CandidateMachine(name, kind, free, [one for one in tasks if lender.preemptible(one.spec)])
            for name, kind, free, tasks in self.machines
        ]
        budget = PreemptionBudget(PreemptionsSpent(), 1000.0, {}, 100, lender.limit)
        return needs, lender.select_victims(needs, held, budget, 12)


def faults(state, needs, groups, spent=0.0):
    """All that no plan may do, counted from the state alone."""
    found, specs = [], {one.spec.id: one for one in state.services}
    tasks = {(name, one.job, one.index): one for name, _, _, victims in state.machines for one in victims}
    machines = {name: (kind, free) for name, kind, free, _ in state.machines}
    limits = {team.name: team for team in TEAMS}
    used = {team: list(amounts) for team, amounts in state.used.items()}
    made = [(name, claim) for group in groups for name, claim in group.items()]
    stopped, gpus, others, zones, rooms = set(), Counter(), set(), Counter(), Counter()
    asked = {need.spec.id: need for need in needs}
    for name, claim in made:
        need, (kind, free) = asked[claim.job], machines[name]
        zones[claim.job, kind.zone] += claim.count
        rooms[claim.job] += claim.count
        for job, index, attempt in claim.victims:
            victim = tasks.get((name, job, index))
            if victim is None or victim.attempt != attempt or (job, index) in stopped:
                found.append("a victim that is not there, or twice")
                continue
            stopped.add((job, index))
            free = tuple(
                a + b for a, b in zip(free, (victim.spec.cpus, victim.spec.memory_gb, victim.spec.gpus), strict=True)
            )
            lend = next((one for one in TEXT.lend if one.workload == victim.spec.job_class), None)
            if (
                lend is None
                or victim.ran_s < lend.least_run_s
                or victim.stops >= lend.most_stops
                or victim.since_stop_s > lend.waits_at_most_s
            ):
                found.append("a victim that its class spares")
            mine = victim.spec.team == need.spec.team
            if need.spec.rank <= victim.spec.rank and (mine or not need.guaranteed):
                found.append("preemption that the protocol does not allow")
            if not mine:
                used[victim.spec.team][0] -= victim.spec.cpus
                used[victim.spec.team][1] -= victim.spec.gpus
                others.add(victim.spec.team)
                limit, taken = limits[need.spec.team], state.used[need.spec.team]
                if taken[0] + need.spec.cpus > limit.cpus_max or taken[1] + need.spec.gpus > limit.gpus_max:
                    found.append("room that its team may not use")
            gpus[claim.team] += victim.spec.gpus
        if fits(need.spec, free) < claim.count:
            found.append("room that is none")
    for team in others:
        if used[team][0] < limits[team].cpus or used[team][1] < limits[team].gpus:
            found.append("a team below its guarantee for another")
    for job in {job for job, _ in stopped}:
        one = next(one.spec for one in tasks.values() if one.job == job)
        if one.gang and sum(other == job for other, _ in stopped) != one.tasks:
            found.append("a part of a gang")
    for team, count in gpus.items():
        if count > min(24 - (spent if team == "maps" else 0.0), 16 - (2.0 if team == "maps" else 0.0)):
            found.append("faster than the pace")
    serving = Counter()
    for one in state.services:
        serving[one.spec.team] += one.spec.gpus * (one.on + rooms[one.spec.id])
        if rooms[one.spec.id] > one.waiting:
            found.append("room that nobody wants")
        here = state.zones(one.spec.id)
        if one.spec.spread and any(
            here[zone] + zones[one.spec.id, zone] > math.ceil(one.spec.tasks / 2)
            for zone in ZONES
            if zones[one.spec.id, zone]
        ):
            found.append("more in a zone than apart allows")
    for team, count in serving.items():
        if any(rooms[job] and specs[job].spec.team == team for job in rooms) and count > limits[team].gpus + 1e-9:
            found.append("replicas beyond their team's guarantee")
    return found


def lender():
    return CapacityLender([TEXT], TEAMS, TYPES)


@pytest.mark.parametrize("seed", range(8))
def test_no_plan_does_what_it_must_not(seed):
    rng, stops = random.Random(seed), 0
    for _ in range(120):
        state, spent = State(rng), rng.choice([0.0, 0.0, 12.0, 23.0])
        needs, groups = state.plan(lender(), spent)
        assert faults(state, needs, groups, spent) == []
        stops += sum(len(claim.victims) for group in groups for claim in group.values())
    assert stops > 100


BROKEN = {
    "a team below its guarantee for another": (Teams, "beyond", lambda self, spec: True),
    "preemption that the protocol does not allow": (preemption, "allowed", lambda *args: True),
    "faster than the pace": (LendingSelection, "_left", lambda self, team: 1000.0),
    "more in a zone than apart allows": (ServingFleet, "quota", staticmethod(lambda spec, here, zone: spec.tasks)),
    "room that its team may not use": (LendingRules, "headroom", lambda self, spec, used: math.inf),
    "replicas beyond their team's guarantee": (LendingRules, "guarantee", lambda self, team: 1000.0),
    "a victim that its class spares": (
        LendingRules,
        "lends",
        lambda self, spec: [LendingClass("*", "*", 0.0, 9, 9999.0)],
    ),
}


@pytest.mark.parametrize("guard", BROKEN)
def test_a_broken_guard_is_seen(monkeypatch, guard):
    monkeypatch.setattr(*BROKEN[guard])
    rng = random.Random(1)
    states = (State(rng) for _ in range(400))
    assert any(guard in faults(state, *state.plan(lender())) for state in states)


def full(name, zone, one, tasks=8, ran=100.0, saved=None):
    """A machine that is full of one job's tasks."""
    victims = [Victim(one.id, int(name[2:]) * 8 + index, 7, one, ran, saved) for index in range(tasks)]
    return CandidateMachine(
        name,
        MachineKind("g8", zone, False),
        (96.0 - one.cpus * tasks, 768.0 - one.memory_gb * tasks, 8.0 - one.gpus * tasks),
        victims,
    )


def choose(service, machines, used, sites=None, lent=None):
    """(needs, claim by machine) for one service."""
    one = lent or lender()
    one.fleet.update(sites or {}, {held.machine: held.kind.zone for held in machines})
    one.teams = Teams(TEAMS, used)
    needs = one.demands([service], [MachineResource(held.kind, held.free) for held in machines], used, {})
    groups = one.select_victims(needs, machines, PreemptionBudget(PreemptionsSpent(), 1000.0, {}, 100, one.limit), 12)
    return needs, {name: claim for group in groups for name, claim in group.items()}


def test_weights_decide_where_and_few_machines_are_touched():
    tune = spec("wk-1", "data", "tune", checkpoint_s=30.0, save_s=5.0)
    machines = [full(f"n-{i}", "a", tune, saved=saved) for i, saved in ((1, 1.0), (2, 25.0), (3, 1.0))]
    used = {"data": (96.0, 24.0)}
    service = ServingJob(replica("wk-9", tasks=4, image_gb=60.0), 0, 4, 4, 5.0)
    _, made = choose(service, machines, used, {"n-2": MachineContents(frozenset("i"))})
    assert {name: claim.count for name, claim in made.items()} == {"n-2": 4}  # it fetches the 60 GB already
    _, made = choose(service, machines, used)
    assert sorted(claim.count for claim in made.values()) == [4]


def test_the_last_machine_that_could_be_all_free_is_left_whole():
    tune = spec("wk-1", "data", "tune")
    mixed = full("n-2", "a", tune, 4)._replace(free=(64.0, 512.0, 0.0))  # four GPUs: work that does not lend
    service = ServingJob(replica("wk-9", tasks=2), 0, 2, 2, 5.0)
    _, made = choose(service, [full("n-1", "a", tune, ran=30.0), mixed], {"data": (96.0, 24.0)})
    assert list(made) == ["n-2"]


def test_a_replica_of_eight_gpus_gets_one_machine_and_stops_a_gang_of_sixteen_only_whole():
    gang = spec("wk-1", "data", "tune", 8.0, 2, kind="group")
    machines = [full("n-1", "a", gang, 1), full("n-2", "a", gang, 1)]
    service = ServingJob(replica("wk-9", gpus=8.0), 0, 1, 1, 5.0)
    _, made = choose(service, machines, {"data": (64.0, 16.0)})
    assert sorted(claim.count for claim in made.values()) == [0, 1]
    assert {victim for claim in made.values() for victim in claim.victims} == {("wk-1", 8, 7), ("wk-1", 16, 7)}
    tight = CapacityLender([LendingConfiguration(TEXT.serve, TEXT.lend, {}, 64, 8, 60.0)], TEAMS, TYPES)
    assert choose(service, machines, {"data": (64.0, 16.0)}, lent=tight)[1] == {}  # sixteen at once are too many


def test_at_its_limit_only_a_teams_own_batch_makes_room():
    service = ServingJob(replica("wk-9", "vision"), 4, 1, 0, 5.0)
    mine, theirs = spec("wk-1", "vision", "batch"), spec("wk-2", "data", "batch")
    used = {"vision": (200.0, 48.0), "data": (32.0, 8.0)}
    _, made = choose(service, [full("n-1", "a", theirs), full("n-2", "a", mine)], used)
    assert list(made) == ["n-2"]
    assert choose(service, [full("n-1", "a", theirs)], used)[1] == {}
    assert choose(service._replace(on=8), [full("n-2", "a", mine)], used) == ([], {})  # beyond its guarantee


def test_what_dies_is_taken_or_withdrawn_in_the_middle_is_planned_anew():
    one, tune = lender(), spec("wk-1", "data", "tune")
    machines, used = [full("n-1", "a", tune), full("n-2", "a", tune)], {"data": (64.0, 16.0)}
    service = ServingJob(replica("wk-9", tasks=2), 0, 2, 2, 5.0)
    _, made = choose(service, machines, used, lent=one)
    name = next(iter(made))
    one.pace.count_returned(made, {"wk-1": tune}, 1000.0)
    one.pace.count_returned(made, {"wk-1": tune}, 1001.0)
    assert [paid[1:] for paid in one.pace.returned] == [("maps", 2.0)]  # once, however long the claim is there
    resources = [MachineResource(held.kind, held.free) for held in machines]
    assert one.demands([service], resources, used, {"wk-9": 2}) == []  # while it stands, no second room for the same
    left = [held for held in machines if held.machine != name]  # a spot notice, or its death: the claim goes
    _, again = choose(service, left, {"data": (32.0, 8.0)}, lent=one)
    assert list(again) == [left[0].machine] and again != made
    assert one.demands([], resources, used, {}) == []  # withdrawn: nobody needs anything
    one.pace.count_returned({}, {}, 1000.0 + constants.PREEMPTION_MINUTE_S + constants.PREEMPTION_STEP_S + 1.0)
    assert not one.pace.returned and not one.pace.counted


def test_room_that_is_free_or_comes_in_time_stops_nothing():
    service, kind = ServingJob(replica("wk-9", tasks=3), 0, 3, 3, 10.0), MachineKind("g8", "a", False)
    soon = [(8.0, 8.0, 128.0, 2.0), (60.0, 24.0, 384.0, 6.0)]
    assert [
        need.count for need in lender().demands([service], [MachineResource(kind, (0.0, 0.0, 0.0), soon)], {}, {})
    ] == [1]
    assert lender().demands([service], [MachineResource(kind, (12.0, 192.0, 3.0))], {}, {}) == []
    spread = ServingJob(replica("wk-9", tasks=4, spread=True), 0, 4, 4, 10.0)
    assert [need.count for need in lender().demands([spread], [MachineResource(kind, (96.0, 768.0, 8.0))], {}, {})] == [
        2
    ]


@pytest.mark.parametrize("seed", range(4))
def test_a_load_that_swings_within_keep_s_finds_its_gpus_free(seed):
    rng, reserve, seen = random.Random(seed), GpuReserve(), []
    for second in range(600):
        used = rng.choice([2.0, 10.0, 24.0]) if second < 400 else 2.0
        reserve.record_use({"maps": used}, float(second))
        seen.append(used)
        kept = reserve.gpus("maps", 4.0, 16.0, used, 60.0, float(second))
        assert kept == max(0.0, min(16.0, max(max(seen[-61:]), used + 4.0)) - used)


def test_what_is_held_is_free_where_weights_are_and_in_few_places():
    free = [FreeGpus("n-1", 3.0, False, False), FreeGpus("n-2", 8.0, False, False), FreeGpus("n-3", 2.0, True, True)]
    assert allocate_reserve(7.0, free) == {"n-3": 2.0, "n-2": 5.0}
    assert allocate_reserve(99.0, free) == {"n-1": 3.0, "n-2": 8.0, "n-3": 2.0} and allocate_reserve(0.0, free) == {}


def text_of(lines):
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(lines)
    return parse(parser, "x.ini")


def test_a_declaration_is_read_and_said():
    text = text_of(
        "[declaration]\nrevision=1\n[serve maps/llm-*]\n[lend */tune]\nleast run = 5\n"
        "[reserve maps]\ngpus=8\n[pace]\nkeep = 30"
    )
    assert text == LendingConfiguration(
        [ServingClass("maps", "llm-*")], [LendingClass("*", "tune", 5.0, 3, 900.0)], {"maps": 8.0}, 64, 32, 30.0
    )
    assert len(check_lines(text)) == 4 and check_lines(LendingConfiguration()) == []
    both = CapacityLender([text, TEXT], TEAMS, TYPES)  # one replaces the other: the stricter
    assert not both.rules.serves(replica("wk-1", "vision")) and both.rules.lends(spec("wk-1", "maps", "batch")) is None
    assert (both.rules.reserve("maps"), both.rules.keep_s, both.limit(None).a_minute) == (8.0, 120.0, 24)


@pytest.mark.parametrize(
    "lines, said",
    [
        ("[lend */tune]", "at least one [serve"),
        ("[serve maps]", "expected [serve OWNER/WORKLOAD]"),
        ("[serve a/b]\n[lend a/b]", "declared before"),
        ("[serve a/b]\nx = 1", "no such setting"),
        ("[serve a/b]\n[reserve z]\ngpus = 1", "nothing would use it"),
        ("[serve a/b]\n[pace]\nkeep = -1", "expected a number from 0"),
        ("[serve a/b]\n[lend a/*]\nmost stops = 1.5", "expected a whole number"),
    ],
)
def test_each_fault_is_one_line(lines, said):
    with pytest.raises(ConfigError, match="x.ini") as caught:
        text_of(lines)
    assert said in str(caught.value) and "\n" not in str(caught.value)


class Fleet:
    """A leader with its desk, and one part whose machines are full of tuning."""

    def __init__(self):
        membership = Membership("host-0", 20.0, 12.0)
        known = Replica(membership, Graph(lambda spec: 1.0, []))
        self.lender = lender()
        self.leader = Leader(
            LeaderSettings(TEAMS, ZONES, Tuning(), 1.0, 17.0),
            known,
            lambda row, spec: self.lender.serves_soon(row, spec),
        )
        self.leader.on_types(TYPES)
        self.leader.enter(["host-0"], 0.0)
        self.leader.rented_machines.listed = True
        self.desk = PreemptionPlanner(self.leader, known.ledger)
        self.desk.enter(["host-0"])
        self.tune, self.serve = spec("wk-1", "data", "tune", tasks=16), replica("wk-9", tasks=4)
        for one in (self.tune, self.serve):
            known.observe_job(one.id, Record(JobState.ACTIVE, "host-0", 0.0, one.tasks, [], one), 1)

    def tell(self, now, waiting, free=0.0):
        rows = [QueueRow("wk-9", waiting, waiting, 10.0, 3600.0, None, now, False, True)] if waiting else []
        self.leader.on_queue("host-0", QueueSnapshot(rows, {"data": (64.0, 16.0 - free)}, {}, {}, 0), now)
        full = [(100.0, 32.0, 512.0, 8.0 - free)]
        self.leader.on_machine_summaries(
            "host-0",
            MachineSummaries(
                [
                    MachineSummary(name, "g8", "a", False, "up", 0.0, (64.0, 256.0, free), full, 1.0)
                    for name in ("n-0", "n-1")
                ]
            ),
            now,
        )
        for rented in self.leader.rented_machines.values():
            rented.rented_at = 0.0

    def look(self, now):
        asked = self.desk.plan(now, now, [self.lender], lambda: Teams(TEAMS, {"data": (64.0, 16.0)}), 12)
        if asked:
            rows = [
                MachineTasks(
                    f"n-{i}",
                    (64.0, 256.0, 0.0),
                    [("wk-1", 8 * i + n, 7, 60.0, True) for n in range(8)],
                    ["i"] if i else [],
                )
                for i in range(2)
            ]
            self.desk.on_tasks("host-0", MachineTaskList(rows, True), now)
            self.desk.plan(now, now, [self.lender], lambda: Teams(TEAMS, {"data": (64.0, 16.0)}), 12)
        return asked


def test_the_planner_claims_room_and_nothing_is_rented_for_it():
    site = Fleet()
    site.tell(1.0, 3)
    site.leader.scale_in_guard.refresh(0, 2, 0, 1.0)
    assert site.look(1.0)
    (group,) = site.leader.replica.ledger.planned
    assert list(group) == ["n-1"] and group["n-1"].count == 3  # where the weights are
    assert [one.count for one in site.leader.demands(1.0)] == []
    tx = site.leader.replica.ledger.due(1.0, 12, 4096)
    site.leader.replica.ledger.done(tx, 5)
    site.tell(9.0, 3)
    assert not site.look(9.0)  # no second room for the same
    assert [one.count for one in site.leader.demands(9.0)] == []
    assert site.lender.pace.stopping["maps"] == 3.0 and [one[2] for one in site.lender.pace.returned] == []
    site.tell(10.0, 4)
    assert site.look(10.0) and site.lender.pace.returned[0][1:] == ("maps", 3.0)


def test_a_need_that_nothing_serves_is_rented_for_after_a_moment():
    site = Fleet()
    site.lender = CapacityLender([LendingConfiguration(TEXT.serve, [], {}, 24, 16, 120.0)], TEAMS, TYPES)
    site.leader.scale_in_guard.refresh(0, 2, 0, 1.0)
    for now, asks in ((1.0, 0), (2.0, 0), (1.0 + constants.LEND_FIRST_S, 1)):
        site.tell(now, 3)
        site.look(now)
        assert len(site.leader.demands(now)) == asks


def test_machine_shards_leave_the_reserve_to_replicas():
    site = Fleet()
    site.tell(1.0, 0, 3.0)
    site.look(1.0)
    assert site.lender.gpus_to_reserve(site.desk, 1.0) == {"n-0": 3.0, "n-1": 1.0}  # declared beside what runs
    offers = [
        Offer("host-0", QueueRow(one.id, 9, 9, 1.0, 1.0, None, 9.0, False, False), one, 0.0, 0.0)
        for one in (site.tune, site.tune, site.serve)
    ]
    elsewhere = site.lender.limit_lending(2.0, lambda offer: 0)
    assert [offer.left - elsewhere(offer) for offer in offers] == [2, 0, 9]


LENT = LendingConfiguration([ServingClass("free", "soon")], [LendingClass("*", "tune", 1.0, 2, 300.0)], {}, 10, 6, 10.0)
GUARANTEED = {"free": (12.0, 6.0), "bound": (4.0, 2.0)}


class LendWorld(ClaimsWorld):
    """Tuning holds all GPUs, a load of replicas comes and goes, and controllers end in mid-claim."""

    def prepare(self, core):
        core.preemption.lendings = lambda now: [LENT]

    def routine(self, number):
        return msgspec.structs.replace(
            super().routine(number),
            job_class="tune",
            cpus=2.0,
            gpus=1.0,
            tasks=8,
            estimate_s=self.rng.uniform(30.0, 60.0),
            priority=self.rng.choice(["best_effort", "standard", "high"]),
        )

    def urgent(self, number):
        rng = self.rng
        return msgspec.structs.replace(
            super().urgent(number),
            kind="standing",
            team="free",
            cpus=2.0,
            gpus=rng.choice([1.0, 1.0, 2.0]),
            tasks=rng.randint(1, 3),
            estimate_s=0.0,
            spread=rng.random() < 0.3,
            types=None,
            zone=None,
            priority=rng.choice(["standard", "production"]),
        )

    def submit(self, spec):
        super().submit(spec)
        if spec.service:
            self.after(self.rng.uniform(15.0, 60.0), self.withdraw, spec.id)

    def count(self):
        super().count()
        used = Counter()
        for part in self.on:
            one = self.specs[wire.split_task_id(part)[0]]
            used[one.team, 0] += one.cpus
            used[one.team, 1] += one.gpus
        self.uses = [*getattr(self, "uses", [])[-16:], used]  # of 4 s: what the leader knows is that old at most
        for machine, room in ((name, self.kinds[name][0]) for name in self.machines if name in self.kinds):
            gpus = sum(self.specs[wire.split_task_id(part)[0]].gpus for part, on in self.on.items() if on == machine)
            if gpus > simulation.TYPES[room.type].gpus:
                raise Broken(f"gpus: {machine} has {gpus} in use")

    def may_claim(self, machine, claim):
        need = self.specs[claim.job]
        made_for = sum(
            other.count
            for name, other in self.open.items()
            if other.job == claim.job and (name == machine or self.there(name, other))
        )
        if not need.service or made_for > self.lately_waiting(claim.job):
            raise Broken(f"no_need: {claim.job} at {self.t:.2f}: {made_for} for {self.lately_waiting(claim.job)}")
        for job, index, attempt in claim.victims:
            one = self.specs[job]
            self.claimed.add((f"{job}/{index}", attempt))
            self.victims[job, index] += 1
            if one.job_class != "tune" or self.victims[job, index] > 2:
                raise Broken(f"spared: {job}/{index}, stopped {self.victims[job, index]} times")
            if one.team == need.team and one.rank >= need.rank:
                raise Broken(f"preemption: {job} ({one.priority}) for {claim.job} ({need.priority})")
        others = [
            self.specs[job]
            for name, other in self.open.items()
            for job, _, _ in other.victims
            if self.there(name, other) and self.specs[job].team != need.team
        ]
        for team in {one.team for one in others}:
            for part, least in enumerate(GUARANTEED[team]):
                stopped = sum((one.cpus, one.gpus)[part] for one in others if one.team == team)
                if max(used[team, part] for used in self.uses) - stopped < least:
                    raise Broken(f"guarantee: {team} at {self.t:.2f}")
        self.spent.append((claim.at, claim.team, len(claim.victims)))
        if sum(n for at, _, n in self.spent if at > claim.at - 60.0) > LENT.gpus_a_minute:
            raise Broken(f"pace: a minute at {self.t:.2f}")
        if sum(self.there(name, other) for name, other in self.open.items()) > LENT.gpus_at_once:
            raise Broken(f"pace: at once at {self.t:.2f}")


@pytest.fixture
def gpus(monkeypatch):
    monkeypatch.setitem(simulation.TYPES, "large", msgspec.structs.replace(simulation.TYPES["large"], gpus=4.0))
    monkeypatch.setattr(
        simulation.deployment,
        "TEAMS",
        [Team("free", *GUARANTEED["free"][:1], 0.0, GUARANTEED["free"][1]), Team("bound", 4.0, 16.0, 2.0, 8.0)],
    )


def play(seed, until=700.0, **more):
    one = LendWorld(seed, **more)
    while one.t < until and not (one.t > 220.0 and one.over()):
        one.run(one.t + 20.0)
    one.check_end()
    return one


@pytest.mark.parametrize("seed", range(5))
def test_lending_keeps_its_rules_whatever_falls(gpus, seed):
    assert play(seed, nodes=3 + 2 * (seed % 2)).starts > 0


def test_calm_runs_lend_and_without_a_declaration_nothing_stops(gpus, monkeypatch):
    assert play(103, random_faults=False, falls_in_claims=False).made > 0
    monkeypatch.setattr(LendWorld, "prepare", lambda self, core: None)
    assert play(101, random_faults=False, falls_in_claims=False).made == 0


def test_lending_leaves_another_team_its_guarantee_in_a_calm_run(gpus):
    """Of seeds 100 to 129 without faults, 107 stops tasks of a team though that is then below its guarantee."""
    assert play(107, random_faults=False, falls_in_claims=False).starts > 0
