"""What a part tells homes of a machine: all that is news, and proof that a grant came to nothing."""

from alderbridge.machines import Part
from alderbridge.mesh import Grant, Seen
from alderbridge.wire import Beat, JobSpec, ReportedTask

SPEC = JobSpec(id="wk-1", job_class="x", team="t", kind="sweep", priority="standard", tasks=9, cpus=1.0,
               memory_gb=1.0, image="i", image_gb=1.0, estimate_s=10.0)


def part_with_machine():
    sent = []
    part = Part("host-0", 17.0, lambda label, body: sent.append((label, body)) or len(sent),
                lambda job: SPEC, lambda job: "host-1")
    part.upto = lambda label: 7
    part.enter(5, ["host-0", "host-1"], ["n-1"], 0.0)
    part.settle(0.0)
    return part, sent


def beat(part, counter, tasks=()):
    part.on_beat(Beat("n-1", "x", "c4", 1, counter, 5, "a", tasks=list(tasks)), float(counter))


def test_homes_hear_of_a_machine_once_and_then_only_news():
    part, sent = part_with_machine()
    beat(part, 1)
    assert [label for label, _ in sent] == ["host-0", "host-1"]  # nothing there: proof for both
    beat(part, 2)
    assert len(sent) == 2
    beat(part, 3, [ReportedTask("wk-1/0", 1, "running")])
    assert [label for label, _ in sent[2:]] == ["host-1"]


def test_a_grant_that_came_to_nothing_is_told_though_the_machine_looks_as_before():
    part, sent = part_with_machine()
    beat(part, 1)
    part.on_grant("host-1", Grant(1, "wk-1", "n-1", [(0, 1)]), 1.5)
    part.drain(["n-1"])  # not sent yet: dropped
    assert sent[2:] == [("host-1", Seen("n-1", "a", 7, [], []))]


def test_a_grant_for_a_machine_gone_meanwhile_is_answered():
    part, sent = part_with_machine()
    beat(part, 1)
    part.on_gone(["n-1"])
    before = len(sent)
    part.on_grant("host-1", Grant(1, "wk-1", "n-1", [(0, 1)]), 1.5)
    assert sent[before:] == [("host-1", Seen("n-1", "", 7, [], []))]
