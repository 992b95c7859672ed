"""How the tasks of one job must be distributed over the zones."""

from __future__ import annotations

from collections import Counter

from marblestair.core.domain.jobs import JobSpec
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine


def max_tasks_per_zone(spec: JobSpec) -> int:
    """How many of a job's tasks may run in one zone."""
    return (spec.task_count + 1) // 2 if spec.spread_zones else spec.task_count


class ZoneRule:
    """The zones that are open to more tasks of a job which must stay in one zone, or apart."""

    def __init__(self, job_slice: JobSlice) -> None:
        spec = job_slice.spec
        self._single_zone = spec.single_zone
        self._spread_zones = spec.spread_zones
        self._limit = max_tasks_per_zone(spec)
        #: zone -> tasks of the job that are placed there
        self._placed = Counter(machine.zone for machine in job_slice.placed_on.values())

    @staticmethod
    def for_slice(job_slice: JobSlice) -> ZoneRule | None:
        """The rule for a slice's job, or None if its tasks may run in any zones."""
        if job_slice.spec.single_zone or job_slice.spec.spread_zones:
            return ZoneRule(job_slice)
        return None

    def is_open(self, machine: Machine) -> bool:
        """Whether one more task may run in a machine's zone."""
        if self._single_zone and self._placed and not self._placed[machine.zone]:
            return False
        return not self._spread_zones or self._placed[machine.zone] < self._limit

    def allowed_tasks(self, machine: Machine, task_count: int) -> int:
        """How many of some tasks may run in a machine's zone."""
        if not self._spread_zones:
            return task_count
        return min(task_count, self._limit - self._placed[machine.zone])

    def add(self, machine: Machine, task_count: int) -> None:
        """Count tasks that were placed on a machine."""
        self._placed[machine.zone] += task_count
