"""The queue of a shard's pending slices, as the latest placement pass left it."""

from __future__ import annotations

import msgspec

from marblestair.core.domain.jobs import JobKind
from marblestair.core.shard.job_slice import JobSlice


class StarvedSlice(msgspec.Struct):
    """A starved slice that is served ahead of everything else, and what it may still start."""

    job_slice: JobSlice
    #: tasks that it may start while its team has cpus left for starved work
    max_tasks: int
    #: tasks that it may start in any case
    min_tasks: int


class PendingQueue:
    """The pending slices of a shard; there is no queue when nothing is pending.

    Parameters
    ----------
    order
        The slices, in the order in which they are served; at least one.
    """

    def __init__(self, order: list[JobSlice]) -> None:
        self.order = order
        #: slices that are served ahead of the order
        self.starved: list[StarvedSlice] = []
        #: team -> cpus in fixed point that its starved slices may still use
        self.starved_cpus_left: dict[str, int] = {}
        #: cpus of the smallest pending task, in fixed point
        self.min_cpus = min(job_slice.resources[0] for job_slice in order)
        #: team -> cpus of the smallest pending task of its arrays
        self.min_array_cpus: dict[str, int] = {}
        #: cpus of the smallest task of any gang; None without gangs
        self.min_gang_cpus: int | None = None
        for job_slice in order:
            team, cpus = job_slice.spec.team, job_slice.resources[0]
            if job_slice.spec.kind != JobKind.GANG:
                smallest = self.min_array_cpus.get(team)
                if smallest is None or cpus < smallest:
                    self.min_array_cpus[team] = cpus
            elif self.min_gang_cpus is None or cpus < self.min_gang_cpus:
                self.min_gang_cpus = cpus
