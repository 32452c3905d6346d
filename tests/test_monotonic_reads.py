"""Users ask at all nodes within milliseconds, repeat the submission and cancel, right after an answer: none is older.

Real controllers' handlers, over a store and a mesh whose every step is the test's: a question, what the store does and
what it answers, a frame, a look at what has changed.
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
from alderbridge.transport.selector import Poll

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
# what a user may send as a repeated submission
REPEATS = {
    "same": {},
    "another body": {"parts": 7, "vcpus": 2.0},
    "unknown team": {"owner": "nobody"},
    "fits nothing": {"vcpus": 500.0},
    "malformed": {"parts": 0},
    "lacks a field": {"bundle": None},
}


class Broken(AssertionError):
    """An answer older than one that was told before its question arrived."""


class Gate:
    """One controller's store. ``slow``: what is asked is carried out, and then answered, when the test says so."""

    def __init__(self, service: "Service", label: str) -> None:
        self.service, self.label = service, label
        self.slow = False
        self.turn = curio.Event()  # the writer, which has found nothing to write, looks again
        self.waiting: list[SimpleNamespace] = []

    async def _call(self, action, lossy: bool = False):
        if not self.slow:
            return self._carry_out(action)
        call = SimpleNamespace(action=action, event=curio.Event(), answer=None, asked=False, lossy=lossy)
        self.waiting.append(call)
        await call.event.wait()
        if isinstance(call.answer, Exception):
            raise call.answer
        return call.answer

    def _carry_out(self, action):
        if self.label in self.service.cut:
            raise StoreRefusedError("cut")
        try:
            return action()
        except StoreRefused:
            raise StoreRefusedError("down") from None

    async def step(self, rng: random.Random) -> None:
        """Of one call: it is carried out, or its answer, if not lost, arrives."""
        call = rng.choice(self.waiting)
        if not call.asked:
            call.asked = True
            try:
                call.answer = self._carry_out(call.action)
            except StoreRefusedError as error:
                call.answer = error
            return
        self.waiting.remove(call)
        if call.lossy and rng.random() < 0.2:
            call.answer = UnansweredError("lost")
        await call.event.set()

    async def rest(self) -> None:
        await self.turn.wait()
        self.turn.clear()

    async def get(self, key: str):
        return await self._call(lambda: self.service.row(key))

    async def commit(self, conditions, puts, drops=(), lease_id=None):
        return await self._call(lambda: self.service.store.commit(conditions, puts, drops, lease_id), True)


class Mesh:
    def __init__(self, service: "Service", label: str) -> None:
        self.service, self.label = service, label

    def put(self, label: str, frame: messages.Frame) -> None:
        self.service.frames.setdefault((self.label, label), []).append(frame)

    def renew(self, label: str) -> None:
        pass

    async def flush(self) -> None:
        pass


