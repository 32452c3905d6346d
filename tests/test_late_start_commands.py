"""Late copies of start commands: no task starts again because a message that was carried out arrives once more.

A ``run`` order reaches a worker only in the response to its own heartbeat, which the worker drops after 4 s or once it
has sent another heartbeat. So a copy can act only on what leads to such a response: heartbeats, the controllers'
requests to workers, and the messages between controllers.
"""

import ast
from pathlib import Path

import msgspec
import pytest
from simulation import InvariantViolation, SimWorker, World
from test_concurrent_faults import accept_duplicate_heartbeats

from alderbridge.protocol import wire
from alderbridge.protocol.messages import Frame, TaskGrant
from alderbridge.transport.channel import Channel

SOURCES = Path(__file__).resolve().parent.parent / "alderbridge"
LATEST_COPY_S = 16.0  # platform: a direct command may be carried out up to 16 s late
FAULTS_FROM_S, FAULTS_UNTIL_S, END_S = 20.0, 130.0, 170.0


def ignore(status: int, body: bytes) -> None:
    """Receives the response to a copy of a heartbeat, which no worker waits for."""


class CopiedController(World.controller_class):
    """Receives copies of heartbeats and of other controllers' messages, also in a later process."""

    def frame(self, data: bytes, is_copy: bool = False) -> None:
        super().frame(data)
        if not is_copy and self.world.copies():
            self.world.after(self.world.copy_delay(), self.frame, data, True)

    def heartbeat(self, raw: bytes, reply, is_copy: bool = False) -> None:
        super().heartbeat(raw, reply)
        if not is_copy and self.world.copies():
            receiver = self.world.rng.choice(list(self.world.controllers.values()))
            self.world.after(self.world.copy_delay(), receiver.heartbeat, raw, ignore, True)


class CopiedWorker(SimWorker):
    """Receives copies of responses and commands; checks that each attempt starts once in an incarnation."""

    def on_response(self, *response, is_copy: bool = False) -> None:
        super().on_response(*response)
        if not is_copy and self.world.copies():
            self.world.after(self.world.copy_delay(), lambda: self.on_response(*response, is_copy=True))

    def command(self, fencing_token: int, incarnation: int, reply, is_copy: bool = False) -> None:
        super().command(fencing_token, incarnation, reply)
        if not is_copy and self.world.copies():
            self.world.after(self.world.copy_delay(), self.command, fencing_token, incarnation, reply, True)

    def apply_order(self, order: dict) -> None:
        if order["verb"] == "run" and order["part"] not in self.tasks:
            self.world.check_first_start(order["part"], order["try"], self)
        super().apply_order(order)

    def come_back(self) -> None:
        """The machine ends with all that is on it, and is back at once with its next incarnation."""
        self.stop_all_tasks()
        self.incarnation, self.sequence = self.incarnation + 1, 0
        self.lease_start_at = self.world.t


