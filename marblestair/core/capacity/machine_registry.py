"""Registration of machines that belong to no shard.

These machines are found by their heartbeats or in the cloud's list. Machines that have failed, or
that still run tasks although they have no record, are released; the others are registered in a
shard.
"""

from __future__ import annotations

from marblestair.core.domain.agents import Heartbeat
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.runtime.cloud_requests import (
    CloudResponse,
    ListedMachine,
    ListMachines,
    ReleaseMachines,
)
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.requests import InspectAgent, Sleep
from marblestair.core.runtime.store_requests import (
    CompareAndSwap,
    Put,
    RequestPriority,
    StoreResponse,
)
from marblestair.core.shard.heartbeat_response import HeartbeatResponse
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys
from marblestair.core.state.records import MachineRecord, ShardMap
from marblestair.core.state.store_view import StoreView

#: shard whose leader registers machines from the cloud's list, on behalf of all shards
LISTING_SHARD = 0
#: mean pause between two listings: a multiple of the lag of the cloud's list (the setting
#: ``list_lag_s``), but at least the minimum in seconds
MIN_LISTING_PAUSE_S, LISTING_PAUSE_LAGS = 2.0, 1.2
#: minimum age of a listed machine before it is registered: a time in seconds, plus a multiple of
#: the list's lag; the leader that rented a younger machine may still be recording the machine
MIN_LISTED_AGE_S, LISTED_AGE_LAGS = 15.0, 2
#: minimum time for which a machine must have been listed before it is registered, as a multiple of
#: the list's lag; the list still shows machines for a while after their release
MIN_LISTED_LAGS = 2
#: minimum pause after a failed inspection or release of a machine before the next attempt
REGISTRY_RETRY_PAUSE_S = 1.0
#: state in the cloud's list of a machine that stopped without being released
FAILED_STATE = "failed"


