"""The store refuses one controller alone, others confirm cancellations, then nobody has the store for long.

The argument is in docs/design.md, "Cancelled": within ``CANCEL_S`` of the confirmation nothing of the job is on a
machine, whoever is cut off, stands still or loses messages. Each of its terms is taken out here, and seen to be missed.
"""

import msgspec
import pytest
from simulation import CANCEL_S, LEASE_S, Broken, SimController, World
from test_conditions_to_act import without_freshness
from test_machines import heartbeat, part_with_machine

from alderbridge.controller.job_directory import JobDirectory
from alderbridge.membership.membership import Membership
from alderbridge.membership.records import View
from alderbridge.protocol import messages
from alderbridge.protocol.keys import VIEW
from alderbridge.protocol.messages import TaskGrant
from alderbridge.protocol.wire import Heartbeat, MachineRecord, ReportedTask

REFUSED_AT, REFUSED_S = 60.0, 14.0
OUTAGE_AT, OUTAGE_S = 62.0, 58.0  # longer than ``CANCEL_S``
JOBS, STEP_S = 24, 3.2  # half are cancelled just before the outage, the others one after the other


class GapNode(SimController):
    """May have a watch that only hangs, or stand still."""

    hangs_until = still_until = 0.0
    watching = False

    def call(self, then, fail, method, *args, too_large=None) -> None:
        world, life = self.world, self.life

        def awake(what):
            def deliver(*answer):
                if life == self.life and world.t < self.still_until:
                    world.after(self.still_until - world.t, deliver, *answer)
                elif life == self.life:
                    what(*answer)

            return deliver

        then, fail = awake(then), awake(fail)
        if self.watching and world.t < self.hangs_until:  # it is answered when all is well, with everything
            world.after(self.hangs_until - world.t, super().call, then, fail, method, *args)
        else:
            super().call(then, fail, method, *args, too_large=too_large)

    def follow(self) -> None:
        self.watching = True
        super().follow()
        self.watching = False

    def loop(self, life, step, pause) -> None:
        if life == self.life and self.world.t < self.still_until:
            self.world.after(self.still_until - self.world.t, self.loop, life, step, pause)
        else:
            super().loop(life, step, pause)

    def frame(self, data: bytes) -> None:
        if self.world.t < self.still_until:
            self.world.after(self.still_until - self.world.t, self.frame, data)
            return
        frame = msgspec.msgpack.decode(data, type=messages.Frame)
        if self.world.halts_lost and isinstance(frame.body, messages.StopTask):
            data = msgspec.msgpack.encode(msgspec.structs.replace(frame, body=messages.KeepAlive()))
        super().frame(data)

    def heartbeat(self, raw: bytes, reply) -> None:
        if self.world.t < self.still_until:
            self.world.after(self.still_until - self.world.t, self.heartbeat, raw, reply)
            return

        def later(status: int, body: bytes) -> None:  # it may fall still between the decision and the sending
            self.world.after(max(0.0, self.still_until - self.world.t), reply, status, body)

        super().heartbeat(raw, later)


class GapWorld(World):
    process = GapNode

    def __init__(self, seed: int, **more) -> None:
        self.halts_lost = False
        super().__init__(seed, jobs=0, random_faults=False, nodes=5, **more)
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
            at = 2.0 - 6.0 * self.rng.random() if number % 2 else STEP_S * number
            self.after(REFUSED_AT + at, self.withdraw, spec.id)

    def old_leader(self) -> GapNode:
        return self.nodes[msgspec.json.decode(self.store.data[VIEW][0], type=View).leader]


def gap(seed, *, halts_lost=True, alone="refused", still=0.0, outage=OUTAGE_S):
    """``alone``: what the leader meets before all lose the store; ``still``: for so long it stands still as well."""
    world = GapWorld(seed)
    world.run(REFUSED_AT)
    assert len(world.on) > JOBS, "most tasks run by then"
    sim, world.halts_lost = world.old_leader(), halts_lost
    if alone == "refused":
        sim.refused_until, sim.follow_hangs = world.t + REFUSED_S, True
    else:
        sim.hangs_until = world.t + 2 * CANCEL_S
    if still:
        at = world.rng.uniform(0.0, 15.0)
        world.after(at, lambda: setattr(sim, "still_until", world.t + still))
    if outage:
        world.after(OUTAGE_AT - REFUSED_AT, world.store.outage, outage)
    world.run(REFUSED_AT + STEP_S * JOBS + CANCEL_S + 10.0)
    told = sorted(world.cancelled_at[job] for job in world.said)
    assert len(told) == JOBS and told[0] < OUTAGE_AT < told[-1]
    return world


@pytest.mark.parametrize("seed, halts_lost, still", [(1, False, 0.0), (2, True, 0.0), (3, True, 9.0), (4, True, 30.0)])
def test_what_was_confirmed_is_gone_in_time_though_nobody_has_the_store(seed, halts_lost, still):
    gap(seed, halts_lost=halts_lost, still=still)


