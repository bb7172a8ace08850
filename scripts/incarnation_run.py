#!/usr/bin/env python3
"""Runs endivewood-node processes against executors that start again under their ids.

All of it is on loopback: the stand-ins of review/standins, 4 to 7 nodes, and a random series of
overlapping faults. Executors go dark, start again and are cut off soon after, nodes are killed or
paused, the store is down, slow or loses answers, and partitions are dealt anew. The executors check
that no task runs on two of them at once and that none starts after an acknowledged end `done`; at
the end every accepted job has to complete. Unless --without-accounts is given, the configuration
has client accounts, whose keys and limits change meanwhile (account_checks.py). The seed gives the faults and jobs; how they meet the
processes' work differs between runs.
"""
import argparse
import asyncio
import collections
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import types

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
sys.path.insert(0, os.path.join(ROOT, "review", "standins"))
import platform_bed  # noqa: E402
from account_bed import AccountBed  # noqa: E402
from account_checks import PUBLIC, Accounts, Disturbances  # noqa: E402
from platform_bed import DROP, Executor, now_ms, read_message, serve  # noqa: E402

HEARTBEAT_MS = 1500
SILENT_MS = 3 * HEARTBEAT_MS  # An entry is removed after this time without a heartbeat.
FINISH_S = 75
POLL_S = 0.005
LAG_MS = 300  # A later event loop counts as a disturbance of the whole run.


