"""Stand-in for the executors of services. What a subtask does stands in the job's `spec`, a JSON
text: {"steps": [{"ms": work, "daemon": false, "gang": members, "saves": false, "fails": 0.0}]}.
`fails` is the probability that a run ends `failed` halfway."""
import asyncio
import json
import random
import time

from wire import Server


def now_ms():
    return time.monotonic() * 1000


class Run:
    def __init__(self, task, run, step, checkpoint):
        self.task = task
        self.run = run
        self.step = step
        self.checkpoint = checkpoint
        self.done_ms = int(checkpoint[:8], 16) if checkpoint else 0
        self.started = now_ms()
        self.working_since = None if step.get("gang") else self.started
        self.timer = None
        self.needs = {}

    def percent(self):
        if self.working_since is None:
            return 0
        if self.step.get("daemon"):
            return 100 if now_ms() - self.working_since >= 300 else 0
        return min(99, int(100 * self.worked() / max(1, self.step["ms"])))

    def worked(self):
        if self.working_since is None:
            return self.done_ms
        return self.done_ms + now_ms() - self.working_since

    def save(self):
        if self.step.get("saves") and self.working_since is not None:
            worked = int(min(self.worked(), self.step["ms"]))
            self.checkpoint = f"{worked:08x}{random.getrandbits(32):08x}"


class Fleet:
    """All executors of a deployment, the gangs that span them, and the registry entries."""

    def __init__(self, record, store, settings):
        self.record = record
        self.store = store
        self.settings = settings
        self.executors = {}
        self.gangs = {}
        self.starts = []
        self.late_share = 0.0
        self.lost_share = 0.0
        self.loop = asyncio.get_event_loop()

    async def add(self, machine, service, address, port, capacity, labels, zone, identity=None):
        executor = Executor(self, machine, service, address, port, capacity, labels, zone)
        executor.id = identity or executor.id
        await executor.begin()
        self.executors[machine] = executor
        return executor

    def remove(self, machine, remove_entry=True):
        executor = self.executors.pop(machine, None)
        if executor is not None:
            executor.end(remove_entry)

    async def restart_silently(self, executor, down_s, clock_step_ms):
        """The executor loses power and starts again under its id. Its channels stay silent; its
        time of day has jumped by `clock_step_ms`."""
        executor.alive = False
        executor.beats.cancel()
        executor.leases.cancel()
        for run in list(executor.running.values()):
            executor.finish(run, "gone")
        await asyncio.sleep(down_s)
        executor.server.server.close()
        following = Executor(self, executor.machine, executor.service, executor.address,
                             executor.port, executor.capacity, executor.labels, executor.zone)
        following.id = executor.id
        following.born = int(time.time() * 1000) + clock_step_ms
        await following.begin()
        self.executors[executor.machine] = following
        self.record("restart", machine=executor.machine, born=following.born)

    def carry_out_late(self, identity, request):
        """Carries out an order on the executor that has the id by now, if there is one."""
        for executor in self.executors.values():
            if executor.id == identity and executor.alive:
                self.record("late", machine=executor.machine, path=request.path)
                body = request.json()
                body.pop("wait_ms", None)
                request.body = json.dumps(body).encode()
                asyncio.ensure_future(executor.carry_out(request))

    def gang_joined(self, executor, run):
        key = (run.task.rsplit(".", 1)[0], run.run)
        members = self.gangs.setdefault(key, {})
        members[run.task] = (executor, run)
        if len(members) == run.step["gang"]:
            for member, each in members.values():
                each.working_since = now_ms()
                member.schedule_end(each)
        else:
            executor.loop.call_later(self.settings["gang_ms"] / 1000, executor.gang_alone, run)

    def gang_left(self, run, how):
        members = self.gangs.pop((run.task.rsplit(".", 1)[0], run.run), {})
        for executor, each in members.values():
            if each is not run:
                executor.finish(each, "done" if how == "done" else "broken")


