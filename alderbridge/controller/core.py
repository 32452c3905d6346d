"""The pure whole of a controller: home, part, leader, view, channels, records.

It does no I/O and takes time as an argument, so that random runs can drive
several of them against a simulated store, simulated workers and a bad network.
``controller`` moves what it leaves in ``outgoing``, ``questions``, ``replies``
and ``news``, and carries out what ``next_batch``, ``membership.next_view`` and
``leader.decide`` ask for.
"""

from __future__ import annotations

import itertools
import logging
from collections.abc import Callable, Iterable
from random import Random
from typing import TYPE_CHECKING

import msgspec

from alderbridge import constants
from alderbridge.calendars.timetable import NEVER
from alderbridge.configuration import Declarations, Declared
from alderbridge.controller.batch_results import BatchResults
from alderbridge.controller.calendar_control import CalendarControl
from alderbridge.controller.dependency_tracker import DependencyTracker
from alderbridge.controller.effects import Effects, JobEndStored
from alderbridge.controller.job_directory import JobDirectory
from alderbridge.controller.job_queries import JobQueries
from alderbridge.controller.machine_records import MachineRecords
from alderbridge.controller.messenger import Handler, Messenger
from alderbridge.controller.queue_times import QueueTimes
from alderbridge.controller.record_writer import RecordWriter
from alderbridge.controller.state import ControllerState
from alderbridge.controller.submissions import Submission, Submissions
from alderbridge.controller.write_batch import WriteBatch
from alderbridge.jobs.shard import Job, JobShard, JobState, Record
from alderbridge.leader.leader import Leader
from alderbridge.machines.shard import Machine, MachineShard
from alderbridge.membership.view import Membership, MemberStatus, View
from alderbridge.preemption import Teams
from alderbridge.preemption.desk import Desk, Source
from alderbridge.priorities import Rules, Text
from alderbridge.protocol import messages, wire
from alderbridge.queues import Form, OfferBook, QueuePublisher, Round, SenderClock, Snapshot
from alderbridge.scheduling import placement
from alderbridge.settings import Platform, Tuning
from alderbridge.state.replica import Replica
from alderbridge.state.store import JOBS, LISTS, MACHINES, MEMBERS, VIEW
from alderbridge.state.write_rate_limit import WriteRateLimit
from alderbridge.transport.channel import Channel

if TYPE_CHECKING:
    from alderbridge.lending import Lender

__all__ = ["ControllerCore", "Submission", "WriteBatch"]

log = logging.getLogger("core")


def _nothing_lent(row: messages.QueueRow, spec: wire.JobSpec) -> int:
    return 0


_record = msgspec.json.Decoder(Record)


