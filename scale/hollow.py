"""A process of hollow workers: real connections to the controllers, and a model of each worker.

    python3 -m scale.hollow SETUP.json NUMBER RESULTS.json

Writes the results of its workers to RESULTS.json on SIGTERM.
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
import time
from pathlib import Path

import aiohttp
from aiohttp import web
from hdrh.histogram import HdrHistogram

from .cloud_model import MachineType
from .jobs import JobPlan
from .worker_model import MIN_HEARTBEAT_INTERVAL_S, NEXT_CONTROLLER_DELAY_S, RESPONSE_TIMEOUT_S, Event, WorkerModel

PLATFORM_POLL_S = 0.5
MAX_REDIRECT_DELAY_S = 0.5
HEARTBEAT_JITTER = 0.25  # share of the heartbeat interval
HISTOGRAM = (1, 60_000_000, 3)  # microseconds


class HollowWorker:
    """A worker: its model, its connection to a controller and its port for commands."""

    def __init__(self, process: HollowProcess, name: str, zone: str, spot: bool) -> None:
        """The machine is up; ``start`` opens its port and sends heartbeats."""
        self.process = process
        setup, machine_type = process.setup, MachineType()
        self.model = WorkerModel(
            name,
            zone,
            spot,
            machine_type.name,
            machine_type.fetch_gb_per_s,
            setup["lease_s"],
            process.plan,
            time.monotonic(),
            process.on_event,
        )
        self.controller = process.rng.choice(setup["labels"])
        self.wake = asyncio.Event()
        self.session: aiohttp.ClientSession | None = None
        self.site: web.TCPSite | None = None
        self.task: asyncio.Task | None = None

    async def start(self) -> None:
        """Listens for commands and starts to send heartbeats."""
        self.site = web.TCPSite(self.process.runner, "127.0.0.1", 0)
        await self.site.start()
        port = self.site._server.sockets[0].getsockname()[1]  # aiohttp has no public way to get the bound port
        self.model.address = f"127.0.0.1:{port}"
        self.process.by_port[port] = self
        connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=60.0)
        self.session = aiohttp.ClientSession(
            connector=connector, timeout=aiohttp.ClientTimeout(total=RESPONSE_TIMEOUT_S)
        )
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """Terminates the machine and its tasks."""
        self.model.kill_all(time.monotonic())
        self.task.cancel()
        self.process.by_port.pop(int(self.model.address.rpartition(":")[2]), None)
        await self.site.stop()
        await self.session.close()

    def is_cut_off(self) -> bool:
        """Whether the network of its zone is cut off."""
        return self.model.zone in self.process.cut_zones

    async def run(self) -> None:
        """Sends heartbeats, one at a time, until cancelled."""
        await asyncio.sleep(self.process.rng.uniform(0.0, self.process.setup["report_s"]))
        while True:
            started_at = time.monotonic()
            pause = await self.send_heartbeat()
            await self.wait_for_next_heartbeat(started_at, pause)

    async def wait_for_next_heartbeat(self, started_at: float, pause: float) -> None:
        """Waits for the next heartbeat: until the pause is over, or less if the worker's state changes."""
        end = time.monotonic() + pause
        while (now := time.monotonic()) < end:
            self.model.tick(now)
            if self.model.changed and pause > MIN_HEARTBEAT_INTERVAL_S:
                end = min(end, max(now, started_at + MIN_HEARTBEAT_INTERVAL_S))
                pause = MIN_HEARTBEAT_INTERVAL_S
                continue
            timers = [task.until for task in self.model.tasks.values() if task.cause is None]
            self.wake.clear()
            try:
                await asyncio.wait_for(self.wake.wait(), max(0.01, min([end, *timers]) - now))
            except TimeoutError:
                pass

    async def send_heartbeat(self) -> float:
        """Sends a heartbeat and handles the response; returns the pause before the next one."""
        process, model = self.process, self.model
        sent_at = time.monotonic()
        body, incarnation = model.heartbeat(sent_at), model.incarnation
        if self.is_cut_off():
            await asyncio.sleep(RESPONSE_TIMEOUT_S)
            return self.try_next_controller("cut")
        try:
            url = f"http://{process.setup['addresses'][self.controller]}/agent/beat"
            async with self.session.post(url, data=body) as response:
                payload = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return self.try_next_controller("no answer")
        now = time.monotonic()
        process.counts["reports"] += 1
        process.counts["bytes_out"] += len(body)
        process.counts["bytes_in"] += len(payload)
        process.round_trips.record_value(int((now - sent_at) * 1e6))
        if response.status == 200:
            if self.is_cut_off() or not model.on_response(json.loads(payload), incarnation, sent_at, now):
                process.counts["dropped"] += 1
            return process.setup["report_s"] * process.rng.uniform(1 - HEARTBEAT_JITTER, 1 + HEARTBEAT_JITTER)
        return self.on_rejected(response.status, payload)

    def on_rejected(self, status: int, payload: bytes) -> float:
        """Selects the next controller after a response that is not 200; returns the pause before the next heartbeat."""
        process = self.process
        owner = json.loads(payload).get("steward") if status == 421 else None
        if owner in process.setup["addresses"] and owner != self.controller:
            self.controller = owner
            process.counts["sent_on"] += 1
            return process.rng.uniform(0.0, MAX_REDIRECT_DELAY_S)
        return self.try_next_controller(str(status))

    def try_next_controller(self, reason: str) -> float:
        """Moves on to the next controller; returns the pause before the next heartbeat."""
        labels = self.process.setup["labels"]
        self.controller = labels[(labels.index(self.controller) + 1) % len(labels)]
        self.process.rejections[reason] = self.process.rejections.get(reason, 0) + 1
        return NEXT_CONTROLLER_DELAY_S


