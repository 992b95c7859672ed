"""Free capacity and quota that the leaders of other shards reported in their summaries.

A summary is used until the shard's next summary arrives. In the meantime, the resources of gangs
that this node assigns to the shard, and of tasks that it migrates there, are subtracted from the
summary (:func:`reserve_capacity`), so that the same capacity is not used twice.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from marblestair.core.domain.amounts import Resources
from marblestair.core.domain.jobs import JobSpec
from marblestair.core.messaging.shard_summary import ShardSummary
from marblestair.core.scheduling.placement import FreeCapacity, capacity_by_zone, gang_fits
from marblestair.core.shard.job_slice import JobSlice


def reserve_capacity(summary: ShardSummary, spec: JobSpec, task_count: int) -> None:
    """Subtract tasks that were assigned to a shard from the shard's summary.

    The tasks' resources are subtracted from the team's free quota and from the free capacity. Tasks
    that do not fit into the free capacity are subtracted from the preemptible capacity.
    """
    resources = spec.resources
    free_quota = summary.free_quota.get(spec.team, [0, 0])
    for i in range(2):
        free_quota[i] -= task_count * resources[i]
    remaining = task_count
    for machines in (summary.free_capacity, summary.preemptible_capacity):
        remaining -= _reserve_on_machines(machines, spec, resources, remaining)


def _reserve_on_machines(
    machines: list[FreeCapacity], spec: JobSpec, resources: Resources, task_count: int
) -> int:
    """Subtract tasks from the first machines with capacity for them; return how many fitted."""
    remaining = task_count
    for position, machine in enumerate(machines):
        if remaining <= 0:
            break
        fitting = sum(capacity_by_zone(spec, resources, [machine]).values())
        count = min(remaining, fitting)
        if count > 0:
            remaining -= count
            machines[position] = _subtract_tasks(machine, resources, count)
    return task_count - remaining


def _subtract_tasks(machine: FreeCapacity, resources: Resources, task_count: int) -> FreeCapacity:
    """Return a machine's free capacity less what ``task_count`` tasks use."""
    type_name, zone, spot, free_cpus, free_gpus, free_memory = machine
    cpus, gpus, memory = resources
    return (
        type_name,
        zone,
        spot,
        free_cpus - task_count * cpus,
        free_gpus - task_count * gpus,
        free_memory - task_count * memory,
    )


def max_free_quota_cpus_by_team(summaries: Iterable[ShardSummary]) -> dict[str, int]:
    """Return for each team the largest free quota in any one shard: cpus, in fixed point."""
    most: dict[str, int] = {}
    for summary in summaries:
        for team, free_quota in summary.free_quota.items():
            most[team] = max(most.get(team, 0), free_quota[0])
    return most


class TaskFitKey(NamedTuple):
    """The values that determine how many tasks of a job fit into a shard's free capacity."""

    shard_id: int
    machine_types: tuple[str, ...] | None
    zone: str | None
    allows_spot: bool
    resources: Resources


class GangFitKey(NamedTuple):
    """The values that determine whether tasks that start together fit into a shard's capacity."""

    shard_id: int
    machine_types: tuple[str, ...] | None
    zone: str | None
    allows_spot: bool
    resources: Resources
    #: number of tasks to place
    task_count: int
    #: number of tasks of the whole job, from which the limit per zone follows
    job_task_count: int
    single_zone: bool
    spread_zones: bool
    #: whether the capacity that preemption would free is included
    with_preemptible: bool


class ReportedCapacity:
    """Computes how many tasks fit into the reported free capacity, and caches the results.

    Many jobs have the same requirements, and so the same cache key.
    """

    def __init__(self) -> None:
        self._fitting_tasks: dict[TaskFitKey, int] = {}
        self._fitting_gangs: dict[GangFitKey, bool] = {}

    def clear(self) -> None:
        """Clear the cache; callers do this after they have reserved capacity in a summary."""
        self._fitting_tasks.clear()
        self._fitting_gangs.clear()

    def fitting_tasks(self, summary: ShardSummary, job_slice: JobSlice) -> int:
        """Return how many tasks of a slice fit into the free capacity of a shard."""
        spec = job_slice.spec
        key = TaskFitKey(
            summary.shard_id,
            None if spec.machine_types is None else tuple(spec.machine_types),
            spec.zone,
            spec.allows_spot,
            job_slice.resources,
        )
        count = self._fitting_tasks.get(key)
        if count is None:
            by_zone = capacity_by_zone(spec, job_slice.resources, summary.free_capacity)
            count = self._fitting_tasks[key] = sum(by_zone.values())
        return count

    def fits_together(
        self, summary: ShardSummary, job_slice: JobSlice, count: int, with_preemptible: bool
    ) -> bool:
        """Whether ``count`` tasks of a slice all fit into the free capacity that a shard reported.

        The reported preemptible capacity is included if ``with_preemptible`` is set.
        """
        spec = job_slice.spec
        key = GangFitKey(
            summary.shard_id,
            None if spec.machine_types is None else tuple(spec.machine_types),
            spec.zone,
            spec.allows_spot,
            job_slice.resources,
            count,
            spec.task_count,
            spec.single_zone,
            spec.spread_zones,
            with_preemptible,
        )
        fits = self._fitting_gangs.get(key)
        if fits is None:
            machines = summary.free_capacity
            if with_preemptible:
                machines = machines + summary.preemptible_capacity
            fits = gang_fits(spec, job_slice.resources, machines, count)
            self._fitting_gangs[key] = fits
        return fits
