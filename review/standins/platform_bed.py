"""Stand-ins for the platform of a small deployment, on loopback.

One process holds the metadata store (a keyed log with groups), the machine service, the executors
and the clients, and starts endivewood-node with the command of deploy/system.toml. All of them follow
the pages of the platform; where a page is silent they do what a sound server would do.
"""
import asyncio
import base64
import collections
import json
import os
import random
import shutil
import signal
import socket
import struct
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
START = time.monotonic()


def now_ms():
    """Milliseconds since the start of the script."""
    return (time.monotonic() - START) * 1000.0


class Record:
    """record.txt: what was sent, answered and run, with the time in milliseconds."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write("%9.1f %s\n" % (now_ms(), text))

    def close(self):
        self.file.close()


# HTTP.


class Request:
    def __init__(self, method, target, headers, body, peer):
        parts = urllib.parse.urlsplit(target)
        self.method, self.path, self.headers, self.body = method, parts.path, headers, body
        self.query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        self.peer = peer
        self.held_up = False  # carried out later than it arrived

    def json(self):
        return json.loads(self.body or b"{}")


DROP = "drop"  # A handler returns it to reset the channel without an answer.


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def serve(address, port, handler):
    """Starts an HTTP server; `handler(request)` returns (status, body bytes or object)."""

    async def connection(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await handler(
                    Request(method, target, headers, body, writer.get_extra_info("peername")))
                if answer == DROP:
                    writer.transport.abort()
                    return
                status, content = answer
                kind = "application/octet-stream"
                if not isinstance(content, bytes):
                    content, kind = json.dumps(content).encode(), "application/json"
                writer.write(("HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n" %
                              (status, kind, len(content))).encode() + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, address, port, limit=1 << 22, backlog=512)


async def call(address, port, method, path, body=None, headers=None, timeout_s=3.0):
    """One request on a channel of its own.

    Returns (status, body, headers), or None without a complete answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(address, port)
        try:
            text = json.dumps(body).encode() if body is not None else b""
            lines = ["%s %s HTTP/1.1" % (method, path), "Content-Length: %d" % len(text)]
            if body is not None:
                lines.append("Content-Type: application/json")
            lines += ["%s: %s" % item for item in (headers or {}).items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + text)
            await writer.drain()
            first, answer_headers, content = await read_message(reader)
            return int(first.split(" ")[1]), content, answer_headers
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError):
        return None


# The store.


class Partition:
    def __init__(self):
        self.records = []  # contents without the length
        self.newest = {}  # key -> (value, offset)
        self.producers = {}
        self.changed = asyncio.Condition()
        self.lock = asyncio.Lock()


class Group:
    def __init__(self):
        self.generation = 0
        self.members = {}  # name -> time of expiry, ms
        self.target = {}  # partition -> member
        self.owner = {}  # partition -> member that may still act


