"""The paper's renting heuristics, queue times and quota division, on small cases with known results."""

import random
from collections import Counter

import msgspec
import pytest

from alderbridge.jobs.dependencies import Graph
from alderbridge.jobs.record import JobState, Record
from alderbridge.leader.leader import Leader, LeaderSettings
from alderbridge.membership.membership import Membership
from alderbridge.protocol.messages import MachineSummaries, MachineSummary, QueueRow, QueueSnapshot
from alderbridge.protocol.wire import JobSpec, MachineType
from alderbridge.scheduling import policy, queue_times, quota_division
from alderbridge.scheduling.demand import Demand, MachineKind, MachineResource
from alderbridge.scheduling.market import Market
from alderbridge.scheduling.resources import tasks_that_fit
from alderbridge.settings import Objective, Team, Tuning
from alderbridge.state.replica import Replica

BIG = MachineType(name="big", cpus=8.0, memory_gb=32.0, price=1.0, spot_price=0.3, boot_s=40.0, zones=["a"])


def spec(name="wk-1", tasks=1, cpus=2.0, estimate_s=100.0, spot=True, **more):
    return JobSpec(
        id=name,
        job_class="x",
        team="t",
        kind="sweep",
        priority="standard",
        tasks=tasks,
        cpus=cpus,
        memory_gb=1.0,
        image="i",
        image_gb=1.0,
        estimate_s=estimate_s,
        spot=spot,
        **more,
    )


def demand(count, due=50.0, run=100.0, **more):
    return Demand(spec(tasks=count, **more), count, due, run)


def big_machine(free=8.0, ends=(), spot=True):
    return MachineResource(MachineKind("big", "a", spot), (free, 32.0 if free else 0.0, 0.0), ends)


def predicted_breach(resources, queue, ignored=lambda demand: False):
    return policy.Walk(resources, queue).first_breach(ignored)


def reference_breach(resources, queue, ignored=lambda demand: False):
    """The paper's walk without optimizations: one entry per slot, one task at a time."""
    pools = {}
    for resource in resources:
        total = tuple(resource.free[i] + sum(end[i + 1] for end in resource.ends) for i in range(3))
        for one in queue:
            if policy.may_use(one, resource.kind) and tasks_that_fit(one.spec, total):
                slots = pools.setdefault((resource.kind, one.spec.id), (one.spec, []))[1]
                free, count = resource.free, tasks_that_fit(one.spec, resource.free)
                slots += [0.0] * count
                for end, *freed in sorted(resource.ends):
                    free = tuple(a + b for a, b in zip(free, freed, strict=True))
                    slots += [end] * (tasks_that_fit(one.spec, free) - count)
                    count = max(count, tasks_that_fit(one.spec, free))
                break
    for one in queue:
        before = {key: list(slots) for key, (_, slots) in pools.items()}
        for _ in range(one.count):
            usable = [slots for (kind, _), (_, slots) in pools.items() if slots and policy.may_use(one, kind)]
            if not usable or min(map(min, usable)) > max(0.0, one.due_in_s):
                if not ignored(one):
                    return one
                for key, slots in before.items():
                    pools[key][1][:] = slots
                break
            earliest_pool = min(usable, key=min)
            free_at_s = min(earliest_pool)
            earliest_pool.remove(free_at_s)
            earliest_pool.append(free_at_s + one.run_s)
    return None


def random_case(rng, machines):
    """A random fleet and queue; all tasks have one size, which keeps ``reference_breach`` simple."""
    queue = [
        Demand(
            spec(f"wk-{i}", tasks=50, spot=rng.random() < 0.7, zone=rng.choice([None, None, "a", "b"])),
            rng.randint(1, 30),
            rng.uniform(-5.0, 60.0),
            rng.choice([5.0, 20.0, 60.0]),
        )
        for i in range(rng.randint(1, 8))
    ]
    queue.sort(key=lambda one: one.due_in_s)
    resources = []
    for _ in range(rng.randint(0, machines)):
        busy = rng.randint(0, 4)
        ends = [(float(rng.randint(0, 40)), 2.0, 8.0, 0.0) for _ in range(busy)]
        kind = MachineKind("big", rng.choice("ab"), rng.random() < 0.5)
        resources.append(MachineResource(kind, (8.0 - 2.0 * busy, 32.0 - 8.0 * busy, 0.0), ends))
    return resources, queue


