"""Writes the files of a deployment on loopback, starts its processes and stops them.

A deployment file (JSON) lists data centres, pools, services and presets. Instances are spread over
the data centres in turn, four to a rack. Data centre N uses the addresses 127.0.N.x: entries and
planners from .1, upstreams from .101.
"""

import argparse
import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.parse
import urllib.request

INSTANCES_PER_RACK = 4
FIRST_UPSTREAM_HOST = 101
START_LIMIT_S = 20
STOP_LIMIT_S = 20


def flow(value):
    """Formats a value as YAML in flow style."""
    return json.dumps(value, ensure_ascii=False)


class Deployment:
    """A deployment and the processes that run it."""

    def __init__(self, file, out, binaries):
        with open(file, encoding="utf-8") as stream:
            self.spec = json.load(stream)
        self.out = out
        self.binaries = binaries
        self.port = self.spec.get("base_port", 20000)
        self.processes = {}
        self.data_centres = self.spec["data_centres"]
        self.platform = f"127.0.0.1:{self.port}"
        self.entries = self._entries()
        self.planners = self._planners()
        self.instances = self._place_instances()

    def _entries(self):
        """Lists the entry processes."""
        members = []
        for number, centre in enumerate(self.data_centres, start=1):
            for index in range(centre.get("entries", 2)):
                host = f"127.0.{number}.{index + 1}"
                members.append({
                    "name": f"entry-{centre['name']}-{index + 1}",
                    "data_centre": centre["name"],
                    "callers": f"{host}:{self.port + 1}",
                    "control": f"{host}:{self.port + 2}",
                    "peer": f"{host}:{self.port + 3}",
                    "planner_control": f"{host}:{self.port + 4}",
                    "settings": f"entry-{centre['name']}-{index + 1}.yaml",
                })
        return members

    def _planners(self):
        """Lists the planners; each shares the settings file of the entry on its instance."""
        return [{"name": entry["name"].replace("entry", "planner", 1),
                 "data_centre": entry["data_centre"], "control": entry["planner_control"],
                 "settings": entry["name"] + ".yaml"} for entry in self.entries]

    def _place_instances(self):
        """Spreads the instances of each pool over the data centres."""
        instances = []
        counts = [0] * len(self.data_centres)
        for pool, size in self.spec["pools"].items():
            for _ in range(size):
                centre = min(range(len(counts)), key=lambda index: counts[index])
                number = counts[centre]
                counts[centre] += 1
                name = self.data_centres[centre]["name"]
                instances.append({
                    "name": f"{name}-{number + 1:03d}",
                    "data_centre": name,
                    "rack": f"{name}-rack-{number // INSTANCES_PER_RACK + 1}",
                    "pool": pool,
                    "address": f"127.0.{centre + 1}.{FIRST_UPSTREAM_HOST + number}",
                    "port": self.port,
                    "slots": self.spec.get("slots", 8),
                })
        return instances

    def path(self, name):
        return os.path.join(self.out, name)

    def write_files(self):
        os.makedirs(self.out, exist_ok=True)
        self._write_fleet()
        for entry in self.entries:
            self._write_settings(entry)
        with open(self.path("deployment.yaml"), "w", encoding="utf-8") as file:
            file.write("processes:\n")
            for member in self.entries + self.planners:
                entry = {key: member[key] for key in ("name", "data_centre", "control")}
                file.write(f"  - {flow(entry)}\n")

    def _write_fleet(self):
        sections = {
            "pools": [{"name": pool, "spare": True} if pool == "spare" else {"name": pool}
                      for pool in self.spec["pools"]],
            "services": self.spec["services"],
            "presets": self.spec["presets"],
            "instances": self.instances,
        }
        with open(self.path("fleet.yaml"), "w", encoding="utf-8") as file:
            for section, entries in sections.items():
                file.write(f"{section}:\n")
                file.writelines(f"  - {flow(entry)}\n" for entry in entries)

    def _write_settings(self, member):
        planner = {"control": member["planner_control"], "hold_ms": self.spec.get("hold_ms", 10000)}
        with open(self.path(member["settings"]), "w", encoding="utf-8") as file:
            for key in ("name", "data_centre", "callers", "control", "peer"):
                file.write(f"{key}: {flow(member[key])}\n")
            file.write(f"platform: {flow(self.platform)}\n")
            file.write(f"planner: {flow(planner)}\n")
            file.write("peers:\n" if len(self.entries) > 1 else "peers: []\n")
            for peer in self.entries:
                if peer is member:
                    continue
                entry = {"name": peer["name"], "data_centre": peer["data_centre"],
                         "address": peer["peer"]}
                file.write(f"  - {flow(entry)}\n")

    def write_load(self, name, options, upstreams=True):
        """Writes a configuration of endivewood-load and returns its path."""
        with open(self.path(name), "w", encoding="utf-8") as file:
            for key, value in options.items():
                file.write(f"{key}: {flow(value)}\n")
            file.write(f"entries: {flow([entry['callers'] for entry in self.entries])}\n")
            if upstreams:
                addresses = [f"{one['address']}:{one['port']}" for one in self.instances]
                file.write(f"upstreams: {flow(addresses)}\n")
        return self.path(name)

    def start(self, name, program, *arguments):
        log = open(self.path(name + ".log"), "ab")
        command = [os.path.join(self.binaries, program), *arguments]
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)
        log.close()

    def start_all(self):
        address, port = self.platform.split(":")
        self.start("platform", "platform", "--address", address, "--port", port)
        for one in self.instances:
            self.start(one["name"], "upstream", "--address", one["address"], "--port",
                       str(one["port"]), "--slots", str(one["slots"]))
        self.await_listener(self.platform)
        for one in self.instances:
            self.register(one)
        for member in self.entries:
            self.start_member("endivewood-entry", member)
        for member in self.planners:
            self.start_member("endivewood-planner", member)
        for member in self.entries + self.planners:
            self.await_listener(member["control"])

    def register(self, instance):
        """Adds an instance to the platform's list."""
        fields = ("name", "data_centre", "rack", "address", "port", "slots")
        query = urllib.parse.urlencode({field: instance[field] for field in fields})
        http("POST", self.platform, "/instances?" + query, body="")

    def start_member(self, program, member):
        self.start(member["name"], program, "--config", self.path(member["settings"]))

    @staticmethod
    def await_listener(address):
        end = time.monotonic() + START_LIMIT_S
        while time.monotonic() < end:
            try:
                http("GET", address, "/health")
                return
            except OSError:
                time.sleep(0.05)
        raise RuntimeError(f"{address} did not start listening")

    def operate(self, *words):
        """Runs the operators' command line and returns its exit status."""
        command = [os.path.join(self.binaries, "endivewood"), "--platform", self.platform,
                   "--deployment", self.path("deployment.yaml"), *words]
        print("$ endivewood", *words, flush=True)
        return subprocess.run(command, check=False, timeout=120).returncode

    def run_load(self, config):
        command = [os.path.join(self.binaries, "endivewood-load"), "--config", config]
        print("$ endivewood-load --config", os.path.basename(config), flush=True)
        return subprocess.Popen(command)

    def stop_all(self):
        """Stops everything gracefully; returns the names of processes that had to be killed."""
        killed = []
        order = [name for name in self.processes if name.startswith(("planner", "entry"))]
        order += [name for name in self.processes if name not in order]
        for name in order:
            self.processes[name].send_signal(signal.SIGTERM)
        end = time.monotonic() + STOP_LIMIT_S
        for name in order:
            try:
                self.processes[name].wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                self.processes[name].kill()
                self.processes[name].wait()
                killed.append(name)
        self.processes.clear()
        return killed


def http(method, address, path, body=None, headers=None, timeout=10):
    """Sends one request; returns (status, headers, body)."""
    data = body.encode() if body is not None else None
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method,
                                     headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            return reply.status, dict(reply.headers), reply.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read().decode()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", help="deployment file")
    parser.add_argument("--out", default="build/run", help="folder for settings and logs")
    parser.add_argument("--bin", default="build/bin", help="folder of the programs")
    options = parser.parse_args()
    deployment = Deployment(options.file, options.out, options.bin)
    deployment.write_files()
    try:
        deployment.start_all()
        status = deployment.operate("publish", deployment.path("fleet.yaml"))
        print(f"running; platform {deployment.platform}, files in {options.out}; Ctrl-C stops it")
        signal.sigwait({signal.SIGINT, signal.SIGTERM})
    finally:
        killed = deployment.stop_all()
    return 1 if killed or status != 0 else 0


if __name__ == "__main__":
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGINT, signal.SIGTERM})
    sys.exit(main())