class Store:
    """The platform's store: `down` makes it refuse, drop or hold all calls."""

    def __init__(self, record, parts=16, append_ms=3.0, answer_ms=4.0, keep=10000):
        self.record, self.parts, self.append_ms, self.answer_ms = record, parts, append_ms, answer_ms
        self.partitions = {}
        self.groups = {}
        self.down = ""  # "", "busy", "reset" or "silent"
        self.extra_ms = 0.0  # slows each answer down

    def partition(self, topic, part):
        return self.partitions.setdefault((topic, int(part)), Partition())

    async def put(self, topic, key, value):
        """A write of the operator or of an executor; False while the store is down."""
        if self.down:
            return False
        content = bytes([len(key)]) + key.encode() + value
        await self.append(self.partition(topic, 0), topic, [content])
        return True

    async def append(self, partition, topic, contents):
        offset = len(partition.records)
        for content in contents:
            if topic.startswith("keyed."):
                size = content[0]
                key, value = content[1:1 + size].decode(), content[1 + size:]
                if value:
                    partition.newest[key] = (value, len(partition.records))
                else:
                    partition.newest.pop(key, None)
            partition.records.append(content)
        async with partition.changed:
            partition.changed.notify_all()
        return offset

    async def handle(self, request):
        if self.down == "busy":
            return 503, {}
        if self.down == "reset":
            return DROP
        if self.down == "silent":
            await asyncio.sleep(120)
            return DROP
        await asyncio.sleep((self.answer_ms + self.extra_ms) / 1000)
        name = request.path.rsplit("/", 1)[-1]
        return await getattr(self, name.replace("-", "_"))(request)

    async def log_append(self, request):
        query = request.query
        partition = self.partition(query["topic"], query["part"])
        contents, at, body = [], 0, request.body
        while at < len(body):
            (size,) = struct.unpack(">I", body[at:at + 4])
            if size > 262144 or at + 4 + size > len(body):
                return 400, {}
            contents.append(body[at + 4:at + 4 + size])
            at += 4 + size
        if len(body) > 2097152:
            return 400, {}
        async with partition.lock:
            await asyncio.sleep(self.append_ms / 1000)
            state = None
            if "producer" in query:
                epoch = int(query["epoch"])
                state = partition.producers.setdefault(
                    query["producer"], {"epoch": -1, "seq": None, "recent": collections.OrderedDict()})
                if epoch < state["epoch"]:
                    return 409, {"reason": "fenced"}
                if epoch > state["epoch"]:
                    state["epoch"], state["seq"] = epoch, None
                if contents:
                    sequence = int(query["seq"])
                    if sequence in state["recent"]:
                        return 200, state["recent"][sequence]
                    if state["seq"] is not None and sequence != state["seq"] + 1:
                        return 409, {"reason": "seq", "seq": state["seq"] + 1}
            offset = await self.append(partition, query["topic"], contents)
            answer = {"offset": offset, "end": len(partition.records)}
            if state is not None and contents:
                state["seq"] = sequence
                state["recent"][sequence] = answer
                while len(state["recent"]) > 5:
                    state["recent"].popitem(last=False)
            return 200, answer

    async def log_read(self, request):
        query = request.query
        partition = self.partition(query["topic"], query["part"])
        start, wait_s = int(query["from"]), int(query.get("wait_ms", "0")) / 1000
        try:
            if wait_s > 0:
                async with partition.changed:
                    await asyncio.wait_for(
                        partition.changed.wait_for(lambda: len(partition.records) > start), wait_s)
        except asyncio.TimeoutError:
            pass
        if self.down:
            return DROP
        body, size = [struct.pack(">QQ", len(partition.records), 0)], 0
        for content in partition.records[start:]:
            size += len(content)
            if size > 1024 * 1024:
                break
            body.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(body)

    async def log_newest(self, request):
        query = request.query
        partition = self.partition(query["topic"], query["part"])
        after = query.get("depends", "")
        keys = sorted(key for key in partition.newest if key > after)
        items, size = [], 0
        for key in keys:
            value, offset = partition.newest[key]
            if len(items) >= 500 or size + len(value) > 1000000:
                break
            size += len(value)
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "has_more": len(items) < len(keys), "end": len(partition.records)}

    def deal(self, name, group, reason):
        """Distributes the partitions evenly, moving as few as possible."""
        group.generation += 1
        members = sorted(group.members)
        if members:
            most = -(-self.parts // len(members))
            loads = collections.Counter()
            kept = {}
            for part in range(self.parts):
                member = group.target.get(part)
                if member in group.members and loads[member] < most:
                    kept[part] = member
                    loads[member] += 1
            for part in range(self.parts):
                if part not in kept:
                    member = min(members, key=lambda each: loads[each])
                    kept[part] = member
                    loads[member] += 1
            # Members below the even share take from those with the most.
            least = self.parts // len(members)
            for member in members:
                while loads[member] < least:
                    rich = max(members, key=lambda each: loads[each])
                    part = max(p for p in kept if kept[p] == rich)
                    kept[part] = member
                    loads[rich] -= 1
                    loads[member] += 1
            group.target = kept
        for part, member in list(group.owner.items()):
            if member not in group.members:
                del group.owner[part]
        self.record("store: group %s generation %d, members %s (%s)" %
                    (name, group.generation, " ".join(members), reason))

    def expire(self, name, group):
        gone = [each for each, until in group.members.items() if until <= now_ms()]
        for each in gone:
            del group.members[each]
        if gone:
            self.deal(name, group, "expired " + " ".join(gone))

    async def log_join(self, request):
        body = request.json()
        name, member = body["group"], body["member"]
        group = self.groups.setdefault(name, Group())
        self.expire(name, group)
        new = member not in group.members
        group.members[member] = now_ms() + max(1000, body["ttl_ms"])
        if new:
            self.deal(name, group, "joined " + member)
        if body["generation"] >= group.generation:
            for part, owner in list(group.owner.items()):
                if owner == member and group.target.get(part) != member:
                    del group.owner[part]
        for part, target in group.target.items():
            if target == member and part not in group.owner:
                group.owner[part] = member
        held = [part for part, owner in group.owner.items()
                if owner == member and group.target.get(part) == member]
        topic = body["topics"][0]
        return 200, {"generation": group.generation, "ttl_ms": body["ttl_ms"],
                     "parts": [[topic, part, 0] for part in sorted(held)]}

    async def log_leave(self, request):
        body = request.json()
        group = self.groups.setdefault(body["group"], Group())
        if group.members.pop(body["member"], None) is not None:
            self.deal(body["group"], group, "left " + body["member"])
        return 200, {}

    async def log_owners(self, request):
        group = self.groups.setdefault(request.query["group"], Group())
        self.expire(request.query["group"], group)
        return 200, {"parts": [["keyed.jobs", part, member, 0]
                               for part, member in sorted(group.owner.items())]}


# Executors.


class Gang:
    """One run of a gang. A checkpoint begins with the work that was done, in milliseconds."""

    def __init__(self, step, checkpoint, count, work_ms):
        self.step, self.count, self.work_ms = step, count, work_ms
        self.base_ms = int(checkpoint[:8], 16) if checkpoint else 0
        self.members = {}
        self.began = None
        self.broken = False


class Executor:
    """One executor in one life. `duration_of(task, run)` gives the length of a run in ms."""

    HOLD_MAX_MS = 10000
    STOP_MS = 100

    def __init__(self, bed, name, service, address, port, cpu=32000, mem_mb=131072, labels=("a", "r1-1"),
                 duration_of=None, end_of=None):
        self.bed, self.name, self.service, self.address, self.port = bed, name, service, address, port
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        self.labels = list(labels)
        self.duration_of = duration_of or (lambda task, run: 1000.0)
        self.end_of = end_of or (lambda task, run: "done")
        self.began = now_ms()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.lease = 0.0
        self.lapsed = True
        self.lapses = []  # times at which the lease ran out
        self.running = {}  # task -> {"run", "began", "ends_at", "stopping"}
        self.highest = {}  # task -> highest run stopped or ended
        self.ended = []
        self.next_end = 1
        self.ack = 0
        self.sequence = 0
        self.state = "ready"
        self.changed = asyncio.Condition()
        self.gone = False
        self.remaining_until = None
        self.hook = None  # called with each request; may return an answer

    def clock(self):
        return int(now_ms() - self.began) + 1000

    def entry(self):
        self.sequence += 1
        entry = {"service": self.service, "addr": "%s:%d" % (self.address, self.port),
                "zone": "leuven-a", "version": "v1", "slots": 8, "state": self.state,
                "cold_left_ms": 0, "capacity": self.capacity, "labels": self.labels,
                "clock_ms": self.clock(), "seq": self.sequence, "born": self.born}
        if self.remaining_until is not None:
            entry["remaining_ms"] = max(0, int(self.remaining_until - now_ms()))
        return entry

    async def start(self):
        self.server = await serve(self.address, self.port, self.handle)
        self.tasks = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.tick())]

    async def beat(self):
        while True:
            if not self.gone:
                await self.bed.store.put("keyed.servers", self.name, json.dumps(self.entry()).encode())
            await asyncio.sleep(1.5)

    async def tick(self):
        while True:
            await asyncio.sleep(0.005)
            if self.clock() >= self.lease and not self.lapsed:
                # The lease lapses also while nothing runs.
                self.lapsed = True
                self.lapses.append(now_ms())
            if self.running and self.lapsed:
                self.bed.record("%s: the lease lapses, %d runs end" % (self.name, len(self.running)))
                for task in list(self.running):
                    self.end(task, "lapsed")
                await self.notify()
                continue
            gangs_changed = self.look_after_gangs()
            done = [task for task, run in self.running.items()
                    if run["gang"] is None and now_ms() >= run["ends_at"]]
            for task in done:
                run = self.running[task]
                self.end(task, "stopped" if run["stopping"] else self.end_of(task, run["run"]))
            if done or gangs_changed:
                await self.notify()

    def end(self, task, how):
        run = self.running.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        number, self.next_end = self.next_end, self.next_end + 1
        # A value is produced with each save_s of work, and at a stop.
        saved = self.saved_value(run, exact=how == "stopped")
        self.ended.append([number, task, run["run"], how, saved])
        self.bed.on_end(self, task, run["run"], how, number, saved)
        gang = run["gang"]
        if gang is not None:
            gang.members.pop(task, None)
            if how not in ("done", "alone"):
                gang.broken = True

    SAVE_MS = 2000

    def saved_value(self, run, exact=False):
        gang = run["gang"]
        if gang is None or gang.began is None:
            return run["checkpoint"]
        worked = gang.base_ms + now_ms() - gang.began
        if not exact:
            worked = gang.base_ms + (worked - gang.base_ms) // self.SAVE_MS * self.SAVE_MS
            if worked == gang.base_ms:
                return run["checkpoint"]
        return "%08x%s" % (int(worked), gang.step[:8])

    def look_after_gangs(self):
        """Members work once all of one run are present; they end together."""
        changed = False
        for task, run in list(self.running.items()):
            gang = run["gang"]
            if gang is None or task not in self.running:
                continue
            if gang.began is None and len(gang.members) == gang.count:
                gang.began = now_ms()
                self.bed.record("gang %s run %d: all %d members are present" %
                                (gang.step, run["run"], gang.count))
            if run["stopping"] and now_ms() >= run["ends_at"]:
                how = "stopped"
            elif gang.broken:
                how = "broken"
            elif gang.began is not None and now_ms() >= gang.began + gang.work_ms - gang.base_ms:
                how = "done"
            elif gang.began is None and now_ms() >= run["began"] + self.GANG_MS:
                how = "alone"
            else:
                continue
            self.end(task, how)
            changed = True
        return changed

    GANG_MS = 3000
    STARTUP_MS = 300

    def at_work(self, run):
        return now_ms() >= run["began"] + self.STARTUP_MS

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def body(self, **fields):
        return dict(fields, clock_ms=self.clock(), born=self.born)

    def extend(self, until):
        if until is not None:
            self.lease = max(self.lease, min(until, self.clock() + self.HOLD_MAX_MS))
            self.lapsed = self.lapsed and self.clock() >= self.lease

    async def handle(self, request):
        if self.hook is not None:
            answer = await self.hook(self, request)
            if answer is not None:
                return answer
        return await self.answer(request)

    async def leave(self, linger_ms):
        """Reports `draining`, and exits with all that runs here after `linger_ms`."""
        self.state = "draining"
        self.remaining_until = now_ms() + linger_ms
        await self.bed.store.put("keyed.servers", self.name, json.dumps(self.entry()).encode())
        self.bed.record("%s is draining" % self.name)
        await asyncio.sleep(linger_ms / 1000)
        for task in self.tasks:
            task.cancel()
        self.server.close()
        self.gone = True
        for run in self.running.values():
            if run["gang"] is not None:
                run["gang"].broken = True
        self.running.clear()
        await self.bed.store.put("keyed.servers", self.name, b"")
        self.bed.record("%s has left" % self.name)

    async def crash(self, down_ms, labels=None, cpu=None):
        """Ends without a word, and starts again under the same id, perhaps as another kind."""
        self.bed.record("%s crashes" % self.name)
        self.gone = True
        for task, run in self.running.items():
            self.bed.ends[(self, task, run["run"])] = ["crashed", now_ms(), None]
            if run["gang"] is not None:
                run["gang"].members.pop(task, None)
                run["gang"].broken = True
        self.running, self.ended, self.highest, self.next_end = {}, [], {}, 1
        self.fence, self.lease, self.lapsed = 0, 0.0, True
        await asyncio.sleep(down_ms / 1000)
        self.labels = list(labels or self.labels)
        self.capacity["cpu"] = cpu or self.capacity["cpu"]
        self.began, self.born, self.sequence = now_ms(), int(time.time() * 1000), 0
        # It reports itself before it answers any call.
        await self.bed.store.put("keyed.servers", self.name, json.dumps(self.entry()).encode())
        self.gone = False
        self.bed.record("%s is back with labels %s and %d thousandths of a core" %
                        (self.name, self.labels, self.capacity["cpu"]))

    async def answer(self, request):
        if self.gone:
            return DROP
        if request.path == "/health":
            return 200, {}
        body = request.json()
        if request.headers.get("expect-instance", self.name) != self.name:
            return 421, self.body()
        if body.get("fence", 0) < self.fence:
            return 409, self.body(reason="fence")
        self.fence = body.get("fence", 0)
        if request.path == "/v1/run-start":
            return await self.run_start(body)
        if request.path == "/v1/run-stop":
            task, run = body["task"], body["run"]
            present = self.running.get(task)
            if present is not None and present["run"] <= run and not present["stopping"]:
                present["stopping"] = True
                self.bed.on_stop(self, task, present, request.held_up)
                present["ends_at"] = min(present["ends_at"], now_ms() + self.STOP_MS)
            if present is None or present["run"] <= run:
                self.highest[task] = max(self.highest.get(task, 0), run)
            return 200, self.body()
        if request.path == "/v1/hold":
            return await self.hold(body)
        if request.path == "/v1/pace":
            return 200, self.body()
        return 404, {}

    async def run_start(self, body):
        task, run = body["task"], body["run"]
        self.extend(body.get("until_ms"))
        if body["until_ms"] <= self.clock():
            return 409, self.body(reason="late")
        present = self.running.get(task)
        if present is not None and present["run"] == run:
            return 200, self.body()
        if run <= self.highest.get(task, 0) or present is not None:
            return 409, self.body(reason="old")
        checkpoint = body.get("checkpoint", "")
        gang = self.bed.gang_of(task, run, checkpoint)
        if gang is not None:
            gang.members[task] = self
        ends_at = now_ms() + self.duration_of(task, run) if gang is None else float("inf")
        self.running[task] = {"run": run, "began": now_ms(), "stopping": False, "ends_at": ends_at,
                              "checkpoint": checkpoint, "gang": gang}
        self.bed.on_start(self, task, run, body["spec"], checkpoint)
        return 200, self.body()

    async def hold(self, body):
        self.extend(body.get("until_ms"))
        cursor = body.get("ack_cursor", 0)
        noted = [row for row in self.ended if row[0] <= cursor]
        if noted:
            self.ended = [row for row in self.ended if row[0] > cursor]
            self.bed.on_noted(self, noted)
        wait_s = min(2000, body.get("wait_ms", 0)) / 1000
        if wait_s > 0 and not self.ended:
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait_for(lambda: self.ended), wait_s)
            except asyncio.TimeoutError:
                pass
        running = []
        for task, run in self.running.items():
            share = (now_ms() - run["began"]) / max(1.0, run["ends_at"] - run["began"])
            if run["gang"] is not None:
                gang = run["gang"]
                share = 0 if gang.began is None else (gang.base_ms + now_ms() - gang.began) / gang.work_ms
            elif run["ends_at"] == float("inf"):  # It lasts, and is at work after a short startup.
                share = self.at_work(run)
            running.append([task, run["run"], self.saved_value(run),
                            min(100, max(0, int(100 * share))), 0])
        return 200, self.body(running=running, ended=self.ended[:500])


