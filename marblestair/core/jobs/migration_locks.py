"""The manager's side of migrations: locks, and the change of a record's slices (Algorithm 2)."""

from __future__ import annotations

from collections.abc import Hashable
from typing import TYPE_CHECKING, Any

import msgspec

from marblestair.core.domain.index_ranges import Ranges
from marblestair.core.jobs.managed_job import ManagedJob
from marblestair.core.runtime.coroutines import Step
from marblestair.core.runtime.requests import Sleep
from marblestair.core.runtime.store_requests import CompareAndSwap, Lane, Put, StoreResponse
from marblestair.core.state import keys
from marblestair.core.state.records import RECORD_SHARE, JobRecord, exceeds_value_limit

if TYPE_CHECKING:
    from marblestair.core.controller import Controller

#: a migration's locks are given up when its source has not come back for this share of a lease
LOCK_RATIO = 0.5
#: tries of a change that certainly was not carried out
MOST_TRIES = 3


class SliceUpdate(msgspec.Struct, array_like=True):
    """Task numbers that the source of a migration has dropped, for another part."""

    job: str
    holder: str
    source: int
    #: term under which the source dropped them
    term: int
    #: ``stay`` or ``log_off``
    option: str
    target: int
    ranges: list[list[int]]


class MigrationLocks:
    """Migrations as the managers of one node's jobs see them."""

    def __init__(self, controller: Controller) -> None:
        self._controller = controller
        #: job and holder -> when the lock was given
        self._locked_since: dict[tuple[str, Hashable], float] = {}

    def handle(self, tag: str, args: list[Any]) -> Step:
        """A question to the ServerManager: lock, update or release; None when it is not here."""
        controller = self._controller
        job, holder = str(args[0]), str(args[1])
        managed = controller.job_managers.managed.get(job)
        if (
            managed is None
            or job not in controller.view.jobs
            or not controller.is_leader(managed.shard_id)
        ):
            return None
        if tag == "lock":
            return self._lock(managed, holder)
        if tag == "release":
            return self._release(managed, holder)
        return (yield from self._update(managed, msgspec.convert(args, SliceUpdate)))

    def _lock(self, managed: ManagedJob, holder: str) -> bool:
        if self._controller.cancellations.is_known(managed.job) or managed.is_cancel_requested:
            return False
        if not managed.locks.request_migration(holder):
            return False
        self._locked_since[(managed.job, holder)] = self._controller.now
        return True

    def _release(self, managed: ManagedJob, holder: str) -> bool:
        if managed.is_migrating or managed.is_uncertain:
            return False
        self._locked_since.pop((managed.job, holder), None)
        managed.locks.release_shared(holder)
        return True

    def _update(self, managed: ManagedJob, update: SliceUpdate) -> Step:
        """Make a migration durable.

        Returns the record's new version in a list, False when nothing was and will be changed,
        and None when that is not known.
        """
        record = self._updated(managed, update)
        if record is None:
            return False
        managed.is_migrating = True
        try:
            return (yield from self._commit(managed, update, record))
        finally:
            managed.is_migrating = False

    def _updated(self, managed: ManagedJob, update: SliceUpdate) -> JobRecord | None:
        """The record with the slices as they are to be; None when the update is not valid."""
        controller = self._controller
        shard_map = controller.view.shard_map
        record = controller.view.jobs[managed.job]
        if managed.locks.short != update.holder or shard_map is None:
            return None
        if shard_map.shards[update.source].term != update.term:
            return None
        if update.source == update.target or not update.ranges:
            return None
        slices = _moved(record.slices, update)
        if slices is None:
            return None
        complete = [p for p in record.complete_shards if p not in (update.source, update.target)]
        updated = msgspec.structs.replace(record, slices=slices, complete_shards=complete)
        if exceeds_value_limit(updated, controller.settings.cluster.state.value_kb, RECORD_SHARE):
            # So many small ranges would outgrow the record; the source keeps its tasks.
            return None
        return updated

    def _commit(self, managed: ManagedJob, update: SliceUpdate, record: JobRecord) -> Step:
        controller = self._controller
        key = keys.JOBS + managed.job
        # The source's fence too: were the part taken over meanwhile, its new owner may have
        # started what an update still on its way would give to another part.
        guards = [
            (key, controller.view.version(key)),
            controller.fence_precondition(managed.shard_id),
        ]
        if update.source != managed.shard_id:
            guards.append(controller.fence_precondition(update.source))
        commit = CompareAndSwap(guards, [Put(key, record)], [], Lane.FINAL_STATE)
        outcome: bool | None = False
        tries = 0
        while controller.job_managers.managed.get(managed.job) is managed and controller.is_leader(
            managed.shard_id
        ):
            tries += 1
            response: StoreResponse = yield from managed.commit_change(commit)
            if response.status == 200:
                controller.view.record_commit(commit, response.revision)
                managed.locks.update(update.holder, update.source, update.option, update.target)
                managed.progress_by_shard.pop(update.source, None)
                managed.progress_by_shard.pop(update.target, None)
                controller.sync()
                return [response.revision]
            if response.status == 409:
                if (yield from controller.answers.refresh_record(managed.job)):
                    managed.is_uncertain = False
                    return self._found(managed, update, record)
            elif response.status == 0:
                outcome = None
            elif not managed.is_uncertain and tries > MOST_TRIES:
                return False
            yield Sleep(0.1 + 0.2 * controller.rng.random())
        return outcome

    def _found(self, managed: ManagedJob, update: SliceUpdate, record: JobRecord) -> Any:
        """What became of an update whose record was read back."""
        controller = self._controller
        found = controller.view.jobs.get(managed.job)
        if found is None or found.slices != record.slices:
            return False
        managed.locks.update(update.holder, update.source, update.option, update.target)
        return [controller.view.version(keys.JOBS + managed.job)]

    def tick(self) -> None:
        """Give up the locks of sources that have not come back."""
        controller = self._controller
        limit = LOCK_RATIO * controller.settings.cluster.workers.lease_s
        for (job, holder), since in list(self._locked_since.items()):
            managed = controller.job_managers.managed.get(job)
            if managed is None or (controller.now - since > limit and not managed.is_migrating):
                del self._locked_since[(job, holder)]
                if managed is not None:
                    managed.locks.release_shared(holder)


def _moved(
    slices: dict[str, list[list[int]]], update: SliceUpdate
) -> dict[str, list[list[int]]] | None:
    """Slices after a migration; None when the source does not hold all that it gives."""
    held = Ranges(slices.get(str(update.source), []))
    for start, end in update.ranges:
        for index in range(start, end):
            if not held.discard(index):
                return None
    given = Ranges(slices.get(str(update.target), []))
    for start, end in update.ranges:
        given.add(start, end)
    moved = {part: r for part, r in slices.items() if int(part) != update.source}
    moved[str(update.target)] = [list(r) for r in given.items]
    if held.items:
        moved[str(update.source)] = [list(r) for r in held.items]
    return moved
