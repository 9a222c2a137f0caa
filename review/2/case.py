"""A tenant asks for its guaranteed accelerators while lasting jobs of another tenant have borrowed all of them."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import BOUNDS, ORDINARY, URGENT, run_case  # noqa: E402

RUNNERS = 8
GPUS_A_RUNNER = 8
# The borrowers: jobs of 4 work units with 1 GPU each, like those of `defect-count`, but for that they last.
BORROWERS = RUNNERS * GPUS_A_RUNNER // 4
URGENT_JOB = "5c0e7a21d94b36f8"
URGENT_TASKS = 4


async def case(deployment, has_trouble):
    await deployment.start(RUNNERS)
    if has_trouble:
        step = {"count": 4, "cpu": 1000, "memMb": 2000, "gpu": 1, "estimatedMs": 11000, "longRunning": True}
        jobs = [f"{ORDINARY}b0b0b0b0000000{number:02x}" for number in range(BORROWERS)]
        await asyncio.gather(*[deployment.submit(job, step, {"startupMs": 300}, "tenant-b") for job in jobs])
        # The traffic is steady for longer than `contactMs`.
        await asyncio.sleep(6)
    deployment.record(f"{len(deployment.running())} work units run before the urgent job")
    step = {"count": URGENT_TASKS, "cpu": 1000, "memMb": 2000, "gpu": 2, "estimatedMs": 2500}
    accepted_at = await deployment.submit(URGENT + URGENT_JOB, step, {"workMs": 2500}, "tenant-a")
    await asyncio.sleep(20)
    tasks = [f"{URGENT_JOB}.0.0.{index}" for index in range(URGENT_TASKS)]
    begun = [min(at for at, _ in deployment.starts(task)) - accepted_at for task in tasks if deployment.starts(task)]
    deployment.record(f"begun: {len(begun)} of {URGENT_TASKS}, after {[round(after, 2) for after in begun]} s")
    await deployment.state(URGENT + URGENT_JOB)
    limit_s = BOUNDS["reclaimMs"] / 1000
    if len(begun) < URGENT_TASKS or max(begun) > limit_s:
        return f"RECLAIM: the urgent job within its guarantee has not begun all work units {limit_s} s after its confirmation"
    return None


run_case(case, FOLDER)
