"""The jobs that fit into the guaranteed quota of their teams."""

from __future__ import annotations

from collections.abc import Callable

from marblestair.core.domain.amounts import fixed_point_down, fixed_point_up
from marblestair.core.domain.settings import Team
from marblestair.core.runtime.context import NodeContext
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.state.records import JobRecord
from marblestair.core.state.store_view import StoreView


class Guarantees:
    """Holds the jobs within their teams' guaranteed quota, computed from one node's view."""

    def __init__(self, context: NodeContext, view: StoreView, failures: FailureAttribution) -> None:
        self._context = context
        self._view = view
        self._failures = failures
        #: ids of the jobs within guaranteed quota, as of the latest update
        self.jobs: set[str] = set()

    def __contains__(self, job: object) -> bool:
        """Whether a job is within its team's guaranteed quota."""
        return job in self.jobs

    def update(self) -> None:
        """Recompute the jobs within guaranteed quota from the current view."""
        self.jobs = jobs_within_guarantee(
            self._view.jobs, self._context.teams, self._failures.is_quarantined
        )


def jobs_within_guarantee(
    jobs: dict[str, JobRecord],
    teams: dict[str, Team],
    is_quarantined: Callable[[str], bool],
) -> set[str]:
    """Return the jobs that fit into their team's guaranteed quota.

    A job fits if the guaranteed quota covers the job and all jobs of the team that became startable
    earlier. Every job counts with all its tasks, finished ones included. Quarantined, cancelled and
    blocked jobs neither count nor are returned.
    """
    used: dict[str, list[int]] = {}
    guaranteed: set[str] = set()
    for record in sorted(jobs.values(), key=lambda r: (r.startable_since, r.spec.id)):
        spec = record.spec
        team = teams.get(spec.team)
        if team is None or record.is_cancelled or record.is_blocked or is_quarantined(spec.id):
            continue
        team_used = used.setdefault(spec.team, [0, 0])
        team_used[0] += spec.task_count * fixed_point_up(spec.cpus)
        team_used[1] += spec.task_count * fixed_point_up(spec.gpus)
        if team_used[0] <= fixed_point_down(team.cpus) and team_used[1] <= fixed_point_down(
            team.gpus
        ):
            guaranteed.add(spec.id)
    return guaranteed