class RestartingExecutor(Executor):
    """An executor whose incarnations have clocks of their own, behind a faulty network.

    Bytes that were sent on a connection to an earlier incarnation are answered with a reset.
    Connections that are opened while the machine is dark or cut off are completed when it can be
    reached again, by whichever incarnation is up then."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.life, self.registered_life, self.last_beat = 1, 0, -1e9
        self.dark = self.cut_in = self.cut_out = self.cut_store = self.in_episode = False
        self.cut_at = 0.0
        # An intermediary completes all connections and passes what it held on to the next incarnation.
        self.relayed = False
        self.dropped = 0  # Number of cuts whose held bytes were lost.
        self.late_share, self.late_ms, self.request = 0.0, 0.0, None  # `request` is being carried out.
        self.new_clock()

    def new_clock(self):
        self.began = now_ms()
        self.rate = self.bed.random.uniform(0.98, 1.0)
        self.offset = self.bed.random.randrange(3600000)  # the clock of a life begins anywhere

    def clock(self):
        return int((now_ms() - self.began) * self.rate) + self.offset

    def label(self):
        return "%s/%d" % (self.name, self.life)

    async def start(self):
        self.server = await asyncio.start_server(self.connection, self.address, self.port, backlog=512)
        self.tasks = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.tick())]

    async def report(self, after_ms=0.0):
        await asyncio.sleep(after_ms / 1000)
        if not self.gone and not self.cut_store and await self.bed.store.put(
                "keyed.servers", self.name, json.dumps(self.entry()).encode()):
            self.last_beat, self.registered_life = now_ms(), self.life

    async def beat(self):
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT_MS / 1000)
            if now_ms() > self.last_beat + SILENT_MS and self.registered_life:
                if await self.bed.store.put("keyed.servers", self.name, b""):
                    self.registered_life = 0

    async def connection(self, reader, writer):
        # `life`: the incarnation that completed the handshake, None before. `closed`: also "fin", "reset".
        reachable = not (self.dark or self.cut_in or self.cut_out)
        held = types.SimpleNamespace(life=self.life if reachable else None, requests=asyncio.Queue(), closed="")
        pump = asyncio.ensure_future(self.pump(reader, held))
        try:
            while await self.exchange(held, writer):
                pass
        except (ConnectionError, asyncio.CancelledError):
            pass
        pump.cancel()
        writer.transport.abort()

    async def pump(self, reader, held):
        """Reads eagerly, as the kernels do, so that a close or reset by the node is noticed."""
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                request = platform_bed.Request(method, target, headers, body, None)
                request.sent_at, request.sent_to = now_ms(), self.life
                held.requests.put_nowait(request)
        except asyncio.IncompleteReadError:
            held.closed = "fin"
        except (ConnectionError, ValueError, asyncio.LimitOverrunError):
            held.closed = "reset"
        held.requests.put_nowait(None)

    async def exchange(self, held, writer):
        """Passes one request on, and its answer. Returns False when the connection is to be reset."""
        request = await held.requests.get()
        if request is None:
            return False
        dropped = self.dropped
        while self.dark or self.cut_in or (held.life is None and self.cut_out):
            if self.dark and self.relayed:
                held.life = None
            await asyncio.sleep(POLL_S)
            # The close of a connection that is being opened discards its bytes.
            if held.closed == "reset" or (held.closed and held.life is None and not self.relayed):
                return False
        held.life = held.life or self.life
        if held.life != self.life:
            return False
        if self.bed.random.random() < self.late_share:
            await asyncio.sleep(self.late_ms * self.bed.random.random() / 1000)
        if held.life != self.life or self.dark or self.dropped != dropped:
            return await self.silence(held)
        status, content = await self.handle(request)
        while (self.cut_out or self.dark) and held.life == self.life:
            await asyncio.sleep(POLL_S)
        if held.life != self.life or self.dropped != dropped:
            return await self.silence(held)
        text = json.dumps(content).encode()
        writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" %
                     (status, len(text)) + text)
        await writer.drain()
        return True

    async def silence(self, held):
        """The answer is lost without a reset until bytes reach a later incarnation."""
        while not held.closed and (held.life == self.life or held.requests.empty()):
            await asyncio.sleep(POLL_S)
        return False

    def settle(self):
        """Ends all runs if the lease has ended, also if the event loop is late."""
        if self.gone or self.lapsed or self.clock() < self.lease:
            return
        self.lapsed = True
        self.lapses.append(now_ms())
        self.bed.record("%s: the lease lapses, %d runs end" % (self.label(), len(self.running)))
        for task in list(self.running):
            self.end(task, "lapsed")
        asyncio.ensure_future(self.notify())

    def extend(self, until):
        super().extend(until)
        if until is not None:
            self.bed.record("%s: lease asked for %+d ms, lasts %+d ms" %
                            (self.label(), until - self.clock(), self.lease - self.clock()))

    async def handle(self, request):
        self.settle()
        self.request = request
        body = request.json() if request.body else {}
        self.bed.record("%s: %s %s run %s fence %s, sent %d ms ago to /%d%s" %
                        (self.label(), request.path, body.get("task", "-"), body.get("run", "-"),
                         body.get("fence"), now_ms() - request.sent_at, request.sent_to,
                         " FORMER" if request.sent_to != self.life else ""))
        status, content = await self.answer(request)
        if status != 200:
            self.bed.record("%s: refused, %d %s" % (self.label(), status, content.get("reason", "")))
        return status, content

    async def restart(self, down_ms, report_ms):
        """The machine goes dark, and its executor starts again under the same id. Its first entry may
        come after a call, or after it has been cut off."""
        self.bed.record("%s goes dark for %d ms" % (self.label(), down_ms))
        self.gone = self.dark = True
        for task, run in self.running.items():
            self.bed.run_of(self, task, run["run"]).update(how="crashed", ended=now_ms())
        self.running, self.ended, self.highest, self.next_end = {}, [], {}, 1
        self.fence, self.lease, self.lapsed = 0, 0.0, True
        await asyncio.sleep(down_ms / 1000)
        self.new_clock()
        self.born = int(platform_bed.time.time() * 1000)
        self.life, self.sequence, self.gone, self.dark = self.life + 1, 0, False, False
        self.bed.record("%s is up, born %d, clock %d" % (self.label(), self.born, self.clock()))
        asyncio.ensure_future(self.report(report_ms))

    async def cut(self, kind, for_ms, with_store, drops):
        """Nothing passes to ("in") or from ("out") the executor, or both."""
        self.cut_in, self.cut_out, self.cut_store, self.cut_at = kind != "out", kind != "in", with_store, now_ms()
        self.bed.record("%s is cut off (%s%s) for %d ms; entry of /%d" %
                        (self.label(), kind, ", store" if with_store else "", for_ms, self.registered_life))
        await asyncio.sleep(for_ms / 1000)
        self.dropped += drops
        self.cut_in = self.cut_out = self.cut_store = False
        self.bed.record("%s is reachable, held bytes are %s" % (self.label(), "lost" if drops else "delivered"))


class RunBed(AccountBed):
    """The deployment of one run, and the checks."""

    def __init__(self, folder, seed):
        super().__init__(folder)
        self.random = random.Random(seed)
        self.seed, self.faults = seed, collections.Counter()
        self.runs = collections.defaultdict(list)  # task -> runs, in order of their starts
        self.durations = {}  # job -> (shortest, longest) run, ms
        self.broken, self.accepted = [], []
        self.store_loss, self.store_cut = 0.0, set()  # share of lost answers; nodes without a path
        self.lag_ms, self.burst_until = 0.0, 0.0  # Until then more jobs are handed in.
        self.accounts, self.disturbed = None, Disturbances()

    def duration(self, task, run):
        return random.Random("%s %s" % (self.seed, task)).uniform(*self.durations[task.split(".")[0]])

    def breach(self, text, *runs):
        for run in runs:
            text += "; run %d on %s (from %.1f, %s, sent %d ms before to /%d, fence %d)" % (
                run["run"], run["on"], run["began"], run["how"] or "running", run["age"], run["sent_to"],
                run["fence"])
        self.broken.append(text)
        self.record("BROKEN " + text)

    def on_start(self, executor, task, run, spec, checkpoint=""):
        request = executor.request
        new = {"run": run, "executor": executor, "life": executor.life, "on": executor.label(),
               "began": now_ms(), "ended": None, "how": "", "noted": False,
               "age": now_ms() - request.sent_at, "sent_to": request.sent_to,
               "fence": request.json().get("fence", 0)}
        for other in self.executors:
            other.settle()
            if other is executor or task not in other.running:
                continue
            cut_ms = now_ms() - other.cut_at if other.cut_in or other.cut_out else 0
            self.breach("two runs at once of %s, the earlier with a lease for %d ms, cut off for %d ms, entry of "
                        "/%d" % (task, other.lease - other.clock(), cut_ms, other.registered_life),
                        new, self.run_of(other, task, other.running[task]["run"]))
        for earlier in self.runs[task]:
            if earlier["noted"]:
                self.breach("start of %s after a noted end" % task, new, earlier)
        self.runs[task].append(new)
        super().on_start(executor, task, run, spec, checkpoint)
        if self.accounts is not None:
            self.accounts.check_start(task, request)

    def run_of(self, executor, task, run):
        return next(each for each in reversed(self.runs[task]) if each["executor"] is executor and
                    each["life"] == executor.life and each["run"] == run)

    def on_end(self, executor, task, run, how, number, saved=""):
        self.run_of(executor, task, run).update(how=how, ended=now_ms())
        super().on_end(executor, task, run, how, number, saved)

    def on_noted(self, executor, rows):
        for _, task, number, how, _ in rows:
            run = self.run_of(executor, task, number)
            if how != "done" or any(at >= run["ended"] for at in executor.lapses):
                continue
            run["noted"] = True
            for later in self.runs[task]:
                if later["began"] > run["ended"]:
                    self.breach("start of %s after an end that is noted now" % task, later, run)
        super().on_noted(executor, rows)

    async def cloud(self, request):
        """No machine can be moved."""
        return 200, {"machines": [], "next_token": None}

    async def start_store_path(self, number):
        """Gives a node a path of its own to the store."""

        async def handle(request):
            while number in self.store_cut:
                await asyncio.sleep(0.02)
            if self.random.random() >= self.store_loss:
                return await self.store.handle(request)
            if self.random.random() < 0.5:
                await asyncio.sleep(self.random.uniform(0.5, 3))
            await self.store.handle(request)
            await asyncio.sleep(30)
            return DROP

        self.servers.append(await serve("%s.15%d" % (self.prefix, number), self.port, handle))

    def holders(self):
        """The nodes that hold a partition with jobs."""
        keys = [next((key for key in partition.newest if key.startswith("j/")), None)
                for (topic, _), partition in self.store.partitions.items() if topic == "keyed.jobs"]
        found = {self.holder_of_key(key) for key in keys if key is not None}
        return sorted(node for node in found if node is not None)


class Faults:
    """Overlapping random faults until `until` (ms). Each has random numbers of its own, so that those
    of one seed are the same in each run, whatever the order in which they are drawn."""

    def __init__(self, bed, until):
        self.bed, self.until, self.busy_nodes = bed, until, set()

    async def every(self, name, seconds, fault):
        running, chance = [], random.Random("%s %s" % (self.bed.seed, name))
        while True:
            await asyncio.sleep(chance.uniform(*seconds))
            if now_ms() > self.until:
                break
            self.bed.faults[name] += 1
            running.append(asyncio.ensure_future(fault(random.Random(chance.random()))))
        await asyncio.gather(*running)

    async def play(self):
        # Frequent faults of nodes and the store hide faults of restarts: each run has its own mix.
        chance = random.Random("%s mix" % self.bed.seed)
        self.node_share, store, node, deal = (chance.choice(each) for each in (
            [0, 0.2, 0.4], [8, 20, 60], [6, 15, 60], [10, 30, 60]))
        await asyncio.gather(
            self.every("restarts", (0.8, 3.5), self.restarts), self.every("node", (node / 2, node), self.node),
            self.every("store", (store / 2, store), self.store),
            self.every("deals", (deal / 2, deal), self.deal), self.every("late", (4, 10), self.late_orders))

    async def restarts(self, chance):
        """Executors of one service start again, and are cut off soon after."""
        service = chance.choice(sorted({each.service for each in self.bed.executors}))
        pool = [each for each in self.bed.executors if each.service == service]
        chosen = chance.sample(pool, chance.randint(1, (len(pool) + 1) // 2))
        down = chance.uniform(150, 900) if chance.random() < 0.8 else chance.uniform(900, 3500)
        report = chance.choice([0, chance.uniform(0, 300), chance.uniform(0, HEARTBEAT_MS)])
        again = chance.uniform(0.2, 3) if chance.random() < 0.3 else None
        gap, relayed = chance.uniform(0.2, 3), chance.random() < 0.5
        cut = (chance.choice(["both"] * 6 + ["in", "out"]), chance.uniform(5000, 14000),
               chance.random() < 0.4, chance.random() < 0.4)

        async def restart(executor):
            executor.in_episode, executor.relayed = True, relayed
            self.bed.burst_until = now_ms() + 800
            await executor.restart(down, report)
            if again is not None:
                await asyncio.sleep(again)
                await executor.restart(down, report)
            await asyncio.sleep(gap)
            await executor.cut(*cut)
            executor.in_episode = False

        others = []
        if chance.random() < self.node_share:
            others.append(self.node(chance, holder=True, after=chance.uniform(0, 6)))
        if chance.random() < self.node_share / 3:
            others.append(self.store(chance, after=chance.uniform(0, 2)))
        await asyncio.gather(*(restart(each) for each in chosen if not each.in_episode), *others)

    async def node(self, chance, holder=False, after=0.0):
        """A node, mostly a holder of jobs, is killed, paused or cut off from the store."""
        await asyncio.sleep(after)
        kind, holder = chance.choice(["kill", "kill", "pause", "cut"]), holder or chance.random() < 0.7
        number = chance.choice(holder and self.bed.holders() or sorted(self.bed.nodes))
        if number in self.busy_nodes or len(self.busy_nodes) + 2 > len(self.bed.nodes):
            return
        self.busy_nodes.add(number)
        self.bed.faults[kind] += 1
        self.bed.disturbed.begin(number)
        if kind == "kill":
            self.bed.signal_node(number, signal.SIGKILL)
            await self.bed.nodes[number].wait()
            await asyncio.sleep(chance.uniform(0.2, 2))
            await self.bed.start_node(number, bootstrap=False)
        elif kind == "pause":
            self.bed.signal_node(number, signal.SIGSTOP)
            await asyncio.sleep(chance.uniform(1, 8))
            self.bed.signal_node(number, signal.SIGCONT)
        else:
            self.bed.record("node %d is cut off from the store" % number)
            self.bed.store_cut.add(number)
            await asyncio.sleep(chance.uniform(0.5, 6))
            self.bed.store_cut.discard(number)
        self.bed.disturbed.end(number)
        self.busy_nodes.discard(number)

    async def store(self, chance, after=0.0):
        await asyncio.sleep(after)
        bed, kind = self.bed, chance.choice(["busy", "reset", "silent", "slow", "loses"])
        bed.record("store: %s" % kind)
        bed.disturbed.begin("store")
        if kind == "slow":
            bed.store.extra_ms = chance.uniform(50, 600)
        elif kind == "loses":
            bed.store_loss = chance.uniform(0.1, 0.5)
        else:
            bed.store.down = kind
        await asyncio.sleep(chance.uniform(0.5, 5))
        bed.store.down, bed.store.extra_ms, bed.store_loss = "", 0.0, 0.0
        bed.disturbed.end("store")
        bed.record("store: sound")

    async def deal(self, chance):
        """All partitions are assigned anew, in half of the cases without waiting for their holders."""
        at_once = chance.random() < 0.5
        for group in self.bed.store.groups.values():
            members = sorted(group.members)
            chance.shuffle(members)
            group.generation += 1
            group.target = {part: members[part % len(members)] for part in range(self.bed.store.parts)
                            if members}
            if at_once:
                group.owner = dict(group.target)
        self.bed.record("store: partitions are dealt anew%s" % (", at once" if at_once else ""))

    async def late_orders(self, chance):
        chosen = chance.sample(self.bed.executors, 2)
        for each in chosen:
            each.late_share, each.late_ms = chance.uniform(0.1, 0.6), chance.uniform(300, 3000)
        await asyncio.sleep(chance.uniform(1, 4))
        for each in chosen:
            each.late_share = 0.0


async def play(bed, seconds):
    chance = random.Random("%s jobs" % bed.seed)
    services = ["studio", "hall", "stage"][:chance.randint(2, 3)]
    nodes = list(range(1, chance.randint(4, 7) + 1))
    for number in range(chance.randint(3 * len(services), 12)):
        executor = RestartingExecutor(bed, "i-%08x" % chance.getrandbits(32), services[number % len(services)],
                                      "%s.%d" % (bed.prefix, 20 + number), bed.port,
                                      labels=("a", "r1-%d" % (number // 4)), duration_of=bed.duration)
        bed.executors.append(executor)
        await executor.start()
    routes = [{"name": "r-" + each, "prefix": "/%s/" % each, "service": each} for each in services]
    pools = [(each, False) for each in services]
    if bed.accounts is None:
        await bed.configure(7, routes, pools)
    else:
        routes.append({"name": "r-open", "prefix": "/%s/" % PUBLIC, "service": services[0], "public": True})
        await bed.accounts.write(routes, pools)
    for node in nodes:
        await bed.start_store_path(node)
        await bed.start_node(node)
    await bed.wait_ready(nodes)

    async def watch_lag():
        while True:
            before = now_ms()
            await asyncio.sleep(0.01)
            bed.lag_ms = max(bed.lag_ms, now_ms() - before - 10)
            if now_ms() - before > LAG_MS:
                bed.disturbed.spans["run"].append([before, now_ms()])

    async def hand_in(order, path, body):
        if await (bed.submit if bed.accounts is None else bed.accounts.hand_in)(order, path, body):
            bed.accepted.append(path)

    lag = asyncio.ensure_future(watch_lag())
    until = now_ms() + seconds * 1000
    faults = asyncio.ensure_future(Faults(bed, until).play())
    others = []
    if bed.accounts is not None:
        others = [asyncio.ensure_future(bed.accounts.operate(until, routes, pools)),
                  asyncio.ensure_future(bed.accounts.probe(until, services, nodes))]
    handed_in = []
    while now_ms() < until:
        job, service, long = "%016x" % chance.getrandbits(64), chance.choice(services), chance.random() < 0.4
        bed.durations[job] = (5000, 16000) if long else (200, 1500)
        body = {"spec": job, "steps": [{"count": chance.randint(1, 5), "cpu": 400 * chance.randint(1, 3),
                                        "mem_mb": 256, "est_ms": 10000 if long else 900}]}
        order = chance.sample(nodes, len(nodes))
        handed_in.append(asyncio.ensure_future(hand_in(order, "/%s/%s" % (service, job), body)))
        await asyncio.sleep(chance.uniform(0.1, 0.4) / (6 if now_ms() < bed.burst_until else 1))
    await asyncio.gather(faults, *others)
    bed.record("the faults are over")
    await asyncio.wait(handed_in, timeout=20)
    missing, end, at = list(bed.accepted), now_ms() + FINISH_S * 1000, 0
    while missing and now_ms() < end:
        path = missing[at % len(missing)]
        status, text = await (bed.request if bed.accounts is None else bed.accounts.ask_as_owner)(
            nodes[at % len(nodes)], "GET", path)
        state = json.loads(text).get("state") if status == 200 else None
        if state in ("complete", "failed", "canceled"):
            missing.pop(at % len(missing))
            if state != "complete":
                bed.breach("the accepted job %s is shown as %s" % (path, state))
        else:
            await asyncio.sleep(0.05)
        at += 1
    for path in missing:
        bed.breach("the accepted job %s isn't complete %d s after the faults" % (path, FINISH_S))
    lag.cancel()


async def run(options):
    folder = os.path.join(options.keep_logs or tempfile.gettempdir(), "incarnation-%d" % options.seed)
    shutil.rmtree(folder, ignore_errors=True)
    os.makedirs(folder)
    # The stand-ins start target/bin/endivewood-node, and give all nodes one address of the store.
    os.makedirs(os.path.join(folder, "target"))
    os.symlink(os.path.abspath(options.bin), os.path.join(folder, "target", "bin"))
    platform_bed.ROOT = folder
    platform_bed.SETTINGS = platform_bed.SETTINGS.replace('"{prefix}.200', '"{prefix}.15{number}')
    bed = RunBed(folder, options.seed)
    if not options.without_accounts:
        strict = random.Random("%s strict" % options.seed).random() < 0.3
        bed.accounts = Accounts(bed, strict)
        platform_bed.SETTINGS = platform_bed.SETTINGS.replace(
            "[bounds]\n", "[bounds]\nstrict_revoke = %s\n" % str(strict).lower())
    os.rmdir(bed.work)
    bed.work, os.environ["KEEP_LOGS"] = folder, "1"
    # The nodes are ended, by the ids that were kept, also when this process is.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    try:
        await bed.start_platform()
        await asyncio.wait_for(play(bed, options.seconds), options.seconds + FINISH_S + 80)
    finally:
        await bed.stop()
    late = sum(run["sent_to"] != run["life"] for runs in bed.runs.values() for run in runs)
    print("%d nodes, %d executors, %d jobs, %d starts (%d by a next incarnation), faults %s, event loop up to "
          "%d ms late" % (len(bed.nodes), len(bed.executors), len(bed.accepted), len(bed.starts), late,
                          dict(bed.faults), bed.lag_ms))
    if bed.accounts is not None:
        print("accounts: " + bed.accounts.summary())
    # Starts above a limit can be many; they don't hide the others.
    for text in sorted(bed.broken, key=lambda each: "above a limit" in each)[:20]:
        print("  " + text)
    if not bed.broken and not options.keep_logs:
        shutil.rmtree(folder)
    above = sum("above a limit" in text for text in bed.broken)
    print("seed %d: %s" % (options.seed, "BROKEN, %d breaches, %d of them starts above a limit" % (
        len(bed.broken), above) if bed.broken else "sound"))
    return 1 if bed.broken else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default=os.path.join(ROOT, "target", "bin"), help="folder of endivewood-node")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60, help="time with faults and new jobs")
    parser.add_argument("--without-accounts", action="store_true", help="no client accounts")
    parser.add_argument("--keep-logs", help="folder for the record and the nodes' logs")
    raise SystemExit(asyncio.run(run(parser.parse_args())))


if __name__ == "__main__":
    main()
