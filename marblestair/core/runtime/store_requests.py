"""Requests to the store (a consensus-backed key-value store), and its responses.

A status of 0 means that no response came: the request may have been carried out, or may yet be.
``NOT_SENT`` means that it certainly was not.
"""

from __future__ import annotations

import enum
from typing import Any, TypeAlias

import msgspec

#: status of a request that was never sent
NOT_SENT = -1


class RequestPriority(enum.IntEnum):
    """Lanes of requests, in order of precedence within a node's budget."""

    LEASE = 0
    ACCEPTANCE = 1
    FINAL_STATE = 2
    PROGRESS = 3
    SHARD_MAP = 4
    LOOKUP = 5


class Get(msgspec.Struct, frozen=True):
    """Read one key."""

    key: str
    priority: RequestPriority = RequestPriority.ACCEPTANCE


class ListKeys(msgspec.Struct, frozen=True):
    """Read the keys with a prefix, after a key."""

    prefix: str
    after_key: str = ""
    limit: int = 200
    priority: RequestPriority = RequestPriority.SHARD_MAP


class Put(msgspec.Struct, frozen=True):
    """One change of a commit."""

    key: str
    value: Any
    lease_id: int | None = None


class CompareAndSwap(msgspec.Struct, frozen=True):
    """An atomic change, carried out if every key of the preconditions has its version.

    Version 0 stands for a key that does not exist.
    """

    preconditions: list[tuple[str, int]]
    puts: list[Put] = []
    deletes: list[str] = []
    priority: RequestPriority = RequestPriority.ACCEPTANCE

    @property
    def change_count(self) -> int:
        """Changes that count against the budget."""
        return len(self.puts) + len(self.deletes)


class GrantLease(msgspec.Struct, frozen=True):
    """Ask for a lease."""

    ttl_ms: int
    priority: RequestPriority = RequestPriority.LEASE


class RenewLease(msgspec.Struct, frozen=True):
    """Renew a lease."""

    lease_id: int
    priority: RequestPriority = RequestPriority.LEASE


class Watch(msgspec.Struct, frozen=True):
    """Wait for changes of a prefix after a revision."""

    prefix: str
    after_revision: int
    wait_ms: int
    priority: RequestPriority = RequestPriority.LEASE


StoreRequest: TypeAlias = Get | ListKeys | CompareAndSwap | GrantLease | RenewLease | Watch


class StoredKey(msgspec.Struct, frozen=True):
    """A listed key."""

    key: str
    value: Any
    version: int


class KeyChange(msgspec.Struct, frozen=True):
    """A change seen by a watch; a value of None is a deletion."""

    key: str
    value: Any
    version: int


class StoreResponse(msgspec.Struct, frozen=True):
    """A response of the store."""

    #: HTTP status; 0 when no response came, NOT_SENT when the request was not sent
    status: int
    value: Any = None
    version: int = 0
    revision: int = 0
    items: list[StoredKey] = []
    events: list[KeyChange] = []
    has_more: bool = False
    failed_keys: list[str] = []
    lease_id: int = 0
