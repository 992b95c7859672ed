"""Checks whether a job can ever run."""

from __future__ import annotations

from marblestair.core.domain.amounts import fixed_point_down
from marblestair.core.domain.jobs import JobKind, JobSpec
from marblestair.core.domain.machines import MachineType
from marblestair.core.domain.settings import Team


def rejection_reason(
    spec: JobSpec, teams: dict[str, Team], machine_types: list[MachineType]
) -> str | None:
    """Return why a job can never run, or None if it can.

    The result depends only on the arguments, so it is the same on every controller.
    """
    team = teams.get(spec.team)
    if team is None:
        return "unknown team"
    options = [machine_type for machine_type in machine_types if _is_allowed(spec, machine_type)]
    options = [machine_type for machine_type in options if machine_type.can_hold(spec.resources)]
    if not options:
        return "a task fits no allowed machine type"
    zones = {
        zone for machine_type in options for zone in machine_type.zones if spec.zone in (None, zone)
    }
    if spec.kind == JobKind.GANG and spec.spread_zones and spec.task_count > 1:
        # All tasks run at the same time, and at most half of them may be in one zone, so the job
        # needs at least two zones.
        if spec.single_zone or len(zones) < 2:
            return "its tasks must lie apart, and there is one zone only"
    if _exceeds_limit(spec, team):
        return "more than the team's limit"
    return None


def _is_allowed(spec: JobSpec, machine_type: MachineType) -> bool:
    """Whether the machine types and the zone that a job requests allow a machine type."""
    if spec.machine_types is not None and machine_type.name not in spec.machine_types:
        return False
    return spec.zone is None or spec.zone in machine_type.zones


def _exceeds_limit(spec: JobSpec, team: Team) -> bool:
    """Whether a job always needs more CPUs or GPUs at one time than its team's limit.

    All tasks of a gang must run at the same time. Of any other job, at least one task must be able
    to run.
    """
    tasks = spec.task_count if spec.kind == JobKind.GANG else 1
    cpus, gpus, _ = spec.resources
    limit_cpus = fixed_point_down(team.cpu_limit)
    limit_gpus = fixed_point_down(team.gpu_limit)
    return tasks * cpus > limit_cpus or tasks * gpus > limit_gpus
