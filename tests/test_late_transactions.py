"""Transactions carried out late or answered slowly, met by other faults: what the store and its copies hold after.

A transaction that had no answer is carried out up to 12 s later, after newer ones of the same controller; an answer
may be older than what has arrived since. ``docs/design-meetings.md`` lists every transaction and what it asserts.
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
from alderbridge.protocol.keys import BUDGETS, CLAIMS, DECLARED, JOBS, LISTS, MACHINES, MEMBERS, VIEW
from alderbridge.settings import Tuning
from alderbridge.state import store
from alderbridge.transport.errors import UnansweredError
from alderbridge.transport.selector import Poll

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
SETTLED_S = 25.0  # until a view counts as settled where a member is not heard, and more


class Alone:
    """One pure node and a store, no loops: each step is the test's. Other members are there by their keys only."""

    def __init__(self, *others: str) -> None:
        self.t = 0.0
        self.store = SimStore(self)
        self.me = "host-0"
        self.core = ControllerCore(platform(self.me, LABELS[:3]), Tuning(), self.t)
        self.core.machine_types.update(TYPES)
        self.lease_ids: dict[str, int] = {}
        for label in (self.me, *others):
            self.come(label)
        self.core.view_entry.lease_acquired(self.lease_ids[self.me], self.t, self.t)
        self.core.membership.record_sync(self.t)
        self.core.store_follower.load(self.store.rows(), [], self.store.revision, self.t, self.t)
        self.view(self.me, *others)

    def other(self, label: str) -> "Alone":
        """The node of another member, at the same store."""
        other = object.__new__(Alone)
        other.t, other.store, other.me, other.lease_ids = self.t, self.store, label, self.lease_ids
        other.core = ControllerCore(platform(label, LABELS[:3]), Tuning(), self.t)
        other.core.machine_types.update(TYPES)
        other.core.view_entry.lease_acquired(self.lease_ids[label], self.t, self.t)
        other.reload()
        return other

    def come(self, label: str) -> None:
        lease_id = self.lease_ids[label] = next(self.store.lease_ids)
        self.store.holds[lease_id] = 1e9
        self.store.commit({}, {MEMBERS + label: MemberRecord(lease_id, constants.PROTOCOL_VERSION)}, (), lease_id)

    def view(self, *labels: str) -> None:
        """A newer view of these, and it has arrived here."""
        self.store.commit({}, {VIEW: View(labels[0], {label: self.lease_ids[label] for label in labels})})
        self.follow()

    def follow(self) -> None:
        core = self.core
        core.membership.store_lease.record_renewal(self.lease_ids[self.me], self.t)
        core.membership.record_sync(self.t)
        core.store_follower.apply_events(self.store.since(core.replica.revision), self.t, self.t)
        core.replica.revision = self.store.revision

    def reload(self) -> None:
        """As after any failure to follow: all is read anew."""
        self.core.membership.record_sync(self.t)
        self.core.store_follower.load(self.store.rows(), [], self.store.revision, self.t, self.t)

    def go(self, for_s: float) -> None:
        """Time passes, and the store answers what is read."""
        end = self.t + for_s
        while self.t < end:
            self.t = min(end, self.t + 0.5)
            self.follow()
            self.core.round(self.t)

    def batch(self):
        return self.core.record_writer.next_batch(self.t)

    def carry_out(self, batch) -> wire.TransactionResult:
        return self.store.commit(batch.conditions, batch.puts, batch.drops)

    def settle(self, batch) -> wire.TransactionResult:
        """Carried out, and answered at once; a conflict is read as ``RecordWriter`` does."""
        core, answer = self.core, self.carry_out(batch)
        if not answer.failed:
            core.batch_results.on_written(batch, answer.revision, self.t)
            return answer
        core.batch_results.on_failed(batch, self.t)
        for key in answer.failed if VIEW not in answer.failed else ():
            found = self.store.data.get(key)
            core.batch_results.resolve_conflict(
                batch, key, None if found is None else wire.KeyValue(key, msgspec.Raw(found[0]), found[1]), self.t
            )
        return answer

    def write(self, most: int = 30) -> None:
        """All that is due, answered at once."""
        while (batch := self.batch()) is not None and most:
            self.settle(batch)
            most -= 1

    def lost(self):
        """What is due, sent and without an answer: the test carries it out when it likes."""
        batch = self.batch()
        assert batch is not None
        self.core.batch_results.on_failed(batch, self.t)
        self.t += constants.STATE_TIMEOUT_S
        self.follow()
        return batch

    def heartbeat(self, name: str, sequence: int, tasks=(), incarnation: int = 1):
        return self.core.on_heartbeat(
            wire.Heartbeat(
                name, "x", "small", incarnation, sequence, self.core.membership.fencing_token, "a", tasks=list(tasks)
            ),
            self.t,
        )

    def up(self, name: str) -> None:
        """A machine of this part that has reported and is in the store."""
        self.heartbeat(name, 1)
        self.write()
        assert self.core.machine_shard.machines[name].recorded

    def job(self, spec=SPEC):
        """One that this home serves."""
        submission = self.core.submissions.submit(spec, self.t, self.t)
        self.write()
        assert submission.outcome == "accepted"
        return self.core.job_shard.jobs[spec.id]

    def runs(self, job, machine: str, index: int) -> None:
        job.next_index = max(job.next_index, index + 1)
        job.grant(index, TaskRun(machine, "a", 7, 0, TaskState.RUNNING, self.t))
        self.core.job_shard.jobs_by_machine.setdefault(machine, set()).add(job.spec.id)

    def ended(self, machine: str, index: int, job: str = SPEC.id):
        return messages.MachineTaskReport(
            machine, "a", 1 << 40, [messages.TaskStatusReport(job, index, 7, "ended", "done")], []
        )