class MachineRegistry:
    """Registers or releases machines that one node finds and that belong to no shard."""

    def __init__(self, context: NodeContext, view: StoreView, leadership: Leadership) -> None:
        self._context = context
        self._view = view
        self._leadership = leadership
        #: names of the machines that are being registered, and of those that are being released
        self._registering: set[str] = set()
        self._releasing: set[str] = set()

    # --- found by heartbeats ---------------------------------------------------------------

    def receive_unregistered(self, heartbeat: Heartbeat) -> HeartbeatResponse:
        """Handle a heartbeat of a machine that belongs to no shard, and return the response.

        Nothing is done if the machine was removed or is being released, or if this node leads no
        shard or has not read the shard map. Otherwise, a machine that reports tasks is released.
        For a machine without tasks, if some shard has at least two machines fewer than each shard
        that this node leads, the response has status 421 and the leader of the shard with the
        fewest machines. If there is no such shard, the machine is registered in the smallest shard
        that this node leads. The status is 503 in all cases but that of 421.
        """
        name = heartbeat.machine
        if name in self._view.removed_machines or name in self._releasing:
            return HeartbeatResponse(503)
        led_shards = self._leadership.led_shards()
        shard_map = self._view.shard_map
        if not led_shards or shard_map is None:
            return HeartbeatResponse(503)
        if heartbeat.tasks:
            # This machine's record was removed while its tasks still ran. The release ends them.
            self._releasing.add(name)
            self._context.spawn(self._release([name]))
            return HeartbeatResponse(503)
        counts = self._machine_counts(shard_map)
        best = min(led_shards, key=lambda shard: (counts[shard.shard_id], shard.shard_id))
        smallest = min(range(len(counts)), key=lambda shard_id: (counts[shard_id], shard_id))
        if counts[best.shard_id] > counts[smallest] + 1:
            return HeartbeatResponse(421, leader=self._leadership.leader_of(smallest))
        if name not in self._registering:
            self._registering.add(name)
            self._context.spawn(self._register_inspected(heartbeat, best))
        return HeartbeatResponse(503)

    def _machine_counts(self, shard_map: ShardMap) -> list[int]:
        counts = [0] * len(shard_map.shards)
        for record in self._view.machines.values():
            counts[record.shard_id] += 1
        return counts

    def _register_inspected(self, heartbeat: Heartbeat, shard: Shard) -> Coroutine[None]:
        """Register the sender of a heartbeat if its agent confirms that the machine exists.

        Without this check, a delayed heartbeat could register a machine that is already gone.
        """
        inspected: Heartbeat | None = yield InspectAgent(heartbeat.address)
        if inspected is None or inspected.machine != heartbeat.machine:
            yield Sleep(REGISTRY_RETRY_PAUSE_S)
            self._registering.discard(heartbeat.machine)
            return
        record = self._record(shard, heartbeat.machine_type, heartbeat.zone, heartbeat.spot)
        yield from self._register(heartbeat.machine, record)

    def _record(self, shard: Shard, machine_type: str, zone: str, spot: bool) -> MachineRecord:
        added_at = round(self._context.wall_time, 1)
        return MachineRecord(shard.shard_id, machine_type, zone, spot, added_at)

    def _register(self, name: str, record: MachineRecord) -> Coroutine[None]:
        """Write the record of a machine, unless the machine already has one."""
        key = keys.MACHINES + name
        fence = self._leadership.fence_precondition(record.shard_id)
        swap = CompareAndSwap([(key, 0), fence], [Put(key, record)], [], RequestPriority.CAPACITY)
        response: StoreResponse = yield swap
        if response.status == 200:
            self._view.apply_commit(swap, response.revision)
            self._view.publish_changes()
        self._registering.discard(name)

    def _release(self, names: list[str]) -> Coroutine[None]:
        response: CloudResponse = yield ReleaseMachines(names)
        if response.status != 200:
            yield Sleep(REGISTRY_RETRY_PAUSE_S)
        self._releasing.difference_update(names)

    # --- found in the cloud's list ---------------------------------------------------------

    def watch_machine_list(self) -> Coroutine[None]:
        """Periodically read the cloud's list to find failed and unregistered machines.

        Each node marks failed machines of its shards. Only the leader of ``LISTING_SHARD`` handles
        unregistered machines (``_register_listed``). The other nodes read the list only while the
        agent's lease of a machine in one of their shards has expired.
        """
        lag_s = self._context.settings.cluster.cloud.list_lag_s
        first_listed: dict[str, float] = {}
        pause_s = max(MIN_LISTING_PAUSE_S, LISTING_PAUSE_LAGS * lag_s)
        while True:
            yield Sleep(pause_s * (0.8 + 0.4 * self._context.rng.random()))
            is_lister = self._leadership.is_leader(LISTING_SHARD)
            if not is_lister and not self._has_silent_machines():
                continue
            listed = yield from self._list_machines()
            if listed is None:
                continue
            self._mark_failed(listed)
            if not self._leadership.is_leader(LISTING_SHARD):
                continue
            now = self._context.now
            first_listed = {machine.name: first_listed.get(machine.name, now) for machine in listed}
            for machine in listed:
                listed_s = now - first_listed[machine.name]
                if self._is_unregistered(machine, lag_s) and listed_s >= MIN_LISTED_LAGS * lag_s:
                    self._register_listed(machine)

    def _has_silent_machines(self) -> bool:
        return any(
            machine.is_lease_expired
            for shard in self._leadership.led_shards()
            for machine in shard.machines.values()
        )

    def _is_unregistered(self, machine: ListedMachine, lag_s: float) -> bool:
        """Whether a listed machine belongs to no shard and is old enough to be registered."""
        name = machine.name
        if name in self._view.machines or name in self._view.removed_machines:
            return False
        if name in self._registering:
            return False
        return machine.age_s >= MIN_LISTED_AGE_S + LISTED_AGE_LAGS * lag_s

    def _register_listed(self, machine: ListedMachine) -> None:
        """Register a listed machine in the listing shard, or release it if it has failed."""
        if machine.state == FAILED_STATE:
            self._context.spawn(self._release([machine.name]))
        elif machine.name not in self._registering:
            self._registering.add(machine.name)
            shard = self._leadership.shards[LISTING_SHARD]
            record = self._record(shard, machine.machine_type, machine.zone, machine.spot)
            self._context.spawn(self._register(machine.name, record))

    def _mark_failed(self, listed: list[ListedMachine]) -> None:
        """Mark machines that the cloud lists as failed and that stopped sending heartbeats."""
        failed = {machine.name for machine in listed if machine.state == FAILED_STATE}
        if not failed:
            return
        for shard in self._leadership.led_shards():
            for machine in shard.machines.values():
                # The list lags, so a machine that still sends heartbeats is not marked.
                if machine.is_lease_expired and machine.name in failed:
                    machine.has_failed = True

    def _list_machines(self) -> Coroutine[list[ListedMachine] | None]:
        """Return the machines in the cloud's list; None if a page of it could not be read."""
        found: list[ListedMachine] = []
        after_name = ""
        while True:
            response: CloudResponse = yield ListMachines(after_name)
            if response.status != 200:
                return None
            found += response.listed
            if not response.has_more or not response.listed:
                return found
            after_name = response.listed[-1].name
