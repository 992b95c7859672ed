"""Reports complete slices through the store when a job's manager is unreachable.

A refused or silent connection does not prove that a controller has failed: the controller may hold
its lease and act, so its shards are not taken over. Controllers that cannot reach each other
communicate through the job's record instead. A leader whose slice of a job is complete writes this
into the job's record if it receives nothing from the job's manager. Cancels use the record in the
same way (``cancellations.py``).
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

#: maximum time without a message from a manager's node, in heartbeat intervals, before complete
#: slices of the manager's jobs are recorded in the store
MAX_SILENCE_INTERVALS = 3.0
#: pause after a commit that failed or got no response
RETRY_PAUSE_S = 0.3


class CompletionRecords:
    """Records complete slices in job records when the jobs' managers are unreachable."""

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
        #: shards with a commit of complete slices in progress
        self._shards_being_written: set[int] = set()

    def start_due_commits(self, led_shards: list[Shard]) -> None:
        """Start the commits that record complete slices whose managers are unreachable."""
        for shard in led_shards:
            if shard.shard_id in self._shards_being_written:
                continue
            jobs = [
                job
                for job, job_slice in shard.slices.items()
                if self._is_due(shard, job, job_slice)
            ]
            if jobs:
                self._shards_being_written.add(shard.shard_id)
                batch = jobs[: self._context.max_batch_changes]
                self._context.spawn(self._record(shard, batch))

    def _is_due(self, shard: Shard, job: str, job_slice: JobSlice) -> bool:
        """Whether a slice is complete and must be recorded so, because its job's manager is silent.

        False also if the slice is migrating or already recorded as complete, if the slice or its
        job is cancelled, or if the manager is unknown or runs at this node.
        """
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
        limit_s = MAX_SILENCE_INTERVALS * self._context.settings.cluster.workers.report_s
        return self._context.now - last > limit_s

    def _record(self, shard: Shard, jobs: list[str]) -> Coroutine[None]:
        """Record the slices of some jobs in one shard as complete, in one commit."""
        try:
            swap = self._completion_swap(shard, jobs)
            if not swap.puts:
                return
            response: StoreResponse = yield swap
            if response.status == 200:
                self._view.apply_commit(swap, response.revision)
                self._view.publish_changes()
            else:
                # One changed record fails the whole commit. All records are read again, so that
                # the next commit has their current versions as preconditions.
                for put in swap.puts:
                    yield from self._reader.read_record(put.key[len(keys.JOBS) :])
                yield Sleep(RETRY_PAUSE_S)
        finally:
            self._shards_being_written.discard(shard.shard_id)

    def _completion_swap(self, shard: Shard, jobs: list[str]) -> CompareAndSwap:
        """Return the compare-and-swap that records slices as complete.

        Leaves out slices whose task ranges differ from those in the job's record.
        """
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
