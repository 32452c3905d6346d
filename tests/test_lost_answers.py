"""Committed store transactions whose response is lost: the writer is uncertain while other members read the result.

Also jobs cancelled during failover, and repeated leader failures. ``tests/test_late_transactions.py`` covers
transactions that are committed late.
"""

import math
from types import SimpleNamespace

import msgspec
import pytest
from simulation import (
    CANCEL_S,
    STORE_S,
    InvariantViolation,
    SimController,
    StoreRefusedError,
    TransactionTooLargeError,
    World,
)
from test_late_transactions import LEASE_S, SPEC, VIEW_SETTLED_S, SteppedController, machine_of

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
from alderbridge.protocol.keys import CLAIMS, CONFIGURATIONS, JOBS, MACHINE_TYPES, MACHINES, PREEMPTION_BUDGETS, VIEW


def commit_and_lose_answer(alone, event_seen=True):
    """Commits the next batch and loses the response; ``event_seen``: the writer's watch delivers the write first."""
    batch = alone.next_batch()
    assert batch is not None and not alone.commit(batch).failed
    if event_seen:
        alone.follow()
    alone.t += constants.STORE_TIMEOUT_S
    alone.core.batch_results.on_failed(batch, alone.t)
    return batch


def attempt_writes(alone, times):
    """Sends the next due batch up to ``times`` times, each answered immediately."""
    for _ in range(times):
        batch = alone.next_batch()
        if batch is not None:
            alone.commit_and_answer(batch)


def sync_to_same_time(alone, other):
    other.t = alone.t
    other.follow()
    return other


def stored_record(alone, job=SPEC.id):
    return msgspec.json.decode(alone.store.data[JOBS + job][0], type=Record)


@pytest.mark.parametrize("event_seen", (True, False))
def test_machine_with_unconfirmed_record_gets_no_tasks_and_others_wait_for_it(event_seen):
    """The next view's barrier includes a stored machine; its owner must not use it before an answer or a read."""
    alone = SteppedController("host-1")
    name = machine_of("host-0", "host-0", "host-1")
    peer = alone.other_member("host-1")
    alone.heartbeat(name, 1)
    put = commit_and_lose_answer(alone, event_seen)
    assert MACHINES + name in put.puts
    machine = alone.heartbeat(name, 2)
    assert not machine.recorded and alone.core.machine_shard.capacity.candidate(machine, alone.t) is None
    alone.store.commit({}, {VIEW: View("host-1", alone.lease_ids)})
    sync_to_same_time(alone, peer)
    assert name in peer.core.job_shard.inherited.barrier
    alone.write_due_records()  # conflicts with the view, then with its own record
    alone.follow()
    alone.write_due_records()
    assert alone.core.machine_shard.machines[name].recorded


@pytest.mark.parametrize("refresh", (SteppedController.follow, SteppedController.reload))
def test_machine_that_expires_while_its_record_is_unconfirmed_leaves_no_record(refresh):
    """A record that is never dropped would delay reconciliation of each later view by a worker lease."""
    alone = SteppedController()
    name = "n-000001"
    alone.heartbeat(name, 1)
    commit_and_lose_answer(alone, event_seen=False)
    refresh(alone)
    alone.advance(LEASE_S + 2.0)  # the store is read but nothing is written
    assert alone.core.machine_shard.machines[name].state is MachineState.EXPIRED
    alone.write_due_records()
    assert MACHINES + name not in alone.store.data
    alone.heartbeat(name, 1, incarnation=2)
    alone.write_due_records()
    assert MACHINES + name in alone.store.data and alone.core.machine_shard.machines[name].recorded


@pytest.mark.parametrize("event_seen", (True, False))
def test_machine_with_unconfirmed_drop_gets_no_tasks_before_it_is_recorded_again(event_seen):
    """A member that does not see the record restarts the machine's tasks elsewhere."""
    alone = SteppedController("host-1")
    name = machine_of("host-0", "host-0", "host-1")
    peer = alone.other_member("host-1")
    alone.add_machine(name)
    alone.advance(VIEW_SETTLED_S + LEASE_S)
    drop = commit_and_lose_answer(alone, event_seen)
    assert drop.drops == [MACHINES + name]
    machine = alone.heartbeat(name, 1, incarnation=2)
    assert (
        machine.acknowledged
        and not machine.recorded
        and alone.core.machine_shard.capacity.candidate(machine, alone.t) is None
    )
    sync_to_same_time(alone, peer)
    assert name not in peer.core.replica.machine_revisions
    while not machine.recorded:
        alone.commit_and_answer(alone.next_batch())
        alone.follow()
    assert MACHINES + name in alone.store.data


