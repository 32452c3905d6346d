"""The simulated users: they submit, query, resubmit and cancel jobs, also with invalid requests."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING

import msgspec

from alderbridge import constants
from alderbridge.jobs.record import JobState, Record
from alderbridge.protocol import messages, wire
from alderbridge.protocol.keys import JOBS
from simulation.deployment import CANCEL_S
from simulation.errors import InvariantViolation

if TYPE_CHECKING:
    from simulation.controller import SimController

NOT_FOUND = "404"  # stands for a 404, 400 or 422 response where a job state is expected
STREAM_INTERVAL_S, STREAM_CANCELLED_SHARE = 0.25, 0.25  # s between one-task jobs; share of them that users cancel
REPLACED_LEADERS, REPLACED_LEADERS_S = 10, 120.0
# Defaults that a submission has to state, but a record omits.
EXPLICIT_DEFAULTS = {
    "accelerators": 0.0,
    "snapshot_every_s": 0.0,
    "snapshot_s": 0.0,
    "together": False,
    "apart": False,
    "standby": False,
}
# Invalid values: (field, value); None removes the field; without a field, the value is a dict of fields.
INVALID_FIELDS = [
    (name, None)
    for name in (
        "id",
        "workload",
        "owner",
        "shape",
        "urgency",
        "parts",
        "vcpus",
        "mem_gb",
        "bundle",
        "image_gb",
        "expected_s",
        *EXPLICIT_DEFAULTS,
    )
]
INVALID_FIELDS += [
    ("parts", 0),
    ("parts", 100_001),
    ("parts", 1.5),
    ("parts", True),
    ("vcpus", math.nan),
    ("vcpus", -1.0),
    ("vcpus", 0.0),
    ("vcpus", "2"),
    ("mem_gb", -1.0),
    ("mem_gb", 65.0),
    ("owner", "nobody"),
    ("site", "z"),
    ("shape", "round"),
    ("urgency", 1),
    ("flavours", ["none"]),
    ("flavours", "small"),
    ("accelerators", 1.0),
    ("id", "job-1"),
    ("", {"flavours": ["small"], "vcpus": 8.0}),
    ("", {"shape": "standing", "parts": 9, "vcpus": 2.0, "owner": "bound"}),
]


def submission_of(spec: wire.JobSpec) -> dict:
    """The body of the request that submits the job."""
    return EXPLICIT_DEFAULTS | json.loads(msgspec.json.encode(spec))


class Users:
    """The simulated users; a mixin of ``World``."""

    def make_job(self, number: int) -> wire.JobSpec:
        rng = self.rng
        array = rng.random() < 0.9
        return wire.JobSpec(
            id=f"wk-{rng.randrange(10**6):06d}{number:02d}",
            job_class="x",
            team=rng.choice(["free", "bound"]),
            kind="sweep" if array else "standing",
            priority=rng.choice(wire.PRIORITIES),
            tasks=rng.randint(1, 14) if array else 2,
            cpus=rng.choice([1.0, 2.0, 4.0]),
            memory_gb=2.0,
            image=rng.choice("pqr"),
            image_gb=1.0,
            estimate_s=rng.uniform(2.0, 20.0) if array else 0.0,
            types=rng.choice([None, None, ["large"]]),
            zone=rng.choice([None, None, "a"]),
            one_zone=rng.random() < 0.15,
            spread=rng.random() < 0.15,
            spot=rng.random() < 0.7,
        )

    def make_large_job(self, number: int) -> wire.JobSpec:
        return msgspec.structs.replace(
            self.make_job(number),
            kind="sweep",
            job_class="soon",
            team="free",
            spot=True,
            tasks=self.rng.randint(30, 90),
            estimate_s=self.rng.uniform(10.0, 30.0),
        )

    def make_long_job(self, number: int) -> wire.JobSpec:
        return msgspec.structs.replace(
            self.make_job(number),
            kind="sweep",
            job_class="long",
            estimate_s=60.0,
            tasks=self.rng.randint(2, 3),
            spot=True,
        )

    def make_unlimited_pair(self, number: int) -> wire.JobSpec:
        """Two long tasks without a team limit that any machine can run."""
        return msgspec.structs.replace(
            self.make_job(number),
            kind="sweep",
            team="free",
            cpus=1.0,
            tasks=2,
            estimate_s=1000.0,
            types=None,
            zone=None,
            one_zone=False,
            spread=False,
        )

    def submit_pipeline(self, number: int) -> None:
        """Submits each step once its dependencies are accepted; some pipelines depend on an earlier job."""
        rng = self.rng
        if any(sim.old for sim in self.controllers.values()):
            self.after(1.0, self.submit_pipeline, number)
            return

        def step(index: int, needs: list[str], **more) -> str:
            spec = msgspec.structs.replace(
                self.make_job(number + index),
                kind="sweep",
                tasks=rng.randint(1, 5),
                cpus=1.0,
                estimate_s=rng.uniform(1.0, 6.0),
                types=None,
                zone=None,
                one_zone=False,
                spread=False,
                dependencies=needs or None,
                **more,
            )
            self.specs[spec.id] = spec
            self.submit_when_accepted(needs, spec)
            return spec.id

        earlier = sorted(job for job in self.accepted if not self.specs[job].service)
        first = step(0, [rng.choice(earlier)] if earlier and rng.random() < 0.4 else [])
        middle = [step(1 + i, [first]) for i in range(rng.randint(1, 3))]
        other = step(5, [first, first])
        step(6, [*middle, other], job_class="last", priority="high", due_s=40.0)
        if rng.random() < 0.4:
            victim = rng.choice([first, *middle, other])
            self.after(rng.uniform(3.0, 25.0), self.cancel, victim)

    def submit_when_accepted(self, needs: list[str], spec: wire.JobSpec) -> None:
        if all(need in self.accepted for need in needs):
            self.submit(spec)
        else:
            self.after(0.1, self.submit_when_accepted, needs, spec)

    def transitive_dependencies(self, job: str) -> set[str]:
        """All jobs that ``job`` depends on, directly or transitively."""
        result, pending = set(), [job]
        while pending:
            for need in self.specs[pending.pop()].dependencies or ():
                if need not in result:
                    result.add(need)
                    pending.append(need)
        return result

    def submit(self, spec: wire.JobSpec) -> None:
        self.specs[spec.id] = spec
        self.first_submitted_at.setdefault(spec.id, self.t)
        sim = self.controllers[self.rng.choice(self.labels)]
        core = sim.core
        if spec.id in self.accepted:
            self.after(self.rng.uniform(1.0, 5.0), self.poll, spec.id)
            if spec.service or self.rng.random() < 0.15:
                self.after(self.rng.uniform(5.0, 60.0), self.cancel, spec.id)
            return
        if (
            core is not None
            and core.machine_shard.capacity.types
            and core.membership.may_act(self.t)
            and core.state.loaded
        ):
            ready = not spec.dependencies or (
                core.membership.all_support(constants.VERSION_WITH_DEPENDENCIES)
                and all(map(core.directory.knows_job, spec.dependencies))
            )
            if ready and not core.directory.knows_job(spec.id):
                core.submissions.submit(spec, self.t, self.t + sim.ahead_s)
            elif core.directory.knows_job(spec.id) and self.status_at_once(sim, spec.id) is not None:
                self.accept(spec.id)  # an earlier attempt was applied: 200
        self.after(1.5, self.submit, spec)

    def accept(self, job: str) -> None:
        if job in self.invalid_jobs:
            raise InvariantViolation(f"took_flawed: {job}")
        self.accepted.add(job)
        if job not in self.accepted_at:
            self.accepted_at[job] = self.t
            self.query_concurrently(job)

    def check_state(self, job: str, state: str, asked: float | None = None) -> None:
        """Checks a reported state; ``asked``: when it was requested, if another response may have arrived since."""
        before, ends = self.reported_ends.get(job), state in ("done", "aborted")
        if before is not None and state != before:
            if asked is None or ends or asked >= self.end_reported_at[job]:
                raise InvariantViolation(f"went_back: {job} {before} -> {state}")
            return  # outdated, but correct when requested
        if ends and before is None:
            self.end_reported_at[job] = self.t
            self.query_concurrently(job)
        if state == "done":
            missing = [i for i in range(self.specs[job].tasks) if f"{job}/{i}" not in self.completed]
            if missing:
                raise InvariantViolation(f"not_done: {job} lacks {missing}")
            self.reported_ends[job] = state
        elif state == "aborted":
            if job not in self.cancelled_at and not any(
                one in self.cancelled_at for one in self.transitive_dependencies(job)
            ):
                raise InvariantViolation(f"went_back: {job} was never cancelled")
            self.reported_ends[job] = state
            if job in self.cancelled_at:  # the first response counts, also one to a status request
                self.cancelled_at[job] = min(self.cancelled_at[job], self.t)
        elif any(
            (self.t if asked is None else asked) > self.cancelled_at.get(one, math.inf) + CANCEL_S
            for one in self.transitive_dependencies(job)
        ):
            raise InvariantViolation(f"orphaned: {job} is reported as {state}")

    def poll(self, job: str) -> None:
        """Requests the status of a job at intervals, from each controller in turn."""
        sim = self.controllers[self.labels[next(self.poll_numbers) % len(self.labels)]]
        if self.has_concurrent_faults:
            self.request_status(sim, job)
        else:
            state = self.status_at_once(sim, job)
            if state is not None:
                self.last_status_at[job] = self.t
                self.check_state(job, state)
        self.after(self.rng.uniform(1.0, 6.0), self.poll, job)

    def request_status(self, sim: SimController, job: str) -> None:
        """Requests a status with simulated latency; the response is checked against what was known at the request."""
        if sim.core is not None:
            sim.query_status(job, lambda state, asked=self.t: self.on_status(job, state, asked))

    def on_status(self, job: str, state: str | None, asked: float) -> None:
        if state == NOT_FOUND:
            if self.accepted_at.get(job, math.inf) <= asked:
                raise InvariantViolation(f"forgotten: {job} at {self.t:.2f}, accepted at {self.accepted_at[job]:.2f}")
        elif state is not None:
            self.last_status_at[job] = self.t
            self.check_state(job, state, asked)

    def resubmit(self, sim: SimController, job: str, flaw: dict | None = None) -> None:
        """Submits a job again, with ``flaw`` as changed fields of the body."""
        if sim.core is not None:
            body = submission_of(self.specs[job]) | (flaw or {})
            sim.submit_body(json.dumps(body).encode(), lambda state, asked=self.t: self.on_status(job, state, asked))

    def query_concurrently(self, job: str) -> None:
        """Sends status requests, repeated submissions and cancellations to all controllers within milliseconds."""
        if self.t >= self.concurrent_reads_until:
            return
        rng = self.rng
        withdraws_often = rng.random() < (0.5 if job in self.reported_ends else 0.1)
        for label in self.labels:
            for _ in range(rng.randint(1, 3)):
                self.after(
                    rng.uniform(0.0001, rng.choice([0.004, 0.04, 0.4])),
                    self.send_concurrent_request,
                    self.controllers[label],
                    job,
                    rng.choice(["ask", "ask", "repeat", "other body", "withdraw" if withdraws_often else "ask"]),
                )

    def send_concurrent_request(self, sim: SimController, job: str, kind: str) -> None:
        self.concurrent_request_count += 1
        if kind == "ask":
            self.request_status(sim, job)
        elif kind == "withdraw":
            self.cancel_through(sim, job, again=False)
        else:
            self.resubmit(sim, job, {"owner": "nobody"} if kind == "other body" else None)

    def send_unusual_request(self) -> None:
        """Sends a repeated submission, a cancellation of an ended job, or an invalid job."""
        rng = self.rng
        sim = self.controllers[rng.choice(self.labels)]
        kind = rng.choice(["repeat", "withdraw", "flawed", "flawed"])
        ended_jobs, open_jobs = sorted(self.reported_ends), sorted(self.accepted - self.reported_ends.keys())
        if kind == "repeat" and open_jobs:
            self.resubmit(sim, rng.choice(open_jobs))
        elif kind == "withdraw" and ended_jobs:
            self.cancel_through(sim, rng.choice(ended_jobs), again=False)
        elif kind == "flawed" and sim.core is not None:
            body = submission_of(self.make_job(next(self.job_numbers)))
            field, value = rng.choice(INVALID_FIELDS)
            if value is None:
                del body[field]
            else:
                body |= {field: value} if field else value
            self.invalid_jobs.add(body.get("id", ""))
            sim.submit_body(json.dumps(body).encode(), lambda state: self.check_rejected(body, state))

    def check_rejected(self, body: dict, state: str | None) -> None:
        if state not in (None, NOT_FOUND):
            raise InvariantViolation(f"took_flawed: {body} is {state}")

    def status_at_once(self, sim: SimController, job: str) -> str | None:
        """As ``StatusHandler.status``: from memory, the job owner or the store; None: 503 or controller down."""
        if sim.core is None:
            return None
        state = sim.core.local_jobs.local_job_state(job, self.t)
        if state is not None:
            return state[0]
        owner = self.controllers.get(sim.core.directory.job_owner(job))
        if (
            owner is not None
            and owner is not sim
            and owner.core is not None
            and owner.label not in sim.half_open_links
            and owner.core.membership.fencing_token == sim.core.membership.fencing_token
            and self.t >= max(sim.cut_mesh_until, owner.cut_mesh_until)
        ):
            state = owner.core.local_jobs.local_job_state(job, self.t)
            if state is not None:
                return state[0]
        if self.t < max(sim.cut_store_until, sim.refused_until, self.store.down_until):
            return None
        row = self.store.data.get(JOBS + job)
        if row is None:
            raise InvariantViolation(f"forgotten: {job}")
        record = msgspec.json.decode(row[0], type=Record)
        waits = record.spec is not None and (record.spec.dependencies or record.dependency_digest)
        if record.state is not JobState.ACTIVE:
            return record.state.value
        return None if waits and not sim.core.local_jobs.is_certainly_pending(job, self.t) else "pending"

    def cancel(self, job: str) -> None:
        if job in self.reported_ends:
            return
        if self.has_concurrent_faults:
            self.cancel_through(self.controllers[self.rng.choice(self.labels)], job)
            return
        for label in self.labels:
            core = self.controllers[label].core
            if core is not None and core.directory.job_owner(job) == label:
                self.cancelled_at.setdefault(job, math.inf)
                state = core.local_jobs.cancel(job, self.t)
                if state:
                    self.check_state(job, state)
                    if state == "aborted":
                        self.cancelled_at[job] = min(self.cancelled_at[job], self.t)
                        return
        self.after(1.0, self.cancel, job)

    def cancel_through(self, sim: SimController, job: str, again: bool = True) -> None:
        """As ``CancellationHandler.cancel``: by this controller or a message to the job owner; retried if ``again``."""
        core, asked = sim.core, self.t
        if job not in self.reported_ends:
            self.cancelled_at.setdefault(job, math.inf)
        if again:
            self.after(self.rng.uniform(4.0, 7.0), self.cancel, job)
        if core is None or not core.state.loaded:
            return
        owner, on_cancelled = core.directory.job_owner(job), self.on_cancelled
        if owner == sim.label or job in core.replica.ended:
            sim.withdraw(job, lambda state: state and on_cancelled(job, state))
        elif owner:
            query_id = next(self.query_ids)
            self.pending_queries[query_id] = (
                sim.label,
                sim.life,
                self.t + constants.SUBMIT_TIMEOUT_S,
                lambda state: state and on_cancelled(job, state),
            )
            core.messenger.send_unreliable(owner, messages.JobQuery(query_id, "withdraw", job))
            sim.flush()
        else:
            sim.answer_from_store(job, lambda state: state == NOT_FOUND and self.on_status(job, state, asked))

    def on_cancelled(self, job: str, state: str) -> None:
        self.check_state(job, state)

    def cancel_running_jobs(self, count: int, hang_s: float) -> None:
        """Cancels running jobs within 0.2 s; with ``hang_s``, up to eight of their machines hang for that time."""
        rng = self.rng
        running = sorted({wire.split_task_id(part)[0] for part in self.running_on})
        running = [job for job in running if job not in self.reported_ends and job not in self.cancelled_at]
        jobs = rng.sample(running, min(count, len(running)))
        machines = sorted({name for part, name in self.running_on.items() if wire.split_task_id(part)[0] in jobs})
        for name in rng.sample(machines, min(8, len(machines))) if hang_s else ():
            self.machines[name].hangs_until = self.t + hang_s
        for job in jobs:
            self.after(rng.uniform(0.0, 0.2), self.cancel, job)

    def exceed_team_quota(self, length: float) -> None:
        """Submits more long tasks of the limited team than its limit allows, and cancels some of them."""
        rng = self.rng
        for _ in range(6):
            spec = msgspec.structs.replace(
                self.make_long_job(next(self.job_numbers)),
                team="bound",
                tasks=rng.randint(2, 4),
                cpus=rng.choice([1.0, 2.0]),
                types=None,
                zone=None,
                one_zone=False,
            )
            self.after(rng.uniform(0.0, 3.0), self.submit, spec)
            if rng.random() < 0.5:
                self.after(rng.uniform(15.0, length), self.cancel_when_accepted, spec.id)

    def submit_stream_job(self) -> None:
        spec = msgspec.structs.replace(
            self.make_job(next(self.job_numbers)),
            kind="sweep",
            job_class="stream",
            tasks=1,
            cpus=1.0,
            team="free",
            estimate_s=self.rng.uniform(1.0, 6.0),
            types=None,
            zone=None,
            one_zone=False,
            spread=False,
            spot=True,
        )
        self.submit(spec)
        if self.rng.random() < STREAM_CANCELLED_SHARE:
            self.after(self.rng.uniform(0.0, 8.0), self.cancel_when_accepted, spec.id)

    def cancel_when_accepted(self, job: str) -> None:
        if job in self.accepted:
            self.cancel(job)
        else:
            self.after(1.0, self.cancel_when_accepted, job)

    def cancel_any(self) -> None:
        jobs = sorted(job for job in self.accepted if job not in self.reported_ends and job not in self.cancelled_at)
        if jobs:
            self.cancel(self.rng.choice(jobs))
