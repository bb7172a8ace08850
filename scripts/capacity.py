"""Measures the slopes behind docs/CAPACITY.md.

Runs endivewood-capacity for costs per instance, then starts deployments of 3, 6, 12 and 24 entry
instances (an entry and a planner each) and reads the processor time, memory and control traffic of
their processes while nothing but control work runs. Prints CSV.
"""

import argparse
import json
import os
import subprocess
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from deployment import Deployment, http  # noqa: E402

MEMBER_COUNTS = (3, 6, 12, 24)
DATA_CENTRES = 3
SETTLE_S = 4
MEASURE_S = 10
BASE_PORT = 20400
TARGET_MEMBERS = 48  # Six data centres of 8 entry instances.
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def make_spec(members):
    """A deployment whose instances take part in no request."""
    return {
        "name": "capacity",
        "base_port": BASE_PORT,
        "data_centres": [{"name": f"dc{n + 1}", "entries": members // DATA_CENTRES}
                         for n in range(DATA_CENTRES)],
        "pools": {"analysis": 6, "spare": 3},
        "services": [{"name": "analysis", "pool": "analysis", "min_available": 3}],
        "presets": [{"name": "ordinary", "targets": {"analysis": 6}}],
    }


def processor_s(pid):
    """Processor time of a process, in seconds."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid):
    """Resident memory of a process, in megabytes."""
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1000
    return 0.0


def peer_bytes(control):
    """Bytes that an entry sent to and received from its peers."""
    _, _, body = http("GET", control, "/dump")
    values = {one["name"]: one["value"] for one in json.loads(body)["subsystems"]}
    return values["peer bytes sent"] + values["peer bytes received"]


def mean(values):
    return sum(values) / len(values) if values else 0.0


def measure(members, options):
    """Runs a deployment and returns the mean figures of its entries and planners."""
    file = os.path.join(options.out, "deployment.json")
    os.makedirs(options.out, exist_ok=True)
    with open(file, "w", encoding="utf-8") as stream:
        json.dump(make_spec(members), stream)
    deployment = Deployment(file, options.out, options.bin)
    deployment.write_files()
    figures = {}
    try:
        deployment.start_all()
        deployment.operate("publish", deployment.path("fleet.yaml"))
        deployment.operate("switch", "ordinary")
        time.sleep(SETTLE_S)
        for role, list_of_members in (("entry", deployment.entries),
                                      ("planner", deployment.planners)):
            running = [one for one in list_of_members if one["name"] in deployment.processes]
            figures[role] = measure_role(deployment, running, role)
    finally:
        killed = deployment.stop_all()
    if killed:
        print("killed after the time limit:", ", ".join(killed), file=sys.stderr)
    return figures


def measure_role(deployment, members, role):
    pids = [deployment.processes[one["name"]].pid for one in members]
    with_traffic = role == "entry"
    cpu_before = [processor_s(pid) for pid in pids]
    bytes_before = [peer_bytes(one["control"]) for one in members] if with_traffic else []
    time.sleep(MEASURE_S)
    cpu = [(processor_s(pid) - before) / MEASURE_S * 100
           for pid, before in zip(pids, cpu_before)]
    bytes_after = [peer_bytes(one["control"]) for one in members] if with_traffic else []
    traffic = [(after - before) / MEASURE_S / 1000
               for after, before in zip(bytes_after, bytes_before)
               if after is not None and before is not None]
    return {"processor %": mean(cpu), "memory MB": mean([resident_mb(pid) for pid in pids]),
            "peer kB/s": mean(traffic)}


def fit(points):
    """Least-squares line: (slope, constant, worst residual)."""
    mean_x = mean([x for x, _ in points])
    mean_y = mean([y for _, y in points])
    slope = (sum((x - mean_x) * (y - mean_y) for x, y in points) /
             sum((x - mean_x) ** 2 for x, _ in points))
    constant = mean_y - slope * mean_x
    return slope, constant, max(abs(y - slope * x - constant) for x, y in points)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", default="build/bin")
    parser.add_argument("--out", default="build/capacity")
    options = parser.parse_args()
    subprocess.run([os.path.join(options.bin, "endivewood-capacity"), "--csv"], check=True)
    results = {members: measure(members, options) for members in MEMBER_COUNTS}
    print("role,quantity," + ",".join(f"{members} members" for members in MEMBER_COUNTS) +
          f",slope per member,constant,worst residual,at {TARGET_MEMBERS}")
    for role in ("entry", "planner"):
        for quantity in ("processor %", "memory MB", "peer kB/s"):
            points = [(members, results[members][role][quantity]) for members in MEMBER_COUNTS]
            slope, constant, residual = fit(points)
            values = ",".join(f"{value:.3f}" for _, value in points)
            print(f"{role},{quantity},{values},{slope:.4f},{constant:.3f},{residual:.3f},"
                  f"{slope * TARGET_MEMBERS + constant:.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
