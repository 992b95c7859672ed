"""The pages of the docs refer only to files, class members and tests that exist."""

from __future__ import annotations

import ast
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent
#: pages that describe the present version; pages on incidents and measurements describe past ones
PAGES = [
    "README.md",
    "docs/architecture.md",
    "docs/design.md",
    "docs/operations.md",
    "docs/overlapping_troubles.md",
]


def python_files(*folders: str) -> list[pathlib.Path]:
    return [path for folder in folders for path in (ROOT / folder).rglob("*.py")]


def members_by_class() -> dict[str, set[str]]:
    """Return the names of the methods, fields and attributes of each class of the package."""
    members: dict[str, set[str]] = {}
    for path in python_files("marblestair"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef):
                names = members.setdefault(node.name, set())
                for part in ast.walk(node):
                    if isinstance(part, ast.FunctionDef | ast.AsyncFunctionDef):
                        names.add(part.name)
                    elif isinstance(part, ast.AnnAssign | ast.Assign):
                        targets = part.targets if isinstance(part, ast.Assign) else [part.target]
                        names.update(t.id for t in targets if isinstance(t, ast.Name))
                        names.update(t.attr for t in targets if isinstance(t, ast.Attribute))
    return members


def all_test_names() -> set[str]:
    """Return the names of all functions in the tests."""
    return {
        node.name
        for path in python_files("tests")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
    }


@pytest.mark.parametrize("page", PAGES)
def test_a_page_names_files_that_exist(page: str) -> None:
    text = (ROOT / page).read_text()
    named = set(re.findall(r"`((?:[\w.-]+/)+[\w.-]+\.(?:py|md|toml|star))`", text))
    missing = {
        name
        for name in named
        if not (ROOT / name).exists() and not (ROOT / "marblestair" / name).exists()
    }
    assert not missing


@pytest.mark.parametrize("page", PAGES)
def test_a_page_names_members_that_exist(page: str) -> None:
    text = (ROOT / page).read_text()
    members = members_by_class()
    named = set(re.findall(r"`([A-Z]\w+)\.(\w+)`", text))
    assert not {f"{cls}.{name}" for cls, name in named if name not in members.get(cls, set())}


@pytest.mark.parametrize("page", PAGES)
def test_a_page_names_tests_that_exist(page: str) -> None:
    text = (ROOT / page).read_text()
    known = all_test_names()
    whole = set(re.findall(r"`(test_\w+)`", text))
    begun = set(re.findall(r"`(test_\w+?)_?\.\.\.`", text))
    ended = set(re.findall(r"`\.\.\._?(\w+)`", text))
    assert not whole - known
    assert not {name for name in begun if not any(test.startswith(name) for test in known)}
    assert not {name for name in ended if not any(test.endswith(name) for test in known)}
