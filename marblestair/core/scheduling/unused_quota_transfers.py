"""Transfers of unused quota to shards that have free capacity for pending tasks.

Such a transfer is begun for pending tasks if no other shard has both capacity and quota for them.
After the transfer, the tasks can migrate to the target shard. Without transfers, a team could not
use its quota in a shard whose machines have no capacity for the team's tasks.
"""

from __future__ import annotations

from marblestair.core.domain.jobs import JobKind
from marblestair.core.messaging.shard_summary import ShardSummary
from marblestair.core.runtime.context import NodeContext
from marblestair.core.scheduling.effective_quotas import EffectiveQuotas
from marblestair.core.scheduling.placement import placeable_tasks
from marblestair.core.scheduling.quota_transfers import QuotaTransfers
from marblestair.core.scheduling.reported_capacity import ReportedCapacity
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.shard import Shard


class UnusedQuotaTransfers:
    """Transfers a shard's unused quota during one pass over its pending slices."""

    def __init__(
        self,
        context: NodeContext,
        quotas: EffectiveQuotas,
        transfers: QuotaTransfers,
        shard: Shard,
        summaries: list[ShardSummary],
        capacity: ReportedCapacity,
    ) -> None:
        self._context = context
        self._quotas = quotas
        self._transfers = transfers
        self._shard = shard
        self._summaries = summaries
        self._capacity = capacity
        #: team -> whether part of the team's quota in the shard is unused
        self._has_unused_quota: dict[str, bool] = {}

    def transfer_for(self, job_slice: JobSlice) -> None:
        """Begin to transfer unused quota to a shard with free capacity for a slice's tasks.

        No transfer is begun if the team has no unused quota in this shard, if no shard has the
        capacity, or if another quota transfer from this node is in progress.
        """
        team = job_slice.spec.team
        has_unused = self._has_unused_quota.get(team)
        if has_unused is None:
            used, quota = self._shard.usage(team), self._quotas.quota(self._shard, team)
            has_unused = any(u < q for u, q in zip(used, quota, strict=True))
            self._has_unused_quota[team] = has_unused
        if has_unused and not self._quotas.pending_transfers:
            self._begin_transfer(job_slice)

    def _begin_transfer(self, job_slice: JobSlice) -> None:
        """Begin a transfer to the first shard whose machines have free capacity for the tasks.

        A transfer for an array leaves the quota that the team's largest pending gang in this shard
        needs. Quota for tasks that fit on this shard's machines is not transferred.
        """
        spec, resources = job_slice.spec, job_slice.resources
        used = self._shard.usage(spec.team)
        cpus, gpus = self._quotas.quota(self._shard, spec.team)
        if spec.kind != JobKind.GANG:
            cpus -= self._transfers.largest_gang_cpus(self._shard, spec.team)
            if cpus <= used[0]:
                return
        unused = (cpus - used[0], gpus - used[1])
        placeable_here: int | None = None
        for summary in self._summaries:
            fitting = self._capacity.fitting_tasks(summary, job_slice)
            if fitting <= 0:
                continue
            if placeable_here is None:
                placeable_here = placeable_tasks(self._shard, spec, self._context.now)
            if spec.is_indivisible and not self._capacity.fits_together(
                summary, job_slice, len(job_slice.pending), False
            ):
                continue
            count = min(fitting, len(job_slice.pending) - placeable_here)
            free = summary.free_quota.get(spec.team, [0, 0])
            amounts = [max(0, min(unused[i], count * resources[i] - free[i])) for i in range(2)]
            if count > 0 and any(amounts):
                self._transfers.begin(self._shard, summary.shard_id, spec.team, amounts)
                return
