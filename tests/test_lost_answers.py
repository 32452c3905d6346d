"""Transactions carried out at once whose answer alone is lost; jobs cancelled while work changes hands; ten leaders.

What a transaction wrote is read by all others at once, and told to users, while its writer is in doubt from the
sending until it has read. ``tests/test_late_transactions.py`` has the transactions that are carried out late.
"""

import math
from types import SimpleNamespace

import msgspec
import pytest
from simulation import CANCEL_S, STORE_S, Broken, SimController, StoreRefusedError, TransactionTooLargeError, World
from test_late_transactions import LEASE_S, SETTLED_S, SPEC, Alone, machine_of

from alderbridge import configuration, constants
from alderbridge.claims.records import PreemptionClaim
from alderbridge.configuration import OperatorConfiguration, compiler
from alderbridge.controller.job_directory import JobDirectory
from alderbridge.controller.local_jobs import LocalJobs
from alderbridge.jobs.record import JobState, Record
from alderbridge.jobs.task_states import TaskState
from alderbridge.machines.machine import MachineState
from alderbridge.membership.failure_detector import FailureDetector
from alderbridge.membership.records import View
from alderbridge.membership.rendezvous import rendezvous_owner
from alderbridge.protocol import messages, wire
from alderbridge.protocol.keys import BUDGETS, CLAIMS, DECLARED, JOBS, MACHINES, TYPES, VIEW

# -- one node, one store: what is written is read by others at once ------------------


def at_once(alone, shown=True):
    """What is due, carried out at once; its answer is lost. ``shown``: the writer's own watch tells it before that."""
    batch = alone.batch()
    assert batch is not None and not alone.carry_out(batch).failed
    if shown:
        alone.follow()
    alone.t += constants.STATE_TIMEOUT_S
    alone.core.batch_results.on_failed(batch, alone.t)
    return batch


def tries(alone, times):
    """So many looks for what is due, each answered at once."""
    for _ in range(times):
        batch = alone.batch()
        if batch is not None:
            alone.settle(batch)


def at_same_time(alone, other):
    other.t = alone.t
    other.follow()
    return other


def stored(alone, job=SPEC.id):
    return msgspec.json.decode(alone.store.data[JOBS + job][0], type=Record)


@pytest.mark.parametrize("shown", (True, False))
def test_a_machine_whose_record_is_in_doubt_is_given_nothing_to_run_and_others_wait_for_it(shown):
    """Others' barriers have it as soon as it is in the store; its part counts it only from an answer, or a read."""
    alone = Alone("host-1")
    name = machine_of("host-0", "host-0", "host-1")
    there = alone.other("host-1")
    alone.heartbeat(name, 1)
    put = at_once(alone, shown)
    assert MACHINES + name in put.puts
    machine = alone.heartbeat(name, 2)
    assert not machine.recorded and alone.core.machine_shard.capacity.candidate(machine, alone.t) is None
    alone.store.commit({}, {VIEW: View("host-1", alone.lease_ids)})
    at_same_time(alone, there)
    assert name in there.core.job_shard.inherited.barrier
    alone.write()  # meets the view, and then its own record
    alone.follow()
    alone.write()
    assert alone.core.machine_shard.machines[name].recorded


@pytest.mark.parametrize("how", (Alone.follow, Alone.reload))
def test_a_machine_that_expires_while_its_record_is_in_doubt_leaves_none(how):
    """Shown before the lapse, and never dropped: it held up each later view for a lease."""
    alone = Alone()
    name = "n-000001"
    alone.heartbeat(name, 1)
    at_once(alone, shown=False)
    how(alone)
    alone.go(LEASE_S + 2.0)  # the store is read, and takes no changes
    assert alone.core.machine_shard.machines[name].state is MachineState.EXPIRED
    alone.write()
    assert MACHINES + name not in alone.store.data
    alone.heartbeat(name, 1, incarnation=2)
    alone.write()
    assert MACHINES + name in alone.store.data and alone.core.machine_shard.machines[name].recorded


