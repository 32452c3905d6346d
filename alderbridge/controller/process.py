"""One controller: the I/O around a ``ControllerCore``, to store, cloud, workers, users and peers."""

from __future__ import annotations

import logging
import time
from collections import deque
from collections.abc import Awaitable, Callable

import curio
import h11
import msgspec

from alderbridge import constants
from alderbridge.cloud import Cloud, CloudError, NoCapacityError
from alderbridge.configuration import Declared
from alderbridge.controller.core import ControllerCore, WriteBatch
from alderbridge.jobs.shard import JobState, Record
from alderbridge.leader.leader import ScalingDecision
from alderbridge.machines.shard import Machine
from alderbridge.membership.view import MemberRecord, MemberStatus
from alderbridge.protocol import messages, wire
from alderbridge.scheduling import placement
from alderbridge.settings import Platform, Tuning, address
from alderbridge.state.store import (
    JOBS,
    MEMBERS,
    ROOT,
    TYPES,
    VIEW,
    LeaseExpiredError,
    RateLimitedError,
    Store,
    StoreRefusedError,
    TransactionTooLargeError,
    WatchCompactedError,
)
from alderbridge.transport import mesh
from alderbridge.transport.http import Answer, Exchange, Reading, Server, TokenBucket, UnansweredError
from alderbridge.transport.selector import Poll

log = logging.getLogger("controller")
now = time.monotonic
_record = msgspec.json.Decoder(Record)

LATER = [("Retry-After", str(constants.RETRY_AFTER_S))]
_TROUBLE = (StoreRefusedError, UnansweredError, TransactionTooLargeError, msgspec.DecodeError)


def later(text: str) -> Answer:
    return 503, wire.error_body(text), LATER