def machine_of(part: str, *members: str) -> str:
    return next(
        name for name in (f"n-{number:06d}" for number in range(99)) if rendezvous_owner(name, sorted(members)) == part
    )


# -- records of machines


@pytest.mark.parametrize("how", (Alone.follow, Alone.reload))
@pytest.mark.parametrize("end", ("lapsed", "returned"))
def test_a_machines_record_that_is_carried_out_late_goes_again_at_once(end, how):
    """Put twice, dropped, and then the first put: nobody reports for it, and each later view waits a lease for it."""
    alone = Alone()
    name = "n-000001"
    alone.heartbeat(name, 1)
    first = alone.lost()
    assert MACHINES + name in first.puts
    alone.write()
    if end == "lapsed":
        alone.go(LEASE_S + 2.0)
        assert alone.core.machine_shard.machines[name].state is MachineState.EXPIRED
    else:
        alone.core.on_terminated([name], alone.t)
    alone.write()
    assert MACHINES + name not in alone.store.data
    assert not alone.carry_out(first).failed, "it asserts the view, and that there is no record"
    how(alone)
    alone.write()
    assert MACHINES + name not in alone.store.data
    assert name not in alone.core.replica.machines


def test_a_machine_that_went_before_its_record_was_carried_out_leaves_none():
    """The put had no answer; its machine is returned, the drop finds nothing to drop, and then the put comes."""
    alone = Alone()
    name = "n-000001"
    alone.heartbeat(name, 1)
    first = alone.lost()
    alone.core.on_terminated([name], alone.t)
    alone.write()
    assert not alone.carry_out(first).failed
    alone.follow()
    alone.write()
    assert MACHINES + name not in alone.store.data


def test_no_task_is_ordered_while_a_drop_of_the_machines_record_is_on_its_way():
    """It lapsed, its drop had no answer, and it reports again; the late put's record is no leave to run either."""
    alone = Alone()
    name = "n-000001"
    alone.heartbeat(name, 1)
    put = alone.lost()
    alone.write()
    alone.go(LEASE_S + 2.0)
    drop = alone.lost()
    assert drop.drops == [MACHINES + name]
    machine = alone.heartbeat(name, 1, incarnation=2)
    assert machine.acknowledged and not machine.recorded
    alone.follow()
    assert not machine.recorded and alone.core.machine_shard.capacity.candidate(machine, alone.t) is None
    assert not alone.carry_out(drop).failed and not alone.carry_out(put).failed  # both late, one after the other
    alone.follow()
    assert not machine.recorded, "the record may go by the drop that is repeated"
    alone.write()
    assert machine.recorded and MACHINES + name in alone.store.data
    assert alone.carry_out(drop).failed and alone.carry_out(put).failed, "neither can be carried out any more"


