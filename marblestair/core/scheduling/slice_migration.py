"""Migration of pending tasks between shards: Algorithms 1, 2 and 4 of Bauer and Reichert.

The source drops the task numbers first, then asks the job's ServerManager for the shared and the
short-term lock in one call, reports the change of ActiveServers (``stay`` or ``log_off``),
notifies the target, and releases the shared lock. The manager commits the change of the record
before it replies, so the target starts nothing that the record does not give it. Without a reply
no shard starts the task numbers until the record has been read back.
"""

from __future__ import annotations

from typing import NamedTuple

from marblestair.core.domain.index_ranges import IndexRanges
from marblestair.core.jobs.migration_locks import MigrationLocks, UpdateReply
from marblestair.core.jobs.record_reader import RecordReader
from marblestair.core.jobs.server_manager import LOG_OFF, STAY
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.messaging.messages import (
    AnnounceMigration,
    LockSlices,
    ReleaseSlices,
    SendChangeEntries,
    UpdateSlices,
)
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.requests import PeerRequest, Sleep
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys
from marblestair.core.state.store_view import StoreView

#: time for a manager, and for the target, to reply, in seconds
MANAGER_TIMEOUT_S, TARGET_TIMEOUT_S = 1.5, 0.5
#: migrations in progress at once, per node
MAX_ACTIVE_MIGRATIONS = 4
#: attempts to get the locks of a job, and the pause between two, in seconds
MAX_LOCK_ATTEMPTS, LOCK_RETRY_S = 8, 0.1
#: pause between two attempts to learn the outcome of an update, in seconds
OUTCOME_RETRY_S = 0.2


class Migration(NamedTuple):
    """A migration in progress."""

    shard: Shard
    job_slice: JobSlice
    target_id: int
    #: name under which it has the job's locks; no other migration has the same
    holder: str

    @property
    def job(self) -> str:
        """The job whose tasks migrate."""
        return self.job_slice.spec.id


