"""One process of hollow workers: real connections to the controllers, a model for each worker.

    python3 -m scale.hollow SETUP.json NUMBER RESULTS.json

Ended by SIGTERM, it writes what its workers did.
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

from .cloud_model import Kind
from .jobs import JobPlan
from .worker_model import ANSWER_S, CHANGE_S, NEXT_NODE_S, Event, WorkerModel

LOOK_S = 0.5  # how often the platform is asked which machines are up
REDIRECT_S = 0.5  # a worker that is sent on reports there after at most this
REPORT_SPREAD = 0.25
HISTOGRAM = (1, 60_000_000, 3)  # microseconds


class HollowWorker:
    """A model, its connection, and its port for commands."""

    def __init__(self, process: HollowProcess, name: str, zone: str, spot: bool) -> None:
        """The machine is up from now on."""
        self.process = process
        setup, kind = process.setup, Kind()
        self.model = WorkerModel(
            name,
            zone,
            spot,
            kind.name,
            kind.fetch_gb_per_s,
            setup["lease_s"],
            process.plan,
            time.monotonic(),
            process.on_event,
        )
        self.core = process.rng.choice(setup["labels"])
        self.wake = asyncio.Event()
        self.session: aiohttp.ClientSession | None = None
        self.site: web.TCPSite | None = None
        self.task: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen for commands, and report."""
        self.site = web.TCPSite(self.process.runner, "127.0.0.1", 0)
        await self.site.start()
        port = self.site._server.sockets[0].getsockname()[1]  # the library tells of it nowhere else
        self.model.address = f"127.0.0.1:{port}"
        self.process.by_port[port] = self
        connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=60.0)
        self.session = aiohttp.ClientSession(connector=connector, timeout=aiohttp.ClientTimeout(total=ANSWER_S))
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """The machine is gone, with all that is on it."""
        self.model.kill_all(time.monotonic())
        self.task.cancel()
        self.process.by_port.pop(int(self.model.address.rpartition(":")[2]), None)
        await self.site.stop()
        await self.session.close()

    def cut(self) -> bool:
        """Whether its zone is cut off."""
        return self.model.zone in self.process.cut_zones

    async def run(self) -> None:
        """Report, one at a time, for as long as the machine is there."""
        await asyncio.sleep(self.process.rng.uniform(0.0, self.process.setup["report_s"]))
        while True:
            began = time.monotonic()
            pause = await self.report()
            await self.rest(began, pause)

    async def rest(self, began: float, pause: float) -> None:
        """Until the next report is due: after the pause, or sooner when something changes."""
        end = time.monotonic() + pause
        while (now := time.monotonic()) < end:
            self.model.tick(now)
            if self.model.changed and pause > CHANGE_S:
                end = min(end, max(now, began + CHANGE_S))
                pause = CHANGE_S
                continue
            timers = [task.until for task in self.model.tasks.values() if task.cause is None]
            self.wake.clear()
            try:
                await asyncio.wait_for(self.wake.wait(), max(0.01, min([end, *timers]) - now))
            except TimeoutError:
                pass

    async def report(self) -> float:
        """One report and its answer; how long to rest."""
        process, model = self.process, self.model
        sent_at = time.monotonic()
        body, incarnation = model.report(sent_at), model.incarnation
        if self.cut():
            await asyncio.sleep(ANSWER_S)
            return self.next_node("cut")
        try:
            url = f"http://{process.setup['addresses'][self.core]}/agent/beat"
            async with self.session.post(url, data=body) as response:
                answer = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return self.next_node("no answer")
        now = time.monotonic()
        process.counts["reports"] += 1
        process.counts["bytes_out"] += len(body)
        process.counts["bytes_in"] += len(answer)
        process.round_trips.record_value(int((now - sent_at) * 1e6))
        if response.status == 200:
            if self.cut() or not model.on_answer(json.loads(answer), incarnation, sent_at, now):
                process.counts["dropped"] += 1
            return process.setup["report_s"] * process.rng.uniform(1 - REPORT_SPREAD, 1 + REPORT_SPREAD)
        return self.not_taken(response.status, answer)

    def not_taken(self, status: int, answer: bytes) -> float:
        """Where to go on when a controller does not answer with 200."""
        process = self.process
        steward = json.loads(answer).get("steward") if status == 421 else None
        if steward in process.setup["addresses"] and steward != self.core:
            self.core = steward
            process.counts["sent_on"] += 1
            return process.rng.uniform(0.0, REDIRECT_S)
        return self.next_node(str(status))

    def next_node(self, why: str) -> float:
        """The next controller, a second later."""
        labels = self.process.setup["labels"]
        self.core = labels[(labels.index(self.core) + 1) % len(labels)]
        self.process.refused[why] = self.process.refused.get(why, 0) + 1
        return NEXT_NODE_S


