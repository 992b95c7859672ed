"""Merges the summaries of all shards into one state, from which the fleet plan is computed."""

from __future__ import annotations

from marblestair.core.messaging.received_summaries import ReceivedSummaries
from marblestair.core.messaging.shard_summary import ReceivedSummary
from marblestair.core.runtime.context import NodeContext

#: maximum age at which a shard's summary is still used, in agent leases
MAX_SUMMARY_AGE_LEASES = 1.5


class ReportedState:
    """Holds the merged state from the latest summaries of all shards.

    During a failover, the last summary of a shard is a good approximation of the shard's state, so
    it is used until it is older than ``MAX_SUMMARY_AGE_LEASES``. The shard is then left out.
    """

    def __init__(self, context: NodeContext, summaries: ReceivedSummaries) -> None:
        #: job -> number of its pending tasks, and number of its placed tasks
        self.tasks: dict[str, tuple[int, int]] = {}
        #: job -> a shard that has tasks of the job
        self.shard_of_job: dict[str, int] = {}
        #: machine -> seconds for which the machine has had no task
        self.idle_machines: dict[str, float] = {}
        self.unavailable_machines: set[str] = set()
        self.partitioned_machines: set[str] = set()
        self.gang_machines: set[str] = set()
        #: machine -> cpus in use, in fixed point
        self.used_cpus: dict[str, int] = {}
        max_age_s = MAX_SUMMARY_AGE_LEASES * context.settings.cluster.workers.lease_s
        #: shards with a recent summary
        self.recent_shards = {
            shard_id
            for shard_id, (received_at, _) in summaries.items()
            if context.now - received_at <= max_age_s
        }
        for shard_id in sorted(self.recent_shards):
            self._add(shard_id, summaries[shard_id], context.now)

    def _add(self, shard_id: int, received: ReceivedSummary, now: float) -> None:
        received_at, summary = received
        for job, pending, placed in summary.pending_jobs:
            pending_elsewhere, placed_elsewhere = self.tasks.get(job, (0, 0))
            self.tasks[job] = (pending_elsewhere + pending, placed_elsewhere + placed)
            self.shard_of_job[job] = shard_id
        self.gang_machines.update(summary.gang_machines)
        self.used_cpus.update(summary.busy_machines)
        self.used_cpus.update(summary.gang_machine_cpus)
        for name, idle_s in summary.idle_machines:
            self.idle_machines[name] = idle_s + (now - received_at)
        self.unavailable_machines.update(summary.unavailable_machines)
        self.partitioned_machines.update(summary.partitioned_machines)
