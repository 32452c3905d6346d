"""Store, cloud, workers, users and a bad network around three or five pure controllers, drawn from one seed."""

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
    """All of it; time goes from event to event."""

    process = SimController

    def __init__(
        self,
        seed: int,
        jobs: int = 14,
        random_faults: bool = True,
        nodes: int = 3,
        pipelines: int = 0,
        upgrade: bool = False,
        coming: NextStateLimits | None = None,
        tight_at: float = math.inf,
        groups: bool = False,
        falls: int = 0,
        machines: int = 14,
        rush: bool = False,
        slow: bool = False,
        concurrent_faults: int = 0,
    ) -> None:
        """``falls``: how often all controllers fall together, and much of the fleet with them; see ``fall``.

        ``machines``: that the cloud has at most. ``rush``: jobs of many tasks that want them all at once.

        ``slow``: processes return after a second or more; that is when most is to be inherited.

        ``concurrent_faults``: how often two or three faults overlap; see ``schedule_concurrent_faults``. Then every
        other job has two or three long tasks that end far apart, and users cancel much and through any controller.

        ``groups``: machines die, hang and are cut off many at once, some while all controllers are down.

        ``upgrade``: all start as the old version, and are killed one by one to come back as the new one.

        ``coming``: limits of the store that the settings name. ``tight_at``: when the store has tight ones.
        """
        self.rng = random.Random(seed)
        self.slow, self.has_concurrent_faults = slow, concurrent_faults > 0
        self.copied_share, self.copies_until = 0.0, 0.0  # of workers' reports, of which a copy arrives late
        self.reloads = False  # failure to follow has a controller read everything anew
        self.calm_at = 0.0  # when the last of the concurrent faults is over
        self.kept_share, self.kept_until = 0.0, 0.0  # of workers' reports, of which copies wait for the next view
        self.kept: list[bytes] = []
        self.leaders: list[str] = []  # one after the other
        self.quick_until = 0.0  # machines are up within two seconds, before the rental is answered
        self.zone_away = ("", "", 0.0)  # zone, the controller in it, until when they reach nobody else but users
        self.looks_until = 0.0  # users ask at all nodes within milliseconds
        self.at_end_share, self.at_end_until = 0.0, 0.0  # of the jobs that end: cancelled at that moment
        self.flawed: set[str] = set()  # jobs that were sent though they can't run, or lack something
        self.accepted_at: dict[str, float] = {}  # when the user was told so first
        self.told_at: dict[str, float] = {}  # when an end was told first
        self.looked_at = 0.0
        self.waits: dict[str, float] = {}  # job -> since when it waits beside room
        self.longest_wait = 0.0
        self.starts_after: list[tuple[str, float]] = []  # after a confirmed cancellation, and how long after
        self.looks = 0  # close ones that were answered
        self.numbers = itertools.count(1000)  # of the jobs that concurrent faults bring
        self.ask_numbers, self.asking = itertools.count(1), {}  # question to a job's home -> who gets the answer
        self.upgrade, self.coming, self.most_machines, self.rush = upgrade, coming, machines, rush
        self.t = 0.0
        self.late_share = 0.001  # of the messages between controllers
        self.events: list = []
        self.order = itertools.count()
        self.store = SimStore(self)
        self.store.view_began, self.store.ended = self.view_began, self.read_closely
        self.machines: dict[str, SimWorker | None] = {}
        self.kinds: dict[str, tuple] = {}
        self.lagging: deque = deque()
        self.specs: dict[str, wire.JobSpec] = {}
        self.on: dict[str, str] = {}  # task -> the machine it is on
        self.accepted: set[str] = set()
        self.first_asked: dict[str, float] = {}  # job -> when its user first submitted it
        self.began: dict[str, float] = {}  # job -> when its first task was on a machine
        self.answered_at: dict[str, float] = {}  # job -> when its user was last told anything of it
        self.turn = itertools.count()  # users go round all controllers
        self.completed: set[str] = set()
        self.starts = 0
        self.halted_needed: list[str] = []  # tasks that were stopped though nobody had cancelled their jobs
        self.said: dict[str, str] = {}  # ends told to users
        self.cancelled_at: dict[str, float] = {}
        self.labels = LABELS[:nodes]
        self.nodes: dict[str, SimController] = {}
        for label in self.labels:
            self.nodes[label] = self.process(self, label)
        for number in range(jobs):
            make = self.make_rush if rush else self.make_long if concurrent_faults and number % 2 else self.make_job
            self.after(self.rng.uniform(1.0, 90.0), self.submit, make(number))
        begin = 1.0
        if upgrade:
            order = self.rng.sample(self.labels, len(self.labels))
            for number, label in enumerate(order):
                self.after(20.0 + number * self.rng.uniform(8.0, 15.0), self.renew, label)
            begin = 20.0 + len(order) * 15.0
        for number in range(pipelines):
            self.after(self.rng.uniform(begin, begin + 80.0), self.pipeline, 50 + 10 * number)
        if tight_at < math.inf:
            self.after(tight_at, self.tighten)
        if random_faults:
            for _ in range(self.rng.randint(3, 7)):
                self.after(self.rng.uniform(10.0, 130.0), self.inject_fault)
        if groups:
            for _ in range(self.rng.randint(2, 4)):
                self.after(self.rng.uniform(20.0, 120.0), self.inject_group_fault)
        for number in range(falls):
            self.after(self.rng.uniform(30.0, 60.0) + 60.0 * number, self.fall)
        for number in range(concurrent_faults):
            self.schedule_concurrent_faults(self.rng.uniform(25.0, 60.0) + 45.0 * number)
        self.after(1.0, self.watch)

    def after(self, delay: float, call, *args) -> None:
        heapq.heappush(self.events, (self.t + delay, next(self.order), call, args))

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.t, _, call, args = heapq.heappop(self.events)
            call(*args)

    def files(self, label: str) -> dict:
        """What the operators' files at this controller declare when it starts, by kind."""
        return {}

    def renew(self, label: str) -> None:
        sim = self.nodes[label]
        sim.old = False
        sim.crash()
        self.after(self.rng.uniform(1.0, 6.0), self.restart, sim)

    def tighten(self) -> None:
        self.store.max_changes, self.store.value_bytes = (4, 700) if self.coming else (1, 450)

    def prepare(self, core: ControllerCore) -> None:
        """A controller's node, before anything is told to it."""
