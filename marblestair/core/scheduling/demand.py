"""Measurement of what a shard's pending tasks need, and of the quota that the shard lacks for them.

Each shard has a part of every team's limit as the team's quota in the shard. A shard's leader
publishes the quota shortfall in the shard's summary, and the leaders of other shards transfer quota
to the shard (``QuotaTransfers``).
"""

from __future__ import annotations

from collections.abc import Container
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
    """The demand of one shard's pending tasks, in fixed point."""

    #: cpus of the pending tasks that :func:`demanded_tasks` counts
    backlog_cpus: int = 0
    #: team -> amounts by which the demand of the team's pending tasks exceeds the team's unused
    #: quota in this shard
    quota_shortfall: dict[str, QuotaAmounts] = {}
    #: team -> quota that one task of an array, or one whole gang, needs; only for teams with a task
    #: or gang that needs more than the team's entire quota in this shard (the first one found)
    required_quota: dict[str, QuotaAmounts] = {}


def demanded_tasks(failures: FailureAttribution, job_slice: JobSlice) -> int:
    """Count the tasks of a slice that add to the demand.

    A quarantined array, which probably fails on every machine, adds one task while none is placed.
    A quarantined gang adds none: it is retried only when capacity is free anyway.
    """
    pending = len(job_slice.pending)
    if pending and failures.is_quarantined(job_slice.spec.id):
        return int(job_slice.spec.kind != JobKind.GANG and not job_slice.placed_on)
    return pending


def measure_demand(
    failures: FailureAttribution,
    quotas: EffectiveQuotas,
    shard: Shard,
    without_quota: Container[str] = (),
) -> Demand:
    """Sum the demand of all slices of a shard that are not cancelled.

    The jobs in ``without_quota`` demand no quota. These are gangs that cannot start at present,
    whatever their team's quota in the shard is.
    """
    demand = Demand()
    demanded_by_team: dict[str, QuotaAmounts] = {}
    for job_slice in shard.slices.values():
        task_count = demanded_tasks(failures, job_slice)
        if not task_count or job_slice.is_cancelled:
            continue
        team = job_slice.spec.team
        cpus, gpus, _ = job_slice.resources
        demand.backlog_cpus += task_count * cpus
        if job_slice.spec.id in without_quota:
            continue
        demanded = demanded_by_team.setdefault(team, [0, 0])
        demanded[0] += task_count * cpus
        demanded[1] += task_count * gpus
        unit = task_count if job_slice.spec.kind == JobKind.GANG else 1
        quota = quotas.quota(shard, team)
        if unit * cpus > quota[0] or unit * gpus > quota[1]:
            demand.required_quota.setdefault(team, [unit * cpus, unit * gpus])
    demand.quota_shortfall = _quota_shortfall(quotas, shard, demanded_by_team)
    return demand


def _quota_shortfall(
    quotas: EffectiveQuotas, shard: Shard, demanded_by_team: dict[str, QuotaAmounts]
) -> dict[str, QuotaAmounts]:
    """Return the amounts by which the demand exceeds the unused quota in a shard, by team."""
    shortfall_by_team = {}
    for team, demanded in demanded_by_team.items():
        used, quota = shard.usage(team), quotas.quota(shard, team)
        shortfall = [max(0, demanded[i] - max(0, quota[i] - used[i])) for i in range(2)]
        if any(shortfall):
            shortfall_by_team[team] = shortfall
    return shortfall_by_team
