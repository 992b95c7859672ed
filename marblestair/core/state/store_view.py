"""A controller's local copy of the keys that it watches in the store.

Listings, the watch, reads of single keys and the controller's own commits update it.
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

#: maximum number of removed machines whose names are retained; several times the number of machines
#: in the largest fleet
MAX_REMOVED_MACHINES = 20_000


class ListedRange(msgspec.Struct, frozen=True):
    """Range of keys that one page of a listing covers, and the revision of the page."""

    after_key: str
    #: last key of the range; None if the range has no upper end
    last_key: str | None
    revision: int

    def covers(self, key: str) -> bool:
        """Return whether a key lies in the range, so that the page lists it if it exists."""
        return key > self.after_key and (self.last_key is None or key <= self.last_key)


class StoreView:
    """The watched keys with their versions, each as of the view's ``revision`` or later.

    Responses may arrive late. The watch may already have returned the deletion of a key whose
    value an earlier read returns only now, or another node's change to a key that this node
    committed before. So a response changes a key in the view only if the response is newer than
    what the view knows of the key. A key that is not in the view is known not to exist, as of
    ``revision`` or later.
    """

    def __init__(self) -> None:
        self.revision = -1
        #: monotonic time before which all commits are included; None before the first load
        self.current_as_of: float | None = None
        self.shard_map: ShardMap | None = None
        self.nodes: dict[str, int] = {}
        self.machines: dict[str, MachineRecord] = {}
        self.jobs: dict[str, JobRecord] = {}
        self.versions: dict[str, int] = {}
        #: key -> latest store revision at which the key is known not to exist; only revisions later
        #: than ``self.revision`` are kept
        self._absent_at: dict[str, int] = {}
        #: ranges of the latest listing that were read at revisions later than ``self.revision``
        self._listed_ranges: list[ListedRange] = []
        #: machines that were released or whose records were deleted, the latest last; their late
        #: heartbeats are ignored
        self.removed_machines: OrderedDict[str, None] = OrderedDict()
        #: changes that the listeners have not applied yet
        self.changed_jobs: set[str] = set()
        self.changed_machines: set[str] = set()
        self.shard_map_changed = False
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Add a listener to call whenever changes are published."""
        self._listeners.append(listener)

    def publish_changes(self) -> None:
        """Call all listeners; each updates the state that it derives from the view."""
        for listener in self._listeners:
            listener()

    def advance_current_as_of(self, as_of: float) -> None:
        """Record that the view includes all commits before a monotonic time."""
        if self.current_as_of is None or as_of > self.current_as_of:
            self.current_as_of = as_of

    def staleness_s(self, now: float) -> float:
        """Return the maximum age in seconds of a commit that the view lacks.

        It is infinite before the first load.
        """
        return math.inf if self.current_as_of is None else now - self.current_as_of

    def version(self, key: str) -> int:
        """Return the version of a key in the view; 0 if the view lacks it."""
        return self.versions.get(key, 0)

    def job_version(self, job: str) -> int:
        """Return the version of a job's record in the view; 0 if the view lacks it."""
        return self.version(keys.JOBS + job)

    def load_listing(self, pages: list[StoreResponse]) -> None:
        """Replace the view's content by a new listing.

        Each page has its own revision. The view's revision becomes at least that of the first page,
        and the watch then returns all changes after the view's revision.
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
                # The page was read after all changes that the watch has returned, so an item is
                # valid even if its version is below the view's revision.
                if item.version > max(self.version(item.key), self._absence_revision(item.key)):
                    self._set(item.key, item.value, item.version)
            after = last or ""
        self._listed_ranges = ranges
        self._advance(pages[0].revision)

    def apply_changes(self, changes: list[KeyChange], revision: int) -> None:
        """Apply the changes that the watch returned, up to a revision."""
        for change in changes:
            if change.version > max(self.version(change.key), self._absence_revision(change.key)):
                self._set(change.key, change.value, change.version)
        self._advance(revision)

    def apply_read(self, key: str, value: Any, version: int) -> None:
        """Apply the value and version of a key that a read returned."""
        if self._is_newer(key, version):
            self._set(key, value, version)

    def apply_absence(self, key: str, revision: int) -> None:
        """Remove a key that a read at ``revision`` did not find, unless the view's key is newer."""
        if key not in self.versions or revision < self.versions[key]:
            return
        self._record_absence(key, revision)
        self._set(key, None, revision)

    def apply_commit(self, swap: CompareAndSwap, revision: int) -> None:
        """Apply a commit of this node; the watch may or may not have returned its changes yet."""
        for put in swap.puts:
            if put.key.startswith(keys.WATCHED) and self._is_newer(put.key, revision):
                self._set(put.key, msgspec.to_builtins(put.value), revision)
        for key in swap.deletes:
            if key.startswith(keys.WATCHED) and revision > self.version(key):
                self._record_absence(key, revision)
                self._set(key, None, revision)

    def _is_newer(self, key: str, version: int) -> bool:
        """Return whether a version of a key is newer than what the view knows of the key.

        The view stores no version for a deleted key. A version of a key that the view lacks must
        therefore be newer than the view's revision, and than any later revision at which the key is
        known not to exist.
        Otherwise the late response to a read or to a commit would restore a deleted record. The
        watch would never remove this record, since it has already returned the deletion.
        """
        if key in self.versions:
            return version > self.versions[key]
        return version > max(self.revision, self._absence_revision(key))

    def _absence_revision(self, key: str) -> int:
        """Return the latest revision at which the key is known not to exist.

        Returns 0 if no such revision later than ``self.revision`` is known.
        """
        listed_at = max(
            (listed.revision for listed in self._listed_ranges if listed.covers(key)), default=0
        )
        return max(listed_at, self._absent_at.get(key, 0))

    def _record_absence(self, key: str, revision: int) -> None:
        if revision > self.revision:
            self._absent_at[key] = max(revision, self._absent_at.get(key, 0))

    def _advance(self, revision: int) -> None:
        """Raise ``self.revision``, and drop the known absences at this or earlier revisions."""
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
        """Set the value and version of a key, or remove the key if the value is None."""
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
            while len(self.removed_machines) > MAX_REMOVED_MACHINES:
                self.removed_machines.popitem(last=False)
        self.changed_machines.add(name)

    def _set_node(self, node: str, value: Any) -> None:
        if value is None:
            self.nodes.pop(node, None)
        else:
            self.nodes[node] = int(value)
        self.shard_map_changed = True
