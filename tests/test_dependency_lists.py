"""Dependency lists that are stored under their own keys, and replicas that read them at another revision."""

import random
from types import SimpleNamespace

import curio
import msgspec
import pytest
from controller_clock import patch_now
from simulation import SimStore
from test_late_transactions import SPEC, SteppedController

from alderbridge.controller.loops.replica import ReplicaLoop
from alderbridge.jobs.record import JobState, Record
from alderbridge.protocol import wire
from alderbridge.protocol.keys import DEPENDENCY_LISTS, JOBS, ROOT
from alderbridge.protocol.store import KeyValuePage, WatchResponse

NEEDED = [f"wk-{number:06d}" for number in range(100, 250)]
LAST = msgspec.structs.replace(SPEC, dependencies=NEEDED)  # depends on more jobs than fit into its record
RECORD_BYTES = 700
PAGE_KEYS = 40


class PagedStore:
    """Answers reads of a ``SimStore`` in pages; ``between`` is called before each page but the first."""

    def __init__(self, store, page_keys, between):
        self.store, self.page_keys, self.between = store, page_keys, between

    async def list_page(self, prefix, after):
        if after:
            self.between()
        rows = [row for row in self.store.rows() if row.key.startswith(prefix) and row.key > (after or "")]
        return KeyValuePage(rows[: self.page_keys], self.store.revision, len(rows) > self.page_keys)

    async def watch_now(self, revision):
        return WatchResponse(self.store.revision, self.store.events_after(revision))


def read_in_pages(monkeypatch, reader, between, page_keys=PAGE_KEYS):
    """Lets the controller read the whole store as its loop does."""
    patch_now(monkeypatch, lambda: reader.t)
    unanswered = SimpleNamespace(forget_since=lambda since: None)
    loop = ReplicaLoop(reader.core, PagedStore(reader.store, page_keys, between), None, unanswered)
    curio.run(loop.load_replica)


def stored_lists(store):
    return [key for key in store.data if key.startswith(DEPENDENCY_LISTS)]


def submit_last(owner):
    owner.core.job_shard.value_bytes = RECORD_BYTES
    job = owner.submit_job(LAST)
    assert job.is_blocked and len(stored_lists(owner.store)) > 1
    return job


def end_needed_jobs(owner):
    for number, name in enumerate(NEEDED):
        owner.store.commit({}, {JOBS + name: Record(JobState.DONE, done_at=1.0 + number)})
    owner.follow()


def finish_first_task(owner, job):
    """The record is written without the dependencies, and their lists are deleted."""
    owner.start_task(job, "n-000001", 0)
    owner.core.job_shard.task_reports.on_task_report(owner.me, owner.ended_task_report("n-000001", 0), owner.t)
    owner.t += 10.0
    owner.follow()
    owner.write_due_records()
    assert not stored_lists(owner.store)


def take_over(member):
    """A view of this member alone; returns the job that it inherits."""
    member.core.membership.record_sync(member.t)
    member.commit_view(member.me)
    return member.core.job_shard.jobs[LAST.id]


@pytest.mark.parametrize("is_first_read", (True, False))
def test_a_job_whose_dependency_list_is_deleted_between_two_pages_is_not_blocked(monkeypatch, is_first_read):
    """Guards against a job that waits forever, as its record and its lists were read at different revisions."""
    owner = SteppedController("host-1")
    reader = owner.unloaded_member("host-1")
    if not is_first_read:
        reader.reload()
    job = submit_last(owner)
    end_needed_jobs(owner)
    assert not job.is_blocked
    read_in_pages(monkeypatch, reader, lambda: job.done.count or finish_first_task(owner, job))
    assert job.done.count and not reader.core.replica.graph.waiting(LAST.id)
    inherited = take_over(reader)
    assert not inherited.is_blocked and inherited.next_index, "its tasks were started, and are not granted anew"


def random_commit(store, rng):
    keys = [f"{ROOT}{kind}/{number}" for kind in "jnw" for number in range(5)]
    puts = {key: rng.random() for key in rng.sample(keys, rng.randint(0, 3))}
    store.commit({}, puts, [key for key in rng.sample(keys, 3) if key not in puts])


@pytest.mark.parametrize("seed", range(40))
def test_a_read_in_pages_applies_the_rows_of_one_revision(monkeypatch, seed):
    """Guards against rows that were never in the store at the same time."""
    rng = random.Random(seed)
    reader = SteppedController()
    store = SimStore(reader)
    for _ in range(rng.randint(0, 20)):
        random_commit(store, rng)
    applied: list[wire.WatchEvent] = []
    monkeypatch.setattr(reader.core.replica, "apply", lambda change: applied.append(change))
    reader.store = store
    read_in_pages(monkeypatch, reader, lambda: random_commit(store, rng), page_keys=3)
    assert len({change.put or change.drop for change in applied}) == len(applied), "no key is applied twice"
    puts = {change.put: (bytes(change.data), change.revision) for change in applied if change.put is not None}
    assert puts == {key: (data, revision) for key, (data, revision, _) in store.data.items()}
    assert reader.core.replica.revision == store.revision


def test_a_job_known_from_a_conflict_before_its_dependency_lists_is_not_blocked_for_ever():
    """Guards against an inherited job that waits forever, as its record was read ahead of its lists."""
    owner = SteppedController("host-1")
    reader = owner.other_member("host-1")
    reader.core.job_shard.value_bytes = RECORD_BYTES
    submit_last(owner)
    repeated = reader.core.submissions.submit(LAST, reader.t, reader.t)
    reader.write_due_records()
    assert repeated.outcome == "known"
    reader.follow()
    assert reader.core.replica.graph.unfinished(LAST.id) == NEEDED
    end_needed_jobs(owner)
    reader.follow()
    assert not take_over(reader).is_blocked
