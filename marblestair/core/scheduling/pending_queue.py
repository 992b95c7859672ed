"""The queue of a shard's pending slices, kept from one placement pass to the next."""

from __future__ import annotations

import msgspec

from marblestair.core.domain.jobs import JobKind
from marblestair.core.shard.job_slice import JobSlice


class StarvedSlice(msgspec.Struct):
    """A starved array, whose tasks are launched before other tasks, with its launch limits."""

    job_slice: JobSlice
    #: maximum number of tasks that may still be launched, if the team's
    #: :attr:`PendingQueue.starved_cpus_left` covers them
    max_tasks: int
    #: number of tasks that may still be launched even if ``starved_cpus_left`` does not cover them
    min_tasks: int


class PendingQueue:
    """The pending slices of a shard in scheduling order.

    A shard without pending slices has no queue.

    Parameters
    ----------
    order
        The pending slices in scheduling order; at least one.
    """

    def __init__(self, order: list[JobSlice]) -> None:
        self.order = order
        #: arrays whose tasks are launched before those of the slices in ``order``
        self.starved: list[StarvedSlice] = []
        #: team -> cpus that the team's starved arrays may still use, in fixed point
        self.starved_cpus_left: dict[str, int] = {}
        #: cpus of the smallest pending task, in fixed point
        self.min_cpus = min(job_slice.resources[0] for job_slice in order)
        #: team -> cpus of the smallest pending task of the team's arrays, in fixed point
        self.min_array_cpus: dict[str, int] = {}
        #: cpus of the smallest task of any pending gang, in fixed point; None without gangs
        self.min_gang_cpus: int | None = None
        for job_slice in order:
            team, cpus = job_slice.spec.team, job_slice.resources[0]
            if job_slice.spec.kind != JobKind.GANG:
                smallest = self.min_array_cpus.get(team)
                if smallest is None or cpus < smallest:
                    self.min_array_cpus[team] = cpus
            elif self.min_gang_cpus is None or cpus < self.min_gang_cpus:
                self.min_gang_cpus = cpus
