"""Free capacity and quota as the leaders of other shards reported them.

A summary counts until the next one of its shard arrives. What is sent to the shard meanwhile is
subtracted from it, so that the same capacity is not used twice.
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
    """Subtract tasks that are on their way to a shard from the capacity and quota it reported."""
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
    """Subtract tasks from the first machines that have capacity for them; how many there were."""
    remaining = task_count
    for position, machine in enumerate(machines):
        if remaining <= 0:
            break
        fitting = sum(capacity_by_zone(spec, resources, [machine]).values())
        count = min(remaining, fitting)
        if count > 0:
            remaining -= count
            machines[position] = _less(machine, resources, count)
    return task_count - remaining


def _less(machine: FreeCapacity, resources: Resources, task_count: int) -> FreeCapacity:
    """What a machine has free after it was given some tasks."""
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
    """Team -> the most cpus of free quota that one of some shards reported, in fixed point."""
    most: dict[str, int] = {}
    for summary in summaries:
        for team, free_quota in summary.free_quota.items():
            most[team] = max(most.get(team, 0), free_quota[0])
    return most


class TaskShape(NamedTuple):
    """What decides how many tasks of a job fit into a shard's free capacity."""

    shard_id: int
    machine_types: tuple[str, ...] | None
    zone: str | None
    allows_spot: bool
    resources: Resources


class GangShape(NamedTuple):
    """What decides whether tasks that start together fit into a shard's capacity."""

    shard_id: int
    machine_types: tuple[str, ...] | None
    zone: str | None
    allows_spot: bool
    resources: Resources
    #: tasks to place, and tasks of the whole job, which limit how many one zone may hold
    task_count: int
    job_task_count: int
    single_zone: bool
    spread_zones: bool
    #: also with the capacity that preemption would free
    with_preemptible: bool


class ReportedCapacity:
    """How many tasks fit into the reported free capacity, counted once for each shape of task.

    Many jobs have the same shape.
    """

    def __init__(self) -> None:
        self._fitting_tasks: dict[TaskShape, int] = {}
        self._fitting_gangs: dict[GangShape, bool] = {}

    def clear(self) -> None:
        """Drop the counts, after capacity was reserved in a summary."""
        self._fitting_tasks.clear()
        self._fitting_gangs.clear()

    def fitting_tasks(self, summary: ShardSummary, job_slice: JobSlice) -> int:
        """How many tasks of a slice fit into the free capacity of a shard."""
        spec = job_slice.spec
        shape = TaskShape(
            summary.shard_id,
            None if spec.machine_types is None else tuple(spec.machine_types),
            spec.zone,
            spec.allows_spot,
            job_slice.resources,
        )
        count = self._fitting_tasks.get(shape)
        if count is None:
            by_zone = capacity_by_zone(spec, job_slice.resources, summary.free_capacity)
            count = self._fitting_tasks[shape] = sum(by_zone.values())
        return count

    def fits_together(
        self, summary: ShardSummary, job_slice: JobSlice, count: int, with_preemptible: bool
    ) -> bool:
        """Whether so many tasks of a slice fit into a shard at the same time."""
        spec = job_slice.spec
        shape = GangShape(
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
        fits = self._fitting_gangs.get(shape)
        if fits is None:
            machines = summary.free_capacity
            if with_preemptible:
                machines = machines + summary.preemptible_capacity
            fits = gang_fits(spec, job_slice.resources, machines, count)
            self._fitting_gangs[shape] = fits
        return fits
