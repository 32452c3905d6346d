"""Store transactions that commit late or are answered late, combined with other faults.

An unanswered transaction may commit up to 12 s later, after newer ones of the same controller, and an answer may be
older than what the watch has delivered. Neither may lose or restore records, or report outdated job states.
"""

import contextlib
from types import SimpleNamespace

import curio
import msgspec
import pytest
from simulation import (
    LABELS,
    TYPES,
    SimController,
    SimStore,
    StoreRefusedError,
    TransactionTooLargeError,
    World,
    platform,
)

from alderbridge import configuration, constants
from alderbridge.claims.ledger import Ledger
from alderbridge.claims.records import PreemptionClaim
from alderbridge.configuration import ConfigurationHead, OperatorConfiguration, StoredRevision, compiler, records
from alderbridge.controller.core import ControllerCore
from alderbridge.controller.process import Controller
from alderbridge.controller.responses import Response
from alderbridge.jobs.record import JobState, Record
from alderbridge.jobs.task_states import TaskRun, TaskState
from alderbridge.machines.machine import MachineState
from alderbridge.membership.records import MemberRecord, View
from alderbridge.membership.rendezvous import rendezvous_owner
from alderbridge.protocol import messages, wire
from alderbridge.protocol.keys import (
    CLAIMS,
    CONFIGURATIONS,
    DEPENDENCY_LISTS,
    JOBS,
    MACHINES,
    MEMBERS,
    PREEMPTION_BUDGETS,
    VIEW,
)
from alderbridge.settings import Tuning
from alderbridge.state import store
from alderbridge.transport.errors import UnansweredError
from alderbridge.transport.selector import EpollSelector

SPEC = wire.JobSpec(
    id="wk-000001",
    job_class="x",
    team="free",
    kind="sweep",
    priority="standard",
    tasks=3,
    cpus=1.0,
    memory_gb=1.0,
    image="i",
    image_gb=1.0,
    estimate_s=10.0,
)
LEASE_S = 17.0
VIEW_SETTLED_S = 25.0  # more than the time until a view settles although a member sends nothing


class SteppedController:
    """One controller core and a store without loops, stepped by the test; other members only have member keys."""

    def __init__(self, *others: str) -> None:
        self.t = 0.0
        self.store = SimStore(self)
        self.me = "host-0"
        self.core = ControllerCore(platform(self.me, LABELS[:3]), Tuning(), self.t)
        self.core.machine_types.update(TYPES)
        self.lease_ids: dict[str, int] = {}
        for label in (self.me, *others):
            self.register_member(label)
        self.core.view_entry.lease_acquired(self.lease_ids[self.me], self.t, self.t)
        self.core.membership.record_sync(self.t)
        self.core.store_follower.load(self.store.rows(), [], self.store.revision, self.t, self.t)
        self.commit_view(self.me, *others)

    def other_member(self, label: str) -> "SteppedController":
        """The controller core of another member, with the same store."""
        other = self.unloaded_member(label)
        other.reload()
        return other

    def unloaded_member(self, label: str) -> "SteppedController":
        """The controller core of another member, which has not read the store yet."""
        other = object.__new__(SteppedController)
        other.t, other.store, other.me, other.lease_ids = self.t, self.store, label, self.lease_ids
        other.core = ControllerCore(platform(label, LABELS[:3]), Tuning(), self.t)
        other.core.machine_types.update(TYPES)
        other.core.view_entry.lease_acquired(self.lease_ids[label], self.t, self.t)
        return other

    def register_member(self, label: str) -> None:
        lease_id = self.lease_ids[label] = next(self.store.lease_ids)
        self.store.leases[lease_id] = 1e9
        self.store.commit({}, {MEMBERS + label: MemberRecord(lease_id, constants.PROTOCOL_VERSION)}, (), lease_id)

    def commit_view(self, *labels: str) -> None:
        """Commit a newer view of these members, and apply it here."""
        self.store.commit({}, {VIEW: View(labels[0], {label: self.lease_ids[label] for label in labels})})
        self.follow()

    def follow(self) -> None:
        core = self.core
        core.membership.store_lease.record_renewal(self.lease_ids[self.me], self.t)
        core.membership.record_sync(self.t)
        core.store_follower.apply_events(self.store.events_after(core.replica.revision), self.t, self.t)
        core.replica.revision = self.store.revision

    def reload(self) -> None:
        """Reload the replica, as after a failure of the watch."""
        self.core.membership.record_sync(self.t)
        self.core.store_follower.load(self.store.rows(), [], self.store.revision, self.t, self.t)

    def advance(self, for_s: float) -> None:
        """Advance the time, with a working watch."""
        end = self.t + for_s
        while self.t < end:
            self.t = min(end, self.t + 0.5)
            self.follow()
            self.core.round(self.t)

    def next_batch(self):
        return self.core.record_writer.next_batch(self.t)

    def commit(self, batch) -> wire.TransactionResult:
        return self.store.commit(batch.conditions, batch.puts, batch.drops)

    def commit_and_answer(self, batch) -> wire.TransactionResult:
        """Commit the batch with an immediate answer; conflicts are resolved as in ``RecordsLoop``."""
        core, answer = self.core, self.commit(batch)
        if not answer.failed:
            core.batch_results.on_written(batch, answer.revision, self.t)
            return answer
        core.batch_results.on_failed(batch, self.t)
        for key in answer.failed if VIEW not in answer.failed else ():
            row = self.store.data.get(key)
            core.batch_results.resolve_conflict(
                batch, key, None if row is None else wire.KeyValue(key, msgspec.Raw(row[0]), row[1]), self.t
            )
        return answer

    def write_due_records(self, max_batches: int = 30) -> None:
        """Commit all due records with immediate answers."""
        while (batch := self.next_batch()) is not None and max_batches:
            self.commit_and_answer(batch)
            max_batches -= 1

    def unanswered_batch(self):
        """A batch of the due records that gets no answer; the test may commit it later."""
        batch = self.next_batch()
        assert batch is not None
        self.core.batch_results.on_failed(batch, self.t)
        self.t += constants.STORE_TIMEOUT_S
        self.follow()
        return batch

    def heartbeat(self, name: str, sequence: int, tasks=(), incarnation: int = 1):
        return self.core.on_heartbeat(
            wire.Heartbeat(
                name, "x", "small", incarnation, sequence, self.core.membership.fencing_token, "a", tasks=list(tasks)
            ),
            self.t,
        )

    def add_machine(self, name: str) -> None:
        """Add a machine of this shard that has sent a heartbeat and is recorded in the store."""
        self.heartbeat(name, 1)
        self.write_due_records()
        assert self.core.machine_shard.machines[name].recorded

    def submit_job(self, spec=SPEC):
        """Submit a job that this member owns."""
        submission = self.core.submissions.submit(spec, self.t, self.t)
        self.write_due_records()
        assert submission.outcome == "accepted"
        return self.core.job_shard.jobs[spec.id]

    def start_task(self, job, machine: str, index: int) -> None:
        job.next_index = max(job.next_index, index + 1)
        job.grant(index, TaskRun(machine, "a", 7, 0, TaskState.RUNNING, self.t))
        self.core.job_shard.jobs_by_machine.setdefault(machine, set()).add(job.spec.id)

    def ended_task_report(self, machine: str, index: int, job: str = SPEC.id):
        return messages.MachineTaskReport(
            machine, "a", 1 << 40, [messages.TaskStatusReport(job, index, 7, "ended", "done")], []
        )