@pytest.mark.parametrize("seed", range(6))
def test_walk_with_counted_slots_equals_the_reference_walk(seed):
    rng = random.Random(seed)
    for _ in range(60):
        resources, queue = random_case(rng, 12)
        ignored_jobs = {one.spec.id for one in queue if rng.random() < 0.2}
        walk = policy.Walk(resources, queue)
        for ignored in (lambda one: False, lambda one, ignored_jobs=ignored_jobs: one.spec.id in ignored_jobs):
            assert walk.first_breach(ignored) is reference_breach(resources, queue, ignored)


@pytest.mark.parametrize("seed", range(4))
def test_bisection_rents_the_same_machines_as_one_by_one(seed):
    rng = random.Random(seed)
    for _ in range(40):
        resources, queue = random_case(rng, 8)
        market = Market({"big": msgspec.structs.replace(BIG, zones=["a", "b"])}, ["a", "b"], 0.9)
        machine_counts = Counter(resource.kind for resource in resources)
        fleet, one_by_one = list(resources), []
        while (breach := reference_breach(fleet, queue)) is not None:
            kind = market.cheapest_kind(breach, 0.0, machine_counts)
            one_by_one.append(kind)
            machine_counts[kind] += 1
            fleet.append(MachineResource(kind, market.capacity(kind)))
        initial_counts = Counter(resource.kind for resource in resources)
        rented = policy.machines_to_rent(policy.Walk(resources, queue), market, 0.0, 1000, initial_counts)
        assert rented == one_by_one


def test_no_breach_while_slots_are_free():
    assert predicted_breach([big_machine()], [demand(4)]) is None


def test_breach_when_the_next_slot_becomes_free_too_late():
    assert predicted_breach([big_machine()], [demand(5)]).count == 5


def test_slots_become_free_at_the_expected_end_of_their_task():
    ends = [(30.0, 2.0, 8.0, 0.0)] * 4
    assert predicted_breach([big_machine(0.0, ends)], [demand(4)]) is None
    assert predicted_breach([big_machine(0.0, ends)], [demand(4, due=29.0)]) is not None


def test_spot_machines_offer_no_slots_to_a_job_that_may_not_use_them():
    assert predicted_breach([big_machine(spot=True)], [demand(1, spot=False)]) is not None
    assert predicted_breach([big_machine(spot=False)], [demand(1, spot=False)]) is None


def test_rents_until_no_breach_is_predicted_and_uses_spot_only_below_the_bid():
    market = Market({"big": BIG}, ["a"], 0.9)

    def rented(max_new_machines):
        return policy.machines_to_rent(policy.Walk([], [demand(9)]), market, 0.0, max_new_machines, {})

    assert rented(10) == [MachineKind("big", "a", True)] * 3
    market.bid_share = 0.2
    assert rented(10) == [MachineKind("big", "a", False)] * 3
    assert len(rented(2)) == 2


def test_hard_check_rents_only_near_a_breach_and_counts_booting_machines():
    market = Market({"big": BIG}, ["a"], 0.9)
    assert policy.hard_check([demand(4, due=60.0)], market, 0.0, [], 10) == []
    assert len(policy.hard_check([demand(8, due=50.0)], market, 0.0, [], 10)) == 2
    assert len(policy.hard_check([demand(8, due=50.0)], market, 0.0, [big_machine()], 10)) == 1


def test_refused_kind_is_not_rented_until_its_pause_ends():
    market = Market({"big": BIG}, ["a"], 0.9, {MachineKind("big", "a", True): 10.0})
    assert market.cheapest_kind(demand(1), 5.0) == MachineKind("big", "a", False)
    assert market.cheapest_kind(demand(1), 11.0) == MachineKind("big", "a", True)


def test_maximum_queue_time_has_a_floor():
    tuning = Tuning(target_ratio=0.5, queue_time_floor_s=120.0)
    assert queue_times.max_queue_time(spec(estimate_s=60.0), tuning) == 120.0
    assert queue_times.max_queue_time(spec(estimate_s=600.0), tuning) == 300.0


def test_objectives_set_the_queue_times_and_jobs_that_missed_all_are_late():
    objectives = [Objective("wait", "x", 20.0), Objective("finished", "x", 200.0), Objective("wait", "other", 1.0)]
    times = queue_times.queue_times(spec(estimate_s=10.0), Tuning(), objectives, False)
    assert times == [(12.0, 20.0), (186.0, 192.0)]
    assert queue_times.due_in(5.0, times) == (7.0, False)
    assert queue_times.due_in(13.0, times) == (-1.0, False)
    assert queue_times.due_in(21.0, times) == (165.0, False)
    assert queue_times.due_in(500.0, times) == (186.0, True)
    assert queue_times.queue_times(spec(), Tuning(), [], False) == [(120.0, 120.0)]


