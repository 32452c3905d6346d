"""Reports to job owners on a machine: sent on each change, and as proof that a grant was not carried out."""

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


def machine_shard_with_machine():
    sent = []

    def send(label, body):
        sent.append((label, body))
        return len(sent)

    shard = MachineShard(
        17.0,
        JobLookups(lambda job: SPEC, lambda job: "host-1", lambda job: False),
        Outbox(send, send, lambda label: 7),
        lambda name: False,
        Random(1),
    )
    shard.enter_view(5, ["host-0", "host-1"], {"n-1": MachineRecord("10.0.0.1:9000", "c4", "a")}, 0.0)
    shard.leases.settle(0.0)
    return shard, sent


def heartbeat(shard, sequence, tasks=(), incarnation=1):
    shard.heartbeats.on_heartbeat(
        Heartbeat("n-1", "x", "c4", incarnation, sequence, 5, "a", tasks=list(tasks)), float(sequence)
    )


def test_job_owners_get_one_report_on_a_machine_and_then_only_changes():
    shard, sent = machine_shard_with_machine()
    heartbeat(shard, 1)
    assert [label for label, _ in sent] == ["host-0", "host-1"]  # both learn that no task is there
    heartbeat(shard, 2)
    assert len(sent) == 2
    heartbeat(shard, 3, [ReportedTask("wk-1/0", 1, "running")])
    assert [label for label, _ in sent[2:]] == ["host-1"]


def test_a_grant_that_is_not_carried_out_is_reported_though_the_machine_has_not_changed():
    shard, sent = machine_shard_with_machine()
    heartbeat(shard, 1)
    shard.on_task_grant("host-1", TaskGrant(1, "wk-1", "n-1", [(0, 1)]), 1.5)
    shard.drain(["n-1"])  # the run order is unsent: the grant is dropped
    assert sent[2:] == [("host-1", MachineTaskReport("n-1", "a", 7, [], []))]


def test_a_grant_for_a_terminated_machine_is_answered():
    shard, sent = machine_shard_with_machine()
    heartbeat(shard, 1)
    shard.on_terminated(["n-1"])
    sent_before = len(sent)
    shard.on_task_grant("host-1", TaskGrant(1, "wk-1", "n-1", [(0, 1)]), 1.5)
    assert sent[sent_before:] == [("host-1", MachineTaskReport("n-1", "", 7, [], []))]


def test_a_probe_answer_is_proof_only_before_any_order_of_this_view():
    """A later one may have been sent before the worker read the response that starts a task."""
    shard, sent = machine_shard_with_machine()
    shard.heartbeats.on_probe_answer(Heartbeat("n-1", "x", "c4", 1, 1, 4, "a"), 1.0)
    assert not sent, "it has an older fencing token"
    shard.heartbeats.on_probe_answer(Heartbeat("n-1", "x", "c4", 1, 2, 5, "a"), 1.0)
    assert {label for label, _ in sent} == {"host-0", "host-1"}, "the first one with this view's token is proof"
    machine = shard.machines["n-1"]
    shard.on_task_grant("host-1", TaskGrant(shard.reserve(machine, "wk-1", 1), "wk-1", "n-1", [(0, 77)]), 2.0)
    assert [order["verb"] for order in shard.order_builder.orders(machine)] == ["run"]
    sent_before = len(sent)
    shard.heartbeats.on_probe_answer(Heartbeat("n-1", "x", "c4", 1, 3, 5, "a"), 2.1)
    assert ("wk-1", 0) in machine.orders.pending and len(sent) == sent_before


def test_machines_are_probed_once_per_view_and_only_if_their_address_is_recorded():
    shard, _ = machine_shard_with_machine()
    shard.enter_view(
        6,
        ["host-0", "host-1"],
        {
            name: MachineRecord(address)
            for name, address in (("n-1", "10.0.0.1:9000"), ("n-2", ""), ("n-3", "10.0.0.3:9000"))
        },
        3.0,
    )
    shard.heartbeats.on_probe_answer(Heartbeat("n-3", "10.0.0.3:9000", "c4", 2, 9, 6, "a"), 3.1)
    assert shard.next_to_probe(3.1) == ("n-1", "10.0.0.1:9000", 1)
    assert shard.next_to_probe(3.1) is None


def test_finished_tasks_are_acknowledged_along_with_other_orders_or_after_a_bound():
    """An acknowledgement sent alone makes the worker send an extra heartbeat."""
    shard, _ = machine_shard_with_machine()
    ended = ReportedTask("wk-1/0", 70, "ended", "done")
    heartbeat(shard, 1, [ended])
    machine = shard.machines["n-1"]
    shard.on_acknowledge_finished("n-1", "wk-1", 0, 70)
    assert shard.order_builder.orders(machine) == []
    shard.on_task_grant("host-1", TaskGrant(shard.reserve(machine, "wk-1", 1), "wk-1", "n-1", [(1, 71)]), 1.5)
    assert [order["verb"] for order in shard.order_builder.orders(machine)] == ["clear", "run"], (
        "the acknowledgement is sent along with the run order"
    )
    heartbeat(shard, 2, [ended, ReportedTask("wk-1/1", 71, "running")])
    assert shard.order_builder.orders(machine) == []
    heartbeat(shard, 2 + int(constants.ACKNOWLEDGE_DELAY_S), [ended, ReportedTask("wk-1/1", 71, "running")])
    assert [order["verb"] for order in shard.order_builder.orders(machine)] == ["clear"]


def test_lost_and_failed_tasks_are_reported_at_once_and_progress_with_the_next_message():
    shard, sent = machine_shard_with_machine()
    deferred = []
    shard.outbox.send_deferred = lambda label, body: deferred.append(body.tasks) or 0
    heartbeat(shard, 1)
    del sent[:]
    for number, (status, cause) in enumerate((("fetching", None), ("running", None), ("ended", "done"))):
        heartbeat(shard, 2 + number, [ReportedTask("wk-1/0", 70, status, cause), ReportedTask("wk-1/1", 71, "running")])
    heartbeat(shard, 5, [ReportedTask("wk-1/1", 71, "running")])  # acknowledged as finished
    assert not sent and len(deferred) == 4
    heartbeat(shard, 6)
    assert [body.tasks for _, body in sent] == [[]], "a live task disappeared: its job owner may restart it"
    heartbeat(shard, 7, [ReportedTask("wk-1/1", 72, "ended", "error")])
    assert len(sent) == 2 and len(deferred) == 4
