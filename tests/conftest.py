"""Known failures: the tests named in KNOWN-RED.txt are passed over and printed, and nothing else.

Each line holds a test's id, the cause, and the issue, separated by ``|``; three lines at most. A
listed test that passes, a name that is no test, and a line too many fail the run.
"""

from __future__ import annotations

import pathlib
from typing import Any

import pytest

MOST = 3
FILE = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def known_red(text: str) -> dict[str, str]:
    """The listed tests, each with its cause and issue."""
    out: dict[str, str] = {}
    for line in text.splitlines():
        if not line.strip():
            continue
        fields = [x.strip() for x in line.split("|")]
        if len(fields) != 3 or not all(fields):
            raise pytest.UsageError(f"KNOWN-RED.txt: not 'test | cause | issue': {line}")
        out[fields[0]] = f"{fields[1]} (issue {fields[2]})"
    if len(out) > MOST:
        raise pytest.UsageError(f"KNOWN-RED.txt lists {len(out)} tests; {MOST} at most")
    return out


def pytest_collection_modifyitems(config: Any, items: list[Any]) -> None:
    """Expect the listed tests to fail, strictly."""
    if not FILE.exists():
        return
    listed = known_red(FILE.read_text())
    config.known_red = listed
    names = {item.nodeid: item for item in items}
    for name, why in listed.items():
        if name in names:
            names[name].add_marker(pytest.mark.xfail(reason=why, strict=True))
        elif any(x.startswith(name.split("::")[0] + "::") for x in names) or not config.args_given:
            raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {name}")


def pytest_configure(config: Any) -> None:
    """Whether only some files were asked for: a name in another file is no mistake then."""
    config.args_given = list(config.args) != list(config.getini("testpaths"))


def pytest_terminal_summary(terminalreporter: Any, config: Any) -> None:
    """Print what is passed over."""
    for name, why in getattr(config, "known_red", {}).items():
        terminalreporter.write_line(f"known red, passed over: {name}: {why}")
