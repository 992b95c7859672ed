"""What goes by way of the state service when controllers cannot reach one another.

A refused or silent connection shows nothing about the controller behind it: it may well hold its
lease and act. So nothing is taken from it. A cancel's entry is committed to the job's record
(`core/cancels.py`), and an owner whose manager hears nothing records there that its slice is
complete.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.requests import Sleep
from marblestair.core.runtime.store_requests import CompareAndSwap, Lane, Put, StoreResponse
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys

if TYPE_CHECKING:
    from marblestair.core.controller import Controller

#: a manager that was not heard for this many report intervals is told by way of the record
UNHEARD_REPORTS = 3.0


class CompletionRecords:
    """One node's use of job records in place of messages."""

    def __init__(self, controller: Controller) -> None:
        self.controller = controller
        self._writing: set[int] = set()

    def tick(self, led_shards: list[Shard]) -> None:
        """Record complete slices whose managers hear nothing."""
        controller = self.controller
        limit = UNHEARD_REPORTS * controller.settings.cluster.workers.report_s
        for shard in led_shards:
            if shard.shard_id in self._writing:
                continue
            jobs = []
            for job, job_slice in shard.slices.items():
                if (
                    not job_slice.size
                    or job_slice.done_count != job_slice.size
                    or job_slice.is_cancelled
                    or job_slice.migrating_ranges
                ):
                    continue
                record = controller.view.jobs.get(job)
                if (
                    record is None
                    or record.is_cancelled
                    or shard.shard_id in record.complete_shards
                ):
                    continue
                owner = controller.leader_of(record.manager_shard)
                if owner is None or owner == controller.node:
                    continue
                if (
                    controller.now - controller.last_received_at.get(owner, controller.started_at)
                    > limit
                ):
                    jobs.append(job)
            if jobs:
                self._writing.add(shard.shard_id)
                controller.spawn(self._record(shard, jobs[: controller.max_batch_changes]))

    def _record(self, shard: Shard, jobs: list[str]) -> Coroutine:
        controller = self.controller
        try:
            guards, puts = [controller.fence_precondition(shard.shard_id)], []
            for job in jobs:
                record, job_slice = controller.view.jobs.get(job), shard.slices.get(job)
                if (
                    record is None
                    or job_slice is None
                    or job_slice.ranges != record.slices.get(str(shard.shard_id))
                ):
                    continue
                key = keys.JOBS + job
                guards.append((key, controller.view.version(key)))
                complete = sorted({*record.complete_shards, shard.shard_id})
                puts.append(Put(key, msgspec.structs.replace(record, complete_shards=complete)))
            if puts:
                commit = CompareAndSwap(guards, puts, [], Lane.FINAL_STATE)
                response: StoreResponse = yield commit
                if response.status == 200:
                    controller.view.record_commit(commit, response.revision)
                    controller.sync()
                else:
                    # One record that has moved on must not hold up the others.
                    for put in puts:
                        yield from controller.answers.read_record(put.key[len(keys.JOBS) :])
                    yield Sleep(0.3)
        finally:
            self._writing.discard(shard.shard_id)
