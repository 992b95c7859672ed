"""Chooses the next step of a job's manager."""

from __future__ import annotations

import enum

from marblestair.core.domain.jobs import JobState
from marblestair.core.jobs.cancellations import Cancellations
from marblestair.core.jobs.dependencies import DependencyGraph
from marblestair.core.jobs.managed_job import ManagedJob
from marblestair.core.state.records import JobRecord, ShardMap
from marblestair.core.state.store_view import StoreView


class ManagerStep(enum.Enum):
    """A step of a job's manager; all but PROPAGATE_CANCEL change the job's record."""

    #: write the record unchanged: an uncertain commit has then been carried out, or never will be
    REWRITE = enum.auto()
    #: have a committed cancel applied by every leader that may act for the job
    PROPAGATE_CANCEL = enum.auto()
    #: record the final state of a cancelled job that has no task on a machine any more
    END_CANCELLED = enum.auto()
    #: record the final state of a job whose tasks are all done
    FINISH = enum.auto()
    #: commit a cancel to the job's change list
    CANCEL = enum.auto()
    #: commit the release of a blocked job whose parents are all done: its tasks may start
    RELEASE = enum.auto()
    #: record the final state of a blocked job that has a cancelled ancestor
    END_BLOCKED = enum.auto()


#: the final state recorded by each step that ends a job
FINAL_STATE_OF = {
    ManagerStep.FINISH: JobState.DONE,
    ManagerStep.END_CANCELLED: JobState.CANCELLED,
    ManagerStep.END_BLOCKED: JobState.CANCELLED,
}


class ManagerSteps:
    """Decides the next step of each job that one node manages."""

    def __init__(
        self, view: StoreView, cancellations: Cancellations, dependencies: DependencyGraph
    ) -> None:
        self._view = view
        self._cancellations = cancellations
        self._dependencies = dependencies

    def next_step(
        self, managed: ManagedJob, record: JobRecord, may_end_blocked: bool
    ) -> ManagerStep | None:
        """Return the next step for a job, or None when there is nothing to do.

        ``may_end_blocked`` says whether one more commit that ends a blocked job may start.
        """
        shard_map = self._view.shard_map
        if shard_map is None:
            return None
        if managed.has_uncertain_commit and not managed.is_committing_migration:
            # No migration retries the uncertain commit, so the manager has to settle it.
            return ManagerStep.REWRITE
        if record.is_cancelled:
            return self._next_cancelled_step(managed, record, shard_map)
        if record.is_blocked:
            return self._next_blocked_step(managed, may_end_blocked)
        if is_complete(managed, record, shard_map):
            return ManagerStep.FINISH
        return ManagerStep.CANCEL if managed.is_cancel_requested else None

    def _next_cancelled_step(
        self, managed: ManagedJob, record: JobRecord, shard_map: ShardMap
    ) -> ManagerStep | None:
        if not self._cancellations.is_confirmed(managed.job):
            return ManagerStep.PROPAGATE_CANCEL
        if has_no_placed_tasks(managed, record, shard_map):
            return ManagerStep.END_CANCELLED
        return None

    def _next_blocked_step(self, managed: ManagedJob, may_end_blocked: bool) -> ManagerStep | None:
        """Return the next step for a job whose release is not committed."""
        if self._dependencies.has_cancelled_ancestor(managed.job):
            if not self._dependencies.may_end(managed.job):
                return ManagerStep.CANCEL if managed.is_cancel_requested else None
            # No user waits for these final states: the number of their commits in flight is
            # limited, and they have a lower priority than other commits until they are overdue.
            may_end = may_end_blocked or managed.is_advancing
            return ManagerStep.END_BLOCKED if may_end else None
        if managed.is_cancel_requested:
            return ManagerStep.CANCEL
        return ManagerStep.RELEASE if self._dependencies.is_ready(managed.job) else None


def is_complete(managed: ManagedJob, record: JobRecord, shard_map: ShardMap) -> bool:
    """Return whether every slice is done, by the record or by its present leader's report."""
    total = 0
    for name, ranges in record.slices.items():
        shard_id = int(name)
        size = sum(end - start for start, end in ranges)
        progress = managed.progress_by_shard.get(shard_id)
        is_done = (
            progress is not None
            and progress.term == shard_map.shards[shard_id].term
            and progress.done == progress.size == size
        )
        if shard_id not in record.complete_shards and not is_done:
            return False
        total += size
    return total == record.spec.task_count


def has_no_placed_tasks(managed: ManagedJob, record: JobRecord, shard_map: ShardMap) -> bool:
    """Return whether no shard has a task of a cancelled job on a machine any more."""
    for name in record.slices:
        progress = managed.progress_by_shard.get(int(name))
        if progress is None or progress.term != shard_map.shards[int(name)].term:
            return False
        # A report from before the cancel was applied does not cover tasks that started since.
        if progress.placed_tasks != 0 or not progress.is_cancelled:
            return False
    return True
