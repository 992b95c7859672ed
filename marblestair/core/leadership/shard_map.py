"""Changes of the shard map: leaders, terms, and quotas of teams.

Every change is a pure function from one map to the next, which the caller commits on condition of
the version that it read.
"""

from __future__ import annotations

from marblestair.core.domain.amounts import fixed_point_down
from marblestair.core.domain.settings import Team
from marblestair.core.state.records import ShardMap, ShardRecord


def split_evenly(total: int, count: int) -> list[int]:
    """Split a total into near-equal whole numbers that add up to it exactly."""
    return [total // count + (1 if index < total % count else 0) for index in range(count)]


def initial_shard_map(shard_count: int, teams: list[Team]) -> ShardMap:
    """The map of a new deployment: no leaders, limits split evenly."""
    shards = [ShardRecord("", 0, 0, {}) for _ in range(shard_count)]
    for team in teams:
        cpus = split_evenly(fixed_point_down(team.cpu_limit), shard_count)
        gpus = split_evenly(fixed_point_down(team.gpu_limit), shard_count)
        for shard, shard_cpus, shard_gpus in zip(shards, cpus, gpus, strict=True):
            shard.quotas[team.name] = [shard_cpus, shard_gpus]
    return ShardMap(0, shards)


def copy_shard_map(shard_map: ShardMap) -> ShardMap:
    """A copy that can be changed."""
    return ShardMap(shard_map.last_term, [_copy_shard(shard) for shard in shard_map.shards])


def _copy_shard(shard: ShardRecord) -> ShardRecord:
    quotas = {team: list(quota) for team, quota in shard.quotas.items()}
    return ShardRecord(shard.leader, shard.incarnation, shard.term, quotas, shard.acquired_term)


def assign_shards(
    shard_map: ShardMap, shard_ids: list[int], leader: str, incarnation: int
) -> ShardMap:
    """Give shards to a node, each under a new term."""
    changed = copy_shard_map(shard_map)
    for shard_id in shard_ids:
        changed.last_term += 1
        shard = changed.shards[shard_id]
        shard.leader = leader
        shard.incarnation = incarnation
        shard.term = changed.last_term
        shard.acquired_term = changed.last_term
    return changed


def raise_term(shard_map: ShardMap, shard_id: int) -> ShardMap:
    """Give a shard a new term under the same leader."""
    changed = copy_shard_map(shard_map)
    changed.last_term += 1
    changed.shards[shard_id].term = changed.last_term
    return changed


def shift_quota(
    shard_map: ShardMap, source_id: int, target_id: int, team: str, cpus: int, gpus: int
) -> ShardMap:
    """Move a part of a team's quota from one shard to another; the sum stays the same.

    Raises
    ------
    ValueError
        When the source has less than that.
    """
    changed = copy_shard_map(shard_map)
    source = changed.shards[source_id].quotas[team]
    target = changed.shards[target_id].quotas[team]
    if not (0 <= cpus <= source[0] and 0 <= gpus <= source[1]):
        raise ValueError(f"more than the quota of {team} in shard {source_id}")
    source[0] -= cpus
    source[1] -= gpus
    target[0] += cpus
    target[1] += gpus
    return changed
