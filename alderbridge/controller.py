"""One controller: wires the pure cores to store, cloud, workers, users and peers."""

from __future__ import annotations

import logging
import time
from collections import deque
from collections.abc import Awaitable, Callable

import curio
import msgspec

from . import constants as c
from . import mesh as m
from . import placement, policy, wire
from .cloud import Cloud, CloudTrouble, NoCapacity
from .config import Platform, Tuning, address
from .jobs import Home, Job, JobState, Record
from .leader import Leader
from .machines import Machine, Part
from .net import Answer, Budget, Server, Unanswered
from .replica import Replica
from .store import JOBS, MACHINES, MEMBERS, ROOT, VIEW, HoldLost, Refused, Store, TooOld
from .view import Membership, Presence, Standing

log = logging.getLogger("controller")
now = time.monotonic
_record = msgspec.json.Decoder(Record)

LATER = [("Retry-After", str(c.RETRY_AFTER_S))]
_TROUBLE = (Refused, Unanswered, msgspec.DecodeError)


def later(text: str) -> Answer:
    return 503, wire.error(text), LATER


class Submission:
    """A job on its way into the store."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.settled = curio.Event()
        self.outcome = ""  # "accepted" or "known"; empty: not decided
        self.abandoned = False


class Controller:
    def __init__(self, platform: Platform, tuning: Tuning) -> None:
        shared = platform.settings
        self.me = platform.label
        self.platform, self.tuning, self.shared = platform, tuning, shared
        self.labels = [self.me, *(peer.label for peer in platform.peers)]
        self.store = Store(platform.endpoints.state)
        self.cloud = Cloud(platform.endpoints.cloud)
        ttl = min(c.HOLD_TTL_S, shared.workers.cancel_s - shared.workers.lease_s - c.CANCEL_SLACK_S)
        self.membership = Membership(self.me, ttl)
        self.replica = Replica(self.membership)
        value_bytes = int(shared.state.value_kb * 1024)
        self.home = Home(shared.teams, self.send, value_bytes)
        self.home.part_of = self.membership.part_of
        self.part = Part(self.me, shared.workers.lease_s, self.send, self.spec_of, self.home_of)
        self.part.upto = self.upto
        self.leader = Leader(shared.teams, shared.zones, tuning, self.replica, shared.cloud.list_lag_s)
        self.channels = {peer.label: m.Channel(self.me) for peer in platform.peers}
        self.mesh = m.Mesh(platform.mesh_addr, {peer.label: peer.addr for peer in platform.peers}, self.on_frame)
        self.inbox: deque[tuple[int, m.Message]] = deque()
        self.local_sent = self.local_done = 0
        self.loaded = False
        self.incarnation = 0  # the permit under which home and part were last built
        self.types: dict[str, wire.MachineType] = {}
        self.offers: dict[str, tuple[float, list[m.QueueRow]]] = {}  # label -> receipt, rows
        self.taken: dict[tuple[str, str], int] = {}
        self.submissions: dict[str, Submission] = {}
        self.ended_waiters: dict[str, list[curio.Event]] = {}
        self.dropping: list[str] = []  # machines whose records go
        self.asks: dict[int, tuple[curio.Event, list[m.Reply]]] = {}
        self.ask_count = 0
        self.replies_due: list[curio.Event] = []
        self.jobs_to_answer: deque[tuple[str, m.Ask]] = deque()
        share = c.BUDGET_SHARE / len(self.labels)
        self.write_budget = Budget(shared.state.write_rps * share, shared.state.write_rps * share, now())
        self.cloud_budget = Budget(shared.cloud.rps * c.BUDGET_SHARE, 1, now())
        self.queue_times: dict[tuple[str, bool], list[float]] = {}
        self.store_bad_until = 0.0
        self.rent_names = 0
        self.server = Server(self.handle, int(shared.limits.max_sockets * c.SOCKET_RESERVE))

    # -- small questions ---------------------------------------------------

    def spec_of(self, job: str) -> wire.JobSpec | None:
        known = self.home.jobs.get(job)
        return known.spec if known is not None else self.replica.spec(job)

    def home_of(self, job: str) -> str:
        if job in self.home.jobs:
            return self.me
        label = self.replica.home_label(job)
        return self.membership.home_of(label) if label else ""

    def upto(self, label: str) -> int:
        return self.local_done if label == self.me else self.channels[label].received

    def due_in(self, spec: wire.JobSpec, age_s: float, guaranteed: bool) -> float:
        key = (spec.id, guaranteed)
        times = self.queue_times.get(key)
        if times is None:
            if len(self.queue_times) > c.QUEUE_ROWS * 4:
                self.queue_times.clear()
            times = policy.queue_times(spec, self.tuning, self.shared.objectives, guaranteed)
            self.queue_times[key] = times
        return policy.due_in(age_s, times)

    def run_time(self, spec: wire.JobSpec) -> float:
        return policy.expected_run_time(spec, self.tuning)

    # -- messages ------------------------------------------------------------

    def send(self, label: str, body: m.Message) -> int:
        """A message that must arrive; its number in the channel to that member."""
        if label == self.me:
            self.local_sent += 1
            self.inbox.append((self.local_sent, body))
            return self.local_sent
        channel = self.channels.get(label)
        if channel is None:
            return 0
        frame = channel.post(body, now())
        self.mesh.put(label, frame)
        return frame.seq

    def tell(self, label: str, body: m.Message) -> None:
        if label == self.me:
            self.dispatch(label, body)
        elif label in self.channels:
            self.mesh.put(label, self.channels[label].tell(body))

    async def on_frame(self, frame: m.Frame) -> None:
        channel = self.channels.get(frame.sender)
        if channel is None:
            return
        body = channel.receive(frame, now())
        if body is not None:
            self.dispatch(frame.sender, body)
            self.pump()
            await self.after()

    def pump(self) -> None:
        """Deliver messages to this controller itself, until none is left."""
        while self.inbox:
            seq, body = self.inbox.popleft()
            self.local_done = seq
            self.dispatch(self.me, body)

    async def after(self) -> None:
        """What messages have asked for and needs waiting."""
        while self.jobs_to_answer:
            label, ask = self.jobs_to_answer.popleft()
            await curio.spawn(self.answer_ask, label, ask, daemon=True)
        replies, self.replies_due = self.replies_due, []
        for event in replies:
            await event.set()
        await self.mesh.flush()

    def dispatch(self, label: str, body: m.Message) -> None:
        match body:
            case m.Queue():
                self.offers[label] = (now(), body.rows)
                for row in body.rows:
                    self.taken.pop((label, row.job), None)
                self.leader.on_queue(label, body, now())
            case m.Room():
                self.leader.on_room(label, body, now())
            case m.Take():
                self.home.on_take(label, body, now(), self.membership.may_act(now()))
            case m.Grant():
                self.part.on_grant(body, now())
            case m.Seen():
                self.home.on_seen(label, body, now())
            case m.Clear():
                self.part.on_clear(body.machine, body.job, body.index, body.attempt)
            case m.Halt():
                self.part.on_halt(body)
            case m.Allot():
                self.home.allot(body.teams)
            case m.Drain():
                self.part.drain(body.machines)
            case m.Gone():
                self.dropping += self.part.on_gone(body.machines)
            case m.Ask():
                self.jobs_to_answer.append((label, body))
            case m.Reply():
                waiting = self.asks.get(body.ask)
                if waiting is not None:
                    waiting[1].append(body)
                    self.replies_due.append(waiting[0])
            case _:
                pass

    # -- running ---------------------------------------------------------------

    async def run(self) -> None:
        host, port = address(self.platform.listen)
        log.info("controller=%s state=started", self.me)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self.server.serve, host, port)
            await group.spawn(self.mesh.serve)
            for label in self.channels:
                await group.spawn(self.mesh.send_to, label)
            for loop in (self.keep_hold, self.keep_replica, self.keep_view, self.keep_records,
                         self.keep_rounds, self.keep_types, self.keep_machines):
                await group.spawn(self.forever, loop)

    async def forever(self, loop: Callable[[], Awaitable[None]]) -> None:
        """A loop that meets a fault says so and goes on; the process does not end by itself."""
        while True:
            try:
                await loop()
            except _TROUBLE as error:
                log.info("loop=%s state=trouble cause=%s", loop.__name__, error)
            except curio.CancelledError:
                raise
            except Exception:
                log.exception("loop=%s state=failed", loop.__name__)
            await curio.sleep(c.ROUND_S)

    # -- hold, replica, view -----------------------------------------------------

    async def keep_hold(self) -> None:
        hold = self.membership.hold
        if not hold.permit:
            await self.acquire_hold()
        while hold.permit:
            await curio.sleep(hold.ttl_s / c.HOLD_RENEWALS)
            sent = now()
            try:
                await self.store.extend(hold.permit)
                hold.renewed(hold.permit, sent)
            except HoldLost:
                log.info("hold=%d state=lost", hold.permit)
                hold.lost()
            except _TROUBLE as error:
                self.store_trouble()
                log.info("hold=%d state=unsure cause=%s", hold.permit, error)

    async def acquire_hold(self) -> None:
        """Enter as a new incarnation; an earlier process of this label is dead."""
        key = MEMBERS + self.me
        row = await self.store.get(key)
        if row is not None:
            await self.store.end(msgspec.json.decode(row.data, type=Presence).permit)
        sent = now()
        permit = await self.store.hold(self.membership.hold.ttl_s)
        done = await self.store.commit({key: 0}, {key: Presence(permit)}, permit=permit)
        if done.failed:
            await self.store.end(permit)
            raise Refused("the earlier hold has not ended yet")
        self.membership.hold.renewed(permit, sent)
        log.info("hold=%d state=held", permit)

    async def keep_replica(self) -> None:
        await self.load_replica()
        while True:
            try:
                changes = await self.store.follow(self.replica.epoch)
            except TooOld:
                await self.load_replica()
                continue
            for change in changes.log:
                if self.replica.apply(change):
                    self.enter_view()
            self.replica.epoch = max(self.replica.epoch, changes.epoch)
            await curio.sleep(c.FOLLOW_PAUSE_S)

    async def load_replica(self) -> None:
        """Read everything; following on from the first page's epoch repeats, and misses, nothing."""
        epoch, after, newer = None, None, False
        machines: dict[str, int] = {}
        while True:
            page = await self.store.page(ROOT, after)
            epoch = page.epoch if epoch is None else epoch
            for row in page.rows:
                newer = self.replica.apply(wire.Change(put=row.key, data=row.data, stamp=row.stamp)) or newer
                if row.key.startswith(MACHINES):
                    machines[row.key[len(MACHINES):]] = row.stamp
            if not page.has_next or not page.rows:
                break
            after = page.rows[-1].key
        self.replica.machines = machines
        # The pages are of different epochs: catch up before anything is built on them.
        changes = await self.store.follow_now(epoch)
        for change in changes.log:
            newer = self.replica.apply(change) or newer
        self.replica.epoch = changes.epoch
        if newer:
            self.enter_view()
        self.loaded = True
        log.info("replica state=loaded epoch=%d jobs=%d", self.replica.epoch, len(self.replica.active))

    def enter_view(self) -> None:
        """Rebuild home, part and channels for the view that has just arrived."""
        view, mandate, at = self.membership.view, self.membership.mandate, now()
        members = sorted(view.members)
        log.info("view mandate=%d leader=%s members=%s", mandate, view.leader, members)
        for channel in self.channels.values():
            channel.reset(mandate, at)
        self.inbox.clear()
        self.offers.clear()
        self.taken.clear()
        inside = self.membership.standing(at) is not Standing.OUTSIDE
        old = self.home.jobs if inside and self.incarnation == self.membership.hold.permit else {}
        self.incarnation = self.membership.hold.permit if inside else 0
        jobs: dict[str, Job] = {}
        if inside:
            for name, (record, stamp) in self.replica.active.items():
                if self.membership.home_of(record.home) == self.me:
                    job = old.get(name)
                    if job is None:
                        age = max(0.0, time.time() - record.at)
                        job = Job(record, stamp, at, age)
                    job.stamp = max(job.stamp, stamp)
                    jobs[name] = job
        self.home.enter(mandate, jobs, self.replica.machines if inside else ())
        mine = [name for name in self.replica.machines if self.membership.part_of(name) == self.me] if inside else []
        self.part.enter(mandate, members if inside else [], mine, at)
        self.leader.enter(members, at)
        self.pump()

    async def keep_view(self) -> None:
        while True:
            await curio.sleep(c.ROUND_S)
            change = self.membership.next_view(now()) if self.loaded else None
            if change is None:
                continue
            view, conditions = change
            asserted = {MEMBERS + label: stamp for label, stamp in conditions.items()}
            done = await self.store.commit({VIEW: self.membership.mandate, **asserted}, {VIEW: view})
            if done.failed:
                log.info("view state=overtaken failed=%s", done.failed)
                await curio.sleep(c.ROUND_S)

    def store_trouble(self) -> None:
        self.store_bad_until = now() + 1.0

    # -- records -------------------------------------------------------------------

    async def keep_records(self) -> None:
        while True:
            await curio.sleep(c.WRITER_PAUSE_S)
            if not self.loaded or not self.membership.may_act(now()):
                continue
            try:
                await self.write_batch()
            except _TROUBLE as error:
                self.store_trouble()
                log.info("records state=unsure cause=%s", error)
                await curio.sleep(c.ROUND_S)

    async def write_batch(self) -> None:
        """One transaction of what is due, most urgent first, within the write budget."""
        room = min(self.shared.state.txn_ops, int(self.write_budget.available(now())))
        if room < 1:
            return
        mandate = self.membership.mandate
        conditions, puts, drops = {VIEW: mandate}, {}, []
        machines = self.part.to_record[:room]
        for name in machines:
            conditions[MACHINES + name] = 0
            puts[MACHINES + name] = {}
        jobs: list[tuple[Job, Record, list[tuple[str, int, int]]]] = []
        fresh: list[Submission] = []
        size = 0
        due = sorted(self.home.due_writes(now()), key=lambda entry: entry[0])
        urgent = [job for rank, job in due if rank < 2.0]
        waiting = [s for s in self.submissions.values() if not s.abandoned]
        queue: list[Job | Submission] = [*urgent, *waiting, *(job for rank, job in due if rank >= 2.0)]
        for entry in queue:
            if len(puts) >= room or size > c.MAX_BODY // 2:
                break
            job = entry.job if isinstance(entry, Submission) else entry
            record = job.record(self.home.value_bytes)
            key = JOBS + job.spec.id
            size += len(msgspec.json.encode(record)) + 100
            if size > c.MAX_BODY - 8192 and puts:
                break
            conditions[key] = job.stamp
            puts[key] = record
            if isinstance(entry, Submission):
                fresh.append(entry)
            else:
                job.changed_at = None
                jobs.append((job, record, list(job.to_clear)))
        for name in self.dropping[:max(0, room - len(puts))]:
            drops.append(MACHINES + name)
        if not puts and not drops:
            return
        self.write_budget.spend(now(), len(puts) + len(drops))
        try:
            done = await self.store.commit(conditions, puts, drops)
        except BaseException:
            for job, _, _ in jobs:
                job.touch(now())
            raise
        if done.failed:
            for job, _, _ in jobs:
                job.touch(now())
            await self.settle_conflict(done.failed, jobs, fresh, machines)
            return
        if drops:
            self.dropping = self.dropping[len(drops):]
        stale = mandate != self.membership.mandate
        for name in machines:
            self.replica.machines[name] = done.epoch
            if name in self.part.to_record:
                self.part.to_record.remove(name)
            if name in self.part.machines and not stale:
                self.part.machines[name].recorded = True
        for job, record, cleared in jobs:
            if self.home.jobs.get(job.spec.id) is job:
                self.home.written(job, record, done.epoch, cleared, now())
            self.replica.saw_job(job.spec.id, record, done.epoch)
            if record.state is not JobState.ACTIVE:
                await self.tell_ended(job.spec.id)
            if job.drained and self.home.jobs.get(job.spec.id) is job:
                del self.home.jobs[job.spec.id]
        for submission in fresh:
            job = submission.job
            job.stamp = done.epoch
            self.replica.saw_job(job.spec.id, job.record(self.home.value_bytes), done.epoch)
            if not stale and self.membership.home_of(self.me) == self.me:
                self.home.jobs[job.spec.id] = job
            await self.settle(submission, "accepted")
        self.pump()
        await self.after()

    async def settle_conflict(self, failed: list[str], jobs: list[tuple[Job, Record, list]],
                              fresh: list[Submission], machines: list[str]) -> None:
        """Something else is in the store: read it and decide anew."""
        log.info("records state=conflict failed=%s", failed)
        if VIEW in failed:
            await curio.sleep(c.FOLLOW_PAUSE_S)
            return
        for submission in fresh:
            name = submission.job.spec.id
            if JOBS + name in failed:
                row = await self.store.get(JOBS + name)
                if row is not None:
                    self.take_in(name, row, submission)
                    await self.settle(submission, "known")
        for job, _, _ in jobs:
            if JOBS + job.spec.id in failed:
                row = await self.store.get(JOBS + job.spec.id)
                if row is not None:
                    self.take_over(job, _record.decode(row.data), row.stamp)
        for name in machines:
            if MACHINES + name in failed and name in self.part.to_record:
                row = await self.store.get(MACHINES + name)
                if row is not None:  # an earlier write of ours without an answer
                    self.part.to_record.remove(name)
                    self.replica.machines[name] = row.stamp
                    if name in self.part.machines:
                        self.part.machines[name].recorded = True

    def take_in(self, name: str, row: wire.Row, submission: Submission) -> None:
        """A submission that was in the store already: ours, if an earlier write had no answer."""
        record = _record.decode(row.data)
        self.replica.saw_job(name, record, row.stamp)
        ours = record.home == self.me and record.at == submission.job.at
        if ours and record.state is JobState.ACTIVE and name not in self.home.jobs:
            submission.job.stamp = row.stamp
            self.home.jobs[name] = submission.job

    def take_over(self, job: Job, record: Record, stamp: int) -> None:
        """Only this home writes the record under this view: it holds an earlier write of ours."""
        job.stamp = stamp
        job.mark = max(job.mark, record.mark)
        if record.state is not JobState.ACTIVE:
            job.state = record.state
            self.home.written(job, record, stamp, [], now())
        self.replica.saw_job(job.spec.id, record, stamp)

    async def settle(self, submission: Submission, outcome: str) -> None:
        submission.outcome = outcome
        self.submissions.pop(submission.job.spec.id, None)
        await submission.settled.set()

    async def tell_ended(self, job: str) -> None:
        for event in self.ended_waiters.pop(job, []):
            await event.set()

    # -- rounds ----------------------------------------------------------------------

    async def keep_rounds(self) -> None:
        room_at = 0.0
        while True:
            await curio.sleep(c.ROUND_S)
            at = now()
            members = self.membership.view.members
            if self.membership.standing(at) is Standing.OUTSIDE:
                for label in self.channels:
                    self.tell(label, m.Pulse())
                await self.after()
                continue
            mandate = self.membership.mandate
            if all(self.channels[label].peer_mandate >= mandate for label in members if label != self.me):
                self.part.settle(at)
            if self.membership.may_act(at):
                self.part.check_leases(at)
            queue = m.Queue(self.home.rows(at, self.due_in, self.run_time), self.home.held(), self.home.want(),
                            self.home.allots)
            for label in self.labels:
                self.tell(label, queue if label in members else m.Pulse())
            for label, channel in self.channels.items():
                for frame in channel.resend(at):
                    self.mesh.put(label, frame)
            if at - room_at >= c.LEADER_ROUND_S:
                room_at = at
                self.tell(self.membership.view.leader, m.Room(self.part.room(at, self.run_time)))
            if self.membership.leads(at):
                for label, teams in self.leader.allots().items():
                    self.send(label, m.Allot(teams))
            self.pump()
            await self.after()

    # -- the cloud -------------------------------------------------------------------

    async def keep_types(self) -> None:
        """Machine types; the leader reads the prices again and again, others until they know."""
        while True:
            if not self.types or self.membership.leads(now()):
                try:
                    if self.cloud_budget.take(now()):
                        self.types = await self.cloud.flavours()
                        self.part.types = self.types
                        self.leader.on_types(self.types)
                except (CloudTrouble, NoCapacity, Unanswered, msgspec.DecodeError) as error:
                    log.info("cloud state=trouble cause=%s", error)
            await curio.sleep(c.FLAVOURS_S if self.types else 1.0)

    async def keep_machines(self) -> None:
        """The leader's round: list, decide, rent, give back."""
        listed_at = float("-inf")
        mandate = 0
        while True:
            await curio.sleep(c.LEADER_ROUND_S)
            if not self.membership.leads(now()) or not self.types:
                continue
            if mandate != self.membership.mandate:
                mandate, listed_at = self.membership.mandate, float("-inf")
            try:
                if now() - listed_at >= c.LIST_S and self.cloud_budget.take(now()):
                    listed_at = now()
                    await self.list_machines()
                await self.carry_out(self.leader.decide(now()))
            except (CloudTrouble, Unanswered, msgspec.DecodeError) as error:
                log.info("cloud state=trouble cause=%s", error)

    async def list_machines(self) -> None:
        hosts: list[wire.Listed] = []
        after = ""
        while True:
            page = await self.cloud.page(after)
            hosts += page.hosts
            if not page.has_next or not page.hosts:
                break
            after = page.hosts[-1].id
        known = self.part.returned
        self.leader.on_listing([host for host in hosts if host.id not in known], now())

    async def carry_out(self, decision: object) -> None:
        by_part: dict[str, list[str]] = {}
        for name in decision.drain:
            by_part.setdefault(self.membership.part_of(name), []).append(name)
        for label, names in by_part.items():
            self.send(label, m.Drain(names))
        self.pump()
        await self.after()
        for kind, count in decision.rent:
            if not self.membership.leads(now()) or not self.cloud_budget.take(now()):
                break
            self.rent_names += 1
            name = f"{self.me}-{self.membership.mandate}-{self.rent_names}"
            try:
                names = await self.cloud.rent(name, kind.type, kind.zone, kind.spot, count)
                log.info("rent type=%s zone=%s spot=%s asked=%d got=%d", kind.type, kind.zone, kind.spot, count,
                         len(names))
                self.leader.on_rented(kind, names, now())
                if len(names) < count:
                    self.leader.on_refused(kind, now())
            except NoCapacity:
                log.info("rent type=%s zone=%s spot=%s state=refused", kind.type, kind.zone, kind.spot)
                self.leader.on_refused(kind, now())
        if decision.give_back and self.membership.leads(now()) and self.cloud_budget.take(now()):
            names = decision.give_back[:100]
            await self.cloud.give_back(names)
            self.leader.on_returned(names)
            for label in self.membership.view.members:
                self.send(label, m.Gone(names))
            self.pump()
            await self.after()

    # -- HTTP ------------------------------------------------------------------------

    async def handle(self, method: str, target: str, body: bytes) -> Answer:
        path = target.split("?", 1)[0]
        if path == "/agent/beat":
            return await self.on_beat(body) if method == "POST" else _wrong_method("POST")
        if path == "/healthz":
            return self.health() if method == "GET" else _wrong_method("GET")
        if path == "/v1/jobs":
            return await self.submit(body) if method == "POST" else _wrong_method("POST")
        if path.startswith("/v1/jobs/"):
            job, _, action = path[len("/v1/jobs/"):].partition("/")
            if action == "":
                return await self.status(job) if method == "GET" else _wrong_method("GET")
            if action == "withdraw":
                return await self.withdraw(job) if method == "POST" else _wrong_method("POST")
        return 404, wire.error("no such path"), []

    def health(self) -> Answer:
        standing = self.membership.standing(now())
        overtaken = any(ch.peer_mandate > self.membership.mandate for ch in self.channels.values())
        if not self.loaded or standing is Standing.OUTSIDE or (standing is Standing.LAPSED and overtaken):
            return later("not taking part")
        return 200, b'{"status":"ok"}', []

    # -- workers

    async def on_beat(self, body: bytes) -> Answer:
        try:
            beat = wire.parse_beat(body)
        except wire.Malformed as error:
            return 400, wire.error(str(error)), []
        if not self.loaded or not self.membership.may_act(now()):
            return later("not entitled")
        owner = self.membership.part_of(beat.machine)
        if owner != self.me:
            return 421, wire.encode({"steward": owner}), []
        mandate = self.membership.mandate
        machine = self.part.on_beat(beat, now())
        if machine is None:
            return later("not the newest report")
        self.pump()
        if machine.acked:
            await self.place(machine)
        if mandate != self.membership.mandate or not self.membership.may_act(now()):
            return later("not entitled")
        answer = wire.beat_answer(mandate, self.part.orders(machine))
        await self.after()
        return 200, answer, []

    async def place(self, machine: Machine) -> None:
        """Ask homes for tasks that fit this machine, and wait a moment for their answers."""
        candidate = self.part.candidate(machine, now())
        if candidate is None:
            return
        at = now()
        queue = []
        for label, (since, rows) in self.offers.items():
            for row in rows:
                left = row.offer - self.taken.get((label, row.job), 0)
                spec = self.spec_of(row.job)
                if left > 0 and spec is not None:
                    due = row.due_in_s - (at - since)
                    queue.append((due, label, msgspec.structs.replace(row, offer=left), spec))
        queue.sort(key=lambda entry: entry[:2])
        wanted = placement.plan([candidate], [entry[1:] for entry in queue])
        if not wanted:
            return
        for want in wanted:
            take = self.part.reserve(machine, want.job, want.count)
            key = (want.home, want.job)
            self.taken[key] = self.taken.get(key, 0) + want.count
            self.send(want.home, m.Take(take, want.job, want.machine, want.zone, want.count))
        self.pump()
        await self.after()
        for _ in range(c.TAKE_TRIES):
            if not machine.reserved:
                break
            await curio.sleep(c.TAKE_PAUSE_S)

    # -- users

    async def submit(self, body: bytes) -> Answer:
        try:
            spec = wire.parse_job(body)
        except wire.Malformed as error:
            return 400, wire.error(str(error)), []
        if spec.id in self.replica.ended or spec.id in self.replica.active or spec.id in self.home.jobs:
            return await self.known(spec.id)
        if not self.loaded or not self.types:
            return later("not ready")
        why = self.never_runs(spec)
        if why:
            # A job that is known is never told this: ask the store before.
            return await self.known_or(spec.id, (422, wire.error(why), []))
        if not self.membership.may_act(now()) or now() < self.store_bad_until:
            return later("the state service is out of reach")
        submission = self.submissions.get(spec.id)
        if submission is None:
            record = Record(JobState.ACTIVE, self.me, time.time(), min(spec.tasks, c.MARK_AHEAD), [], spec)
            if len(msgspec.json.encode(record)) > self.home.value_bytes - 64:
                return 400, wire.error("the job's description is too long"), []
            submission = Submission(Job(record, 0, now(), 0.0, fresh=True))
            self.submissions[spec.id] = submission
        try:
            await curio.timeout_after(c.SUBMIT_WAIT_S, submission.settled.wait)
        except curio.TaskTimeout:
            return later("the state service is slow")
        if submission.outcome == "accepted":
            return 201, wire.accepted(spec.id, "pending"), []
        return await self.known(spec.id)

    def never_runs(self, spec: wire.JobSpec) -> str:
        team = next((team for team in self.shared.teams if team.name == spec.team), None)
        if team is None:
            return "unknown team"
        if not placement.runnable(spec, self.types.values()):
            return "a task fits no allowed machine type"
        tasks = spec.tasks if spec.service else 1
        if ((team.cpus_max > 0 and spec.cpus * tasks > team.cpus_max + 1e-9)
                or (team.gpus_max > 0 and spec.gpus * tasks > team.gpus_max + 1e-9)):
            return "more than the team's limit"
        return ""

    async def known(self, job: str) -> Answer:
        """The answer to a repeated submission."""
        status, body, headers = await self.status(job)
        return status if status != 404 else 503, body, headers if status != 404 else LATER

    async def known_or(self, job: str, answer: Answer) -> Answer:
        status = await self.status(job)
        return answer if status[0] == 404 else status

    async def status(self, job: str) -> Answer:
        if not wire.JOB_ID.match(job):
            return 404, wire.error("no such job"), []
        answer = self.status_here(job)
        if answer is not None:
            return answer
        home = self.home_of(job)
        if home and home != self.me:
            reply = await self.ask(home, "status", job)
            if reply is not None:
                return reply
        return await self.status_stored(job)

    def status_here(self, job: str) -> Answer | None:
        """From memory: an end that the store holds, or this home's own job."""
        ended = self.replica.ended.get(job)
        if ended is not None:
            return 200, wire.job_status(job, ended.value, 0, 0), []
        mine = self.home.jobs.get(job)
        if mine is None or not self.membership.may_act(now()):
            return None
        if mine.stored_state is not JobState.ACTIVE:
            return 200, wire.job_status(job, mine.stored_state.value, mine.done.count, 0), []
        running = mine.running
        done = min(mine.done.count, mine.spec.tasks)
        return 200, wire.job_status(job, "running" if running else "pending", done, running), []

    async def status_stored(self, job: str) -> Answer:
        try:
            row = await self.store.get(JOBS + job)
        except _TROUBLE:
            self.store_trouble()
            return later("the state service is out of reach")
        if row is None:
            return 404, wire.error("no such job"), []
        record = _record.decode(row.data)
        if record.state is not JobState.ACTIVE:
            return 200, wire.job_status(job, record.state.value, 0, 0), []
        return 200, wire.job_status(job, "pending", sum(b - a for a, b in record.done), 0), []

    async def withdraw(self, job: str) -> Answer:
        if not wire.JOB_ID.match(job):
            return 404, wire.error("no such job"), []
        ended = self.replica.ended.get(job)
        if ended is not None:
            return 200, wire.accepted(job, ended.value), []
        home = self.home_of(job)
        if home == self.me:
            return await self.withdraw_here(job)
        if home:
            return await self.ask(home, "withdraw", job) or later("the job's controller is out of reach")
        try:
            row = await self.store.get(JOBS + job)
        except _TROUBLE:
            return later("the state service is out of reach")
        return (404, wire.error("no such job"), []) if row is None else later("not known here yet")

    async def withdraw_here(self, job: str) -> Answer:
        mine = self.home.jobs.get(job)
        if mine is None or not self.membership.may_act(now()):
            return later("not entitled")
        if mine.stored_state is JobState.ACTIVE:
            mine.abort(now())
            event = curio.Event()
            self.ended_waiters.setdefault(job, []).append(event)
            try:
                await curio.timeout_after(c.SUBMIT_WAIT_S, event.wait)
            except curio.TaskTimeout:
                return later("the state service is slow")
        return 200, wire.accepted(job, mine.stored_state.value), []

    # -- questions between controllers

    async def ask(self, label: str, what: str, job: str) -> Answer | None:
        self.ask_count += 1
        number, event, replies = self.ask_count, curio.Event(), []
        self.asks[number] = (event, replies)
        self.tell(label, m.Ask(number, what, job))
        await self.after()
        try:
            await curio.timeout_after(c.ASK_S if what == "status" else c.SUBMIT_WAIT_S, event.wait)
        except curio.TaskTimeout:
            return None
        finally:
            del self.asks[number]
        reply = replies[0]
        if reply.status != 200:
            return None
        return reply.status, reply.body, []

    async def answer_ask(self, label: str, ask: m.Ask) -> None:
        if ask.what == "withdraw":
            status, body, _ = await self.withdraw_here(ask.job)
        else:
            status, body, _ = self.status_here(ask.job) or later("not here")
        self.tell(label, m.Reply(ask.ask, status, body))
        await self.after()


def _wrong_method(allowed: str) -> Answer:
    return 405, wire.error("wrong method"), [("Allow", allowed)]