class ControllerCore:
    def __init__(
        self,
        platform: Platform,
        tuning: Tuning,
        now: float,
        rng: Random | None = None,
        own: dict[str, Declared] | None = None,
    ) -> None:
        """``own``: what the operators' files of this process declare, by kind."""
        shared = platform.settings
        self.me = platform.label
        self.tuning, self.shared = tuning, shared
        self.labels = [self.me, *(peer.label for peer in platform.peers)]
        lease = shared.workers.lease_s
        most = shared.workers.cancel_s - lease - constants.CANCEL_SLACK_S
        ttl = min(max(constants.STORE_LEASE_TTL_S, constants.TOTAL_LEASE_S - lease), most)
        self.membership = Membership(self.me, ttl, min(constants.STORE_LEASE_TTL_S, most))
        self.effects = Effects()
        self.state = ControllerState(self.me, self.membership, now)
        self.messenger = Messenger(self.state, self.effects, [peer.label for peer in platform.peers])
        self.queue_times = QueueTimes(self.state, tuning, shared.objectives)
        self.graph = self.queue_times.graph
        self.declared = Declarations(own, ttl, self.labels)
        self.replica = Replica(self.membership, self.graph, self.declared)
        self.limits = shared.state.kept
        self.job_shard = JobShard(shared.teams, self.messenger.send, int(self.limits.value_kb * 1024))
        self.job_shard.machine_owner = self.membership.machine_owner
        self.directory = JobDirectory(self.membership, self.replica, self.job_shard)
        self.machine_shard = MachineShard(
            self.me,
            shared.workers.lease_s,
            self.messenger.send,
            self.directory.spec_of,
            self.directory.job_owner,
            rng or Random(platform.label),
        )
        self.machine_shard.processed_seq_of = self.messenger.processed_seq_of
        self.machine_records = MachineRecords(self.replica, self.machine_shard)
        self.machine_shard.cancelled, self.machine_shard.keep_record = (
            self.directory.cancelled,
            self.machine_records.keep,
        )
        self.machine_shard.send_deferred = self.job_shard.send_deferred = self.messenger.send_deferred
        self.calendars = CalendarControl(
            self.state, self.declared, self.job_shard, self.machine_shard, self.queue_times.rank, shared.skew_ms
        )
        self.dependencies = DependencyTracker(self.state, self.graph, self.replica, self.job_shard)
        self.submissions = Submissions(
            self.state, self.replica, self.job_shard, self.dependencies, self.effects.notifications.append
        )
        self.job_queries = JobQueries(
            self.state, self.replica, self.job_shard, self.directory, self.dependencies, self.graph
        )
        self.busy: placement.Busy | None = None  # made when first asked for in a round
        self.reserved_machine: tuple[str, float] = (
            "",
            float("-inf"),
        )  # machine whose room is kept, and when last for something
        self.leader = Leader(
            shared.teams, shared.zones, tuning, self.replica, shared.cloud.list_lag_s, shared.workers.lease_s
        )
        self.ledger, self.preemption_planner = self.replica.ledger, Desk(self.leader, self.replica.ledger)
        self.priorities: Callable[[float], list[Text]] = lambda now: self.declared.in_force("priorities", now)
        self.rules = Rules([])
        self.lendings: Callable[[float], list] = lambda now: self.declared.in_force("lending", now)
        self.lender: Lender | None = None
        self.reserved_gpus: dict[
            str, float
        ] = {}  # machine -> GPUs that lending work leaves free, as the leader told last
        self.reserved_gpus_until = self.kept_at = float("-inf")
        self.claim_requests: dict[str, tuple[int, int]] = {}  # machine -> its claim's stamp, tasks asked for its room
        self.entered_lease_id = 0  # the permit under which home and part were last built
        self.types: dict[str, wire.MachineType] = {}
        self.offer_book = OfferBook(self.directory.spec_of)
        self.offers = self.offer_book.offers
        # Until a view says who else writes, all controllers share what the store takes.
        self.write_rate_limit = WriteRateLimit(self.limits.write_rps * constants.RATE_SHARE, len(self.labels), now)
        self.record_writer = RecordWriter(
            self.state,
            self.replica,
            self.declared,
            self.job_shard,
            self.machine_shard,
            self.machine_records,
            self.submissions,
            self.dependencies,
            self.write_rate_limit,
            self.limits.txn_ops,
        )
        self.batch_results = BatchResults(
            self.state,
            self.effects,
            self.messenger,
            self.replica,
            self.declared,
            self.job_shard,
            self.machine_records,
            self.submissions,
            self.dependencies,
            self.record_writer,
        )
        self.machines_reported_at = 0.0
        self.guaranteed_at, self.guaranteed_jobs = float("-inf"), set()
        self.entered_at = now  # when the view arrived here
        self.queue_publisher = QueuePublisher(self.me)
        self.sender_clocks: dict[str, SenderClock] = {}
        self.messenger.handlers = self.handlers_by_type()

    # -- small questions ---------------------------------------------------

    def may_act(self) -> bool:
        return self.state.may_act()

    # -- messages ------------------------------------------------------------

    def on_frame(self, frame: messages.Frame, now: float) -> None:
        self.state.now = now
        channel, membership = self.messenger.channels.get(frame.sender), self.membership
        if channel is None:
            return
        body = None
        if frame.fencing_token != membership.fencing_token or membership.failure_detector.accepts(frame.sender):
            if membership.status(now) is MemberStatus.OUTSIDE:
                self.state.is_member = False  # its hold is lost: its acknowledgement would count for who it was
            if self.state.is_member or isinstance(frame.body, messages.JobQuery | messages.JobQueryReply):
                body = channel.receive(frame, now)
            else:
                # What the view's members say is meant for an earlier life of this label, which acknowledgements do not
                # tell from this one. Taken, the home of that life, empty here, had the peers' machines halt all that it
                # ran, and clear results that were not stored (docs/incidents/former-life.md).
                channel.observe_view(frame)
            if frame.fencing_token == membership.fencing_token:
                self.observe_frame(frame, channel.acked_at, now)
        if body is not None:
            self.messenger.dispatch(frame.sender, body)
            self.messenger.pump()

    def observe_frame(self, frame: messages.Frame, acked_at: float, now: float) -> None:
        """A frame under this mandate: whose sender may have restarted, and know nothing of whom it had given up."""
        failure_detector = self.membership.failure_detector
        failure_detector.excluded.discard(frame.sender)
        if frame.sender_lease_id and frame.sender_lease_id == self.membership.view.members.get(frame.sender):
            failure_detector.record_frame(frame.sender, acked_at, now)
            if isinstance(frame.body, messages.QueueSnapshot | messages.PeerStatus):
                failure_detector.record_peer_report(frame.sender, frame.body.suspected, frame.body.failed)

    def handlers_by_type(self) -> dict[type[messages.Message], Handler]:
        return {
            messages.MachineTaskReport: self.on_task_report,
            messages.AcknowledgeFinished: self.on_acknowledge_finished,
            messages.TaskRequest: self.on_task_request,
            messages.TaskGrant: self.on_task_grant,
            messages.QueueSnapshot: self.on_queue,
            messages.QueueDelta: self.on_queue_changes,
            messages.TeamUsageDelta: self.leader.on_team_changes,
            messages.PeerStatus: self.on_peer_status,
            messages.MachineSummaries: self.on_machine_summaries,
            messages.StopTask: self.on_stop_task,
            messages.QuotaAllocation: self.on_quota_allocation,
            messages.QuotaDelta: self.on_quota_delta,
            messages.DrainMachines: self.on_drain_machines,
            messages.MachinesTerminated: self.on_machines_terminated,
            messages.ListMachineTasks: self.on_list_machine_tasks,
            messages.GpuReservation: self.on_gpu_reservation,
            messages.MachineTaskList: self.on_machine_task_list,
            messages.JobQuery: self.on_job_query,
            messages.JobQueryReply: self.on_job_query_reply,
        }

    def on_task_report(self, label: str, report: messages.MachineTaskReport) -> None:
        self.job_shard.on_task_report(label, report, self.state.now)

    def on_acknowledge_finished(self, label: str, finished: messages.AcknowledgeFinished) -> None:
        self.machine_shard.on_acknowledge_finished(finished.machine, finished.job, finished.index, finished.attempt)

    def on_task_request(self, label: str, request: messages.TaskRequest) -> None:
        self.job_shard.on_task_request(label, request, self.state.now, self.may_act())
        self.queue_publisher.delta_tracker.tell_again(label, request.job)

    def on_task_grant(self, label: str, grant: messages.TaskGrant) -> None:
        machine = self.machine_shard.on_task_grant(label, grant, self.state.now)
        if machine is not None and not machine.reserved:
            self.effects.notifications.append(machine)

    def on_peer_status(self, label: str, status: messages.PeerStatus) -> None:
        self.write_rate_limit.record_peer_rate(label, status.changes, self.state.now)

    def on_machine_summaries(self, label: str, summaries: messages.MachineSummaries) -> None:
        self.leader.on_machine_summaries(label, summaries, self.state.now)

    def on_stop_task(self, label: str, stop: messages.StopTask) -> None:
        self.machine_shard.on_stop_task(stop)

    def on_quota_allocation(self, label: str, allocation: messages.QuotaAllocation) -> None:
        self.job_shard.allocate_quota(allocation.teams)

    def on_quota_delta(self, label: str, delta: messages.QuotaDelta) -> None:
        self.job_shard.allocate_quota(delta.teams, whole=False)

    def on_drain_machines(self, label: str, drain: messages.DrainMachines) -> None:
        self.machine_shard.drain(drain.machines)

    def on_machines_terminated(self, label: str, terminated: messages.MachinesTerminated) -> None:
        self.machine_records.to_drop += self.machine_shard.on_terminated(terminated.machines)

    def on_list_machine_tasks(self, label: str, request: messages.ListMachineTasks) -> None:
        sources = self.preemption_policies()
        tasks = self.machine_shard.machine_tasks(
            self.state.now, self.ledger.entries, lambda spec: any(source.shown(spec) for source in sources)
        )
        self.messenger.send_unreliable(label, messages.MachineTaskList(tasks, True))

    def on_gpu_reservation(self, label: str, reservation: messages.GpuReservation) -> None:
        self.reserved_gpus, self.reserved_gpus_until = (
            reservation.gpus,
            self.state.now + constants.GPU_RESERVATION_TTL_S,
        )

    def on_machine_task_list(self, label: str, tasks: messages.MachineTaskList) -> None:
        self.preemption_planner.on_tasks(label, tasks, self.state.now)

    def on_job_query(self, label: str, query: messages.JobQuery) -> None:
        self.effects.queries.append((label, query))

    def on_job_query_reply(self, label: str, reply: messages.JobQueryReply) -> None:
        self.effects.query_replies.append(reply)

    def on_queue(self, label: str, queue: messages.QueueSnapshot) -> None:
        """The whole queue of a home that tells no changes."""
        self.offer_book.take_queue(label, queue, self.state.now)
        self.leader.on_queue(label, queue, self.state.now)
        if label != self.me:
            self.write_rate_limit.record_peer_rate(label, queue.changes, self.state.now)

    def on_queue_changes(self, label: str, changes: messages.QueueDelta) -> None:
        """Rows of a home's queue that are news."""
        at = self.sender_clocks.setdefault(label, SenderClock()).moment(changes.at, self.state.now)
        self.offer_book.take_changes(label, changes, at)
        if self.membership.view.leader == self.me:
            self.leader.on_queue_changes(label, changes, at)

    # -- view ------------------------------------------------------------------

    def lease_acquired(self, lease_id: int, sent_at: float, now: float) -> None:
        """This process is that incarnation; its hold counts from ``sent_at``.

        The view that has it may have arrived before the store's answer. What was built for that view was an
        outsider's: acting on it, a home without its jobs halted all their tasks and served none until the next view.
        """
        self.state.now = now
        self.membership.store_lease.record_renewal(lease_id, sent_at, now)
        if not self.state.is_member and self.membership.status(now) is not MemberStatus.OUTSIDE:
            self.enter_view(now, now + self.state.wall_offset_s)

    def apply_events(self, changes: list[wire.WatchEvent], now: float, wall: float) -> None:
        """Changes of the store, in order."""
        self.state.now, self.state.wall_offset_s = now, wall - now
        shown: list[str] = []
        for change in changes:
            if self.replica.apply(change):
                self.enter_view(now, wall)
            elif change.put is not None and change.put.startswith(JOBS):
                self.submissions.adopt_late_record(change.put[len(JOBS) :])
            elif change.put is not None and change.put.startswith(MACHINES):
                shown.append(change.put[len(MACHINES) :])
        self.observe_recorded_machines(shown)
        self.dependencies.process_events()
        self.process_configuration()

    def observe_recorded_machines(self, names: Iterable[str]) -> None:
        """Records of machines that have arrived, some of them gone again."""
        for name in names:
            if name in self.replica.machines and self.membership.machine_owner(name) == self.me:
                self.machine_shard.on_record_observed(name)

    def load(
        self, rows: list[wire.KeyValue], changes: list[wire.WatchEvent], revision: int, now: float, wall: float
    ) -> None:
        """All rows, whose pages may be of different epochs, and what followed the first of them.

        Nothing is built on the rows before the changes have caught up with them.
        """
        self.state.now, self.state.wall_offset_s = now, wall - now
        newer = False
        self.entered_lease_id = 0  # views may have passed unseen: nothing known under them holds any more
        self.replica.machines, self.replica.records = {}, {}
        self.membership.registered.clear()
        self.declared.reload()
        self.ledger.clear(revision)
        for row in sorted(rows, key=lambda row: not row.key.startswith(LISTS)):  # before the records that name them
            newer = self.replica.apply(wire.WatchEvent(put=row.key, data=row.data, revision=row.revision)) or newer
        for change in changes:
            newer = self.replica.apply(change) or newer
        self.replica.revision = revision
        if newer:
            self.enter_view(now, wall)
        # Read anew after trouble with following: what was carried out late meanwhile is among the rows, no change.
        for name in list(self.replica.active):
            self.submissions.adopt_late_record(name)
        self.observe_recorded_machines(self.replica.machines)
        self.dependencies.process_events()
        self.process_configuration()
        if not self.types:
            self.set_machine_types(self.replica.types)
        self.state.loaded = True
        log.info("replica state=loaded revision=%d jobs=%d", revision, len(self.replica.active))

    def enter_view(self, now: float, wall: float) -> None:
        """Rebuild home, part and channels for the view that has just arrived."""
        view, fencing_token = self.membership.view, self.membership.fencing_token
        members = sorted(view.members)
        log.info("view fencing_token=%d leader=%s members=%s", fencing_token, view.leader, members)
        self.entered_at = now
        inside = self.membership.status(now) is not MemberStatus.OUTSIDE
        self.messenger.enter(fencing_token, self.membership.store_lease.lease_id if inside else 0)
        self.queue_publisher.enter()
        self.offer_book.clear()
        self.sender_clocks.clear()
        continued = inside and self.state.loaded and self.entered_lease_id == self.membership.store_lease.lease_id
        old = self.job_shard.jobs if continued else {}
        self.entered_lease_id = self.membership.store_lease.lease_id if inside else 0
        self.state.is_member = inside
        jobs: dict[str, Job] = {}
        if inside:
            for name, (record, revision) in self.replica.active.items():
                if self.membership.job_owner(record.accepted_by) == self.me:
                    job = old.get(name)
                    if job is None:
                        # Every write asserts the view: what is not done here yet was not when the view changed,
                        # so nothing of a job that waits for it was ever started.
                        waits = self.graph.waiting(name)
                        job = Job(record, revision, now, max(0.0, wall - record.at), fresh=waits)
                        job.inherited = True
                        self.dependencies.apply(job)
                    elif record.state is not JobState.ACTIVE and job.stored_state is JobState.ACTIVE:
                        # A write of its end had no answer, and was carried out: others may have told it. Taken for
                        # active until the view has settled, it was written so again, with the stamp of its end.
                        job.apply_stored_end(record.state)
                        job.stored_state = record.state
                        job.mark_dirty(now)
                        self.effects.notifications.append(JobEndStored(name))
                    job.revision = max(job.revision, revision)
                    jobs[name] = job
        recorded = {name: self.replica.record(name) for name in self.replica.machines} if inside else {}
        self.job_shard.enter(fencing_token, jobs, recorded)
        mine = {name: record for name, record in recorded.items() if self.membership.machine_owner(name) == self.me}
        self.machine_shard.enter(
            fencing_token,
            members if inside else [],
            mine,
            now,
            continued,
            continued and self.membership.all_support(constants.VERSION_WITH_CARRY_OVER),
        )
        self.leader.enter(members, now)
        self.write_rate_limit.enter(len(members), now)
        self.ledger.enter()
        self.preemption_planner.enter(members)
        self.machine_records.enter()
        self.messenger.pump()

    # -- dependencies ----------------------------------------------------------

    def process_configuration(self) -> None:
        """What operators declare has arrived, or something in the store that counts can't be read here."""
        if self.declared.changed:
            self.declared.look(self.state.now)
        if self.declared.unreadable:
            self.membership.mark_unreadable()
        self.calendars.refresh()

    def next_view(self, now: float) -> tuple[View, dict[str, int], list[str]] | None:
        """The change of view to try, with the stamps to assert and the keys of members that are removed."""
        change = self.membership.next_view(now, self.record_writer.max_changes - 1) if self.state.loaded else None
        if change is None:
            return None
        view, revisions = (
            self.membership.mark_quorum_overlap(change[0], self.job_shard.settled and self.state.is_member),
            change[1],
        )
        drops = [MEMBERS + label for label, revision in revisions.items() if revision and label not in view.members]
        return (
            view,
            {VIEW: self.membership.fencing_token, **{MEMBERS + label: s for label, s in revisions.items()}},
            drops,
        )

    # -- records -------------------------------------------------------------------

    def observe_end(self, name: str, record: Record, revision: int) -> None:
        """A record that was read from the store ahead of the changes that bring it: an end is one under every view.

        Of an active one nothing is taken. It may be written under a newer view than the next that arrives here; by
        that one this member may be home to the label that accepted the job. It then told of it, and could have started
        it, beside its home (docs/incidents/read-ahead.md).
        """
        if record.state is not JobState.ACTIVE and not self.directory.knows_job(name):
            self.replica.saw_job(name, Record(record.state, done_at=record.done_at), revision)
            self.dependencies.process_events()

    # -- workers -------------------------------------------------------------------

    def on_heartbeat(self, heartbeat: wire.Heartbeat, now: float) -> Machine | None:
        """A report of a machine of this part; None where it must not be answered with 200."""
        self.state.now = now
        machine = self.machine_shard.on_heartbeat(heartbeat, now)
        self.messenger.pump()
        if machine is not None and machine.acknowledged:
            self.execute_claim(machine)
            self.place_tasks(machine, now)
        return machine

    def on_probe_answered(self, heartbeat: wire.Heartbeat, now: float) -> None:
        """What a machine of this part answered to an empty ``/commands`` under this view."""
        self.state.now = now
        if self.may_act():
            self.machine_shard.on_probe_answer(heartbeat, now)
            self.messenger.pump()

    def place_tasks(self, machine: Machine, now: float) -> None:
        """Ask homes for tasks that fit this machine."""
        candidate = self.machine_shard.candidate(machine, now)
        if candidate is None:
            return
        idle = machine.idle
        if self.ledger.entries:
            candidate = self.place_claimed(machine, candidate)

        def room_elsewhere(offer: placement.Offer) -> int:
            """An idle machine leaves young tasks to busy ones with room."""
            if not idle or now >= offer.young_until:
                return 0
            if self.busy is None:
                self.busy = self.machine_shard.busy(now)
            return self.busy.room(offer.spec)

        held = (
            self.reserved_gpus.get(machine.name, 0.0)
            if now < self.reserved_gpus_until and self.lender is not None
            else 0.0
        )
        if held:
            room_elsewhere = self.lender.leaving(candidate.free[2] - held, room_elsewhere)

        def keep(offer: placement.Offer) -> bool:
            """One machine at a time keeps its room: some slots stay empty for some seconds, whatever is waited for."""
            name, at = self.reserved_machine
            kind, zone = self.types.get(machine.type), offer.row.zone
            if (
                (name != machine.name and now - at < constants.RESERVE_IDLE_S)
                or kind is None
                or (zone is not None and zone != machine.zone)
                or not placement.allowed(offer.spec, machine.type, machine.zone, machine.spot)
                or not placement.fits(offer.spec, (kind.cpus, kind.memory_gb, kind.gpus))
            ):
                return False
            self.reserved_machine = machine.name, now
            return True

        for want in placement.fill(
            candidate, self.offers, lambda spec: self.machine_shard.fetch_s(machine, spec), room_elsewhere, keep, now
        ):
            take = self.machine_shard.reserve(machine, want.job, want.count)
            self.messenger.send(want.owner, messages.TaskRequest(take, want.job, want.machine, want.zone, want.count))
        self.messenger.pump()

    # -- claims ------------------------------------------------------------------------

    def preemption_policies(self) -> list[Source]:
        """Who may ask for others' room now; none while a member runs a version that knows no claims."""
        texts = (
            self.priorities(self.state.now) if self.membership.all_support(constants.VERSION_WITH_CONFIGURATION) else []
        )
        if texts != self.rules.texts:
            self.rules = Rules(texts)
        result: list[Source] = [self.rules] if texts else []
        lendings = (
            self.lendings(self.state.now) if self.membership.all_support(constants.VERSION_WITH_CONFIGURATION) else []
        )
        if not lendings:
            self.lender = None
        elif self.lender is None or self.lender.texts != lendings:
            from alderbridge.lending import Lender  # only here: start-up is charged

            self.lender = Lender(lendings, self.shared.teams, self.types, self.lender)
        self.leader.tasks_served_by_lending = self.lender.serves_soon if self.lender is not None else _nothing_lent
        if self.lender is not None:
            self.lender.types = self.types
            result.append(self.lender)
        return result

    def execute_claim(self, machine: Machine) -> None:
        """Halt the victims of its claim, in the answer to the report that has just come."""
        claim = self.ledger.claim_of(machine.name) if self.ledger.entries else None
        if claim is None:
            if machine.claim_stops:
                self.machine_shard.drop_claim(machine)
        elif self.state.wall() < claim.until:
            self.machine_shard.execute_claim(machine, claim.victims, claim.wind_down_s)

    def place_claimed(self, machine: Machine, candidate: placement.Candidate) -> placement.Candidate:
        """Ask for tasks of the job that a claim keeps room for; the machine with what is left for others."""
        entry = self.ledger.entries.get(machine.name)
        if entry is None or self.state.wall() >= entry.claim.until:
            return candidate
        claim, spec = entry.claim, self.directory.spec_of(entry.claim.job)
        revision, used = self.claim_requests.get(machine.name, (0, 0))
        if revision != entry.revision:
            used = 0
            if len(self.claim_requests) > 2 * len(self.ledger.entries) + constants.QUEUE_ROWS:
                self.claim_requests.clear()
        if spec is None or used >= claim.count:
            return candidate
        room = candidate.free
        for want in placement.keep(candidate, self.offers, claim.job, claim.count - used):
            take = self.machine_shard.reserve(machine, want.job, want.count)
            self.messenger.send(want.owner, messages.TaskRequest(take, want.job, want.machine, want.zone, want.count))
            used, room = used + want.count, placement.minus(room, spec, want.count)
        self.claim_requests[machine.name] = (entry.revision, used)
        return msgspec.structs.replace(candidate, free=placement.minus(room, spec, claim.count - used))

    def plan_preemptions(self, now: float) -> None:
        """The leader's look: what is over, who needs room, which tasks are to stop for it."""

        def teams() -> Teams:
            used: dict[str, tuple[float, float]] = {}
            for queue in self.leader.queues.values():
                for team, (cpus, gpus) in queue.used.items():
                    have = used.get(team, (0.0, 0.0))
                    used[team] = (have[0] + cpus, have[1] + gpus)
            return Teams(self.shared.teams, used)

        sources = self.preemption_policies()
        if self.preemption_planner.round(
            now, now + self.state.wall_offset_s, sources, teams, self.record_writer.max_changes
        ):
            for label in self.membership.view.members:
                self.messenger.send_unreliable(label, messages.ListMachineTasks())
        if self.lender is not None and now - self.kept_at >= constants.LEADER_ROUND_S and self.leader.ready(now):
            self.kept_at = now
            gpus = self.lender.keep(self.preemption_planner, now)
            if gpus or self.reserved_gpus:
                for label in self.membership.view.members:
                    self.messenger.send_unreliable(label, messages.GpuReservation(gpus))

    # -- rounds ----------------------------------------------------------------------

    def round(self, now: float) -> None:
        """What is due every fifth of a second."""
        self.state.now = now
        self.machine_shard.set_answering(now, self.may_act())
        self.calendars.refresh()
        for label in list(self.messenger.deferred):
            self.messenger.flush_deferred(label)
        if self.membership.status(now) is MemberStatus.OUTSIDE:
            for label in self.messenger.channels:
                self.messenger.send_unreliable(label, messages.KeepAlive())
            return
        self.membership.failure_detector.refresh(now)
        self.refresh_settlement(now)
        self.refresh_machines(now)
        self.write_rate_limit.refresh(now)
        self.publish_queue(now, self.queue_snapshot(now))
        self.messenger.maintain_channels(now)
        if now - self.machines_reported_at >= constants.LEADER_ROUND_S:
            self.machines_reported_at = now
            self.report_machines(now)
        if self.membership.is_leader(now):
            self.send_quota_updates(now)
            self.plan_preemptions(now)
        self.messenger.pump()

    def refresh_settlement(self, now: float) -> None:
        """Whether every member is known to act under this view, or not at all."""
        fencing_token = self.membership.fencing_token
        others = [label for label in self.membership.view.members if label != self.me]
        everyone = all(self.messenger.channels[label].peer_fencing_token >= fencing_token for label in others)
        if everyone or now > self.entered_at + self.membership.store_lease.ttl_s + constants.PROOF_MARGIN_S:
            self.machine_shard.settle(now)
            if not self.job_shard.settled:
                self.job_shard.settle()

    def refresh_machines(self, now: float) -> None:
        """Leases that have lapsed; what is known of room and offers may have changed."""
        self.machine_shard.no_newer_view_until = self.membership.synced_at
        if self.may_act():
            self.machine_shard.check_leases(now)
        self.busy = None
        self.offer_book.look()

    def queue_snapshot(self, now: float) -> Snapshot:
        """This home's queue and sums as they stand."""
        used = self.job_shard.used(now)
        if now - self.guaranteed_at >= constants.GUARANTEE_REFRESH_S:
            self.guaranteed_at, self.guaranteed_jobs = now, self.jobs_within_guarantee()
        rows = self.job_shard.queue_rows(
            now, self.queue_times.due_in, self.queue_times.run_time, self.queue_times.rank, self.guaranteed_jobs, used
        )
        if self.calendars.gate is not None and self.may_act():
            self.job_shard.stop_closed()
        return Snapshot(
            rows, used, self.job_shard.reserved(used), self.job_shard.demand(used), self.job_shard.allocations_received
        )

    def publish_queue(self, now: float, snapshot: Snapshot) -> None:
        """The members are told of the queue, and whoever is none that this process is there."""
        membership, failure_detector = self.membership, self.membership.failure_detector
        links = {label: self.messenger.channels[label] for label in self.queue_subscribers()}
        status = messages.PeerStatus(
            failure_detector.unreachable_peers(), failure_detector.failed_peers(), self.write_rate_limit.reported_rate
        )
        one = Round(now, membership.fencing_token, membership.view.leader, links, snapshot, status)
        for told in self.queue_publisher.tell(one, membership.all_support(constants.VERSION_WITH_QUEUE_DELTAS)):
            if told.numbered:
                self.messenger.send(told.label, told.message)
            else:
                self.messenger.send_unreliable(told.label, told.message)
        for label in self.messenger.channels:
            if label not in links:
                self.messenger.send_unreliable(label, messages.KeepAlive())

    def queue_subscribers(self) -> list[str]:
        """The other members of the view; but for older processes in a member's place, once changes are told."""
        others = [label for label in self.messenger.channels if label in self.membership.view.members]
        if self.queue_publisher.form is Form.WHOLE_QUEUES:
            return others
        return [
            label
            for label in others
            if self.membership.protocol_versions.get(label, 0) >= constants.VERSION_WITH_QUEUE_DELTAS
        ]

    def report_machines(self, now: float) -> None:
        """The leader is told of this part's machines, once a second."""
        leader = self.membership.view.leader
        self.machine_shard.check_silence(now)
        self.messenger.send_unreliable(
            leader, messages.MachineSummaries(self.machine_shard.summaries(now, self.queue_times.run_time))
        )
        if self.ledger.entries and self.membership.all_support(constants.VERSION_WITH_CONFIGURATION):
            self.messenger.send_unreliable(
                leader,
                messages.MachineTaskList(self.machine_shard.machine_tasks(now, self.ledger.entries, None), False),
            )

    def send_quota_updates(self, now: float) -> None:
        """New allowances, in the form that all members read."""
        by_changes = self.membership.all_support(constants.VERSION_WITH_QUEUE_DELTAS)
        for label, teams in self.leader.quota_updates(now).items():
            if by_changes:
                self.messenger.send(label, messages.QuotaDelta(teams))
            else:
                self.messenger.send(label, messages.QuotaAllocation(dict(self.leader.quota_allocator.given[label])))

    def jobs_within_guarantee(self) -> set[str]:
        """Jobs that fit their team's guarantee along with the team's earlier unfinished jobs, on any home."""
        room = {team.name: (team.cpus, team.gpus) for team in self.shared.teams if team.cpus > 0 or team.gpus > 0}
        result: set[str] = set()
        if not room:
            return result
        active, left, waiting, jobs = self.replica.active, self.replica.left, self.graph.nodes, self.job_shard.jobs
        warm: list[tuple[float, str]] = []  # closed, about to open: what is left then, so that the leader can tell
        for at, name in itertools.chain(self.replica.oldest_first(), warm):
            known = active.get(name)
            if known is None:
                continue
            spec = known[0].spec
            free = room.get(spec.team)
            # what waits for others holds no part of the guarantee
            if free is None or known[0].state is not JobState.ACTIVE or (name in waiting and self.graph.waiting(name)):
                continue
            if (
                self.calendars.gate is not None
                and at != NEVER
                and not (look := self.calendars.gate.look(spec)).may_start
            ):
                if look.warm:
                    warm.append((NEVER, name))
                continue  # nor does what waits for its hours
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

    def on_terminated(self, names: list[str], now: float) -> None:
        """The cloud has confirmed a return: everybody is told."""
        self.state.now = now
        self.leader.on_terminated(names)
        for label in self.membership.view.members:
            self.messenger.send(label, messages.MachinesTerminated(names))
        self.messenger.pump()

    def set_machine_types(self, types: dict[str, wire.MachineType]) -> None:
        self.types = self.machine_shard.types = types
        self.leader.on_types(types)

    def types_to_store(self) -> wire.MachineTypes | None:
        """The machine types, where the store has none or others; spot prices alone are no news."""
        lasting = [msgspec.structs.replace(kind, spot_price=kind.price) for kind in self.types.values()]
        known = [msgspec.structs.replace(kind, spot_price=kind.price) for kind in self.replica.types.values()]
        if not lasting or lasting == known or not self.membership.is_leader(self.state.now):
            return None
        machine_types = wire.MachineTypes(list(self.types.values()))
        return machine_types if len(msgspec.json.encode(machine_types)) < self.job_shard.value_bytes else None

    def drain_machines(self, names: list[str], now: float) -> None:
        self.state.now = now
        by_part: dict[str, list[str]] = {}
        for name in names:
            by_part.setdefault(self.membership.machine_owner(name), []).append(name)
        for label, part in by_part.items():
            self.messenger.send(label, messages.DrainMachines(part))
        self.messenger.pump()

    # -- users -------------------------------------------------------------------------

    # -- what the process calls, delegated to the owners -----------------------

    @property
    def loaded(self) -> bool:
        """Whether the replica has been read."""
        return self.state.loaded

    @property
    def channels(self) -> dict[str, Channel]:
        """The channels to the peers, by label."""
        return self.messenger.channels

    def send_unreliable(self, label: str, body: messages.Message) -> None:
        """See ``Messenger``."""
        self.messenger.send_unreliable(label, body)

    def next_batch(self, now: float) -> WriteBatch | None:
        """See ``RecordWriter``."""
        return self.record_writer.next_batch(now)

    def nothing_to_write(self) -> bool:
        """See ``RecordWriter``."""
        return self.record_writer.nothing_to_write()

    def next_write_in(self, now: float) -> float:
        """See ``RecordWriter``."""
        return self.record_writer.next_write_in(now)

    def on_batch_written(self, batch: WriteBatch, revision: int, now: float) -> None:
        """See ``BatchResults``."""
        self.batch_results.on_written(batch, revision, now)

    def on_batch_failed(self, batch: WriteBatch, now: float) -> None:
        """See ``BatchResults``."""
        self.batch_results.on_failed(batch, now)

    def on_batch_too_large(self, batch: WriteBatch, now: float) -> None:
        """See ``BatchResults``."""
        self.batch_results.on_too_large(batch, now)

    def reduce_value_limit(self, size: int) -> None:
        """See ``BatchResults``."""
        self.batch_results.reduce_value_limit(size)

    def resolve_conflict(self, batch: WriteBatch, key: str, row: wire.KeyValue | None, now: float) -> None:
        """See ``BatchResults``."""
        self.batch_results.resolve_conflict(batch, key, row, now)

    def submit(self, spec: wire.JobSpec, now: float, wall: float) -> Submission | None:
        """See ``Submissions``."""
        return self.submissions.submit(spec, now, wall)

    def refuse_submissions(self) -> None:
        """See ``Submissions.refuse_all``."""
        self.submissions.refuse_all()

    def knows_job(self, job: str) -> bool:
        """See ``JobDirectory``."""
        return self.directory.knows_job(job)

    def job_owner(self, job: str) -> str:
        """See ``JobDirectory``."""
        return self.directory.job_owner(job)

    def local_job_state(self, job: str, now: float) -> tuple[str, int, int] | None:
        """See ``JobQueries``."""
        return self.job_queries.local_job_state(job, now)

    def is_certainly_pending(self, job: str, now: float) -> bool:
        """See ``JobQueries``."""
        return self.job_queries.is_certainly_pending(job, now)

    def cancel(self, job: str, now: float) -> str | None:
        """See ``JobQueries``."""
        return self.job_queries.cancel(job, now)