def test_the_answer_to_a_drop_does_not_hide_a_record_that_was_written_since():
    """Answered after the next view, in which the machine has reported again to its new part.

    Taken for unrecorded, its tasks were free under the view after that, and ran elsewhere while they were on it.
    """
    alone = Alone("host-1")
    name = machine_of("host-0", "host-0", "host-1")
    alone.up(name)
    job = alone.job()
    alone.go(SETTLED_S + LEASE_S)  # silent: it lapses
    drop = alone.batch()
    assert drop.drops == [MACHINES + name]
    answer = alone.carry_out(drop)
    alone.come("host-2")
    alone.view("host-1", "host-0", "host-2")
    alone.store.commit({}, {MACHINES + name: wire.MachineRecord("x", "small", "a")})  # by its part under this view
    alone.follow()
    alone.runs(job, name, 0)
    alone.core.batch_results.on_written(drop, answer.revision, alone.t)  # 2 s after it was sent, at the latest
    assert name in alone.core.replica.machines
    alone.view("host-1", "host-0")
    assert 0 in job.runs, "its machine is recorded, so only a report, its lease or its return frees it"


def test_a_record_read_before_the_view_is_not_taken_for_gone_after_it():
    """As above, where the drop met a conflict and the read of the record is answered late."""
    alone = Alone("host-1")
    name = machine_of("host-0", "host-0", "host-1")
    alone.up(name)
    alone.go(SETTLED_S + LEASE_S)
    unanswered = alone.lost()
    alone.carry_out(unanswered)
    drop = alone.batch()
    assert drop.drops == [MACHINES + name]
    assert alone.carry_out(drop).failed == [MACHINES + name]
    alone.view("host-1", "host-0")
    alone.store.commit({}, {MACHINES + name: wire.MachineRecord("x", "small", "a")})
    alone.follow()
    alone.core.batch_results.resolve_conflict(drop, MACHINES + name, None, alone.t)  # as it was when it was read
    assert name in alone.core.replica.machines


@pytest.mark.parametrize("how", ("answer", "read"))
def test_the_answer_to_a_put_does_not_bring_a_record_back(how):
    """The next view's part has dropped it: kept here alone, no part would ever strike it from the barrier."""
    alone = Alone("host-1")
    name = machine_of("host-0", "host-0", "host-1")
    alone.heartbeat(name, 1)
    put = alone.batch()
    answer = alone.carry_out(put)
    alone.view("host-1", "host-0")
    alone.store.commit({}, {}, [MACHINES + name])
    alone.follow()
    assert name not in alone.core.replica.machines
    if how == "answer":
        alone.core.batch_results.on_written(put, answer.revision, alone.t)
    else:
        alone.core.batch_results.resolve_conflict(
            put, MACHINES + name, wire.KeyValue(MACHINES + name, msgspec.Raw(b"{}"), answer.revision), alone.t
        )
    assert name not in alone.core.replica.machines


def test_a_new_view_does_not_wait_for_a_machine_whose_return_is_confirmed():
    """Its record came back by a late put just before the view."""
    alone = Alone("host-1")
    name = machine_of("host-0", "host-0", "host-1")
    alone.heartbeat(name, 1)
    put = alone.lost()
    alone.core.on_terminated([name], alone.t)
    alone.write()
    assert not alone.carry_out(put).failed
    alone.store.commit({}, {VIEW: View("host-0", {label: alone.lease_ids[label] for label in ("host-0", "host-1")})})
    alone.follow()
    alone.core.messenger.pump()
    assert not alone.core.job_shard.inherited.barrier, "nothing is on it"
    alone.write()
    assert MACHINES + name not in alone.store.data


# -- records of jobs


def test_a_result_is_not_acknowledged_before_the_store_holds_it():
    """While its record was on its way, a report of another task on the machine had the result cleared there."""
    alone = Alone()
    job = alone.job()
    for index in (0, 1):
        alone.runs(job, "n-000001", index)
    sent = []
    shard = alone.core.job_shard
    shard.task_reports.send = shard.record_writes.send = shard.record_writes.send_deferred = lambda label, body: (
        sent.append(body) or len(sent)
    )
    seen = alone.ended("n-000001", 0)
    alone.core.job_shard.task_reports.on_task_report("host-0", seen, alone.t)
    alone.t += 1.0
    alone.follow()
    batch = alone.batch()
    assert batch.jobs
    # Told again with whatever is news on the machine.
    alone.core.job_shard.task_reports.on_task_report("host-0", seen, alone.t)
    assert not [body for body in sent if isinstance(body, messages.AcknowledgeFinished)], (
        "the worker would forget what nobody has yet"
    )
    alone.core.batch_results.on_failed(batch, alone.t)
    alone.write()
    assert [body.index for body in sent if isinstance(body, messages.AcknowledgeFinished)] == [0]
    alone.go(2.0)
    alone.write()
    assert not job.unacknowledged_results and job.dirty_since is None


