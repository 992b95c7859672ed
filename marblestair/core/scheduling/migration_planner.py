"""Selection of pending tasks to migrate to other shards, and of the target shards."""

from __future__ import annotations

from typing import NamedTuple

from marblestair.core.domain.jobs import JobKind
from marblestair.core.messaging.received_summaries import ReceivedSummaries
from marblestair.core.messaging.shard_summary import ShardSummary
from marblestair.core.runtime.context import NodeContext
from marblestair.core.scheduling.arrivals import Arrivals
from marblestair.core.scheduling.dispatch import Dispatcher
from marblestair.core.scheduling.effective_quotas import EffectiveQuotas
from marblestair.core.scheduling.preemption import Preemption
from marblestair.core.scheduling.quota_transfers import QuotaTransfers
from marblestair.core.scheduling.reported_capacity import (
    ReportedCapacity,
    max_free_quota_cpus_by_team,
    reserve_capacity,
)
from marblestair.core.scheduling.slice_migration import MAX_ACTIVE_MIGRATIONS, SliceMigrations
from marblestair.core.scheduling.unused_quota_transfers import UnusedQuotaTransfers
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.shard import Shard
from marblestair.core.state.store_view import StoreView

#: age of a shard's summary from which on the summary is ignored and no tasks migrate to the shard
MAX_TARGET_SUMMARY_AGE_S = 1.5
#: minimum time for which a slice must have been pending in its shard before its tasks may migrate
MIN_PENDING_S = 0.3


class MigrationTarget(NamedTuple):
    """The summary of a shard to which tasks are to migrate, and the number of these tasks."""

    summary: ShardSummary
    task_count: int


class MigrationPlanner:
    """Starts migrations of pending tasks from the shards that one node leads."""

    def __init__(  # noqa: PLR0913 - injected components
        self,
        context: NodeContext,
        view: StoreView,
        quotas: EffectiveQuotas,
        quota_transfers: QuotaTransfers,
        summaries: ReceivedSummaries,
        failures: FailureAttribution,
        arrivals: Arrivals,
        preemption: Preemption,
        dispatcher: Dispatcher,
        migrations: SliceMigrations,
    ) -> None:
        self._context = context
        self._view = view
        self._quotas = quotas
        self._quota_transfers = quota_transfers
        self._summaries = summaries
        self._failures = failures
        self._arrivals = arrivals
        self._preemption = preemption
        self._dispatcher = dispatcher
        self._migrations = migrations

    def migrate_pending(self, shard: Shard) -> None:
        """Start migrations of pending tasks to shards with capacity and quota for them.

        If no other shard has both for a slice, unused quota is transferred to a shard with
        capacity. A latency-sensitive gang for which tasks of this shard can be preempted does not
        migrate.
        """
        summaries = [] if shard.unreconciled_machines else self._recent_summaries(shard)
        if not summaries:
            return
        capacity = ReportedCapacity()
        unused_quota_transfers = UnusedQuotaTransfers(
            self._context, self._quotas, self._quota_transfers, shard, summaries, capacity
        )
        survey = self._preemption.survey(shard)
        max_free_cpus = max_free_quota_cpus_by_team(summaries)
        for job_slice in self._dispatcher.pending_in_order(shard):
            if self._migrations.active_count >= MAX_ACTIVE_MIGRATIONS:
                return
            if not self._may_migrate(job_slice):
                continue
            spec = job_slice.spec
            may_preempt = spec.kind == JobKind.GANG and self._arrivals.is_latency_sensitive(spec)
            if may_preempt:
                quota = self._quotas.quota(shard, spec.team)
                if self._preemption.can_preempt_for(shard, job_slice, quota, survey):
                    continue
            target = None
            if max_free_cpus.get(spec.team, 0) >= job_slice.resources[0]:
                target = self._best_target(job_slice, summaries, capacity, may_preempt)
            if target is None:
                unused_quota_transfers.transfer_for(job_slice)
            elif self._migrate(shard, job_slice, target):
                capacity.clear()

    def _migrate(self, shard: Shard, job_slice: JobSlice, target: MigrationTarget) -> bool:
        """Start to migrate the last pending tasks of a slice; return whether a migration started.

        The capacity and quota that these tasks need are subtracted from the target's summary.
        """
        summary, task_count = target
        ranges = job_slice.pending.tail(task_count)
        if not self._migrations.start(shard, job_slice, ranges, summary.shard_id):
            return False
        reserve_capacity(summary, job_slice.spec, task_count)
        return True

    def _recent_summaries(self, shard: Shard) -> list[ShardSummary]:
        """Return other shards' recent summaries that were made in the shard's current term.

        The list is empty as long as this node has not read the shard map.
        """
        shard_map = self._view.shard_map
        if shard_map is None:
            return []
        return [
            summary
            for shard_id, (received_at, summary) in sorted(self._summaries.items())
            if shard_id != shard.shard_id
            and self._context.now - received_at < MAX_TARGET_SUMMARY_AGE_S
            and shard_id < len(shard_map.shards)
            and summary.term == shard_map.shards[shard_id].term
        ]

    def _may_migrate(self, job_slice: JobSlice) -> bool:
        """Whether pending tasks of a slice may migrate now."""
        if job_slice.is_unreconciled or job_slice.migrating_ranges or job_slice.is_stopping_gang:
            return False
        if self._failures.is_quarantined(job_slice.spec.id):
            return False
        if self._context.now - job_slice.pending_since < MIN_PENDING_S:
            return False
        has_started = job_slice.placed_on or job_slice.done_count
        return not (job_slice.spec.is_indivisible and has_started)

    def _best_target(
        self,
        job_slice: JobSlice,
        summaries: list[ShardSummary],
        capacity: ReportedCapacity,
        may_preempt: bool,
    ) -> MigrationTarget | None:
        """Return the shard that accepts the most pending tasks of a slice; None if none does."""
        best, max_count = None, 0
        for summary in summaries:
            count = self._accepted_tasks(job_slice, summary, capacity, may_preempt)
            if count > max_count:
                best, max_count = summary, count
        return MigrationTarget(best, max_count) if best is not None else None

    def _accepted_tasks(
        self,
        job_slice: JobSlice,
        summary: ShardSummary,
        capacity: ReportedCapacity,
        may_preempt: bool,
    ) -> int:
        """Return the number of a slice's pending tasks that fit into a shard's capacity and quota.

        Tasks that must start together count only if all of them fit. For them, the capacity that
        the shard reported as preemptible is included if ``may_preempt`` is set.
        """
        spec = job_slice.spec
        pending = len(job_slice.pending)
        count = pending
        free_quota = summary.free_quota.get(spec.team, [0, 0])
        for free, amount in zip(free_quota, job_slice.resources, strict=False):
            if amount > 0:
                count = min(count, free // amount)
        if spec.is_indivisible:
            if count < pending or not capacity.fits_together(
                summary, job_slice, count, may_preempt
            ):
                return 0
            return count
        return min(count, capacity.fitting_tasks(summary, job_slice)) if count > 0 else 0