class Service:
    """Five controllers at work under one view."""

    def __init__(self, monkeypatch) -> None:
        self.t = 100.0
        self.store = SimStore(self)
        self.controls: dict[str, Controller] = {}
        self.writers: dict[str, curio.Task] = {}
        self.frames: dict[tuple[str, str], list[messages.Frame]] = {}
        self.lease_ids: dict[str, int] = {}
        self.cut: set[str] = set()  # from the store
        self.lag: set[str] = set()  # follow nothing
        self.looks: dict[str, tuple] = {}  # what a look at the store has found, on its way
        self.jobs = 0
        self.accepted: set[str] = set()  # what users were told
        self.ends: dict[str, str] = {}
        self.cancelled: set[str] = set()  # what they have asked for
        self.needs: dict[str, list[str]] = {}
        self.answers: list[int] = []
        patch_now(monkeypatch, lambda: self.t)
        monkeypatch.setattr(time, "time", lambda: self.t)
        monkeypatch.setattr(constants, "WRITER_PAUSE_S", 0.0)
        monkeypatch.setattr(constants, "ROUND_S", 0.0)
        monkeypatch.setattr(constants, "WATCH_PAUSE_S", 0.0)

    async def start(self, slow: bool = False) -> "Service":
        for label in LABELS:
            self.come(label)
        self.view(*LABELS)
        for label in LABELS:
            await self.process(label, slow)
            self.load(label)
        for _ in range(3):
            await self.rounds()
        return self

    def come(self, label: str) -> None:
        lease_id = self.lease_ids[label] = next(self.store.lease_ids)
        self.store.holds[lease_id] = 1e9
        self.store.commit({}, {MEMBERS + label: MemberRecord(lease_id, constants.PROTOCOL_VERSION)}, (), lease_id)

    def view(self, *labels: str) -> None:
        self.store.commit({}, {VIEW: View(labels[0], {label: self.lease_ids[label] for label in labels})})

    async def process(self, label: str, slow: bool = False) -> None:
        """A new life of that controller, which has read nothing yet."""
        if label in self.writers:
            await self.writers[label].cancel()
        gate = Gate(self, label)
        gate.slow = slow
        control = self.controls[label] = Controller(platform(label, LABELS), Tuning(), Poll(), store=gate)
        control.mesh = Mesh(self, label)
        control.record_writer.wait_for_work = gate.rest
        control.core.machine_types.update(TYPES)
        control.core.view_entry.lease_acquired(self.lease_ids[label], self.t, self.t)
        self.looks.pop(label, None)
        self.writers[label] = await curio.spawn(control.record_writer.keep_records, daemon=True)

    # -- steps

    def row(self, key: str) -> wire.KeyValue | None:
        self.store.check()
        found = self.store.data.get(key)
        return None if found is None else wire.KeyValue(key, msgspec.Raw(found[0]), found[1])

    def load(self, label: str) -> None:
        core = self.controls[label].core
        core.membership.record_sync(self.t)
        core.store_follower.load(self.store.rows(), [], self.store.revision, self.t, self.t)

    def look(self, label: str) -> None:
        """Ask the store what has changed, or take in what it said."""
        core, look = self.controls[label].core, self.looks.pop(label, None)
        if look is None:
            rows = None if core.state.loaded else self.store.rows()
            self.looks[label] = self.t, rows, self.store.since(core.replica.revision), self.store.revision
            return
        sent, rows, changes, revision = look
        core.membership.store_lease.record_renewal(self.lease_ids[label], sent)
        core.membership.record_sync(sent)
        if rows is not None:
            core.store_follower.load(rows, [], revision, self.t, self.t)
        else:
            core.store_follower.apply_events(changes, self.t, self.t)
            core.replica.revision = max(revision, core.replica.revision)

    async def deliver(self, way: tuple[str, str]) -> None:
        frame, control = self.frames[way].pop(0), self.controls[way[1]]
        control.on_frames([frame])
        await control.dispatch_effects()

    async def rounds(self) -> None:
        """All is followed, delivered and written, but where the test has it otherwise."""
        self.t += STEP_S
        for label, control in self.controls.items():
            if label not in self.lag | self.cut:
                self.looks.pop(label, None)
                self.look(label)
                self.look(label)
            control.core.round(self.t)
            await control.dispatch_effects()
            await control.store.turn.set()
        while ways := [way for way, frames in self.frames.items() if frames]:
            for way in ways:
                await self.deliver(way)
        for _ in range(2):
            await curio.sleep(0)

    # -- users

    def fresh(self) -> str:
        self.jobs += 1
        return f"wk-{self.jobs:06d}"

    async def ask(self, label: str, what: str, job: str, **change) -> curio.Task:
        """A user's question; the task ends with the answer, compared with what was told before it was asked."""
        accepted, end, replies = job in self.accepted, self.ends.get(job), []
        body = msgspec.json.encode({"id": job, **BODY, **change})
        path = {"poll": f"/v1/jobs/{job}", "submit": "/v1/jobs", "withdraw": f"/v1/jobs/{job}/withdraw"}[what]
        if what == "withdraw":
            self.cancelled.add(job)
        event = curio.Event()
        answer = self.controls[label].router.handle("GET" if what == "poll" else "POST", path, body, replies.append)

        async def answered() -> tuple[int, str]:
            if inspect.isawaitable(answer):
                replies.append(await answer)
            elif answer is not None:
                replies.append(answer)
            while not replies:
                await curio.sleep(0)
            await event.set()
            return self.told(f"{what} of {job} at {label}", job, replies[0], accepted, end)

        task = await curio.spawn(answered, daemon=True)
        task.at = label
        return task

    def told(self, question: str, job: str, answer, accepted: bool, end: str | None) -> tuple[int, str]:
        status, body = answer[0], msgspec.json.decode(answer[1])
        said = body.get("status", "") if status in (200, 201) else ""
        self.answers.append(status)
        if status not in (200, 201, 400, 404, 422, 503):
            raise Broken(f"{question}: {status}")
        if accepted and status in (400, 404, 422):
            raise Broken(f"forgotten: {question}: {status}, after it was accepted")
        if said and (body["id"] != job or JOBS + job not in self.store.data):
            raise Broken(f"invented: {question}: {body}")
        if end is not None and said not in ("", end):
            raise Broken(f"went_back: {question}: {said}, after it was {end}")
        if said:
            self.accepted.add(job)
        if said in ("done", "aborted"):
            stored = msgspec.json.decode(self.store.data[JOBS + job][0])["state"]
            if stored != said and not self.taken_along(job):
                raise Broken(f"not_done: {question}: {said}, in the store it is {stored}")
            if said == "aborted" and job not in self.cancelled and not self.taken_along(job):
                raise Broken(f"went_back: {question}: aborted, and nobody cancelled it")
            if self.ends.setdefault(job, said) != said:
                raise Broken(f"went_back: {question}: {said}, and others were told {self.ends[job]}")
        return status, said

    def taken_along(self, job: str) -> bool:
        """Whether one before it is cancelled."""
        return any(need in self.cancelled or self.taken_along(need) for need in self.needs.get(job, ()))

    async def answer(self, label: str, what: str, job: str, **change) -> tuple[int, str]:
        task = await self.ask(label, what, job, **change)
        for number in range(60):
            if task.terminated:
                return await task.join()
            await (self.rounds() if number > 3 else curio.sleep(0))
        raise Broken(f"{what} of {job} at {label}: no answer")

    async def answer_now(self, label: str, what: str, job: str) -> tuple[int, str]:
        """Where memory has it."""
        task = await self.ask(label, what, job)
        await curio.sleep(0)
        return await task.join()

    def finish(self, job: str, ended: bool = False) -> bool:
        """The last task's report reaches its home, if there is one at work; ``ended``: also where it is cancelled."""
        for control in self.controls.values():
            core = control.core
            one = core.job_shard.jobs.get(job)
            if one is not None and (ended or one.state is JobState.ACTIVE) and core.membership.may_act(self.t):
                self.run(one)
                core.job_shard.task_reports.on_task_report(
                    core.me,
                    messages.MachineTaskReport(
                        MACHINE, "a", 1 << 40, [messages.TaskStatusReport(job, 0, 7, "ended", "done")], []
                    ),
                    self.t,
                )
                return True
        return False

    def run(self, job: Job) -> None:
        if 0 not in job.runs:
            job.unknown.clear()
            job.next_index = max(job.next_index, 1)
            job.grant(0, TaskRun(MACHINE, "a", 7, 0, TaskState.RUNNING, self.t))