def late_end(alone, how):
    """A job whose end was sent, and had no answer."""
    job = alone.job()
    if how == "withdrawn":
        assert alone.core.local_jobs.cancel(SPEC.id, alone.t) == ""
    else:
        for index in range(SPEC.tasks):
            alone.runs(job, "n-000001", index)
            alone.core.job_shard.task_reports.on_task_report("host-0", alone.ended("n-000001", index), alone.t)
    return job, alone.lost()


@pytest.mark.parametrize("how, state", [("withdrawn", "aborted"), ("last task", "done")])
@pytest.mark.parametrize("late", (False, True))
def test_an_end_without_an_answer_is_told_once_the_store_has_it_and_never_otherwise(how, state, late):
    alone = Alone()
    job, end = late_end(alone, how)
    core = alone.core
    assert core.local_jobs.local_job_state(SPEC.id, alone.t) is None, (
        "others may have read it in the store: not pending"
    )
    assert core.local_jobs.cancel(SPEC.id, alone.t) == ""
    if late:  # after a newer try, which has been answered
        alone.write()
        assert alone.carry_out(end).failed
    else:  # before it: the replica shows it, and the next try meets it
        assert not alone.carry_out(end).failed
        alone.follow()
    assert (
        core.local_jobs.local_job_state(SPEC.id, alone.t)[0] == state
        and core.local_jobs.cancel(SPEC.id, alone.t) == state
    )
    alone.write()
    alone.go(2.0)
    alone.write()
    assert SPEC.id not in core.job_shard.jobs, "all told and cleared"
    stored = msgspec.json.decode(alone.store.data[JOBS + SPEC.id][0], type=Record)
    assert stored.state.value == state and stored.spec is None


@pytest.mark.parametrize("carried_out", (False, True))
def test_an_end_without_an_answer_is_the_same_end_under_the_next_view(carried_out):
    """Carried out before the view, or never: the home that goes on neither forgets nor changes it."""
    alone = Alone("host-1")
    _, end = late_end(alone, "withdrawn")
    if carried_out:
        alone.carry_out(end)
    alone.view("host-1", "host-0")
    assert alone.carry_out(end).failed, "it asserts the view"
    told = alone.core.local_jobs.local_job_state(SPEC.id, alone.t)
    assert told == (("aborted", 0, 0) if carried_out else None)
    alone.write()
    assert alone.core.local_jobs.local_job_state(SPEC.id, alone.t) == ("aborted", 0, 0)


def test_an_end_that_was_carried_out_is_not_written_active_again():
    """Told as cancelled from the store by then: before the view has settled an inherited job may not end here, and what
    was taken for its stored state was written over its end, with the end's stamp (found by a random run)."""
    alone = Alone("host-1")
    job = alone.job()
    alone.runs(job, "n-000001", 0)  # something is left to stop, so that its record keeps what it asked for
    job.inherited = True
    assert alone.core.local_jobs.cancel(SPEC.id, alone.t) == ""
    alone.core.job_shard.settled = True
    alone.carry_out(alone.lost())
    alone.view("host-1", "host-0")
    assert not alone.core.job_shard.settled and SPEC.id in alone.core.job_shard.jobs
    for _ in range(5):
        alone.write(3)
        alone.follow()
        alone.t += 1.0
        record = msgspec.json.decode(alone.store.data[JOBS + SPEC.id][0], type=Record)
        assert record.state is JobState.ABORTED
    assert alone.core.local_jobs.local_job_state(SPEC.id, alone.t) == ("aborted", 0, 0)


@pytest.mark.parametrize("carried_out", (False, True))
def test_a_job_shard_that_another_replaces_leaves_one_end_or_none(carried_out):
    """Its last transaction had no answer: the new home finds the end, or writes the only one there will be."""
    alone = Alone("host-1")
    _, end = late_end(alone, "last task")
    there = alone.other("host-1")
    if carried_out:
        alone.carry_out(end)
    there.view("host-1")
    assert alone.carry_out(end).failed, "it asserts the view"
    told = there.core.local_jobs.local_job_state(SPEC.id, there.t)
    assert told[0] == ("done" if carried_out else "pending"), "nobody was told of an end that is not stored"
    there.go(2.0)
    state = there.core.local_jobs.cancel(SPEC.id, there.t)
    there.write()
    assert (state, there.core.local_jobs.local_job_state(SPEC.id, there.t)[0]) == (
        ("done", "done") if carried_out else ("", "aborted")
    )
    there.go(1.0)
    assert msgspec.json.decode(there.store.data[JOBS + SPEC.id][0], type=Record).state.value == (
        "done" if carried_out else "aborted"
    )


