"""Three jobs are submitted with a mistake and cancelled: does a sound job begin on the machines that are idle then?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from standins import Platform, now, run_case

BOUND_S = 90.0  # "no job is left waiting for 90 s while a machine that fits has room"
MISTAKEN = ("wk-000101", "wk-000102", "wk-000103")


async def withdraw(platform, name):
    """Cancel a job, with repeats, until that is confirmed."""
    while True:
        answer = await platform.ask("POST", f"/v1/jobs/{name}/withdraw", b"", 5.0)
        platform.note(f"user withdraws {name} answer={answer}")
        if answer is not None and answer[0] == 200:
            return
        await asyncio.sleep(1.0)


async def case(folder, trouble):
    """Play the case."""
    machines = [("standard-32", zone, False) for zone in ("nottingham", "coventry", "derby")]
    platform = Platform(folder, machines=machines)
    platform.capacity = 3  # the cloud has no more machines than are up
    try:
        await platform.start()
        if not await platform.wait_healthy():
            return 2
        await asyncio.sleep(3.0)
        for name in MISTAKEN:
            body = platform.job(name, 1.0, parts=30, owner="parcel-fleet", vcpus=2.0, expected_s=1.0)
            if trouble:
                platform.jobs.mistaken.add(name)
            if not await platform.submit(body):
                return 2
        await asyncio.sleep(10.0)
        for name in MISTAKEN:
            await withdraw(platform, name)
        await asyncio.sleep(1.0)
        sound = platform.job("wk-000001", 2.0, owner="highways-crews", workload="closure-reroute", urgency="high")
        if not await platform.submit(sound):
            return 2
        accepted_at = now()
        while not platform.where.get("wk-000001/0") and "wk-000001/0" not in platform.jobs_done:
            waited = now() - accepted_at
            if waited > BOUND_S:
                idle = [name for name in platform.workers if not any(name in each for each in platform.where.values())]
                platform.note(f"the sound job has waited {waited:.0f} s; idle machines {idle}; {platform.counts}")
                return 1 if idle else 2
            if int(waited * 10) % 20 == 0:
                await platform.status("wk-000001")
            await asyncio.sleep(0.1)
        platform.note(f"the sound job began after {now() - accepted_at:.1f} s")
        return 0
    finally:
        await platform.stop()


run_case(case)
