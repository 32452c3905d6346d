"""Monotonic reads: no controller's response about a job is older than one that a user got before the request.

Real handlers over a simulated store and mesh; the test orders each request, store call, response, frame and watch poll.
"""

import inspect
import random
import time
from types import SimpleNamespace

import curio
import msgspec
import pytest
from controller_clock import patch_now
from simulation import LABELS, TYPES, SimStore, platform
from simulation import StoreRefusedError as StoreRefused

from alderbridge import constants
from alderbridge.controller.process import Controller
from alderbridge.jobs.job import Job
from alderbridge.jobs.record import JobState
from alderbridge.jobs.task_states import TaskRun, TaskState
from alderbridge.membership.records import MemberRecord, View
from alderbridge.membership.rendezvous import rendezvous_owner
from alderbridge.protocol import messages, wire
from alderbridge.protocol.keys import JOBS, MEMBERS, VIEW
from alderbridge.settings import Tuning
from alderbridge.state.errors import StoreRefusedError
from alderbridge.transport.errors import UnansweredError
from alderbridge.transport.selector import EpollSelector

BODY = {
    "workload": "x",
    "owner": "free",
    "shape": "sweep",
    "urgency": "standard",
    "parts": 1,
    "vcpus": 1.0,
    "accelerators": 0.0,
    "mem_gb": 1.0,
    "bundle": "i",
    "image_gb": 1.0,
    "together": False,
    "apart": False,
    "standby": True,
    "expected_s": 10.0,
    "snapshot_every_s": 0.0,
    "snapshot_s": 0.0,
}
MACHINE, STEP_S = "n-000001", 0.02
# Changes of the body in repeated submissions of a job.
REPEATS = {
    "same": {},
    "another body": {"parts": 7, "vcpus": 2.0},
    "unknown team": {"owner": "nobody"},
    "fits no machine type": {"vcpus": 500.0},
    "malformed": {"parts": 0},
    "missing field": {"bundle": None},
}


class InvalidResponse(AssertionError):
    """A response is missing, has an unexpected status, or contradicts one that a user got before the request."""


class ControlledStore:
    """One controller's store. If ``slow``, the test decides when each call is executed and when it returns."""

    def __init__(self, cluster: "Cluster", label: str) -> None:
        self.cluster, self.label = cluster, label
        self.slow = False
        self.writer_wakeup = curio.Event()  # wakes the writer, which waits for work
        self.pending_calls: list[SimpleNamespace] = []

    async def _call(self, action, lossy: bool = False):
        if not self.slow:
            return self._execute(action)
        call = SimpleNamespace(action=action, event=curio.Event(), result=None, executed=False, lossy=lossy)
        self.pending_calls.append(call)
        await call.event.wait()
        if isinstance(call.result, Exception):
            raise call.result
        return call.result

    def _execute(self, action):
        if self.label in self.cluster.store_unreachable:
            raise StoreRefusedError("unreachable")
        try:
            return action()
        except StoreRefused:
            raise StoreRefusedError("down") from None

    async def step(self, rng: random.Random) -> None:
        """Execute one pending call, or deliver its result, which may be lost."""
        call = rng.choice(self.pending_calls)
        if not call.executed:
            call.executed = True
            try:
                call.result = self._execute(call.action)
            except StoreRefusedError as error:
                call.result = error
            return
        self.pending_calls.remove(call)
        if call.lossy and rng.random() < 0.2:
            call.result = UnansweredError("lost")
        await call.event.set()

    async def wait_for_wakeup(self) -> None:
        await self.writer_wakeup.wait()
        self.writer_wakeup.clear()

    async def get(self, key: str):
        return await self._call(lambda: self.cluster.row(key))

    async def commit(self, conditions, puts, drops=(), lease_id=None):
        return await self._call(lambda: self.cluster.store.commit(conditions, puts, drops, lease_id), True)