def test_idle_machine_is_kept_only_if_its_removal_predicts_a_breach():
    fleet = [big_machine(), big_machine()]
    assert policy.must_keep_idle(policy.Walk(fleet, [demand(8)]), fleet[0])
    assert not policy.must_keep_idle(policy.Walk(fleet, [demand(4)]), fleet[0])


def test_idle_machine_is_not_kept_for_a_demand_that_cannot_use_it():
    other_zone = msgspec.structs.replace(spec(cpus=2.0), zone="b")
    too_large = spec(cpus=9.0)
    for unsuitable in (other_zone, too_large):
        waiting = [Demand(unsuitable, 1, 5.0, 100.0)]
        assert predicted_breach([big_machine()], waiting) is waiting[0]
        assert not policy.must_keep_idle(policy.Walk([big_machine()], waiting), big_machine())
    mixed = [Demand(other_zone, 1, 5.0, 100.0), demand(8)]
    assert policy.must_keep_idle(policy.Walk([big_machine(), big_machine()], mixed), big_machine()), (
        "the other demand needs both"
    )


def test_quotas_of_all_job_shards_never_exceed_the_limit():
    rng = random.Random(5)
    owners = ["a", "b", "c"]
    reserved, allocated = dict.fromkeys(owners, 0.0), dict.fromkeys(owners, 0.0)
    used = dict.fromkeys(owners, 0.0)
    for _ in range(500):
        demands = [
            quota_division.QuotaDemand(
                rng.choice(owners), rng.uniform(0.0, 80.0), rng.choice([0.0, 1.0, 40.0]), starved
            )
            for starved in rng.choices([False, True], k=rng.randint(0, 4))
        ]
        quotas = quota_division.divide_quota(100.0, used, reserved, allocated, demands)
        assert sum(max(reserved[owner], quotas.get(owner, 0.0)) for owner in owners) <= 100.0 + 1e-6
        allocated = quotas
        for owner in owners:  # the shard confirms its quota and uses up to it
            used[owner] = max(0.0, min(max(used[owner], allocated.get(owner, 0.0)), rng.uniform(0.0, 100.0)))
            reserved[owner] = max(used[owner], allocated.get(owner, 0.0))


def test_unused_quota_goes_to_the_first_demand():
    used = {"a": 60.0, "b": 0.0}
    demands = [quota_division.QuotaDemand("b", 30.0), quota_division.QuotaDemand("a", 50.0)]
    quotas = quota_division.divide_quota(100.0, dict(used), dict(used), {"a": 60.0, "b": 0.0}, demands)
    assert quotas == {"a": 70.0, "b": 30.0}


def test_machines_are_rented_for_the_job_that_the_teams_quota_is_allocated_to():
    """Guards against renting for one job while the quota is reserved for another, so that neither starts."""
    membership = Membership("host-0", 20.0, 12.0)
    replica = Replica(membership, Graph(lambda spec: 1.0, []))
    leader = Leader(LeaderSettings([Team("t", cpus_max=16.0)], ["a"], Tuning(), 1.0, 17.0), replica)
    leader.on_types(
        {
            "large": MachineType(
                name="large", cpus=16.0, memory_gb=64.0, price=1.0, spot_price=0.3, boot_s=10.0, zones=["a"]
            )
        }
    )
    leader.enter_view(["host-0", "host-1"], 0.0)
    leader.rented_machines.listed = True
    first = spec(tasks=6, cpus=4.0, spot=False)
    other = msgspec.structs.replace(first, id="wk-2", priority="best_effort", tasks=13, cpus=2.0, spot=True)
    for label, one in (("host-1", other), ("host-0", first)):
        replica.observe_job(one.id, Record(JobState.ACTIVE, label, 0.0, one.tasks, [], one), 1)
        row = QueueRow(one.id, one.tasks, 0, 120.0, 10.0, None, 300.0, True, False)
        leader.on_queue(label, QueueSnapshot([row], {}, {}, {"t": (one.tasks * one.cpus, 0.0)}, 0), 1.0)
        leader.on_machine_summaries(label, MachineSummaries([]), 1.0)
    leader.on_scaled_out(MachineKind("large", "a", True), ["n-1"], 0.0)
    leader.on_machine_summaries(
        "host-0",
        MachineSummaries([MachineSummary("n-1", "large", "a", True, "up", 9.0, (16.0, 64.0, 0.0), [], 1.0)]),
        1.0,
    )
    quotas = leader.quota_updates(1.0)
    assert quotas["host-0"]["t"][0] == 16.0
    assert [kind for kind, _ in leader.decide(1.0).scale_out] == [MachineKind("large", "a", False)]
