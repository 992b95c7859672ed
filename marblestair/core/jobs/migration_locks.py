"""The manager's part in migrations of a job's slices: it grants locks and commits updates."""

from __future__ import annotations

from collections.abc import Hashable

import msgspec

from marblestair.core.domain.index_ranges import IndexRanges
from marblestair.core.jobs.cancel_registry import CancelRegistry
from marblestair.core.jobs.managed_job import ManagedJob
from marblestair.core.jobs.record_reader import RecordReader
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.messaging.messages import LockSlices, ReleaseSlices, UpdateSlices
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.requests import Sleep
from marblestair.core.runtime.store_requests import CompareAndSwap, Put, RequestPriority
from marblestair.core.state import keys
from marblestair.core.state.records import MAX_RECORD_SHARE, JobRecord, exceeds_value_limit
from marblestair.core.state.store_view import StoreView

#: maximum time for which a migration holds its locks, as a share of an agent's lease; locks do not
#: expire while a migration's update of the job is being committed
LOCK_TIMEOUT_LEASE_SHARE = 0.5
#: maximum number of retries of a commit that has certainly not taken effect
MAX_COMMIT_RETRIES = 3

#: reply to a migration's request: a list with the record's new version after a committed update;
#: True when locks were granted or released; False when the request was refused and cannot take
#: effect later; None when the outcome is unknown or the ServerManager does not run here
UpdateReply = list[int] | bool | None


