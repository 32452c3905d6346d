"""Records of jobs that are due to be written, and what follows once they are."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from alderbridge import constants
from alderbridge.jobs.job import Job
from alderbridge.jobs.record import JobState, Record
from alderbridge.jobs.usage_tally import UsageTally
from alderbridge.protocol.messages import AcknowledgeFinished, Message, StopTask

# Ranks of a due record: lower ones are written first; below ``PROGRESS_RANK`` users or grants wait for it.
END_RANK = 0.0
START_LIMIT_RANK = 1.0
PROGRESS_RANK = 2.0
SHRINK_RANK = 3.0
PROGRESS_AGE_WEIGHT = 1e-9  # rank per second of the last write's time: of progress records, the oldest goes first


class RecordWrites:
    """Which jobs of a shard have a record that lags behind their state."""

    def __init__(
        self,
        tally: UsageTally,
        send: Callable[[str, Message], int],
        send_deferred: Callable[[str, Message], int],
        machine_owner: Callable[[str], str],
        may_end: Callable[[Job], bool],
    ) -> None:
        """``send_deferred``: for messages that may wait for others; ``may_end``: whether a job's end may be stored."""
        self.tally = tally
        self.send = send
        self.send_deferred = send_deferred
        self.machine_owner = machine_owner
        self.may_end = may_end
        self.due_at = 0.0  # see ``due``

    def due(self, now: float) -> Iterator[tuple[float, Job]]:
        """(rank, job) of jobs whose record lags: lower ranks are more urgent.

        ``due_at`` is then when the first of the others is due, if nothing changes before.
        """
        self.tally.changed = False
        self.due_at = math.inf
        lagging = self.tally.lagging
        for job in sorted(lagging.values(), key=lambda job: job.arrival_number):
            if job.has_full_record and job.stored_state is not JobState.ACTIVE and not job.on_machines:
                yield (SHRINK_RANK, job)  # none of its tasks is on a machine: its record shrinks
            elif job.dirty_since is not None:
                if job.state is not job.stored_state and self.may_end(job):
                    # Nobody waits for the end of a cascade-aborted job: it goes behind submissions.
                    yield (PROGRESS_RANK if job.is_blocked and not job.end_awaited else END_RANK, job)
                elif job.requested_start_limit > job.start_limit:
                    yield (START_LIMIT_RANK, job)
                elif now - job.last_write >= constants.PROGRESS_WRITE_S:
                    yield (PROGRESS_RANK + job.last_write * PROGRESS_AGE_WEIGHT, job)
                else:
                    self.due_at = min(self.due_at, job.last_write + constants.PROGRESS_WRITE_S)
            elif not job.has_full_record or job.stored_state is JobState.ACTIVE:
                del lagging[job.spec.id]  # the next change puts it back

    def on_written(
        self, job: Job, record: Record, revision: int, results: list[tuple[str, int, int]], now: float
    ) -> None:
        """The store holds ``record``, which counts ``results``: (machine, index, attempt) of finished tasks."""
        job.revision = revision
        job.last_write = now
        job.start_limit = max(job.start_limit, record.start_limit)
        if record.state is not JobState.ACTIVE and job.stored_state is JobState.ACTIVE:
            job.stored_state = record.state
            if record.state is JobState.ABORTED:
                self.stop_all(job)
        job.has_full_record = record.spec is not None
        self._acknowledge(job, results)
        job.dirty_since = now if job.unacknowledged_results or job.state is not job.stored_state else None
        if job.dirty_since is not None or job.stored_state is not JobState.ACTIVE:
            self.tally.lagging[job.spec.id] = job
        if job.requested_start_limit > job.start_limit:
            job.mark_dirty(now)

    def _acknowledge(self, job: Job, results: list[tuple[str, int, int]]) -> None:
        """Stored results: the workers may forget them."""
        for key in results:
            machine, index, attempt = key
            job.unacknowledged_results.pop(key, None)
            self.send_deferred(self.machine_owner(machine), AcknowledgeFinished(machine, job.spec.id, index, attempt))

    def stop_all(self, job: Job) -> None:
        """The store holds the job's abort: stop its tasks."""
        for index, run in job.runs.items():
            self.send(self.machine_owner(run.machine), StopTask(run.machine, job.spec.id, index, run.attempt, 0.0))
