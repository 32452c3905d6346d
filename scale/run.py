"""Plays an experiment: starts all processes, brings its faults about, ends them, and judges what happened."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import aiohttp

from .experiment import Experiment, Fault
from .jobs import JobPlan
from .results import QuotaUsage, Results
from .users import Users

ROOT = Path(__file__).resolve().parent.parent
SAMPLE_S = 1.0
PROGRESS_S = 5.0
READY_S = 30.0  # controllers that do not serve by then never will
RESTART_S = 0.2  # a killed controller that is to be back is started this long before
STOP_S = 20.0  # processes that have not ended by then are killed
LIST_LAG_S = 4.0
CLOUD_RATE = 20.0
VALUE_KB, TRANSACTION_CHANGES = 4.0, 24
CONTROLLER_SOCKETS_BASE = 400
PORTS = range(12_000, 32_000)  # Linux gives outgoing connections those from 32,768 on


class RunError(Exception):
    """The experiment could not be played; the text says why."""


def free_ports(count: int) -> list[int]:
    """Ports of this machine that nobody listens on, below those that outgoing connections are given."""
    found: list[int] = []
    ports = iter(random.sample(PORTS, len(PORTS)))
    while len(found) < count:
        port = next(ports)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
    return found


class Run:
    """One run of one experiment in a folder of its own."""

    def __init__(self, experiment: Experiment, folder: Path, log_level: str, beside: Path | None = None) -> None:
        """``folder``: settings, logs and the processes' results go there.

        ``beside``: another checkout, whose program every second controller runs.
        """
        self.experiment, self.folder, self.log_level, self.beside = experiment, folder, log_level, beside
        self.labels = [f"host-{number}" for number in range(experiment.controllers)]
        self.plan = JobPlan(
            experiment.seed, experiment.teams, experiment.tasks, experiment.task_s, experiment.urgent_share
        )
        ports = free_ports(2 * experiment.controllers)
        self.addresses = {label: f"127.0.0.1:{ports.pop()}" for label in self.labels}
        self.mesh = {label: f"127.0.0.1:{ports.pop()}" for label in self.labels}
        self.usages: list[QuotaUsage] = []
        self.controllers: dict[str, subprocess.Popen] = {}
        self.hollow: list[subprocess.Popen] = []
        self.ports: dict = {}
        self.began_at = 0.0
        self.wrong: dict[str, set[str]] = {"cut_controllers": set(), "cut_zones": set(), "state_down": set()}
        self.ended_by_themselves: list[str] = []
        self.users: Users | None = None

    # -- processes

    def start_process(self, role: str, name: str, command: list[str], **more) -> subprocess.Popen:
        """A process whose log goes into the folder."""
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, *command],
                cwd=ROOT,
                stderr=log,
                start_new_session=True,
                env=os.environ | {"LOG_LEVEL": self.log_level},
                **more,
            )
        self.usages.append(QuotaUsage(role, name, process))
        return process

    def setup(self) -> dict:
        """What the platform's and the hollow processes are told."""
        one = self.experiment
        return {
            "labels": self.labels,
            "zones": one.zone_names(),
            "workers": one.workers,
            "workers_at_start": one.workers * 9 // 10,
            "boot_s": one.boot_s,
            "list_lag_s": LIST_LAG_S,
            "store_requests": one.store_requests,
            "store_changes": one.store_changes,
            "seed": one.seed,
            "report_s": one.report_s,
            "lease_s": one.lease_s,
            "addresses": self.addresses,
            "hollow": one.hollow_processes,
            "plan": vars(self.plan),
        }

    def settings(self, label: str) -> dict:
        """A controller's settings, as the platform hands them over."""
        one, zones = self.experiment, self.experiment.zone_names()
        teams = [
            {"name": f"team-{number:03d}", "cpus": one.team_cpus / 2, "cpus_max": one.team_cpus}
            for number in range(one.teams)
        ]
        return {
            "label": label,
            "location": self.zone_of(label),
            "listen": self.addresses[label],
            "mesh_addr": self.mesh[label],
            "peers": [
                {"label": other, "location": self.zone_of(other), "addr": self.mesh[other]}
                for other in self.labels
                if other != label
            ],
            "endpoints": {
                "cloud": f"127.0.0.1:{self.ports['cloud']}",
                "state": f"127.0.0.1:{self.ports['state'][label]}",
            },
            "settings": {
                "zones": zones,
                "teams": teams,
                "objectives": [
                    {"kind": "wait", "class": "urgent", "within_s": 12.0},
                    {"kind": "finished", "class": "routine", "within_s": 250.0},
                ],
                "workers": {"report_s": one.report_s, "lease_s": one.lease_s, "cancel_s": one.cancel_s},
                "state": {
                    "rps": one.store_requests,
                    "write_rps": one.store_changes,
                    "value_kb": VALUE_KB,
                    "txn_ops": TRANSACTION_CHANGES,
                },
                "cloud": {"rps": CLOUD_RATE, "list_lag_s": LIST_LAG_S},
                "limits": {
                    "cpu": 1.0,
                    "memory_mb": 1000.0,
                    "max_sockets": CONTROLLER_SOCKETS_BASE + 3 * one.workers,
                },
            },
        }

    def zone_of(self, label: str) -> str:
        """Controllers are spread over the zones."""
        return self.experiment.zone_names()[self.labels.index(label) % self.experiment.zones]

    def start_controller(self, label: str) -> None:
        """As operators start one."""
        path = self.folder / f"{label}.json"
        path.write_text(json.dumps(self.settings(label)))
        other = self.beside is not None and self.labels.index(label) % 2
        command = [str((self.beside if other else ROOT) / "run.py"), "--config", str(path)]
        self.controllers[label] = self.start_process("controller", label, command, stdout=subprocess.DEVNULL)

    async def start(self) -> None:
        """The platform first, then controllers, then workers."""
        setup = self.folder / "setup.json"
        setup.write_text(json.dumps(self.setup()))
        platform = self.start_process(
            "platform", "platform", ["-m", "scale.platform_server", str(setup)], stdout=subprocess.PIPE, text=True
        )
        line = await asyncio.to_thread(platform.stdout.readline)
        if not line:
            raise RunError(f"the platform's stand-in did not start: see {self.folder / 'platform.log'}")
        self.ports = json.loads(line)
        for label in self.labels:
            self.start_controller(label)
        await self.wait_until_ready()
        setup.write_text(json.dumps(self.setup() | {"control": self.ports["control"]}))
        for number in range(self.experiment.hollow_processes):
            command = ["-m", "scale.hollow", str(setup), str(number), str(self.folder / f"hollow-{number}.json")]
            self.hollow.append(self.start_process("hollow", f"hollow-{number}", command))

    async def wait_until_ready(self) -> None:
        """Until all controllers take requests."""
        end = time.monotonic() + READY_S
        async with aiohttp.ClientSession() as session:
            for label, address in self.addresses.items():
                while not await self.healthy(session, address):
                    if self.controllers[label].poll() is not None or time.monotonic() > end:
                        raise RunError(f"{label} does not serve: see {self.folder / label}.log")
                    await asyncio.sleep(0.1)

    @staticmethod
    async def healthy(session: aiohttp.ClientSession, address: str) -> bool:
        """Whether it says that it takes requests."""
        try:
            async with session.get(f"http://{address}/healthz") as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError):
            return False

    def stop(self) -> None:
        """End all processes; hollow ones write their results first."""
        for process in self.hollow:
            process.send_signal(signal.SIGTERM)
        end = time.monotonic() + STOP_S
        for process in self.hollow:
            try:
                process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                pass
        for usage in self.usages:
            if usage.process.poll() is None:
                usage.process.kill()
            usage.process.wait()

    # -- the run

    async def play(self) -> dict:
        """The whole of it; the results."""
        one = self.experiment
        try:
            await self.start()
            self.began_at = time.monotonic()
            self.users = Users(self.plan, list(self.addresses.values()), one.jobs_a_minute, one.cancelled_share)
            tasks = [
                asyncio.create_task(self.users.run(one.jobs_at_start)),
                asyncio.create_task(self.sample()),
                *(asyncio.create_task(self.bring_about(fault)) for fault in one.faults),
            ]
            try:
                await asyncio.wait(tasks, timeout=one.seconds, return_when=asyncio.FIRST_EXCEPTION)
                for task in tasks:
                    if task.done() and task.exception() is not None:
                        raise task.exception()
                counts = await self.control("/counts")
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
        finally:
            await asyncio.to_thread(self.stop)
        return self.results(counts)

    async def control(self, path: str, body: dict | None = None) -> dict:
        """Ask the platform's stand-in, or tell it something."""
        url = f"http://127.0.0.1:{self.ports['control']}{path}"
        try:
            async with aiohttp.ClientSession() as session, session.post(url, json=body or {}) as response:
                return await response.json()
        except (aiohttp.ClientError, OSError) as error:
            raise RunError(f"the platform's stand-in does not answer: {error}") from None

    async def sample(self) -> None:
        """Processor time and memory each second, a line of progress now and then."""
        last, last_at, next_at = 0, time.monotonic(), time.monotonic() + PROGRESS_S
        while True:
            await asyncio.sleep(SAMPLE_S)
            for usage in self.usages:
                usage.sample()
            for usage in self.usages:
                if usage.process.poll() is not None and usage.name not in self.ended_by_themselves:
                    self.on_ended(usage)
            now = time.monotonic()
            if now >= next_at:
                for usage in self.usages:
                    usage.count_connections()
                counts = await self.control("/counts")
                starts = sum(one["starts"] for one in counts["hollow"])
                self.progress(now, counts, (starts - last) / (now - last_at))
                last, last_at, next_at = starts, now, now + PROGRESS_S

    def on_ended(self, usage: QuotaUsage) -> None:
        """A process has ended that was not told to."""
        if usage.role != "controller":
            raise RunError(f"{usage.name} ended by itself: see {self.folder / usage.name}.log")
        if self.controllers[usage.name] is usage.process:
            self.ended_by_themselves.append(usage.name)

    def progress(self, now: float, counts: dict, rate: float) -> None:
        """One line."""
        workers = sum(one["workers"] for one in counts["hollow"])
        done = sum(state == "done" for state in self.users.ended.values())
        print(
            f"{now - self.began_at:5.0f} s: {workers} workers, {len(self.users.accepted)} jobs accepted, {done} done,"
            f" {rate:.0f} starts/s",
            flush=True,
        )

    # -- faults

    async def bring_about(self, fault: Fault) -> None:
        """One fault, at its time, and its end."""
        await asyncio.sleep(fault.at_s)
        print(f"{fault.at_s:5.0f} s: {fault.kind} {fault.target} for {fault.for_s:g} s", flush=True)
        if fault.kind == "kill controller":
            process, self.controllers[fault.target] = self.controllers[fault.target], None
            process.kill()
            await asyncio.sleep(max(0.0, fault.for_s - RESTART_S))
            self.start_controller(fault.target)
            return
        cut = [label for label in self.labels if self.zone_of(label) == fault.target]
        changes = {"cut zone": {"cut_zones": {fault.target}, "cut_controllers": set(cut)}}
        change = changes.get(fault.kind, {"state_down": {"down"}})
        for name, more in change.items():
            self.wrong[name] |= more
        await self.tell_faults()
        await asyncio.sleep(fault.for_s)
        for name, more in change.items():
            self.wrong[name] -= more
        await self.tell_faults()

    async def tell_faults(self) -> None:
        """What is wrong now."""
        await self.control(
            "/fault",
            {
                "cut_zones": sorted(self.wrong["cut_zones"]),
                "cut_controllers": sorted(self.wrong["cut_controllers"]),
                "state_down": bool(self.wrong["state_down"]),
            },
        )

    def results(self, counts: dict) -> dict:
        """Everything that was measured, and whether a rule was broken."""
        paths = [self.folder / f"hollow-{number}.json" for number in range(self.experiment.hollow_processes)]
        hollow = [json.loads(path.read_text()) for path in paths]
        found = Results(self.experiment, self.plan, self.began_at, self.users, hollow, self.usages)
        return found.all(counts) | {"ended_by_themselves": self.ended_by_themselves}