class QueuedMesh:
    def __init__(self, cluster: "Cluster", label: str) -> None:
        self.cluster, self.label = cluster, label

    def put(self, label: str, frame: messages.Frame) -> None:
        self.cluster.frames.setdefault((self.label, label), []).append(frame)

    def renew(self, label: str) -> None:
        pass

    async def flush(self) -> None:
        pass


class Cluster:
    """Five running controllers in one view."""

    def __init__(self, monkeypatch) -> None:
        self.t = 100.0
        self.store = SimStore(self)
        self.controllers: dict[str, Controller] = {}
        self.writers: dict[str, curio.Task] = {}
        self.frames: dict[tuple[str, str], list[messages.Frame]] = {}
        self.lease_ids: dict[str, int] = {}
        self.store_unreachable: set[str] = set()  # controllers that cannot reach the store
        self.lagging: set[str] = set()  # controllers that receive no changes of the store
        self.pending_polls: dict[str, tuple] = {}  # results of polls that are not applied yet
        self.job_count = 0
        self.accepted: set[str] = set()  # jobs that users were told are accepted
        self.final_states: dict[str, str] = {}  # final states that users were told
        self.cancelled: set[str] = set()  # jobs that users second_responder to cancel
        self.needs: dict[str, list[str]] = {}
        self.response_statuses: list[int] = []
        patch_now(monkeypatch, lambda: self.t)
        monkeypatch.setattr(time, "time", lambda: self.t)
        monkeypatch.setattr(constants, "WRITE_BATCH_DELAY_S", 0.0)
        monkeypatch.setattr(constants, "ROUND_INTERVAL_S", 0.0)
        monkeypatch.setattr(constants, "WATCH_DELAY_S", 0.0)

    async def start(self, slow: bool = False) -> "Cluster":
        for label in LABELS:
            self.register_member(label)
        self.store_view(*LABELS)
        for label in LABELS:
            await self.start_controller(label, slow)
            self.load(label)
        for _ in range(3):
            await self.run_round()
        return self

    def register_member(self, label: str) -> None:
        lease_id = self.lease_ids[label] = next(self.store.lease_ids)
        self.store.leases[lease_id] = 1e9
        self.store.commit({}, {MEMBERS + label: MemberRecord(lease_id, constants.PROTOCOL_VERSION)}, (), lease_id)

    def store_view(self, *labels: str) -> None:
        self.store.commit({}, {VIEW: View(labels[0], {label: self.lease_ids[label] for label in labels})})

    async def start_controller(self, label: str, slow: bool = False) -> None:
        """Start a new incarnation of the controller, which has not loaded the store yet."""
        if label in self.writers:
            await self.writers[label].cancel()
        store = ControlledStore(self, label)
        store.slow = slow
        controller = self.controllers[label] = Controller(
            platform(label, LABELS), Tuning(), EpollSelector(), store=store
        )
        controller.mesh = QueuedMesh(self, label)
        controller.record_writer.wait_for_due_records = store.wait_for_wakeup
        controller.core.machine_types.update(TYPES)
        controller.core.view_entry.lease_acquired(self.lease_ids[label], self.t, self.t)
        self.pending_polls.pop(label, None)
        self.writers[label] = await curio.spawn(controller.record_writer.keep_records, daemon=True)

    def row(self, key: str) -> wire.KeyValue | None:
        self.store.expire_leases()
        found = self.store.data.get(key)
        return None if found is None else wire.KeyValue(key, msgspec.Raw(found[0]), found[1])

    def load(self, label: str) -> None:
        core = self.controllers[label].core
        core.membership.record_sync(self.t)
        core.store_follower.load(self.store.rows(), [], self.store.revision, self.t, self.t)

    def poll_store(self, label: str) -> None:
        """Poll the store for changes, or apply the result of the previous poll."""
        core, poll = self.controllers[label].core, self.pending_polls.pop(label, None)
        if poll is None:
            rows = None if core.state.loaded else self.store.rows()
            self.pending_polls[label] = (
                self.t,
                rows,
                self.store.events_after(core.replica.revision),
                self.store.revision,
            )
            return
        sent_at, rows, changes, revision = poll
        core.membership.store_lease.record_renewal(self.lease_ids[label], sent_at)
        core.membership.record_sync(sent_at)
        if rows is not None:
            core.store_follower.load(rows, [], revision, self.t, self.t)
        else:
            core.store_follower.apply_events(changes, self.t, self.t)
            core.replica.revision = max(revision, core.replica.revision)

    async def deliver(self, link: tuple[str, str]) -> None:
        frame, controller = self.frames[link].pop(0), self.controllers[link[1]]
        controller.on_frames([frame])
        await controller.dispatch_effects()

    async def run_round(self) -> None:
        """Apply all store changes, deliver all frames and run the writers, except where a fault prevents it."""
        self.t += STEP_S
        for label, controller in self.controllers.items():
            if label not in self.lagging | self.store_unreachable:
                self.pending_polls.pop(label, None)
                self.poll_store(label)
                self.poll_store(label)
            controller.core.round(self.t)
            await controller.dispatch_effects()
            await controller.store.writer_wakeup.set()
        while links := [link for link, frames in self.frames.items() if frames]:
            for link in links:
                await self.deliver(link)
        for _ in range(2):
            await curio.sleep(0)

    def new_job_id(self) -> str:
        self.job_count += 1
        return f"wk-{self.job_count:06d}"

    async def send_request(self, label: str, request_kind: str, job: str, **change) -> curio.Task:
        """Send a user's request; the task returns the response after checking it against earlier responses."""
        accepted, end, replies = job in self.accepted, self.final_states.get(job), []
        body = msgspec.json.encode({"id": job, **BODY, **change})
        path = {"poll": f"/v1/jobs/{job}", "submit": "/v1/jobs", "withdraw": f"/v1/jobs/{job}/withdraw"}[request_kind]
        if request_kind == "withdraw":
            self.cancelled.add(job)
        event = curio.Event()
        handled = self.controllers[label].router.handle(
            "GET" if request_kind == "poll" else "POST", path, body, replies.append
        )

        async def wait_for_response() -> tuple[int, str]:
            if inspect.isawaitable(handled):
                replies.append(await handled)
            elif handled is not None:
                replies.append(handled)
            while not replies:
                await curio.sleep(0)
            await event.set()
            return self.check_response(f"{request_kind} of {job} at {label}", job, replies[0], accepted, end)

        task = await curio.spawn(wait_for_response, daemon=True)
        task.controller_label = label
        return task

    def check_response(self, description: str, job: str, response, accepted: bool, end: str | None) -> tuple[int, str]:
        status, body = response[0], msgspec.json.decode(response[1])
        job_state = body.get("status", "") if status in (200, 201) else ""
        self.response_statuses.append(status)
        if status not in (200, 201, 400, 404, 422, 503):
            raise InvalidResponse(f"{description}: {status}")
        if accepted and status in (400, 404, 422):
            raise InvalidResponse(f"accepted job lost: {description}: {status}")
        if job_state and (body["id"] != job or JOBS + job not in self.store.data):
            raise InvalidResponse(f"job is not in the store: {description}: {body}")
        if end is not None and job_state not in ("", end):
            raise InvalidResponse(f"older state: {description}: {job_state}, after {end}")
        if job_state:
            self.accepted.add(job)
        if job_state in ("done", "aborted"):
            stored = msgspec.json.decode(self.store.data[JOBS + job][0])["state"]
            if stored != job_state and not self.is_cascade_aborted(job):
                raise InvalidResponse(f"end is not stored: {description}: {job_state}, stored state is {stored}")
            if job_state == "aborted" and job not in self.cancelled and not self.is_cascade_aborted(job):
                raise InvalidResponse(f"aborted without a cancellation: {description}")
            if self.final_states.setdefault(job, job_state) != job_state:
                raise InvalidResponse(f"contradictory end: {description}: {job_state}, after {self.final_states[job]}")
        return status, job_state

    def is_cascade_aborted(self, job: str) -> bool:
        """Whether a direct or indirect dependency is cancelled."""
        return any(need in self.cancelled or self.is_cascade_aborted(need) for need in self.needs.get(job, ()))

    async def request(self, label: str, request_kind: str, job: str, **change) -> tuple[int, str]:
        task = await self.send_request(label, request_kind, job, **change)
        for number in range(60):
            if task.terminated:
                return await task.join()
            await (self.run_round() if number > 3 else curio.sleep(0))
        raise InvalidResponse(f"{request_kind} of {job} at {label}: no response")

    async def request_from_memory(self, label: str, request_kind: str, job: str) -> tuple[int, str]:
        """Send a request that must be answered from memory."""
        task = await self.send_request(label, request_kind, job)
        await curio.sleep(0)
        return await task.join()

    def report_last_task(self, job: str, ended: bool = False) -> bool:
        """Report the last task as done to the job owner, if one may act; ``ended``: even if the job is cancelled."""
        for controller in self.controllers.values():
            core = controller.core
            local_job = core.job_shard.jobs.get(job)
            if (
                local_job is not None
                and (ended or local_job.state is JobState.ACTIVE)
                and core.membership.may_act(self.t)
            ):
                self.set_running(local_job)
                core.job_shard.task_reports.on_task_report(
                    core.me,
                    messages.MachineTaskReport(
                        MACHINE, "a", 1 << 40, [messages.TaskStatusReport(job, 0, 7, "ended", "done")], []
                    ),
                    self.t,
                )
                return True
        return False

    def set_running(self, job: Job) -> None:
        if 0 not in job.runs:
            job.inherited_tasks.clear()
            job.next_index = max(job.next_index, 1)
            job.grant(0, TaskRun(MACHINE, "a", 7, 0, TaskState.RUNNING, self.t))