@pytest.mark.parametrize("event_seen", (True, False))
def test_no_grant_beyond_unconfirmed_start_limit_and_next_job_shard_assumes_tasks_started(event_seen):
    alone = SteppedController("host-1")
    job = alone.submit_job(msgspec.structs.replace(SPEC, tasks=1000))
    alone.add_machine("n-000001")
    peer, previous_limit = alone.other_member("host-1"), job.start_limit
    job.next_index = previous_limit
    job.raise_start_limit(10, alone.t)
    commit_and_lose_answer(alone, event_seen)
    assert stored_record(alone).start_limit > previous_limit
    assert job.next_task(alone.t) is None, "the owner does not know that the store has the new limit"
    alone.store.commit({}, {VIEW: View("host-1", {"host-1": alone.lease_ids["host-1"]})})
    sync_to_same_time(alone, peer)
    assert len(peer.core.job_shard.jobs[SPEC.id].inherited_tasks) == stored_record(alone).start_limit > previous_limit


@pytest.mark.parametrize("event_seen", (True, False))
def test_unconfirmed_result_stays_on_its_machine_and_counts_at_the_next_owner(event_seen):
    alone = SteppedController("host-1")
    peer = alone.other_member("host-1")
    job = alone.submit_job()
    alone.start_task(job, "n-000001", 0)
    sent = []
    shard = alone.core.job_shard
    shard.task_reports.send = shard.record_writes.send = shard.record_writes.send_deferred = lambda label, body: (
        sent.append(body) or len(sent)
    )
    alone.core.job_shard.task_reports.on_task_report("host-0", alone.ended_task_report("n-000001", 0), alone.t)
    alone.t += 1.0
    alone.follow()
    commit_and_lose_answer(alone, event_seen)
    alone.core.job_shard.task_reports.on_task_report("host-0", alone.ended_task_report("n-000001", 0), alone.t)
    assert stored_record(alone).done == [(0, 1)] and not [
        body for body in sent if isinstance(body, messages.AcknowledgeFinished)
    ]
    sync_to_same_time(alone, peer)
    assert peer.core.replica.remaining_tasks[SPEC.id] == SPEC.tasks - 1
    alone.t += 1.0
    alone.follow()
    alone.write_due_records()
    assert [body.index for body in sent if isinstance(body, messages.AcknowledgeFinished)] == [0], (
        "acknowledged once, after its own write was read"
    )
    alone.store.commit({}, {VIEW: View("host-1", {"host-1": alone.lease_ids["host-1"]})})
    sync_to_same_time(alone, peer)
    assert peer.core.job_shard.jobs[SPEC.id].state_of(0) is TaskState.DONE


def prepare_job_end(alone, scenario):
    """A job whose end is due to be written; an aborted one still has a task on a machine."""
    job = alone.submit_job()
    if scenario == "aborted":
        alone.start_task(job, "n-000001", 0)
        assert alone.core.local_jobs.cancel(SPEC.id, alone.t) == ""
    else:
        for index in range(SPEC.tasks):
            alone.start_task(job, "n-000001", index)
            alone.core.job_shard.task_reports.on_task_report(
                "host-0", alone.ended_task_report("n-000001", index), alone.t
            )
    return job


