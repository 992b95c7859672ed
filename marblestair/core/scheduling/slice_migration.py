"""Migration of pending tasks between shards: Algorithms 1, 2 and 4 of Bauer and Reichert.

The leader of the source shard first removes the tasks that migrate from the pending tasks. It then
requests the shared and the short-term lock from the job's ServerManager in one call, requests the
change of ActiveServers (``stay`` or ``log_off``), notifies the leader of the target shard, and
releases the locks. The manager commits the change of the job record before it replies, so the
target shard starts only tasks that the record assigns to that shard. If the manager does not reply,
the source makes the tasks pending again only after the locks are released and the record has been
read again.
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

#: reply timeouts for the ServerManager and for the leader of the target shard, in seconds
MANAGER_TIMEOUT_S, TARGET_TIMEOUT_S = 1.5, 0.5
#: maximum number of concurrent migrations from the shards of one node
MAX_ACTIVE_MIGRATIONS = 4
#: maximum attempts to acquire a job's locks, and the delay between two attempts in seconds
MAX_LOCK_ATTEMPTS, LOCK_RETRY_DELAY_S = 8, 0.1
#: delay between two attempts to determine the outcome of a migration, in seconds
OUTCOME_RETRY_DELAY_S = 0.2


class Migration(NamedTuple):
    """A migration of pending tasks to another shard."""

    shard: Shard
    job_slice: JobSlice
    target_id: int
    #: unique name under which the migration holds the job's locks
    holder: str

    @property
    def job(self) -> str:
        """The id of the job whose tasks migrate."""
        return self.job_slice.spec.id


class SliceMigrations:
    """Runs the migrations from the shards that one node leads."""

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
        #: number of migrations started by this process; makes the names of lock holders unique
        self._started_count = 0

    def start(
        self, shard: Shard, job_slice: JobSlice, ranges: list[list[int]], target_id: int
    ) -> bool:
        """Start the migration of pending tasks of a slice; return whether a migration started.

        No migration is started if ``MAX_ACTIVE_MIGRATIONS`` are active, or if the slice has
        migrating tasks, is cancelled, or is unreconciled (``JobSlice.is_unreconciled``).

        Raises
        ------
        ValueError
            If one of the tasks is not pending.
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
                    raise ValueError(
                        f"cannot migrate task {job_slice.spec.id}/{index}: it is not pending"
                    )
        self.active_count += 1
        self._started_count += 1
        holder = f"{self._context.node}-{self._context.incarnation}-{self._started_count}"
        job_slice.migrating_ranges = [list(pair) for pair in ranges]
        job_slice.migration_holder = holder
        self._context.spawn(self._migrate(Migration(shard, job_slice, target_id, holder)))
        return True

    def _migrate(self, migration: Migration) -> Coroutine[None]:
        try:
            if not (yield from self._lock(migration)):
                yield from self._abort(migration)
                return
            if not _has_unconfirmed_tasks(migration):
                # The job record no longer assigns the tasks to this shard.
                yield from self._send_to_manager(ReleaseSlices(migration.job, migration.holder))
                return
            reply = yield from self._send_to_manager(_update_message(migration))
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
        """Acquire the job's locks; return whether they were granted."""
        shard, job_slice, _, holder = migration
        job = migration.job
        for _ in range(MAX_LOCK_ATTEMPTS):
            if (yield from self._send_to_manager(LockSlices(job, holder))) is True:
                return True
            if job_slice.is_cancelled or shard.slices.get(job) is not job_slice:
                return False
            yield Sleep(LOCK_RETRY_DELAY_S)
        return False

    def _abort(self, migration: Migration) -> Coroutine[None]:
        """End a migration that certainly did not change the job record."""
        self._restore(migration.shard, migration.job_slice, migration.holder)
        yield from self._send_to_manager(ReleaseSlices(migration.job, migration.holder))

    def _send_to_manager(
        self, message: LockSlices | UpdateSlices | ReleaseSlices
    ) -> Coroutine[UpdateReply]:
        """Send a request to the job's ServerManager; return its reply.

        Returns None if the manager is unknown or does not reply.
        """
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
        """Announce a migration to the leader of the target shard.

        The leader replies with the number of the job's change entries that it knows. Later entries,
        if this node knows any, are then sent to that leader (Algorithm 4).
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
        """Wait for a migration's outcome; make the tasks that stayed in this slice pending again.

        Ask the manager to release the locks until it does so, then read the job record again and
        make the tasks that stayed in this slice pending. The release must come first, because after
        it the manager rejects an ``UpdateSlices`` request of this migration that is still in
        flight. Only the release is awaited if the slice no longer lists the tasks as migrating.
        Stops early if the slice is no longer in a shard of this node, or if the job has no record.
        """
        shard, job_slice, _, holder = migration
        job = migration.job
        is_released = False
        while True:
            is_released = (yield from self._send_to_manager(ReleaseSlices(job, holder))) is True
            is_slice_current = (
                self._leadership.shards.get(shard.shard_id) is shard
                and shard.slices.get(job) is job_slice
            )
            # Once the outcome is known, the slice may already be in another migration, whose
            # tasks must not be restored here.
            if not is_slice_current or not _has_unconfirmed_tasks(migration):
                if is_released or not is_slice_current:
                    return
            elif is_released and (yield from self._reader.refresh(job)):
                self._restore(shard, job_slice, holder)
                return
            if job not in self._view.jobs:
                return
            yield Sleep(OUTCOME_RETRY_DELAY_S)

    def _restore(self, shard: Shard, job_slice: JobSlice, holder: str) -> None:
        """Make a migration's tasks pending again, except those placed, done or not in the slice."""
        if job_slice.migration_holder != holder:
            return
        unconfirmed, job_slice.migrating_ranges = job_slice.migrating_ranges, []
        if job_slice.is_cancelled or shard.slices.get(job_slice.spec.id) is not job_slice:
            return
        for start, end in unconfirmed:
            for index in range(start, end):
                if (
                    job_slice.contains(index)
                    and index not in job_slice.placed_on
                    and not (job_slice.done_bits >> index) & 1
                ):
                    job_slice.pending.add(index, index + 1)


def _has_unconfirmed_tasks(migration: Migration) -> bool:
    """Whether the slice still lists tasks as migrating under this migration's holder name."""
    job_slice = migration.job_slice
    return bool(job_slice.migrating_ranges) and job_slice.migration_holder == migration.holder


def _update_message(migration: Migration) -> UpdateSlices:
    """Build the request to change the job record for a migration."""
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
