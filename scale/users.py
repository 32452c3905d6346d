"""Simulated users: submit jobs, poll their status and cancel some, over real connections."""

from __future__ import annotations

import asyncio
import random
import time

import aiohttp
from hdrh.histogram import HdrHistogram

from .jobs import JobPlan

SUBMIT_TIMEOUT_S, STATUS_TIMEOUT_S = 5.0, 2.0
RETRY_DELAY_S = 1.0
POLL_INTERVAL_S = 5.0
HISTOGRAM = (1, 120_000_000, 3)  # microseconds


class Users:
    """All users of an experiment, one per job."""

    def __init__(self, plan: JobPlan, addresses: list[str], jobs_a_minute: float, cancelled_share: float) -> None:
        """``addresses``: of the controllers; any controller accepts any request."""
        self.plan, self.addresses = plan, addresses
        self.jobs_a_minute, self.cancelled_share = jobs_a_minute, cancelled_share
        self.rng = random.Random(plan.seed)
        self.job_count = 0
        self.submitted: dict[str, float] = {}  # job -> time of the first attempt
        self.accepted: dict[str, float] = {}
        self.cancelled: dict[str, float] = {}  # job -> when the cancellation was confirmed
        self.ended: dict[str, str] = {}
        self.lost_jobs: list[str] = []
        self.acceptance_times = HdrHistogram(*HISTOGRAM)  # from the first attempt to the acceptance
        self.refusals: dict[str, int] = {}
        self.tasks: set[asyncio.Task] = set()
        self.session: aiohttp.ClientSession | None = None

    async def run(self, at_start: int) -> None:
        """Submits ``at_start`` jobs at once, then further jobs at random intervals until cancelled."""
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        try:
            for _ in range(at_start):
                self.start_user()
            while True:
                if not self.jobs_a_minute:
                    await asyncio.Event().wait()
                await asyncio.sleep(self.rng.expovariate(self.jobs_a_minute / 60))
                self.start_user()
        finally:
            for task in self.tasks:
                task.cancel()
            await self.session.close()

    def start_user(self) -> None:
        """Starts a user with a new job."""
        self.job_count += 1
        task = asyncio.create_task(self.run_user(self.plan.submission(self.job_count)))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send_request(
        self, method: str, path: str, timeout_s: float, body: dict | None = None
    ) -> tuple[int, dict]:
        """Sends a request to a random controller; returns status and body, or (0, {}) without a response."""
        url = f"http://{self.rng.choice(self.addresses)}{path}"
        try:
            timeout = aiohttp.ClientTimeout(total=timeout_s)
            async with self.session.request(method, url, json=body, timeout=timeout) as response:
                return response.status, await response.json(content_type=None) or {}
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return 0, {}

    async def run_user(self, job: dict) -> None:
        """Submits a job until it is accepted, cancels it in some cases, and polls it until it ends."""
        name = job["id"]
        first_attempt_at = self.submitted[name] = time.monotonic()
        while True:
            status, _ = await self.send_request("POST", "/v1/jobs", SUBMIT_TIMEOUT_S, job)
            if status in (200, 201):
                break
            self.refusals[str(status)] = self.refusals.get(str(status), 0) + 1
            await asyncio.sleep(RETRY_DELAY_S)
        self.accepted[name] = time.monotonic()
        self.acceptance_times.record_value(int((self.accepted[name] - first_attempt_at) * 1e6))
        if self.rng.random() < self.cancelled_share:
            await asyncio.sleep(self.rng.uniform(0.0, 2 * self.plan.task_s))
            await self.withdraw(name)
        while name not in self.ended:
            await asyncio.sleep(POLL_INTERVAL_S)
            await self.poll(name)

    async def withdraw(self, name: str) -> None:
        """Cancels the job; repeats the request until it is confirmed."""
        while True:
            status, response = await self.send_request("POST", f"/v1/jobs/{name}/withdraw", SUBMIT_TIMEOUT_S)
            if status == 200:
                self.ended[name] = response["status"]
                if response["status"] == "aborted":
                    self.cancelled[name] = time.monotonic()
                return
            await asyncio.sleep(RETRY_DELAY_S)

    async def poll(self, name: str) -> None:
        """Requests the job's status once."""
        status, response = await self.send_request("GET", f"/v1/jobs/{name}", STATUS_TIMEOUT_S)
        if status == 404:
            self.lost_jobs.append(f"forgotten: {name}")
        elif status == 200 and response["status"] in ("done", "aborted"):
            self.ended[name] = response["status"]
