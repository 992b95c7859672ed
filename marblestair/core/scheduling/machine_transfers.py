"""Transfers of idle machines to the shard of a job that lacks capacity there."""

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
from marblestair.core.scheduling.gang_claims import GangClaims
from marblestair.core.scheduling.placement import (
    capacity_by_zone,
    gang_fits,
    may_run_on_machine,
    tasks_that_fit,
)
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import CordonReason, Machine
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys
from marblestair.core.state.records import ShardMap
from marblestair.core.state.store_follower import StoreFollower
from marblestair.core.state.store_view import StoreView

#: minimum time for which a slice must have been pending before it counts as lacking capacity, in
#: heartbeat intervals
MIN_PENDING_INTERVALS = 1.5
#: maximum age of a shard's summary; if it is older, the shard's jobs receive no machines
MAX_JOB_SUMMARY_AGE_S = 2.0
#: maximum attempts to commit one transfer; unlimited while the outcome of an attempt is uncertain
MAX_COMMIT_ATTEMPTS = 4


class MachineTransfers:
    """Transfers machines from the shards that one node leads, one transfer at a time."""

    def __init__(  # noqa: PLR0913 - injected components
        self,
        context: NodeContext,
        view: StoreView,
        leadership: Leadership,
        follower: StoreFollower,
        shard_map_updates: ShardMapUpdates,
        summaries: ReceivedSummaries,
        failures: FailureAttribution,
        fleet_plan: FleetPlan,
        claims: GangClaims,
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
        self._claims = claims
        self._dispatcher = dispatcher
        self._is_in_progress = False

    def lacks_capacity(self, job_slice: JobSlice) -> bool:
        """Whether a slice counts as lacking capacity.

        It does if the job's tasks must start together and the slice has been pending for longer
        than ``MIN_PENDING_INTERVALS``. Slices that have placed or migrating tasks, or that are
        unreconciled, cancelled or quarantined, do not count. Nor do gangs that cannot get all their
        machines: they would keep the shard's idle machines from gangs of other shards.
        """
        if not job_slice.spec.is_indivisible:
            return False
        if job_slice.placed_on or job_slice.migrating_ranges:
            return False
        if job_slice.is_unreconciled or job_slice.is_cancelled:
            return False
        min_pending_s = MIN_PENDING_INTERVALS * self._context.settings.cluster.workers.report_s
        if self._context.now - job_slice.pending_since <= min_pending_s:
            return False
        if job_slice.spec.id in self._fleet_plan.gangs_lacking_machines:
            return False
        return not self._failures.is_quarantined(job_slice.spec.id)

    def transfer_idle_machines(self, shard: Shard) -> None:
        """Start a transfer of idle machines to another shard with a job that lacks capacity.

        Machines that the fleet plan reserves for a job are transferred in any case, since the plan
        serves the oldest gangs first. No others are transferred if a job of ``shard`` also lacks
        capacity and became startable earlier.
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
        oldest_local = self._oldest_lacking_capacity(shard)
        for summary in self._recent_summaries(shard, shard_map):
            for job in summary.jobs_lacking_capacity:
                record = self._view.jobs.get(job)
                if record is None or record.is_cancelled:
                    continue
                is_older_waiting = (
                    oldest_local is not None and (record.startable_since, job) > oldest_local
                )
                machines = self._reserved_machines(idle, record.spec)
                if not machines and not is_older_waiting:
                    machines = self._unreserved_machine(idle, record.spec, summary)
                if machines:
                    self._begin(shard, machines, summary.shard_id)
                    return

    def _oldest_lacking_capacity(self, shard: Shard) -> tuple[float, str] | None:
        """Return the startable time and id of the oldest job that lacks capacity.

        Returns None if no job of the shard lacks capacity.
        """
        return min(
            (
                (job_slice.startable_since, job_slice.spec.id)
                for job_slice in self._dispatcher.pending_in_order(shard)
                if self.lacks_capacity(job_slice)
            ),
            default=None,
        )

    def _recent_summaries(self, shard: Shard, shard_map: ShardMap) -> list[ShardSummary]:
        """Return other shards' recent summaries that were made in the shard's current term."""
        return [
            summary
            for shard_id, (received_at, summary) in sorted(self._summaries.items())
            if shard_id != shard.shard_id
            and self._context.now - received_at <= MAX_JOB_SUMMARY_AGE_S
            and summary.term == shard_map.shards[shard_id].term
        ]

    # --- choice of machines ----------------------------------------------------------------

    def _reserved_machines(self, idle: list[Machine], spec: JobSpec) -> list[Machine]:
        """Return the idle machines that the fleet plan reserves for a job of another shard.

        At most as many are returned as one transaction can transfer: each machine needs one
        operation of it, and the shard map needs one too.
        """
        reserved = [
            machine
            for machine in idle
            if self._fleet_plan.reserved_machines.get(machine.name) == spec.id
            and _is_suitable(machine, spec)
        ]
        return reserved[: max(1, self._context.settings.cluster.state.txn_ops - 1)]

    def _unreserved_machine(
        self, idle: list[Machine], spec: JobSpec, summary: ShardSummary
    ) -> list[Machine]:
        """Choose one idle machine to transfer for a job of another shard; none if none suits.

        The unclaimed machine with the lowest regular price is chosen, unless the job already fits
        into the free capacity that the other shard reported. For a job that needs a single zone,
        the machine must be in the zone with the most capacity for the job.
        """
        unclaimed = [
            machine
            for machine in idle
            if _is_suitable(machine, spec) and not self._claims.is_claimed(machine, spec.id)
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
        """Return the zone with the most reported free capacity for a job, summed over all shards.

        Returns None if no reported machine suits the job.
        """
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
        """Transfer cordoned machines to another shard, and remove the cordons afterwards."""
        try:
            yield from self._commit(shard, machines, target_id)
        finally:
            for machine in machines:
                machine.cordon = None
            self._is_in_progress = False

    def _commit(self, shard: Shard, machines: list[Machine], target_id: int) -> Coroutine[None]:
        """Try to commit a transfer; return once it is, or can no longer be, committed.

        Also returns if this node no longer leads the shard, if none of the machines can be
        transferred any more, or, unless an attempt's outcome is uncertain, after
        ``MAX_COMMIT_ATTEMPTS``.
        """
        uncertain_version: int | None = None
        attempts = 0
        while self._leadership.shards.get(shard.shard_id) is shard:
            shard_map = self._view.shard_map
            remaining = self._transferable(shard, machines)
            if shard_map is None or not remaining:
                return
            version = self._view.version(keys.SHARD_MAP)
            if uncertain_version not in (None, version):
                # The shard map has changed since the uncertain attempt. That attempt was either
                # applied or will be rejected, because it requires the earlier version of the map.
                for machine in machines:
                    yield from self._follower.refresh_until_read(keys.MACHINES + machine.name)
                return
            attempts += 1
            if uncertain_version is None and (
                attempts > MAX_COMMIT_ATTEMPTS or not self._leadership.is_leader(shard.shard_id)
            ):
                return
            swap = self._transfer_request(shard, remaining, target_id, shard_map)
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
        """Return the machines that are still in the shard, have no tasks, and have a record."""
        return [
            machine
            for machine in machines
            if shard.machines.get(machine.name) is machine
            and not machine.tasks
            and machine.name in self._view.machines
        ]

    def _transfer_request(
        self, shard: Shard, machines: list[Machine], target_id: int, shard_map: ShardMap
    ) -> CompareAndSwap:
        """Build the compare-and-swap that assigns the machines to the target shard.

        The request also raises the target shard's term, so that the fencing tokens that a machine
        receives only increase.
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
        return CompareAndSwap(preconditions, puts, [], RequestPriority.CAPACITY)


def _is_suitable(machine: Machine, spec: JobSpec) -> bool:
    """Whether a job may run on a machine, and at least one of its tasks fits there."""
    return may_run_on_machine(spec, machine) and tasks_that_fit(machine, spec.resources) > 0


def _price(machine: Machine) -> float:
    """Return the regular hourly price of a machine; 0 if its type is unknown."""
    return machine.machine_type.price if machine.machine_type else 0.0