@pytest.mark.parametrize("event_seen", (True, False))
@pytest.mark.parametrize("state", ("aborted", "done"))
@pytest.mark.parametrize("resolution", ("read", "unread", "same owner", "other owner"))
def test_unconfirmed_end_is_reported_by_others_and_never_contradicted_by_its_job_shard(state, event_seen, resolution):
    """Queried after the commit, after the call fails, when the conflict can't be read, and under a new view."""
    alone = SteppedController("host-1")
    peer = alone.other_member("host-1")
    prepare_job_end(alone, state)
    answered = []

    def query_all():
        for one in (alone, peer):
            answer = one.core.local_jobs.local_job_state(SPEC.id, one.t)
            assert answer is None or answer[0] == state, (one.me, answer)
            answered.append(answer is not None)
            if one.core.directory.job_owner(SPEC.id) == one.me or answer is not None:
                assert one.core.local_jobs.cancel(SPEC.id, one.t) in ("", None, state)

    batch = alone.next_batch()
    assert not alone.commit(batch).failed
    if event_seen:
        alone.follow()
    sync_to_same_time(alone, peer)
    query_all()
    assert answered == [event_seen, True]
    alone.t += constants.STORE_TIMEOUT_S
    alone.core.batch_results.on_failed(batch, alone.t)
    sync_to_same_time(alone, peer)
    query_all()
    if resolution == "unread":  # the next attempt conflicts, and the conflicting record can't be read
        again = alone.next_batch()
        assert alone.commit(again).failed == [JOBS + SPEC.id]
        alone.core.batch_results.on_failed(again, alone.t)
        query_all()
    elif resolution != "read":
        labels = ("host-1", "host-0") if resolution == "same owner" else ("host-1",)
        alone.store.commit({}, {VIEW: View("host-1", {label: alone.lease_ids[label] for label in labels})})
        sync_to_same_time(alone, peer)
        query_all()
        alone.follow()
        query_all()
        assert (SPEC.id in peer.core.job_shard.jobs) <= (resolution == "other owner")
    owner = peer if resolution == "other owner" else alone
    owner.t = peer.t = alone.t = alone.t + VIEW_SETTLED_S
    for _ in range(3):
        alone.follow()
        peer.follow()
        owner.core.round(owner.t)
        owner.write_due_records()
        query_all()
    assert stored_record(alone).state.value == state
    assert (
        owner.core.local_jobs.local_job_state(SPEC.id, owner.t) == (state, 0, 0)
        and peer.core.local_jobs.cancel(SPEC.id, peer.t) == state
    )


@pytest.mark.parametrize("event_seen", (True, False))
@pytest.mark.parametrize("view", (False, True))
def test_unconfirmed_compacted_end_ends_once_for_its_job_shard(event_seen, view):
    """The replica has only the end; the job shard keeps the job until it reads the end or enters the next view."""
    alone = SteppedController("host-1")
    job = prepare_job_end(alone, "done")
    commit_and_lose_answer(alone, event_seen)
    assert stored_record(alone).spec is None and job.unacknowledged_results and not job.is_complete
    assert alone.core.local_jobs.cancel(SPEC.id, alone.t) == ("done" if event_seen else "")
    if view:
        alone.commit_view("host-1", "host-0")
        assert SPEC.id not in alone.core.job_shard.jobs
    alone.write_due_records()
    alone.advance(2.0)
    alone.write_due_records()
    assert SPEC.id not in alone.core.job_shard.jobs and not alone.core.job_shard.tally.lagging
    assert alone.core.local_jobs.local_job_state(SPEC.id, alone.t) == ("done", 0, 0)


@pytest.mark.parametrize("event_seen", (True, False))
@pytest.mark.parametrize("then", ("again", "refused", "view"))
def test_unconfirmed_submission_is_reported_by_others_and_served_once(event_seen, then):
    """A refused submission is retried at the same controller, or a new view gives the job to its owner."""
    alone = SteppedController("host-1")
    peer = alone.other_member("host-1")
    submission = alone.core.submissions.submit(SPEC, alone.t, alone.t)
    commit_and_lose_answer(alone, event_seen)
    sync_to_same_time(alone, peer)
    assert peer.core.directory.knows_job(SPEC.id) and peer.core.directory.job_owner(SPEC.id) == "host-0"
    assert alone.core.local_jobs.cancel(SPEC.id, alone.t) is None, "only the job owner decides, once it has the job"
    if then == "refused":
        alone.core.submissions.refuse_all()
        assert submission.outcome == "refused" and (SPEC.id in alone.core.job_shard.jobs) is event_seen
        if not alone.core.directory.knows_job(SPEC.id):
            submission = alone.core.submissions.submit(SPEC, alone.t, alone.t + 1.0)
    elif then == "view":
        alone.commit_view("host-1", "host-0")
    alone.write_due_records()
    assert not alone.core.submissions.pending and submission.outcome in ("known", "refused")
    job = alone.core.job_shard.jobs[SPEC.id]
    assert job.revision == alone.store.data[JOBS + SPEC.id][1] and job.inherited is (then == "view")
    assert alone.core.local_jobs.local_job_state(SPEC.id, alone.t)[0] == "pending"
    alone.advance(2.0)
    alone.write_due_records()
    assert alone.core.job_shard.jobs == {SPEC.id: job}