@pytest.fixture
def cluster(monkeypatch):
    return Cluster(monkeypatch)


async def create_job(cluster: Cluster, state: str, owner: str, first_responder: str, fault) -> str:
    """A job whose state ``first_responder`` has returned; the fault begins before that state is stored."""
    job = cluster.new_job_id()
    assert (await cluster.request(owner, "submit", job))[0] == 201
    for _ in range(2):
        await cluster.run_round()  # all controllers receive the job, but after the fault perhaps not its end
    if state == "accepted":
        job = cluster.new_job_id()
        fault()
        assert (await cluster.request(owner, "submit", job))[0] == 201
    else:
        fault()
        if state == "done":
            assert cluster.report_last_task(job)
            await cluster.controllers[owner].store.writer_wakeup.set()  # stored, and not received by the others yet
        else:
            assert await cluster.request(first_responder, "withdraw", job) == (200, "aborted")
    for _ in range(3):
        await curio.sleep(0)
    response = await cluster.request(first_responder, "poll", job)
    assert response == (200, {"accepted": "pending", "done": "done", "cancelled": "aborted"}[state])
    return job


def begin_fault(cluster: Cluster, fault: str, label: str) -> None:
    if fault in ("lagging", "expired"):
        cluster.lagging.add(label)
    elif fault == "store_unreachable":
        cluster.store_unreachable.add(label)


