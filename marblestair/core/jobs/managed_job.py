"""A job whose ServerManager runs here: its locks, the progress of its slices, and its changes."""

from __future__ import annotations

from marblestair.core.jobs.server_manager import ServerManager
from marblestair.core.messaging.messages import SliceProgress
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.store_requests import CompareAndSwap, StoreResponse
from marblestair.core.state.records import JobRecord


class ManagedJob:
    """One job whose manager shard this node leads."""

    def __init__(self, job: str, record: JobRecord) -> None:
        self.job = job
        self.shard_id = record.manager_shard
        self.locks = ServerManager({int(shard_id) for shard_id in record.slices})
        #: shard -> what its leader last reported of the slice there
        self.progress_by_shard: dict[int, SliceProgress] = {}
        self.is_cancel_requested = False
        #: a coroutine carries the job on
        self.is_advancing = False
        #: a change of the slices is being committed
        self.is_migrating = False
        #: a change of the record was sent, and whether it was carried out is not known
        self.is_uncertain = False
        self._changes_under_way = 0

    @property
    def is_record_known(self) -> bool:
        """Whether the record is surely as this node knows it, but for changes by others.

        A change may be carried out, seen by the other nodes' watches and answered by them to
        users long before its response is back here. So the record counts as unknown from before a
        change is sent.
        """
        return not self.is_uncertain and not self._changes_under_way

    @property
    def tasks_done(self) -> int:
        """Tasks done, as the shards' leaders last reported."""
        return sum(progress.done for progress in self.progress_by_shard.values())

    @property
    def tasks_running(self) -> int:
        """Tasks running, as the shards' leaders last reported."""
        return sum(progress.running for progress in self.progress_by_shard.values())

    def commit_change(self, swap: CompareAndSwap) -> Coroutine[StoreResponse]:
        """Send a change of the record; every change by its manager goes this way.

        Without a response it may have been carried out, or may yet be. That uncertainty lasts until
        a later change succeeds, or until the record has been read again after a 409.
        """
        self._changes_under_way += 1
        try:
            response: StoreResponse = yield swap
        finally:
            self._changes_under_way -= 1
        if response.status == 200:
            # On condition of the same version, no earlier try can be carried out any more.
            self.is_uncertain = False
        elif response.status == 0:
            self.is_uncertain = True
        return response