class Controller:
    def __init__(self, platform: Platform, tuning: Tuning, poll: Poll, own: dict[str, Declared] | None = None) -> None:
        shared = platform.settings
        self.platform, self.poll = platform, poll
        self.core = ControllerCore(platform, tuning, now(), own=own)
        self.membership = self.core.membership
        self.store = Store(platform.endpoints.state)
        self.cloud = Cloud(platform.endpoints.cloud)
        self.mesh = mesh.Mesh(
            platform.mesh_addr, {peer.label: peer.addr for peer in platform.peers}, self.on_frames, poll
        )
        self.waiters: dict[object, list[curio.Event]] = {}  # submission or job -> who waits for it
        self.taking: dict[Machine, list[tuple[int, Callable[[Answer], None]]]] = {}  # reports not answered yet
        self.takes: deque[tuple[float, Machine]] = deque()  # until when their answers wait for grants
        self.asks: dict[int, tuple[curio.Event, list[messages.JobQueryReply]]] = {}
        self.polls: dict[int, tuple[str, Callable[[Answer], None]]] = {}  # users' questions that others answer
        self.poll_ends: deque[tuple[float, int]] = deque()
        # Numbers of questions go on from the time of day: an answer to an earlier life of this label, on its way
        # when that ended, told the user of a question with the same number about another job.
        self.ask_count = time.time_ns()
        self.unanswered: dict[str, tuple[float, float]] = {}  # job -> since when nothing was answered here, when said
        self.cloud_rate_limit = TokenBucket(
            shared.cloud.rps * constants.RATE_SHARE, shared.cloud.rps * constants.RATE_SHARE, now()
        )
        self.store_bad_until = 0.0
        self.probes: set[Exchange] = set()  # with workers, for their acknowledgement
        self.work = curio.Event()  # set when there may be something to write, while ``writer_waits``
        self.writer_waits = False
        self.rent_names = 0
        self.server = Server(self.handle, int(shared.limits.max_sockets * constants.SOCKET_RESERVE), poll)

    def on_frames(self, frames: list[messages.Frame]) -> None:
        for frame in frames:
            self.core.on_frame(frame, now())

    async def after(self) -> None:
        """Move what the node has left for others."""
        core = self.core
        if self.writer_waits and not core.nothing_to_write():
            await self.work.set()
        while core.queries:
            label, ask = core.queries.popleft()
            if ask.kind == "status":
                self.answer_status(label, ask)
            else:
                await curio.spawn(self.answer_ask, label, ask, daemon=True)
        renewals, core.channel_renewals = core.channel_renewals, []
        for label in renewals:
            self.mesh.renew(label)
        outgoing, core.outgoing_frames = core.outgoing_frames, []
        for label, frame in outgoing:
            self.mesh.put(label, frame)
        while core.query_replies:
            reply = core.query_replies.popleft()
            waiting = self.asks.get(reply.query_id)
            if reply.query_id in self.polls:
                await self.told(reply.query_id, reply)
            elif waiting is not None:
                waiting[1].append(reply)
                await waiting[0].set()
        while core.notifications:
            what = core.notifications.popleft()
            for event in self.waiters.pop(what, ()):
                await event.set()
            self.settle(what)
        while self.takes and (self.takes[0][1] not in self.taking or self.takes[0][0] <= now()):
            self.settle(self.takes.popleft()[1])
        while self.poll_ends and (self.poll_ends[0][1] not in self.polls or self.poll_ends[0][0] <= now()):
            await self.told(self.poll_ends.popleft()[1], None)
        self.poll.alarm = min((ends[0][0] for ends in (self.takes, self.poll_ends) if ends), default=float("inf"))
        await self.mesh.flush()

    async def wait_for(self, what: object, timeout_s: float) -> bool:
        """Wait until the node has news of it."""
        event = curio.Event()
        self.waiters.setdefault(what, []).append(event)
        try:
            await curio.timeout_after(timeout_s, event.wait)
        except curio.TaskTimeout:
            waiting = self.waiters.get(what, [])
            if event in waiting:
                waiting.remove(event)
            if not waiting:
                self.waiters.pop(what, None)
            return False
        return True

    # -- running ---------------------------------------------------------------

    async def run(self) -> None:
        host, port = address(self.platform.listen)
        log.info("controller=%s state=started", self.platform.label)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self.poll.serve, self.after)
            await group.spawn(self.server.serve, host, port)
            await group.spawn(self.mesh.serve)
            for label in self.mesh.peers:
                await group.spawn(self.mesh.send_to, label)
            for loop in (
                self.keep_store_lease,
                self.keep_replica,
                self.keep_view,
                self.keep_records,
                self.keep_rounds,
                self.keep_types,
                self.keep_machines,
            ):
                await group.spawn(self.forever, loop)

    async def forever(self, loop: Callable[[], Awaitable[None]]) -> None:
        """A loop that meets a fault says so and goes on; the process does not end by itself."""
        while True:
            try:
                await loop()
            except _TROUBLE as error:
                log.info("loop=%s state=interrupted cause=%s", loop.__name__, error)
            except curio.CancelledError:
                raise
            except Exception:
                log.exception("loop=%s state=failed", loop.__name__)
            await curio.sleep(constants.ROUND_S)

    # -- hold, replica, view -----------------------------------------------------

    async def keep_store_lease(self) -> None:
        store_lease = self.membership.store_lease
        if not store_lease.lease_id:
            await self.acquire_store_lease()
        while store_lease.lease_id:
            await curio.sleep(store_lease.ttl_s / constants.STORE_LEASE_RENEWALS)
            if self.membership.is_removed():
                log.info("store_lease=%d state=expired cause=removed from the view by a quorum", store_lease.lease_id)
                store_lease.mark_expired()
                return
            sent = now()
            try:
                await self.store.renew_lease(store_lease.lease_id)
                store_lease.record_renewal(store_lease.lease_id, sent)
            except LeaseExpiredError:
                log.info("store_lease=%d state=expired", store_lease.lease_id)
                store_lease.mark_expired()
            except _TROUBLE as error:
                self.store_trouble()
                log.info("store_lease=%d state=unconfirmed cause=%s", store_lease.lease_id, error)

    async def acquire_store_lease(self) -> None:
        """Enter as a new incarnation; an earlier process of this label is dead."""
        key = MEMBERS + self.platform.label
        row = await self.store.get(key)
        sent = now()
        lease_id = await self.store.grant_lease(self.membership.store_lease.ttl_s)
        # The key passes from one hold to the other in one step: were it gone for a moment, the
        # others would change the view twice, and workers are slow to see a second new mandate.
        condition = {key: row.revision if row is not None else 0}
        done = await self.store.commit(
            condition, {key: MemberRecord(lease_id, constants.PROTOCOL_VERSION)}, lease_id=lease_id
        )
        if done.failed:
            await self.store.revoke_lease(lease_id)
            raise StoreRefusedError("the key of this label has changed meanwhile")
        self.core.lease_acquired(lease_id, sent, now())
        log.info("store_lease=%d state=acquired", lease_id)
        if row is not None:
            try:
                await self.store.revoke_lease(msgspec.json.decode(row.data, type=MemberRecord).lease_id)
            except _TROUBLE as error:  # no key hangs on it any more: it ends by itself, and costs no second entry
                log.debug("store_lease state=not_revoked cause=%s", error)

    async def keep_replica(self) -> None:
        await self.load_replica()
        while True:
            sent = now()
            try:
                # Well within the ttl, however short the deployment makes it: answers keep the view fresh.
                wait_s = min(constants.WATCH_WAIT_S, self.membership.store_lease.ttl_s / constants.STORE_LEASE_RENEWALS)
                changes = await self.store.watch(self.core.replica.revision, wait_s)
            except WatchCompactedError:
                await self.load_replica()
                continue
            self.followed(sent)
            self.core.apply_events(changes.events, now(), time.time())
            self.core.replica.revision = max(self.core.replica.revision, changes.revision)
            await self.ask_workers()
            await curio.sleep(constants.WATCH_PAUSE_S)

    async def load_replica(self) -> None:
        """Read everything; following on from the first page's epoch repeats, and misses, nothing."""
        page = await self.store.list_page(ROOT, None)
        revision, rows = page.revision, list(page.rows)
        while page.has_next and page.rows:
            page = await self.store.list_page(ROOT, rows[-1].key)
            rows += page.rows
        sent = now()
        changes = await self.store.watch_now(revision)
        self.followed(sent)
        self.core.load(rows, changes.events, changes.revision, now(), time.time())

    def followed(self, sent: float) -> None:
        """The store has answered what it was asked at ``sent``.

        If that was the first time for a while, what was asked here meanwhile could not be answered, and can be now: the
        store is as quick as the reading of one record has to be.
        Users ask one controller after the other, so nobody may ask here again before the next outage: the line for an
        unanswered job told of 121 s, in 21 of which it could be answered here.
        """
        before = self.membership.synced_at
        self.membership.record_sync(sent)
        if sent - before >= constants.STORE_REACHABLE_S and now() - sent < constants.STATE_TIMEOUT_S:
            # What began before that was no matter of the store.
            self.unanswered = {job: times for job, times in self.unanswered.items() if times[0] < before}

    # -- acknowledgements

    async def ask_workers(self) -> None:
        """After a new view: ask for what the machines' next reports would say only seconds later."""
        await self.after()
        for exchange in [one for one in self.probes if one.overdue(now(), constants.PROBE_TIMEOUT_S)]:
            exchange.close()
        self.ask_more()

    def ask_more(self) -> None:
        while (
            len(self.probes) < constants.PROBES_AT_ONCE
            and self.membership.may_act(now())
            and (machine := self.core.machine_shard.next_to_probe(now())) is not None
        ):
            self.ask_worker(self.membership.fencing_token, *machine)

    def ask_worker(self, fencing_token: int, name: str, worker: str, incarnation: int, again: bool = True) -> None:
        def done(answer: tuple[int, bytes] | None) -> None:
            self.probes.discard(exchange)
            try:
                if answer is None:
                    raise wire.MalformedBodyError("no answer")
                status, body = answer
                heartbeat = wire.parse_heartbeat(body)
                if status == 409 and heartbeat.incarnation != incarnation and again:
                    return self.ask_worker(fencing_token, name, worker, heartbeat.incarnation, False)
                if status == 200 and heartbeat.machine == name and fencing_token == self.membership.fencing_token:
                    self.core.on_probe_answered(heartbeat, now())
            except wire.MalformedBodyError as error:
                if fencing_token == self.membership.fencing_token:
                    self.core.machine_shard.prober.unanswered(name, now())
                log.debug("machine=%s state=probe_failed cause=%s", name, error)
            self.ask_more()

        try:
            host, port = address(worker)
            reading = Reading(host, "POST", "/commands", wire.acknowledge_request(fencing_token, incarnation))
            exchange = Exchange(self.poll, host, port, reading, done)
        except (OSError, ValueError, h11.ProtocolError) as error:
            self.core.machine_shard.prober.unanswered(name, now())
            log.debug("machine=%s state=probe_failed cause=%s", name, error)
        else:
            self.probes.add(exchange)

    async def keep_view(self) -> None:
        while True:
            await curio.sleep(constants.ROUND_S)
            change = self.core.next_view(now())
            if change is None:
                continue
            view, conditions, drops = change
            done = await self.store.commit(conditions, {VIEW: view}, drops)
            if done.failed:
                log.info("view state=conflict failed=%s", done.failed)
                await curio.sleep(constants.ROUND_S)

    def store_trouble(self) -> None:
        self.store_bad_until = now() + constants.STORE_BACKOFF_S

    # -- records and rounds --------------------------------------------------------

    async def keep_records(self) -> None:
        while True:
            await curio.sleep(constants.WRITER_PAUSE_S)
            batch = self.core.next_batch(now())
            if batch is None:
                await self.wait_for_work()
                continue
            try:
                done = await self.store.commit(batch.conditions, batch.puts, batch.drops)
                if done.failed:
                    await self.settle_conflict(batch, done.failed)
                else:
                    self.core.on_batch_written(batch, done.revision, now())
                    self.store_bad_until = 0.0
                await self.after()
            except TransactionTooLargeError as error:
                self.core.on_batch_too_large(batch, now())
                await self.after()
                log.error("records state=too_large changes=%d cause=%s", batch.changes, error)
                await curio.sleep(constants.ROUND_S)
            except (*_TROUBLE, LeaseExpiredError) as error:
                self.core.on_batch_failed(batch, now())
                if isinstance(error, RateLimitedError):
                    self.core.write_rate_limit.budget.spend(
                        now(), max(0.0, self.core.write_rate_limit.budget.available(now()))
                    )
                else:
                    self.store_trouble()
                    if isinstance(error, StoreRefusedError):
                        self.core.refuse_submissions()
                        await self.after()
                log.info("records state=unconfirmed cause=%s", error)
                await curio.sleep(constants.ROUND_S)

    async def wait_for_work(self) -> None:
        """Until there may be something to write: looking again and again costs more than all the writing."""
        pause = self.core.next_write_in(now())
        if pause > constants.WRITER_PAUSE_S and self.core.nothing_to_write():
            self.writer_waits = True
            try:
                await curio.timeout_after(pause - constants.WRITER_PAUSE_S, self.work.wait)
            except curio.TaskTimeout:
                pass
            self.writer_waits = False
            self.work.clear()

    async def settle_conflict(self, batch: WriteBatch, failed: list[str]) -> None:
        """Something else is in the store: read it and decide anew."""
        log.info("records state=conflict failed=%s", failed)
        self.core.on_batch_failed(batch, now())
        if VIEW in failed:
            await curio.sleep(constants.WATCH_PAUSE_S)
            return
        for key in failed:
            self.core.resolve_conflict(batch, key, await self.store.get(key), now())

    async def keep_rounds(self) -> None:
        while True:
            await curio.sleep(constants.ROUND_S)
            self.core.round(now())
            await self.ask_workers()

    # -- the cloud -------------------------------------------------------------------

    async def keep_types(self) -> None:
        """Machine types; the leader reads the prices again and again, others until they know."""
        core = self.core
        asked = False
        while True:
            if not asked or self.membership.is_leader(now()):
                try:
                    if self.cloud_rate_limit.try_take(now()):
                        core.set_machine_types(await self.cloud.machine_types())
                        asked = True
                        await self.store_types()
                except (
                    CloudError,
                    NoCapacityError,
                    StoreRefusedError,
                    LeaseExpiredError,
                    UnansweredError,
                    msgspec.DecodeError,
                ) as error:
                    log.info("cloud state=failed cause=%s", error)
            await curio.sleep(constants.MACHINE_TYPES_REFRESH_S if asked else constants.LEADER_ROUND_S)

    async def store_types(self) -> None:
        """A controller that starts while the cloud is out of reach reads them there."""
        machine_types = self.core.types_to_store()
        if machine_types is not None:
            conditions = {VIEW: self.membership.fencing_token, TYPES: self.core.replica.types_revision}
            try:
                await self.store.commit(conditions, {TYPES: machine_types})
            except TransactionTooLargeError:
                self.core.reduce_value_limit(len(wire.encode(machine_types)))

    async def keep_machines(self) -> None:
        """The leader's round: list, decide, rent, give back."""
        listed_at = float("-inf")
        fencing_token = 0
        while True:
            await curio.sleep(constants.LEADER_ROUND_S)
            if not self.membership.is_leader(now()) or not self.core.types:
                continue
            if fencing_token != self.membership.fencing_token:
                fencing_token, listed_at = self.membership.fencing_token, float("-inf")
            try:
                if now() - listed_at >= constants.MACHINE_LIST_S and self.cloud_rate_limit.try_take(now()):
                    listed_at = now()
                    await self.list_machines()
                # What one call did not fill, another kind may: at once, while the budget lasts.
                while (
                    await self.carry_out(self.core.leader.decide(now())) and self.cloud_rate_limit.available(now()) >= 1
                ):
                    pass
            except (CloudError, UnansweredError, msgspec.DecodeError) as error:
                log.info("cloud state=failed cause=%s", error)

    async def list_machines(self) -> None:
        hosts: list[wire.ListedMachine] = []
        after = ""
        while True:
            page = await self.cloud.page(after)
            hosts += page.hosts
            if not page.has_next or not page.hosts:
                break
            after = page.hosts[-1].id
        known = self.core.machine_shard.terminated
        self.core.leader.on_listing([host for host in hosts if host.id not in known], now())

    async def carry_out(self, decision: ScalingDecision) -> bool:
        """True if a rental was refused in part or whole."""
        short = False
        self.core.drain_machines(decision.drain, now())
        await self.after()
        leader = self.core.leader
        for kind, count in decision.scale_out:
            if not self.membership.is_leader(now()) or not self.cloud_rate_limit.try_take(now()):
                break
            self.rent_names += 1
            name = f"{self.platform.label}-{self.membership.fencing_token}-{self.rent_names}"
            try:
                names = await self.cloud.rent(name, kind.type, kind.zone, kind.spot, count)
                log.info(
                    "scale_out type=%s zone=%s spot=%s requested=%d granted=%d",
                    kind.type,
                    kind.zone,
                    kind.spot,
                    count,
                    len(names),
                )
                leader.on_scaled_out(kind, names, now())
                if len(names) < count:
                    short = True
                    leader.on_refused(kind, now())
            except NoCapacityError:
                log.info("scale_out type=%s zone=%s spot=%s state=refused", kind.type, kind.zone, kind.spot)
                short = True
                leader.on_refused(kind, now())
        if decision.terminate and self.membership.is_leader(now()) and self.cloud_rate_limit.try_take(now()):
            names = decision.terminate[:100]
            await self.cloud.give_back(names)
            self.core.on_terminated(names, now())
            await self.after()
        return short

    # -- HTTP ------------------------------------------------------------------------

    def handle(
        self, method: str, target: str, body: bytes, reply: Callable[[Answer], None]
    ) -> Answer | Awaitable[Answer] | None:
        path = target.split("?", 1)[0]
        if path == "/agent/beat":
            return self.on_heartbeat(body, reply) if method == "POST" else _wrong_method("POST")
        if path == "/healthz":
            return self.health() if method == "GET" else _wrong_method("GET")
        if path == "/v1/jobs":
            return self.submit(body) if method == "POST" else _wrong_method("POST")
        if path.startswith("/v1/jobs/"):
            job, _, action = path[len("/v1/jobs/") :].partition("/")
            if action == "":
                return self.status_now(job, reply) if method == "GET" else _wrong_method("GET")
            if action == "withdraw":
                return self.withdraw(job) if method == "POST" else _wrong_method("POST")
        return 404, wire.error_body("no such path"), []

    def health(self) -> Answer:
        status = self.membership.status(now())
        # Lapsed in an outage that all share it stays: it can tell of ended jobs, and is there when the store is. Not so
        # one that others may have replaced: users whose connections stay with it would be told nothing of any job.
        overtaken = any(
            ch.peer_fencing_token > self.membership.fencing_token for ch in self.core.channels.values()
        ) or self.membership.failure_detector.is_isolated(now())
        if not self.core.loaded or status is MemberStatus.OUTSIDE or (status is MemberStatus.EXPIRED and overtaken):
            return later("not taking part")
        return 200, b'{"status":"ok"}', []

    # -- workers

    def on_heartbeat(self, body: bytes, reply: Callable[[Answer], None]) -> Answer | None:
        try:
            heartbeat = wire.parse_heartbeat(body)
        except wire.MalformedBodyError as error:
            return 400, wire.error_body(str(error)), []
        core = self.core
        if not core.loaded or not self.membership.may_act(now()):
            return later("not entitled")
        owner = self.membership.report_to(heartbeat.machine)
        if heartbeat.fencing_token > self.membership.fencing_token:
            return later("a newer view has begun")  # a 200 would be dropped, and hold the worker here for its lease
        if owner != core.me:
            return 421, wire.encode({"steward": owner}), []
        fencing_token = self.membership.fencing_token
        machine = core.on_heartbeat(heartbeat, now())
        if machine is None:
            return later("not the newest report")
        if machine.reserved:  # other homes answer within a few ms
            self.taking.setdefault(machine, []).append((fencing_token, reply))
            self.takes.append((now() + constants.GRANT_WAIT_S, machine))
            return None
        return self.heartbeat_response(machine, fencing_token)

    def heartbeat_response(self, machine: Machine, fencing_token: int) -> Answer:
        if fencing_token != self.membership.fencing_token or not self.membership.may_act(now()):
            return later("not entitled")
        return 200, wire.heartbeat_response(fencing_token, self.core.machine_shard.order_builder.orders(machine)), []

    def settle(self, machine: object) -> None:
        """Answer the reports that wait for its grants."""
        for fencing_token, reply in self.taking.pop(machine, ()):
            try:
                answer = self.heartbeat_response(machine, fencing_token)
            except Exception:
                log.exception("heartbeat machine=%s state=failed", machine.name)
                answer = 500, wire.error_body("internal"), []
            reply(answer)

    # -- users

    async def submit(self, body: bytes) -> Answer:
        try:
            spec = wire.parse_job(body)
        except wire.MalformedBodyError as error:
            # Whatever has become of the body of a retry: an accepted job is never refused, here or elsewhere.
            job = wire.job_id_in(body)
            return await self.never(job, str(error), 400) if job else (400, wire.error_body(str(error)), [])
        core = self.core
        if core.knows_job(spec.id):
            return await self.known(spec.id)
        if not core.loaded or not core.types:
            return later("not ready")
        why = self.never_runs(spec)
        if why:
            return await self.never(spec.id, why)
        if not self.membership.may_act(now()) or now() < self.store_bad_until:
            return later("the state service is out of reach")
        answer = await self.check_needs(spec) if spec.needs else None
        if answer is not None:
            return answer
        submission = core.submit(spec, now(), time.time())
        if submission is None:
            return await self.never(spec.id, "the job's description is too long", 400)
        await self.after()
        if not submission.outcome and not await self.wait_for(submission, constants.SUBMIT_WAIT_S):
            return later("the state service is slow")
        if submission.outcome == "refused":
            return later("the state service is out of reach")
        if submission.outcome == "too long":
            return await self.never(spec.id, "the job's description is too long", 400)
        if submission.outcome == "accepted":
            ended = core.replica.ended.get(spec.id)
            return 201, wire.accepted_body(spec.id, "pending" if ended is None else ended.value), []
        return await self.known(spec.id)

    async def check_needs(self, spec: wire.JobSpec) -> Answer | None:
        """The answer to a submission that waits for others, where it can't be taken."""
        core = self.core
        if not self.membership.all_support(constants.VERSION_WITH_DEPENDENCIES):
            return later("a controller still runs a version that knows of no dependencies")
        for need in spec.needs or ():
            if need == spec.id:
                return await self.never(spec.id, f"waits_on: {need} is this job")
            if core.knows_job(need):
                continue
            # Another node may have accepted it a moment ago: only the store can tell.
            try:
                row = await self.store.get(JOBS + need)
            except _TROUBLE:
                self.store_trouble()
                return later("the state service is out of reach")
            if row is None:
                return await self.never(spec.id, f"waits_on: {need} was never accepted")
            core.observe_end(need, _record.decode(row.data), row.revision)
        return None

    async def never(self, job: str, why: str, refusal: int = 422) -> Answer:
        """A job that is known is never told this, so the store is asked before."""
        status = await self.status(job)
        return (refusal, wire.error_body(why), []) if status[0] == 404 else status

    def never_runs(self, spec: wire.JobSpec) -> str:
        team = next((team for team in self.platform.settings.teams if team.name == spec.team), None)
        if team is None:
            return "unknown team"
        if not placement.runnable(spec, self.core.types.values()):
            return "a task fits no allowed machine type"
        tasks = spec.tasks if spec.service else 1
        if (team.cpus_max > 0 and spec.cpus * tasks > team.cpus_max + 1e-9) or (
            team.gpus_max > 0 and spec.gpus * tasks > team.gpus_max + 1e-9
        ):
            return "more than the team's limit"
        return ""

    async def known(self, job: str) -> Answer:
        """The answer to a repeated submission."""
        status, body, headers = await self.status(job)
        return status if status != 404 else 503, body, headers if status != 404 else LATER

    def status_now(self, job: str, reply: Callable[[Answer], None]) -> Answer | Awaitable[Answer] | None:
        """``status`` without a task where memory has the answer, here or at the job's home."""
        if not wire.JOB_ID.match(job):
            return 404, wire.error_body("no such job"), []
        state = self.core.local_job_state(job, now())
        if state is not None:
            return self.noted(job, (200, wire.job_status_body(job, *state), []))
        owner = self.core.job_owner(job)
        if not owner or owner == self.core.me:
            return self.status_stored(job)
        self.ask_count += 1
        self.polls[self.ask_count] = (job, reply)
        self.poll_ends.append((now() + constants.QUERY_TIMEOUT_S, self.ask_count))
        self.core.send_unreliable(owner, messages.JobQuery(self.ask_count, "status", job))
        return None

    async def told(self, number: int, answer: messages.JobQueryReply | None) -> None:
        """The job's home has answered a user's question, or not in time."""
        if number not in self.polls:
            return
        job, reply = self.polls.pop(number)
        if answer is not None and answer.status == 200 and job.encode() in answer.body:
            reply(self.noted(job, (200, answer.body, [])))
        else:
            await curio.spawn(self.tell_stored, job, reply, daemon=True)

    async def tell_stored(self, job: str, reply: Callable[[Answer], None]) -> None:
        try:
            reply(await self.status_stored(job))
        except Exception:
            log.exception("status job=%s state=failed", job)
            reply((500, wire.error_body("internal"), []))

    async def status(self, job: str) -> Answer:
        if not wire.JOB_ID.match(job):
            return 404, wire.error_body("no such job"), []
        state = self.core.local_job_state(job, now())
        if state is not None:
            return self.noted(job, (200, wire.job_status_body(job, *state), []))
        owner = self.core.job_owner(job)
        reply = await self.ask(owner, "status", job) if owner and owner != self.core.me else None
        return self.noted(job, reply) if reply is not None else await self.status_stored(job)

    def noted(self, job: str, answer: Answer) -> Answer:
        """What a user is told of a job, after what its home or the store has answered.

        That may have taken seconds, and the end have arrived here, and been told to the same user, in the meantime:
        an end is followed by nothing older.

        A job about which nothing is answered counts as forgotten, whatever else works: said, and seldom.
        """
        ended = self.core.replica.ended.get(job)
        if ended is not None:
            answer = 200, wire.job_status_body(job, ended.value, 0, 0), []
        if answer[0] != 503:
            if self.unanswered:
                self.unanswered.pop(job, None)
            return answer
        if len(self.unanswered) > constants.UNANSWERED_JOBS:
            self.unanswered.clear()
        since, said = self.unanswered.setdefault(job, (now(), now()))
        if now() - said >= constants.UNANSWERED_S:
            self.unanswered[job] = since, now()
            log.info("job=%s state=unanswered cause=no answer here for %.1f s", job, now() - since)
        return answer

    async def status_stored(self, job: str) -> Answer:
        return self.noted(job, await self._status_stored(job))

    async def _status_stored(self, job: str) -> Answer:
        try:
            row = await self.store.get(JOBS + job)
        except _TROUBLE:
            self.store_trouble()
            return later("the state service is out of reach")
        if row is None and self.core.knows_job(job):
            return later("stored a moment ago")  # read before that, and its user may have been told since
        if row is None:
            return 404, wire.error_body("no such job"), []
        record = _record.decode(row.data)
        if record.state is not JobState.ACTIVE:
            return 200, wire.job_status_body(job, record.state.value, 0, 0), []
        if (
            record.spec is not None
            and (record.spec.needs or record.dependency_digest)
            and not self.core.is_certainly_pending(job, now())
        ):
            return later("not known here yet")  # a job before it may be aborted, and others may have told so
        return 200, wire.job_status_body(job, "pending", sum(b - a for a, b in record.done), 0), []

    async def withdraw(self, job: str) -> Answer:
        if not wire.JOB_ID.match(job):
            return 404, wire.error_body("no such job"), []
        owner = self.core.job_owner(job)
        if owner == self.core.me or job in self.core.replica.ended:
            return await self.withdraw_here(job)
        if owner:
            return await self.ask(owner, "withdraw", job) or later("the job's controller is out of reach")
        stored = await self.status_stored(job)
        return stored if stored[0] != 200 else later("not known here yet")

    async def withdraw_here(self, job: str) -> Answer:
        state = self.core.cancel(job, now())
        if state is None:
            return later("not entitled")
        if not state:
            await self.after()
            if not await self.wait_for(job, constants.SUBMIT_WAIT_S):
                return later("the state service is slow")
            state = self.core.replica.ended[job].value
        return 200, wire.accepted_body(job, state), []

    # -- questions between controllers

    async def ask(self, label: str, what: str, job: str) -> Answer | None:
        self.ask_count += 1
        number, event, replies = self.ask_count, curio.Event(), []
        self.asks[number] = (event, replies)
        self.core.send_unreliable(label, messages.JobQuery(number, what, job))
        await self.after()
        try:
            await curio.timeout_after(
                constants.QUERY_TIMEOUT_S if what == "status" else constants.SUBMIT_WAIT_S, event.wait
            )
        except curio.TaskTimeout:
            return None
        finally:
            del self.asks[number]
        reply = replies[0]
        if reply.status != 200 or job.encode() not in reply.body:
            return None
        return reply.status, reply.body, []

    def answer_status(self, label: str, ask: messages.JobQuery) -> None:
        """From memory, so nothing has to wait for it."""
        state = self.core.local_job_state(ask.job, now())
        status, body = (503, b"") if state is None else (200, wire.job_status_body(ask.job, *state))
        self.core.send_unreliable(label, messages.JobQueryReply(ask.query_id, status, body))

    async def answer_ask(self, label: str, ask: messages.JobQuery) -> None:
        status, body, _ = await self.withdraw_here(ask.job)
        self.core.send_unreliable(label, messages.JobQueryReply(ask.query_id, status, body))
        await self.after()


def _wrong_method(allowed: str) -> Answer:
    return 405, wire.error_body("wrong method"), [("Allow", allowed)]