# The deployment.


def free_network():
    """Returns an unused 127.a.b prefix and a free block of ports."""
    for _ in range(100):
        prefix = "127.%d.%d" % (random.randint(10, 250), random.randint(1, 250))
        base = random.randrange(20000, 30000, 40)
        try:
            for last in range(1, 8):
                for port in (base, base + 1, base + 2, base + 10, 9464):
                    with socket.socket() as probe:
                        probe.bind(("%s.%d" % (prefix, last), port))
            return prefix, base
        except OSError:
            continue
    raise RuntimeError("no free ports")


SETTINGS = """node = "edge-{zone}-{number}"
role = "node"
class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "vlaanderen"
port_range = [{port10},{port25}]
seeds = ["{prefix}.1:{port2}"]
bootstrap = {bootstrap}
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "rpc"
advice = ""
[zones]
leuven-a = "vlaanderen"
leuven-b = "vlaanderen"
gent-a = "vlaanderen"
[listen]
front = "{ip}:{port0}"
ready = "{ip}:{port1}"
control = "{ip}:{port2}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
stable_window_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_ms = 2000
recover_s = 12
hold_max_ms = 10000
stop_ms = 200
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
notice_ms = 4500
move_s = 1.5
upkeep_s = 2
require_fence = false
lease_ms = 3000
[platform]
addr = "{prefix}.200:{port0}"
form = "log"
writes_per_s = 600
reads_per_s = 2000
parts = 16
append_ms = 3.0
part_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
[cloud]
addr = "{prefix}.201:{port0}"
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
"""

