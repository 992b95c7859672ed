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
from marblestair.core.runtime.requests import FINAL, CompareAndSwap, Put, Sleep, StoreResponse
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

    def tick(self, acting: list[Shard]) -> None:
        """Record complete slices whose managers hear nothing."""
        controller = self.controller
        limit = UNHEARD_REPORTS * controller.settings.cluster.workers.report_s
        for p in acting:
            if p.shard_id in self._writing:
                continue
            jobs = []
            for job, s in p.slices.items():
                if not s.size or s.done_count != s.size or s.is_cancelled or s.migrating_ranges:
                    continue
                record = controller.view.jobs.get(job)
                if record is None or record.is_cancelled or p.shard_id in record.complete_shards:
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
                self._writing.add(p.shard_id)
                controller.spawn(self._record(p, jobs[: controller.max_batch_changes]))

    def _record(self, p: Shard, jobs: list[str]) -> Coroutine:
        controller = self.controller
        try:
            guards, puts = [controller.fence_precondition(p.shard_id)], []
            for job in jobs:
                record, s = controller.view.jobs.get(job), p.slices.get(job)
                if record is None or s is None or s.ranges != record.slices.get(str(p.shard_id)):
                    continue
                key = keys.JOBS + job
                guards.append((key, controller.view.version(key)))
                complete = sorted({*record.complete_shards, p.shard_id})
                puts.append(Put(key, msgspec.structs.replace(record, complete_shards=complete)))
            if puts:
                commit = CompareAndSwap(guards, puts, [], FINAL)
                r: StoreResponse = yield commit
                if r.status == 200:
                    controller.view.record_commit(commit, r.revision)
                    controller.sync()
                else:
                    # One record that has moved on must not hold up the others.
                    for put in puts:
                        yield from controller.answers.read_record(put.key[len(keys.JOBS) :])
                    yield Sleep(0.3)
        finally:
            self._writing.discard(p.shard_id)