@pytest.mark.parametrize("shown", (True, False))
def test_a_machine_whose_drop_is_in_doubt_runs_nothing_before_it_is_recorded_again(shown):
    """Others take what ran there for free: the record that is gone must not count as one that was kept."""
    alone = Alone("host-1")
    name = machine_of("host-0", "host-0", "host-1")
    there = alone.other("host-1")
    alone.up(name)
    alone.go(SETTLED_S + LEASE_S)
    drop = at_once(alone, shown)
    assert drop.drops == [MACHINES + name]
    machine = alone.heartbeat(name, 1, incarnation=2)
    assert (
        machine.acknowledged
        and not machine.recorded
        and alone.core.machine_shard.capacity.candidate(machine, alone.t) is None
    )
    at_same_time(alone, there)
    assert name not in there.core.replica.machines
    while not machine.recorded:
        alone.settle(alone.batch())
        alone.follow()
    assert MACHINES + name in alone.store.data


@pytest.mark.parametrize("shown", (True, False))
def test_nothing_is_granted_beyond_a_mark_in_doubt_and_the_next_job_shard_takes_it_for_started(shown):
    alone = Alone("host-1")
    job = alone.job(msgspec.structs.replace(SPEC, tasks=1000))
    alone.up("n-000001")
    there, mark = alone.other("host-1"), job.start_limit
    job.next_index = mark
    job.raise_start_limit(10, alone.t)
    at_once(alone, shown)
    assert stored(alone).start_limit > mark
    assert job.next_task(alone.t) is None, "it has not heard that the store has the mark"
    alone.store.commit({}, {VIEW: View("host-1", {"host-1": alone.lease_ids["host-1"]})})
    at_same_time(alone, there)
    assert len(there.core.job_shard.jobs[SPEC.id].unknown) == stored(alone).start_limit > mark


@pytest.mark.parametrize("shown", (True, False))
def test_a_result_in_doubt_stays_on_its_machine_and_counts_wherever_its_job_goes(shown):
    alone = Alone("host-1")
    there = alone.other("host-1")
    job = alone.job()
    alone.runs(job, "n-000001", 0)
    sent = []
    shard = alone.core.job_shard
    shard.task_reports.send = shard.record_writes.send = shard.record_writes.send_deferred = lambda label, body: (
        sent.append(body) or len(sent)
    )
    alone.core.job_shard.task_reports.on_task_report("host-0", alone.ended("n-000001", 0), alone.t)
    alone.t += 1.0
    alone.follow()
    at_once(alone, shown)
    alone.core.job_shard.task_reports.on_task_report("host-0", alone.ended("n-000001", 0), alone.t)
    assert stored(alone).done == [(0, 1)] and not [
        body for body in sent if isinstance(body, messages.AcknowledgeFinished)
    ]
    at_same_time(alone, there)
    assert there.core.replica.left[SPEC.id] == SPEC.tasks - 1
    alone.t += 1.0
    alone.follow()
    alone.write()
    assert [body.index for body in sent if isinstance(body, messages.AcknowledgeFinished)] == [0], (
        "once: it has read its own write"
    )
    alone.store.commit({}, {VIEW: View("host-1", {"host-1": alone.lease_ids["host-1"]})})
    at_same_time(alone, there)
    assert there.core.job_shard.jobs[SPEC.id].state_of(0) is TaskState.DONE


def end_of(alone, how):
    """The job's end is about to be written; something of it is left on a machine where it is cancelled."""
    job = alone.job()
    if how == "aborted":
        alone.runs(job, "n-000001", 0)
        assert alone.core.local_jobs.cancel(SPEC.id, alone.t) == ""
    else:
        for index in range(SPEC.tasks):
            alone.runs(job, "n-000001", index)
            alone.core.job_shard.task_reports.on_task_report("host-0", alone.ended("n-000001", index), alone.t)
    return job


