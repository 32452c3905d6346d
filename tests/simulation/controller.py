"""One simulated controller process: loops run as events; calls are subject to delay, loss and late delivery."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import production

from alderbridge import constants
from alderbridge.controller.core import ControllerCore
from alderbridge.controller.submissions import Submission
from alderbridge.membership.records import MemberRecord
from alderbridge.protocol import messages, wire
from alderbridge.protocol.keys import MEMBERS, VIEW
from alderbridge.settings import (
    Tuning,
)
from simulation import deployment
from simulation.deployment import TYPES
from simulation.errors import StoreRefusedError, TransactionTooLargeError
from simulation.requests import UserRequests
from simulation.store import STORE_S

if TYPE_CHECKING:
    from simulation.world import World


class SimController(UserRequests):
    """One controller process: loops run as events; calls are subject to delay, loss and late delivery.

    ``old``: records and frames are converted to what the previous version reads and writes.
    """

    def __init__(self, world: World, label: str) -> None:
        self.world, self.label = world, label
        self.old = world.upgrade
        self.cut_store_until = self.cut_mesh_until = self.cut_workers_until = 0.0
        self.mesh_delayed_until = 0.0  # until then a cut delays frames to its end, instead of losing them
        self.refused_until = 0.0  # until then the store answers 503 to this controller alone
        self.follow_hangs = False
        self.ahead_s = 0.0  # its wall clock minus simulated time
        # Peers that closed the connection unnoticed: frames to them are lost until the connection is renewed.
        self.half_open_links: set[str] = set()
        self.last_frame_arrivals = dict.fromkeys(
            world.labels, 0.0
        )  # peer -> arrival time of the last frame, to keep frames in order
        self.life = 0
        self.core: ControllerCore | None = None
        self.start()

    def start(self) -> None:
        self.life += 1
        world, generation = self.world, self.life
        self.core = ControllerCore(
            deployment.platform(self.label, world.labels, None if self.old else world.next_limits),
            Tuning(),
            world.t,
            own={} if self.old else world.operator_files(self.label),
        )
        self.core.machine_shard.capacity.types = TYPES
        self.core.leader.on_types(TYPES)
        world.on_core_created(self.core)
        self.busy = self.is_registering = False
        self.writer_idle_until = 0.0
        self.follow_busy = self.needs_full_read = False
        self.last_frame_arrivals = dict.fromkeys(
            self.last_frame_arrivals, 0.0
        )  # new connections: frames from before the crash may arrive later
        self.half_open_links = set()
        for other in world.controllers.values():
            other.half_open_links.discard(self.label)
        self.rental_count = 0
        self.is_renting = False
        for step, pause in (
            (self.hold, 1.5),
            (self.follow, 0.15),
            (self.view, constants.ROUND_INTERVAL_S),
            (self.write, 0.05),
            (self.round, constants.ROUND_INTERVAL_S),
            (self.lead, constants.LEADER_ROUND_INTERVAL_S),
        ):
            world.after(world.rng.random() * 0.2, self.loop, generation, step, pause)

    def crash(self) -> None:
        self.life += 1
        self.core = None

    def loop(self, generation: int, step, pause: float) -> None:
        if generation == self.life:
            step()
            self.flush()
            self.world.after(pause, self.loop, generation, step, pause)

    def call(self, on_result, on_failure, method, *args, too_large=None) -> None:
        """Calls the store: the call may fail, be lost, be carried out late, or get no response."""
        world, generation, rng = self.world, self.life, self.world.rng
        cut = world.t < self.cut_store_until

        def settle(answer) -> None:
            if generation == self.life:
                if answer is TransactionTooLargeError:
                    (too_large or on_failure)()
                elif answer is None:
                    on_failure()
                else:
                    on_result(answer)
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

        store, reads = world.store, method.__name__ == "read"  # every other method writes
        if world.t < self.refused_until and not cut:
            # The watch that was open when the refusals began hangs until the client times out.
            hangs, self.follow_hangs = self.follow_hangs and reads, self.follow_hangs and not reads
            world.after(constants.WATCH_POLL_TIMEOUT_S + STORE_S if hangs else 0.01, settle, None)
            return
        lost = rng.random()
        if cut or lost < 0.01:
            if not cut or rng.random() < 0.5:
                world.after(rng.uniform(0.5, 30.0), carry_out, False)  # applied after the client has timed out
            world.after(STORE_S, settle, None)
        elif not reads and world.t < store.delayed_writes_until and rng.random() < store.delayed_write_share:
            world.after(rng.uniform(2.0, 12.0), carry_out, False)  # maybe after newer writes
            world.after(STORE_S, settle, None)
        elif not reads and world.t < store.lost_responses_until and rng.random() < store.lost_response_share:
            world.after(rng.uniform(0.001, 0.01), carry_out, False)  # its writer sees a timeout
            world.after(STORE_S, settle, None)
        else:
            delay = rng.uniform(0.001, 0.01) * (store.latency_factor if world.t < store.slow_until else 1.0)
            world.after(delay, carry_out, delay < STORE_S)
            if delay >= STORE_S:
                world.after(STORE_S, settle, None)

    def hold(self) -> None:
        core, store, world, sent = self.core, self.world.store, self.world, self.world.t
        lease = core.membership.store_lease

        def extend():
            store.expire_leases()
            if lease.lease_id not in store.leases:
                return False
            store.leases[lease.lease_id] = world.t + lease.ttl_s
            return True

        def on_extended(is_extended):
            if is_extended:
                lease.record_renewal(lease.lease_id, sent)
            else:
                lease.mark_expired()

        if core.membership.is_removed():
            lease.mark_expired()
        if lease.lease_id:
            self.call(on_extended, lambda: None, extend)
        elif not self.is_registering:
            self.is_registering = True
            self.acquire()

    def acquire(self) -> None:
        """Registers as a member in separate calls, as the program does; writes from before a crash may interleave."""
        core, store, world = self.core, self.world.store, self.world
        key, previous, sent = MEMBERS + self.label, None, 0.0

        def failed() -> None:
            self.is_registering = False

        def on_member_read(rows) -> None:
            nonlocal previous, sent
            previous, sent = rows[0], world.t
            self.call(on_lease_granted, failed, take)

        def take() -> int:
            store.expire_leases()
            lease_id = next(store.lease_ids)
            store.leases[lease_id] = world.t + core.membership.store_lease.ttl_s
            return lease_id

        def on_lease_granted(lease_id: int) -> None:
            member = MemberRecord(lease_id, 1 if self.old else constants.PROTOCOL_VERSION)
            self.call(
                lambda answer: on_registered(lease_id, answer),
                failed,
                store.commit,
                {key: previous.revision if previous else 0},
                {key: member},
                (),
                lease_id,
            )

        def on_registered(lease_id: int, answer: wire.TransactionResult) -> None:
            self.is_registering = False
            if answer.failed:
                return
            core.view_entry.lease_acquired(lease_id, sent, world.t)
            if previous is not None:
                lease_id = msgspec.json.decode(previous.data, type=MemberRecord).lease_id
                self.call(
                    lambda _: None, lambda: None, lambda: store.expire_leases() or store.revoke_lease(lease_id) or True
                )

        self.call(on_member_read, failed, self.read, key)

    def follow(self) -> None:
        core, store, world = self.core, self.world.store, self.world
        if self.follow_busy:
            return
        self.follow_busy = True
        sent = world.t

        def read(since: int | None = None):
            store.expire_leases()
            if since is None and (self.needs_full_read or not core.state.loaded):
                return self.seen(store.rows()), [], store.revision
            return (
                None,
                self.seen(store.events_after(core.replica.revision if since is None else since)),
                store.revision,
            )

        def done(answer, rows=None, sent=sent):
            rows, changes, revision = answer if rows is None else (rows, *answer[1:])
            # A full read of a loaded controller is followed by a read of the changes since its first row.
            if rows is not None and core.state.loaded and self.needs_full_read:
                self.needs_full_read = False
                self.call(lambda answer, sent=world.t: done(answer, rows, sent), failed, read, revision)
                return
            self.follow_busy = False
            core.membership.record_sync(sent)
            if rows is None:
                core.store_follower.apply_events(changes, world.t, world.t + self.ahead_s)
                core.replica.revision = revision
            else:
                core.store_follower.load(rows, changes, revision, world.t, world.t + self.ahead_s)
            world.on_store_read(self, [*(rows or ()), *changes])

        def failed():
            self.follow_busy = False
            # As the program does after a failed watch.
            self.needs_full_read = world.reload_on_failure and core.state.loaded

        self.call(done, failed, read)

    def seen(self, rows: list) -> list:
        """Converts rows or events to what this controller's version reads."""
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
        if world.t < self.writer_idle_until and core.record_writer.nothing_to_write():
            return  # the program idles until then as well
        batch = core.record_writer.next_batch(world.t)
        if batch is None:
            self.writer_idle_until = world.t + core.record_writer.next_write_delay_s(world.t)
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
            is_store_unreachable = world.t < max(self.cut_store_until, self.refused_until, world.store.down_until)
            if is_store_unreachable or world.rng.random() < 0.5:
                core.submissions.refuse_all()  # the store answered 503, possibly after an attempt without a response
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
        self.world.store.expire_leases()
        found = self.world.store.data.get(key)
        return self.seen([wire.KeyValue(key, msgspec.Raw(found[0]), found[1])]) if found is not None else [None]

    def tell_users(self) -> None:
        while self.core.effects.notifications:
            item = self.core.effects.notifications.popleft()
            if isinstance(item, Submission) and item.outcome == "accepted":
                self.world.accept(item.job.spec.id)

    def round(self) -> None:
        self.core.round(self.world.t)
        self.probe_machines()

    def probe_machines(self) -> None:
        """Sends empty ``/commands`` requests to the machines of a new view; some are delayed."""
        core, world, generation = self.core, self.world, self.life
        while core.may_act() and (machine := core.machine_shard.next_to_probe(world.t)) is not None:
            name, _, incarnation = machine
            fencing_token = core.membership.fencing_token

            def answered(raw: bytes, fencing_token: int = fencing_token) -> None:
                if generation == self.life and fencing_token == core.membership.fencing_token:
                    core.on_probe_answered(wire.parse_heartbeat(raw), world.t)
                    self.flush()

            def arrive(
                name: str = name, fencing_token: int = fencing_token, incarnation: int = incarnation, reply=answered
            ) -> None:
                worker = world.machines.get(name)
                if worker is not None and worker.alive and world.can_reach(worker, self.label):
                    if world.t < worker.responses_delayed_until:
                        world.after(worker.draw_latency(), worker.command, fencing_token, incarnation, reply)
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
        if not core.membership.is_leader(world.t) or self.is_renting:
            return
        core.leader.on_listing(world.list_machines(), world.t)
        decision = core.leader.decide(world.t)
        core.drain_machines(decision.drain, world.t)
        for kind, count in decision.scale_out:
            names = world.rent(kind, count)
            if (
                world.t < world.quick_boots_until
            ):  # machines boot and send heartbeats before the rental response arrives
                self.is_renting = True
                world.after(world.rng.uniform(0.5, 3.0), self.rented, self.life, kind, names, count)
            else:
                self.rented(self.life, kind, names, count)
        if decision.terminate and world.rng.random() < 0.95:
            world.terminate(decision.terminate)
            if world.rng.random() < 0.95:
                core.on_terminated(decision.terminate, world.t)

    def rented(self, generation: int, kind, names: list[str], count: int) -> None:
        if generation == self.life:
            self.is_renting = False
            self.core.leader.on_scaled_out(kind, names, self.world.t)
            if len(names) < count:
                self.core.leader.on_refused(kind, self.world.t)

    def flush(self) -> None:
        if self.core is None:
            return
        world = self.world
        if self.core.effects.queries or self.core.effects.query_replies:
            self.serve_queries()
        self.half_open_links -= set(self.core.effects.channel_renewals)
        self.core.effects.channel_renewals.clear()
        outgoing, self.core.effects.outgoing_frames = self.core.effects.outgoing_frames, []
        for label, frame in outgoing:
            other = world.controllers[label]
            cut = max(self.cut_mesh_until, other.cut_mesh_until)
            held_back = world.t < cut and world.t < max(self.mesh_delayed_until, other.mesh_delayed_until)
            if label in self.half_open_links or (world.t < cut and not held_back):
                continue
            if world.rng.random() < 0.002:
                continue
            is_late = world.rng.random() < world.delayed_frame_share
            delay = 5.0 * world.rng.random() if is_late else world.rng.uniform(0.0005, 0.003)
            arrives_at = max(self.last_frame_arrivals[label] + 1e-6, (cut if held_back else world.t) + delay)
            self.last_frame_arrivals[label] = arrives_at
            data = msgspec.msgpack.encode(frame)
            data = production.frame(data) if self.old else data
            world.after(arrives_at - world.t, other.frame, data)
            if world.rng.random() < 0.003:  # a duplicate from a delayed connection
                world.after(world.rng.choice([0.3, 3.0, 60.0]) * world.rng.random(), other.frame, data)

    def frame(self, data: bytes) -> None:
        if self.core is not None:
            data = production.frame(data) if self.old else data
            self.core.on_frame(msgspec.msgpack.decode(data, type=messages.Frame), self.world.t)
            self.flush()

    def heartbeat(self, raw: bytes, reply) -> None:
        """Calls ``reply(status, body)``; an accepted heartbeat waits 20 ms, so that task grants arrive first."""
        world, generation = self.world, self.life
        if self.core is None or world.t < self.cut_workers_until:
            return
        core = self.core
        heartbeat = wire.parse_heartbeat(raw)
        if not core.state.loaded or not core.membership.may_act(world.t):
            return reply(503, b"")
        owner = core.membership.heartbeat_target(heartbeat.machine)
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
            if generation != self.life:
                return
            if fencing_token != core.membership.fencing_token or not core.membership.may_act(world.t):
                return reply(503, b"")
            reply(200, wire.heartbeat_response(fencing_token, core.machine_shard.order_builder.orders(machine)))

        world.after(0.02, finish)
        return None