def machine_of(owner: str, *members: str) -> str:
    return next(
        name for name in (f"n-{number:06d}" for number in range(99)) if rendezvous_owner(name, sorted(members)) == owner
    )


@pytest.mark.parametrize("how", (SteppedController.follow, SteppedController.reload))
@pytest.mark.parametrize("end", ("expired", "terminated"))
def test_a_machine_record_that_commits_after_its_deletion_is_deleted_again(end, how):
    """A remaining record of a machine that no longer reports would delay each later view by a lease."""
    alone = SteppedController()
    name = "n-000001"
    alone.heartbeat(name, 1)
    first = alone.unanswered_batch()
    assert MACHINES + name in first.puts
    alone.write_due_records()
    if end == "expired":
        alone.advance(LEASE_S + 2.0)
        assert alone.core.machine_shard.machines[name].state is MachineState.EXPIRED
    else:
        alone.core.on_terminated([name], alone.t)
    alone.write_due_records()
    assert MACHINES + name not in alone.store.data
    assert not alone.commit(first).failed, "its conditions hold: the same view, and no record"
    how(alone)
    alone.write_due_records()
    assert MACHINES + name not in alone.store.data
    assert name not in alone.core.replica.machine_revisions


def test_a_put_that_commits_after_its_machine_was_terminated_leaves_no_record():
    """The unanswered put commits after a deletion that found no record."""
    alone = SteppedController()
    name = "n-000001"
    alone.heartbeat(name, 1)
    first = alone.unanswered_batch()
    alone.core.on_terminated([name], alone.t)
    alone.write_due_records()
    assert not alone.commit(first).failed
    alone.follow()
    alone.write_due_records()
    assert MACHINES + name not in alone.store.data


def test_no_task_is_placed_while_a_deletion_of_the_machine_record_is_unconfirmed():
    """The machine expired and reports again; the record of a late put does not permit tasks either."""
    alone = SteppedController()
    name = "n-000001"
    alone.heartbeat(name, 1)
    put = alone.unanswered_batch()
    alone.write_due_records()
    alone.advance(LEASE_S + 2.0)
    drop = alone.unanswered_batch()
    assert drop.drops == [MACHINES + name]
    machine = alone.heartbeat(name, 1, incarnation=2)
    assert machine.acknowledged and not machine.recorded
    alone.follow()
    assert not machine.recorded and alone.core.machine_shard.capacity.candidate(machine, alone.t) is None
    assert not alone.commit(drop).failed and not alone.commit(put).failed  # both commit late, one after the other
    alone.follow()
    assert not machine.recorded, "the repeated deletion may still remove the record"
    alone.write_due_records()
    assert machine.recorded and MACHINES + name in alone.store.data
    assert alone.commit(drop).failed and alone.commit(put).failed, "neither can commit any more"