@pytest.mark.parametrize("shown", (True, False))
@pytest.mark.parametrize("state", ("aborted", "done"))
@pytest.mark.parametrize("met", ("read", "not read", "same home", "other home"))
def test_an_end_in_doubt_is_told_by_others_and_nothing_older_by_its_job_shard(state, shown, met):
    """Asked at every step: from the sending, when the call fails, when its conflict can't be read, under a new view."""
    alone = Alone("host-1")
    there = alone.other("host-1")
    end_of(alone, state)
    told = []

    def ask():
        for one in (alone, there):
            answer = one.core.local_jobs.local_job_state(SPEC.id, one.t)
            assert answer is None or answer[0] == state, (one.me, answer)
            told.append(answer is not None)
            if one.core.directory.job_owner(SPEC.id) == one.me or answer is not None:
                assert one.core.local_jobs.cancel(SPEC.id, one.t) in ("", None, state)

    batch = alone.batch()
    assert not alone.carry_out(batch).failed
    if shown:
        alone.follow()
    at_same_time(alone, there)
    ask()
    assert told == [shown, True]
    alone.t += constants.STATE_TIMEOUT_S
    alone.core.batch_results.on_failed(batch, alone.t)
    at_same_time(alone, there)
    ask()
    if met == "not read":  # the next try meets it, and the store can't be asked for it
        again = alone.batch()
        assert alone.carry_out(again).failed == [JOBS + SPEC.id]
        alone.core.batch_results.on_failed(again, alone.t)
        ask()
    elif met != "read":
        labels = ("host-1", "host-0") if met == "same home" else ("host-1",)
        alone.store.commit({}, {VIEW: View("host-1", {label: alone.lease_ids[label] for label in labels})})
        at_same_time(alone, there)
        ask()
        alone.follow()
        ask()
        assert (SPEC.id in there.core.job_shard.jobs) <= (met == "other home")
    home = there if met == "other home" else alone
    home.t = there.t = alone.t = alone.t + SETTLED_S
    for _ in range(3):
        alone.follow()
        there.follow()
        home.core.round(home.t)
        home.write()
        ask()
    assert stored(alone).state.value == state
    assert (
        home.core.local_jobs.local_job_state(SPEC.id, home.t) == (state, 0, 0)
        and there.core.local_jobs.cancel(SPEC.id, there.t) == state
    )


@pytest.mark.parametrize("shown", (True, False))
@pytest.mark.parametrize("view", (False, True))
def test_a_shrunk_end_in_doubt_ends_once_for_its_job_shard(shown, view):
    """The replica has nothing more of it, its home goes on until it has read that, or until the next view."""
    alone = Alone("host-1")
    job = end_of(alone, "done")
    at_once(alone, shown)
    assert stored(alone).spec is None and job.unacknowledged_results and not job.is_complete
    assert alone.core.local_jobs.cancel(SPEC.id, alone.t) == ("done" if shown else "")
    if view:
        alone.view("host-1", "host-0")
        assert SPEC.id not in alone.core.job_shard.jobs
    alone.write()
    alone.go(2.0)
    alone.write()
    assert SPEC.id not in alone.core.job_shard.jobs and not alone.core.job_shard.tally.lagging
    assert alone.core.local_jobs.local_job_state(SPEC.id, alone.t) == ("done", 0, 0)


@pytest.mark.parametrize("shown", (True, False))
@pytest.mark.parametrize("then", ("again", "refused", "view"))
def test_a_submission_in_doubt_is_told_by_others_and_served_once(shown, then):
    """Refused, its user tries again at the same controller; or the view begins, which gives the job to its home."""
    alone = Alone("host-1")
    there = alone.other("host-1")
    submission = alone.core.submissions.submit(SPEC, alone.t, alone.t)
    at_once(alone, shown)
    at_same_time(alone, there)
    assert there.core.directory.knows_job(SPEC.id) and there.core.directory.job_owner(SPEC.id) == "host-0"
    assert alone.core.local_jobs.cancel(SPEC.id, alone.t) is None, "decided by the home, when it has the job"
    if then == "refused":
        alone.core.submissions.refuse_all()
        assert submission.outcome == "refused" and (SPEC.id in alone.core.job_shard.jobs) is shown
        if not alone.core.directory.knows_job(SPEC.id):
            submission = alone.core.submissions.submit(SPEC, alone.t, alone.t + 1.0)
    elif then == "view":
        alone.view("host-1", "host-0")
    alone.write()
    assert not alone.core.submissions.pending and submission.outcome in ("known", "refused")
    job = alone.core.job_shard.jobs[SPEC.id]
    assert job.revision == alone.store.data[JOBS + SPEC.id][1] and job.inherited is (then == "view")
    assert alone.core.local_jobs.local_job_state(SPEC.id, alone.t)[0] == "pending"
    alone.go(2.0)
    alone.write()
    assert alone.core.job_shard.jobs == {SPEC.id: job}