def test_progress_that_is_carried_out_late_takes_nothing_back():
    """Each write asserts the record's stamp: of two tries one is carried out, and what was done stays done."""
    alone = Alone()
    job = alone.job()
    for index in (0, 1):
        alone.runs(job, "n-000001", index)
    alone.core.job_shard.task_reports.on_task_report("host-0", alone.ended("n-000001", 0), alone.t)
    alone.t += 1.0
    alone.follow()
    first = alone.lost()
    alone.core.job_shard.task_reports.on_task_report("host-0", alone.ended("n-000001", 1), alone.t)
    alone.write()
    assert alone.carry_out(first).failed
    stored = msgspec.json.decode(alone.store.data[JOBS + SPEC.id][0], type=Record)
    assert stored.done == [(0, 2)] and not job.unacknowledged_results


def test_a_submission_given_up_and_stored_late_is_served_though_the_store_is_read_anew():
    """The store fails: the submission is given up, following breaks off, and what is read then has its record."""
    alone = Alone()
    alone.core.submissions.submit(SPEC, alone.t, alone.t)
    late = alone.lost()
    alone.core.submissions.refuse_all()
    assert not alone.carry_out(late).failed
    alone.reload()
    assert SPEC.id in alone.core.job_shard.jobs, "its user may have been told that it is known: nobody else serves it"
    assert alone.core.local_jobs.local_job_state(SPEC.id, alone.t)[0] == "pending"


def test_a_submission_given_up_at_two_controllers_has_one_record_and_one_job_shard():
    """Both are carried out late: the second meets the first one's record, whose home takes it in."""
    alone = Alone("host-1")
    there = alone.other("host-1")
    late = []
    for one in (alone, there):
        one.core.submissions.submit(SPEC, one.t, one.t)
        late.append(one.lost())
        one.core.submissions.refuse_all()
    assert not there.carry_out(late[1]).failed
    again = alone.core.submissions.submit(SPEC, alone.t, alone.t)  # the user's next try, before anybody has heard
    alone.write()
    assert again.outcome == "known" and alone.carry_out(late[0]).failed
    alone.follow()
    there.follow()
    assert SPEC.id in there.core.job_shard.jobs and SPEC.id not in alone.core.job_shard.jobs
    assert there.core.local_jobs.local_job_state(SPEC.id, there.t)[0] == "pending"


def test_a_submission_stored_late_though_what_it_needs_was_aborted_meanwhile_ends():
    """The first try's record is active, the second one would be its end and meets the first."""
    alone = Alone()
    need = msgspec.structs.replace(SPEC, id="wk-000002")
    alone.job(need)
    submission = alone.core.submissions.submit(msgspec.structs.replace(SPEC, needs=[need.id]), alone.t, alone.t)
    first = alone.lost()
    alone.store.commit({}, {JOBS + need.id: Record(JobState.ABORTED)})
    alone.follow()
    assert not alone.carry_out(first).failed
    alone.write()
    assert submission.outcome == "known"
    alone.follow()
    alone.write()
    assert (
        alone.core.local_jobs.local_job_state(SPEC.id, alone.t) == ("aborted", 0, 0)
        and SPEC.id not in alone.core.job_shard.jobs
    )


# -- lists beside records


def test_lists_whose_drop_had_no_answer_are_dropped_again():
    alone = Alone()
    keys = [f"{LISTS}wk-000009/x/{number}" for number in range(3)]
    alone.store.commit({}, dict.fromkeys(keys, ["wk-000008"]))
    alone.follow()
    alone.core.record_writer.lists_to_drop = list(keys)
    batch = alone.lost()
    assert batch.drops == keys
    alone.core.batch_results.on_failed(batch, alone.t)  # the read that followed a conflict may fail as well
    alone.write()
    assert not [key for key in alone.store.data if key.startswith(LISTS)]
    assert not alone.core.record_writer.lists_to_drop


def test_a_list_that_is_carried_out_late_does_not_come_back_after_its_job():
    """It asserted the view alone. A try that meets the job's record finds it known, and writes no lists."""
    alone = Alone()
    alone.core.job_shard.value_bytes = 700
    needs = [f"wk-{number:06d}" for number in range(100, 250)]
    spec = msgspec.structs.replace(SPEC, needs=needs)
    submission = alone.core.submissions.submit(spec, alone.t, alone.t)
    assert len(submission.lists) > 1
    late = alone.lost()
    assert all(key.startswith(LISTS) for key in late.puts)
    alone.write()
    assert submission.outcome == "accepted"
    assert alone.core.local_jobs.cancel(SPEC.id, alone.t) == ""
    alone.write()
    assert not [key for key in alone.store.data if key.startswith(LISTS)]
    assert alone.carry_out(late).failed == [JOBS + SPEC.id]
    alone.core.replica.ended.clear()  # another controller, which has yet to hear of the job
    alone.core.replica.lists.clear()
    again = alone.core.submissions.submit(spec, alone.t, alone.t)
    alone.settle(alone.batch())
    assert again.outcome == "known" and not [key for key in alone.store.data if key.startswith(LISTS)]


