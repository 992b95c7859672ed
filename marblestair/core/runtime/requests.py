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
    after_key: str = ""
    limit: int = 200
    lane: int = SPLIT


class Put(msgspec.Struct, frozen=True):
    """One change of a commit."""

    key: str
    value: Any
    lease_id: int | None = None


class CompareAndSwap(msgspec.Struct, frozen=True):
    """An atomic change, carried out if every guard key has its version."""

    preconditions: list[tuple[str, int]]
    puts: list[Put] = []
    deletes: list[str] = []
    lane: int = ACCEPT

    @property
    def change_count(self) -> int:
        """Changes that count against the budget."""
        return len(self.puts) + len(self.deletes)


class GrantLease(msgspec.Struct, frozen=True):
    """Ask for a lease."""

    ttl_ms: int
    lane: int = LEASE


class RenewLease(msgspec.Struct, frozen=True):
    """Renew a lease."""

    lease_id: int
    lane: int = LEASE


class Watch(msgspec.Struct, frozen=True):
    """Wait for changes of a prefix after a revision."""

    prefix: str
    after_revision: int
    wait_ms: int
    lane: int = LEASE


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
    """Answer of the state service."""

    status: int
    value: Any = None
    version: int = 0
    revision: int = 0
    items: list[StoredKey] = []
    events: list[KeyChange] = []
    has_more: bool = False
    failed_keys: list[str] = []
    lease_id: int = 0


class ListMachineTypes(msgspec.Struct, frozen=True):
    """Ask for the machine types."""


class RentMachines(msgspec.Struct, frozen=True):
    """Rent machines under a name that is never reused."""

    name: str
    machine_type: str
    zone: str
    spot: bool
    count: int


class ReleaseMachines(msgspec.Struct, frozen=True):
    """Give machines back."""

    machines: list[str]


class ListMachines(msgspec.Struct, frozen=True):
    """List machines by name."""

    after_name: str = ""
    limit: int = 500


CloudRequest: TypeAlias = ListMachineTypes | RentMachines | ReleaseMachines | ListMachines


class ListedMachine(msgspec.Struct, frozen=True):
    """A machine in the cloud's list."""

    name: str
    address: str
    machine_type: str
    zone: str
    spot: bool
    state: str
    age_s: float


class CloudResponse(msgspec.Struct, frozen=True):
    """Answer of the cloud."""

    status: int
    no_capacity: bool = False
    machine_types: list[MachineType] = []
    machines: list[str] = []
    listed: list[ListedMachine] = []
    has_more: bool = False


class PeerRequest(msgspec.Struct, frozen=True):
    """Ask another controller; answered with its value, or None when none came in time."""

    node: str
    tag: str
    args: list[Any]
    timeout_s: float


class Sleep(msgspec.Struct, frozen=True):
    """Go on later."""

    seconds: float


class InspectAgent(msgspec.Struct, frozen=True):
    """Ask a worker for its report at once; None when it does not answer."""

    address: str


OutsideRequest: TypeAlias = StoreRequest | CloudRequest | PeerRequest | InspectAgent | Sleep
