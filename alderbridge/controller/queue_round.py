"""Publishes this member's queue in each round. No I/O."""

from __future__ import annotations

import itertools
from collections.abc import Sequence

from alderbridge import constants
from alderbridge.calendars.timetable import NEVER
from alderbridge.controller.calendar_control import CalendarControl
from alderbridge.controller.messenger import Messenger
from alderbridge.controller.queue_times import QueueTimes
from alderbridge.controller.state import ControllerState
from alderbridge.jobs.record import JobState
from alderbridge.jobs.shard import JobShard
from alderbridge.protocol import messages
from alderbridge.queues import PublishRound, QueueFormat, QueuePublisher, QueueState
from alderbridge.settings import Team
from alderbridge.state.replica import Replica
from alderbridge.state.write_rate_limit import WriteRateLimit


class QueueRound:
    """Takes a snapshot of the job shard's queue and publishes it."""

    def __init__(
        self,
        state: ControllerState,
        messenger: Messenger,
        replica: Replica,
        job_shard: JobShard,
        queue_times: QueueTimes,
        calendars: CalendarControl,
        write_rate_limit: WriteRateLimit,
        teams: Sequence[Team],
    ) -> None:
        """``teams``: their guarantees decide which jobs are guaranteed."""
        self.state = state
        self.membership = state.membership
        self.messenger = messenger
        self.replica = replica
        self.job_shard = job_shard
        self.queue_times = queue_times
        self.graph = replica.graph
        self.calendars = calendars
        self.write_rate_limit = write_rate_limit
        self.teams = teams
        self.publisher = QueuePublisher(state.me)
        self.guaranteed_at = float("-inf")  # when ``guaranteed_jobs`` was last computed
        self.guaranteed_jobs: set[str] = set()

    def snapshot(self, now: float) -> QueueState:
        """This job shard's current queue, and its used, reserved and demanded resources."""
        used = self.job_shard.usage.used(now)
        if now - self.guaranteed_at >= constants.GUARANTEE_REFRESH_INTERVAL_S:
            self.guaranteed_at, self.guaranteed_jobs = now, self.jobs_within_guarantee()
        rows = self.job_shard.queue.rows(
            now, self.queue_times.due_in, self.queue_times.run_time, self.queue_times.rank, self.guaranteed_jobs, used
        )
        if self.calendars.gate is not None and self.state.may_act():
            self.job_shard.job_calendars.stop_tasks()
        return QueueState(
            rows,
            used,
            self.job_shard.usage.reserved(used),
            self.job_shard.usage.demand(used),
            self.job_shard.usage.allocations_received,
        )

    def publish(self, now: float, snapshot: QueueState) -> None:
        """Send the queue to the members, and keep-alive messages to all other controllers."""
        membership, failure_detector = self.membership, self.membership.failure_detector
        links = {label: self.messenger.channels[label] for label in self._subscribers()}
        status = messages.PeerStatus(
            failure_detector.unreachable_peers(), failure_detector.failed_peers(), self.write_rate_limit.reported_rate
        )
        publish_round = PublishRound(now, membership.fencing_token, membership.view.leader, links, snapshot, status)
        for message in self.publisher.publish(
            publish_round, membership.all_support(constants.VERSION_WITH_QUEUE_DELTAS)
        ):
            if message.numbered:
                self.messenger.send(message.label, message.message)
            else:
                self.messenger.send_unreliable(message.label, message.message)
        for label in self.messenger.channels:
            if label not in links:
                self.messenger.send_unreliable(label, messages.KeepAlive())

    def _subscribers(self) -> list[str]:
        """The other members; once deltas are published, without those whose version does not support deltas."""
        others = [label for label in self.messenger.channels if label in self.membership.view.members]
        if self.publisher.format is QueueFormat.SNAPSHOTS:
            return others
        return [
            label
            for label in others
            if self.membership.protocol_versions.get(label, 0) >= constants.VERSION_WITH_QUEUE_DELTAS
        ]

    def jobs_within_guarantee(self) -> set[str]:
        """Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs of all shards."""
        remaining = {team.name: (team.cpus, team.gpus) for team in self.teams if team.cpus > 0 or team.gpus > 0}
        result: set[str] = set()
        if not remaining:
            return result
        active, tasks_left, nodes, jobs = (
            self.replica.active_jobs,
            self.replica.remaining_tasks,
            self.graph.nodes,
            self.job_shard.jobs,
        )
        gate = self.calendars.gate
        # Jobs whose calendar is about to open get what remains after all others, so that the leader can plan for them.
        opening_soon: list[tuple[float, str]] = []
        for submitted_at, name in itertools.chain(self.replica.oldest_first(), opening_soon):
            stored = active.get(name)
            if stored is None:
                continue
            spec = stored[0].spec
            assert spec is not None  # active jobs in the replica always have their spec
            team_remaining = remaining.get(spec.team)
            # Jobs that wait for dependencies do not count against the guarantee.
            if (
                team_remaining is None
                or stored[0].state is not JobState.ACTIVE
                or (name in nodes and self.graph.waiting(name))
            ):
                continue
            if gate is not None and submitted_at != NEVER and not (opening := gate.eligibility(spec)).may_start:
                if opening.warm:
                    opening_soon.append((NEVER, name))
                continue  # nor do jobs that wait for their calendar
            local_job = jobs.get(name)
            tasks = tasks_left[name] if local_job is None else spec.tasks - local_job.done.count
            cpus, gpus = team_remaining[0] - tasks * spec.cpus, team_remaining[1] - tasks * spec.gpus
            if cpus >= -1e-9 and gpus >= -1e-9:
                remaining[spec.team] = (cpus, gpus)
                result.add(name)
            else:
                del remaining[spec.team]  # the team's later jobs are not guaranteed either
                if not remaining:
                    break
        return result