@pytest.fixture
def service(monkeypatch):
    return Service(monkeypatch)


# -- asked at each node, right after another has told it


async def bring(service: Service, state: str, owner: str, queue_publisher: str, fault) -> str:
    """A job that the teller has told to be accepted, done or cancelled; the fault begins when it is stored."""
    job = service.fresh()
    assert (await service.answer(owner, "submit", job))[0] == 201
    for _ in range(2):
        await service.rounds()  # all know it, and what follows they may not
    if state == "accepted":
        job = service.fresh()
        fault()
        assert (await service.answer(owner, "submit", job))[0] == 201
    else:
        fault()
        if state == "done":
            assert service.finish(job)
            await service.controls[owner].store.turn.set()  # stored, and nobody else has heard of it
        else:
            assert await service.answer(queue_publisher, "withdraw", job) == (200, "aborted")
    for _ in range(3):
        await curio.sleep(0)
    told = await service.answer(queue_publisher, "poll", job)
    assert told == (200, {"accepted": "pending", "done": "done", "cancelled": "aborted"}[state])
    return job


def befall(service: Service, fault: str, label: str) -> None:
    if fault in ("lags", "lapsed"):
        service.lag.add(label)
    elif fault == "cut":
        service.cut.add(label)


@pytest.mark.parametrize("fault", ("none", "lags", "lapsed", "cut", "loading", "back"))
@pytest.mark.parametrize("state", ("accepted", "done", "cancelled"))
def test_no_controller_answers_older_than_any_has_told(service, state, fault):
    """Told by each of the five, asked at each other: a poll, the submission again in all its forms, a cancel."""

    async def play():
        await service.start()
        for number, queue_publisher in enumerate(LABELS):
            for asked in LABELS:
                if asked == queue_publisher:
                    continue
                owner = LABELS[number - 1] if asked != LABELS[number - 1] else queue_publisher
                job = await bring(
                    service, state, owner, queue_publisher, lambda asked=asked: befall(service, fault, asked)
                )
                if fault in ("loading", "back"):
                    service.lag.add(asked)
                    service.come(asked)
                    if fault == "back":
                        service.view(*LABELS)
                    await service.process(asked)
                    if fault == "back":  # it has read all, its view is the one of its life before
                        service.load(asked)
                elif fault == "lapsed":
                    service.t += 30.0
                answers = [await service.answer(asked, "poll", job)]
                for change in REPEATS.values():
                    answers.append(await service.answer(asked, "submit", job, **change))
                answers.append(await service.answer(asked, "poll", job))
                answers.append(await service.answer(asked, "withdraw", job))
                if fault in ("none", "lags"):  # the store can be asked: all but a cancel has its answer
                    assert all(status == 200 for status, _ in answers[:-1])
                service.t += constants.STORE_BACKOFF_S
                service.lag.clear()
                service.cut.clear()
                if fault in ("loading", "back"):
                    service.view(*LABELS)
                for _ in range(3):
                    await service.rounds()
                assert (await service.answer(asked, "withdraw", job))[0] == 200  # all is well again
                for label in LABELS:
                    assert (await service.answer(label, "poll", job))[1] in ("done", "aborted")

    curio.run(play)


