"""Summary of a shard that its leader sends to the other controllers a few times a second."""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class ShardSummary(msgspec.Struct, array_like=True):
    """State of a shard for the other controllers; amounts are in fixed point."""

    shard_id: int
    term: int
    #: per machine: type, zone, spot, free cpus, gpus and memory
    free_capacity: list[tuple[str, str, bool, int, int, int]]
    #: the same, counting as free what a latency-sensitive gang could preempt on the machine
    preemptible_capacity: list[tuple[str, str, bool, int, int, int]]
    #: cpus that all pending tasks request
    backlog_cpus: int
    #: team -> unused cpus and gpus of its quota in this shard
    free_quota: dict[str, list[int]]
    #: team -> cpus and gpus by which its quota in this shard is too small for its pending tasks
    quota_shortfall: dict[str, list[int]]
    #: job, number of pending tasks, number of tasks on machines
    pending_jobs: list[tuple[str, int, int]]
    #: machines with tasks, and the cpus in use on each
    busy_machines: list[tuple[str, int]]
    #: machines without tasks, and the seconds for which each has had none
    idle_machines: list[tuple[str, float]]
    #: jobs whose tasks must start together and do not fit into the shard's capacity
    jobs_lacking_capacity: list[str]
    #: machines that run tasks of gangs
    gang_machines: list[str]
    #: machines that must not be counted as capacity: those being released or reclaimed, and those
    #: that are unresponsive or overdue
    unavailable_machines: list[str]
    #: machines whose heartbeats stopped at the same time as those of many others, so that a network
    #: partition is assumed; they are expected to return
    partitioned_machines: list[str]
    #: team -> cpus and gpus that its quota in this shard must have in total for its first pending
    #: task or gang that exceeds the quota
    required_quota: dict[str, list[int]]
    #: jobs of which no task has succeeded, and for each the number of machines on which it fails
    #: and no other job does
    failing_jobs: list[tuple[str, int]] = []

    def snapshot(self) -> ShardSummary:
        """Return a copy that later reservations of capacity and quota here do not change."""
        return msgspec.structs.replace(
            self,
            free_capacity=list(self.free_capacity),
            preemptible_capacity=list(self.preemptible_capacity),
            free_quota={team: list(quota) for team, quota in self.free_quota.items()},
        )


class ReceivedSummary(NamedTuple):
    """A summary of a shard, and the monotonic time at which it was received."""

    received_at: float
    summary: ShardSummary
