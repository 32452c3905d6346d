"""Guards the cancellation bound: no task of a job runs later than ``CANCEL_S`` after its cancellation is confirmed.

It must hold while the leader loses the store, then all do, and controllers pause or lose messages; see docs/design.md,
"Cancelled". The tests also disable each condition that the bound rests on.
"""

import msgspec
import pytest
from simulation import CANCEL_S, LEASE_S, InvariantViolation, SimController, World
from test_conditions_to_act import without_freshness
from test_machines import heartbeat, machine_shard_with_machine

from alderbridge.controller.job_directory import JobDirectory
from alderbridge.membership.membership import Membership
from alderbridge.membership.records import View
from alderbridge.protocol import messages
from alderbridge.protocol.keys import VIEW
from alderbridge.protocol.messages import TaskGrant
from alderbridge.protocol.wire import Heartbeat, MachineRecord, ReportedTask

REFUSED_AT, REFUSED_S = 60.0, 14.0
OUTAGE_AT, OUTAGE_S = 62.0, 58.0  # the outage is longer than ``CANCEL_S``
JOBS, STEP_S = 24, 3.2  # half are cancelled within 6 s before the outage, the others every ``STEP_S``


class StoreGapController(SimController):
    """A controller whose watch may hang, and which may be paused."""

    watch_hangs_until = paused_until = 0.0
    watching = False

    def call(self, on_response, on_failure, method, *args, too_large=None) -> None:
        world, incarnation = self.world, self.life

        def when_resumed(callback):
            def deliver(*response):
                if incarnation == self.life and world.t < self.paused_until:
                    world.after(self.paused_until - world.t, deliver, *response)
                elif incarnation == self.life:
                    callback(*response)

            return deliver

        on_response, on_failure = when_resumed(on_response), when_resumed(on_failure)
        if self.watching and world.t < self.watch_hangs_until:  # then the response has all changes
            world.after(self.watch_hangs_until - world.t, super().call, on_response, on_failure, method, *args)
        else:
            super().call(on_response, on_failure, method, *args, too_large=too_large)

    def follow(self) -> None:
        self.watching = True
        super().follow()
        self.watching = False

    def loop(self, incarnation, step, interval_s) -> None:
        if incarnation == self.life and self.world.t < self.paused_until:
            self.world.after(self.paused_until - self.world.t, self.loop, incarnation, step, interval_s)
        else:
            super().loop(incarnation, step, interval_s)

    def frame(self, data: bytes) -> None:
        if self.world.t < self.paused_until:
            self.world.after(self.paused_until - self.world.t, self.frame, data)
            return
        frame = msgspec.msgpack.decode(data, type=messages.Frame)
        if self.world.stop_messages_lost and isinstance(frame.body, messages.StopTask):
            data = msgspec.msgpack.encode(msgspec.structs.replace(frame, body=messages.KeepAlive()))
        super().frame(data)

    def heartbeat(self, raw: bytes, reply) -> None:
        if self.world.t < self.paused_until:
            self.world.after(self.paused_until - self.world.t, self.heartbeat, raw, reply)
            return

        def reply_when_resumed(status: int, body: bytes) -> None:  # it may pause between decision and response
            self.world.after(max(0.0, self.paused_until - self.world.t), reply, status, body)

        super().heartbeat(raw, reply_when_resumed)


class StoreGapWorld(World):
    controller_class = StoreGapController

    def __init__(self, seed: int, **options) -> None:
        self.stop_messages_lost = False
        super().__init__(seed, jobs=0, random_faults=False, nodes=5, **options)
        for number in range(JOBS):
            spec = msgspec.structs.replace(
                self.make_job(number),
                kind="sweep",
                team="free",
                cpus=1.0,
                tasks=self.rng.randint(2, 3),
                estimate_s=1000.0,
                types=None,
                zone=None,
                one_zone=False,
                spread=False,
            )
            self.after(self.rng.uniform(1.0, 10.0), self.submit, spec)
            cancelled_after_s = 2.0 - 6.0 * self.rng.random() if number % 2 else STEP_S * number
            self.after(REFUSED_AT + cancelled_after_s, self.cancel, spec.id)

    def current_leader(self) -> StoreGapController:
        return self.controllers[msgspec.json.decode(self.store.data[VIEW][0], type=View).leader]


def run_store_gap(seed, *, stop_messages_lost=True, leader_fault="refused", pause_s=0.0, outage_s=OUTAGE_S):
    """``leader_fault``: how the leader loses the store before all do; ``pause_s``: how long it is paused as well."""
    world = StoreGapWorld(seed)
    world.run(REFUSED_AT)
    assert len(world.running_on) > JOBS, "most tasks are running"
    sim, world.stop_messages_lost = world.current_leader(), stop_messages_lost
    if leader_fault == "refused":
        sim.refused_until, sim.follow_hangs = world.t + REFUSED_S, True
    else:
        sim.watch_hangs_until = world.t + 2 * CANCEL_S
    if pause_s:
        pause_after_s = world.rng.uniform(0.0, 15.0)
        world.after(pause_after_s, lambda: setattr(sim, "paused_until", world.t + pause_s))
    if outage_s:
        world.after(OUTAGE_AT - REFUSED_AT, world.store.outage, outage_s)
    world.run(REFUSED_AT + STEP_S * JOBS + CANCEL_S + 10.0)
    confirmed_at = sorted(world.cancelled_at[job] for job in world.reported_ends)
    assert len(confirmed_at) == JOBS and confirmed_at[0] < OUTAGE_AT < confirmed_at[-1]
    return world


