"""Starvation prevention: slices that have waited too long are scheduled before all others.

A few tasks of a starved array are launched if the array has not started. An array that has started
is starved only after a longer time; any number of its tasks may then be launched. The starved
arrays of a team together get at most a share of the team's quota; one task of an array may exceed
that share, so that the array can start or continue. Starved gangs move to the head of the queue.
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

#: time after which a pending slice is starved, counted from when the slice became startable
MIN_STARVED_AGE_S = 0.4 * MAX_START_DELAY_S
#: time after which an array that has already started is starved, counted in the same way
MIN_STARVED_AGE_STARTED_S = 2 * MAX_START_DELAY_S
#: maximum share of a team's quota in a shard that the team's starved arrays may use together
STARVED_QUOTA_SHARE = 0.25
#: of a starved array that has not started, at most the slice's number of tasks divided by this may
#: be launched in one pass, but always at least one task
INITIAL_TASKS_DIVISOR = 16


class StarvationPrevention:
    """Schedules the starved slices of the shards that one node leads."""

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
        """Launch tasks of starved arrays, and move starved gangs to the head of the queue.

        Starved arrays of which more tasks may be launched later, when machines become free, are
        added to ``queue.starved``.
        """
        wall_time = self._context.wall_time
        starved = [
            job_slice
            for job_slice in queue.order
            if wall_time - job_slice.startable_since > MIN_STARVED_AGE_S
        ]
        if not starved:
            return
        self._schedule_arrays(shard, starved, queue, candidates)
        is_quarantined = self._failures.is_quarantined
        gangs = [
            job_slice
            for job_slice in starved
            if job_slice.spec.kind == JobKind.GANG and not is_quarantined(job_slice.spec.id)
        ]
        if gangs:
            others = [job_slice for job_slice in queue.order if job_slice not in gangs]
            queue.order = [*gangs, *others]

    def _schedule_arrays(
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
        unstarted = [array for array in arrays if not (array.placed_on or array.done_count)]
        started = [array for array in arrays if array.placed_on or array.done_count]
        launches = _StarvedLaunches(
            shard,
            queue,
            candidates,
            self._quotas,
            self._placement,
            running_cpus=self._running_cpus(shard),
        )
        for array in unstarted:
            launches.start_array(array)
        for array in started:
            if self._context.wall_time - array.startable_since >= MIN_STARVED_AGE_STARTED_S:
                launches.continue_array(array)

    def _running_cpus(self, shard: Shard) -> dict[str, int]:
        """Return by team the cpus that arrays of a starved age use in a shard, in fixed point.

        Arrays older than ``MIN_STARVED_AGE_S`` count, even if no more of their tasks are pending.
        """
        wall_time = self._context.wall_time
        running_cpus: dict[str, int] = {}
        for job_slice in shard.slices.values():
            if (
                job_slice.placed_on
                and wall_time - job_slice.startable_since > MIN_STARVED_AGE_S
                and job_slice.spec.kind != JobKind.GANG
            ):
                team = job_slice.spec.team
                cpus = len(job_slice.placed_on) * job_slice.resources[0]
                running_cpus[team] = running_cpus.get(team, 0) + cpus
        return running_cpus


class _StarvedLaunches:
    """Launches tasks of starved arrays in one placement pass over a shard."""

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
        #: teams of which a started array was already added to ``queue.starved``
        self._teams_with_queued_array: set[str] = set()

    def start_array(self, array: JobSlice) -> None:
        """Launch a few tasks of an unstarted array.

        One task may be launched beyond the share of the quota for the team's starved arrays.
        """
        self._launch(array, max(1, array.size // INITIAL_TASKS_DIVISOR), 1)

    def continue_array(self, array: JobSlice) -> None:
        """Launch tasks of an array that has started.

        One task may be launched beyond the share of the quota for the team's starved arrays. This
        is not allowed if arrays of the team older than ``MIN_STARVED_AGE_S`` use cpus
        (``_running_cpus``, including launches of this pass), or if another started array of the
        team already waits in ``queue.starved``.
        """
        team = array.spec.team
        has_minimum = self._running_cpus.get(team) or team in self._teams_with_queued_array
        if self._launch(array, array.size, 0 if has_minimum else 1):
            self._teams_with_queued_array.add(team)

    def _launch(self, array: JobSlice, max_tasks: int, min_tasks: int) -> bool:
        """Launch tasks of an array; return whether the array was added to ``queue.starved``.

        The tasks must fit into the share of the quota for the team's starved arrays, except that
        ``min_tasks`` tasks may be launched even beyond that share.
        """
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
        """Return the cpus that a team's starved arrays may still use, in fixed point."""
        cpus_left = self._queue.starved_cpus_left.get(team)
        if cpus_left is None:
            quota_cpus = self._quotas.quota(self._shard, team)[0]
            cpus_left = int(STARVED_QUOTA_SHARE * quota_cpus) - self._running_cpus.get(team, 0)
        return cpus_left
