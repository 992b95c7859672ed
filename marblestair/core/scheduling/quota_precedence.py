"""The order in which the jobs of one team get the team's quota, across all shards.

A gang that needs more than its shard's entire quota waits until other shards have transferred
theirs. The shards' own work would use each part of it first, as soon as a task ends.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from marblestair.core.domain.jobs import JobKind
from marblestair.core.messaging.received_summaries import ReceivedSummaries
from marblestair.core.messaging.shard_summary import ShardSummary
from marblestair.core.runtime.context import NodeContext
from marblestair.core.scheduling.fleet_plan import FleetPlan
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.shard import Shard
from marblestair.core.state.store_view import StoreView

#: maximum age of a shard's summary; if it is older, the shard's demand for quota is ignored
MAX_DEMAND_AGE_S = 3.0


class JobAge(NamedTuple):
    """The order of jobs by age; the oldest job is the smallest."""

    startable_since: float
    job: str


#: later than any job
NO_JOB = JobAge(math.inf, "")


class QuotaPrecedence:
    """Finds the oldest jobs that require quota which other shards have."""

    def __init__(
        self,
        context: NodeContext,
        view: StoreView,
        summaries: ReceivedSummaries,
        fleet_plan: FleetPlan,
    ) -> None:
        self._context = context
        self._view = view
        self._summaries = summaries
        self._fleet_plan = fleet_plan

    def must_yield(self, shard: Shard, job_slice: JobSlice) -> bool:
        """Whether an older job of the team requires the team's quota in another shard.

        Nothing yields while reservations are suspended, so that work waits for a bounded time only.
        """
        if self._fleet_plan.is_reserving_suspended:
            return False
        team = job_slice.spec.team
        age = JobAge(job_slice.startable_since, job_slice.spec.id)
        return any(
            team in summary.required_quota and self.oldest_requiring(summary, team) < age
            for shard_id, (received_at, summary) in self._summaries.items()
            if shard_id != shard.shard_id and self._context.now - received_at <= MAX_DEMAND_AGE_S
        )

    def oldest_requiring(self, summary: ShardSummary, team: str) -> JobAge:
        """Return the age of a team's oldest job that requires more than a shard's quota.

        Gangs that lack machines are left out. Returns ``NO_JOB`` if there is no such job.
        """
        shard_map = self._view.shard_map
        quota = [0, 0]
        if shard_map is not None:
            quota = shard_map.shards[summary.shard_id].quotas.get(team, [0, 0])
        oldest = NO_JOB
        for job, pending, _ in summary.pending_jobs:
            record = self._view.jobs.get(job)
            if record is None or record.spec.team != team or not pending:
                continue
            if job in self._fleet_plan.gangs_lacking_machines:
                continue
            unit = pending if record.spec.kind == JobKind.GANG else 1
            cpus, gpus, _memory = record.spec.resources
            if unit * cpus > quota[0] or unit * gpus > quota[1]:
                oldest = min(oldest, JobAge(record.startable_since, job))
        return oldest
