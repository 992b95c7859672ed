"""The status that a controller reports to operators: leadership, jobs, shards and decisions."""

from __future__ import annotations

from marblestair.core.domain.amounts import FIXED_POINT_SCALE
from marblestair.core.jobs.cancel_registry import CancelRegistry
from marblestair.core.jobs.dependencies import DependencyGraph
from marblestair.core.jobs.managed_job import ManagedJob
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.leadership.promise_ledger import PromiseLedger
from marblestair.core.leadership.store_lease import StoreLease
from marblestair.core.messaging.received_summaries import ReceivedSummaries
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.rejected_writes import RejectedWrites
from marblestair.core.scheduling.slice_migration import SliceMigrations
from marblestair.core.state.records import ShardRecord
from marblestair.core.state.store_view import StoreView

#: upper limit of the reported view age, in seconds; also reported if the view was never loaded
MAX_VIEW_AGE_S = 1e6


class StatusReport:
    """Collects the status of one node for operators."""

    def __init__(  # noqa: PLR0913 - injected components
        self,
        context: NodeContext,
        view: StoreView,
        lease: StoreLease,
        promises: PromiseLedger,
        leadership: Leadership,
        summaries: ReceivedSummaries,
        managed_jobs: dict[str, ManagedJob],
        cancels: CancelRegistry,
        dependencies: DependencyGraph,
        migrations: SliceMigrations,
        rejected_writes: RejectedWrites,
    ) -> None:
        self._context = context
        self._view = view
        self._lease = lease
        self._promises = promises
        self._leadership = leadership
        self._summaries = summaries
        self._managed_jobs = managed_jobs
        self._cancels = cancels
        self._dependencies = dependencies
        self._migrations = migrations
        self._rejected_writes = rejected_writes

    def collect(self) -> dict[str, object]:
        """Return the status of this node."""
        return {
            **self._leadership_status(),
            **self._job_status(),
            **self._pending_status(),
            "decisions": dict(sorted(self._context.decisions.counts.items())),
            "parts": self._shard_statuses(),
        }

    def _leadership_status(self) -> dict[str, object]:
        now = self._context.now
        return {
            "node": self._context.node,
            "acts_for": [shard.shard_id for shard in self._leadership.led_shards()],
            "lease_s_left": round(max(0.0, self._lease.remaining_s(now) or 0.0), 1),
            "on_promises": self._promises.are_valid(now),
            "view_s_old": round(min(MAX_VIEW_AGE_S, self._view.staleness_s(now)), 1),
        }

    def _job_status(self) -> dict[str, object]:
        return {
            "live_jobs": len(self._view.jobs),
            "managed_jobs": len(self._managed_jobs),
            "waiting_jobs": self._dependencies.blocked_count,
            "waiting": self._dependencies.status(),
            "migrations": self._migrations.completed_count,
            "refused_commits": self._rejected_writes.count,
        }

    def _pending_status(self) -> dict[str, object]:
        """Return counts of unfinished operations, and the age of the oldest unconfirmed cancel."""
        shards = self._leadership.shards.values()
        managed = self._managed_jobs.values()
        return {
            "cancels_not_confirmed": self._cancels.unconfirmed_count,
            "oldest_not_confirmed_s": round(self._cancels.oldest_unconfirmed_s, 1),
            "changes_in_doubt": sum(not job.is_record_known for job in managed),
            "stops_waiting": sum(shard.pending_stop_count for shard in shards),
            "machines_with_unknown_tasks": sum(
                len(shard.machines_with_unknown_tasks) for shard in shards
            ),
        }

    def _shard_statuses(self) -> list[dict[str, object]]:
        shard_map = self._view.shard_map
        if shard_map is None:
            return []
        return [
            self._status_of_shard(shard_id, record)
            for shard_id, record in enumerate(shard_map.shards)
        ]

    def _status_of_shard(self, shard_id: int, record: ShardRecord) -> dict[str, object]:
        backlog_cpus = received_s_ago = None
        if shard_id in self._summaries:
            received_at, summary = self._summaries[shard_id]
            backlog_cpus = summary.backlog_cpus / FIXED_POINT_SCALE
            received_s_ago = round(self._context.now - received_at, 1)
        machines = self._view.machines.values()
        return {
            "part": shard_id,
            "owner": record.leader,
            "term": record.term,
            "shares_cpus": {
                team: quota[0] / FIXED_POINT_SCALE for team, quota in record.quotas.items()
            },
            "backlog_cpus": backlog_cpus,
            "told_s_ago": received_s_ago,
            "machines": sum(machine.shard_id == shard_id for machine in machines),
        }
