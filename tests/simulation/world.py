"""The event loop and state of the simulation; all randomness is drawn from one seed."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import deque

from alderbridge.controller.core import ControllerCore
from alderbridge.protocol import wire
from alderbridge.settings import (
    NextStateLimits,
)
from simulation.cloud import Cloud
from simulation.controller import SimController
from simulation.deployment import LABELS
from simulation.faults import Faults
from simulation.invariants import Invariants
from simulation.store import SimStore
from simulation.users import Users
from simulation.worker import SimWorker


class World(Users, Faults, Cloud, Invariants):
    """A whole simulated deployment; ``t`` is the simulated time in s since the start."""

    controller_class = SimController

    def __init__(
        self,
        seed: int,
        jobs: int = 14,
        random_faults: bool = True,
        nodes: int = 3,
        pipelines: int = 0,
        upgrade: bool = False,
        next_limits: NextStateLimits | None = None,
        limits_lowered_at: float = math.inf,
        group_faults: bool = False,
        total_failures: int = 0,
        machines: int = 14,
        large_jobs: bool = False,
        slow_restarts: bool = False,
        concurrent_faults: int = 0,
    ) -> None:
        """``total_failures``: how often all controllers and much of the fleet fail together; see ``fail_everything``.

        ``machines``: maximum that the cloud rents out. ``large_jobs``: jobs of 30 to 90 tasks in place of small ones.

        ``slow_restarts``: crashed controllers restart after a second or more, so that successors inherit more work.

        ``concurrent_faults``: number of times that two or three faults overlap; see ``schedule_concurrent_faults``.
        Every other job then has two or three long tasks, and users cancel many jobs, through any controller.

        ``group_faults``: many machines crash, hang or are cut off at once, some while all controllers are down.

        ``upgrade``: all controllers start as the old version and are restarted one by one as the new one.

        ``next_limits``: future store limits that the settings announce. ``limits_lowered_at``: when the store enforces
        lower ones.
        """
        self.rng = random.Random(seed)
        self.slow_restarts, self.has_concurrent_faults = slow_restarts, concurrent_faults > 0
        self.duplicate_share, self.duplicates_until = 0.0, 0.0  # share of heartbeats that are delivered again later
        self.reload_on_failure = False  # a failed watch makes a controller read the whole store again
        self.faults_end_at = 0.0  # when the last of the concurrent faults ends
        self.heartbeat_copy_share, self.heartbeat_copies_until = 0.0, 0.0  # share of heartbeats resent at the next view
        self.kept_heartbeats: list[bytes] = []
        self.leaders: list[str] = []  # in order of their views
        self.quick_boots_until = 0.0  # until then machines boot within 2 s, before the rental response
        self.partitioned_zone = ("", "", 0.0)  # partitioned zone, the controller in it, end of the partition
        self.concurrent_reads_until = 0.0  # until then users query all controllers within milliseconds
        self.cancel_at_end_share, self.cancel_at_end_until = 0.0, 0.0  # share of jobs cancelled as their last task ends
        self.invalid_jobs: set[str] = set()  # jobs submitted with an invalid body
        self.accepted_at: dict[str, float] = {}  # when the acceptance was first acknowledged to the user
        self.end_reported_at: dict[str, float] = {}  # when the end of the job was first reported to the user
        self.liveness_checked_at = 0.0
        self.placeable_since: dict[str, float] = {}  # job -> since when it waits although free capacity suits it
        self.longest_placeable_wait_s = 0.0
        # task started after a confirmed cancellation, delay in s
        self.starts_after_cancellation: list[tuple[str, float]] = []
        self.concurrent_request_count = 0  # requests sent by ``send_concurrent_request``
        self.job_numbers = itertools.count(1000)  # of the jobs that faults submit
        self.query_ids, self.pending_queries = itertools.count(1), {}  # query to a job owner -> who gets the reply
        self.upgrade, self.next_limits, self.max_machines, self.large_jobs = upgrade, next_limits, machines, large_jobs
        self.t = 0.0
        self.delayed_frame_share = 0.001  # share of messages between controllers that are delayed by up to 5 s
        self.events: list = []
        self.event_numbers = itertools.count()
        self.store = SimStore(self)
        self.store.on_view_change, self.store.on_job_ended = self.on_view_change, self.query_concurrently
        self.machines: dict[str, SimWorker | None] = {}
        self.rented_kinds: dict[str, tuple] = {}
        self.delayed_listings: deque = deque()
        self.specs: dict[str, wire.JobSpec] = {}
        self.running_on: dict[str, str] = {}  # task -> machine that runs it
        self.accepted: set[str] = set()
        self.first_submitted_at: dict[str, float] = {}  # job -> when its user first submitted it
        self.first_started_at: dict[str, float] = {}  # job -> when its first task started
        self.last_status_at: dict[str, float] = {}  # job -> when its user last got a status
        self.poll_numbers = itertools.count()  # round robin over the controllers
        self.completed: set[str] = set()
        self.task_starts = 0
        self.wrongly_halted: list[str] = []  # tasks halted although their jobs were not cancelled
        self.reported_ends: dict[str, str] = {}  # job -> final state reported to its user
        self.cancelled_at: dict[str, float] = {}
        self.labels = LABELS[:nodes]
        self.controllers: dict[str, SimController] = {}
        for label in self.labels:
            self.controllers[label] = self.controller_class(self, label)
        for number in range(jobs):
            make = (
                self.make_large_job
                if large_jobs
                else self.make_long_job
                if concurrent_faults and number % 2
                else self.make_job
            )
            self.after(self.rng.uniform(1.0, 90.0), self.submit, make(number))
        pipelines_from_s = 1.0
        if upgrade:
            order = self.rng.sample(self.labels, len(self.labels))
            for number, label in enumerate(order):
                self.after(20.0 + number * self.rng.uniform(8.0, 15.0), self.upgrade_controller, label)
            pipelines_from_s = 20.0 + len(order) * 15.0
        for number in range(pipelines):
            self.after(
                self.rng.uniform(pipelines_from_s, pipelines_from_s + 80.0), self.submit_pipeline, 50 + 10 * number
            )
        if limits_lowered_at < math.inf:
            self.after(limits_lowered_at, self.lower_store_limits)
        if random_faults:
            for _ in range(self.rng.randint(3, 7)):
                self.after(self.rng.uniform(10.0, 130.0), self.inject_fault)
        if group_faults:
            for _ in range(self.rng.randint(2, 4)):
                self.after(self.rng.uniform(20.0, 120.0), self.inject_group_fault)
        for number in range(total_failures):
            self.after(self.rng.uniform(30.0, 60.0) + 60.0 * number, self.fail_everything)
        for number in range(concurrent_faults):
            self.schedule_concurrent_faults(self.rng.uniform(25.0, 60.0) + 45.0 * number)
        self.after(1.0, self.check_invariants)

    def after(self, delay: float, callback, *args) -> None:
        heapq.heappush(self.events, (self.t + delay, next(self.event_numbers), callback, args))

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.t, _, callback, args = heapq.heappop(self.events)
            callback(*args)

    def operator_files(self, label: str) -> dict:
        """The declarations in the operator files of this controller when it starts, by kind."""
        return {}

    def upgrade_controller(self, label: str) -> None:
        sim = self.controllers[label]
        sim.old = False
        sim.crash()
        self.after(self.rng.uniform(1.0, 6.0), self.restart, sim)

    def lower_store_limits(self) -> None:
        self.store.max_changes, self.store.value_bytes = (4, 700) if self.next_limits else (1, 450)

    def on_core_created(self, core: ControllerCore) -> None:
        """Hook for subclasses: called with each new controller core before its first event."""