class MigrationLocks:
    """Grants the migration locks of the jobs that one node manages, and commits the updates."""

    def __init__(
        self,
        context: NodeContext,
        view: StoreView,
        leadership: Leadership,
        managed_jobs: dict[str, ManagedJob],
        cancels: CancelRegistry,
        reader: RecordReader,
    ) -> None:
        self._context = context
        self._view = view
        self._leadership = leadership
        self._managed_jobs = managed_jobs
        self._cancels = cancels
        self._reader = reader
        #: job and holder -> monotonic time at which the locks were granted
        self._locked_since: dict[tuple[str, Hashable], float] = {}

    def handle(self, message: LockSlices | UpdateSlices | ReleaseSlices) -> Coroutine[UpdateReply]:
        """Handle a request to a job's ServerManager; None if this node does not run the manager."""
        managed = self._managed_jobs.get(message.job)
        if managed is None or message.job not in self._view.jobs:
            return None
        if not self._leadership.is_leader(managed.shard_id):
            return None
        if isinstance(message, LockSlices):
            return self._lock(managed, message.holder)
        if isinstance(message, ReleaseSlices):
            return self._release(managed, message.holder)
        return (yield from self._update(managed, message))

    def _lock(self, managed: ManagedJob, holder: str) -> bool:
        if self._cancels.is_known(managed.job) or managed.is_cancel_requested:
            return False
        if not managed.locks.acquire_migration_locks(holder):
            return False
        self._locked_since[(managed.job, holder)] = self._context.now
        return True

    def _release(self, managed: ManagedJob, holder: str) -> bool:
        if managed.is_committing_migration or managed.has_uncertain_commit:
            return False
        self._locked_since.pop((managed.job, holder), None)
        managed.locks.release_migration_locks(holder)
        return True

    def _update(self, managed: ManagedJob, update: UpdateSlices) -> Coroutine[UpdateReply]:
        """Commit the ranges of the source's and target's slices after a migration.

        Returns False, without a commit, if ``_updated_record`` refuses the update.
        """
        record = self._updated_record(managed, update)
        if record is None:
            return False
        managed.is_committing_migration = True
        try:
            return (yield from self._commit(managed, update, record))
        finally:
            managed.is_committing_migration = False

    def _updated_record(self, managed: ManagedJob, update: UpdateSlices) -> JobRecord | None:
        """Return the record after a migration; None if it is too large or the update is invalid."""
        shard_map = self._view.shard_map
        record = self._view.jobs[managed.job]
        if managed.locks.short_term_holder != update.holder or shard_map is None:
            return None
        if shard_map.shards[update.source].term != update.term:
            return None
        if update.source == update.target or not update.ranges:
            return None
        slices = _slices_after_migration(record.slices, update)
        if slices is None:
            return None
        moved = (update.source, update.target)
        complete = [shard_id for shard_id in record.complete_shards if shard_id not in moved]
        updated = msgspec.structs.replace(record, slices=slices, complete_shards=complete)
        value_kb = self._context.settings.cluster.state.value_kb
        if exceeds_value_limit(updated, value_kb, MAX_RECORD_SHARE):
            # A record with many small ranges may exceed its share (``MAX_RECORD_SHARE``) of the
            # store's value limit. The update is refused, and the tasks stay with the source.
            return None
        return updated

    def _commit(
        self, managed: ManagedJob, update: UpdateSlices, record: JobRecord
    ) -> Coroutine[UpdateReply]:
        swap = self._migration_commit(managed, update, record)
        outcome: bool | None = False
        tries = 0
        while self._is_managed_here(managed):
            tries += 1
            response = yield from managed.commit_change(swap)
            if response.status == 200:
                self._view.apply_commit(swap, response.revision)
                self._apply(managed, update)
                self._view.publish_changes()
                return [response.revision]
            if response.status == 409:
                if (yield from self._reader.refresh(managed.job)):
                    managed.has_uncertain_commit = False
                    return self._reply_after_read(managed, update, record)
            elif response.status == 0:
                outcome = None
            elif not managed.has_uncertain_commit and tries > MAX_COMMIT_RETRIES:
                return False
            yield Sleep(0.1 + 0.2 * self._context.rng.random())
        return outcome

    def _is_managed_here(self, managed: ManagedJob) -> bool:
        is_current = self._managed_jobs.get(managed.job) is managed
        return is_current and self._leadership.is_leader(managed.shard_id)

    def _migration_commit(
        self, managed: ManagedJob, update: UpdateSlices, record: JobRecord
    ) -> CompareAndSwap:
        key = keys.JOBS + managed.job
        # The source's shard may be taken over while this commit is in flight. The new leader may
        # then start tasks that the commit would give to the target, so the fence of the source's
        # shard is a precondition too.
        preconditions = [
            (key, self._view.version(key)),
            self._leadership.fence_precondition(managed.shard_id),
        ]
        if update.source != managed.shard_id:
            preconditions.append(self._leadership.fence_precondition(update.source))
        return CompareAndSwap(preconditions, [Put(key, record)], [], RequestPriority.FINAL_STATE)

    def _apply(self, managed: ManagedJob, update: UpdateSlices) -> None:
        """Apply a committed update; drop the outdated progress of the source and the target."""
        managed.locks.update_active_servers(
            update.holder, update.source, update.option, update.target
        )
        managed.progress_by_shard.pop(update.source, None)
        managed.progress_by_shard.pop(update.target, None)

    def _reply_after_read(
        self, managed: ManagedJob, update: UpdateSlices, record: JobRecord
    ) -> UpdateReply:
        """Return the reply to an update whose precondition failed, after the record was read again.

        If the record has the slices of the update, an earlier attempt has committed the update, and
        the reply is the record's version. Otherwise the reply is False.
        """
        found = self._view.jobs.get(managed.job)
        if found is None or found.slices != record.slices:
            return False
        managed.locks.update_active_servers(
            update.holder, update.source, update.option, update.target
        )
        return [self._view.version(keys.JOBS + managed.job)]

    def release_expired(self) -> None:
        """Release locks held longer than the lock timeout, unless an update is being committed.

        Also forgets the locks of jobs that this node no longer manages.
        """
        now = self._context.now
        limit_s = LOCK_TIMEOUT_LEASE_SHARE * self._context.settings.cluster.workers.lease_s
        for (job, holder), since in list(self._locked_since.items()):
            managed = self._managed_jobs.get(job)
            if managed is None or (now - since > limit_s and not managed.is_committing_migration):
                del self._locked_since[(job, holder)]
                if managed is not None:
                    managed.locks.release_migration_locks(holder)


def _slices_after_migration(
    slices: dict[str, list[list[int]]], update: UpdateSlices
) -> dict[str, list[list[int]]] | None:
    """Return the slices after a migration; None when the source lacks some of the moved tasks."""
    remaining = IndexRanges(slices.get(str(update.source), []))
    for start, end in update.ranges:
        for index in range(start, end):
            if not remaining.discard(index):
                return None
    target_ranges = IndexRanges(slices.get(str(update.target), []))
    for start, end in update.ranges:
        target_ranges.add(start, end)
    moved = {name: ranges for name, ranges in slices.items() if int(name) != update.source}
    moved[str(update.target)] = [list(pair) for pair in target_ranges.items]
    if remaining.items:
        moved[str(update.source)] = [list(pair) for pair in remaining.items]
    return moved
