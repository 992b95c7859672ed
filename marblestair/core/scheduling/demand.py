"""What the pending tasks of a shard demand beyond its quotas.

Each shard has a portion of every team's limit. What it lacks is in its summary, by which the
leaders of other shards transfer quota to it.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from marblestair.core.domain.jobs import JobKind
from marblestair.core.scheduling.effective_quotas import EffectiveQuotas
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.shard import Shard

#: cpus and gpus of a team, in fixed point
QuotaAmounts: TypeAlias = list[int]


class Demand(msgspec.Struct):
    """What the pending tasks of one shard demand."""

    #: cpus of all pending tasks
    backlog_cpus: int = 0
    #: team -> what its pending tasks lack in this shard's quota
    quota_shortfall: dict[str, QuotaAmounts] = {}
    #: team -> what the whole quota must be for the first pending unit (a task, or a gang) that it
    #: is too small for
    required_quota: dict[str, QuotaAmounts] = {}


def demanded_tasks(failures: FailureAttribution, job_slice: JobSlice) -> int:
    """Count the tasks of a slice for which capacity is demanded.

    A job that probably fails on every machine demands capacity for one task at a time; such a
    gang demands none and is retried where there is free capacity.
    """
    pending = len(job_slice.pending)
    if pending and failures.is_quarantined(job_slice.spec.id):
        return int(job_slice.spec.kind != JobKind.GANG and not job_slice.placed_on)
    return pending


def measure_demand(failures: FailureAttribution, quotas: EffectiveQuotas, shard: Shard) -> Demand:
    """Sum the demand of a shard's slices."""
    demand = Demand()
    demanded_by_team: dict[str, QuotaAmounts] = {}
    for job_slice in shard.slices.values():
        task_count = demanded_tasks(failures, job_slice)
        if not task_count or job_slice.is_cancelled:
            continue
        team = job_slice.spec.team
        cpus, gpus, _ = job_slice.resources
        demand.backlog_cpus += task_count * cpus
        demanded = demanded_by_team.setdefault(team, [0, 0])
        demanded[0] += task_count * cpus
        demanded[1] += task_count * gpus
        unit = task_count if job_slice.spec.kind == JobKind.GANG else 1
        quota = quotas.quota(shard, team)
        if unit * cpus > quota[0] or unit * gpus > quota[1]:
            demand.required_quota.setdefault(team, [unit * cpus, unit * gpus])
    demand.quota_shortfall = _lacking_quota(quotas, shard, demanded_by_team)
    return demand


def _lacking_quota(
    quotas: EffectiveQuotas, shard: Shard, demanded_by_team: dict[str, QuotaAmounts]
) -> dict[str, QuotaAmounts]:
    """What the teams demand beyond the unused quota in a shard."""
    lacking_by_team = {}
    for team, demanded in demanded_by_team.items():
        used, quota = shard.usage(team), quotas.quota(shard, team)
        lacking = [max(0, demanded[i] - max(0, quota[i] - used[i])) for i in range(2)]
        if any(lacking):
            lacking_by_team[team] = lacking
    return lacking_by_team
