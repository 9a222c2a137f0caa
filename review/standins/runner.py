"""A stand-in for a runner, as PROTOCOL.md describes it.

Usage: runner.py SETTINGS, the path of a JSON file that deployment.py writes.

The `spec` of a work unit is a JSON text: `workMs`, how long its work takes, and `startupMs` for one that lasts.
"""

import asyncio
import json
import signal
import sys
import time

from http1 import call, serve

CHECK_INS_OF_SILENCE = 3
MAX_ENDS = 500
MAX_WAIT_MS = 2000


class Run:
    def __init__(self, task, number, spec, now):
        self.task = task
        self.number = number
        self.spec = json.loads(spec)
        self.started = now

    def percent(self, now):
        work_ms = self.spec.get("workMs")
        startup_ms = self.spec.get("startupMs", 500)
        return min(100, int(100 * (now - self.started) / (work_ms or startup_ms)))

    def is_done(self, now):
        work_ms = self.spec.get("workMs")
        return work_ms is not None and now - self.started >= work_ms


class Runner:
    def __init__(self, settings):
        self.settings = settings
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic()
        self.token = 0
        self.lease_until = 0
        self.running = {}
        self.stopped = {}
        self.ended = []
        self.last_end = 0
        self.sequence = 0
        self.state = "ready"
        self.changed = asyncio.Condition()

    def clock(self):
        """The runner's steady clock, in milliseconds."""
        return int((time.monotonic() - self.zero) * 1000) + 1000

    def record(self, text):
        with open(self.settings["record"], "a", encoding="utf-8") as file:
            file.write(f"{time.time():.3f} runner {self.settings['id']} {text}\n")

    # --- runs

    def extend(self, deadline_ms):
        longest = self.clock() + self.settings["hold_max_ms"]
        self.lease_until = max(self.lease_until, min(deadline_ms, longest))

    def end(self, task, how):
        run = self.running.pop(task)
        self.stopped[task] = max(self.stopped.get(task, 0), run.number)
        self.last_end += 1
        self.ended.append([self.last_end, task, run.number, how, ""])
        self.record(f"end {task} run {run.number} {how}")

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            now = self.clock()
            before = self.last_end
            if self.running and now >= self.lease_until:
                for task in list(self.running):
                    self.end(task, "lapsed")
            for task in [task for task, run in self.running.items() if run.is_done(now)]:
                self.end(task, "done")
            if self.last_end != before:
                await self.notify()

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    # --- calls

    def refuse(self, reason):
        return 409, {"clockMs": self.clock(), "reason": reason}

    def is_fenced(self, message):
        token = message.get("fencingToken", 0)
        if token < self.token:
            return True
        self.token = token
        return False

    def start(self, message):
        task, number = message["task"], message["run"]
        if self.is_fenced(message):
            return self.refuse("fence")
        if message["deadlineMs"] < self.clock():
            return self.refuse("late")
        self.extend(message["deadlineMs"])
        present = self.running.get(task)
        if present and present.number == number:
            return 200, {"clockMs": self.clock()}
        if present or number <= self.stopped.get(task, 0):
            return self.refuse("old")
        if len(self.running) >= self.settings["slots"]:
            return self.refuse("room")
        self.running[task] = Run(task, number, message["spec"], self.clock())
        self.record(f"start {task} run {number}")
        return 200, {"clockMs": self.clock()}

    def stop(self, message):
        task, number = message["task"], message["run"]
        if self.is_fenced(message):
            return self.refuse("fence")
        self.stopped[task] = max(self.stopped.get(task, 0), number)
        run = self.running.get(task)
        if run and run.number <= number:
            self.end(task, "stopped")
        return 200, {"clockMs": self.clock()}

    async def hold(self, message):
        if self.is_fenced(message):
            return self.refuse("fence")
        if "deadlineMs" in message:
            self.extend(message["deadlineMs"])
        last_seen = message.get("lastSeen", 0)
        for _, task, number, how, _ in [end for end in self.ended if end[0] <= last_seen]:
            self.record(f"noted {task} run {number} {how}")
        self.ended = [end for end in self.ended if end[0] > last_seen]
        until = time.monotonic() + min(message.get("waitMs", 0), MAX_WAIT_MS) / 1000
        while not self.ended and (left := until - time.monotonic()) > 0:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        now = self.clock()
        running = [[run.task, run.number, "", run.percent(now), 0] for run in self.running.values()]
        return 200, {"clockMs": now, "born": self.born, "running": running, "ended": self.ended[:MAX_ENDS]}

    async def handle(self, method, path, headers, body):
        if method == "GET":
            return (200, None) if path == "/health" else (404, None)
        if headers.get("x-expected-instance") not in (None, self.settings["id"]):
            return 421, None
        message = json.loads(body)
        match path:
            case "/run-start":
                answer = self.start(message)
            case "/run-stop":
                answer = self.stop(message)
            case "/hold":
                return await self.hold(message)
            case "/pace":
                answer = self.refuse("fence") if self.is_fenced(message) else (200, {"clockMs": self.clock()})
            case _:
                return 404, None
        await self.notify()
        return answer

    # --- check-ins

    def entry(self):
        self.sequence += 1
        settings = self.settings
        return {
            "service": settings["service"],
            "address": settings["address"],
            "zone": settings["zone"],
            "version": "v1",
            "slots": settings["slots"],
            "state": self.state,
            "coldRemainingMs": 0,
            "capacity": settings["capacity"],
            "labels": settings["labels"],
            "clockMs": self.clock(),
            "born": self.born,
            "sequence": self.sequence,
        }

    async def check_in(self):
        silence_s = CHECK_INS_OF_SILENCE * self.settings["heartbeat_ms"] / 1000
        message = {"key": f"servers/{self.settings['id']}", "entry": self.entry(), "silence_s": silence_s}
        await call(self.settings["store"], "POST", "/standin/check-in", message)

    async def check_in_repeatedly(self):
        while True:
            await self.check_in()
            await asyncio.sleep(self.settings["heartbeat_ms"] / 1000)

    async def leave(self):
        """A planned shutdown: report it, serve for `drainMs` and a little longer, then exit."""
        self.state = "draining"
        await self.check_in()
        self.record("reports that it is draining")
        await asyncio.sleep(self.settings["drain_ms"] / 1000 + 0.3)
        await call(self.settings["store"], "POST", "/standin/check-out", {"key": f"servers/{self.settings['id']}"})
        self.record(f"leaves; ends with it: {' '.join(sorted(self.running)) or 'nothing'}")
        asyncio.get_running_loop().stop()


async def main():
    with open(sys.argv[1], encoding="utf-8") as file:
        runner = Runner(json.load(file))
    host, port = runner.settings["address"].rsplit(":", 1)
    server = await serve(host, int(port), runner.handle)
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, lambda: asyncio.ensure_future(runner.leave())
    )
    runner.record(f"begins, born {runner.born}")
    async with server:
        await asyncio.gather(runner.work(), runner.check_in_repeatedly())


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except RuntimeError:
        # The loop was stopped by a planned shutdown.
        pass
