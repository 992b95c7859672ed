"""Known failures: pytest expects the tests listed in KNOWN-RED.txt to fail and prints them.

Each line has the id of a test, the cause and the issue, separated by ``|``; three lines at most.
The run fails if a listed test passes, an id names no test, or the file has more lines.
"""

from __future__ import annotations

import pathlib
from typing import Any

import pytest

MAX_KNOWN_FAILURES = 3
KNOWN_FAILURES_FILE = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def parse_known_failures(text: str) -> dict[str, str]:
    """Parse KNOWN-RED.txt into the id of each test and its cause with the issue.

    Raises
    ------
    pytest.UsageError
        If a line is malformed or there are too many.
    """
    known: dict[str, str] = {}
    for line in text.splitlines():
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 3 or not all(fields):
            raise pytest.UsageError(f"KNOWN-RED.txt: not 'test | cause | issue': {line}")
        known[fields[0]] = f"{fields[1]} (issue {fields[2]})"
    if len(known) > MAX_KNOWN_FAILURES:
        raise pytest.UsageError(
            f"KNOWN-RED.txt lists {len(known)} tests; {MAX_KNOWN_FAILURES} at most"
        )
    return known


def pytest_configure(config: Any) -> None:
    """Read KNOWN-RED.txt and note whether the command line restricts the run to some paths.

    In a restricted run, the file may list tests of files that do not run.
    """
    config.known_failures = (
        parse_known_failures(KNOWN_FAILURES_FILE.read_text())
        if KNOWN_FAILURES_FILE.exists()
        else {}
    )
    config.has_path_arguments = list(config.args) != list(config.getini("testpaths"))


def pytest_collection_modifyitems(config: Any, items: list[Any]) -> None:
    """Mark the listed tests as strict expected failures."""
    names = {item.nodeid: item for item in items}
    files = {name.split("::")[0] for name in names}
    for name, reason in config.known_failures.items():
        if name in names:
            names[name].add_marker(pytest.mark.xfail(reason=reason, strict=True))
        elif name.split("::")[0] in files or not config.has_path_arguments:
            raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {name}")


def pytest_terminal_summary(terminalreporter: Any, config: Any) -> None:
    """Print the listed tests."""
    for name, reason in config.known_failures.items():
        terminalreporter.write_line(f"known red, passed over: {name}: {reason}")