async def away(service: Service, *labels: str, for_s: float = 30.0) -> None:
    """These hear nothing of the store for so long; to the others time goes on."""
    service.lag.update(labels)
    end = service.t + for_s
    while service.t < end:
        service.t += 1.0
        await service.rounds()


@pytest.mark.parametrize("end", ("done", "aborted"))
def test_a_job_shard_that_was_replaced_tells_nothing_of_what_it_was_job_shard_to(service, end):
    """It is alive, and users reach it; its hold has ended, and what it has in memory has gone on elsewhere."""

    async def play():
        await service.start()
        job, owner = service.fresh(), LABELS[1]
        others = [label for label in LABELS if label != owner]
        assert (await service.answer(owner, "submit", job))[0] == 201
        await service.rounds()
        await away(service, owner)
        service.view(*others)
        await away(service, owner, for_s=3.0)
        if end == "done":
            assert service.finish(job)
        else:
            assert await service.answer(others[0], "withdraw", job) == (200, "aborted")
        for _ in range(3):
            await service.rounds()
        assert await service.answer(others[1], "poll", job) == (200, end)
        service.cut.add(owner)
        for what in ("poll", "submit", "withdraw"):
            assert (await service.answer(owner, what, job))[0] == 503
        service.cut.clear()
        assert await service.answer(owner, "poll", job) == (200, end), "from the store"

    curio.run(play)


