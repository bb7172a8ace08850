"""Starts the deployment of an example, sends its load and stops everything.

Exits 0 only if every answer was right and every process stopped by itself.
"""

import argparse
import json
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from deployment import Deployment  # noqa: E402

LOAD_LIMIT_S = 300


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder", help="folder of the example")
    parser.add_argument("--bin", default="build/bin")
    parser.add_argument("--out", default="build/run")
    options = parser.parse_args()
    deployment = Deployment(os.path.join(options.folder, "deployment.json"), options.out,
                            options.bin)
    deployment.write_files()
    with open(os.path.join(options.folder, "load.json"), encoding="utf-8") as file:
        load = json.load(file)
    try:
        deployment.start_all()
        published = deployment.operate("publish", deployment.path("fleet.yaml"), "--wait")
        switched = deployment.operate("switch", "ordinary", "--wait")
        run = deployment.run_load(deployment.write_load("load.yaml", load))
        status = run.wait(timeout=LOAD_LIMIT_S)
    finally:
        killed = deployment.stop_all()
    return 1 if killed or published or switched or status else 0


if __name__ == "__main__":
    sys.exit(main())
