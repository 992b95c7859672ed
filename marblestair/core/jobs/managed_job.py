"""A job whose ServerManager runs at this node: its locks, slice progress and commits."""

from __future__ import annotations

from marblestair.core.jobs.server_manager import ServerManager
from marblestair.core.messaging.messages import SliceProgress
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.store_requests import CompareAndSwap, StoreResponse
from marblestair.core.state.records import JobRecord


class ManagedJob:
    """A job whose manager shard this node leads."""

    def __init__(self, job: str, record: JobRecord) -> None:
        self.job = job
        self.shard_id = record.manager_shard
        self.locks = ServerManager({int(shard_id) for shard_id in record.slices})
        #: shard -> progress of the slice there, as the shard's leader last reported it
        self.progress_by_shard: dict[int, SliceProgress] = {}
        self.is_cancel_requested = False
        #: a coroutine is taking the job's next steps
        self.is_advancing = False
        #: a migration's change of the slices is being committed
        self.is_committing_migration = False
        #: a commit of the record got no response, so its outcome is unknown
        self.has_uncertain_commit = False
        self._commits_in_flight = 0

    @property
    def is_record_known(self) -> bool:
        """Whether no commit of the record by this node is in flight or uncertain.

        A commit may take effect, and other nodes may already answer users from the new record, long
        before the store's response arrives here. So the record counts as unknown from before a
        commit is sent until its outcome is certain. Changes by other nodes are not considered.
        """
        return not self.has_uncertain_commit and not self._commits_in_flight

    @property
    def tasks_done(self) -> int:
        """Number of done tasks, by the latest reports of the shards' leaders."""
        return sum(progress.done for progress in self.progress_by_shard.values())

    @property
    def tasks_running(self) -> int:
        """Number of running tasks, by the latest reports of the shards' leaders."""
        return sum(progress.running for progress in self.progress_by_shard.values())

    def commit_change(self, swap: CompareAndSwap) -> Coroutine[StoreResponse]:
        """Send a commit of the record and return the store's response.

        The job's manager sends all its commits by this method, which tracks their outcomes.
        A commit without a response may have taken effect, or may still do so. Its outcome stays
        uncertain until a later commit succeeds, or until the record has been read again after a
        later commit had a failed precondition (409).
        """
        self._commits_in_flight += 1
        try:
            response: StoreResponse = yield swap
        finally:
            self._commits_in_flight -= 1
        if response.status == 200:
            # The record has a new version, so the precondition of any earlier commit now fails.
            self.has_uncertain_commit = False
        elif response.status == 0:
            self.has_uncertain_commit = True
        return response
