"""Assignment of a new job's tasks to shards; pending tasks can migrate later."""

from __future__ import annotations

from marblestair.core.domain.jobs import JobKind, JobSpec
from marblestair.core.leadership import shard_map
from marblestair.core.messaging.received_summaries import ReceivedSummaries
from marblestair.core.messaging.shard_summary import ShardSummary
from marblestair.core.scheduling.arrivals import Arrivals
from marblestair.core.scheduling.placement import gang_fits
from marblestair.core.scheduling.reported_capacity import reserve_capacity
from marblestair.core.state.records import ShardMap
from marblestair.core.state.store_view import StoreView


class SliceAssigner:
    """Assigns the tasks of the jobs that one node accepts to shards."""

    def __init__(self, view: StoreView, summaries: ReceivedSummaries, arrivals: Arrivals) -> None:
        self._view = view
        self._summaries = summaries
        self._arrivals = arrivals

    def assign(self, spec: JobSpec, manager_shard: int) -> dict[str, list[list[int]]]:
        """Return the ranges of task indexes ``[start, end)`` that each shard gets, by shard id.

        Tasks are split evenly between the shards that have quota for them. A job that is
        indivisible or has fewer than two tasks per shard is assigned to one of these shards. If no
        shard has quota, the manager shard gets all tasks.
        """
        current = self._view.shard_map
        assert current is not None
        load = self._load_by_shard(current, manager_shard)
        eligible = _shards_with_quota(spec, current, load) or [manager_shard]
        if spec.is_indivisible or spec.task_count < 2 * len(eligible):
            shard_id = self._choose_shard(spec, eligible, load, manager_shard)
            return {str(shard_id): [[0, spec.task_count]]}
        slices: dict[str, list[list[int]]] = {}
        start = 0
        sizes = shard_map.split_evenly(spec.task_count, len(eligible))
        for shard_id, size in zip(sorted(eligible), sizes, strict=True):
            slices[str(shard_id)] = [[start, start + size]]
            start += size
        return slices

    def _summary(self, shard_id: int) -> ShardSummary | None:
        received = self._summaries.get(shard_id)
        return received.summary if received is not None else None

    def _load_by_shard(self, current: ShardMap, manager_shard: int) -> dict[int, float]:
        """Return each shard's backlog less its free cpus, in fixed point.

        Only the manager shard and shards with a recent summary are included. The load of a manager
        shard without a summary is 0.
        """
        load: dict[int, float] = {}
        for shard_id, shard in enumerate(current.shards):
            is_recent = self._summaries.is_recent(shard_id, shard.term)
            if shard_id != manager_shard and not is_recent:
                continue
            summary = self._summary(shard_id)
            load[shard_id] = 0.0
            if summary is not None:
                free_cpus = sum(cpus for _, _, _, cpus, _, _ in summary.free_capacity)
                load[shard_id] = summary.backlog_cpus - free_cpus
        return load

    def _choose_shard(
        self, spec: JobSpec, eligible: list[int], load: dict[int, float], manager_shard: int
    ) -> int:
        """Choose the least loaded shard for a whole job, preferably one with free capacity."""
        count = spec.task_count if spec.is_indivisible else 1
        summaries = {
            shard_id: summary
            for shard_id in eligible
            if (summary := self._summary(shard_id)) is not None
        }
        candidates = self._fitting_shards(spec, summaries, count) or eligible
        best = min(
            candidates, key=lambda shard_id: (load[shard_id], shard_id != manager_shard, shard_id)
        )
        if best in summaries and spec.kind == JobKind.GANG:
            # Otherwise gangs accepted before the next summary would all be assigned to the same
            # free capacity.
            reserve_capacity(summaries[best], spec, count)
        return best

    def _fitting_shards(
        self, spec: JobSpec, summaries: dict[int, ShardSummary], count: int
    ) -> list[int]:
        """Return the shards that reported capacity for ``count`` tasks together.

        Capacity that preemption would free is included only for a latency-sensitive job that fits
        into no shard's free capacity.
        """
        fitting = [
            shard_id
            for shard_id, summary in summaries.items()
            if gang_fits(spec, spec.resources, summary.free_capacity, count)
        ]
        if fitting or not self._arrivals.is_latency_sensitive(spec):
            return fitting
        return [
            shard_id
            for shard_id, summary in summaries.items()
            if gang_fits(
                spec,
                spec.resources,
                summary.free_capacity + summary.preemptible_capacity,
                count,
            )
        ]


def _shards_with_quota(spec: JobSpec, current: ShardMap, load: dict[int, float]) -> list[int]:
    """Return the shards whose entire quota of the team covers one array task, or a whole gang."""
    min_tasks = spec.task_count if spec.kind == JobKind.GANG else 1
    eligible = []
    for shard_id in load:
        cpus, gpus = current.shards[shard_id].quotas.get(spec.team, [0, 0])
        if cpus >= min_tasks * spec.resources[0] and gpus >= min_tasks * spec.resources[1]:
            eligible.append(shard_id)
    return eligible