ZONES = ["leuven-a", "leuven-b", "gent-a"]


class Bed:
    """A small deployment: nodes, store, machine service and executors."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.prefix, self.port = free_network()
        self.store = Store(self.record)
        self.executors = []
        self.machines = {}
        self.nodes = {}
        self.starts = []  # (time, executor, task, run, spec)
        self.ends = {}  # (executor, task, run) -> [how, time of the end, time it was noted or None]
        self.work = tempfile.mkdtemp(prefix="endivewood-review-")
        self.gangs = {}  # step (ID.K.STEP) -> {"count", "work_ms"}
        self.gang_runs = {}

    # What the executors see.

    def gang_of(self, task, run, checkpoint):
        """The gang that a subtask belongs to. All members of a run must carry the same checkpoint:
        those that carry different ones don't come together."""
        step = task.rsplit(".", 1)[0]
        if step not in self.gangs:
            return None
        key = (step, run, checkpoint)
        if key not in self.gang_runs:
            self.gang_runs[key] = Gang(step, checkpoint, **self.gangs[step])
        return self.gang_runs[key]

    def on_start(self, executor, task, run, spec, checkpoint=""):
        self.starts.append((now_ms(), executor, task, run, spec))
        self.record("%s: starts %s run %d%s" %
                    (executor.name, task, run, " with checkpoint " + checkpoint if checkpoint else ""))

    def on_stop(self, executor, task, run, held_up):
        self.record("%s: is told to stop %s run %d%s" %
                    (executor.name, task, run["run"], ", held up" if held_up else ""))

    def on_end(self, executor, task, run, how, number, saved=""):
        self.ends[(executor, task, run)] = [how, now_ms(), None]
        self.record("%s: end %d of %s run %d: %s%s" %
                    (executor.name, number, task, run, how, " saved " + saved if saved else ""))

    def on_noted(self, executor, rows):
        for row in rows:
            self.ends[(executor, row[1], row[2])][2] = now_ms()
        self.record("%s: ends up to %d are taken note of" % (executor.name, rows[-1][0]))

    def twice(self):
        """Starts after an end `done` that was taken note of, and runs beside each other.

        An end that was noted only after a lapse of its executor's lease doesn't count."""
        broken = []
        by_task = collections.defaultdict(list)
        for began, executor, task, run, _ in self.starts:
            how, ended, noted = self.ends.get((executor, task, run), [None, None, None])
            by_task[task].append((began, executor, run, how, ended, noted))
        for task, runs in by_task.items():
            for began, executor, run, how, ended, noted in runs:
                for other in runs:
                    if other[2] == run and other[1] is executor:
                        continue
                    if how == "done" and noted is not None and other[0] > ended:
                        lapsed = any(ended <= at <= noted for at in executor.lapses)
                        if not lapsed:
                            broken.append(
                                "%s: run %d ended done on %s at %.1f, taken note of at %.1f; "
                                "run %d began on %s at %.1f" %
                                (task, run, executor.name, ended, noted, other[2], other[1].name, other[0]))
                    if other[0] >= began and (ended is None or other[0] < ended):
                        broken.append("%s: run %d on %s began at %.1f beside run %d on %s" %
                                      (task, other[2], other[1].name, other[0], run, executor.name))
        return broken

    # The platform.

    async def start_platform(self):
        self.servers = [await serve(self.prefix + ".200", self.port, self.store.handle),
                        await serve(self.prefix + ".201", self.port, self.cloud)]

    async def cloud(self, request):
        if request.path != "/v1/machines":
            return 409, {"reason": "busy"}
        machines = [{"machine": "m-" + each.name, "pool": each.service, "state": "up", "zone": "leuven-a",
                     "labels": each.labels, "capacity": each.capacity, "id": each.name}
                    for each in self.executors]
        return 200, {"machines": machines, "next_token": None}

    async def add_executor(self, name, service, **options):
        number = len(self.executors) + 20
        executor = Executor(self, name, service, "%s.%d" % (self.prefix, number), self.port, **options)
        self.executors.append(executor)
        await executor.start()
        return executor

    async def configure(self, version, routes, services):
        config = {
            "version": version,
            "routes": [dict({"kind": "non_idempotent", "timeout_ms": 3000, "slo_ms": 2500, "prio": 0,
                             "attempts": 4, "stretch": 2.0, "host": "jobs.example"}, **route)
                       for route in routes],
            "services": [{"name": name, "health_path": "/health", "max_conns": 64, "protocol": "h1",
                          "tls": False, "admission_check": False, "spare": spare}
                         for name, spare in services],
            "limits": {"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_ms": 15000}}
        await self.store.put("keyed.op", "config", json.dumps(config).encode())
        self.record("operator: configuration %d" % version)

    # Nodes.

    def node_ip(self, number):
        return "%s.%d" % (self.prefix, number)

    async def start_node(self, number, bootstrap=True):
        settings = os.path.join(self.work, "node-%d.toml" % number)
        ports = {"port%d" % offset: self.port + offset for offset in (0, 1, 2, 10, 25)}
        with open(settings, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(ip=self.node_ip(number), prefix=self.prefix, number=number,
                                       zone=ZONES[(number - 1) % len(ZONES)],
                                       bootstrap=str(bootstrap).lower(), **ports))
        log = open(os.path.join(self.work, "node-%d.log" % number), "ab")
        # The command of deploy/system.toml.
        process = await asyncio.create_subprocess_exec(
            "target/bin/endivewood-node", "--operators-port", "9464", cwd=ROOT, stdout=log, stderr=log,
            env={"ENDIVEWOOD_SETTINGS": settings, "PATH": os.environ.get("PATH", "")})
        log.close()
        self.nodes[number] = process
        self.record("node %d starts, process %d" % (number, process.pid))

    def signal_node(self, number, which):
        self.record("node %d gets %s" % (number, which.name))
        self.nodes[number].send_signal(which)

    async def wait_ready(self, numbers, timeout_s=20):
        end = time.monotonic() + timeout_s
        for number in numbers:
            while True:
                answer = await call(self.node_ip(number), self.port + 1, "GET", "/v1/ready", timeout_s=1)
                if answer is not None and answer[0] == 200:
                    break
                if time.monotonic() > end:
                    raise RuntimeError("node %d isn't ready" % number)
                await asyncio.sleep(0.1)

    def holder_of_key(self, key):
        """The node that holds the partition in which a key of the job store lies."""
        for (topic, part), partition in self.store.partitions.items():
            if topic == "keyed.jobs" and key in partition.newest:
                owner = self.store.groups["schedulers"].owner.get(part)
                if owner is None:
                    return None
                address = owner.split("/")[0].split(":")[0]
                return next(n for n in self.nodes if self.node_ip(n) == address)
        return None

    # Clients.

    async def request(self, node, method, path, body=None, deadline_ms=3000):
        headers = {"Host": "jobs.example", "Deadline-Ms": str(deadline_ms)}
        answer = await call(self.node_ip(node), self.port, method, path, body, headers,
                            timeout_s=deadline_ms / 1000)
        status = answer[0] if answer else None
        text = answer[1].decode("utf-8", "replace") if answer else "no answer"
        self.record("client: %s %s at node %d: %s %s" % (method, path, node, status, text[:200]))
        return status, text

    async def submit(self, nodes, path, body, tries=30):
        """Hands a job in as a client does: the same ID again, at another node, until it has an answer."""
        for attempt in range(tries):
            status, _ = await self.request(nodes[attempt % len(nodes)], "POST", path, body)
            if status is not None and 200 <= status < 300:
                return True
            await asyncio.sleep(0.3)
        return False

    async def stop(self):
        for process in self.nodes.values():
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in self.nodes.values():
            await process.wait()
        self.record.close()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.work, ignore_errors=True)
        else:
            print("logs in " + self.work)


def run_case(folder, play, limit_s=110):
    """Runs `play(bed, trouble)`, which returns the breaches; exits as the issue says."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2

    async def main():
        bed = Bed(folder)
        try:
            await bed.start_platform()
            broken = await asyncio.wait_for(play(bed, trouble), limit_s)
            for line in broken[:20]:
                bed.record("BROKEN " + line)
            bed.record("%d breaches" % len(broken))
            print("%d breaches%s" % (len(broken), ": " + broken[0] if broken else ""))
            return 1 if broken else 0
        finally:
            await bed.stop()

    try:
        code = asyncio.run(main())
    except Exception as error:  # The case couldn't run.
        print("couldn't run: %r" % error)
        with open(os.path.join(folder, "record.txt"), "a", encoding="utf-8") as file:
            file.write("couldn't run: %r\n" % error)
    raise SystemExit(code)
