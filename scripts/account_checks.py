"""Client accounts in the run of real processes: the operator who changes them, the callers who use and
misuse keys, and the checks of what they get and of what runs for an account.

What is allowed depends on the versions of the configuration that may be in force: a version is from
the beginning of its write until CONFIG_MS after the store has acknowledged the next one, by instances
that are in touch. The store and an instance are in touch when they have been undisturbed for WINDOW_MS.
"""
import asyncio
import collections
import json
import random

from platform_bed import now_ms

CONFIG_MS = 2000  # bounds.config_ms of the nodes' settings
WINDOW_MS = 3000  # bounds.stable_window_ms
QUOTA_BURST = 0.1
LONGEST_TASK_CPU = 1200
PUBLIC = "open"  # Prefix of a route that needs no key.
UNKNOWN_KEY = "key-of-nobody"
RAN = (200, 410)  # Answers of a call that was made.


class Disturbances:
    """When the store, the nodes and this process were disturbed."""

    def __init__(self):
        self.spans = collections.defaultdict(list)  # subject -> [began, ended or None]

    def begin(self, subject):
        self.spans[subject].append([now_ms(), None])

    def end(self, subject):
        for span in self.spans[subject]:
            span[1] = span[1] or now_ms()

    def during(self, start, end, subjects=None):
        """The disturbances in a span of time, as pairs of begin and end."""
        return [(began, ended or end) for subject, spans in self.spans.items()
                for began, ended in spans if began <= end and (ended is None or ended >= start) and
                (subjects is None or subject in subjects)]

    def in_touch(self, node, start, end):
        return not self.during(start - WINDOW_MS, end, ("store", "run", node))

    def oldest_in_force(self, at):
        """The time from which versions may be in force at a node that was disturbed before `at`."""
        start = at - CONFIG_MS
        for _ in range(20):
            spans = self.during(start - WINDOW_MS, at)
            earlier = min([start] + [began - CONFIG_MS for began, _ in spans])
            if earlier == start:
                break
            start = earlier
        return start


class Versions:
    """The configurations that the operator has written: keys and limits of each account."""

    def __init__(self):
        self.written = []  # dicts: began, acked, keys (key -> account), limits (account -> (cpu, mem_mb))

    def in_force(self, start, end):
        """The versions of which at least one may be in force at each moment from `start` to `end`."""
        found = []
        for number, version in enumerate(self.written):
            later = self.written[number + 1:]
            superseded = min((each["acked"] for each in later if each["acked"]), default=None)
            if version["began"] <= end and (superseded is None or superseded >= start):
                found.append(version)
        return found

    def lists(self, key, start, end):
        """Whether all (True), none (False) or some (None) of the versions list a key."""
        listed = {key in version["keys"] for version in self.in_force(start, end)}
        return listed.pop() if len(listed) == 1 else None

    def always_listed(self, key, end):
        """Whether a key was listed by all versions since the one that added it."""
        listed = [key in version["keys"] for version in self.written if version["began"] <= end]
        return True in listed and all(listed[listed.index(True):])