@pytest.mark.parametrize(
    "seed, stop_messages_lost, pause_s", [(1, False, 0.0), (2, True, 0.0), (3, True, 9.0), (4, True, 30.0)]
)
def test_cancelled_tasks_stop_in_time_during_a_store_outage(seed, stop_messages_lost, pause_s):
    run_store_gap(seed, stop_messages_lost=stop_messages_lost, pause_s=pause_s)


@pytest.mark.parametrize("seed", (5, 6))
def test_member_with_a_hanging_watch_stops_acting(seed):
    """Guards the freshness of the replica, which alone stops a member whose store lease is renewed."""
    run_store_gap(seed, leader_fault="hanging", outage_s=0.0)


def ignore_cancellations(monkeypatch):
    monkeypatch.setattr(JobDirectory, "is_aborted", lambda self, job: False)


def act_longer_than_cancel_s(monkeypatch):
    """Store lease and worker lease together exceed ``cancel_s``."""
    original = Membership.__init__
    monkeypatch.setattr(
        Membership, "__init__", lambda self, me, ttl_s, older_ttl_s=None: original(self, me, CANCEL_S, None)
    )
    # The simulated store keeps leases for as long.
    monkeypatch.setattr("alderbridge.constants.COMBINED_LEASE_S", CANCEL_S + LEASE_S)


def act_without_valid_lease(monkeypatch):
    def may_act(self, now):
        return self.view.members.get(self.me) == self.store_lease.lease_id != 0

    monkeypatch.setattr(Membership, "may_act", may_act)


@pytest.mark.parametrize(
    "fault, options",
    [
        (ignore_cancellations, {"outage_s": 0.0}),
        (without_freshness, {"leader_fault": "hanging", "outage_s": 0.0}),
        (act_longer_than_cancel_s, {}),
        (act_without_valid_lease, {}),
    ],
)
def test_disabling_any_condition_violates_the_cancellation_bound(monkeypatch, fault, options):
    fault(monkeypatch)
    with pytest.raises(InvariantViolation, match="ran_cancelled"):
        run_store_gap(2, **options)


def shard_with_cancelled_job(cancelled=True):
    shard, sent = machine_shard_with_machine()
    heartbeat(shard, 1)
    shard.jobs.is_aborted = lambda job: cancelled
    return shard, shard.machines["n-1"], sent


def encoded_orders(shard, machine):
    return [(order["verb"], order["part"], order["try"]) for order in shard.order_builder.orders(machine)]


@pytest.mark.parametrize("cancelled", (True, False))
def test_heartbeat_response_halts_tasks_of_cancelled_jobs(cancelled):
    """Guards against waiting for an order of the job owner, which may be unreachable."""
    shard, machine, _ = shard_with_cancelled_job(cancelled)
    heartbeat(
        shard,
        2,
        [
            ReportedTask("wk-1/0", 70, "running"),
            ReportedTask("wk-1/1", 71, "saving"),
            ReportedTask("wk-1/2", 72, "ended", "halted"),
        ],
    )
    halts = [("halt", "wk-1/0", 70), ("halt", "wk-1/1", 71)]
    assert encoded_orders(shard, machine) == (halts if cancelled else [])
    assert all(order["wind_down_s"] == 0.0 for order in shard.order_builder.orders(machine))
    heartbeat(shard, 3, [ReportedTask("wk-1/0", 70, "ended", "halted")])
    assert encoded_orders(shard, machine) == []


def test_heartbeat_with_an_older_fencing_token_halts_cancelled_tasks():
    """Guards against tasks that outlive ``CANCEL_S`` while views change quickly: each response renews the lease."""
    shard, machine, sent = shard_with_cancelled_job()
    for fencing_token in range(6, 30):
        shard.enter_view(
            fencing_token, ["host-0", "host-1"], {"n-1": MachineRecord("10.0.0.1:9000", "c4", "a")}, 2.0 * fencing_token
        )
        shard.leases.settle(2.0 * fencing_token)
        sent_count = len(sent)
        reported = [ReportedTask("wk-1/0", 70, "running")]
        machine = shard.heartbeats.on_heartbeat(
            Heartbeat("n-1", "x", "c4", 1, fencing_token, fencing_token - 1, "a", tasks=reported),
            2.0 * fencing_token + 1.0,
        )
        assert encoded_orders(shard, machine) == [("halt", "wk-1/0", 70)]
        assert len(sent) == sent_count and not machine.acknowledged, "the heartbeat changes nothing else"
    shard.jobs.is_aborted = lambda job: False
    assert encoded_orders(shard, machine) == [], (
        "other orders, also a halt from the job owner, wait for the acknowledgement"
    )


def test_granted_task_of_a_cancelled_job_is_not_started():
    """Guards against starting a task that was granted before the cancellation and waited for the next heartbeat."""
    shard, machine, sent = shard_with_cancelled_job(False)
    shard.on_task_grant("host-1", TaskGrant(shard.reserve(machine, "wk-1", 1), "wk-1", "n-1", [(0, 70)]), 1.5)
    shard.jobs.is_aborted = lambda job: True
    assert encoded_orders(shard, machine) in ([("halt", "wk-1/0", 70)], [])
    assert encoded_orders(shard, machine) == [("halt", "wk-1/0", 70)]
    sent_count = len(sent)
    heartbeat(shard, 2)
    assert not machine.orders.pending and len(sent) > sent_count, "the job owner is notified"
