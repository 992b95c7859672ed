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
    """A step of a job's manager; all but PROPAGATE_CANCEL write or delete the job's record."""

    #: write the record unchanged, so that an earlier commit with an unknown outcome can no longer
    #: take effect: its precondition fails because of the record's new version
    REWRITE = enum.auto()
    #: ask every leader that may act for the job to apply its committed cancel
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
            # No migration is retrying the uncertain commit, so the manager has to make sure that it
            # cannot take effect later.
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
            # No user waits for these final states. So JobManagers limits the number of their
            # commits in flight, and gives them a lower priority until they are overdue. The limit
            # does not apply to a job whose steps are already being taken.
            may_end = may_end_blocked or managed.is_advancing
            return ManagerStep.END_BLOCKED if may_end else None
        if managed.is_cancel_requested:
            return ManagerStep.CANCEL
        return ManagerStep.RELEASE if self._dependencies.is_ready(managed.job) else None


def is_complete(managed: ManagedJob, record: JobRecord, shard_map: ShardMap) -> bool:
    """Return whether all tasks of a job are done.

    That is so if the slices cover all tasks, and each slice is complete by the record or by a
    report of its current leader.
    """
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
    """Return whether the current leaders of all slices of a cancelled job report no placed task."""
    for name in record.slices:
        progress = managed.progress_by_shard.get(int(name))
        if progress is None or progress.term != shard_map.shards[int(name)].term:
            return False
        # A report from before the leader applied the cancel does not count: tasks may have started
        # since that report.
        if progress.placed_tasks != 0 or not progress.is_cancelled:
            return False
    return True
