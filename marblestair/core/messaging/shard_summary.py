"""Summary of a shard that its leader sends to the other controllers a few times a second."""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class ShardSummary(msgspec.Struct, array_like=True):
    """State of a shard for the other controllers; resource amounts are in fixed point."""

    shard_id: int
    term: int
    #: for each usable machine with free cpus that no gang claims or reserves: type, zone, spot,
    #: free cpus, gpus and memory
    free_capacity: list[tuple[str, str, bool, int, int, int]]
    #: the same for each machine on which latency-sensitive gangs could preempt tasks, with the
    #: amounts that would be free after the preemption
    preemptible_capacity: list[tuple[str, str, bool, int, int, int]]
    #: cpus that pending tasks request; of a quarantined job, at most one task counts
    backlog_cpus: int
    #: team -> unused cpus and gpus of the team's quota in this shard
    free_quota: dict[str, list[int]]
    #: team -> cpus and gpus by which the requests of the team's pending tasks exceed the team's
    #: unused quota in this shard
    quota_shortfall: dict[str, list[int]]
    #: for each job that is not cancelled and has pending, migrating or placed tasks: its id, the
    #: number of its pending and migrating tasks, and the number of its tasks on machines; of a
    #: quarantined job, at most one pending task counts
    pending_jobs: list[tuple[str, int, int]]
    #: machines with tasks, but none of a gang, and the cpus in use on each
    busy_machines: list[tuple[str, int]]
    #: machines without tasks, and the seconds for which each has had none
    idle_machines: list[tuple[str, float]]
    #: indivisible jobs, none of whose tasks could be placed in the shard for a minimum time
    #: (``MachineTransfers.lacks_capacity``)
    jobs_lacking_capacity: list[str]
    #: machines that run tasks of gangs
    gang_machines: list[str]
    #: machines that must not be counted as capacity: those being released or reclaimed, and those
    #: that are unresponsive or overdue
    unavailable_machines: list[str]
    #: machines whose heartbeats stopped at the same time as those of many others, so that a network
    #: partition is assumed; they are expected to return
    partitioned_machines: list[str]
    #: team -> cpus and gpus of the first pending task or gang that needs more than the team's
    #: entire quota in this shard; the quota must grow to these amounts before the task or gang can
    #: start
    required_quota: dict[str, list[int]]
    #: failing jobs without a successful task, each with a number of machines: those on which the
    #: job failed and every other failing job is quarantined. For a job that the sender has
    #: quarantined, the number is at least ``MIN_QUARANTINE_MACHINES``.
    failing_jobs: list[tuple[str, int]] = []
    #: machines that run tasks of gangs, and the cpus in use on each; empty if the sender's version
    #: does not report them
    gang_machine_cpus: list[tuple[str, int]] = []

    def snapshot(self) -> ShardSummary:
        """Return a copy that does not change when capacity or quota is reserved in this summary."""
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
