"""A placement pass over the pending slices of a shard, in the order of its queue."""

from __future__ import annotations

from collections.abc import Container

from marblestair.core.domain.jobs import JobKind
from marblestair.core.scheduling.array_placement import CandidateMachines
from marblestair.core.scheduling.arrivals import Arrivals
from marblestair.core.scheduling.best_effort import BestEffortTasks
from marblestair.core.scheduling.gang_claims import GangClaims
from marblestair.core.scheduling.guarantees import Guarantees
from marblestair.core.scheduling.pending_queue import PendingQueue
from marblestair.core.scheduling.preemption import Preemption
from marblestair.core.scheduling.slice_placement import ReservedQuota, SlicePlacement
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.shard import Shard


class PlacementPass:
    """Places the pending slices of a shard once.

    Tasks that fit are launched. Best-effort tasks are preempted for guaranteed arrays, and tasks of
    lower priority for latency-sensitive gangs.
    """

    def __init__(  # noqa: PLR0913 - its collaborators
        self,
        shard: Shard,
        candidates: CandidateMachines,
        placement: SlicePlacement,
        failures: FailureAttribution,
        guarantees: Guarantees,
        arrivals: Arrivals,
        preemption: Preemption,
        claims: GangClaims,
        best_effort_tasks: BestEffortTasks,
    ) -> None:
        self._shard = shard
        self._candidates = candidates
        self._placement = placement
        self._failures = failures
        self._guarantees = guarantees
        self._arrivals = arrivals
        self._preemption = preemption
        self._claims = claims
        self._survey = preemption.survey(shard)
        self._best_effort_tasks = best_effort_tasks
        self._reserved_quota = ReservedQuota()
        #: team -> cpus of the smallest task that was found to exceed the team's remaining quota
        self._exhausted_teams: dict[str, int] = {}

    def run(self, queue: PendingQueue) -> None:
        """Place the slices of a queue in its order."""
        for job_slice in queue.order:
            if self._placement.is_deferred(job_slice):
                continue
            if job_slice.spec.kind == JobKind.GANG:
                self._place_gang(job_slice)
            else:
                self._place_array(job_slice, queue.min_cpus)

    def _place_array(self, array: JobSlice, min_cpus: int) -> None:
        """Launch an array's tasks that fit; if it is guaranteed, preempt best-effort tasks for it.

        ``min_cpus`` is the cpus of the smallest task in the queue. After tasks have been launched,
        machines with fewer free cpus than that are no longer in the candidates' ``free`` list.
        """
        shard, candidates, reserved = self._shard, self._candidates, self._reserved_quota
        team, cpus = array.spec.team, array.resources[0]
        exhausted_cpus = self._exhausted_teams.get(team)
        if exhausted_cpus is not None and exhausted_cpus <= cpus:
            return
        if candidates.free and self._placement.place_array(shard, array, candidates, reserved):
            candidates.free = [
                machine for machine in candidates.free if machine.free[0] >= min_cpus
            ]
        elif not self._placement.has_quota_for_one(shard, array, reserved):
            self._exhausted_teams[team] = cpus
            return
        if array.pending.count and array.spec.id in self._guarantees.jobs:
            self._best_effort_tasks.preempt_for(
                array, self._placement.pending_cpus_within_quota(shard, array, reserved)
            )

    def _place_gang(self, gang: JobSlice) -> None:
        """Launch a gang, or reserve quota for it; preempt for it if it is latency-sensitive."""
        shard, reserved = self._shard, self._reserved_quota
        if self._placement.place_gang(shard, gang, reserved, self._candidates.free):
            return
        if gang.placed_on or self._failures.is_quarantined(gang.spec.id):
            return
        if self._arrivals.is_latency_sensitive(gang.spec):
            quota = self._placement.available_quota(shard, gang, reserved)
            if self._preemption.preempt_for(shard, gang, quota, self._survey):
                # Slices later in the queue must not use the machines that are being cleared.
                self._exclude(self._claims.by_machine)
        self._placement.reserve_quota(gang, reserved)

    def _exclude(self, names: Container[str]) -> None:
        """Exclude the named machines from the rest of this pass."""
        usable, free = self._candidates.usable, self._candidates.free
        self._candidates = CandidateMachines(
            [machine for machine in usable if machine.name not in names],
            [machine for machine in free if machine.name not in names],
        )