@pytest.mark.parametrize("fault", ("none", "lagging", "expired", "store_unreachable", "loading", "restarted"))
@pytest.mark.parametrize("state", ("accepted", "done", "cancelled"))
def test_no_controller_returns_an_older_state_than_another_has(cluster, state, fault):
    """For each pair of controllers: poll, repeated submissions and cancellation at the second after the first."""

    async def run_scenario():
        await cluster.start()
        for number, first_responder in enumerate(LABELS):
            for second_responder in LABELS:
                if second_responder == first_responder:
                    continue
                owner = LABELS[number - 1] if second_responder != LABELS[number - 1] else first_responder
                job = await create_job(
                    cluster,
                    state,
                    owner,
                    first_responder,
                    lambda second_responder=second_responder: begin_fault(cluster, fault, second_responder),
                )
                if fault in ("loading", "restarted"):
                    cluster.lagging.add(second_responder)
                    cluster.register_member(second_responder)
                    if fault == "restarted":
                        cluster.store_view(*LABELS)
                    await cluster.start_controller(second_responder)
                    if fault == "restarted":  # loaded, with the view of its previous incarnation
                        cluster.load(second_responder)
                elif fault == "expired":
                    cluster.t += 30.0
                responses = [await cluster.request(second_responder, "poll", job)]
                for change in REPEATS.values():
                    responses.append(await cluster.request(second_responder, "submit", job, **change))
                responses.append(await cluster.request(second_responder, "poll", job))
                responses.append(await cluster.request(second_responder, "withdraw", job))
                if fault in ("none", "lagging"):  # the store is reachable: all but the cancellation must succeed
                    assert all(status == 200 for status, _ in responses[:-1])
                cluster.t += constants.STORE_BACKOFF_S
                cluster.lagging.clear()
                cluster.store_unreachable.clear()
                if fault in ("loading", "restarted"):
                    cluster.store_view(*LABELS)
                for _ in range(3):
                    await cluster.run_round()
                assert (await cluster.request(second_responder, "withdraw", job))[0] == 200  # the fault is over
                for label in LABELS:
                    assert (await cluster.request(label, "poll", job))[1] in ("done", "aborted")

    curio.run(run_scenario)


