"""Rental of machines from the cloud.

Before a leader requests machines from the cloud, it records the rental in the store as an intent,
under a name that is never reused.
"""

from __future__ import annotations

import msgspec

from marblestair.core.capacity.capacity_refusals import CapacityRefusals
from marblestair.core.capacity.provisioning import UNKNOWN_BOOT_S, RentalRequest
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.runtime.cloud_requests import CloudResponse, RentMachines
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.requests import Sleep
from marblestair.core.runtime.store_requests import (
    CompareAndSwap,
    ListKeys,
    Put,
    RequestPriority,
    StoredKey,
    StoreResponse,
)
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys
from marblestair.core.state.machine_catalog import MachineCatalog
from marblestair.core.state.records import MachineRecord, RentalIntent
from marblestair.core.state.store_view import StoreView

#: maximum age of an earlier leader's intent at which a new leader still carries it out, in agent
#: leases
MAX_INTENT_AGE_LEASES = 2.0
#: time for which a kind is not requested after a refusal, in the kind's boot times; and the minimum
#: of that time, in seconds, if the cloud granted no machine at all
REFUSED_BOOT_TIMES, MIN_REFUSED_S = 0.5, 5.0
#: mean pause before a rental request that was neither granted nor refused is repeated: the first
#: pause, the factor by which each further pause is longer, and the maximum
FIRST_RETRY_PAUSE_S, RETRY_PAUSE_GROWTH, MAX_RETRY_PAUSE_S = 0.5, 1.6, 4.0
#: maximum number of intents in one page of a listing, and the pause after a failed listing
MAX_LISTED_INTENTS, LISTING_RETRY_PAUSE_S = 200, 0.5


