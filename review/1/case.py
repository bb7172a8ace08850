"""One job that can never be done comes among others; each executor also runs a subtask that lasts."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from platform_bed import now_ms, run_case  # noqa: E402

NODES = [1, 2, 3]
EXECUTORS = 6
LASTING = "5c0e7a21d94b1000"
HOPELESS = "5c0e7a21d94b2000"
FINISH_S = 14


async def play(bed, trouble):
    def duration(task, run):
        if task.startswith(LASTING):
            return float("inf")
        return 200.0 if task.startswith(HOPELESS) else 500.0

    def end_of(task, run):
        return "failed" if task.startswith(HOPELESS) else "done"

    for number in range(EXECUTORS):
        await bed.add_executor("i-7f3a91c%d" % number, "practice", labels=("a", "r1-%d" % (number // 4)),
                               duration_of=duration, end_of=end_of)
    await bed.configure(7, [{"name": "r-takes", "prefix": "/takes/", "service": "practice"}],
                        [("practice", False)])
    for node in NODES:
        await bed.start_node(node)
    await bed.wait_ready(NODES)
    await asyncio.sleep(4)

    async def submit(job, step):
        if not await bed.submit(NODES, "/takes/" + job, {"spec": "analyse a recording", "steps": [step]}):
            raise RuntimeError("a job wasn't accepted")

    await submit(LASTING, {"count": EXECUTORS, "cpu": 2000, "mem_mb": 1024, "est_ms": 1000,
                           "daemon": True, "max_per_server": 1, "may_miss": 1})
    quick = {"count": 2, "cpu": 2000, "mem_mb": 1024, "est_ms": 500}
    before = ["5c0e7a21d94b3%03x" % number for number in range(12)]
    after = ["5c0e7a21d94b4%03x" % number for number in range(12)]
    for job in before:
        await submit(job, quick)
        await asyncio.sleep(0.2)
    await asyncio.sleep(2)
    if trouble:
        await submit(HOPELESS, {"count": 24, "cpu": 6900, "mem_mb": 8400, "est_ms": 200})
    await asyncio.sleep(4)
    for job in after:
        await submit(job, quick)
        await asyncio.sleep(0.2)
    await asyncio.sleep(FINISH_S)
    # From finish_s after the end of the traffic on.
    from_ms = now_ms()
    await asyncio.sleep(6)
    for job in [LASTING] + before[:1] + after[:3] + ([HOPELESS] if trouble else []):
        await bed.request(1, "GET", "/takes/" + job)
    in_use = sum(2000 * len(executor.running) for executor in bed.executors)
    capacity = sum(executor.capacity["cpu"] for executor in bed.executors)
    bed.record("%d of %d thousandths of a core are in use" % (in_use, capacity))
    broken = []
    for job in after:
        starts = [start[0] for start in bed.starts if start[2].startswith(job)]
        if starts and min(starts) < from_ms + 3000:
            continue
        broken.append("LOST: %s has nothing running from %.1f to %.1f, and %d of %d thousandths of a core "
                      "are in use" % (job, from_ms, now_ms(), in_use, capacity))
    return broken


run_case(HERE, play, limit_s=80)
