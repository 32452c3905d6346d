"""In-memory model of a worker according to the protocol; its tasks are timers. Does no I/O.

A task is FETCHING its image, then RUNNING, then ENDED until a ``clear`` order removes it.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from .jobs import JobPlan

RESPONSE_TIMEOUT_S = 4.0  # a later response is discarded
NEXT_CONTROLLER_DELAY_S = 1.0
MIN_HEARTBEAT_INTERVAL_S = 0.5


class TaskState(Enum):
    """Task states; the values are those of heartbeats."""

    FETCHING = "fetching"
    RUNNING = "running"
    ENDED = "ended"


class Event(NamedTuple):
    """A task started or stopped running on a machine. Events sort by time."""

    occurred_at: float
    number: int  # per machine; orders events of the same time
    machine: str
    task_id: str
    kind: str  # "on": started; "done": completed; "off": stopped otherwise


@dataclass
class Task:
    """One task on the machine."""

    attempt: int
    state: TaskState
    until: float  # when fetching or running ends
    cause: str | None = None


class WorkerModel:
    """The worker of one machine."""

    def __init__(
        self,
        name: str,
        zone: str,
        spot: bool,
        machine_type: str,
        fetch_gb_per_s: float,
        lease_s: float,
        plan: JobPlan,
        now: float,
        on_event: Callable[[Event], None],
    ) -> None:
        """``on_event`` is called when a task starts or stops running."""
        self.name, self.zone, self.spot, self.machine_type = name, zone, spot, machine_type
        self.fetch_gb_per_s, self.lease_s, self.plan, self.on_event = fetch_gb_per_s, lease_s, plan, on_event
        self.address = ""
        self.incarnation, self.sequence, self.fencing_token = 1, 0, 0
        self.event_count = 0
        self.tasks: dict[str, Task] = {}
        self.images: set[str] = set()
        self.lease_renewed_at = now  # when the last acknowledged heartbeat was sent
        self.changed = False  # a task's state, the incarnation or the fencing token, since the last heartbeat

    def tick(self, now: float) -> None:
        """Applies lease expiries and timers up to ``now``, each at the time it was due, however late the call is."""
        while now > (expires_at := self.lease_renewed_at + self.lease_s):
            self._advance(expires_at)
            self.kill_all(expires_at)
            self.incarnation, self.sequence, self.lease_renewed_at, self.changed = (
                self.incarnation + 1,
                0,
                expires_at,
                True,
            )
        self._advance(now)

    def _advance(self, now: float) -> None:
        for task_id, task in self.tasks.items():
            if task.state is TaskState.FETCHING and now >= task.until:
                self.images.add(self.plan.job_of(task_id)["bundle"])
                self._start(task_id, task, task.until)
            if task.state is TaskState.RUNNING and now >= task.until:
                self._end(task_id, task, "done", task.until)

    def kill_all(self, now: float) -> None:
        """Stops and forgets all tasks."""
        for task_id, task in self.tasks.items():
            if task.state is TaskState.RUNNING:
                self._emit(now, task_id, "off")
        self.tasks.clear()

    def heartbeat(self, now: float) -> bytes:
        """Body of the next heartbeat, with a new sequence number."""
        self.tick(now)
        self.sequence, self.changed = self.sequence + 1, False
        parts = [
            {"part": task_id, "try": task.attempt, "status": task.state.value}
            | ({"cause": task.cause} if task.cause else {})
            for task_id, task in self.tasks.items()
        ]
        return json.dumps(
            {
                "host": self.name,
                "address": self.address,
                "flavour": self.machine_type,
                "site": self.zone,
                "standby": self.spot,
                "tenure": self.incarnation,
                "counter": self.sequence,
                "mandate": self.fencing_token,
                "recall_s": None,
                "parts": parts,
            }
        ).encode()

    def on_response(self, response: dict, incarnation: int, sent_at: float, now: float) -> bool:
        """Applies a response with status 200; False: discarded without renewing the lease."""
        self.tick(now)
        if (
            now - sent_at > RESPONSE_TIMEOUT_S
            or incarnation != self.incarnation
            or response.get("mandate", -1) < self.fencing_token
        ):
            return False
        self.changed = self.changed or response["mandate"] > self.fencing_token
        self.fencing_token, self.lease_renewed_at = response["mandate"], sent_at
        for order in response["orders"]:
            self.apply_order(order, now)
        return True

    def on_commands(self, body: dict, now: float) -> int:
        """Applies commands sent directly to the worker; returns the status of the response."""
        self.tick(now)
        if "mandate" not in body or "tenure" not in body:
            return 400
        if body["mandate"] < self.fencing_token or body["tenure"] != self.incarnation:
            return 409
        self.changed = self.changed or body["mandate"] > self.fencing_token
        self.fencing_token = body["mandate"]
        for order in body.get("orders", []):
            self.apply_order(order, now)
        return 200

    def apply_order(self, order: dict, now: float) -> None:
        """Applies one order."""
        task_id, task = order["part"], self.tasks.get(order["part"])
        if order["verb"] == "run":
            if task is None:
                self._run(task_id, order["try"], now)
        elif task is not None and task.attempt == order["try"]:
            if order["verb"] == "halt" and task.state is not TaskState.ENDED:
                self._end(task_id, task, "halted", now)
            elif order["verb"] == "clear" and task.state is TaskState.ENDED:
                del self.tasks[task_id]

    def _run(self, task_id: str, attempt: int, now: float) -> None:
        job = self.plan.job_of(task_id)
        fetch_s = 0.0 if job["bundle"] in self.images else job["image_gb"] / self.fetch_gb_per_s
        self.tasks[task_id] = Task(attempt, TaskState.FETCHING, now + fetch_s)
        self.changed = True
        if not fetch_s:
            self._start(task_id, self.tasks[task_id], now)

    def _emit(self, now: float, task_id: str, event_kind: str) -> None:
        self.event_count += 1
        self.on_event(Event(now, self.event_count, self.name, task_id, event_kind))

    def _start(self, task_id: str, task: Task, now: float) -> None:
        task.state, task.until = TaskState.RUNNING, now + self.plan.run_s(task_id)
        self.changed = True
        self._emit(now, task_id, "on")

    def _end(self, task_id: str, task: Task, cause: str, now: float) -> None:
        if task.state is TaskState.RUNNING:
            self._emit(now, task_id, "done" if cause == "done" else "off")
        task.state, task.cause, self.changed = TaskState.ENDED, cause, True
