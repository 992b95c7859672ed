"""Prevention of starvation: work that has waited for too long is served ahead of everything else.

Each array that has not begun gets a few tasks at first. Arrays that have begun, and are older
still, get tasks within a share of their team's quota. Gangs go to the head of the queue.
"""

from __future__ import annotations

from marblestair.core.domain.jobs import JobKind
from marblestair.core.runtime.context import NodeContext
from marblestair.core.scheduling.array_placement import CandidateMachines
from marblestair.core.scheduling.effective_quotas import EffectiveQuotas
from marblestair.core.scheduling.pending_queue import PendingQueue, StarvedSlice
from marblestair.core.scheduling.slice_placement import (
    MAX_START_DELAY_S,
    ReservedQuota,
    SlicePlacement,
)
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.shard import Shard

#: time since it became startable after which a pending slice counts as starved
STARVATION_S = 0.4 * MAX_START_DELAY_S
#: time after which an array that has begun is not only to begin but to proceed
PROCEED_LIMIT_S = 2 * MAX_START_DELAY_S
#: share of a team's quota for its starved arrays
STARVED_QUOTA_SHARE = 0.25
#: a starved array that has not begun gets one in this many of its tasks at first
FIRST_TASKS_DIVISOR = 16


class StarvationPrevention:
    """Serves the starved slices of the shards that one node leads."""

    def __init__(
        self,
        context: NodeContext,
        quotas: EffectiveQuotas,
        failures: FailureAttribution,
        placement: SlicePlacement,
    ) -> None:
        self._context = context
        self._quotas = quotas
        self._failures = failures
        self._placement = placement

    def schedule_starved(
        self, shard: Shard, queue: PendingQueue, candidates: CandidateMachines
    ) -> None:
        """Launch starved work, and note in the queue what is to be launched ahead of the rest."""
        wall_time = self._context.wall_time
        starved = [
            job_slice
            for job_slice in queue.order
            if wall_time - job_slice.startable_since > STARVATION_S
        ]
        if not starved:
            return
        self._serve_arrays(shard, starved, queue, candidates)
        is_quarantined = self._failures.is_quarantined
        gangs = [
            job_slice
            for job_slice in starved
            if job_slice.spec.kind == JobKind.GANG and not is_quarantined(job_slice.spec.id)
        ]
        if gangs:
            others = [job_slice for job_slice in queue.order if job_slice not in gangs]
            queue.order = [*gangs, *others]

    def _serve_arrays(
        self,
        shard: Shard,
        starved: list[JobSlice],
        queue: PendingQueue,
        candidates: CandidateMachines,
    ) -> None:
        arrays = [
            job_slice
            for job_slice in starved
            if job_slice.spec.kind != JobKind.GANG
            and not self._placement.is_deferred(job_slice)
            and not self._failures.is_quarantined(job_slice.spec.id)
        ]
        arrays.sort(key=lambda job_slice: (job_slice.startable_since, job_slice.spec.id))
        not_begun = [array for array in arrays if not (array.placed_on or array.done_count)]
        begun = [array for array in arrays if array.placed_on or array.done_count]
        launches = _StarvedLaunches(
            shard,
            queue,
            candidates,
            self._quotas,
            self._placement,
            running_cpus=self._running_cpus(shard),
        )
        for array in not_begun:
            launches.begin(array)
        for array in begun:
            if self._context.wall_time - array.startable_since >= PROCEED_LIMIT_S:
                launches.proceed(array)

    def _running_cpus(self, shard: Shard) -> dict[str, int]:
        """Team -> cpus in fixed point that its starved arrays use in a shard."""
        wall_time = self._context.wall_time
        running_cpus: dict[str, int] = {}
        for job_slice in shard.slices.values():
            if (
                job_slice.placed_on
                and wall_time - job_slice.startable_since > STARVATION_S
                and job_slice.spec.kind != JobKind.GANG
            ):
                team = job_slice.spec.team
                cpus = len(job_slice.placed_on) * job_slice.resources[0]
                running_cpus[team] = running_cpus.get(team, 0) + cpus
        return running_cpus


class _StarvedLaunches:
    """The launches of starved arrays in one placement pass over a shard."""

    def __init__(
        self,
        shard: Shard,
        queue: PendingQueue,
        candidates: CandidateMachines,
        quotas: EffectiveQuotas,
        placement: SlicePlacement,
        running_cpus: dict[str, int],
    ) -> None:
        self._shard = shard
        self._queue = queue
        self._candidates = candidates
        self._quotas = quotas
        self._placement = placement
        self._running_cpus = running_cpus
        #: teams of which an array that has begun is still to get a task in any case
        self._teams_with_pending_task: set[str] = set()

    def begin(self, array: JobSlice) -> None:
        """Launch a few tasks of an array that has not begun; one of them in any case."""
        self._launch(array, max(1, array.size // FIRST_TASKS_DIVISOR), 1)

    def proceed(self, array: JobSlice) -> None:
        """Launch tasks of an array that has begun.

        A team of which no starved array runs gets one task in any case, however large.
        """
        team = array.spec.team
        is_served = self._running_cpus.get(team) or team in self._teams_with_pending_task
        if self._launch(array, array.size, 0 if is_served else 1):
            self._teams_with_pending_task.add(team)

    def _launch(self, array: JobSlice, max_tasks: int, min_tasks: int) -> bool:
        """Launch tasks within the share for starved work; whether the queue holds the rest."""
        team, cpus = array.spec.team, array.resources[0]
        cpus_left = self._cpus_left(team)
        count = max(min_tasks, min(max_tasks, cpus_left // cpus)) if cpus else max_tasks
        launched = 0
        if count > 0 and self._candidates.free:
            launched = self._placement.place_array(
                self._shard, array, self._candidates, ReservedQuota(), count
            )
        self._running_cpus[team] = self._running_cpus.get(team, 0) + launched * cpus
        self._queue.starved_cpus_left[team] = cpus_left - launched * cpus
        if not array.pending.count or launched >= max_tasks:
            return False
        rest = StarvedSlice(array, max_tasks - launched, max(0, min_tasks - launched))
        self._queue.starved.append(rest)
        return True

    def _cpus_left(self, team: str) -> int:
        """Cpus in fixed point that a team's starved arrays may still use."""
        cpus_left = self._queue.starved_cpus_left.get(team)
        if cpus_left is None:
            quota_cpus = self._quotas.quota(self._shard, team)[0]
            cpus_left = int(STARVED_QUOTA_SHARE * quota_cpus) - self._running_cpus.get(team, 0)
        return cpus_left
