"""A controller's copy of the keys that it follows in the store.

It is updated by a listing, a watch, reads of single keys, and the controller's own commits.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import msgspec

from marblestair.core.runtime.store_requests import CompareAndSwap, KeyChange, StoreResponse
from marblestair.core.state import keys
from marblestair.core.state.records import JobRecord, MachineRecord, ShardMap

#: machines that are gone for good and remembered: the largest fleets, replaced several times
MOST_GONE = 20_000


class ListedRange(msgspec.Struct, frozen=True):
    """The keys that one page of a listing covers, as of its revision."""

    after_key: str
    #: the last of them; None when the page reaches to the end
    last_key: str | None
    revision: int

    def covers(self, key: str) -> bool:
        """Whether the page would hold a key if it existed."""
        return key > self.after_key and (self.last_key is None or key <= self.last_key)


class StoreView:
    """The followed keys, each with its version, as of ``revision``.

    What arrives here may be late: a read that was carried out before a deletion which the watch
    has passed since, or the response to a commit whose effect others have already undone. One rule
    holds for all ways in: nothing older than what is known of its key changes anything, and a
    key that the view lacks is known not to exist as of ``revision``.
    """

    def __init__(self) -> None:
        self.revision = -1
        #: steady time as of which everything committed before is known; None before the first load
        self.current_as_of: float | None = None
        self.shard_map: ShardMap | None = None
        self.nodes: dict[str, int] = {}
        self.machines: dict[str, MachineRecord] = {}
        self.jobs: dict[str, JobRecord] = {}
        self.versions: dict[str, int] = {}
        #: revisions at which keys are known not to exist, until ``revision`` has reached them
        self._absent_at: dict[str, int] = {}
        #: pages of the latest listing, until ``revision`` has reached them
        self._listed_ranges: list[ListedRange] = []
        #: machines that are gone for good; their late heartbeats are ignored
        self.removed_machines: OrderedDict[str, None] = OrderedDict()
        #: what has changed since the listeners last applied it
        self.changed_jobs: set[str] = set()
        self.changed_machines: set[str] = set()
        self.shard_map_changed = False
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Have a listener called whenever changes are published."""
        self._listeners.append(listener)

    def publish_changes(self) -> None:
        """Have everything that follows the view brought in line with it."""
        for listener in self._listeners:
            listener()

    def advance_current_as_of(self, as_of: float) -> None:
        """Everything that was committed before a steady time is known."""
        if self.current_as_of is None or as_of > self.current_as_of:
            self.current_as_of = as_of

    def staleness_s(self, now: float) -> float:
        """For how long a change may have been committed without being known here."""
        return math.inf if self.current_as_of is None else now - self.current_as_of

    def version(self, key: str) -> int:
        """Version of a key as known here; 0 when it does not exist."""
        return self.versions.get(key, 0)

    def job_version(self, job: str) -> int:
        """Version of a job's record as known here; 0 when it does not exist."""
        return self.version(keys.JOBS + job)

    def load_listing(self, pages: list[StoreResponse]) -> None:
        """Replace everything by a new listing, each page of which has a revision of its own.

        The view is then as of the first page; later changes come by the watch from there on.
        """
        after = ""
        ranges: list[ListedRange] = []
        for page in pages:
            last = page.items[-1].key if page.has_more and page.items else None
            ranges.append(ListedRange(after, last, page.revision))
            listed = {item.key for item in page.items}
            for key in [k for k in self.versions if ranges[-1].covers(k) and k not in listed]:
                if self.versions[key] <= page.revision:
                    self._set(key, None, page.revision)
            for item in page.items:
                # Read after everything that the watch has returned, so its revision is no bar.
                if item.version > max(self.version(item.key), self._absent_since(item.key)):
                    self._set(item.key, item.value, item.version)
            after = last or ""
        self._listed_ranges = ranges
        self._advance(pages[0].revision)

    def apply_changes(self, changes: list[KeyChange], revision: int) -> None:
        """Apply what a watch returned."""
        for change in changes:
            if change.version > max(self.version(change.key), self._absent_since(change.key)):
                self._set(change.key, change.value, change.version)
        self._advance(revision)

    def apply_read(self, key: str, value: Any, version: int) -> None:
        """Apply one key as a read has found it."""
        if self._is_newer(key, version):
            self._set(key, value, version)

    def apply_absence(self, key: str, revision: int) -> None:
        """Apply that a read at a revision has found no such key."""
        if key not in self.versions or revision < self.versions[key]:
            return
        self._note_absence(key, revision)
        self._set(key, None, revision)

    def apply_commit(self, swap: CompareAndSwap, revision: int) -> None:
        """Apply an own commit, ahead of the watch or behind it."""
        for put in swap.puts:
            if put.key.startswith(keys.WATCHED) and self._is_newer(put.key, revision):
                self._set(put.key, msgspec.to_builtins(put.value), revision)
        for key in swap.deletes:
            if key.startswith(keys.WATCHED) and revision > self.version(key):
                self._note_absence(key, revision)
                self._set(key, None, revision)

    def _is_newer(self, key: str, version: int) -> bool:
        """Whether a version of a key is newer than what is known of it.

        A deletion leaves no version behind: that of a key which the view lacks must be newer
        than the view itself. Else a late read, or a late response to an own commit, would put a
        deleted record back in, and the watch, already past the deletion, would never remove it.
        """
        if key in self.versions:
            return version > self.versions[key]
        return version > max(self.revision, self._absent_since(key))

    def _absent_since(self, key: str) -> int:
        """Revision beyond ``revision`` at which a key is known not to exist."""
        listed_at = max(
            (listed.revision for listed in self._listed_ranges if listed.covers(key)), default=0
        )
        return max(listed_at, self._absent_at.get(key, 0))

    def _note_absence(self, key: str, revision: int) -> None:
        if revision > self.revision:
            self._absent_at[key] = max(revision, self._absent_at.get(key, 0))

    def _advance(self, revision: int) -> None:
        """The view is as of a revision: forget what was known ahead of it."""
        self.revision = max(self.revision, revision)
        if self._absent_at:
            self._absent_at = {
                key: absent_at
                for key, absent_at in self._absent_at.items()
                if absent_at > self.revision
            }
        if self._listed_ranges:
            self._listed_ranges = [
                listed for listed in self._listed_ranges if listed.revision > self.revision
            ]

    def _set(self, key: str, value: Any, version: int) -> None:
        """Set a key to a version, or remove it with a value of None."""
        if value is None:
            self.versions.pop(key, None)
        else:
            self.versions[key] = version
        if key == keys.SHARD_MAP:
            self.shard_map = None if value is None else msgspec.convert(value, ShardMap)
            self.shard_map_changed = True
        elif key.startswith(keys.JOBS):
            self._set_job(key[len(keys.JOBS) :], value)
        elif key.startswith(keys.MACHINES):
            self._set_machine(key[len(keys.MACHINES) :], value)
        elif key.startswith(keys.NODES):
            self._set_node(key[len(keys.NODES) :], value)

    def _set_job(self, job: str, value: Any) -> None:
        if value is None:
            self.jobs.pop(job, None)
        else:
            self.jobs[job] = msgspec.convert(value, JobRecord)
        self.changed_jobs.add(job)

    def _set_machine(self, name: str, value: Any) -> None:
        if value is not None:
            self.machines[name] = msgspec.convert(value, MachineRecord)
        elif self.machines.pop(name, None) is not None:
            self.removed_machines[name] = None
            while len(self.removed_machines) > MOST_GONE:
                self.removed_machines.popitem(last=False)
        self.changed_machines.add(name)

    def _set_node(self, node: str, value: Any) -> None:
        if value is None:
            self.nodes.pop(node, None)
        else:
            self.nodes[node] = int(value)
        self.shard_map_changed = True