@pytest.mark.parametrize("seed", (5, 6))
def test_a_watch_that_only_hangs_ends_what_its_member_may_do(seed):
    """Its hold is renewed all the while: freshness alone stops it."""
    gap(seed, alone="hanging", outage=0.0)


def knows_of_no_cancellation(monkeypatch):
    monkeypatch.setattr(JobDirectory, "cancelled", lambda self, job: False)


def acts_for_longer_than_cancellations_allow(monkeypatch):
    """As if ttl and lease together were not kept below ``cancel_s``."""
    init = Membership.__init__
    monkeypatch.setattr(
        Membership, "__init__", lambda self, me, ttl_s, older_ttl_s=None: init(self, me, CANCEL_S, None)
    )
    monkeypatch.setattr("alderbridge.constants.TOTAL_LEASE_S", CANCEL_S + LEASE_S)  # the world's holds last as long


def answers_whatever_it_may(monkeypatch):
    def may_act(self, now):
        return self.view.members.get(self.me) == self.store_lease.lease_id != 0

    monkeypatch.setattr(Membership, "may_act", may_act)


@pytest.mark.parametrize(
    "fault, more",
    [
        (knows_of_no_cancellation, {"outage": 0.0}),
        (without_freshness, {"alone": "hanging", "outage": 0.0}),
        (acts_for_longer_than_cancellations_allow, {}),
        (answers_whatever_it_may, {}),
    ],
)
def test_each_term_of_the_argument_is_needed(monkeypatch, fault, more):
    fault(monkeypatch)
    with pytest.raises(Broken, match="ran_cancelled"):
        gap(2, **more)


def part_of_a_cancelled_job(cancelled=True):
    part, sent = part_with_machine()
    heartbeat(part, 1)
    part.jobs.cancelled = lambda job: cancelled
    return part, part.machines["n-1"], sent


def verbs(part, machine):
    return [(order["verb"], order["part"], order["try"]) for order in part.order_builder.orders(machine)]


@pytest.mark.parametrize("cancelled", (True, False))
def test_who_answers_a_heartbeat_stops_what_it_knows_to_be_cancelled(cancelled):
    """Without a word of the job's home, which may be cut off from here alone."""
    part, machine, _ = part_of_a_cancelled_job(cancelled)
    heartbeat(
        part,
        2,
        [
            ReportedTask("wk-1/0", 70, "running"),
            ReportedTask("wk-1/1", 71, "saving"),
            ReportedTask("wk-1/2", 72, "ended", "halted"),
        ],
    )
    halts = [("halt", "wk-1/0", 70), ("halt", "wk-1/1", 71)]
    assert verbs(part, machine) == (halts if cancelled else [])
    assert all(order["wind_down_s"] == 0.0 for order in part.order_builder.orders(machine))
    heartbeat(part, 3, [ReportedTask("wk-1/0", 70, "ended", "halted")])
    assert verbs(part, machine) == []


def test_a_heartbeat_of_an_older_fencing_token_is_answered_with_the_end_of_what_is_cancelled():
    """The answer renews the lease: of views in quick succession each one would keep the task for a report more."""
    part, machine, sent = part_of_a_cancelled_job()
    for fencing_token in range(6, 30):
        part.enter(
            fencing_token, ["host-0", "host-1"], {"n-1": MachineRecord("10.0.0.1:9000", "c4", "a")}, 2.0 * fencing_token
        )
        part.leases.settle(2.0 * fencing_token)
        told = len(sent)
        shown = [ReportedTask("wk-1/0", 70, "running")]
        machine = part.heartbeats.on_heartbeat(
            Heartbeat("n-1", "x", "c4", 1, fencing_token, fencing_token - 1, "a", tasks=shown),
            2.0 * fencing_token + 1.0,
        )
        assert verbs(part, machine) == [("halt", "wk-1/0", 70)]
        assert len(sent) == told and not machine.acknowledged, "and nothing is concluded from it"
    part.jobs.cancelled = lambda job: False
    assert verbs(part, machine) == [], "other orders wait for the acknowledgement, a halt of the home's among them"


def test_a_grant_is_not_ordered_any_more_once_its_job_is_known_to_be_cancelled():
    """It may have waited here for the machine's next report while its home was cut off."""
    part, machine, sent = part_of_a_cancelled_job(False)
    part.on_task_grant("host-1", TaskGrant(part.reserve(machine, "wk-1", 1), "wk-1", "n-1", [(0, 70)]), 1.5)
    part.jobs.cancelled = lambda job: True
    assert verbs(part, machine) in ([("halt", "wk-1/0", 70)], [])
    assert verbs(part, machine) == [("halt", "wk-1/0", 70)]
    told = len(sent)
    heartbeat(part, 2)
    assert not machine.orders.pending and len(sent) > told, "its home hears that it came to nothing"
