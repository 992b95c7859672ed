"""The tasks of one job that a part holds."""

from __future__ import annotations

from marblestair.core.domain.index_ranges import TASKS_PER_PAGE, IndexRanges
from marblestair.core.domain.jobs import JobSpec
from marblestair.core.shard.machine import Machine


class JobSlice:
    """The tasks of one job that this part holds."""

    def __init__(self, spec: JobSpec) -> None:
        self.spec = spec
        self.resources = spec.resources
        self.ranges: list[list[int]] = []
        self.size = 0
        self.pending = IndexRanges()
        self.placed_on: dict[int, Machine] = {}
        self.done_bits = 0
        self.done_count = 0
        #: tasks on machines that were seen running
        self.running_count = 0
        #: done bits that the state service holds, and the versions of their pages
        self.durable_bits = 0
        self.page_versions: dict[int, int] = {}
        self.dirty_since: float | None = None
        self.is_cancelled = False
        self.cancelled_at = 0.0
        #: held before the takeover: some task may be on a machine that has not reported yet
        self.is_unreconciled = False
        self.last_attempt = 0
        #: version of the job record that this reflects
        self.record_version = 0
        self.is_stopping_gang = False
        self.pending_since = 0.0
        #: the job awaits others that are not done: nothing is pending, so nothing may start
        self.is_blocked = False
        #: wall-clock time since which tasks may start
        self.startable_since = spec.accepted_at
        #: task numbers dropped here for a migration whose commit is not known yet
        self.migrating_ranges: list[list[int]] = []
        #: the migration that dropped them: an earlier one must not restore them
        self.migration_holder = ""

    def load_done_page(self, page: int, bits: int) -> None:
        """Take in a page of progress that the state service holds."""
        bits <<= page * TASKS_PER_PAGE
        self.durable_bits |= bits
        self.done_bits |= bits
        for i in list(self.pending):
            if (bits >> i) & 1:
                self.pending.discard(i)
        self.done_count = sum(1 for i in IndexRanges(self.ranges) if (self.done_bits >> i) & 1)

    def contains(self, i: int) -> bool:
        """Whether a task number belongs to this slice."""
        return any(a <= i < b for a, b in self.ranges)

    def block(self, ranges: list[list[int]]) -> None:
        """Hold task numbers of a job that awaits others: none of them is pending."""
        self.is_blocked = True
        self.ranges = [list(r) for r in ranges]
        self.size = sum(end - start for start, end in self.ranges)

    def unblock(self, now: float) -> None:
        """All that the job awaited is done: what the record gives to the slice will be pending."""
        self.is_blocked = False
        self.ranges = []
        self.size = 0
        self.pending_since = now

    def set_ranges(self, ranges: list[list[int]]) -> None:
        """Take in the task numbers that the job's record gives to this slice now."""
        old, held = IndexRanges(self.ranges), IndexRanges(ranges)
        self.ranges = [list(r) for r in ranges]
        self.size = sum(end - start for start, end in self.ranges)
        if not len(old):
            for start, end in self.ranges:
                self.pending.add(start, end)
            return
        for index in list(self.pending):
            if index not in held:
                self.pending.discard(index)
        for index in held:
            is_new = index not in old and index not in self.placed_on
            if is_new and not (self.done_bits >> index) & 1:
                self.pending.add(index, index + 1)
        self._keep_migrating(held)
        self.done_count = sum(1 for index in held if (self.done_bits >> index) & 1)

    def _keep_migrating(self, held: IndexRanges) -> None:
        """What a migration has dropped stays dropped until that migration is settled.

        The record may be older than the update that is on its way.
        """
        kept = IndexRanges()
        for index in IndexRanges(self.migrating_ranges):
            if index in held:
                kept.add(index, index + 1)
                self.pending.discard(index)
        self.migrating_ranges = kept.items
