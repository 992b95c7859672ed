"""Checks that the package in the working tree behaves like the package of a commit.

    python -m tests.tools.compare_versions COMMIT [--seeds 1 2 3] [--scenario NAME ...] [--jobs N]

Runs the same seeded scenarios on both and compares everything that the controllers send: the time,
sender, destination and bytes of every message. The exit code is 1 if anything differs, 2 if the
package of the commit cannot be extracted, and 0 otherwise.
"""

from __future__ import annotations

import argparse
import pathlib
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor

from tests.tools.comparison import Comparison, compare_records
from tests.tools.scenarios import SCENARIOS
from tests.tools.versions import (
    ScenarioError,
    VersionError,
    copy_working_tree,
    extract_commit,
    run_scenario,
)

DEFAULT_SEEDS = [1]
DEFAULT_JOBS = 2


def compare(
    first: pathlib.Path, second: pathlib.Path, scenario: str, seed: int, records: pathlib.Path
) -> Comparison:
    """Run a scenario on the packages in two directories and compare what the controllers send."""
    paths = []
    for name, version in (("first", first), ("second", second)):
        paths.append(records / f"{scenario}-{seed}-{name}.record")
        try:
            run_scenario(version, scenario, seed, paths[-1])
        except ScenarioError as error:
            return Comparison(difference=[f"  the {name} version can not be played: {error}"])
    comparison = compare_records(*paths)
    for path in paths:
        path.unlink()
    return comparison


def _compare_all(commit: str, scenarios: list[str], seeds: list[int], jobs: int) -> bool:
    """Compare the working tree with a commit; return whether no scenario differs."""
    with tempfile.TemporaryDirectory(prefix="compare-versions-") as name:
        directory = pathlib.Path(name)
        first, second, records = (directory / x for x in ("first", "second", "records"))
        for path in (first, second, records):
            path.mkdir()
        extract_commit(commit, first)
        copy_working_tree(second)
        runs = [(scenario, seed) for scenario in scenarios for seed in seeds]
        with ThreadPoolExecutor(jobs) as pool:
            results = pool.map(lambda run: compare(first, second, run[0], run[1], records), runs)
            is_same = True
            for (scenario, seed), comparison in zip(runs, results, strict=True):
                print(f"{scenario} seed {seed}: {comparison.summary()}", flush=True)
                for line in comparison.difference:
                    print(line, flush=True)
                is_same = is_same and comparison.is_same
    return is_same


def _parser() -> argparse.ArgumentParser:
    names = [scenario.name for scenario in SCENARIOS]
    parser = argparse.ArgumentParser(description="Compare the behaviour of two versions.")
    parser.add_argument("commit", nargs="?", help="the version to compare the working tree with")
    parser.add_argument("--seeds", nargs="+", type=int, default=DEFAULT_SEEDS)
    parser.add_argument("--scenario", nargs="+", choices=names, default=names, metavar="NAME")
    parser.add_argument("--jobs", type=int, default=DEFAULT_JOBS, help="scenarios at once")
    parser.add_argument("--list", action="store_true", help="only list the scenarios")
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run the command; return its exit code."""
    parser = _parser()
    chosen = parser.parse_args(arguments)
    if chosen.list:
        for scenario in SCENARIOS:
            print(f"{scenario.name:24}{scenario.duration_s:5.0f} s  {scenario.description}")
        return 0
    if chosen.commit is None:
        parser.error("COMMIT is missing")
    try:
        is_same = _compare_all(chosen.commit, chosen.scenario, chosen.seeds, chosen.jobs)
    except VersionError as error:
        print(f"compare_versions: {error}", file=sys.stderr)
        return 2
    return 0 if is_same else 1


if __name__ == "__main__":
    sys.exit(main())