def test_an_inherited_job_does_not_end_while_its_earlier_job_shard_may_still_tell_of_it(service):
    """A member joins and is the home of what another was home to, who acts and does not know that view yet."""

    async def play():
        await service.start()
        gone, new = next(
            (gone, new)
            for gone in LABELS
            for new in LABELS
            if gone != new and rendezvous_owner(gone, sorted({*LABELS} - {gone})) == new
        )
        old = rendezvous_owner(gone, sorted({*LABELS} - {gone, new}))
        job = service.fresh()
        assert (await service.answer(gone, "submit", job))[0] == 201
        await service.rounds()
        service.view(*sorted({*LABELS} - {gone, new}))
        service.lag.add(gone)
        await away(service, gone, for_s=25.0)
        assert job in service.controls[old].core.job_shard.jobs
        service.view(*sorted({*LABELS} - {gone}))
        service.lag.add(old)
        service.looks.pop(old, None)
        frames = service.frames
        for way in [way for way in frames if old in way]:  # they do not hear each other either
            frames[way] = []
        cancel = await service.ask(new, "withdraw", job)
        for _ in range(4):
            for label in {*LABELS} - {old, gone}:
                service.look(label)
                service.look(label)
                service.controls[label].core.round(service.t)
                await service.controls[label].dispatch_effects()
                await service.controls[label].store.turn.set()
            await curio.sleep(0)
            assert await service.answer_now(old, "poll", job) == (200, "pending")
        assert not cancel.terminated, "it is told when the earlier home can't deny it any more"
        service.lag.discard(old)
        for _ in range(5):
            await service.rounds()
        if not cancel.terminated:
            await cancel.cancel()
        for label in LABELS:
            assert await service.answer(label, "withdraw", job) in ((200, "aborted"), (503, ""))
        assert await service.answer(old, "poll", job) == (200, "aborted")

    curio.run(play)


def test_what_one_before_it_took_along_is_not_called_pending_from_its_record(service):
    """Its home can't write its end; others know it for long; one hears nothing, and reads the record."""

    async def play():
        await service.start()
        first, second = service.fresh(), service.fresh()
        owner, lagging = LABELS[1], LABELS[2]
        service.needs[second] = [first]
        assert (await service.answer(LABELS[0], "submit", first))[0] == 201
        await service.rounds()
        assert (await service.answer(owner, "submit", second, waits_on=[first]))[0] == 201
        await service.rounds()
        service.cut.add(owner)
        service.lag.add(owner)
        service.lag.add(lagging)
        assert await service.answer(LABELS[0], "withdraw", first) == (200, "aborted")
        for label in LABELS:
            await service.answer(label, "poll", second)
        await away(service, owner, lagging, for_s=23.0)
        assert msgspec.json.decode(service.store.data[JOBS + second][0])["state"] == "active"
        for label in (LABELS[0], LABELS[3], LABELS[4]):
            assert await service.answer(label, "poll", second) == (200, "aborted")
        for label in (owner, lagging):
            for what in ("poll", "submit"):
                assert (await service.answer(label, what, second))[0] == 503

    curio.run(play)


def test_a_job_read_ahead_of_the_views_is_no_affair_of_who_read_it(service):
    """A member went, came back and accepted it, under a view that this one has yet to hear of, behind another."""

    async def play():
        await service.start()
        back = LABELS[0]
        reader = rendezvous_owner(back, LABELS[1:])  # home to its jobs while it was gone
        service.lag.add(reader)
        service.view(*LABELS[1:])
        service.look(reader)  # what it is told of has the view without the member, and is on its way
        service.come(back)
        service.view(*LABELS)
        await service.process(back)
        service.load(back)
        await service.rounds()
        job, second = service.fresh(), service.fresh()
        assert (await service.answer(back, "submit", job))[0] == 201
        needs = await service.ask(reader, "submit", second, waits_on=[job])  # its record is read
        await curio.sleep(0)
        assert await service.answer(back, "withdraw", job) == (200, "aborted")
        service.look(reader)
        assert service.controls[reader].core.membership.view.members.keys() == {*LABELS[1:]}
        assert service.controls[reader].core.may_act()
        assert (await service.answer_now(reader, "poll", job))[1] in ("", "aborted")
        assert job not in service.controls[reader].core.job_shard.jobs, "it would start tasks that its home starts, too"
        service.lag.clear()
        for _ in range(5):
            await service.rounds()
        assert needs.terminated
        assert await service.answer(reader, "poll", job) == (200, "aborted")

    curio.run(play)


