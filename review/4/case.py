"""The only executor with a label answers starts with 503; the queue's pending count is asked for."""
import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from platform_bed import now_ms, run_case  # noqa: E402

NODES = [1, 2, 3]
JOBS = ["5c0e7a21d94b36f%d" % number for number in range(8)]
VISIBLE_MS = 3000
GREY_MS = 6500


async def play(bed, trouble):
    for number in range(7):
        await bed.add_executor("i-7f3a91c%d" % number, "practice",
                               labels=("b" if number == 0 else "a", "r1-1"))
    grey_until = [0.0]

    async def refuse_starts(executor, request):
        if request.path == "/v1/run-start" and now_ms() < grey_until[0]:
            bed.record("%s: refuses %s with 503" % (executor.name, request.json()["task"]))
            return 503, {}
        return None

    bed.executors[0].hook = refuse_starts
    await bed.configure(7, [{"name": "r-takes", "prefix": "/takes/", "service": "practice"}],
                        [("practice", False)])
    for node in NODES:
        await bed.start_node(node)
    await bed.wait_ready(NODES)
    await asyncio.sleep(4)
    if trouble:
        bed.record("%s answers run-start with 503 from now on" % bed.executors[0].name)
        grey_until[0] = now_ms() + GREY_MS
    accepted = {}
    for job in JOBS:
        body = {"spec": "analyse a recording", "steps": [
            {"count": 1, "cpu": 500, "mem_mb": 256, "est_ms": 1000, "required_label": "b"}]}
        if not await bed.submit(NODES, "/takes/" + job, body):
            raise RuntimeError("a job wasn't accepted")
        accepted[job] = now_ms()
    broken = []
    # From visible_ms + 2 s after the last acceptance on.
    await asyncio.sleep((max(accepted.values()) + VISIBLE_MS + 2000 - now_ms() + 50) / 1000)
    for _ in range(4):
        for node in NODES:
            asked = now_ms()
            begun = {start[2].split(".")[0] for start in bed.starts}
            waiting = [job for job in JOBS
                       if job not in begun and accepted[job] + VISIBLE_MS + 2000 < asked]
            status, text = await bed.request(node, "GET", "/takes/")
            if status != 200:
                continue
            pending = json.loads(text)["pending"]
            begun = {start[2].split(".")[0] for start in bed.starts}
            # Jobs that began while the count was asked for don't count.
            waiting = [job for job in waiting if job not in begun]
            if pending < len(waiting) / 2:
                broken.append("MIXED: node %d gives %d as pending, %d jobs accepted over %d ms before "
                              "haven't begun" % (node, pending, len(waiting), VISIBLE_MS + 2000))
        await asyncio.sleep(0.25)
    await asyncio.sleep(4)
    for job in JOBS[:2]:
        await bed.request(1, "GET", "/takes/" + job)
    return broken


run_case(HERE, play, limit_s=60)
