"""Placement of the pending tasks of a shard.

A pass over all pending slices of a shard runs a few times a second (:meth:`Dispatcher.place_all`).
The queue of a pass is kept until the next pass: when a heartbeat frees capacity on a machine, tasks
from the queue are launched there (:meth:`Dispatcher.fill_machine`).
"""

from __future__ import annotations

from marblestair.core.jobs.dependencies import DependencyGraph
from marblestair.core.runtime.context import NodeContext
from marblestair.core.scheduling.array_placement import CandidateMachines
from marblestair.core.scheduling.arrivals import Arrivals
from marblestair.core.scheduling.best_effort import BestEffortTasks
from marblestair.core.scheduling.effective_quotas import EffectiveQuotas
from marblestair.core.scheduling.fleet_plan import FleetPlan
from marblestair.core.scheduling.gang_claims import GangClaims
from marblestair.core.scheduling.guarantees import Guarantees
from marblestair.core.scheduling.machine_filling import MachineFilling
from marblestair.core.scheduling.pending_queue import PendingQueue
from marblestair.core.scheduling.placement_pass import PlacementPass
from marblestair.core.scheduling.preemption import Preemption
from marblestair.core.scheduling.quota_precedence import QuotaPrecedence
from marblestair.core.scheduling.run_times import RunTimes
from marblestair.core.scheduling.scheduling_order import SchedulingOrder
from marblestair.core.scheduling.slice_placement import SlicePlacement
from marblestair.core.scheduling.starvation import StarvationPrevention
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard


class Dispatcher:
    """Places the pending tasks of the shards that one node leads, and keeps the shards' queues."""

    def __init__(  # noqa: PLR0913 - injected components
        self,
        context: NodeContext,
        quotas: EffectiveQuotas,
        failures: FailureAttribution,
        run_times: RunTimes,
        guarantees: Guarantees,
        arrivals: Arrivals,
        fleet_plan: FleetPlan,
        preemption: Preemption,
        claims: GangClaims,
        precedence: QuotaPrecedence,
        dependencies: DependencyGraph,
        deadline_offsets_s: dict[str, float],
    ) -> None:
        self._context = context
        self._failures = failures
        self._guarantees = guarantees
        self._arrivals = arrivals
        self._preemption = preemption
        self._claims = claims
        self._scheduling_order = SchedulingOrder(
            context, failures, run_times, guarantees, fleet_plan, dependencies, deadline_offsets_s
        )
        self._placement = SlicePlacement(
            context, quotas, failures, guarantees, fleet_plan, claims, precedence
        )
        self._starvation = StarvationPrevention(context, quotas, failures, self._placement)
        self._filling = MachineFilling(context, failures, fleet_plan, claims, self._placement)
        #: shard -> queue of the shard's latest pass; no entry if no task was pending at that pass
        self._queues: dict[int, PendingQueue] = {}
        #: shards that got new pending tasks after their latest pass; the next heartbeat of any
        #: machine in such a shard triggers a pass
        self.shards_with_new_work: set[int] = set()

    def pending_in_order(self, shard: Shard) -> list[JobSlice]:
        """Return a shard's slices with pending tasks, in scheduling order."""
        return self._scheduling_order.pending_slices(shard)

    def place_all(self, shard: Shard) -> None:
        """Build a new queue of a shard's pending slices, and run a placement pass over it."""
        self.shards_with_new_work.discard(shard.shard_id)
        self._queues.pop(shard.shard_id, None)
        order = self._scheduling_order.pending_slices(shard)
        if not order:
            return
        queue = self._queues[shard.shard_id] = PendingQueue(order)
        candidates = self._candidates(shard, queue.min_cpus)
        self._starvation.schedule_starved(shard, queue, candidates)
        placement_pass = PlacementPass(
            shard,
            candidates,
            self._placement,
            self._failures,
            self._guarantees,
            self._arrivals,
            self._preemption,
            self._claims,
            BestEffortTasks(self._context, shard),
        )
        placement_pass.run(queue)

    def _candidates(self, shard: Shard, min_cpus: int) -> CandidateMachines:
        """Return the usable machines on which no gang has a claim.

        The result's ``free`` lists those of them with at least ``min_cpus`` unused cpus.
        """
        now, claims = self._context.now, self._claims.by_machine
        usable = [
            machine
            for machine in shard.machines.values()
            if machine.name not in claims and machine.is_usable(now)
        ]
        return CandidateMachines(
            usable, [machine for machine in usable if machine.free[0] >= min_cpus]
        )

    def fill_machine(self, shard: Shard, machine: Machine) -> None:
        """Launch queued tasks on a machine whose heartbeat freed capacity."""
        queue = self._queues.get(shard.shard_id)
        if queue is not None and machine.free[0] >= queue.min_cpus:
            self._filling.fill(shard, machine, queue)
