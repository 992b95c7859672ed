"""Launches of queued tasks on a single machine whose heartbeat freed capacity.

The launch commands for that machine are sent in the response to the heartbeat. The time to launch
array tasks does not depend on the number of machines in the shard; an attempt to place a gang may
examine all machines of the shard.
"""

from __future__ import annotations

from marblestair.core.domain.jobs import JobKind
from marblestair.core.runtime.context import NodeContext
from marblestair.core.scheduling.array_placement import CandidateMachines
from marblestair.core.scheduling.fleet_plan import FleetPlan
from marblestair.core.scheduling.gang_claims import GangClaims
from marblestair.core.scheduling.pending_queue import PendingQueue
from marblestair.core.scheduling.scheduling_order import is_pending
from marblestair.core.scheduling.slice_placement import ReservedQuota, SlicePlacement
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard


class MachineFilling:
    """Launches queued tasks on single machines of the shards that one node leads."""

    def __init__(
        self,
        context: NodeContext,
        failures: FailureAttribution,
        fleet_plan: FleetPlan,
        claims: GangClaims,
        placement: SlicePlacement,
    ) -> None:
        self._context = context
        self._failures = failures
        self._fleet_plan = fleet_plan
        self._claims = claims
        self._placement = placement

    def fill(self, shard: Shard, machine: Machine, queue: PendingQueue) -> None:
        """Launch the tasks of a shard's queue that fit on one of its machines.

        A claimed machine is used only for the gang that claims it. A draining machine without a
        claim is not used.
        """
        if not machine.is_usable(self._context.now):
            return
        claim = self._claims.by_machine.get(machine.name)
        if claim is not None:
            # Launch the gang for which the machine was cleared, if all its tasks fit by now.
            gang = shard.slices.get(claim.job)
            if gang is not None and is_pending(shard, gang) and not gang.is_unreconciled:
                self._placement.place_gang(shard, gang, ReservedQuota())
            return
        if machine.name in self._fleet_plan.draining_machines:
            return
        machines = [machine]
        candidates = CandidateMachines(machines, machines)
        if queue.starved:
            self._fill_with_starved(shard, machine, candidates, queue)
        self._fill_in_order(shard, machine, candidates, queue)

    def _fill_with_starved(
        self, shard: Shard, machine: Machine, candidates: CandidateMachines, queue: PendingQueue
    ) -> None:
        """Launch tasks of starved slices, within the limits of each slice and its team."""
        for starved in queue.starved:
            array = starved.job_slice
            team, cpus = array.spec.team, array.resources[0]
            cpus_left = queue.starved_cpus_left.get(team, 0)
            count = starved.max_tasks
            if cpus:
                count = max(starved.min_tasks, min(starved.max_tasks, cpus_left // cpus))
            if count > 0 and cpus <= machine.free[0] and is_pending(shard, array):
                launched = self._placement.place_array(
                    shard, array, candidates, ReservedQuota(), count
                )
                starved.max_tasks -= launched
                starved.min_tasks = max(0, starved.min_tasks - launched)
                queue.starved_cpus_left[team] = cpus_left - launched * cpus

    def _fill_in_order(
        self, shard: Shard, machine: Machine, candidates: CandidateMachines, queue: PendingQueue
    ) -> None:
        """Launch tasks in queue order until no further task can fit.

        No further task can fit when the machine has too few free cpus for the smallest task in the
        queue. The same holds when no team has quota left for its smallest array task in the queue,
        and the machine has too few free cpus for the smallest task of any gang in the queue.
        """
        placement = self._placement
        #: team -> cpus of the smallest task that was found to exceed the team's remaining quota
        exhausted_teams: dict[str, int] = {}
        #: number of teams whose remaining quota does not cover the team's smallest array task
        blocked_team_count = 0
        #: quota reserved for gangs earlier in the queue
        reserved = ReservedQuota()
        for job_slice in queue.order:
            free_cpus = machine.free[0]
            if free_cpus < queue.min_cpus:
                return
            if not is_pending(shard, job_slice) or placement.is_deferred(job_slice):
                continue
            team, cpus = job_slice.spec.team, job_slice.resources[0]
            if job_slice.spec.kind == JobKind.GANG:
                self._fill_with_gang(shard, job_slice, free_cpus, reserved)
                continue
            exhausted_cpus = exhausted_teams.get(team)
            if cpus > free_cpus or (exhausted_cpus is not None and exhausted_cpus <= cpus):
                continue
            if placement.place_array(
                shard, job_slice, candidates, reserved
            ) or placement.has_quota_for_one(shard, job_slice, reserved):
                continue
            exhausted_teams[team] = cpus
            blocked_team_count += cpus <= queue.min_array_cpus.get(team, 0)
            if blocked_team_count == len(queue.min_array_cpus) and (
                queue.min_gang_cpus is None or free_cpus < queue.min_gang_cpus
            ):
                return

    def _fill_with_gang(
        self, shard: Shard, gang: JobSlice, free_cpus: int, reserved: ReservedQuota
    ) -> None:
        """Launch a gang if it fits now; otherwise reserve quota for it unless it is quarantined."""
        if gang.placed_on:
            return
        if free_cpus >= gang.resources[0] and self._placement.place_gang(shard, gang, reserved):
            return
        if not self._failures.is_quarantined(gang.spec.id):
            self._placement.reserve_quota(gang, reserved)