class SliceMigrations:
    """The migrations from one node's shards."""

    def __init__(
        self,
        context: NodeContext,
        view: StoreView,
        leadership: Leadership,
        migration_locks: MigrationLocks,
        reader: RecordReader,
    ) -> None:
        self._context = context
        self._view = view
        self._leadership = leadership
        self._migration_locks = migration_locks
        self._reader = reader
        self.active_count = 0
        self.completed_count = 0
        #: migrations of this process, for the names of lock holders
        self._count = 0

    def start(
        self, shard: Shard, job_slice: JobSlice, ranges: list[list[int]], target_id: int
    ) -> bool:
        """Begin to migrate pending tasks of a slice, unless too many migrations are in progress.

        Raises
        ------
        ValueError
            When one of the tasks is not pending.
        """
        if (
            self.active_count >= MAX_ACTIVE_MIGRATIONS
            or job_slice.migrating_ranges
            or job_slice.is_cancelled
            or job_slice.is_unreconciled
        ):
            return False
        for start, end in ranges:
            for index in range(start, end):
                if not job_slice.pending.discard(index):
                    raise ValueError("only pending tasks migrate")
        self.active_count += 1
        self._count += 1
        holder = f"{self._context.node}-{self._context.incarnation}-{self._count}"
        job_slice.migrating_ranges = [list(pair) for pair in ranges]
        job_slice.migration_holder = holder
        self._context.spawn(self._migrate(Migration(shard, job_slice, target_id, holder)))
        return True

    def _migrate(self, migration: Migration) -> Coroutine[None]:
        try:
            if not (yield from self._lock(migration)):
                yield from self._abort(migration)
                return
            if not _has_dropped_tasks(migration):
                # The record no longer gives them to this shard.
                yield from self._ask_manager(ReleaseSlices(migration.job, migration.holder))
                return
            reply = yield from self._ask_manager(_update_message(migration))
            if reply is False:
                yield from self._abort(migration)
                return
            if isinstance(reply, list):
                self.completed_count += 1
                yield from self._notify_target(migration, int(reply[0]))
            yield from self._await_outcome(migration)
        finally:
            self.active_count -= 1

    def _lock(self, migration: Migration) -> Coroutine[bool]:
        """Get the locks of the job; False when they were not given in some attempts."""
        shard, job_slice, _, holder = migration
        job = migration.job
        for _ in range(MAX_LOCK_ATTEMPTS):
            if (yield from self._ask_manager(LockSlices(job, holder))) is True:
                return True
            if job_slice.is_cancelled or shard.slices.get(job) is not job_slice:
                return False
            yield Sleep(LOCK_RETRY_S)
        return False

    def _abort(self, migration: Migration) -> Coroutine[None]:
        """End a migration that has certainly changed nothing."""
        self._restore(migration.shard, migration.job_slice, migration.holder)
        yield from self._ask_manager(ReleaseSlices(migration.job, migration.holder))

    def _ask_manager(
        self, message: LockSlices | UpdateSlices | ReleaseSlices
    ) -> Coroutine[UpdateReply]:
        """Ask the job's ServerManager, wherever it runs; None without a reply."""
        record = self._view.jobs.get(message.job)
        if record is None:
            return None
        manager = self._leadership.leader_of(record.manager_shard)
        if manager == self._context.node:
            return (yield from self._migration_locks.handle(message))
        if manager is None:
            return None
        reply: UpdateReply = yield PeerRequest(manager, message, MANAGER_TIMEOUT_S)
        return reply

    def _notify_target(self, migration: Migration, version: int) -> Coroutine[None]:
        """Announce a migration to the leader of its target.

        That replies with the last change entry of the job that it knows, and gets only later ones
        (Algorithm 4).
        """
        job = migration.job
        leader = self._leadership.leader_of(migration.target_id)
        if leader is None or leader == self._context.node:
            return
        known = yield PeerRequest(leader, AnnounceMigration(job, version), TARGET_TIMEOUT_S)
        record = self._view.jobs.get(job)
        if isinstance(known, int) and record is not None and len(record.change_list) > known:
            current_version = self._view.version(keys.JOBS + job)
            entries = record.change_list[known:]
            later = SendChangeEntries(job, known, entries, current_version)
            yield PeerRequest(leader, later, TARGET_TIMEOUT_S)

    def _await_outcome(self, migration: Migration) -> Coroutine[None]:
        """Wait until the record shows what became of the task numbers that were dropped.

        They may be pending here again only once the manager has released the holder's locks, so
        that an update that is still on its way will be refused, and only after the record has
        been read again.
        """
        shard, job_slice, _, holder = migration
        job = migration.job
        is_released = False
        while True:
            is_released = (yield from self._ask_manager(ReleaseSlices(job, holder))) is True
            is_here = (
                self._leadership.shards.get(shard.shard_id) is shard
                and shard.slices.get(job) is job_slice
            )
            # Once the outcome of this migration is known, the slice may be in the middle of the
            # next one, whose dropped numbers are not this one's to restore.
            if not is_here or not _has_dropped_tasks(migration):
                if is_released or not is_here:
                    return
            elif is_released and (yield from self._reader.refresh(job)):
                self._restore(shard, job_slice, holder)
                return
            if job not in self._view.jobs:
                return
            yield Sleep(OUTCOME_RETRY_S)

    def _restore(self, shard: Shard, job_slice: JobSlice, holder: str) -> None:
        """Make the task numbers that were dropped, and are still the slice's, pending again."""
        if job_slice.migration_holder != holder:
            return
        dropped, job_slice.migrating_ranges = job_slice.migrating_ranges, []
        if job_slice.is_cancelled or shard.slices.get(job_slice.spec.id) is not job_slice:
            return
        for start, end in dropped:
            for index in range(start, end):
                if (
                    job_slice.contains(index)
                    and index not in job_slice.placed_on
                    and not (job_slice.done_bits >> index) & 1
                ):
                    job_slice.pending.add(index, index + 1)


def _has_dropped_tasks(migration: Migration) -> bool:
    """Whether the slice still lacks task numbers that this migration dropped."""
    job_slice = migration.job_slice
    return bool(job_slice.migrating_ranges) and job_slice.migration_holder == migration.holder


def _update_message(migration: Migration) -> UpdateSlices:
    """The change of the record that a migration asks for."""
    shard, job_slice, target_id, holder = migration
    remaining = IndexRanges(job_slice.ranges)
    for start, end in job_slice.migrating_ranges:
        for index in range(start, end):
            remaining.discard(index)
    return UpdateSlices(
        migration.job,
        holder,
        shard.shard_id,
        shard.term,
        STAY if len(remaining) else LOG_OFF,
        target_id,
        [list(pair) for pair in job_slice.migrating_ranges],
    )
