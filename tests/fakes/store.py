"""An in-memory key-value store: versions, leases, watches, limits, outages."""

from __future__ import annotations

import dataclasses
from typing import Any, NamedTuple

import msgspec

from marblestair.core.runtime.store_requests import (
    CompareAndSwap,
    Get,
    GrantLease,
    KeyChange,
    ListKeys,
    RenewLease,
    StoredKey,
    StoreRequest,
    StoreResponse,
)
from marblestair.core.state import keys
from tests.fakes.event_queue import EventQueue

#: how long a lease outlives its time
LEASE_GRACE_S = 0.05
#: a limit of value sizes or of changes that nothing reaches
UNLIMITED = 1 << 30
#: keys that a late retry may create anew after their deletion: a membership is dropped like that
#: of a machine that ended; a progress page says only what is done, which stays true; the name of a
#: rental intent gives the same machines again, or none
RECREATABLE_PREFIXES = (keys.MACHINES, keys.PROGRESS, keys.RENTAL_INTENTS)


class StoredValue(NamedTuple):
    """The value of a key, the revision of its last change, and the lease it ends with."""

    value: Any
    version: int
    lease_id: int | None = None


class RequestOrder(NamedTuple):
    """A process that sends requests, and the place of one of them in the order they were made."""

    process: int
    number: int


@dataclasses.dataclass
class StoreLease:
    """A lease that keys are tied to."""

    duration_s: float
    expires_at: float


