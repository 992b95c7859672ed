"""A job whose ServerManager runs here: its locks, what its parts report, and its changes."""

from __future__ import annotations

import msgspec

from marblestair.core.jobs.server_manager import ServerManager
from marblestair.core.runtime.coroutines import Step
from marblestair.core.runtime.store_requests import CompareAndSwap, StoreResponse
from marblestair.core.state.records import JobRecord


class SliceProgress(msgspec.Struct, array_like=True):
    """What the owner of a part last told the manager about its slice of a job."""

    job: str
    shard_id: int
    term: int
    done: int
    running: int
    #: tasks on machines or perhaps so; -1 while that is not known
    placed_tasks: int
    size: int
    #: the owner has applied the job's cancel
    is_cancelled: bool = False


class ManagedJob:
    """One job of a part that this node owns."""

    def __init__(self, job: str, record: JobRecord) -> None:
        self.job = job
        self.shard_id = record.manager_shard
        self.locks = ServerManager({int(part) for part in record.slices})
        self.progress_by_shard: dict[int, SliceProgress] = {}
        self.is_cancel_requested = False
        self.is_advancing = False
        #: a change of the slices is being committed
        self.is_migrating = False
        #: a change of the record was sent, and whether it was carried out is not known
        self.is_uncertain = False
        self._changes_under_way = 0

    @property
    def is_record_known(self) -> bool:
        """Whether the record is surely as this node knows it, but for changes by others.

        A change may be carried out, seen by the other nodes' watches and told by them to users
        long before its answer is back here. So it counts as unsettled from before it is sent.
        """
        return not self.is_uncertain and not self._changes_under_way

    @property
    def tasks_done(self) -> int:
        """Tasks done, as the parts last told."""
        return sum(report.done for report in self.progress_by_shard.values())

    @property
    def tasks_running(self) -> int:
        """Tasks running, as the parts last told."""
        return sum(report.running for report in self.progress_by_shard.values())

    def commit_change(self, commit: CompareAndSwap) -> Step:
        """Send a change of the record; every change by its manager goes this way.

        Without an answer it may have been carried out, or may yet be. Such a doubt lasts until a
        later change succeeds, or until the record has been read again after a 409.
        """
        self._changes_under_way += 1
        try:
            response: StoreResponse = yield commit
        finally:
            self._changes_under_way -= 1
        if response.status == 200:
            # Guarded on the same version, no earlier try can be carried out any more.
            self.is_uncertain = False
        elif response.status == 0:
            self.is_uncertain = True
        return response
