"""The process of one controller: I/O between a ``ControllerCore`` and the store, cloud, workers, users and peers."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable

import curio

from alderbridge import constants
from alderbridge.cloud import Cloud
from alderbridge.configuration import ConfigurationRevision
from alderbridge.controller.core import ControllerCore
from alderbridge.controller.effects import JobEndStored
from alderbridge.controller.health import HealthCheck
from alderbridge.controller.job_queries import JobQueries, JobQueryResponder
from alderbridge.controller.job_records import JobRecordReader
from alderbridge.controller.loops.machine_types import MachineTypesLoop
from alderbridge.controller.loops.memory import MemoryLoop
from alderbridge.controller.loops.records import RecordsLoop
from alderbridge.controller.loops.replica import ReplicaLoop
from alderbridge.controller.loops.rounds import RoundLoop
from alderbridge.controller.loops.scaling import ScalingLoop
from alderbridge.controller.loops.store_lease import StoreLeaseLoop
from alderbridge.controller.loops.supervisor import run_forever
from alderbridge.controller.loops.view import ViewLoop
from alderbridge.controller.router import JobRoute, Route, Router
from alderbridge.controller.store_backoff import StoreBackoff
from alderbridge.controller.unanswered_jobs import UnansweredJobs
from alderbridge.controller.users_api import CancellationHandler, StatusHandler, SubmissionHandler, UsersApi
from alderbridge.controller.waiters import Waiters
from alderbridge.controller.worker_prober import WorkerProber
from alderbridge.controller.workers_api import WorkersApi
from alderbridge.machines.machine import Machine
from alderbridge.protocol import messages
from alderbridge.settings import PlatformSettings, Tuning, address
from alderbridge.state.store import Store
from alderbridge.transport import mesh
from alderbridge.transport.http_server import Server
from alderbridge.transport.selector import EpollSelector
from alderbridge.transport.token_bucket import TokenBucket

log = logging.getLogger("controller")
now = time.monotonic


class Controller:
    """Constructs the components of a controller, connects them, and runs them.

    ``own``: configuration from the operators' files of this process, by kind. ``store``: client of the state service;
    by default one for the endpoint that the platform names.
    """

    def __init__(
        self,
        platform: PlatformSettings,
        tuning: Tuning,
        poll: EpollSelector,
        own: dict[str, ConfigurationRevision] | None = None,
        store: Store | None = None,
    ) -> None:
        """Construct all components without starting them."""
        self.platform, self.poll = platform, poll
        self.core = ControllerCore(platform, tuning, now(), own=own)
        self.membership = self.core.membership
        self.store = store if store is not None else Store(platform.endpoints.state)
        peers = {peer.label: peer.addr for peer in platform.peers}
        self.mesh = mesh.Mesh(platform.mesh_addr, peers, self.on_frames, poll)
        self.waiters = Waiters()
        self.store_backoff = StoreBackoff()
        self.unanswered_jobs = UnansweredJobs()
        self.queries = JobQueries(self.core, self.dispatch_effects)
        self.users_api = self._make_users_api()
        self.query_responder = JobQueryResponder(self.core, self.users_api.cancellations, self.dispatch_effects)
        self.workers_api = WorkersApi(self.core)
        self.health = HealthCheck(self.core)
        self.router = self._make_router()
        max_connections = int(platform.settings.limits.max_sockets * constants.ACCEPTED_SOCKET_SHARE)
        self.server = Server(self.router.handle, max_connections, poll)
        prober = WorkerProber(self.core, poll, self.dispatch_effects)
        self.store_lease_loop = StoreLeaseLoop(self.core, self.store, self.store_backoff)
        self.replica_loop = ReplicaLoop(self.core, self.store, prober, self.unanswered_jobs)
        self.record_writer = RecordsLoop(self.core, self.store, self.store_backoff, self.dispatch_effects)
        self.loops = self._make_loops(prober)

    def _make_users_api(self) -> UsersApi:
        records = JobRecordReader(self.store, self.store_backoff)
        status = StatusHandler(self.core, records, self.queries, self.unanswered_jobs)
        submissions = SubmissionHandler(self.core, records, status, self.waiters, self.dispatch_effects)
        cancellations = CancellationHandler(self.core, self.queries, status, self.waiters, self.dispatch_effects)
        return UsersApi(status, submissions, cancellations)

    def _make_router(self) -> Router:
        users = self.users_api
        return Router(
            {
                "/agent/beat": Route("POST", self.workers_api.on_heartbeat),
                "/healthz": Route("GET", lambda _body, _reply: self.health.check()),
                "/v1/jobs": Route("POST", lambda body, _reply: users.submissions.submit(body)),
            },
            {
                "": JobRoute("GET", users.status.poll_status),
                "withdraw": JobRoute("POST", lambda job, _reply: users.cancellations.cancel(job)),
            },
        )

    def _make_loops(self, prober: WorkerProber) -> list[Callable[[], Awaitable[None]]]:
        """The background loops, in the order in which they are started."""
        core, store = self.core, self.store
        cloud = Cloud(self.platform.endpoints.cloud)
        rate = self.platform.settings.cloud.rps * constants.RATE_LIMIT_SHARE
        rate_limit = TokenBucket(rate, rate, now())
        return [
            self.store_lease_loop.keep_store_lease,
            self.replica_loop.keep_replica,
            ViewLoop(core, store).keep_view,
            self.record_writer.keep_records,
            RoundLoop(core, prober).keep_rounds,
            MachineTypesLoop(core, store, cloud, rate_limit).keep_types,
            ScalingLoop(core, cloud, rate_limit, self.dispatch_effects).keep_machines,
            MemoryLoop(self.platform.settings.limits.memory_mb).keep_memory_logged,
        ]

    async def run(self) -> None:
        """Serve until one of the servers ends; loops that end are restarted."""
        host, port = address(self.platform.listen)
        log.info("controller=%s state=started", self.platform.label)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self.poll.serve, self.dispatch_effects)
            await group.spawn(self.server.serve, host, port)
            await group.spawn(self.mesh.serve)
            for label in self.mesh.peers:
                await group.spawn(self.mesh.send_to, label)
            for loop in self.loops:
                await group.spawn(run_forever, loop)

    def on_frames(self, frames: list[messages.Frame]) -> None:
        """Hand frames from other controllers to the core."""
        for frame in frames:
            self.core.on_frame(frame, now())

    async def dispatch_effects(self) -> None:
        """Send and deliver what the core has queued; called after each iteration of the selector."""
        effects = self.core.effects
        if self.record_writer.is_waiting and not self.core.record_writer.nothing_to_write():
            await self.record_writer.work.set()
        if effects.queries:
            await self._answer_queries()
        for label in effects.take_channel_renewals():
            self.mesh.renew(label)
        for label, frame in effects.take_outgoing_frames():
            self.mesh.put(label, frame)
        if effects.query_replies:
            await self._deliver_query_replies()
        if effects.notifications:
            await self._notify_waiters()
        await self._expire_waits()
        await self.mesh.flush()

    async def _answer_queries(self) -> None:
        """Answer queries of other controllers: a status at once, a cancellation when it is stored."""
        queries = self.core.effects.queries
        while queries:
            label, query = queries.popleft()
            if query.kind == "status":
                self.query_responder.answer_status(label, query)
            else:
                await curio.spawn(self.query_responder.answer_cancellation, label, query, daemon=True)

    async def _deliver_query_replies(self) -> None:
        """Hand the replies of other controllers to the requests that wait for them."""
        replies = self.core.effects.query_replies
        while replies:
            reply = replies.popleft()
            waiting = self.queries.pending_queries.get(reply.query_id)
            if reply.query_id in self.queries.pending_polls:
                await self.queries.on_poll_reply(reply.query_id, reply)
            elif waiting is not None:
                waiting.replies.append(reply)
                await waiting.answered.set()

    async def _notify_waiters(self) -> None:
        """Wake users' requests, and answer heartbeats of machines that have received all requested grants."""
        notifications = self.core.effects.notifications
        while notifications:
            notification = notifications.popleft()
            awaited = notification.job if isinstance(notification, JobEndStored) else notification
            for event in self.waiters.events_by_key.pop(awaited, ()):
                await event.set()
            if isinstance(notification, Machine):
                self.workers_api.answer_pending_heartbeats(notification)

    async def _expire_waits(self) -> None:
        """Answer requests whose deadline has passed, and set the selector's wake-up time to the next deadline."""
        if self.workers_api.grant_deadlines:
            self.workers_api.answer_overdue_heartbeats()
        if self.queries.poll_deadlines:
            await self.queries.expire_polls()
        deadlines = (self.workers_api.grant_deadlines, self.queries.poll_deadlines)
        self.poll.wake_at = min((queue[0][0] for queue in deadlines if queue), default=float("inf"))