@pytest.mark.parametrize("shown", (True, False))
def test_lists_in_doubt_are_stored_once_and_their_job_waits_for_all_of_them(shown):
    alone = Alone()
    alone.core.job_shard.value_bytes = 700
    need = msgspec.structs.replace(SPEC, id="wk-000100")
    alone.job(need)
    spec = msgspec.structs.replace(SPEC, needs=[f"wk-{number:06d}" for number in range(100, 250)])
    submission = alone.core.submissions.submit(spec, alone.t, alone.t)
    lists = dict(submission.lists)
    assert len(lists) > 1
    batch = at_once(alone, shown)
    revisions = {key: alone.store.data[key][1] for key in batch.puts}
    alone.write()
    assert submission.outcome == "accepted" and alone.core.replica.graph.waiting(SPEC.id)
    assert {key: msgspec.json.decode(alone.store.data[key][0]) for key in lists} == lists
    assert (revisions == {key: alone.store.data[key][1] for key in batch.puts}) is shown
    assert not alone.core.job_shard.jobs[SPEC.id].unknown and alone.core.job_shard.jobs[SPEC.id].is_blocked


@pytest.mark.parametrize("shown", (True, False))
def test_a_view_in_doubt_binds_its_writer_by_its_writes_and_its_freshness(shown):
    """Others have begun it. Blind, the writer orders and tells by the older one until it must not act any more."""
    alone = Alone("host-1", "host-2")
    there = alone.other("host-1")
    name = machine_of("host-0", "host-0", "host-1", "host-2")
    alone.up(name)
    spec = next(
        spec
        for spec in (msgspec.structs.replace(SPEC, id=f"wk-{number:06d}") for number in range(99))
        if rendezvous_owner("host-2", ["host-0", "host-1"]) != rendezvous_owner("host-3", ["host-0", "host-1"]) or spec
    )
    job = alone.job(spec)
    alone.store.commit({}, {VIEW: View("host-0", {label: alone.lease_ids[label] for label in ("host-0", "host-1")})})
    if shown:
        alone.follow()
    at_same_time(alone, there)
    assert there.core.membership.fencing_token > alone.core.membership.fencing_token or shown
    assert alone.core.local_jobs.cancel(spec.id, alone.t) == ""
    if not shown:
        batch = alone.batch()
        assert alone.carry_out(batch).failed == [VIEW]
        alone.core.batch_results.on_failed(batch, alone.t)
    assert job.stored_state is JobState.ACTIVE and alone.core.local_jobs.local_job_state(spec.id, alone.t) is None
    if not shown:
        alone.t += alone.core.membership.store_lease.ttl_s
        assert alone.batch() is None and not alone.core.may_act()
        alone.follow()
    alone.write()
    assert alone.core.local_jobs.local_job_state(spec.id, alone.t) == ("aborted", 0, 0)


def test_an_end_is_held_back_for_the_view_that_gave_its_job_to_this_job_shard_and_for_no_later_one():
    """Each view held it back anew, though this home had had the job for long: a cancel waited for as many as came."""
    alone = Alone("host-1", "host-2")
    gone, stays = next(
        pair
        for pair in (("host-1", "host-2"), ("host-2", "host-1"))
        if rendezvous_owner(pair[0], ["host-0", pair[1]]) == "host-0"
    )
    other = msgspec.structs.replace(SPEC, id="wk-000009")
    for spec in (SPEC, other):
        alone.store.commit({}, {JOBS + spec.id: Record(JobState.ACTIVE, gone, 0.0, 3, [], spec)})
    alone.view("host-0", stays)
    assert alone.core.local_jobs.cancel(SPEC.id, alone.t) == ""
    tries(alone, 2)
    assert stored(alone).state is JobState.ACTIVE, "its earlier home may deny it"
    alone.view(stays, "host-0")
    tries(alone, 2)
    assert stored(alone).state is JobState.ACTIVE, "no view has settled since"
    alone.go(SETTLED_S)
    tries(alone, 2)
    assert stored(alone).state is JobState.ABORTED
    alone.view("host-0", stays)
    assert alone.core.local_jobs.cancel(other.id, alone.t) == ""
    tries(alone, 2)
    assert stored(alone, other.id).state is JobState.ABORTED, "nobody else has been its home since a view settled"


def claim(job="wk-000002"):
    return PreemptionClaim("urgent", job, 1, [("wk-000001", 0, 7)], 0.0, 99.0, "free", 1.0)


