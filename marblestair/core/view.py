"""A controller's mirror of what the state service says, fed by a watch and by its own commits."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

import msgspec

from marblestair.core import keys
from marblestair.core.calls import Commit, Event, Item
from marblestair.core.model import JobRecord
from marblestair.core.split import MachineRecord, SplitRecord


class View:
    """The followed keys, each with its version, as of revision ``rev``."""

    def __init__(self) -> None:
        self.rev = -1
        #: steady time as of which everything committed before is known
        self.fresh_at = -1e9
        self.split: SplitRecord | None = None
        self.nodes: dict[str, int] = {}
        self.machines: dict[str, MachineRecord] = {}
        self.jobs: dict[str, JobRecord] = {}
        self.versions: dict[str, int] = {}
        #: versions of deletions made by own commits, until the watch has passed them
        self._graves: dict[str, int] = {}
        #: machines that are gone for good; their late reports are ignored
        self.gone: OrderedDict[str, None] = OrderedDict()
        #: jobs, machines and parts changed since they were last taken
        self.changed_jobs: set[str] = set()
        self.changed_machines: set[str] = set()
        self.changed_split = False

    def version(self, key: str) -> int:
        """Version of a key as known here; 0 when it does not exist."""
        return self.versions.get(key, 0)

    def load(self, items: list[Item], rev: int) -> None:
        """Replace everything by a fresh listing."""
        listed = {i.key for i in items}
        for key in [k for k, v in self.versions.items() if k not in listed and v <= rev]:
            self._set(key, None, rev)
        for i in items:
            if i.version > max(self.versions.get(i.key, 0), self._graves.get(i.key, 0)):
                self._set(i.key, i.value, i.version)
        self.rev = max(self.rev, rev)

    def apply(self, events: list[Event], rev: int) -> None:
        """Take in what a watch returned."""
        for e in events:
            if e.version > max(self.versions.get(e.key, 0), self._graves.get(e.key, 0)):
                self._set(e.key, e.value, e.version)
        self.rev = max(self.rev, rev)
        if self._graves:
            self._graves = {k: v for k, v in self._graves.items() if v > self.rev}

    def take_in(self, key: str, value: Any, version: int) -> None:
        """Take in one key that was read afresh."""
        if version > max(self.versions.get(key, 0), self._graves.get(key, 0)):
            self._set(key, value, version)

    def drop(self, key: str) -> None:
        """A key is known to be gone for good."""
        if key in self.versions:
            self._graves[key] = self.versions[key]
            self._set(key, None, 0)

    def committed(self, commit: Commit, rev: int) -> None:
        """Take in an own commit at once, ahead of the watch."""
        for p in commit.puts:
            if p.key.startswith(keys.VIEW) and rev > self.versions.get(p.key, 0):
                self._set(p.key, msgspec.to_builtins(p.value), rev)
        for k in commit.deletes:
            if k.startswith(keys.VIEW) and rev > self.versions.get(k, 0):
                self._set(k, None, rev)
                if rev > self.rev:
                    self._graves[k] = rev

    def _set(self, key: str, value: Any, version: int) -> None:
        if value is None:
            self.versions.pop(key, None)
        else:
            self.versions[key] = version
        if key == keys.SPLIT:
            self.split = None if value is None else msgspec.convert(value, SplitRecord)
            self.changed_split = True
        elif key.startswith(keys.JOBS):
            job = key[len(keys.JOBS) :]
            if value is None:
                self.jobs.pop(job, None)
            else:
                self.jobs[job] = msgspec.convert(value, JobRecord)
            self.changed_jobs.add(job)
        elif key.startswith(keys.MACHINES):
            name = key[len(keys.MACHINES) :]
            if value is None:
                if self.machines.pop(name, None) is not None:
                    self.gone[name] = None
                    while len(self.gone) > 2000:
                        self.gone.popitem(last=False)
            else:
                self.machines[name] = msgspec.convert(value, MachineRecord)
            self.changed_machines.add(name)
        elif key.startswith(keys.NODES):
            node = key[len(keys.NODES) :]
            if value is None:
                self.nodes.pop(node, None)
            else:
                self.nodes[node] = int(value)
            self.changed_split = True