def test_a_late_answer_to_a_deletion_does_not_hide_a_newer_record():
    """The answer arrives after the next view, under which the machine's new owner has recorded it again.

    If it counted as unrecorded, a later view would start its tasks elsewhere while they still run on it.
    """
    alone = SteppedController("host-1")
    name = machine_of("host-0", "host-0", "host-1")
    alone.add_machine(name)
    job = alone.submit_job()
    alone.advance(VIEW_SETTLED_S + LEASE_S)  # without heartbeats its lease expires
    drop = alone.next_batch()
    assert drop.drops == [MACHINES + name]
    answer = alone.commit(drop)
    alone.register_member("host-2")
    alone.commit_view("host-1", "host-0", "host-2")
    alone.store.commit({}, {MACHINES + name: wire.MachineRecord("x", "small", "a")})  # by its owner under this view
    alone.follow()
    alone.start_task(job, name, 0)
    alone.core.batch_results.on_written(drop, answer.revision, alone.t)  # within the request timeout of 2 s
    assert name in alone.core.replica.machine_revisions
    alone.commit_view("host-1", "host-0")
    assert 0 in job.runs, "its machine is recorded: only a heartbeat, lease expiry or termination releases the task"


def test_a_late_read_after_a_conflict_does_not_hide_a_newer_record():
    """The deletion failed with a conflict, and the read of the record is answered after the next view."""
    alone = SteppedController("host-1")
    name = machine_of("host-0", "host-0", "host-1")
    alone.add_machine(name)
    alone.advance(VIEW_SETTLED_S + LEASE_S)
    unanswered = alone.unanswered_batch()
    alone.commit(unanswered)
    drop = alone.next_batch()
    assert drop.drops == [MACHINES + name]
    assert alone.commit(drop).failed == [MACHINES + name]
    alone.commit_view("host-1", "host-0")
    alone.store.commit({}, {MACHINES + name: wire.MachineRecord("x", "small", "a")})
    alone.follow()
    alone.core.batch_results.resolve_conflict(drop, MACHINES + name, None, alone.t)  # the state at the time of the read
    assert name in alone.core.replica.machine_revisions


@pytest.mark.parametrize("how", ("answer", "read"))
def test_a_late_answer_to_a_put_does_not_restore_a_deleted_record(how):
    """The owner under the next view has deleted the record; kept here only, it would stay in the barrier forever."""
    alone = SteppedController("host-1")
    name = machine_of("host-0", "host-0", "host-1")
    alone.heartbeat(name, 1)
    put = alone.next_batch()
    answer = alone.commit(put)
    alone.commit_view("host-1", "host-0")
    alone.store.commit({}, {}, [MACHINES + name])
    alone.follow()
    assert name not in alone.core.replica.machine_revisions
    if how == "answer":
        alone.core.batch_results.on_written(put, answer.revision, alone.t)
    else:
        alone.core.batch_results.resolve_conflict(
            put, MACHINES + name, wire.KeyValue(MACHINES + name, msgspec.Raw(b"{}"), answer.revision), alone.t
        )
    assert name not in alone.core.replica.machine_revisions


def test_a_new_view_does_not_wait_for_a_terminated_machine():
    """A late put has restored its record just before the view."""
    alone = SteppedController("host-1")
    name = machine_of("host-0", "host-0", "host-1")
    alone.heartbeat(name, 1)
    put = alone.unanswered_batch()
    alone.core.on_terminated([name], alone.t)
    alone.write_due_records()
    assert not alone.commit(put).failed
    alone.store.commit({}, {VIEW: View("host-0", {label: alone.lease_ids[label] for label in ("host-0", "host-1")})})
    alone.follow()
    alone.core.messenger.pump()
    assert not alone.core.job_shard.inherited.barrier, "no task runs on it"
    alone.write_due_records()
    assert MACHINES + name not in alone.store.data


def test_a_result_is_not_acknowledged_before_it_is_stored():
    """A repeated report while the record is being written must not clear the result on the worker."""
    alone = SteppedController()
    job = alone.submit_job()
    for index in (0, 1):
        alone.start_task(job, "n-000001", index)
    sent = []
    shard = alone.core.job_shard
    shard.task_reports.send = shard.record_writes.send = shard.record_writes.send_deferred = lambda label, body: (
        sent.append(body) or len(sent)
    )
    report = alone.ended_task_report("n-000001", 0)
    alone.core.job_shard.task_reports.on_task_report("host-0", report, alone.t)
    alone.t += 1.0
    alone.follow()
    batch = alone.next_batch()
    assert batch.jobs
    # The next report of the machine repeats the result.
    alone.core.job_shard.task_reports.on_task_report("host-0", report, alone.t)
    assert not [body for body in sent if isinstance(body, messages.AcknowledgeFinished)], (
        "the worker would discard a result that is not stored"
    )
    alone.core.batch_results.on_failed(batch, alone.t)
    alone.write_due_records()
    assert [body.index for body in sent if isinstance(body, messages.AcknowledgeFinished)] == [0]
    alone.advance(2.0)
    alone.write_due_records()
    assert not job.unacknowledged_results and job.dirty_since is None