async def run_while_lagging(cluster: Cluster, *labels: str, for_s: float = 30.0) -> None:
    """Run rounds for ``for_s`` seconds in which these controllers receive no changes of the store."""
    cluster.lagging.update(labels)
    end = cluster.t + for_s
    while cluster.t < end:
        cluster.t += 1.0
        await cluster.run_round()


@pytest.mark.parametrize("end", ("done", "aborted"))
def test_a_replaced_job_owner_returns_no_outdated_state(cluster, end):
    """Its store lease has expired and another owner continued its jobs, but users can still reach it."""

    async def run_scenario():
        await cluster.start()
        job, owner = cluster.new_job_id(), LABELS[1]
        others = [label for label in LABELS if label != owner]
        assert (await cluster.request(owner, "submit", job))[0] == 201
        await cluster.run_round()
        await run_while_lagging(cluster, owner)
        cluster.store_view(*others)
        await run_while_lagging(cluster, owner, for_s=3.0)
        if end == "done":
            assert cluster.report_last_task(job)
        else:
            assert await cluster.request(others[0], "withdraw", job) == (200, "aborted")
        for _ in range(3):
            await cluster.run_round()
        assert await cluster.request(others[1], "poll", job) == (200, end)
        cluster.store_unreachable.add(owner)
        for request_kind in ("poll", "submit", "withdraw"):
            assert (await cluster.request(owner, request_kind, job))[0] == 503
        cluster.store_unreachable.clear()
        assert await cluster.request(owner, "poll", job) == (200, end), "from the store"

    curio.run(run_scenario)


def test_an_inherited_job_does_not_end_while_its_previous_owner_may_report_it(cluster):
    """A joining member takes over a job whose previous owner may still act, as it has not received the view."""

    async def run_scenario():
        await cluster.start()
        removed, joining = next(
            (removed, joining)
            for removed in LABELS
            for joining in LABELS
            if removed != joining and rendezvous_owner(removed, sorted({*LABELS} - {removed})) == joining
        )
        previous_owner = rendezvous_owner(removed, sorted({*LABELS} - {removed, joining}))
        job = cluster.new_job_id()
        assert (await cluster.request(removed, "submit", job))[0] == 201
        await cluster.run_round()
        cluster.store_view(*sorted({*LABELS} - {removed, joining}))
        cluster.lagging.add(removed)
        await run_while_lagging(cluster, removed, for_s=25.0)
        assert job in cluster.controllers[previous_owner].core.job_shard.jobs
        cluster.store_view(*sorted({*LABELS} - {removed}))
        cluster.lagging.add(previous_owner)
        cluster.pending_polls.pop(previous_owner, None)
        frames = cluster.frames
        # The previous owner exchanges no frames with the others either.
        for link in [link for link in frames if previous_owner in link]:
            frames[link] = []
        cancellation = await cluster.send_request(joining, "withdraw", job)
        for _ in range(4):
            for label in {*LABELS} - {previous_owner, removed}:
                cluster.poll_store(label)
                cluster.poll_store(label)
                cluster.controllers[label].core.round(cluster.t)
                await cluster.controllers[label].dispatch_effects()
                await cluster.controllers[label].store.writer_wakeup.set()
            await curio.sleep(0)
            assert await cluster.request_from_memory(previous_owner, "poll", job) == (200, "pending")
        assert not cancellation.terminated, "the end is reported only once the previous owner cannot contradict it"
        cluster.lagging.discard(previous_owner)
        for _ in range(5):
            await cluster.run_round()
        if not cancellation.terminated:
            await cancellation.cancel()
        for label in LABELS:
            assert await cluster.request(label, "withdraw", job) in ((200, "aborted"), (503, ""))
        assert await cluster.request(previous_owner, "poll", job) == (200, "aborted")

    curio.run(run_scenario)


