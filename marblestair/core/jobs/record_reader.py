"""Reads of a job's record and final state from the store."""

from __future__ import annotations

import msgspec

from marblestair.core.domain.jobs import FINAL_STATES, JobState
from marblestair.core.jobs.final_states import FinalStates
from marblestair.core.jobs.job_status import UNKNOWN, JobStatus
from marblestair.core.leadership.connectivity import Connectivity
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.store_requests import Get, RequestPriority, StoreResponse
from marblestair.core.state import keys
from marblestair.core.state.records import JobRecord
from marblestair.core.state.store_view import StoreView


class RecordReader:
    """Reads the records and final states of jobs for one node.

    The methods that return a status return UNKNOWN if the store does not have what they read, and
    None if a read failed. ``read_record`` and ``read_final_first`` also return None without a read
    if this node is disconnected. The status of a job with a record is "cancelled" if the record has
    a cancel, otherwise "queued". What was read is also applied to the view or to the cached final
    states. The caller decides whether users may be answered with the status.
    """

    def __init__(
        self, view: StoreView, connectivity: Connectivity, final_states: FinalStates
    ) -> None:
        self._view = view
        self._connectivity = connectivity
        self._final_states = final_states

    def read_record(
        self, job: str, priority: RequestPriority = RequestPriority.ACCEPTANCE
    ) -> Coroutine[JobStatus | None]:
        """Read a job's record, and its final state if it has no record."""
        if self._connectivity.is_disconnected():
            return None
        key = keys.JOBS + job
        response: StoreResponse = yield Get(key, priority)
        if response.status == 200:
            self._view.apply_read(key, response.value, response.version)
            self._view.publish_changes()
            record = msgspec.convert(response.value, JobRecord)
            return JobStatus(JobState.CANCELLED if record.is_cancelled else JobState.QUEUED)
        if response.status != 404:
            return None
        self._view.apply_absence(key, response.revision)
        self._view.publish_changes()
        # The record is read first: if the job ends between the two reads, the second read finds
        # its final state.
        return (yield from self.read_final(job, priority))

    def read_final(self, job: str, priority: RequestPriority) -> Coroutine[JobStatus | None]:
        """Read a job's final state; return UNKNOWN if it has none, and None if the read failed."""
        response: StoreResponse = yield Get(keys.FINAL_STATES + job, priority)
        if response.status == 200 and response.value in FINAL_STATES:
            state = JobState(response.value)
            self._final_states.record(job, state)
            return JobStatus(state)
        return UNKNOWN if response.status == 404 else None

    def read_final_first(self, job: str, priority: RequestPriority) -> Coroutine[JobStatus | None]:
        """Read a job's final state, then its record if it has no final state.

        This order saves a read for a job that is missing in the view, because most of these jobs
        have ended.
        """
        if self._connectivity.is_disconnected():
            return None
        final = yield from self.read_final(job, priority)
        if final != UNKNOWN:
            return final
        # The job may end between the two reads, so read_record() reads the final state again if the
        # record is gone.
        return (yield from self.read_record(job, priority))

    def refresh(self, job: str) -> Coroutine[bool]:
        """Call ``read_record``; return whether its reads of the store succeeded."""
        return (yield from self.read_record(job)) is not None