def late_end(alone, how):
    """A job, and the unanswered batch that writes its final state."""
    job = alone.submit_job()
    if how == "cancelled":
        assert alone.core.local_jobs.cancel(SPEC.id, alone.t) == ""
    else:
        for index in range(SPEC.tasks):
            alone.start_task(job, "n-000001", index)
            alone.core.job_shard.task_reports.on_task_report(
                "host-0", alone.ended_task_report("n-000001", index), alone.t
            )
    return job, alone.unanswered_batch()


@pytest.mark.parametrize("how, state", [("cancelled", "aborted"), ("last task", "done")])
@pytest.mark.parametrize("late", (False, True))
def test_an_unanswered_final_state_is_reported_only_once_it_is_stored(how, state, late):
    alone = SteppedController()
    job, end = late_end(alone, how)
    core = alone.core
    assert core.local_jobs.local_job_state(SPEC.id, alone.t) is None, (
        "others may have read it from the store, so pending would be wrong"
    )
    assert core.local_jobs.cancel(SPEC.id, alone.t) == ""
    if late:  # after a newer attempt that was answered
        alone.write_due_records()
        assert alone.commit(end).failed
    else:  # before: the watch delivers it, and the next attempt fails with a conflict
        assert not alone.commit(end).failed
        alone.follow()
    assert (
        core.local_jobs.local_job_state(SPEC.id, alone.t)[0] == state
        and core.local_jobs.cancel(SPEC.id, alone.t) == state
    )
    alone.write_due_records()
    alone.advance(2.0)
    alone.write_due_records()
    assert SPEC.id not in core.job_shard.jobs, "the final state is reported and its results are acknowledged"
    stored = msgspec.json.decode(alone.store.data[JOBS + SPEC.id][0], type=Record)
    assert stored.state.value == state and stored.spec is None


@pytest.mark.parametrize("carried_out", (False, True))
def test_an_unanswered_final_state_does_not_change_under_the_next_view(carried_out):
    """It committed before the view or never will; the job owner, which continues, keeps it in both cases."""
    alone = SteppedController("host-1")
    _, end = late_end(alone, "cancelled")
    if carried_out:
        alone.commit(end)
    alone.commit_view("host-1", "host-0")
    assert alone.commit(end).failed, "it asserts the view"
    reported = alone.core.local_jobs.local_job_state(SPEC.id, alone.t)
    assert reported == (("aborted", 0, 0) if carried_out else None)
    alone.write_due_records()
    assert alone.core.local_jobs.local_job_state(SPEC.id, alone.t) == ("aborted", 0, 0)


def test_a_stored_final_state_is_not_overwritten_with_an_active_record():
    """An inherited job may not end before the view settles; until then its owner must keep the stored state."""
    alone = SteppedController("host-1")
    job = alone.submit_job()
    alone.start_task(job, "n-000001", 0)  # a task is still to be stopped, so the record keeps the job's spec
    job.inherited = True
    assert alone.core.local_jobs.cancel(SPEC.id, alone.t) == ""
    alone.core.job_shard.settled = True
    alone.commit(alone.unanswered_batch())
    alone.commit_view("host-1", "host-0")
    assert not alone.core.job_shard.settled and SPEC.id in alone.core.job_shard.jobs
    for _ in range(5):
        alone.write_due_records(3)
        alone.follow()
        alone.t += 1.0
        record = msgspec.json.decode(alone.store.data[JOBS + SPEC.id][0], type=Record)
        assert record.state is JobState.ABORTED
    assert alone.core.local_jobs.local_job_state(SPEC.id, alone.t) == ("aborted", 0, 0)


@pytest.mark.parametrize("carried_out", (False, True))
def test_an_unanswered_final_state_leaves_at_most_one_under_a_new_job_owner(carried_out):
    """The new job owner finds the stored final state, or writes the only one."""
    alone = SteppedController("host-1")
    _, end = late_end(alone, "last task")
    successor = alone.other_member("host-1")
    if carried_out:
        alone.commit(end)
    successor.commit_view("host-1")
    assert alone.commit(end).failed, "it asserts the view"
    reported = successor.core.local_jobs.local_job_state(SPEC.id, successor.t)
    assert reported[0] == ("done" if carried_out else "pending"), "a final state that is not stored is not reported"
    successor.advance(2.0)
    state = successor.core.local_jobs.cancel(SPEC.id, successor.t)
    successor.write_due_records()
    assert (state, successor.core.local_jobs.local_job_state(SPEC.id, successor.t)[0]) == (
        ("done", "done") if carried_out else ("", "aborted")
    )
    successor.advance(1.0)
    assert msgspec.json.decode(successor.store.data[JOBS + SPEC.id][0], type=Record).state.value == (
        "done" if carried_out else "aborted"
    )