def test_a_cascade_aborted_job_is_not_reported_as_pending_from_its_record(cluster):
    """Its owner cannot store its end; a lagging controller must not conclude "pending" from the stored record."""

    async def run_scenario():
        await cluster.start()
        first, second = cluster.new_job_id(), cluster.new_job_id()
        owner, lagging = LABELS[1], LABELS[2]
        cluster.needs[second] = [first]
        assert (await cluster.request(LABELS[0], "submit", first))[0] == 201
        await cluster.run_round()
        assert (await cluster.request(owner, "submit", second, waits_on=[first]))[0] == 201
        await cluster.run_round()
        cluster.store_unreachable.add(owner)
        cluster.lagging.add(owner)
        cluster.lagging.add(lagging)
        assert await cluster.request(LABELS[0], "withdraw", first) == (200, "aborted")
        for label in LABELS:
            await cluster.request(label, "poll", second)
        await run_while_lagging(cluster, owner, lagging, for_s=23.0)
        assert msgspec.json.decode(cluster.store.data[JOBS + second][0])["state"] == "active"
        for label in (LABELS[0], LABELS[3], LABELS[4]):
            assert await cluster.request(label, "poll", second) == (200, "aborted")
        for label in (owner, lagging):
            for request_kind in ("poll", "submit"):
                assert (await cluster.request(label, request_kind, second))[0] == 503

    curio.run(run_scenario)


def test_a_job_read_before_its_view_is_not_adopted_by_the_reader(cluster):
    """A member that rejoined accepted the job, under a view that the reader has not received."""

    async def run_scenario():
        await cluster.start()
        rejoined = LABELS[0]
        reader = rendezvous_owner(rejoined, LABELS[1:])  # owner of its jobs while it was not a member
        cluster.lagging.add(reader)
        cluster.store_view(*LABELS[1:])
        cluster.poll_store(reader)  # the pending result has the view without the member
        cluster.register_member(rejoined)
        cluster.store_view(*LABELS)
        await cluster.start_controller(rejoined)
        cluster.load(rejoined)
        await cluster.run_round()
        job, second = cluster.new_job_id(), cluster.new_job_id()
        assert (await cluster.request(rejoined, "submit", job))[0] == 201
        # The reader reads the record of the dependency.
        dependent = await cluster.send_request(reader, "submit", second, waits_on=[job])
        await curio.sleep(0)
        assert await cluster.request(rejoined, "withdraw", job) == (200, "aborted")
        cluster.poll_store(reader)
        assert cluster.controllers[reader].core.membership.view.members.keys() == {*LABELS[1:]}
        assert cluster.controllers[reader].core.may_act()
        assert (await cluster.request_from_memory(reader, "poll", job))[1] in ("", "aborted")
        assert job not in cluster.controllers[reader].core.job_shard.jobs, "both owners would start its tasks"
        cluster.lagging.clear()
        for _ in range(5):
            await cluster.run_round()
        assert dependent.terminated
        assert await cluster.request(reader, "poll", job) == (200, "aborted")

    curio.run(run_scenario)


