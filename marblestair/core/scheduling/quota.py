"""Guarantees, limits, and the order in which jobs are served."""

from __future__ import annotations

from collections.abc import Callable

from marblestair.core.domain.amounts import fixed_point_down, fixed_point_up
from marblestair.core.domain.jobs import PRIORITY_RANKS, JobSpec, Priority
from marblestair.core.state.records import JobRecord
from marblestair.settings.model import Team


def jobs_within_guarantee(
    jobs: dict[str, JobRecord],
    teams: dict[str, Team],
    is_suspected: Callable[[str], bool],
) -> set[str]:
    """Return the jobs that fit into their team's guarantee.

    A job does if it fits together with the team's earlier unfinished jobs. Jobs that probably
    fail on every machine, and those that await others, take nothing from the guarantee.
    """
    used: dict[str, list[int]] = {}
    out: set[str] = set()
    for record in sorted(jobs.values(), key=lambda r: (r.startable_since, r.spec.id)):
        spec = record.spec
        team = teams.get(spec.team)
        if team is None or record.is_cancelled or record.is_blocked or is_suspected(spec.id):
            continue
        u = used.setdefault(spec.team, [0, 0])
        u[0] += spec.task_count * fixed_point_up(spec.cpus)
        u[1] += spec.task_count * fixed_point_up(spec.gpus)
        if u[0] <= fixed_point_down(team.cpus) and u[1] <= fixed_point_down(team.gpus):
            out.add(spec.id)
    return out


def priority_key(
    spec: JobSpec,
    guaranteed: bool,
    hopeless: bool,
    wall: float,
    factor: float,
    suspected: bool = False,
    is_guest: bool = False,
    ready_at: float | None = None,
    is_awaited: bool = False,
) -> tuple[int, int, int, float, str]:
    """Return the sort key by which jobs are served, the smallest first.

    Guarantees and high priority come first, then priority, then slack to the deadline or age; a
    factor corrects the estimate. Guests come after all others, and what probably fails anyway
    comes last. Age counts from ``ready_at``, which is the acceptance where it is not given. What
    others await is never put off: its deadline is only when they should begin.
    """
    late = 8 * int(suspected) + 4 * int(is_guest)
    if spec.deadline_s is not None:
        slack = spec.accepted_at + spec.deadline_s - wall - spec.estimated_run_s * factor
        # What cannot be done by a deadline and half any more is of least use.
        if not is_awaited:
            late += int(hopeless) + 2 * int(slack + 0.5 * spec.deadline_s < 0)
    else:
        slack = (spec.accepted_at if ready_at is None else ready_at) - wall + 120.0
    first = guaranteed or PRIORITY_RANKS[spec.priority] >= PRIORITY_RANKS[Priority.HIGH]
    return (late, 0 if first else 1, -PRIORITY_RANKS[spec.priority], slack, spec.id)


def infeasible_jobs(work: list[tuple[float, float, str]], limit: float) -> set[str]:
    """Jobs to put off so that as many as possible are done when due (Moore and Hodgson).

    ``work`` holds seconds until due, cpu seconds left, and the job; ``limit`` is what all of them
    can use at once.
    """
    out: set[str] = set()
    taken: list[tuple[float, str]] = []
    total = 0.0
    for due, amount, job in sorted(work):
        taken.append((amount, job))
        total += amount
        while taken and total > due * limit:
            worst = max(taken)
            taken.remove(worst)
            total -= worst[0]
            out.add(worst[1])
    return out