class FakeStore:
    """Executes requests at once; delays, lost responses and late commits are ``StoreLink``'s."""

    def __init__(self, events: EventQueue) -> None:
        self._events = events
        self.revision = 0
        self.data: dict[str, StoredValue] = {}
        self._changes: list[KeyChange] = []
        self.leases: dict[int, StoreLease] = {}
        self._next_lease_id = 1
        #: changes that a watch can go back; an older watch is refused, and the keys are read again
        self.watch_history_limit = 10_000
        #: most items in one page of a listing
        self.page_limit = 1000
        #: the latest revision of which the history has lost changes
        self._compacted_revision = 0
        self.is_down = False
        #: nodes whose requests are refused
        self.refused_nodes: set[str] = set()
        #: changes carried out
        self.change_count = 0
        #: limits of one value in bytes and of one commit in changes
        self.value_limit_bytes = UNLIMITED
        self.max_changes_per_commit = UNLIMITED
        #: commits that were refused because they exceeded a limit
        self.oversized_commits: list[str] = []
        self.largest_value_bytes = 0
        #: changes without a precondition on their own key, or carried out after a newer one of the
        #: same process: the checker reports them as violations
        self.unsafe_changes: list[str] = []
        #: (key, process) -> number of the latest request that changed the key
        self._latest_request: dict[tuple[str, int], int] = {}

    def set_limits(self, limits: dict[str, Any]) -> None:
        """Have these limits of values and commits from now on, named as in the settings."""
        self.value_limit_bytes = int(limits.get("value_kb", 64) * 1024)
        self.max_changes_per_commit = int(limits.get("txn_ops", UNLIMITED))

    def start_outage(self) -> None:
        """Answer all requests with 503 from now on."""
        self.is_down = True

    def end_outage(self) -> None:
        """Serve again; all leases have their full time again."""
        self.is_down = False
        for lease in self.leases.values():
            lease.expires_at = self._events.now + lease.duration_s

    def put(self, key: str, value: Any, version: int | None = None) -> int:
        """Store a value past all checks, as of a new revision or of the given one; its version."""
        if version is None:
            self.revision += 1
            version = self.revision
        self.data[key] = StoredValue(value, version)
        return version

    def value(self, key: str) -> Any:
        """The value of a key that exists."""
        return self.data[key].value

    def version(self, key: str) -> int:
        """The version of a key, or 0."""
        return self.data[key].version if key in self.data else 0

    def keys_with_prefix(self, prefix: str) -> list[str]:
        """The keys with a prefix."""
        return [key for key in self.data if key.startswith(prefix)]

    def execute(
        self, request: StoreRequest, node: str, order: RequestOrder | None = None
    ) -> StoreResponse:
        """Execute a request of a node, of which ``order`` says when it was made."""
        self._expire_leases()
        if self.is_down or node in self.refused_nodes:
            return StoreResponse(503)
        if isinstance(request, Get):
            return self._get(request)
        if isinstance(request, ListKeys):
            return self._list(request)
        if isinstance(request, GrantLease):
            return self._grant_lease(request)
        if isinstance(request, RenewLease):
            return self._renew_lease(request)
        if isinstance(request, CompareAndSwap):
            response = self._commit(request)
            if response.status == 200:
                self._check_safety(request, order)
            return response
        raise TypeError(request)

    def _get(self, request: Get) -> StoreResponse:
        if request.key not in self.data:
            return StoreResponse(404, revision=self.revision)
        stored = self.data[request.key]
        return StoreResponse(200, value=stored.value, version=stored.version)

    def _list(self, request: ListKeys) -> StoreResponse:
        found = sorted(
            key for key in self.data if key.startswith(request.prefix) and key > request.after_key
        )
        limit = min(request.limit, self.page_limit)
        items = [
            StoredKey(key, self.data[key].value, self.data[key].version) for key in found[:limit]
        ]
        return StoreResponse(200, items=items, has_more=len(found) > limit, revision=self.revision)

    def _grant_lease(self, request: GrantLease) -> StoreResponse:
        lease_id = self._next_lease_id
        self._next_lease_id += 1
        duration_s = request.ttl_ms / 1000
        self.leases[lease_id] = StoreLease(duration_s, self._events.now + duration_s)
        return StoreResponse(200, lease_id=lease_id)

    def _renew_lease(self, request: RenewLease) -> StoreResponse:
        if request.lease_id not in self.leases:
            return StoreResponse(404)
        lease = self.leases[request.lease_id]
        lease.expires_at = self._events.now + lease.duration_s
        return StoreResponse(200)

    def _expire_leases(self) -> None:
        """Delete the keys of leases whose time is over."""
        if self.is_down:
            return
        expired = [
            lease_id
            for lease_id, lease in self.leases.items()
            if lease.expires_at + LEASE_GRACE_S < self._events.now
        ]
        for lease_id in expired:
            del self.leases[lease_id]
            dead = [key for key, stored in self.data.items() if stored.lease_id == lease_id]
            if dead:
                self.revision += 1
                for key in dead:
                    del self.data[key]
                    self._changes.append(KeyChange(key, None, self.revision))

    def _commit(self, request: CompareAndSwap) -> StoreResponse:
        if any(
            put.lease_id is not None and put.lease_id not in self.leases for put in request.puts
        ):
            return StoreResponse(400)
        if self._is_oversized(request):
            return StoreResponse(400)
        failed = [key for key, version in request.preconditions if self.version(key) != version]
        if failed:
            return StoreResponse(409, revision=self.revision, failed_keys=failed)
        if request.puts or request.deletes:
            self.revision += 1
            self.change_count += request.change_count
        for put in request.puts:
            # As on the wire: what is stored is a copy made of plain values.
            value = msgspec.msgpack.decode(msgspec.msgpack.encode(put.value))
            self.data[put.key] = StoredValue(value, self.revision, put.lease_id)
            self._changes.append(KeyChange(put.key, value, self.revision))
        for key in request.deletes:
            if self.data.pop(key, None) is not None:
                self._changes.append(KeyChange(key, None, self.revision))
        return StoreResponse(200, revision=self.revision)

    def _is_oversized(self, request: CompareAndSwap) -> bool:
        """Whether a commit exceeds a limit, which is recorded."""
        sizes = {put.key: len(msgspec.msgpack.encode(put.value)) for put in request.puts}
        largest = max(sizes.values(), default=0)
        self.largest_value_bytes = max(self.largest_value_bytes, largest)
        if (
            largest <= self.value_limit_bytes
            and request.change_count <= self.max_changes_per_commit
        ):
            return False
        self.oversized_commits.append(f"too large: {request.change_count} changes, {sizes}")
        return True

    def _check_safety(self, request: CompareAndSwap, order: RequestOrder | None) -> None:
        """No change may undo a newer one of the same process, however late it comes."""
        guarded = dict(request.preconditions)
        for key in (*(put.key for put in request.puts), *request.deletes):
            # A fence changes only with the shard map, whose version orders both.
            is_fence = key.startswith(keys.FENCES) and keys.SHARD_MAP in guarded
            if key not in guarded and not is_fence:
                self.unsafe_changes.append(f"unguarded: {key}")
            if order is None:
                continue
            newest = self._latest_request.get((key, order.process), -1)
            is_recreated = guarded.get(key) == 0 and key.startswith(RECREATABLE_PREFIXES)
            if order.number < newest and not is_recreated:
                self.unsafe_changes.append(
                    f"reordered: {key}, request {order.number} after {newest}"
                )
            self._latest_request[(key, order.process)] = max(order.number, newest)

    def changes_after(self, prefix: str, revision: int) -> StoreResponse:
        """What a watch returns; 410 when the history does not reach back to the revision."""
        excess = len(self._changes) - self.watch_history_limit
        if excess > 0:
            self._compacted_revision = self._changes[excess - 1].version
            del self._changes[:excess]
        if revision < self._compacted_revision:
            return StoreResponse(410)
        events: list[KeyChange] = []
        for change in reversed(self._changes):
            if change.version <= revision:
                break
            if change.key.startswith(prefix):
                events.append(change)
        return StoreResponse(200, events=events[::-1], revision=self.revision)
