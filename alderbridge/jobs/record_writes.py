"""Selects the job records that are due to be written, and applies the outcome of the writes."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from alderbridge import constants
from alderbridge.jobs.job import Job
from alderbridge.jobs.record import JobState, Record
from alderbridge.jobs.usage_tally import UsageTally
from alderbridge.protocol.messages import AcknowledgeFinished, Message, StopTask

# Ranks of due records: lower ones are written first. Users or grants wait for those below ``PROGRESS_RANK``.
END_RANK = 0.0
START_LIMIT_RANK = 1.0
PROGRESS_RANK = 2.0
SHRINK_RANK = 3.0
PROGRESS_AGE_WEIGHT = 1e-9  # rank per second: orders progress records by the time of their last write


class RecordWrites:
    """Tracks which jobs of a shard have a stored record that is out of date."""

    def __init__(
        self,
        tally: UsageTally,
        send: Callable[[str, Message], int],
        send_deferred: Callable[[str, Message], int],
        machine_owner: Callable[[str], str],
        may_end: Callable[[Job], bool],
    ) -> None:
        """``send_deferred``: for messages that may be batched later; ``may_end``: whether a job's end may be stored."""
        self.tally = tally
        self.send = send
        self.send_deferred = send_deferred
        self.machine_owner = machine_owner
        self.may_end = may_end
        self.due_at = 0.0  # when the next record is due; set by ``due``

    def due(self, now: float) -> Iterator[tuple[float, Job]]:
        """Yield (rank, job) for each job whose record is due; lower ranks are more urgent.

        Afterwards, ``due_at`` is the earliest time at which another record is due if no job changes before.
        """
        self.tally.changed = False
        self.due_at = math.inf
        lagging = self.tally.lagging
        for job in sorted(lagging.values(), key=lambda job: job.arrival_number):
            if job.has_full_record and job.stored_state is not JobState.ACTIVE and not job.on_machines:
                yield (SHRINK_RANK, job)  # the spec can be dropped from the record
            elif job.dirty_since is not None:
                if job.state is not job.stored_state and self.may_end(job):
                    # Unless a client waits for it, the end of a cascade-aborted job is written after submissions.
                    yield (PROGRESS_RANK if job.is_blocked and not job.end_awaited else END_RANK, job)
                elif job.requested_start_limit > job.start_limit:
                    yield (START_LIMIT_RANK, job)
                elif now - job.last_written_at >= constants.PROGRESS_WRITE_INTERVAL_S:
                    yield (PROGRESS_RANK + job.last_written_at * PROGRESS_AGE_WEIGHT, job)
                else:
                    self.due_at = min(self.due_at, job.last_written_at + constants.PROGRESS_WRITE_INTERVAL_S)
            elif not job.has_full_record or job.stored_state is JobState.ACTIVE:
                del lagging[job.spec.id]  # the next change adds it again

    def on_written(
        self, job: Job, record: Record, revision: int, results: list[tuple[str, int, int]], now: float
    ) -> None:
        """``record`` is stored and includes ``results``: (machine, index, attempt) of finished tasks."""
        job.revision = revision
        job.last_written_at = now
        job.start_limit = max(job.start_limit, record.start_limit)
        if record.state is not JobState.ACTIVE and job.stored_state is JobState.ACTIVE:
            job.stored_state = record.state
            if record.state is JobState.ABORTED:
                self.stop_aborted_job(job)
        job.has_full_record = record.spec is not None
        self._acknowledge(job, results)
        job.dirty_since = now if job.unacknowledged_results or job.state is not job.stored_state else None
        if job.dirty_since is not None or job.stored_state is not JobState.ACTIVE:
            self.tally.lagging[job.spec.id] = job
        if job.requested_start_limit > job.start_limit:
            job.mark_dirty(now)

    def _acknowledge(self, job: Job, results: list[tuple[str, int, int]]) -> None:
        """Acknowledge stored results, so that the workers may drop them."""
        for key in results:
            machine, index, attempt = key
            job.unacknowledged_results.pop(key, None)
            self.send_deferred(self.machine_owner(machine), AcknowledgeFinished(machine, job.spec.id, index, attempt))

    def stop_aborted_job(self, job: Job) -> None:
        """Stop all tasks of a job that is stored as aborted."""
        for index, run in job.runs.items():
            self.send(self.machine_owner(run.machine), StopTask(run.machine, job.spec.id, index, run.attempt, 0.0))
