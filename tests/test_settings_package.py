"""The settings package: permitted imports, and the bound of the shard map's size."""

from __future__ import annotations

import ast
import pathlib
import subprocess
import sys

import msgspec
import pytest

import marblestair
from marblestair.core.leadership.shard_map import initial_shard_map
from marblestair.settings import checks
from tests.fakes.samples import node_settings

PACKAGE = pathlib.Path(marblestair.__file__).parent


def imported_modules(path: pathlib.Path) -> set[str]:
    """Return all modules that a file imports, including imports inside functions."""
    modules: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            modules.add(node.module)
        elif isinstance(node, ast.Import):
            modules.update(alias.name for alias in node.names)
    return modules


def test_the_core_imports_nothing_of_the_settings_package() -> None:
    for path in (PACKAGE / "core").rglob("*.py"):
        used = {name for name in imported_modules(path) if name.startswith("marblestair.settings")}
        assert not used, path


def test_the_settings_import_types_and_stored_records_of_the_core_only() -> None:
    for path in (PACKAGE / "settings").rglob("*.py"):
        modules = imported_modules(path)
        used = {name for name in modules if name.startswith("marblestair.core")}
        allowed = {"marblestair.core.domain.settings"}
        if path.name == "checks.py":
            allowed.add("marblestair.core.state.records")
        assert used <= allowed, path
    for name in ("state/records.py", "domain/settings.py", "domain/jobs.py", "domain/amounts.py"):
        modules = imported_modules(PACKAGE / "core" / name)
        assert not any(module.startswith("marblestair.settings") for module in modules), name


@pytest.mark.parametrize(
    "first", ["marblestair.settings", "marblestair.core.state.records", "marblestair.core.shard"]
)
def test_packages_can_be_imported_in_any_order(first: str) -> None:
    modules = [first, "marblestair.core.leadership.shard_map", "marblestair.settings"]
    program = "\n".join(f"import {module}" for module in modules)
    subprocess.run([sys.executable, "-c", program], check=True, cwd=PACKAGE.parent)


def test_the_largest_shard_map_is_larger_than_the_first_one_and_has_its_shape() -> None:
    teams = [{"name": name, "cpus": 1.0, "cpus_max": 0.0} for name in ("red", "blue")]
    given = node_settings(0, 3, size=4, teams=teams)
    first = initial_shard_map(given.cluster.size, given.cluster.teams)
    largest = checks._largest_shard_map(given)
    assert [list(shard.quotas) for shard in largest.shards] == [
        list(shard.quotas) for shard in first.shards
    ]
    assert len(msgspec.msgpack.encode(largest)) > len(msgspec.msgpack.encode(first))
