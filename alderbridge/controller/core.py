"""The pure whole of a controller: home, part, leader, view, channels, records.

It does no I/O and takes time as an argument, so that random runs can drive
several of them against a simulated store, simulated workers and a bad network.
``controller`` moves what it leaves in ``outgoing``, ``questions``, ``replies``
and ``news``, and carries out what ``next_batch``, ``membership.next_view`` and
``leader.decide`` ask for.
"""

from __future__ import annotations

import hashlib
import itertools
import logging
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

import msgspec

from alderbridge import constants
from alderbridge.calendars.declaration import Text as Hours
from alderbridge.calendars.gate import Gate
from alderbridge.calendars.timetable import NEVER
from alderbridge.configuration import Declarations, Declared, Proposal
from alderbridge.jobs.dependencies import Graph
from alderbridge.jobs.shard import Job, JobShard, JobState, Record
from alderbridge.leader.leader import Leader
from alderbridge.machines.shard import Machine, MachineShard
from alderbridge.membership.view import Membership, MemberStatus, View
from alderbridge.preemption import Teams, Transaction
from alderbridge.preemption.desk import Desk, Source
from alderbridge.priorities import Rules, Text
from alderbridge.protocol import messages, wire
from alderbridge.queues import Form, OfferBook, QueuePublisher, Round, SenderClock, Snapshot
from alderbridge.scheduling import placement, policy
from alderbridge.settings import Platform, Tuning
from alderbridge.state.replica import Replica, list_keys
from alderbridge.state.store import JOBS, LISTS, MACHINES, MEMBERS, VIEW
from alderbridge.state.write_rate_limit import WriteRateLimit
from alderbridge.transport.channel import Channel

if TYPE_CHECKING:
    from alderbridge.lending import Lender

log = logging.getLogger("core")


def _nothing_lent(row: messages.QueueRow, spec: wire.JobSpec) -> int:
    return 0


_record = msgspec.json.Decoder(Record)


