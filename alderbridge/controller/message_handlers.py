"""Handlers of the messages between members."""

from __future__ import annotations

from alderbridge.controller.effects import Effects
from alderbridge.controller.machine_records import MachineRecordTracker
from alderbridge.controller.messenger import Handler, Messenger
from alderbridge.controller.preemption_round import PreemptionRound
from alderbridge.controller.queue_inbox import QueueInbox
from alderbridge.controller.queue_round import QueueRound
from alderbridge.controller.state import ControllerState
from alderbridge.jobs.shard import JobShard
from alderbridge.leader.leader import Leader
from alderbridge.machines.shard import MachineShard
from alderbridge.protocol import messages


class MessageHandlers:
    """One handler for each type of message, called with the sender's label and the message."""

    def __init__(
        self,
        state: ControllerState,
        effects: Effects,
        messenger: Messenger,
        job_shard: JobShard,
        machine_shard: MachineShard,
        machine_records: MachineRecordTracker,
        leader: Leader,
        preemption: PreemptionRound,
        queue_inbox: QueueInbox,
        queue_round: QueueRound,
    ) -> None:
        """The components that messages are delegated to."""
        self.state = state
        self.effects = effects
        self.messenger = messenger
        self.job_shard = job_shard
        self.machine_shard = machine_shard
        self.machine_records = machine_records
        self.leader = leader
        self.ledger = leader.replica.ledger
        self.preemption = preemption
        self.queue_inbox = queue_inbox
        self.queue_round = queue_round
        self.write_rate_limit = queue_inbox.write_rate_limit

    def by_type(self) -> dict[type[messages.Message], Handler]:
        """The table of handlers for ``Messenger``; other types of messages are ignored."""
        return {
            messages.MachineTaskReport: self._on_task_report,
            messages.AcknowledgeFinished: self._on_acknowledge_finished,
            messages.TaskRequest: self._on_task_request,
            messages.TaskGrant: self._on_task_grant,
            messages.QueueSnapshot: self.queue_inbox.on_queue_snapshot,
            messages.QueueDelta: self.queue_inbox.on_queue_delta,
            messages.TeamUsageDelta: self.leader.on_team_changes,
            messages.PeerStatus: self._on_peer_status,
            messages.MachineSummaries: self._on_machine_summaries,
            messages.StopTask: self._on_stop_task,
            messages.QuotaAllocation: self._on_quota_allocation,
            messages.QuotaDelta: self._on_quota_delta,
            messages.DrainMachines: self._on_drain_machines,
            messages.MachinesTerminated: self._on_machines_terminated,
            messages.ListMachineTasks: self._on_list_machine_tasks,
            messages.GpuReservation: self._on_gpu_reservation,
            messages.MachineTaskList: self._on_machine_task_list,
            messages.JobQuery: self._on_job_query,
            messages.JobQueryReply: self._on_job_query_reply,
        }

    def _on_task_report(self, label: str, report: messages.MachineTaskReport) -> None:
        self.job_shard.task_reports.on_task_report(label, report, self.state.now)

    def _on_acknowledge_finished(self, label: str, finished: messages.AcknowledgeFinished) -> None:
        self.machine_shard.on_acknowledge_finished(finished.machine, finished.job, finished.index, finished.attempt)

    def _on_task_request(self, label: str, request: messages.TaskRequest) -> None:
        self.job_shard.grants.on_task_request(label, request, self.state.now, self.state.may_act())
        self.queue_round.publisher.delta_tracker.resend_row(label, request.job)

    def _on_task_grant(self, label: str, grant: messages.TaskGrant) -> None:
        machine = self.machine_shard.on_task_grant(label, grant, self.state.now)
        if machine is not None and not machine.reserved:
            self.effects.notifications.append(machine)

    def _on_peer_status(self, label: str, status: messages.PeerStatus) -> None:
        self.write_rate_limit.record_peer_rate(label, status.changes, self.state.now)

    def _on_machine_summaries(self, label: str, summaries: messages.MachineSummaries) -> None:
        self.leader.on_machine_summaries(label, summaries, self.state.now)

    def _on_stop_task(self, label: str, stop: messages.StopTask) -> None:
        self.machine_shard.on_stop_task(stop)

    def _on_quota_allocation(self, label: str, allocation: messages.QuotaAllocation) -> None:
        self.job_shard.usage.allocate(allocation.teams)

    def _on_quota_delta(self, label: str, delta: messages.QuotaDelta) -> None:
        self.job_shard.usage.allocate(delta.teams, whole=False)

    def _on_drain_machines(self, label: str, drain: messages.DrainMachines) -> None:
        self.machine_shard.drain(drain.machines)

    def _on_machines_terminated(self, label: str, terminated: messages.MachinesTerminated) -> None:
        self.machine_records.to_drop += self.machine_shard.on_terminated(terminated.machines)

    def _on_list_machine_tasks(self, label: str, request: messages.ListMachineTasks) -> None:
        policies = self.preemption.policies()
        tasks = self.machine_shard.claims.machine_tasks(
            self.state.now, self.ledger.entries, lambda spec: any(policy.is_reported(spec) for policy in policies)
        )
        self.messenger.send_unreliable(label, messages.MachineTaskList(tasks, True))

    def _on_gpu_reservation(self, label: str, reservation: messages.GpuReservation) -> None:
        self.preemption.on_gpu_reservation(reservation)

    def _on_machine_task_list(self, label: str, tasks: messages.MachineTaskList) -> None:
        self.preemption.planner.on_task_list(label, tasks, self.state.now)

    def _on_job_query(self, label: str, query: messages.JobQuery) -> None:
        self.effects.queries.append((label, query))

    def _on_job_query_reply(self, label: str, reply: messages.JobQueryReply) -> None:
        self.effects.query_replies.append(reply)
