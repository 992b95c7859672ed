"""Runs one scenario on the package that this process imports, and writes its record.

``compare_versions`` runs this in a process of its own, because the imported package and the
replaced clock and random sources are global to the process.
"""

from __future__ import annotations

import argparse
import logging
import os
import pathlib
import random
import sys
import time

from tests.tools.deployment import Deployment
from tests.tools.package_under_test import package_directory
from tests.tools.scenarios import find_scenario
from tests.tools.simulated_loop import SimulatedLoop

#: wall-clock time at simulated time 0
EPOCH_S = 1_800_000_000.0
LOG_FORMAT = "%(simulated_s).4f %(levelname)s %(message)s"


def replace_clock_and_randomness(loop: SimulatedLoop, seed: str) -> None:
    """Replace the process's clocks by simulated time and its random sources by seeded ones."""
    source = random.Random(f"{seed}/urandom")
    time.monotonic = loop.time
    time.time = lambda: EPOCH_S + loop.time()
    os.urandom = source.randbytes
    random.seed(f"{seed}/global")


def write_log(loop: SimulatedLoop, path: pathlib.Path) -> None:
    """Write the controllers' log lines to a file, with the simulated time."""
    handler = logging.FileHandler(path, mode="w")
    handler.setFormatter(logging.Formatter(LOG_FORMAT))

    def add_time(record: logging.LogRecord) -> bool:
        record.simulated_s = loop.time()
        return True

    handler.addFilter(add_time)
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)


def run_scenario(name: str, seed: str, record: pathlib.Path) -> None:
    """Run a scenario; write its record, and its log to a file with the suffix ``.log``."""
    scenario = find_scenario(name)
    seed = f"{name}/{seed}"
    with record.open("wb") as file:
        deployment = Deployment(scenario.config, seed, file)
        replace_clock_and_randomness(deployment.loop, seed)
        write_log(deployment.loop, record.with_suffix(".log"))
        scenario.arrange(deployment)
        deployment.run(scenario.duration_s)


def main() -> int:
    """Run the command; return its exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("scenario")
    parser.add_argument("seed")
    parser.add_argument("record", type=pathlib.Path)
    parser.add_argument("package", type=pathlib.Path, help="directory of the package to test")
    arguments = parser.parse_args()
    found = package_directory()
    if found != arguments.package.resolve():
        print(f"imported package is {found}, expected {arguments.package}", file=sys.stderr)
        return 2
    run_scenario(arguments.scenario, arguments.seed, arguments.record)
    return 0


if __name__ == "__main__":
    sys.exit(main())
