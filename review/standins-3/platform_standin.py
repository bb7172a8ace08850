"""Stand-ins for the platform: the metadata store (a log) and the machine service."""
import asyncio
import base64
import random
import struct
import time

from wire import Server


def now():
    return time.monotonic()


class Partition:
    """One partition of a topic, with its producers."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.grown = asyncio.Event()

    def add(self, records, keyed):
        offset = len(self.records)
        for record in records:
            if keyed and record:
                size = record[0]
                key, value = record[1:1 + size].decode("utf-8", "replace"), record[1 + size:]
                if value:
                    self.newest[key] = (value, len(self.records))
                else:
                    self.newest.pop(key, None)
            self.records.append(record)
        grown, self.grown = self.grown, asyncio.Event()
        grown.set()
        return {"offset": offset, "end": len(self.records)}


class Group:
    """Members of a group and the partitions that each holds."""

    def __init__(self, partitions):
        self.partitions = partitions
        self.generation = 0
        self.members = {}  # name -> (time of the last join, ttl in seconds)
        self.wanted = {}
        self.held = {}

    def rebalance(self):
        self.generation += 1
        names = sorted(self.members)
        kept = {}
        if names:
            most = -(-self.partitions // len(names))
            load = {name: 0 for name in names}
            for part in range(self.partitions):
                owner = self.wanted.get(part)
                if owner in load and load[owner] < most:
                    kept[part] = owner
                    load[owner] += 1
            for part in range(self.partitions):
                if part not in kept:
                    owner = min(names, key=lambda name: (load[name], random.random()))
                    kept[part] = owner
                    load[owner] += 1
        self.wanted = kept

    def reassign_all(self):
        """All partitions go to other members at once, without any request."""
        names = sorted(self.members)
        if len(names) < 2:
            return
        self.generation += 1
        for part in range(self.partitions):
            before = self.held.get(part)
            others = [name for name in names if name != before]
            self.wanted[part] = self.held[part] = others[part % len(others)]

    def expire(self):
        late = [name for name, (at, ttl) in self.members.items() if at + ttl < now()]
        for name in late:
            self.remove(name)

    def remove(self, name):
        if self.members.pop(name, None) is None:
            return
        self.held = {part: owner for part, owner in self.held.items() if owner != name}
        self.rebalance()

    def join(self, name, ttl, generation):
        if name not in self.members:
            self.members[name] = (now(), ttl)
            self.rebalance()
        self.members[name] = (now(), ttl)
        for part, owner in list(self.held.items()):
            if owner == name and self.wanted.get(part) != name and generation >= self.generation:
                del self.held[part]
        for part, owner in self.wanted.items():
            if owner == name and part not in self.held:
                self.held[part] = name
        return sorted(part for part, owner in self.held.items()
                      if owner == name and self.wanted.get(part) == name)


class Store:
    def __init__(self, record, partitions=16):
        self.record = record
        self.partitions = partitions
        self.parts = {}
        self.groups = {}
        self.lost = 0.0  # Share of the calls that are carried out and not answered.
        self.server = Server(self.handle)

    def part(self, topic, number):
        return self.parts.setdefault((topic, int(number)), Partition())

    def put(self, topic, key, value):
        """Writes a record of the operator or of an executor."""
        content = bytes([len(key)]) + key.encode() + value
        self.part(topic, 0).add([content], True)

    def drop(self, topic, key):
        self.put(topic, key, b"")

    async def handle(self, request):
        answer = await self.carry_out(request)
        if random.random() < self.lost:
            raise ConnectionError
        return answer

    async def carry_out(self, request):
        name = request.path.rsplit("/", 1)[-1]
        await asyncio.sleep(0.003)
        if name == "log-append":
            return self.append(request)
        if name == "log-read":
            return await self.read(request)
        if name == "log-newest":
            return self.newest(request)
        if name in ("log-join", "log-leave", "log-owners"):
            return self.group_call(name, request)
        return 400, {}

    def append(self, request):
        topic, part = request.query["topic"], request.query["part"]
        if topic in ("keyed.op", "keyed.servers"):
            return 403, {}
        records, at = [], 0
        while at + 4 <= len(request.body):
            size = struct.unpack_from(">I", request.body, at)[0]
            if size > 262144:
                return 400, {}
            records.append(request.body[at + 4:at + 4 + size])
            at += 4 + size
        partition = self.part(topic, part)
        producer = request.query.get("producer")
        if not producer:
            return 200, partition.add(records, topic.startswith("keyed."))
        epoch = int(request.query["epoch"])
        state = partition.producers.setdefault(producer, {"epoch": -1, "last": None, "done": {}})
        if epoch < state["epoch"]:
            return 409, {"reason": "fenced"}
        if epoch > state["epoch"]:
            state.update(epoch=epoch, last=None, done={})
        if not records:
            return 200, {"offset": len(partition.records), "end": len(partition.records)}
        sequence = int(request.query["seq"])
        if sequence in state["done"]:
            return 200, state["done"][sequence]
        if state["last"] is not None and sequence != state["last"] + 1:
            return 409, {"reason": "seq", "seq": state["last"] + 1}
        answer = partition.add(records, topic.startswith("keyed."))
        state["last"] = sequence
        state["done"][sequence] = answer
        state["done"] = dict(list(state["done"].items())[-5:])
        return 200, answer

    async def read(self, request):
        partition = self.part(request.query["topic"], request.query["part"])
        start = int(request.query["from"])
        until = now() + int(request.query.get("wait_ms", "0")) / 1000
        while start >= len(partition.records) and now() < until:
            try:
                await asyncio.wait_for(partition.grown.wait(), until - now())
            except asyncio.TimeoutError:
                break
        body = struct.pack(">QQ", len(partition.records), 0)
        for record in partition.records[start:]:
            if len(body) > 1 << 20:
                break
            body += struct.pack(">I", len(record)) + record
        return 200, body

    def newest(self, request):
        partition = self.part(request.query["topic"], request.query["part"])
        after = request.query.get("depends")
        keys = sorted(key for key in partition.newest if after is None or key > after)
        items = [{"key": key, "value": base64.b64encode(partition.newest[key][0]).decode(),
                  "offset": partition.newest[key][1]} for key in keys[:500]]
        return 200, {"items": items, "has_more": len(keys) > 500, "end": len(partition.records)}

    def group_call(self, name, request):
        body = request.query if name == "log-owners" else request.json()
        group = self.groups.setdefault(body["group"], Group(self.partitions))
        group.expire()
        if name == "log-owners":
            return 200, {"parts": [["keyed.jobs", part, owner, 0]
                                   for part, owner in sorted(group.held.items())]}
        if name == "log-leave":
            group.remove(body["member"])
            return 200, {}
        held = group.join(body["member"], body["ttl_ms"] / 1000, body["generation"])
        return 200, {"generation": group.generation,
                     "parts": [[body["topics"][0], part, 0] for part in held]}


class Machines:
    """The machine service. `machines` maps a name to its entry; `on_order` is called with
    (order, machine, pool or wave, holder, token) before the answer is sent."""

    def __init__(self, record, move_s=1.5, upkeep_s=2.0):
        self.record = record
        self.move_s = move_s
        self.upkeep_s = upkeep_s
        self.machines = {}
        self.orders = []
        self.on_order = None
        self.restart = None  # coroutine(machine, pool): starts the next executor of a machine
        self.stop = None     # function(machine): ends its executor at once
        self.server = Server(self.handle)
        self.done = set()

    async def handle(self, request):
        await asyncio.sleep(0.003)
        if request.path == "/v1/machines":
            return 200, {"machines": list(self.machines.values()), "next_token": ""}
        body = request.json()
        machine = self.machines.get(body.get("machine"))
        if machine is None:
            return 400, {}
        upkeep = request.path == "/v1/machine-upkeep"
        target = body["wave"] if upkeep else body["pool"]
        order = {"at": now(), "kind": "upkeep" if upkeep else "move", "machine": body["machine"],
                 "target": target, "holder": request.headers.get("lease-holder"),
                 "token": int(request.headers.get("fencing-token", "0"))}
        repeated = (body["machine"], target) in self.done if upkeep else machine["pool"] == target
        busy = machine["state"] != "up"
        order["answer"] = 200 if repeated else 409 if busy else 200
        self.orders.append(order)
        self.record("order", **{key: value for key, value in order.items() if key != "at"})
        if not repeated and not busy:
            machine["state"] = "upkeep" if upkeep else "moving"
            machine["pool"] = machine["pool"] if upkeep else target
            if upkeep:
                self.done.add((body["machine"], target))
            self.stop(body["machine"])
            machine["id"] = ""
            asyncio.ensure_future(self._finish(machine, self.upkeep_s if upkeep else self.move_s))
        if self.on_order is not None:
            self.on_order(order)
        return (409, {"reason": "busy"}) if busy and not repeated else (200, {})

    async def _finish(self, machine, delay):
        await asyncio.sleep(delay)
        await self.restart(machine)
        machine["state"] = "up"
