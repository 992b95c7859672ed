"""Known failures: the tests named in KNOWN-RED.txt are passed over and printed, and nothing else.

Each line has a test's id, the cause, and the issue, separated by ``|``; three lines at most. A
listed test that passes, a name that is no test, and a line too many fail the run.
"""

from __future__ import annotations

import pathlib
from typing import Any

import pytest

MAX_KNOWN_FAILURES = 3
KNOWN_FAILURES_FILE = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def known_failures(text: str) -> dict[str, str]:
    """The listed tests, each with its cause and issue."""
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
    """Read the list; find whether only some files are to be run.

    The name of a test in a file that is not run is no mistake then.
    """
    config.known_failures = (
        known_failures(KNOWN_FAILURES_FILE.read_text()) if KNOWN_FAILURES_FILE.exists() else {}
    )
    config.has_path_arguments = list(config.args) != list(config.getini("testpaths"))


def pytest_collection_modifyitems(config: Any, items: list[Any]) -> None:
    """Expect the listed tests to fail, strictly."""
    names = {item.nodeid: item for item in items}
    files = {name.split("::")[0] for name in names}
    for name, reason in config.known_failures.items():
        if name in names:
            names[name].add_marker(pytest.mark.xfail(reason=reason, strict=True))
        elif name.split("::")[0] in files or not config.has_path_arguments:
            raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {name}")


def pytest_terminal_summary(terminalreporter: Any, config: Any) -> None:
    """Print what is passed over."""
    for name, reason in config.known_failures.items():
        terminalreporter.write_line(f"known red, passed over: {name}: {reason}")