class Accounts:
    """The accounts of one run. All choices are of the seed."""

    def __init__(self, bed, strict):
        self.bed, self.strict = bed, strict
        self.chance = random.Random("%s accounts" % bed.seed)
        self.disturbed, self.versions = bed.disturbed, Versions()
        self.number, self.next_key = 7, 1
        self.jobs = {}  # job -> {"account", "cpu", "mem_mb"}
        self.refused = set()  # Jobs of which all submissions were refused.
        self.withdrawn = []  # Keys that were listed once.
        self.counts, self.above = collections.Counter(), collections.Counter()
        self.accounts = {}
        for number in range(self.chance.randint(3, 5)):
            # Two of them are limited to less than they use at times; room for three tasks at least.
            cpu = self.chance.choice([0, 4000, 6000, 9000]) if number > 1 else self.chance.choice([4000, 5000])
            self.accounts["account-%d" % number] = {
                "keys": [self.new_key() for _ in range(self.chance.randint(2, 3))],
                "weight": self.chance.randint(1, 9),
                "limit": (cpu, self.chance.choice([0, cpu // 2]) if cpu else 0)}

    def new_key(self):
        self.next_key += 1
        return "key-%d-%08x" % (self.next_key, self.chance.getrandbits(32))

    # The operator.

    async def write(self, routes, services):
        """Writes the next version, again until the store acknowledges it."""
        version = {"began": now_ms(), "acked": None,
                   "keys": {key: name for name, each in self.accounts.items() for key in each["keys"]},
                   "limits": {name: each["limit"] for name, each in self.accounts.items()}}
        self.number += self.chance.choice([1, 1, 2, 7])
        self.versions.written.append(version)
        tenants = [{"name": name, "api_keys": each["keys"], "weight": each["weight"],
                    "max_count": {"cpu": each["limit"][0], "mem_mb": each["limit"][1], "gpu": 0}}
                   for name, each in self.accounts.items()]
        while not await self.bed.configure(self.number, routes, services, tenants):
            await asyncio.sleep(0.05)
        version["acked"] = now_ms()
        self.bed.record("operator: accounts of %d: %s" % (self.number, json.dumps(tenants)))

    async def operate(self, until, routes, services):
        """Changes keys and limits, at times twice in quick succession, the second taking back the first."""
        while True:
            await asyncio.sleep(self.chance.uniform(0.5, 3.5))
            if now_ms() > until:
                break
            name = self.chance.choice(sorted(self.accounts))
            before = self.accounts[name]
            change = self.chance.choice(["add", "withdraw", "withdraw", "lower", "raise"])
            back = self.chance.random() < 0.25
            self.accounts[name] = self.changed(before, change)
            if self.accounts[name] == before:
                continue
            self.bed.faults[change + (" and back" if back else "")] += 1
            await self.write(routes, services)
            if back:
                await asyncio.sleep(self.chance.uniform(0.01, 0.6))
                self.accounts[name] = before
                await self.write(routes, services)
        for each in self.accounts.values():  # What waits has to end in time.
            each["limit"] = tuple(10 * value for value in each["limit"])
        await self.write(routes, services)

    def changed(self, account, change):
        keys, (cpu, mem_mb) = list(account["keys"]), account["limit"]
        if change == "add" and len(keys) < 4:
            keys.append(self.new_key())
        elif change == "withdraw" and len(keys) > 1:
            self.withdrawn.append(keys.pop(self.chance.randrange(len(keys))))
        elif change in ("lower", "raise"):
            factor = self.chance.choice([0.5, 0.7] if change == "lower" else [1.5, 2])
            cpu = max(3 * LONGEST_TASK_CPU, min(20000, int(cpu * factor))) if cpu else 0
        return dict(account, keys=keys, limit=(cpu, mem_mb))

    # The callers.

    def key_of(self, account):
        """A key of an account; None for the account of nobody."""
        return account and self.chance.choice(self.accounts[account]["keys"])

    def some_key(self):
        """A key to ask with, mostly a valid one; None for none."""
        kind = self.chance.random()
        if kind < 0.15:
            return UNKNOWN_KEY
        if kind < 0.2:
            return None
        if kind < 0.5 and self.withdrawn:
            return self.chance.choice(self.withdrawn[-4:])
        return self.key_of(self.chance.choice(sorted(self.accounts)))

    async def hand_in(self, order, path, body):
        """Hands a job in as its account, or with a key that must not count. Returns whether it was accepted."""
        job, account = body["spec"], self.chance.choice(sorted(self.accounts))
        step = body["steps"][0]
        self.jobs[job] = {"account": account, "cpu": step["cpu"], "mem_mb": step["mem_mb"]}
        fault = self.chance.random()
        key = self.key_of(account)
        if fault < 0.08:
            key = UNKNOWN_KEY if fault < 0.04 or not self.withdrawn else self.withdrawn[-1]
        self.jobs[job]["account"] = next((version["keys"][key] for version in reversed(self.versions.written)
                                          if key in version["keys"]), None)
        surely_refused = True
        for attempt in range(30):
            status, _ = await self.ask(order[attempt % len(order)], "POST", path, key, body)
            if status is not None and 200 <= status < 300:
                return True
            surely_refused = surely_refused and status in (401, 403, 404, 429, 503)
            if status == 401:
                break
            await asyncio.sleep(0.3)
        if surely_refused:
            self.refused.add(job)
            if any(start[2].startswith(job) for start in self.bed.starts):
                self.bed.breach("%s has started, and all its submissions were refused" % job)
        return False

    async def ask(self, node, method, path, key, body=None):
        """One request, and the check of its answer."""
        sent = now_ms()
        status, text = await self.bed.request(node, method, path, body, key=key)
        self.counts["%s %s" % ("no key" if key is None else "key", status)] += 1
        self.check_answer(node, method, path, key, status, sent, now_ms())
        return status, text

    async def ask_as_owner(self, node, method, path):
        return await self.ask(node, method, path, self.key_of(self.jobs[path.rsplit("/", 1)[-1]]["account"]))

    async def probe(self, until, services, nodes):
        """Asks for counts and jobs, with keys of all kinds."""
        while now_ms() < until:
            await asyncio.sleep(self.chance.uniform(0.02, 0.12))
            service, node, key = self.chance.choice(services), self.chance.choice(nodes), self.some_key()
            path, method = "/%s/" % self.chance.choice([service, service, PUBLIC]), "GET"
            if self.bed.accepted and self.chance.random() < 0.4:
                path = self.chance.choice(self.bed.accepted[-50:])
                # A DELETE must not count, so it is never sent with a key of the job's account.
                owner = self.jobs[path.rsplit("/", 1)[-1]]["account"]
                if self.chance.random() < 0.3 and not self.might_be_of(key, owner):
                    method = "DELETE"
                if self.chance.random() < 0.2:  # All jobs are of another route.
                    path = "/%s/%s" % (PUBLIC, path.rsplit("/", 1)[-1])
            asyncio.ensure_future(self.ask(node, method, path, key))

    def might_be_of(self, key, account):
        return any(version["keys"].get(key) == account for version in self.versions.written)

    # The checks.

    def check_answer(self, node, method, path, key, status, sent, now):
        job = self.jobs.get(path.rsplit("/", 1)[-1])
        what = "%s %s with %s at node %d, sent at %.1f: %s" % (method, path, key, node, sent, status)
        touch = self.disturbed.in_touch(node, sent, now)
        if self.versions.lists(key, sent - CONFIG_MS, now) is False and key in self.withdrawn:
            self.counts["withdrawn key, %s" % ("in touch" if touch else "disturbed")] += 1
        ever = [version["keys"][key] for version in self.versions.written if key in version["keys"]]
        if path.startswith("/%s/" % PUBLIC):
            if (job is not None and status == 200) or status in (401, 404) or (job is None and status == 403):
                self.bed.breach("public route: " + what)
        elif status in RAN and not ever:
            self.bed.breach("a key that no configuration ever held: " + what)
        elif status in RAN and (touch or self.strict) and self.versions.lists(key, sent - CONFIG_MS, now) is False:
            self.bed.breach("a withdrawn key is accepted: " + what)
        elif status == 200 and job is not None and method != "POST" and job["account"] not in ever:
            self.bed.breach("a job of %s is answered for another account: %s" % (job["account"], what))
        elif status == 401 and self.versions.lists(key, sent, now) and (
                self.versions.always_listed(key, now) or
                (not self.disturbed.during(sent - WINDOW_MS, now) and
                 self.versions.lists(key, sent - CONFIG_MS, now))):
            self.bed.breach("a valid key is refused: " + what)
        elif status == 403 and (job is None or job["account"] in ever):
            self.bed.breach("a caller is refused a job of its own account: " + what)
        elif status == 404:
            self.bed.breach("a route that exists is unknown: " + what)

    def check_start(self, task, request):
        """Call after a task has been started. `request` is the order."""
        job = task.split(".")[0]
        if job in self.refused:
            self.bed.breach("%s starts, and all submissions of its job were refused" % task)
        account = self.jobs[job]["account"]
        if account is None:
            self.bed.breach("%s starts, and its key is nobody's" % task)
            return
        running = [self.jobs[other.split(".")[0]] for executor in self.bed.executors for other in executor.running]
        start = self.disturbed.oldest_in_force(request.sent_at)
        limits = [version["limits"][account] for version in self.versions.in_force(start, now_ms())]
        for resource, values in (("cpu", [each[0] for each in limits]), ("mem_mb", [each[1] for each in limits])):
            if 0 in values:
                continue
            total = sum(each[resource] for each in running if each["account"] == account)
            most = max(values) * (1 + QUOTA_BURST) + self.jobs[job][resource]
            if total > most:
                self.above[account] += 1
                self.bed.breach("start of %s above a limit: %d %s run for %s, limit %d, order sent %d ms ago" % (
                    task, total, resource, account, max(values), now_ms() - request.sent_at))

    def summary(self):
        return "%d versions, answers %s, starts above a limit %s" % (
            len(self.versions.written), dict(sorted(self.counts.items())), dict(self.above))