def test_late_progress_does_not_overwrite_newer_progress():
    """Each write is conditional on the record's revision, so only one of two attempts commits."""
    alone = SteppedController()
    job = alone.submit_job()
    for index in (0, 1):
        alone.start_task(job, "n-000001", index)
    alone.core.job_shard.task_reports.on_task_report("host-0", alone.ended_task_report("n-000001", 0), alone.t)
    alone.t += 1.0
    alone.follow()
    first = alone.unanswered_batch()
    alone.core.job_shard.task_reports.on_task_report("host-0", alone.ended_task_report("n-000001", 1), alone.t)
    alone.write_due_records()
    assert alone.commit(first).failed
    stored = msgspec.json.decode(alone.store.data[JOBS + SPEC.id][0], type=Record)
    assert stored.done == [(0, 2)] and not job.unacknowledged_results


def test_a_refused_submission_that_commits_late_is_adopted_after_a_reload():
    """The record appears among the reloaded rows and not among the watched changes."""
    alone = SteppedController()
    alone.core.submissions.submit(SPEC, alone.t, alone.t)
    late = alone.unanswered_batch()
    alone.core.submissions.refuse_all()
    assert not alone.commit(late).failed
    alone.reload()
    assert SPEC.id in alone.core.job_shard.jobs, (
        "its user may have been answered that it is known, and no other member owns it"
    )
    assert alone.core.local_jobs.local_job_state(SPEC.id, alone.t)[0] == "pending"


def test_a_submission_refused_by_two_controllers_has_one_record_and_one_owner():
    """Both transactions arrive late: one fails with a conflict, and the owner of the other adopts the record."""
    alone = SteppedController("host-1")
    peer = alone.other_member("host-1")
    late = []
    for member in (alone, peer):
        member.core.submissions.submit(SPEC, member.t, member.t)
        late.append(member.unanswered_batch())
        member.core.submissions.refuse_all()
    assert not peer.commit(late[1]).failed
    retried = alone.core.submissions.submit(
        SPEC, alone.t, alone.t
    )  # the user retries before the watch has delivered the record
    alone.write_due_records()
    assert retried.outcome == "known" and alone.commit(late[0]).failed
    alone.follow()
    peer.follow()
    assert SPEC.id in peer.core.job_shard.jobs and SPEC.id not in alone.core.job_shard.jobs
    assert peer.core.local_jobs.local_job_state(SPEC.id, peer.t)[0] == "pending"


def test_a_submission_that_commits_late_ends_if_its_dependency_was_aborted():
    """The first attempt stored an active record; the second, a final state, fails with a conflict."""
    alone = SteppedController()
    dependency = msgspec.structs.replace(SPEC, id="wk-000002")
    alone.submit_job(dependency)
    submission = alone.core.submissions.submit(
        msgspec.structs.replace(SPEC, dependencies=[dependency.id]), alone.t, alone.t
    )
    first = alone.unanswered_batch()
    alone.store.commit({}, {JOBS + dependency.id: Record(JobState.ABORTED)})
    alone.follow()
    assert not alone.commit(first).failed
    alone.write_due_records()
    assert submission.outcome == "known"
    alone.follow()
    alone.write_due_records()
    assert (
        alone.core.local_jobs.local_job_state(SPEC.id, alone.t) == ("aborted", 0, 0)
        and SPEC.id not in alone.core.job_shard.jobs
    )


def test_an_unanswered_deletion_of_dependency_lists_is_repeated():
    alone = SteppedController()
    keys = [f"{DEPENDENCY_LISTS}wk-000009/x/{number}" for number in range(3)]
    alone.store.commit({}, dict.fromkeys(keys, ["wk-000008"]))
    alone.follow()
    alone.core.record_writer.lists_to_drop = list(keys)
    batch = alone.unanswered_batch()
    assert batch.drops == keys
    alone.core.batch_results.on_failed(batch, alone.t)  # called again if the read after a conflict fails
    alone.write_due_records()
    assert not [key for key in alone.store.data if key.startswith(DEPENDENCY_LISTS)]
    assert not alone.core.record_writer.lists_to_drop