@pytest.mark.parametrize("shown", (True, False))
def test_claims_in_doubt_are_planned_upon_only_when_they_have_been_read(shown):
    alone = Alone()
    ledger = alone.core.replica.ledger
    ledger.plan([{"n-000001": claim()}])
    at_once(alone, shown)
    assert ledger.busy, "nothing is planned before it is settled"
    assert (ledger.claim_of("n-000001") is not None) is shown
    tries(alone, 3)
    assert ledger.busy is not shown
    alone.follow()
    tries(alone, 2)
    assert not ledger.busy and ledger.claim_of("n-000001") is not None
    assert ledger.stops_of("wk-000001", 0) == 1 and ledger.spent_revision == alone.store.data[BUDGETS][1]


@pytest.mark.parametrize("shown", (True, False))
def test_ends_are_written_though_the_drop_of_a_claim_is_in_doubt(shown):
    """Its own watch hangs: the drop met a conflict again and again, and nothing else was written for as long."""
    alone = Alone()
    ledger = alone.core.replica.ledger
    end_of(alone, "aborted")
    ledger.plan([{"n-000001": claim()}])
    alone.settle(alone.batch())
    ledger.drop("n-000001", "used")
    drop = at_once(alone, shown)
    assert drop.drops == [CLAIMS + "n-000001"]
    tries(alone, 3)
    assert stored(alone).state is JobState.ABORTED
    alone.follow()
    tries(alone, 2)
    assert ledger.claim_of("n-000001") is None and ledger.idle


@pytest.mark.parametrize("shown", (True, False))
def test_a_head_in_doubt_is_obeyed_beside_the_one_before_by_whoever_has_read_it(shown):
    raw = msgspec.json.encode({"words": ["a"]})
    own = configuration.ConfigurationRevision("hours", 3, compiler.digest_of(raw), raw)
    one, other = (OperatorConfiguration(file, 20.0, ["host-0"]) for file in ({"hours": own}, None))
    membership = SimpleNamespace(
        registered={"host-0": (1, 1)}, all_support=lambda protocol_version: True, is_leader=lambda now: True
    )
    proposal = one.due(membership, 0.0, 0.0, 12, 4096)
    assert DECLARED + "hours" in proposal.puts

    def show(declarations, now):
        for key, value in proposal.puts.items():
            declarations.apply(key, msgspec.json.encode(value), 7)
        declarations.refresh(now)

    show(other, 0.1)
    assert other.revisions_in_force("hours", 0.1) == [0, 3]
    if shown:
        show(one, 0.1)
    one.failed(proposal, constants.STATE_TIMEOUT_S)
    assert one.revisions_in_force("hours", 2.0) == ([0, 3] if shown else [0])
    again = one.due(membership, 2.0 + constants.CONFIGURATION_RETRY_S, 9.0, 12, 4096)
    assert (again is None) is shown, "its own head is not proposed over itself"
    if again is not None:
        assert again.conditions == proposal.conditions, "the store has it at 7: a conflict"
        one.failed(again, 3.0)
        show(one, 4.0)
    assert one.revisions_in_force("hours", 20.9) == [0, 3] and one.revisions_in_force("hours", 26.0) == [3]


@pytest.mark.parametrize("shown", (True, False))
def test_machine_types_in_doubt_are_written_once(shown):
    alone = Alone()
    machine_types = alone.core.machine_types.to_store()
    conditions = {VIEW: alone.core.membership.fencing_token, TYPES: alone.core.replica.types_revision}
    revision = alone.store.commit(conditions, {TYPES: machine_types}).revision
    if shown:
        alone.follow()
        assert alone.core.machine_types.to_store() is None
    else:
        assert alone.core.replica.types_revision == 0, "the next try meets it"
        assert alone.store.commit(conditions, {TYPES: alone.core.machine_types.to_store()}).failed == [TYPES]
    assert alone.store.data[TYPES][1] == revision


# -- all of it, in a world


