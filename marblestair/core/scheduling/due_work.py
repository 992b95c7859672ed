"""Selection of jobs to defer when a team's cpu limit does not let all its jobs finish in time."""

from __future__ import annotations

from typing import NamedTuple


class DueWork(NamedTuple):
    """The remaining work of a job that has a deadline.

    Instances sort by deadline first, since the fields are compared in order.
    """

    #: seconds until the deadline
    due_in_s: float
    #: cpu seconds that the unfinished tasks need
    cpu_s: float
    job: str


def infeasible_jobs(work: list[DueWork], limit_cpus: float) -> set[str]:
    """Return the jobs to defer so that as many jobs as possible meet their deadlines.

    This is the Moore-Hodgson algorithm for a single machine. That machine stands for all
    ``limit_cpus`` cpus, so any job is assumed to be able to use all of them. Jobs are accepted in
    the order of their deadlines. Whenever the accepted jobs cannot all finish by the latest of
    their deadlines, the accepted job with the most remaining work is deferred.
    """
    deferred: set[str] = set()
    accepted: list[tuple[float, str]] = []
    total_cpu_s = 0.0
    for due_in_s, cpu_s, job in sorted(work):
        accepted.append((cpu_s, job))
        total_cpu_s += cpu_s
        while accepted and total_cpu_s > due_in_s * limit_cpus:
            longest = max(accepted)
            accepted.remove(longest)
            total_cpu_s -= longest[0]
            deferred.add(longest[1])
    return deferred
