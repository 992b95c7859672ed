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
from collections.abc import Callable, Iterable, Iterator
from types import ModuleType, SimpleNamespace
from typing import Any

import msgspec

from marblestair.core.runtime.outbox import LogLine, OutgoingMessage, PeerReply
from marblestair.core.runtime.requests import PeerRequest
from marblestair.core.runtime.store_requests import Put
from marblestair.core.shard.heartbeat_response import HeartbeatResponse
from tests.fakes.wire_message import WireMessage, wire_round_trip

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PACKAGE = "marblestair"
#: structs that cross between a core and what is around it: their names in production, and now
STRUCTS = {
    "core.calls.Get": "core.runtime.store_requests.Get",
    "core.calls.ListKeys": "core.runtime.store_requests.ListKeys",
    "core.calls.Put": "core.runtime.store_requests.Put",
    "core.calls.Commit": "core.runtime.store_requests.CompareAndSwap",
    "core.calls.LeaseGrant": "core.runtime.store_requests.GrantLease",
    "core.calls.LeaseRenew": "core.runtime.store_requests.RenewLease",
    "core.calls.Watch": "core.runtime.store_requests.Watch",
    "core.calls.Item": "core.runtime.store_requests.StoredKey",
    "core.calls.Event": "core.runtime.store_requests.KeyChange",
    "core.calls.StateResult": "core.runtime.store_requests.StoreResponse",
    "core.calls.CloudTypes": "core.runtime.cloud_requests.ListMachineTypes",
    "core.calls.CloudRent": "core.runtime.cloud_requests.RentMachines",
    "core.calls.CloudDelete": "core.runtime.cloud_requests.ReleaseMachines",
    "core.calls.CloudList": "core.runtime.cloud_requests.ListMachines",
    "core.calls.Listed": "core.runtime.cloud_requests.ListedMachine",
    "core.calls.CloudResult": "core.runtime.cloud_requests.CloudResponse",
    "core.calls.Sleep": "core.runtime.requests.Sleep",
    "core.calls.Inspect": "core.runtime.requests.InspectAgent",
    "core.model.JobSpec": "core.domain.jobs.JobSpec",
    "core.model.MachineType": "core.domain.machines.MachineType",
    "core.model.TaskReport": "core.domain.agents.TaskStatus",
    "core.model.Report": "core.domain.agents.Heartbeat",
    "core.model.Order": "core.domain.agents.TaskCommand",
    "core.model.JobRecord": "core.state.records.JobRecord",
    "core.messages.Reply": "core.runtime.outbox.UserReply",
    "core.messages.Command": "core.runtime.outbox.DirectCommand",
    "core.messages.PartSummary": "core.messaging.shard_summary.ShardSummary",
    "core.split.SplitRecord": "core.state.records.ShardMap",
    "core.split.PartRecord": "core.state.records.ShardRecord",
    "core.split.MachineRecord": "core.state.records.MachineRecord",
    "core.fleet.RentalIntent": "core.state.records.RentalIntent",
}
#: names now -> names in production
PRODUCTION_STRUCTS = {present: old for old, present in STRUCTS.items()}


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
    return {
        name: module
        for name, module in sys.modules.items()
        if name == PACKAGE or name.startswith(prefix)
    }


class Production:
    """The loaded package of the version in production."""

    def __init__(self) -> None:
        self._modules: dict[str, ModuleType] = {}
        # It stays for as long as the process runs: some imports come late.
        self._directory = tempfile.TemporaryDirectory()
        _extract(self._directory.name)
        with self.active():
            for name in ("core.controller", "settings", "wire", *_modules(STRUCTS)):
                importlib.import_module(f"{PACKAGE}.{name}")
            self._resolve_structs()

    def _resolve_structs(self) -> None:
        """Have the decoders of production's structs built while its own modules can be found.

        msgspec looks annotations up by the name of a struct's module, when it first decodes one;
        later it would find the present module of that name, or none.
        """
        for module in _own_modules().values():
            for value in list(vars(module).values()):
                if isinstance(value, type) and issubclass(value, msgspec.Struct):
                    msgspec.msgpack.Decoder(value)

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
        return _translate_structs(value, self._production_struct)

    def _production_struct(self, present: type) -> Any:
        module, _, name = PRODUCTION_STRUCTS[_full_name(present)].rpartition(".")
        return getattr(self.module(module), name)

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
    return _translate_structs(value, _present_struct)


def _present_struct(old: type) -> Any:
    return present_struct(_full_name(old))


def present_struct(old: str) -> Any:
    """The present struct in place of one of production, which is named with its module."""
    module, _, name = STRUCTS[old].rpartition(".")
    return getattr(sys.modules[f"{PACKAGE}.{module}"], name)


def _full_name(struct: type) -> str:
    """The name of a struct within the package."""
    return f"{struct.__module__[len(PACKAGE) + 1 :]}.{struct.__name__}"


def _modules(names: Iterable[str]) -> list[str]:
    """The modules of some structs, each once."""
    return list(dict.fromkeys(name.rpartition(".")[0] for name in names))