def beside(record: Record, room: int) -> tuple[Record, dict[str, list[str]]]:
    """The record without what its job waits for, and that as lists that fit one value each."""
    assert record.spec is not None and record.spec.needs is not None
    needs = sorted(record.spec.needs)
    each = max(1, (room - 2) // (max(map(len, needs)) + 3))
    count = -(-len(needs) // each)
    more = f"{hashlib.blake2b(' '.join(needs).encode(), digest_size=8).hexdigest()}/{count}"
    parts = [needs[at : at + each] for at in range(0, len(needs), each)]
    spec = msgspec.structs.replace(record.spec, needs=None)
    return (
        msgspec.structs.replace(record, spec=spec, dependency_digest=more),
        dict(zip(list_keys(spec.id, more), parts, strict=True)),
    )


@dataclass(eq=False)
class Submission:
    """A job on its way into the store."""

    job: Job
    outcome: str = ""  # "accepted", "known", "refused" or "too long"; empty: not decided
    lists: dict[str, list[str]] = field(default_factory=dict)  # what has no room in its record, to be stored before it


@dataclass
class WriteBatch:
    """One transaction, and whose records it carries."""

    fencing_token: int
    conditions: dict[str, int]
    puts: dict[str, object] = field(default_factory=dict)
    drops: list[str] = field(default_factory=list)
    jobs: list[tuple[Job, Record, list[tuple[str, int, int]]]] = field(default_factory=list)
    submissions: list[tuple[Submission, Record]] = field(default_factory=list)
    machines: list[str] = field(default_factory=list)
    dropped_machines: list[str] = field(default_factory=list)
    lists: list[tuple[Submission, str]] = field(default_factory=list)
    dropped_lists: list[str] = field(default_factory=list)  # keys of lists that it drops
    proposal: Proposal | None = None  # then nothing else
    claims: Transaction | None = None  # then nothing else is in it

    @property
    def changes(self) -> int:
        return len(self.puts) + max(len(self.dropped_machines), len(self.drops))


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
        deadline_multiples = [objective.times or 1.0 for objective in shared.objectives if objective.kind == "deadline"]
        self.graph = Graph(self.run_time, deadline_multiples)
        self.declared = Declarations(own, ttl, self.labels)
        self.replica = Replica(self.membership, self.graph, self.declared)
        self.limits = shared.state.kept
        self.job_shard = JobShard(
            shared.teams,
            self.send,
            int(self.limits.value_kb * 1024),
            machine_owner=self.membership.machine_owner,
            send_deferred=self.send_deferred,
        )
        self.machine_shard = MachineShard(
            self.me, shared.workers.lease_s, self.send, self.spec_of, self.job_owner, rng or Random(platform.label)
        )
        self.machine_shard.processed_seq_of = self.processed_seq_of
        self.machine_shard.cancelled, self.machine_shard.keep_record = self.cancelled, self.keep_record
        self.machine_shard.send_deferred = self.send_deferred
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
        self.channels = {peer.label: Channel(self.me) for peer in platform.peers}
        self.inbox: deque[tuple[int, messages.Message]] = deque()
        self.deferred: dict[str, list[messages.Message]] = {}  # before the next message there, or in the next round
        self.local_seq = self.local_processed_seq = 0
        self.now = now
        self.loaded = False
        self.entered_lease_id = 0  # the permit under which home and part were last built
        self.is_member = False  # home, part and channels were built for the view as of one of its members
        self.types: dict[str, wire.MachineType] = {}
        self.offer_book = OfferBook(self.spec_of)
        self.offers = self.offer_book.offers
        self.submissions: dict[str, Submission] = {}
        self.machine_records_to_drop: list[str] = []  # machines whose records go
        self.claims_deferred = False  # the last transaction of claims failed: what else is due goes first, once
        self.drops_in_flight: set[str] = set()  # machines whose drop was sent, and that were not recorded since
        self.lists_to_drop: list[str] = []  # keys of lists whose jobs are over
        self.cascade_aborted_at: dict[str, float] = {}  # since when this node knows that a job before it is aborted
        self.wall_offset_s = 0.0  # time of day less ``now``
        self.calendars: Gate | None = None  # None: nothing is declared
        self.max_changes = self.limits.txn_ops  # in one transaction; less once the store has refused that many
        self.has_new_submission = False  # a submission has come since the last look for what to write
        # Until a view says who else writes, all controllers share what the store takes.
        self.write_rate_limit = WriteRateLimit(self.limits.write_rps * constants.RATE_SHARE, len(self.labels), now)
        self.machines_reported_at = 0.0
        self.guaranteed_at, self.guaranteed_jobs = float("-inf"), set()
        self.entered_at = now  # when the view arrived here
        # left for the controller
        self.outgoing_frames: list[tuple[str, messages.Frame]] = []
        self.queue_publisher = QueuePublisher(self.me)
        self.sender_clocks: dict[str, SenderClock] = {}
        self.channel_renewals: list[str] = []  # peers to be connected anew
        self.queries: deque[tuple[str, messages.JobQuery]] = deque()
        self.query_replies: deque[messages.JobQueryReply] = deque()
        # submissions decided, jobs whose end is stored, machines that have all grants they asked for
        self.notifications: deque[Submission | str | Machine] = deque()

    # -- small questions ---------------------------------------------------

    def may_act(self) -> bool:
        return self.loaded and self.membership.may_act(self.now)

    def spec_of(self, job: str) -> wire.JobSpec | None:
        known = self.job_shard.jobs.get(job)
        if known is not None:
            return known.spec
        stored = self.replica.active.get(job)
        return stored[0].spec if stored is not None else None

    def cancelled(self, job: str) -> bool:
        """Whether the store says so, as far as it has been read here: never taken back."""
        return self.replica.ended.get(job) is JobState.ABORTED

    def job_owner(self, job: str) -> str:
        if job in self.job_shard.jobs:
            return self.me
        label = self.replica.accepted_by(job)
        return self.membership.job_owner(label) if label else ""

    def processed_seq_of(self, label: str) -> int:
        return self.local_processed_seq if label == self.me else self.channels[label].received

    def due_in(self, job: Job, now: float, guaranteed: bool) -> tuple[float, bool]:
        needed = self.graph.dependents_due(job.spec.id)
        basis = (job.waiting_since, needed, guaranteed)  # all may change while it waits for room
        if job.queue_times is None or job.queue_times[0] != basis:
            job.queue_times = (
                basis,
                policy.queue_times(
                    job.spec,
                    self.tuning,
                    self.shared.objectives,
                    guaranteed,
                    job.waiting_since - job.submitted,
                    [by - self.wall_offset_s - job.waiting_since for by in needed],
                ),
            )
            if job.opened_at and job.queue_times[1][-1][1] < 0:  # missed before it opened: no reason to rent then
                floor = policy.max_queue_time(job.spec, self.tuning)
                job.queue_times = basis, [(floor, floor)]
        return policy.due_in(now - job.waiting_since, job.queue_times[1])

    def refresh_calendars(self) -> None:
        """Texts come into force with what arrives, and with time."""
        if "hours" in self.declared.kinds:
            self.apply_calendars(self.declared.in_force("hours", self.now))

    def apply_calendars(self, texts: list[Hours]) -> None:
        """The texts of hours that hold now, all of them: the one in force, and one that is about to be."""
        if self.calendars is not None:
            texts = texts or [Hours()]  # taken back: nothing is closed any more, and turns are given anew
        if texts != (self.calendars.texts if self.calendars is not None else []):
            # The clock's offset is from the last change that was followed, within the ttl while this member acts.
            skew = self.shared.skew_ms / 1000 + constants.CLOCK_DRIFT * self.membership.store_lease.ttl_s
            self.calendars = Gate(texts, lambda: self.now + self.wall_offset_s, skew, self.rank)
            self.job_shard.job_calendars.gate = self.machine_shard.calendars = self.calendars
            log.info(
                "calendars state=applied texts=%d classes=%d", len(texts), sum(len(text.classes) for text in texts)
            )

    def rank(self, spec: wire.JobSpec) -> int:
        """The priority of the jobs that need it, where higher than its own; else -1."""
        needed = self.graph.dependents_rank(spec.id)
        return needed if needed >= 0 and needed > spec.rank else -1

    def run_time(self, spec: wire.JobSpec) -> float:
        return policy.expected_run_time(spec, self.tuning)

    def knows_job(self, job: str) -> bool:
        return job in self.replica.ended or job in self.replica.active or job in self.job_shard.jobs

    # -- messages ------------------------------------------------------------

    def send(self, label: str, body: messages.Message) -> int:
        """A message that must arrive; its number in the channel to that member."""
        if label == self.me:
            self.local_seq += 1
            self.inbox.append((self.local_seq, body))
            return self.local_seq
        channel = self.channels.get(label)
        if channel is None:
            return 0
        if label in self.deferred:
            self.flush_deferred(label)
        frame = channel.post(body, self.now)
        self.outgoing_frames.append((label, frame))
        return frame.seq

    def send_deferred(self, label: str, body: messages.Message) -> int:
        """One that must arrive, and may wait for company: a write for each wakes the peer, which costs more than it."""
        if label == self.me:
            return self.send(label, body)
        if label in self.channels:
            self.deferred.setdefault(label, []).append(body)
        return 0

    def flush_deferred(self, label: str) -> None:
        channel = self.channels[label]
        self.outgoing_frames += [(label, channel.post(body, self.now)) for body in self.deferred.pop(label, ())]

    def send_unreliable(self, label: str, body: messages.Message) -> None:
        """A message that may be lost."""
        if label == self.me:
            self.dispatch(label, body)
        elif label in self.channels:
            self.outgoing_frames.append((label, self.channels[label].post_unreliable(body)))

    def on_frame(self, frame: messages.Frame, now: float) -> None:
        self.now = now
        channel, membership = self.channels.get(frame.sender), self.membership
        if channel is None:
            return
        body = None
        if frame.fencing_token != membership.fencing_token or membership.failure_detector.accepts(frame.sender):
            if membership.status(now) is MemberStatus.OUTSIDE:
                self.is_member = False  # its hold is lost: its acknowledgement would count for who it was
            if self.is_member or isinstance(frame.body, messages.JobQuery | messages.JobQueryReply):
                body = channel.receive(frame, now)
            else:
                # What the view's members say is meant for an earlier life of this label, which acknowledgements do not
                # tell from this one. Taken, the home of that life, empty here, had the peers' machines halt all that it
                # ran, and clear results that were not stored (docs/incidents/former-life.md).
                channel.observe_view(frame)
            if frame.fencing_token == membership.fencing_token:
                self.observe_frame(frame, channel.acked_at, now)
        if body is not None:
            self.dispatch(frame.sender, body)
            self.pump()

    def observe_frame(self, frame: messages.Frame, acked_at: float, now: float) -> None:
        """A frame under this mandate: whose sender may have restarted, and know nothing of whom it had given up."""
        failure_detector = self.membership.failure_detector
        failure_detector.excluded.discard(frame.sender)
        if frame.sender_lease_id and frame.sender_lease_id == self.membership.view.members.get(frame.sender):
            failure_detector.record_frame(frame.sender, acked_at, now)
            if isinstance(frame.body, messages.QueueSnapshot | messages.PeerStatus):
                failure_detector.record_peer_report(frame.sender, frame.body.suspected, frame.body.failed)

    def pump(self) -> None:
        """Deliver messages to this controller itself, until none is left."""
        while self.inbox:
            seq, body = self.inbox.popleft()
            self.local_processed_seq = seq
            self.dispatch(self.me, body)

    def dispatch(self, label: str, body: messages.Message) -> None:
        match body:
            case messages.MachineTaskReport():
                self.job_shard.task_reports.on_task_report(label, body, self.now)
            case messages.AcknowledgeFinished():
                self.machine_shard.on_acknowledge_finished(body.machine, body.job, body.index, body.attempt)
            case messages.TaskRequest():
                self.job_shard.grants.on_task_request(label, body, self.now, self.may_act())
                self.queue_publisher.delta_tracker.tell_again(label, body.job)
            case messages.TaskGrant():
                machine = self.machine_shard.on_task_grant(label, body, self.now)
                if machine is not None and not machine.reserved:
                    self.notifications.append(machine)
            case messages.QueueSnapshot():
                self.on_queue(label, body)
            case messages.QueueDelta():
                self.on_queue_changes(label, body)
            case messages.TeamUsageDelta():
                self.leader.on_team_changes(label, body)
            case messages.PeerStatus():
                self.write_rate_limit.record_peer_rate(label, body.changes, self.now)
            case messages.MachineSummaries():
                self.leader.on_machine_summaries(label, body, self.now)
            case messages.StopTask():
                self.machine_shard.on_stop_task(body)
            case messages.QuotaAllocation():
                self.job_shard.usage.allocate(body.teams)
            case messages.QuotaDelta():
                self.job_shard.usage.allocate(body.teams, whole=False)
            case messages.DrainMachines():
                self.machine_shard.drain(body.machines)
            case messages.MachinesTerminated():
                self.machine_records_to_drop += self.machine_shard.on_terminated(body.machines)
            case messages.ListMachineTasks():
                sources = self.preemption_policies()
                self.send_unreliable(
                    label,
                    messages.MachineTaskList(
                        self.machine_shard.machine_tasks(
                            self.now, self.ledger.entries, lambda spec: any(source.shown(spec) for source in sources)
                        ),
                        True,
                    ),
                )
            case messages.GpuReservation():
                self.reserved_gpus, self.reserved_gpus_until = body.gpus, self.now + constants.GPU_RESERVATION_TTL_S
            case messages.MachineTaskList():
                self.preemption_planner.on_tasks(label, body, self.now)
            case messages.JobQuery():
                self.queries.append((label, body))
            case messages.JobQueryReply():
                self.query_replies.append(body)
            case _:
                pass

    def on_queue(self, label: str, queue: messages.QueueSnapshot) -> None:
        """The whole queue of a home that tells no changes."""
        self.offer_book.take_queue(label, queue, self.now)
        self.leader.on_queue(label, queue, self.now)
        if label != self.me:
            self.write_rate_limit.record_peer_rate(label, queue.changes, self.now)

    def on_queue_changes(self, label: str, changes: messages.QueueDelta) -> None:
        """Rows of a home's queue that are news."""
        at = self.sender_clocks.setdefault(label, SenderClock()).moment(changes.at, self.now)
        self.offer_book.take_changes(label, changes, at)
        if self.membership.view.leader == self.me:
            self.leader.on_queue_changes(label, changes, at)

    # -- view ------------------------------------------------------------------

    def lease_acquired(self, lease_id: int, sent_at: float, now: float) -> None:
        """This process is that incarnation; its hold counts from ``sent_at``.

        The view that has it may have arrived before the store's answer. What was built for that view was an
        outsider's: acting on it, a home without its jobs halted all their tasks and served none until the next view.
        """
        self.now = now
        self.membership.store_lease.record_renewal(lease_id, sent_at, now)
        if not self.is_member and self.membership.status(now) is not MemberStatus.OUTSIDE:
            self.enter_view(now, now + self.wall_offset_s)

    def apply_events(self, changes: list[wire.WatchEvent], now: float, wall: float) -> None:
        """Changes of the store, in order."""
        self.now, self.wall_offset_s = now, wall - now
        shown: list[str] = []
        for change in changes:
            if self.replica.apply(change):
                self.enter_view(now, wall)
            elif change.put is not None and change.put.startswith(JOBS):
                self.adopt_late_record(change.put[len(JOBS) :])
            elif change.put is not None and change.put.startswith(MACHINES):
                shown.append(change.put[len(MACHINES) :])
        self.observe_recorded_machines(shown)
        self.process_dependency_events()
        self.process_configuration()

    def observe_recorded_machines(self, names: Iterable[str]) -> None:
        """Records of machines that have arrived, some of them gone again."""
        for name in names:
            if name in self.replica.machines and self.membership.machine_owner(name) == self.me:
                self.machine_shard.on_record_observed(name)

    def adopt_late_record(self, name: str) -> None:
        """A job that this process stored under this view and does not serve: its submission was given up meanwhile.

        Its transaction had no answer and was carried out late, after a refusal had ended the submission, or another
        try of the user's met its record. It was called accepted then, and nothing ran until the next view.
        Nothing of it was granted, as it was in no home.
        """
        record, revision = self.replica.active.get(name, (None, 0))
        if (
            record is None
            or not self.is_member
            or revision <= self.membership.fencing_token
            or name in self.job_shard.jobs
            or name in self.submissions
            or record.state is not JobState.ACTIVE
            or self.membership.job_owner(record.accepted_by) != self.me
        ):
            return
        job = Job(record, revision, self.now, max(0.0, self.now + self.wall_offset_s - record.at), never_started=True)
        self.job_shard.add(job)
        self.apply_dependencies(job)
        log.info("job=%s state=adopted cause=stored after its submission was given up", name)

    def load(
        self, rows: list[wire.KeyValue], changes: list[wire.WatchEvent], revision: int, now: float, wall: float
    ) -> None:
        """All rows, whose pages may be of different epochs, and what followed the first of them.

        Nothing is built on the rows before the changes have caught up with them.
        """
        self.now, self.wall_offset_s = now, wall - now
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
            self.adopt_late_record(name)
        self.observe_recorded_machines(self.replica.machines)
        self.process_dependency_events()
        self.process_configuration()
        if not self.types:
            self.set_machine_types(self.replica.types)
        self.loaded = True
        log.info("replica state=loaded revision=%d jobs=%d", revision, len(self.replica.active))

    def enter_view(self, now: float, wall: float) -> None:
        """Rebuild home, part and channels for the view that has just arrived."""
        view, fencing_token = self.membership.view, self.membership.fencing_token
        members = sorted(view.members)
        log.info("view fencing_token=%d leader=%s members=%s", fencing_token, view.leader, members)
        self.entered_at = now
        inside = self.membership.status(now) is not MemberStatus.OUTSIDE
        for channel in self.channels.values():
            channel.reset(fencing_token, now, self.membership.store_lease.lease_id if inside else 0)
        self.inbox.clear()
        self.deferred.clear()
        self.queue_publisher.enter()
        self.offer_book.clear()
        self.sender_clocks.clear()
        continued = inside and self.loaded and self.entered_lease_id == self.membership.store_lease.lease_id
        old = self.job_shard.jobs if continued else {}
        self.entered_lease_id = self.membership.store_lease.lease_id if inside else 0
        self.is_member = inside
        jobs: dict[str, Job] = {}
        if inside:
            for name, (record, revision) in self.replica.active.items():
                if self.membership.job_owner(record.accepted_by) == self.me:
                    job = old.get(name)
                    if job is None:
                        # Every write asserts the view: what is not done here yet was not when the view changed,
                        # so nothing of a job that waits for it was ever started.
                        waits = self.graph.waiting(name)
                        job = Job(record, revision, now, max(0.0, wall - record.at), never_started=waits)
                        job.inherited = True
                        self.apply_dependencies(job)
                    elif record.state is not JobState.ACTIVE and job.stored_state is JobState.ACTIVE:
                        # A write of its end had no answer, and was carried out: others may have told it. Taken for
                        # active until the view has settled, it was written so again, with the stamp of its end.
                        job.apply_stored_end(record.state)
                        job.stored_state = record.state
                        job.mark_dirty(now)
                        self.notifications.append(name)
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
        self.machine_records_to_drop = [
            name for name in self.machine_records_to_drop if name in self.machine_shard.terminated
        ]
        self.drops_in_flight.clear()  # under an older view: carried out before this one, or never
        self.pump()

    # -- dependencies ----------------------------------------------------------

    def apply_dependencies(self, job: Job) -> None:
        """Whether the job waits, from when its times count, or whether it is cascade-aborted."""
        name = job.spec.id
        if self.graph.waiting(name):
            job.block()
            if name in self.graph.cascade_aborted:
                job.abort(self.now, "a job before it is aborted")
            return
        ready_at = max(job.ready_at, self.graph.ready_at(name))
        job.unblock(min(self.now, ready_at - self.wall_offset_s) if ready_at else job.submitted, ready_at)

    def process_dependency_events(self) -> None:
        """Facts of the store have arrived: which jobs are ready now, which are cascade-aborted."""
        graph = self.graph
        ready, graph.newly_ready = graph.newly_ready, []
        cascade_aborted, graph.newly_cascade_aborted = graph.newly_cascade_aborted, []
        for name in cascade_aborted:
            self.cascade_aborted_at[name] = self.now
        for name in ready + cascade_aborted:
            job = self.job_shard.jobs.get(name)
            if job is not None:
                self.apply_dependencies(job)
        if len(self.cascade_aborted_at) > 2 * len(graph.cascade_aborted):
            self.cascade_aborted_at = {
                name: at for name, at in self.cascade_aborted_at.items() if name in graph.cascade_aborted
            }

    def process_configuration(self) -> None:
        """What operators declare has arrived, or something in the store that counts can't be read here."""
        if self.declared.changed:
            self.declared.look(self.now)
        if self.declared.unreadable:
            self.membership.mark_unreadable()
        self.refresh_calendars()

    def next_view(self, now: float) -> tuple[View, dict[str, int], list[str]] | None:
        """The change of view to try, with the stamps to assert and the keys of members that are removed."""
        change = self.membership.next_view(now, self.max_changes - 1) if self.loaded else None
        if change is None:
            return None
        view, revisions = (
            self.membership.mark_quorum_overlap(change[0], self.job_shard.settled and self.is_member),
            change[1],
        )
        drops = [MEMBERS + label for label, revision in revisions.items() if revision and label not in view.members]
        return (
            view,
            {VIEW: self.membership.fencing_token, **{MEMBERS + label: s for label, s in revisions.items()}},
            drops,
        )

    # -- records -------------------------------------------------------------------

    def next_batch(self, now: float) -> WriteBatch | None:
        """One transaction of what is due, most urgent first, within the write budget."""
        self.now = now
        if not self.may_act():
            return None
        # Users wait for submissions and ends: these may run ahead of an equal share of the changes. The store
        # allows bursts of a second's worth, and what is not urgent pays it back.
        budget = self.write_rate_limit.budget
        available = budget.available(now)
        room = min(self.max_changes, int(available + constants.WRITE_AHEAD_SHARE * budget.burst))
        plain = min(room, int(max(0.0, available)))
        self.has_new_submission = False
        if room < 1:
            return None
        batch = WriteBatch(self.membership.fencing_token, {VIEW: self.membership.fencing_token})
        # Claims in doubt meet a conflict until the replica shows them. Tried again and again before all else, they kept
        # the leader's ends, marks and submissions waiting for as long as its watch hung.
        waits, self.claims_deferred = self.claims_deferred, False
        if not waits and not self.ledger.idle and self.membership.is_leader(now):
            batch.claims = self.ledger.due(now + self.wall_offset_s, room, self.job_shard.value_bytes)
            if batch.claims is not None:
                batch.conditions |= batch.claims.conditions
                batch.puts, batch.drops = batch.claims.puts, batch.claims.drops
                self.write_rate_limit.spend(batch.changes, self.now)
                return batch
        if drops := self.machine_shard.due_record_drops(now):
            self.machine_records_to_drop = list(dict.fromkeys(self.machine_records_to_drop + drops))
            self.machine_shard.records_to_drop = [
                name for name in self.machine_shard.records_to_drop if name not in drops
            ]
        due = sorted(self.job_shard.record_writes.due(now), key=lambda entry: entry[0])
        queue: list[Job | Submission] = [job for rank, job in due if rank < 2.0]
        if len(queue) + len(self.submissions) > room:
            self.write_rate_limit.is_short = True
            # Who has waited longest goes first. Ends before all submissions had users wait for as long as ends alone
            # took all the changes; and small jobs end as fast as they are taken.
            waited = [(job.dirty_since if job.dirty_since is not None else now, job) for job in queue]
            waited += [(one.job.submitted, one) for one in self.submissions.values()]
            queue = [entry for _, entry in sorted(waited, key=lambda entry: entry[0])]
        else:
            queue += self.submissions.values()
        if (
            not queue
            and plain
            and (
                proposal := self.declared.due(
                    self.membership, now, now + self.wall_offset_s, plain, self.job_shard.value_bytes
                )
            )
            is not None
        ):
            batch.proposal, batch.puts, batch.drops = proposal, proposal.puts, proposal.drops
            batch.conditions |= proposal.conditions
            self.write_rate_limit.spend(batch.changes, self.now)
            return batch
        for name in [name for name in self.machine_shard.records_to_write if name not in self.machine_records_to_drop][
            :plain
        ]:
            batch.machines.append(name)
            batch.conditions[MACHINES + name] = 0
            batch.puts[MACHINES + name] = self.machine_shard.machines[name].record
        # Before the progress of running jobs, which alone may take all of the budget for as long as the fleet is busy:
        # each record left behind by a machine that is gone holds up the inherited tasks of every later view.
        urgent = len(queue)
        left = min((plain - len(batch.machines) + 1) // 2, room - len(batch.machines) - urgent)
        batch.dropped_machines = self.machine_records_to_drop[: max(0, left)]
        queue += [job for rank, job in due if rank >= 2.0]
        size = 0
        for number, entry in enumerate(queue):
            if batch.changes >= (room if number < urgent else plain):
                break
            job = entry.job if isinstance(entry, Submission) else entry
            if isinstance(entry, Submission):
                self._drop_known_lists(entry)
                for key, names in entry.lists.items():
                    if batch.changes >= room or size > constants.MAX_BODY // 2:
                        break
                    batch.lists.append((entry, key))
                    batch.puts[key] = names
                    # Carried out late, it must not come back when the job is over and its lists are dropped.
                    batch.conditions[JOBS + job.spec.id] = 0
                    size += self.job_shard.value_bytes
                if entry.lists:
                    continue  # its record follows when they are stored
                if any(self.is_cascade_aborted(need) for need in self.dependencies_of(job)):
                    job.abort(now, "it needs an aborted job")
            record = job.to_record(self.job_shard.value_bytes, self.job_shard.may_end(job))
            size += len(msgspec.json.encode(record)) + 100
            if size > constants.MAX_BODY * 3 // 4 and batch.puts:
                break
            batch.conditions[JOBS + job.spec.id] = job.revision
            batch.puts[JOBS + job.spec.id] = record
            if isinstance(entry, Submission):
                batch.submissions.append((entry, record))
            else:
                job.dirty_since = None
                batch.jobs.append((job, record, list(job.unacknowledged_results)))
        batch.dropped_machines = self.machine_records_to_drop[
            : len(batch.dropped_machines) + max(0, plain - batch.changes)
        ]
        batch.drops = [MACHINES + name for name in batch.dropped_machines]
        self.drops_in_flight.update(batch.dropped_machines)
        # Carried out late, a drop must not hit a record that has been written again since.
        batch.conditions |= {MACHINES + name: self.replica.machines.get(name, 0) for name in batch.dropped_machines}
        if batch.changes < plain:
            count = plain - batch.changes
            batch.dropped_lists = self.lists_to_drop[:count]
            batch.drops += batch.dropped_lists  # nobody reads them: to drop them twice, or late, takes nothing away
            del self.lists_to_drop[:count]
        if not batch.changes:
            return None
        self.write_rate_limit.spend(batch.changes, self.now)
        return batch

    def nothing_to_write(self) -> bool:
        """Whether nothing has come since the last look that found nothing, or nothing affordable, to write."""
        return not (
            self.has_new_submission
            or self.job_shard.tally.changed
            or self.machine_shard.records_to_write
            or self.machine_shard.due_record_drops(self.now)
            or self.machine_records_to_drop
            or self.lists_to_drop
            or not self.ledger.idle
        )

    def next_write_in(self, now: float) -> float:
        """How long a look for what to write can wait, in seconds, if nothing comes."""
        budget = self.write_rate_limit.budget
        available = budget.available(now)
        ahead = available + constants.WRITE_AHEAD_SHARE * budget.burst
        pause = min(constants.ROUND_S, self.job_shard.record_writes.due_at - now)
        if ahead < 1:
            pause = min(constants.ROUND_S, (1 - ahead) / budget.rate)
        elif available < 1:
            pause = min(pause, (1 - available) / budget.rate)
        return max(constants.WRITER_PAUSE_S, pause)

    def on_batch_failed(self, batch: WriteBatch, now: float) -> None:
        """Refused, in conflict, or without an answer: all of it is due again."""
        for job, _, _ in batch.jobs:
            job.mark_dirty(now)
        self.lists_to_drop += batch.dropped_lists
        batch.dropped_lists = []  # once: a conflict that can't be read fails again
        if batch.proposal is not None:
            self.declared.failed(batch.proposal, now)
        if batch.claims is not None:
            self.ledger.failed(batch.claims)
            self.claims_deferred = True

    def on_batch_too_large(self, batch: WriteBatch, now: float) -> None:
        """The store takes less than the settings said: the same again would never be carried out."""
        self.on_batch_failed(batch, now)
        if batch.changes > 1:
            self.max_changes = max(1, batch.changes // 2)
            return
        self.reduce_value_limit(max((len(msgspec.json.encode(value)) for value in batch.puts.values()), default=0))
        for submission in [one for one, _ in batch.submissions] + [one for one, _ in batch.lists]:
            if self.submissions.get(submission.job.spec.id) is submission:
                self._decide_submission(submission, "too long")

    def refuse_submissions(self) -> None:
        """The store carries nothing out: who waits is told at once, and asks again later."""
        for submission in list(self.submissions.values()):
            self._decide_submission(submission, "refused")

    def reduce_value_limit(self, size: int) -> None:
        self.job_shard.value_bytes = min(self.job_shard.value_bytes, max(constants.MIN_VALUE_BYTES, size * 3 // 4))
        log.error(
            "store state=limits_reduced cause=400 values=%d bytes changes=%d",
            self.job_shard.value_bytes,
            self.max_changes,
        )

    def on_batch_written(self, batch: WriteBatch, revision: int, now: float) -> None:
        self.now = now
        current = batch.fencing_token == self.membership.fencing_token
        if batch.proposal is not None:
            self.declared.done(batch.proposal, revision, now)
        if batch.claims is not None:
            self.ledger.done(batch.claims, revision)
        for name in batch.dropped_machines:
            if not self._written_since(name, batch):
                self._dropped(name)
        for name in batch.machines if current else ():
            self._recorded(name, revision)
        for job, record, cleared in batch.jobs:
            if self.job_shard.jobs.get(job.spec.id) is job:
                self.job_shard.record_writes.on_written(job, record, revision, cleared, now)
            self._stored(job, record, revision)
        for submission, key in batch.lists:
            self.replica.lists[key] = submission.lists.pop(key, [])
        for submission, record in batch.submissions:
            job = submission.job
            job.revision = revision
            self.replica.saw_job(job.spec.id, record, revision)
            if current and record.state is JobState.ACTIVE:  # else the view that has arrived gave it to its home
                self.job_shard.add(job)
                self.apply_dependencies(job)
            self._decide_submission(submission, "accepted")
        self.process_dependency_events()
        self.pump()

    def _stored(self, job: Job, record: Record, revision: int) -> None:
        self.replica.saw_job(job.spec.id, record, revision)
        if record.state is not JobState.ACTIVE:
            self.notifications.append(job.spec.id)
        if job.dependency_digest and not record.dependency_digest:  # from here on nobody reads them
            self.lists_to_drop += list_keys(job.spec.id, job.dependency_digest)
            job.dependency_digest = ""
        if job.is_complete and self.job_shard.jobs.get(job.spec.id) is job:
            self.job_shard.remove(job)

    def _recorded(self, name: str, revision: int) -> None:
        """Under the view in force: what was written under an older one the replica had when that ended.

        Since then the machine's new part may have dropped the record. Kept here alone it stayed in the barrier of
        later views, from which no part would ever strike it.
        """
        self.replica.machines[name] = max(revision, self.replica.machines.get(name, 0))
        self.drops_in_flight.discard(name)  # all of them are settled, or assert an older record
        self.machine_shard.on_recorded(name)

    def _written_since(self, name: str, batch: WriteBatch) -> bool:
        """Whether the replica has a newer record than the one that the batch was to drop.

        An answer may come after the next view, whose part has recorded the machine anew. Taken for unrecorded, what
        runs on it was free under the view after that, and started elsewhere.
        """
        return self.replica.machines.get(name, 0) > batch.conditions[MACHINES + name]

    def _dropped(self, name: str) -> None:
        self.replica.machines.pop(name, None)
        self.replica.records.pop(name, None)
        self.machine_records_to_drop = [other for other in self.machine_records_to_drop if other != name]

    def keep_record(self, name: str) -> bool:
        """A machine that lapsed is back: its record stays where it is, if no drop of it was ever sent under this view.

        One that was sent may be carried out late, when tasks are on the machine again. One that was answered may yet
        have to arrive in the replica, which shows the record until then: taken for recorded by that, the machine ran
        tasks that no later view waited for (docs/incidents/record-shown-late.md). So only a newer put is an answer.
        """
        if name in self.drops_in_flight or not (
            name in self.machine_shard.records_to_drop or name in self.machine_records_to_drop
        ):
            return False
        self.machine_shard.records_to_drop = [other for other in self.machine_shard.records_to_drop if other != name]
        self.machine_records_to_drop = [other for other in self.machine_records_to_drop if other != name]
        return True

    def resolve_conflict(self, batch: WriteBatch, key: str, row: wire.KeyValue | None, now: float) -> None:
        """What the store holds under a key whose condition failed: decide anew."""
        self.now = now
        current = batch.fencing_token == self.membership.fencing_token
        if batch.proposal is not None:
            return  # a head that has changed: the replica will tell
        if key.startswith(MACHINES):
            # An earlier write of ours had no answer.
            name = key[len(MACHINES) :]
            if name in batch.dropped_machines and row is None:
                if not self._written_since(name, batch):
                    self._dropped(name)
            elif not current:
                pass  # what was read may be gone again, and the replica tells
            elif name in batch.dropped_machines and row is not None:
                self.replica.machines[name] = row.revision
            elif row is not None:
                self._recorded(name, row.revision)
            return
        if row is None or batch.claims is not None:
            return  # claims in conflict are given up: the replica will show them
        record = _record.decode(row.data)
        name = key[len(JOBS) :]
        for submission, _ in batch.submissions + batch.lists:
            job = submission.job
            if job.spec.id == name and not submission.outcome:
                self.replica.saw_job(name, record, row.revision)
                ours = record.accepted_by == self.me and record.at == job.at and record.state is JobState.ACTIVE
                if ours and current and name not in self.job_shard.jobs and job.state is JobState.ACTIVE:
                    job.revision = row.revision  # an earlier write of ours had no answer
                    self.job_shard.add(job)
                    self.apply_dependencies(job)
                self._decide_submission(submission, "known")
        for job, _, _ in batch.jobs:
            if job.spec.id == name and self.job_shard.jobs.get(name) is job:
                # Only its home writes it under this view: an earlier write of ours.
                job.revision = row.revision
                if record.state is not JobState.ACTIVE:
                    job.apply_stored_end(record.state)
                    self.job_shard.record_writes.on_written(job, record, row.revision, [], now)
                    job.mark_dirty(now)
                self._stored(job, record, row.revision)
        self.process_dependency_events()
        self.pump()

    def submit(self, spec: wire.JobSpec, now: float, wall: float) -> Submission | None:
        """Queue a job for the store; None where its record would not fit, whatever is put beside it."""
        self.now, self.wall_offset_s = now, wall - now
        if spec.id in self.submissions:
            return self.submissions[spec.id]
        ended = self.replica.ended
        needs = [need for need in dict.fromkeys(spec.needs or ()) if ended.get(need) is not JobState.DONE]
        spec = msgspec.structs.replace(spec, needs=needs or None)
        record = Record(JobState.ACTIVE, self.me, wall, min(spec.tasks, constants.START_LIMIT_AHEAD), [], spec)
        lists: dict[str, list[str]] = {}
        room = self.job_shard.value_bytes - 64
        if needs and len(msgspec.json.encode(record)) > room:
            record, lists = beside(record, room)
        if len(msgspec.json.encode(record)) > room:
            return None
        submission = Submission(Job(record, 0, now, 0.0, never_started=True), lists=lists)
        self.submissions[spec.id] = submission
        self.has_new_submission = True
        return submission

    def observe_end(self, name: str, record: Record, revision: int) -> None:
        """A record that was read from the store ahead of the changes that bring it: an end is one under every view.

        Of an active one nothing is taken. It may be written under a newer view than the next that arrives here; by
        that one this member may be home to the label that accepted the job. It then told of it, and could have started
        it, beside its home (docs/incidents/read-ahead.md).
        """
        if record.state is not JobState.ACTIVE and not self.knows_job(name):
            self.replica.saw_job(name, Record(record.state, done_at=record.done_at), revision)
            self.process_dependency_events()

    def dependencies_of(self, job: Job) -> list[str]:
        result = list(job.spec.needs or ())
        for key in list_keys(job.spec.id, job.dependency_digest):
            result += self.replica.lists.get(key, ())
        return result

    def is_cascade_aborted(self, job: str) -> bool:
        return self.replica.ended.get(job) is JobState.ABORTED or job in self.graph.cascade_aborted

    def _drop_known_lists(self, submission: Submission) -> None:
        """An earlier try, here or elsewhere, may have stored some: what is under a key never changes."""
        for key in [key for key in submission.lists if key in self.replica.lists]:
            del submission.lists[key]

    def _decide_submission(self, submission: Submission, outcome: str) -> None:
        spec = submission.job.spec
        log.info(
            "job=%s state=%s class=%s team=%s tasks=%d cpus=%g",
            spec.id,
            outcome,
            spec.job_class,
            spec.team,
            spec.tasks,
            spec.cpus,
        )
        submission.outcome = outcome
        self.submissions.pop(submission.job.spec.id, None)
        self.adopt_late_record(spec.id)
        self.notifications.append(submission)

    # -- workers -------------------------------------------------------------------

    def on_heartbeat(self, heartbeat: wire.Heartbeat, now: float) -> Machine | None:
        """A report of a machine of this part; None where it must not be answered with 200."""
        self.now = now
        machine = self.machine_shard.on_heartbeat(heartbeat, now)
        self.pump()
        if machine is not None and machine.acknowledged:
            self.execute_claim(machine)
            self.place_tasks(machine, now)
        return machine

    def on_probe_answered(self, heartbeat: wire.Heartbeat, now: float) -> None:
        """What a machine of this part answered to an empty ``/commands`` under this view."""
        self.now = now
        if self.may_act():
            self.machine_shard.on_probe_answer(heartbeat, now)
            self.pump()

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
            self.send(want.owner, messages.TaskRequest(take, want.job, want.machine, want.zone, want.count))
        self.pump()

    # -- claims ------------------------------------------------------------------------

    def preemption_policies(self) -> list[Source]:
        """Who may ask for others' room now; none while a member runs a version that knows no claims."""
        texts = self.priorities(self.now) if self.membership.all_support(constants.VERSION_WITH_CONFIGURATION) else []
        if texts != self.rules.texts:
            self.rules = Rules(texts)
        result: list[Source] = [self.rules] if texts else []
        lendings = self.lendings(self.now) if self.membership.all_support(constants.VERSION_WITH_CONFIGURATION) else []
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
        elif self.now + self.wall_offset_s < claim.until:
            self.machine_shard.execute_claim(machine, claim.victims, claim.wind_down_s)

    def place_claimed(self, machine: Machine, candidate: placement.Candidate) -> placement.Candidate:
        """Ask for tasks of the job that a claim keeps room for; the machine with what is left for others."""
        entry = self.ledger.entries.get(machine.name)
        if entry is None or self.now + self.wall_offset_s >= entry.claim.until:
            return candidate
        claim, spec = entry.claim, self.spec_of(entry.claim.job)
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
            self.send(want.owner, messages.TaskRequest(take, want.job, want.machine, want.zone, want.count))
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
        if self.preemption_planner.round(now, now + self.wall_offset_s, sources, teams, self.max_changes):
            for label in self.membership.view.members:
                self.send_unreliable(label, messages.ListMachineTasks())
        if self.lender is not None and now - self.kept_at >= constants.LEADER_ROUND_S and self.leader.ready(now):
            self.kept_at = now
            gpus = self.lender.keep(self.preemption_planner, now)
            if gpus or self.reserved_gpus:
                for label in self.membership.view.members:
                    self.send_unreliable(label, messages.GpuReservation(gpus))

    # -- rounds ----------------------------------------------------------------------

    def round(self, now: float) -> None:
        """What is due every fifth of a second."""
        self.now = now
        self.machine_shard.set_answering(now, self.may_act())
        self.refresh_calendars()
        for label in list(self.deferred):
            self.flush_deferred(label)
        if self.membership.status(now) is MemberStatus.OUTSIDE:
            for label in self.channels:
                self.send_unreliable(label, messages.KeepAlive())
            return
        self.membership.failure_detector.refresh(now)
        self.refresh_settlement(now)
        self.refresh_machines(now)
        self.write_rate_limit.refresh(now)
        self.publish_queue(now, self.queue_snapshot(now))
        self.maintain_channels(now)
        if now - self.machines_reported_at >= constants.LEADER_ROUND_S:
            self.machines_reported_at = now
            self.report_machines(now)
        if self.membership.is_leader(now):
            self.send_quota_updates(now)
            self.plan_preemptions(now)
        self.pump()

    def refresh_settlement(self, now: float) -> None:
        """Whether every member is known to act under this view, or not at all."""
        fencing_token = self.membership.fencing_token
        others = [label for label in self.membership.view.members if label != self.me]
        everyone = all(self.channels[label].peer_fencing_token >= fencing_token for label in others)
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
        used = self.job_shard.usage.used(now)
        if now - self.guaranteed_at >= constants.GUARANTEE_REFRESH_S:
            self.guaranteed_at, self.guaranteed_jobs = now, self.jobs_within_guarantee()
        rows = self.job_shard.queue.rows(now, self.due_in, self.run_time, self.rank, self.guaranteed_jobs, used)
        if self.calendars is not None and self.may_act():
            self.job_shard.job_calendars.stop_tasks()
        return Snapshot(
            rows,
            used,
            self.job_shard.usage.reserved(used),
            self.job_shard.usage.demand(used),
            self.job_shard.usage.allocations_received,
        )

    def publish_queue(self, now: float, snapshot: Snapshot) -> None:
        """The members are told of the queue, and whoever is none that this process is there."""
        membership, failure_detector = self.membership, self.membership.failure_detector
        links = {label: self.channels[label] for label in self.queue_subscribers()}
        status = messages.PeerStatus(
            failure_detector.unreachable_peers(), failure_detector.failed_peers(), self.write_rate_limit.reported_rate
        )
        one = Round(now, membership.fencing_token, membership.view.leader, links, snapshot, status)
        for told in self.queue_publisher.tell(one, membership.all_support(constants.VERSION_WITH_QUEUE_DELTAS)):
            if told.numbered:
                self.send(told.label, told.message)
            else:
                self.send_unreliable(told.label, told.message)
        for label in self.channels:
            if label not in links:
                self.send_unreliable(label, messages.KeepAlive())

    def queue_subscribers(self) -> list[str]:
        """The other members of the view; but for older processes in a member's place, once changes are told."""
        others = [label for label in self.channels if label in self.membership.view.members]
        if self.queue_publisher.form is Form.WHOLE_QUEUES:
            return others
        return [
            label
            for label in others
            if self.membership.protocol_versions.get(label, 0) >= constants.VERSION_WITH_QUEUE_DELTAS
        ]

    def maintain_channels(self, now: float) -> None:
        """Probe what is quiet, send again what has no acknowledgement, and connect anew what stalls."""
        for label, channel in self.channels.items():
            if label in self.membership.view.members and channel.is_quiet(now):
                self.send(label, messages.KeepAlive())
            if channel.is_stalled(now):
                self.channel_renewals.append(label)
            self.outgoing_frames += [(label, frame) for frame in channel.resend(now)]

    def report_machines(self, now: float) -> None:
        """The leader is told of this part's machines, once a second."""
        leader = self.membership.view.leader
        self.machine_shard.check_silence(now)
        self.send_unreliable(leader, messages.MachineSummaries(self.machine_shard.summaries(now, self.run_time)))
        if self.ledger.entries and self.membership.all_support(constants.VERSION_WITH_CONFIGURATION):
            self.send_unreliable(
                leader,
                messages.MachineTaskList(self.machine_shard.machine_tasks(now, self.ledger.entries, None), False),
            )

    def send_quota_updates(self, now: float) -> None:
        """New allowances, in the form that all members read."""
        by_changes = self.membership.all_support(constants.VERSION_WITH_QUEUE_DELTAS)
        for label, teams in self.leader.quota_updates(now).items():
            if by_changes:
                self.send(label, messages.QuotaDelta(teams))
            else:
                self.send(label, messages.QuotaAllocation(dict(self.leader.quota_allocator.given[label])))

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
            if self.calendars is not None and at != NEVER and not (look := self.calendars.look(spec)).may_start:
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
        self.now = now
        self.leader.on_terminated(names)
        for label in self.membership.view.members:
            self.send(label, messages.MachinesTerminated(names))
        self.pump()

    def set_machine_types(self, types: dict[str, wire.MachineType]) -> None:
        self.types = self.machine_shard.types = types
        self.leader.on_types(types)

    def types_to_store(self) -> wire.MachineTypes | None:
        """The machine types, where the store has none or others; spot prices alone are no news."""
        lasting = [msgspec.structs.replace(kind, spot_price=kind.price) for kind in self.types.values()]
        known = [msgspec.structs.replace(kind, spot_price=kind.price) for kind in self.replica.types.values()]
        if not lasting or lasting == known or not self.membership.is_leader(self.now):
            return None
        machine_types = wire.MachineTypes(list(self.types.values()))
        return machine_types if len(msgspec.json.encode(machine_types)) < self.job_shard.value_bytes else None

    def drain_machines(self, names: list[str], now: float) -> None:
        self.now = now
        by_part: dict[str, list[str]] = {}
        for name in names:
            by_part.setdefault(self.membership.machine_owner(name), []).append(name)
        for label, part in by_part.items():
            self.send(label, messages.DrainMachines(part))
        self.pump()

    # -- users -------------------------------------------------------------------------

    def local_job_state(self, job: str, now: float) -> tuple[str, int, int] | None:
        """From memory: an end that the store holds, or this home's own job."""
        self.now = now
        ended = self.replica.ended.get(job)
        if ended is not None:
            return ended.value, 0, 0
        if job in self.graph.cascade_aborted:
            return (JobState.ABORTED.value, 0, 0) if self.cascade_abort_is_settled(job) else None
        mine = self.job_shard.jobs.get(job)
        if mine is None or not self.may_act():
            return None
        if mine.stored_state is not JobState.ACTIVE:
            return mine.stored_state.value, mine.done.count, 0
        if mine.state is not JobState.ACTIVE:
            # Its end may be in the store without our having heard so, and others may have told it.
            return None
        running = mine.running
        return "running" if running else "pending", mine.done.count, running

    def cascade_abort_is_settled(self, job: str) -> bool:
        """Whether every member that still acts knows, too, that a job before this one is aborted.

        Members act only on a view and records that are fresh to within the ttl. Told any sooner,
        the answer could be taken back by a home that has yet to hear of it.
        """
        at = self.cascade_aborted_at.get(job)
        return at is not None and self.now - at > self.membership.store_lease.ttl_s + constants.PROOF_MARGIN_S

    def is_certainly_pending(self, job: str, now: float) -> bool:
        """Whether a record that is active in the store may be told so, a moment after it was read."""
        self.now = now
        spec = self.spec_of(job)
        return spec is not None and job not in self.graph.cascade_aborted and self.may_act()

    def cancel(self, job: str, now: float) -> str | None:
        """The job's stored state, "" while its end is being written, None where this is not its home."""
        self.now = now
        if job in self.replica.ended:
            return self.replica.ended[job].value
        mine = self.job_shard.jobs.get(job)
        if mine is None or not self.may_act():
            return None
        if mine.stored_state is JobState.ACTIVE:
            mine.abort(now)
            mine.end_awaited = True
            return ""
        return mine.stored_state.value
