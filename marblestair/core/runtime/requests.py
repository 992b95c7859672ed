"""What a flow of the core can ask the outside for, and what comes back.

A status of 0 means that no answer came: the call may have been carried out, or may yet be.
``NOT_SENT`` means that it certainly was not.
"""

from __future__ import annotations

from typing import Any, TypeAlias

import msgspec

from marblestair.core.domain.model import MachineType

NOT_SENT = -1

#: lanes, in order of precedence within a node's budget of requests
LEASE, ACCEPT, FINAL, PROGRESS, SPLIT, LOOKUP = range(6)


class Get(msgspec.Struct, frozen=True):
    """Read one key."""

    key: str
    lane: int = ACCEPT


class ListKeys(msgspec.Struct, frozen=True):
    """Read the keys with a prefix, after a key."""

    prefix: str
    after: str = ""
    limit: int = 200
    lane: int = SPLIT


class Put(msgspec.Struct, frozen=True):
    """One change of a commit."""

    key: str
    value: Any
    lease: int | None = None


class Commit(msgspec.Struct, frozen=True):
    """An atomic change, carried out if every guard key has its version."""

    guards: list[tuple[str, int]]
    puts: list[Put] = []
    deletes: list[str] = []
    lane: int = ACCEPT

    @property
    def writes(self) -> int:
        """Changes that count against the budget."""
        return len(self.puts) + len(self.deletes)


class LeaseGrant(msgspec.Struct, frozen=True):
    """Ask for a lease."""

    ttl_ms: int
    lane: int = LEASE


class LeaseRenew(msgspec.Struct, frozen=True):
    """Renew a lease."""

    lease: int
    lane: int = LEASE


class Watch(msgspec.Struct, frozen=True):
    """Wait for changes of a prefix after a revision."""

    prefix: str
    rev: int
    wait_ms: int
    lane: int = LEASE


StateOp: TypeAlias = Get | ListKeys | Commit | LeaseGrant | LeaseRenew | Watch


class Item(msgspec.Struct, frozen=True):
    """A listed key."""

    key: str
    value: Any
    version: int


class Event(msgspec.Struct, frozen=True):
    """A change seen by a watch; a value of None is a deletion."""

    key: str
    value: Any
    version: int


class StateResult(msgspec.Struct, frozen=True):
    """Answer of the state service."""

    status: int
    value: Any = None
    version: int = 0
    rev: int = 0
    items: list[Item] = []
    events: list[Event] = []
    more: bool = False
    failed: list[str] = []
    lease: int = 0


class CloudTypes(msgspec.Struct, frozen=True):
    """Ask for the machine types."""


class CloudRent(msgspec.Struct, frozen=True):
    """Rent machines under a name that is never reused."""

    name: str
    type: str
    zone: str
    spot: bool
    count: int


class CloudDelete(msgspec.Struct, frozen=True):
    """Give machines back."""

    machines: list[str]


class CloudList(msgspec.Struct, frozen=True):
    """List machines by name."""

    after: str = ""
    limit: int = 500


CloudOp: TypeAlias = CloudTypes | CloudRent | CloudDelete | CloudList


class Listed(msgspec.Struct, frozen=True):
    """A machine in the cloud's list."""

    name: str
    addr: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float


class CloudResult(msgspec.Struct, frozen=True):
    """Answer of the cloud."""

    status: int
    no_capacity: bool = False
    types: list[MachineType] = []
    machines: list[str] = []
    listed: list[Listed] = []
    more: bool = False


class PeerCall(msgspec.Struct, frozen=True):
    """Ask another controller; answered with its value, or None when none came in time."""

    node: str
    tag: str
    args: list[Any]
    timeout_s: float


class Sleep(msgspec.Struct, frozen=True):
    """Go on later."""

    seconds: float


class Inspect(msgspec.Struct, frozen=True):
    """Ask a worker for its report at once; None when it does not answer."""

    addr: str


Call: TypeAlias = StateOp | CloudOp | PeerCall | Inspect | Sleep
