"""Moves of room under a team's limit from a part that has it to one that lacks it.

Room is lowered in the giving part's memory first; then both shares change in one commit, so that
they never add up to more than the limit.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from marblestair.core.capacity.shard_summary import summarize_shard
from marblestair.core.domain.jobs import JobKind
from marblestair.core.leadership import shard_map
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.requests import Sleep
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys

if TYPE_CHECKING:
    from marblestair.core.controller import Controller
    from marblestair.core.runtime.outbox import ShardSummary

#: seconds for which what a part told of its wants counts
FRESH_S = 3.0
#: commits tried for one move, unless one of them is in doubt
MOST_TRIES = 5


class QuotaTransfers:
    """The room that one node's parts give away."""

    def __init__(self, controller: Controller) -> None:
        self._controller = controller

    def rebalance(self, led_shards: list[Shard]) -> None:
        """Give room under a team's limit to a part that lacks it, one move at a time."""
        controller = self._controller
        record = controller.view.shard_map
        if controller.pending_quota_releases or record is None:
            return
        for shard in led_shards:
            if shard.unreconciled_machines:
                continue
            for number, (told_at, summary) in sorted(controller.shard_summaries.items()):
                if number == shard.shard_id or controller.now - told_at > FRESH_S:
                    continue
                if summary.term == record.shards[number].term and self._begin_transfer(
                    shard, summary
                ):
                    return

    def _begin_transfer(self, shard: Shard, other: ShardSummary) -> bool:
        """Begin to give the first room that another part lacks and this one can spare."""
        controller = self._controller
        told = controller.shard_summaries.get(shard.shard_id)
        own = told[1] if told is not None else summarize_shard(controller, shard)
        for team, want in (*other.starved_teams.items(), *other.lacking_quota.items()):
            free = self._free(shard, team, own, other)
            if free is None:
                continue
            give = [max(0, min(free[i], want[i])) for i in range(2)]
            if give[0] or give[1]:
                controller.pending_quota_releases[(shard.shard_id, team)] = give
                controller.spawn(self.transfer(shard, other.shard_id, team, give))
                return True
        return False

    def _free(
        self, shard: Shard, team: str, own: ShardSummary, other: ShardSummary
    ) -> list[int] | None:
        """Room that a part can spare for another; None when it gives none of this team's."""
        used, share = shard.usage(team), self._controller.quota(shard, team)
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

    def transfer(self, shard: Shard, target: int, team: str, give: list[int]) -> Coroutine:
        """Change both shares in one commit; the room was lowered here already."""
        controller = self._controller
        try:
            doubt = -1
            tries = 0
            while True:
                tries += 1
                record = controller.view.shard_map
                version = controller.view.version(keys.SHARD_MAP)
                if record is None or controller.shards.get(shard.shard_id) is not shard:
                    return
                if doubt >= 0 and doubt != version:
                    # Whatever was sent has been applied or cannot be any more.
                    return
                share = record.shards[shard.shard_id].quotas.get(team, [0, 0])
                too_much = give[0] > share[0] or give[1] > share[1]
                if doubt < 0 and (too_much or tries > MOST_TRIES):
                    return
                new = shard_map.shift_quota(record, shard.shard_id, target, team, give[0], give[1])
                guards = [controller.fence_precondition(shard.shard_id)]
                moved = yield from controller.leadership.commit_shard_map(new, [], guards, version)
                if moved:
                    return
                if moved is None:
                    doubt = version
                    yield from controller.leadership.refresh_shard_map()
                yield Sleep(0.1 + 0.2 * controller.rng.random())
        finally:
            controller.pending_quota_releases.pop((shard.shard_id, team), None)