class AnswersLost(SimController):
    """Of a share of what it changes in the store the answer alone is lost; now and then its watch hangs meanwhile."""

    blind_until = 0.0

    def call(self, then, fail, method, *args, too_large=None) -> None:
        world, life = self.world, self.life
        reads = method.__name__ == "read"
        cut = world.t < max(self.cut_store_until, self.refused_until)
        if reads or cut or not world.loses_answer(self, method, args):
            return super().call(then, fail, method, *args, too_large=too_large)

        def carry_out() -> None:
            try:
                method(*args)
            except (StoreRefusedError, TransactionTooLargeError):
                return
            world.answers_lost += 1

        def unanswered() -> None:
            if life == self.life:
                fail()
                self.flush()

        world.after(world.rng.uniform(0.001, 0.01), carry_out)
        world.after(STORE_S, unanswered)
        if world.rng.random() < 0.3:
            self.blind_until = world.t + world.rng.uniform(1.0, 6.0)

    def follow(self) -> None:
        if self.world.t >= self.blind_until:
            super().follow()

    def frame(self, data: bytes) -> None:
        if self.world.halts_lost and isinstance(
            msgspec.msgpack.decode(data, type=messages.Frame).body, messages.StopTask
        ):
            frame = msgspec.msgpack.decode(data, type=messages.Frame)
            data = msgspec.msgpack.encode(msgspec.structs.replace(frame, body=messages.KeepAlive()))
        super().frame(data)


class Answers(World):
    """Users cancel through all controllers, and ask all of them again and again; answers of the store are lost."""

    process = AnswersLost
    lost_share, lost_from, lost_until = 0.4, 15.0, 90.0
    halts_lost = False

    def __init__(self, seed, **more):
        self.answers_lost = 0
        self.stays: dict[str, float] = {}  # job -> how long after its cancellation was told something of it was there
        super().__init__(seed, **more)
        self.has_concurrent_faults = True

    def loses_answer(self, sim, method, args):
        return self.lost_from <= self.t < self.lost_until and self.rng.random() < self.lost_share

    def watch(self):
        for part in self.on:
            job = wire.split_task_id(part)[0]
            if self.t > self.cancelled_at.get(job, math.inf):
                self.stays[job] = self.t - self.cancelled_at[job]
        for job in self.cancelled_at:
            for sim in self.nodes.values():
                state = self.question(sim, job)
                if state is not None:
                    self.answer(job, state)
        super().watch()


@pytest.mark.parametrize("nodes, seed", [(3, 30000), (3, 30001), (5, 30002)])
def test_rules_hold_while_answers_are_lost(nodes, seed):
    """With the world's other faults."""
    world = Answers(seed, nodes=nodes, pipelines=1)
    for number in range(8):
        world.after(20.0 + 9.0 * number, world.cancel_any)
    world.run(200.0)
    world.remembered()
    assert world.answers_lost > 30 and world.starts > 0
    assert sum(at < math.inf for at in world.cancelled_at.values()) >= 5


def step_of(method, args):
    """Of entering and staying: a hold is taken, the key put, the hold extended; the earlier life's is ended."""
    if method.__name__ == "commit":
        return "key" if len(args) == 4 and args[3] is not None else ""
    return {"take": "take", "extend": "extend", "<lambda>": "end"}.get(method.__name__, "")


@pytest.mark.parametrize("step, lost_s", [("take", 6.0), ("key", 6.0), ("end", 6.0), ("extend", 30.0)])
def test_who_is_in_doubt_of_its_store_lease_or_key_acts_on_neither(step, lost_s):
    """Others begin a view with a permit that its process does not know; or the store keeps a hold counted out here."""
    world = Answers(30010, jobs=8, random_faults=False)
    world.lost_share = 0.0
    world.run(40.0)
    sim, store = world.nodes["host-1"], world.store
    if step != "extend":
        world.end(sim, 0.3)
        world.run(40.3)
    until, began = world.t + lost_s, world.t
    world.loses_answer = lambda one, method, args: one is sim and world.t < until and step_of(method, args) == step
    before = msgspec.json.decode(store.data[VIEW][0], type=View).members["host-1"]
    acted, strange = [], False
    while world.t < until + 25.0:
        world.run(world.t + 0.1)
        lease_id = sim.core.membership.store_lease.lease_id
        named = msgspec.json.decode(store.data[VIEW][0], type=View).members.get("host-1", lease_id)
        strange = strange or named not in (lease_id, before)
        if sim.core.may_act():
            acted.append(world.t - began)
            assert lease_id == named and lease_id in store.holds
    assert world.answers_lost and sim.core.may_act() and sim.core.state.is_member
    assert strange is (step == "key"), "a life that nobody knows was in the view"
    if step == "extend":
        assert not [at for at in acted if sim.core.membership.store_lease.ttl_s < at < lost_s], (
            "the store keeps its hold"
        )
    world.run(world.t + 60.0)
    world.remembered()


