"""What the waiting work of a part lacks under its teams' limits.

Each part holds a share of every team's limit. What a part lacks is told to the other owners, which
give it room.
"""

from __future__ import annotations

import msgspec

from marblestair.core.domain.jobs import JobKind
from marblestair.core.scheduling.quota_ledger import QuotaLedger
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.shard import Shard

#: cpus and gpus of a team, in fixed point
Amounts = list[int]


class Demand(msgspec.Struct):
    """What waits in one part."""

    #: cpus of all waiting tasks
    backlog_cpus: int
    #: team -> what its waiting tasks lack in this part's share
    lacking_quota: dict[str, Amounts]
    #: team -> what the whole share must hold for the first waiting unit (a task, or a gang) that
    #: it is too small for
    starved_teams: dict[str, Amounts]


def demanded_tasks(failures: FailureAttribution, job_slice: JobSlice) -> int:
    """Count the tasks of a slice that room is wanted for.

    A job that probably fails on every machine wants room for one task at a time; such a gang
    wants none and tries where there is room.
    """
    n = len(job_slice.pending)
    if n and failures.is_quarantined(job_slice.spec.id):
        return int(job_slice.spec.kind != JobKind.GANG and not job_slice.placed_on)
    return n


def measure_demand(failures: FailureAttribution, quotas: QuotaLedger, shard: Shard) -> Demand:
    """Go through a part's waiting slices."""
    demand = Demand(0, {}, {})
    for job_slice in shard.slices.values():
        n = demanded_tasks(failures, job_slice)
        if not n or job_slice.is_cancelled:
            continue
        demand.backlog_cpus += n * job_slice.resources[0]
        _add(demand.lacking_quota, job_slice, n)
        unit = n if job_slice.spec.kind == JobKind.GANG else 1
        share = quotas.quota(shard, job_slice.spec.team)
        if unit * job_slice.resources[0] > share[0] or unit * job_slice.resources[1] > share[1]:
            demand.starved_teams.setdefault(
                job_slice.spec.team, [unit * job_slice.resources[0], unit * job_slice.resources[1]]
            )
    demand.lacking_quota = _lacking(quotas, shard, demand.lacking_quota)
    return demand


def _add(totals: dict[str, Amounts], job_slice: JobSlice, tasks: int) -> None:
    total = totals.setdefault(job_slice.spec.team, [0, 0])
    total[0] += tasks * job_slice.resources[0]
    total[1] += tasks * job_slice.resources[1]


def _lacking(quotas: QuotaLedger, shard: Shard, totals: dict[str, Amounts]) -> dict[str, Amounts]:
    """What of the teams' totals is more than their shares leave free here."""
    out = {}
    for team, total in totals.items():
        used, share = shard.usage(team), quotas.quota(shard, team)
        lack = [max(0, total[i] - max(0, share[i] - used[i])) for i in range(2)]
        if any(lack):
            out[team] = lack
    return out
