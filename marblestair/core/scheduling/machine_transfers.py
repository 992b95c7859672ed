"""Transfers of idle machines to the shard of a gang that fits into no shard as it is."""

from __future__ import annotations

import msgspec

from marblestair.core.domain.jobs import JobSpec
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.leadership.shard_map import raise_term
from marblestair.core.leadership.shard_map_updates import ShardMapUpdates
from marblestair.core.messaging.received_summaries import ReceivedSummaries
from marblestair.core.messaging.shard_summary import ShardSummary
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.requests import Sleep
from marblestair.core.runtime.store_requests import (
    CompareAndSwap,
    Put,
    RequestPriority,
    StoreResponse,
)
from marblestair.core.scheduling.dispatch import Dispatcher
from marblestair.core.scheduling.fleet_plan import FleetPlan
from marblestair.core.scheduling.placement import (
    capacity_by_zone,
    gang_fits,
    may_run_on_machine,
    tasks_that_fit,
)
from marblestair.core.scheduling.preemption import Preemption
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import CordonReason, Machine
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys
from marblestair.core.state.records import ShardMap
from marblestair.core.state.store_follower import StoreFollower
from marblestair.core.state.store_view import StoreView

#: heartbeat intervals for which tasks are pending before their shard counts as without capacity
MIN_PENDING_HEARTBEATS = 1.5
#: seconds for which the summary of another shard counts
RECENT_SUMMARY_S = 2.0
#: attempts at one transfer, unless the outcome of one of them is uncertain
MAX_ATTEMPTS = 4


