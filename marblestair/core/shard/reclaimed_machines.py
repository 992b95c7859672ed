"""Graceful eviction from machines that the cloud has announced to reclaim."""

from __future__ import annotations

from marblestair.core.domain.jobs import JobSpec
from marblestair.core.shard.machine import StopReason
from marblestair.core.shard.shard import Shard

#: a checkpoint is begun so many times the time that it takes, and so many heartbeat intervals,
#: before the machine is reclaimed
EVICTION_LEAD_SAVES, EVICTION_LEAD_INTERVALS = 2, 3
#: least grace of a stop with a checkpoint: with none, agents stop a task at once
MIN_SAVE_GRACE_S = 0.001


def evict_from_reclaimed_machines(shard: Shard, now: float) -> None:
    """Have checkpoints saved of what runs on machines that are soon reclaimed."""
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
                # A gang saves only if all its tasks are stopped, and at nearly the same time.
                grace_s = max(spec.checkpoint_save_s, MIN_SAVE_GRACE_S)
                job_slice.request_stops(grace_s, StopReason.MACHINE_RECLAIMED)


def _eviction_lead_s(shard: Shard, spec: JobSpec) -> float:
    """How long before a machine is reclaimed a job's tasks there are to begin to save."""
    report_s = shard.cluster.workers.report_s
    return EVICTION_LEAD_SAVES * spec.checkpoint_save_s + EVICTION_LEAD_INTERVALS * report_s
