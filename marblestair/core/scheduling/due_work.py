"""Which jobs of a team cannot all be done in time under the team's limit."""

from __future__ import annotations

from typing import NamedTuple


class DueWork(NamedTuple):
    """What is left of a job that has a deadline.

    The order of the fields is the order in which work is considered.
    """

    due_in_s: float
    #: cpu seconds that its tasks will take
    cpu_s: float
    job: str


def infeasible_jobs(work: list[DueWork], limit_cpus: float) -> set[str]:
    """Return the jobs to put off so that as many as possible are done when due.

    This is the algorithm of Moore and Hodgson, with the cpus that all the jobs can use at once in
    the place of one machine: whenever the jobs chosen so far are too much for the earliest
    deadlines, the one that takes longest is put off.
    """
    put_off: set[str] = set()
    chosen: list[tuple[float, str]] = []
    total_cpu_s = 0.0
    for due_in_s, cpu_s, job in sorted(work):
        chosen.append((cpu_s, job))
        total_cpu_s += cpu_s
        while chosen and total_cpu_s > due_in_s * limit_cpus:
            longest = max(chosen)
            chosen.remove(longest)
            total_cpu_s -= longest[0]
            put_off.add(longest[1])
    return put_off
