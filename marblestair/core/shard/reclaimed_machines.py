"""Stops with checkpoints for tasks on machines that the cloud is about to reclaim."""

from __future__ import annotations

from marblestair.core.domain.jobs import JobSpec
from marblestair.core.shard.machine import StopReason
from marblestair.core.shard.shard import Shard

#: time before the reclaim at which tasks are stopped: this multiple of the time to save a
#: checkpoint, plus this number of heartbeat intervals
EVICTION_LEAD_SAVES, EVICTION_LEAD_INTERVALS = 2, 3
#: minimum grace period of a stop with a checkpoint; at a grace period of zero, agents stop the task
#: at once
MIN_SAVE_GRACE_S = 0.001


def evict_from_reclaimed_machines(shard: Shard, now: float) -> None:
    """Stop each task that can save a checkpoint, early enough to save one before the reclaim."""
    for machine in shard.machines.values():
        reclaim_at = machine.reclaim_at
        if reclaim_at is None:
            continue
        for task in list(machine.tasks.values()):
            job_slice = shard.slices.get(task.job)
            if job_slice is None or task.stop_grace_s is not None:
                continue
            spec = job_slice.spec
            if spec.saves_checkpoints and reclaim_at - now <= _eviction_lead_s(shard, spec):
                # All placed tasks of the slice are stopped, whatever the job's kind, since a gang
                # saves a checkpoint only if all its tasks are stopped at nearly the same time.
                grace_s = max(spec.checkpoint_save_s, MIN_SAVE_GRACE_S)
                job_slice.request_stops(grace_s, StopReason.MACHINE_RECLAIMED)


def _eviction_lead_s(shard: Shard, spec: JobSpec) -> float:
    """Return how long before the reclaim, in seconds, a job's tasks must be stopped."""
    report_s = shard.cluster.workers.report_s
    return EVICTION_LEAD_SAVES * spec.checkpoint_save_s + EVICTION_LEAD_INTERVALS * report_s
