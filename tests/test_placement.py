"""Placement: packing onto busy machines, and filling a machine in the order of the whole queue."""

import random

import msgspec
import pytest

from alderbridge.protocol.messages import QueueRow
from alderbridge.protocol.wire import PRIORITIES, JobSpec
from alderbridge.scheduling.offers import Offer, Offers
from alderbridge.scheduling.placement import BusyMachines, Candidate, allowed, fill
from alderbridge.scheduling.resources import remaining_after, tasks_that_fit


def spec(spot=True, **more):
    return JobSpec(
        id="wk-1",
        job_class="x",
        team="t",
        kind="sweep",
        priority="standard",
        tasks=9,
        cpus=2.0,
        memory_gb=1.0,
        image="i",
        image_gb=1.0,
        estimate_s=10.0,
        spot=spot,
        **more,
    )


def test_capacity_of_busy_machines_counts_only_machines_the_job_may_use():
    busy = BusyMachines(
        [Candidate("a", "c8", "a", True, (5.0, 9.0, 0.0), {}), Candidate("b", "c8", "b", False, (8.0, 3.0, 0.0), {})]
    )
    assert busy.capacity_for(spec()) == 2 + 3
    assert busy.capacity_for(spec(spot=False)) == 3
    assert busy.capacity_for(spec(zone="a")) == 2
    assert busy.capacity_for(spec(types=["c16"])) == 0


def reference_fill(machine, rows, fetch_s, capacity_elsewhere):
    """Fill one machine by sorting the whole queue with that machine's fetch times."""
    queue = sorted(
        ((late, rank, due + fetch_s(offer.spec)), label, number, offer)
        for label, offers in rows.items()
        for number, offer in enumerate(offers)
        for late, rank, due in [offer.key]
    )
    free, requests = machine.free, []
    for _, label, _, offer in queue:
        if allowed(offer.spec, machine.type, machine.zone, machine.spot):
            if offer.row.zone in (None, machine.zone):
                count = min(tasks_that_fit(offer.spec, free), offer.remaining - capacity_elsewhere(offer))
                if count > 0:
                    free = remaining_after(free, offer.spec, count)
                    requests.append((label, offer.row.job, count))
    return requests


@pytest.mark.parametrize("seed", range(200))
def test_fill_requests_the_same_tasks_as_sorting_the_whole_queue(seed):
    rng = random.Random(seed)
    images = {"i-0": 1.0, "i-1": 1.0}
    rows, offers = {}, Offers()
    for label in ("host-0", "host-1", "host-2"):
        rows[label] = []
        for number in range(rng.randrange(12)):
            job = spec(
                spot=rng.random() < 0.7,
                types=rng.choice([None, None, ["c16"]]),
                zone=rng.choice([None, None, "a", "b"]),
            )
            job = msgspec.structs.replace(
                job,
                id=f"{label}-{number}",
                cpus=rng.choice([1.0, 2.0, 5.0]),
                priority=rng.choice(PRIORITIES),
                image=f"i-{rng.randrange(4)}",
            )
            row = QueueRow(
                job.id,
                9,
                rng.randrange(1, 6),
                rng.uniform(-5.0, 30.0),
                10.0,
                rng.choice([None, None, "a"]),
                rng.uniform(0.0, 8.0),
                rng.random() < 0.3,
                rng.random() < 0.2,
            )
            rows[label].append(Offer(label, row, job, 100.0, 4.0))
        offers.replace(label, rows[label])
    for _ in range(4):
        machine = Candidate(
            "a",
            "c8",
            rng.choice("ab"),
            rng.random() < 0.5,
            (rng.choice([0.5, 3.0, 8.0, 32.0]), rng.choice([4.0, 64.0]), 0.0),
            images,
        )

        def fetch_s(job):
            return 0.0 if job.image in images else 1.0 + 7.0 * int(job.image[-1])

        def capacity_elsewhere(offer):
            return 2 if offer.packing_until > 100.0 else 0

        expected = reference_fill(machine, rows, fetch_s, capacity_elsewhere)
        requests = fill(machine, offers, fetch_s, capacity_elsewhere, now=100.0)
        assert [(request.owner, request.job, request.count) for request in requests] == expected
