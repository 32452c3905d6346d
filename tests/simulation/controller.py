"""One controller process of the simulation: its loops as events, its calls with delays, losses and late arrivals."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import production

from alderbridge import constants
from alderbridge.controller import admission
from alderbridge.controller.core import ControllerCore
from alderbridge.controller.submissions import Submission
from alderbridge.jobs.record import JobState, Record
from alderbridge.membership.records import MemberRecord
from alderbridge.protocol import messages, wire
from alderbridge.protocol.keys import JOBS, MEMBERS, VIEW
from alderbridge.settings import (
    Tuning,
)
from simulation import deployment
from simulation.deployment import TYPES
from simulation.errors import StoreRefusedError, TransactionTooLargeError
from simulation.store import STORE_S
from simulation.users import NOT_FOUND

if TYPE_CHECKING:
    from simulation.world import World


class SimController:
    """One controller process: its loops as events, its calls with delays, losses and late arrivals.

    ``old``: what passes its boundary is what the version in production sees and sends.
    """

    def __init__(self, world: World, label: str) -> None:
        self.world, self.label = world, label
        self.old = world.upgrade
        self.cut_store_until = self.cut_mesh_until = self.cut_workers_until = 0.0
        self.mesh_held_until = 0.0  # until then frames are held back for the cut's end, not lost: then it connects anew
        self.refused_until = 0.0  # the store says 503 to this one alone
        self.follow_hangs = False
        self.ahead_s = 0.0  # its time of day less the world's
        self.dead_links: set[str] = set()  # the other end has closed and it was not heard: all is lost until renewed
        self.links = dict.fromkeys(world.labels, 0.0)  # arrival time of the last frame: order is kept
        self.life = 0
        self.core: ControllerCore | None = None
        self.start()

    def start(self) -> None:
        self.life += 1
        world, life = self.world, self.life
        self.core = ControllerCore(
            deployment.platform(self.label, world.labels, None if self.old else world.coming),
            Tuning(),
            world.t,
            own={} if self.old else world.files(self.label),
        )
        self.core.machine_shard.capacity.types = TYPES
        self.core.leader.on_types(TYPES)
        world.prepare(self.core)
        self.busy = self.entering = False
        self.rests_until = 0.0
        self.follow_busy = self.reads_all = False
        self.links = dict.fromkeys(self.links, 0.0)  # new connections: what the earlier life sent may come after
        self.dead_links = set()
        for other in world.nodes.values():
            other.dead_links.discard(self.label)
        self.rents = 0
        self.renting = False
        for step, pause in (
            (self.hold, 1.5),
            (self.follow, 0.15),
            (self.view, constants.ROUND_S),
            (self.write, 0.05),
            (self.round, constants.ROUND_S),
            (self.lead, constants.LEADER_ROUND_S),
        ):
            world.after(world.rng.random() * 0.2, self.loop, life, step, pause)

    def crash(self) -> None:
        self.life += 1
        self.core = None

    def loop(self, life: int, step, pause: float) -> None:
        if life == self.life:
            step()
            self.flush()
            self.world.after(pause, self.loop, life, step, pause)

    def call(self, then, fail, method, *args, too_large=None) -> None:
        """A call to the store: may be refused, lost, unanswered, or carried out late."""
        world, life, rng = self.world, self.life, self.world.rng
        cut = world.t < self.cut_store_until

        def settle(answer) -> None:
            if life == self.life:
                if answer is TransactionTooLargeError:
                    (too_large or fail)()
                elif answer is None:
                    fail()
                else:
                    then(answer)
                self.flush()

        def carry_out(answered: bool) -> None:
            try:
                answer = method(*args)
            except StoreRefusedError:
                answer = None
            except TransactionTooLargeError:
                answer = TransactionTooLargeError
            if answered:
                world.after(rng.uniform(0.001, 0.01), settle, answer)

        store, reads = world.store, method.__name__ == "read"  # all else changes the store
        if world.t < self.refused_until and not cut:
            # What it followed when the refusals began is open, and hangs until the client gives it up.
            hangs, self.follow_hangs = self.follow_hangs and reads, self.follow_hangs and not reads
            world.after(constants.WATCH_WAIT_S + STORE_S if hangs else 0.01, settle, None)
            return
        lost = rng.random()
        if cut or lost < 0.01:
            if not cut or rng.random() < 0.5:
                world.after(rng.uniform(0.5, 30.0), carry_out, False)  # a late transaction
            world.after(STORE_S, settle, None)
        elif not reads and world.t < store.late_until and rng.random() < store.late_share:
            world.after(rng.uniform(2.0, 12.0), carry_out, False)  # after newer ones of this controller
            world.after(STORE_S, settle, None)
        elif not reads and world.t < store.lost_until and rng.random() < store.lost_share:
            world.after(rng.uniform(0.001, 0.01), carry_out, False)  # others read it before its writer knows
            world.after(STORE_S, settle, None)
        else:
            delay = rng.uniform(0.001, 0.01) * (store.slow_by if world.t < store.slow_until else 1.0)
            world.after(delay, carry_out, delay < STORE_S)
            if delay >= STORE_S:
                world.after(STORE_S, settle, None)

    def hold(self) -> None:
        core, store, world, sent = self.core, self.world.store, self.world, self.world.t
        hold = core.membership.store_lease

        def extend():
            store.check()
            if hold.lease_id not in store.holds:
                return False
            store.holds[hold.lease_id] = world.t + hold.ttl_s
            return True

        def extended(good):
            if good:
                hold.record_renewal(hold.lease_id, sent)
            else:
                hold.mark_expired()

        if core.membership.is_removed():
            hold.mark_expired()
        if hold.lease_id:
            self.call(extended, lambda: None, extend)
        elif not self.entering:
            self.entering = True
            self.acquire()

    def acquire(self) -> None:
        """Step by step as the program enters: what an earlier life had on its way may come in between."""
        core, store, world = self.core, self.world.store, self.world
        key, before, sent = MEMBERS + self.label, None, 0.0

        def failed() -> None:
            self.entering = False

        def looked(answer) -> None:
            nonlocal before, sent
            before, sent = answer[0], world.t
            self.call(got, failed, take)

        def take() -> int:
            store.check()
            lease_id = next(store.lease_ids)
            store.holds[lease_id] = world.t + core.membership.store_lease.ttl_s
            return lease_id

        def got(lease_id: int) -> None:
            member = MemberRecord(lease_id, 1 if self.old else constants.PROTOCOL_VERSION)
            self.call(
                lambda answer: entered(lease_id, answer),
                failed,
                store.commit,
                {key: before.revision if before else 0},
                {key: member},
                (),
                lease_id,
            )

        def entered(lease_id: int, answer: wire.TransactionResult) -> None:
            self.entering = False
            if answer.failed:
                return
            core.view_entry.lease_acquired(lease_id, sent, world.t)
            if before is not None:
                lease_id = msgspec.json.decode(before.data, type=MemberRecord).lease_id
                self.call(lambda _: None, lambda: None, lambda: store.check() or store.end(lease_id) or True)

        self.call(looked, failed, self.read, key)

    def follow(self) -> None:
        core, store, world = self.core, self.world.store, self.world
        if self.follow_busy:
            return
        self.follow_busy = True
        sent = world.t

        def read(since: int | None = None):
            store.check()
            if since is None and (self.reads_all or not core.state.loaded):
                return self.seen(store.rows()), [], store.revision
            return None, self.seen(store.since(core.replica.revision if since is None else since)), store.revision

        def done(answer, rows=None, sent=sent):
            rows, changes, revision = answer if rows is None else (rows, *answer[1:])
            if rows is not None and core.state.loaded and self.reads_all:  # then what has changed since the first row
                self.reads_all = False
                self.call(lambda answer, sent=world.t: done(answer, rows, sent), failed, read, revision)
                return
            self.follow_busy = False
            core.membership.record_sync(sent)
            if rows is None:
                core.store_follower.apply_events(changes, world.t, world.t + self.ahead_s)
                core.replica.revision = revision
            else:
                core.store_follower.load(rows, changes, revision, world.t, world.t + self.ahead_s)
            world.followed(self, [*(rows or ()), *changes])

        def failed():
            self.follow_busy = False
            self.reads_all = world.reloads and core.state.loaded  # as the program does after any failure to follow

        self.call(done, failed, read)

    def seen(self, rows: list) -> list:
        """Rows or changes as this version reads them."""
        if not self.old:
            return rows
        return [
            row
            if isinstance(row, wire.WatchEvent) and row.put is None
            else msgspec.structs.replace(
                row, data=msgspec.Raw(production.value(getattr(row, "key", None) or row.put, bytes(row.data)))
            )
            for row in rows
        ]

    def view(self) -> None:
        change = self.core.view_entry.next_view(self.world.t)
        if change is not None:
            view, conditions, drops = change
            self.call(lambda _: None, lambda: None, self.world.store.commit, conditions, {VIEW: view}, drops)

    def write(self) -> None:
        if self.busy:
            return
        core, world = self.core, self.world
        if world.t < self.rests_until and core.record_writer.nothing_to_write():
            return  # as the program rests
        batch = core.record_writer.next_batch(world.t)
        if batch is None:
            self.rests_until = world.t + core.record_writer.next_write_in(world.t)
            return
        self.busy = True

        def done(answer):
            self.busy = False
            if answer.failed:
                core.batch_results.on_failed(batch, world.t)
                if VIEW not in answer.failed:
                    for key in answer.failed:
                        self.call(
                            lambda row, key=key: core.batch_results.resolve_conflict(batch, key, row[0], world.t),
                            lambda: None,
                            self.read,
                            key,
                        )
            else:
                core.batch_results.on_written(batch, answer.revision, world.t)
            self.tell_users()

        def failed():
            self.busy = False
            core.batch_results.on_failed(batch, world.t)
            away = world.t < max(self.cut_store_until, self.refused_until, world.store.down_until)
            if away or world.rng.random() < 0.5:
                core.submissions.refuse_all()  # the store has said 503, after an attempt that had no answer, it may be
            self.tell_users()

        def too_large():
            self.busy = False
            core.batch_results.on_too_large(batch, world.t)

        puts = batch.puts
        if self.old:
            puts = {
                key: msgspec.json.decode(production.value(key, msgspec.json.encode(value)))
                for key, value in puts.items()
            }
        self.call(done, failed, world.store.commit, batch.conditions, puts, batch.drops, too_large=too_large)

    def read(self, key: str):
        self.world.store.check()
        found = self.world.store.data.get(key)
        return self.seen([wire.KeyValue(key, msgspec.Raw(found[0]), found[1])]) if found is not None else [None]

    def tell_users(self) -> None:
        while self.core.effects.notifications:
            item = self.core.effects.notifications.popleft()
            if isinstance(item, Submission) and item.outcome == "accepted":
                self.world.accept(item.job.spec.id)

    def round(self) -> None:
        self.core.round(self.world.t)
        self.ask()

    def ask(self) -> None:
        """Empty ``/commands`` to the machines of a new view; some are held back, and arrive late."""
        core, world, life = self.core, self.world, self.life
        while core.may_act() and (machine := core.machine_shard.next_to_probe(world.t)) is not None:
            name, _, incarnation = machine
            fencing_token = core.membership.fencing_token

            def answered(raw: bytes, fencing_token: int = fencing_token) -> None:
                if life == self.life and fencing_token == core.membership.fencing_token:
                    core.on_probe_answered(wire.parse_heartbeat(raw), world.t)
                    self.flush()

            def arrive(
                name: str = name, fencing_token: int = fencing_token, incarnation: int = incarnation, reply=answered
            ) -> None:
                worker = world.machines.get(name)
                if worker is not None and worker.alive and world.reaches(worker, self.label):
                    if world.t < worker.held_up_until:
                        world.after(worker.way(), worker.command, fencing_token, incarnation, reply)
                    else:
                        worker.command(fencing_token, incarnation, reply)

            cut = world.t < self.cut_workers_until
            if not cut or world.rng.random() < 0.5:
                world.after(
                    world.rng.uniform(1.0, 30.0) if cut or world.rng.random() < 0.1 else world.rng.uniform(0.001, 0.3),
                    arrive,
                )

    def lead(self) -> None:
        core, world = self.core, self.world
        if not core.membership.is_leader(world.t) or self.renting:
            return
        core.leader.on_listing(world.listing(), world.t)
        decision = core.leader.decide(world.t)
        core.drain_machines(decision.drain, world.t)
        for kind, count in decision.scale_out:
            names = world.rent(kind, count)
            if world.t < world.quick_until:  # the machines are up and report before the answer is here
                self.renting = True
                world.after(world.rng.uniform(0.5, 3.0), self.rented, self.life, kind, names, count)
            else:
                self.rented(self.life, kind, names, count)
        if decision.terminate and world.rng.random() < 0.95:
            world.remove(decision.terminate)
            if world.rng.random() < 0.95:
                core.on_terminated(decision.terminate, world.t)

    def rented(self, life: int, kind, names: list[str], count: int) -> None:
        if life == self.life:
            self.renting = False
            self.core.leader.on_scaled_out(kind, names, self.world.t)
            if len(names) < count:
                self.core.leader.on_refused(kind, self.world.t)

    # -- users, as ``UsersApi`` serves them; ``told`` a state, ``NOT_FOUND``, or None for 503

    def status(self, job: str, told) -> None:
        """As ``StatusHandler.poll_status``: from memory, else by the job's home, by messages, else from the store."""
        core, world, life = self.core, self.world, self.life
        state = core.local_jobs.local_job_state(job, world.t)
        if state is not None:
            told(self.noted(job, state[0]))
            return
        home = core.directory.job_owner(job)
        if not home or home == self.label:
            self.status_stored(job, told)
            return
        number = next(world.ask_numbers)

        def answered(state: str | None) -> None:
            if state is None:
                self.status_stored(job, told)
            else:
                told(self.noted(job, state))

        def given_up() -> None:
            if world.asking.pop(number, None) is not None and life == self.life:
                self.status_stored(job, told)

        world.asking[number] = (self.label, life, world.t + constants.QUERY_TIMEOUT_S, answered)
        world.after(constants.QUERY_TIMEOUT_S, given_up)
        core.messenger.send_unreliable(home, messages.JobQuery(number, "status", job))
        self.flush()

    def status_stored(self, job: str, told) -> None:
        core, world = self.core, self.world

        def read(answer) -> None:
            row, state = answer[0], None
            if row is None:
                state = None if core.directory.knows_job(job) else NOT_FOUND
            else:
                record = msgspec.json.decode(row.data, type=Record)
                waits = record.spec is not None and (record.spec.needs or record.dependency_digest)
                if record.state is not JobState.ACTIVE:
                    state = record.state.value
                elif not waits or core.local_jobs.is_certainly_pending(job, world.t):
                    state = "pending"
            told(self.noted(job, state))

        self.call(read, lambda: told(self.noted(job, None)), self.read, JOBS + job)

    def noted(self, job: str, state: str | None) -> str | None:
        ended = self.core.replica.ended.get(job)
        return state if ended is None else ended.value

    def send_job(self, body: bytes, told) -> None:
        """As ``SubmissionHandler.submit``; ``NOT_FOUND`` stands for 400 and 422, too."""
        core, world, life = self.core, self.world, self.life
        try:
            spec = wire.parse_job(body)
        except wire.MalformedBodyError:
            job = wire.job_id_in(body)
            if job:
                self.status(job, told)
            else:
                told(NOT_FOUND)
            return

        def known() -> None:
            self.status(spec.id, lambda state: told(None if state == NOT_FOUND else state))

        def wait(submission: Submission, until: float) -> None:
            if life != self.life:
                return
            if not submission.outcome and world.t < until:
                world.after(0.02, wait, submission, until)
            elif submission.outcome == "accepted":
                ended = core.replica.ended.get(spec.id)
                told("pending" if ended is None else ended.value)
            elif submission.outcome == "known":
                known()
            elif submission.outcome == "too long":
                self.status(spec.id, told)
            else:
                told(None)

        if core.directory.knows_job(spec.id):
            known()
        elif not core.state.loaded or not core.machine_shard.capacity.types:
            told(None)
        elif admission.rejection_reason(spec, core.shared.teams, core.machine_shard.capacity.types.values()):
            self.status(spec.id, told)
        elif not core.membership.may_act(world.t) or spec.needs:
            told(None)
        else:
            submission = core.submissions.submit(spec, world.t, world.t + self.ahead_s)
            if submission is None:
                self.status(spec.id, told)
            else:
                wait(submission, world.t + constants.SUBMIT_WAIT_S)

    def withdraw(self, job: str, told, since: float | None = None) -> None:
        """``told`` the job's end when the store has it; None: this is not its home, or the store is slow."""
        core, life, world = self.core, self.life, self.world
        since = world.t if since is None else since
        state = core.local_jobs.cancel(job, world.t)
        if state == "" and world.t - since < constants.SUBMIT_WAIT_S:
            world.after(0.1, lambda: life == self.life and self.withdraw(job, told, since))
        else:
            told(state or None)
        self.flush()

    def questions(self) -> None:
        """What others ask this one to withdraw, and their answers."""
        core, world = self.core, self.world
        while core.effects.queries:
            label, ask = core.effects.queries.popleft()

            def told(state: str | None, label: str = label, ask: messages.JobQuery = ask) -> None:
                core.messenger.send_unreliable(
                    label, messages.JobQueryReply(ask.query_id, 200 if state else 503, (state or "").encode())
                )

            if ask.kind == "withdraw":
                self.withdraw(ask.job, told)
            else:
                told((core.local_jobs.local_job_state(ask.job, world.t) or (None,))[0])
        while core.effects.query_replies:
            reply = core.effects.query_replies.popleft()
            label, life, until, told = world.asking.pop(reply.query_id, ("", 0, 0.0, None))
            if label == self.label and life == self.life and world.t <= until:
                told(reply.body.decode() if reply.status == 200 else None)

    def flush(self) -> None:
        if self.core is None:
            return
        world = self.world
        if self.core.effects.queries or self.core.effects.query_replies:
            self.questions()
        self.dead_links -= set(self.core.effects.channel_renewals)
        self.core.effects.channel_renewals.clear()
        outgoing, self.core.effects.outgoing_frames = self.core.effects.outgoing_frames, []
        for label, frame in outgoing:
            other = world.nodes[label]
            cut = max(self.cut_mesh_until, other.cut_mesh_until)
            held_back = world.t < cut and world.t < max(self.mesh_held_until, other.mesh_held_until)
            if label in self.dead_links or (world.t < cut and not held_back):
                continue
            if world.rng.random() < 0.002:
                continue
            late = world.rng.random() < world.late_share
            delay = 5.0 * world.rng.random() if late else world.rng.uniform(0.0005, 0.003)
            at = max(self.links[label] + 1e-6, (cut if held_back else world.t) + delay)
            self.links[label] = at
            data = msgspec.msgpack.encode(frame)
            data = production.frame(data) if self.old else data
            world.after(at - world.t, other.frame, data)
            if world.rng.random() < 0.003:  # again, from a connection that was held back
                world.after(world.rng.choice([0.3, 3.0, 60.0]) * world.rng.random(), other.frame, data)

    def frame(self, data: bytes) -> None:
        if self.core is not None:
            data = production.frame(data) if self.old else data
            self.core.on_frame(msgspec.msgpack.decode(data, type=messages.Frame), self.world.t)
            self.flush()

    def heartbeat(self, raw: bytes, reply) -> None:
        """``reply(status, body)`` after the grants had a moment to arrive."""
        world, life = self.world, self.life
        if self.core is None or world.t < self.cut_workers_until:
            return
        core = self.core
        heartbeat = wire.parse_heartbeat(raw)
        if not core.state.loaded or not core.membership.may_act(world.t):
            return reply(503, b"")
        owner = core.membership.report_to(heartbeat.machine)
        if owner != self.label:
            return reply(421, owner.encode())
        fencing_token = core.membership.fencing_token
        if heartbeat.fencing_token > fencing_token:
            return reply(503, b"")
        machine = core.on_heartbeat(heartbeat, world.t)
        self.flush()
        if machine is None:
            return reply(503, b"")

        def finish() -> None:
            if life != self.life:
                return
            if fencing_token != core.membership.fencing_token or not core.membership.may_act(world.t):
                return reply(503, b"")
            reply(200, wire.heartbeat_response(fencing_token, core.machine_shard.order_builder.orders(machine)))

        world.after(0.02, finish)
        return None
