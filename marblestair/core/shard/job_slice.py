"""The slice of a job that a shard runs."""

from __future__ import annotations

from marblestair.core.domain.index_ranges import TASKS_PER_PROGRESS_PAGE, IndexRanges
from marblestair.core.domain.jobs import JobKind, JobSpec
from marblestair.core.shard.machine import Machine, StopReason


class JobSlice:
    """The tasks of one job that belong to one shard.

    Each task is pending, placed on a machine, or done; none is pending while the job is blocked or
    after it was cancelled.
    """

    def __init__(self, spec: JobSpec) -> None:
        self.spec = spec
        #: what one task uses
        self.resources = spec.resources
        #: indexes of the tasks, as ranges ``[start, end)``, and their number
        self.ranges: list[list[int]] = []
        self.size = 0
        self.pending = IndexRanges()
        self.placed_on: dict[int, Machine] = {}
        #: the tasks that are done, as bits of a whole number, and their number
        self.done_bits = 0
        self.done_count = 0
        #: tasks on machines that were seen running
        self.running_count = 0
        #: the tasks whose completion the store has, and the versions of the pages that record it
        self.durable_bits = 0
        self.page_versions: dict[int, int] = {}
        #: since when tasks are done that the store does not have as done
        self.dirty_since: float | None = None
        self.is_cancelled = False
        self.cancelled_at = 0.0
        #: it was there before the failover: some task may be on a machine whose agent has not sent
        #: a heartbeat yet
        self.is_unreconciled = False
        #: a gang that lost a task: the others are being stopped
        self.is_stopping_gang = False
        #: since when no task is placed
        self.pending_since = 0.0
        #: the job depends on others that are not done: nothing is pending, so nothing may start
        self.is_blocked = False
        #: wall-clock time since which tasks may start
        self.startable_since = spec.accepted_at
        #: task indexes that left for a migration whose commit is not known yet
        self.migrating_ranges: list[list[int]] = []
        #: that migration: an earlier one must not restore them
        self.migration_holder = ""

    @property
    def is_vacated(self) -> bool:
        """Whether all tasks have migrated to other shards, and nothing is left of them here."""
        return not self.ranges and not self.placed_on and not self.is_cancelled

    def contains(self, index: int) -> bool:
        """Whether a task belongs to this slice."""
        return any(start <= index < end for start, end in self.ranges)

    def can_adopt(self, index: int) -> bool:
        """Whether a task that an agent lists may be one of this slice that is not placed."""
        return self.contains(index) and index not in self.placed_on

    def is_done(self, index: int) -> bool:
        """Whether a task is done."""
        return bool((self.done_bits >> index) & 1)

    # --- progress --------------------------------------------------------------------------

    def load_done_page(self, page: int, bits: int) -> None:
        """Add a page of progress that was read from the store."""
        bits <<= page * TASKS_PER_PROGRESS_PAGE
        self.durable_bits |= bits
        self.done_bits |= bits
        for index in list(self.pending):
            if (bits >> index) & 1:
                self.pending.discard(index)
        self._count_done(IndexRanges(self.ranges))

    def _count_done(self, indexes: IndexRanges) -> None:
        self.done_count = sum(1 for index in indexes if (self.done_bits >> index) & 1)

    def mark_done(self, index: int, now: float) -> None:
        """Record that a task was completed, unless it is known or belongs to another slice."""
        if (
            self.is_done(index)
            or not self.contains(index)
            # The tasks of a service are run again when they exit, whatever the reason.
            or self.spec.kind == JobKind.SERVICE
        ):
            return
        # The members of a gang complete together: when one is done, all are.
        is_gang = self.spec.kind == JobKind.GANG
        for completed in IndexRanges(self.ranges) if is_gang else (index,):
            if not self.is_done(completed):
                self.done_bits |= 1 << completed
                self.done_count += 1
            self.pending.discard(completed)
        if self.dirty_since is None:
            self.dirty_since = now

    # --- changes of the job ----------------------------------------------------------------

    def block(self, ranges: list[list[int]]) -> None:
        """Set the tasks of a job that depends on others: none of them is pending."""
        self.is_blocked = True
        self._assign(ranges)

    def unblock(self, now: float) -> None:
        """Let tasks start: all jobs that this one depended on are done.

        The tasks that the job's record assigns to the slice are to be set after this.
        """
        self.is_blocked = False
        self.ranges = []
        self.size = 0
        self.pending_since = now

    def set_ranges(self, ranges: list[list[int]]) -> None:
        """Set the tasks that the job's record now assigns to this slice."""
        before, assigned = IndexRanges(self.ranges), IndexRanges(ranges)
        self._assign(ranges)
        if not len(before):
            for start, end in self.ranges:
                self.pending.add(start, end)
            return
        for index in list(self.pending):
            if index not in assigned:
                self.pending.discard(index)
        for index in assigned:
            is_new = index not in before and index not in self.placed_on
            if is_new and not (self.done_bits >> index) & 1:
                self.pending.add(index, index + 1)
        self._exclude_migrating(assigned)
        self._count_done(assigned)

    def _assign(self, ranges: list[list[int]]) -> None:
        self.ranges = [list(pair) for pair in ranges]
        self.size = sum(end - start for start, end in self.ranges)

    def _exclude_migrating(self, assigned: IndexRanges) -> None:
        """Leave out what is migrating until the fate of that migration is known.

        The record may be older than the commit that is on its way.
        """
        migrating = IndexRanges()
        for index in IndexRanges(self.migrating_ranges):
            if index in assigned:
                migrating.add(index, index + 1)
                self.pending.discard(index)
        self.migrating_ranges = migrating.items

    def request_stops(self, grace_s: float, reason: StopReason) -> None:
        """Have the tasks stopped that are on machines; an earlier request for one stands."""
        for index, machine in self.placed_on.items():
            task = machine.tasks.get((self.spec.id, index))
            if task is not None and task.stop_grace_s is None:
                task.request_stop(grace_s, reason)