@pytest.mark.parametrize("event_seen", (True, False))
def test_unconfirmed_dependency_lists_are_kept_and_their_job_waits_for_all(event_seen):
    alone = SteppedController()
    alone.core.job_shard.value_bytes = 700
    need = msgspec.structs.replace(SPEC, id="wk-000100")
    alone.submit_job(need)
    spec = msgspec.structs.replace(SPEC, dependencies=[f"wk-{number:06d}" for number in range(100, 250)])
    submission = alone.core.submissions.submit(spec, alone.t, alone.t)
    lists = dict(submission.dependency_lists)
    assert len(lists) > 1
    batch = commit_and_lose_answer(alone, event_seen)
    revisions = {key: alone.store.data[key][1] for key in batch.puts}
    alone.write_due_records()
    assert submission.outcome == "accepted" and alone.core.replica.graph.waiting(SPEC.id)
    assert {key: msgspec.json.decode(alone.store.data[key][0]) for key in lists} == lists
    assert (revisions == {key: alone.store.data[key][1] for key in batch.puts}) is event_seen
    assert not alone.core.job_shard.jobs[SPEC.id].inherited_tasks and alone.core.job_shard.jobs[SPEC.id].is_blocked


@pytest.mark.parametrize("event_seen", (True, False))
def test_unconfirmed_view_limits_its_writer_by_conflicts_and_freshness(event_seen):
    """Other members are in the new view; without its watch the writer acts under the old one until that expires."""
    alone = SteppedController("host-1", "host-2")
    peer = alone.other_member("host-1")
    name = machine_of("host-0", "host-0", "host-1", "host-2")
    alone.add_machine(name)
    spec = next(
        spec
        for spec in (msgspec.structs.replace(SPEC, id=f"wk-{number:06d}") for number in range(99))
        if rendezvous_owner("host-2", ["host-0", "host-1"]) != rendezvous_owner("host-3", ["host-0", "host-1"]) or spec
    )
    job = alone.submit_job(spec)
    alone.store.commit({}, {VIEW: View("host-0", {label: alone.lease_ids[label] for label in ("host-0", "host-1")})})
    if event_seen:
        alone.follow()
    sync_to_same_time(alone, peer)
    assert peer.core.membership.fencing_token > alone.core.membership.fencing_token or event_seen
    assert alone.core.local_jobs.cancel(spec.id, alone.t) == ""
    if not event_seen:
        batch = alone.next_batch()
        assert alone.commit(batch).failed == [VIEW]
        alone.core.batch_results.on_failed(batch, alone.t)
    assert job.stored_state is JobState.ACTIVE and alone.core.local_jobs.local_job_state(spec.id, alone.t) is None
    if not event_seen:
        alone.t += alone.core.membership.store_lease.ttl_s
        assert alone.next_batch() is None and not alone.core.may_act()
        alone.follow()
    alone.write_due_records()
    assert alone.core.local_jobs.local_job_state(spec.id, alone.t) == ("aborted", 0, 0)


def test_end_of_inherited_job_waits_for_one_settled_view_only():
    """Guards against a cancellation that each further view change delays again."""
    alone = SteppedController("host-1", "host-2")
    removed, remaining = next(
        pair
        for pair in (("host-1", "host-2"), ("host-2", "host-1"))
        if rendezvous_owner(pair[0], ["host-0", pair[1]]) == "host-0"
    )
    other = msgspec.structs.replace(SPEC, id="wk-000009")
    for spec in (SPEC, other):
        alone.store.commit({}, {JOBS + spec.id: Record(JobState.ACTIVE, removed, 0.0, 3, [], spec)})
    alone.commit_view("host-0", remaining)
    assert alone.core.local_jobs.cancel(SPEC.id, alone.t) == ""
    attempt_writes(alone, 2)
    assert stored_record(alone).state is JobState.ACTIVE, "the previous owner may still report it as active"
    alone.commit_view(remaining, "host-0")
    attempt_writes(alone, 2)
    assert stored_record(alone).state is JobState.ACTIVE, "no view has settled since the job was inherited"
    alone.advance(VIEW_SETTLED_S)
    attempt_writes(alone, 2)
    assert stored_record(alone).state is JobState.ABORTED
    alone.commit_view("host-0", remaining)
    assert alone.core.local_jobs.cancel(other.id, alone.t) == ""
    attempt_writes(alone, 2)
    assert stored_record(alone, other.id).state is JobState.ABORTED, "this member has owned it since a settled view"


def claim(job="wk-000002"):
    return PreemptionClaim("urgent", job, 1, [("wk-000001", 0, 7)], 0.0, 99.0, "free", 1.0)


