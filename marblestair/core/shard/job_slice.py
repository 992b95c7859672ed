"""The slice of a job that a shard runs."""

from __future__ import annotations

from marblestair.core.domain.index_ranges import TASKS_PER_PROGRESS_PAGE, IndexRanges
from marblestair.core.domain.jobs import JobKind, JobSpec
from marblestair.core.shard.machine import Machine, StopReason


class JobSlice:
    """The tasks of one job that belong to one shard.

    Each task that is not done is pending, placed on a machine, or migrating to another shard. While
    the job is blocked, no task is pending. Pending tasks of a cancelled job are not launched.
    """

    def __init__(self, spec: JobSpec) -> None:
        self.spec = spec
        #: resources that one task uses
        self.resources = spec.resources
        #: indexes of the tasks, as ranges ``[start, end)``, and their number
        self.ranges: list[list[int]] = []
        self.size = 0
        self.pending = IndexRanges()
        self.placed_on: dict[int, Machine] = {}
        #: the tasks that are done, as a bit mask over task indexes, and their number
        self.done_bits = 0
        self.done_count = 0
        #: number of placed tasks that their agents have reported as running
        self.running_count = 0
        #: bit mask of the tasks that the store records as done, and the versions of the slice's
        #: progress pages in the store
        self.durable_bits = 0
        self.page_versions: dict[int, int] = {}
        #: time since which the store has lacked the completion of some task; None if it lacks none
        self.dirty_since: float | None = None
        self.is_cancelled = False
        self.cancelled_at = 0.0
        #: the slice existed before the failover, and some of the slice's tasks may run on machines
        #: that are not reconciled yet
        self.is_unreconciled = False
        #: the job is a gang that lost a task, and its remaining tasks are being stopped
        self.is_stopping_gang = False
        #: time since which no task of the slice has been placed
        self.pending_since = 0.0
        #: the job depends on unfinished jobs, so its tasks must not start
        self.is_blocked = False
        #: wall-clock time since which tasks may start
        self.startable_since = spec.accepted_at
        #: indexes of tasks that are migrating to another shard; the outcome of the migration's
        #: commit is not known yet
        self.migrating_ranges: list[list[int]] = []
        #: identifies the migration to which ``migrating_ranges`` belongs, so that the end of an
        #: earlier migration does not make these tasks pending
        self.migration_holder = ""

    @property
    def is_vacated(self) -> bool:
        """Whether the slice has no tasks, neither assigned nor placed, and is not cancelled."""
        return not self.ranges and not self.placed_on and not self.is_cancelled

    def contains(self, index: int) -> bool:
        """Whether a task belongs to this slice."""
        return any(start <= index < end for start, end in self.ranges)

    def can_adopt(self, index: int) -> bool:
        """Whether a task that a machine lists belongs to this slice and is placed on no machine."""
        return self.contains(index) and index not in self.placed_on

    def is_done(self, index: int) -> bool:
        """Whether a task is done."""
        return bool((self.done_bits >> index) & 1)

    # --- progress --------------------------------------------------------------------------

    def load_done_page(self, page: int, bits: int) -> None:
        """Mark the tasks of a progress page that was read from the store as done."""
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
        """Mark a task as done; does nothing if it is done, not in this slice, or of a service.

        In a gang, all tasks of the slice become done.
        """
        if (
            self.is_done(index)
            or not self.contains(index)
            # The tasks of a service are never done: each one is restarted whenever it exits.
            or self.spec.kind == JobKind.SERVICE
        ):
            return
        # The tasks of a gang complete together: when one is done, all are.
        is_gang = self.spec.kind == JobKind.GANG
        for completed in IndexRanges(self.ranges) if is_gang else (index,):
            if not self.is_done(completed):
                self.done_bits |= 1 << completed
                self.done_count += 1
            self.pending.discard(completed)
        if self.dirty_since is None:
            self.dirty_since = now

    # --- changes to the job record ---------------------------------------------------------

    def block(self, ranges: list[list[int]]) -> None:
        """Assign the tasks of a job that depends on unfinished jobs, without making any pending."""
        self.is_blocked = True
        self._assign(ranges)

    def unblock(self, now: float) -> None:
        """Allow tasks to start after all jobs that this one depends on are done.

        The caller must then call :meth:`set_ranges` with the ranges in the job's record.
        """
        self.is_blocked = False
        self.ranges = []
        self.size = 0
        self.pending_since = now

    def set_ranges(self, ranges: list[list[int]]) -> None:
        """Assign the tasks that the job's record lists for this slice; update the pending tasks."""
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
        """Remove migrating tasks from the pending ones until the migration's outcome is known.

        The record from which tasks were assigned may be older than the migration's commit.
        """
        migrating = IndexRanges()
        for index in IndexRanges(self.migrating_ranges):
            if index in assigned:
                migrating.add(index, index + 1)
                self.pending.discard(index)
        self.migrating_ranges = migrating.items

    def request_stops(self, grace_s: float, reason: StopReason) -> None:
        """Request a stop of all placed tasks; a stop requested earlier is kept as it is."""
        for index, machine in self.placed_on.items():
            task = machine.tasks.get((self.spec.id, index))
            if task is not None and task.stop_grace_s is None:
                task.request_stop(grace_s, reason)
