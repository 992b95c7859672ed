"""What the leader of a shard publishes about it, a few times a second."""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class ShardSummary(msgspec.Struct, array_like=True):
    """What the other controllers need to know of a shard; amounts are in fixed point."""

    shard_id: int
    term: int
    #: free capacity by machine: type, zone, spot, cpus, gpus, memory
    free_capacity: list[tuple[str, str, bool, int, int, int]]
    #: the same, with what a latency-sensitive gang of high priority could preempt there
    preemptible_capacity: list[tuple[str, str, bool, int, int, int]]
    backlog_cpus: int
    #: team -> cpus and gpus of its quota here that are not in use
    free_quota: dict[str, list[int]]
    #: team -> cpus and gpus that its pending tasks lack in its quota here
    quota_shortfall: dict[str, list[int]]
    #: job, tasks pending, tasks on machines
    pending_jobs: list[tuple[str, int, int]]
    #: machines with tasks, and how many of their cpus are in use
    busy_machines: list[tuple[str, int]]
    #: machines without tasks, and for how many seconds
    idle_machines: list[tuple[str, float]]
    #: jobs whose tasks must start together and that the shard has no capacity for as it is
    jobs_lacking_capacity: list[str]
    #: machines that run gangs
    gang_machines: list[str]
    #: machines that are not to be counted on
    unavailable_machines: list[str]
    #: machines that fell silent together with many others, and are waited for
    partitioned_machines: list[str]
    #: team -> cpus and gpus that its whole quota here must have for the first pending unit (a task,
    #: or a gang) that it is too small for
    required_quota: dict[str, list[int]]
    #: jobs of which nothing succeeded, and on how many machines nothing else fails
    failing_jobs: list[tuple[str, int]] = []

    def snapshot(self) -> ShardSummary:
        """A copy that later reservations of capacity and quota here do not change."""
        return msgspec.structs.replace(
            self,
            free_capacity=list(self.free_capacity),
            preemptible_capacity=list(self.preemptible_capacity),
            free_quota={team: list(quota) for team, quota in self.free_quota.items()},
        )


class ReceivedSummary(NamedTuple):
    """The latest summary of a shard, and the steady time at which it came."""

    received_at: float
    summary: ShardSummary