@pytest.mark.parametrize("event_seen", (True, False))
def test_unconfirmed_claims_block_planning_until_read(event_seen):
    alone = SteppedController()
    ledger = alone.core.replica.ledger
    ledger.plan([{"n-000001": claim()}])
    commit_and_lose_answer(alone, event_seen)
    assert ledger.busy, "no planning while a claim write is unconfirmed"
    assert (ledger.claim_of("n-000001") is not None) is event_seen
    attempt_writes(alone, 3)
    assert ledger.busy is not event_seen
    alone.follow()
    attempt_writes(alone, 2)
    assert not ledger.busy and ledger.claim_of("n-000001") is not None
    assert (
        ledger.preemption_count("wk-000001", 0) == 1
        and ledger.usage_revision == alone.store.data[PREEMPTION_BUDGETS][1]
    )


@pytest.mark.parametrize("event_seen", (True, False))
def test_ends_are_written_while_a_claim_drop_is_unconfirmed(event_seen):
    """Guards against a drop that conflicts repeatedly while the watch hangs and blocks all other writes."""
    alone = SteppedController()
    ledger = alone.core.replica.ledger
    prepare_job_end(alone, "aborted")
    ledger.plan([{"n-000001": claim()}])
    alone.commit_and_answer(alone.next_batch())
    ledger.drop("n-000001", "used")
    drop = commit_and_lose_answer(alone, event_seen)
    assert drop.drops == [CLAIMS + "n-000001"]
    attempt_writes(alone, 3)
    assert stored_record(alone).state is JobState.ABORTED
    alone.follow()
    attempt_writes(alone, 2)
    assert ledger.claim_of("n-000001") is None and ledger.nothing_to_send


@pytest.mark.parametrize("event_seen", (True, False))
def test_unconfirmed_configuration_head_is_in_force_beside_the_previous_for_its_readers(event_seen):
    raw = msgspec.json.encode({"words": ["a"]})
    hours_revision = configuration.ConfigurationRevision("hours", 3, compiler.digest_of(raw), raw)
    proposer, reader = (OperatorConfiguration(file, 20.0, ["host-0"]) for file in ({"hours": hours_revision}, None))
    membership = SimpleNamespace(
        registered={"host-0": (1, 1)}, all_support=lambda protocol_version: True, is_leader=lambda now: True
    )
    proposal = proposer.due(membership, 0.0, 0.0, 12, 4096)
    assert CONFIGURATIONS + "hours" in proposal.puts

    def apply_proposal(declarations, now):
        for key, value in proposal.puts.items():
            declarations.apply(key, msgspec.json.encode(value), 7)
        declarations.refresh(now)

    apply_proposal(reader, 0.1)
    assert reader.revisions_in_force("hours", 0.1) == [0, 3]
    if event_seen:
        apply_proposal(proposer, 0.1)
    proposer.failed(proposal, constants.STORE_TIMEOUT_S)
    assert proposer.revisions_in_force("hours", 2.0) == ([0, 3] if event_seen else [0])
    again = proposer.due(membership, 2.0 + constants.CONFIGURATION_RETRY_DELAY_S, 9.0, 12, 4096)
    assert (again is None) is event_seen, "its own head is not proposed again"
    if again is not None:
        assert again.conditions == proposal.conditions, "the store holds revision 7, so this conflicts"
        proposer.failed(again, 3.0)
        apply_proposal(proposer, 4.0)
    assert proposer.revisions_in_force("hours", 20.9) == [0, 3] and proposer.revisions_in_force("hours", 26.0) == [3]


@pytest.mark.parametrize("event_seen", (True, False))
def test_unconfirmed_machine_types_are_written_once(event_seen):
    alone = SteppedController()
    machine_types = alone.core.machine_types.types_to_store()
    conditions = {VIEW: alone.core.membership.fencing_token, MACHINE_TYPES: alone.core.replica.types_revision}
    revision = alone.store.commit(conditions, {MACHINE_TYPES: machine_types}).revision
    if event_seen:
        alone.follow()
        assert alone.core.machine_types.types_to_store() is None
    else:
        assert alone.core.replica.types_revision == 0, "the next attempt conflicts"
        assert alone.store.commit(conditions, {MACHINE_TYPES: alone.core.machine_types.types_to_store()}).failed == [
            MACHINE_TYPES
        ]
    assert alone.store.data[MACHINE_TYPES][1] == revision


class AnswerLosingController(SimController):
    """Loses the responses of a share of its committed store writes; its watch sometimes hangs as well."""

    watch_blocked_until = 0.0

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
            self.watch_blocked_until = world.t + world.rng.uniform(1.0, 6.0)

    def follow(self) -> None:
        if self.world.t >= self.watch_blocked_until:
            super().follow()

    def frame(self, data: bytes) -> None:
        if self.world.stop_orders_lost and isinstance(
            msgspec.msgpack.decode(data, type=messages.Frame).body, messages.StopTask
        ):
            frame = msgspec.msgpack.decode(data, type=messages.Frame)
            data = msgspec.msgpack.encode(msgspec.structs.replace(frame, body=messages.KeepAlive()))
        super().frame(data)


