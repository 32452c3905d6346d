"""The simulated workers: machines with their tasks, heartbeats and faults."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from alderbridge.protocol import wire
from simulation.deployment import LEASE_S, REPORT_S
from simulation.errors import Broken

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
        self.answered_at = world.t  # when the last answered report was sent
        self.core = world.rng.choice(world.labels)
        self.alive = self.up = True
        self.hangs_until = self.cut_until = 0.0
        self.deaf_until = 0.0  # its reports arrive; answers and commands to it are lost
        self.held_up_until = 0.0  # answers and commands, either way, are held up for seconds
        self.mute_until = 0.0  # it can connect to no controller; direct commands reach it, and are answered
        self.in_flight = 0
        self.faulty = False
        self.recall_at: float | None = None
        self.send_heartbeat()

    def kill(self) -> None:
        for part in self.tasks:
            self.world.left(part, self.name)
        self.tasks.clear()

    def die(self) -> None:
        self.kill()
        self.alive = False

    def tick(self) -> None:
        """Lease and progress of tasks."""
        world = self.world
        if not self.alive:
            return
        if world.t - self.answered_at > LEASE_S:  # holds on a hanging machine too
            self.kill()
            self.incarnation += 1
            self.sequence = 0
            self.answered_at = world.t
        if world.t < self.hangs_until:
            return
        for part, task in self.tasks.items():
            if task.status == "fetching" and world.t >= task.ends:
                world.entered(part, self)
                task.status, task.ends = "running", world.t + world.run_time(part)
            elif task.status == "running" and world.t >= task.ends:
                task.status, task.cause = "ended", "error" if self.faulty else "done"
                world.left(part, self.name)
                if task.cause == "done":
                    world.completed.add(part)
                    world.task_done(part)
            elif task.status == "saving" and world.t >= task.ends:
                task.status, task.cause = "ended", "halted"
                world.left(part, self.name)

    def send_heartbeat(self) -> None:
        world = self.world
        if not self.alive:
            return
        if world.t < self.hangs_until:
            world.after(self.hangs_until - world.t, self.send_heartbeat)
            return
        self.tick()
        self.sequence += 1
        self.in_flight += 1
        number, incarnation, sent, to = self.in_flight, self.incarnation, world.t, self.core
        if world.t < self.mute_until:
            world.after(4.0, self.timeout, number)
            return
        raw = self.report()
        if world.t < world.kept_until and len(world.kept) < 300 and world.rng.random() < world.kept_share:
            world.kept.append(raw)

        def reply(status: int, body: bytes) -> None:
            if world.t >= max(self.cut_until, self.deaf_until) and world.reaches(self, to):
                world.after(self.way(), self.answered, number, incarnation, sent, status, body)

        def arrive() -> None:
            world.nodes[self.core].heartbeat(raw, reply)

        if world.t < world.copies_until and world.rng.random() < world.copied_share:
            late = world.rng.uniform(2.0, 2 * LEASE_S)
            world.after(late, world.nodes[self.core].heartbeat, raw, lambda status, body: None)
        if world.t >= self.cut_until and world.reaches(self, to):
            world.after(world.rng.uniform(0.001, 0.01), arrive)
            if world.rng.random() < 0.02:  # again, and nobody listens to the answer any more
                world.after(
                    world.rng.uniform(0.1, 60.0), world.nodes[self.core].heartbeat, raw, lambda status, body: None
                )
        elif world.rng.random() < 0.3:
            world.after(world.rng.uniform(1.0, 40.0), arrive)  # held back, and delivered late
        world.after(4.0, self.timeout, number)

    def way(self) -> float:
        """How long an answer or a command takes."""
        rng = self.world.rng
        return rng.uniform(0.001, 0.01) if self.world.t >= self.held_up_until else rng.uniform(0.3, 8.0)

    def report(self) -> bytes:
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
            "recall_s": None if self.recall_at is None else max(0.0, self.recall_at - world.t),
            "parts": [
                {"part": p, "try": k.attempt, "status": k.status, "cause": k.cause} for p, k in self.tasks.items()
            ],
        }
        return json.dumps(heartbeat).encode()

    def command(self, fencing_token: int, incarnation: int, reply) -> None:
        """An empty ``/commands``: carried out late where the machine hangs; it does not renew the lease."""
        world = self.world
        if world.t < self.deaf_until:
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
        world.after(self.way() if world.rng.random() < 0.8 else world.rng.uniform(0.1, 5.0), reply, self.report())

    def timeout(self, number: int) -> None:
        if number == self.in_flight:
            self.in_flight += 1  # whatever comes now is dropped
            self.next_node()

    def next_node(self) -> None:
        labels = self.world.labels
        self.core = labels[(labels.index(self.core) + 1) % len(labels)]
        self.world.after(1.0, self.send_heartbeat)

    def answered(self, number: int, incarnation: int, sent: float, status: int, body: bytes) -> None:
        world = self.world
        if number != self.in_flight or not self.alive:
            return
        if world.t < self.hangs_until:  # read when it goes on, unless that is too late
            world.after(self.hangs_until - world.t + 0.001, self.answered, number, incarnation, sent, status, body)
            return
        self.in_flight += 1
        if status == 421 and body.decode() in world.labels:
            self.core = body.decode()
            world.after(world.rng.uniform(0.0, 0.5), self.send_heartbeat)
            return
        if status != 200:
            self.next_node()
            return
        self.tick()
        answer = json.loads(body)
        higher = answer["mandate"] > self.fencing_token
        if incarnation == self.incarnation and answer["mandate"] >= self.fencing_token:
            self.fencing_token = answer["mandate"]
            self.answered_at = sent
            for order in answer["orders"]:
                self.carry_out(order)
        world.after(
            0.5 if higher or answer["orders"] else REPORT_S * world.rng.uniform(0.75, 1.25), self.send_heartbeat
        )

    def carry_out(self, order: dict) -> None:
        part, held = order["part"], self.tasks.get(order["part"])
        if order["verb"] == "run":
            if held is None:
                self.world.ordered(part)
                status = SimTask(order["try"], "fetching", self.world.t + self.world.rng.uniform(0.1, 3.0))
                self.tasks[part] = status
            elif held.attempt != order["try"]:
                raise Broken(f"busy: {part} on {self.name}")
        elif held is not None and held.attempt == order["try"]:
            if order["verb"] == "halt" and held.status != "ended":
                job = wire.split_task_id(part)[0]
                if job not in self.world.cancelled_at:
                    self.world.halted_needed.append(part)
                    self.world.halted(part, held, self)
                spec, wind_down = self.world.specs[job], order["wind_down_s"]
                if spec.checkpoint_s > 0 and wind_down >= spec.save_s and held.status in ("running", "saving"):
                    if held.status == "running":
                        self.world.saved(part, held.ends - self.world.t)
                        held.status, held.ends = "saving", self.world.t + spec.save_s
                else:
                    held.status, held.cause = "ended", "halted"
                    self.world.left(part, self.name)
            elif order["verb"] == "clear" and held.status == "ended":
                del self.tasks[part]