def test_a_dependency_list_that_commits_late_is_not_restored_after_its_job():
    """Lists are conditional on the absence of the job's record, so a late or repeated submission writes none."""
    alone = SteppedController()
    alone.core.job_shard.value_bytes = 700
    needs = [f"wk-{number:06d}" for number in range(100, 250)]
    spec = msgspec.structs.replace(SPEC, dependencies=needs)
    submission = alone.core.submissions.submit(spec, alone.t, alone.t)
    assert len(submission.dependency_lists) > 1
    late = alone.unanswered_batch()
    assert all(key.startswith(DEPENDENCY_LISTS) for key in late.puts)
    alone.write_due_records()
    assert submission.outcome == "accepted"
    assert alone.core.local_jobs.cancel(SPEC.id, alone.t) == ""
    alone.write_due_records()
    assert not [key for key in alone.store.data if key.startswith(DEPENDENCY_LISTS)]
    assert alone.commit(late).failed == [JOBS + SPEC.id]
    alone.core.replica.ended.clear()  # as on a controller that has not received the job's record
    alone.core.replica.dependency_lists.clear()
    retried = alone.core.submissions.submit(spec, alone.t, alone.t)
    alone.commit_and_answer(alone.next_batch())
    assert retried.outcome == "known" and not [key for key in alone.store.data if key.startswith(DEPENDENCY_LISTS)]


@pytest.mark.parametrize("failed", (False, True))
def test_unconfirmed_claims_survive_a_reload_of_the_replica(failed):
    """They may still commit under the same view, so preemption must not be planned without them."""
    ledger = Ledger()
    ledger.plan(
        [{"n-000001": PreemptionClaim("urgent", "wk-000002", 1, [("wk-000001", 0, 7)], 0.0, 99.0, "free", 1.0)}]
    )
    first = ledger.next_transaction(1.0, 12, 4096)
    if failed:
        ledger.mark_unconfirmed(first)
    ledger.discard_up_to()  # and the reloaded rows do not have them yet
    assert ledger.busy, "no planning before the claims are confirmed or rejected"
    if not failed:
        ledger.mark_unconfirmed(first)
    retried = ledger.next_transaction(2.0, 12, 4096)
    assert set(retried.puts) == {PREEMPTION_BUDGETS}, (
        "the new revision of this key prevents the first one from committing"
    )
    for key, value in first.puts.items():  # the first one committed before that
        ledger.apply(key, msgspec.json.encode(value), 9)
    ledger.mark_unconfirmed(retried)
    assert ledger.next_transaction(3.0, 12, 4096) is None and not ledger.busy
    assert ledger.claim_of("n-000001") is not None and "wk-000001" in ledger.preemptions


def test_a_claim_survives_a_reload_of_rows_older_than_it():
    """The claim's transaction was answered during a slow reload; its victim must not preempt others."""
    alone = SteppedController()
    store, ledger = alone.store, alone.core.replica.ledger
    rows, revision = store.rows(), store.revision
    ledger.plan(
        [{"n-000001": PreemptionClaim("urgent", "wk-000002", 1, [("wk-000001", 0, 7)], 0.0, 99.0, "free", 1.0)}]
    )
    alone.write_due_records()
    assert ledger.claim_of("n-000001") is not None and "wk-000001" in ledger.preemptions
    alone.core.store_follower.load(rows, [], revision, alone.t, alone.t)
    assert ledger.claim_of("n-000001") is not None and "wk-000001" in ledger.preemptions
    assert ledger.usage_revision == store.data[PREEMPTION_BUDGETS][1]
    store.commit({}, {}, [CLAIMS + "n-000001"])
    alone.reload()
    assert ledger.claim_of("n-000001") is None, "a claim deleted while the watch was interrupted is removed"


def test_a_late_answer_does_not_restore_a_configuration_revision_that_was_deleted():
    """A head that refers to a deleted text would be unreadable, and all members would stop acting."""
    raw = msgspec.json.encode({"words": ["a" * 900]})
    own = configuration.ConfigurationRevision("hours", 3, compiler.digest_of(raw), raw)
    configured = OperatorConfiguration({"hours": own}, 20.0, ["host-0"])
    other = StoredRevision(2, "other", 0)
    membership = SimpleNamespace(
        present={"host-0": (1, 1)}, all_support=lambda protocol_version: True, is_leader=lambda now: False
    )
    head = ConfigurationHead(1, "first", 0, 0.0)
    configured.apply(CONFIGURATIONS + "hours", msgspec.json.encode(head), 5)
    configured.refresh(0.0)
    proposal = configured.due(membership, 0.0, 0.0, 1, 512)  # limit of one change: a text, and the head later
    ((key, piece),) = proposal.puts.items()
    assert key in records.piece_keys("hours", StoredRevision(3, own.digest, records.parts_of(raw, 512)))
    configured.apply(key, msgspec.json.encode(piece), 7)  # the watch delivers it, and the other head, before the answer
    configured.apply(key, None, 8)
    configured.apply(CONFIGURATIONS + "hours", msgspec.json.encode(ConfigurationHead(2, "other", 0, 0.0, head.last)), 8)
    configured.refresh(0.0)
    configured.done(proposal, 7, 0.0)
    assert key not in configured.kinds["hours"].pieces
    assert other.revision == configured.kinds["hours"].head.revision


def controller_with_remote_job(monkeypatch):
    """A controller, and the active record of a job that host-1 owns."""
    controller = Controller(platform("host-0", ["host-0", "host-1"]), Tuning(), EpollSelector())
    core = controller.core
    record = Record(JobState.ACTIVE, "host-1", 0.0, 3, [], SPEC)
    core.replica.observe_job(SPEC.id, record, 5)
    core.membership.observe_view(View("host-1", {"host-0": 1, "host-1": 2}), 4)
    return controller, record


