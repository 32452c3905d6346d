"""Guards against preempting tasks for urgent jobs that the free capacity could serve.

Causes: an urgent job queued behind larger jobs or reserved capacity, or a queue row older than a grant.
"""

from collections import Counter

import msgspec
import pytest
from test_capacity_under_faults import array

from alderbridge import constants
from alderbridge.priorities.demands import place_on_free_capacity, unserved_demands
from alderbridge.protocol.messages import QueueRow
from alderbridge.scheduling.demand import Demand, MachineKind, MachineResource
from alderbridge.scheduling.offers import Offer, Offers, placement_key
from alderbridge.scheduling.placement import Candidate, fill

LARGE = array(1, tasks=3, cpus=4.0, priority="best_effort")
SMALL = array(2, tasks=9, cpus=1.0, priority="standard")
URGENT = array(3, tasks=3, cpus=1.0, priority="high")
KIND = MachineKind("large", "a", True)


class UrgentOnly:
    reason = "urgent"

    def may_preempt(self, spec):
        return spec.id == URGENT.id


def queue_row(spec, late=False, boost=0, offer=None, due_in_s=10.0) -> QueueRow:
    return QueueRow(
        job=spec.id,
        waiting=spec.tasks,
        offer=spec.tasks if offer is None else offer,
        due_in_s=due_in_s,
        run_s=30.0,
        zone=None,
        waited_s=100.0,
        late=late,
        guaranteed=False,
        priority_boost=boost,
    )


def count_preempting(rows, free_cpus, claimed_tasks=()) -> int:
    """Return how many tasks of the urgent job need preemption; ``free_cpus``: of each machine."""
    specs = {spec.id: spec for spec in (LARGE, SMALL, URGENT)}
    demands = [Demand(specs[row.job], row.waiting, row.due_in_s, row.run_s) for row in rows]
    machines = [MachineResource(KIND, (cpus, 64.0, 0.0)) for cpus in free_cpus]
    unserved = unserved_demands(
        UrgentOnly(), demands, {row.job: row for row in rows}, machines, Counter(claimed_tasks), ()
    )
    return sum(demand.count for demand in unserved)


@pytest.mark.parametrize("late", (False, True))
@pytest.mark.parametrize("boost", (0, 2))
def test_free_capacity_too_small_for_the_job_ahead_serves_urgent_tasks(late, boost):
    rows = [queue_row(LARGE, boost=boost), queue_row(URGENT, late)]
    assert count_preempting(rows, [3.0, 2.0]) == 0
    assert count_preempting(rows, [1.0]) == 2, "preemption only for the tasks that do not fit"
    assert count_preempting(rows, []) == 3


def test_late_urgent_jobs_are_placed_before_jobs_that_they_may_preempt():
    rows = [queue_row(SMALL, due_in_s=1.0), queue_row(URGENT, late=True)]
    assert count_preempting(rows, [2.0]) == 1
    may_preempt = UrgentOnly().may_preempt
    assert placement_key(rows[1], URGENT, 10.0, may_preempt) < placement_key(rows[0], SMALL, 1.0, may_preempt)
    assert placement_key(rows[1], URGENT, 10.0) > placement_key(rows[0], SMALL, 1.0), (
        "without priority classes, late jobs come last"
    )


def test_tasks_that_may_not_start_now_use_no_free_capacity():
    rows = [queue_row(SMALL, offer=0), queue_row(URGENT, offer=1)]
    assert count_preempting(rows, [1.0]) == 0 and count_preempting(rows, []) == 1


def test_tasks_with_a_claim_are_not_served_twice():
    assert count_preempting([queue_row(URGENT)], [1.0], {URGENT.id: 2}) == 0


def test_placement_updates_free_capacity_and_task_ends():
    machines = [MachineResource(KIND, (6.0, 64.0, 0.0), [(5.0, 2.0, 4.0, 0.0)])]
    remaining, placed = place_on_free_capacity(
        [Demand(LARGE, 3, 9.0, 7.0), Demand(URGENT, 3, 9.0, 8.0)], [3, 3], machines
    )
    assert placed == [1, 2] and remaining[0].free[0] == 0.0
    assert [(end[0], end[1]) for end in remaining[0].ends] == [(5.0, 2.0), (7.0, 4.0), (8.0, 2.0)]


def requests(keeps_order_when_late, may_use_reserved, late=False):
    offers = Offers()
    now = 100.0
    waiting_long = msgspec.structs.replace(queue_row(LARGE, boost=2), waited_s=constants.RESERVE_MACHINE_AFTER_S + 1.0)
    rows = [(LARGE, waiting_long), (SMALL, queue_row(SMALL)), (URGENT, queue_row(URGENT, late))]
    offers.replace("host-0", [Offer("host-0", row, spec, now, 0.0, keeps_order_when_late) for spec, row in rows])
    machine = Candidate("n-1", "large", "a", True, (2.0, 64.0, 0.0), frozenset("p"))
    requested = fill(machine, offers, lambda spec: 0.0, lambda offer: 0, lambda offer: True, now, may_use_reserved)
    return [(request.job, request.count) for request in requested]


@pytest.mark.parametrize("late", (False, True))
def test_urgent_jobs_may_use_capacity_reserved_for_a_larger_job(late):
    """Otherwise tasks are preempted for the urgent job, although the larger job can't start on this machine anyway."""
    may_preempt = UrgentOnly().may_preempt
    assert requests(may_preempt, may_preempt, late) == [(URGENT.id, 2)]
    assert requests(lambda spec: False, lambda spec: False, late) == [], "reserved if no priority classes are declared"
