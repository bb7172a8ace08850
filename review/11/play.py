"""Short jobs come all the time; one large lasting job comes beside them."""
import asyncio
import json
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))
from deployment import BOUNDS, run  # noqa: E402

HOST, PREFIX = "work.example", "/queue/"
CONFIG = {"version": 3, "routes": [
    {"name": "r-work", "host": HOST, "prefix": PREFIX, "kind": "non_idempotent", "timeout_ms": 3000,
     "slo_ms": 2500, "prio": 0, "service": "work", "attempts": 3, "stretch": 2.2}],
    "services": [{"name": "work", "health_path": "/health", "max_conns": 64, "protocol": "h1",
                  "tls": False, "admission_check": False, "spare": False}],
    "limits": {"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000,
               "idle_ms": 15000}}
EXECUTORS, EXECUTOR_CPU, SMALL_CPU = 8, 32000, 500
JOBS_PER_S, BEFORE_S, AFTER_S = 5, 5, 15
SUBTASKS, MAX_PER_SERVER, LARGE_CPU = 10000, 600, 10
LARGE_JOB = "91c2f07a21d94b36"


class Clients:
    def __init__(self, deployment):
        self.deployment = deployment
        self.accepted = set()

    async def hand_in(self, body):
        job = f"{random.getrandbits(64):016x}"
        status, _ = await self.deployment.client("POST", HOST, PREFIX + job, body)
        if status == 200:
            self.accepted.add(job)

    async def send(self, seconds):
        body = {"spec": json.dumps({"steps": [{"ms": 100}]}),
                "steps": [{"count": 1, "cpu": SMALL_CPU, "mem_mb": 10, "est_ms": 100}]}
        for _ in range(int(seconds * JOBS_PER_S)):
            asyncio.ensure_future(self.hand_in(body))
            await asyncio.sleep(1 / JOBS_PER_S)


def cpu_in_use(deployment):
    return sum(SMALL_CPU if run.step["ms"] == 100 else LARGE_CPU
               for executor in deployment.fleet.executors.values()
               for run in executor.running.values())


async def play(deployment, trouble):
    for number in range(EXECUTORS):
        await deployment.add_machine(f"m-{number}", "work", {"cpu": EXECUTOR_CPU, "mem_mb": 65536,
                                                             "gpu": 0}, f"r1-{number // 4}")
    await deployment.begin(3, CONFIG)
    if not await deployment.ready():
        return None
    clients = Clients(deployment)
    await clients.send(BEFORE_S)
    if trouble:
        body = {"spec": json.dumps({"steps": [{"ms": 1000, "daemon": True}]}),
                "steps": [{"count": SUBTASKS, "cpu": LARGE_CPU, "mem_mb": 1, "est_ms": 1000,
                           "daemon": True, "max_per_server": MAX_PER_SERVER}]}
        status, _ = await deployment.client("POST", HOST, PREFIX + LARGE_JOB, body)
        deployment.record("large job", status=status)
        if status != 200:
            return None
        clients.accepted.add(LARGE_JOB)
    await clients.send(AFTER_S)
    deployment.record("end of traffic")
    await asyncio.sleep(BOUNDS["finish_s"])
    # Each accepted job is asked for.
    unanswered = []
    for job in sorted(clients.accepted):
        status, answer = await deployment.client("GET", HOST, PREFIX + job, tries=2)
        if status != 200:
            unanswered.append(job)
        if len(unanswered) == 3:
            break
    # For 3 s: jobs without a run, and the capacity in use. A short job that has started once is
    # left out.
    idle = set(clients.accepted)
    idle -= {event["task"].split(".")[0] for event in deployment.events
             if event["event"] == "start"} - {LARGE_JOB}
    most_used = 0
    for _ in range(30):
        await asyncio.sleep(0.1)
        most_used = max(most_used, cpu_in_use(deployment))
        for executor in deployment.fleet.executors.values():
            idle -= {task.split(".")[0] for task in executor.running}
    without_run = sorted(idle) if most_used * 2 < EXECUTORS * EXECUTOR_CPU else []
    calls = [event for event in deployment.events if event["event"] == "call"]
    answered = sum(event["status"] is not None for event in calls)
    deployment.record("summary", accepted=len(clients.accepted), unanswered=unanswered,
                      without_run=without_run, most_cpu_in_use=most_used,
                      calls=len(calls), calls_answered=answered)
    print(f"{len(clients.accepted)} jobs accepted; {BOUNDS['finish_s']} s after the end of the "
          f"traffic: no answer for {unanswered}; no run for {without_run}; at most {most_used} of "
          f"{EXECUTORS * EXECUTOR_CPU} millicores in use; {answered} of {len(calls)} calls were "
          "answered")
    return bool(unanswered or without_run)


run(play, os.path.join(HERE, "record.txt"))
