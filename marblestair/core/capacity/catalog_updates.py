"""Updates of the catalog of machine types from the store and the cloud.

At start, the types are read from the store first, because the cloud may be unavailable.
"""

from __future__ import annotations

from typing import Any

import msgspec

from marblestair.core.domain.machines import MachineType
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.runtime.cloud_requests import CloudResponse, ListMachineTypes
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.requests import Sleep
from marblestair.core.runtime.store_requests import (
    CompareAndSwap,
    ListKeys,
    Put,
    RequestPriority,
    StoreResponse,
)
from marblestair.core.state import keys
from marblestair.core.state.machine_catalog import MachineCatalog

#: maximum number of keys in one page of a listing
MAX_LISTED_KEYS = 1000
#: minimum pause after a response of the cloud without new types, and the maximum of the random time
#: that is added to this minimum
MIN_REFRESH_PAUSE_S, REFRESH_JITTER_S = 60.0, 30.0
#: mean pause after a request to the cloud that returned no types: while the catalog has types, and
#: while it is empty
RETRY_WITH_TYPES_S, RETRY_WITHOUT_TYPES_S = 5.0, 0.8
#: pause after an attempt to write new types to the store
STORE_PAUSE_S = 1.0


class CatalogUpdates:
    """Keeps one node's catalog of machine types up to date."""

    def __init__(
        self, context: NodeContext, leadership: Leadership, catalog: MachineCatalog
    ) -> None:
        self._context = context
        self._leadership = leadership
        self._catalog = catalog
        #: name -> machine type, as read from or written to the store
        self._stored: dict[str, Any] = {}

    def maintain(self) -> Coroutine[None]:
        """Read the types from the store, then refresh them from the cloud periodically."""
        yield from self._load_stored()
        while True:
            response: CloudResponse = yield ListMachineTypes()
            if response.status != 200 or not response.machine_types:
                retry_s = RETRY_WITH_TYPES_S if self._catalog.types else RETRY_WITHOUT_TYPES_S
                yield Sleep(retry_s * (0.8 + 0.4 * self._context.rng.random()))
                continue
            self.update(response.machine_types)
            new = [
                machine_type
                for machine_type in response.machine_types
                if machine_type.name not in self._stored
            ]
            if new:
                yield from self._store(new)
                yield Sleep(STORE_PAUSE_S)
            else:
                yield Sleep(MIN_REFRESH_PAUSE_S + REFRESH_JITTER_S * self._context.rng.random())

    def update(self, machine_types: list[MachineType]) -> None:
        """Update the types in the catalog; set the type of machines whose type was unknown."""
        self._catalog.update(machine_types)
        for shard in self._leadership.shards.values():
            for machine in shard.machines.values():
                machine.set_machine_type(self._catalog.types.get(machine.type_name))

    def _load_stored(self) -> Coroutine[None]:
        """Read the types from the store, and retry until a read succeeds."""
        while not (yield from self._read_stored()):
            yield Sleep(0.3 + 0.3 * self._context.rng.random())
        if self._stored:
            self.update([msgspec.convert(stored, MachineType) for stored in self._stored.values()])

    def _read_stored(self) -> Coroutine[bool]:
        response: StoreResponse = yield ListKeys(keys.MACHINE_TYPES, "", MAX_LISTED_KEYS)
        if response.status != 200:
            return False
        self._stored = {item.key[len(keys.MACHINE_TYPES) :]: item.value for item in response.items}
        return True

    def _store(self, new: list[MachineType]) -> Coroutine[None]:
        """Write a batch of types that are not in the store yet.

        If another node has already stored a type of the batch, the store rejects the whole write,
        and the stored types are read again.
        """
        batch = new[: self._context.settings.cluster.state.txn_ops]
        puts = [Put(keys.MACHINE_TYPES + machine_type.name, machine_type) for machine_type in batch]
        preconditions = [(put.key, 0) for put in puts]
        response: StoreResponse = yield CompareAndSwap(
            preconditions, puts, [], RequestPriority.CAPACITY
        )
        if response.status == 409:
            yield from self._read_stored()
        if response.status == 200:
            self._stored.update((machine_type.name, machine_type) for machine_type in batch)