# -- claims


@pytest.mark.parametrize("failed", (False, True))
def test_claims_on_their_way_are_not_forgotten_when_the_store_is_read_anew(failed):
    """Under the same view they may yet be stored: planned without them, a job that they stop asked for others' room."""
    ledger = Ledger()
    ledger.plan(
        [{"n-000001": PreemptionClaim("urgent", "wk-000002", 1, [("wk-000001", 0, 7)], 0.0, 99.0, "free", 1.0)}]
    )
    first = ledger.due(1.0, 12, 4096)
    if failed:
        ledger.failed(first)
    ledger.clear()  # and the rows that are read do not have them yet
    assert ledger.busy, "nothing is planned before it is settled"
    if not failed:
        ledger.failed(first)
    again = ledger.due(2.0, 12, 4096)
    assert set(again.puts) == {BUDGETS}, "its stamp goes up: the first can't be carried out any more"
    for key, value in first.puts.items():  # it was, before that
        ledger.apply(key, msgspec.json.encode(value), 9)
    ledger.failed(again)
    assert ledger.due(3.0, 12, 4096) is None and not ledger.busy
    assert ledger.claim_of("n-000001") is not None and "wk-000001" in ledger.stops


def test_what_was_read_before_a_claim_was_stored_does_not_have_it_forgotten():
    """Reading anew was slow, and its own transaction was answered in between: a job that was stopped asked for room."""
    alone = Alone()
    store, ledger = alone.store, alone.core.replica.ledger
    rows, revision = store.rows(), store.revision
    ledger.plan(
        [{"n-000001": PreemptionClaim("urgent", "wk-000002", 1, [("wk-000001", 0, 7)], 0.0, 99.0, "free", 1.0)}]
    )
    alone.write()
    assert ledger.claim_of("n-000001") is not None and "wk-000001" in ledger.stops
    alone.core.store_follower.load(rows, [], revision, alone.t, alone.t)
    assert ledger.claim_of("n-000001") is not None and "wk-000001" in ledger.stops
    assert ledger.spent_revision == store.data[BUDGETS][1]
    store.commit({}, {}, [CLAIMS + "n-000001"])
    alone.reload()
    assert ledger.claim_of("n-000001") is None, "what went unseen does not stay"


# -- declarations


def test_the_answer_to_a_revision_does_not_bring_it_back_when_another_head_has_dropped_it():
    """Counted on as stored, it was named by this file's head: nobody could read that, and all stopped acting."""
    raw = msgspec.json.encode({"words": ["a" * 900]})
    own = configuration.ConfigurationRevision("hours", 3, compiler.digest_of(raw), raw)
    one = OperatorConfiguration({"hours": own}, 20.0, ["host-0"])
    other = StoredRevision(2, "other", 0)
    membership = SimpleNamespace(
        present={"host-0": (1, 1)}, all_support=lambda protocol_version: True, is_leader=lambda now: False
    )
    head = ConfigurationHead(1, "first", 0, 0.0)
    one.apply(DECLARED + "hours", msgspec.json.encode(head), 5)
    one.refresh(0.0)
    proposal = one.due(membership, 0.0, 0.0, 1, 512)  # room for one text, the head is to follow
    ((key, piece),) = proposal.puts.items()
    assert key in records.piece_keys("hours", StoredRevision(3, own.digest, records.parts_of(raw, 512)))
    one.apply(key, msgspec.json.encode(piece), 7)  # the replica shows it, and the other's head, before the answer
    one.apply(key, None, 8)
    one.apply(DECLARED + "hours", msgspec.json.encode(ConfigurationHead(2, "other", 0, 0.0, head.last)), 8)
    one.refresh(0.0)
    one.done(proposal, 7, 0.0)
    assert key not in one.kinds["hours"].pieces
    assert other.revision == one.kinds["hours"].head.revision


# -- what users are told


