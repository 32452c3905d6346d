"""Large arrays wait at a controller that crashes: does whoever takes them over stay below its memory limit?"""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from standins import FJORDLINE, FJORDLINE_KINDS, HttpClient, Platform, now, run_case

ARRAYS = 44
PARTS = 100_000
PLAY_S = 70.0


async def submit_all(platform):
    """One client submits all arrays on one connection; true if each was accepted."""
    client = HttpClient(platform.addresses["host-0"])
    for number in range(ARRAYS):
        body = platform.job(
            f"wk-{number + 100:06d}",
            9.0,
            parts=PARTS,
            vcpus=4.0,
            mem_gb=11.0,
            owner="booking-desk",
            workload="notice-send",
            urgency="best_effort",
            expected_s=9.0,
        )
        for _ in range(30):
            answer = await client.request("POST", "/v1/jobs", body, 5.0)
            platform.note(f"user submits wk-{number + 100:06d} parts={PARTS} answer={answer}")
            if answer is not None and answer[0] in (200, 201):
                break
            await asyncio.sleep(1.0)
        else:
            return False
    platform.note(f"{ARRAYS} arrays of {PARTS} tasks accepted")
    small = platform.job("wk-000001", 9.0, parts=4, owner="clinic-liaison", workload="urgent-rebook", urgency="high")
    answer = await client.request("POST", "/v1/jobs", small, 5.0)
    client.close()
    platform.note(f"user submits wk-000001 answer={answer}")
    return answer is not None and json.loads(answer[1])["status"] == "pending"


async def case(folder, trouble):
    """Play the case."""
    machines = [(kind, "trondheim-dc", False) for kind in ("liten", "liten", "liten", "middels", "stor")]
    platform = Platform(folder, params=FJORDLINE, kinds=FJORDLINE_KINDS, machines=machines)
    platform.restart_delay_s, platform.capacity = 3.0, 8
    most, ended = {}, []
    try:
        await platform.start()
        if not await platform.wait_healthy():
            return 2
        await asyncio.sleep(3.0)
        if not await submit_all(platform):
            return 2
        asyncio.create_task(platform.watch_memory(most, ended))
        await asyncio.sleep(4.0)
        platform.note(f"memory {most}")
        if ended:
            return 2  # the controllers hold too much already
        if trouble:
            await platform.restart("host-0")
        end = now() + PLAY_S
        done = False
        while now() < end:
            await asyncio.sleep(1.0)
            answer = None if done else await platform.status("wk-000001")
            done = done or (answer is not None and answer[0] == 200 and answer[1]["status"] == "done")
        platform.note(f"ended for memory: {ended}; most memory {most}; the small job done={done}")
        return 1 if ended else 0
    finally:
        await platform.stop()


run_case(case)
