"""The version in production, loaded from the repository's history beside the present one.

``deploy/service.toml`` names its commit. Its package is imported under the same names as the
present one, in turn: while it is being loaded, and while it imports something later, its modules
stand in ``sys.modules``. What crosses to the outside is translated by the names of its structs;
what goes between controllers or into the state service passes as bytes, as on the wire.
"""

from __future__ import annotations

import contextlib
import functools
import importlib
import io
import pathlib
import random
import subprocess
import sys
import tarfile
import tempfile
import tomllib
from collections.abc import Iterator
from types import ModuleType
from typing import Any

import msgspec

from marblestair.core.calls import Put

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PACKAGE = "marblestair"
#: modules whose structs cross between a core and what is around it
SHARED = ("core.calls", "core.model", "core.messages")


class HistoryError(Exception):
    """The repository's history lacks the version in production: its tests cannot be run."""


def commit() -> str:
    """The commit in production, as the deploy file names it."""
    with open(ROOT / "deploy" / "service.toml", "rb") as file:
        return str(tomllib.load(file)["production"])


def _extract(directory: str) -> None:
    """Write production's package below a directory."""
    found = subprocess.run(
        ["git", "archive", "--format=tar", commit(), PACKAGE],
        cwd=ROOT,
        capture_output=True,
        check=False,
    )
    if found.returncode:
        raise HistoryError(f"commit {commit()}: {found.stderr.decode().strip()}")
    with tarfile.open(fileobj=io.BytesIO(found.stdout)) as archive:
        archive.extractall(directory, filter="data")


def _own_modules() -> dict[str, ModuleType]:
    prefix = PACKAGE + "."
    return {k: v for k, v in sys.modules.items() if k == PACKAGE or k.startswith(prefix)}


class Production:
    """The loaded package of the version in production."""

    def __init__(self) -> None:
        self._modules: dict[str, ModuleType] = {}
        # Kept for as long as the process runs: some imports come late.
        self._directory = tempfile.TemporaryDirectory()
        _extract(self._directory.name)
        with self.active():
            for name in ("core.controller", "settings", "wire", *SHARED):
                importlib.import_module(f"{PACKAGE}.{name}")

    @contextlib.contextmanager
    def active(self) -> Iterator[None]:
        """Have imports find production's modules instead of the present ones."""
        present = _own_modules()
        for name in present:
            del sys.modules[name]
        sys.modules.update(self._modules)
        sys.path.insert(0, self._directory.name)
        importlib.invalidate_caches()
        try:
            yield
        finally:
            sys.path.remove(self._directory.name)
            self._modules = _own_modules()
            for name in self._modules:
                del sys.modules[name]
            sys.modules.update(present)

    def module(self, name: str) -> Any:
        """One of production's modules, by its name within the package."""
        return self._modules[f"{PACKAGE}.{name}"]

    def translate(self, value: Any) -> Any:
        """A value of the present version as production's, its structs by their names."""
        return _translated(value, {name: self.module(name) for name in SHARED})

    def settings(self, raw: dict[str, Any]) -> Any:
        """Settings as production reads them."""
        with self.active():
            return self.module("settings").parse(raw)


@functools.cache
def load() -> Production:
    """The version in production; HistoryError when the history lacks it."""
    return Production()


def to_present(value: Any) -> Any:
    """A value of production as the present version's, its structs by their names."""
    return _translated(value, {name: sys.modules[f"{PACKAGE}.{name}"] for name in SHARED})


def _translated(value: Any, modules: dict[str, Any]) -> Any:
    if isinstance(value, list):
        return [_translated(item, modules) for item in value]
    if isinstance(value, tuple):
        return tuple(_translated(item, modules) for item in value)
    if not isinstance(value, msgspec.Struct):
        return value
    kind = getattr(modules[type(value).__module__[len(PACKAGE) + 1 :]], type(value).__name__)
    # What is put into the state service is encoded by whoever puts it.
    plain = ("value",) if kind.__name__ == Put.__name__ else ()
    fields = {
        name: getattr(value, name) if name in plain else _translated(getattr(value, name), modules)
        for name in kind.__struct_fields__
        if hasattr(value, name)
    }
    return kind(**fields)


def over_the_wire(value: Any) -> Any:
    """What arrives of a value that goes between two controllers."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(value))


class _Runner:
    """The calls of a production core, as the present version's."""

    def __init__(self, runner: Any) -> None:
        self._runner = runner

    @property
    def calls(self) -> list[tuple[int, Any]]:
        return [(number, self._call(call)) for number, call in self._runner.calls]

    @calls.setter
    def calls(self, value: list[tuple[int, Any]]) -> None:
        self._runner.calls = value

    def _call(self, call: Any) -> Any:
        present = to_present(call)
        if type(present).__name__ == "PeerCall":
            return msgspec.structs.replace(present, args=over_the_wire(present.args))
        return present


class ProductionController:
    """A controller of the version in production, as the simulated environment drives one."""

    def __init__(
        self, raw: dict[str, Any], incarnation: int, rng: random.Random, now: float, wall: float
    ) -> None:
        self._production = load()
        settings = self._production.settings(raw)
        kind = self._production.module("core.controller").Controller
        self.core = kind(settings, incarnation, rng, now, wall)
        self.runner = _Runner(self.core.runner)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.core, name)

    def __setattr__(self, name: str, value: Any) -> None:
        if name in ("core", "runner", "_production"):
            object.__setattr__(self, name, value)
        else:
            setattr(self.core, name, value)

    @property
    def notes(self) -> list[Any]:
        return [msgspec.structs.replace(n, args=over_the_wire(n.args)) for n in self.core.notes]

    @property
    def peer_replies(self) -> list[Any]:
        return [(number, over_the_wire(value)) for number, value in self.core.peer_replies]

    def complete(self, call: int, result: Any) -> None:
        if isinstance(result, msgspec.Struct):
            self.core.complete(call, self._production.translate(result))
        else:
            self.core.complete(call, over_the_wire(result))

    def report(self, report: Any) -> tuple[int, int, list[Any], str | None]:
        status, token, orders, node = self.core.report(self._production.translate(report))
        return status, token, to_present(orders), node

    def note(self, node: str, tag: str, args: list[Any]) -> None:
        self.core.note(node, tag, over_the_wire(args))

    def peer_request(self, request: int, node: str, tag: str, args: list[Any]) -> None:
        self.core.peer_request(request, node, tag, over_the_wire(args))

    def request(self, what: str, number: int, arg: Any) -> None:
        """A user's request."""
        flow = getattr(self.core.requests, what)(number, self._production.translate(arg))
        self.core.spawn(flow)