def asking(monkeypatch):
    """A controller that knows a job's home to be host-1, at work, and what it knows of the job's end."""
    control = Controller(platform("host-0", ["host-0", "host-1"]), Tuning(), Poll())
    core = control.core
    record = Record(JobState.ACTIVE, "host-1", 0.0, 3, [], SPEC)
    core.replica.observe_job(SPEC.id, record, 5)
    core.membership.observe_view(View("host-1", {"host-0": 1, "host-1": 2}), 4)
    return control, record


@pytest.mark.parametrize("ended", (JobState.DONE, JobState.ABORTED))
def test_a_record_read_before_its_job_ended_is_not_told_after_the_end(monkeypatch, ended):
    """The store answers slowly; meanwhile the end has arrived here, and the user was told so for the cancel."""
    control, record = asking(monkeypatch)

    async def slow(key):
        row = wire.KeyValue(key, msgspec.Raw(msgspec.json.encode(record)), 5)
        control.core.replica.observe_job(SPEC.id, Record(ended), 6)
        assert (await control.users_api.cancellations.cancel(SPEC.id))[1] == wire.accepted_body(SPEC.id, ended.value)
        return row

    monkeypatch.setattr(control.store, "get", slow)
    status, body, _ = curio.run(control.users_api.status.status_from_store, SPEC.id)
    assert (status, msgspec.json.decode(body)["status"]) == (200, ended.value)


def test_a_job_that_was_stored_while_the_store_was_read_is_not_called_unknown(monkeypatch):
    """Another try of its user's was accepted meanwhile: no 404, and no refusal that rests on one."""
    control, record = asking(monkeypatch)
    control.core.replica.active.clear()

    async def slow(key):
        control.core.replica.observe_job(SPEC.id, record, 6)

    monkeypatch.setattr(control.store, "get", slow)
    assert curio.run(control.users_api.status.status_from_store, SPEC.id)[0] == 503
    control.core.replica.active.clear()
    assert curio.run(control.users_api.submissions.refuse_unless_accepted, SPEC.id, "unknown team")[0] == 503


@pytest.mark.parametrize("asked", ("poll", "known"))
def test_a_job_shards_answer_from_before_the_end_is_not_told_after_it(monkeypatch, asked):
    control, _ = asking(monkeypatch)
    answers = []
    body = wire.job_status_body(SPEC.id, "running", 0, 1)

    async def poll():
        assert control.users_api.status.poll_status(SPEC.id, answers.append) is None
        control.core.replica.observe_job(SPEC.id, Record(JobState.ABORTED), 6)
        number = control.queries.query_count
        await control.queries.on_poll_reply(number, messages.JobQueryReply(number, 200, body))

    async def known():
        async def ask(label, what, job):
            control.core.replica.observe_job(SPEC.id, Record(JobState.ABORTED), 6)
            return Response(200, body, [])

        control.queries.query = ask
        answers.append(await control.users_api.submissions.answer_resubmission(SPEC.id))

    curio.run(poll if asked == "poll" else known)
    assert msgspec.json.decode(answers[0][1])["status"] == "aborted"


@pytest.mark.parametrize("found, status", [(True, 200), (False, 400), (None, 503)])
def test_a_job_that_is_too_long_here_and_stored_elsewhere_is_known(monkeypatch, found, status):
    """The store takes less than it did, its answers are slow, and the replica has yet to show the accepted job."""
    control = Controller(platform("host-0", ["host-0", "host-1"]), Tuning(), Poll())

    async def get(key):
        if found is None:
            raise UnansweredError(key)
        return (
            wire.KeyValue(key, msgspec.Raw(msgspec.json.encode(Record(JobState.ACTIVE, "host-1", 0.0, 3, [], SPEC))), 5)
            if found
            else None
        )

    core = control.core
    core.state.loaded, core.job_shard.value_bytes = True, 200
    core.machine_types.update(TYPES)
    monkeypatch.setattr(control.store, "get", get)
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
    assert curio.run(control.users_api.submissions.submit, msgspec.json.encode(body))[0] == status


# -- entering


class Steps:
    """A store whose answers to the steps of entering are lost; what they ask for is carried out now or late."""

    def __init__(self, lose: str, late: bool) -> None:
        self.t = 0.0
        self.sim, self.lose, self.late = SimStore(self), lose, late
        self.held_back = []

    def step(self, name, action):
        if name != self.lose:
            return action()
        self.lose = ""  # the first one only
        if self.late:
            self.held_back.append(action)
        else:
            action()
        raise UnansweredError(name)

    async def get(self, key):
        found = self.sim.data.get(key)
        return self.step("get", lambda: None if found is None else wire.KeyValue(key, msgspec.Raw(found[0]), found[1]))

    async def grant_lease(self, ttl_s):
        def take():
            lease_id = next(self.sim.lease_ids)
            self.sim.holds[lease_id] = 1e9
            return lease_id

        return self.step("hold", take)

    async def commit(self, conditions, puts, drops=(), lease_id=None):
        return self.step("commit", lambda: self.sim.commit(conditions, puts, drops, lease_id))

    async def revoke_lease(self, lease_id):
        self.step("end", lambda: self.sim.end(lease_id))