class Rentals:
    """Rents machines for the shards that one node leads."""

    def __init__(
        self,
        context: NodeContext,
        view: StoreView,
        leadership: Leadership,
        catalog: MachineCatalog,
        refusals: CapacityRefusals,
    ) -> None:
        self._context = context
        self._view = view
        self._leadership = leadership
        self._catalog = catalog
        self._refusals = refusals
        #: number of rentals that this process has started; makes the names of rentals unique
        self._count = 0

    def _is_current(self, shard: Shard) -> bool:
        return self._leadership.shards.get(shard.shard_id) is shard

    def rent(self, shard: Shard, rental: RentalRequest) -> Coroutine[int]:
        """Rent machines, and return how many the cloud granted.

        If the write of the intent is not confirmed, nothing is requested from the cloud. The
        requested number is returned then, so that the caller does not take the failure for a
        refusal of the cloud.
        """
        self._count += 1
        name = f"r-{shard.term}-{self._count}"
        key = keys.rental_intent(shard.shard_id, name)
        intent = RentalIntent(
            rental.machine_type,
            rental.zone,
            rental.spot,
            rental.count,
            round(self._context.wall_time, 1),
        )
        fence = self._leadership.fence_precondition(shard.shard_id)
        response: StoreResponse = yield CompareAndSwap(
            [(key, 0), fence], [Put(key, intent)], [], RequestPriority.CAPACITY
        )
        if response.status != 200:
            if response.status == 0:
                shard.obsolete_keys[key] = None
            return rental.count
        return (yield from self._rent_recorded(shard, name, rental, response.revision))

    def _rent_recorded(
        self, shard: Shard, name: str, rental: RentalRequest, intent_version: int
    ) -> Coroutine[int]:
        """Carry out a recorded rental; return the number of machines that the cloud granted."""
        machines = yield from self._request(shard, name, rental, intent_version)
        if machines is None:
            return 0
        kind = f"machine_type={rental.machine_type} zone={rental.zone} spot={rental.spot}"
        self._context.log("info", f"rented {machines} as {name}: {kind}")
        if len(machines) < rental.count:
            self._record_refusal(rental, 0.0)
        else:
            self._refusals.record_grant((rental.machine_type, rental.zone, rental.spot))
        yield from self._record_machines(shard, name, rental, intent_version, machines)
        return len(machines)

    def _request(
        self, shard: Shard, name: str, rental: RentalRequest, intent_version: int
    ) -> Coroutine[list[str] | None]:
        """Request the machines until the cloud grants or refuses them; return the granted ones.

        Returns None if the cloud refuses, after marking the intent as obsolete, or if a request
        fails and this node no longer leads the shard.
        """
        pause_s = FIRST_RETRY_PAUSE_S
        while True:
            response: CloudResponse = yield RentMachines(
                name, rental.machine_type, rental.zone, rental.spot, rental.count
            )
            if response.status == 200:
                return response.machines
            if response.status == 400 or (response.status == 503 and response.no_capacity):
                self._record_refusal(rental, MIN_REFUSED_S)
                shard.obsolete_keys[keys.rental_intent(shard.shard_id, name)] = intent_version
                return None
            if not self._is_current(shard):
                return None
            yield Sleep(pause_s * (0.8 + 0.4 * self._context.rng.random()))
            pause_s = min(MAX_RETRY_PAUSE_S, pause_s * RETRY_PAUSE_GROWTH)

    def _record_refusal(self, rental: RentalRequest, min_s: float) -> None:
        """Record that the cloud refused machines of a kind.

        The kind is then not requested for some boot times, or ``min_s`` seconds if that is longer.
        """
        machine_type = self._catalog.types.get(rental.machine_type)
        boot_s = machine_type.boot_s if machine_type is not None else UNKNOWN_BOOT_S
        key = (rental.machine_type, rental.zone, rental.spot)
        self._refusals.record_refusal(key, max(min_s, REFUSED_BOOT_TIMES * boot_s))

    def _record_machines(
        self,
        shard: Shard,
        name: str,
        rental: RentalRequest,
        intent_version: int,
        machines: list[str],
    ) -> Coroutine[None]:
        """Record rented machines in the shard, and delete the intent with the last batch."""
        intent_key = keys.rental_intent(shard.shard_id, name)
        batch_size = max(1, self._context.max_batch_changes - 1)
        remaining = list(machines)
        while remaining:
            batch, rest = remaining[:batch_size], remaining[batch_size:]
            puts = [
                Put(keys.MACHINES + machine, self._machine_record(shard, rental))
                for machine in batch
            ]
            # This write may be committed after the machine was released. The machine then never
            # sends a heartbeat, and its record is removed after the boot timeout.
            preconditions = [(put.key, 0) for put in puts]
            preconditions.append(self._leadership.fence_precondition(shard.shard_id))
            preconditions.append((intent_key, intent_version))
            swap = CompareAndSwap(
                preconditions, puts, [] if rest else [intent_key], RequestPriority.CAPACITY
            )
            response: StoreResponse = yield swap
            if response.status == 200:
                self._view.apply_commit(swap, response.revision)
                self._view.publish_changes()
                remaining = rest
                continue
            if not self._is_current(shard):
                return
            if response.status == 409:
                # Some machines were recorded by an earlier attempt or registered by another node.
                remaining = [machine for machine in remaining if self._is_unknown(machine)]
                if not remaining:
                    shard.obsolete_keys[intent_key] = None
                    return
            yield Sleep(0.2 + 0.2 * self._context.rng.random())

    def _machine_record(self, shard: Shard, rental: RentalRequest) -> MachineRecord:
        return MachineRecord(
            shard.shard_id,
            rental.machine_type,
            rental.zone,
            rental.spot,
            round(self._context.wall_time, 1),
        )

    def _is_unknown(self, machine: str) -> bool:
        """Whether a machine has no record and is not known to have been removed."""
        return machine not in self._view.machines and machine not in self._view.removed_machines

    # --- intents of earlier leaders --------------------------------------------------------

    def finish_recorded(self, shard: Shard) -> Coroutine[None]:
        """Carry out the recent rentals that earlier leaders recorded but did not finish.

        The cloud answers a repeated name with the same machines, so machines that were granted but
        not recorded are put to use. Intents older than ``MAX_INTENT_AGE_LEASES`` are only marked
        obsolete, because a new request could rent machines that are no longer needed. Machines that
        were granted for these intents are not lost: those without a record are found by their
        heartbeats or in the cloud's list (see ``MachineRegistry``).
        """
        prefix = f"{keys.RENTAL_INTENTS}{shard.shard_id}/"
        after_key = ""
        while self._is_current(shard):
            response: StoreResponse = yield ListKeys(prefix, after_key, MAX_LISTED_INTENTS)
            if response.status != 200:
                yield Sleep(LISTING_RETRY_PAUSE_S)
                continue
            for item in response.items:
                if not self._is_current(shard):
                    return
                name = item.key[len(prefix) :]
                if not name.startswith(f"r-{shard.term}-"):
                    yield from self._finish_intent(shard, name, item)
            if not response.has_more or not response.items:
                return
            after_key = response.items[-1].key

    def _finish_intent(self, shard: Shard, name: str, item: StoredKey) -> Coroutine[None]:
        intent = msgspec.convert(item.value, RentalIntent)
        max_age_s = MAX_INTENT_AGE_LEASES * self._context.settings.cluster.workers.lease_s
        recorded_at = intent.recorded_at
        if recorded_at is not None and self._context.wall_time - recorded_at > max_age_s:
            shard.obsolete_keys[item.key] = item.version
            return
        rental = RentalRequest(intent.machine_type, intent.zone, intent.spot, intent.count)
        yield from self._rent_recorded(shard, name, rental, item.version)
