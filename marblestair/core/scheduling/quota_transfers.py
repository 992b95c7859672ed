"""Moves of room under a team's limit from a part that has it to one that lacks it.

Room is lowered in the giving part's memory first; then both shares change in one commit, so that
they never add up to more than the limit.
"""

from __future__ import annotations

from marblestair.core.domain.jobs import JobKind
from marblestair.core.leadership import shard_map
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.leadership.shard_map_updates import ShardMapUpdates, UpdateResult
from marblestair.core.messaging.received_summaries import ReceivedSummaries
from marblestair.core.messaging.shard_summary import ShardSummary
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.requests import Sleep
from marblestair.core.scheduling.quota_ledger import QuotaLedger
from marblestair.core.scheduling.shard_summary import ShardSummarizer
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys
from marblestair.core.state.store_view import StoreView

#: seconds for which what a part told of its wants counts
FRESH_S = 3.0
#: commits tried for one move, unless one of them is in doubt
MOST_TRIES = 5


class QuotaTransfers:
    """The room that one node's parts give away."""

    def __init__(
        self,
        context: NodeContext,
        view: StoreView,
        leadership: Leadership,
        shard_map_updates: ShardMapUpdates,
        quotas: QuotaLedger,
        summaries: ReceivedSummaries,
        summarizer: ShardSummarizer,
    ) -> None:
        self._context = context
        self._view = view
        self._leadership = leadership
        self._shard_map_updates = shard_map_updates
        self._quotas = quotas
        self._summaries = summaries
        self._summarizer = summarizer

    def rebalance(self, led_shards: list[Shard]) -> None:
        """Give room under a team's limit to a part that lacks it, one move at a time."""
        record = self._view.shard_map
        if self._quotas.pending_releases or record is None:
            return
        for shard in led_shards:
            if shard.unreconciled_machines:
                continue
            for number, (told_at, summary) in sorted(self._summaries.items()):
                if number == shard.shard_id or self._context.now - told_at > FRESH_S:
                    continue
                if summary.term == record.shards[number].term and self._begin_transfer(
                    shard, summary
                ):
                    return

    def _begin_transfer(self, shard: Shard, other: ShardSummary) -> bool:
        """Begin to give the first room that another part lacks and this one can spare."""
        told = self._summaries.get(shard.shard_id)
        own = told[1] if told is not None else self._summarizer.summarize(shard)
        for team, want in (*other.starved_teams.items(), *other.lacking_quota.items()):
            free = self._free(shard, team, own, other)
            if free is None:
                continue
            give = [max(0, min(free[i], want[i])) for i in range(2)]
            if give[0] or give[1]:
                self._quotas.pending_releases[(shard.shard_id, team)] = give
                self._context.spawn(self.transfer(shard, other.shard_id, team, give))
                return True
        return False

    def _free(
        self, shard: Shard, team: str, own: ShardSummary, other: ShardSummary
    ) -> list[int] | None:
        """Room that a part can spare for another; None when it gives none of this team's."""
        used, share = shard.usage(team), self._quotas.quota(shard, team)
        free = [share[i] - used[i] for i in range(2)]
        if team in other.starved_teams:
            # One of two parts that are both stuck must give way.
            gives_way = team not in own.starved_teams or shard.shard_id > other.shard_id
            return free if gives_way else None
        if own.lacking_quota.get(team) is not None or team in own.starved_teams:
            return None
        kept = self._pending(shard, team)
        return [free[i] - kept[i] for i in range(2)]

    def largest_gang(self, shard: Shard, team: str) -> int:
        """Return what the largest of a team's waiting gangs here needs of the share.

        Given to another part, it would only have to be given back.
        """
        return max(
            (
                len(job_slice.pending) * job_slice.resources[0]
                for job_slice in shard.slices.values()
                if job_slice.spec.team == team
                and job_slice.spec.kind == JobKind.GANG
                and not job_slice.is_cancelled
            ),
            default=0,
        )

    def _pending(self, shard: Shard, team: str) -> list[int]:
        """What a team's waiting tasks in a part will need of the share."""
        needs = [0, 0]
        for job_slice in shard.slices.values():
            if job_slice.spec.team == team and not job_slice.is_cancelled:
                needs[0] += len(job_slice.pending) * job_slice.resources[0]
                needs[1] += len(job_slice.pending) * job_slice.resources[1]
        return needs

    def transfer(self, shard: Shard, target: int, team: str, give: list[int]) -> Coroutine[None]:
        """Change both shares in one commit; the room was lowered here already."""
        try:
            uncertain_version: int | None = None
            tries = 0
            while True:
                tries += 1
                record = self._view.shard_map
                version = self._view.version(keys.SHARD_MAP)
                if record is None or self._leadership.shards.get(shard.shard_id) is not shard:
                    return
                if uncertain_version not in (None, version):
                    # Whatever was sent has been applied or cannot be any more.
                    return
                share = record.shards[shard.shard_id].quotas.get(team, [0, 0])
                exceeds_quota = give[0] > share[0] or give[1] > share[1]
                if uncertain_version is None and (exceeds_quota or tries > MOST_TRIES):
                    return
                new = shard_map.shift_quota(record, shard.shard_id, target, team, give[0], give[1])
                guards = [self._leadership.fence_precondition(shard.shard_id)]
                result = yield from self._shard_map_updates.commit(new, [], guards, version)
                if result is UpdateResult.APPLIED:
                    return
                if result is UpdateResult.UNCERTAIN:
                    uncertain_version = version
                    yield from self._shard_map_updates.refresh()
                yield Sleep(0.1 + 0.2 * self._context.rng.random())
        finally:
            self._quotas.pending_releases.pop((shard.shard_id, team), None)