@pytest.mark.parametrize("ended", (JobState.DONE, JobState.ABORTED))
def test_a_slow_read_of_an_active_record_is_not_reported_after_the_final_state(monkeypatch, ended):
    """While the read is pending the final state arrives, and a cancellation is answered with it."""
    controller, record = controller_with_remote_job(monkeypatch)

    async def slow_get(key):
        row = wire.KeyValue(key, msgspec.Raw(msgspec.json.encode(record)), 5)
        controller.core.replica.observe_job(SPEC.id, Record(ended), 6)
        assert (await controller.users_api.cancellations.cancel(SPEC.id))[1] == wire.accepted_body(SPEC.id, ended.value)
        return row

    monkeypatch.setattr(controller.store, "get", slow_get)
    status, body, _ = curio.run(controller.users_api.status.status_from_store, SPEC.id)
    assert (status, msgspec.json.decode(body)["status"]) == (200, ended.value)


def test_a_job_stored_during_a_slow_read_is_not_reported_as_unknown(monkeypatch):
    """Another attempt of its user was accepted meanwhile: neither 404 nor a refusal may follow."""
    controller, record = controller_with_remote_job(monkeypatch)
    controller.core.replica.active_jobs.clear()

    async def slow_get(key):
        controller.core.replica.observe_job(SPEC.id, record, 6)

    monkeypatch.setattr(controller.store, "get", slow_get)
    assert curio.run(controller.users_api.status.status_from_store, SPEC.id)[0] == 503
    controller.core.replica.active_jobs.clear()
    assert curio.run(controller.users_api.submissions.refuse_unless_accepted, SPEC.id, "unknown team")[0] == 503


@pytest.mark.parametrize("request_kind", ("poll", "resubmission"))
def test_an_older_answer_of_the_job_owner_is_not_reported_after_the_final_state(monkeypatch, request_kind):
    controller, _ = controller_with_remote_job(monkeypatch)
    answers = []
    body = wire.job_status_body(SPEC.id, "running", 0, 1)

    async def poll():
        assert controller.users_api.status.poll_status(SPEC.id, answers.append) is None
        controller.core.replica.observe_job(SPEC.id, Record(JobState.ABORTED), 6)
        number = controller.queries.query_count
        await controller.queries.on_poll_reply(number, messages.JobQueryReply(number, 200, body))

    async def resubmit():
        async def ask(label, what, job):
            controller.core.replica.observe_job(SPEC.id, Record(JobState.ABORTED), 6)
            return Response(200, body, [])

        controller.queries.query = ask
        answers.append(await controller.users_api.submissions.answer_resubmission(SPEC.id))

    curio.run(poll if request_kind == "poll" else resubmit)
    assert msgspec.json.decode(answers[0][1])["status"] == "aborted"


@pytest.mark.parametrize("found, status", [(True, 200), (False, 400), (None, 503)])
def test_a_job_over_the_value_limit_is_refused_only_if_it_is_not_stored(monkeypatch, found, status):
    """The value limit was reduced, and the watch has not delivered the accepted job's record."""
    controller = Controller(platform("host-0", ["host-0", "host-1"]), Tuning(), EpollSelector())

    async def get(key):
        if found is None:
            raise UnansweredError(key)
        return (
            wire.KeyValue(key, msgspec.Raw(msgspec.json.encode(Record(JobState.ACTIVE, "host-1", 0.0, 3, [], SPEC))), 5)
            if found
            else None
        )

    core = controller.core
    core.state.loaded, core.job_shard.value_bytes = True, 200
    core.machine_types.update(TYPES)
    monkeypatch.setattr(controller.store, "get", get)
    monkeypatch.setattr(core.membership, "may_act", lambda now: True)
    body = {
        "id": "wk-000001",
        "workload": "x",
        "owner": "free",
        "shape": "sweep",
        "urgency": "standard",
        "parts": 3,
        "vcpus": 1.0,
        "accelerators": 0.0,
        "mem_gb": 1.0,
        "flavours": None,
        "site": None,
        "together": False,
        "apart": False,
        "standby": True,
        "bundle": "i",
        "image_gb": 1.0,
        "expected_s": 10.0,
        "snapshot_every_s": 0.0,
        "snapshot_s": 0.0,
        "due_s": None,
    }
    assert curio.run(controller.users_api.submissions.submit, msgspec.json.encode(body))[0] == status


