"""Prints the measures of docs/design.md as CSV.

Runs the decision benchmarks, which need no processes, then measures request rate, added latency and
memory through one entry against the same upstream in one run.
"""

import argparse
import json
import os
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from deployment import Deployment, http  # noqa: E402

BASE_PORT = 20300
REQUESTS_IN_PROGRESS = 500
HOLD_MS = 4000
SPEC = {
    "name": "bench",
    "base_port": BASE_PORT,
    # More slots than connections, so that the upstream itself refuses nothing.
    "slots": 1024,
    "data_centres": [{"name": "north", "entries": 1}],
    "pools": {"analysis": 1, "spare": 1},
    "services": [{"name": "analysis", "pool": "analysis"}],
    "presets": [{"name": "ordinary", "targets": {"analysis": 1}}],
}


DECISION_BENCHMARKS = (
    ("endivewood-bench",),
    ("endivewood-bench-fleet", "moves"),
    ("endivewood-bench-fleet", "rollout"),
    ("endivewood-bench-fleet", "fold"),
)


def run_decision_benchmarks(binaries):
    for program, *arguments in DECISION_BENCHMARKS:
        print("#", program, *arguments, flush=True)
        subprocess.run([os.path.join(binaries, program), *arguments], check=True)


def resident_mb(pid):
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        return next(int(line.split()[1]) / 1000 for line in file if line.startswith("VmRSS:"))


def measure_memory(deployment):
    """Resident memory of the entry while many requests are in progress."""
    entry = deployment.entries[0]
    pid = deployment.processes[entry["name"]].pid
    idle = resident_mb(pid)
    answered = []

    def send():
        status, _, _ = http("POST", entry["callers"], "/v1/services/analysis",
                            f"{HOLD_MS} hold", timeout=30)
        answered.append(status)

    threads = [threading.Thread(target=send) for _ in range(REQUESTS_IN_PROGRESS)]
    for thread in threads:
        thread.start()
    time.sleep(HOLD_MS / 2000)
    held = resident_mb(pid)
    for thread in threads:
        thread.join()
    print("memory,requests in progress,idle MB,held MB,answered 200")
    print(f"entry,{REQUESTS_IN_PROGRESS},{idle:.1f},{held:.1f},{answered.count(200)}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default="build/bin")
    parser.add_argument("--out", default="build/bench")
    options = parser.parse_args()
    run_decision_benchmarks(options.bin)
    os.makedirs(options.out, exist_ok=True)
    file = os.path.join(options.out, "deployment.json")
    with open(file, "w", encoding="utf-8") as stream:
        json.dump(SPEC, stream)
    deployment = Deployment(file, options.out, options.bin)
    deployment.write_files()
    try:
        deployment.start_all()
        deployment.operate("publish", deployment.path("fleet.yaml"))
        time.sleep(2)
        upstream = deployment.instances[0]
        print("# endivewood-speed", flush=True)
        subprocess.run([os.path.join(options.bin, "endivewood-speed"),
                        "--entry", deployment.entries[0]["callers"],
                        "--upstream", f"{upstream['address']}:{upstream['port']}",
                        "--service", "analysis"], check=True)
        measure_memory(deployment)
    finally:
        deployment.stop_all()
    return 0


if __name__ == "__main__":
    sys.exit(main())
