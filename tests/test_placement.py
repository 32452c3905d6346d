"""The order in which work that can wait fills machines."""

import random

from alderbridge.placement import Ahead, Candidate, filling, fits
from alderbridge.wire import JobSpec


def spec(cpus=2.0, spot=True, image="i"):
    return JobSpec(id="wk-1", job_class="x", team="t", kind="sweep", priority="standard", tasks=9, cpus=cpus,
                   memory_gb=1.0, image=image, image_gb=1.0, estimate_s=10.0, spot=spot)


def machine(name, cpus, spot=True, images=("i",)):
    return Candidate(name, "c16", "a", spot, (cpus, 64.0, 0.0), frozenset(images))


def test_work_is_left_to_fuller_machines_then_to_spot_then_to_idle_ones():
    full, half, idle, ordinary = machine("a", 2.0), machine("b", 8.0), machine("c", 16.0), machine("d", 2.0, False)
    ahead = Ahead([(ordinary, False), (idle, True), (half, False), (full, False)])
    rooms = [ahead.room(spec(), one, one is idle) for one in (full, half, idle, ordinary)]
    assert rooms == [0, 1, 5, 13]
    assert ahead.room(spec(spot=False), ordinary, False) == 0  # may not go to the spot machines before it


def test_a_machine_with_the_image_leaves_work_only_to_others_that_have_it():
    ahead = Ahead([(machine("a", 4.0, images=()), False), (machine("b", 8.0), False)])
    assert ahead.room(spec(), machine("b", 8.0), False) == 0
    assert ahead.room(spec(image="j"), machine("b", 8.0), False) == 2


def test_some_machine_always_takes_what_fits_anywhere():
    """Work that every machine left to another would wait for ever."""
    rng = random.Random(3)
    for _ in range(300):
        machines = [(machine(f"n-{i}", rng.randint(0, 8) * 2.0, rng.random() < 0.5,
                             rng.choice([(), ("i",)])), rng.random() < 0.5) for i in range(rng.randint(1, 9))]
        job = spec(spot=rng.random() < 0.7)
        ahead = Ahead(machines)
        able = [(one, idle) for one, idle in machines if (job.spot or not one.spot) and fits(job, one.free)]
        if able:
            first = min(able, key=lambda entry: filling(*entry))
            assert ahead.room(job, *first) == 0