class LateCopyWorld(World):
    """Controllers and machines come back within a second, tasks move, jobs are cancelled, and messages are copied."""

    controller_class = CopiedController

    def __init__(self, seed: int, copy_share: float = 0.3, nodes: int = 3) -> None:
        self.copy_share = copy_share
        self.copied = self.returns = 0
        self.started_at: dict[tuple[str, int], tuple[str, int]] = {}  # task, attempt -> machine, incarnation
        super().__init__(seed, jobs=24, random_faults=False, nodes=nodes)
        rng = self.rng
        for act, count in (
            (self.crash_one, 6),
            (self.bring_one_back, 10),
            (self.move_tasks, 3),
            (self.cancel_some, 8),
            (self.cut_one, 4),
        ):
            for _ in range(count):
                self.after(rng.uniform(FAULTS_FROM_S, FAULTS_UNTIL_S), act)

    def boot(self, name: str, kind) -> None:
        if name in self.rented_kinds:
            self.machines[name] = CopiedWorker(self, name, kind)

    def copies(self) -> bool:
        """Whether the message at hand arrives once more."""
        is_copied = self.rng.random() < self.copy_share
        self.copied += is_copied
        return is_copied

    def copy_delay(self) -> float:
        return self.rng.choice([0.5, 4.0, LATEST_COPY_S]) * self.rng.random()

    def crash_one(self) -> None:
        self.crash_and_restart(self.controllers[self.rng.choice(self.labels)], self.rng.uniform(0.1, 0.9))

    def bring_one_back(self) -> None:
        if workers := self.live_workers():
            self.rng.choice(workers).come_back()
            self.returns += 1

    def cut_one(self) -> None:
        if workers := self.live_workers():
            self.rng.choice(workers).cut_until = self.t + self.rng.uniform(1.0, 25.0)

    def move_tasks(self) -> None:
        """The cloud takes a machine back: its tasks are stopped, and go on elsewhere."""
        if workers := self.live_workers():
            self.rng.choice(workers).preempted_at = self.t + self.rng.uniform(2.0, 15.0)

    def cancel_some(self) -> None:
        self.cancel_running_jobs(2, 0.0)

    def check_first_start(self, task_id: str, attempt: int, worker: CopiedWorker) -> None:
        """Check that the attempt was not carried out before, but in an ended incarnation of the same machine."""
        earlier = self.started_at.get((task_id, attempt))
        if earlier is not None and (earlier[0] != worker.name or earlier[1] >= worker.incarnation):
            raise InvariantViolation(
                f"started_again: {task_id} attempt {attempt} on {worker.name}, before on {earlier}"
            )
        self.started_at[(task_id, attempt)] = (worker.name, worker.incarnation)


# On another service a late copy of a start command made a task run twice, and a cancelled one run again.
@pytest.mark.parametrize("seed", range(12))
def test_late_copies_of_messages_start_no_task_again(seed):
    world = LateCopyWorld(31000 + seed, nodes=3 + 2 * (seed % 2))
    world.run(END_S)
    assert world.task_starts > 20 and world.copied > 500 and world.returns > 0


def accept_copied_frames(monkeypatch) -> None:
    """Break the order of messages: each copy of a grant counts as a new message."""
    receive = Channel.receive

    def receive_again(self, frame: Frame, now: float):
        is_copy = frame.seq and frame.seq <= self.last_received_sequence and frame.fencing_token == self.fencing_token
        return frame.body if is_copy and isinstance(frame.body, TaskGrant) else receive(self, frame, now)

    monkeypatch.setattr(Channel, "receive", receive_again)


@pytest.mark.parametrize("guard", (accept_copied_frames, accept_duplicate_heartbeats))
def test_a_start_by_a_late_copy_is_noticed_without_the_guard(monkeypatch, guard):
    guard(monkeypatch)
    for seed in range(20):
        try:
            LateCopyWorld(31000 + seed).run(END_S)
        except InvariantViolation as broken:
            if str(broken).startswith(("started_again", "ran_twice")):
                return
    pytest.fail("no run showed it")


def users_of(function: str) -> set[str]:
    """Modules of the service that call a function, by whatever path they name it."""
    modules = set()
    for path in SOURCES.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            called = node.func if isinstance(node, ast.Call) else None
            if function == (called.id if isinstance(called, ast.Name) else getattr(called, "attr", "")):
                modules.add(path.relative_to(SOURCES).as_posix())
    return modules


# A direct command may be carried out late, a response to a heartbeat is dropped after 4 s.
def test_start_commands_are_built_only_for_responses_and_requests_to_workers_carry_none():
    assert users_of("run_order") == {"machines/orders.py"} and users_of("orders") == {"controller/workers_api.py"}
    assert users_of("acknowledge_request") == {"controller/worker_prober.py"}
    senders = {path.name for path in SOURCES.rglob("*.py") if '"/commands"' in path.read_text(encoding="utf-8")}
    assert senders == {"worker_prober.py"}
    assert msgspec.json.decode(wire.acknowledge_request(7, 3)) == {"mandate": 7, "tenure": 3, "orders": []}