class HollowProcess:
    """All hollow workers of this process."""

    def __init__(self, setup: dict, number: int) -> None:
        """``number``: index of this process among the hollow processes."""
        self.setup, self.number = setup, number
        self.plan = JobPlan(**setup["plan"])
        self.rng = random.Random(setup["seed"] * 1000 + number)
        self.workers: dict[str, HollowWorker] = {}
        self.by_port: dict[int, HollowWorker] = {}
        self.events: list[Event] = []
        self.counts = dict.fromkeys(("reports", "bytes_in", "bytes_out", "dropped", "sent_on", "commands"), 0)
        self.event_counts = {"on": 0, "done": 0, "off": 0}
        self.rejections: dict[str, int] = {}
        self.round_trips = HdrHistogram(*HISTOGRAM)
        self.cut_zones: set[str] = set()
        self.runner = web.ServerRunner(web.Server(self.on_command))

    def on_event(self, event: Event) -> None:
        """Records a task event of a worker."""
        self.events.append(event)
        self.event_counts[event.kind] += 1

    async def on_command(self, request: web.Request) -> web.Response:
        """Handles ``/commands`` or ``/status`` at a worker's address."""
        worker = self.by_port.get(request.transport.get_extra_info("sockname")[1])
        if worker is None or worker.is_cut_off():
            await asyncio.sleep(RESPONSE_TIMEOUT_S)
            return web.Response(status=503)
        status, now = 200, time.monotonic()
        if request.path == "/commands":
            status = worker.model.on_commands(await request.json(), now)
            self.counts["commands"] += 1
            worker.wake.set()
        body = b"{}" if status == 400 else worker.model.heartbeat(now)
        return web.Response(status=status, body=body, content_type="application/json")

    async def run(self) -> None:
        """Polls the platform for this process's machines until cancelled."""
        await self.runner.setup()
        url = f"http://127.0.0.1:{self.setup['control']}/hollow"
        async with aiohttp.ClientSession() as session:
            while True:
                async with session.post(url, json=self.status_report()) as response:
                    platform_status = await response.json()
                await self.update_workers(platform_status)
                await asyncio.sleep(PLATFORM_POLL_S)

    def status_report(self) -> dict:
        """The status report of this process to the platform."""
        addresses = {name: worker.model.address for name, worker in self.workers.items()}
        counts = self.counts | {
            "starts": self.event_counts["on"],
            "done": self.event_counts["done"],
            "workers": len(self.workers),
        }
        return {"process": self.number, "of": self.setup["hollow"], "counts": counts, "addresses": addresses}

    async def update_workers(self, platform_status: dict) -> None:
        """Starts workers of new machines and stops those of terminated machines."""
        self.cut_zones = set(platform_status["cut_zones"])
        machines = {name: (zone, spot) for name, zone, spot in platform_status["hosts"]}
        for name in [name for name in self.workers if name not in machines]:
            await self.workers.pop(name).stop()
        for name, (zone, spot) in machines.items():
            if name not in self.workers:
                worker = self.workers[name] = HollowWorker(self, name, zone, spot)
                await worker.start()

    def results(self) -> dict:
        """The results of all workers of this process."""
        return {
            "counts": self.status_report()["counts"],
            "refused": self.rejections,
            "round_trips": self.round_trips.encode().decode(),
            "events": self.events,
        }


async def serve(setup: dict, number: int, out: Path) -> None:
    """Runs until SIGTERM or until the platform is unreachable, then writes the results."""
    process = HollowProcess(setup, number)
    task = asyncio.create_task(process.run())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        await task
    except (asyncio.CancelledError, aiohttp.ClientError, OSError):
        pass
    out.write_text(json.dumps(process.results()))


if __name__ == "__main__":
    asyncio.run(serve(json.loads(Path(sys.argv[1]).read_text()), int(sys.argv[2]), Path(sys.argv[3])))