class LostAnswersWorld(World):
    """Users cancel and query through all controllers while responses of the store are lost."""

    controller_class = AnswerLosingController
    lost_share, lost_from, lost_until = 0.4, 15.0, 90.0
    stop_orders_lost = False

    def __init__(self, seed, **more):
        self.answers_lost = 0
        self.run_after_cancel_s: dict[str, float] = {}  # job -> how long a task ran after the cancellation
        super().__init__(seed, **more)
        self.has_concurrent_faults = True

    def loses_answer(self, sim, method, args):
        return self.lost_from <= self.t < self.lost_until and self.rng.random() < self.lost_share

    def check_invariants(self):
        for task_id in self.running_on:
            job = wire.split_task_id(task_id)[0]
            if self.t > self.cancelled_at.get(job, math.inf):
                self.run_after_cancel_s[job] = self.t - self.cancelled_at[job]
        for job in self.cancelled_at:
            for sim in self.controllers.values():
                state = self.status_at_once(sim, job)
                if state is not None:
                    self.check_state(job, state)
        super().check_invariants()


@pytest.mark.parametrize("nodes, seed", [(3, 30000), (3, 30001), (5, 30002)])
def test_invariants_hold_while_store_responses_are_lost(nodes, seed):
    """Runs with the random faults of the simulation."""
    world = LostAnswersWorld(seed, nodes=nodes, pipelines=1)
    for number in range(8):
        world.after(20.0 + 9.0 * number, world.cancel_any)
    world.run(200.0)
    world.check_final_status_age()
    assert world.answers_lost > 30 and world.task_starts > 0
    assert sum(cancelled_at < math.inf for cancelled_at in world.cancelled_at.values()) >= 5


def membership_operation(method, args):
    """The membership operation of a store call: lease granted, key written, lease renewed or previous lease ended."""
    if method.__name__ == "commit":
        return "key" if len(args) == 4 and args[3] is not None else ""
    return {"take": "take", "extend": "extend", "<lambda>": "end"}.get(method.__name__, "")


@pytest.mark.parametrize("step, lost_s", [("take", 6.0), ("key", 6.0), ("end", 6.0), ("extend", 30.0)])
def test_member_uncertain_of_its_store_lease_or_key_does_not_act_on_it(step, lost_s):
    """A view may name a lease unknown to its process, and the store may keep a lease that has expired locally."""
    world = LostAnswersWorld(30010, jobs=8, random_faults=False)
    world.lost_share = 0.0
    world.run(40.0)
    sim, store = world.controllers["host-1"], world.store
    if step != "extend":
        world.crash_and_restart(sim, 0.3)
        world.run(40.3)
    until, began = world.t + lost_s, world.t
    world.loses_answer = lambda one, method, args: (
        one is sim and world.t < until and membership_operation(method, args) == step
    )
    previous_lease_id = msgspec.json.decode(store.data[VIEW][0], type=View).members["host-1"]
    acted, names_unknown_lease = [], False
    while world.t < until + 25.0:
        world.run(world.t + 0.1)
        lease_id = sim.core.membership.store_lease.lease_id
        view_lease_id = msgspec.json.decode(store.data[VIEW][0], type=View).members.get("host-1", lease_id)
        names_unknown_lease = names_unknown_lease or view_lease_id not in (lease_id, previous_lease_id)
        if sim.core.may_act():
            acted.append(world.t - began)
            assert lease_id == view_lease_id and lease_id in store.leases
    assert world.answers_lost and sim.core.may_act() and sim.core.state.is_member
    assert names_unknown_lease is (step == "key"), "the view named a lease of an unknown incarnation"
    if step == "extend":
        assert not [after_s for after_s in acted if sim.core.membership.store_lease.ttl_s < after_s < lost_s], (
            "it acts on an expired lease that the store still holds"
        )
    world.run(world.t + 60.0)
    world.check_final_status_age()


FAILOVER_AT_S, JOBS_PER_CONTROLLER, CANCEL_INTERVAL_S = 40.0, 14, 1.1