# -- cancelled while one controller's work changes hands ------------------------------

HANDS_AT, JOBS_OF, STEP_S = 40.0, 14, 1.1


class Hands(Answers):
    """A controller's jobs are cancelled one after the other, from a little before its work changes hands.

    Each is asked of all controllers every half second: of the old home, of the new one, and of a third.
    """

    most_jobs = 3 * JOBS_OF

    def __init__(self, seed, nodes=3, **more):
        super().__init__(seed, nodes=nodes, jobs=0, random_faults=False, **more)
        self.lost_share = 0.0
        self.unasked = ""  # asked of less often, so that it has yet to hear of some when others have told their end
        self.asked: dict[str, float] = {}
        self.told_ends: dict[str, float] = {}
        for number in range(self.most_jobs):
            self.after(self.rng.uniform(1.0, 10.0), self.submit, self.job_of(number))

    def job_of(self, number):
        return self.make_unbound_pair(number)

    def leader(self):
        return msgspec.json.decode(self.store.data[VIEW][0], type=View).leader

    def jobs_of(self, label):
        return sorted(
            job
            for job in self.accepted
            if msgspec.json.decode(self.store.data[JOBS + job][0], type=Record).accepted_by == label
        )

    def ask_all(self, job):
        self.asked.setdefault(job, self.t)
        if job not in self.said:
            for label, sim in self.nodes.items():
                if label != self.unasked or self.rng.random() < 0.2:
                    self.withdraw_through(sim, job)
            self.after(0.5, self.ask_all, job)

    def withdraw(self, job):
        """What users repeat is repeated in ``ask_all``, and nothing else is cancelled here."""

    def answer(self, job, state, asked=None):
        super().answer(job, state, asked)
        if job in self.said:
            self.told_ends.setdefault(job, self.t)


def hands(seed, change, halts_lost=True, lost=False, until=HANDS_AT + 85.0, nodes=3):
    """``change`` of the leader's work; ``lost``: the answers of its last ends are."""
    world = Hands(seed, nodes)
    world.run(HANDS_AT - 2.0)
    label = world.leader()
    sim, jobs = world.nodes[label], world.jobs_of(label)
    assert len(jobs) >= 6 and len(world.on) > JOBS_OF
    world.halts_lost = halts_lost
    world.unasked = label
    for number, job in enumerate(jobs):
        world.after(STEP_S * number, world.ask_all, job)
    if lost:
        world.loses_answer = lambda one, method, args: one is sim and world.t < HANDS_AT + 8.0
    change(world, sim)
    world.run(until)
    assert set(world.told_ends) >= set(jobs)
    world.remembered()
    world.longest = max(world.told_ends[job] - world.asked[job] for job in jobs)
    return world


def ends(world, sim):
    world.after(2.0, world.end, sim, 15.0)


def ends_and_is_back(world, sim):
    world.after(2.0, world.end, sim, 0.2)


def is_cut_off(world, sim):
    """It acts on under the older view, for its users and workers, while another has begun the next one."""

    def dark():
        sim.cut_store_until = sim.cut_mesh_until = world.t + 25.0

    world.after(2.0, dark)


def hands_over_again_and_again(world, sim):
    """A view every four seconds for half a minute: whatever each begins anew would add up."""
    for number in range(8):
        world.after(2.0 + 4.0 * number, lambda: world.end(world.nodes[world.leader()], 0.3))


CHANGES = [ends, ends_and_is_back, is_cut_off, hands_over_again_and_again]


@pytest.mark.parametrize(
    "seed, change, lost, halts_lost",
    [
        (1, ends, True, True),
        (2, ends_and_is_back, False, True),
        (3, is_cut_off, True, True),
        (4, hands_over_again_and_again, True, False),
    ],
)
def test_jobs_cancelled_while_work_changes_hands_end_once_and_are_gone_in_time(seed, change, lost, halts_lost):
    """Asked of the old home, of the new one and of a third at each step; of its last ends the answers are lost."""
    world = hands(seed, change, lost=lost, halts_lost=halts_lost)
    assert (world.answers_lost > 0) is lost
    assert world.longest < 20.0 and max(world.stays.values()) < CANCEL_S, "each is told, and gone"


