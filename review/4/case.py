"""Consumers give up jobs whose submission got no answer, and cancel them, while the store loses answers of writes."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import BOUNDS, ORDINARY, run_case  # noqa: E402

CONSUMERS = 110
# The disruption: `platform_lost` with x = 0.3 for 4.5 s; the writes are carried out 1 to 6 s later.
LOST = {"share": 0.3, "for_s": 4.5, "min_s": 1.0, "max_s": 6.0}
STEP = {"count": 1, "cpu": 100, "memMb": 100, "estimatedMs": 2500, "longRunning": True}


async def hand_in_and_cancel(deployment, number):
    """Hands a job in once, and cancels it, accepted or not, until the cancelling is acknowledged."""
    await asyncio.sleep(number * LOST["for_s"] / CONSUMERS)
    path = f"{ORDINARY}c0c0c0c0000000{number:02x}"
    await deployment.call("POST", path, {"spec": '{"startupMs": 300}', "steps": [STEP]})
    for _ in range(20):
        answer = await deployment.call("DELETE", path)
        if answer and (answer[0] == 410 or 200 <= answer[0] < 300):
            return
        await asyncio.sleep(0.3)
    raise RuntimeError(f"the cancelling of {path} was not acknowledged")


async def case(deployment, has_trouble):
    await deployment.start(8)
    if has_trouble:
        await deployment.lose_answers(LOST)
    await asyncio.gather(*[hand_in_and_cancel(deployment, number) for number in range(CONSUMERS)])
    # The last late write is carried out by then. The stretch without a disturbance follows.
    await asyncio.sleep(LOST["max_s"])
    calm_s = (2 * BOUNDS["contactMs"] + BOUNDS["cancel_ms"] + BOUNDS["stopTimeoutMs"]) / 1000
    await asyncio.sleep(calm_s)
    running = deployment.running()
    for task in sorted(running):
        deployment.record(f"runs, though its job's cancelling was acknowledged: {task}")
        await deployment.state(ORDINARY + task.split(".")[0])
    if running:
        return f"UNASKED: {len(running)} work units of cancelled jobs run after a calm stretch of {calm_s} s"
    return None


run_case(case, FOLDER)
