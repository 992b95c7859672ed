"""Headroom of the teams under their cpu limits."""

from __future__ import annotations

from marblestair.core.capacity.reported_state import ReportedState
from marblestair.core.domain.jobs import JobKind
from marblestair.core.domain.settings import Team
from marblestair.core.state.records import JobRecord


class TeamHeadroom:
    """Tracks the cpus that the teams' limits leave for pending tasks; reserves them by job."""

    def __init__(
        self, teams: dict[str, Team], reported: ReportedState, live: list[JobRecord]
    ) -> None:
        self._cpus = {name: team.cpu_limit for name, team in teams.items()}
        # Headroom of gangs: only the cpus of gangs are deducted from a team's limit, because the
        # tasks of arrays soon end and leave their part of the limit to gangs.
        self._gang_cpus = dict(self._cpus)
        for record in live:
            spec = record.spec
            _, placed = reported.tasks.get(spec.id, (0, 0))
            self._use(spec.team, placed * spec.cpus, spec.kind == JobKind.GANG)

    def _use(self, team: str, cpus: float, is_gang: bool) -> None:
        self._cpus[team] = self._cpus.get(team, 0.0) - cpus
        if is_gang:
            self._gang_cpus[team] = self._gang_cpus.get(team, 0.0) - cpus

    def allowed(self, record: JobRecord, pending: int) -> int:
        """Return how many of a job's pending tasks the team's limit allows to run."""
        spec = record.spec
        is_gang = spec.kind == JobKind.GANG
        left = self._gang_cpus if is_gang else self._cpus
        fitting = int(left[spec.team] // spec.cpus) if spec.cpus else pending
        return max(0, min(pending, fitting))

    def reserve(self, record: JobRecord, task_count: int) -> None:
        """Deduct the cpus of some of a job's tasks from the headroom that is left."""
        spec = record.spec
        self._use(spec.team, task_count * spec.cpus, spec.kind == JobKind.GANG)
