"""Copies the package of a commit or of the working tree, and runs scenarios on such a copy."""

from __future__ import annotations

import io
import os
import pathlib
import shutil
import subprocess
import sys
import tarfile

#: root of the repository
ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PACKAGE = "marblestair"
#: timeout of one run of a scenario
RUN_TIMEOUT_S = 300


class VersionError(Exception):
    """The package of a commit cannot be extracted."""


class ScenarioError(Exception):
    """A run of a scenario failed."""


def extract_commit(commit: str, directory: pathlib.Path) -> None:
    """Extract the package of a commit into a directory.

    Raises
    ------
    VersionError
        If git cannot archive the commit.
    """
    archive = subprocess.run(
        ["git", "archive", commit, PACKAGE], cwd=ROOT, capture_output=True, check=False
    )
    if archive.returncode:
        raise VersionError(archive.stderr.decode().strip())
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
        files.extractall(directory, filter="data")


def copy_working_tree(directory: pathlib.Path) -> None:
    """Copy the package of the working tree into a directory."""
    ignored = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / PACKAGE, directory / PACKAGE, ignore=ignored)


def run_scenario(version: pathlib.Path, scenario: str, seed: int, record: pathlib.Path) -> None:
    """Run a scenario on the package in a directory, in a process of its own.

    Raises
    ------
    ScenarioError
        If the process exits with an error.
    subprocess.TimeoutExpired
        If the process takes longer than RUN_TIMEOUT_S.
    """
    path = [str(version), str(ROOT), os.environ.get("PYTHONPATH", "")]
    environment = {
        **os.environ,
        "PYTHONHASHSEED": "0",
        "PYTHONPATH": os.pathsep.join(x for x in path if x),
    }
    arguments = [scenario, str(seed), str(record), str(version / PACKAGE)]
    # -P: the current directory must not be on the import path, or the package of the working tree
    # would be imported instead of the given one.
    result = subprocess.run(
        [sys.executable, "-P", "-m", "tests.tools.play", *arguments],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        check=False,
        timeout=RUN_TIMEOUT_S,
    )
    if result.returncode:
        raise ScenarioError(result.stderr.decode(errors="replace").strip())
