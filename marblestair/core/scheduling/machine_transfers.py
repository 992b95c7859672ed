"""Moves of idle machines into the part of a gang that fits into no part as it is."""

from __future__ import annotations

import msgspec

from marblestair.core.domain.jobs import JobKind, JobSpec
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.leadership.shard_map import raise_term
from marblestair.core.leadership.shard_map_updates import ShardMapUpdates
from marblestair.core.messaging.received_summaries import ReceivedSummaries
from marblestair.core.messaging.shard_summary import ShardSummary
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.requests import Sleep
from marblestair.core.runtime.store_requests import CompareAndSwap, Lane, Put, StoreResponse
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
from marblestair.core.state.store_follower import StoreFollower
from marblestair.core.state.store_view import StoreView


class MachineTransfers:
    """The machines that one node's parts give to others."""

    def __init__(
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
        self._is_moving = False

    def lacks_capacity(self, shard: Shard, job_slice: JobSlice) -> bool:
        """Whether tasks that must start together have waited here for room in vain."""
        whole = (
            job_slice.spec.kind == JobKind.GANG
            or job_slice.spec.single_zone
            or job_slice.spec.spread_zones
        )
        waited = (
            self._context.now - job_slice.pending_since
            > 1.5 * self._context.settings.cluster.workers.report_s
        )
        if self._failures.is_quarantined(job_slice.spec.id):
            return False
        return (
            whole
            and waited
            and not (
                job_slice.placed_on
                or job_slice.migrating_ranges
                or job_slice.is_unreconciled
                or job_slice.is_cancelled
            )
        )

    def transfer_idle_machines(self, shard: Shard) -> None:
        """Move an idle machine into the part of a gang that fits into no part as it is."""
        shard_map = self._view.shard_map
        if self._is_moving or shard_map is None or shard.unreconciled_machines:
            return
        empty = [
            machine
            for machine in shard.machines.values()
            if not machine.tasks and machine.is_usable(self._context.now)
        ]
        if not empty:
            return
        own = [
            job_slice
            for job_slice in self._dispatcher.pending_in_order(shard)
            if self.lacks_capacity(shard, job_slice)
        ]
        first = min(
            ((job_slice.startable_since, job_slice.spec.id) for job_slice in own),
            default=(float("inf"), ""),
        )
        for i, (t, summary) in sorted(self._summaries.items()):
            if (
                i == shard.shard_id
                or self._context.now - t > 2.0
                or summary.term != shard_map.shards[i].term
            ):
                continue
            for job in summary.jobs_lacking_capacity:
                record = self._view.jobs.get(job)
                if record is None or record.is_cancelled or (record.startable_since, job) > first:
                    continue
                move = self._idle_for(empty, record.spec, summary)
                if move:
                    self._is_moving = True
                    for machine in move:
                        machine.cordon = CordonReason.TRANSFER
                    self._context.spawn(self._move(shard, move, i))
                    return

    def _idle_for(
        self, empty: list[Machine], spec: JobSpec, summary: ShardSummary
    ) -> list[Machine]:
        """Choose idle machines here that help a job in another part, if that is what it lacks.

        Those that the plan sets aside for it, else one that is set aside for nobody.
        """
        need = spec.resources
        idle = [
            machine
            for machine in empty
            if may_run_on_machine(spec, machine) and tasks_that_fit(machine, need)
        ]
        aside = [
            machine
            for machine in idle
            if self._fleet_plan.reserved_machines.get(machine.name) == spec.id
        ]
        if aside:
            return aside[: max(1, self._context.settings.cluster.state.txn_ops - 1)]
        idle = [machine for machine in idle if not self._preemption.is_claimed(machine, spec.id)]
        if spec.single_zone and idle:
            # All in the zone where most room can be brought together.
            zones = capacity_by_zone(spec, need, summary.free_capacity)
            for _, other in self._summaries.values():
                if other.shard_id != summary.shard_id:
                    zones += capacity_by_zone(spec, need, other.free_capacity)
            best = min(zones, key=lambda z: (-zones[z], z), default="")
            idle = [machine for machine in idle if machine.zone == best]
        if not idle or gang_fits(spec, need, summary.free_capacity, spec.task_count):
            return []
        return [
            min(
                idle,
                key=lambda machine: (
                    machine.machine_type.price if machine.machine_type else 0.0,
                    machine.name,
                ),
            )
        ]

    def _move(self, shard: Shard, machines: list[Machine], target: int) -> Coroutine[None]:
        """Move idle and settled machines to another part.

        The source drops them first, and the target's term rises in the same commit, so that
        the tokens a machine sees only grow.
        """
        doubt, tries = -1, 0
        try:
            while self._leadership.shards.get(shard.shard_id) is shard:
                shard_map = self._view.shard_map
                here = [
                    machine
                    for machine in machines
                    if shard.machines.get(machine.name) is machine
                    and not machine.tasks
                    and machine.name in self._view.machines
                ]
                if shard_map is None or not here:
                    return
                version = self._view.version(keys.SHARD_MAP)
                if doubt >= 0 and doubt != version:
                    # Whatever was sent is applied, or cannot be any more.
                    for machine in machines:
                        yield from self._follower.refresh_until_read(keys.MACHINES + machine.name)
                    return
                tries += 1
                if doubt < 0 and (tries > 4 or not self._leadership.is_leader(shard.shard_id)):
                    return
                puts = [Put(keys.SHARD_MAP, raise_term(shard_map, target))]
                guards = [
                    (keys.SHARD_MAP, version),
                    self._leadership.fence_precondition(shard.shard_id),
                ]
                for machine in here:
                    key = keys.MACHINES + machine.name
                    record = self._view.machines[machine.name]
                    puts.append(Put(key, msgspec.structs.replace(record, shard_id=target)))
                    guards.append((key, self._view.version(key)))
                commit = CompareAndSwap(guards, puts, [], Lane.SHARD_MAP)
                response: StoreResponse = yield commit
                if response.status == 200:
                    self._view.record_commit(commit, response.revision)
                    self._view.publish_changes()
                    return
                if response.status == 0:
                    doubt = version
                if response.status in (0, 409):
                    yield from self._shard_map_updates.refresh()
                yield Sleep(0.1 + 0.2 * self._context.rng.random())
        finally:
            for machine in machines:
                machine.cordon = None
            self._is_moving = False
