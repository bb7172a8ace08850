"""Runs a small deployment of three data centres on loopback and shows it at work.

Exits 0 only if every answer was right, every operator command succeeded and every process stopped
by itself.
"""

import argparse
import json
import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from deployment import Deployment, http  # noqa: E402

SPEC = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "examples", "00-hello",
                    "deployment.json")
KILL_AFTER_S = 4
LOAD = {
    "seed": 20261204,
    "duration_s": 12,
    "connections": 96,
    "peaks": {"period_s": 3, "peak_percent": 500, "idle_percent": 5},
    "services": [
        {"name": "analysis", "kind": "short", "rate_per_s": 40, "work_ms": 10},
        {"name": "charge", "kind": "non_idempotent", "rate_per_s": 15, "work_ms": 10},
        {"name": "render", "kind": "long", "rate_per_s": 3, "work_ms": 600},
    ],
}


def step(text):
    print(f"\n== {text}", flush=True)


class Demo:
    """The steps of the demonstration and the failures they met."""

    def __init__(self, deployment, kill):
        self.deployment = deployment
        self.kill = kill
        self.failures = []

    def check(self, condition, text):
        if not condition:
            self.failures.append(text)
            print(f"FAILED: {text}", flush=True)

    def operate(self, *words):
        self.check(self.deployment.operate(*words) == 0, "endivewood " + " ".join(words))

    def run(self):
        step("an operator publishes the configuration and puts a preset in force")
        self.operate("publish", self.deployment.path("fleet.yaml"), "--wait")
        self.operate("switch", "ordinary", "--wait")
        self.send_one_request()
        step("callers send short, long and non-idempotent requests; each service peaks in turn")
        load = self.deployment.run_load(self.deployment.write_load("load.yaml", LOAD))
        if self.kill:
            step(f"kill -9 of {self.kill} under load")
            time.sleep(KILL_AFTER_S)
            self.deployment.processes.pop(self.kill).kill()
            self.check(load.wait(timeout=240) == 0, "endivewood-load found violations")
            return
        step("meanwhile the operator switches the preset and starts a maintenance wave")
        self.operate("switch", "peak", "--wait")
        self.await_pool("analysis", 8)
        self.operate("wave", "start", "autumn", "analysis", "--wait")
        self.await_wave()
        step("load run finishes")
        self.check(load.wait(timeout=240) == 0, "endivewood-load found violations")
        step("state of the fleet")
        self.operate("status")
        self.print_metrics()

    def send_one_request(self):
        caller = self.deployment.entries[0]["callers"]
        status, headers, body = http("POST", caller, "/v1/services/analysis", "5 hello",
                                     {"Caller-Token": "demo"})
        print(f"POST /v1/services/analysis -> {status}, Result-Code {headers.get('Result-Code')}, "
              f"body {body!r}")
        self.check((status, body) == (200, "done hello"), "first request")

    def await_pool(self, pool, size, limit_s=60):
        """Waits until the planners have moved instances into a pool."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            ready = self.ready_instances(pool)
            if ready == size:
                print(f"pool {pool} has {size} ready instances")
                return
            time.sleep(0.2)
        self.check(False, f"pool {pool} has {ready} ready instances, expected {size}")

    def await_wave(self, limit_s=120):
        """Waits until the wave has maintained every instance of its pool."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            _, _, body = http("GET", self.deployment.entries[0]["control"], "/dump")
            state = json.loads(body)["wave"]["state"]
            if state == "finished":
                print("the wave is finished")
                return
            time.sleep(0.5)
        self.check(False, f"the wave is {state}, expected finished")

    def ready_instances(self, pool):
        _, _, body = http("GET", self.deployment.entries[0]["control"], "/dump")
        instances = json.loads(body).get("instances", [])
        return sum(1 for one in instances if one["pool"] == pool and one["state"] == "ready")

    def print_metrics(self):
        step("measures of the first entry")
        _, _, body = http("GET", self.deployment.entries[0]["control"], "/metrics")
        lines = [line for line in body.splitlines() if line and not line.startswith("#")]
        print("\n".join(line for line in lines if "_bucket" not in line))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default="build/bin")
    parser.add_argument("--out", default="build/demo")
    parser.add_argument("--kill", metavar="PROCESS",
                        help="kill -9 this process under load instead of the planned changes")
    parser.add_argument("--keep", action="store_true",
                        help="leave the deployment running until Enter is pressed")
    options = parser.parse_args()
    deployment = Deployment(SPEC, options.out, options.bin)
    deployment.write_files()
    demo = Demo(deployment, options.kill)
    # A step that hangs must not leave processes behind.
    watchdog = threading.Timer(400, deployment.stop_all)
    watchdog.daemon = True
    watchdog.start()
    try:
        deployment.start_all()
        demo.run()
        if options.keep:
            input("\nThe deployment is running; press Enter to stop it. ")
    finally:
        step("stopping")
        killed = deployment.stop_all()
    demo.check(not killed, "killed after the time limit: " + ", ".join(killed))
    print("demo " + ("failed: " + "; ".join(demo.failures) if demo.failures else "passed"))
    return 1 if demo.failures else 0


if __name__ == "__main__":
    sys.exit(main())
