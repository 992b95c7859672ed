"""Requests to the store, a consensus-backed key-value store, and its responses.

Status 0 means that no response arrived: the store may have executed the request or may still
execute it. Status ``NOT_SENT`` means that the request was never sent, so the store never executes
it.
"""

from __future__ import annotations

import enum
from typing import Any, TypeAlias

import msgspec

#: status of a request that was never sent
NOT_SENT = -1


class RequestPriority(enum.IntEnum):
    """Priority of a request under the node's rate limits; the lowest value is served first."""

    #: leases, the watch, the shard map and the recovery of shards
    LEASE = 0
    #: acceptance and cancels of jobs
    ACCEPTANCE = 1
    #: releases, migrations and final states of jobs, and removals of machines
    FINAL_STATE = 2
    #: writes and deletions of progress pages, and final states that can be deferred
    PROGRESS = 3
    #: additions and transfers of machines, rentals and machine types
    CAPACITY = 4
    #: reads for users' queries and of the states of parent jobs
    LOOKUP = 5


class Get(msgspec.Struct, frozen=True):
    """Read one key."""

    key: str
    priority: RequestPriority = RequestPriority.ACCEPTANCE


class ListKeys(msgspec.Struct, frozen=True):
    """Read the keys with a prefix that sort after ``after_key``, at most ``limit`` of them."""

    prefix: str
    after_key: str = ""
    limit: int = 200
    priority: RequestPriority = RequestPriority.CAPACITY


class Put(msgspec.Struct, frozen=True):
    """Set a key to a value, as part of a :class:`CompareAndSwap`."""

    key: str
    value: Any
    #: lease to attach the key to; the store deletes the key when the lease expires
    lease_id: int | None = None


class CompareAndSwap(msgspec.Struct, frozen=True):
    """A transaction that is applied only if its preconditions hold.

    A precondition is a key and the version that the key must have. Version 0 stands for a key that
    does not exist.
    """

    preconditions: list[tuple[str, int]]
    puts: list[Put] = []
    deletes: list[str] = []
    priority: RequestPriority = RequestPriority.ACCEPTANCE

    @property
    def change_count(self) -> int:
        """Number of changes, which count against the node's write rate limit."""
        return len(self.puts) + len(self.deletes)


class GrantLease(msgspec.Struct, frozen=True):
    """Request a new lease."""

    ttl_ms: int
    priority: RequestPriority = RequestPriority.LEASE


class RenewLease(msgspec.Struct, frozen=True):
    """Renew a lease."""

    lease_id: int
    priority: RequestPriority = RequestPriority.LEASE


class Watch(msgspec.Struct, frozen=True):
    """Read the changes after a revision to keys with a prefix.

    If there are no such changes, the store waits up to ``wait_ms`` for one.
    """

    prefix: str
    after_revision: int
    wait_ms: int
    priority: RequestPriority = RequestPriority.LEASE


StoreRequest: TypeAlias = Get | ListKeys | CompareAndSwap | GrantLease | RenewLease | Watch


class StoredKey(msgspec.Struct, frozen=True):
    """A key in the response to :class:`ListKeys`."""

    key: str
    value: Any
    version: int


class KeyChange(msgspec.Struct, frozen=True):
    """A change returned by a watch; a value of None means that the key was deleted."""

    key: str
    value: Any
    version: int


class StoreResponse(msgspec.Struct, frozen=True):
    """A response of the store."""

    #: HTTP status; 0 if no response was received, NOT_SENT if the request was not sent
    status: int
    value: Any = None
    version: int = 0
    revision: int = 0
    items: list[StoredKey] = []
    events: list[KeyChange] = []
    has_more: bool = False
    failed_keys: list[str] = []
    lease_id: int = 0