class HandoverWorld(LostAnswersWorld):
    """Cancels a controller's jobs one after the other around the failover of that controller.

    Each cancellation is repeated at all controllers every half second.
    """

    job_count = 3 * JOBS_PER_CONTROLLER

    def __init__(self, seed, nodes=3, **more):
        super().__init__(seed, nodes=nodes, jobs=0, random_faults=False, **more)
        self.lost_share = 0.0
        self.rarely_asked = ""  # receives fewer requests, so that other controllers report some ends first
        self.cancel_sent_at: dict[str, float] = {}
        self.first_end_reported_at: dict[str, float] = {}
        for number in range(self.job_count):
            self.after(self.rng.uniform(1.0, 10.0), self.submit, self.make_numbered_job(number))

    def make_numbered_job(self, number):
        return self.make_unlimited_pair(number)

    def leader(self):
        return msgspec.json.decode(self.store.data[VIEW][0], type=View).leader

    def jobs_accepted_by(self, label):
        return sorted(
            job
            for job in self.accepted
            if msgspec.json.decode(self.store.data[JOBS + job][0], type=Record).accepted_by == label
        )

    def cancel_at_all(self, job):
        self.cancel_sent_at.setdefault(job, self.t)
        if job not in self.reported_ends:
            for label, sim in self.controllers.items():
                if label != self.rarely_asked or self.rng.random() < 0.2:
                    self.cancel_through(sim, job)
            self.after(0.5, self.cancel_at_all, job)

    def cancel(self, job):
        """``cancel_at_all`` repeats the cancellations; no others are made in this world."""

    def check_state(self, job, state, asked=None):
        super().check_state(job, state, asked)
        if job in self.reported_ends:
            self.first_end_reported_at.setdefault(job, self.t)


def run_handover(seed, change, stop_orders_lost=True, lost=False, until=FAILOVER_AT_S + 85.0, nodes=3):
    """Runs ``change``, a failover of the leader; ``lost``: the store's responses to the leader are lost around it."""
    world = HandoverWorld(seed, nodes)
    world.run(FAILOVER_AT_S - 2.0)
    label = world.leader()
    sim, jobs = world.controllers[label], world.jobs_accepted_by(label)
    assert len(jobs) >= 6 and len(world.running_on) > JOBS_PER_CONTROLLER
    world.stop_orders_lost = stop_orders_lost
    world.rarely_asked = label
    for number, job in enumerate(jobs):
        world.after(CANCEL_INTERVAL_S * number, world.cancel_at_all, job)
    if lost:
        world.loses_answer = lambda one, method, args: one is sim and world.t < FAILOVER_AT_S + 8.0
    change(world, sim)
    world.run(until)
    assert set(world.first_end_reported_at) >= set(jobs)
    world.check_final_status_age()
    world.longest_cancel_s = max(world.first_end_reported_at[job] - world.cancel_sent_at[job] for job in jobs)
    return world


def stop_leader(world, sim):
    world.after(2.0, world.crash_and_restart, sim, 15.0)


def restart_leader(world, sim):
    world.after(2.0, world.crash_and_restart, sim, 0.2)


def isolate_leader(world, sim):
    """The leader keeps acting under the old view for its users and workers while others enter the next view."""

    def cut_links():
        sim.cut_store_until = sim.cut_mesh_until = world.t + 25.0

    world.after(2.0, cut_links)


def restart_leaders_repeatedly(world, sim):
    """A view change every four seconds for half a minute, so that per-view delays would accumulate."""
    for number in range(8):
        world.after(2.0 + 4.0 * number, lambda: world.crash_and_restart(world.controllers[world.leader()], 0.3))


FAILOVERS = [stop_leader, restart_leader, isolate_leader, restart_leaders_repeatedly]


@pytest.mark.parametrize(
    "seed, change, lost, stop_orders_lost",
    [
        (1, stop_leader, True, True),
        (2, restart_leader, False, True),
        (3, isolate_leader, True, True),
        (4, restart_leaders_repeatedly, True, False),
    ],
)
def test_jobs_cancelled_during_failover_end_once_and_stop_in_time(seed, change, lost, stop_orders_lost):
    """Guards against contradictory answers, and tasks that outlive a cancellation, during failover."""
    world = run_handover(seed, change, lost=lost, stop_orders_lost=stop_orders_lost)
    assert (world.answers_lost > 0) is lost
    assert world.longest_cancel_s < 20.0 and max(world.run_after_cancel_s.values()) < CANCEL_S, (
        "each end is reported and its tasks have stopped in time"
    )


def never_stop_cancelled_jobs(monkeypatch):
    monkeypatch.setattr(JobDirectory, "is_aborted", lambda self, job: False)


