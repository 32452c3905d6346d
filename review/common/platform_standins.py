"""Stand-ins of the platform: state service, cloud and workers, as the protocol page describes them."""

from __future__ import annotations

import asyncio
import bisect
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from net import HttpServer, request

now = time.monotonic


class Bucket:
    """Token bucket of one second's worth."""

    def __init__(self, rate: float) -> None:
        """``rate``: tokens a second."""
        self.rate, self.tokens, self.at = rate, rate, now()

    def take(self, count: float) -> bool:
        """Take tokens if there are enough."""
        self.tokens, self.at = min(self.rate, self.tokens + (now() - self.at) * self.rate), now()
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


class State:
    """The state service; each controller has a port of its own, so that it alone can be cut off or refused."""

    def __init__(self, rps: float = 250.0, write_rps: float = 40.0) -> None:
        """The limits are those of the settings."""
        self.data: dict[str, tuple[Any, int, int | None]] = {}  # key -> value, stamp, permit
        self.log: list[dict[str, Any]] = []
        self.epoch = 0
        self.holds: dict[int, tuple[float, float]] = {}  # permit -> ttl, end
        self.permits = 0
        self.requests, self.changes = Bucket(rps), Bucket(write_rps)
        self.down = False  # 503 to everybody
        self.refused: set[str] = set()  # labels that get 503
        self.hung: set[str] = set()  # labels that get no answer, and whose requests are not carried out
        self.before: Callable[[str, str, str, Any], Any] | None = None  # hook: awaited before a request is served
        self.after: Callable[[str, str, str, Any, Any], Any] | None = None  # hook: awaited before an answer leaves
        self.ports: dict[str, HttpServer] = {}
        self.counts: Counter[int] = Counter()  # answers by status
        self.sorted_keys: list[str] = []
        self.sorted_at = (0, 0)

    async def start(self, labels: list[str]) -> None:
        """Open one port a label."""
        for label in labels:
            self.ports[label] = await HttpServer(self._handler(label)).start()

    def _handler(self, label: str) -> Callable[..., Any]:
        async def handle(method: str, path: str, query: dict[str, str], body: Any) -> tuple[int, Any] | None:
            answer = await answer_one(method, path, query, body)
            self.counts[answer[0] if answer else 0] += 1
            return answer

        async def answer_one(method: str, path: str, query: dict[str, str], body: Any) -> tuple[int, Any] | None:
            if self.before is not None:
                await self.before(label, method, path, body or query)
            if label in self.hung:
                return None
            self.expire()
            if path != "/follow" and (self.down or label in self.refused):
                return 503, {"error": "trouble"}
            if not self.requests.take(1.0):
                return 429, {"error": "too many requests"}
            answer = await self._follow(label, query) if path == "/follow" else self._serve(method, path, query, body)
            if self.after is not None and await self.after(label, method, path, body, answer) == "lose":
                return None
            return answer

        return handle

    def _serve(self, method: str, path: str, query: dict[str, str], body: Any) -> tuple[int, Any]:
        if path == "/commit":
            return self.commit(body)
        if path == "/holds":
            self.permits += 1
            self.holds[self.permits] = (body["ttl_ms"] / 1000, now() + body["ttl_ms"] / 1000)
            return 200, {"permit": self.permits}
        if path.startswith("/holds/"):
            return self._hold(method, int(path.split("/")[2]))
        if path == "/kv":
            return self._page(query)
        key = path[4:]
        if key not in self.data:
            return 404, {"epoch": self.epoch}
        data, stamp, permit = self.data[key]
        return 200, {"k": key, "data": data, "stamp": stamp, "permit": permit}

    def _page(self, query: dict[str, str]) -> tuple[int, Any]:
        limit = min(1000, int(query.get("limit", "1000")))
        if self.sorted_at != (self.epoch, len(self.data)):
            self.sorted_at, self.sorted_keys = (self.epoch, len(self.data)), sorted(self.data)
        starts = query.get("starts", "")
        begin = bisect.bisect_right(self.sorted_keys, query["from"]) if "from" in query else 0
        begin = max(begin, bisect.bisect_left(self.sorted_keys, starts))
        keys = [key for key in self.sorted_keys[begin : begin + limit + 1] if key.startswith(starts)]
        rows = [{"k": key, "data": self.data[key][0], "stamp": self.data[key][1]} for key in keys[:limit]]
        return 200, {"rows": rows, "has_next": len(keys) > limit, "epoch": self.epoch}

    def _hold(self, method: str, permit: int) -> tuple[int, Any]:
        if permit not in self.holds:
            return 404, {"error": "no such lease"}
        ttl, _ = self.holds[permit]
        if method == "DELETE":
            self.end_hold(permit)
        else:
            self.holds[permit] = (ttl, now() + ttl)
        return 200, {}

    def commit(self, body: Any) -> tuple[int, Any]:
        """Carry out a transaction."""
        writes = body.get("writes", [])
        if not self.changes.take(len(writes)):
            return 429, {"error": "too many changes"}
        if any(write.get("permit") is not None and write["permit"] not in self.holds for write in writes):
            return 400, {"error": "no such lease"}
        failed = [c["k"] for c in body.get("if", []) if self.data.get(c["k"], (None, 0))[1] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        self.epoch += bool(writes)
        for write in writes:
            self._apply(write)
        return 200, {"epoch": self.epoch}

    def _apply(self, write: dict[str, Any]) -> None:
        if "put" in write:
            self.data[write["put"]] = (write["data"], self.epoch, write.get("permit"))
            self.log.append({"put": write["put"], "data": write["data"], "stamp": self.epoch})
        elif self.data.pop(write["drop"], None) is not None:
            self.log.append({"drop": write["drop"], "stamp": self.epoch})

    def put(self, key: str, data: Any) -> None:
        """Write one key."""
        self._apply({"put": key, "data": data})

    def end_hold(self, permit: int) -> None:
        """End a lease, and drop its keys."""
        self.holds.pop(permit, None)
        keys = [key for key, (_, _, owner) in self.data.items() if owner == permit]
        self.epoch += bool(keys)
        for key in keys:
            self._apply({"drop": key})

    def expire(self) -> None:
        """End the leases whose time is over; none during an outage."""
        if not self.down:
            for permit in [permit for permit, (_, end) in self.holds.items() if now() > end + 0.05]:
                self.end_hold(permit)

    def end_outage(self) -> None:
        """After an outage every lease has its full time again."""
        self.down = False
        self.holds = {permit: (ttl, now() + ttl) for permit, (ttl, _) in self.holds.items()}

    async def _follow(self, label: str, query: dict[str, str]) -> tuple[int, Any]:
        begin, end, starts = int(query["from"]), now() + int(query.get("wait_ms", "0")) / 1000, query.get("starts", "")
        while True:
            self.expire()
            if not self.down and label not in self.refused and label not in self.hung:
                log = []
                for entry in reversed(self.log):
                    if entry["stamp"] <= begin:
                        break
                    if entry.get("put", entry.get("drop", "")).startswith(starts):
                        log.append(entry)
                if log or now() >= end:
                    return 200, {"epoch": self.epoch, "log": log[::-1]}
            await asyncio.sleep(0.005)


@dataclass
class Host:
    """A rented machine."""

    name: str
    flavour: str
    site: str
    standby: bool
    rented_at: float
    up_at: float
    gone: bool = False


class Cloud:
    """The cloud: rents up to ``capacity`` machines in all, and lists them with the stated lag."""

    def __init__(self, flavours: list[dict[str, Any]], capacity: int, lag_s: float) -> None:
        """``flavours``: as the protocol's /flavors gives them."""
        self.flavours, self.capacity, self.lag_s = flavours, capacity, lag_s
        self.hosts: dict[str, Host] = {}
        self.hires: dict[str, list[str]] = {}
        self.on_up: Callable[[Host], None] = lambda host: None
        self.on_gone: Callable[[str], None] = lambda name: None
        self.server: HttpServer | None = None
        self.boot_factor = 0.6

    async def start(self) -> None:
        """Open the port."""
        self.server = await HttpServer(self._handle).start()

    def add(self, flavour: str, site: str, standby: bool = False, boot_s: float = 0.0) -> str:
        """Rent a machine; it is up after ``boot_s``."""
        name = f"n-{len(self.hosts) + 1:06d}"
        host = self.hosts[name] = Host(name, flavour, site, standby, now(), now() + boot_s)
        asyncio.get_running_loop().call_later(boot_s, lambda: host.gone or self.on_up(host))
        return name

    async def _handle(self, method: str, path: str, query: dict[str, str], body: Any) -> tuple[int, Any]:
        if path == "/flavors":
            return 200, {"flavours": self.flavours}
        if path == "/rentals/return":
            for name in body["hosts"]:
                if name in self.hosts and not self.hosts[name].gone:
                    self.hosts[name].gone = True
                    self.on_gone(name)
            return 200, {}
        if method == "POST":
            return self._rent(body)
        listed = [
            {
                "id": host.name,
                "address": "",
                "flavour": host.flavour,
                "site": host.site,
                "standby": host.standby,
                "status": "running" if host.up_at < now() - self.lag_s else "booting",
                "held_s": max(0.0, now() - self.lag_s - host.rented_at),
            }
            for name, host in sorted(self.hosts.items())
            if name > query.get("from", "") and not host.gone and host.rented_at <= now() - self.lag_s
        ]
        limit = int(query.get("limit", "500"))
        return 200, {"hosts": listed[:limit], "has_next": len(listed) > limit}

    def _rent(self, body: Any) -> tuple[int, Any]:
        if body["hire"] in self.hires:
            return 200, {"hosts": self.hires[body["hire"]]}
        number = min(body["number"], 50, self.capacity - sum(not host.gone for host in self.hosts.values()))
        if number <= 0:
            return 503, {"error": "no capacity"}
        kind = next(flavour for flavour in self.flavours if flavour["name"] == body["flavour"])
        boot_s = kind["ready_s"] * self.boot_factor
        self.hires[body["hire"]] = [
            self.add(body["flavour"], body["site"], body["standby"], boot_s) for _ in range(number)
        ]
        return 200, {"hosts": self.hires[body["hire"]]}


@dataclass
class Task:
    """A task on a machine."""

    attempt: int
    status: str
    until: float
    cause: str | None = None


@dataclass
class Event:
    """A task begins or ends to be on a machine."""

    at: float
    kind: str  # on, off
    part: str
    machine: str
    cause: str = ""


@dataclass
class Fleet:
    """What all workers share."""

    controllers: dict[str, str]  # label -> address
    report_s: float
    lease_s: float
    jobs: dict[str, dict[str, Any]] = field(default_factory=dict)  # uploaded descriptions
    run_s: Callable[[str], float] = lambda part: 5.0
    fails: Callable[[str], bool] = lambda part: False
    results: set[str] = field(default_factory=set)  # parts whose result is kept
    events: list[Event] = field(default_factory=list)
    note: Callable[..., None] = lambda *words: None


class Worker:
    """One worker: reports, lease, token, commands and tasks."""

    def __init__(self, fleet: Fleet, host: Host, kind: dict[str, Any]) -> None:
        """``kind``: the machine's flavour."""
        self.fleet, self.host, self.kind = fleet, host, kind
        self.tenure, self.counter, self.mandate = 1, 0, 0
        self.renewed_at = now()
        self.tasks: dict[str, Task] = {}
        self.images: set[str] = set()
        self.changed = asyncio.Event()
        self.cut = self.deaf = self.hangs = False  # cut: reaches nobody; deaf: hears no answers; hangs: stands still
        self.target = random.choice(list(fleet.controllers))
        self.server: HttpServer | None = None
        self.running: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Open the port for commands, and report."""
        self.server = await HttpServer(self._handle).start()
        self.running = [asyncio.create_task(self._report_forever()), asyncio.create_task(self._tick_forever())]

    def stop(self) -> None:
        """The machine is gone with all that is on it."""
        self.kill_all("gone")
        for task in self.running:
            task.cancel()
        if self.server is not None:
            self.server.stop()

    def emit(self, kind: str, part: str, cause: str = "") -> None:
        """Record that a task begins or ends to be on the machine."""
        self.fleet.events.append(Event(now(), kind, part, self.host.name, cause))
        self.fleet.note("task", kind, part, self.host.name, cause)

    def kill_all(self, cause: str) -> None:
        """Kill and forget all tasks."""
        for part, task in self.tasks.items():
            if task.status == "running":
                self.emit("off", part, cause)
        self.tasks.clear()

    def tick(self) -> None:
        """Lease and timers."""
        if now() - self.renewed_at > self.fleet.lease_s:
            self.kill_all("lease")
            self.tenure, self.counter, self.renewed_at = self.tenure + 1, 0, now()
            self.changed.set()
        for part, task in self.tasks.items():
            if task.status == "fetching" and now() >= task.until:
                self.images.add(self.job(part)["bundle"])
                self.begin(part, task)
            if task.status == "running" and now() >= task.until:
                if not self.fleet.fails(part):
                    self.fleet.results.add(part)
                self.end(part, task, "error" if self.fleet.fails(part) else "done")

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if not self.hangs:
                self.tick()

    def job(self, part: str) -> dict[str, Any]:
        """The uploaded description of the task's job."""
        return self.fleet.jobs[part.partition("/")[0]]

    def begin(self, part: str, task: Task) -> None:
        """The task has its image."""
        task.status, task.until = "running", now() + (0.0 if part in self.fleet.results else self.fleet.run_s(part))
        self.emit("on", part)
        self.changed.set()

    def end(self, part: str, task: Task, cause: str) -> None:
        """The task exits."""
        if task.status == "running":
            self.emit("off", part, cause)
        task.status, task.cause = "ended", cause
        self.changed.set()

    def report(self) -> dict[str, Any]:
        """The next report."""
        self.tick()
        self.counter += 1
        parts = [
            {"part": part, "try": task.attempt, "status": task.status} | ({"cause": task.cause} if task.cause else {})
            for part, task in self.tasks.items()
        ]
        return {
            "host": self.host.name,
            "address": f"127.0.0.1:{self.server.port if self.server else 0}",
            "flavour": self.host.flavour,
            "site": self.host.site,
            "standby": self.host.standby,
            "tenure": self.tenure,
            "counter": self.counter,
            "mandate": self.mandate,
            "recall_s": None,
            "parts": parts,
        }

    def orders(self, orders: list[dict[str, Any]]) -> None:
        """Carry out orders."""
        for order in orders:
            part, task = order["part"], self.tasks.get(order["part"])
            if order["verb"] == "run":
                if task is None or (task.status == "ended" and task.attempt != order["try"]):
                    self.run(part, order["try"])
            elif task is not None and task.attempt == order["try"]:
                if order["verb"] == "halt" and task.status != "ended":
                    self.end(part, task, "halted")
                elif order["verb"] == "clear" and task.status == "ended":
                    del self.tasks[part]

    def run(self, part: str, attempt: int) -> None:
        """Start a task, or refuse it."""
        self.fleet.note("order run", part, self.host.name)
        if part.partition("/")[0] not in self.fleet.jobs:
            self.tasks[part] = Task(attempt, "ended", now(), "unknown")
            return
        job = self.job(part)
        live = [self.job(other) for other, task in self.tasks.items() if task.status != "ended"]
        if (
            sum(other["vcpus"] for other in live) + job["vcpus"] > self.kind["vcpus"] + 1e-9
            or sum(other["mem_gb"] for other in live) + job["mem_gb"] > self.kind["mem_gb"] + 1e-9
        ):
            self.tasks[part] = Task(attempt, "ended", now(), "full")
            self.changed.set()
            return
        fetch_s = 0.0 if job["bundle"] in self.images else job["image_gb"] / self.kind["pull_gb_per_s"]
        task = self.tasks[part] = Task(attempt, "fetching", now() + fetch_s)
        self.changed.set()
        if not fetch_s:
            self.begin(part, task)

    async def _handle(self, method: str, path: str, query: dict[str, str], body: Any) -> tuple[int, Any] | None:
        while self.hangs:
            await asyncio.sleep(0.05)
        if self.cut or self.deaf:
            return None
        if path == "/status":
            return 200, self.report()
        if "mandate" not in body or "tenure" not in body:
            return 400, {}
        if body["mandate"] < self.mandate or body["tenure"] != self.tenure:
            return 409, self.report()
        if body["mandate"] > self.mandate:
            self.changed.set()
        self.mandate = body["mandate"]
        self.orders(body.get("orders", []))
        return 200, self.report()

    async def _report_forever(self) -> None:
        await asyncio.sleep(random.uniform(0.0, 0.5))
        while True:
            sent_at = now()
            pause = await self._report_once()
            if pause < 0:  # accepted
                await asyncio.sleep(max(0.0, sent_at + 0.5 - now()))
                limit = sent_at + self.fleet.report_s * random.uniform(0.75, 1.25) - now()
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.0, limit))
                except TimeoutError:
                    pass
            else:
                await asyncio.sleep(pause)
            while self.hangs:
                await asyncio.sleep(0.02)

    async def _report_once(self) -> float:
        """Pause before the next report; negative: it was accepted."""
        self.changed.clear()
        report, sent_at = self.report(), now()
        if self.cut:
            await asyncio.sleep(4.0)
            return self._next()
        status, answer = await request(self.fleet.controllers[self.target], "POST", "/agent/beat", report, 4.0)
        while self.hangs:
            await asyncio.sleep(0.02)
        self.tick()
        if self.deaf or self.cut or now() - sent_at > 4.0:
            await asyncio.sleep(max(0.0, sent_at + 4.0 - now()))
            return self._next()
        if status == 421 and answer.get("steward") in self.fleet.controllers and answer["steward"] != self.target:
            self.target = answer["steward"]
            return random.uniform(0.0, 0.5)
        if status != 200:
            return self._next()
        if report["tenure"] != self.tenure or answer.get("mandate", -1) < self.mandate:
            return -1.0
        if answer["mandate"] > self.mandate:
            self.changed.set()
        self.mandate, self.renewed_at = answer["mandate"], sent_at
        self.orders(answer["orders"])
        return -1.0

    def _next(self) -> float:
        labels = list(self.fleet.controllers)
        self.target = labels[(labels.index(self.target) + 1) % len(labels)]
        return 1.0
