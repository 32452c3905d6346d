"""The shard of jobs that one controller owns.

Nothing here does I/O: messages leave through ``send``, records are collected by ``due_writes``.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Container, Iterable, Iterator, Mapping

from alderbridge import constants
from alderbridge.calendars.gate import CalendarGate
from alderbridge.jobs.index_ranges import IndexRanges
from alderbridge.jobs.job import Job
from alderbridge.jobs.quota_usage import QuotaUsage
from alderbridge.jobs.record import JobState, Record
from alderbridge.jobs.task_states import LIVE_TASK_STATES, TaskRun, TaskState
from alderbridge.jobs.usage_tally import UsageTally
from alderbridge.protocol.messages import (
    AcknowledgeFinished,
    MachineTaskReport,
    Message,
    QueueRow,
    StopTask,
    TaskGrant,
    TaskRequest,
    TaskStatusReport,
)
from alderbridge.protocol.wire import JobSpec, MachineRecord
from alderbridge.reconciliation import Action, Barrier, ObservedState, RecordedState, reconcile
from alderbridge.settings import Team

__all__ = ["IndexRanges", "Job", "JobShard", "JobState", "QuotaUsage", "Record", "TaskRun", "TaskState", "UsageTally"]

log = logging.getLogger("jobs")

# by verdict: whether it clears, or halts
_ACKNOWLEDGES = tuple(
    one in (Action.ACKNOWLEDGE, Action.REQUEUE_AND_ACKNOWLEDGE, Action.FAIL_AND_ACKNOWLEDGE) for one in Action
)
_STOPS = tuple(one in (Action.STOP, Action.ADOPT_AND_STOP, Action.PROGRESS_AND_STOP) for one in Action)

Send = Callable[[str, Message], int]


class JobShard:
    """The jobs this controller is home to."""

    def __init__(self, teams: Iterable[Team], send: Send, value_bytes: int) -> None:
        self.jobs: dict[str, Job] = {}
        self.tally = UsageTally()
        self.jobs_by_machine: dict[str, set[str]] = {}  # machine -> jobs that have, or had, a run there
        self.usage = QuotaUsage(teams)
        self.send = self.send_deferred = send  # (label, message) -> number of the message in its channel
        self.value_bytes = value_bytes
        self.machine_owner: Callable[[str], str] = lambda machine: ""
        self.attempts = 0
        self.fencing_token = 0
        self.barrier = Barrier({})  # machines that inherited tasks may still be on
        self.allocations_received = 0
        self.settled = False  # every member acts under this view, or not at all
        self.due_at = 0.0  # see ``due_writes``
        self.jobs_added = 0  # jobs, ever
        self.counted_at = -math.inf  # see ``used``
        self.calendars: CalendarGate | None = None  # None: no hours are declared
        self.closed: set[str] = set()  # jobs that wait for their hours, and ask for nothing yet
        self.stopping_at_closing: set[tuple[str, int, int]] = (
            set()
        )  # tasks told to stop at closing, and not yet proven gone

    # -- view and inheritance ----------------------------------------------

    def enter(self, fencing_token: int, jobs: dict[str, Job], machines: Mapping[str, MachineRecord]) -> None:
        """A new view: ``jobs`` is all this home serves, ``machines`` all recorded ones.

        Runs are kept; what their machine's part may have lost is settled when the
        machine acknowledges the new mandate. A run whose machine is not recorded any more
        is free: the record goes only after a lapse or a confirmed return. Its part's word
        of that may have been lost with the older view, and nobody would repeat it: such
        jobs hung for ever (docs/incidents/zone-lost-proof.md).
        """
        self.fencing_token = fencing_token
        self.settled = False
        self.attempts = 0
        for job in self.jobs.values():
            job.tally = None
        self.jobs, self.tally, self.jobs_by_machine = {}, UsageTally(), {}
        self.counted_at = -math.inf
        for job in jobs.values():
            self.add(job)
        self.barrier = Barrier(machines)
        self.usage.allowed = {}
        self.allocations_received = 0
        self.stopping_at_closing = set()  # parts have forgotten what they were told
        for job in jobs.values():
            for index, run in list(job.runs.items()):
                run.seq = 0
                if run.machine not in machines:
                    job.requeue(index)
        self._release_inherited()

    def settle(self) -> None:
        """Each member acts under this view or not at all: no earlier home answers for a job of this one any more.

        Nor will any under a later view that leaves the job here. Each of ten views within two minutes held back anew
        what users had cancelled.
        """
        self.settled = True
        for job in self.jobs.values():
            job.inherited = False

    def add(self, job: Job) -> None:
        """This home serves the job from here on."""
        self.jobs[job.spec.id] = job
        self.jobs_added += 1
        job.tally, job.arrival_number = self.tally, self.jobs_added
        self.tally.lagging[job.spec.id] = job  # until the next look
        self.tally.add(job.spec, job.on_machines)
        for machine in job.tasks_by_machine:
            self.jobs_by_machine.setdefault(machine, set()).add(job.spec.id)

    def remove(self, job: Job) -> None:
        """Nothing of the job is left to do."""
        del self.jobs[job.spec.id]
        self.tally.lagging.pop(job.spec.id, None)
        self.tally.add(job.spec, -job.on_machines)
        job.tally = None

    def _release_inherited(self) -> None:
        """Inherited tasks of the jobs that no machine behind the barrier may hold are free."""
        for job in self.jobs.values():
            if job.unknown and not self.barrier.may_hold(job.spec):
                for index in list(job.unknown):
                    job.requeue(index)

    def used(self, now: float = math.inf) -> dict[str, tuple[float, float]]:
        """Per team, what its tasks on machines take; counted anew from time to time, else as kept since."""
        if now - self.counted_at < constants.LEADER_ROUND_S:
            return dict(self.tally.teams)
        self.counted_at = now
        counted = UsageTally()
        for job in self.jobs.values():
            if job.runs or job.unknown:
                counted.add(job.spec, job.on_machines)
        self.tally.teams = counted.teams
        return dict(counted.teams)

    def reserved(self, used: dict[str, tuple[float, float]]) -> dict[str, tuple[float, float]]:
        """Per team with a limit, the larger of what is used and what is allowed."""
        result = {team: taken for team, taken in used.items() if self.usage.limited(team)}
        for team, (cpus, gpus) in self.usage.allowed.items():
            taken = result.get(team, (0.0, 0.0))
            if self.usage.limited(team):
                result[team] = (max(cpus, taken[0]), max(gpus, taken[1]))
        return result

    def demand(self, used: dict[str, tuple[float, float]]) -> dict[str, tuple[float, float]]:
        """Per team with a limit, what all its tasks here would take."""
        result = UsageTally()
        bound = self.usage.bound
        for job in self.jobs.values():
            # What waits for other jobs holds nothing of the limit, and nothing of it is on a machine. What waits for
            # its hours asks for nothing either; what of it still runs is in ``used``.
            if (
                job.state is JobState.ACTIVE
                and not job.is_blocked
                and job.spec.team in bound
                and job.spec.id not in self.closed
                and (count := job.spec.tasks - job.next_index + len(job.requeued))
            ):
                result.add(job.spec, count)
        for team, (cpus, gpus) in used.items():
            if team in bound:
                waiting = result.teams.get(team, (0.0, 0.0))
                result.teams[team] = (cpus + waiting[0], gpus + waiting[1])
        return result.teams

    def allocate_quota(self, teams: dict[str, tuple[float, float]], whole: bool = True) -> None:
        """An allowance of the leader: of all teams, or of those for which it differs from the last."""
        allowed = teams if whole else self.usage.allowed | teams
        self.usage.allowed = {team: amounts for team, amounts in allowed.items() if amounts != (0.0, 0.0)}
        self.allocations_received += 1

    # -- queue and grants --------------------------------------------------

    def queue_rows(
        self,
        now: float,
        due_in: Callable[[Job, float, bool], tuple[float, bool]],
        run_time: Callable[[JobSpec], float],
        rank: Callable[[JobSpec], int],
        guaranteed_jobs: Container[str],
        used: dict[str, tuple[float, float]],
    ) -> list[QueueRow]:
        rows = []
        if self.calendars is not None:
            self.closed = self.calendars.update_turns(self.jobs.values(), now)
        for job in self.jobs.values():
            if job.is_blocked or job.state is not JobState.ACTIVE or now < job.paused_until:
                continue
            spec, waiting, inherited = job.spec, job.waiting, len(job.unknown)
            if not (waiting or inherited):
                continue
            if spec.id in self.closed:
                continue
            fits, zone = job.allowed_zone()
            offer = min(waiting, self.usage.room(spec.team, used.get(spec.team, (0.0, 0.0)), spec))
            ready = len(job.requeued) + max(0, min(job.start_limit, spec.tasks) - job.next_index)
            if ready < offer:
                self.raise_start_limit(job, offer, now)
                offer = ready
            guaranteed = spec.id in guaranteed_jobs
            due, late = due_in(job, now, guaranteed)
            # Before its turn nothing of it is on offer. A slot that is kept for it is taken until its run ends.
            ahead = max(0.0, job.waiting_since - now)
            offer, turn = self._priority_boost(job, now, offer if fits and ahead <= 0 else 0, late)
            rows.append(
                QueueRow(
                    spec.id,
                    waiting,
                    offer,
                    due,
                    run_time(spec) + ahead,
                    zone,
                    now - job.waiting_since,
                    late,
                    guaranteed,
                    rank(spec),
                    inherited,
                    turn,
                )
            )
        rows.sort(key=lambda row: row.due_in_s)
        return rows[: constants.QUEUE_ROWS]

    @staticmethod
    def _priority_boost(job: Job, now: float, offer: int, late: bool) -> tuple[int, int]:
        """What is offered, and the turn that keeps a large job from starving (see ``QueueRow``).

        A large job takes longer to start, so it is late sooner, and behind all that comes in time for as long as
        that fills the fleet: 25 of 300 tasks waited until the stream of small jobs ended (tests/test_flapping.py).
        """
        if (
            offer
            and not job.has_started
            and job.waiting == job.spec.tasks
            and now - job.waiting_since >= constants.STARVED_JOB_S
        ):
            return offer if job.spec.gang else 1, 2
        if offer and late and now - job.last_grant_at >= constants.LATE_BOOST_S and not job.boosted_grants_left:
            job.boosted_grants_left = max(1, job.spec.tasks // constants.LATE_BOOST_SHARE)
        return (min(offer, job.boosted_grants_left), 1) if offer and job.boosted_grants_left else (offer, 0)

    def raise_start_limit(self, job: Job, count: int, now: float) -> None:
        mark = min(job.spec.tasks, job.next_index + count + constants.START_LIMIT_AHEAD)
        if mark > job.wanted_start_limit:
            job.wanted_start_limit = mark
            job.mark_dirty(now)

    def on_task_request(self, label: str, take: TaskRequest, now: float, entitled: bool) -> None:
        job = self.jobs.get(take.job)
        tasks: list[tuple[int, int]] = []
        # Asked for some moments ago: its hours may have closed since.
        shut = job is not None and self.calendars is not None and not self.calendars.may_start(job.spec)
        if job is not None and entitled and not job.is_blocked and not shut:
            count = min(take.count, job.room_in(take.zone), self._team_room(job))
            runs = []
            while len(tasks) < count:
                index = job.next_task(now)
                if index is None:
                    break
                attempt = self._attempt(job)
                run = TaskRun(take.machine, take.zone, attempt, 0, TaskState.GRANTED, now)
                job.grant(index, run)
                self.jobs_by_machine.setdefault(run.machine, set()).add(job.spec.id)
                runs.append(run)
                log.debug("task=%s/%d state=granted machine=%s", job.spec.id, index, take.machine)
                tasks.append((index, attempt))
            seq = self.send(label, TaskGrant(take.request_id, take.job, take.machine, tasks))
            if runs:
                job.last_grant_at, job.boosted_grants_left = now, max(0, job.boosted_grants_left - len(runs))
            for run in runs:
                run.seq = seq
            return
        self.send(label, TaskGrant(take.request_id, take.job, take.machine, tasks))

    def _attempt(self, job: Job) -> int:
        """A number never used before; tasks of a gang find each other by a common one."""
        if job.spec.gang and job.runs:
            return next(iter(job.runs.values())).attempt
        self.attempts += 1
        return (self.fencing_token << 24) + self.attempts

    def _team_room(self, job: Job) -> int:
        if not self.usage.limited(job.spec.team):
            return job.spec.tasks
        return self.usage.room(job.spec.team, self.tally.teams.get(job.spec.team, (0.0, 0.0)), job.spec)

    # -- reports -----------------------------------------------------------

    def on_task_report(self, label: str, seen: MachineTaskReport, now: float) -> None:
        """A part's proof of what is, and what is not, on one machine."""
        present = set()
        jobs, machine = self.jobs, seen.machine
        for task in seen.tasks:
            name, index = task.job, task.index
            present.add((name, index))
            state = LIVE_TASK_STATES.get(task.status)
            if state is not None:
                job = jobs.get(name)
                run = job.runs.get(index) if job is not None else None
                if (
                    run is not None
                    and run.attempt == task.attempt
                    and run.machine == machine
                    and job.state is JobState.ACTIVE
                ):
                    job.progress(index, state)  # what nearly all tell: live, and known HERE; see the table
                    continue
            self._apply_task_report(label, seen, task, now)
        for name, index, attempt in seen.pending:
            present.add((name, index))
            job = self.jobs.get(name)
            if job is not None and index not in job.runs:  # ordered under an older view, by a part that went on
                self._apply_action(
                    label,
                    seen,
                    TaskStatusReport(name, index, attempt, "granted", None),
                    job,
                    ObservedState.ORDERED,
                    now,
                )
        here = self.jobs_by_machine.get(machine)
        for name in list(here or ()):
            job = jobs.get(name)
            there = job.tasks_by_machine.get(machine) if job is not None else None
            if there is None:
                here.discard(name)
                continue
            for index in [*there]:
                if (name, index) not in present and job.runs[index].seq <= seen.processed_seq:
                    job.requeue(index)
        if here is not None and not here:
            del self.jobs_by_machine[machine]
        if self.barrier.remove(seen.machine):
            if not self.barrier:
                log.info("barrier state=lifted fencing_token=%d", self.fencing_token)
            self._release_inherited()

    def _apply_task_report(self, label: str, seen: MachineTaskReport, task: TaskStatusReport, now: float) -> None:
        job = self.jobs.get(task.job)
        if task.status != "ended":
            told = ObservedState.LIVE
        elif task.cause == "done" and (job is None or not job.spec.service):
            told = ObservedState.DONE
        else:
            told = ObservedState.ERROR if task.cause == "error" else ObservedState.STOPPED
        self._apply_action(label, seen, task, job, told, now)

    @staticmethod
    def recorded_state(job: Job | None, index: int, machine: str, attempt: int) -> RecordedState:
        """What is known here of a task, as the table of squaring asks for one attempt on one machine."""
        if job is None:
            return RecordedState.UNKNOWN_JOB
        run = job.runs.get(index)
        if run is not None:
            if run.machine != machine:
                return RecordedState.ELSEWHERE
            if run.attempt != attempt:
                return RecordedState.OTHER_ATTEMPT
            return RecordedState.HERE if job.state is JobState.ACTIVE else RecordedState.JOB_ENDED_HERE
        if index in job.done:
            # While a transaction is under way nothing lags; what it is to tell the store is still to be cleared.
            on_its_way = (
                job.dirty_since is not None or bool(job.unacknowledged_results) or job.state is not job.stored_state
            )
            return RecordedState.RESULT_UNSTORED if on_its_way else RecordedState.RESULT_STORED
        if job.state is not JobState.ACTIVE:
            return RecordedState.JOB_ENDED
        return RecordedState.POSSIBLY_HERE if index in job.unknown else RecordedState.WAITING

    def _apply_action(
        self,
        label: str,
        seen: MachineTaskReport,
        task: TaskStatusReport,
        job: Job | None,
        told: ObservedState,
        now: float,
    ) -> None:
        """What the table says of the task on that machine, done."""
        what = reconcile(self.recorded_state(job, task.index, seen.machine, task.attempt), told)
        index, attempt = task.index, task.attempt
        if job is not None:
            if what is Action.PROGRESS or what is Action.PROGRESS_AND_STOP:
                job.progress(index, LIVE_TASK_STATES.get(task.status, TaskState.RUNNING))
            elif what is Action.ADOPT or what is Action.ADOPT_AND_STOP:
                job.adopt(index, self._run(seen, task, now))
                self.jobs_by_machine.setdefault(seen.machine, set()).add(task.job)
            elif what is Action.FINISH:
                # Cleared only when the store holds the result.
                job.finish_task(index, now)
                job.unacknowledged_results[(seen.machine, index, attempt)] = None
            elif what is Action.FAIL_AND_ACKNOWLEDGE:
                job.fail_task(index, now)
            elif what is Action.REQUEUE_AND_ACKNOWLEDGE:
                job.requeue(index)
        if _ACKNOWLEDGES[what]:
            self.send(label, AcknowledgeFinished(seen.machine, task.job, index, attempt))
        elif _STOPS[what]:
            self.send(label, StopTask(seen.machine, task.job, index, attempt, 0.0))

    @staticmethod
    def _run(seen: MachineTaskReport, task: TaskStatusReport, now: float) -> TaskRun:
        state = TaskState.GRANTED if task.status == "granted" else LIVE_TASK_STATES.get(task.status, TaskState.RUNNING)
        return TaskRun(seen.machine, seen.zone, task.attempt, 0, state, now)

    # -- users -------------------------------------------------------------

    def stop_all(self, job: Job) -> None:
        """The store holds the withdrawal: stop what runs."""
        for index, run in job.runs.items():
            self.send(self.machine_owner(run.machine), StopTask(run.machine, job.spec.id, index, run.attempt, 0.0))

    def stop_closed(self) -> None:
        """At closing, for classes that say so: what runs saves and waits for the next opening."""
        kept = set()
        for job in self.jobs.values() if self.calendars is not None else ():
            if not job.runs or job.state is not JobState.ACTIVE or not self.calendars.to_stop(job.spec):
                continue
            fresh = 0
            for index, run in job.runs.items():
                key = (job.spec.id, index, run.attempt)
                kept.add(key)
                if key not in self.stopping_at_closing:
                    fresh += 1
                    self.send(self.machine_owner(run.machine), StopTask(run.machine, *key, job.spec.save_s))
            if fresh:
                log.info("job=%s state=stopping cause=closing tasks=%d", job.spec.id, fresh)
        self.stopping_at_closing = kept

    # -- records -----------------------------------------------------------

    def may_end(self, job: Job) -> bool:
        """An inherited job ends in the store only when its earlier home no longer answers for it; see ``settle``."""
        return self.settled or not job.inherited

    def due_writes(self, now: float) -> Iterator[tuple[float, Job]]:
        """Jobs whose record lags, most urgent first: ends, then marks, then progress.

        ``due_at`` is then when the first of the others is due, if nothing changes before.
        """
        self.tally.changed = False
        self.due_at = math.inf
        lagging = self.tally.lagging
        for job in sorted(lagging.values(), key=lambda job: job.arrival_number):
            if job.has_full_record and job.stored_state is not JobState.ACTIVE and not job.on_machines:
                yield (3.0, job)  # nothing of it is left: its record shrinks
            elif job.dirty_since is not None:
                if job.state is not job.stored_state and self.may_end(job):
                    # Nobody waits for the end of a job that one before it took along: it goes behind submissions.
                    yield (2.0 if job.is_blocked and not job.end_awaited else 0.0, job)
                elif job.wanted_start_limit > job.start_limit:
                    yield (1.0, job)
                elif now - job.last_write >= constants.PROGRESS_WRITE_S:
                    yield (2.0 + job.last_write * 1e-9, job)
                else:
                    self.due_at = min(self.due_at, job.last_write + constants.PROGRESS_WRITE_S)
            elif not job.has_full_record or job.stored_state is JobState.ACTIVE:
                del lagging[job.spec.id]  # the next change puts it back

    def on_written(
        self, job: Job, record: Record, revision: int, cleared: list[tuple[str, int, int]], now: float
    ) -> None:
        """The store holds ``record``, which counts the results in ``cleared``."""
        job.revision = revision
        job.last_write = now
        job.start_limit = max(job.start_limit, record.start_limit)
        if record.state is not JobState.ACTIVE and job.stored_state is JobState.ACTIVE:
            job.stored_state = record.state
            if record.state is JobState.ABORTED:
                self.stop_all(job)
        job.has_full_record = record.spec is not None
        for key in cleared:
            machine, index, attempt = key
            job.unacknowledged_results.pop(key, None)
            self.send_deferred(self.machine_owner(machine), AcknowledgeFinished(machine, job.spec.id, index, attempt))
        job.dirty_since = now if job.unacknowledged_results or job.state is not job.stored_state else None
        if job.dirty_since is not None or job.stored_state is not JobState.ACTIVE:
            self.tally.lagging[job.spec.id] = job
        if job.wanted_start_limit > job.start_limit:
            job.mark_dirty(now)