# -- the end of the last task


@pytest.mark.parametrize("first", ("result", "cancel"))
@pytest.mark.parametrize("cut_in", range(5))
def test_a_cancel_and_the_last_result_end_a_job_once(service, first, cut_in):
    """One comes while the other is on its way into the store, at its home or at another node; polls and repeats too.

    ``cut_in``: how far the write of the first has come: not begun, sent, carried out, answered, lost and carried out.
    """

    async def play():
        await service.start()
        job, owner, other = service.fresh(), LABELS[1], LABELS[3]
        assert (await service.answer(owner, "submit", job))[0] == 201
        await service.rounds()
        service.run(service.controls[owner].core.job_shard.jobs[job])
        gate = service.controls[owner].store
        gate.slow = True
        asked = []

        async def users(*what: str) -> None:
            for one in what:
                asked.extend([await service.ask(label, one, job) for label in (owner, other)])

        async def cancel() -> None:
            asked.append(await service.ask(other if cut_in else owner, "withdraw", job))
            for _ in range(3):
                await (service.rounds() if cut_in else curio.sleep(0))

        async def turn() -> None:
            await gate.turn.set()
            for _ in range(3):
                await curio.sleep(0)

        if first == "result":
            assert service.finish(job)
        else:
            await cancel()
        if cut_in:
            await turn()
            (writes,) = [call for call in gate.waiting if call.lossy]
            if cut_in > 1:
                writes.asked, writes.answer = True, gate._carry_out(writes.action)
            if cut_in == 3:
                gate.waiting.remove(writes)
                await writes.event.set()
            elif cut_in == 4:
                gate.waiting.remove(writes)
                writes.answer = UnansweredError("lost")
                await writes.event.set()
            await curio.sleep(0)
        await users("poll", "submit")
        if first == "result":
            await cancel()
        else:
            service.finish(job, ended=True)
        await users("poll", "withdraw", "submit")
        rng = random.Random(cut_in)
        for _ in range(150):
            if gate.waiting:
                await gate.step(SimpleNamespace(choice=rng.choice, random=lambda: 1.0))
            await turn()
            await service.rounds()
        gate.slow = False
        for label in LABELS:
            assert (await service.answer(label, "poll", job))[1] in ("done", "aborted")
        for task in asked:
            assert task.terminated and (await task.join())[0] in (200, 503)
        # What comes first at its home, which alone orders them, decides: nothing else can end it under this view.
        assert service.ends == {job: "done" if first == "result" else "aborted"}

    curio.run(play)


def test_a_job_is_called_done_soon_after_its_last_task(service):
    """At every node, within 3 s of the result's arrival at its home."""

    async def play():
        await service.start()
        for owner in LABELS:
            job = service.fresh()
            assert (await service.answer(owner, "submit", job))[0] == 201
            await service.rounds()
            assert service.finish(job)
            began = service.t
            for label in LABELS:
                while (await service.answer(label, "poll", job))[1] != "done":
                    await service.rounds()
            assert service.t - began < 3.0

    curio.run(play)


# -- everything at once


