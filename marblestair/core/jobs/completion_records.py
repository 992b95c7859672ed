"""What goes by way of the store when controllers cannot reach one another.

A refused or silent connection shows nothing about the controller behind it: it may well hold its
lease and act. So nothing is taken from it. A cancel's entry is committed to the job's record
(``cancellations.py``), and a leader from whose manager nothing comes records there that its slice
is complete.
"""

from __future__ import annotations

import msgspec

from marblestair.core.jobs.record_reader import RecordReader
from marblestair.core.leadership.connectivity import Connectivity
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.requests import Sleep
from marblestair.core.runtime.store_requests import (
    CompareAndSwap,
    Put,
    RequestPriority,
    StoreResponse,
)
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys
from marblestair.core.state.store_view import StoreView

#: a manager from which nothing came for this many heartbeat intervals learns of it by the record
SILENT_INTERVALS = 3.0
#: pause after a commit that was refused
RETRY_PAUSE_S = 0.3


class CompletionRecords:
    """One node's use of job records in place of messages."""

    def __init__(
        self,
        context: NodeContext,
        view: StoreView,
        leadership: Leadership,
        connectivity: Connectivity,
        reader: RecordReader,
    ) -> None:
        self._context = context
        self._view = view
        self._leadership = leadership
        self._connectivity = connectivity
        self._reader = reader
        #: shards whose complete slices are being recorded
        self._writing: set[int] = set()

    def tick(self, led_shards: list[Shard]) -> None:
        """Record complete slices from whose managers nothing comes."""
        for shard in led_shards:
            if shard.shard_id in self._writing:
                continue
            jobs = [
                job
                for job, job_slice in shard.slices.items()
                if self._is_due(shard, job, job_slice)
            ]
            if jobs:
                self._writing.add(shard.shard_id)
                batch = jobs[: self._context.max_batch_changes]
                self._context.spawn(self._record(shard, batch))

    def _is_due(self, shard: Shard, job: str, job_slice: JobSlice) -> bool:
        """Whether a slice is complete, and its manager is to learn of it by the record."""
        if not job_slice.size or job_slice.done_count != job_slice.size:
            return False
        if job_slice.is_cancelled or job_slice.migrating_ranges:
            return False
        record = self._view.jobs.get(job)
        if record is None or record.is_cancelled or shard.shard_id in record.complete_shards:
            return False
        manager = self._leadership.leader_of(record.manager_shard)
        if manager is None or manager == self._context.node:
            return False
        started_at = self._context.started_at
        last = self._connectivity.last_received_at.get(manager, started_at)
        limit_s = SILENT_INTERVALS * self._context.settings.cluster.workers.report_s
        return self._context.now - last > limit_s

    def _record(self, shard: Shard, jobs: list[str]) -> Coroutine[None]:
        try:
            swap = self._completion(shard, jobs)
            if not swap.puts:
                return
            response: StoreResponse = yield swap
            if response.status == 200:
                self._view.apply_commit(swap, response.revision)
                self._view.publish_changes()
            else:
                # One record that has moved on must not hold up the others.
                for put in swap.puts:
                    yield from self._reader.read_record(put.key[len(keys.JOBS) :])
                yield Sleep(RETRY_PAUSE_S)
        finally:
            self._writing.discard(shard.shard_id)

    def _completion(self, shard: Shard, jobs: list[str]) -> CompareAndSwap:
        """The commit that records some slices as complete."""
        preconditions = [self._leadership.fence_precondition(shard.shard_id)]
        puts = []
        for job in jobs:
            record, job_slice = self._view.jobs.get(job), shard.slices.get(job)
            if record is None or job_slice is None:
                continue
            if job_slice.ranges != record.slices.get(str(shard.shard_id)):
                continue
            key = keys.JOBS + job
            preconditions.append((key, self._view.version(key)))
            complete = sorted({*record.complete_shards, shard.shard_id})
            puts.append(Put(key, msgspec.structs.replace(record, complete_shards=complete)))
        return CompareAndSwap(preconditions, puts, [], RequestPriority.FINAL_STATE)
