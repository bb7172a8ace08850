"""A version of the configuration sends a queue to another service while a job of the queue runs."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from bed import BOUNDS, main, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOB, PREFIX = "5c0e7a21d94b36f8", "/intake/"
STEPS = [{"count": 2, "cpu": 2000, "mem_mb": 1024, "est_ms": 15000, "work_ms": 15000}]


async def case(bed):
    live = {}  # Where a task runs at present, by task.

    def on_start(executor, key, run, values):
        others = [each for each in bed.executors
                  if each is not executor and each.up and key in each.running]
        if others:
            bed.break_rule("TWICE: %s runs on %s and on %s at the same time" % (
                key, others[0].name, executor.name))
        live[key] = executor

    bed.on_start = on_start
    await bed.start([("depot", "r1"), ("depot", "r2"), ("credits", "r1"), ("credits", "r2")])
    bed.configure([("r-intake", PREFIX, "depot", 4), ("r-refund", "/refund/", "credits", 4)])
    if not await bed.ready_nodes():
        return False
    if not await bed.submit(0, PREFIX, JOB, STEPS):
        return False
    accepted = now()
    while len(live) < 2 and now() < accepted + 5:
        await asyncio.sleep(0.05)
    if len(live) < 2:
        return False
    if TROUBLE:
        bed.configure([("r-intake", PREFIX, "credits", 4), ("r-refund", "/refund/", "credits", 4)])
    await asyncio.sleep(max(BOUNDS["config_ms"], BOUNDS["visible_ms"]) / 1000 + 1)
    # A client asks for the job's state from time to time.
    for node in range(3):
        answer = await bed.request(node, "GET", PREFIX + JOB)
        if answer is not None and answer[0] == 410:
            bed.break_rule("LOST: a GET for an accepted job is answered 410 %.1f s after the "
                           "acknowledgement" % (now() - accepted))
    # A request with the same ID arrives again seconds after the 2xx response.
    await bed.submit(1, PREFIX, JOB, STEPS)
    await asyncio.sleep(3)
    return True


main(case, os.path.join(HERE, "record.txt"), nodes=3, services=["depot", "credits"], subnet=(86, 6))
