"""The store is down for some seconds, a few times, and runs of hopeless jobs fail meanwhile."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from bed import main, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PREFIX, ATTEMPTS, DOWN_S, CYCLES = "/intake/", 2, 4.45, 2
MESSAGES, HOPELESS = 80, (15, 40, 65)  # A share of 0.0375 can never be done.
# One of these fits an executor at a time.
FAILS = [{"count": 1, "cpu": 20000, "mem_mb": 1024, "est_ms": 3000, "work_ms": 3000,
          "hopeless": True}]
WORKS = [{"count": 1, "cpu": 1000, "mem_mb": 256, "est_ms": 300, "work_ms": 300}]


async def case(bed):
    starts, fails = [], []  # [task, run, time], and [task, run, time, taken note of].

    def on_start(executor, key, run, values):
        starts.append((key, run.number, now()))

    def on_end(executor, key, run, how):
        if how == "failed":
            fails.append([key, run.number, now(), False])

    def on_ack(executor, row):
        number, key, run, how, _ = row
        if how == "failed" and executor.lapsed_at < executor.ended_at[number]:
            for fail in fails:
                if fail[:2] == [key, run]:
                    fail[3] = True
                    bed.note("executor %s: the end of %s run %d is taken note of" % (
                        executor.name, key, run))

    bed.on_start, bed.on_end, bed.on_ack = on_start, on_end, on_ack
    for number in range(8):
        await bed.start([("depot", "r%d" % (number // 2))]) if number == 0 else \
            await bed.add_executor("depot", "r%d" % (number // 2))
        await asyncio.sleep(0.19)  # Their heartbeats come at different times.
    bed.configure([("r-intake", PREFIX, "depot", ATTEMPTS)])
    if not await bed.ready_nodes():
        return False
    for cycle in range(CYCLES):
        jobs = []
        for number in range(MESSAGES):
            hopeless = number in HOPELESS
            job = "5c0e7a21d94b%d%d%02d" % (2 if hopeless else 1, cycle, number)
            if not await bed.submit(number % 3, PREFIX, job, FAILS if hopeless else WORKS):
                return False
            if hopeless:
                jobs.append(job)
        if TROUBLE:
            bed.begin_store_outage()
        await asyncio.sleep(DOWN_S)
        if TROUBLE:
            bed.end_store_outage()
        await asyncio.sleep(12)
        for job in jobs:
            await bed.request(1, "GET", PREFIX + job)
    for key, run, started in starts:
        failed = [fail for fail in fails if fail[0] == key and fail[3] and fail[2] < started]
        if len(failed) >= ATTEMPTS:
            bed.break_rule("BUDGET: %s run %d starts after %d failed runs" % (key, run, len(failed)))
    return len(fails) >= len(HOPELESS)


main(case, os.path.join(HERE, "record.txt"), nodes=3, services=["depot"], subnet=(86, 9))