def ignore_contact_timeout(monkeypatch):
    monkeypatch.setattr(
        FailureDetector, "_compute_contact_until", lambda self: setattr(self, "contact_until", math.inf)
    )


def report_last_stored_state(monkeypatch):
    """The owner reports a job as pending while the write of its end is unconfirmed."""
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
        (never_stop_cancelled_jobs, stop_leader, 2, "ran_cancelled"),
        (ignore_contact_timeout, isolate_leader, 1, "went_back"),
        (report_last_stored_state, restart_leader, 8, "went_back"),
    ],
)
def test_each_failover_guard_is_detected_when_removed(monkeypatch, fault, change, seed, rule):
    fault(monkeypatch)
    with pytest.raises(InvariantViolation, match=rule):
        run_handover(seed, change, lost=True)


LEADER_RESTARTS, RESTART_INTERVAL_S, QUIET_S = 10, 12.0, 140.0


class LeaderRestartsWorld(HandoverWorld):
    """Restarts the leader ten times while jobs are cancelled, optionally with a store outage."""

    job_count = 20

    def __init__(self, seed, nodes=3, down_s=0.0, machines=14):
        super().__init__(seed, nodes, machines=machines)
        self.restarted_leaders: list[str] = []
        for number in range(LEADER_RESTARTS):
            self.after(FAILOVER_AT_S + RESTART_INTERVAL_S * number, self.restart_current_leader)
        if down_s:
            self.after(FAILOVER_AT_S + 2.5 * RESTART_INTERVAL_S, self.store.outage, down_s)
        self.after(FAILOVER_AT_S - 5.0, self.cancel_every_other_job)

    def make_numbered_job(self, number):
        return msgspec.structs.replace(super().make_numbered_job(number), estimate_s=30.0 + 10.0 * (number % 8))

    def restart_current_leader(self):
        self.restarted_leaders.append(self.leader())
        self.crash_and_restart(self.controllers[self.leader()], self.rng.uniform(0.3, 8.0))

    def cancel_every_other_job(self):
        for number, job in enumerate(sorted(self.accepted)[::2]):
            self.after(7.0 * number, self.cancel_at_all, job)


def run_leader_restarts(
    seed, until=FAILOVER_AT_S + LEADER_RESTARTS * RESTART_INTERVAL_S + QUIET_S, stop_orders_lost=True, **more
):
    """Runs with one machine's inbound traffic blocked.

    ``moved_after_s``: when each of its tasks was elsewhere or completed, or the cancellation of its job was sent.
    """
    world = LeaderRestartsWorld(seed, **more)
    world.stop_orders_lost = stop_orders_lost
    world.run(FAILOVER_AT_S - 0.5)
    workers = [worker for worker in world.machines.values() if worker is not None]
    blocked = max(
        workers, key=lambda worker: (sum(task_id in world.running_on for task_id in worker.tasks), worker.name)
    )
    blocked.inbound_blocked_until = FAILOVER_AT_S + LEADER_RESTARTS * RESTART_INTERVAL_S
    task_ids = [task_id for task_id in blocked.tasks if world.running_on.get(task_id) == blocked.name]
    world.moved_after_s = {}
    for sampled_at in range(int(FAILOVER_AT_S), int(until), 2):
        world.run(float(sampled_at))
        for task_id in task_ids:
            if (
                world.running_on.get(task_id, blocked.name) != blocked.name
                or task_id in world.completed
                or wire.split_task_id(task_id)[0] in world.cancel_sent_at
            ):
                world.moved_after_s.setdefault(task_id, sampled_at - FAILOVER_AT_S)
    assert task_ids and set(world.moved_after_s) == set(task_ids)
    world.check_final_status_age()
    return world


@pytest.mark.parametrize("seed, down_s", [(5, 0.0), (2, 50.0)])
def test_ten_leader_restarts_in_two_minutes_keep_invariants_and_end_all_jobs(seed, down_s):
    world = run_leader_restarts(seed, down_s=down_s)
    assert len(world.restarted_leaders) == LEADER_RESTARTS and len(set(world.restarted_leaders)) > 1
    assert not [job for job in world.accepted if job not in world.reported_ends], "all jobs have ended"
    waits = [world.first_end_reported_at[job] - world.cancel_sent_at[job] for job in world.cancel_sent_at]
    assert max(waits) < 20.0 + down_s and max(world.run_after_cancel_s.values()) < CANCEL_S
    assert max(world.moved_after_s.values()) < 50.0 + down_s, (
        "inherited tasks do not wait again after each leader change"
    )
