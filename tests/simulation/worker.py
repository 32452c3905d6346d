"""The simulated workers: machines with their tasks, heartbeats and faults."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from alderbridge.protocol import wire
from simulation.deployment import HEARTBEAT_S, LEASE_S
from simulation.errors import InvariantViolation

if TYPE_CHECKING:
    from simulation.world import World


class SimTask:
    def __init__(self, attempt: int, status: str, ends: float) -> None:
        self.attempt, self.status, self.ends, self.cause = attempt, status, ends, None


class SimWorker:
    def __init__(self, world: World, name: str, kind) -> None:
        self.world, self.name, self.kind = world, name, kind
        self.incarnation, self.sequence, self.fencing_token = 1, 0, 0
        self.tasks: dict[str, SimTask] = {}
        self.lease_start_at = world.t  # when the last heartbeat that got a response was sent; start of the lease
        self.controller_label = world.rng.choice(world.labels)
        self.alive = self.up = True
        self.hangs_until = self.cut_until = 0.0
        self.inbound_blocked_until = 0.0  # inbound blocked: heartbeats arrive; responses and commands to it are lost
        # The first heartbeat sent while cut off arrives at this time: its connection was open. Later ones need new
        # connections, which are not established.
        self.heartbeat_held_until = 0.0
        self.responses_delayed_until = 0.0  # responses and commands are delayed by up to 8 s in both directions
        self.outbound_blocked_until = 0.0  # outbound blocked: no heartbeat arrives; commands arrive and get responses
        self.request_number = 0
        self.fails_tasks = False
        self.preempted_at: float | None = None
        self.send_heartbeat()

    def stop_all_tasks(self) -> None:
        for task_id in self.tasks:
            self.world.on_task_stopped(task_id, self.name)
        self.tasks.clear()

    def crash(self) -> None:
        self.stop_all_tasks()
        self.alive = False

    def tick(self) -> None:
        """Advances the tasks; stops all of them once the lease has expired."""
        world = self.world
        if not self.alive:
            return
        if world.t - self.lease_start_at > LEASE_S:  # also on a hung machine
            self.stop_all_tasks()
            self.incarnation += 1
            self.sequence = 0
            self.lease_start_at = world.t
        if world.t < self.hangs_until:
            return
        for task_id, task in self.tasks.items():
            if task.status == "fetching" and world.t >= task.ends:
                world.on_task_started(task_id, self)
                task.status, task.ends = "running", world.t + world.draw_run_time(task_id)
            elif task.status == "running" and world.t >= task.ends:
                task.status, task.cause = "ended", "error" if self.fails_tasks else "done"
                world.on_task_stopped(task_id, self.name)
                if task.cause == "done":
                    world.completed.add(task_id)
                    world.on_task_done(task_id)
            elif task.status == "saving" and world.t >= task.ends:
                task.status, task.cause = "ended", "halted"
                world.on_task_stopped(task_id, self.name)

    def send_heartbeat(self) -> None:
        world = self.world
        if not self.alive:
            return
        if world.t < self.hangs_until:
            world.after(self.hangs_until - world.t, self.send_heartbeat)
            return
        self.tick()
        self.sequence += 1
        self.request_number += 1
        request, incarnation, sent_at, controller = (
            self.request_number,
            self.incarnation,
            world.t,
            self.controller_label,
        )
        if world.t < self.outbound_blocked_until:
            world.after(4.0, self.timeout, request)
            return
        raw = self.heartbeat_body()
        if (
            world.t < world.heartbeat_copies_until
            and len(world.kept_heartbeats) < 300
            and world.rng.random() < world.heartbeat_copy_share
        ):
            world.kept_heartbeats.append(raw)

        def reply(status: int, body: bytes) -> None:
            if world.t >= max(self.cut_until, self.inbound_blocked_until) and world.can_reach(self, controller):
                world.after(self.draw_latency(), self.on_response, request, incarnation, sent_at, status, body)

        def arrive() -> None:
            world.controllers[self.controller_label].heartbeat(raw, reply)

        if world.t < world.duplicates_until and world.rng.random() < world.duplicate_share:
            delay = world.rng.uniform(2.0, 2 * LEASE_S)
            world.after(delay, world.controllers[self.controller_label].heartbeat, raw, lambda status, body: None)
        if world.t >= self.cut_until and world.can_reach(self, controller):
            world.after(world.rng.uniform(0.001, 0.01), arrive)
            if world.rng.random() < 0.02:  # a duplicate whose response is dropped
                world.after(
                    world.rng.uniform(0.1, 60.0),
                    world.controllers[self.controller_label].heartbeat,
                    raw,
                    lambda status, body: None,
                )
        elif world.t < self.heartbeat_held_until:
            delay, self.heartbeat_held_until = self.heartbeat_held_until - world.t, 0.0
            world.after(delay, world.controllers[controller].heartbeat, raw, lambda status, body: None)
        elif world.rng.random() < 0.3:
            world.after(world.rng.uniform(1.0, 40.0), arrive)  # delayed rather than lost
        world.after(4.0, self.timeout, request)

    def draw_latency(self) -> float:
        """Draws the latency of a response or command, in s."""
        rng = self.world.rng
        return rng.uniform(0.001, 0.01) if self.world.t >= self.responses_delayed_until else rng.uniform(0.3, 8.0)

    def heartbeat_body(self) -> bytes:
        world = self.world
        heartbeat = {
            "host": self.name,
            "address": "x",
            "flavour": self.kind.type,
            "site": self.kind.zone,
            "standby": self.kind.spot,
            "tenure": self.incarnation,
            "counter": self.sequence,
            "mandate": self.fencing_token,
            "recall_s": None if self.preempted_at is None else max(0.0, self.preempted_at - world.t),
            "parts": [
                {"part": task_id, "try": task.attempt, "status": task.status, "cause": task.cause}
                for task_id, task in self.tasks.items()
            ],
        }
        return json.dumps(heartbeat).encode()

    def command(self, fencing_token: int, incarnation: int, reply) -> None:
        """Handles an empty ``/commands`` request, after a hang or cut has ended; it does not renew the lease."""
        world = self.world
        if world.t < self.inbound_blocked_until:
            return
        if world.t < max(self.hangs_until, self.cut_until):
            world.after(
                max(self.hangs_until, self.cut_until) - world.t + 0.001, self.command, fencing_token, incarnation, reply
            )
            return
        self.tick()
        if not self.alive or incarnation != self.incarnation or fencing_token < self.fencing_token:
            return
        self.fencing_token = fencing_token
        self.sequence += 1
        world.after(
            self.draw_latency() if world.rng.random() < 0.8 else world.rng.uniform(0.1, 5.0),
            reply,
            self.heartbeat_body(),
        )

    def timeout(self, request: int) -> None:
        if request == self.request_number:
            self.request_number += 1  # a response that arrives from now on is ignored
            self.use_next_controller()

    def use_next_controller(self) -> None:
        labels = self.world.labels
        self.controller_label = labels[(labels.index(self.controller_label) + 1) % len(labels)]
        self.world.after(1.0, self.send_heartbeat)

    def on_response(self, request: int, incarnation: int, sent_at: float, status: int, body: bytes) -> None:
        world = self.world
        if request != self.request_number or not self.alive:
            return
        if world.t < self.hangs_until:  # processed when the hang ends, unless it has timed out by that time
            world.after(
                self.hangs_until - world.t + 0.001, self.on_response, request, incarnation, sent_at, status, body
            )
            return
        self.request_number += 1
        if status == 421 and body.decode() in world.labels:
            self.controller_label = body.decode()
            world.after(world.rng.uniform(0.0, 0.5), self.send_heartbeat)
            return
        if status != 200:
            self.use_next_controller()
            return
        self.tick()
        answer = json.loads(body)
        is_newer_token = answer["mandate"] > self.fencing_token
        if incarnation == self.incarnation and answer["mandate"] >= self.fencing_token:
            self.fencing_token = answer["mandate"]
            self.lease_start_at = sent_at
            for order in answer["orders"]:
                self.apply_order(order)
        world.after(
            0.5 if is_newer_token or answer["orders"] else HEARTBEAT_S * world.rng.uniform(0.75, 1.25),
            self.send_heartbeat,
        )

    def apply_order(self, order: dict) -> None:
        task_id, task = order["part"], self.tasks.get(order["part"])
        if order["verb"] == "run":
            if task is None:
                self.world.on_run_order(task_id)
                new_task = SimTask(order["try"], "fetching", self.world.t + self.world.rng.uniform(0.1, 3.0))
                self.tasks[task_id] = new_task
            elif task.attempt != order["try"]:
                raise InvariantViolation(f"busy: {task_id} on {self.name}")
        elif task is not None and task.attempt == order["try"]:
            if order["verb"] == "halt" and task.status != "ended":
                job = wire.split_task_id(task_id)[0]
                if job not in self.world.cancelled_at:
                    self.world.wrongly_halted.append(task_id)
                    self.world.on_task_halted(task_id, task, self)
                spec, wind_down = self.world.specs[job], order["wind_down_s"]
                if spec.checkpoint_s > 0 and wind_down >= spec.save_s and task.status in ("running", "saving"):
                    if task.status == "running":
                        self.world.on_checkpoint_started(task_id, task.ends - self.world.t)
                        task.status, task.ends = "saving", self.world.t + spec.save_s
                else:
                    task.status, task.cause = "ended", "halted"
                    self.world.on_task_stopped(task_id, self.name)
            elif order["verb"] == "clear" and task.status == "ended":
                del self.tasks[task_id]