def halts_nothing_itself(monkeypatch):
    monkeypatch.setattr(JobDirectory, "cancelled", lambda self, job: False)


def needs_no_contact(monkeypatch):
    monkeypatch.setattr(
        FailureDetector, "_compute_contact_until", lambda self: setattr(self, "contact_until", math.inf)
    )


def tells_what_it_last_knew(monkeypatch):
    """The home, of a job whose end is on its way."""
    real = LocalJobs.local_job_state

    def local_job_state(self, job, now):
        mine = self.job_shard.jobs.get(job)
        if job not in self.replica.ended and mine is not None and self.state.may_act():
            return "pending", mine.done.count, 0
        return real(self, job, now)

    monkeypatch.setattr(LocalJobs, "local_job_state", local_job_state)


@pytest.mark.parametrize(
    "fault, change, seed, rule",
    [
        (halts_nothing_itself, ends, 2, "ran_cancelled"),
        (needs_no_contact, is_cut_off, 1, "went_back"),
        (tells_what_it_last_knew, ends_and_is_back, 8, "went_back"),
    ],
)
def test_each_guard_of_a_change_of_hands_is_seen_to_fail(monkeypatch, fault, change, seed, rule):
    fault(monkeypatch)
    with pytest.raises(Broken, match=rule):
        hands(seed, change, lost=True)


# -- ten leaders in two minutes -----------------------------------------------------------

LEADERS, EACH_S, CALM_S = 10, 12.0, 140.0


class Leaders(Hands):
    """Whoever leads ends, ten times, and is back at once; jobs are cancelled all the time, the store may be away."""

    most_jobs = 20

    def __init__(self, seed, nodes=3, down_s=0.0, machines=14):
        super().__init__(seed, nodes, machines=machines)
        self.led: list[str] = []
        for number in range(LEADERS):
            self.after(HANDS_AT + EACH_S * number, self.next_leader)
        if down_s:
            self.after(HANDS_AT + 2.5 * EACH_S, self.store.outage, down_s)
        self.after(HANDS_AT - 5.0, self.cancel_all)

    def job_of(self, number):
        return msgspec.structs.replace(super().job_of(number), estimate_s=30.0 + 10.0 * (number % 8))

    def next_leader(self):
        self.led.append(self.leader())
        self.end(self.nodes[self.leader()], self.rng.uniform(0.3, 8.0))

    def cancel_all(self):
        for number, job in enumerate(sorted(self.accepted)[::2]):
            self.after(7.0 * number, self.ask_all, job)


def leaders(seed, until=HANDS_AT + LEADERS * EACH_S + CALM_S, halts_lost=True, **more):
    """One machine hears nothing all the while; ``moved``: when each task that was on it ran elsewhere, or was done."""
    world = Leaders(seed, **more)
    world.halts_lost = halts_lost
    world.run(HANDS_AT - 0.5)
    there = [worker for worker in world.machines.values() if worker is not None]
    deaf = max(there, key=lambda worker: (sum(part in world.on for part in worker.tasks), worker.name))
    deaf.deaf_until = HANDS_AT + LEADERS * EACH_S
    parts = [part for part in deaf.tasks if world.on.get(part) == deaf.name]
    world.moved = {}
    for at in range(int(HANDS_AT), int(until), 2):
        world.run(float(at))
        for part in parts:
            if (
                world.on.get(part, deaf.name) != deaf.name
                or part in world.completed
                or wire.split_task_id(part)[0] in world.asked
            ):
                world.moved.setdefault(part, at - HANDS_AT)
    assert parts and set(world.moved) == set(parts)
    world.remembered()
    return world


@pytest.mark.parametrize("seed, down_s", [(5, 0.0), (2, 50.0)])
def test_ten_leaders_in_two_minutes_keep_the_rules_and_end_all_jobs(seed, down_s):
    world = leaders(seed, down_s=down_s)
    assert len(world.led) == LEADERS and len(set(world.led)) > 1
    assert not [job for job in world.accepted if job not in world.said], "all have ended"
    waits = [world.told_ends[job] - world.asked[job] for job in world.asked]
    assert max(waits) < 20.0 + down_s and max(world.stays.values()) < CANCEL_S
    assert max(world.moved.values()) < 50.0 + down_s, "what is inherited waits no longer for each leader anew"
