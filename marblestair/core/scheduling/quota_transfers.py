"""Transfers of a team's quota from a shard with spare quota to a shard that lacks it.

The source's leader first stops using the quota. One commit then changes the quotas of both shards,
so that a team's quotas in all shards never add up to more than the team's limit.
"""

from __future__ import annotations

from collections.abc import Iterable

from marblestair.core.domain.jobs import JobKind
from marblestair.core.leadership import shard_map
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.leadership.shard_map_updates import ShardMapUpdates, UpdateResult
from marblestair.core.messaging.received_summaries import ReceivedSummaries
from marblestair.core.messaging.shard_summary import ShardSummary
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.requests import Sleep
from marblestair.core.scheduling.effective_quotas import EffectiveQuotas
from marblestair.core.scheduling.fleet_plan import FleetPlan
from marblestair.core.scheduling.quota_precedence import (
    MAX_DEMAND_AGE_S,
    JobAge,
    QuotaPrecedence,
)
from marblestair.core.scheduling.shard_summarizer import ShardSummarizer
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys
from marblestair.core.state.records import ShardMap
from marblestair.core.state.store_view import StoreView

#: maximum attempts to commit one transfer; unlimited while the outcome of an attempt is uncertain
MAX_COMMIT_ATTEMPTS = 5