class LossyStore:
    """A store that loses the answer to one step of acquiring a lease; the step itself executes at once or late."""

    def __init__(self, lose: str, late: bool) -> None:
        self.t = 0.0
        self.sim, self.lose, self.late = SimStore(self), lose, late
        self.delayed_actions = []

    def step(self, name, action):
        if name != self.lose:
            return action()
        self.lose = ""  # loses only the first answer
        if self.late:
            self.delayed_actions.append(action)
        else:
            action()
        raise UnansweredError(name)

    async def get(self, key):
        row = self.sim.data.get(key)
        return self.step("get", lambda: None if row is None else wire.KeyValue(key, msgspec.Raw(row[0]), row[1]))

    async def grant_lease(self, ttl_s):
        def grant():
            lease_id = next(self.sim.lease_ids)
            self.sim.leases[lease_id] = 1e9
            return lease_id

        return self.step("grant_lease", grant)

    async def commit(self, conditions, puts, drops=(), lease_id=None):
        return self.step("commit", lambda: self.sim.commit(conditions, puts, drops, lease_id))

    async def revoke_lease(self, lease_id):
        self.step("revoke_lease", lambda: self.sim.revoke_lease(lease_id))


@pytest.mark.parametrize("late", (False, True))
@pytest.mark.parametrize("lose", ("get", "grant_lease", "commit", "revoke_lease"))
def test_the_member_key_matches_the_store_lease_if_any_step_of_acquiring_it_is_unanswered(lose, late):
    lossy_store = LossyStore(lose, late)
    controller = Controller(platform("host-0", ["host-0", "host-1"]), Tuning(), EpollSelector(), store=lossy_store)
    lossy_store.sim.leases[1000] = 1e9
    lossy_store.sim.commit(
        {}, {MEMBERS + "host-0": MemberRecord(1000, constants.PROTOCOL_VERSION)}, (), 1000
    )  # of the earlier incarnation

    async def enter():
        for _ in range(3):
            if not controller.membership.store_lease.lease_id:
                try:
                    await controller.store_lease_loop.acquire_store_lease()
                except (UnansweredError, store.StoreRefusedError):
                    pass

    curio.run(enter)
    for action in lossy_store.delayed_actions:
        action()  # executed late, after newer steps
    lease_id = controller.membership.store_lease.lease_id
    raw, _, attached = lossy_store.sim.data[MEMBERS + "host-0"]
    assert lease_id and msgspec.json.decode(raw, type=MemberRecord).lease_id == lease_id == attached
    assert lease_id in lossy_store.sim.leases


class LateCommitController(SimController):
    """While faulty, a share of its transactions is unanswered and commits 2 to 12 s later, after newer ones.

    Other answers of the store are delayed, and the watch sometimes fails, which reloads the replica.
    """

    def is_faulty(self) -> bool:
        return 20.0 <= self.world.t < 80.0

    def follow(self) -> None:
        core, store, world = self.core, self.world.store, self.world
        if self.follow_busy or not core.state.loaded or not self.is_faulty() or world.rng.random() >= 0.05:
            return super().follow()
        self.follow_busy, requested_at = True, world.t

        def done(answer) -> None:
            self.follow_busy = False
            core.membership.record_sync(requested_at)
            core.store_follower.load(*answer, world.t, world.t + self.ahead_s)

        def failed() -> None:
            self.follow_busy = False

        self.call(done, failed, lambda: store.expire_leases() or (store.rows(), [], store.revision))

    def call(self, then, fail, method, *args, too_large=None) -> None:
        world, life = self.world, self.life
        if not self.is_faulty() or method != world.store.commit or world.rng.random() >= world.late_commit_share:
            if not self.is_faulty() or world.rng.random() >= 0.2:
                return super().call(then, fail, method, *args, too_large=too_large)

            def delayed(action):
                def answer_later(*answer) -> None:
                    world.after(world.rng.uniform(0.1, 1.8), self.run_if_same_incarnation, life, action, *answer)

                return answer_later

            return super().call(delayed(then), fail, method, *args, too_large=too_large)

        def carry_out() -> None:
            with contextlib.suppress(StoreRefusedError, TransactionTooLargeError):
                method(*args)

        world.after(world.rng.uniform(2.0, 12.0), carry_out)
        world.after(constants.STORE_TIMEOUT_S, self.run_if_same_incarnation, life, fail)

    def run_if_same_incarnation(self, life: int, action, *answer) -> None:
        if life == self.life:
            action(*answer)
            self.flush()


class LateCommitWorld(World):
    controller_class = LateCommitController
    late_commit_share = 0.3


@pytest.mark.parametrize("seed", (9500, 9501, 9502))
def test_invariants_hold_while_transactions_commit_late(seed):
    """Combined with all other simulated faults."""
    world = LateCommitWorld(seed, pipelines=3)
    world.run(200.0)
    world.check_final_status_age()
    assert world.task_starts > 0


@pytest.mark.parametrize("status", (400, 401, 418))
def test_only_a_404_from_the_store_counts_as_a_missing_key(status):
    """If another status counted as one, requests for an accepted job would be answered with 404."""
    client = store.Store("127.0.0.1:1")

    async def answer(*_args, **_more):
        return answered

    client.client.request = answer
    answered = status, b"{}"
    with pytest.raises(store.StoreRefusedError):
        curio.run(client.get, JOBS + "wk-000001")
    answered = 404, b"{}"
    assert curio.run(client.get, JOBS + "wk-000001") is None