class HollowProcess:
    """All workers of this process."""

    def __init__(self, setup: dict, number: int) -> None:
        """``number``: among the hollow processes."""
        self.setup, self.number = setup, number
        self.plan = JobPlan(**setup["plan"])
        self.rng = random.Random(setup["seed"] * 1000 + number)
        self.workers: dict[str, HollowWorker] = {}
        self.by_port: dict[int, HollowWorker] = {}
        self.events: list[Event] = []
        self.counts = dict.fromkeys(("reports", "bytes_in", "bytes_out", "dropped", "sent_on", "commands"), 0)
        self.seen = {"on": 0, "done": 0, "off": 0}  # events by what they tell
        self.refused: dict[str, int] = {}
        self.round_trips = HdrHistogram(*HISTOGRAM)
        self.cut_zones: set[str] = set()
        self.runner = web.ServerRunner(web.Server(self.on_command))

    def on_event(self, event: Event) -> None:
        """Something has begun or ended on a worker."""
        self.events.append(event)
        self.seen[event.what] += 1

    async def on_command(self, request: web.Request) -> web.Response:
        """``/commands`` or ``/status`` at a worker's address."""
        worker = self.by_port.get(request.transport.get_extra_info("sockname")[1])
        if worker is None or worker.cut():
            await asyncio.sleep(ANSWER_S)
            return web.Response(status=503)
        status, now = 200, time.monotonic()
        if request.path == "/commands":
            status = worker.model.on_commands(await request.json(), now)
            self.counts["commands"] += 1
            worker.wake.set()
        body = b"{}" if status == 400 else worker.model.report(now)
        return web.Response(status=status, body=body, content_type="application/json")

    async def run(self) -> None:
        """Follow the platform until this task is cancelled."""
        await self.runner.setup()
        url = f"http://127.0.0.1:{self.setup['control']}/hollow"
        async with aiohttp.ClientSession() as session:
            while True:
                async with session.post(url, json=self.told()) as response:
                    answer = await response.json()
                await self.follow(answer)
                await asyncio.sleep(LOOK_S)

    def told(self) -> dict:
        """What the platform hears of this process."""
        addresses = {name: worker.model.address for name, worker in self.workers.items()}
        counts = self.counts | {"starts": self.seen["on"], "done": self.seen["done"], "workers": len(self.workers)}
        return {"process": self.number, "of": self.setup["hollow"], "counts": counts, "addresses": addresses}

    async def follow(self, answer: dict) -> None:
        """Machines that are new, and machines that are gone."""
        self.cut_zones = set(answer["cut_zones"])
        there = {name: (zone, spot) for name, zone, spot in answer["hosts"]}
        for name in [name for name in self.workers if name not in there]:
            await self.workers.pop(name).stop()
        for name, (zone, spot) in there.items():
            if name not in self.workers:
                worker = self.workers[name] = HollowWorker(self, name, zone, spot)
                await worker.start()

    def results(self) -> dict:
        """All that its workers did."""
        return {
            "counts": self.told()["counts"],
            "refused": self.refused,
            "round_trips": self.round_trips.encode().decode(),
            "events": self.events,
        }


async def serve(setup: dict, number: int, out: Path) -> None:
    """Until SIGTERM, or until the platform is gone."""
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
