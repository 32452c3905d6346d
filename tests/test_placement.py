"""Light work gathers on busy machines."""

from alderbridge.placement import Busy, Candidate
from alderbridge.wire import JobSpec


def spec(spot=True, **more):
    return JobSpec(id="wk-1", job_class="x", team="t", kind="sweep", priority="standard", tasks=9, cpus=2.0,
                   memory_gb=1.0, image="i", image_gb=1.0, estimate_s=10.0, spot=spot, **more)


def test_room_on_busy_machines_is_what_the_job_may_use():
    busy = Busy([Candidate("a", "c8", "a", True, (5.0, 9.0, 0.0), {}),
                 Candidate("b", "c8", "b", False, (8.0, 3.0, 0.0), {})])
    assert busy.room(spec()) == 2 + 3
    assert busy.room(spec(spot=False)) == 3
    assert busy.room(spec(zone="a")) == 2
    assert busy.room(spec(types=["c16"])) == 0
