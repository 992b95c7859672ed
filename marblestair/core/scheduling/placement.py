"""Checks of whether a job may run on a machine and how many of its tasks fit.

The functions check machine type, zone, spot or regular machine, resources and quota. Claims and
reservations of machines are checked by their callers, and the zones of an array's tasks by
``ZoneRule``. Free capacity is that of a machine in this node's shards, or what the leader of
another shard published.
"""

from __future__ import annotations

from collections import Counter
from typing import TypeAlias

from marblestair.core.domain.amounts import Resources
from marblestair.core.domain.jobs import JobSpec
from marblestair.core.scheduling.zone_rule import max_tasks_per_zone
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard

#: stands for "no limit" on the number of tasks that fit, if a task uses no resources; more tasks
#: than any job has
UNBOUNDED_TASKS = 1 << 30

#: free capacity of a machine as shards publish it: type, zone, spot, cpus, gpus, memory
FreeCapacity: TypeAlias = tuple[str, str, bool, int, int, int]


def may_run_on_machine(spec: JobSpec, machine: Machine) -> bool:
    """Whether the job's constraints allow it to run on a machine; free capacity is not checked."""
    return spec.may_run_on(machine.type_name, machine.zone, machine.spot)


def tasks_that_fit(machine: Machine, resources: Resources) -> int:
    """Return the number of tasks with these resources that fit into a machine's free capacity."""
    free = machine.free
    count = UNBOUNDED_TASKS
    for i in (0, 1, 2):
        amount = resources[i]
        if amount > 0:
            fits = free[i] // amount
            if fits < count:
                count = fits
    return count if count > 0 else 0


def tasks_within_quota(shard: Shard, job_slice: JobSlice, quota: tuple[int, int]) -> int:
    """Return the number of further tasks of a slice that fit into its team's quota."""
    used = shard.usage(job_slice.spec.team)
    count = UNBOUNDED_TASKS
    for team_used, limit, amount in zip(used, quota, job_slice.resources, strict=False):
        if amount > 0:
            count = min(count, (limit - team_used) // amount)
    return max(count, 0)


def placeable_tasks(shard: Shard, spec: JobSpec, now: float) -> int:
    """Return how many of a job's tasks fit on the usable machines of a shard now.

    Quota, claims and reservations are not checked.
    """
    return sum(
        tasks_that_fit(machine, spec.resources)
        for machine in shard.machines.values()
        if machine.is_usable(now) and may_run_on_machine(spec, machine)
    )


def capacity_by_zone(
    spec: JobSpec, resources: Resources, capacities: list[FreeCapacity]
) -> Counter[str]:
    """Return, by zone, how many of a job's tasks fit into published free capacity.

    The counts are 0 if a task uses no resources.
    """
    count_by_zone: Counter[str] = Counter()
    for type_name, zone, spot, *free in capacities:
        if spec.may_run_on(type_name, zone, spot):
            count = min((f // x for f, x in zip(free, resources, strict=True) if x > 0), default=0)
            count_by_zone[zone] += max(0, count)
    return count_by_zone


def gang_fits(
    spec: JobSpec, resources: Resources, capacities: list[FreeCapacity], task_count: int
) -> bool:
    """Whether tasks that must start together all fit into published free capacity.

    The limits on the zones of the job are checked too.
    """
    count_by_zone = capacity_by_zone(spec, resources, capacities)
    if spec.single_zone:
        return any(count >= task_count for count in count_by_zone.values())
    limit = max_tasks_per_zone(spec)
    return sum(min(count, limit) for count in count_by_zone.values()) >= task_count