@pytest.mark.parametrize("first", ("result", "cancel"))
@pytest.mark.parametrize("write_progress", range(5))
def test_a_cancellation_and_the_last_result_end_a_job_once(cluster, first, write_progress):
    """One arrives while the other is being written, with polls and repeated submissions at the owner and elsewhere.

    ``write_progress``: state of the first write: not begun, sent, executed, returned, executed without a response.
    """

    async def run_scenario():
        await cluster.start()
        job, owner, other = cluster.new_job_id(), LABELS[1], LABELS[3]
        assert (await cluster.request(owner, "submit", job))[0] == 201
        await cluster.run_round()
        cluster.set_running(cluster.controllers[owner].core.job_shard.jobs[job])
        store = cluster.controllers[owner].store
        store.slow = True
        tasks = []

        async def send_requests(*request_kinds: str) -> None:
            for request_kind in request_kinds:
                tasks.extend([await cluster.send_request(label, request_kind, job) for label in (owner, other)])

        async def cancel() -> None:
            tasks.append(await cluster.send_request(other if write_progress else owner, "withdraw", job))
            for _ in range(3):
                await (cluster.run_round() if write_progress else curio.sleep(0))

        async def run_writer() -> None:
            await store.writer_wakeup.set()
            for _ in range(3):
                await curio.sleep(0)

        if first == "result":
            assert cluster.report_last_task(job)
        else:
            await cancel()
        if write_progress:
            await run_writer()
            (write,) = [call for call in store.pending_calls if call.lossy]
            if write_progress > 1:
                write.executed, write.result = True, store._execute(write.action)
            if write_progress == 3:
                store.pending_calls.remove(write)
                await write.event.set()
            elif write_progress == 4:
                store.pending_calls.remove(write)
                write.result = UnansweredError("lost")
                await write.event.set()
            await curio.sleep(0)
        await send_requests("poll", "submit")
        if first == "result":
            await cancel()
        else:
            cluster.report_last_task(job, ended=True)
        await send_requests("poll", "withdraw", "submit")
        rng = random.Random(write_progress)
        for _ in range(150):
            if store.pending_calls:
                await store.step(SimpleNamespace(choice=rng.choice, random=lambda: 1.0))
            await run_writer()
            await cluster.run_round()
        store.slow = False
        for label in LABELS:
            assert (await cluster.request(label, "poll", job))[1] in ("done", "aborted")
        for task in tasks:
            assert task.terminated and (await task.join())[0] in (200, 503)
        # Only the job owner can end the job under this view, so the first to arrive there decides.
        assert cluster.final_states == {job: "done" if first == "result" else "aborted"}

    curio.run(run_scenario)


def test_a_job_is_reported_as_done_soon_after_its_last_task(cluster):
    """At every controller, within 3 s of the arrival of the result at the job owner."""

    async def run_scenario():
        await cluster.start()
        for owner in LABELS:
            job = cluster.new_job_id()
            assert (await cluster.request(owner, "submit", job))[0] == 201
            await cluster.run_round()
            assert cluster.report_last_task(job)
            finished_at = cluster.t
            for label in LABELS:
                while (await cluster.request(label, "poll", job))[1] != "done":
                    await cluster.run_round()
            assert cluster.t - finished_at < 3.0

    curio.run(run_scenario)


