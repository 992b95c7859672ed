"""The tasks of one job that a part holds."""

from __future__ import annotations

from marblestair.core.domain.index_ranges import PAGE, Ranges
from marblestair.core.domain.model import JobSpec
from marblestair.core.shard.machine import Machine


class JobSlice:
    """The tasks of one job that this part holds."""

    def __init__(self, spec: JobSpec) -> None:
        self.spec = spec
        self.need = spec.need
        self.ranges: list[list[int]] = []
        self.size = 0
        self.pending = Ranges()
        self.placed: dict[int, Machine] = {}
        self.done = 0
        self.done_count = 0
        #: tasks on machines that were seen running
        self.runs = 0
        #: done bits that the state service holds, and the versions of their pages
        self.durable = 0
        self.pages: dict[int, int] = {}
        self.dirty_since: float | None = None
        self.cancelled = False
        self.cancelled_at = 0.0
        #: held before the takeover: some task may be on a machine that has not reported yet
        self.suspect = False
        self.attempt = 0
        #: version of the job record that this reflects
        self.version = 0
        self.stopping_gang = False
        self.waiting_since = 0.0
        #: the job awaits others that are not done: nothing is pending, so nothing may start
        self.is_waiting = False
        #: wall-clock time since which tasks may start
        self.ready_at = spec.at
        #: task numbers dropped here for a migration whose commit is not known yet
        self.leaving: list[list[int]] = []
        #: the migration that dropped them: an earlier one must not restore them
        self.leaving_by = ""

    def load_done(self, page: int, bits: int) -> None:
        """Take in a page of progress that the state service holds."""
        bits <<= page * PAGE
        self.durable |= bits
        self.done |= bits
        for i in list(self.pending):
            if (bits >> i) & 1:
                self.pending.discard(i)
        self.done_count = sum(1 for i in Ranges(self.ranges) if (self.done >> i) & 1)

    def holds(self, i: int) -> bool:
        """Whether a task number belongs to this slice."""
        return any(a <= i < b for a, b in self.ranges)

    def wait(self, ranges: list[list[int]]) -> None:
        """Hold task numbers of a job that awaits others: none of them is pending."""
        self.is_waiting = True
        self.ranges = [list(r) for r in ranges]
        self.size = sum(end - start for start, end in self.ranges)

    def release(self, now: float) -> None:
        """All that the job awaited is done: what the record gives to the slice will be pending."""
        self.is_waiting = False
        self.ranges = []
        self.size = 0
        self.waiting_since = now

    def follow(self, ranges: list[list[int]]) -> None:
        """Take in the task numbers that the job's record gives to this slice now."""
        old, held = Ranges(self.ranges), Ranges(ranges)
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
            is_new = index not in old and index not in self.placed
            if is_new and not (self.done >> index) & 1:
                self.pending.add(index, index + 1)
        self._keep_leaving(held)
        self.done_count = sum(1 for index in held if (self.done >> index) & 1)

    def _keep_leaving(self, held: Ranges) -> None:
        """What a migration has dropped stays dropped until that migration is settled.

        The record may be older than the update that is on its way.
        """
        kept = Ranges()
        for index in Ranges(self.leaving):
            if index in held:
                kept.add(index, index + 1)
                self.pending.discard(index)
        self.leaving = kept.items
