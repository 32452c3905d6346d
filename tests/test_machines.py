"""What a part tells homes of a machine: all that is news, and proof that a grant came to nothing."""

from random import Random

from alderbridge import constants
from alderbridge.machines.context import JobLookups, Outbox
from alderbridge.machines.shard import MachineShard
from alderbridge.protocol.messages import MachineTaskReport, TaskGrant
from alderbridge.protocol.wire import Heartbeat, JobSpec, MachineRecord, ReportedTask

SPEC = JobSpec(
    id="wk-1",
    job_class="x",
    team="t",
    kind="sweep",
    priority="standard",
    tasks=9,
    cpus=1.0,
    memory_gb=1.0,
    image="i",
    image_gb=1.0,
    estimate_s=10.0,
)


def part_with_machine():
    sent = []

    def send(label, body):
        sent.append((label, body))
        return len(sent)

    part = MachineShard(
        17.0,
        JobLookups(lambda job: SPEC, lambda job: "host-1", lambda job: False),
        Outbox(send, send, lambda label: 7),
        lambda name: False,
        Random(1),
    )
    part.enter(5, ["host-0", "host-1"], {"n-1": MachineRecord("10.0.0.1:9000", "c4", "a")}, 0.0)
    part.leases.settle(0.0)
    return part, sent


def heartbeat(part, sequence, tasks=()):
    part.heartbeats.on_heartbeat(Heartbeat("n-1", "x", "c4", 1, sequence, 5, "a", tasks=list(tasks)), float(sequence))


def test_job_shards_hear_of_a_machine_once_and_then_only_news():
    part, sent = part_with_machine()
    heartbeat(part, 1)
    assert [label for label, _ in sent] == ["host-0", "host-1"]  # nothing there: proof for both
    heartbeat(part, 2)
    assert len(sent) == 2
    heartbeat(part, 3, [ReportedTask("wk-1/0", 1, "running")])
    assert [label for label, _ in sent[2:]] == ["host-1"]


def test_a_grant_that_came_to_nothing_is_told_though_the_machine_looks_as_before():
    part, sent = part_with_machine()
    heartbeat(part, 1)
    part.on_task_grant("host-1", TaskGrant(1, "wk-1", "n-1", [(0, 1)]), 1.5)
    part.drain(["n-1"])  # not sent yet: dropped
    assert sent[2:] == [("host-1", MachineTaskReport("n-1", "a", 7, [], []))]


def test_a_grant_for_a_machine_gone_meanwhile_is_answered():
    part, sent = part_with_machine()
    heartbeat(part, 1)
    part.on_terminated(["n-1"])
    before = len(sent)
    part.on_task_grant("host-1", TaskGrant(1, "wk-1", "n-1", [(0, 1)]), 1.5)
    assert sent[before:] == [("host-1", MachineTaskReport("n-1", "", 7, [], []))]


def test_an_asked_acknowledgement_is_proof_only_before_any_order_of_this_view():
    """Later it may have been written before the worker read the response that starts a task (found in review)."""
    part, sent = part_with_machine()
    part.heartbeats.on_probe_answer(Heartbeat("n-1", "x", "c4", 1, 1, 4, "a"), 1.0)
    assert not sent, "it bears an older mandate"
    part.heartbeats.on_probe_answer(Heartbeat("n-1", "x", "c4", 1, 2, 5, "a"), 1.0)
    assert {label for label, _ in sent} == {"host-0", "host-1"}, "the first one is proof, as a report would be"
    machine = part.machines["n-1"]
    part.on_task_grant("host-1", TaskGrant(part.reserve(machine, "wk-1", 1), "wk-1", "n-1", [(0, 77)]), 2.0)
    assert [order["verb"] for order in part.order_builder.orders(machine)] == ["run"]
    told = len(sent)
    part.heartbeats.on_probe_answer(Heartbeat("n-1", "x", "c4", 1, 3, 5, "a"), 2.1)
    assert ("wk-1", 0) in machine.orders.pending and len(sent) == told


def test_machines_are_asked_once_a_view_and_only_where_their_address_is_known():
    part, _ = part_with_machine()
    part.enter(
        6,
        ["host-0", "host-1"],
        {
            name: MachineRecord(address)
            for name, address in (("n-1", "10.0.0.1:9000"), ("n-2", ""), ("n-3", "10.0.0.3:9000"))
        },
        3.0,
    )
    part.heartbeats.on_probe_answer(Heartbeat("n-3", "10.0.0.3:9000", "c4", 2, 9, 6, "a"), 3.1)
    assert part.next_to_probe(3.1) == ("n-1", "10.0.0.1:9000", 1)
    assert part.next_to_probe(3.1) is None


def test_ended_tasks_are_cleared_along_with_other_orders_or_after_a_bound():
    """Each clear that went alone made its worker report anew: an eighth to a fifth of all reports."""
    part, _ = part_with_machine()
    ended = ReportedTask("wk-1/0", 70, "ended", "done")
    heartbeat(part, 1, [ended])
    machine = part.machines["n-1"]
    part.on_acknowledge_finished("n-1", "wk-1", 0, 70)
    assert part.order_builder.orders(machine) == []
    part.on_task_grant("host-1", TaskGrant(part.reserve(machine, "wk-1", 1), "wk-1", "n-1", [(1, 71)]), 1.5)
    assert [order["verb"] for order in part.order_builder.orders(machine)] == ["clear", "run"], (
        "they were to be sent anyway"
    )
    heartbeat(part, 2, [ended, ReportedTask("wk-1/1", 71, "running")])
    assert part.order_builder.orders(machine) == []
    heartbeat(part, 2 + int(constants.ACKNOWLEDGE_WAIT_S), [ended, ReportedTask("wk-1/1", 71, "running")])
    assert [order["verb"] for order in part.order_builder.orders(machine)] == ["clear"]


def test_what_frees_a_task_is_told_at_once_and_progress_with_the_next_message():
    part, sent = part_with_machine()
    later = []
    part.outbox.send_deferred = lambda label, body: later.append(body.tasks) or 0
    heartbeat(part, 1)
    del sent[:]
    for number, (status, cause) in enumerate((("fetching", None), ("running", None), ("ended", "done"))):
        heartbeat(part, 2 + number, [ReportedTask("wk-1/0", 70, status, cause), ReportedTask("wk-1/1", 71, "running")])
    heartbeat(part, 5, [ReportedTask("wk-1/1", 71, "running")])  # its home had it cleared
    assert not sent and len(later) == 4
    heartbeat(part, 6)
    assert [body.tasks for _, body in sent] == [[]], "gone without a word: its home may start it again"
    heartbeat(part, 7, [ReportedTask("wk-1/1", 72, "ended", "error")])
    assert len(sent) == 2 and len(later) == 4
