"""Queue rows of a job shard: its waiting jobs, and how many of their tasks it would grant now."""

from __future__ import annotations

from collections.abc import Callable, Container

from alderbridge import constants
from alderbridge.jobs.job import Job
from alderbridge.jobs.job_calendars import JobCalendars
from alderbridge.jobs.quota_usage import QuotaUsage
from alderbridge.jobs.record import JobState
from alderbridge.protocol.messages import QueueRow
from alderbridge.protocol.wire import JobSpec

# Values of ``QueueRow.priority_boost``.
NO_BOOST = 0
BOOST_IN_PRIORITY = 1  # first among the jobs of its priority
BOOST_STARVED = 2  # before all jobs that are not guaranteed


class JobQueue:
    """Builds the queue rows of a shard's jobs."""

    def __init__(self, jobs: dict[str, Job], usage: QuotaUsage, job_calendars: JobCalendars) -> None:
        """``jobs``: the dict of the shard, which updates it."""
        self.jobs = jobs
        self.usage = usage
        self.job_calendars = job_calendars

    def rows(
        self,
        now: float,
        due_in: Callable[[Job, float, bool], tuple[float, bool]],
        run_time: Callable[[JobSpec], float],
        rank: Callable[[JobSpec], int],
        guaranteed_jobs: Container[str],
        used: dict[str, tuple[float, float]],
    ) -> list[QueueRow]:
        """Rows of the jobs with waiting or inherited tasks, the most urgent first, at most ``MAX_QUEUE_ROWS``.

        ``due_in``: seconds until a job breaches its maximum queue time, and whether it has missed all of them.
        ``run_time``: expected run time in seconds. ``rank``: highest rank of a job's dependents.
        """
        rows = []
        self.job_calendars.refresh(now)
        closed, quota_tasks = self.job_calendars.closed, self.usage.remaining_tasks
        for job in self.jobs.values():
            if job.is_blocked or job.state is not JobState.ACTIVE or now < job.paused_until:
                continue
            spec, waiting, inherited = job.spec, job.waiting, job.inherited_tasks.count
            if not (waiting or inherited) or spec.id in closed:
                continue
            may_grant, zone = job.allowed_zone()
            offer = min(waiting, quota_tasks(spec.team, used.get(spec.team, (0.0, 0.0)), spec))
            ready = job.requeued.count + max(0, min(job.start_limit, spec.tasks) - job.next_index)
            if ready < offer:
                job.raise_start_limit(offer, now)
                offer = ready
            due, late = due_in(job, now, guaranteed := spec.id in guaranteed_jobs)
            # Nothing is offered before ``waiting_since``. The delay counts as run time, since capacity that is
            # reserved for the job is occupied until its run ends.
            delay_s = max(0.0, job.waiting_since - now)
            offer, boost = self._priority_boost(job, now, offer if may_grant and delay_s <= 0 else 0, late)
            run_s, waited_s, dependents_rank = run_time(spec) + delay_s, now - job.waiting_since, rank(spec)
            rows.append(
                QueueRow(
                    spec.id,
                    waiting,
                    offer,
                    due,
                    run_s,
                    zone,
                    waited_s,
                    late,
                    guaranteed,
                    dependents_rank,
                    inherited,
                    boost,
                )
            )
        rows.sort(key=lambda row: row.due_in_s)
        return rows[: constants.MAX_QUEUE_ROWS]

    @staticmethod
    def _priority_boost(job: Job, now: float, offer: int, late: bool) -> tuple[int, int]:
        """The number of tasks to offer, and the priority boost that keeps a large job from starving.

        A large job takes longer to start, so it becomes late earlier. Late jobs are ordered behind those in time, so
        without a boost it would wait for as long as a stream of small jobs fills the fleet. 25 of 300 tasks did so
        (tests/test_flapping.py).
        """
        if (
            offer
            and not job.has_started
            and job.waiting == job.spec.tasks
            and now - job.waiting_since >= constants.STARVATION_TIMEOUT_S
        ):
            return offer if job.spec.gang else 1, BOOST_STARVED
        if offer and late and now - job.last_grant_at >= constants.LATE_BOOST_AFTER_S and not job.boosted_grants_left:
            job.boosted_grants_left = max(1, job.spec.tasks // constants.LATE_BOOST_DIVISOR)
        if offer and job.boosted_grants_left:
            return min(offer, job.boosted_grants_left), BOOST_IN_PRIORITY
        return offer, NO_BOOST