@pytest.mark.parametrize("late", (False, True))
@pytest.mark.parametrize("lose", ("get", "hold", "commit", "end"))
def test_whichever_step_of_entering_has_no_answer_the_label_has_one_key_of_its_store_lease(lose, late):
    steps = Steps(lose, late)
    control = Controller(platform("host-0", ["host-0", "host-1"]), Tuning(), Poll(), store=steps)
    steps.sim.holds[1000] = 1e9
    steps.sim.commit(
        {}, {MEMBERS + "host-0": MemberRecord(1000, constants.PROTOCOL_VERSION)}, (), 1000
    )  # an earlier life's

    async def enter():
        for _ in range(3):
            if not control.membership.store_lease.lease_id:
                try:
                    await control.store_lease_loop.acquire_store_lease()
                except (UnansweredError, store.StoreRefusedError):
                    pass

    curio.run(enter)
    for action in steps.held_back:
        action()  # late, after newer ones
    lease_id = control.membership.store_lease.lease_id
    raw, _, attached = steps.sim.data[MEMBERS + "host-0"]
    assert lease_id and msgspec.json.decode(raw, type=MemberRecord).lease_id == lease_id == attached
    assert lease_id in steps.sim.holds


# -- all of it, in a world


class LateNode(SimController):
    """For a while a share of its transactions has no answer and is carried out 2 to 12 s later, after newer ones.

    Other answers of the store are slow, and following breaks off now and then: all is read anew.
    """

    def is_faulty(self) -> bool:
        return 20.0 <= self.world.t < 80.0

    def follow(self) -> None:
        core, store, world = self.core, self.world.store, self.world
        if self.follow_busy or not core.state.loaded or not self.is_faulty() or world.rng.random() >= 0.05:
            return super().follow()
        self.follow_busy, sent = True, world.t

        def done(answer) -> None:
            self.follow_busy = False
            core.membership.record_sync(sent)
            core.store_follower.load(*answer, world.t, world.t + self.ahead_s)

        def failed() -> None:
            self.follow_busy = False

        self.call(done, failed, lambda: store.check() or (store.rows(), [], store.revision))

    def call(self, then, fail, method, *args, too_large=None) -> None:
        world, life = self.world, self.life
        if not self.is_faulty() or method != world.store.commit or world.rng.random() >= world.late_writes:
            if not self.is_faulty() or world.rng.random() >= 0.2:
                return super().call(then, fail, method, *args, too_large=too_large)

            def slowly(action):
                def later(*answer) -> None:
                    world.after(world.rng.uniform(0.1, 1.8), self.at_work, life, action, *answer)

                return later

            return super().call(slowly(then), fail, method, *args, too_large=too_large)

        def carry_out() -> None:
            with contextlib.suppress(StoreRefusedError, TransactionTooLargeError):
                method(*args)

        world.after(world.rng.uniform(2.0, 12.0), carry_out)
        world.after(constants.STATE_TIMEOUT_S, self.at_work, life, fail)

    def at_work(self, life: int, action, *answer) -> None:
        if life == self.life:
            action(*answer)
            self.flush()


class LateWorld(World):
    process = LateNode
    late_writes = 0.3


@pytest.mark.parametrize("seed", (9500, 9501, 9502))
def test_rules_hold_while_transactions_are_carried_out_late(seed):
    """With all the world's other faults."""
    world = LateWorld(seed, pipelines=3)
    world.run(200.0)
    world.remembered()
    assert world.starts > 0


@pytest.mark.parametrize("status", (400, 401, 418))
def test_only_the_stores_word_that_there_is_no_key_counts_as_none(status):
    """Any other answer was taken for it: an accepted job would have been told 404."""
    client = store.Store("127.0.0.1:1")

    async def answer(*_args, **_more):
        return answered

    client.client.request = answer
    answered = status, b"{}"
    with pytest.raises(store.StoreRefusedError):
        curio.run(client.get, JOBS + "wk-000001")
    answered = 404, b"{}"
    assert curio.run(client.get, JOBS + "wk-000001") is None
