"""Placement of gangs: all tasks are launched at once, or none."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from marblestair.core.domain.amounts import Resources
from marblestair.core.domain.jobs import JobSpec
from marblestair.core.scheduling.machine_choice import placement_cost
from marblestair.core.scheduling.placement import (
    may_run_on_machine,
    tasks_that_fit,
    tasks_within_quota,
)
from marblestair.core.scheduling.zone_rule import max_tasks_per_zone
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard


def place_gang(
    shard: Shard,
    gang: JobSlice,
    quota: tuple[int, int],
    machines: Iterable[Machine],
    is_claimed: Callable[[Machine, str], bool],
    now: float,
) -> bool:
    """Launch all unfinished tasks of a gang or none; return whether they were launched.

    None is launched unless all of these tasks are pending and the team's quota covers them.

    Parameters
    ----------
    shard
        The shard that has the gang.
    gang
        The slice, which contains all of the gang's tasks.
    quota
        Cpus and gpus that the team's tasks may use in the shard, in fixed point.
    machines
        Machines to consider. Machines that are not usable now, or for which ``is_claimed`` returns
        true, are skipped.
    is_claimed
        Returns whether a machine is claimed by, or reserved for, a job other than the given one.
    now
        Monotonic time in seconds.
    """
    task_count = gang.size - gang.done_count
    if (
        task_count <= 0
        or gang.placed_on
        or gang.pending.count != task_count
        or tasks_within_quota(shard, gang, quota) < task_count
    ):
        return False
    spec = gang.spec
    candidates = [
        machine
        for machine in machines
        if machine.is_usable(now)
        and may_run_on_machine(spec, machine)
        and not is_claimed(machine, spec.id)
    ]
    assigned = assign_machines(spec, gang.resources, candidates, task_count)
    if assigned is None:
        return False
    attempt = shard.new_attempt()
    for machine in assigned:
        shard.launch(machine, gang, gang.pending.pop(), attempt)
    return True


def assign_machines(
    spec: JobSpec, resources: Resources, machines: list[Machine], task_count: int
) -> list[Machine] | None:
    """Assign a machine to each task of a gang; return None if the tasks do not all fit.

    The machines with the lowest placement cost are filled first, within the job's zone limits.
    For a job that needs a single zone, the first zone by name that has room for all tasks is used.
    """
    counted = [(machine, tasks_that_fit(machine, resources)) for machine in machines]
    fitting = [(machine, count) for machine, count in counted if count]
    fitting.sort(key=lambda entry: placement_cost(spec, entry[0], resources))
    zones: Sequence[str | None] = [None]
    if spec.single_zone:
        zones = sorted({machine.zone for machine, _ in fitting})
    limit = max_tasks_per_zone(spec)
    for zone in zones:
        assigned: list[Machine] = []
        assigned_by_zone: Counter[str] = Counter()
        for machine, count in fitting:
            if zone is not None and machine.zone != zone:
                continue
            left = task_count - len(assigned)
            assignable = min(count, left, limit - assigned_by_zone[machine.zone])
            if assignable > 0:
                assigned += [machine] * assignable
                assigned_by_zone[machine.zone] += assignable
            if len(assigned) == task_count:
                return assigned
    return None
