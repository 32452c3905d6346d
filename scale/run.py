"""Runs an experiment: starts all processes, injects the faults, stops the processes and computes the results."""

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
from .results import ProcessUsage, Results
from .users import Users

ROOT = Path(__file__).resolve().parent.parent
SAMPLE_INTERVAL_S = 1.0
PROGRESS_INTERVAL_S = 5.0
READY_TIMEOUT_S = 30.0
STARTUP_S = 0.2  # a killed controller is restarted this long before the fault ends
STOP_TIMEOUT_S = 20.0  # then hollow processes are killed
LIST_LAG_S = 4.0
CLOUD_RATE = 20.0
MAX_VALUE_KB, MAX_TRANSACTION_WRITES = 4.0, 24
CONTROLLER_SOCKETS_BASE = 400
PORTS = range(12_000, 32_000)  # below the ephemeral ports of Linux, which start at 32,768


class RunError(Exception):
    """The experiment could not be run; the message gives the reason."""


def free_ports(count: int) -> list[int]:
    """Unused local ports below the range of ephemeral ports."""
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
    """One run of an experiment, with its own folder."""

    def __init__(
        self, experiment: Experiment, folder: Path, log_level: str, other_checkout: Path | None = None
    ) -> None:
        """``folder``: for settings, logs and the processes' results.

        ``other_checkout``: another checkout; every second controller runs its version.
        """
        self.experiment, self.folder, self.log_level, self.other_checkout = (
            experiment,
            folder,
            log_level,
            other_checkout,
        )
        self.labels = [f"host-{number}" for number in range(experiment.controllers)]
        self.plan = JobPlan(
            experiment.seed, experiment.teams, experiment.tasks, experiment.task_s, experiment.urgent_share
        )
        ports = free_ports(2 * experiment.controllers)
        self.addresses = {label: f"127.0.0.1:{ports.pop()}" for label in self.labels}
        self.mesh = {label: f"127.0.0.1:{ports.pop()}" for label in self.labels}
        self.usages: list[ProcessUsage] = []
        self.controllers: dict[str, subprocess.Popen] = {}
        self.hollow: list[subprocess.Popen] = []
        self.ports: dict = {}
        self.started_at = 0.0
        self.active_faults: dict[str, set[str]] = {"cut_controllers": set(), "cut_zones": set(), "state_down": set()}
        self.ended_by_themselves: list[str] = []
        self.users: Users | None = None

    def start_process(self, role: str, name: str, command: list[str], **popen_options) -> subprocess.Popen:
        """Starts a process that logs to a file in the folder."""
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, *command],
                cwd=ROOT,
                stderr=log,
                start_new_session=True,
                env=os.environ | {"LOG_LEVEL": self.log_level},
                **popen_options,
            )
        self.usages.append(ProcessUsage(role, name, process))
        return process

    def setup(self) -> dict:
        """The setup file for the platform and the hollow processes."""
        experiment = self.experiment
        return {
            "labels": self.labels,
            "zones": experiment.zone_names(),
            "workers": experiment.workers,
            "workers_at_start": experiment.workers * 9 // 10,
            "boot_s": experiment.boot_s,
            "list_lag_s": LIST_LAG_S,
            "store_requests": experiment.store_requests,
            "store_changes": experiment.store_changes,
            "seed": experiment.seed,
            "report_s": experiment.report_s,
            "lease_s": experiment.lease_s,
            "addresses": self.addresses,
            "hollow": experiment.hollow_processes,
            "plan": vars(self.plan),
        }

    def settings(self, label: str) -> dict:
        """The contents of a controller's settings file."""
        experiment, zones = self.experiment, self.experiment.zone_names()
        teams = [
            {"name": f"team-{number:03d}", "cpus": experiment.team_cpus / 2, "cpus_max": experiment.team_cpus}
            for number in range(experiment.teams)
        ]
        return {
            "label": label,
            "location": self.zone_of(label),
            "listen": self.addresses[label],
            "mesh_addr": self.mesh[label],
            "peers": [
                {"label": peer, "location": self.zone_of(peer), "addr": self.mesh[peer]}
                for peer in self.labels
                if peer != label
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
                "workers": {
                    "report_s": experiment.report_s,
                    "lease_s": experiment.lease_s,
                    "cancel_s": experiment.cancel_s,
                },
                "state": {
                    "rps": experiment.store_requests,
                    "write_rps": experiment.store_changes,
                    "value_kb": MAX_VALUE_KB,
                    "txn_ops": MAX_TRANSACTION_WRITES,
                },
                "cloud": {"rps": CLOUD_RATE, "list_lag_s": LIST_LAG_S},
                "limits": {
                    "cpu": 1.0,
                    "memory_mb": 1000.0,
                    "max_sockets": CONTROLLER_SOCKETS_BASE + 3 * experiment.workers,
                },
            },
        }

    def zone_of(self, label: str) -> str:
        """The zone of a controller; controllers are spread over all zones."""
        return self.experiment.zone_names()[self.labels.index(label) % self.experiment.zones]

    def start_controller(self, label: str) -> None:
        """Starts a controller with the same command as in production."""
        path = self.folder / f"{label}.json"
        path.write_text(json.dumps(self.settings(label)))
        runs_other_checkout = self.other_checkout is not None and self.labels.index(label) % 2
        command = [str((self.other_checkout if runs_other_checkout else ROOT) / "run.py"), "--config", str(path)]
        self.controllers[label] = self.start_process("controller", label, command, stdout=subprocess.DEVNULL)

    async def start(self) -> None:
        """Starts the platform, then the controllers, then the workers."""
        setup = self.folder / "setup.json"
        setup.write_text(json.dumps(self.setup()))
        platform = self.start_process(
            "platform", "platform", ["-m", "scale.platform_server", str(setup)], stdout=subprocess.PIPE, text=True
        )
        line = await asyncio.to_thread(platform.stdout.readline)
        if not line:
            raise RunError(f"the simulated platform did not start: see {self.folder / 'platform.log'}")
        self.ports = json.loads(line)
        for label in self.labels:
            self.start_controller(label)
        await self.wait_until_ready()
        setup.write_text(json.dumps(self.setup() | {"control": self.ports["control"]}))
        for number in range(self.experiment.hollow_processes):
            command = ["-m", "scale.hollow", str(setup), str(number), str(self.folder / f"hollow-{number}.json")]
            self.hollow.append(self.start_process("hollow", f"hollow-{number}", command))

    async def wait_until_ready(self) -> None:
        """Waits until all controllers accept requests."""
        end = time.monotonic() + READY_TIMEOUT_S
        async with aiohttp.ClientSession() as session:
            for label, address in self.addresses.items():
                while not await self.healthy(session, address):
                    if self.controllers[label].poll() is not None or time.monotonic() > end:
                        raise RunError(f"{label} is not ready: see {self.folder / label}.log")
                    await asyncio.sleep(0.1)

    @staticmethod
    async def healthy(session: aiohttp.ClientSession, address: str) -> bool:
        """Whether the controller reports that it accepts requests."""
        try:
            async with session.get(f"http://{address}/healthz") as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError):
            return False

    def stop(self) -> None:
        """Stops all processes; hollow processes get time to write their results."""
        for process in self.hollow:
            process.send_signal(signal.SIGTERM)
        end = time.monotonic() + STOP_TIMEOUT_S
        for process in self.hollow:
            try:
                process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                pass
        for usage in self.usages:
            if usage.process.poll() is None:
                usage.process.kill()
            usage.process.wait()

    async def play(self) -> dict:
        """Runs the whole experiment; returns the results."""
        experiment = self.experiment
        try:
            await self.start()
            self.started_at = time.monotonic()
            self.users = Users(
                self.plan, list(self.addresses.values()), experiment.jobs_a_minute, experiment.cancelled_share
            )
            tasks = [
                asyncio.create_task(self.users.run(experiment.jobs_at_start)),
                asyncio.create_task(self.sample()),
                *(asyncio.create_task(self.inject(fault)) for fault in experiment.faults),
            ]
            try:
                await asyncio.wait(tasks, timeout=experiment.seconds, return_when=asyncio.FIRST_EXCEPTION)
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
        """Sends a control request to the simulated platform."""
        url = f"http://127.0.0.1:{self.ports['control']}{path}"
        try:
            async with aiohttp.ClientSession() as session, session.post(url, json=body or {}) as response:
                return await response.json()
        except (aiohttp.ClientError, OSError) as error:
            raise RunError(f"the simulated platform does not respond: {error}") from None

    async def sample(self) -> None:
        """Samples all processes each second and prints a line of progress each few seconds."""
        last_starts, last_progress_at, next_progress_at = 0, time.monotonic(), time.monotonic() + PROGRESS_INTERVAL_S
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            for usage in self.usages:
                usage.sample()
            for usage in self.usages:
                if usage.process.poll() is not None and usage.name not in self.ended_by_themselves:
                    self.on_ended(usage)
            now = time.monotonic()
            if now >= next_progress_at:
                for usage in self.usages:
                    usage.count_open_files()
                counts = await self.control("/counts")
                starts = sum(process["starts"] for process in counts["hollow"])
                self.progress(now, counts, (starts - last_starts) / (now - last_progress_at))
                last_starts, last_progress_at, next_progress_at = starts, now, now + PROGRESS_INTERVAL_S

    def on_ended(self, usage: ProcessUsage) -> None:
        """Handles a process that ended unexpectedly: only a controller may."""
        if usage.role != "controller":
            raise RunError(f"{usage.name} ended by itself: see {self.folder / usage.name}.log")
        if self.controllers[usage.name] is usage.process:
            self.ended_by_themselves.append(usage.name)

    def progress(self, now: float, counts: dict, rate: float) -> None:
        """Prints a line of progress."""
        workers = sum(process["workers"] for process in counts["hollow"])
        done = sum(state == "done" for state in self.users.ended.values())
        print(
            f"{now - self.started_at:5.0f} s: {workers} workers, {len(self.users.accepted)} jobs accepted, {done} done,"
            f" {rate:.0f} starts/s",
            flush=True,
        )

    async def inject(self, fault: Fault) -> None:
        """Injects the fault at its time and removes it at its end."""
        await asyncio.sleep(fault.at_s)
        print(f"{fault.at_s:5.0f} s: {fault.kind} {fault.target} for {fault.for_s:g} s", flush=True)
        if fault.kind == "kill controller":
            killed, self.controllers[fault.target] = self.controllers[fault.target], None
            killed.kill()
            await asyncio.sleep(max(0.0, fault.for_s - STARTUP_S))
            self.start_controller(fault.target)
            return
        cut = [label for label in self.labels if self.zone_of(label) == fault.target]
        changes = {"cut zone": {"cut_zones": {fault.target}, "cut_controllers": set(cut)}}
        change = changes.get(fault.kind, {"state_down": {"down"}})
        for name, affected in change.items():
            self.active_faults[name] |= affected
        await self.publish_faults()
        await asyncio.sleep(fault.for_s)
        for name, affected in change.items():
            self.active_faults[name] -= affected
        await self.publish_faults()

    async def publish_faults(self) -> None:
        """Sends the active faults to the simulated platform."""
        await self.control(
            "/fault",
            {
                "cut_zones": sorted(self.active_faults["cut_zones"]),
                "cut_controllers": sorted(self.active_faults["cut_controllers"]),
                "state_down": bool(self.active_faults["state_down"]),
            },
        )

    def results(self, counts: dict) -> dict:
        """All measurements and invariant violations."""
        paths = [self.folder / f"hollow-{number}.json" for number in range(self.experiment.hollow_processes)]
        hollow = [json.loads(path.read_text()) for path in paths]
        results = Results(self.experiment, self.plan, self.started_at, self.users, hollow, self.usages)
        return results.summary(counts) | {"ended_by_themselves": self.ended_by_themselves}
