"""Which shard gets which tasks of a new job; unstarted ones can migrate later."""

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
        """Ranges of task numbers by shard."""
        current = self._view.shard_map
        assert current is not None
        load = self._load_by_shard(current, manager_shard)
        able = _shards_with_quota(spec, current, load) or [manager_shard]
        if spec.is_indivisible or spec.task_count < 2 * len(able):
            shard_id = self._shard_for_one_slice(spec, able, load, manager_shard)
            return {str(shard_id): [[0, spec.task_count]]}
        slices: dict[str, list[list[int]]] = {}
        start = 0
        sizes = shard_map.split_evenly(spec.task_count, len(able))
        for shard_id, size in zip(sorted(able), sizes, strict=True):
            slices[str(shard_id)] = [[start, start + size]]
            start += size
        return slices

    def _summary(self, shard_id: int) -> ShardSummary | None:
        received = self._summaries.get(shard_id)
        return received.summary if received is not None else None

    def _load_by_shard(self, current: ShardMap, manager_shard: int) -> dict[int, float]:
        """Pending cpus less free ones, of the manager shard and those with a recent summary."""
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

    def _shard_for_one_slice(
        self, spec: JobSpec, able: list[int], load: dict[int, float], manager_shard: int
    ) -> int:
        """Choose the shard for a job in one slice: one with free capacity, and of least load."""
        count = spec.task_count if spec.is_indivisible else 1
        summaries = {
            shard_id: summary
            for shard_id in able
            if (summary := self._summary(shard_id)) is not None
        }
        candidates = self._fitting_shards(spec, summaries, count) or able
        best = min(
            candidates, key=lambda shard_id: (load[shard_id], shard_id != manager_shard, shard_id)
        )
        if best in summaries and spec.kind == JobKind.GANG:
            # Gangs that are accepted at the same time are not all assigned to the same machines.
            reserve_capacity(summaries[best], spec, count)
        return best

    def _fitting_shards(
        self, spec: JobSpec, summaries: dict[int, ShardSummary], count: int
    ) -> list[int]:
        """Shards with free capacity for so many tasks."""
        fitting = [
            shard_id
            for shard_id, summary in summaries.items()
            if gang_fits(spec, spec.resources, summary.free_capacity, count)
        ]
        if fitting or not self._arrivals.is_latency_sensitive(spec):
            return fitting
        # Else where it may preempt what runs there.
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
    """Shards whose quota of the team holds a task, or the whole gang."""
    unit = spec.task_count if spec.kind == JobKind.GANG else 1
    able = []
    for shard_id in load:
        cpus, gpus = current.shards[shard_id].quotas.get(spec.team, [0, 0])
        if cpus >= unit * spec.resources[0] and gpus >= unit * spec.resources[1]:
            able.append(shard_id)
    return able