class MachineTransfers:
    """The machines that one node's shards transfer to others, one transfer at a time."""

    def __init__(  # noqa: PLR0913 - its collaborators
        self,
        context: NodeContext,
        view: StoreView,
        leadership: Leadership,
        follower: StoreFollower,
        shard_map_updates: ShardMapUpdates,
        summaries: ReceivedSummaries,
        failures: FailureAttribution,
        fleet_plan: FleetPlan,
        preemption: Preemption,
        dispatcher: Dispatcher,
    ) -> None:
        self._context = context
        self._view = view
        self._leadership = leadership
        self._follower = follower
        self._shard_map_updates = shard_map_updates
        self._summaries = summaries
        self._failures = failures
        self._fleet_plan = fleet_plan
        self._preemption = preemption
        self._dispatcher = dispatcher
        self._is_in_progress = False

    def lacks_capacity(self, job_slice: JobSlice) -> bool:
        """Whether tasks that must start together have been pending too long for lack of capacity.

        That is none of a slice which has tasks on machines, or whose state is about to change.
        """
        if not job_slice.spec.is_indivisible:
            return False
        if job_slice.placed_on or job_slice.migrating_ranges:
            return False
        if job_slice.is_unreconciled or job_slice.is_cancelled:
            return False
        min_pending_s = MIN_PENDING_HEARTBEATS * self._context.settings.cluster.workers.report_s
        if self._context.now - job_slice.pending_since <= min_pending_s:
            return False
        return not self._failures.is_quarantined(job_slice.spec.id)

    def transfer_idle_machines(self, shard: Shard) -> None:
        """Begin to transfer idle machines to the shard of a gang that fits into no shard as it is.

        Machines stay here while an older gang of this shard lacks capacity.
        """
        shard_map = self._view.shard_map
        if self._is_in_progress or shard_map is None or shard.unreconciled_machines:
            return
        idle = [
            machine
            for machine in shard.machines.values()
            if not machine.tasks and machine.is_usable(self._context.now)
        ]
        if not idle:
            return
        oldest_here = self._oldest_without_capacity(shard)
        for summary in self._recent_summaries(shard, shard_map):
            for job in summary.jobs_lacking_capacity:
                record = self._view.jobs.get(job)
                if record is None or record.is_cancelled:
                    continue
                if oldest_here is not None and (record.startable_since, job) > oldest_here:
                    continue
                machines = self._machines_for(idle, record.spec, summary)
                if machines:
                    self._begin(shard, machines, summary.shard_id)
                    return

    def _oldest_without_capacity(self, shard: Shard) -> tuple[float, str] | None:
        """The job here that lacks capacity and could first start: since when it may, and its id."""
        return min(
            (
                (job_slice.startable_since, job_slice.spec.id)
                for job_slice in self._dispatcher.pending_in_order(shard)
                if self.lacks_capacity(job_slice)
            ),
            default=None,
        )

    def _recent_summaries(self, shard: Shard, shard_map: ShardMap) -> list[ShardSummary]:
        """Recent summaries of the other shards by their present leaders."""
        return [
            summary
            for shard_id, (received_at, summary) in sorted(self._summaries.items())
            if shard_id != shard.shard_id
            and self._context.now - received_at <= RECENT_SUMMARY_S
            and summary.term == shard_map.shards[shard_id].term
        ]

    # --- choice of machines ----------------------------------------------------------------

    def _machines_for(
        self, idle: list[Machine], spec: JobSpec, summary: ShardSummary
    ) -> list[Machine]:
        """Choose idle machines that help a job in another shard, if capacity is what it lacks.

        Those that the plan reserves for it; else one that is reserved for no job.
        """
        suitable = [
            machine
            for machine in idle
            if may_run_on_machine(spec, machine) and tasks_that_fit(machine, spec.resources)
        ]
        reserved = [
            machine
            for machine in suitable
            if self._fleet_plan.reserved_machines.get(machine.name) == spec.id
        ]
        if reserved:
            # The shard map's own change takes one of the changes in a transaction.
            return reserved[: max(1, self._context.settings.cluster.state.txn_ops - 1)]
        unclaimed = [
            machine for machine in suitable if not self._preemption.is_claimed(machine, spec.id)
        ]
        if spec.single_zone and unclaimed:
            zone = self._zone_with_most_capacity(spec, summary)
            unclaimed = [machine for machine in unclaimed if machine.zone == zone]
        if not unclaimed:
            return []
        if gang_fits(spec, spec.resources, summary.free_capacity, spec.task_count):
            return []
        return [min(unclaimed, key=lambda machine: (_price(machine), machine.name))]

    def _zone_with_most_capacity(self, spec: JobSpec, summary: ShardSummary) -> str | None:
        """The zone in which all shards together have most capacity for a job."""
        tasks_by_zone = capacity_by_zone(spec, spec.resources, summary.free_capacity)
        for _, other in self._summaries.values():
            if other.shard_id != summary.shard_id:
                tasks_by_zone += capacity_by_zone(spec, spec.resources, other.free_capacity)
        return min(tasks_by_zone, key=lambda zone: (-tasks_by_zone[zone], zone), default=None)

    # --- transfer --------------------------------------------------------------------------

    def _begin(self, shard: Shard, machines: list[Machine], target_id: int) -> None:
        self._is_in_progress = True
        for machine in machines:
            machine.cordon = CordonReason.TRANSFER
        self._context.spawn(self._transfer(shard, machines, target_id))

    def _transfer(self, shard: Shard, machines: list[Machine], target_id: int) -> Coroutine[None]:
        """Transfer idle, reconciled machines to another shard."""
        try:
            yield from self._commit(shard, machines, target_id)
        finally:
            for machine in machines:
                machine.cordon = None
            self._is_in_progress = False

    def _commit(self, shard: Shard, machines: list[Machine], target_id: int) -> Coroutine[None]:
        """Change the records of machines, until that is certainly carried out or impossible."""
        uncertain_version: int | None = None
        attempts = 0
        while self._leadership.shards.get(shard.shard_id) is shard:
            shard_map = self._view.shard_map
            remaining = self._transferable(shard, machines)
            if shard_map is None or not remaining:
                return
            version = self._view.version(keys.SHARD_MAP)
            if uncertain_version not in (None, version):
                # Whatever was sent is applied, or cannot be any more.
                for machine in machines:
                    yield from self._follower.refresh_until_read(keys.MACHINES + machine.name)
                return
            attempts += 1
            if uncertain_version is None and (
                attempts > MAX_ATTEMPTS or not self._leadership.is_leader(shard.shard_id)
            ):
                return
            swap = self._change(shard, remaining, target_id, shard_map)
            response: StoreResponse = yield swap
            if response.status == 200:
                self._view.apply_commit(swap, response.revision)
                self._view.publish_changes()
                return
            if response.status == 0:
                uncertain_version = version
            if response.status in (0, 409):
                yield from self._shard_map_updates.refresh()
            yield Sleep(0.1 + 0.2 * self._context.rng.random())

    def _transferable(self, shard: Shard, machines: list[Machine]) -> list[Machine]:
        """Those of some machines that are still here and without tasks."""
        return [
            machine
            for machine in machines
            if shard.machines.get(machine.name) is machine
            and not machine.tasks
            and machine.name in self._view.machines
        ]

    def _change(
        self, shard: Shard, machines: list[Machine], target_id: int, shard_map: ShardMap
    ) -> CompareAndSwap:
        """The change of the machines' records.

        The target's term rises in the same transaction, so that the fencing tokens that a machine
        sees only grow.
        """
        puts = [Put(keys.SHARD_MAP, raise_term(shard_map, target_id))]
        preconditions = [
            (keys.SHARD_MAP, self._view.version(keys.SHARD_MAP)),
            self._leadership.fence_precondition(shard.shard_id),
        ]
        for machine in machines:
            key = keys.MACHINES + machine.name
            record = self._view.machines[machine.name]
            puts.append(Put(key, msgspec.structs.replace(record, shard_id=target_id)))
            preconditions.append((key, self._view.version(key)))
        return CompareAndSwap(preconditions, puts, [], RequestPriority.SHARD_MAP)


def _price(machine: Machine) -> float:
    """Per hour, as an ordinary machine; 0 when its type is not known."""
    return machine.machine_type.price if machine.machine_type else 0.0
