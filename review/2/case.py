"""The holder of a queue is killed while one executor has more than 500 ends that nobody took note of."""
import asyncio
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from platform_bed import run_case  # noqa: E402

SUBTASKS = 620
JOB = "5c0e7a21d94b36f8"
NODES = [1, 2, 3]


async def play(bed, trouble):
    lengths = random.Random(7)
    duration = lambda task, run: lengths.uniform(2500, 3000)
    for number in range(4):
        await bed.add_executor("i-7f3a91c%d" % number, "practice", duration_of=duration,
                               labels=("a", "r1-%d" % number))
    await bed.configure(7, [{"name": "r-takes", "prefix": "/takes/", "service": "practice"}],
                        [("practice", False)])
    for node in NODES:
        await bed.start_node(node)
    await bed.wait_ready(NODES)
    await asyncio.sleep(4)
    body = {"spec": "analyse a recording", "steps": [
        {"count": SUBTASKS, "cpu": 50, "mem_mb": 64, "est_ms": 2750}]}
    if not await bed.submit(NODES, "/takes/" + JOB, body):
        raise RuntimeError("the job wasn't accepted")
    for _ in range(400):
        if len(bed.starts) >= SUBTASKS:
            break
        await asyncio.sleep(0.01)
    bed.record("%d subtasks have started" % len(bed.starts))
    first = bed.starts[0][0]
    from platform_bed import now_ms
    await asyncio.sleep(max(0.0, (first + 2300 - now_ms()) / 1000))
    if trouble:
        holder = bed.holder_of_key("j/" + JOB)
        bed.signal_node(holder, signal.SIGKILL)
        await asyncio.sleep(1.0)
        await bed.nodes[holder].wait()
        await bed.start_node(holder, bootstrap=False)
    await asyncio.sleep(12)
    for node in NODES:
        await bed.request(node, "GET", "/takes/" + JOB)
    return bed.twice()


run_case(HERE, play, limit_s=60)
