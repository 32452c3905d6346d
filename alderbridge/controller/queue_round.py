"""What this member publishes of its queue in each round. Pure."""

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
        """``teams`` have the guarantees."""
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
        self.guaranteed_at = float("-inf")  # when it was last computed which jobs are guaranteed
        self.guaranteed_jobs: set[str] = set()

    def snapshot(self, now: float) -> QueueState:
        """This job shard's queue and sums as they stand."""
        used = self.job_shard.usage.used(now)
        if now - self.guaranteed_at >= constants.GUARANTEE_REFRESH_S:
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
        """Publish the queue to the members, and to whoever is none that this process is alive."""
        membership, failure_detector = self.membership, self.membership.failure_detector
        links = {label: self.messenger.channels[label] for label in self._subscribers()}
        status = messages.PeerStatus(
            failure_detector.unreachable_peers(), failure_detector.failed_peers(), self.write_rate_limit.reported_rate
        )
        one = PublishRound(now, membership.fencing_token, membership.view.leader, links, snapshot, status)
        for message in self.publisher.publish(one, membership.all_support(constants.VERSION_WITH_QUEUE_DELTAS)):
            if message.numbered:
                self.messenger.send(message.label, message.message)
            else:
                self.messenger.send_unreliable(message.label, message.message)
        for label in self.messenger.channels:
            if label not in links:
                self.messenger.send_unreliable(label, messages.KeepAlive())

    def _subscribers(self) -> list[str]:
        """The other members of the view; without older processes in a member's place once deltas are published."""
        others = [label for label in self.messenger.channels if label in self.membership.view.members]
        if self.publisher.form is QueueFormat.WHOLE_QUEUES:
            return others
        return [
            label
            for label in others
            if self.membership.protocol_versions.get(label, 0) >= constants.VERSION_WITH_QUEUE_DELTAS
        ]

    def jobs_within_guarantee(self) -> set[str]:
        """Jobs that fit their team's guarantee along with the team's earlier unfinished jobs, on any shard."""
        room = {team.name: (team.cpus, team.gpus) for team in self.teams if team.cpus > 0 or team.gpus > 0}
        result: set[str] = set()
        if not room:
            return result
        active, left, waiting, jobs = self.replica.active, self.replica.left, self.graph.nodes, self.job_shard.jobs
        gate = self.calendars.gate
        warm: list[tuple[float, str]] = []  # closed, about to open: what is left then, so that the leader can tell
        for at, name in itertools.chain(self.replica.oldest_first(), warm):
            known = active.get(name)
            if known is None:
                continue
            spec = known[0].spec
            assert spec is not None  # the replica has active jobs with theirs
            free = room.get(spec.team)
            # what waits for others holds no part of the guarantee
            if free is None or known[0].state is not JobState.ACTIVE or (name in waiting and self.graph.waiting(name)):
                continue
            if gate is not None and at != NEVER and not (opening := gate.eligibility(spec)).may_start:
                if opening.warm:
                    warm.append((NEVER, name))
                continue  # nor does what waits for its calendar
            mine = jobs.get(name)
            tasks = left[name] if mine is None else spec.tasks - mine.done.count
            cpus, gpus = free[0] - tasks * spec.cpus, free[1] - tasks * spec.gpus
            if cpus >= -1e-9 and gpus >= -1e-9:
                room[spec.team] = (cpus, gpus)
                result.add(name)
            else:
                del room[spec.team]  # the team's later jobs lie beyond its guarantee as well
                if not room:
                    break
        return result
