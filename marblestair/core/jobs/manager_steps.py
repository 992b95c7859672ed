"""What the manager of a job has to do next for it."""

from __future__ import annotations

import enum

from marblestair.core.domain.jobs import JobState
from marblestair.core.jobs.cancellations import Cancellations
from marblestair.core.jobs.dependencies import DependencyGraph
from marblestair.core.jobs.managed_job import ManagedJob
from marblestair.core.state.records import JobRecord, ShardMap
from marblestair.core.state.store_view import StoreView


class ManagerStep(enum.Enum):
    """A step of a job's manager; all but one change the job's record."""

    #: write the record as it is: an uncertain change is then either found applied or can never be
    REWRITE = enum.auto()
    #: have a committed cancel applied by every leader that may act
    PROPAGATE_CANCEL = enum.auto()
    #: record the end of a cancelled job of which nothing runs any more
    END_CANCELLED = enum.auto()
    #: record the end of a job whose tasks are all done
    FINISH = enum.auto()
    #: commit the entry of a cancel
    CANCEL = enum.auto()
    #: commit the entry that lets the tasks of a job start, since all that it depends on is done
    RELEASE = enum.auto()
    #: record the end of a blocked job of which an ancestor is cancelled
    END_BLOCKED = enum.auto()


#: the final state that a step records
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
        """What is to be done for a job now, if anything.

        ``may_end_blocked`` says whether another end of a blocked job may be begun.
        """
        shard_map = self._view.shard_map
        if shard_map is None:
            return None
        if managed.is_uncertain and not managed.is_migrating:
            # A change is uncertain that nobody follows up.
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
        """What is to be done for a job that depends on others."""
        if self._dependencies.has_cancelled_ancestor(managed.job):
            if not self._dependencies.may_end(managed.job):
                return ManagerStep.CANCEL if managed.is_cancel_requested else None
            # Nobody waits for these ends: only so many at once, behind all else that is written.
            may_end = may_end_blocked or managed.is_advancing
            return ManagerStep.END_BLOCKED if may_end else None
        if managed.is_cancel_requested:
            return ManagerStep.CANCEL
        return ManagerStep.RELEASE if self._dependencies.is_ready(managed.job) else None


def is_complete(managed: ManagedJob, record: JobRecord, shard_map: ShardMap) -> bool:
    """Whether every slice of the record is reported done by its shard's present leader."""
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
    """Whether no shard has a task of the job on a machine any more."""
    for name in record.slices:
        progress = managed.progress_by_shard.get(int(name))
        if progress is None or progress.term != shard_map.shards[int(name)].term:
            return False
        # What was reported before the cancel was applied says nothing of what started since.
        if progress.placed_tasks != 0 or not progress.is_cancelled:
            return False
    return True
