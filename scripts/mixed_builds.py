"""Runs two builds of the programs against each other's data and beside each other.

1. The processes of one build write records, a snapshot, claims and accepted long work, and stop. The
   log service drops the records before the snapshot. The processes of the other build start on what
   is left and must show the same fleet, return the recorded result of a repeated request, and finish
   the long work. Then the same with the builds exchanged.
2. The demonstration runs with the two builds alternating over the entries, planners and upstreams.

Guards against a change that a rename or an edit made to stored records, to messages between
processes, or to settings. Exits 0 only if every check passed.
"""

import argparse
import glob
import json
import os
import re
import sys
import time
import uuid

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from demo import SPEC, Demo, step  # noqa: E402
from deployment import Deployment, http  # noqa: E402

SWITCH_LIMIT = 400  # A snapshot is due after 256 records.
RESULT_LIMIT_S = 60


class MixedDeployment(Deployment):
    """A deployment in which each process may run another build."""

    def __init__(self, out, builds):
        super().__init__(SPEC, out, builds[0])
        self.builds = builds
        self.offset = 0  # Exchanges the builds when odd.

    def start(self, name, program, *arguments):
        number = re.search(r"(\d+)$", name)
        parity = int(number.group(1)) if number else 0
        self.binaries = self.builds[(parity + self.offset) % len(self.builds)]
        super().start(name, program, *arguments)

    def stop_members(self):
        """Stops entries and planners gracefully and leaves the rest running."""
        others = {name: process for name, process in self.processes.items()
                  if not name.startswith(("entry", "planner"))}
        members = {name: process for name, process in self.processes.items()
                   if name not in others}
        self.processes = members
        killed = self.stop_all()
        self.processes = others
        return killed

    def start_members(self):
        for member in self.entries:
            self.start_member("endivewood-entry", member)
        for member in self.planners:
            self.start_member("endivewood-planner", member)
        for member in self.entries + self.planners:
            self.await_listener(member["control"])


class Check(Demo):
    """The checks of this script, counted as the demonstration counts its own."""

    def fleet(self):
        """Returns what an entry knows of the fleet, once it knows anything."""
        end = time.monotonic() + 20
        while time.monotonic() < end:
            _, _, body = http("GET", self.deployment.entries[0]["control"], "/dump")
            dump = json.loads(body)
            if dump.get("instances"):
                return {key: dump.get(key) for key in ("config_version", "preset_version", "preset",
                                                       "instances", "wave")}
            time.sleep(0.1)
        return None

    def send(self, method, path, body=None, headers=None):
        caller = self.deployment.entries[0]["callers"]
        return http(method, caller, path, body, {"Caller-Token": "mixed", **(headers or {})})

    def charge(self, key, body):
        return self.send("POST", "/v1/services/charge", body, {"Idempotency-Key": key})

    def find_in_logs(self, pattern):
        for path in glob.glob(os.path.join(self.deployment.out, "entry-*.log")):
            with open(path, encoding="utf-8", errors="replace") as log:
                found = re.search(pattern, log.read())
            if found:
                return found
        return None

    def await_snapshot(self):
        """Writes records until a snapshot has been appended; returns its offset."""
        presets = ("peak", "ordinary")
        for number in range(SWITCH_LIMIT):
            self.operate("switch", presets[number % 2])
            found = self.find_in_logs(r"snapshot-taken .*offset=(\d+)")
            if found:
                return int(found.group(1))
        return None

    def write(self):
        """Leaves records of every kind; returns what a reader must find."""
        self.operate("publish", self.deployment.path("fleet.yaml"), "--wait")
        self.operate("switch", "ordinary", "--wait")
        key = f"{int(time.time())}-{uuid.uuid4().hex}"
        status, headers, body = self.charge(key, "5 once")
        self.check(status == 200, f"charge answered {status} {headers}")
        offset = self.await_snapshot()
        self.check(offset is not None, "no snapshot was appended")
        self.operate("switch", "ordinary", "--wait")
        time.sleep(2)
        status, headers, _ = self.send("POST", "/v1/services/render", "4000 later")
        self.check(status == 202, f"render answered {status}")
        return {"key": key, "body": body, "offset": offset, "result": headers.get("Location"),
                "fleet": self.fleet()}

    def read(self, written):
        """Checks what the other build makes of it."""
        fleet = self.fleet()
        self.check(self.find_in_logs("snapshot-restored ") is not None, "no snapshot was restored")
        self.check(fleet is not None and fleet["config_version"] ==
                   written["fleet"]["config_version"], "another configuration version")
        names = [sorted((one["name"], one["pool"]) for one in state["instances"])
                 for state in (fleet, written["fleet"])]
        self.check(names[0] == names[1], f"another fleet: {names}")
        status, headers, body = self.charge(written["key"], "5 once")
        self.check((status, body) == (200, written["body"]),
                   f"the repeated charge answered {status} {body!r} {headers}")
        end = time.monotonic() + RESULT_LIMIT_S
        status = None
        while time.monotonic() < end and status != 200:
            status, _, body = self.send("GET", written["result"])
            time.sleep(0.2)
        self.check((status, body) == (200, "done later"), f"long work: {status} {body!r}")


def read_what_the_other_wrote(out, writer, reader, names):
    step(f"{names[1]} reads what {names[0]} wrote")
    deployment = MixedDeployment(out, [writer])
    deployment.write_files()
    check = Check(deployment, None)
    try:
        deployment.start_all()
        written = check.write()
        killed = deployment.stop_members()
        http("POST", deployment.platform, f"/faults?stream=fleet&expire_below={written['offset']}",
             body="")
        deployment.builds = [reader]
        deployment.start_members()
        check.read(written)
    finally:
        killed += deployment.stop_all()
    check.check(not killed, "killed after the time limit: " + ", ".join(killed))
    return check.failures


def run_beside_each_other(out, builds, offset):
    step(f"both builds in one deployment, order {offset}")
    deployment = MixedDeployment(out, builds)
    deployment.offset = offset
    deployment.write_files()
    demo = Demo(deployment, None)
    try:
        deployment.start_all()
        demo.run()
    finally:
        killed = deployment.stop_all()
    demo.check(not killed, "killed after the time limit: " + ", ".join(killed))
    return demo.failures


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--old", required=True, help="folder of the programs of the old build")
    parser.add_argument("--new", default="build/bin", help="folder of the programs of the new one")
    parser.add_argument("--out", default="build/mixed")
    options = parser.parse_args()
    old, new = options.old, options.new
    failures = []
    for name, writer, reader, names in (("old-new", old, new, ("the old build", "the new build")),
                                        ("new-old", new, old, ("the new build", "the old build"))):
        failures += read_what_the_other_wrote(os.path.join(options.out, name), writer, reader, names)
    for offset in range(2):
        failures += run_beside_each_other(os.path.join(options.out, f"both-{offset}"), [old, new],
                                          offset)
    print("mixed builds " + ("failed: " + "; ".join(failures) if failures else "passed"))
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
