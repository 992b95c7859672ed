"""Fresh reads of a job's record and of its final state."""

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
    """The reads of one node.

    Each returns the status as the store has it, UNKNOWN, or None when it could not be read. What is
    read is applied to the view; whether users may be answered with it is for the caller to decide.
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
        """Read a job's record, and its final state if there is no record."""
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
        # In this order: a job that ends between the two reads moves from the first key to the
        # second.
        return (yield from self.read_final(job, priority))

    def read_final(self, job: str, priority: RequestPriority) -> Coroutine[JobStatus | None]:
        """Read a job's final state; UNKNOWN if it has none."""
        response: StoreResponse = yield Get(keys.FINAL_STATES + job, priority)
        if response.status == 200 and response.value in FINAL_STATES:
            state = JobState(response.value)
            self._final_states.record(job, state)
            return JobStatus(state)
        return UNKNOWN if response.status == 404 else None

    def read_final_first(self, job: str, priority: RequestPriority) -> Coroutine[JobStatus | None]:
        """Read a job's final state, then its record.

        For a job that the view lacks: it is most often over.
        """
        if self._connectivity.is_disconnected():
            return None
        final = yield from self.read_final(job, priority)
        if final != UNKNOWN:
            return final
        # Between the two reads it may have ended: the next one reads both, in that order.
        return (yield from self.read_record(job, priority))

    def refresh(self, job: str) -> Coroutine[bool]:
        """Read a job's record afresh; whether that succeeded."""
        return (yield from self.read_record(job)) is not None
