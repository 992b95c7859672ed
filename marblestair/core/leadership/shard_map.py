"""The split record: parts, their owners and terms, and the teams' shares.

Every change is a pure function from one record to the next, which the caller commits under a
guard on the version that it read.
"""

from __future__ import annotations

from marblestair.core.domain.amounts import fixed_point_down
from marblestair.core.state.records import ShardMap, ShardRecord
from marblestair.settings import Team


def split_evenly(total: int, n: int) -> list[int]:
    """Split a total into n near-equal whole numbers that add up to it exactly."""
    return [total // n + (1 if i < total % n else 0) for i in range(n)]


def initial_shard_map(parts: int, teams: list[Team]) -> ShardMap:
    """The record of a new deployment: no owners, limits split evenly."""
    records = [ShardRecord("", 0, 0, {}) for _ in range(parts)]
    for team in teams:
        cpus = split_evenly(fixed_point_down(team.cpu_limit), parts)
        gpus = split_evenly(fixed_point_down(team.gpu_limit), parts)
        for shard, c, g in zip(records, cpus, gpus, strict=True):
            shard.quotas[team.name] = [c, g]
    return ShardMap(0, records)


def copy_shard_map(shard_map: ShardMap) -> ShardMap:
    """A copy that can be changed."""
    return ShardMap(
        shard_map.last_term,
        [
            ShardRecord(
                shard.leader,
                shard.incarnation,
                shard.term,
                {t: list(s) for t, s in shard.quotas.items()},
                shard.acquired_term,
            )
            for shard in shard_map.shards
        ],
    )


def assign_shards(
    shard_map: ShardMap, shard_ids: list[int], owner: str, incarnation: int
) -> ShardMap:
    """Give parts to a node, each under a fresh term."""
    out = copy_shard_map(shard_map)
    for i in shard_ids:
        out.last_term += 1
        shard = out.shards[i]
        shard.leader, shard.incarnation, shard.term, shard.acquired_term = (
            owner,
            incarnation,
            out.last_term,
            out.last_term,
        )
    return out


def raise_term(shard_map: ShardMap, shard_id: int) -> ShardMap:
    """Give a part a fresh term under the same owner."""
    out = copy_shard_map(shard_map)
    out.last_term += 1
    out.shards[shard_id].term = out.last_term
    return out


def shift_quota(
    shard_map: ShardMap, source: int, target: int, team: str, cpus: int, gpus: int
) -> ShardMap:
    """Move room under a team's limit from one part to another; the sum stays the same."""
    out = copy_shard_map(shard_map)
    a, b = out.shards[source].quotas[team], out.shards[target].quotas[team]
    if not (0 <= cpus <= a[0] and 0 <= gpus <= a[1]):
        raise ValueError("more than the source's share")
    a[0] -= cpus
    a[1] -= gpus
    b[0] += cpus
    b[1] += gpus
    return out
