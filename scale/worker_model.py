"""A worker as the protocol describes it, without a network; its tasks are timers. Pure.

States of a task: FETCHING its image, RUNNING, ENDED until a ``clear`` removes it.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from .jobs import JobPlan

ANSWER_S = 4.0  # a response that takes longer is dropped
NEXT_NODE_S = 1.0
CHANGE_S = 0.5  # reports are never sent more often


class TaskState(Enum):
    """As reports name it."""

    FETCHING = "fetching"
    RUNNING = "running"
    ENDED = "ended"


class Event(NamedTuple):
    """What a judge has to know: a task is on a machine from here on, or no more."""

    at: float
    number: int  # of its machine's events: some come at one moment
    machine: str
    part: str
    what: str  # "on", "done", "off"


@dataclass
class Task:
    """One task on the machine."""

    attempt: int
    state: TaskState
    until: float
    cause: str | None = None


class WorkerModel:
    """One machine's worker."""

    def __init__(
        self,
        name: str,
        zone: str,
        spot: bool,
        kind: str,
        fetch_gb_per_s: float,
        lease_s: float,
        plan: JobPlan,
        now: float,
        tell: Callable[[Event], None],
    ) -> None:
        """``tell`` hears of each task that comes and goes."""
        self.name, self.zone, self.spot, self.kind = name, zone, spot, kind
        self.fetch_gb_per_s, self.lease_s, self.plan, self.tell = fetch_gb_per_s, lease_s, plan, tell
        self.address = ""
        self.incarnation, self.sequence, self.fencing_token = 1, 0, 0
        self.told = 0  # events
        self.tasks: dict[str, Task] = {}
        self.images: set[str] = set()
        self.answered_at = now  # when the last answered report was sent
        self.changed = False  # a task's state, the session or the token, since the last report

    def tick(self, now: float) -> None:
        """Lease and timers, each at its own time: who calls this may be late, a worker would not."""
        while now > (lapses_at := self.answered_at + self.lease_s):
            self._advance(lapses_at)
            self.kill_all(lapses_at)
            self.incarnation, self.sequence, self.answered_at, self.changed = self.incarnation + 1, 0, lapses_at, True
        self._advance(now)

    def _advance(self, now: float) -> None:
        for part, task in self.tasks.items():
            if task.state is TaskState.FETCHING and now >= task.until:
                self.images.add(self.plan.job_of(part)["bundle"])
                self._start(part, task, task.until)
            if task.state is TaskState.RUNNING and now >= task.until:
                self._end(part, task, "done", task.until)

    def kill_all(self, now: float) -> None:
        """All tasks end and are forgotten."""
        for part, task in self.tasks.items():
            if task.state is TaskState.RUNNING:
                self._tell(now, part, "off")
        self.tasks.clear()

    def report(self, now: float) -> bytes:
        """The next report; newer than all before."""
        self.tick(now)
        self.sequence, self.changed = self.sequence + 1, False
        parts = [
            {"part": part, "try": task.attempt, "status": task.state.value}
            | ({"cause": task.cause} if task.cause else {})
            for part, task in self.tasks.items()
        ]
        return json.dumps(
            {
                "host": self.name,
                "address": self.address,
                "flavour": self.kind,
                "site": self.zone,
                "standby": self.spot,
                "tenure": self.incarnation,
                "counter": self.sequence,
                "mandate": self.fencing_token,
                "recall_s": None,
                "parts": parts,
            }
        ).encode()

    def on_answer(self, answer: dict, incarnation: int, sent_at: float, now: float) -> bool:
        """A 200; False: it is dropped, and renews nothing."""
        self.tick(now)
        if (
            now - sent_at > ANSWER_S
            or incarnation != self.incarnation
            or answer.get("mandate", -1) < self.fencing_token
        ):
            return False
        self.changed = self.changed or answer["mandate"] > self.fencing_token
        self.fencing_token, self.answered_at = answer["mandate"], sent_at
        for order in answer["orders"]:
            self.carry_out(order, now)
        return True

    def on_commands(self, body: dict, now: float) -> int:
        """What was sent straight here; the status of the answer."""
        self.tick(now)
        if "mandate" not in body or "tenure" not in body:
            return 400
        if body["mandate"] < self.fencing_token or body["tenure"] != self.incarnation:
            return 409
        self.changed = self.changed or body["mandate"] > self.fencing_token
        self.fencing_token = body["mandate"]
        for order in body.get("orders", []):
            self.carry_out(order, now)
        return 200

    def carry_out(self, order: dict, now: float) -> None:
        """One order."""
        part, held = order["part"], self.tasks.get(order["part"])
        if order["verb"] == "run":
            if held is None:
                self._run(part, order["try"], now)
        elif held is not None and held.attempt == order["try"]:
            if order["verb"] == "halt" and held.state is not TaskState.ENDED:
                self._end(part, held, "halted", now)
            elif order["verb"] == "clear" and held.state is TaskState.ENDED:
                del self.tasks[part]

    def _run(self, part: str, attempt: int, now: float) -> None:
        job = self.plan.job_of(part)
        fetch_s = 0.0 if job["bundle"] in self.images else job["image_gb"] / self.fetch_gb_per_s
        self.tasks[part] = Task(attempt, TaskState.FETCHING, now + fetch_s)
        self.changed = True
        if not fetch_s:
            self._start(part, self.tasks[part], now)

    def _tell(self, now: float, part: str, what: str) -> None:
        self.told += 1
        self.tell(Event(now, self.told, self.name, part, what))

    def _start(self, part: str, task: Task, now: float) -> None:
        task.state, task.until = TaskState.RUNNING, now + self.plan.run_s(part)
        self.changed = True
        self._tell(now, part, "on")

    def _end(self, part: str, task: Task, cause: str, now: float) -> None:
        if task.state is TaskState.RUNNING:
            self._tell(now, part, "done" if cause == "done" else "off")
        task.state, task.cause, self.changed = TaskState.ENDED, cause, True