class Storm:
    """Users at all nodes, each step of store, mesh and controllers in a random order; processes end and return."""

    def __init__(self, service: Service, seed: int) -> None:
        self.service, self.rng = service, random.Random(seed)
        self.asked: list[curio.Task] = []
        self.names: list[str] = []
        self.heard: set[tuple[str, str]] = set()
        self.gone: list[Gate] = []  # of processes that have ended: what they had asked for may be carried out late

    async def step(self) -> None:
        service, rng = self.service, self.rng
        service.t += STEP_S
        gates = [gate for gate in [one.store for one in service.controls.values()] + self.gone if gate.waiting]
        ways = [way for way, frames in service.frames.items() if frames]
        kind = rng.random()
        if gates and kind < 0.4:
            await rng.choice(gates).step(rng)
        elif ways and kind < 0.65:
            for way in rng.sample(ways, min(3, len(ways))):
                await service.deliver(way)
        elif kind < 0.8:
            service.look(rng.choice([label for label in LABELS if label not in service.lag]))
        elif kind < 0.9:
            control = service.controls[rng.choice(LABELS)]
            if rng.random() < 0.1:
                control.core.round(service.t)
            await control.dispatch_effects()
            await control.store.turn.set()
        elif kind < 0.995:
            if len(self.asked) < 20:
                await self.question()
        else:
            await self.fault()
        await curio.sleep(0)
        self.asked = [task for task in self.asked if not (task.terminated and await task.join())]
        heard = {*service.ends.items(), *((job, "accepted") for job in service.accepted)}
        for job in sorted(job for job, _ in heard - self.heard):  # at once, at all nodes
            for label in LABELS:
                self.asked.append(await service.ask(label, "poll", job))
        self.heard = heard

    async def question(self) -> None:
        service, rng = self.service, self.rng
        if not self.names or rng.random() < 0.1:
            job, change = service.fresh(), {}
            if self.names and rng.random() < 0.3:
                service.needs[job] = change["waits_on"] = [rng.choice(self.names[-5:])]
            self.names.append(job)
            for label in rng.sample(LABELS, rng.choice([1, 1, 2])):
                self.asked.append(await service.ask(label, "submit", job, **change))
            return
        accepted = [job for job in self.names if job in service.accepted]
        job = rng.choice(accepted[-4:] if accepted and rng.random() < 0.8 else self.names[-2:])
        kind = rng.random()
        if kind < 0.12:
            service.finish(job)
            return
        for label in rng.sample(LABELS, rng.randint(1, 5)):
            if kind < 0.2:
                self.asked.append(await service.ask(label, "withdraw", job))
            elif kind < 0.4 and job in service.accepted:
                self.asked.append(await service.ask(label, "submit", job, **rng.choice(list(REPEATS.values()))))
            else:
                self.asked.append(await service.ask(label, "poll", job))

    async def fault(self) -> None:
        """One hears nothing of the store for a while, or a process ends, and is back at once or later."""
        service, rng = self.service, self.rng
        label = rng.choice(LABELS)
        if len(service.lag) > 1:
            return service.lag.clear()
        if rng.random() < 0.6:
            return service.lag.add(label)
        old = service.controls[label]
        self.gone.append(old.store)
        view = msgspec.json.decode(service.store.data[VIEW][0], type=View)
        if rng.random() < 0.5 and len(view.members) > 3:
            service.view(*sorted(view.members.keys() - {label}))  # its hold has ended
        service.come(label)
        await service.process(label, slow=True)
        if rng.random() < 0.5:
            service.view(*LABELS)
        # Who had asked it gets no answer.
        for task in [task for task in self.asked if task.at == label and not task.terminated]:
            self.asked.remove(task)
            await task.cancel()


@pytest.mark.parametrize("seed", range(5))
def test_nothing_older_is_told_in_a_storm_of_questions(service, seed):
    async def play():
        await service.start()
        for control in service.controls.values():
            control.store.slow = True
        storm = Storm(service, seed)
        for _ in range(4000):
            await storm.step()
        assert len(service.ends) > 5 and {"done", "aborted"} == set(service.ends.values())
        assert service.answers.count(200) > len(service.answers) / 3

    curio.run(play)
