"""A tenant hands in one large scheduled job; the jobs of all tenants that are accepted after it are to run."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import BOUNDS, ORDINARY, URGENT, run_case  # noqa: E402

RUNNERS = 8
# The large job: one work unit of 1 s each second, and ten hours of it are due when it is handed in.
LARGE_JOB = "b0b0b0b000000001"
REPETITIONS = 36000
INTERVAL_MS = 1000
# The other jobs, of one work unit of 1 s each.
JOBS = 20
GAP_S = 0.5
STEP = {"count": 1, "cpu": 1000, "memMb": 100, "estimatedMs": 1000}
SPEC = {"workMs": 1000}


async def hand_in_large_job(deployment):
    first_ms = int(time.time() * 1000) - REPETITIONS * INTERVAL_MS
    schedule = {"repetitions": REPETITIONS, "firstRunMs": first_ms, "intervalMs": INTERVAL_MS}
    await deployment.submit(ORDINARY + LARGE_JOB, STEP, SPEC, "tenant-b", **schedule)


async def case(deployment, has_trouble):
    await deployment.start(RUNNERS)
    if has_trouble:
        await hand_in_large_job(deployment)
        await asyncio.sleep(BOUNDS["contactMs"] / 1000)
    jobs = [f"a0a0a0a0000000{number:02x}" for number in range(JOBS)]
    for number, job in enumerate(jobs):
        prefix = URGENT if number % 2 else ORDINARY
        await deployment.submit(prefix + job, STEP, SPEC, "tenant-a")
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(BOUNDS["finish_s"])
    large = sum(words[0] == "start" and words[1].startswith(LARGE_JOB) for _, _, words in deployment.events())
    deployment.record(f"work units of the large job that have begun: {large}; {len(deployment.running())} run now")
    lost = []
    for number, job in enumerate(jobs):
        state = await deployment.state((URGENT if number % 2 else ORDINARY) + job, "tenant-a")
        if not deployment.starts(f"{job}.0.0.0"):
            lost.append(f"{job} {state}")
    deployment.record(f"never begun: {lost}")
    if lost:
        return f"LOST: {len(lost)} of {JOBS} accepted jobs have not begun {BOUNDS['finish_s']} s after the end of the traffic"
    return None


run_case(case, FOLDER)
