"""Which jobs can never run."""

from __future__ import annotations

from marblestair.core.domain.amounts import fixed_point_down
from marblestair.core.domain.jobs import JobKind, JobSpec
from marblestair.core.domain.machines import MachineType
from marblestair.core.domain.settings import Team


def rejection_reason(
    spec: JobSpec, teams: dict[str, Team], machine_types: list[MachineType]
) -> str | None:
    """Why a job can never run, or None: the same answer on every controller."""
    team = teams.get(spec.team)
    if team is None:
        return "unknown team"
    options = [kind for kind in machine_types if _is_allowed(spec, kind)]
    options = [kind for kind in options if kind.can_hold(spec.resources)]
    if not options:
        return "a task fits no allowed machine type"
    zones = {zone for kind in options for zone in kind.zones if spec.zone in (None, zone)}
    if spec.kind == JobKind.GANG and spec.spread_zones and spec.task_count > 1:
        # At most half of the tasks may lie in one zone, and all run at the same time.
        if spec.single_zone or len(zones) < 2:
            return "its tasks must lie apart, and there is one zone only"
    if _exceeds_limit(spec, team):
        return "more than the team's limit"
    return None


def _is_allowed(spec: JobSpec, kind: MachineType) -> bool:
    if spec.machine_types is not None and kind.name not in spec.machine_types:
        return False
    return spec.zone is None or spec.zone in kind.zones


def _exceeds_limit(spec: JobSpec, team: Team) -> bool:
    """Whether what has to run at once is more than the team may use."""
    tasks = spec.task_count if spec.kind == JobKind.GANG else 1
    cpus, gpus, _ = spec.resources
    limit_cpus = fixed_point_down(team.cpu_limit)
    limit_gpus = fixed_point_down(team.gpu_limit)
    return tasks * cpus > limit_cpus or tasks * gpus > limit_gpus