class QuotaTransfers:
    """Transfers quota from the shards that one node leads to other shards."""

    def __init__(  # noqa: PLR0913 - its collaborators
        self,
        context: NodeContext,
        view: StoreView,
        leadership: Leadership,
        shard_map_updates: ShardMapUpdates,
        quotas: EffectiveQuotas,
        summaries: ReceivedSummaries,
        summarizer: ShardSummarizer,
        fleet_plan: FleetPlan,
        failures: FailureAttribution,
        precedence: QuotaPrecedence,
    ) -> None:
        self._context = context
        self._view = view
        self._leadership = leadership
        self._shard_map_updates = shard_map_updates
        self._quotas = quotas
        self._summaries = summaries
        self._summarizer = summarizer
        self._fleet_plan = fleet_plan
        self._failures = failures
        self._precedence = precedence

    def rebalance(self, led_shards: list[Shard]) -> None:
        """Begin to transfer quota to a shard that lacks it, unless a transfer is in progress."""
        current = self._view.shard_map
        if self._quotas.pending_transfers or current is None:
            return
        for shard in led_shards:
            if shard.unreconciled_machines:
                continue
            for shard_id, (received_at, summary) in sorted(self._summaries.items()):
                if shard_id == shard.shard_id:
                    continue
                if self._context.now - received_at > MAX_DEMAND_AGE_S:
                    continue
                if summary.term != current.shards[shard_id].term:
                    continue
                if self._begin_transfer_to(shard, summary):
                    return

    def _begin_transfer_to(self, shard: Shard, other: ShardSummary) -> bool:
        """Begin to transfer quota that another shard lacks, if ``shard`` can spare any.

        One team's quota is transferred; returns whether a transfer was begun.
        """
        received = self._summaries.get(shard.shard_id)
        own = received.summary if received is not None else self._summarizer.summarize(shard)
        for team, lacking in (*other.required_quota.items(), *other.quota_shortfall.items()):
            spare = self._spare_quota(shard, team, own, other)
            if spare is None:
                continue
            amounts = [max(0, min(spare[i], lacking[i])) for i in range(2)]
            if any(amounts):
                self.begin(shard, other.shard_id, team, amounts)
                return True
        return False

    def _spare_quota(
        self, shard: Shard, team: str, own: ShardSummary, other: ShardSummary
    ) -> list[int] | None:
        """Return the cpus and gpus that a shard can spare; None if the shard itself needs quota.

        If the other shard needs more than its entire quota of the team for one task or gang, all
        unused quota can be spared, even if tasks pending in ``shard`` could use that quota. Only
        what older gangs of ``shard`` need is kept, so that the quota does not move back and forth
        between two shards before a gang can start in either.
        """
        used, quota = shard.usage(team), self._quotas.quota(shard, team)
        unused = [quota[i] - used[i] for i in range(2)]
        if team in other.required_quota:
            kept = self._older_gangs(shard, team, self._precedence.oldest_requiring(other, team))
            return [unused[i] - kept[i] for i in range(2)]
        if own.quota_shortfall.get(team) is not None or team in own.required_quota:
            return None
        pending = _pending_resources(
            job_slice for job_slice in shard.slices.values() if self._demands_quota(job_slice, team)
        )
        return [unused[i] - pending[i] for i in range(2)]

    def _older_gangs(self, shard: Shard, team: str, age: JobAge) -> list[int]:
        """Return the cpus and gpus of a team's pending gangs in a shard that are older."""
        return _pending_resources(
            job_slice
            for job_slice in shard.slices.values()
            if job_slice.spec.kind == JobKind.GANG
            and self._demands_quota(job_slice, team)
            and not self._failures.is_quarantined(job_slice.spec.id)
            and JobAge(job_slice.startable_since, job_slice.spec.id) < age
        )

    def _demands_quota(self, job_slice: JobSlice, team: str) -> bool:
        """Whether a slice is of a team and may use its quota; not if it lacks machines anyway."""
        return (
            job_slice.spec.team == team
            and not job_slice.is_cancelled
            and job_slice.spec.id not in self._fleet_plan.gangs_lacking_machines
        )

    def largest_gang_cpus(self, shard: Shard, team: str) -> int:
        """Return the cpus of a team's largest pending gang in a shard, in fixed point.

        ``UnusedQuotaTransfers`` does not transfer this quota for arrays, since the gang would need
        it back.
        """
        return max(
            (
                len(job_slice.pending) * job_slice.resources[0]
                for job_slice in shard.slices.values()
                if job_slice.spec.kind == JobKind.GANG and self._demands_quota(job_slice, team)
            ),
            default=0,
        )

    def begin(self, shard: Shard, target_id: int, team: str, amounts: list[int]) -> None:
        """Stop using cpus and gpus of a team's quota in a shard, and begin to transfer them."""
        self._quotas.pending_transfers[(shard.shard_id, team)] = amounts
        self._context.spawn(self._transfer(shard, target_id, team, amounts))

    def _transfer(
        self, shard: Shard, target_id: int, team: str, amounts: list[int]
    ) -> Coroutine[None]:
        try:
            yield from self._commit(shard, target_id, team, amounts)
        finally:
            self._quotas.pending_transfers.pop((shard.shard_id, team), None)

    def _commit(
        self, shard: Shard, target_id: int, team: str, amounts: list[int]
    ) -> Coroutine[None]:
        """Try to change both quotas; return once the change is, or can no longer be, committed.

        Also returns as soon as this node no longer leads the source shard. Unless an attempt's
        outcome is uncertain, also returns if the source has too little quota, or after
        ``MAX_COMMIT_ATTEMPTS``.
        """
        uncertain_version: int | None = None
        attempts = 0
        while True:
            attempts += 1
            current = self._view.shard_map
            version = self._view.version(keys.SHARD_MAP)
            if current is None or self._leadership.shards.get(shard.shard_id) is not shard:
                return
            if uncertain_version not in (None, version):
                # The shard map has changed since the uncertain attempt. That attempt was either
                # applied or will be rejected, because it requires the earlier version of the map.
                return
            is_possible = _has_quota(current, shard.shard_id, team, amounts)
            if uncertain_version is None and (not is_possible or attempts > MAX_COMMIT_ATTEMPTS):
                return
            changed = shard_map.shift_quota(current, shard.shard_id, target_id, team, *amounts)
            preconditions = [self._leadership.fence_precondition(shard.shard_id)]
            result = yield from self._shard_map_updates.commit(changed, [], preconditions, version)
            if result is UpdateResult.APPLIED:
                return
            if result is UpdateResult.UNCERTAIN:
                uncertain_version = version
                yield from self._shard_map_updates.refresh()
            yield Sleep(0.1 + 0.2 * self._context.rng.random())


def _pending_resources(job_slices: Iterable[JobSlice]) -> list[int]:
    """Return the cpus and gpus of the pending tasks of some slices, in fixed point."""
    total = [0, 0]
    for job_slice in job_slices:
        total[0] += len(job_slice.pending) * job_slice.resources[0]
        total[1] += len(job_slice.pending) * job_slice.resources[1]
    return total


def _has_quota(current: ShardMap, shard_id: int, team: str, amounts: list[int]) -> bool:
    """Whether a shard's quota of a team is at least ``amounts``, cpus and gpus."""
    cpus, gpus = current.shards[shard_id].quotas.get(team, [0, 0])
    return cpus >= amounts[0] and gpus >= amounts[1]
