"""Dependency lists that are stored under their own keys, and replicas that read them at another revision."""

import random
from types import SimpleNamespace

import curio
import msgspec
import pytest
from controller_clock import patch_now
from simulation import SimController, SimStore, World
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


class PagedReadController(SimController):
    """Reads the whole store in pages, each as of its own revision, and then the changes since the first page."""

    def follow(self):
        core, store, world = self.core, self.world.store, self.world
        if core.state.loaded:
            super().follow()
            return
        if self.follow_busy:
            return
        self.follow_busy = True
        rows, revisions = [], []

        def read(after: str, sent: float):
            store.expire_leases()
            later_rows = [row for row in store.rows() if row.key > after]
            return later_rows, store.events_after(revisions[0] if revisions else 0), store.revision, sent

        def done(answer):
            later_rows, changes, revision, sent = answer
            revisions.append(revision)
            rows.extend(later_rows[:PAGE_KEYS])
            if later_rows:
                pause_s = world.rng.uniform(0.1, 1.0)
                world.after(pause_s, self.call, done, failed, read, rows[-1].key, world.t + pause_s)
                return
            self.follow_busy = False
            core.membership.record_sync(sent)
            core.store_follower.load(rows, changes, revision, world.t, world.t + self.ahead_s)

        def failed():
            self.follow_busy = False

        self.call(done, failed, read, "", world.t)


class PipelinesWorld(World):
    """Jobs with more dependencies than their records hold; who accepted one is down while most of these end."""

    controller_class = PagedReadController

    def __init__(self, seed: int) -> None:
        super().__init__(seed, jobs=0, random_faults=False)
        self.unfinished: dict[str, set[str]] = {}  # job -> its dependencies that have not ended
        self.lists_seen: set[str] = set()  # jobs whose records referred to lists
        self.store.on_job_ended = self.on_job_ended
        for number in (100, 200):
            self.add_pipeline(number)

    def on_core_created(self, core) -> None:
        core.job_shard.value_bytes = RECORD_BYTES

    def add_pipeline(self, number: int) -> None:
        needed = [self.add_job(number + index, tasks=1, cpus=1.0, estimate_s=40.0) for index in range(40)]
        for spec in needed:
            self.after(self.rng.uniform(1.0, 10.0), self.submit, spec)
        needs = [spec.id for spec in needed]
        last = self.add_job(number + 50, tasks=24, cpus=4.0, estimate_s=5.0, dependencies=needs)
        self.unfinished[last.id] = set(needs)
        self.submit_when_accepted(needs, last)

    def add_job(self, number: int, **more) -> wire.JobSpec:
        anywhere = {"types": None, "zone": None, "one_zone": False, "spread": False}
        spec = msgspec.structs.replace(self.make_job(number), kind="sweep", team="free", **anywhere, **more)
        self.specs[spec.id] = spec
        return spec

    def cancel(self, job: str) -> None:
        """No user cancels, so that every pipeline ends."""

    def on_job_ended(self, job: str) -> None:
        for last, unfinished in self.unfinished.items():
            if job in unfinished:
                unfinished.remove(job)
                self.on_dependency_ended(last, len(unfinished))

    def on_dependency_ended(self, last: str, left: int) -> None:
        """Crash who accepted the job, and restart it about when the job's first tasks end."""
        if JOBS + last not in self.store.data:
            return
        record = msgspec.json.decode(self.store.data[JOBS + last][0], type=Record)
        if record.dependency_digest:
            self.lists_seen.add(last)
        sim = self.controllers[record.accepted_by]
        if left == 20 and sim.core is not None:
            self.after(0.0, sim.crash)
        elif left == 0:
            self.after(self.rng.uniform(0.0, 8.0), self.restart, sim)


@pytest.mark.parametrize("seed", (0, 1, 5, 14, 41, 59, 66))
def test_pipelines_end_while_restarted_controllers_read_the_store_in_pages(seed):
    """Guards against a job that waits forever, as its record and its lists were read at different revisions."""
    world = PipelinesWorld(seed)
    while world.t < 600.0 and world.unfinished.keys() - world.reported_ends.keys():
        world.run(world.t + 10.0)
    assert len(world.lists_seen) == len(world.unfinished), "no record refers to a list"
    assert world.reported_ends.items() >= dict.fromkeys(world.unfinished, "done").items()
