"""Limits on the zones in which the tasks of one job may be placed together."""

from __future__ import annotations

from collections import Counter

from marblestair.core.domain.jobs import JobSpec
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine


def max_tasks_per_zone(spec: JobSpec) -> int:
    """Return how many of a job's tasks may be in one zone.

    That is half of the tasks, rounded up, for a job that is spread over zones, and else all.
    """
    return (spec.task_count + 1) // 2 if spec.spread_zones else spec.task_count


class ZoneRule:
    """Applies the zone constraint of a job, a single zone or a spread over zones, to one slice.

    Only tasks of this slice are counted, not those of the job's slices in other shards.
    """

    def __init__(self, job_slice: JobSlice) -> None:
        spec = job_slice.spec
        self._single_zone = spec.single_zone
        self._spread_zones = spec.spread_zones
        self._max_per_zone = max_tasks_per_zone(spec)
        #: zone -> number of tasks of the slice that are placed there
        self._placed = Counter(machine.zone for machine in job_slice.placed_on.values())

    @staticmethod
    def for_slice(job_slice: JobSlice) -> ZoneRule | None:
        """Return the rule for a slice, or None if its job neither needs one zone nor is spread."""
        if job_slice.spec.single_zone or job_slice.spec.spread_zones:
            return ZoneRule(job_slice)
        return None

    def is_open(self, machine: Machine) -> bool:
        """Whether one more task may be placed in a machine's zone."""
        if self._single_zone and self._placed and not self._placed[machine.zone]:
            return False
        return not self._spread_zones or self._placed[machine.zone] < self._max_per_zone

    def allowed_tasks(self, machine: Machine, task_count: int) -> int:
        """Return how many of ``task_count`` tasks may be placed in a machine's zone.

        Only the limit of a job that is spread over zones is applied here. Whether a job that needs
        a single zone may use the machine's zone is checked by :meth:`is_open`.
        """
        if not self._spread_zones:
            return task_count
        return min(task_count, self._max_per_zone - self._placed[machine.zone])

    def add(self, machine: Machine, task_count: int) -> None:
        """Add tasks that were placed on a machine to the count of its zone."""
        self._placed[machine.zone] += task_count