class Executor:
    def __init__(self, fleet, machine, service, address, port, capacity, labels, zone):
        self.fleet = fleet
        self.machine = machine
        self.service = service
        self.address = address
        self.port = port
        self.capacity = capacity
        self.labels = labels
        self.zone = zone
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.clock_offset = random.randrange(1000, 900000) - now_ms()
        self.lease = 0
        self.fence = 0
        self.running = {}
        self.ended = []
        self.numbers = 0
        self.refused = {}
        self.draining = False
        self.alive = True
        self.changed = asyncio.Event()
        self.server = Server(self.handle)
        self.loop = asyncio.get_event_loop()
        self.seq = 0

    def clock(self):
        return int(now_ms() + self.clock_offset)

    async def begin(self):
        await self.server.listen(self.address, self.port)
        self.beats = asyncio.ensure_future(self.beat())
        self.leases = asyncio.ensure_future(self.watch_lease())

    def end(self, remove_entry):
        """The executor is gone at once, with everything that runs on it."""
        self.alive = False
        self.beats.cancel()
        self.leases.cancel()
        self.server.close()
        for run in list(self.running.values()):
            self.finish(run, "gone")
        if remove_entry:
            self.fleet.store.drop("keyed.servers", self.id)
        else:  # An entry is removed after three reports that didn't come.
            self.loop.call_later(3 * self.fleet.settings["heartbeat_ms"] / 1000,
                                 self.fleet.store.drop, "keyed.servers", self.id)

    async def beat(self):
        while True:
            self.report()
            await asyncio.sleep(self.fleet.settings["heartbeat_ms"] / 1000)

    def report(self):
        self.seq += 1
        self.fleet.store.put("keyed.servers", self.id, self.entry())

    def entry(self):
        entry = {"service": self.service, "addr": f"{self.address}:{self.port}", "zone": self.zone,
                 "version": "v1", "slots": 8, "state": "draining" if self.draining else "ready",
                 "cold_left_ms": 0, "capacity": self.capacity, "labels": self.labels,
                 "clock_ms": self.clock(), "born": self.born, "seq": self.seq}
        if self.draining:
            entry["remaining_ms"] = self.fleet.settings["drain_ms"]
        return json.dumps(entry).encode()

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock() > self.lease:
                for run in list(self.running.values()):
                    self.finish(run, "lapsed")

    def extend(self, until):
        if until is not None:
            limit = self.clock() + self.fleet.settings["hold_max_ms"]
            self.lease = max(self.lease, min(int(until), limit))

    def schedule_end(self, run):
        if run.step.get("daemon"):
            return
        left = max(10, run.step["ms"] - run.done_ms + (250 if run.checkpoint else 0))
        if run.step.get("saves"):
            self.loop.call_later(2, self.save, run)
        if random.random() < run.step.get("fails", 0):
            run.timer = self.loop.call_later(left / 2000, self.finish, run, "failed")
        else:
            run.timer = self.loop.call_later(left / 1000, self.finish, run, "done")

    def save(self, run):
        if self.running.get(run.task) is run:
            run.save()
            self.fleet.record("saved", machine=self.machine, task=run.task, run=run.run,
                              value=run.checkpoint)
            self.loop.call_later(2, self.save, run)

    def gang_alone(self, run):
        if self.running.get(run.task) is run and run.working_since is None:
            self.finish(run, "alone")

    def finish(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        if run.timer is not None:
            run.timer.cancel()
        if how == "stopped" and run.step.get("saves"):
            run.save()
            self.fleet.record("saved", machine=self.machine, task=run.task, run=run.run,
                              value=run.checkpoint)
        self.refused[run.task] = max(self.refused.get(run.task, 0), run.run)
        if how != "gone":
            self.numbers += 1
            self.ended.append([self.numbers, run.task, run.run, how, run.checkpoint])
        self.fleet.record("end", machine=self.machine, task=run.task, run=run.run, how=how)
        if run.step.get("gang"):
            self.fleet.gang_left(run, how)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def lists(self):
        running = [[run.task, run.run, run.checkpoint, run.percent(), 0]
                   for run in self.running.values()]
        return {"clock_ms": self.clock(), "born": self.born, "running": running,
                "ended": self.ended[:500]}

    async def handle(self, request):
        await asyncio.sleep(0.001)
        if request.path == "/health":
            return 200, {}
        if not self.alive:
            return None
        if request.headers.get("expect-instance") != self.id:
            return 421, {}
        if random.random() < self.fleet.late_share:
            self.loop.call_later(random.uniform(2, 12), self.fleet.carry_out_late, self.id, request)
            return None
        if random.random() < self.fleet.lost_share:
            await self.carry_out(request)
            raise ConnectionError
        return await self.carry_out(request)

    async def carry_out(self, request):
        body = request.json()
        fence = body.get("fence", 0)
        answer = {"clock_ms": self.clock(), "born": self.born}
        if fence < self.fence:
            return 409, {**answer, "reason": "fence"}
        self.fence = fence
        if request.path == "/v1/run-start":
            return self.start(body, answer)
        if request.path == "/v1/run-stop":
            return self.stop(body, answer)
        if request.path == "/v1/pace":
            return 200, answer
        if request.path == "/v1/hold":
            return await self.hold(body)
        return 400, answer

    def start(self, body, answer):
        task, number = body["task"], body["run"]
        if body["until_ms"] <= self.clock():
            return 409, {**answer, "reason": "late"}
        self.extend(body["until_ms"])
        known = self.running.get(task)
        if known is not None and known.run == number:
            return 200, answer
        if number <= self.refused.get(task, 0) or (known is not None and number < known.run):
            return 409, {**answer, "reason": "old"}
        _, _, step, _ = task.rsplit(".", 3)
        plan = json.loads(body["spec"])["steps"][int(step)]
        run = Run(task, number, plan, body.get("checkpoint", ""))
        self.running[task] = run
        self.fleet.starts.append((now_ms(), self.machine, task, number))
        self.fleet.record("start", machine=self.machine, rack=self.labels[1], task=task,
                          run=number, running=len(self.running), checkpoint=run.checkpoint)
        if plan.get("gang"):
            self.fleet.gang_joined(self, run)
        else:
            self.schedule_end(run)
        return 200, answer

    def stop(self, body, answer):
        task, number = body["task"], body["run"]
        self.refused[task] = max(self.refused.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.run <= number:
            self.loop.call_later(self.fleet.settings["stop_ms"] / 2000, self.finish, run, "stopped")
        return 200, answer

    async def hold(self, body):
        cursor = body.get("ack_cursor", 0)
        acknowledged = [row for row in self.ended if row[0] <= cursor]
        for row in acknowledged:
            self.fleet.record("noted", machine=self.machine, task=row[1], run=row[2], how=row[3])
        self.ended = [row for row in self.ended if row[0] > cursor]
        self.extend(body.get("until_ms"))
        until = now_ms() + body.get("wait_ms", 0)
        while not self.ended and now_ms() < until and self.alive:
            try:
                await asyncio.wait_for(self.changed.wait(), (until - now_ms()) / 1000)
            except asyncio.TimeoutError:
                break
        return (200, self.lists()) if self.alive else None
