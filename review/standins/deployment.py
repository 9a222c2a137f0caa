"""Starts a small deployment as separate processes on loopback addresses, and ends it.

The nodes are the program of the deploy file, started with its command. The store and the runners are the stand-ins beside this file.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from http1 import call

STANDINS = pathlib.Path(__file__).resolve().parent
REPOSITORY = STANDINS.parent.parent
NODE = ["target/release/lycheeyard-node", "--metrics-port", "7000", "--peer-port", "7015"]
SERVICE = "desk"
HOST = "jobs.example"
URGENT = "/urgent/"
ORDINARY = "/ordinary/"
TENANTS = ("tenant-a", "tenant-b")
GUARANTEED_GPU = 16
ZONES = {"zone-a": "region-a", "zone-b": "region-a", "zone-c": "region-a"}
# The bounds of `sites/klci-yard.toml`, as the settings of a process hold them.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6,
    "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevocation": True,
    "revokeMs": 5000, "recoveryS": 12, "holdMaxMs": 10000, "stopTimeoutMs": 200, "gangTimeoutMs": 3000, "cancel_ms": 3000,
    "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "farFactor": 3, "checkpointS": 1, "restoreMs": 100,
    "noticeMs": 4500, "moveS": 1.5, "maintenanceS": 2, "fencingRequired": True, "leaseMs": 3000, "thawSlackMs": 300,
    "paceMs": 100, "harmMs": 4000, "reclaimMs": 2700,
}
HEARTBEAT_MS = 1500
CAPACITY = {"cpu": 64000, "memMb": 262144, "gpu": 8}


class CannotRun(Exception):
    """The case could not be run, which says nothing about the rule."""


def queue(name, prefix, priority, target_ms, stretch):
    """A route of the desired state, which is a queue."""
    return {
        "name": name, "host": HOST, "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": target_ms,
        "priority": priority, "service": SERVICE, "maxAttempts": 4, "stretch": stretch, "public": False,
    }


def free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Deployment:
    def __init__(self, case, record):
        self.case = case
        self.record_path = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="lycheeyard-review-"))
        self.processes = {}
        self.nodes = {}
        self.runner_settings = {}
        # Each process has a loopback address of its own, as the ports of the deploy file are the same for all.
        self.network = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}"
        self.last_ip = 1
        self.store = None
        # The address of a stand-in for the list of machines, if there is one.
        self.cloud = ""
        self.begun_at = time.time()

    def record(self, text):
        line = f"{time.time():.3f} test {text}"
        with open(self.record_path, "a", encoding="utf-8") as file:
            file.write(line + "\n")
        print(f"{time.time() - self.begun_at:7.2f} s  {text}", flush=True)

    def address(self):
        self.last_ip += 1
        ip = f"{self.network}.{self.last_ip}"
        return f"{ip}:{free_port(ip)}"

    def spawn(self, name, command, env=None):
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            command, cwd=REPOSITORY, stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=env
        )
        log.close()

    # --- processes

    async def start_store(self):
        self.store = self.address()
        self.spawn("store", [sys.executable, str(STANDINS / "store.py"), self.store, str(self.record_path)])
        await self.until(lambda: self.store_answers(), 5, "the stand-in of the store does not answer")

    async def store_answers(self):
        return await call(self.store, "GET", "/kv-range?pathPrefix=op/", timeout=0.5) is not None

    async def operate(self, key, value):
        await call(self.store, "POST", "/standin/operate", {"key": key, "value": value})

    async def lose_answers(self, which):
        """From now on, the store loses answers of the system's writes, and carries these out later."""
        await call(self.store, "POST", "/standin/lose-answers", which)

    async def configure(self):
        """Writes the desired state: an urgent and an ordinary queue, and two tenants with guarantees."""
        service = {
            "name": SERVICE, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": False,
            "rejectsOverload": True, "spare": False,
        }
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        tenants = [
            {"name": name, "apiKeys": [f"key-of-{name}"], "priority": 1, "guaranteed": {"gpu": GUARANTEED_GPU}} for name in TENANTS
        ]
        routes = [queue("r-urgent", URGENT, 0, 250, 1.5), queue("r-ordinary", ORDINARY, 1, 1000, 3.0)]
        config = {"version": 7, "routes": routes, "services": [service], "limits": limits, "tenants": tenants}
        await self.operate("op/config", config)

    def start_runner(self, name, **changes):
        """Starts a runner, or starts it again under the id and at the address that it had."""
        if name not in self.runner_settings:
            zone = list(ZONES)[len(self.runner_settings) % len(ZONES)]
            self.runner_settings[name] = {
                "id": name, "address": self.address(), "store": self.store, "record": str(self.record_path), "service": SERVICE,
                "zone": zone, "slots": 64, "capacity": CAPACITY, "labels": ["a", "r1-1"], "heartbeat_ms": HEARTBEAT_MS,
                "hold_max_ms": BOUNDS["holdMaxMs"], "drain_ms": BOUNDS["drainMs"], **changes,
            }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.runner_settings[name]))
        program = self.runner_settings[name].get("program", "runner.py")
        self.spawn(name, [sys.executable, str(STANDINS / program), str(path)])

    def start_node(self, name):
        if name not in self.nodes:
            ip = self.address().split(":")[0]
            self.nodes[name] = {"ip": ip, "frontend": f"{ip}:{free_port(ip)}", "readiness": f"{ip}:{free_port(ip)}"}
        node = self.nodes[name]
        zone = list(ZONES)[list(self.nodes).index(name) % len(ZONES)]
        settings = {
            "node": name, "role": "node", "machineClass": "frontend", "serves": ["frontend"], "ip": node["ip"], "zone": zone,
            "region": ZONES[zone], "zones": ZONES, "listen": {"frontend": node["frontend"], "readiness": node["readiness"]},
            "internalPorts": [7000, 7015], "seeds": [], "bootstrap": True, "countsAsLoss": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "fileDescriptors": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataDirectory": None, "discovery": "platform", "entry": "virtual_ip", "heartbeatMs": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "tenants", "platform", "advice", "upkeep", "sharing"],
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS, "orders": "call", "advice": "",
            "platform": {
                "address": self.store, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                "valueBytes": 1048576, "ttlMinMs": 1000,
            },
            "cloud": {"address": self.cloud, "ratePerS": 60.0, "duties": [], "dutyPerS": 60.0},
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.spawn(name, NODE, {**env, "LYCHEEYARD_SETTINGS": str(path)})

    async def start(self, runners, nodes=3, **changes):
        """Starts the store, the desired state, runners and nodes, and waits until all nodes are ready."""
        if not (REPOSITORY / NODE[0]).exists():
            raise CannotRun(f"{NODE[0]} is missing; build it with the command of the deploy file")
        await self.start_store()
        await self.configure()
        for number in range(runners):
            self.start_runner(f"i-{number + 1}", **changes)
        for number in range(nodes):
            self.start_node(f"frontend-{number + 1}")
        await self.until(self.are_ready, 15, "the nodes do not become ready")
        # The holder of the scheduling lease reads the list of runners.
        await asyncio.sleep(3)

    async def are_ready(self):
        answers = [await call(node["readiness"], "GET", "/readiness", timeout=0.5) for node in self.nodes.values()]
        return all(answer is not None and answer[0] == 200 for answer in answers)

    async def until(self, condition, seconds, failure):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(failure)

    def signal(self, name, number):
        self.record(f"signal {number.name} to {name}")
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        logs = pathlib.Path(os.environ["KEEP_LOGS"]) if "KEEP_LOGS" in os.environ else None
        if logs:
            shutil.copytree(self.folder, logs, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    # --- a client

    async def call(self, method, path, body=None, tenant="tenant-a", timeout=3.0):
        """Makes one call of a consumer, at a node chosen at random, and records it."""
        name = random.choice(list(self.nodes))
        headers = {"Authorization": f"Bearer key-of-{tenant}", "X-Deadline": str(int(timeout * 1000))}
        address = self.nodes[name]["frontend"]
        answer = await call(address, method, path, body, headers, timeout, host=HOST)
        self.record(f"{method} {path} of {tenant} at {name}: {answer if answer else 'no answer'}")
        return answer

    async def submit(self, path, step, spec, tenant="tenant-a", **schedule):
        """Hands a job of one step in, as a consumer with retries does. Returns when it was accepted."""
        body = {"spec": json.dumps(spec), "steps": [step], **schedule}
        for _ in range(5):
            answer = await self.call("POST", path, body, tenant)
            if answer and 200 <= answer[0] < 300:
                return time.time()
            await asyncio.sleep(0.3)
        raise CannotRun(f"job {path} was not accepted")

    async def state(self, path, tenant="tenant-a"):
        answer = await self.call("GET", path, tenant=tenant)
        return answer[1].get("state") if answer and answer[0] == 200 else None

    # --- what runners recorded

    def events(self):
        """The records of the runners: time, runner, and the words of what happened."""
        events = []
        with open(self.record_path, encoding="utf-8") as file:
            for line in file:
                words = line.split()
                if len(words) > 3 and words[1] == "runner":
                    events.append((float(words[0]), words[2], words[3:]))
        return events

    def starts(self, task):
        """When and on which runners a work unit was started."""
        return [(at, runner) for at, runner, words in self.events() if words[:2] == ["start", task]]

    def running(self):
        """The work units that run now, with the time of the start of each."""
        running = {}
        for at, runner, words in self.events():
            if words[0] == "start":
                running[(runner, words[1])] = at
            elif words[0] == "end":
                running.pop((runner, words[1]), None)
            elif words[0] in ("leaves;", "begins,", "crashes;"):
                running = {key: at for key, at in running.items() if key[0] != runner}
        return {task: at for (_, task), at in running.items()}

    async def started(self, task, starts=1, seconds=20):
        """Waits until a work unit has been started so many times. Returns the runner of the last start."""

        async def is_started():
            return len(self.starts(task)) >= starts

        await self.until(is_started, seconds, f"{task} was not started {starts} times")
        return self.starts(task)[-1][1]


def run_case(case, folder):
    """Runs a case and exits: with 1 if it returns a broken rule, 0 if it returns None, 2 if it could not run."""
    record = pathlib.Path(folder) / "record.txt"
    record.write_text("")
    deployment = Deployment(case, record)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment.record(f"the case is played {'with' if has_trouble else 'without'} the disruption")
    try:
        broken = asyncio.run(asyncio.wait_for(case(deployment, has_trouble), 110))
    except (CannotRun, asyncio.TimeoutError) as err:
        deployment.record(f"could not run: {err!r}")
        deployment.close()
        sys.exit(2)
    except BaseException:
        deployment.close()
        raise
    deployment.record(f"broken: {broken}" if broken else "the rule held")
    deployment.close()
    sys.exit(1 if broken else 0)
