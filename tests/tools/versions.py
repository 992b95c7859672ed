"""Copies of the package as of a commit or of the working tree, and plays on them."""

from __future__ import annotations

import io
import os
import pathlib
import shutil
import subprocess
import sys
import tarfile

#: root of the repository whose scenarios are played
ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PACKAGE = "marblestair"
#: a play that takes longer hangs
RUN_TIMEOUT_S = 300


class VersionError(Exception):
    """A version that can not be had."""


class ScenarioError(Exception):
    """A play that did not come to its end."""


def extract_commit(commit: str, directory: pathlib.Path) -> None:
    """Put the package as of a commit into a directory."""
    archive = subprocess.run(
        ["git", "archive", commit, PACKAGE], cwd=ROOT, capture_output=True, check=False
    )
    if archive.returncode:
        raise VersionError(archive.stderr.decode().strip())
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
        files.extractall(directory, filter="data")


def copy_working_tree(directory: pathlib.Path) -> None:
    """Put the working tree's package into a directory."""
    ignored = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / PACKAGE, directory / PACKAGE, ignore=ignored)


def run_scenario(version: pathlib.Path, scenario: str, seed: int, record: pathlib.Path) -> None:
    """Play a scenario on the package in a directory, in a process of its own."""
    path = [str(version), str(ROOT), os.environ.get("PYTHONPATH", "")]
    environment = {
        **os.environ,
        "PYTHONHASHSEED": "0",
        "PYTHONPATH": os.pathsep.join(x for x in path if x),
    }
    arguments = [scenario, str(seed), str(record), str(version / PACKAGE)]
    # -P: the working tree's package must not be found by way of the current directory.
    played = subprocess.run(
        [sys.executable, "-P", "-m", "tests.tools.play", *arguments],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        check=False,
        timeout=RUN_TIMEOUT_S,
    )
    if played.returncode:
        raise ScenarioError(played.stderr.decode(errors="replace").strip())
