"""Changes of the shard map: leaders, terms and team quotas.

A function that changes a map returns a copy with the change. The caller commits this copy,
conditional on the version of the original map.
"""

from __future__ import annotations

from marblestair.core.domain.amounts import fixed_point_down
from marblestair.core.domain.settings import Team
from marblestair.core.state.records import ShardMap, ShardRecord


def split_evenly(total: int, count: int) -> list[int]:
    """Split a total into ``count`` whole numbers that differ by at most 1."""
    return [total // count + (1 if index < total % count else 0) for index in range(count)]


def initial_shard_map(shard_count: int, teams: list[Team]) -> ShardMap:
    """Return the map of a new deployment: no leaders, team limits split evenly over shards."""
    shards = [ShardRecord("", 0, 0, {}) for _ in range(shard_count)]
    for team in teams:
        cpus = split_evenly(fixed_point_down(team.cpu_limit), shard_count)
        gpus = split_evenly(fixed_point_down(team.gpu_limit), shard_count)
        for shard, shard_cpus, shard_gpus in zip(shards, cpus, gpus, strict=True):
            shard.quotas[team.name] = [shard_cpus, shard_gpus]
    return ShardMap(0, shards)


def copy_shard_map(shard_map: ShardMap) -> ShardMap:
    """Return a deep copy of a shard map."""
    return ShardMap(shard_map.last_term, [_copy_shard(shard) for shard in shard_map.shards])


def _copy_shard(shard: ShardRecord) -> ShardRecord:
    quotas = {team: list(quota) for team, quota in shard.quotas.items()}
    return ShardRecord(shard.leader, shard.incarnation, shard.term, quotas, shard.acquired_term)


def assign_shards(
    shard_map: ShardMap, shard_ids: list[int], leader: str, incarnation: int
) -> ShardMap:
    """Assign shards to a new leader, and a new term to each of these shards."""
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
    """Assign a new term to a shard and keep its leader."""
    changed = copy_shard_map(shard_map)
    changed.last_term += 1
    changed.shards[shard_id].term = changed.last_term
    return changed


def shift_quota(
    shard_map: ShardMap, source_id: int, target_id: int, team: str, cpus: int, gpus: int
) -> ShardMap:
    """Move a part of a team's quota, in fixed point, to another shard; the sum stays the same.

    Raises
    ------
    ValueError
        If an amount is negative or exceeds the quota in the source shard.
    """
    changed = copy_shard_map(shard_map)
    source = changed.shards[source_id].quotas[team]
    target = changed.shards[target_id].quotas[team]
    if not (0 <= cpus <= source[0] and 0 <= gpus <= source[1]):
        raise ValueError(
            f"cannot move {cpus} cpus and {gpus} gpus (fixed point) of team {team} out of shard"
            f" {source_id}: its quota is {source[0]} cpus and {source[1]} gpus"
        )
    source[0] -= cpus
    source[1] -= gpus
    target[0] += cpus
    target[1] += gpus
    return changed