def _translate_structs(value: Any, other_struct: Callable[[type], Any]) -> Any:
    """A value with its structs replaced by those of the other version, field by field.

    Fields may have other names, but stand in the same order; the longer form has more at its end.
    """
    if isinstance(value, list):
        return [_translate_structs(item, other_struct) for item in value]
    if isinstance(value, tuple):
        return tuple(_translate_structs(item, other_struct) for item in value)
    if not isinstance(value, msgspec.Struct):
        return value
    kind = other_struct(type(value))
    # What is put into the state service is encoded by whoever puts it.
    is_put = Put in (type(value), kind)
    fields = {}
    for name, other_name in zip(value.__struct_fields__, kind.__struct_fields__, strict=False):
        plain = is_put and name == "value"
        field = getattr(value, name)
        fields[other_name] = field if plain else _translate_structs(field, other_struct)
    return kind(**fields)


class _Requests:
    """The requests of a production core's coroutines, as the present version's."""

    def __init__(self, runner: Any) -> None:
        self._runner = runner

    @property
    def requests(self) -> list[tuple[int, Any]]:
        return [(number, _present_request(call)) for number, call in self._runner.calls]

    @requests.setter
    def requests(self, value: list[tuple[int, Any]]) -> None:
        self._runner.calls = value


def _present_request(call: Any) -> Any:
    if type(call).__name__ == "PeerCall":
        # What goes to another controller passes as it is on the wire.
        message = WireMessage(call.tag, wire_round_trip(call.args))
        return PeerRequest(call.node, message, call.timeout_s)
    return to_present(call)


class _Outbox:
    """The outputs of a production core, as the present version's."""

    def __init__(self, core: Any) -> None:
        self._core = core

    @property
    def user_replies(self) -> list[Any]:
        return [to_present(reply) for reply in self._core.replies]

    @user_replies.setter
    def user_replies(self, value: list[Any]) -> None:
        self._core.replies = value

    @property
    def direct_commands(self) -> list[Any]:
        return [to_present(command) for command in self._core.commands]

    @direct_commands.setter
    def direct_commands(self, value: list[Any]) -> None:
        self._core.commands = value

    @property
    def messages(self) -> list[Any]:
        return [
            OutgoingMessage(item.node, WireMessage(item.tag, wire_round_trip(item.args)))
            for item in self._core.notes
        ]

    @messages.setter
    def messages(self, value: list[Any]) -> None:
        self._core.notes = value

    @property
    def peer_replies(self) -> list[Any]:
        return [
            PeerReply(number, wire_round_trip(value)) for number, value in self._core.peer_replies
        ]

    @peer_replies.setter
    def peer_replies(self, value: list[Any]) -> None:
        self._core.peer_replies = value

    @property
    def log_lines(self) -> list[Any]:
        return [LogLine(level, text) for level, text in self._core.lines]

    @log_lines.setter
    def log_lines(self, value: list[Any]) -> None:
        self._core.lines = value


class ProductionController:
    """A controller of the version in production, as the simulated environment drives one."""

    def __init__(
        self, raw: dict[str, Any], incarnation: int, rng: random.Random, now: float, wall: float
    ) -> None:
        self._production = load()
        settings = self._production.settings(raw)
        kind = self._production.module("core.controller").Controller
        self.core = kind(settings, incarnation, rng, now, wall)
        self.context = SimpleNamespace(
            node=self.core.node,
            incarnation=incarnation,
            coroutines=_Requests(self.core.runner),
            outbox=_Outbox(self.core),
        )
        self.leadership = SimpleNamespace(led_shards=lambda: list(self.core.acting()))

    @property
    def view(self) -> Any:
        """The controller's view of the store."""
        return self.core.view

    @property
    def scheduling_services(self) -> Any:
        """Counts of migrations, by the present names."""
        slice_migrations = SimpleNamespace(completed_count=self.core.migrations.done)
        return SimpleNamespace(slice_migrations=slice_migrations)

    def start(self) -> None:
        """Start the controller."""
        self.core.start()

    def set_time(self, now: float, wall: float) -> None:
        """Set the steady and the wall clock."""
        self.core.set_time(now, wall)

    def tick(self) -> None:
        """Do what is due."""
        self.core.tick()

    def complete(self, call: int, result: Any) -> None:
        """Hand over the result of a request."""
        if isinstance(result, msgspec.Struct):
            self.core.complete(call, self._production.translate(result))
        else:
            self.core.complete(call, wire_round_trip(result))

    def receive_heartbeat(self, heartbeat: Any) -> HeartbeatResponse:
        """Handle a heartbeat; its response."""
        status, fencing_token, commands, leader = self.core.report(
            self._production.translate(heartbeat)
        )
        return HeartbeatResponse(status, fencing_token, to_present(commands), leader)

    def receive_message(self, node: str, tag: str, args: list[Any]) -> None:
        """Handle a one-way message of another controller."""
        self.core.note(node, tag, wire_round_trip(args))

    def receive_request(self, request: int, node: str, tag: str, args: list[Any]) -> None:
        """Handle a request of another controller."""
        self.core.peer_request(request, node, tag, wire_round_trip(args))

    def request(self, kind: str, number: int, argument: Any) -> None:
        """Have the controller handle a user's request."""
        handle = getattr(self.core.requests, kind)
        self.core.spawn(handle(number, self._production.translate(argument)))
