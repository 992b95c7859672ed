"""What the leader of a shard tells the others about it, a few times a second."""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class ShardSummary(msgspec.Struct, array_like=True):
    """What a node tells the others about one of its parts."""

    shard_id: int
    term: int
    #: free room by machine: type, zone, spot, cpus, gpus, memory
    free_capacity: list[tuple[str, str, bool, int, int, int]]
    #: the same, for what a hurried gang of high priority may have by stopping arrays
    preemptible_capacity: list[tuple[str, str, bool, int, int, int]]
    backlog_cpus: int
    #: room left under each team's share
    free_quota: dict[str, list[int]]
    #: team -> cpus and gpus that waiting tasks lack in this part's share
    lacking_quota: dict[str, list[int]]
    #: job, tasks waiting, tasks on machines
    pending_jobs: list[tuple[str, int, int]]
    #: machines with tasks, and how much of them is in use
    busy_machines: list[tuple[str, int]]
    #: machines without tasks, and for how long
    idle_machines: list[tuple[str, float]]
    #: jobs whose tasks must start together and that no part has room for as it is
    jobs_lacking_capacity: list[str]
    #: machines that run gangs
    gang_machines: list[str]
    #: machines that are not to be counted on
    leaving_machines: list[str]
    #: machines that fell silent together with many, and for which is waited
    absent_machines: list[str]
    #: team -> what the whole share must hold for the first waiting unit (a task, or a gang) that
    #: it is too small for
    starved_teams: dict[str, list[int]]
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