class RandomRequests:
    """Requests at all controllers, with random order of all steps of store, mesh and controllers, and with restarts."""

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self.cluster, self.rng = cluster, random.Random(seed)
        self.pending: list[curio.Task] = []
        self.job_ids: list[str] = []
        self.checked: set[tuple[str, str]] = set()
        self.ended_stores: list[ControlledStore] = []  # of ended processes: their calls may be executed late

    async def step(self) -> None:
        cluster, rng = self.cluster, self.rng
        cluster.t += STEP_S
        stores = [
            store
            for store in [process.store for process in cluster.controllers.values()] + self.ended_stores
            if store.pending_calls
        ]
        links = [link for link, frames in cluster.frames.items() if frames]
        kind = rng.random()
        if stores and kind < 0.4:
            await rng.choice(stores).step(rng)
        elif links and kind < 0.65:
            for link in rng.sample(links, min(3, len(links))):
                await cluster.deliver(link)
        elif kind < 0.8:
            cluster.poll_store(rng.choice([label for label in LABELS if label not in cluster.lagging]))
        elif kind < 0.9:
            controller = cluster.controllers[rng.choice(LABELS)]
            if rng.random() < 0.1:
                controller.core.round(cluster.t)
            await controller.dispatch_effects()
            await controller.store.writer_wakeup.set()
        elif kind < 0.995:
            if len(self.pending) < 20:
                await self.send_random_request()
        else:
            await self.inject_fault()
        await curio.sleep(0)
        self.pending = [task for task in self.pending if not (task.terminated and await task.join())]
        reported = {*cluster.final_states.items(), *((job, "accepted") for job in cluster.accepted)}
        for job in sorted(job for job, _ in reported - self.checked):  # at once, at all controllers
            for label in LABELS:
                self.pending.append(await cluster.send_request(label, "poll", job))
        self.checked = reported

    async def send_random_request(self) -> None:
        cluster, rng = self.cluster, self.rng
        if not self.job_ids or rng.random() < 0.1:
            job, change = cluster.new_job_id(), {}
            if self.job_ids and rng.random() < 0.3:
                cluster.needs[job] = change["waits_on"] = [rng.choice(self.job_ids[-5:])]
            self.job_ids.append(job)
            for label in rng.sample(LABELS, rng.choice([1, 1, 2])):
                self.pending.append(await cluster.send_request(label, "submit", job, **change))
            return
        accepted = [job for job in self.job_ids if job in cluster.accepted]
        job = rng.choice(accepted[-4:] if accepted and rng.random() < 0.8 else self.job_ids[-2:])
        kind = rng.random()
        if kind < 0.12:
            cluster.report_last_task(job)
            return
        for label in rng.sample(LABELS, rng.randint(1, 5)):
            if kind < 0.2:
                self.pending.append(await cluster.send_request(label, "withdraw", job))
            elif kind < 0.4 and job in cluster.accepted:
                self.pending.append(
                    await cluster.send_request(label, "submit", job, **rng.choice(list(REPEATS.values())))
                )
            else:
                self.pending.append(await cluster.send_request(label, "poll", job))

    async def inject_fault(self) -> None:
        """Let a controller lag behind the store for a while, or restart it, within its view or outside."""
        cluster, rng = self.cluster, self.rng
        label = rng.choice(LABELS)
        if len(cluster.lagging) > 1:
            return cluster.lagging.clear()
        if rng.random() < 0.6:
            return cluster.lagging.add(label)
        old = cluster.controllers[label]
        self.ended_stores.append(old.store)
        view = msgspec.json.decode(cluster.store.data[VIEW][0], type=View)
        if rng.random() < 0.5 and len(view.members) > 3:
            cluster.store_view(*sorted(view.members.keys() - {label}))  # its store lease has expired
        cluster.register_member(label)
        await cluster.start_controller(label, slow=True)
        if rng.random() < 0.5:
            cluster.store_view(*LABELS)
        # Requests at the ended process get no response.
        for task in [task for task in self.pending if task.controller_label == label and not task.terminated]:
            self.pending.remove(task)
            await task.cancel()


@pytest.mark.parametrize("seed", range(5))
def test_responses_stay_monotonic_under_random_requests_and_faults(cluster, seed):
    async def run_scenario():
        await cluster.start()
        for controller in cluster.controllers.values():
            controller.store.slow = True
        requests = RandomRequests(cluster, seed)
        for _ in range(4000):
            await requests.step()
        assert len(cluster.final_states) > 5 and {"done", "aborted"} == set(cluster.final_states.values())
        assert cluster.response_statuses.count(200) > len(cluster.response_statuses) / 3

    curio.run(run_scenario)
